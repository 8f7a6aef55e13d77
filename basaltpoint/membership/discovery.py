"""Discovery: the list of servers and its watch, taken up again with backoff when it breaks."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from time import monotonic
from typing import Any, Protocol, cast

import httptools

from basaltpoint.config.address import Address
from basaltpoint.membership.backoff import Backoff
from basaltpoint.membership.change_batch import ChangeBatch
from basaltpoint.membership.hosts import HostList, parse_list
from basaltpoint.membership.json_stream import JsonObjectStream, MalformedStreamError
from basaltpoint.membership.lease import MembershipLease
from basaltpoint.system.errors import LOCAL_ORIGINS, connect_error_origin

log = logging.getLogger(__name__)

WATCH_TIMEOUT_S = (
    3.0  # the agent writes every 2 s; what it tells counts as told after 6 s, two lost calls later
)
CONNECT_TIMEOUT_S = 1.0
MIN_HEARTBEAT_AGE_S = (
    1.0  # an empty line so long after a call is an agent's sign that nothing changes, as it writes every 2 s
)
RETURN_DELAY_FRACTION = 0.1  # of a wait between two calls, where discovery seems to be back
FAILURE_LOG_INTERVAL_S = 1.0  # between two log lines on calls that fail
READ_BATCH_DELAY_S = (
    0.02  # what follows so closely on what was read before is read together, so much later at most
)
LIST_TIMEOUT_S = 1.0  # for the rest of a list to come; the agent writes it in one go


class _WatchEventHandler(Protocol):
    """Who hears of what a watch says."""

    def list_received(self, stream: _WatchConnection, raw: Any) -> bool:
        """An object has come; False where it can't be used."""

    def data_received(self, stream: _WatchConnection, is_heartbeat: bool) -> None:
        """Something has come; `quiet`: it says that nothing is new."""

    def read_finished(self) -> None:
        """All objects that came together have been told."""

    def partial_list_received(self, stream: _WatchConnection) -> None:
        """A list has begun to come and is not whole."""

    def call_refused(self, stream: _WatchConnection) -> None:
        """The call was answered with a refusal."""

    def closed_by_peer(self, stream: _WatchConnection) -> None:
        """The other side has ended the connection."""

    def connection_closed(self, stream: _WatchConnection) -> None:
        """The connection has ended."""


class _WatchConnection(asyncio.Protocol):
    """One watch: cuts the chunked answer into objects."""

    def __init__(self, handler: _WatchEventHandler) -> None:
        self._handler = handler
        self._parser = httptools.HttpResponseParser(self)
        self._object_stream = JsonObjectStream()
        self._body = b""
        self._is_watch_response = False  # the answer is one to a watch
        self._closed_locally = False  # this side ended it
        self._transport: asyncio.Transport | None = None
        self._list_timer: asyncio.TimerHandle | None = None  # runs while a list has come in part
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.requested_at = self.last_received_at = asyncio.get_running_loop().time()
        self._last_list_at = -math.inf  # when a read last held the end of a list
        self.has_response = False  # bytes of an answer have come
        self.awaits_first_list = True  # none of its lists has counted
        self.has_list = False  # a list has come whole

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's own is no subclass of it

    def data_received(self, data: bytes) -> None:
        self.last_received_at = now = asyncio.get_running_loop().time()
        if not self.has_response:
            self.has_response = True
            log.info("discovery: first word %.3f s after the call", self.last_received_at - self.requested_at)
        try:
            self._parser.feed_data(data)
            body, self._body = self._body, b""
            if self._is_watch_response:
                self._handler.data_received(
                    self, body.isspace() and not self._object_stream.has_partial_object
                )
            if not self._deliver(body, now):
                return
        except (httptools.HttpParserError, MalformedStreamError) as error:
            log.warning("discovery: the watch can't be read: %r", error)
            self.close()
            return
        # A list that stops half way is asked for anew; empty lines behind it must not keep it waiting.
        if self._object_stream.has_partial_object and not self._list_timer:
            self._handler.partial_list_received(self)
            self._list_timer = asyncio.get_running_loop().call_later(LIST_TIMEOUT_S, self._list_timed_out)

    def _deliver(self, body: bytes, now: float) -> bool:
        """Hand on the objects that end in these bytes; False where one can't be used."""
        lists = 0
        try:
            for raw_list in self._object_stream.feed(body):
                lists += 1
                self._cancel_list_timer()
                if not self._handler.list_received(self, raw_list):
                    self.close()
                    return False
        finally:
            self._handler.read_finished()
        if lists:
            # The read before came late itself, where it was gathered. Nothing waits that has come in part.
            if (
                now < self._last_list_at + 2 * READ_BATCH_DELAY_S
                and not self._object_stream.has_partial_object
            ):
                self._pause_reading()
            self._last_list_at = now
        return True

    def _pause_reading(self) -> None:
        """Let what follows closely come together: each waking of the process costs more than a change."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(READ_BATCH_DELAY_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def _cancel_list_timer(self) -> None:
        """Nothing is awaited of the list that was coming."""
        if self._list_timer:
            self._list_timer.cancel()
            self._list_timer = None

    def _list_timed_out(self) -> None:
        log.warning("discovery: a list stopped half way")
        self.close()

    def on_headers_complete(self) -> None:
        self._is_watch_response = (status := self._parser.get_status_code()) == 200
        if not self._is_watch_response:
            log.warning("discovery: answered %d", status)
            self._handler.call_refused(self)
            self.close()

    def on_body(self, body: bytes) -> None:
        if self._is_watch_response:
            self._body += body

    def on_message_complete(self) -> None:
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        log.info("discovery: a watch has ended: %s", repr(exc) if exc else "closed")
        if not self._closed_locally:
            self._handler.closed_by_peer(self)
        self._cancel_list_timer()
        if not self.closed.done():
            self.closed.set_result(None)
        self._handler.connection_closed(self)

    def close(self) -> None:
        self._closed_locally = True
        if self._transport:
            self._transport.close()

    def abort(self) -> None:
        self._closed_locally = True
        if self._transport:
            self._transport.abort()


class Watch:
    """Keeps one watch open and hands on each list that says something new.

    One that has fallen silent is listened to until another one speaks: nobody can tell from here whether
    its connection is gone or the agent has nothing to say, and between two watches nothing would be heard.
    """

    def __init__(
        self,
        address: Address,
        on_list: Callable[[HostList], None],
        backoff: Backoff,
        lease: MembershipLease | None = None,
        on_lease_change: Callable[[], None] = lambda: None,
    ) -> None:
        """`lease`: of the list of servers, kept by what the watch hears; `on_lease` hears of its changes."""
        self._address = address
        self._lease = lease or MembershipLease(0.0, 0.0)
        self._on_lease_change = on_lease_change
        self._failure_logged_at = -math.inf
        self._confirmed_connection: _WatchConnection | None = None  # the watch whose word was the latest
        self._batch = ChangeBatch()
        self._up_to_date_connection: _WatchConnection | None = (
            None  # has told all that there is, as soon as that is applied
        )
        self._discovery_returned = False  # discovery seems to be back: what it has is to be heard soon
        self._backoff = backoff
        self._on_list = on_list
        self._call_timeout: asyncio.Timeout | None = None
        self._silent_connection: _WatchConnection | None = None  # has fallen silent, and may speak yet
        self.seq = 0

    def set_address(self, address: Address) -> None:
        """Follow another agent at once; what the last one told stays known."""
        if address != self._address:
            self._address = address
            self._lease.agent_changed(monotonic())
            self._confirmed_connection = None  # its end, which follows, loses nothing that counts
            self._on_lease_change()
            if self._call_timeout is None:
                self.seq = 0  # what is known has another agent's version
            elif not self._call_timeout.expired():  # else it moves already, and goes to the latest address
                self._call_timeout.reschedule(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Watch for ever; each break is followed by a new watch from the last version read."""
        waits = False  # what is known at the start may be old: a drain told since is to be heard at once
        try:
            while True:
                try:
                    async with asyncio.timeout(None) as self._call_timeout:
                        if waits:
                            delay_s = self._backoff.next_delay_s()
                            await asyncio.sleep(
                                delay_s * RETURN_DELAY_FRACTION if self._discovery_returned else delay_s
                            )
                        self._discovery_returned = False
                        waits = True
                        self._backoff.record_failure()  # until it is served
                        await self._follow_once()
                except TimeoutError:  # moved: the new agent counts its versions from where it likes
                    self._keep_silent(None)
                    self.seq, waits = 0, False
                    self._backoff.record_success()
        finally:
            self._keep_silent(None)

    async def _follow_once(self) -> None:
        try:
            await self._follow()
        except OSError as error:
            if monotonic() - self._failure_logged_at >= FAILURE_LOG_INTERVAL_S:
                self._failure_logged_at = monotonic()
                log.warning("discovery: %r", error)
        except Exception:
            # A fault of this program: without a watch every drain from here on would be overheard.
            log.exception("discovery: the watch failed and is taken up again")

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self._address
        self._lease.call_started(monotonic())
        try:
            async with asyncio.timeout(self._backoff.call_timeout_s(CONNECT_TIMEOUT_S)):
                _, stream = await loop.create_connection(lambda: _WatchConnection(self), host, port)
        except OSError as error:
            if connect_error_origin(error) in LOCAL_ORIGINS:
                self._lease.call_failed_locally()
            if isinstance(error, ConnectionRefusedError):
                self._backoff.record_connection_refused()
            raise
        first_response_timeout_s = self._backoff.call_timeout_s(WATCH_TIMEOUT_S)
        try:
            query = f"GET /discovery/hosts?follow=1&since={self.seq} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
            assert stream._transport
            stream._transport.write(query.encode())
            log.info("discovery: %s:%d is asked for what followed version %d", host, port, self.seq)
            # TCP does not tell that the other machine vanished: only its silence does.
            while not stream.closed.done():
                remaining_s = (
                    stream.last_received_at
                    + (WATCH_TIMEOUT_S if stream.has_response else first_response_timeout_s)
                    - loop.time()
                )
                if remaining_s <= 0:
                    log.warning("discovery: no word for %.1f s", loop.time() - stream.last_received_at)
                    self._keep_silent(stream)
                    return
                await asyncio.wait([stream.closed], timeout=remaining_s)
        finally:
            if stream is not self._silent_connection:
                stream.abort()

    def _keep_silent(self, stream: _WatchConnection | None) -> None:
        """Listen on to one that has fallen silent, in place of the one before it."""
        if self._silent_connection and not self._silent_connection.closed.done():
            if stream and self._silent_connection.last_received_at > stream.last_received_at:
                return  # the one before has spoken since this one was asked for
            self._silent_connection.abort()
        self._silent_connection = stream

    # --- What a watch says, as its listener ------------------------------------------------------------
    def data_received(self, stream: _WatchConnection, is_heartbeat: bool) -> None:
        """A watch speaks: none before it is needed. With `quiet` it says that nothing is new."""
        if stream is not self._silent_connection:
            self._keep_silent(None)
        if is_heartbeat:
            self._backoff.record_success()
            # The first answer to a call is a list: an empty line ahead of it says nothing yet.
            if stream.has_list or stream.last_received_at >= stream.requested_at + MIN_HEARTBEAT_AGE_S:
                self._renew_lease(stream)

    def list_received(self, stream: _WatchConnection, raw: Any) -> bool:
        """Take one list; False where it must be asked for again."""
        try:
            host_list, is_complete = parse_list(raw)
        except ValueError as error:
            log.warning("discovery: a list can't be read: %r", error)
            return False
        self._backoff.record_success()
        stream.has_list = True
        # Repeats and stragglers are old news; only the first list of a watch may start versions anew.
        if host_list.seq <= self.seq and not (stream.awaits_first_list and host_list.whole):
            self._up_to_date_connection = stream
            return True
        stream.awaits_first_list = False
        if not is_complete or not self._batch.can_merge(host_list):
            self._apply_batch()
        if host_list.whole or not is_complete:
            self._on_list(host_list)
        else:
            self._batch.add(host_list)
        if is_complete:
            self.seq = host_list.seq
        self._up_to_date_connection = stream if is_complete else None
        return is_complete

    def read_finished(self) -> None:
        """Hand on what came together; only then may it be acted on as current."""
        self._apply_batch()
        current, self._up_to_date_connection = self._up_to_date_connection, None
        if current:
            self._renew_lease(current)

    def _apply_batch(self) -> None:
        if (changes := self._batch.pop_merged()) is not None:
            self._on_list(changes)

    def partial_list_received(self, stream: _WatchConnection) -> None:
        """What the rest of the list says has been told, and can't be acted on."""
        self._lease.partial_list_received(monotonic())
        self._on_lease_change()

    def call_refused(self, stream: _WatchConnection) -> None:
        self._lease.call_refused()

    def closed_by_peer(self, stream: _WatchConnection) -> None:
        if self._lease.expires_at(monotonic()) == math.inf:
            self._discovery_returned = True
        self._lease.closed_by_peer()
        self._on_lease_change()

    def connection_closed(self, stream: _WatchConnection) -> None:
        """What discovery tells from here on is not heard, unless another watch is open."""
        if stream is self._confirmed_connection:
            self._confirmed_connection = None
            self._lease.watch_lost(monotonic())
            self._on_lease_change()

    def _renew_lease(self, stream: _WatchConnection) -> None:
        """Up to now all that was told has been heard."""
        self._confirmed_connection = stream
        self._lease.renew(monotonic())
        self._on_lease_change()
