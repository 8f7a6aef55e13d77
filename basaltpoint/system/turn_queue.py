"""The connections that wait for their next turn, of which each turn of the event loop continues a few.

A connection takes a bounded part of a turn, but hundreds that send at full speed would together make each
turn long, and a request needs several turns. So those that have more to read than a turn allows them wait
here, in order, while connections with short requests are served in every turn.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from typing import Protocol

log = logging.getLogger(__name__)

MAX_CONNECTIONS_PER_TURN = 8  # each reads 16 KiB, or parses a few requests


class Continuable(Protocol):
    """A connection that stopped reading for the rest of a turn."""

    def continue_reading(self) -> None:
        """Parses what is left, and reads on if there is nothing left."""


class TurnQueue:
    """Waiting connections, longest first."""

    def __init__(self) -> None:
        self._waiting: dict[Continuable, None] = {}
        self._next_turn: asyncio.Handle | None = None

    def add(self, connection: Continuable) -> None:
        """Continues a connection in its turn; does nothing if it is waiting already."""
        self._waiting.setdefault(connection)
        self._schedule()

    def remove(self, connection: Continuable) -> None:
        """The connection was lost."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if self._waiting and self._next_turn is None:
            self._next_turn = asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._next_turn = None
        batch = list(itertools.islice(self._waiting, MAX_CONNECTIONS_PER_TURN))
        for connection in batch:
            if connection not in self._waiting:
                continue  # lost in this turn
            del self._waiting[connection]
            try:
                connection.continue_reading()
            except Exception:
                log.exception("a connection could not be read on")
        self._schedule()
