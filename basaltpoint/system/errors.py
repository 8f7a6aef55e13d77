"""Whose trouble a failed system call is, and what follows from it: one table for all that make such calls.

Sources: accept(2), connect(2) and socket(2) of the Linux manual. accept(2) passes pending errors of the new
connection on, and asks to go on with the next one. What is this process's or this machine's own trouble tells
nothing of the other side: no server's health may learn from it, and no agent counts as gone by it.
"""

from __future__ import annotations

import errno
from enum import Enum


class ErrorOrigin(Enum):
    """Whose trouble an error is."""

    WOULD_BLOCK = "nothing was there to do"
    CONNECTION = "one connection's: the next one may be good"
    PEER = "the other side's"
    PROCESS = "this process's: it has too many descriptors"
    HOST = "this machine's: it lacks memory, ports, descriptors or a network"
    PROGRAM = "this program's: the call was wrong"


LOCAL_ORIGINS = (ErrorOrigin.PROCESS, ErrorOrigin.HOST)

# Of both calls: no more descriptors or memory.
_NO_RESOURCES = {
    errno.EMFILE: ErrorOrigin.PROCESS,
    errno.ENFILE: ErrorOrigin.HOST,
    errno.ENOBUFS: ErrorOrigin.HOST,
    errno.ENOMEM: ErrorOrigin.HOST,
    errno.ENOSR: ErrorOrigin.HOST,
}
_ACCEPT = {
    **_NO_RESOURCES,
    errno.EAGAIN: ErrorOrigin.WOULD_BLOCK,
    **dict.fromkeys(
        (
            errno.EINTR,
            errno.ECONNABORTED,
            errno.ECONNRESET,
            errno.EPIPE,
            errno.EPERM,  # a firewall's rule
            errno.EACCES,
            errno.EPROTO,
            errno.ENOPROTOOPT,
            errno.EPROTONOSUPPORT,
            errno.ESOCKTNOSUPPORT,
            errno.EOPNOTSUPP,
            errno.ENETDOWN,
            errno.ENETUNREACH,
            errno.EHOSTDOWN,
            errno.EHOSTUNREACH,
            errno.ENONET,
            errno.ETIMEDOUT,
        ),
        ErrorOrigin.CONNECTION,
    ),
}
_CONNECT = {
    **_NO_RESOURCES,
    **dict.fromkeys(
        (
            errno.EADDRNOTAVAIL,  # all local ports are in use
            errno.EADDRINUSE,
            errno.EAGAIN,
            errno.EINTR,
            errno.EACCES,
            errno.EPERM,
            errno.ENETDOWN,
            errno.ENETUNREACH,  # no route leads there from here
            errno.ENONET,
        ),
        ErrorOrigin.HOST,
    ),
    **dict.fromkeys(
        (
            errno.ECONNREFUSED,
            errno.ECONNRESET,
            errno.ECONNABORTED,
            errno.EHOSTDOWN,
            errno.EHOSTUNREACH,
            errno.ETIMEDOUT,
            errno.EPIPE,
            errno.EPROTO,
        ),
        ErrorOrigin.PEER,
    ),
}


def accept_error_origin(error: OSError) -> ErrorOrigin:
    """Whose trouble it is that no connection was accepted."""
    return _ACCEPT.get(error.errno or 0, ErrorOrigin.PROGRAM)


def is_transient(error: OSError) -> bool:
    """Whether a read or write on a good connection may be tried again: the machine had no room for it.

    Sources: recv(2), send(2) (ENOBUFS, ENOMEM), and EAGAIN.
    """
    return error.errno in _NO_RESOURCES or error.errno == errno.EAGAIN


def connect_error_origin(error: OSError) -> ErrorOrigin:
    """Whose trouble it is that a connection did not come up; a time-out of our own is the other side's."""
    if isinstance(error, TimeoutError) and not error.errno:
        return ErrorOrigin.PEER
    return _CONNECT.get(error.errno or 0, ErrorOrigin.PEER)
