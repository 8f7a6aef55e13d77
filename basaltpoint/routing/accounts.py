"""Accounts: the customer of a request and its plan, identified by an API key or a bearer token.

Keys are stored as SHA-256 digests only. They are generated and long, so a salt or a slow hash would add
nothing; short keys are rejected when a digest is created. A look-up hashes the received key and searches for
the whole digest: its duration reveals neither the number of accounts nor how much of a key was right, as
nobody can choose a key by parts of its digest.
"""

from __future__ import annotations

import hashlib
import ipaddress
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

Networks = tuple[ipaddress.IPv4Network | ipaddress.IPv6Network, ...]

ANONYMOUS_BASE = 1 << 62  # customer numbers from here on stand for client addresses
IPV6_PREFIX_BITS = 64  # addresses with the same prefix count as one client
MIN_KEY_BYTES = 12  # a shorter one could be found by brute force
MAX_KEY_BYTES = 4096  # a longer one is treated as unknown without hashing it
UNKNOWN_DIGEST = bytes(32)


class KeyPolicy(Enum):
    """What happens to a request without a key, or with an unknown one."""

    REFUSE = "refuse"
    ANONYMOUS = "anonymous"


@dataclass(frozen=True, slots=True)
class Account:
    number: int  # customer number; it stays the same when the configuration is reloaded
    plan: int
    name: str


@dataclass(frozen=True, slots=True)
class IdentitySettings:
    """Where keys are read from, and what happens without one; `anonymous_plan` is used with ANONYMOUS."""

    header: str = "x-api-key"
    bearer: bool = True
    no_key: KeyPolicy = KeyPolicy.REFUSE
    unknown_key: KeyPolicy = KeyPolicy.REFUSE
    anonymous_plan: int = 0


@dataclass(frozen=True, slots=True)
class UnknownClient:
    """A request has no account; `has_key`: whether it had a key at all."""

    has_key: bool


def key_digest(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()


class Accounts:
    """The accounts of a configuration by the digests of their keys."""

    def __init__(self, by_digest: Mapping[bytes, Account], identity: IdentitySettings) -> None:
        self._by_digest = by_digest
        self.identity = identity

    def __len__(self) -> int:
        return len(self._by_digest)

    def all(self) -> Iterable[Account]:
        """All accounts; one with several keys occurs once per key."""
        return self._by_digest.values()

    def request_key(self, headers: Mapping[str, str]) -> bytes | None:
        """The key of a request; the header takes precedence over the bearer token."""
        if value := headers.get(self.identity.header):
            return value.encode("latin-1", "replace")
        if self.identity.bearer:
            scheme, _, token = headers.get("authorization", "").partition(" ")
            if scheme.lower() == "bearer" and token.strip():
                return token.strip().encode("latin-1", "replace")
        return None

    def account_of(self, headers: Mapping[str, str], address: str) -> Account | UnknownClient:
        """The account of a request, an anonymous one for its client's address, or `UnknownClient`."""
        key = self.request_key(headers)
        if key is None:
            return self._without_account(self.identity.no_key, address, False)
        found_digest = key_digest(key) if len(key) <= MAX_KEY_BYTES else UNKNOWN_DIGEST
        account = self._by_digest.get(found_digest)
        if account is None:
            return self._without_account(self.identity.unknown_key, address, True)
        return account

    def _without_account(self, policy: KeyPolicy, address: str, has_key: bool) -> Account | UnknownClient:
        if policy is KeyPolicy.REFUSE:
            return UnknownClient(has_key)
        return Account(anonymous_number(address), self.identity.anonymous_plan, address)


def anonymous_number(address: str) -> int:
    """The customer number of a client without an account, from its address or its IPv6 network."""
    try:
        parsed = ipaddress.ip_address(address.partition("%")[0])
    except ValueError:
        return ANONYMOUS_BASE + int.from_bytes(key_digest(address.encode())[:7])
    if parsed.version == 6:
        if parsed.ipv4_mapped:
            return ANONYMOUS_BASE + int(parsed.ipv4_mapped)
        return ANONYMOUS_BASE + (1 << 60) + (int(parsed) >> (128 - IPV6_PREFIX_BITS)) % (1 << 60)
    return ANONYMOUS_BASE + int(parsed)


def client_address(peer: str, forwarded: str, trusted: Networks) -> str:
    """The client's address: the last address in X-Forwarded-For that is not a trusted proxy.

    Without trusted proxies it is the connection's peer; a header that the client itself sent is ignored.
    """
    address = peer
    if not trusted:
        return peer
    for entry in reversed([part.strip() for part in forwarded.split(",")] if forwarded else []):
        if not _is_in_networks(address, trusted):
            break
        try:
            ipaddress.ip_address(entry)
        except ValueError:
            break
        address = entry
    return address


def is_trusted(address: str, networks: Networks) -> bool:
    """Whether the address belongs to a trusted proxy."""
    return bool(networks) and _is_in_networks(address, networks)


def _is_in_networks(address: str, networks: Networks) -> bool:
    try:
        parsed = ipaddress.ip_address(address)
    except ValueError:
        return False
    return any(parsed.version == network.version and parsed in network for network in networks)
