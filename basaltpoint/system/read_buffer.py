"""The memory that connections are read into: one buffer for all, as the event loop reads one at a time.

Without it the loop reads up to 256 KiB of a connection at once, which its receiver then holds until the next
connection accepts them. A small bound keeps small what hundreds of slow connections hold, and how long the
loop works for one of them.
"""

from __future__ import annotations

import asyncio

READ_BYTES = 16 * 1024  # of a connection at once

_BUFFER = memoryview(bytearray(READ_BYTES))


class ReadBufferProtocol(asyncio.BufferedProtocol):
    """A protocol whose `data_received` gets at most `READ_BYTES` at once."""

    def get_buffer(self, sizehint: int) -> memoryview:
        return _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handles bytes that were read."""
        raise NotImplementedError
