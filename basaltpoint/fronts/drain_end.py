"""When a draining process may exit: a state machine without I/O, for both fronts.

That nothing is in hand at one moment does not end a drain. Clients go on using the connections that are open,
so that a request may be read at any time until the last one is closed, and what is read has to be answered.
"""

from __future__ import annotations


class DrainEnd:
    """Decides when a process exits whose connections close after their responses.

    Times are monotonic seconds.
    """

    def __init__(self, quiet_s: float, answer_by: float, exit_by: float) -> None:
        """`quiet_s`: how long nothing has to be in hand before open connections are closed unasked.

        `answer_by`: when everything in hand has its response, or gets none. `exit_by`: the latest exit.
        """
        self._quiet_s = quiet_s
        self._answer_by = answer_by
        self._exit_by = exit_by
        self._quiet_since: float | None = None

    @property
    def is_quiet(self) -> bool:
        """Whether nothing was in hand when `may_exit` was last asked, or its time is up."""
        return self._quiet_since is not None

    def may_exit(self, now: float, is_busy: bool) -> bool:
        """Returns whether to exit now; to be asked every few milliseconds.

        `is_busy`: whether a request or a part of a response is in hand, or a request may be on its way.
        """
        if is_busy and now < self._answer_by:
            self._quiet_since = None
            return False
        if self._quiet_since is None:
            self._quiet_since = now
        return now >= min(self._quiet_since + self._quiet_s, self._exit_by)
