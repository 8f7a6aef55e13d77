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
from basaltpoint.membership.lease import MembershipLease
from basaltpoint.membership.objects import BrokenError, Objects
from basaltpoint.system.errors import LOCAL_ORIGINS, connect_error_origin

log = logging.getLogger(__name__)

SILENCE_S = 3.0  # the agent writes every 2 s; what it tells counts as told after 6 s, two lost calls later
CONNECT_S = 1.0
BEAT_S = (
    1.0  # an empty line so long after a call is an agent's sign that nothing changes, as it writes every 2 s
)
RETURN_PART = 0.1  # of a wait between two calls, where discovery seems to be back
COMPLAIN_S = 1.0  # between two log lines on calls that fail
GATHER_S = 0.02  # what follows so closely on what was read before is read together, so much later at most
WHOLE_S = 1.0  # for the rest of a list to come; the agent writes it in one go


class _Listener(Protocol):
    """Who hears of what a watch says."""

    def told(self, stream: _Stream, raw: Any) -> bool:
        """An object has come; False where it can't be used."""

    def heard(self, stream: _Stream, quiet: bool) -> None:
        """Something has come; `quiet`: it says that nothing is new."""

    def read(self) -> None:
        """All objects that came together have been told."""

    def in_part(self, stream: _Stream) -> None:
        """A list has begun to come and is not whole."""

    def turned_away(self, stream: _Stream) -> None:
        """The call was answered with a refusal."""

    def cut_off(self, stream: _Stream) -> None:
        """The other side has ended the connection."""

    def ended(self, stream: _Stream) -> None:
        """The connection has ended."""


class _Stream(asyncio.Protocol):
    """One watch: cuts the chunked answer into objects."""

    def __init__(self, listener: _Listener) -> None:
        self._listener = listener
        self._parser = httptools.HttpResponseParser(self)
        self._objects = Objects()
        self._body = b""
        self._good = False  # the answer is one to a watch
        self._closed_here = False  # this side ended it
        self._transport: asyncio.Transport | None = None
        self._short: asyncio.TimerHandle | None = None  # runs while a list has come in part
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.asked = self.heard = asyncio.get_running_loop().time()
        self._told_at = -math.inf  # when a read last held the end of a list
        self.spoke = False  # bytes of an answer have come
        self.fresh = True  # none of its lists has counted
        self.told = False  # a list has come whole

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's own is no subclass of it

    def data_received(self, data: bytes) -> None:
        self.heard = now = asyncio.get_running_loop().time()
        if not self.spoke:
            self.spoke = True
            log.info("discovery: first word %.3f s after the call", self.heard - self.asked)
        try:
            self._parser.feed_data(data)
            body, self._body = self._body, b""
            if self._good:
                self._listener.heard(self, body.isspace() and not self._objects.unfinished)
            if not self._tell(body, now):
                return
        except (httptools.HttpParserError, BrokenError) as error:
            log.warning("discovery: the watch can't be read: %r", error)
            self.close()
            return
        # A list that stops half way is asked for anew; empty lines behind it must not keep it waiting.
        if self._objects.unfinished and not self._short:
            self._listener.in_part(self)
            self._short = asyncio.get_running_loop().call_later(WHOLE_S, self._stopped_short)

    def _tell(self, body: bytes, now: float) -> bool:
        """Hand on the objects that end in these bytes; False where one can't be used."""
        lists = 0
        try:
            for told in self._objects.feed(body):
                lists += 1
                self._whole()
                if not self._listener.told(self, told):
                    self.close()
                    return False
        finally:
            self._listener.read()
        if lists:
            # The read before came late itself, where it was gathered. Nothing waits that has come in part.
            if now < self._told_at + 2 * GATHER_S and not self._objects.unfinished:
                self._gather()
            self._told_at = now
        return True

    def _gather(self) -> None:
        """Let what follows closely come together: each waking of the process costs more than a change."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(GATHER_S, self._read_on)

    def _read_on(self) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def _whole(self) -> None:
        """Nothing is awaited of the list that was coming."""
        if self._short:
            self._short.cancel()
            self._short = None

    def _stopped_short(self) -> None:
        log.warning("discovery: a list stopped half way")
        self.close()

    def on_headers_complete(self) -> None:
        self._good = (status := self._parser.get_status_code()) == 200
        if not self._good:
            log.warning("discovery: answered %d", status)
            self._listener.turned_away(self)
            self.close()

    def on_body(self, body: bytes) -> None:
        if self._good:
            self._body += body

    def on_message_complete(self) -> None:
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        log.info("discovery: a watch has ended: %s", repr(exc) if exc else "closed")
        if not self._closed_here:
            self._listener.cut_off(self)
        self._whole()
        if not self.ended.done():
            self.ended.set_result(None)
        self._listener.ended(self)

    def close(self) -> None:
        self._closed_here = True
        if self._transport:
            self._transport.close()

    def abort(self) -> None:
        self._closed_here = True
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
        on_lease: Callable[[], None] = lambda: None,
    ) -> None:
        """`lease`: of the list of servers, kept by what the watch hears; `on_lease` hears of its changes."""
        self._address = address
        self._lease = lease or MembershipLease(0.0, 0.0)
        self._on_lease = on_lease
        self._complained_at = -math.inf
        self._live: _Stream | None = None  # the watch whose word was the latest
        self._batch = ChangeBatch()
        self._current: _Stream | None = None  # has told all that there is, as soon as that is applied
        self._returned = False  # discovery seems to be back: what it has is to be heard soon
        self._backoff = backoff
        self._on_list = on_list
        self._turn: asyncio.Timeout | None = None
        self._held: _Stream | None = None  # has fallen silent, and may speak yet
        self.seq = 0

    def move(self, address: Address) -> None:
        """Follow another agent at once; what the last one told stays known."""
        if address != self._address:
            self._address = address
            self._lease.moved(monotonic())
            self._live = None  # its end, which follows, loses nothing that counts
            self._on_lease()
            if self._turn is None:
                self.seq = 0  # what is known has another agent's version
            elif not self._turn.expired():  # else it moves already, and goes to the latest address
                self._turn.reschedule(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Watch for ever; each break is followed by a new watch from the last version read."""
        rests = False  # what is known at the start may be old: a drain told since is to be heard at once
        try:
            while True:
                try:
                    async with asyncio.timeout(None) as self._turn:
                        if rests:
                            wait_s = self._backoff.wait_s()
                            await asyncio.sleep(wait_s * RETURN_PART if self._returned else wait_s)
                        self._returned = False
                        rests = True
                        self._backoff.failed()  # until it is served
                        await self._try()
                except TimeoutError:  # moved: the new agent counts its versions from where it likes
                    self._hold(None)
                    self.seq, rests = 0, False
                    self._backoff.served()
        finally:
            self._hold(None)

    async def _try(self) -> None:
        try:
            await self._follow()
        except OSError as error:
            if monotonic() - self._complained_at >= COMPLAIN_S:
                self._complained_at = monotonic()
                log.warning("discovery: %r", error)
        except Exception:
            # A fault of this program: without a watch every drain from here on would be overheard.
            log.exception("discovery: the watch failed and is taken up again")

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self._address
        self._lease.asked(monotonic())
        try:
            async with asyncio.timeout(self._backoff.within_s(CONNECT_S)):
                _, stream = await loop.create_connection(lambda: _Stream(self), host, port)
        except OSError as error:
            if connect_error_origin(error) in LOCAL_ORIGINS:
                self._lease.not_made()
            if isinstance(error, ConnectionRefusedError):
                self._backoff.absent()
            raise
        first_s = self._backoff.within_s(SILENCE_S)
        try:
            query = f"GET /discovery/hosts?follow=1&since={self.seq} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
            assert stream._transport
            stream._transport.write(query.encode())
            log.info("discovery: %s:%d is asked for what followed version %d", host, port, self.seq)
            # TCP does not tell that the other machine vanished: only its silence does.
            while not stream.ended.done():
                left = stream.heard + (SILENCE_S if stream.spoke else first_s) - loop.time()
                if left <= 0:
                    log.warning("discovery: no word for %.1f s", loop.time() - stream.heard)
                    self._hold(stream)
                    return
                await asyncio.wait([stream.ended], timeout=left)
        finally:
            if stream is not self._held:
                stream.abort()

    def _hold(self, stream: _Stream | None) -> None:
        """Listen on to one that has fallen silent, in place of the one before it."""
        if self._held and not self._held.ended.done():
            if stream and self._held.heard > stream.heard:
                return  # the one before has spoken since this one was asked for
            self._held.abort()
        self._held = stream

    # --- What a watch says, as its listener ------------------------------------------------------------
    def heard(self, stream: _Stream, quiet: bool) -> None:
        """A watch speaks: none before it is needed. With `quiet` it says that nothing is new."""
        if stream is not self._held:
            self._hold(None)
        if quiet:
            self._backoff.served()
            # The first answer to a call is a list: an empty line ahead of it says nothing yet.
            if stream.told or stream.heard >= stream.asked + BEAT_S:
                self._confirmed(stream)

    def told(self, stream: _Stream, raw: Any) -> bool:
        """Take one list; False where it must be asked for again."""
        try:
            told, sound = parse_list(raw)
        except ValueError as error:
            log.warning("discovery: a list can't be read: %r", error)
            return False
        self._backoff.served()
        stream.told = True
        # Repeats and stragglers are old news; only the first list of a watch may start versions anew.
        if told.seq <= self.seq and not (stream.fresh and told.whole):
            self._current = stream
            return True
        stream.fresh = False
        if not sound or not self._batch.fits(told):
            self._apply()
        if told.whole or not sound:
            self._on_list(told)
        else:
            self._batch.add(told)
        if sound:
            self.seq = told.seq
        self._current = stream if sound else None
        return sound

    def read(self) -> None:
        """Hand on what came together; only then may it be acted on as current."""
        self._apply()
        current, self._current = self._current, None
        if current:
            self._confirmed(current)

    def _apply(self) -> None:
        if (changes := self._batch.take()) is not None:
            self._on_list(changes)

    def in_part(self, stream: _Stream) -> None:
        """What the rest of the list says has been told, and can't be acted on."""
        self._lease.spoke(monotonic())
        self._on_lease()

    def turned_away(self, stream: _Stream) -> None:
        self._lease.refused()

    def cut_off(self, stream: _Stream) -> None:
        if self._lease.until(monotonic()) == math.inf:
            self._returned = True
        self._lease.cut_off()
        self._on_lease()

    def ended(self, stream: _Stream) -> None:
        """What discovery tells from here on is not heard, unless another watch is open."""
        if stream is self._live:
            self._live = None
            self._lease.missing(monotonic())
            self._on_lease()

    def _confirmed(self, stream: _Stream) -> None:
        """Up to now all that was told has been heard."""
        self._live = stream
        self._lease.renewed(monotonic())
        self._on_lease()
