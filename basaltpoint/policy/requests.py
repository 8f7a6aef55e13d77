"""A request in hand and its attempts, as the decisions know them."""

from __future__ import annotations

from dataclasses import dataclass, field

from basaltpoint import interface as api
from basaltpoint.interface import RefusalReason
from basaltpoint.policy.pool import Pool
from basaltpoint.policy.quota import Customer


@dataclass(slots=True)
class Attempt:
    """One attempt of a request; `sent`: when it was decided, ms."""

    number: int
    server: api.Server  # as it was then: it may be forgotten before the request is
    decided_ms: float
    outstanding: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class Request:
    """A client's try that was taken and has not ended, or whose attempts are still out."""

    arrival: api.Arrival
    request_class: api.RequestClass
    pool: Pool
    lane: int
    useful_until_ms: float  # work past this is worth nothing
    customer: Customer
    attempts: list[Attempt] = field(default_factory=list)
    is_open: bool = True
    streaming: bool = False
    refusal_reason: RefusalReason = RefusalReason.LOAD  # it would be refused

    def has_outstanding(self) -> bool:
        """Whether an attempt is out."""
        return bool([attempt for attempt in self.attempts if attempt.outstanding])  # a generator costs more
