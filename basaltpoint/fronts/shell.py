"""What every front adds to the request table: a clock, one timer and the ordered execution of effects."""

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

# The decision module's clock starts here, so that no server's start time becomes 0, which means "long ago".
CLOCK_START_MS = 1e9
MIN_WAIT_MS = 0.0  # of a request that expired before it was read: it gets a response and no attempt
# The decision module's deadline lies this long before the client's: the response has to be transmitted, too.
RESPONSE_MARGIN_MS = 10.0
# Means no limit while a body is uploaded: `UploadDeadline` and the timeouts of stalled connections end it.
UPLOAD_TIMEOUT_S = 86400.0


def response_due_ms(wait_ms: float) -> float:
    """Returns after how many ms an attempt has to end whose client waits for `wait_ms` from now on."""
    return max(wait_ms - RESPONSE_MARGIN_MS, wait_ms / 2)


class ExchangeState(Protocol):
    """What the request table needs to know of one request and its response."""

    @property
    def request_number(self) -> int: ...
    @property
    def attempt_number(self) -> int: ...  # of the outstanding attempt
    @property
    def attempt(self) -> Attempt | None: ...
    @property
    def response_started(self) -> bool: ...  # the response is being forwarded to the client
    @property
    def wait_ms(self) -> float: ...  # for the response, from the last byte of the body
    @property
    def body_complete_at(
        self,
    ) -> float: ...  # when the client had sent the last byte of the body, monotonic seconds


class RequestTableDriver:
    """Drives the request table of a front; subclasses implement `apply_effect`."""

    def __init__(self, table: RequestTable) -> None:
        self.table = table
        self._clock_origin_s = time.monotonic()
        self._effects: deque[Effect] = deque()
        self._is_applying = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = 0.0  # loop time; a handle that is due at once does not provide it

    def now(self) -> float:
        """Returns the time of the decision module's clock in ms."""
        return (time.monotonic() - self._clock_origin_s) * 1000 + CLOCK_START_MS

    def to_loop_time(self, ms: float) -> float:
        """Converts a time of the decision module's clock (ms) to the event loop's clock (seconds)."""
        return (ms - CLOCK_START_MS) / 1000 + self._clock_origin_s

    def apply_effects(self, effects: list[Effect]) -> None:
        """Applies effects in order; effects that they cause are applied after them."""
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
                    # An exception in one effect must not delay the following ones until the next event.
                    log.exception("an effect could not be applied: %r", effect)
                    if isinstance(
                        effect, StartAttempt
                    ):  # the table expects its end; it may have been written
                        self._effects += self.table.attempt_ended(
                            self.now(), effect.request, effect.attempt, Status.RESET
                        )
        finally:
            self._is_applying = False
        self.schedule_tick()

    def apply_effect(self, effect: Effect) -> None:
        raise NotImplementedError

    # --- One request -----------------------------------------------------------------------------
    def response_started(self, exchange: ExchangeState) -> None:
        """Notifies the table that the response head was received and is to be forwarded."""
        self.apply_effects(
            self.table.response_started(self.now(), exchange.request_number, exchange.attempt_number)
        )

    def upload_started(self, exchange: ExchangeState) -> None:
        """Notifies the table that the body is being uploaded: the front's `UploadDeadline` applies."""
        if exchange.attempt:
            # The request's own deadline applied until the connection was established.
            latest = asyncio.get_running_loop().time() + UPLOAD_TIMEOUT_S
            exchange.attempt.set_end_by(min(latest, self.to_loop_time(self.table.final_deadline_ms)))
        self.apply_effects(self.table.upload_started(self.now(), exchange.request_number))

    def upload_finished(self, exchange: ExchangeState) -> None:
        """Lets the deadline count from the client's last byte, as the upload is complete or overdue."""
        now = self.now()
        waited_ms = (monotonic() - exchange.body_complete_at) * 1000
        wait = max(MIN_WAIT_MS, exchange.wait_ms - waited_ms)
        self.table.upload_finished(now, exchange.request_number, wait)
        if exchange.attempt and not exchange.response_started:
            until = min(now + response_due_ms(wait), self.table.final_deadline_ms)
            exchange.attempt.set_end_by(self.to_loop_time(until))
        self.schedule_tick()

    # --- Time ------------------------------------------------------------------------------------
    def shorten_deadlines(self, latest: float) -> None:
        """Bounds all deadlines, also of new requests, by a time of the loop's clock: this process ends."""
        self.apply_effects(
            self.table.shorten_deadlines(self.now(), self.now() + (latest - monotonic()) * 1000)
        )

    def schedule_tick(self) -> None:
        """Schedules the table's next tick. A timer that is due earlier stays: most requests end before it."""
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
        """Cancels the scheduled tick."""
        if self._timer:
            self._timer.cancel()
