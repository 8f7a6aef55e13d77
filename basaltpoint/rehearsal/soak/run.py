"""One run of the soak test: injects the fault plan of a seed and checks the invariants afterwards."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from time import monotonic
from typing import Any

from basaltpoint.rehearsal.soak.clients import Clients
from basaltpoint.rehearsal.soak.injection import FaultInjector
from basaltpoint.rehearsal.soak.invariants import SIGKILL_DELAY_S, Finding, check_invariants
from basaltpoint.rehearsal.soak.plan import generate_plan
from basaltpoint.rehearsal.soak.processes import Limiter, unique_loopback_address
from basaltpoint.rehearsal.soak.records import AgentRecord, SlowStart, SoakRecord
from basaltpoint.rehearsal.soak.servers import IdempotencyKeys, PlatformServer
from basaltpoint.rehearsal.system_faults.library import build_library
from basaltpoint.standins.discovery import Agent, Registry

DRAIN_GRACE_S = 0.25
DEDUPLICATION_WINDOW_S = 1.0  # in which servers drop a repeated idempotency key
MAX_DEADLINE_S = 2.0  # hard limit of all request classes
READY_TIMEOUT_S = 60.0  # until all limiters accept clients; the platform waits 30 s
CAPACITY_TO_LOAD_RATIO = 1.25  # of all servers, when warm
FIRST_SERVER_NUMBER = 120  # address numbers below are those of limiters
MAX_REPORTED_FINDINGS = 30  # listed in a report
LAG_INTERVAL_S = 0.005  # between two measurements of the driver's delay
AGENT_DELAY_RANGE_S = (0.05, 0.25)  # from a change at discovery until an agent has it


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """The size of a run and its switches."""

    seed: int
    limiter_count: int = 24
    server_count: int = 12
    load_s: float = 20.0  # duration of the load
    requests_per_s: float = 12.0  # for each limiter
    trace: bool = False
    system_faults: bool = False


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a run."""

    options: SoakOptions
    findings: tuple[Finding, ...]
    status_counts: dict[int, int]  # final responses by status code
    attempt_count: int
    fault_counts: Counter[str]
    max_driver_lag_s: float

    @property
    def served_fraction(self) -> float:
        """The fraction of the final responses that are a 200 from a server."""
        return self.status_counts.get(200, 0) / max(1, sum(self.status_counts.values()))


def limiter_settings(options: SoakOptions) -> dict[str, Any]:
    """Returns the settings as the platform passes them to a limiter."""
    max_deadline_ms = MAX_DEADLINE_S * 1000
    common = {"aimMs": 1000.0, "hardLimitMs": max_deadline_ms}
    return {
        "balancers": options.limiter_count,
        "me": 0,
        "zones": ["hall-a"],
        "services": [
            {"name": "read", "effect": "idempotent", **common},
            {"name": "upload", "effect": "deduplicated", "windowMs": DEDUPLICATION_WINDOW_S * 1000, **common},
            {"name": "fix", "effect": "at_most_once", **common},
        ],
        "contracts": [{"name": "basic", "rate": 1000.0, "mostAtOnce": 2000.0}],
        "guarantees": {
            "coldFrom": 0.3,
            "coldMs": 4000.0,
            "tipMultiple": 2.0,
            "fallMs": 1000.0,
            "drainGraceMs": DRAIN_GRACE_S * 1000,
        },
        "ceilings": {"maxAttempts": 3, "cancel": True, "connectTimeoutMs": 250.0, "connIdleMs": 15000.0},
        "specifics": {"mostUnits": 6},
        "report": {"fields": ["rif", "rate"], "how": "pull"},
    }


def server_slow_start(options: SoakOptions) -> SlowStart:
    """Returns the servers' capacity: warm servers withstand a quarter more than an even share of the load."""
    guarantees = limiter_settings(options)["guarantees"]
    capacity = CAPACITY_TO_LOAD_RATIO * options.requests_per_s * options.limiter_count / options.server_count
    return SlowStart(
        guarantees["coldFrom"],
        guarantees["coldMs"] / 1000,
        guarantees["tipMultiple"],
        guarantees["fallMs"] / 1000,
        capacity,
    )


class Soak:
    """One run of the soak test."""

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        self.options = options
        self.rng = random.Random(options.seed * 7919 + 1)
        self.record = SoakRecord(
            DRAIN_GRACE_S,
            DEDUPLICATION_WINDOW_S,
            MAX_DEADLINE_S,
            slow_start=server_slow_start(options),
            has_system_faults=options.system_faults,
        )
        self.keys = IdempotencyKeys(DEDUPLICATION_WINDOW_S)
        self.servers: list[PlatformServer] = []
        library = build_library(folder) if options.system_faults else None
        self.limiters = [
            Limiter(n, folder, limiter_settings(options) | {"me": n}, self.record, options.trace, library)
            for n in range(options.limiter_count)
        ]
        self.agents: dict[str, Agent] = {}
        self._all_agents: list[Agent] = []
        self._server_count = 0

    # --- Start and stop ------------------------------------------------------------------------------
    def new_server(self) -> PlatformServer:
        """Returns a new server; the caller starts it."""
        self._server_count += 1
        rng = random.Random(self.rng.random())
        server = PlatformServer(f"s-{self._server_count:03d}", rng, self.keys, self.record.arrivals.append)
        server.address = unique_loopback_address(FIRST_SERVER_NUMBER + self._server_count)
        return server

    async def new_agent(self, limiter: Limiter) -> Agent:
        """Starts a new agent for a limiter; the caller configures the limiter with its address."""
        agent = Agent(self.registry, random.Random(self.rng.random()), AGENT_DELAY_RANGE_S)
        await agent.start()
        self._all_agents.append(agent)
        self.agents[limiter.name] = agent
        self.record.agents.setdefault(limiter.name, []).append((monotonic(), AgentRecord(agent.versions)))
        return agent

    async def run(self) -> Verdict:
        """Starts everything, runs the plan and stops everything, also if a step fails."""
        try:
            await self._start_processes()
            await self._run_plan()
        finally:
            await self._stop()
        return self._make_verdict()

    async def _start_processes(self) -> None:
        for _ in range(self.options.server_count):
            self.servers.append(self.new_server())
            await self.servers[-1].start()
        self.registry = Registry([server.list_entry() for server in self.servers])
        self.record.list_changes = self.registry.changes
        for limiter in self.limiters:
            agent = await self.new_agent(limiter)
            limiter.configure(agent.address, self.registry.list_at(1))
            await limiter.start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            await asyncio.gather(*(limiter.wait_until_ready() for limiter in self.limiters))

    async def _run_plan(self) -> None:
        addresses = [
            (limiter.name, limiter.address.split(":")[0], int(limiter.address.split(":")[1]))
            for limiter in self.limiters
        ]
        self.clients = Clients(addresses, random.Random(self.rng.random()), self.record.requests)
        lag_task = asyncio.create_task(self._measure_lag())
        started_at = monotonic()
        load_task = asyncio.create_task(
            self.clients.generate_load(
                self.options.requests_per_s * self.options.limiter_count, self.options.load_s
            )
        )
        injector = FaultInjector(self, MAX_DEADLINE_S)
        fault_tasks = [
            asyncio.create_task(injector.inject(fault, started_at))
            for fault in generate_plan(self.options.seed, self.options.load_s, self.options.system_faults)
        ]
        try:
            await asyncio.gather(load_task, *fault_tasks)
        finally:
            # If one task failed, another could restart a limiter after _stop.
            for task in (lag_task, load_task, *fault_tasks):
                task.cancel()
            self.clients.close()

    async def _stop(self) -> None:
        for limiter in self.limiters:
            limiter.signal(signal.SIGCONT)
            limiter.signal(signal.SIGTERM)
        for limiter in self.limiters:
            if not await limiter.wait_for_exit(MAX_DEADLINE_S + SIGKILL_DELAY_S + 1.0):
                await limiter.kill()
            limiter.scan_log()
        for agent in self._all_agents:
            await agent.close()
        for server in self.servers:
            await server.crash()

    async def _measure_lag(self) -> None:
        while True:
            before = monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            lag_s = monotonic() - before - LAG_INTERVAL_S
            if lag_s > LAG_INTERVAL_S:
                self.record.driver_lags.append((monotonic(), lag_s))

    def _make_verdict(self) -> Verdict:
        record = self.record
        return Verdict(
            self.options,
            tuple(check_invariants(record)),
            dict(Counter(request.status_code for request in record.requests if request.status_code)),
            len(record.arrivals),
            Counter(text.partition(" ")[0] for _, text in record.faults),
            max((lag_s for _, lag_s in record.driver_lags), default=0.0),
        )


def format_report(verdict: Verdict, record: SoakRecord) -> str:
    """Returns the verdict as text; if there are findings, with the faults and findings ordered by time."""
    options, started_at = verdict.options, record.processes[0].started_at if record.processes else 0.0
    lines = [
        f"seed {options.seed}: {options.limiter_count} limiters, {options.server_count} servers, "
        f"{options.load_s:.0f} s, {len(record.requests)} requests, {verdict.attempt_count} attempts, "
        f"{verdict.served_fraction:.0%} served, {len(record.faults)} faults, "
        f"driver at most {verdict.max_driver_lag_s * 1000:.0f} ms late",
        f"  answers: {dict(sorted(verdict.status_counts.items()))}",
        f"  findings: {dict(Counter(finding.invariant for finding in verdict.findings)) or 'none'}",
    ]
    if verdict.findings:
        events = [(occurred_at, f"fault  {text}") for occurred_at, text in record.faults]
        reported_findings = verdict.findings[:MAX_REPORTED_FINDINGS]
        events += [
            (finding.occurred_at, f"BROKEN {finding.invariant}: {finding.text}")
            for finding in reported_findings
        ]
        lines += [f"  {max(0.0, at - started_at):7.3f} {text}" for at, text in sorted(events)]
    return "\n".join(lines)
