"""Which requests are open in any process of one limiter, so that none of them is sent a second time.

During an upgrade two processes of a limiter serve at once, or three if the next upgrade begins early. Each
claims the Req-Id of a request before it sends it, and releases it once the request has ended. A claim is a
record lock (fcntl(2), F_SETLK) on one byte of a file that all processes open, at an offset that is a hash of
the Req-Id. So the kernel decides between two processes at the same moment, a claim needs no message and no
other process that answers in time, and the claims of a process that ends are released with it.

Two Req-Ids that are open at once have the same offset with a probability of 2 to the power of -62. The file
must stay in place while a process runs and must be on a local file system.
"""

from __future__ import annotations

import errno
import fcntl
import hashlib
import logging
import os
from collections.abc import Iterator

log = logging.getLogger(__name__)

_OFFSET_BITS = 62  # offsets of a file are signed 64-bit numbers, and a lock ends one byte later
_FILE_MODE = 0o600


class RequestIdClaims:
    """The Req-Ids that this process has claimed, beside those of the limiter's other processes."""

    def __init__(self, path: str) -> None:
        """Opens the file at `path`, or creates it; raises OSError if it can't."""
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, _FILE_MODE)
        # A process has all locks of a file or none: this must be the only descriptor that it opens for it.
        status = os.fstat(self._file)
        self.file_identity = f"{status.st_dev}:{status.st_ino}"
        self.is_shared = False  # whether another process of this limiter may run
        self.refused_count = 0

    def claim(self, req_id: bytes) -> bool:
        """Claims a Req-Id; returns False if another process has claimed it. Claiming it again succeeds.

        Where the kernel can't tell, the answer is False while another process may run.
        """
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, _offset(req_id))
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EACCES):
                log.error("a Req-Id can't be claimed: %s", error)
                if not self.is_shared:
                    return True
            self.refused_count += 1
            return False
        return True

    def release(self, req_id: bytes) -> None:
        """Releases a Req-Id; ignored if it is not claimed."""
        try:
            fcntl.lockf(self._file, fcntl.LOCK_UN, 1, _offset(req_id))
        except OSError as error:
            log.error("a Req-Id can't be released: %s", error)

    def metric_lines(self) -> Iterator[str]:
        """Yields the count of refused claims as a line for the control address."""
        yield f"gw_open_elsewhere {self.refused_count}"

    def close(self) -> None:
        """Releases all claims of this process."""
        os.close(self._file)


def _offset(req_id: bytes) -> int:
    digest = hashlib.blake2b(req_id, digest_size=8).digest()
    return int.from_bytes(digest, "big") >> (64 - _OFFSET_BITS)
