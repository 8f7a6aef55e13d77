"""System calls that fail within the test process, with an errno given by name."""

from __future__ import annotations

import asyncio
import errno
import math
import os
import socket
from typing import Any

from basaltpoint.system.accepting import Acceptor


def failing(name: str) -> OSError:
    number = getattr(errno, name)
    return OSError(number, os.strerror(number))


class FailingListener:
    """Replaces an acceptor's listening socket; its next `failures_left` calls of `accept` fail.

    `called`: set at the first call.
    """

    def __init__(self, acceptor: Acceptor, name: str, failures_left: float = math.inf) -> None:
        self._real, self._name, self.failures_left = acceptor._listener, name, failures_left
        self.called = asyncio.Event()
        acceptor._listener = self  # type: ignore[assignment]

    def accept(self) -> tuple[socket.socket, Any]:
        self.called.set()
        if self.failures_left:
            self.failures_left -= 1
            raise failing(self._name)
        return self._real.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)
