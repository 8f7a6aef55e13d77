"""The balances of accounts that a limiter saves for its next process. No I/O.

A ceiling must never be exceeded, so the next process restores only units that are certain: after an orderly
end those that were left, after a kill none; in both cases plus what refilled while the limiter did not run.
A quota is restored from the balance that was written last: draws between that write and a kill are not
counted. Without the store, a restart gives every account a full burst.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from basaltpoint import interface as api
from basaltpoint.system.timestamps import Timestamp

MIN_CHANGE_FRACTION = 0.1  # of the burst; smaller changes of a balance are not written
MAX_BALANCES_PER_WRITE = 200  # balances in one transaction, which also bounds the rate of writes
# Upper bound for the time between two alive records. A process that is paused for longer draws nothing
# meanwhile.
MAX_ALIVE_INTERVAL_S = 1.0


class Balance(msgspec.Struct, frozen=True, array_like=True):
    """The units that one account had left at a point in time."""

    units_left: float  # of the quota
    ceiling_units_left: float
    saved_ms: float  # Unix time
    final: bool  # the limiter drew nothing afterwards
    # Time since the host's boot, beside the wall clock, so that steps of the wall clock don't count.
    boot_id: str = ""  # of the host that wrote the balance
    boot_s: float = 0.0  # seconds since that boot

    @property
    def saved_at(self) -> Timestamp:
        return Timestamp(self.saved_ms, self.boot_id, self.boot_s)


class BalanceWriteQueue:
    """Selects the balances to write."""

    def __init__(self) -> None:
        self._written: dict[int, float] = {}  # units by account, as written last
        self.pending: dict[int, None] = {}  # accounts with requests since their last check

    def take_due(
        self, active: Iterable[int], quota_status: Callable[[int], api.QuotaStatus | None]
    ) -> dict[int, api.QuotaStatus]:
        """Returns the balances to write now, MAX_BALANCES_PER_WRITE at most.

        `active`: accounts with requests since the last call. They are checked after those still pending.
        """
        for account in active:
            self.pending[account] = None
        due: dict[int, api.QuotaStatus] = {}
        while self.pending and len(due) < MAX_BALANCES_PER_WRITE:
            account = next(iter(self.pending))
            del self.pending[account]
            status = quota_status(account)
            if (
                status
                and abs(self._written.get(account, status.burst) - status.units_left)
                >= MIN_CHANGE_FRACTION * status.burst
            ):
                self._written[account] = status.units_left
                due[account] = status
        return due

    def forget_written(self) -> None:
        """Treats all balances as unwritten: the lease has ended, and the store may have removed them."""
        self._written.clear()


def restore_balance(
    customer: int, plan: api.Plan, balance: Balance, now: Timestamp, downtime_s: float
) -> api.RestoredBalance:
    """Returns the balance with which an account continues.

    `downtime_s`: how long nothing was drawn, at least.
    """
    passed_s = now.seconds_since(balance.saved_at)
    units_left = min(plan.burst, balance.units_left + plan.rate * passed_s)
    ceiling_units_left = (
        balance.ceiling_units_left + plan.ceiling_rate * min(passed_s, downtime_s)
        if balance.final
        else plan.ceiling_rate * downtime_s
    )
    return api.RestoredBalance(customer, units_left, min(plan.ceiling_depth, ceiling_units_left))


class AliveRecord(msgspec.Struct, frozen=True):
    """Written to a file regularly while the limiter runs.

    It uses the host's time since boot, which is not affected when the wall clock is set.
    """

    boot: str  # id of the host's boot
    at_s: float  # seconds since that boot


def min_downtime_s(record: AliveRecord | None, boot_id: str, now_s: float) -> float:
    """Returns for how many seconds, at least, the previous process has not run; 0 if unknown.

    `now_s`: seconds since the host's boot.
    """
    if record is None:
        return 0.0
    since_s = now_s - record.at_s if record.boot == boot_id else now_s  # it ended before this boot
    return max(0.0, since_s - MAX_ALIVE_INTERVAL_S)
