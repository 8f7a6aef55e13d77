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

from basaltpoint.rehearsal.soak.clients import Clients, Habits
from basaltpoint.rehearsal.soak.invariants import KILL_S, Finding, judge
from basaltpoint.rehearsal.soak.plan import SYSTEM_WEIGHTS, Fault, Kind, plan
from basaltpoint.rehearsal.soak.processes import Limiter, own_address
from basaltpoint.rehearsal.soak.records import AgentRecord, Record, ServerStart, SlowStart
from basaltpoint.rehearsal.soak.servers import Keys, PlatformServer, ServerFaults
from basaltpoint.rehearsal.soak.system import system_strike
from basaltpoint.rehearsal.system_faults.library import build
from basaltpoint.standins.discovery import Agent, AgentFaults, Registry

GRACE_S = 0.25
WINDOW_S = 1.0  # in which servers drop repeats under a key
LONGEST_S = 2.0  # deadline of all classes
STALL_MOST_S = 0.15  # a limiter may be held up for so long (STANDING)
SLOW_S = (0.2, 0.9)  # until a slow agent's first word
REFUSE_MOST_S = 2.0  # a busy discovery refuses calls; for longer a limiter takes it to be away
READY_S = 60.0  # until all limiters take clients; the platform waits for 30 s
SPARE = 1.25  # capacity of the servers to the load
FIRST_SERVER = 120  # number of the first server's address; those before are limiters'
MOST_CASES = 30  # told one by one in a report
LAG_S = 0.005  # how often the driver looks how late it is
OUTAGE_FACTOR = 2.0  # of a fault's length: discovery is down for longer than other faults last
AGENT_DELAY_S = (0.05, 0.25)  # from a change at discovery to an agent's having it
KILLED_S = (0.3, 1.2)  # until a killed limiter is started again


@dataclass(frozen=True, slots=True)
class Options:
    """How large a run is. `per_limiter`: requests a second."""

    seed: int
    limiters: int = 24
    servers: int = 12
    seconds: float = 20.0
    per_limiter: float = 12.0
    trace: bool = False
    system_faults: bool = False


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a run showed."""

    options: Options
    findings: tuple[Finding, ...]
    codes: dict[int, int]  # final answers by code
    attempts: int
    faults: Counter[str]
    worst_lag_s: float

    @property
    def served(self) -> float:
        """The part of the answered requests that a server answered."""
        return self.codes.get(200, 0) / max(1, sum(self.codes.values()))


def settings(options: Options) -> dict[str, Any]:
    """As the platform tells a limiter."""
    long_ms = LONGEST_S * 1000
    common = {"aimMs": 1000.0, "hardLimitMs": long_ms}
    return {
        "balancers": options.limiters,
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


def slow_start(options: Options) -> SlowStart:
    """What servers can take: warm ones a quarter more than all of the load, shared out evenly."""
    guarantees = settings(options)["guarantees"]
    capacity = SPARE * options.per_limiter * options.limiters / options.servers
    return SlowStart(
        guarantees["coldFrom"],
        guarantees["coldMs"] / 1000,
        guarantees["tipMultiple"],
        guarantees["fallMs"] / 1000,
        capacity,
    )


class Soak:
    """One run."""

    def __init__(self, options: Options, folder: Path) -> None:
        self.options = options
        self.rng = random.Random(options.seed * 7919 + 1)
        self.record = Record(GRACE_S, WINDOW_S, LONGEST_S, slow_start=slow_start(options))
        self.keys = Keys(WINDOW_S)
        self.servers: list[PlatformServer] = []
        library = build(folder) if options.system_faults else None
        self.limiters = [
            Limiter(n, folder, settings(options) | {"me": n}, self.record, options.trace, library)
            for n in range(options.limiters)
        ]
        self.agents: dict[str, Agent] = {}
        self._all_agents: list[Agent] = []
        self._named = 0

    # --- Putting it together -------------------------------------------------------------------------
    def _server(self) -> PlatformServer:
        self._named += 1
        rng = random.Random(self.rng.random())
        made = PlatformServer(f"s-{self._named:03d}", rng, self.keys, self.record.arrivals.append)
        made.address = own_address(FIRST_SERVER + self._named)
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
        for _ in range(self.options.servers):
            self.servers.append(self._server())
            await self.servers[-1].start()
        self.registry = Registry([server.entry() for server in self.servers])
        self.record.changes = self.registry.changes
        for limiter in self.limiters:
            agent = await self._agent(limiter)
            limiter.configure(agent.address, self.registry.list_at(1))
            await limiter.start()
        async with asyncio.timeout(READY_S):
            await asyncio.gather(*(limiter.up() for limiter in self.limiters))

    async def _play_all(self) -> None:
        addresses = [
            (lim.name, lim.address.split(":")[0], int(lim.address.split(":")[1])) for lim in self.limiters
        ]
        self.clients = Clients(addresses, random.Random(self.rng.random()), self.record.asked)
        lag = asyncio.create_task(self._measure_lag())
        begun = monotonic()
        load = asyncio.create_task(
            self.clients.load(self.options.per_limiter * self.options.limiters, self.options.seconds)
        )
        faults = [
            asyncio.create_task(self._play(fault, begun))
            for fault in plan(self.options.seed, self.options.seconds, self.options.system_faults)
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
            if not await limiter.ended(LONGEST_S + KILL_S + 1.0):
                await limiter.kill()
            limiter.read_log()
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
                self.record.lags.append((monotonic(), lag))

    def _verdict(self) -> Verdict:
        record = self.record
        return Verdict(
            self.options,
            tuple(judge(record)),
            dict(Counter(asked.code for asked in record.asked if asked.code)),
            len(record.arrivals),
            Counter(text.partition(" ")[0] for _, text in record.faults),
            max((lag for _, lag in record.lags), default=0.0),
        )

    # --- Faults --------------------------------------------------------------------------------------
    def _some(self, of: list[Any], part: float) -> list[Any]:
        return self.rng.sample(of, max(1, int(len(of) * part))) if of else []

    async def _play(self, fault: Fault, begun: float) -> None:
        await asyncio.sleep(max(0.0, begun + fault.at_s - monotonic()))
        kind = fault.kind
        if kind in (Kind.LIMITER_KILL, Kind.LIMITER_TERM, Kind.LIMITER_RELOAD, Kind.LIMITER_STALL):
            part = fault.part if kind is not Kind.LIMITER_TERM else 0.0
            struck = [limiter for limiter in self._some(self.limiters, part) if not limiter.busy]
            self._note(fault, [limiter.name for limiter in struck])
            await asyncio.gather(*(self._strike_limiter(kind, limiter) for limiter in struck))
        elif kind in (Kind.SERVER_REPLACED, Kind.SERVER_CRASH):
            await self._strike_one_server(fault)
        elif kind.name.startswith("SERVER"):
            await self._strike_servers(fault)
        elif kind is Kind.CLIENT_LEAVES:
            self._note(fault, [])
            self.clients.habits = Habits(leave=0.4, half=0.05, slow=0.1)
            await asyncio.sleep(fault.for_s)
            self.clients.habits = Habits()
        elif kind is Kind.DISCOVERY_OUTAGE:
            await self._strike_discovery(fault)
        elif kind in SYSTEM_WEIGHTS:
            await self._strike_system(fault)
        else:
            await self._strike_agents(fault)

    async def _strike_system(self, fault: Fault) -> None:
        struck = self._some(self.limiters, fault.part)
        strike = system_strike(fault, self.rng)
        self._note(fault, [limiter.name for limiter in struck], strike.text)
        tables = [limiter.system for limiter in struck if limiter.system]
        for table in tables:
            strike.begin(table)
        await asyncio.sleep(strike.for_s)
        for table in tables:
            strike.end(table)

    def _note(self, fault: Fault, struck: list[str], more: str = "") -> None:
        text = f"{fault.kind.name.lower()} {fault.for_s:.1f} s: {' '.join(struck)} {more}".rstrip()
        self.record.faults.append((monotonic(), text))

    async def _strike_limiter(self, kind: Kind, limiter: Limiter) -> None:
        limiter.busy = True
        if kind is Kind.LIMITER_STALL:
            limiter.signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.02, STALL_MOST_S - 0.02))
            limiter.signal(signal.SIGCONT)
        elif kind is Kind.LIMITER_RELOAD:
            agent = await self._agent(limiter)
            limiter.configure(agent.address, self.registry.list_at(self.registry.version))
            limiter.signal(signal.SIGHUP)
        else:
            if kind is Kind.LIMITER_TERM:
                limiter.signal(signal.SIGTERM)
                await limiter.ended(LONGEST_S + KILL_S)
            # The page on starts: the list as this limiter last had it, so as of its process's end.
            known = self.registry.list_at(self.agents[limiter.name].version)
            await limiter.kill()
            if kind is Kind.LIMITER_KILL:
                await asyncio.sleep(self.rng.uniform(*KILLED_S))
            limiter.configure(self.agents[limiter.name].address, known)
            await limiter.start()
        limiter.busy = False

    async def _strike_agents(self, fault: Fault) -> None:
        names = self._some(sorted(self.agents), fault.part)
        self._note(fault, names)
        agents = [self.agents[name] for name in names]
        for agent in agents:
            self._begin_with(agent, fault.kind)
        length = min(fault.for_s, REFUSE_MOST_S) if fault.kind is Kind.AGENT_REFUSES else fault.for_s
        await asyncio.sleep(length)
        for agent in agents:
            if fault.kind is Kind.AGENT_DOWN:
                agent.restore_discovery()
            elif fault.kind in (Kind.AGENT_SLOW, Kind.AGENT_REFUSES, Kind.LIST_PIECES):
                agent.faults = AgentFaults(down=agent.faults.down)

    async def _strike_discovery(self, fault: Fault) -> None:
        """All agents are silent, for as long as the run's quiet end allows."""
        self._note(fault, ["all"])
        agents = list(self.agents.values())
        for agent in agents:
            agent.faults.down = True
        await asyncio.sleep(fault.for_s * OUTAGE_FACTOR)
        for agent in agents:
            agent.restore_discovery()

    def _begin_with(self, agent: Agent, kind: Kind) -> None:
        match kind:
            case Kind.AGENT_DOWN:
                agent.faults.down = True
            case Kind.AGENT_SLOW:
                agent.faults.response_delay_s = SLOW_S
            case Kind.AGENT_REFUSES:
                agent.faults.status = 503
            case Kind.WATCH_RESET:
                agent.reset_watches()
            case Kind.WATCH_MUTE:
                agent.silence_watches()
                for rows in self.record.agents.values():
                    for _, row in rows:
                        if row.had is agent.versions:
                            row.muted_at.append(monotonic())
            case Kind.LIST_TORN:
                agent.faults.truncate_next_list = True
            case Kind.LIST_PIECES:
                agent.faults.chunk_bytes = 200

    async def _strike_one_server(self, fault: Fault) -> None:
        server = self.rng.choice(self.servers)
        self._note(fault, [server.name])
        if fault.kind is Kind.SERVER_CRASH:
            await server.crash()
            await asyncio.sleep(min(1.0, fault.for_s))
            await server.restart()
            if server in self.servers:
                self._started_cold(server)
            return
        fresh = self._server()
        self.servers.remove(server)
        self.servers.append(fresh)
        self.registry.apply_change(server.entry("leaving"))
        await fresh.start()
        fresh.born_ms = time.time() * 1000
        self._started_cold(fresh)
        await asyncio.sleep(3.0)
        self.registry.apply_change(server.entry("left"))
        await asyncio.sleep(1.0)
        await server.crash()

    def _started_cold(self, server: PlatformServer) -> None:
        version = self.registry.apply_change(server.entry())
        self.record.starts.append(ServerStart(server.name, monotonic(), version))

    async def _strike_servers(self, fault: Fault) -> None:
        struck = self._some(self.servers, min(fault.part, 0.2))
        self._note(fault, [server.name for server in struck])
        for server in struck:
            match fault.kind:
                case Kind.SERVER_HANG:
                    server.faults.hangs = True
                case Kind.SERVER_RESET:
                    server.faults.resets = 0.3
                case Kind.SERVER_ERROR:
                    server.faults.errors = server.faults.declines = 0.3
                case Kind.SERVER_IDLE_CLOSE:
                    server.faults.idle_s = 0.03
                case _:
                    server.faults.spoilt = server.faults.no_length = 0.2
        await asyncio.sleep(fault.for_s)
        for server in struck:
            server.faults = ServerFaults()


def report(verdict: Verdict, record: Record) -> str:
    """The verdict in words; with findings, the faults and cases in the order of time."""
    options, start = verdict.options, record.lives[0].started_at if record.lives else 0.0
    lines = [
        f"seed {options.seed}: {options.limiters} limiters, {options.servers} servers, "
        f"{options.seconds:.0f} s, {len(record.asked)} requests, {verdict.attempts} attempts, "
        f"{verdict.served:.0%} served, {len(record.faults)} faults, "
        f"driver at most {verdict.worst_lag_s * 1000:.0f} ms late",
        f"  answers: {dict(sorted(verdict.codes.items()))}",
        f"  findings: {dict(Counter(finding.rule for finding in verdict.findings)) or 'none'}",
    ]
    if verdict.findings:
        rows = [(at, f"fault  {text}") for at, text in record.faults]
        cases = verdict.findings[:MOST_CASES]
        rows += [(finding.at, f"BROKEN {finding.rule}: {finding.text}") for finding in cases]
        lines += [f"  {max(0.0, at - start):7.3f} {text}" for at, text in sorted(rows)]
    return "\n".join(lines)
