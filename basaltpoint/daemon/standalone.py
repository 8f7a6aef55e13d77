"""`basaltpoint serve`: the standalone limiter from its file; reload on SIGHUP, drain on SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import secrets
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from time import monotonic

import msgspec
import uvloop

from basaltpoint.config import build, fleets, storage
from basaltpoint.config.address import parse_address
from basaltpoint.config.build import NumberRegistry, Setup
from basaltpoint.config.decode import FileError, Problem, ProblemCollector, format_value, load_toml
from basaltpoint.config.schema import FleetTable
from basaltpoint.daemon.fleet import Fleet
from basaltpoint.daemon.shared_state import limiter_name
from basaltpoint.daemon.store_adapter import StoreAdapter
from basaltpoint.daemon.store_follower import StartError, StoreFollower
from basaltpoint.daemon.upgrade import Upgrade
from basaltpoint.fronts.http.relay import Relay
from basaltpoint.handover import state, upgrade_state
from basaltpoint.handover.link import socket_path
from basaltpoint.handover.upgrade_state import FleetPlace, HandoverError, UpgradeState
from basaltpoint.store.client import StoreError
from basaltpoint.system.accepting import Acceptor
from basaltpoint.system.listening import open_listener_when_free

log = logging.getLogger("basaltpoint")

SWEEP_S = 0.25
BACKLOG = 1024
CLIENTS, FLEET = "clients", "fleet"  # what a listening socket is for


class Standalone:
    """One limiter from one file."""

    def __init__(self, path: Path, seed: int | None = None) -> None:
        """FileError with every problem of the file; with [store] the rest is known at the start only."""
        self.path = path
        self._numbers = NumberRegistry()
        self.setup: Setup
        self.store_follower: StoreFollower | None = None
        raw = load_toml(path)
        if "store" in raw:
            self.store_follower, self._kept = (
                StoreFollower(storage.parse(raw, path), path, limiter_name(raw)),
                StoreAdapter(self),
            )
        else:
            self.setup = build.build_setup(raw, path, ProblemCollector(str(path)), self._numbers)
        self.name = limiter_name(raw)
        told = raw.get("handover")
        self._handover = str(path.parent / told) if isinstance(told, str) and told else ""
        self.upgrade: Upgrade | None = None
        self._sock: socket.socket
        self.end_reason = ""  # why this process can't go on
        self.stop = asyncio.Event()  # it is to drain and end
        self.fleet = Fleet(fleets.parse(raw, path), self._members, self._end) if "fleet" in raw else None
        self._seed = secrets.randbits(64) if seed is None else seed
        self.relay: Relay
        self.address = ("", 0)
        self._acceptor: Acceptor | None = None  # since this process serves
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and serve; StartError where the address or the store can't be had, FileError."""
        if self.store_follower:
            await self.store_follower.start()
            self.setup = self.setup_from_store()
        left = await self._inherit()
        held = self._held(left)
        if (
            left
            and left.shared
            and self.store_follower
            and self.store_follower.adopt_newer_state(left.shared)
        ):
            self.setup = self.setup_from_store()
        if self.fleet:
            await self._join(
                self.fleet, left.place if left and FLEET in held else None, held.pop(FLEET, None)
            )
        down_ms = self.store_follower.downtime_s * 1000 if self.store_follower else 0.0
        if left:
            # One that the older process did not know may have drawn all of its ceiling a moment ago.
            self.relay = Relay(self._own(self.setup), self._seed, 0.0, left.origin_s, left.started_ms)
            for problem in upgrade_state.import_module_state(
                self.relay.decision_module, left, self._names(), self.relay.now()
            ):
                log.warning("not taken over: %s", problem)
            log.info("took over from the older process")
        else:
            self.relay = Relay(self._own(self.setup), self._seed, down_ms)
        if self.store_follower:
            self._kept.start(self.store_follower, recalls=left is None)
        try:
            sock = held.pop(CLIENTS, None) or await open_listener_when_free(self.setup.listen, BACKLOG)
        except OSError as error:
            raise StartError(f"{self.setup.file.listen}: {error}") from None
        for passed in held.values():
            passed.close()
        self._sock = sock
        bound = sock.getsockname()
        self.address = bound[0], bound[1]
        relay = self.relay
        self._acceptor = Acceptor(sock, relay.adopt, relay.has_room, relay.make_room, monotonic())
        self._acceptor.listen()
        self._sweeper = asyncio.get_running_loop().create_task(self._sweep())
        if self.upgrade:
            self.upgrade.start_serving(self.relay.adopt)
        log.info("%s listens at %s:%d", self.setup.file.name, *self.address)

    async def _join(self, fleet: Fleet, place: FleetPlace | None, sock: socket.socket | None) -> None:
        """Take a place among the members; those that the store tells of are asked as well as the seeds."""
        setting, seeds = fleet.setting, []
        if self.store_follower:
            self.store_follower.own_member = setting.cluster, setting.name, ""
            with contextlib.suppress(StoreError):
                seeds = [(name, address) for _, name, address in await self.store_follower.members()]
        try:
            await fleet.start(place, sock, seeds)
        except OSError as error:
            raise StartError(f"fleet.listen {setting.table.listen}: {error}") from None
        if self.end_reason:
            raise StartError(f"fleet: {self.end_reason}")
        if self.store_follower:
            self.store_follower.own_member = setting.cluster, setting.name, fleet.address
            self.store_follower.members_found = lambda found: fleet.set_store_members(
                [(name, at) for _, name, at in found]
            )

    # --- Two processes during an upgrade ------------------------------------------------------------------
    async def _inherit(self) -> UpgradeState | None:
        """What an older process leaves, once it is told to end; None where there is none."""
        path = socket_path(self._handover, self.name) if self._handover else None
        if path is None:
            return None
        self.upgrade = Upgrade(path, self.name)
        try:
            if not self.upgrade.claim():
                return None
        except HandoverError as error:
            raise StartError(f"an older process serves, and {error}; end it first") from None
        log.info("ready: this process serves once the older one is told to end (SIGTERM)")
        return await self.upgrade.wait_for_state()

    def _held(self, left: UpgradeState | None) -> dict[str, socket.socket]:
        """The listening sockets that came, but those of addresses that the file no longer names."""
        if not left or not self.upgrade:
            return {}
        wanted = {CLIENTS: self.setup.listen}
        if self.fleet:
            wanted[FLEET] = parse_address(self.fleet.setting.table.listen)
        found = {}
        for what, sock in zip(left.listeners, self.upgrade.listeners, strict=False):
            host, port = sock.getsockname()[:2]
            if what in wanted and wanted[what] in ((host, port), (host, 0)):
                sock.setblocking(False)
                found[what] = sock
            else:
                log.warning("the older process's address for %s, %s:%d, is not this one's", what, host, port)
                sock.close()
        self.upgrade.listeners = []
        return found

    def _names(self) -> dict[str, dict[str, int]]:
        """Numbers by name, of whatever the module's state goes by."""
        return {
            "account": {account.name: account.number for account in self.setup.accounts.all()},
            "server": {spec.name: spec.number for spec in self.setup.servers},
            "pool": {"": 0, **self.setup.pools},  # the first is for lists that name none
        }

    def hand_state_over(self, send: Callable[[int], bool]) -> UpgradeState:
        """Pass the listening sockets, take nothing new from now on, and tell all that is left."""
        assert self._acceptor
        relay, names, listeners = self.relay, self._names(), []
        if send(self._sock.fileno()):
            listeners.append(CLIENTS)
        self._acceptor.stop()
        member = self.fleet.hand_over(send) if self.fleet else None
        if member:
            listeners.append(FLEET)
        now = relay.now()
        module = state.export_state(relay.decision_module, now)
        state.exhaust_ceilings(relay.decision_module, now, self.setup.file.clients.drain_s * 1000)
        names["account"] = {n: i for n, i in names["account"].items() if i in relay.decision_module.customers}
        shared = self.store_follower.hand_over() if self.store_follower else None
        return UpgradeState(
            upgrade_state.VERSION,
            relay.origin_s,
            module,
            names,
            relay.first_seen_ms(),
            tuple(listeners),
            member,
            shared,
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.relay.close_stalled()
            if self.store_follower:
                self.store_follower.record_alive()

    def reload(self) -> bool:
        """Take up the file as it is now; one with any problem changes nothing, and each is told."""
        if self._acceptor is None:
            log.error("nothing is served yet; the file is read when the start goes on")
            return False
        try:
            setup = self.setup_from_store() if self.store_follower else build.load(self.path, self._numbers)
            self._same(setup)
            if self.fleet:
                self.fleet.update_setting(fleets.load(self.path))
        except FileError as error:
            for problem in error.problems:
                log.error("%s", problem)
            log.error("the configuration stays as it was")
            return False
        self.apply_setup(setup)
        log.info("%s was taken up again", self.path)
        return True

    def setup_from_store(self) -> Setup:
        """What the store holds, with this limiter's own file; FileError."""
        assert self.store_follower
        return self.store_follower.shared_state.build_setup(self.path, self._numbers)

    def apply_setup(self, setup: Setup) -> None:
        """Go over to another configuration at once."""
        self.setup = setup
        self.relay.apply_settings(self._own(setup))

    def _own(self, setup: Setup) -> Setup:
        """This limiter's part of it."""
        return setup.for_fleet(self.fleet.live_count, self.fleet.setting.table.most) if self.fleet else setup

    def _members(self, count: int) -> None:
        log.info("fleet: %d members share the quotas", count)
        if self._acceptor:
            self.apply_setup(self.setup)

    def _end(self, reason: str) -> None:
        self.end_reason = reason
        self.stop.set()

    def _same(self, setup: Setup) -> None:
        """What can't change under a running process is an error, not silently old."""
        old, new = self.setup.file, setup.file
        allowed = "as at the start, or a restart"
        wrong = [
            Problem(str(self.path), key, f"found {format_value(str(getattr(new, key)))}", allowed)
            for key in ("listen", "limits", "name", "store", "handover")
            if getattr(old, key) != getattr(new, key)
        ]
        if _but_seeds(old.fleet) != _but_seeds(new.fleet):
            wrong.append(
                Problem(str(self.path), "fleet", "changed", f"its seeds alone may change, else {allowed}")
            )
        if wrong:
            raise FileError(wrong)

    async def drain(self) -> None:
        """Finish what was taken, and end; what a newer process can go on with is passed to it."""
        send = await self.upgrade.hand_over(self) if self.upgrade else None
        if self.fleet:
            if send:
                self.fleet.close()
            else:
                await self.fleet.leave()
        self.relay.is_closing = send is None
        if self._acceptor:
            self._acceptor.accept_all()
            self._acceptor.stop()
        end = asyncio.get_running_loop().time() + self.setup.file.clients.drain_s
        while (
            self.relay.open_requests or (send and self.relay.connections)
        ) and asyncio.get_running_loop().time() < end:
            if send:
                self.relay.hand_over_idle(send)
            else:
                self.relay.close_idle()
            await asyncio.sleep(0.01)
        self.relay.close_idle()
        await self.close()

    async def close(self) -> None:
        """End at once."""
        if self._acceptor:
            self._acceptor.stop()
        if self.fleet:
            self.fleet.close()
        if self.upgrade:
            self.upgrade.close()
        if self.store_follower:
            await self.store_follower.stop()
        if self._sweeper:
            self._sweeper.cancel()
            self.relay.close()
        await asyncio.sleep(0)


def _but_seeds(table: FleetTable | None) -> FleetTable | None:
    return msgspec.structs.replace(table, seeds=()) if table else None


async def _serve(limiter: Standalone) -> None:
    loop, stop = asyncio.get_running_loop(), limiter.stop
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, limiter.reload)
    starting = loop.create_task(limiter.start())
    stopping = loop.create_task(stop.wait())
    # A start that waits for the store can be ended, too.
    await asyncio.wait([starting, stopping], return_when=asyncio.FIRST_COMPLETED)
    if not starting.done() or starting.exception():
        failed = starting.exception() if starting.done() else None
        starting.cancel()
        await limiter.close()
        if failed:
            raise failed
        return
    await stopping
    log.info("draining")
    await limiter.drain()


def run(path: Path) -> int:
    """Serve until told to end; the exit code."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        limiter = Standalone(path)
    except FileError as error:
        for problem in error.problems:
            log.error("%s", problem)
        return 2
    except OSError as error:
        log.error("%s: %s", path, error)
        return 1
    # The start's objects stay for good; searching them again and again would stall requests.
    gc.freeze()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(limiter))
        if limiter.end_reason:
            return 1
    except FileError as error:
        for problem in error.problems:
            log.error("%s", problem)
        return 2
    except StartError as error:
        log.error("%s", error)
        return 1
    except OSError as error:
        log.error("%s: %s", path, error)
        return 1
    return 0
