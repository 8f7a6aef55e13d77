"""What a limiter counts of its requests, and how the figures are written; no I/O."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, fields


@dataclass(frozen=True, slots=True)
class Gauges:
    """What stands now.

    `current`: requests taken and not ended. `cluster_size`: servers in the list, draining ones with them.
    `cluster_unhealthy`: of these the ones that nothing ordinary is sent to at this moment.
    """

    current: int
    cluster_size: int
    cluster_unhealthy: int


@dataclass(slots=True, eq=False)
class Counts:
    """Of one class of requests, from the start of the process; they only grow.

    `answered`: requests that a server's good answer served. `deferred`: refused. `errored`: ended in any
    other way that their clients were told. `sends`: attempts whose last byte was written to a server. A
    request whose client has gone before its end counts nowhere.
    """

    answered: int = 0
    deferred: int = 0
    errored: int = 0
    sends: int = 0


class Figures:
    """The counts of all classes, by their number in the settings."""

    def __init__(self, classes: Sequence[str]) -> None:
        self._by_name: dict[str, Counts] = {}
        self.update_classes(classes)

    def update_classes(self, classes: Sequence[str]) -> None:
        """Take up other classes; one whose name stays, or comes back, counts on."""
        self._by_number = [self._by_name.setdefault(name, Counts()) for name in classes]

    def counts_of(self, number: int) -> Counts:
        """The counts of a class, which a request in hand keeps whatever the settings become."""
        return self._by_number[number]

    def metric_lines(self, gauges: Gauges) -> Iterator[str]:
        """The figures, one a line: `gw_NAME{group="CLASS"} COUNT`, then `gw_NAME VALUE` for the gauges."""
        for field in fields(Counts):
            for group, counts in self._by_name.items():
                yield f'gw_{field.name}{{group="{_escape_label(group)}"}} {getattr(counts, field.name)}'
        for field in fields(Gauges):
            yield f"gw_{field.name} {getattr(gauges, field.name)}"


def _escape_label(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
