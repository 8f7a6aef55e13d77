"""Runs a rehearsal with real limiters, stand-in servers and load, and builds its result."""

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

START_TIMEOUT_S = 30.0  # in which all members must see each other, before the rehearsal starts
SETTLE_TIMEOUT_S = 30.0  # after the end, in which the views must agree again
MAX_LOOP_DELAY_S = 0.25  # of this process's event loop; beyond it, measured times are not valid
# Of the load's plans, if the file defines none; so high that they do not limit.
DEFAULT_BURST, DEFAULT_RATE = 1e6, 1e6


class SlowHostError(Exception):
    """The host was too slow, so the measured times are not valid."""


def limiter_tables(rehearsal: Rehearsal, servers: list[str]) -> str:
    """Returns the TOML text that all limiters share; tables of `[limiter]` replace its own."""
    load = rehearsal.load
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
    settings: dict[str, Any] = {
        "plan": [{"name": plan.name, "rate": DEFAULT_RATE, "burst": DEFAULT_BURST} for plan in load.plan]
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
    return tomli_w.dumps(settings | rehearsal.limiter)


def quota_usage(rehearsal: Rehearsal, attempts: Counter[str], seconds: float) -> dict[str, Any]:
    """Returns per account the units that its quota allows in `seconds`, the attempts sent, and the excess."""
    plans = {row["name"]: row for row in rehearsal.limiter.get("plan", ())}
    found = {}
    for plan in rehearsal.load.plan:
        row = plans.get(plan.name, {"rate": DEFAULT_RATE, "burst": DEFAULT_BURST})
        for n in range(plan.accounts):
            sent, allowed = attempts[account_key(plan, n)], row["burst"] + row["rate"] * seconds
            found[f"{plan.name}-{n}"] = {"allowed": allowed, "sent": sent, "over": max(0.0, sent - allowed)}
    return found


def start_durations(
    lifetimes: Sequence[ProcessLifetime], start_times: Mapping[str, Sequence[tuple[float, int]]]
) -> list[dict[str, Any]]:
    """Returns the seconds from the start of each process until it wrote its start to its journal.

    By then it has read the state of the store and takes its place in the fleet.
    """
    found = []
    for lifetime in lifetimes:
        took = [
            at - lifetime.started_s
            for at, _ in start_times.get(lifetime.name, ())
            if lifetime.started_s <= at < lifetime.ended_s
        ]
        found.append({"name": lifetime.name, "took_s": min(took, default=None)})
    return found


def find_unacknowledged(commands: Iterable[OperatorCommand]) -> list[Finding]:
    """Returns findings for commands that the store did not acknowledge."""
    return [
        Finding(
            command.started_s,
            "not acknowledged",
            (command.limiter, command.server),
            f"{command.command} to be acknowledged: {command.error}",
        )
        for command in commands
        if command.error
    ]


class StartError(Exception):
    """A limiter or replica exited although no fault ended it."""


class RehearsalRun:
    """One rehearsal in its own folder."""

    def __init__(self, rehearsal: Rehearsal, folder: Path, seed: int) -> None:
        self.rehearsal, self.folder, self.seed = rehearsal, folder, seed
        self.max_loop_delay_s = 0.0
        self._servers: list[asyncio.subprocess.Process] = []
        self._started_s = 0.0

    async def run(self) -> dict[str, Any]:
        """Runs the rehearsal and returns its result; raises SlowHostError or StartError."""
        delay_monitor = asyncio.create_task(self._measure_loop_delay())
        self.folder.mkdir(parents=True, exist_ok=True)
        limiters: FleetProcesses | None = None
        try:
            servers = [await self._start_server(at) for at in range(self.rehearsal.fleet.servers)]
            limiters = FleetProcesses(
                self.folder,
                self.rehearsal.limiter_names,
                limiter_tables(self.rehearsal, servers),
                "",
                self.seed,
                self.rehearsal.replica_names,
                inject_system_faults=any(fault.kind in SYSTEM_FAULTS for fault in self.rehearsal.faults),
            )
            await limiters.prepare()
            limiters.start()
            await self._wait_for_agreement(limiters, START_TIMEOUT_S)
            limiters.save_copies()
            probe = self._start_probe(limiters)
            self._started_s = time.monotonic()
            async with asyncio.TaskGroup() as group:
                load_task = group.create_task(self._run_load(limiters))
                group.create_task(self._run_faults(limiters))
                await asyncio.sleep(self.rehearsal.fleet.seconds)
            await self._wait_for_agreement(limiters, SETTLE_TIMEOUT_S, must=False)
            await limiters.wait_for_commands()
            lifetimes, observations = limiters.lifetimes_and_observations()
            members = restrict_to_members(self.rehearsal.faults, self.rehearsal.limiter_names)
            result = build_verdict(
                lifetimes,
                observations,
                members,
                self.rehearsal.fleet.seconds,
                self._started_s,
                time.monotonic(),
            )
            result["members"]["started_s"] = start_durations(lifetimes, limiters.read_journals()[1])
            if probe:
                await probe.stop(SETTLE_TIMEOUT_S)
                result["store"] = longest_delays(probe.record, time.monotonic())
                result["findings"] += self._findings_to_dicts(find_violations(probe.record))
        finally:
            delay_monitor.cancel()
            if limiters:
                await limiters.close()
            for server in self._servers:
                if server.returncode is None:
                    server.terminate()
                    await server.wait()
        # The servers' logs are complete only now.
        attempts = [row for log in self.folder.glob("s*.jsonl") for row in read_server_log(log)]
        sent = self._attempts_by_key(load_task.result(), attempts)
        # Client retries go on after the end of the load, so the quota of that time counts, too.
        last = max((attempt.came_s for attempt in attempts), default=self._started_s) - self._started_s
        result["limits"] = quota_usage(self.rehearsal, sent, max(last, self.rehearsal.fleet.seconds))
        result["requests"], found = self._audit_requests(attempts)
        result["findings"] += found
        result["per_second"] = self._per_second(load_task.result(), attempts)
        if self.rehearsal.replica_names:
            shifted = [shift_times(fault, self._started_s) for fault in self.rehearsal.faults]
            late, found_late = checks.find_late_sends(
                limiters.commands, attempts, shifted, self.rehearsal.replica_names
            )
            result["store"]["late_sends"] = late
            result["findings"] += self._findings_to_dicts(
                [*found_late, *find_unacknowledged(limiters.commands)]
            )
        result["held"] = not result["findings"]
        if self.max_loop_delay_s > MAX_LOOP_DELAY_S:
            raise SlowHostError(
                f"the event loop of the rehearsal was delayed by {self.max_loop_delay_s:.2f} s"
            )
        return result

    def _start_probe(self, limiters: FleetProcesses) -> StoreProbe | None:
        """Starts the probe of the store if there is a store."""
        endpoints = [
            Endpoint(limiters.members[name].own_address, name) for name in self.rehearsal.replica_names
        ]
        return StoreProbe(lambda: Client(endpoints, STORE_CLUSTER)) if endpoints else None

    def _findings_to_dicts(self, found: Iterable[Finding]) -> list[dict[str, Any]]:
        last = self.rehearsal.fleet.seconds
        return [
            finding_to_dict(min(f.at_s - self._started_s, last), f.kind, f.members, f.expected) for f in found
        ]

    async def _measure_loop_delay(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(0.02)
            self.max_loop_delay_s = max(self.max_loop_delay_s, loop.time() - before - 0.02)

    async def _start_server(self, at: int) -> str:
        server = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "basaltpoint", "standin", "--name", f"s{at + 1}", "--log",
            str(self.folder / f"s{at + 1}.jsonl"), "--service", "exp:5", "--once", "/once",
            stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self._servers.append(server)
        assert server.stdout
        return (await server.stdout.readline()).decode().strip()

    async def _wait_for_agreement(self, limiters: FleetProcesses, within_s: float, must: bool = True) -> None:
        """Waits until all running members see each other; raises SlowHostError if `must` and they do not."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if exited := limiters.exited_members():
                raise StartError(f"{exited[0]} exited unexpectedly: {limiters.read_log(exited[0])[-2000:]}")
            lifetimes, observations = limiters.lifetimes_and_observations()
            if not checks.time_to_agreement(lifetimes, observations, 0.0, time.monotonic())[1]:
                return
            await asyncio.sleep(0.1)
        if must:
            raise SlowHostError(f"the limiters did not see each other within {within_s:g} s")

    # --- Load -------------------------------------------------------------------------------------------
    async def _run_load(self, limiters: FleetProcesses) -> scenario.Scenario | None:
        load = self.rehearsal.load
        if not load.plan:
            return None
        targets = [limiters.members[name].client_address for name in self.rehearsal.limiter_names]
        settings: dict[str, Any] = {
            "target": targets, "seed": self.seed, "duration_s": self.rehearsal.fleet.seconds,
            "retries": {"most": 3, "wait_ms": 50},  # each retry at another limiter, as targets take turns
            "plan": msgspec.to_builtins(load.plan), "class": msgspec.to_builtins(load.class_),
        }  # fmt: skip
        path = self.folder / "load.toml"
        path.write_text(tomli_w.dumps(settings))
        load_scenario = scenario.load(path)
        await coordinator.run(path, load_scenario, lambda report: None, ledger=self.folder / "ledger.jsonl")
        return load_scenario

    def _audit_requests(self, attempts: list[ServerAttempt]) -> tuple[dict[str, int], list[dict[str, Any]]]:
        """Compares the records of clients and servers; returns counts of requests, and violations."""
        path = self.folder / "ledger.jsonl"
        records = read_ledger(path) if path.exists() else []
        answered: Counter[str] = Counter()
        for one in records:
            answered[one.ident.rpartition("-")[0]] += one.answers > 0
        found = [one for one in audit(records, attempts) if one.kind != "lost"]
        findings = [finding_to_dict(0.0, one.kind, (), f"{one.ident}: {one.detail}") for one in found]
        unanswered = sum(not count for count in answered.values())
        counts = {
            "asked": len(answered), "answered": len(answered) - unanswered, "none": unanswered,
            "twice": sum(one.kind in ("ran twice", "two at once", "doubled") for one in found),
        }  # fmt: skip
        return counts, findings

    def _per_second(
        self, load_scenario: scenario.Scenario | None, attempts: list[ServerAttempt]
    ) -> list[list[int]]:
        """Returns per second: the requests due, those of them answered, and the attempts at servers."""
        path, seconds = self.folder / "ledger.jsonl", math.ceil(self.rehearsal.fleet.seconds)
        if load_scenario is None or not path.exists():
            return []
        answered = {one.ident.split("-")[1] for one in read_ledger(path) if one.answers}
        rows = [[second, 0, 0, 0] for second in range(seconds)]
        for one in planned_requests(load_scenario):
            row = rows[min(int(one.intended_s), seconds - 1)]
            row[1] += 1
            row[2] += str(one.number) in answered
        for attempt in attempts:
            if 0 <= (second := int(attempt.came_s - self._started_s)) < seconds:
                rows[second][3] += 1
        return rows

    def _attempts_by_key(
        self, load_scenario: scenario.Scenario | None, attempts: list[ServerAttempt]
    ) -> Counter[str]:
        """Returns the number of attempts at the servers by the account's key."""
        if load_scenario is None:
            return Counter()
        account = {str(one.number): one.account for one in planned_requests(load_scenario)}
        return Counter(account.get(row.ident.split("-")[1], "") for row in attempts)

    # --- Faults -----------------------------------------------------------------------------------------
    async def _run_faults(self, limiters: FleetProcesses) -> None:
        steps = [(fault.start_s, 1, at, fault) for at, fault in enumerate(self.rehearsal.faults)]
        steps += [
            (f.end_s, 0, at, f)
            for at, f in enumerate(self.rehearsal.faults)
            if f.end_s < self.rehearsal.fleet.seconds
        ]
        for when, begins, _, fault in sorted(steps, key=lambda step: step[:3]):
            await asyncio.sleep(max(0.0, self._started_s + when - time.monotonic()))
            await (limiters.begin_fault(fault) if begins else limiters.end_fault(fault))
