"""Injects the faults of a plan into the participants of a soak test."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from time import monotonic
from typing import Any, Protocol

from basaltpoint.rehearsal.soak.clients import ClientBehavior, Clients
from basaltpoint.rehearsal.soak.invariants import SIGKILL_DELAY_S
from basaltpoint.rehearsal.soak.plan import SYSTEM_FAULT_WEIGHTS, Fault, FaultKind
from basaltpoint.rehearsal.soak.processes import Limiter
from basaltpoint.rehearsal.soak.records import ServerStart, SoakRecord
from basaltpoint.rehearsal.soak.servers import PlatformServer, ServerFaults
from basaltpoint.rehearsal.soak.system import make_system_fault
from basaltpoint.standins.discovery import Agent, AgentFaults, Registry

MAX_STALL_S = 0.15  # a limiter may stall for this long (STANDING)
SLOW_RESPONSE_RANGE_S = (0.2, 0.9)  # until a slow agent responds
MAX_REFUSAL_S = 2.0  # a limiter treats discovery that refuses requests for longer as unavailable
OUTAGE_DURATION_RATIO = 2.0  # discovery outages last longer than the planned duration by this factor
SLOW_READ_BYTES_PER_S = (64_000.0, 250_000.0, 1_000_000.0)
CROWD_CLIENTS = 150  # of the 288 connections that a limiter allows
CROWD_FRACTION = 0.3  # of the limiters that are ended
PERSISTENT_CLIENTS = 8  # that send on open connections to a limiter that is ended, until these close
SIGTERM_DELAY_RANGE_S = (0.2, 0.6)  # from their first requests to SIGTERM
LATER_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
SIGNAL_INTERVAL_RANGE_S = (0.005, 0.4)
RESTART_DELAY_RANGE_S = (0.3, 1.2)  # between the kill and the restart of a limiter


class Participants(Protocol):
    """The processes and stand-ins that faults act on."""

    rng: random.Random
    record: SoakRecord
    servers: list[PlatformServer]
    limiters: list[Limiter]
    agents: dict[str, Agent]
    registry: Registry
    clients: Clients

    def new_server(self) -> PlatformServer:
        """Returns a new server; the caller starts it."""

    async def new_agent(self, limiter: Limiter) -> Agent:
        """Starts a new agent for a limiter; the caller configures the limiter with its address."""


class FaultInjector:
    """Injects faults, each from its start to its end."""

    def __init__(self, fleet: Participants, max_deadline_s: float) -> None:
        """`max_deadline_s`: of all request classes."""
        self._fleet = fleet
        self._max_deadline_s = max_deadline_s

    def _sample(self, candidates: list[Any], fraction: float) -> list[Any]:
        return (
            self._fleet.rng.sample(candidates, max(1, int(len(candidates) * fraction))) if candidates else []
        )

    async def inject(self, fault: Fault, started_at: float) -> None:
        await asyncio.sleep(max(0.0, started_at + fault.start_s - monotonic()))
        kind = fault.kind
        if kind in (
            FaultKind.LIMITER_KILL,
            FaultKind.LIMITER_TERM,
            FaultKind.LIMITER_RELOAD,
            FaultKind.LIMITER_STALL,
        ):
            fraction = fault.target_fraction if kind is not FaultKind.LIMITER_TERM else 0.0
            affected = [
                limiter
                for limiter in self._sample(self._fleet.limiters, fraction)
                if not limiter.has_active_fault
            ]
            self._record_fault(fault, [limiter.name for limiter in affected])
            await asyncio.gather(*(self._inject_limiter_fault(kind, limiter) for limiter in affected))
        elif kind in (FaultKind.SERVER_REPLACED, FaultKind.SERVER_CRASH):
            await self._inject_server_restart(fault)
        elif kind.name.startswith("SERVER"):
            await self._inject_server_fault(fault)
        elif kind is FaultKind.CLIENT_LEAVES:
            self._record_fault(fault, [])
            self._fleet.clients.behavior = ClientBehavior(
                disconnect_fraction=0.4, incomplete_fraction=0.05, slow_fraction=0.1
            )
            await asyncio.sleep(fault.duration_s)
            self._fleet.clients.behavior = ClientBehavior()
        elif kind is FaultKind.CLIENT_CROWD:
            affected = self._sample(self._fleet.limiters, fault.target_fraction)
            self._record_fault(fault, [limiter.name for limiter in affected])
            await asyncio.gather(
                *(
                    self._fleet.clients.crowd(limiter.name, CROWD_CLIENTS, fault.duration_s)
                    for limiter in affected
                )
            )
        elif kind is FaultKind.DISCOVERY_OUTAGE:
            await self._inject_discovery_outage(fault)
        elif kind in SYSTEM_FAULT_WEIGHTS:
            await self._inject_system_fault(fault)
        else:
            await self._inject_agent_fault(fault)

    async def _inject_system_fault(self, fault: Fault) -> None:
        affected = self._sample(self._fleet.limiters, fault.target_fraction)
        system_fault = make_system_fault(fault, self._fleet.rng)
        self._record_fault(fault, [limiter.name for limiter in affected], system_fault.text)
        tables = [limiter.fault_table for limiter in affected if limiter.fault_table]
        for table in tables:
            system_fault.begin(table)
        await asyncio.sleep(system_fault.duration_s)
        for table in tables:
            system_fault.end(table)

    def _record_fault(self, fault: Fault, affected: list[str], detail: str = "") -> None:
        text = f"{fault.kind.name.lower()} {fault.duration_s:.1f} s: {' '.join(affected)} {detail}".rstrip()
        self._fleet.record.faults.append((monotonic(), text))

    async def _inject_limiter_fault(self, kind: FaultKind, limiter: Limiter) -> None:
        limiter.has_active_fault = True
        if kind is FaultKind.LIMITER_STALL:
            limiter.signal(signal.SIGSTOP)
            await asyncio.sleep(self._fleet.rng.uniform(0.02, MAX_STALL_S - 0.02))
            limiter.signal(signal.SIGCONT)
        elif kind is FaultKind.LIMITER_RELOAD:
            agent = await self._fleet.new_agent(limiter)
            limiter.configure(agent.address, self._fleet.registry.list_at(self._fleet.registry.version))
            limiter.signal(signal.SIGHUP)
        else:
            if kind is FaultKind.LIMITER_TERM:
                await self._terminate(limiter)
            # The platform's page on starts: a limiter starts with the last list of its previous process.
            known_list = self._fleet.registry.list_at(self._fleet.agents[limiter.name].version)
            await limiter.kill()
            if kind is FaultKind.LIMITER_KILL:
                await asyncio.sleep(self._fleet.rng.uniform(*RESTART_DELAY_RANGE_S))
            limiter.configure(self._fleet.agents[limiter.name].address, known_list)
            await limiter.start()
        limiter.has_active_fault = False

    async def _terminate(self, limiter: Limiter) -> None:
        """Ends a limiter by SIGTERM, and SIGKILL at the earliest; its clients send until then."""
        sending = asyncio.create_task(self._fleet.clients.send_until_closed(limiter.name, PERSISTENT_CLIENTS))
        crowding = asyncio.create_task(
            self._fleet.clients.crowd(limiter.name, CROWD_CLIENTS, self._max_deadline_s)
            if self._fleet.rng.random() < CROWD_FRACTION
            else asyncio.sleep(0)
        )
        await asyncio.sleep(self._fleet.rng.uniform(*SIGTERM_DELAY_RANGE_S))
        limiter.signal(signal.SIGTERM)
        exiting = asyncio.create_task(limiter.wait_for_exit(self._max_deadline_s + SIGKILL_DELAY_S))
        for number in self._fleet.rng.sample(LATER_SIGNALS, self._fleet.rng.randint(0, len(LATER_SIGNALS))):
            await asyncio.sleep(self._fleet.rng.uniform(*SIGNAL_INTERVAL_RANGE_S))
            limiter.signal(number)
        await exiting
        await limiter.kill()
        await asyncio.gather(sending, crowding)

    async def _inject_agent_fault(self, fault: Fault) -> None:
        names = self._sample(sorted(self._fleet.agents), fault.target_fraction)
        self._record_fault(fault, names)
        agents = [self._fleet.agents[name] for name in names]
        for agent in agents:
            self._begin_agent_fault(agent, fault.kind)
        duration_s = (
            min(fault.duration_s, MAX_REFUSAL_S)
            if fault.kind is FaultKind.AGENT_REFUSES
            else fault.duration_s
        )
        await asyncio.sleep(duration_s)
        for agent in agents:
            if fault.kind is FaultKind.AGENT_DOWN:
                agent.restore_discovery()
            elif fault.kind in (FaultKind.AGENT_SLOW, FaultKind.AGENT_REFUSES, FaultKind.LIST_PIECES):
                agent.faults = AgentFaults(down=agent.faults.down)

    async def _inject_discovery_outage(self, fault: Fault) -> None:
        """Takes discovery down for all agents, for as long as the quiet end of the run permits."""
        self._record_fault(fault, ["all"])
        agents = list(self._fleet.agents.values())
        for agent in agents:
            agent.faults.down = True
        await asyncio.sleep(fault.duration_s * OUTAGE_DURATION_RATIO)
        for agent in agents:
            agent.restore_discovery()

    def _begin_agent_fault(self, agent: Agent, kind: FaultKind) -> None:
        match kind:
            case FaultKind.AGENT_DOWN:
                agent.faults.down = True
            case FaultKind.AGENT_SLOW:
                agent.faults.response_delay_s = SLOW_RESPONSE_RANGE_S
            case FaultKind.AGENT_REFUSES:
                agent.faults.status = 503
            case FaultKind.WATCH_RESET:
                agent.reset_watches()
            case FaultKind.WATCH_MUTE:
                agent.silence_watches()
                for agent_records in self._fleet.record.agents.values():
                    for _, agent_record in agent_records:
                        if agent_record.version_history is agent.versions:
                            agent_record.silenced_at.append(monotonic())
            case FaultKind.LIST_TORN:
                agent.faults.truncate_next_list = True
            case FaultKind.LIST_PIECES:
                agent.faults.chunk_bytes = 200

    async def _inject_server_restart(self, fault: Fault) -> None:
        server = self._fleet.rng.choice(self._fleet.servers)
        self._record_fault(fault, [server.name])
        if fault.kind is FaultKind.SERVER_CRASH:
            await server.crash()
            await asyncio.sleep(min(1.0, fault.duration_s))
            await server.restart()
            if server in self._fleet.servers:
                self._announce_cold_start(server)
            return
        replacement = self._fleet.new_server()
        self._fleet.servers.remove(server)
        self._fleet.servers.append(replacement)
        self._fleet.registry.apply_change(server.list_entry("leaving"))
        await replacement.start()
        replacement.started_ms = time.time() * 1000
        self._announce_cold_start(replacement)
        await asyncio.sleep(3.0)
        self._fleet.registry.apply_change(server.list_entry("left"))
        await asyncio.sleep(1.0)
        await server.crash()

    def _announce_cold_start(self, server: PlatformServer) -> None:
        version = self._fleet.registry.apply_change(server.list_entry())
        self._fleet.record.server_starts.append(ServerStart(server.name, monotonic(), version))

    async def _inject_server_fault(self, fault: Fault) -> None:
        affected = self._sample(self._fleet.servers, min(fault.target_fraction, 0.2))
        self._record_fault(fault, [server.name for server in affected])
        for server in affected:
            match fault.kind:
                case FaultKind.SERVER_HANG:
                    server.faults.is_hanging = True
                case FaultKind.SERVER_RESET:
                    server.faults.reset_fraction = 0.3
                case FaultKind.SERVER_ERROR:
                    server.faults.error_fraction = server.faults.rejected_fraction = 0.3
                case FaultKind.SERVER_SLOW:
                    server.faults.is_slow = True
                case FaultKind.SERVER_SLOW_READ:
                    server.faults.read_bytes_per_s = self._fleet.rng.choice(SLOW_READ_BYTES_PER_S)
                case FaultKind.SERVER_LATE_BODY:
                    server.faults.late_body_fraction = 0.5
                case FaultKind.SERVER_IDLE_CLOSE:
                    server.faults.idle_timeout_s = 0.03
                case _:
                    server.faults.malformed_fraction = server.faults.no_length_fraction = 0.2
        await asyncio.sleep(fault.duration_s)
        for server in affected:
            server.faults = ServerFaults()
