"""A run of the soak: many limiters, servers and agents under the plan of a seed, then the verdict."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from time import monotonic
from typing import Any

from basaltpoint.rehearsal.soak.clients import ClientBehavior, Clients
from basaltpoint.rehearsal.soak.invariants import SIGKILL_DELAY_S, Finding, check_invariants
from basaltpoint.rehearsal.soak.plan import SYSTEM_FAULT_WEIGHTS, Fault, FaultKind, generate_plan
from basaltpoint.rehearsal.soak.processes import Limiter, unique_loopback_address
from basaltpoint.rehearsal.soak.records import AgentRecord, ServerStart, SlowStart, SoakRecord
from basaltpoint.rehearsal.soak.servers import IdempotencyKeys, PlatformServer, ServerFaults
from basaltpoint.rehearsal.soak.system import system_fault
from basaltpoint.rehearsal.system_faults.library import build_library
from basaltpoint.standins.discovery import Agent, AgentFaults, Registry

GRACE_S = 0.25
WINDOW_S = 1.0  # in which servers drop repeats under a key
LONGEST_S = 2.0  # deadline of all classes
STALL_MOST_S = 0.15  # a limiter may be held up for so long (STANDING)
SLOW_S = (0.2, 0.9)  # until a slow agent's first word
REFUSE_MOST_S = 2.0  # a busy discovery refuses calls; for longer a limiter takes it to be away
READY_TIMEOUT_S = 60.0  # until all limiters take clients; the platform waits for 30 s
SPARE = 1.25  # capacity of the servers to the load
FIRST_SERVER = 120  # number of the first server's address; those before are limiters'
MOST_CASES = 30  # told one by one in a report
LAG_S = 0.005  # how often the driver looks how late it is
OUTAGE_FACTOR = 2.0  # of a fault's length: discovery is down for longer than other faults last
AGENT_DELAY_S = (0.05, 0.25)  # from a change at discovery to an agent's having it
KILLED_S = (0.3, 1.2)  # until a killed limiter is started again


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """How large a run is. `per_limiter`: requests a second."""

    seed: int
    limiter_count: int = 24
    server_count: int = 12
    load_s: float = 20.0
    requests_per_s: float = 12.0
    trace: bool = False
    system_faults: bool = False


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a run showed."""

    options: SoakOptions
    findings: tuple[Finding, ...]
    status_counts: dict[int, int]  # final answers by code
    attempt_count: int
    fault_counts: Counter[str]
    max_driver_lag_s: float

    @property
    def served_fraction(self) -> float:
        """The part of the answered requests that a server answered."""
        return self.status_counts.get(200, 0) / max(1, sum(self.status_counts.values()))


def limiter_settings(options: SoakOptions) -> dict[str, Any]:
    """As the platform tells a limiter."""
    long_ms = LONGEST_S * 1000
    common = {"aimMs": 1000.0, "hardLimitMs": long_ms}
    return {
        "balancers": options.limiter_count,
        "me": 0,
        "zones": ["hall-a"],
        "services": [
            {"name": "read", "effect": "idempotent", **common},
            {"name": "upload", "effect": "deduplicated", "windowMs": WINDOW_S * 1000, **common},
            {"name": "fix", "effect": "at_most_once", **common},
        ],
        "contracts": [{"name": "basic", "rate": 1000.0, "mostAtOnce": 2000.0}],
        "guarantees": {
            "coldFrom": 0.3,
            "coldMs": 4000.0,
            "tipMultiple": 2.0,
            "fallMs": 1000.0,
            "drainGraceMs": GRACE_S * 1000,
        },
        "ceilings": {"maxAttempts": 3, "cancel": True, "connectTimeoutMs": 250.0, "connIdleMs": 15000.0},
        "specifics": {"mostUnits": 6},
        "report": {"fields": ["rif", "rate"], "how": "pull"},
    }


def server_slow_start(options: SoakOptions) -> SlowStart:
    """What servers can take: warm ones a quarter more than all of the load, shared out evenly."""
    guarantees = limiter_settings(options)["guarantees"]
    capacity = SPARE * options.requests_per_s * options.limiter_count / options.server_count
    return SlowStart(
        guarantees["coldFrom"],
        guarantees["coldMs"] / 1000,
        guarantees["tipMultiple"],
        guarantees["fallMs"] / 1000,
        capacity,
    )


class Soak:
    """One run."""

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        self.options = options
        self.rng = random.Random(options.seed * 7919 + 1)
        self.record = SoakRecord(GRACE_S, WINDOW_S, LONGEST_S, slow_start=server_slow_start(options))
        self.keys = IdempotencyKeys(WINDOW_S)
        self.servers: list[PlatformServer] = []
        library = build_library(folder) if options.system_faults else None
        self.limiters = [
            Limiter(n, folder, limiter_settings(options) | {"me": n}, self.record, options.trace, library)
            for n in range(options.limiter_count)
        ]
        self.agents: dict[str, Agent] = {}
        self._all_agents: list[Agent] = []
        self._named = 0

    # --- Putting it together -------------------------------------------------------------------------
    def _server(self) -> PlatformServer:
        self._named += 1
        rng = random.Random(self.rng.random())
        made = PlatformServer(f"s-{self._named:03d}", rng, self.keys, self.record.arrivals.append)
        made.address = unique_loopback_address(FIRST_SERVER + self._named)
        return made

    async def _agent(self, limiter: Limiter) -> Agent:
        """A new agent for a limiter, which is told of it by its configuration."""
        agent = Agent(self.registry, random.Random(self.rng.random()), AGENT_DELAY_S)
        await agent.start()
        self._all_agents.append(agent)
        self.agents[limiter.name] = agent
        self.record.agents.setdefault(limiter.name, []).append((monotonic(), AgentRecord(agent.versions)))
        return agent

    async def run(self) -> Verdict:
        """Start all, play the plan, end all; whatever fails, no process is left behind."""
        try:
            await self._start()
            await self._play_all()
        finally:
            await self._stop()
        return self._verdict()

    async def _start(self) -> None:
        for _ in range(self.options.server_count):
            self.servers.append(self._server())
            await self.servers[-1].start()
        self.registry = Registry([server.list_entry() for server in self.servers])
        self.record.list_changes = self.registry.changes
        for limiter in self.limiters:
            agent = await self._agent(limiter)
            limiter.configure(agent.address, self.registry.list_at(1))
            await limiter.start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            await asyncio.gather(*(limiter.wait_until_ready() for limiter in self.limiters))

    async def _play_all(self) -> None:
        addresses = [
            (lim.name, lim.address.split(":")[0], int(lim.address.split(":")[1])) for lim in self.limiters
        ]
        self.clients = Clients(addresses, random.Random(self.rng.random()), self.record.requests)
        lag = asyncio.create_task(self._measure_lag())
        begun = monotonic()
        load = asyncio.create_task(
            self.clients.generate_load(
                self.options.requests_per_s * self.options.limiter_count, self.options.load_s
            )
        )
        faults = [
            asyncio.create_task(self._play(fault, begun))
            for fault in generate_plan(self.options.seed, self.options.load_s, self.options.system_faults)
        ]
        try:
            await asyncio.gather(load, *faults)
        finally:
            for task in (lag, load, *faults):  # where one failed, another would start a limiter again
                task.cancel()
            self.clients.close()

    async def _stop(self) -> None:
        for limiter in self.limiters:
            limiter.signal(signal.SIGCONT)
            limiter.signal(signal.SIGTERM)
        for limiter in self.limiters:
            if not await limiter.wait_for_exit(LONGEST_S + SIGKILL_DELAY_S + 1.0):
                await limiter.kill()
            limiter.scan_log()
        for agent in self._all_agents:
            await agent.close()
        for server in self.servers:
            await server.crash()

    async def _measure_lag(self) -> None:
        while True:
            before = monotonic()
            await asyncio.sleep(LAG_S)
            lag = monotonic() - before - LAG_S
            if lag > LAG_S:
                self.record.driver_lags.append((monotonic(), lag))

    def _verdict(self) -> Verdict:
        record = self.record
        return Verdict(
            self.options,
            tuple(check_invariants(record)),
            dict(Counter(asked.status_code for asked in record.requests if asked.status_code)),
            len(record.arrivals),
            Counter(text.partition(" ")[0] for _, text in record.faults),
            max((lag for _, lag in record.driver_lags), default=0.0),
        )

    # --- Faults --------------------------------------------------------------------------------------
    def _some(self, of: list[Any], part: float) -> list[Any]:
        return self.rng.sample(of, max(1, int(len(of) * part))) if of else []

    async def _play(self, fault: Fault, begun: float) -> None:
        await asyncio.sleep(max(0.0, begun + fault.start_s - monotonic()))
        kind = fault.kind
        if kind in (
            FaultKind.LIMITER_KILL,
            FaultKind.LIMITER_TERM,
            FaultKind.LIMITER_RELOAD,
            FaultKind.LIMITER_STALL,
        ):
            part = fault.target_fraction if kind is not FaultKind.LIMITER_TERM else 0.0
            struck = [limiter for limiter in self._some(self.limiters, part) if not limiter.has_active_fault]
            self._note(fault, [limiter.name for limiter in struck])
            await asyncio.gather(*(self._strike_limiter(kind, limiter) for limiter in struck))
        elif kind in (FaultKind.SERVER_REPLACED, FaultKind.SERVER_CRASH):
            await self._strike_one_server(fault)
        elif kind.name.startswith("SERVER"):
            await self._strike_servers(fault)
        elif kind is FaultKind.CLIENT_LEAVES:
            self._note(fault, [])
            self.clients.behavior = ClientBehavior(
                disconnect_fraction=0.4, incomplete_fraction=0.05, slow_fraction=0.1
            )
            await asyncio.sleep(fault.duration_s)
            self.clients.behavior = ClientBehavior()
        elif kind is FaultKind.DISCOVERY_OUTAGE:
            await self._strike_discovery(fault)
        elif kind in SYSTEM_FAULT_WEIGHTS:
            await self._strike_system(fault)
        else:
            await self._strike_agents(fault)

    async def _strike_system(self, fault: Fault) -> None:
        struck = self._some(self.limiters, fault.target_fraction)
        strike = system_fault(fault, self.rng)
        self._note(fault, [limiter.name for limiter in struck], strike.text)
        tables = [limiter.fault_table for limiter in struck if limiter.fault_table]
        for table in tables:
            strike.begin(table)
        await asyncio.sleep(strike.duration_s)
        for table in tables:
            strike.end(table)

    def _note(self, fault: Fault, struck: list[str], more: str = "") -> None:
        text = f"{fault.kind.name.lower()} {fault.duration_s:.1f} s: {' '.join(struck)} {more}".rstrip()
        self.record.faults.append((monotonic(), text))

    async def _strike_limiter(self, kind: FaultKind, limiter: Limiter) -> None:
        limiter.has_active_fault = True
        if kind is FaultKind.LIMITER_STALL:
            limiter.signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.02, STALL_MOST_S - 0.02))
            limiter.signal(signal.SIGCONT)
        elif kind is FaultKind.LIMITER_RELOAD:
            agent = await self._agent(limiter)
            limiter.configure(agent.address, self.registry.list_at(self.registry.version))
            limiter.signal(signal.SIGHUP)
        else:
            if kind is FaultKind.LIMITER_TERM:
                limiter.signal(signal.SIGTERM)
                await limiter.wait_for_exit(LONGEST_S + SIGKILL_DELAY_S)
            # The page on starts: the list as this limiter last had it, so as of its process's end.
            known = self.registry.list_at(self.agents[limiter.name].version)
            await limiter.kill()
            if kind is FaultKind.LIMITER_KILL:
                await asyncio.sleep(self.rng.uniform(*KILLED_S))
            limiter.configure(self.agents[limiter.name].address, known)
            await limiter.start()
        limiter.has_active_fault = False

    async def _strike_agents(self, fault: Fault) -> None:
        names = self._some(sorted(self.agents), fault.target_fraction)
        self._note(fault, names)
        agents = [self.agents[name] for name in names]
        for agent in agents:
            self._begin_with(agent, fault.kind)
        length = (
            min(fault.duration_s, REFUSE_MOST_S)
            if fault.kind is FaultKind.AGENT_REFUSES
            else fault.duration_s
        )
        await asyncio.sleep(length)
        for agent in agents:
            if fault.kind is FaultKind.AGENT_DOWN:
                agent.restore_discovery()
            elif fault.kind in (FaultKind.AGENT_SLOW, FaultKind.AGENT_REFUSES, FaultKind.LIST_PIECES):
                agent.faults = AgentFaults(down=agent.faults.down)

    async def _strike_discovery(self, fault: Fault) -> None:
        """All agents are silent, for as long as the run's quiet end allows."""
        self._note(fault, ["all"])
        agents = list(self.agents.values())
        for agent in agents:
            agent.faults.down = True
        await asyncio.sleep(fault.duration_s * OUTAGE_FACTOR)
        for agent in agents:
            agent.restore_discovery()

    def _begin_with(self, agent: Agent, kind: FaultKind) -> None:
        match kind:
            case FaultKind.AGENT_DOWN:
                agent.faults.down = True
            case FaultKind.AGENT_SLOW:
                agent.faults.response_delay_s = SLOW_S
            case FaultKind.AGENT_REFUSES:
                agent.faults.status = 503
            case FaultKind.WATCH_RESET:
                agent.reset_watches()
            case FaultKind.WATCH_MUTE:
                agent.silence_watches()
                for rows in self.record.agents.values():
                    for _, row in rows:
                        if row.version_history is agent.versions:
                            row.silenced_at.append(monotonic())
            case FaultKind.LIST_TORN:
                agent.faults.truncate_next_list = True
            case FaultKind.LIST_PIECES:
                agent.faults.chunk_bytes = 200

    async def _strike_one_server(self, fault: Fault) -> None:
        server = self.rng.choice(self.servers)
        self._note(fault, [server.name])
        if fault.kind is FaultKind.SERVER_CRASH:
            await server.crash()
            await asyncio.sleep(min(1.0, fault.duration_s))
            await server.restart()
            if server in self.servers:
                self._started_cold(server)
            return
        fresh = self._server()
        self.servers.remove(server)
        self.servers.append(fresh)
        self.registry.apply_change(server.list_entry("leaving"))
        await fresh.start()
        fresh.started_ms = time.time() * 1000
        self._started_cold(fresh)
        await asyncio.sleep(3.0)
        self.registry.apply_change(server.list_entry("left"))
        await asyncio.sleep(1.0)
        await server.crash()

    def _started_cold(self, server: PlatformServer) -> None:
        version = self.registry.apply_change(server.list_entry())
        self.record.server_starts.append(ServerStart(server.name, monotonic(), version))

    async def _strike_servers(self, fault: Fault) -> None:
        struck = self._some(self.servers, min(fault.target_fraction, 0.2))
        self._note(fault, [server.name for server in struck])
        for server in struck:
            match fault.kind:
                case FaultKind.SERVER_HANG:
                    server.faults.is_hanging = True
                case FaultKind.SERVER_RESET:
                    server.faults.reset_fraction = 0.3
                case FaultKind.SERVER_ERROR:
                    server.faults.error_fraction = server.faults.rejected_fraction = 0.3
                case FaultKind.SERVER_IDLE_CLOSE:
                    server.faults.idle_timeout_s = 0.03
                case _:
                    server.faults.malformed_fraction = server.faults.no_length_fraction = 0.2
        await asyncio.sleep(fault.duration_s)
        for server in struck:
            server.faults = ServerFaults()


def format_report(verdict: Verdict, record: SoakRecord) -> str:
    """The verdict in words; with findings, the faults and cases in the order of time."""
    options, start = verdict.options, record.processes[0].started_at if record.processes else 0.0
    lines = [
        f"seed {options.seed}: {options.limiter_count} limiters, {options.server_count} servers, "
        f"{options.load_s:.0f} s, {len(record.requests)} requests, {verdict.attempt_count} attempts, "
        f"{verdict.served_fraction:.0%} served, {len(record.faults)} faults, "
        f"driver at most {verdict.max_driver_lag_s * 1000:.0f} ms late",
        f"  answers: {dict(sorted(verdict.status_counts.items()))}",
        f"  findings: {dict(Counter(finding.invariant for finding in verdict.findings)) or 'none'}",
    ]
    if verdict.findings:
        rows = [(at, f"fault  {text}") for at, text in record.faults]
        cases = verdict.findings[:MOST_CASES]
        rows += [(finding.occurred_at, f"BROKEN {finding.invariant}: {finding.text}") for finding in cases]
        lines += [f"  {max(0.0, at - start):7.3f} {text}" for at, text in sorted(rows)]
    return "\n".join(lines)
