"""Builds the limiter's settings, routes, accounts and servers from a decoded configuration file.

References and dependencies between tables are checked here; all problems are reported together.
"""

from __future__ import annotations

import difflib
import ipaddress
import json
import re
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from basaltpoint import interface as api
from basaltpoint.config import fleets, storage
from basaltpoint.config.address import Address, ConfigError, parse_address
from basaltpoint.config.decode import FileError, ProblemCollector, decode, format_value, load_toml
from basaltpoint.config.schema import (
    AccountTable,
    ClassTable,
    ConfigFile,
    KeyMissing,
    RouteTable,
    ServerTable,
)
from basaltpoint.interface import Effect
from basaltpoint.routing import regex
from basaltpoint.routing.accounts import Account, Accounts, IdentitySettings, KeyPolicy, Networks
from basaltpoint.routing.path import PathError, normal_path
from basaltpoint.routing.routes import ClassRules, PathForm, Rewrite, Route, Routes

KEY_DIGEST = re.compile(r"sha256:([0-9a-f]{64})")
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, 5.6.2
HOST_PATTERN = re.compile(r"(\*\.)?[a-z0-9_-]+(\.[a-z0-9_-]+)*|\[[0-9a-f:.]+\]")
HEADER_VALUE = re.compile(r"[\t\x20-\x7e]*")
# Set by the limiter itself: a route that set them could break the framing or hide the client's address.
RESERVED_HEADERS = frozenset(
    ["connection", "content-length", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "via"]
)


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """A server from the file. Its `number` stays the same as long as its name and address do."""

    number: int
    name: str
    address: Address
    weight: float
    zone: int
    drain: bool
    max_connections: int
    probe_rule: api.ProbeRule | None
    pools: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Setup:
    """The contents of a configuration file, ready for use. Immutable; a reload builds a new one."""

    file: ConfigFile
    listen: Address
    settings: api.Settings
    routes: Routes
    accounts: Accounts
    servers: tuple[ServerSpec, ...]
    pools: dict[str, int]
    trusted_networks: Networks

    def with_drains(self, names: Collection[str]) -> Setup:
        """Returns a copy in which the servers of these names are drained, besides those of the file."""
        file_drains = {row.name: row.drain for row in self.file.server}
        servers = (replace(spec, drain=file_drains[spec.name] or spec.name in names) for spec in self.servers)
        return replace(self, servers=tuple(servers))

    def for_fleet(self, limiter_count: int, max_limiters: int) -> Setup:
        """Returns a copy for one of several limiters that share the quotas.

        Each quota is divided evenly by the number of live limiters, each ceiling by the maximum number of
        limiters. So a quota may be exceeded while the fleet is partitioned and each side counts only its own
        members; a ceiling is never exceeded. A limiter's burst holds at least one request of the most units,
        so that small quotas stay usable. The sum of all bursts may then exceed the plan's burst by at most
        that much per limiter; the sum of the rates never exceeds the plan's rate.
        """
        max_request_units = max((route.units for route in self.file.route), default=1.0)
        plans = tuple(
            replace(
                plan,
                rate=plan.rate / limiter_count,
                burst=min(plan.burst, max(plan.burst / limiter_count, max_request_units)),
                max_parallel=-(-plan.max_parallel // limiter_count),
                ceiling_rate=plan.ceiling_rate / max_limiters,
                ceiling_depth=plan.ceiling_depth / max_limiters,
            )
            for plan in self.settings.plans
        )
        return replace(self, settings=replace(self.settings, plans=plans))


@dataclass(slots=True)
class NumberRegistry:
    """Assigns numbers to named things; they stay the same over reloads, as open requests refer to them."""

    assigned: dict[tuple[str, str], int] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)

    def number_for(self, kind: str, name: str) -> int:
        key = kind, name
        if key not in self.assigned:
            self.assigned[key] = self.counts[kind] = self.counts.get(kind, 0) + 1
        return self.assigned[key]

    def copy(self) -> NumberRegistry:
        return NumberRegistry(dict(self.assigned), dict(self.counts))


def load(path: Path, numbers: NumberRegistry | None = None) -> Setup:
    """Reads, checks and builds a configuration; raises FileError with all problems found.

    `numbers` is changed only if the file is valid.
    """
    return build_setup(load_toml(path), path, ProblemCollector(str(path)), numbers)


def build_setup(
    raw: dict[str, Any], path: Path, out: ProblemCollector, numbers: NumberRegistry | None = None
) -> Setup:
    """Checks and builds the tables of a file; raises FileError with all problems found."""
    file = decode(ConfigFile, raw, out)
    if file is None:
        raise FileError(out.problems)
    new_numbers = numbers.copy() if numbers else NumberRegistry()
    setup = SetupBuilder(file, path, out, new_numbers).build()
    out.raise_problems()
    if numbers:
        numbers.assigned, numbers.counts = new_numbers.assigned, new_numbers.counts
    return setup


class SetupBuilder:
    """Builds the Setup of one file and collects the problems in it."""

    def __init__(self, file: ConfigFile, path: Path, out: ProblemCollector, numbers: NumberRegistry) -> None:
        self.file, self.path, self.out, self.numbers = file, path, out, numbers
        self.plans = self._index_names("plan", file.plan)
        self.classes = self._index_names("class", file.class_)
        self.servers = self._index_names("server", file.server)
        self.pools = self._index_names("pool", file.pool)
        self._index_names("route", file.route)

    def build(self) -> Setup:
        listen = self._address("listen", self.file.listen)
        self._check_plans()
        classes, class_rules = self._classes()
        servers = self._servers()
        routes, pools = self._routes(class_rules)
        accounts, trusted = self._accounts(), self._trusted_networks()
        if self.file.store:
            storage.check(self.file.store, self.path.parent, self.out)
        if self.file.fleet:
            fleets.check(self.file.fleet, self.file.name, self.path.parent, self.out)
        if self.out.problems:
            raise FileError(self.out.problems)
        return Setup(
            self.file,
            listen,
            self._settings(classes, pools),
            Routes(routes, regex.ExpressionSet),
            accounts,
            servers,
            {pool.name: self.numbers.number_for("pool", pool.name) for pool in self.file.pool},
            trusted,
        )

    # --- Names ---------------------------------------------------------------------------------
    def _index_names(self, table: str, rows: Sequence[Any]) -> dict[str, int]:
        found: dict[str, int] = {}
        for at, row in enumerate(rows):
            if row.name in found:
                first = f"{table}[{found[row.name]}]"
                self.out.add(
                    f"{table}[{at}].name",
                    f"found {format_value(row.name)} again",
                    f"a name that {first} does not have",
                )
            found.setdefault(row.name, at)
        if not rows:
            self.out.add(table, "none", f"at least one [[{table}]]")
        return found

    def _check_known(self, path: str, name: str, table: str, known: Iterable[str]) -> bool:
        if name in known:
            return True
        names = sorted(known)
        close = difflib.get_close_matches(name, names, 1, 0.5)
        hint = (
            f"did you mean {format_value(close[0])}?"
            if close
            else "one of " + ", ".join(map(format_value, names[:10]))
        )
        self.out.add(path, f"found {format_value(name)}, which is no {table}", hint)
        return False

    def _address(self, path: str, text: str) -> Address:
        try:
            address = parse_address(text)
            ipaddress.ip_address(address[0])
        except (ConfigError, ValueError):
            self.out.add(path, f"found {format_value(text)}", "IP:PORT, as 127.0.0.1:8080 or [::1]:8080")
            return "", 0
        return address

    # --- Plans, classes --------------------------------------------------------------------------
    def _check_plans(self) -> None:
        for at, plan in enumerate(self.file.plan):
            if (plan.ceiling_rate > 0) != (plan.ceiling_burst > 0):
                missing = "ceiling_burst" if plan.ceiling_rate > 0 else "ceiling_rate"
                self.out.add(
                    f"plan[{at}].{missing}", "missing or 0", "both of ceiling_rate and ceiling_burst, or none"
                )
            elif 0 < plan.ceiling_rate < plan.rate:
                self.out.add(
                    f"plan[{at}].ceiling_rate",
                    f"found {plan.ceiling_rate:g}",
                    f"from the plan's rate, {plan.rate:g}",
                )

    def _classes(self) -> tuple[list[api.RequestClass], list[ClassRules]]:
        classes, made = [], list[ClassRules]()
        for at, row in enumerate(self.file.class_):
            path = f"class[{at}]"
            if row.aim_ms > row.deadline_ms:
                self.out.add(
                    f"{path}.aim_ms", f"found {row.aim_ms:g}", f"up to the deadline, {row.deadline_ms:g}"
                )
            if (row.effect is Effect.KEYED) != (row.window_ms > 0):
                allowed = (
                    "above 0 for a keyed class" if row.effect is Effect.KEYED else "only for a keyed class"
                )
                self.out.add(f"{path}.window_ms", f"found {row.window_ms:g}", allowed)
            classes.append(self._class(row, row.effect))
        # Unkeyed classes follow after all others, so that the number of a class is its position in the file.
        for at, row in enumerate(self.file.class_):
            unkeyed = None
            if row.effect is Effect.KEYED and row.key_missing is KeyMissing.UNSAFE:
                unkeyed = len(classes)
                classes.append(self._class(row, Effect.UNSAFE, row.name + " without a key"))
            key = row.key_header.lower() if row.effect is Effect.KEYED else ""
            made.append(
                ClassRules(at, row.effect, row.deadline_ms, key, unkeyed, row.deadline_header.lower())
            )
        return classes, made

    def _class(self, row: ClassTable, effect: Effect, name: str = "") -> api.RequestClass:
        return api.RequestClass(
            aim_ms=row.aim_ms,
            deadline_ms=row.deadline_ms,
            effect=effect,
            dedup_scope=api.DedupScope.ALL,
            dedup_window_ms=row.window_ms,
            late_worth=row.late_worth,
            name=name or row.name,
            worth=row.worth,
        )

    def _settings(self, classes: list[api.RequestClass], pools: dict[int, tuple[int, ...]]) -> api.Settings:
        up = self.file.upstream
        plans = tuple(
            api.Plan(p.rate, p.burst, p.parallel, p.ceiling_rate, p.ceiling_burst, name=p.name)
            for p in self.file.plan
        )
        return api.Settings(
            limiter_index=0,
            limiter_count=1,
            zone=0,
            classes=tuple(classes),
            plans=plans,
            cold_start_fraction=up.cold_from,
            cold_duration_ms=up.cold_ms,
            overload_crash_ratio=2.0,
            overload_crash_ms=1000.0,
            drain_grace_ms=250.0,
            discovery_confirm_ms=0.0,
            meter_period_ms=0.0,
            post_paid=False,
            max_attempts=up.attempts,
            may_hedge=False,
            may_cancel=True,
            may_probe=True,
            max_retry_after_ms=up.retry_after_ms,
            must_subscribe=False,
            report_fields=(),
            is_only_limiter=True,
            pool_classes=pools,
        )

    # --- Servers, pools --------------------------------------------------------------------------
    def _servers(self) -> tuple[ServerSpec, ...]:
        pools_by_server: dict[str, list[int]] = {}
        for at, pool in enumerate(self.file.pool):
            number = self.numbers.number_for("pool", pool.name)
            if not pool.servers:
                self.out.add(f"pool[{at}].servers", "none", "at least one server")
            for index, name in enumerate(pool.servers):
                path = f"pool[{at}].servers[{index}]"
                if name in pool.servers[:index]:
                    self.out.add(path, f"found {format_value(name)} again", "each server once")
                elif self._check_known(path, name, "server", self.servers):
                    pools_by_server.setdefault(name, []).append(number)
        made, addresses = [], dict[Address, int]()
        for at, row in enumerate(self.file.server):
            address = self._address(f"server[{at}].address", row.address)
            if address[1] and addresses.setdefault(address, at) != at:
                path = f"server[{at}].address"
                self.out.add(
                    path,
                    f"found {format_value(row.address)} again",
                    f"an address that server[{addresses[address]}] does not have",
                )
            made.append(self._server(row, address, tuple(pools_by_server.get(row.name, ()))))
        return tuple(made)

    def _server(self, row: ServerTable, address: Address, pools: tuple[int, ...]) -> ServerSpec:
        health = self.file.health if row.health else None
        rule = api.ProbeRule(health.every_ms, health.rise, health.fall) if health else None
        number = self.numbers.number_for("server", f"{row.name} {row.address}")
        zone = self.numbers.number_for("zone", row.zone or f"server {row.name}")
        return ServerSpec(
            number, row.name, address, row.weight, zone, row.drain, row.connections, rule, pools
        )

    # --- Routes ----------------------------------------------------------------------------------
    def _routes(self, class_rules: list[ClassRules]) -> tuple[list[Route], dict[int, tuple[int, ...]]]:
        max_burst = max((plan.burst for plan in self.file.plan), default=0.0)
        routes: list[Route] = []
        members: dict[int, set[int]] = {
            self.numbers.number_for("pool", pool.name): set() for pool in self.file.pool
        }
        seen: dict[tuple[Any, ...], int] = {}
        for at, row in enumerate(self.file.route):
            path = f"route[{at}]"
            known = self._check_known(f"{path}.pool", row.pool, "pool", self.pools)
            known &= self._check_known(f"{path}.class", row.class_, "class", self.classes)
            if row.units > max_burst > 0:
                self.out.add(
                    f"{path}.units",
                    f"found {row.units:g}",
                    f"up to the largest burst of a plan, {max_burst:g}",
                )
            made = self._route(row, path, class_rules, known)
            if made is None:
                continue
            routes.append(made)
            members[made.pool] |= {
                n for n in (made.class_rules.class_number, made.class_rules.unkeyed_class) if n is not None
            }
            key = made.priority, made.hosts, made.path_form, made.path, made.methods, made.headers
            if seen.setdefault(key, at) != at:
                self.out.add(
                    path,
                    f"the same conditions as route[{seen[key]}]",
                    "conditions that differ from those of other routes",
                )
        return routes, {number: tuple(sorted(found)) for number, found in members.items()}

    def _route(self, row: RouteTable, path: str, class_rules: list[ClassRules], known: bool) -> Route | None:
        problems_before = len(self.out.problems)
        form, text = self._path_form(row, path)
        self._check_patterns(row, path)
        if not known or len(self.out.problems) > problems_before:
            return None
        rewrite = Rewrite(row.prefix, row.rewrite) if row.rewrite else None
        return Route(
            name=row.name,
            pool=self.numbers.number_for("pool", row.pool),
            class_rules=class_rules[self.classes[row.class_]],
            path_form=form,
            path=text,
            hosts=row.hosts,
            methods=frozenset(row.methods),
            headers=tuple(sorted((name.lower(), value) for name, value in row.headers.items())),
            priority=row.priority,
            units=row.units,
            rewrite=rewrite,
            set_headers=_pairs(row.set_headers),
            drop_headers=frozenset(name.lower().encode() for name in row.drop_headers),
            response_headers=_pairs(row.answer_headers),
            max_kept_body_bytes=row.body_kb * 1024,
            max_body_bytes=row.body_max_kb * 1024,
        )

    def _path_form(self, row: RouteTable, path: str) -> tuple[PathForm, str]:
        given = [key for key in ("path", "prefix", "regex") if getattr(row, key)]
        if len(given) > 1:
            self.out.add(path, "found " + " and ".join(given), "one of path, prefix and regex")
        if row.rewrite and not row.prefix:
            self.out.add(f"{path}.rewrite", f"found {format_value(row.rewrite)}", "only together with prefix")
        for key in ("path", "prefix", "rewrite"):
            self._check_normal_path(getattr(row, key), f"{path}.{key}")
        if row.regex:
            try:
                regex.check_expression(row.regex)
            except regex.RegexError as error:
                self.out.add(
                    f"{path}.regex", f"found {format_value(row.regex)}: {error}", "an RE2 expression"
                )
            return PathForm.REGEX, row.regex
        if row.path:
            return PathForm.EXACT, row.path
        return (PathForm.PREFIX, row.prefix) if row.prefix else (PathForm.ANY, "")

    def _check_normal_path(self, text: str, path: str) -> None:
        if not text:
            return
        try:
            normal = normal_path(text)
        except PathError as error:
            self.out.add(path, f"found {format_value(text)}: {error}", "a path in normal form")
            return
        if "?" in text or "#" in text or normal != text:
            self.out.add(
                path,
                f"found {format_value(text)}",
                f"the normal form, {format_value(normal.partition('?')[0])}",
            )

    def _check_patterns(self, row: RouteTable, path: str) -> None:
        def check_each(key: str, values: Iterable[str], is_valid: Callable[[str], Any], allowed: str) -> None:
            for value in values:
                if not is_valid(value):
                    self.out.add(f"{path}.{key}", f"found {format_value(value)}", allowed)

        check_each(
            "hosts", row.hosts, HOST_PATTERN.fullmatch, "a host in lower case without its port, or *.HOST"
        )
        check_each(
            "methods", row.methods, lambda m: TOKEN.fullmatch(m) and m == m.upper(), "a method in upper case"
        )
        for key in ("headers", "set_headers", "answer_headers"):
            table: dict[str, str] = getattr(row, key)
            check_each(key, table, TOKEN.fullmatch, "a header's name")
            check_each(
                key, table.values(), HEADER_VALUE.fullmatch, "a header's value, printable and on one line"
            )
            if key != "headers":
                check_each(
                    key,
                    table,
                    lambda n: n.lower() not in RESERVED_HEADERS,
                    "a header that the limiter does not set itself",
                )
        check_each("drop_headers", row.drop_headers, TOKEN.fullmatch, "a header's name")

    # --- Accounts --------------------------------------------------------------------------------
    def _trusted_networks(self) -> Networks:
        found = []
        for at, text in enumerate(self.file.identity.trusted_proxies):
            try:
                found.append(ipaddress.ip_network(text))
            except ValueError:
                self.out.add(
                    f"identity.trusted_proxies[{at}]",
                    f"found {format_value(text)}",
                    "a network, as 127.0.0.0/8",
                )
        return tuple(found)

    def _accounts(self) -> Accounts:
        table, found = self.file.identity, dict[bytes, Account]()
        plan = self._anonymous_plan()
        names: dict[str, str] = {}
        for path, row in self._account_rows():
            if names.setdefault(row.name, path) != path:
                self.out.add(
                    f"{path}.name",
                    f"found {format_value(row.name)} again",
                    f"a name that {names[row.name]} does not have",
                )
            if not self._check_known(f"{path}.plan", row.plan, "plan", self.plans):
                continue
            account = Account(self.numbers.number_for("account", row.name), self.plans[row.plan], row.name)
            if not row.keys:
                self.out.add(f"{path}.keys", "none", "at least one digest")
            for at, text in enumerate(row.keys):
                self._add_key(f"{path}.keys[{at}]", text, account, found)
        identity = IdentitySettings(table.header.lower(), table.bearer, table.no_key, table.unknown_key, plan)
        return Accounts(found, identity)

    def _add_key(self, path: str, text: str, account: Account, found: dict[bytes, Account]) -> None:
        match = KEY_DIGEST.fullmatch(text)
        if match is None:
            # The value is not shown, as it is most likely the key itself, entered by mistake.
            self.out.add(path, "not a digest", "sha256: and 64 hex digits, from `basaltpoint hash-key`")
            return
        digest = bytes.fromhex(match[1])
        if (other := found.get(digest)) is not None:
            self.out.add(
                path, f"the key of account {format_value(other.name)}", "a key that no other account has"
            )
            return
        found[digest] = account

    def _anonymous_plan(self) -> int:
        table = self.file.identity
        is_required = KeyPolicy.ANONYMOUS in (table.no_key, table.unknown_key)
        if is_required and not table.anonymous_plan:
            self.out.add(
                "identity.anonymous_plan",
                "missing",
                "the name of a plan, as no_key or unknown_key is anonymous",
            )
        if table.anonymous_plan and self._check_known(
            "identity.anonymous_plan", table.anonymous_plan, "plan", self.plans
        ):
            return self.plans[table.anonymous_plan]
        return 0

    def _account_rows(self) -> Iterable[tuple[str, AccountTable]]:
        for at, row in enumerate(self.file.account):
            yield f"account[{at}]", row
        if not self.file.accounts_file:
            return
        path = self.path.parent / self.file.accounts_file
        out = ProblemCollector(str(path))
        try:
            with open(path, "rb") as lines:
                for number, line in enumerate(lines, 1):
                    if made := self._account_line(line, number, out):
                        yield f"{path.name}:{number}", made
        except OSError as error:
            self.out.add(
                "accounts_file",
                f"{format_value(self.file.accounts_file)} can't be read: {error.strerror}",
                "a readable file",
            )
        self.out.problems += out.problems

    def _account_line(self, line: bytes, number: int, out: ProblemCollector) -> AccountTable | None:
        if not line.strip():
            return None
        try:
            raw = json.loads(line)
        except ValueError as error:
            out.add(f"line {number}", f"invalid JSON: {error}", "an object with name, plan and keys")
            return None
        if not isinstance(raw, dict):
            out.add(f"line {number}", f"found {format_value(raw)}", "an object with name, plan and keys")
            return None
        return decode(AccountTable, raw, out, f"line {number}")


def _pairs(table: dict[str, str]) -> tuple[tuple[bytes, bytes], ...]:
    return tuple((name.encode(), value.encode()) for name, value in table.items())
