"""`basaltpoint serve`: the standalone limiter; it reloads its file on SIGHUP and drains on SIGTERM."""

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
from basaltpoint.fronts.drain_end import DrainEnd
from basaltpoint.fronts.http.relay import Relay
from basaltpoint.handover import state, upgrade_state
from basaltpoint.handover.link import socket_path
from basaltpoint.handover.upgrade_state import FleetPlace, HandoverError, UpgradeState
from basaltpoint.store.client import StoreError
from basaltpoint.system.accepting import Acceptor
from basaltpoint.system.listening import open_listener_when_free

log = logging.getLogger("basaltpoint")

SWEEP_INTERVAL_S = 0.25
BACKLOG = 1024
DRAIN_QUIET_S = 0.2  # without anything in hand before the connections that are still open are reset
DRAIN_POLL_S = 0.01
LAST_ANSWERS_S = 0.3  # before the end of a drain, in which the last answers are written,
LAST_ANSWERS_FRACTION = 0.1  # and this much of its time at most
CLIENT_LISTENER, FLEET_LISTENER = "clients", "fleet"  # kinds of listening sockets in a handover


class Standalone:
    """One limiter, configured by one file and, with a [store] table, by what the store holds."""

    def __init__(self, path: Path, seed: int | None = None) -> None:
        """Raises FileError with every problem of the file.

        With a [store] table, the shared tables are checked in `start` only.
        """
        self.path = path
        self._numbers = NumberRegistry()
        self.setup: Setup
        self.store_follower: StoreFollower | None = None
        raw = load_toml(path)
        if "store" in raw:
            self.store_follower, self._store_adapter = (
                StoreFollower(storage.parse(raw, path), path, limiter_name(raw)),
                StoreAdapter(self),
            )
        else:
            self.setup = build.build_setup(raw, path, ProblemCollector(str(path)), self._numbers)
        self.name = limiter_name(raw)
        handover = raw.get("handover")
        self._handover_dir = str(path.parent / handover) if isinstance(handover, str) and handover else ""
        self.upgrade: Upgrade | None = None
        self._listener: socket.socket
        self.end_reason = ""  # why this process has to end; empty if it can continue
        self.stop = asyncio.Event()  # set when the limiter is to drain and end
        self.fleet = (
            Fleet(fleets.parse(raw, path), self._member_count_changed, self._end_with)
            if "fleet" in raw
            else None
        )
        self._seed = secrets.randbits(64) if seed is None else seed
        self.relay: Relay
        self.address = ("", 0)
        self._acceptor: Acceptor | None = None  # None until this process serves
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens and serves; StartError if an address or the store is not available, FileError."""
        if self.store_follower:
            await self.store_follower.start()
            self.setup = self.setup_from_store()
        inherited = await self._wait_for_predecessor()
        listeners = self._inherited_listeners(inherited)
        if (
            inherited
            and inherited.shared
            and self.store_follower
            and self.store_follower.adopt_newer_state(inherited.shared)
        ):
            self.setup = self.setup_from_store()
        if self.fleet:
            await self._join_fleet(
                self.fleet,
                inherited.place if inherited and FLEET_LISTENER in listeners else None,
                listeners.pop(FLEET_LISTENER, None),
            )
        downtime_ms = self.store_follower.downtime_s * 1000 if self.store_follower else 0.0
        if inherited:
            # The ceilings start empty (downtime 0): a customer that is missing in the predecessor's state
            # may have drawn all of its ceiling just before.
            self.relay = Relay(
                self._with_local_share(self.setup), self._seed, 0.0, inherited.origin_s, inherited.started_ms
            )
            for problem in upgrade_state.import_module_state(
                self.relay.decision_module, inherited, self._numbers_by_name(), self.relay.now()
            ):
                log.warning("not taken over: %s", problem)
            log.info("took over from the predecessor")
        else:
            self.relay = Relay(self._with_local_share(self.setup), self._seed, downtime_ms)
        if self.store_follower:
            self._store_adapter.start(self.store_follower, restores=inherited is None)
        try:
            sock = listeners.pop(CLIENT_LISTENER, None) or await open_listener_when_free(
                self.setup.listen, BACKLOG
            )
        except OSError as error:
            raise StartError(f"{self.setup.file.listen}: {error}") from None
        for unused in listeners.values():
            unused.close()
        self._listener = sock
        bound = sock.getsockname()
        self.address = bound[0], bound[1]
        relay = self.relay
        self._acceptor = Acceptor(sock, relay.adopt, relay.has_room, relay.make_room, monotonic())
        self._acceptor.listen()
        self._sweeper = asyncio.get_running_loop().create_task(self._sweep())
        if self.upgrade:
            self.upgrade.start_serving(self.relay.adopt)
        log.info("%s listens at %s:%d", self.setup.file.name, *self.address)

    async def _join_fleet(self, fleet: Fleet, place: FleetPlace | None, sock: socket.socket | None) -> None:
        """Joins the fleet through the seeds of the file and the members that the store lists."""
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
            self.store_follower.members_found = lambda members: fleet.set_store_members(
                [(name, address) for _, name, address in members]
            )

    # --- Two processes during an upgrade ------------------------------------------------------------------
    async def _wait_for_predecessor(self) -> UpgradeState | None:
        """Returns the predecessor's state once it drains; None if there is no predecessor."""
        path = socket_path(self._handover_dir, self.name) if self._handover_dir else None
        if path is None:
            return None
        self.upgrade = Upgrade(path, self.name)
        try:
            if not self.upgrade.find_predecessor():
                return None
        except HandoverError as error:
            raise StartError(f"a predecessor serves that can't hand over: {error}; end it first") from None
        log.info("ready: this process serves once its predecessor receives SIGTERM")
        return await self.upgrade.wait_for_state()

    def _inherited_listeners(self, inherited: UpgradeState | None) -> dict[str, socket.socket]:
        """The predecessor's listening sockets by kind.

        Closes those whose address is no longer in the file.
        """
        if not inherited or not self.upgrade:
            return {}
        wanted = {CLIENT_LISTENER: self.setup.listen}
        if self.fleet:
            wanted[FLEET_LISTENER] = parse_address(self.fleet.setting.table.listen)
        found = {}
        for kind, sock in zip(inherited.listeners, self.upgrade.listeners, strict=False):
            host, port = sock.getsockname()[:2]
            if kind in wanted and wanted[kind] in ((host, port), (host, 0)):
                sock.setblocking(False)
                found[kind] = sock
            else:
                log.warning(
                    "the predecessor's address for %s, %s:%d, is not the configured one", kind, host, port
                )
                sock.close()
        self.upgrade.listeners = []
        return found

    def _numbers_by_name(self) -> dict[str, dict[str, int]]:
        """This process's numbers of accounts, servers and pools, by kind and name."""
        return {
            "account": {account.name: account.number for account in self.setup.accounts.all()},
            "server": {spec.name: spec.number for spec in self.setup.servers},
            "pool": {"": 0, **self.setup.pools},  # "" is the pool of server lists that name none
        }

    def hand_state_over(self, send: Callable[[int], bool]) -> UpgradeState:
        """Passes the listening sockets with `send`, stops accepting requests and returns the state."""
        assert self._acceptor
        relay, names, listeners = self.relay, self._numbers_by_name(), []
        if send(self._listener.fileno()):
            listeners.append(CLIENT_LISTENER)
        self._acceptor.stop()
        place = self.fleet.hand_over(send) if self.fleet else None
        if place:
            listeners.append(FLEET_LISTENER)
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
            place,
            shared,
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.relay.close_stalled()
            if self.store_follower:
                self.store_follower.record_alive()

    def reload(self) -> bool:
        """Applies the file as it is now; returns whether it did.

        A file with problems changes nothing; each problem is logged.
        """
        if self._acceptor is None:
            log.error("this process does not serve yet; the start reads the file")
            return False
        try:
            setup = self.setup_from_store() if self.store_follower else build.load(self.path, self._numbers)
            self._check_fixed_settings(setup)
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
        """Builds the setup from the store's tables and this limiter's own file; FileError."""
        assert self.store_follower
        return self.store_follower.shared_state.build_setup(self.path, self._numbers)

    def apply_setup(self, setup: Setup) -> None:
        """Replaces the configuration of the running limiter."""
        self.setup = setup
        self.relay.apply_settings(self._with_local_share(setup))

    def _with_local_share(self, setup: Setup) -> Setup:
        """The setup with this limiter's share of the fleet's quotas and ceilings."""
        return setup.for_fleet(self.fleet.live_count, self.fleet.setting.table.most) if self.fleet else setup

    def _member_count_changed(self, count: int) -> None:
        log.info("fleet: %d members share the quotas", count)
        if self._acceptor:
            self.apply_setup(self.setup)

    def _end_with(self, reason: str) -> None:
        self.end_reason = reason
        self.stop.set()

    def _check_fixed_settings(self, setup: Setup) -> None:
        """Raises FileError if a setting has changed that takes effect at a restart only."""
        old, new = self.setup.file, setup.file
        allowed = "as at the start, or a restart"
        problems = [
            Problem(str(self.path), key, f"found {format_value(str(getattr(new, key)))}", allowed)
            for key in ("listen", "limits", "name", "store", "handover")
            if getattr(old, key) != getattr(new, key)
        ]
        if _without_seeds(old.fleet) != _without_seeds(new.fleet):
            problems.append(
                Problem(str(self.path), "fleet", "changed", f"its seeds alone may change, else {allowed}")
            )
        if problems:
            raise FileError(problems)

    async def drain(self) -> None:
        """Completes open requests and ends; passes state and idle connections to a successor, if any."""
        send = await self.upgrade.hand_over(self) if self.upgrade else None
        if self.fleet:
            if send:
                self.fleet.close()
            else:
                await self.fleet.leave()
        self.relay.is_closing = send is None
        await self._answer_rest(send)
        await self.close()

    async def _answer_rest(self, send: Callable[[int], bool] | None) -> None:
        """Completes open requests for `clients.drain_s` at most; `send`: passes connections to a successor.

        Those that are still open a little before have their deadline then, and get their answer.
        """
        relay, drain_s = self.relay, self.setup.file.clients.drain_s
        exit_by = monotonic() + drain_s
        answer_by = exit_by - min(LAST_ANSWERS_S, drain_s * LAST_ANSWERS_FRACTION)
        relay.shorten_deadlines(answer_by)
        if self._acceptor:
            await self._acceptor.empty_backlog(answer_by, relay.close_idle)
            self._acceptor.stop()
        drain_end = DrainEnd(DRAIN_QUIET_S, exit_by, exit_by)
        while relay.open_requests or relay.connections:
            is_busy = bool(send or relay.open_requests or relay.has_unread_input)
            if drain_end.may_exit(monotonic(), is_busy):
                log.warning("%d connections were still open at the end", len(relay.connections))
                return
            if send:
                relay.hand_over_idle(send)
            else:
                relay.close_idle()
            await asyncio.sleep(DRAIN_POLL_S)

    async def close(self) -> None:
        """Ends at once, without a drain."""
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


def _without_seeds(table: FleetTable | None) -> FleetTable | None:
    return msgspec.structs.replace(table, seeds=()) if table else None


async def _serve(limiter: Standalone) -> None:
    loop, stop = asyncio.get_running_loop(), limiter.stop
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, limiter.reload)
    starting = loop.create_task(limiter.start())
    stopping = loop.create_task(stop.wait())
    # A signal also ends a start that still waits for the store.
    await asyncio.wait([starting, stopping], return_when=asyncio.FIRST_COMPLETED)
    if not starting.done() or starting.exception():
        failure = starting.exception() if starting.done() else None
        starting.cancel()
        await limiter.close()
        if failure:
            raise failure
        return
    await stopping
    log.info("draining")
    await limiter.drain()


def run(path: Path) -> int:
    """Serves until SIGTERM or SIGINT.

    Returns the exit code: 0, 1 if the limiter can't start or has to end, 2 if the configuration is invalid.
    """
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
    # The objects created so far live as long as the process; without this, each full garbage collection
    # would traverse them and stall requests.
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
