"""Req-Ids of requests that may have been executed and whose clients have left without an answer.

A server can't tell a second request with the same Req-Id from another one, and nobody was told how the first
one ended. So such an id is not free at once: a request that uses it again is refused as a duplicate for as
long as a repetition may be on its way.
"""

from __future__ import annotations

MAX_HELD_IDS = 10_000  # the oldest ones are freed beyond it; some 2 MB


class HeldIds:
    """Ids that are held for a constant time, the oldest first. Times are in ms of the caller's clock."""

    def __init__(self, hold_ms: float) -> None:
        self._hold_ms = hold_ms
        self.until: dict[bytes, float] = {}  # by id, in the order in which they are freed

    def hold(self, now_ms: float, req_id: bytes) -> list[bytes]:
        """Holds an id; returns those that are freed for it."""
        self.until.pop(req_id, None)
        self.until[req_id] = now_ms + self._hold_ms
        return [self._pop_oldest()] if len(self.until) > MAX_HELD_IDS else []

    def free_expired(self, now_ms: float) -> list[bytes]:
        """Returns the ids whose time is over, which are no longer held."""
        freed = []
        while self.until and next(iter(self.until.values())) <= now_ms:
            freed.append(self._pop_oldest())
        return freed

    def _pop_oldest(self) -> bytes:
        req_id = next(iter(self.until))
        del self.until[req_id]
        return req_id
