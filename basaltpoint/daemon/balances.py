"""What accounts have left, for the next life of this limiter. Free of I/O.

A ceiling must not be passed, so it starts from what is sure: after an orderly end from what was left, after a
kill as empty at the last sign of life; in both cases with what has filled since. A quota starts from what was
written last: what was drawn in the moments before a kill is forgiven; without the store the whole burst was.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from basaltpoint import interface as api
from basaltpoint.system.timestamps import Timestamp

MIN_CHANGE_FRACTION = 0.1  # of a burst; smaller changes are not written
MAX_BALANCES_PER_WRITE = 200  # balances in one write: one transaction, at a bounded rate
MAX_ALIVE_INTERVAL_S = (
    1.0  # between two signs of life lies less, unless the process stood still and drew nothing
)


class Balance(msgspec.Struct, frozen=True, array_like=True):
    """What one account had left, and when."""

    units_left: float
    ceiling_units_left: float
    saved_ms: float  # Unix time
    final: bool  # nothing was drawn afterwards
    boot_id: str = (
        ""  # of the host that wrote it, and seconds since then: steps of the wall clock don't count
    )
    boot_s: float = 0.0

    @property
    def saved_at(self) -> Timestamp:
        return Timestamp(self.saved_ms, self.boot_id, self.boot_s)


class BalanceWriteQueue:
    """Which balances are to be written."""

    def __init__(self) -> None:
        self._written: dict[int, float] = {}
        self.pending: dict[int, None] = {}  # asked since they were looked at, the longest ago first

    def take_due(
        self, asked: Iterable[int], standing_of: Callable[[int], api.QuotaStatus | None]
    ) -> dict[int, api.QuotaStatus]:
        """Of accounts that have asked, and those left over, as many as may be written now."""
        for account in asked:
            self.pending[account] = None
        found: dict[int, api.QuotaStatus] = {}
        while self.pending and len(found) < MAX_BALANCES_PER_WRITE:
            account = next(iter(self.pending))
            del self.pending[account]
            standing = standing_of(account)
            if (
                standing
                and abs(self._written.get(account, standing.burst) - standing.units_left)
                >= MIN_CHANGE_FRACTION * standing.burst
            ):
                self._written[account] = standing.units_left
                found[account] = standing
        return found

    def forget_written(self) -> None:
        """What was written may be gone: the lease has ended."""
        self._written.clear()


def restore_balance(
    customer: int, plan: api.Plan, held: Balance, now: Timestamp, down_s: float
) -> api.RestoredBalance:
    """Where an account goes on. `down_s`: for how long nothing was drawn, at least."""
    passed = now.seconds_since(held.saved_at)
    left = min(plan.burst, held.units_left + plan.rate * passed)
    ceiling = (
        held.ceiling_units_left + plan.ceiling_rate * min(passed, down_s)
        if held.final
        else plan.ceiling_rate * down_s
    )
    return api.RestoredBalance(customer, left, min(plan.ceiling_depth, ceiling))


class AliveRecord(msgspec.Struct, frozen=True):
    """Kept in a file of the host: by its clock since the boot, which no setting of the time moves."""

    boot: str
    at_s: float


def min_downtime_s(sign: AliveRecord | None, boot: str, now_s: float) -> float:
    """For how many seconds the last life has been over, at least; 0 where nothing is known."""
    if sign is None:
        return 0.0
    since = now_s - sign.at_s if sign.boot == boot else now_s  # it ended before this boot
    return max(0.0, since - MAX_ALIVE_INTERVAL_S)
