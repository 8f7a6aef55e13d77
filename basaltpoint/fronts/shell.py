"""What every front puts round the request table: clock, one timer, effects carried out in their order."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from time import monotonic
from typing import Protocol

from basaltpoint.core.table import Effect, RequestTable, StartAttempt
from basaltpoint.interface import Status
from basaltpoint.upstream.servers import TIMER_RESOLUTION_S, Attempt

log = logging.getLogger(__name__)

EPOCH_MS = 1e9  # the module's clock starts here, so that no start of a server falls to 0 ('long ago')


LEAST_WAIT_MS = 1.0  # of a request whose time ran out before it was read: it is answered, and not sent on
EARLY_MS = 10.0  # the module's deadline lies so much before the client's: the answer is on its way, too
DAY_S = 86400.0  # stands for no limit while a body is on its way; the bounds on what stands still end it


class Passing(Protocol):
    """One request on its way, as the table is told of it."""

    @property
    def ident(self) -> int: ...
    @property
    def number(self) -> int: ...  # of the attempt that is out
    @property
    def attempt(self) -> Attempt | None: ...
    @property
    def passing(self) -> bool: ...  # its answer has begun to be passed on
    @property
    def wait_ms(self) -> float: ...
    @property
    def whole_at(self) -> float: ...  # when its client had sent the last byte of its body, monotonic seconds


class Shell:
    """A front's side of the table; a subclass says how an effect is carried out."""

    def __init__(self, table: RequestTable) -> None:
        self.table = table
        self._origin = time.monotonic()
        self._effects: deque[Effect] = deque()
        self._busy = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0  # of the loop: a handle that is due at once tells no time

    def now(self) -> float:
        """The module's clock, ms."""
        return (time.monotonic() - self._origin) * 1000 + EPOCH_MS

    def loop_time(self, ms: float) -> float:
        """A time of the module's clock on that of the loop."""
        return (ms - EPOCH_MS) / 1000 + self._origin

    def do(self, effects: list[Effect]) -> None:
        """Carry effects out; what they cause themselves waits until they are done."""
        self._effects += effects
        if self._busy:
            return
        self._busy = True
        try:
            while self._effects:
                effect = self._effects.popleft()
                try:
                    self.carry_out(effect)
                except Exception:
                    # A fault in one must not leave those behind it waiting for whatever happens next.
                    log.exception("an effect could not be carried out: %r", effect)
                    if isinstance(effect, StartAttempt):  # its end is owed, and it may have been written
                        self._effects += self.table.attempt_ended(
                            self.now(), effect.request, effect.attempt, Status.RESET
                        )
        finally:
            self._busy = False
        self.arm()

    def carry_out(self, effect: Effect) -> None:
        raise NotImplementedError

    # --- One request -----------------------------------------------------------------------------
    def begun(self, passage: Passing) -> None:
        """Its answer's head has come and is to be passed on."""
        self.do(self.table.response_started(self.now(), passage.ident, passage.number))

    def uploading(self, passage: Passing) -> None:
        """Its body is on its way to the server: no deadline counts until it is whole."""
        if passage.attempt:
            # Until its connection was up the request's own time held; a body that streams is ended where it
            # stands still, and with this process.
            day = asyncio.get_running_loop().time() + DAY_S
            passage.attempt.set_end_by(min(day, self.loop_time(self.table.final_deadline_ms)))
        self.do(self.table.upload_started(self.now(), passage.ident))

    def uploaded(self, passage: Passing) -> None:
        """Its streamed body is whole at the server: the deadline counts from its client's last byte on."""
        now = self.now()
        waited = (monotonic() - passage.whole_at) * 1000
        wait = max(LEAST_WAIT_MS, passage.wait_ms - waited)
        self.table.upload_finished(now, passage.ident, wait)
        if passage.attempt and not passage.passing:
            until = min(now + max(wait - EARLY_MS, wait / 2), self.table.final_deadline_ms)
            passage.attempt.set_end_by(self.loop_time(until))
        self.arm()

    # --- Time ------------------------------------------------------------------------------------
    def arm(self) -> None:
        """Have the table called when it is next due. Most requests end long before: the timer stays."""
        if (due := self.table.next_tick_ms) is None:
            return
        when = self.loop_time(due)
        if self._timer is None or when < self._timer_at:
            if self._timer:
                self._timer.cancel()
            self._timer_at = when
            self._timer = asyncio.get_running_loop().call_at(when + TIMER_RESOLUTION_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.do(self.table.tick(self.now()))

    def disarm(self) -> None:
        """The table is not called any more."""
        if self._timer:
            self._timer.cancel()
