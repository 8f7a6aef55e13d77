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

CLOCK_START_MS = 1e9  # the module's clock starts here, so that no start of a server falls to 0 ('long ago')


MIN_WAIT_MS = 1.0  # of a request whose time ran out before it was read: it is answered, and not sent on
RESPONSE_MARGIN_MS = (
    10.0  # the module's deadline lies so much before the client's: the answer is on its way, too
)
UPLOAD_TIMEOUT_S = (
    86400.0  # stands for no limit while a body is on its way; the bounds on what stands still end it
)


class ExchangeState(Protocol):
    """One request on its way, as the table is told of it."""

    @property
    def request_number(self) -> int: ...
    @property
    def attempt_number(self) -> int: ...  # of the attempt that is out
    @property
    def attempt(self) -> Attempt | None: ...
    @property
    def response_started(self) -> bool: ...  # its answer has begun to be passed on
    @property
    def wait_ms(self) -> float: ...
    @property
    def body_complete_at(
        self,
    ) -> float: ...  # when its client had sent the last byte of its body, monotonic seconds


class RequestTableDriver:
    """A front's side of the table; a subclass says how an effect is carried out."""

    def __init__(self, table: RequestTable) -> None:
        self.table = table
        self._clock_origin_s = time.monotonic()
        self._effects: deque[Effect] = deque()
        self._is_applying = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = 0.0  # of the loop: a handle that is due at once tells no time

    def now(self) -> float:
        """The module's clock, ms."""
        return (time.monotonic() - self._clock_origin_s) * 1000 + CLOCK_START_MS

    def to_loop_time(self, ms: float) -> float:
        """A time of the module's clock on that of the loop."""
        return (ms - CLOCK_START_MS) / 1000 + self._clock_origin_s

    def apply_effects(self, effects: list[Effect]) -> None:
        """Carry effects out; what they cause themselves waits until they are done."""
        self._effects += effects
        if self._is_applying:
            return
        self._is_applying = True
        try:
            while self._effects:
                effect = self._effects.popleft()
                try:
                    self.apply_effect(effect)
                except Exception:
                    # A fault in one must not leave those behind it waiting for whatever happens next.
                    log.exception("an effect could not be carried out: %r", effect)
                    if isinstance(effect, StartAttempt):  # its end is owed, and it may have been written
                        self._effects += self.table.attempt_ended(
                            self.now(), effect.request, effect.attempt, Status.RESET
                        )
        finally:
            self._is_applying = False
        self.schedule_tick()

    def apply_effect(self, effect: Effect) -> None:
        raise NotImplementedError

    # --- One request -----------------------------------------------------------------------------
    def response_started(self, passage: ExchangeState) -> None:
        """Its answer's head has come and is to be passed on."""
        self.apply_effects(
            self.table.response_started(self.now(), passage.request_number, passage.attempt_number)
        )

    def upload_started(self, passage: ExchangeState) -> None:
        """Its body is on its way to the server: no deadline counts until it is whole."""
        if passage.attempt:
            # Until its connection was up the request's own time held; a body that streams is ended where it
            # stands still, and with this process.
            day = asyncio.get_running_loop().time() + UPLOAD_TIMEOUT_S
            passage.attempt.set_end_by(min(day, self.to_loop_time(self.table.final_deadline_ms)))
        self.apply_effects(self.table.upload_started(self.now(), passage.request_number))

    def upload_finished(self, passage: ExchangeState) -> None:
        """Its streamed body is whole at the server: the deadline counts from its client's last byte on."""
        now = self.now()
        waited = (monotonic() - passage.body_complete_at) * 1000
        wait = max(MIN_WAIT_MS, passage.wait_ms - waited)
        self.table.upload_finished(now, passage.request_number, wait)
        if passage.attempt and not passage.response_started:
            until = min(now + max(wait - RESPONSE_MARGIN_MS, wait / 2), self.table.final_deadline_ms)
            passage.attempt.set_end_by(self.to_loop_time(until))
        self.schedule_tick()

    # --- Time ------------------------------------------------------------------------------------
    def schedule_tick(self) -> None:
        """Have the table called when it is next due. Most requests end long before: the timer stays."""
        if (due := self.table.next_tick_ms) is None:
            return
        when = self.to_loop_time(due)
        if self._timer is None or when < self._timer_due_at:
            if self._timer:
                self._timer.cancel()
            self._timer_due_at = when
            self._timer = asyncio.get_running_loop().call_at(when + TIMER_RESOLUTION_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.apply_effects(self.table.tick(self.now()))

    def cancel_tick(self) -> None:
        """The table is not called any more."""
        if self._timer:
            self._timer.cancel()
