"""A limiter's counts of requests, and their text format; no I/O."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, fields


@dataclass(frozen=True, slots=True)
class Gauges:
    """Current values; the field names are the figures' names.

    `current`: requests admitted and not ended. `cluster_size`: servers in the list, draining ones included.
    `cluster_unhealthy`: servers in the list that get no regular requests at the moment.
    """

    current: int
    cluster_size: int
    cluster_unhealthy: int


@dataclass(slots=True, eq=False)
class Counts:
    """Counts of one class of requests since the start of the process; the field names are the figures' names.

    `answered`: served by a server's successful response. `deferred`: refused. `errored`: any other reply to
    the client. `sends`: attempts whose last byte was written to a server. A request whose client
    disconnected before its reply is not counted.
    """

    answered: int = 0
    deferred: int = 0
    errored: int = 0
    sends: int = 0


class Figures:
    """The counts of all classes, by class number in the settings."""

    def __init__(self, classes: Sequence[str]) -> None:
        self._by_name: dict[str, Counts] = {}
        self.update_classes(classes)

    def update_classes(self, classes: Sequence[str]) -> None:
        """Sets the classes; one with a known name, also a former one, continues its counts."""
        self._by_number = [self._by_name.setdefault(name, Counts()) for name in classes]

    def counts_of(self, number: int) -> Counts:
        """The counts of a class; an open request keeps them when the settings change."""
        return self._by_number[number]

    def metric_lines(self, gauges: Gauges) -> Iterator[str]:
        """The figures, one per line: `gw_NAME{group="CLASS"} COUNT`, then `gw_NAME VALUE` for the gauges."""
        for field in fields(Counts):
            for group, counts in self._by_name.items():
                yield f'gw_{field.name}{{group="{_escape_label(group)}"}} {getattr(counts, field.name)}'
        for field in fields(Gauges):
            yield f"gw_{field.name} {getattr(gauges, field.name)}"


def _escape_label(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
