"""A rehearsal with real limiters, stand-in servers and load: played to its end, then judged."""

from __future__ import annotations

import asyncio
import hashlib
import math
import sys
import time
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from basaltpoint.load import coordinator, scenario
from basaltpoint.load.arrivals import account_key, planned_requests
from basaltpoint.load.command import read_ledger, read_server_log
from basaltpoint.load.ledger import ServerAttempt, audit
from basaltpoint.rehearsal import checks
from basaltpoint.rehearsal.events import Finding, OperatorCommand, ProcessLifetime
from basaltpoint.rehearsal.faults import SYSTEM_FAULTS, restrict_to_members, shift_times
from basaltpoint.rehearsal.probe import StoreProbe, find_violations, longest_delays
from basaltpoint.rehearsal.processes import STORE_CLUSTER, FleetProcesses
from basaltpoint.rehearsal.scenario import Rehearsal
from basaltpoint.rehearsal.verdict import build_verdict, finding_to_dict
from basaltpoint.store.client import Client, Endpoint

START_S = 30.0  # for all to see each other before anything is played
SETTLE_S = 30.0  # after the end, for all to agree again
LATE_S = 0.25  # a turn of this process's loop so late, and times don't count
BURST, RATE = 1e6, 1e6  # of the load's plans, where the file names none


class SlowHostError(Exception):
    """The machine was too slow for the numbers to count."""


def limiter_tables(made: Rehearsal, servers: list[str]) -> str:
    """What all limiters have in common, with `[limiter]` laid over it."""
    load = made.load
    accounts = [
        {
            "name": f"{plan.name}-{n}",
            "plan": plan.name,
            "keys": ["sha256:" + hashlib.sha256(account_key(plan, n).encode()).hexdigest()],
        }
        for plan in load.plan
        for n in range(plan.accounts)
    ]
    names = [f"s{at + 1}" for at in range(len(servers))]
    whole: dict[str, Any] = {
        "plan": [{"name": plan.name, "rate": RATE, "burst": BURST} for plan in load.plan]
        or [{"name": "none", "rate": 1.0, "burst": 1.0}],
        "account": accounts,
        "class": [{"name": "read", "effect": "safe"}, {"name": "write", "effect": "unsafe"}],
        "server": [{"name": n, "address": a} for n, a in zip(names, servers, strict=True)],
        "pool": [{"name": "all", "servers": names}],
        "route": [
            {"name": "read", "pool": "all", "class": "read", "methods": ["GET", "HEAD"]},
            {"name": "write", "pool": "all", "class": "write"},
        ],
    }
    return tomli_w.dumps(whole | made.limiter)


def quota_usage(made: Rehearsal, attempts: Counter[str], seconds: float) -> dict[str, Any]:
    """Per account: what its quota allows in so long, what was sent, and what of it was beyond."""
    plans = {row["name"]: row for row in made.limiter.get("plan", ())}
    found = {}
    for plan in made.load.plan:
        row = plans.get(plan.name, {"rate": RATE, "burst": BURST})
        for n in range(plan.accounts):
            sent, allowed = attempts[account_key(plan, n)], row["burst"] + row["rate"] * seconds
            found[f"{plan.name}-{n}"] = {"allowed": allowed, "sent": sent, "over": max(0.0, sent - allowed)}
    return found


def start_durations(
    lives: Sequence[ProcessLifetime], told: Mapping[str, Sequence[tuple[float, int]]]
) -> list[dict[str, Any]]:
    """How long each process took from its start to its place among the others, the store's state read."""
    found = []
    for life in lives:
        took = [
            at - life.started_s for at, _ in told.get(life.name, ()) if life.started_s <= at < life.ended_s
        ]
        found.append({"name": life.name, "took_s": min(took, default=None)})
    return found


def find_unacknowledged(told: Iterable[OperatorCommand]) -> list[Finding]:
    """Commands that the store did not take."""
    return [
        Finding(
            one.started_s,
            "not acknowledged",
            (one.limiter, one.server),
            f"{one.command} to be taken: {one.error}",
        )
        for one in told
        if one.error
    ]


class StartError(Exception):
    """A limiter ended that nobody ended."""


class RehearsalRun:
    """One rehearsal in a folder of its own."""

    def __init__(self, made: Rehearsal, folder: Path, seed: int) -> None:
        self.made, self.folder, self.seed = made, folder, seed
        self.late_s = 0.0
        self._servers: list[asyncio.subprocess.Process] = []
        self._began = 0.0

    async def run(self) -> dict[str, Any]:
        """Play, and say what held; SlowError where the machine could not keep up."""
        watch = asyncio.create_task(self._watch())
        self.folder.mkdir(parents=True, exist_ok=True)
        limiters: FleetProcesses | None = None
        try:
            servers = [await self._server(at) for at in range(self.made.fleet.servers)]
            limiters = FleetProcesses(
                self.folder,
                self.made.limiter_names,
                limiter_tables(self.made, servers),
                "",
                self.seed,
                self.made.replica_names,
                inject_system_faults=any(fault.kind in SYSTEM_FAULTS for fault in self.made.faults),
            )
            await limiters.prepare()
            limiters.start()
            await self._agree(limiters, START_S)
            limiters.save_copies()
            probe = self._probe(limiters)
            self._began = time.monotonic()
            async with asyncio.TaskGroup() as group:
                asking = group.create_task(self._load(limiters))
                group.create_task(self._faults(limiters))
                await asyncio.sleep(self.made.fleet.seconds)
            await self._agree(limiters, SETTLE_S, must=False)
            await limiters.wait_for_commands()
            lives, saws = limiters.lifetimes_and_observations()
            members = restrict_to_members(self.made.faults, self.made.limiter_names)
            result = build_verdict(
                lives, saws, members, self.made.fleet.seconds, self._began, time.monotonic()
            )
            result["members"]["started_s"] = start_durations(lives, limiters.read_journals()[1])
            if probe:
                await probe.stop(SETTLE_S)
                result["store"] = longest_delays(probe.record, time.monotonic())
                result["findings"] += self._told(find_violations(probe.record))
        finally:
            watch.cancel()
            if limiters:
                await limiters.close()
            for server in self._servers:
                if server.returncode is None:
                    server.terminate()
                    await server.wait()
        # The servers' logs are whole only now.
        attempts = [row for log in self.folder.glob("s*.jsonl") for row in read_server_log(log)]
        sent = self._sent(asking.result(), attempts)
        # Clients that repeat go on after the load's end; what they are let have then counts, too.
        last = max((attempt.came_s for attempt in attempts), default=self._began) - self._began
        result["limits"] = quota_usage(self.made, sent, max(last, self.made.fleet.seconds))
        result["requests"], found = self._audit(attempts)
        result["findings"] += found
        result["per_second"] = self._per_second(asking.result(), attempts)
        if self.made.replica_names:
            shifted = [shift_times(fault, self._began) for fault in self.made.faults]
            late, found_late = checks.find_late_sends(
                limiters.commands, attempts, shifted, self.made.replica_names
            )
            result["store"]["late_sends"] = late
            result["findings"] += self._told([*found_late, *find_unacknowledged(limiters.commands)])
        result["held"] = not result["findings"]
        if self.late_s > LATE_S:
            raise SlowHostError(f"a turn of the rehearsal's own loop came {self.late_s:.2f} s late")
        return result

    def _probe(self, limiters: FleetProcesses) -> StoreProbe | None:
        """The store's own client, where there is a store."""
        endpoints = [Endpoint(limiters.members[name].own_address, name) for name in self.made.replica_names]
        return StoreProbe(lambda: Client(endpoints, STORE_CLUSTER)) if endpoints else None

    def _told(self, found: Iterable[Finding]) -> list[dict[str, Any]]:
        last = self.made.fleet.seconds
        return [
            finding_to_dict(min(f.at_s - self._began, last), f.kind, f.members, f.expected) for f in found
        ]

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(0.02)
            self.late_s = max(self.late_s, loop.time() - before - 0.02)

    async def _server(self, at: int) -> str:
        server = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "basaltpoint", "standin", "--name", f"s{at + 1}", "--log",
            str(self.folder / f"s{at + 1}.jsonl"), "--service", "exp:5", "--once", "/once",
            stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self._servers.append(server)
        assert server.stdout
        return (await server.stdout.readline()).decode().strip()

    async def _agree(self, limiters: FleetProcesses, within_s: float, must: bool = True) -> None:
        """Wait until all that run see each other."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if fallen := limiters.exited_members():
                raise StartError(f"{fallen[0]} has ended: {limiters.read_log(fallen[0])[-2000:]}")
            lives, saws = limiters.lifetimes_and_observations()
            if not checks.time_to_agreement(lives, saws, 0.0, time.monotonic())[1]:
                return
            await asyncio.sleep(0.1)
        if must:
            raise SlowHostError(f"the limiters did not find each other within {within_s:g} s")

    # --- Load -------------------------------------------------------------------------------------------
    async def _load(self, limiters: FleetProcesses) -> scenario.Scenario | None:
        load = self.made.load
        if not load.plan:
            return None
        targets = [limiters.members[name].client_address for name in self.made.limiter_names]
        whole: dict[str, Any] = {
            "target": targets, "seed": self.seed, "duration_s": self.made.fleet.seconds,
            "retries": {"most": 3, "wait_ms": 50},  # another limiter each time, as targets go in turn
            "plan": msgspec.to_builtins(load.plan), "class": msgspec.to_builtins(load.class_),
        }  # fmt: skip
        path = self.folder / "load.toml"
        path.write_text(tomli_w.dumps(whole))
        made = scenario.load(path)
        await coordinator.run(path, made, lambda told: None, ledger=self.folder / "ledger.jsonl")
        return made

    def _audit(self, attempts: list[ServerAttempt]) -> tuple[dict[str, int], list[dict[str, Any]]]:
        """Clients' side against servers': by request, over all its tries; and what must not be."""
        path = self.folder / "ledger.jsonl"
        asked = read_ledger(path) if path.exists() else []
        answered: Counter[str] = Counter()
        for one in asked:
            answered[one.ident.rpartition("-")[0]] += one.answers > 0
        found = [one for one in audit(asked, attempts) if one.kind != "lost"]
        findings = [finding_to_dict(0.0, one.kind, (), f"{one.ident}: {one.detail}") for one in found]
        none = sum(not count for count in answered.values())
        counts = {
            "asked": len(answered), "answered": len(answered) - none, "none": none,
            "twice": sum(one.kind in ("ran twice", "two at once", "doubled") for one in found),
        }  # fmt: skip
        return counts, findings

    def _per_second(self, made: scenario.Scenario | None, attempts: list[ServerAttempt]) -> list[list[int]]:
        """By second of the play: requests meant to begin in it, those of them answered, sends to servers."""
        path, seconds = self.folder / "ledger.jsonl", math.ceil(self.made.fleet.seconds)
        if made is None or not path.exists():
            return []
        answered = {one.ident.split("-")[1] for one in read_ledger(path) if one.answers}
        rows = [[second, 0, 0, 0] for second in range(seconds)]
        for one in planned_requests(made):
            row = rows[min(int(one.intended_s), seconds - 1)]
            row[1] += 1
            row[2] += str(one.number) in answered
        for attempt in attempts:
            if 0 <= (second := int(attempt.came_s - self._began)) < seconds:
                rows[second][3] += 1
        return rows

    def _sent(self, made: scenario.Scenario | None, attempts: list[ServerAttempt]) -> Counter[str]:
        """Attempts at the servers, by account's key."""
        if made is None:
            return Counter()
        account = {str(one.number): one.account for one in planned_requests(made)}
        return Counter(account.get(row.ident.split("-")[1], "") for row in attempts)

    # --- Faults -----------------------------------------------------------------------------------------
    async def _faults(self, limiters: FleetProcesses) -> None:
        steps = [(fault.start_s, 1, at, fault) for at, fault in enumerate(self.made.faults)]
        steps += [
            (f.end_s, 0, at, f) for at, f in enumerate(self.made.faults) if f.end_s < self.made.fleet.seconds
        ]
        for when, begins, _, fault in sorted(steps, key=lambda step: step[:3]):
            await asyncio.sleep(max(0.0, self._began + when - time.monotonic()))
            await (limiters.begin_fault(fault) if begins else limiters.end_fault(fault))
