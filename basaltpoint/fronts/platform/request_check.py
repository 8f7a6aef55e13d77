"""Validates a client's request: the headers that the platform's protocol requires, and its terms."""

from __future__ import annotations

import math
import re

from basaltpoint.fronts.platform.limiter import RequestTerms
from basaltpoint.interface import Effect, Settings

CUSTOMER_KEY = re.compile(rb"[0-9A-Fa-f]{16}")
REQ_ID = re.compile(rb"[!-~]{1,128}")
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
INTEGER = re.compile(rb"[0-9]{1,5}")
FIRST_SEGMENT = re.compile(rb"/([^/?#]*)")
MAX_CACHED_TERMS, MAX_CACHED_TERMS_BYTES = (
    1024,
    128,
)  # entries of the cache, and bytes of a key


class BadRequestError(Exception):
    """Why a request is rejected; `code`: the status of the response."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


class RequestCheck:
    """Validates requests by the settings; a rejected request is not counted anywhere."""

    def __init__(self, settings: Settings) -> None:
        self._classes = {c.name.encode(): (n, c.effect) for n, c in enumerate(settings.classes)}
        self._plans = {plan.name.encode(): n for n, plan in enumerate(settings.plans)}
        self._limiter_count = settings.limiter_count
        self._max_units = settings.max_request_units or math.inf
        self._parsed_terms: dict[bytes, tuple[float, int]] = {}  # cache of valid X-Call-Terms values

    def parse_terms(self, method: bytes, url: bytes, headers: dict[bytes, bytes], body: bool) -> RequestTerms:
        path = FIRST_SEGMENT.match(url)
        if path is None or path[1] not in self._classes:
            raise BadRequestError(404, "no such class in the path")
        if headers.get(b"req-kind") != path[1]:
            raise BadRequestError(400, "Req-Kind is not the class in the path")
        cls, effect = self._classes[path[1]]
        self._check_method(method, effect, headers, body)
        name = headers.get(b"req-id", b"")
        if not REQ_ID.fullmatch(name):
            raise BadRequestError(400, "Req-Id is missing or wrong")
        plan, key = self._plans.get(headers.get(b"x-tier", b"")), headers.get(b"x-api-key", b"")
        if plan is None:
            raise BadRequestError(400, "X-Tier is missing or names no plan")
        if not CUSTOMER_KEY.fullmatch(key) or (customer := int(key, 16)) >= 1 << 33:
            raise BadRequestError(400, "X-Api-Key is missing or names no customer")
        wait = _number(headers.get(b"req-deadline", b""), "Req-Deadline")
        raw = headers.get(b"x-call-terms", b"")
        if (parsed := self._parsed_terms.get(raw)) is None:
            parsed = self._parse_call_terms(raw)
            if len(raw) <= MAX_CACHED_TERMS_BYTES:
                if len(self._parsed_terms) >= MAX_CACHED_TERMS:
                    self._parsed_terms.clear()
                self._parsed_terms[raw] = parsed
        units, customer_limiters = parsed
        return RequestTerms(name, cls, plan, customer, units, customer_limiters, wait)

    def _check_method(self, method: bytes, effect: Effect, headers: dict[bytes, bytes], body: bool) -> None:
        if method != (b"GET" if effect is Effect.SAFE else b"POST"):
            raise BadRequestError(405, "not the method of this class")
        if effect is Effect.SAFE and body:
            raise BadRequestError(400, "a GET with a body")
        if (effect is Effect.KEYED) != bool(headers.get(b"idempotency-key")):
            raise BadRequestError(400, "Idempotency-Key is missing, or not of this class")

    def _parse_call_terms(self, raw: bytes) -> tuple[float, int]:
        """Returns the units and the number of limiters that the customer uses.

        Values out of range are rejected here: the decision module would apply them to the named customer.
        """
        pairs = [part.strip().partition(b"=")[::2] for part in raw.split(b",")]
        values = dict(pairs)
        if len(values) < len(pairs):
            raise BadRequestError(400, "X-Call-Terms tells something twice")
        units = _number(values.get(b"units", b""), "units in X-Call-Terms")
        spread, first = values.get(b"spread", b""), values.get(b"first", b"")
        if units > self._max_units:
            raise BadRequestError(400, "more units than a request can take")
        if not (INTEGER.fullmatch(spread) and INTEGER.fullmatch(first)):
            raise BadRequestError(400, "spread or first in X-Call-Terms is missing or wrong")
        if not (0 < int(spread) <= self._limiter_count and int(first) < self._limiter_count):
            raise BadRequestError(400, "spread or first in X-Call-Terms is out of range")
        return units, int(spread)


def _number(raw: bytes, name: str) -> float:
    value = float(raw) if DECIMAL.fullmatch(raw) else 0.0
    if value <= 0:
        raise BadRequestError(400, f"{name} is not a number above 0")
    return value
