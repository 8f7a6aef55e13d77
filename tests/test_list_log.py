"""Lists in quick succession share a log line."""

from __future__ import annotations

import pytest

from basaltpoint.interface import ListKind
from basaltpoint.membership.list_log import LOG_INTERVAL_S, ListLog


def test_thousands_of_lists_produce_one_line_a_second(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    lines = ListLog()
    lines.record(0.0, 1, ListKind.FULL, 3_200, 3_200)
    for number in range(4_800):
        lines.record(number * 0.5 / 4_800, 2 + number, ListKind.DELTA, 1, 1)
    lines.flush(LOG_INTERVAL_S - 0.01)
    assert [record.message for record in caplog.records] == [
        "servers: version 1 (full), 3200 named, 3200 changed"
    ]
    lines.flush(LOG_INTERVAL_S)
    lines.flush(LOG_INTERVAL_S * 5)
    assert [record.message for record in caplog.records[1:]] == [
        "servers: version 4801 (delta), 4800 named, 4800 changed by 4800 lists"
    ]
