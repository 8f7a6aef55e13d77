"""Client of the replicated store: uses one replica at a time, fails over, and applies each command once."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Sequence
from contextlib import aclosing
from dataclasses import dataclass
from functools import partial
from typing import Any

from basaltpoint.links.frames import PROTOCOL_VERSION, Frame, Greeting
from basaltpoint.links.transport import GREETING_TIMEOUT_S, Link, Tls, connect
from basaltpoint.store import protocol as p
from basaltpoint.store import state_machine as kv
from basaltpoint.store.state_machine import Check, CompactedError, Delete, Event, Put, Result, Value

log = logging.getLogger(__name__)

MAX_RESPONSE_WAIT_S = 3.0  # for one response; then the request goes to another replica
# While requests or watches are pending, the replica is sent a liveness check at this interval: a stopped
# process keeps its connections open and looks like a slow one. A smaller interval costs messages, a larger
# one delays the detection of each such fault.
LIVENESS_CHECK_INTERVAL_S = 0.2
# The client leaves a replica that sends nothing for this time. Doubled with each round of all replicas in
# which none sent a frame.
SILENCE_TIMEOUT_S = 0.5
# First and longest timeout of a connection attempt; doubled with each round of all replicas.
CONNECT_TIMEOUT_RANGE_S = (0.5, GREETING_TIMEOUT_S)
RETRY_DELAY_RANGE_S = (0.02, 0.1)  # first and longest delay of a retry; electing a leader takes up to 1 s


class StoreError(Exception):
    """The store refused a request; `error` is the kind of error, as in state_machine.Result."""

    def __init__(self, error: str, text: str) -> None:
        self.error = error
        super().__init__(text or error)


class UnavailableError(StoreError):
    """No replica responded in time; a command may or may not still take effect."""

    def __init__(self, text: str) -> None:
        super().__init__("unavailable", text)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Address of a replica: HOST:PORT and the name in its certificate, or the path of its Unix socket."""

    address: str
    name: str = ""


class Client:
    """Must be used from a single event loop; executes the commands of one client one at a time, in order."""

    def __init__(self, endpoints: Sequence[Endpoint], cluster: str = "", tls: Tls | None = None) -> None:
        self._endpoints = list(endpoints)
        self._cluster, self._tls = cluster, tls
        self._link: Link | None = None
        self._pending: dict[int, Callable[[Any], None]] = {}  # frame handlers by frame ident
        self._last_ident = 0
        # Incremented before each connection attempt: the first endpoint is used first.
        self._endpoint_index = -1
        self._connect_lock = asyncio.Lock()  # a lock is bound to the event loop of its first use
        self._command_lock = asyncio.Lock()
        self._last_frame_s = 0.0  # loop time at which the last frame was received
        self._liveness_task: asyncio.Task[None] | None = None
        self._failed_connects = 0  # consecutive connection attempts that failed
        self._silent_connections = 0  # consecutive connections over which no frame was received
        self._session = self._command_number = 0
        self.revision = 0  # highest revision in the responses received so far

    # --- Connection ---------------------------------------------------------------------------
    def greeting_received(self, link: Link) -> bool:
        return True

    def frame_received(self, link: Link, frame: p.AnyFrame) -> None:
        self._last_frame_s, self._silent_connections = asyncio.get_running_loop().time(), 0
        if link is self._link and (handle := self._pending.get(getattr(frame, "ident", 0))):
            handle(frame)

    def link_closed(self, link: Link) -> None:
        if link is self._link:
            self._link = None
            handlers, self._pending = self._pending, {}
            for handle in handlers.values():
                handle(None)

    async def _get_connection(self) -> Link:
        """Returns the open connection, or connects to the next endpoint. Raises OSError or TimeoutError."""
        async with self._connect_lock:
            if self._link is not None:
                return self._link
            self._endpoint_index = (self._endpoint_index + 1) % len(self._endpoints)
            endpoint = self._endpoints[self._endpoint_index]
            greeting = Greeting(PROTOCOL_VERSION, self._cluster)
            is_local = "/" in endpoint.address
            min_timeout_s, max_timeout_s = CONNECT_TIMEOUT_RANGE_S
            timeout_s = min(
                max_timeout_s, min_timeout_s * 2 ** (self._failed_connects // len(self._endpoints))
            )
            self._failed_connects += 1
            async with asyncio.timeout(timeout_s):
                link = await connect(
                    lambda: Link(self, greeting, is_local, p.STORE_PROTOCOL, self._tls is None),
                    endpoint.address,
                    endpoint.name,
                    self._tls,
                )
            self._failed_connects = 0
            self._link = link
            self._last_frame_s = asyncio.get_running_loop().time()
            return link

    def _start_liveness_checks(self) -> None:
        """Starts liveness checks, which run while requests or watches are pending."""
        if self._liveness_task is None or self._liveness_task.done():
            self._liveness_task = asyncio.get_running_loop().create_task(self._check_liveness())

    async def _check_liveness(self) -> None:
        loop = asyncio.get_running_loop()
        while self._pending and (link := self._link) is not None:
            checked_at = loop.time()
            if self._last_frame_s < checked_at - LIVENESS_CHECK_INTERVAL_S:
                link.send(p.GetStatus(0))  # answered once the replica has confirmed that its state is current
            await asyncio.sleep(LIVENESS_CHECK_INTERVAL_S)
            # If this process itself was paused, frames may be waiting unread: check again before judging the
            # replica.
            was_paused = loop.time() - checked_at > 2 * LIVENESS_CHECK_INTERVAL_S
            if was_paused:
                self._last_frame_s = loop.time()
                continue
            silence_timeout_s = min(
                MAX_RESPONSE_WAIT_S,
                SILENCE_TIMEOUT_S * 2 ** (self._silent_connections // len(self._endpoints)),
            )
            if (
                len(self._endpoints) > 1
                and link is self._link
                and loop.time() - self._last_frame_s > silence_timeout_s
            ):
                self._silent_connections += 1
                log.info("store: the connected replica does not respond; connecting to another replica")
                link.close()

    def disconnect(self) -> None:
        """Closes the connection; the next request goes to another replica."""
        if self._link:
            self._link.close()

    def close(self) -> None:
        if self._liveness_task:
            self._liveness_task.cancel()
        self.disconnect()

    async def _send_once(self, make_frame: Callable[[int], Frame], timeout_s: float) -> Any:
        """Sends a request once; returns None if there was no response."""
        try:
            link = await self._get_connection()
        except (OSError, TimeoutError):
            return None
        self._last_ident += 1
        ident, response = self._last_ident, asyncio.get_running_loop().create_future()
        self._pending[ident] = lambda frame: None if response.done() else response.set_result(frame)
        self._start_liveness_checks()
        try:
            if not link.send(make_frame(ident)):
                link.close()
                return None
            async with asyncio.timeout(timeout_s):
                return await response
        except TimeoutError:
            link.close()  # the replica hangs or lost the response; the next attempt uses another one
            return None
        finally:
            self._pending.pop(ident, None)

    async def _request(
        self, make_frame: Callable[[int], Frame], is_final: Callable[[Any], bool], within_s: float
    ) -> Any:
        """Sends a request until it has a final response; raises UnavailableError after `within_s` seconds."""
        loop = asyncio.get_running_loop()
        deadline, (delay_s, max_delay_s) = loop.time() + within_s, RETRY_DELAY_RANGE_S
        text = "no replica answers"
        while (remaining_s := deadline - loop.time()) > 0:
            frame = await self._send_once(make_frame, min(MAX_RESPONSE_WAIT_S, remaining_s))
            if frame is not None and is_final(frame):
                return frame
            if isinstance(frame, p.CommandResponse):
                text = frame.result.text
                self.disconnect()
            elif frame is not None:
                text = "the replicas have no leader"
                self.disconnect()
            await asyncio.sleep(min(delay_s * random.uniform(0.5, 1), max(0.0, deadline - loop.time())))
            delay_s = min(max_delay_s, delay_s * 2)
        raise UnavailableError(f"{text}; tried for {within_s:g} s")

    # --- Commands ---------------------------------------------------------------------------
    async def execute(self, action: kv.Action, within_s: float = 10.0) -> Result:
        """Executes a command exactly once.

        Raises StoreError if the store refuses it, and UnavailableError if the outcome is unknown.
        """
        async with self._command_lock:
            if not self._session:
                self._session, self._command_number = (
                    (await self._execute_command(kv.OpenSession(), 0, 0, within_s)).ident,
                    0,
                )
            self._command_number += 1
            result = await self._execute_command(action, self._session, self._command_number, within_s)
        if result.error == "session":
            self._session = 0
            raise UnavailableError(result.text)
        if result.error:
            raise StoreError(result.error, result.text)
        return result

    async def _execute_command(self, action: kv.Action, session: int, number: int, within_s: float) -> Result:
        command = kv.Command(action, session, number)

        def is_final(frame: Any) -> bool:
            return isinstance(frame, p.CommandResponse) and frame.result.error not in (
                "unavailable",
                "unknown",
            )

        frame = await self._request(lambda ident: p.ExecuteCommand(ident, command), is_final, within_s)
        result: Result = frame.result
        self.revision = max(self.revision, result.revision)
        return result

    async def transaction(
        self, operations: Sequence[Put | Delete], checks: Sequence[Check] = (), within_s: float = 10.0
    ) -> Result:
        """Applies all operations atomically if all checks hold; otherwise raises StoreError with error
        `check`.
        """
        return await self.execute(kv.Transaction(tuple(checks), tuple(operations)), within_s)

    async def put(self, key: str, value: bytes, lease: int = 0, within_s: float = 10.0) -> Result:
        return await self.transaction([Put(key, value, lease)], within_s=within_s)

    async def delete(self, key: str, prefix: bool = False, within_s: float = 10.0) -> Result:
        return await self.transaction([Delete(key, prefix)], within_s=within_s)

    async def grant_lease(self, ttl_ms: int, within_s: float = 10.0) -> int:
        return (await self.execute(kv.GrantLease(ttl_ms), within_s)).ident

    async def renew_lease(self, lease: int, within_s: float = 10.0) -> None:
        """Raises StoreError with error `lease` if the lease has expired."""
        await self.execute(kv.RenewLease(lease), within_s)

    # --- Reads ---------------------------------------------------------------------------
    async def get_range(
        self, prefix: str, *, local: bool = False, exact: bool = False, within_s: float = 10.0
    ) -> tuple[dict[str, Value], int]:
        """Returns all keys with a prefix, and a revision from whose successor a watch can continue.

        The values are at least as recent as the revision. `exact` reads the key `prefix` alone. `local` reads
        the connected replica's own state, which may be stale. Changes between two pages appear in the watch.
        """
        values: dict[str, Value] = {}
        after, revision = "", 0
        while True:
            page = await self._get_page(p.Get(0, prefix, after, local, exact), within_s)
            values.update(page.values)
            revision = revision or page.revision
            if not page.more:
                self.revision = max(self.revision, page.revision)
                return values, revision
            after = list(page.values)[-1]

    async def _get_page(self, get: p.Get, within_s: float) -> p.Page:
        def make(ident: int) -> Frame:
            return p.Get(ident, get.prefix, get.after, get.local, get.exact)

        page: p.Page = await self._request(make, lambda f: isinstance(f, p.Page) and not f.error, within_s)
        return page

    async def get(self, key: str, *, local: bool = False, within_s: float = 10.0) -> Value | None:
        return (await self.get_range(key, local=local, exact=True, within_s=within_s))[0].get(key)

    async def watch(self, prefix: str, revision: int) -> AsyncIterator[tuple[list[Event], int]]:
        """Yields changes from a revision on, each time with the revision up to which they are complete.

        The watch never ends and moves to another replica when a connection fails. Raises CompactedError if
        some of the changes are no longer stored: the caller must read all values again and watch from there.
        """
        delivered_revision = revision - 1
        delay_s, max_delay_s = RETRY_DELAY_RANGE_S
        while True:
            async with aclosing(self._watch_connection(prefix, delivered_revision + 1)) as frames:
                async for frame in frames:
                    delay_s = RETRY_DELAY_RANGE_S[0]
                    if frame.compacted:
                        raise CompactedError(frame.compacted)
                    # A lagging replica reports an older revision; events that were delivered are not
                    # repeated.
                    events = [event for event in frame.events if event.revision > delivered_revision]
                    delivered_revision = max(delivered_revision, frame.revision)
                    if events or frame.revision >= delivered_revision:
                        yield events, delivered_revision
            await asyncio.sleep(delay_s)
            delay_s = min(max_delay_s, delay_s * 2)

    async def _watch_connection(self, prefix: str, revision: int) -> AsyncGenerator[p.WatchEvents, None]:
        """Yields the frames of a watch on one connection until the connection closes."""
        try:
            link = await self._get_connection()
        except (OSError, TimeoutError):
            return
        self._last_ident += 1
        ident = self._last_ident
        frames: asyncio.Queue[Any] = asyncio.Queue()
        self._pending[ident] = frames.put_nowait
        self._start_liveness_checks()
        link.send(p.Watch(ident, prefix, revision))
        try:
            while (frame := await frames.get()) is not None:
                yield frame
        finally:
            self._pending.pop(ident, None)
            link.send(p.CancelWatch(ident))

    # --- Administration ---------------------------------------------------------------------------
    async def status(self, within_s: float = 5.0) -> p.ReplicaStatus:
        """Returns the status of the connected replica."""
        found: p.ReplicaStatus = await self._request(
            p.GetStatus, lambda f: isinstance(f, p.ReplicaStatus), within_s
        )
        return found

    async def dump_state(self, within_s: float = 30.0) -> bytes:
        """Returns the whole current state, serialised, as `restore` takes it to create a cluster."""
        data, total = b"", -1
        while len(data) != total:
            offset = len(data)
            chunk = await self._request(partial(p.DumpState, offset=offset), _is_dump_chunk, within_s)
            # Another replica responded, or the state changed: start again.
            if offset and chunk.total_bytes != total:
                data, total = b"", -1
                continue
            data, total = data + chunk.data, chunk.total_bytes
        return data

    async def change_membership(
        self, action: str, name: str, address: str = "", within_s: float = 10.0
    ) -> Result:
        """Adds a learner, promotes it to a voter, or removes a member; raises StoreError if it is refused.

        The request is repeated while its outcome is unknown. If the repetition is refused, but the membership
        is as requested by then, the change counts as done.
        """

        def is_reached(status: p.ReplicaStatus) -> bool:
            member = status.membership.find(name)
            match action:
                case "add":
                    return member is not None and member.address == address
                case "promote":
                    return member is not None and member.voter
                case _:
                    return member is None

        return await self._run_operation(
            lambda ident: p.ChangeMembership(ident, action, name, address), is_reached, within_s
        )

    async def transfer_leadership(self, name: str, within_s: float = 10.0) -> Result:
        """Transfers the leadership to a voter; the request is repeated while its outcome is unknown."""
        return await self._run_operation(
            lambda ident: p.TransferLeadership(ident, name), _not_reached, within_s
        )

    async def take_snapshot(self, within_s: float = 10.0) -> Result:
        """Makes the connected replica write a snapshot and compact its log."""
        return await self._run_operation(p.TakeSnapshot, _not_reached, within_s)

    async def _run_operation(
        self,
        make_frame: Callable[[int], Frame],
        is_reached: Callable[[p.ReplicaStatus], bool],
        within_s: float,
    ) -> Result:
        """Runs an operation; raises StoreError if it is refused and `is_reached` finds its effect missing."""
        deadline = asyncio.get_running_loop().time() + within_s
        # Attempts that may have taken effect: all except those refused before anything was started.
        possibly_applied = 0

        def make_counted_frame(ident: int) -> Frame:
            nonlocal possibly_applied
            possibly_applied += 1
            return make_frame(ident)

        def is_final(frame: Any) -> bool:
            nonlocal possibly_applied
            if not isinstance(frame, p.CommandResponse):
                return False
            possibly_applied -= frame.result.error not in ("", "unknown")
            return frame.result.error not in ("unavailable", "unknown")

        result: Result = (await self._request(make_counted_frame, is_final, within_s)).result
        if not result.error:
            return result
        remaining_s = deadline - asyncio.get_running_loop().time()
        if possibly_applied and remaining_s > 0 and is_reached(await self._current_status(remaining_s)):
            return Result(result.revision)
        raise StoreError(result.error, result.text)

    async def _current_status(self, within_s: float) -> p.ReplicaStatus:
        """Returns the status of a replica that has applied everything committed before this call."""
        deadline = asyncio.get_running_loop().time() + within_s
        while True:
            remaining_s = deadline - asyncio.get_running_loop().time()
            # Answered once the replica is current.
            await self._get_page(p.Get(0, "", "", False, True), remaining_s)
            current_link = self._link
            status = await self.status(remaining_s)
            if current_link is not None and self._link is current_link:
                return status


def _not_reached(status: p.ReplicaStatus) -> bool:
    """For idempotent operations: a refusal is final."""
    return False


def _is_dump_chunk(frame: Any) -> bool:
    return isinstance(frame, p.DumpChunk) and not frame.error
