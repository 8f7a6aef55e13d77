"""The platform's limiter: put together from `GW_CONFIG`, served until SIGTERM."""

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
from basaltpoint.daemon.platform_upgrade import PlatformUpgrade, read_predecessor_state
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

SWEEP_S = 0.25
CONTROL_BACKLOG = 128
SEED = 0x5BD1E995  # sets the watch's chance apart from the module's


async def _sweep(limiter: Limiter, clients: ClientConnections) -> None:
    while True:
        await asyncio.sleep(SWEEP_S)
        try:
            limiter.sweep()
            clients.sweep()
        except Exception:
            log.exception("a sweep failed; the next one goes on")  # without any, what stands still stays


def _reload(watch: Watch) -> None:
    """Take up the replaced file; one that can't be read leaves all as it is."""
    try:
        address = configuration.reload_discovery(os.environ)
    except ConfigError as error:
        log.error("the configuration stays as it was: %s", error)
        return
    log.info("discovery is at %s:%d", *address)
    watch.set_address(address)


async def _answer_operators(address: Address, limiter: Limiter, clients: ClientConnections) -> None:
    """Answer operators' calls until cancelled; where the address can't be had, serve without."""

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
        yield "eof"

    try:
        listening = await open_listener_when_free(address, CONTROL_BACKLOG)
    except OSError as error:
        log.error("nobody can call at %s:%d: %s", *address, error)
        return
    console = Console(listening, {"readyz": readyz, "telemetry": telemetry, "rules": rules})
    console.listen()
    try:
        await asyncio.Event().wait()
    finally:
        console.close()


async def _listen(limiter: Limiter, clients: ClientConnections, wait: bool) -> None:
    """Take clients; with `wait` only once the list of servers may be acted on: the older process serves."""
    if wait:
        await limiter.list_confirmed.wait()
    clients.listen()


async def serve(config: configuration.Config, held: socket.socket | None = None) -> None:
    """Serve until told to end, then finish what was taken. `held`: the platform's listening socket."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    own = None if held else await open_listener_when_free(config.listen, BACKLOG)
    path = socket_path(os.environ.get("TMPDIR"), config.name) if held else None
    found = connect_to_predecessor(path) if path else None
    grace_s = config.settings.drain_grace_ms / 1000
    ask_within_s = config.settings.discovery_confirm_ms / 1000 if config.settings.must_subscribe else None
    lease = MembershipLease(time.monotonic(), grace_s, ask_within_s)
    log.info("lists of servers are %s", "pushed" if ask_within_s is None else "asked for")
    limiter = Limiter(config, read_predecessor_state(found[1]) if found else None, lease)
    most = int((config.sockets - RESERVED_DESCRIPTORS) * (1 - SERVER_SOCKET_FRACTION))
    clients = ClientConnections(limiter, config.settings, config.listen, most, config.body_bytes, held, own)
    rng = random.Random(config.seed ^ SEED)
    backoff = Backoff(rng, grace_s)
    watch = Watch(config.discovery, limiter.update_servers, backoff, lease, limiter.lease_changed)
    watch.seq = limiter.known_seq
    loop.add_signal_handler(signal.SIGHUP, _reload, watch)
    if signals.was_received(signal.SIGHUP):
        _reload(watch)
    if signals.was_received(signal.SIGTERM, signal.SIGINT):
        stop.set()
    tasks = [loop.create_task(watch.run()), loop.create_task(_sweep(limiter, clients))]
    upgrade = PlatformUpgrade(limiter, clients, path, found[0] if found else None) if path else None
    listening = loop.create_task(_listen(limiter, clients, wait=found is not None))
    if config.control:
        tasks.append(loop.create_task(_answer_operators(config.control, limiter, clients)))
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


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    if os.environ.get("GW_TRACE"):
        trace.enable()
    try:
        config = configuration.load(os.environ)
        held = inherited_listening_socket(config.socket_fd) if config.socket_fd is not None else None
    except ConfigError as error:
        log.error("%s", error)
        return 2
    # The start's objects stay for good; searching them again and again would stall requests.
    gc.freeze()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(config, held))
    return 0
