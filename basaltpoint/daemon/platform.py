"""The platform's limiter: built from `GW_CONFIG`, serves until SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import random
import signal
import socket
import time
from collections.abc import Iterable

import uvloop

from basaltpoint.config.address import Address, ConfigError, inherited_listening_socket
from basaltpoint.daemon import signals
from basaltpoint.daemon.platform_upgrade import PlatformUpgrade, open_claims, read_predecessor_state
from basaltpoint.fronts.control.console import Console
from basaltpoint.fronts.platform import config as configuration
from basaltpoint.fronts.platform.clients import BACKLOG, ClientConnections
from basaltpoint.fronts.platform.limiter import RESERVED_DESCRIPTORS, SERVER_SOCKET_FRACTION, Limiter
from basaltpoint.handover.link import connect_to_predecessor, socket_path
from basaltpoint.membership.backoff import Backoff
from basaltpoint.membership.discovery import Watch
from basaltpoint.membership.lease import MembershipLease
from basaltpoint.system.listening import open_listener_when_free
from basaltpoint.telemetry import trace

log = logging.getLogger("basaltpoint")

SWEEP_INTERVAL_S = 0.25
CONTROL_BACKLOG = 128
BACKOFF_SEED_MASK = 0x5BD1E995  # separates the backoff's random numbers from the decision module's


async def _sweep(limiter: Limiter, clients: ClientConnections) -> None:
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        try:
            limiter.sweep()
            clients.sweep()
        except Exception:
            # Without sweeps, stalled requests and connections would never be closed.
            log.exception("a sweep failed; the next one runs as scheduled")


def _reload(watch: Watch) -> None:
    """Reads the replaced configuration file; if it is invalid, nothing changes."""
    try:
        address = configuration.reload_discovery(os.environ)
    except ConfigError as error:
        log.error("the configuration stays as it was: %s", error)
        return
    log.info("discovery is at %s:%d", *address)
    watch.set_address(address)


async def _serve_control(address: Address, limiter: Limiter, clients: ClientConnections) -> None:
    """Answers operators' calls until cancelled. The limiter serves without them if it can't listen."""

    def readyz() -> Iterable[str]:
        if clients.ready:
            yield "ok"
        elif clients.draining:
            yield "fail draining"
        else:
            yield (
                "fail no server is known"
                if limiter.list_confirmed.is_set()
                else "fail servers are not confirmed"
            )

    def telemetry() -> Iterable[str]:
        yield "ok"
        yield from limiter.figures.metric_lines(limiter.gauges())
        yield "eof"

    def rules() -> Iterable[str]:
        yield "ok"
        yield from limiter.guard.metric_lines()
        yield from clients.close_guard.metric_lines()
        yield from limiter.response_times.metric_lines()
        if limiter.claims:
            yield from limiter.claims.metric_lines()
        yield "eof"

    try:
        listening = await open_listener_when_free(address, CONTROL_BACKLOG)
    except OSError as error:
        log.error("the control address %s:%d can't be opened: %s", *address, error)
        return
    console = Console(listening, {"readyz": readyz, "telemetry": telemetry, "rules": rules})
    console.listen()
    try:
        await asyncio.Event().wait()
    finally:
        console.close()


async def _listen(limiter: Limiter, clients: ClientConnections, wait: bool) -> None:
    """Starts accepting clients.

    `wait`: first wait until the server list is confirmed; until then the predecessor serves.
    """
    if wait:
        await limiter.list_confirmed.wait()
    clients.listen()


async def serve(config: configuration.Config, inherited_listener: socket.socket | None = None) -> None:
    """Serves until SIGTERM or SIGINT, then completes the accepted requests.

    `inherited_listener`: the listening socket that the platform passed to this process.
    """
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    own_listener = None if inherited_listener else await open_listener_when_free(config.listen, BACKLOG)
    folder = os.environ.get("TMPDIR") if inherited_listener else None  # of files that processes share
    path = socket_path(folder, config.name)
    connected = connect_to_predecessor(path) if path else None
    grace_s = config.settings.drain_grace_ms / 1000
    confirm_within_s = config.settings.discovery_confirm_ms / 1000 if config.settings.must_subscribe else None
    lease = MembershipLease(time.monotonic(), grace_s, confirm_within_s)
    log.info("server lists are %s", "pushed" if confirm_within_s is None else "requested")
    claims = open_claims(folder, config.name)
    limiter = Limiter(config, read_predecessor_state(connected[1]) if connected else None, lease, claims)
    max_connections = int((config.sockets - RESERVED_DESCRIPTORS) * (1 - SERVER_SOCKET_FRACTION))
    clients = ClientConnections(
        limiter,
        config.settings,
        config.listen,
        max_connections,
        config.body_bytes,
        inherited_listener,
        own_listener,
    )
    rng = random.Random(config.seed ^ BACKOFF_SEED_MASK)
    backoff = Backoff(rng, grace_s)
    watch = Watch(config.discovery, limiter.update_servers, backoff, lease, limiter.lease_changed)
    watch.seq = limiter.known_seq
    loop.add_signal_handler(signal.SIGHUP, _reload, watch)
    if signals.was_received(signal.SIGHUP):
        _reload(watch)
    if signals.was_received(signal.SIGTERM, signal.SIGINT):
        stop.set()
    tasks = [loop.create_task(watch.run()), loop.create_task(_sweep(limiter, clients))]
    upgrade = PlatformUpgrade(limiter, clients, path, connected[0] if connected else None) if path else None
    listening = loop.create_task(_listen(limiter, clients, wait=connected is not None))
    if config.control:
        tasks.append(loop.create_task(_serve_control(config.control, limiter, clients)))
    log.info("%s listens at %s:%d", config.name, *clients.address)
    await stop.wait()
    log.info("draining")
    if upgrade:
        await upgrade.hand_over()
    await clients.drain()
    for task in (*tasks, listening):
        task.cancel()
    if upgrade:
        upgrade.close()
    limiter.close()
    if claims:
        claims.close()


def main() -> int:
    """Returns the exit code: 0, or 2 if the configuration is invalid."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    if os.environ.get("GW_TRACE"):
        trace.enable()
    try:
        config = configuration.load(os.environ)
        inherited_listener = (
            inherited_listening_socket(config.socket_fd) if config.socket_fd is not None else None
        )
    except ConfigError as error:
        log.error("%s", error)
        return 2
    # The objects created so far live as long as the process; without this, each full garbage collection
    # would traverse them and stall requests.
    gc.freeze()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(config, inherited_listener))
    return 0
