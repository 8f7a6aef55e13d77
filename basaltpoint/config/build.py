"""From a checked file to what the limiter runs on: settings, routes, accounts and servers.

What one table says of another is checked here; all problems are told at once.
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

DIGEST = re.compile(r"sha256:([0-9a-f]{64})")
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, 5.6.2
HOST = re.compile(r"(\*\.)?[a-z0-9_-]+(\.[a-z0-9_-]+)*|\[[0-9a-f:.]+\]")
VALUE = re.compile(r"[\t\x20-\x7e]*")
# Set by the limiter itself; a route that set them could break the framing or hide who asked.
FRAMING = frozenset(
    ["connection", "content-length", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "via"]
)


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """A server as the file tells of it; `number` is its for as long as name and address stay."""

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
    """All that a file says, ready for use. It never changes; a reload makes another."""

    file: ConfigFile
    listen: Address
    settings: api.Settings
    routes: Routes
    accounts: Accounts
    servers: tuple[ServerSpec, ...]
    pools: dict[str, int]
    trusted_networks: Networks

    def with_drains(self, names: Collection[str]) -> Setup:
        """The same with other drains: those of the file, and of these servers."""
        rows = {row.name: row.drain for row in self.file.server}
        servers = (replace(spec, drain=rows[spec.name] or spec.name in names) for spec in self.servers)
        return replace(self, servers=tuple(servers))

    def for_fleet(self, limiters: int, most: int) -> Setup:
        """The same for one of several limiters before the same quotas.

        Each quota is dealt out evenly among those that are there, each ceiling among the most that may be:
        a quota may be passed for as long as two sides of a split count without each other, a ceiling never.
        A limiter's burst holds one request at least, so that small quotas stay usable: the sum of all bursts
        is then at most that much larger, the rate never.
        """
        one = max((route.units for route in self.file.route), default=1.0)
        plans = tuple(
            replace(
                plan,
                rate=plan.rate / limiters,
                burst=min(plan.burst, max(plan.burst / limiters, one)),
                max_parallel=-(-plan.max_parallel // limiters),
                ceiling_rate=plan.ceiling_rate / most,
                ceiling_depth=plan.ceiling_depth / most,
            )
            for plan in self.settings.plans
        )
        return replace(self, settings=replace(self.settings, plans=plans))


@dataclass(slots=True)
class NumberRegistry:
    """Numbers of named things, the same over reloads: requests that are out go by them."""

    given: dict[tuple[str, str], int] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)

    def number_for(self, kind: str, name: str) -> int:
        key = kind, name
        if key not in self.given:
            self.given[key] = self.counts[kind] = self.counts.get(kind, 0) + 1
        return self.given[key]

    def copy(self) -> NumberRegistry:
        return NumberRegistry(dict(self.given), dict(self.counts))


def load(path: Path, numbers: NumberRegistry | None = None) -> Setup:
    """Read, check and build; FileError with every problem found.

    `numbers` is changed only where all is right.
    """
    return build_setup(load_toml(path), path, ProblemCollector(str(path)), numbers)


def build_setup(
    raw: dict[str, Any], path: Path, out: ProblemCollector, numbers: NumberRegistry | None = None
) -> Setup:
    """Check and build what was read; FileError with every problem found."""
    file = decode(ConfigFile, raw, out)
    if file is None:
        raise FileError(out.problems)
    trial = numbers.copy() if numbers else NumberRegistry()
    setup = SetupBuilder(file, path, out, trial).build()
    out.raise_problems()
    if numbers:
        numbers.given, numbers.counts = trial.given, trial.counts
    return setup


class SetupBuilder:
    """One file's way to a Setup."""

    def __init__(self, file: ConfigFile, path: Path, out: ProblemCollector, numbers: NumberRegistry) -> None:
        self.file, self.path, self.out, self.numbers = file, path, out, numbers
        self.plans = self._names("plan", file.plan)
        self.classes = self._names("class", file.class_)
        self.servers = self._names("server", file.server)
        self.pools = self._names("pool", file.pool)
        self._names("route", file.route)

    def build(self) -> Setup:
        listen = self._address("listen", self.file.listen)
        self._plans()
        classes, handlings = self._classes()
        servers = self._servers()
        routes, pools = self._routes(handlings)
        accounts, trusted = self._accounts(), self._trusted()
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
    def _names(self, table: str, rows: Sequence[Any]) -> dict[str, int]:
        found: dict[str, int] = {}
        for at, row in enumerate(rows):
            if row.name in found:
                first = f"{table}[{found[row.name]}]"
                self.out.add(
                    f"{table}[{at}].name",
                    f"found {format_value(row.name)} again",
                    f"a name that {first} has not",
                )
            found.setdefault(row.name, at)
        if not rows:
            self.out.add(table, "none", f"one [[{table}]] at least")
        return found

    def _known(self, path: str, name: str, table: str, known: Iterable[str]) -> bool:
        if name in known:
            return True
        names = sorted(known)
        near = difflib.get_close_matches(name, names, 1, 0.5)
        hint = (
            f"did you mean {format_value(near[0])}?"
            if near
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
    def _plans(self) -> None:
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
                wanted = (
                    "above 0 for a keyed class" if row.effect is Effect.KEYED else "only for a keyed class"
                )
                self.out.add(f"{path}.window_ms", f"found {row.window_ms:g}", wanted)
            classes.append(self._class(row, row.effect))
        # Twins come behind, so that a class keeps its place in the file as its number.
        for at, row in enumerate(self.file.class_):
            twin = None
            if row.effect is Effect.KEYED and row.key_missing is KeyMissing.UNSAFE:
                twin = len(classes)
                classes.append(self._class(row, Effect.UNSAFE, row.name + " without a key"))
            key = row.key_header.lower() if row.effect is Effect.KEYED else ""
            made.append(ClassRules(at, row.effect, row.deadline_ms, key, twin, row.deadline_header.lower()))
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
        homes: dict[str, list[int]] = {}
        for at, pool in enumerate(self.file.pool):
            number = self.numbers.number_for("pool", pool.name)
            if not pool.servers:
                self.out.add(f"pool[{at}].servers", "none", "one server at least")
            for index, name in enumerate(pool.servers):
                path = f"pool[{at}].servers[{index}]"
                if name in pool.servers[:index]:
                    self.out.add(path, f"found {format_value(name)} again", "each server once")
                elif self._known(path, name, "server", self.servers):
                    homes.setdefault(name, []).append(number)
        made, addresses = [], dict[Address, int]()
        for at, row in enumerate(self.file.server):
            address = self._address(f"server[{at}].address", row.address)
            if address[1] and addresses.setdefault(address, at) != at:
                path = f"server[{at}].address"
                self.out.add(
                    path,
                    f"found {format_value(row.address)} again",
                    f"an address that server[{addresses[address]}] has not",
                )
            made.append(self._server(row, address, tuple(homes.get(row.name, ()))))
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
    def _routes(self, handlings: list[ClassRules]) -> tuple[list[Route], dict[int, tuple[int, ...]]]:
        most = max((plan.burst for plan in self.file.plan), default=0.0)
        routes: list[Route] = []
        members: dict[int, set[int]] = {
            self.numbers.number_for("pool", pool.name): set() for pool in self.file.pool
        }
        seen: dict[tuple[Any, ...], int] = {}
        for at, row in enumerate(self.file.route):
            path = f"route[{at}]"
            known = self._known(f"{path}.pool", row.pool, "pool", self.pools)
            known &= self._known(f"{path}.class", row.class_, "class", self.classes)
            if row.units > most > 0:
                self.out.add(
                    f"{path}.units", f"found {row.units:g}", f"up to the largest burst of a plan, {most:g}"
                )
            made = self._route(row, path, handlings, known)
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
                    "conditions under which it can be reached",
                )
        return routes, {number: tuple(sorted(found)) for number, found in members.items()}

    def _route(self, row: RouteTable, path: str, handlings: list[ClassRules], known: bool) -> Route | None:
        before = len(self.out.problems)
        form, text = self._form(row, path)
        self._patterns(row, path)
        if not known or len(self.out.problems) > before:
            return None
        rewrite = Rewrite(row.prefix, row.rewrite) if row.rewrite else None
        return Route(
            name=row.name,
            pool=self.numbers.number_for("pool", row.pool),
            class_rules=handlings[self.classes[row.class_]],
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

    def _form(self, row: RouteTable, path: str) -> tuple[PathForm, str]:
        given = [key for key in ("path", "prefix", "regex") if getattr(row, key)]
        if len(given) > 1:
            self.out.add(path, "found " + " and ".join(given), "one of path, prefix and regex")
        if row.rewrite and not row.prefix:
            self.out.add(f"{path}.rewrite", f"found {format_value(row.rewrite)}", "only together with prefix")
        for key in ("path", "prefix", "rewrite"):
            self._normal(getattr(row, key), f"{path}.{key}")
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

    def _normal(self, text: str, path: str) -> None:
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

    def _patterns(self, row: RouteTable, path: str) -> None:
        def each(key: str, values: Iterable[str], fits: Callable[[str], Any], wanted: str) -> None:
            for value in values:
                if not fits(value):
                    self.out.add(f"{path}.{key}", f"found {format_value(value)}", wanted)

        each("hosts", row.hosts, HOST.fullmatch, "a host in lower case without its port, or *.HOST")
        each(
            "methods", row.methods, lambda m: TOKEN.fullmatch(m) and m == m.upper(), "a method in upper case"
        )
        for key in ("headers", "set_headers", "answer_headers"):
            table: dict[str, str] = getattr(row, key)
            each(key, table, TOKEN.fullmatch, "a header's name")
            each(key, table.values(), VALUE.fullmatch, "a header's value, printable and on one line")
            if key != "headers":
                each(
                    key,
                    table,
                    lambda n: n.lower() not in FRAMING,
                    "a header that the limiter does not set itself",
                )
        each("drop_headers", row.drop_headers, TOKEN.fullmatch, "a header's name")

    # --- Accounts --------------------------------------------------------------------------------
    def _trusted(self) -> Networks:
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
        plan = self._anonymous()
        names: dict[str, str] = {}
        for path, row in self._account_rows():
            if names.setdefault(row.name, path) != path:
                self.out.add(
                    f"{path}.name",
                    f"found {format_value(row.name)} again",
                    f"a name that {names[row.name]} has not",
                )
            if not self._known(f"{path}.plan", row.plan, "plan", self.plans):
                continue
            account = Account(self.numbers.number_for("account", row.name), self.plans[row.plan], row.name)
            if not row.keys:
                self.out.add(f"{path}.keys", "none", "one digest at least")
            for at, text in enumerate(row.keys):
                self._key(f"{path}.keys[{at}]", text, account, found)
        identity = IdentitySettings(table.header.lower(), table.bearer, table.no_key, table.unknown_key, plan)
        return Accounts(found, identity)

    def _key(self, path: str, text: str, account: Account, found: dict[bytes, Account]) -> None:
        match = DIGEST.fullmatch(text)
        if match is None:
            # Not shown: what stands here by mistake is most likely the key itself.
            self.out.add(path, "no digest", "sha256: and 64 hex digits, from `basaltpoint hash-key`")
            return
        digest = bytes.fromhex(match[1])
        if (other := found.get(digest)) is not None:
            self.out.add(
                path, f"the key of account {format_value(other.name)}", "a key that no other account has"
            )
            return
        found[digest] = account

    def _anonymous(self) -> int:
        table = self.file.identity
        wanted = KeyPolicy.ANONYMOUS in (table.no_key, table.unknown_key)
        if wanted and not table.anonymous_plan:
            self.out.add("identity.anonymous_plan", "missing", "the name of a plan, as strangers are let in")
        if table.anonymous_plan and self._known(
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
            out.add(f"line {number}", f"no JSON: {error}", "an object with name, plan and keys")
            return None
        if not isinstance(raw, dict):
            out.add(f"line {number}", f"found {format_value(raw)}", "an object with name, plan and keys")
            return None
        return decode(AccountTable, raw, out, f"line {number}")


def _pairs(table: dict[str, str]) -> tuple[tuple[bytes, bytes], ...]:
    return tuple((name.encode(), value.encode()) for name, value in table.items())
