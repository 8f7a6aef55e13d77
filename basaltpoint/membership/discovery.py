"""Client of the discovery service: keeps a watch on the list of servers and reconnects with backoff."""

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

# The agent writes at least every 2 s. Changes missed on a silent watch count as delivered after 6 s, which
# leaves time for two lost calls after this timeout.
WATCH_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
# The agent sends an empty line every 2 s while nothing changes. An empty line counts as such a heartbeat only
# if it arrives this long after the request.
MIN_HEARTBEAT_AGE_S = 1.0
RETURN_DELAY_FRACTION = 0.1  # of the delay between two calls, used when discovery seems to be back
FAILURE_LOG_INTERVAL_S = 1.0  # minimum time between two log lines on failed calls
READ_BATCH_DELAY_S = 0.02  # reading pauses this long so that changes in quick succession are read together
LIST_TIMEOUT_S = 1.0  # for the rest of a partly received list; the agent writes each list in one go


class _WatchEventHandler(Protocol):
    """Receives the events of one watch connection."""

    def list_received(self, connection: _WatchConnection, raw: Any) -> bool:
        """A JSON object was received. Returns False if it cannot be used."""

    def data_received(self, connection: _WatchConnection, is_heartbeat: bool) -> None:
        """Data was received. `is_heartbeat`: it is an empty line, sent while nothing changes."""

    def read_finished(self) -> None:
        """All objects of one read have been reported."""

    def partial_list_received(self, connection: _WatchConnection) -> None:
        """The beginning of a list was received, but not its end."""

    def call_refused(self, connection: _WatchConnection) -> None:
        """The server refused the call with an HTTP status other than 200."""

    def closed_by_peer(self, connection: _WatchConnection) -> None:
        """The server closed the connection."""

    def connection_closed(self, connection: _WatchConnection) -> None:
        """The connection is closed."""


class _WatchConnection(asyncio.Protocol):
    """The connection of one watch: splits the chunked HTTP response into JSON objects."""

    def __init__(self, handler: _WatchEventHandler) -> None:
        self._handler = handler
        self._parser = httptools.HttpResponseParser(self)
        self._object_stream = JsonObjectStream()
        self._body = b""
        self._is_watch_response = False  # the response status is 200
        self._closed_locally = False
        self._transport: asyncio.Transport | None = None
        self._list_timer: asyncio.TimerHandle | None = None  # runs while a list is partly received
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.requested_at = self.last_received_at = asyncio.get_running_loop().time()
        self._last_list_at = -math.inf  # when a read last completed a list, loop time in seconds
        self.has_response = False  # at least one byte of the response was received
        self.awaits_first_list = True  # no list of this watch has been accepted
        self.has_list = False  # a complete list was received

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass of it

    def data_received(self, data: bytes) -> None:
        self.last_received_at = now = asyncio.get_running_loop().time()
        if not self.has_response:
            self.has_response = True
            log.info(
                "discovery: first byte received %.3f s after the call",
                self.last_received_at - self.requested_at,
            )
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
            log.warning("discovery: invalid watch response: %r", error)
            self.close()
            return
        # A list that stays incomplete is requested again; heartbeats behind it must not restart the timer.
        if self._object_stream.has_partial_object and not self._list_timer:
            self._handler.partial_list_received(self)
            self._list_timer = asyncio.get_running_loop().call_later(LIST_TIMEOUT_S, self._list_timed_out)

    def _deliver(self, body: bytes, now: float) -> bool:
        """Reports the objects that these bytes complete. Returns False if one of them cannot be used."""
        list_count = 0
        try:
            for raw_list in self._object_stream.feed(body):
                list_count += 1
                self._cancel_list_timer()
                if not self._handler.list_received(self, raw_list):
                    self.close()
                    return False
        finally:
            self._handler.read_finished()
        if list_count:
            # If the previous read was delayed by a pause, it counts too. A partly received list is never
            # delayed.
            if (
                now < self._last_list_at + 2 * READ_BATCH_DELAY_S
                and not self._object_stream.has_partial_object
            ):
                self._pause_reading()
            self._last_list_at = now
        return True

    def _pause_reading(self) -> None:
        """Pauses reading to read close changes together: a wakeup costs more than a change."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(READ_BATCH_DELAY_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def _cancel_list_timer(self) -> None:
        """Stops the timer of a partly received list."""
        if self._list_timer:
            self._list_timer.cancel()
            self._list_timer = None

    def _list_timed_out(self) -> None:
        log.warning("discovery: the rest of a list did not arrive in time")
        self.close()

    def on_headers_complete(self) -> None:
        self._is_watch_response = (status := self._parser.get_status_code()) == 200
        if not self._is_watch_response:
            log.warning("discovery: the watch was refused with status %d", status)
            self._handler.call_refused(self)
            self.close()

    def on_body(self, body: bytes) -> None:
        if self._is_watch_response:
            self._body += body

    def on_message_complete(self) -> None:
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        log.info("discovery: watch connection closed: %s", repr(exc) if exc else "no error")
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
    """Keeps one watch open and reports each list that contains something new.

    A watch without data is kept open until another watch receives data: the limiter cannot tell whether the
    connection is lost or the agent has nothing to send, and no change would be received between two watches.
    """

    def __init__(
        self,
        address: Address,
        on_list: Callable[[HostList], None],
        backoff: Backoff,
        lease: MembershipLease | None = None,
        on_lease_change: Callable[[], None] = lambda: None,
    ) -> None:
        """`lease`: the membership lease that the watch renews; `on_lease_change`: called when it changes."""
        self._address = address
        self._lease = lease or MembershipLease(0.0, 0.0)
        self._on_lease_change = on_lease_change
        self._failure_logged_at = -math.inf
        self._confirmed_connection: _WatchConnection | None = None  # the watch that last renewed the lease
        self._batch = ChangeBatch()
        # This watch has delivered everything up to now; it renews the lease once its changes are applied.
        self._up_to_date_connection: _WatchConnection | None = None
        self._discovery_returned = False  # discovery seems to be back, so the next call is made sooner
        self._backoff = backoff
        self._on_list = on_list
        self._call_timeout: asyncio.Timeout | None = None
        self._silent_connection: _WatchConnection | None = None  # timed out, but may still receive data
        self.seq = 0

    def set_address(self, address: Address) -> None:
        """Switches to another agent at once; the servers known so far are kept."""
        if address != self._address:
            self._address = address
            self._lease.agent_changed(monotonic())
            self._confirmed_connection = None  # the end of the old connection must not shorten the lease
            self._on_lease_change()
            if self._call_timeout is None:
                self.seq = 0  # the known version is the previous agent's
            elif not self._call_timeout.expired():  # if expired, the switch is under way with this address
                self._call_timeout.reschedule(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Watches until cancelled; after each interruption a new watch starts at the last version read."""
        waits = False  # the first call is made at once: the known list may be old and miss a drain
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
                        self._backoff.record_failure()  # until the call succeeds
                        await self._follow_once()
                except TimeoutError:  # the address has changed; the new agent has its own version numbers
                    self._set_silent_connection(None)
                    self.seq, waits = 0, False
                    self._backoff.record_success()
        finally:
            self._set_silent_connection(None)

    async def _follow_once(self) -> None:
        try:
            await self._follow()
        except OSError as error:
            if monotonic() - self._failure_logged_at >= FAILURE_LOG_INTERVAL_S:
                self._failure_logged_at = monotonic()
                log.warning("discovery: call failed: %r", error)
        except Exception:
            # An internal error must not end the task: without a watch every later drain would be missed.
            log.exception("discovery: internal error in the watch; reconnecting")

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self._address
        self._lease.call_started(monotonic())
        try:
            async with asyncio.timeout(self._backoff.call_timeout_s(CONNECT_TIMEOUT_S)):
                _, connection = await loop.create_connection(lambda: _WatchConnection(self), host, port)
        except OSError as error:
            if connect_error_origin(error) in LOCAL_ORIGINS:
                self._lease.call_failed_locally()
            if isinstance(error, ConnectionRefusedError):
                self._backoff.record_connection_refused()
            raise
        first_response_timeout_s = self._backoff.call_timeout_s(WATCH_TIMEOUT_S)
        try:
            query = f"GET /discovery/hosts?follow=1&since={self.seq} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
            assert connection._transport
            connection._transport.write(query.encode())
            log.info("discovery: requesting from %s:%d the changes after version %d", host, port, self.seq)
            # TCP does not report that the other host has vanished; only missing data shows it.
            while not connection.closed.done():
                remaining_s = (
                    connection.last_received_at
                    + (WATCH_TIMEOUT_S if connection.has_response else first_response_timeout_s)
                    - loop.time()
                )
                if remaining_s <= 0:
                    log.warning("discovery: no data for %.1f s", loop.time() - connection.last_received_at)
                    self._set_silent_connection(connection)
                    return
                await asyncio.wait([connection.closed], timeout=remaining_s)
        finally:
            if connection is not self._silent_connection:
                connection.abort()

    def _set_silent_connection(self, connection: _WatchConnection | None) -> None:
        """Keeps a watch that has timed out open, in place of an earlier one."""
        if self._silent_connection and not self._silent_connection.closed.done():
            if connection and self._silent_connection.last_received_at > connection.last_received_at:
                return  # the earlier watch has received data since this one was requested
            self._silent_connection.abort()
        self._silent_connection = connection

    # --- Events of a watch connection ------------------------------------------------------------------
    def data_received(self, connection: _WatchConnection, is_heartbeat: bool) -> None:
        """Closes the silent watch if another one receives data; a heartbeat confirms the known list."""
        if connection is not self._silent_connection:
            self._set_silent_connection(None)
        if is_heartbeat:
            self._backoff.record_success()
            # The first response to a call is a list: an empty line before it confirms nothing.
            if (
                connection.has_list
                or connection.last_received_at >= connection.requested_at + MIN_HEARTBEAT_AGE_S
            ):
                self._renew_lease(connection)

    def list_received(self, connection: _WatchConnection, raw: Any) -> bool:
        """Accepts one list. Returns False if it must be requested again."""
        try:
            host_list, is_complete = parse_list(raw)
        except ValueError as error:
            log.warning("discovery: invalid list: %r", error)
            return False
        self._backoff.record_success()
        connection.has_list = True
        # Repeated and late lists are ignored; only the first list of a watch may restart the version numbers.
        if host_list.seq <= self.seq and not (connection.awaits_first_list and host_list.whole):
            self._up_to_date_connection = connection
            return True
        connection.awaits_first_list = False
        if not is_complete or not self._batch.can_merge(host_list):
            self._apply_batch()
        if host_list.whole or not is_complete:
            self._on_list(host_list)
        else:
            self._batch.add(host_list)
        if is_complete:
            self.seq = host_list.seq
        self._up_to_date_connection = connection if is_complete else None
        return is_complete

    def read_finished(self) -> None:
        """Applies the changes of one read, and renews the lease only afterwards."""
        self._apply_batch()
        connection, self._up_to_date_connection = self._up_to_date_connection, None
        if connection:
            self._renew_lease(connection)

    def _apply_batch(self) -> None:
        if (changes := self._batch.pop_merged()) is not None:
            self._on_list(changes)

    def partial_list_received(self, connection: _WatchConnection) -> None:
        """Shortens the lease: the rest of the list counts as delivered and cannot be applied yet."""
        self._lease.partial_list_received(monotonic())
        self._on_lease_change()

    def call_refused(self, connection: _WatchConnection) -> None:
        self._lease.call_refused()

    def closed_by_peer(self, connection: _WatchConnection) -> None:
        if self._lease.expires_at(monotonic()) == math.inf:
            self._discovery_returned = True
        self._lease.closed_by_peer()
        self._on_lease_change()

    def connection_closed(self, connection: _WatchConnection) -> None:
        """Shortens the lease, unless another watch is open: changes are no longer received."""
        if connection is self._confirmed_connection:
            self._confirmed_connection = None
            self._lease.watch_lost(monotonic())
            self._on_lease_change()

    def _renew_lease(self, connection: _WatchConnection) -> None:
        """Renews the lease: every change up to now has been received."""
        self._confirmed_connection = connection
        self._lease.renew(monotonic())
        self._on_lease_change()
