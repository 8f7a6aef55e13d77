"""The decision module's state of a request and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from basaltpoint import interface as api
from basaltpoint.interface import RefusalReason
from basaltpoint.policy.pool import Pool
from basaltpoint.policy.quota import Customer


@dataclass(slots=True)
class Attempt:
    """One attempt of a request."""

    number: int
    server: api.Server  # a copy: the server may be removed before the request ends
    decided_ms: float
    outstanding: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class Request:
    """A request that is not finished, or that has outstanding attempts after its final answer."""

    arrival: api.Arrival
    request_class: api.RequestClass
    pool: Pool
    lane: int
    useful_until_ms: float  # work after this time is worth nothing
    customer: Customer
    attempts: list[Attempt] = field(default_factory=list)
    is_open: bool = True
    streaming: bool = False
    refusal_reason: RefusalReason = RefusalReason.LOAD  # that a refusal would state

    def has_outstanding(self) -> bool:
        """Whether an attempt is outstanding."""
        return bool(
            [attempt for attempt in self.attempts if attempt.outstanding]
        )  # a list is faster than any() over a generator
