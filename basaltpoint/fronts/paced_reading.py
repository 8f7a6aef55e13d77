"""A client's connection that gets a bounded part of each turn of the event loop.

Some bytes of a client can hold hundreds of requests. Handled in one go they would hold up all other clients,
for as long as the client sends at full speed. So a turn parses a few requests at most; the rest of what was
read waits for a later turn, and nothing more is read meanwhile.
"""

from __future__ import annotations

import asyncio
import socket

from basaltpoint.fronts.unread import ReadDelay, UnreadData, has_peer_closed, peek
from basaltpoint.system.read_buffer import READ_BYTES, ReadBufferProtocol
from basaltpoint.system.turn_queue import TurnQueue

MAX_MESSAGES_PER_TURN = 4
MAX_PIECES_PER_TURN = 64  # of bodies; reached in one turn only by chunks of some bytes
# Parsed at once. The shortest requests have 18 bytes, so that some 30 or 110 end within them.
HEAD_SLICE_BYTES = 512
BODY_SLICE_BYTES = 2048


class PacedProtocol(ReadBufferProtocol):
    """Parses what is read in slices; subclasses implement the methods that raise NotImplementedError."""

    def __init__(self, sock: socket.socket, unread_since: float | None, turns: TurnQueue) -> None:
        """`unread_since`: since when the socket may hold data, monotonic seconds; None: it is new.

        `turns`: where all connections of the front wait for their next turn.
        """
        self._sock = sock  # for what is unread, its age, and the client's end
        self._transport: asyncio.Transport | None = None
        self._read_delay = ReadDelay(sock, unread_since)
        self._is_read_paused = False
        self._read_paused_at = 0.0  # monotonic seconds
        self._unparsed = b""  # read, and left for a later turn
        self._messages_in_turn = self._pieces_in_turn = 0
        self._is_yielding = False  # a whole buffer was read: the next read waits for the next turn
        self._turns = turns
        self.unparsed_bytes = 0  # of those that were read

    # --- For subclasses ------------------------------------------------------------------------
    def parse_slice(self, data: bytes) -> None:
        """Parses the next bytes."""
        raise NotImplementedError

    def turn_begins(self, size: int) -> None:
        """Parsing begins, of bytes of which `size` were just read; 0: they were read in an earlier turn."""
        raise NotImplementedError

    def turn_ended(self) -> None:
        """Parsing ended for this turn: reading is paused if `awaits_turn`, and responses may be written."""
        raise NotImplementedError

    @property
    def is_blocked(self) -> bool:
        """Whether no more may be parsed for now, as what was parsed has to move on first."""
        raise NotImplementedError

    @property
    def ignores_input(self) -> bool:
        """Whether what is read is discarded."""
        raise NotImplementedError

    @property
    def is_within_body(self) -> bool:
        """Whether the next bytes belong to a body, which is parsed in larger slices."""
        raise NotImplementedError

    # --- The client --------------------------------------------------------------------------------
    @property
    def has_unread_input(self) -> bool:
        """Whether the client has sent something that was not parsed yet."""
        return bool(self._unparsed) or peek(self._sock) is UnreadData.BYTES

    @property
    def has_unwritten_response(self) -> bool:
        """Whether this process still holds part of a response, which its end would lose."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def has_client_disconnected(self) -> bool:
        """Returns whether the client has closed its side, even if data is unread before that."""
        return has_peer_closed(self._sock)

    @property
    def client_disconnected_unnoticed(self) -> bool:
        """Whether the client disconnected while reading was paused: the end of stream follows unread data."""
        return self._is_read_paused and self.has_client_disconnected()

    def has_client_left(self) -> bool:
        """Returns whether the client had left when its request was read, or meanwhile if that took long."""
        delay = self._read_delay
        return delay.has_peer_closed or (delay.may_have_waited and self.has_client_disconnected())

    # --- Turns -----------------------------------------------------------------------------------
    @property
    def awaits_turn(self) -> bool:
        """Whether the connection has had its part of this turn of the loop."""
        return self._is_yielding or bool(self._unparsed)

    def message_parsed(self) -> None:
        """A request was parsed to its end; to be called by the parser's callback."""
        self._messages_in_turn += 1

    def piece_parsed(self) -> None:
        """A piece of a body was parsed; to be called by the parser's callback."""
        self._pieces_in_turn += 1

    def data_received(self, data: bytes) -> None:
        size = len(data)
        if size > HEAD_SLICE_BYTES or self._unparsed:
            self._is_yielding = size >= READ_BYTES
            self._run_turn(self._unparsed + data, size)
            return
        self._messages_in_turn = self._pieces_in_turn = 0
        self.turn_begins(size)
        self.parse_slice(data)
        self.turn_ended()

    def _run_turn(self, data: bytes, received: int) -> None:
        self._unparsed, start = b"", 0
        self._messages_in_turn = self._pieces_in_turn = 0
        self.turn_begins(received)
        while start < len(data) and self._may_parse():
            end = start + (BODY_SLICE_BYTES if self.is_within_body else HEAD_SLICE_BYTES)
            self.unparsed_bytes = max(0, len(data) - end)
            self.parse_slice(data[start:end])
            start = end
        self._unparsed = b"" if self.ignores_input else data[start:]
        self.unparsed_bytes = len(self._unparsed)
        self.turn_ended()
        self.schedule_turn()

    def _may_parse(self) -> bool:
        if self._messages_in_turn >= MAX_MESSAGES_PER_TURN or self._pieces_in_turn >= MAX_PIECES_PER_TURN:
            return False
        return not self.ignores_input and not self.is_blocked

    def schedule_turn(self) -> None:
        """Goes on in a later turn of the loop; to be called when the connection is no longer blocked."""
        if self.awaits_turn and (self._is_yielding or not self.is_blocked):
            self._turns.add(self)

    def continue_reading(self) -> None:
        self._is_yielding = False
        if self._unparsed and not self.is_blocked:
            self._run_turn(self._unparsed, 0)
        else:
            self.turn_ended()

    def cancel_turn(self) -> None:
        """The connection was lost."""
        self._unparsed, self.unparsed_bytes = b"", 0
        self._turns.remove(self)
