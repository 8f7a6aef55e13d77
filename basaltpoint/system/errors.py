"""The origin of a failed system call, in one table for all callers.

Sources: accept(2), connect(2) and socket(2) of the Linux manual. accept(2) reports pending errors of the new
connection, and the caller should go on with the next one. A local error, of this process or host, says
nothing about the peer: it must not change a server's health or make an agent count as down.
"""

from __future__ import annotations

import errno
from enum import Enum


class ErrorOrigin(Enum):
    """What caused an error. The values are written to the log."""

    WOULD_BLOCK = "nothing to do"
    CONNECTION = "an error of one connection; the next one may be good"
    PEER = "an error of the peer"
    PROCESS = "this process has too many open descriptors"
    HOST = "this host lacks memory, ports, descriptors or a network"
    PROGRAM = "an invalid call by this program"


LOCAL_ORIGINS = (ErrorOrigin.PROCESS, ErrorOrigin.HOST)

# Errors of both calls: no more descriptors or memory.
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
            errno.EPERM,  # forbidden by a firewall rule
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
            errno.ENETUNREACH,  # no route on this host
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
    """The origin of an error of accept(2)."""
    return _ACCEPT.get(error.errno or 0, ErrorOrigin.PROGRAM)


def is_transient(error: OSError) -> bool:
    """Whether a read or write may be retried on the same connection, as the host lacked resources.

    Sources: recv(2), send(2) (ENOBUFS, ENOMEM), and EAGAIN.
    """
    return error.errno in _NO_RESOURCES or error.errno == errno.EAGAIN


def connect_error_origin(error: OSError) -> ErrorOrigin:
    """The origin of an error of connect(2) or socket(2); a time-out of the caller counts as the peer's."""
    if isinstance(error, TimeoutError) and not error.errno:
        return ErrorOrigin.PEER
    return _CONNECT.get(error.errno or 0, ErrorOrigin.PEER)
