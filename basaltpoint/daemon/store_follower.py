"""The limiter's side of the store: reads what is held, follows it, and writes what the next life needs.

It decides nothing about requests. Where the store does not answer, the limiter serves on from what it has.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import math
import os
import sys
import time
import zlib
from asyncio.subprocess import Process
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec

from basaltpoint.config.schema import StartPolicy
from basaltpoint.config.storage import StoreSettings
from basaltpoint.daemon.balances import (
    MAX_BALANCES_PER_WRITE,
    AliveRecord,
    Balance,
    BalanceWriteQueue,
    min_downtime_s,
)
from basaltpoint.daemon.shared_state import DOCUMENT_KEY, SHARED_PREFIX, Change, SharedState, first_document
from basaltpoint.handover.upgrade_state import StoreSnapshot
from basaltpoint.store import setting
from basaltpoint.store.client import StoreError, UnavailableError
from basaltpoint.store.state_machine import Check, CompactedError, Put
from basaltpoint.system import timestamps
from basaltpoint.system.timestamps import Timestamp

log = logging.getLogger("basaltpoint")

PRESENCE_LEASE_MS = 10_000  # of the limiter's own key: gone so long after it ended
BALANCE_LEASE_MS = (
    600_000  # of its balances: a ceiling that is longer in filling starts from nothing after that
)
RENEW_INTERVAL_S = 2.0
WARNING_INTERVAL_S = 10.0  # between two lines about a store that does not answer
LATENCIES_INTERVAL_S = 30.0
COPY_DELAY_S = 0.5  # the copy is written at most so often
STOP_TIMEOUT_S = 3.0  # for the last write and the replica's end
REQUEST_TIMEOUT_S = 2.0  # of one try at a start
MEMBERS_POLL_S = (
    0.5,
    30.0,
)  # first and longest between two looks for other limiters; the members tell of each other
LIMITER_PREFIX = "limiter/"  # keys of limiters that live


class StartError(Exception):
    """The limiter can't start; the text says why and what to do."""


class SharedStateCopy(msgspec.Struct, frozen=True, array_like=True):
    """What was held last, in a file for a start without the store."""

    saved_ms: float  # Unix time
    revision: int
    values: dict[str, bytes]
    boot_id: str = ""  # of the host, and seconds since then
    boot_s: float = 0.0

    @property
    def saved_at(self) -> Timestamp:
        return Timestamp(self.saved_ms, self.boot_id, self.boot_s)


Member = tuple[str, str, str]  # a limiter's place in a fleet: cluster, name, HOST:PORT


class LimiterPresence(msgspec.Struct, frozen=True):
    """What others need of a limiter's own key."""

    fleet: Member | None = None


class StoreFollower:
    """One limiter's store."""

    def __init__(self, storage: StoreSettings, path: Path, name: str) -> None:
        self.storage, self.path, self.name = storage, path, name
        self.shared_state = SharedState()
        self.client = setting.create_client(storage)
        self.revision = 0
        self.downtime_s = 0.0
        self.balances: dict[str, Balance] = {}
        self.learned_latencies: dict[str, tuple[tuple[float, ...], float]] = {}
        self._current = 0.0  # loop time at which the state was known to be current
        self._copied_at: Timestamp | None = None  # of a copy that is served from
        self._told = -math.inf
        self._lease = self._long_lease = 0
        self._told_own: tuple[int, str] | None = None  # what stands in the limiter's own key
        self._problem = ""
        self._saves_state = False  # whether there is something for the next life
        self.own_member: Member | None = None  # its place in a fleet, told to limiters that start
        self.members_found: Callable[[list[Member]], None] = lambda members: None  # hears of others' places
        self._tasks: list[asyncio.Task[None]] = []
        self._replica_process: Process | None = None
        self._copying: asyncio.TimerHandle | None = None  # the copy is to be written
        storage.folder.mkdir(parents=True, exist_ok=True, mode=0o700)

    # --- Start ------------------------------------------------------------------------------------------
    async def start(self) -> None:
        """Have what is held, as the setting `start` says; StartError."""
        self.downtime_s = min_downtime_s(self._last_sign(), timestamps.boot_id(), timestamps.boot_s())
        self.record_alive()
        if self.storage.table.name:
            self._run(self._run_replica())
        table, began = self.storage.table, time.monotonic()
        while True:
            try:
                await self._read(REQUEST_TIMEOUT_S)
                await self._first_document()
                await self._read_own()
                return
            except UnavailableError as error:
                waited = time.monotonic() - began
                if table.start is StartPolicy.CACHED and waited >= table.start_s:
                    self._from_copy()
                    return
                self._tell(f"store: {error}; the start waits for it")

    async def _read(self, within_s: float) -> Change:
        values, revision = await self.client.get_range(SHARED_PREFIX, within_s=within_s)
        change = self.shared_state.load({key: value.value for key, value in values.items()}, revision)
        self.revision = revision
        self._known_current()
        if change.build or change.drains:
            self._copy_soon()
        return change

    async def _first_document(self) -> None:
        if self.shared_state.document is not None:
            return
        text = first_document(self.path)
        if text is None:
            raise StartError(
                f"{self.path}: the store holds no configuration; put it there: basaltpoint config push FILE"
            )
        try:
            await self.client.transaction(
                [Put(DOCUMENT_KEY, text)], [Check(DOCUMENT_KEY, 0)], REQUEST_TIMEOUT_S
            )
        except UnavailableError:
            raise
        except StoreError as error:
            if error.error != "check":  # else another limiter was first
                raise StartError(f"{self.path}: {error}") from None
        await self._read(REQUEST_TIMEOUT_S)

    async def _read_own(self) -> None:
        """What an earlier life of this limiter left."""
        prefix = f"balance/{self.name}/"
        found, _ = await self.client.get_range(prefix, within_s=REQUEST_TIMEOUT_S)
        for key, value in found.items():
            with contextlib.suppress(msgspec.DecodeError):
                balance = msgspec.msgpack.decode(value.value, type=Balance)
                self.balances[key.removeprefix(prefix)] = balance
        learned = await self.client.get(f"learned/{self.name}", within_s=REQUEST_TIMEOUT_S)
        if learned is None:
            return
        with contextlib.suppress(msgspec.DecodeError):
            at_ms, pools = msgspec.msgpack.decode(
                learned.value, type=tuple[float, dict[str, tuple[tuple[float, ...], float]]]
            )
            # By the wall clock: where it stepped, latencies are learned anew or kept for longer.
            if time.time() * 1000 - at_ms <= self.storage.table.learned_s * 1000:
                self.learned_latencies = pools

    # --- The copy on this host ----------------------------------------------------------------------------
    @property
    def _copy(self) -> Path:
        return self.storage.folder / f"copy-{self.name}"

    def _from_copy(self) -> None:
        try:
            raw = self._copy.read_bytes()
            if zlib.crc32(raw[4:]) != int.from_bytes(raw[:4], "little"):
                raise ValueError("it is damaged")
            copy = msgspec.msgpack.decode(raw[4:], type=SharedStateCopy)
        except (OSError, ValueError) as error:
            raise StartError(
                f"the store does not answer, and {self._copy} can't be used: {error}; start its replicas"
            ) from None
        self.shared_state.load(copy.values, 0)
        self._copied_at = copy.saved_at
        self._tell(f"store: it does not answer; serving from a copy that is {self.age_s:.1f} s old")

    def _copy_soon(self) -> None:
        if self._copying is None:
            self._copying = asyncio.get_running_loop().call_later(COPY_DELAY_S, self._write_copy)

    def _write_copy(self) -> None:
        self._copying = None
        at = timestamps.now()
        copy = SharedStateCopy(at.unix_ms, self.revision, self.shared_state.values, at.boot_id, at.boot_s)
        body = msgspec.msgpack.encode(copy)
        temporary = self._copy.with_suffix(".tmp")
        try:
            temporary.write_bytes(zlib.crc32(body).to_bytes(4, "little") + body)
            os.rename(temporary, self._copy)
        except OSError as error:
            log.error("store: the copy for a start without it can't be written: %s", error)

    # --- How old it is ------------------------------------------------------------------------------------
    def _known_current(self) -> None:
        if self._copied_at or self._told > 0:
            log.info("store: it answers again")
        self._copied_at, self._told = None, -math.inf
        self._current = time.monotonic()

    @property
    def age_s(self) -> float:
        """How long ago what is served from was known to be current."""
        if self._copied_at:
            return timestamps.now().seconds_since(self._copied_at)
        return time.monotonic() - self._current

    def _tell(self, text: str) -> None:
        now = time.monotonic()
        if now - self._told >= WARNING_INTERVAL_S:
            self._told = now
            log.warning("%s", text)

    def _tell_age(self, error: UnavailableError) -> None:
        self._tell(f"store: {error}; serving on from what is {self.age_s:.1f} s old, changes are refused")

    # --- While it runs ------------------------------------------------------------------------------------
    def follow(self, changed: Callable[[Change], str], relay: StateToSave) -> None:
        """Follow the store from now on; `changed` takes up what came, and tells a problem or nothing."""
        self._changed, self._relay, self._saves_state = changed, relay, True
        self._run(self._follow())
        self._run(self._presence())
        if self.own_member:
            self._run(self._look_round())
        if self.storage.table.balances_s:
            self._run(self._write_balances())

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(_told_failure)
        self._tasks.append(task)

    async def _follow(self) -> None:
        while True:
            try:
                if self._copied_at:
                    self._take(await self._read(WARNING_INTERVAL_S))
                async for events, revision in self.client.watch(SHARED_PREFIX, self.revision + 1):
                    told = ((e.revision, e.key, e.value.value if e.value else None) for e in events)
                    self.revision = max(self.revision, revision)
                    self._take(self.shared_state.apply_events(told))
            except CompactedError:
                with contextlib.suppress(UnavailableError):
                    self._take(await self._read(WARNING_INTERVAL_S))
            except UnavailableError as error:
                self._tell_age(error)

    def _take(self, change: Change) -> None:
        if not (change.build or change.drains):
            return
        self._problem = self._changed(change)
        self._copy_soon()

    async def _presence(self) -> None:
        """The limiter's own key, under its lease: that it lives, and what it runs on."""
        while True:
            try:
                await self._renew()
                self._known_current()
            except UnavailableError as error:
                self._tell_age(error)
                await asyncio.sleep(0.2)
                continue
            except StoreError as error:
                if error.error != "lease":
                    self._tell(f"store: {error}")
                    await asyncio.sleep(RENEW_INTERVAL_S)
                self._lease = self._long_lease = 0
                self._told_own = None
                self._relay.balances.forget_written()
                continue
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def _renew(self) -> None:
        if self._long_lease:
            await self.client.renew_lease(self._long_lease, WARNING_INTERVAL_S / 2)
        else:
            self._long_lease = await self.client.grant_lease(BALANCE_LEASE_MS, WARNING_INTERVAL_S / 2)
        if self._lease:
            await self.client.renew_lease(self._lease, WARNING_INTERVAL_S / 2)
        else:
            self._lease = await self.client.grant_lease(PRESENCE_LEASE_MS, WARNING_INTERVAL_S / 2)
        told = self.revision, self._problem
        if told != self._told_own:
            own: dict[str, Any] = {
                "revision": self.revision, "problem": self._problem, "since_ms": int(time.time() * 1000)
            }  # fmt: skip
            if self.own_member:
                own["fleet"] = self.own_member
            value = json.dumps(own).encode()
            await self.client.put(f"{LIMITER_PREFIX}{self.name}", value, self._lease, WARNING_INTERVAL_S / 2)
            self._told_own = told

    async def members(self, within_s: float = REQUEST_TIMEOUT_S) -> list[Member]:
        """Other limiters' places in this one's fleet, as the asked replica has them; UnavailableError."""
        values, _ = await self.client.get_range(LIMITER_PREFIX, local=True, within_s=within_s)
        found = []
        for value in values.values():
            with contextlib.suppress(msgspec.DecodeError):
                if told := msgspec.json.decode(value.value, type=LimiterPresence).fleet:
                    found.append(told)
        return [
            one
            for one in found
            if self.own_member and one[:2] != self.own_member[:2] and one[0] == self.own_member[0]
        ]

    async def _look_round(self) -> None:
        """Tell where other limiters are: soon after a start, as all may have started at once, then rarely."""
        wait = MEMBERS_POLL_S[0]
        while True:
            await asyncio.sleep(wait)
            wait = min(MEMBERS_POLL_S[1], wait * 2)
            with contextlib.suppress(StoreError):
                self.members_found(await self.members())

    async def _write_balances(self) -> None:
        written_at = -math.inf
        while True:
            await asyncio.sleep(self.storage.table.balances_s)
            if not (self._long_lease and self._saves_state):
                continue
            try:
                await self._put_balances(self._relay.due_balances(final=False))
                if time.monotonic() - written_at >= LATENCIES_INTERVAL_S:
                    written_at = time.monotonic()
                    await self._put_learned()
            except StoreError:
                self._relay.balances.forget_written()  # the presence tells of it

    async def _put_balances(self, due: dict[str, Balance]) -> None:
        ops = [
            Put(f"balance/{self.name}/{account}", msgspec.msgpack.encode(balance), self._long_lease)
            for account, balance in due.items()
        ]
        for at in range(0, len(ops), MAX_BALANCES_PER_WRITE):
            await self.client.transaction(ops[at : at + MAX_BALANCES_PER_WRITE], within_s=STOP_TIMEOUT_S)

    async def _put_learned(self) -> None:
        if pools := self._relay.learned_latencies():
            value = msgspec.msgpack.encode((time.time() * 1000, pools))
            await self.client.put(f"learned/{self.name}", value, self._long_lease, STOP_TIMEOUT_S)

    # --- Two processes of one limiter ---------------------------------------------------------------------
    def hand_over(self) -> StoreSnapshot:
        """What is held, for the process that goes on; what the next life needs is that one's to write."""
        self._saves_state = False
        return StoreSnapshot(self.revision, self.shared_state.values)

    def adopt_newer_state(self, shared: StoreSnapshot) -> bool:
        """Take up what an older process held last, where that is newer; whether it was."""
        if shared.revision <= self.revision:
            return False
        self.shared_state.load(shared.values, shared.revision)
        self.revision = shared.revision
        return True

    # --- Signs of life --------------------------------------------------------------------------------------
    @property
    def _sign(self) -> Path:
        return self.storage.folder / f"alive-{self.name}"

    def record_alive(self) -> None:
        """Note that this life is not over; to be called more often than each second."""
        with contextlib.suppress(OSError):
            self._sign.write_bytes(
                msgspec.json.encode(AliveRecord(timestamps.boot_id(), timestamps.boot_s()))
            )

    def _last_sign(self) -> AliveRecord | None:
        try:
            return msgspec.json.decode(self._sign.read_bytes(), type=AliveRecord)
        except (OSError, msgspec.DecodeError):
            return None

    # --- The replica beside it ----------------------------------------------------------------------------
    async def _run_replica(self) -> None:
        """A process of its own: what it waits for on the disk must not hold requests up."""
        wait = 0.1
        while True:
            began = time.monotonic()
            self._replica_process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "basaltpoint",
                "store",
                "run",
                "--embedded",
                str(self.path),
                stdin=asyncio.subprocess.PIPE,
                start_new_session=True,  # an interrupt from the terminal is the limiter's alone
            )
            code = await self._replica_process.wait()
            wait = 0.1 if time.monotonic() - began > 10 else min(5.0, wait * 2)
            log.error("store: the replica has ended with code %s; it is started again in %.1f s", code, wait)
            await asyncio.sleep(wait)

    async def stop(self) -> None:
        """The last balances, then the replica's end."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        if self._saves_state and self.storage.table.balances_s:
            with contextlib.suppress(StoreError, TimeoutError):
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    if not self._long_lease:
                        self._long_lease = await self.client.grant_lease(BALANCE_LEASE_MS, STOP_TIMEOUT_S)
                    await self._put_balances(self._relay.due_balances(final=True))
                    await self._put_learned()
        if self._copying:
            self._copying.cancel()
            self._write_copy()
        self.client.close()
        if self._replica_process and self._replica_process.returncode is None:
            self._replica_process.terminate()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await self._replica_process.wait()


class StateToSave:
    """What the keeper asks of the limiter."""

    balances: BalanceWriteQueue

    def due_balances(self, final: bool) -> dict[str, Balance]:
        raise NotImplementedError

    def learned_latencies(self) -> dict[str, tuple[tuple[float, ...], float]]:
        raise NotImplementedError


def _told_failure(task: asyncio.Task[None]) -> None:
    """A fault here must be seen: the limiter would serve on from what is ever older."""
    if not task.cancelled() and (error := task.exception()):
        log.error("store: the limiter follows it no more", exc_info=error)
