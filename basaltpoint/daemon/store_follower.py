"""Keeps a limiter in step with the store: reads and follows the shared state, and saves the limiter's own.

It decides nothing about requests. While the store is unavailable, the limiter continues with the state that
it read last.
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

PRESENCE_LEASE_MS = 10_000  # of the limiter's presence key; the key expires this long after the limiter ended
# Lease of the limiter's balances. A ceiling that takes longer to refill starts empty after that.
BALANCE_LEASE_MS = 600_000
RENEW_INTERVAL_S = 2.0
# Between two log lines about an unavailable store; also limits requests to it while the limiter runs.
WARNING_INTERVAL_S = 10.0
LATENCIES_INTERVAL_S = 30.0  # between two writes of learned latencies
COPY_DELAY_S = 0.5  # changes within this time are written to the local copy together
STOP_TIMEOUT_S = 3.0  # for the last write, and for the replica process to end
REQUEST_TIMEOUT_S = 2.0  # of one request during the start
# First and longest interval between two reads of the fleet's members. It grows because members that have
# found each other exchange the others' addresses themselves.
MEMBERS_POLL_S = (0.5, 30.0)
LIMITER_PREFIX = "limiter/"  # keys of running limiters


class StartError(Exception):
    """The limiter can't start; the text says why and how to correct it."""


class SharedStateCopy(msgspec.Struct, frozen=True, array_like=True):
    """The shared state as it was read last, in a file for a start without the store."""

    saved_ms: float  # Unix time
    revision: int
    values: dict[str, bytes]
    boot_id: str = ""  # of the host at that time
    boot_s: float = 0.0  # seconds since that boot

    @property
    def saved_at(self) -> Timestamp:
        return Timestamp(self.saved_ms, self.boot_id, self.boot_s)


Member = tuple[str, str, str]  # a limiter's place in a fleet: cluster, name, HOST:PORT


class LimiterPresence(msgspec.Struct, frozen=True):
    """The part of another limiter's presence key that this one reads."""

    fleet: Member | None = None


class StoreFollower:
    """The connection of one limiter to the store."""

    def __init__(self, storage: StoreSettings, path: Path, name: str) -> None:
        self.storage, self.path, self.name = storage, path, name
        self.shared_state = SharedState()
        self.client = setting.create_client(storage)
        self.revision = 0
        self.downtime_s = 0.0  # how long the limiter did not run before this start, at least
        self.balances: dict[str, Balance] = {}  # by account; written by an earlier process of this limiter
        self.learned_latencies: dict[str, tuple[tuple[float, ...], float]] = {}  # by pool, ms; as `balances`
        self._current_at_s = 0.0  # monotonic time at which the shared state was last known to be current
        self._copied_at: Timestamp | None = None  # of the local copy, while the limiter runs on it
        self._warned_at_s = -math.inf
        self._presence_lease = self._balance_lease = 0
        self._published: tuple[int, str] | None = None  # revision and problem in the presence key
        self._problem = ""  # of the document; empty if it is in use
        self._saves_state = False  # whether this process writes balances and latencies
        self.own_member: Member | None = None  # this limiter's place in a fleet, for limiters that start
        self.members_found: Callable[[list[Member]], None] = lambda members: None
        self._tasks: list[asyncio.Task[None]] = []
        self._replica_process: Process | None = None
        self._copy_timer: asyncio.TimerHandle | None = None  # set while a write of the local copy is due
        storage.folder.mkdir(parents=True, exist_ok=True, mode=0o700)

    # --- Start ------------------------------------------------------------------------------------------
    async def start(self) -> None:
        """Reads the shared state, from the store or as the setting `start` allows; StartError."""
        self.downtime_s = min_downtime_s(self._read_alive(), timestamps.boot_id(), timestamps.boot_s())
        self.record_alive()
        if self.storage.table.name:
            self._run(self._run_replica())
        table, started_s = self.storage.table, time.monotonic()
        while True:
            try:
                await self._read(REQUEST_TIMEOUT_S)
                await self._write_first_document()
                await self._read_saved_state()
                return
            except UnavailableError as error:
                waited_s = time.monotonic() - started_s
                if table.start is StartPolicy.CACHED and waited_s >= table.start_s:
                    self._load_copy()
                    return
                self._warn(f"store: {error}; the start waits for it")

    async def _read(self, within_s: float) -> Change:
        values, revision = await self.client.get_range(SHARED_PREFIX, within_s=within_s)
        change = self.shared_state.load({key: value.value for key, value in values.items()}, revision)
        self.revision = revision
        self._mark_current()
        if change.build or change.drains:
            self._schedule_copy()
        return change

    async def _write_first_document(self) -> None:
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
            if error.error != "check":  # a failed check: another limiter has written the document first
                raise StartError(f"{self.path}: {error}") from None
        await self._read(REQUEST_TIMEOUT_S)

    async def _read_saved_state(self) -> None:
        """Reads the balances and latencies that an earlier process of this limiter saved."""
        prefix = f"balance/{self.name}/"
        found, _ = await self.client.get_range(prefix, within_s=REQUEST_TIMEOUT_S)
        for key, value in found.items():
            with contextlib.suppress(msgspec.DecodeError):
                balance = msgspec.msgpack.decode(value.value, type=Balance)
                self.balances[key.removeprefix(prefix)] = balance
        latencies = await self.client.get(f"learned/{self.name}", within_s=REQUEST_TIMEOUT_S)
        if latencies is None:
            return
        with contextlib.suppress(msgspec.DecodeError):
            saved_ms, pools = msgspec.msgpack.decode(
                latencies.value, type=tuple[float, dict[str, tuple[tuple[float, ...], float]]]
            )
            # The age goes by the wall clock. If the clock was stepped, latencies are dropped early or used
            # for longer; either is harmless.
            if time.time() * 1000 - saved_ms <= self.storage.table.learned_s * 1000:
                self.learned_latencies = pools

    # --- The copy on this host ----------------------------------------------------------------------------
    @property
    def _copy_path(self) -> Path:
        return self.storage.folder / f"copy-{self.name}"

    def _load_copy(self) -> None:
        try:
            raw = self._copy_path.read_bytes()
            if zlib.crc32(raw[4:]) != int.from_bytes(raw[:4], "little"):
                raise ValueError("its checksum does not match")
            copy = msgspec.msgpack.decode(raw[4:], type=SharedStateCopy)
        except (OSError, ValueError) as error:
            raise StartError(
                f"the store is unavailable, and {self._copy_path} can't be used: {error}; start its replicas"
            ) from None
        self.shared_state.load(copy.values, 0)
        self._copied_at = copy.saved_at
        self._warn(f"store: it is unavailable; serving from a copy that is {self.age_s:.1f} s old")

    def _schedule_copy(self) -> None:
        if self._copy_timer is None:
            self._copy_timer = asyncio.get_running_loop().call_later(COPY_DELAY_S, self._write_copy)

    def _write_copy(self) -> None:
        self._copy_timer = None
        now = timestamps.now()
        copy = SharedStateCopy(now.unix_ms, self.revision, self.shared_state.values, now.boot_id, now.boot_s)
        body = msgspec.msgpack.encode(copy)
        temporary = self._copy_path.with_suffix(".tmp")
        try:
            temporary.write_bytes(zlib.crc32(body).to_bytes(4, "little") + body)
            os.rename(temporary, self._copy_path)
        except OSError as error:
            log.error("store: the local copy of the configuration can't be written: %s", error)

    # --- Age of the shared state --------------------------------------------------------------------------
    def _mark_current(self) -> None:
        if self._copied_at or self._warned_at_s > 0:
            log.info("store: it is available again")
        self._copied_at, self._warned_at_s = None, -math.inf
        self._current_at_s = time.monotonic()

    @property
    def age_s(self) -> float:
        """Seconds since the shared state in use was last known to be current."""
        if self._copied_at:
            return timestamps.now().seconds_since(self._copied_at)
        return time.monotonic() - self._current_at_s

    def _warn(self, text: str) -> None:
        now_s = time.monotonic()
        if now_s - self._warned_at_s >= WARNING_INTERVAL_S:
            self._warned_at_s = now_s
            log.warning("%s", text)

    def _warn_unavailable(self, error: UnavailableError) -> None:
        self._warn(f"store: {error}; serving on from what is {self.age_s:.1f} s old, changes are refused")

    # --- While the limiter runs ---------------------------------------------------------------------------
    def follow(self, apply_change: Callable[[Change], str], source: StateToSave) -> None:
        """Follows the store from now on, and saves the state of `source`.

        `apply_change`: applies a change of the shared state; returns the document's problem, or "".
        """
        self._apply_change, self._source, self._saves_state = apply_change, source, True
        self._run(self._watch())
        self._run(self._maintain_presence())
        if self.own_member:
            self._run(self._poll_members())
        if self.storage.table.balances_s:
            self._run(self._write_state())

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(_log_failure)
        self._tasks.append(task)

    async def _watch(self) -> None:
        while True:
            try:
                if self._copied_at:
                    self._changed(await self._read(WARNING_INTERVAL_S))
                async for events, revision in self.client.watch(SHARED_PREFIX, self.revision + 1):
                    changes = ((e.revision, e.key, e.value.value if e.value else None) for e in events)
                    self.revision = max(self.revision, revision)
                    self._changed(self.shared_state.apply_events(changes))
            except CompactedError:
                with contextlib.suppress(UnavailableError):
                    self._changed(await self._read(WARNING_INTERVAL_S))
            except UnavailableError as error:
                self._warn_unavailable(error)

    def _changed(self, change: Change) -> None:
        if not (change.build or change.drains):
            return
        self._problem = self._apply_change(change)
        self._schedule_copy()

    async def _maintain_presence(self) -> None:
        """Keeps the limiter's presence key, under a lease: that it runs, and on which revision."""
        while True:
            try:
                await self._renew()
                self._mark_current()
            except UnavailableError as error:
                self._warn_unavailable(error)
                await asyncio.sleep(0.2)
                continue
            except StoreError as error:
                if error.error != "lease":
                    self._warn(f"store: {error}")
                    await asyncio.sleep(RENEW_INTERVAL_S)
                self._presence_lease = self._balance_lease = 0
                self._published = None
                self._source.balances.forget_written()
                continue
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def _renew(self) -> None:
        if self._balance_lease:
            await self.client.renew_lease(self._balance_lease, WARNING_INTERVAL_S / 2)
        else:
            self._balance_lease = await self.client.grant_lease(BALANCE_LEASE_MS, WARNING_INTERVAL_S / 2)
        if self._presence_lease:
            await self.client.renew_lease(self._presence_lease, WARNING_INTERVAL_S / 2)
        else:
            self._presence_lease = await self.client.grant_lease(PRESENCE_LEASE_MS, WARNING_INTERVAL_S / 2)
        status = self.revision, self._problem
        if status != self._published:
            presence: dict[str, Any] = {
                "revision": self.revision, "problem": self._problem, "since_ms": int(time.time() * 1000)
            }  # fmt: skip
            if self.own_member:
                presence["fleet"] = self.own_member
            value = json.dumps(presence).encode()
            await self.client.put(
                f"{LIMITER_PREFIX}{self.name}", value, self._presence_lease, WARNING_INTERVAL_S / 2
            )
            self._published = status

    async def members(self, within_s: float = REQUEST_TIMEOUT_S) -> list[Member]:
        """Returns the other members of this limiter's fleet, as one replica knows them; UnavailableError."""
        values, _ = await self.client.get_range(LIMITER_PREFIX, local=True, within_s=within_s)
        members = []
        for value in values.values():
            with contextlib.suppress(msgspec.DecodeError):
                if member := msgspec.json.decode(value.value, type=LimiterPresence).fleet:
                    members.append(member)
        return [
            member
            for member in members
            if self.own_member and member[:2] != self.own_member[:2] and member[0] == self.own_member[0]
        ]

    async def _poll_members(self) -> None:
        """Reports the fleet's members: often after the start, as all may start at once, then rarely."""
        wait_s = MEMBERS_POLL_S[0]
        while True:
            await asyncio.sleep(wait_s)
            wait_s = min(MEMBERS_POLL_S[1], wait_s * 2)
            with contextlib.suppress(StoreError):
                self.members_found(await self.members())

    async def _write_state(self) -> None:
        latencies_written_s = -math.inf
        while True:
            await asyncio.sleep(self.storage.table.balances_s)
            if not (self._balance_lease and self._saves_state):
                continue
            try:
                await self._put_balances(self._source.due_balances(final=False))
                if time.monotonic() - latencies_written_s >= LATENCIES_INTERVAL_S:
                    latencies_written_s = time.monotonic()
                    await self._put_latencies()
            except StoreError:
                self._source.balances.forget_written()  # _maintain_presence logs the failure

    async def _put_balances(self, due: dict[str, Balance]) -> None:
        ops = [
            Put(f"balance/{self.name}/{account}", msgspec.msgpack.encode(balance), self._balance_lease)
            for account, balance in due.items()
        ]
        for at in range(0, len(ops), MAX_BALANCES_PER_WRITE):
            await self.client.transaction(ops[at : at + MAX_BALANCES_PER_WRITE], within_s=STOP_TIMEOUT_S)

    async def _put_latencies(self) -> None:
        if pools := self._source.learned_latencies():
            value = msgspec.msgpack.encode((time.time() * 1000, pools))
            await self.client.put(f"learned/{self.name}", value, self._balance_lease, STOP_TIMEOUT_S)

    # --- Two processes of one limiter ---------------------------------------------------------------------
    def hand_over(self) -> StoreSnapshot:
        """Returns the shared state for the successor; from now on only the successor saves state."""
        self._saves_state = False
        return StoreSnapshot(self.revision, self.shared_state.values)

    def adopt_newer_state(self, shared: StoreSnapshot) -> bool:
        """Takes over the predecessor's shared state if it is newer; returns whether it was."""
        if shared.revision <= self.revision:
            return False
        self.shared_state.load(shared.values, shared.revision)
        self.revision = shared.revision
        return True

    # --- Record of being alive ------------------------------------------------------------------------------
    @property
    def _alive_path(self) -> Path:
        return self.storage.folder / f"alive-{self.name}"

    def record_alive(self) -> None:
        """Records that this process still runs; to be called more often than once a second."""
        with contextlib.suppress(OSError):
            self._alive_path.write_bytes(
                msgspec.json.encode(AliveRecord(timestamps.boot_id(), timestamps.boot_s()))
            )

    def _read_alive(self) -> AliveRecord | None:
        try:
            return msgspec.json.decode(self._alive_path.read_bytes(), type=AliveRecord)
        except (OSError, msgspec.DecodeError):
            return None

    # --- The replica beside the limiter -------------------------------------------------------------------
    async def _run_replica(self) -> None:
        """Runs the replica, and restarts it if it ends.

        The replica is a process of its own so that its disk writes don't delay requests.
        """
        wait_s = 0.1
        while True:
            started_s = time.monotonic()
            self._replica_process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "basaltpoint",
                "store",
                "run",
                "--embedded",
                str(self.path),
                stdin=asyncio.subprocess.PIPE,
                start_new_session=True,  # an interrupt from the terminal goes to the limiter only
            )
            code = await self._replica_process.wait()
            wait_s = 0.1 if time.monotonic() - started_s > 10 else min(5.0, wait_s * 2)
            log.error("store: the replica exited with code %s; restarting it in %.1f s", code, wait_s)
            await asyncio.sleep(wait_s)

    async def stop(self) -> None:
        """Saves the final balances and latencies, then ends the replica."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        if self._saves_state and self.storage.table.balances_s:
            with contextlib.suppress(StoreError, TimeoutError):
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    if not self._balance_lease:
                        self._balance_lease = await self.client.grant_lease(BALANCE_LEASE_MS, STOP_TIMEOUT_S)
                    await self._put_balances(self._source.due_balances(final=True))
                    await self._put_latencies()
        if self._copy_timer:
            self._copy_timer.cancel()
            self._write_copy()
        self.client.close()
        if self._replica_process and self._replica_process.returncode is None:
            self._replica_process.terminate()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await self._replica_process.wait()


class StateToSave:
    """The state of a running limiter that is saved for its next process."""

    balances: BalanceWriteQueue

    def due_balances(self, final: bool) -> dict[str, Balance]:
        """Returns the balances to write now, by account; with `final`, all, at the limiter's end."""
        raise NotImplementedError

    def learned_latencies(self) -> dict[str, tuple[tuple[float, ...], float]]:
        """Returns the light-load latencies and the mean latency (ms) of each pool, by its name."""
        raise NotImplementedError


def _log_failure(task: asyncio.Task[None]) -> None:
    """Logs an exception of a background task.

    Without the log line, a limiter that continues with outdated state would go unnoticed.
    """
    if not task.cancelled() and (error := task.exception()):
        log.error("store: a background task failed; the limiter may miss changes from now on", exc_info=error)
