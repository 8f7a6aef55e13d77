"""Addresses in settings."""

from __future__ import annotations

import ipaddress
import socket

Address = tuple[str, int]


class ConfigError(ValueError):
    """An environment variable or file with an invalid value; the message says what is wrong."""


def parse_address(text: object) -> Address:
    """Parses `host:port`, with an IPv6 address in brackets; raises ConfigError if it is invalid."""
    if not isinstance(text, str):
        raise ConfigError(f"not an address: {text!r}")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"not an address of the form host:port: {text!r}")
    return host.strip("[]"), int(port)


def is_loopback(text: str) -> bool:
    """Returns whether a `host:port` is a loopback address; raises ConfigError if it is invalid."""
    host = parse_address(text)[0]
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False  # a host name, which may resolve to any address


def inherited_listening_socket(descriptor: int) -> socket.socket:
    """Returns the listening socket inherited at this descriptor; raises ConfigError if there is none."""
    try:
        sock = socket.socket(fileno=descriptor)
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError("it does not listen")
    except OSError as error:
        raise ConfigError(f"descriptor {descriptor} is not a listening socket: {error}") from None
    sock.setblocking(False)
    return sock
