"""Addresses as settings write them."""

from __future__ import annotations

import ipaddress
import socket

Address = tuple[str, int]


class ConfigError(ValueError):
    """A variable or file that does not describe a limiter; says what is wrong."""


def parse_address(text: object) -> Address:
    """`host:port` with a literal address; an IPv6 one stands in brackets."""
    if not isinstance(text, str):
        raise ConfigError(f"not an address: {text!r}")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"not an address of the form host:port: {text!r}")
    return host.strip("[]"), int(port)


def is_loopback(text: str) -> bool:
    """Whether a `host:port` is of this host alone; ConfigError where it is no address."""
    host = parse_address(text)[0]
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False  # a name: it may be anybody's


def inherited_listening_socket(descriptor: int) -> socket.socket:
    """The listening socket that this process was started with; ConfigError where there is none."""
    try:
        made = socket.socket(fileno=descriptor)
        if not made.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError("it does not listen")
    except OSError as error:
        raise ConfigError(f"descriptor {descriptor} is no listening socket: {error}") from None
    made.setblocking(False)
    return made
