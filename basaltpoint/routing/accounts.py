"""Accounts: who asks, told by an API key or a bearer token, and on which plan.

Keys are known as SHA-256 digests only. They are made by machines and long, so a salt or a slow hash would
add nothing; a check refuses short ones when a digest is made. A look-up hashes what came and looks for the
whole digest: its time tells neither how many accounts there are nor how much of a key was right, as nobody
can choose a key by parts of its digest.
"""

from __future__ import annotations

import hashlib
import ipaddress
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

Networks = tuple[ipaddress.IPv4Network | ipaddress.IPv6Network, ...]

ANONYMOUS_BASE = 1 << 62  # customer numbers from here on are addresses
IPV6_PREFIX_BITS = 64  # bits of an IPv6 address that one client is taken to hold
MIN_KEY_BYTES = 12  # bytes; a shorter one could be found by trying
MAX_KEY_BYTES = 4096  # bytes; a longer one is unknown without being hashed
UNKNOWN_DIGEST = bytes(32)


class KeyPolicy(Enum):
    """What becomes of a request with no key, or with an unknown one."""

    REFUSE = "refuse"
    ANONYMOUS = "anonymous"


@dataclass(frozen=True, slots=True)
class Account:
    number: int  # of the customer, the same over reloads
    plan: int
    name: str


@dataclass(frozen=True, slots=True)
class IdentitySettings:
    """How keys come and what is done without one; `anonymous_plan` is needed where ANONYMOUS is."""

    header: str = "x-api-key"
    bearer: bool = True
    no_key: KeyPolicy = KeyPolicy.REFUSE
    unknown_key: KeyPolicy = KeyPolicy.REFUSE
    anonymous_plan: int = 0


@dataclass(frozen=True, slots=True)
class UnknownClient:
    """Why a request has no account; `known` tells whether a key came at all."""

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
        """Each account, as often as it has keys."""
        return self._by_digest.values()

    def request_key(self, headers: Mapping[str, str]) -> bytes | None:
        """The key that a request brings; the header goes before the bearer token."""
        if value := headers.get(self.identity.header):
            return value.encode("latin-1", "replace")
        if self.identity.bearer:
            scheme, _, token = headers.get("authorization", "").partition(" ")
            if scheme.lower() == "bearer" and token.strip():
                return token.strip().encode("latin-1", "replace")
        return None

    def account_of(self, headers: Mapping[str, str], address: str) -> Account | UnknownClient:
        """The account of a request, an anonymous one by its client's address, or why there is none."""
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
    """The customer number of a client without an account: its address, an IPv6 one's network."""
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
    """Who asks, behind proxies that are trusted: the last address of X-Forwarded-For that is not one of them.

    Without trusted proxies it is the connection's peer; what a client writes itself never counts.
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
    """Whether an address is that of a trusted proxy."""
    return bool(networks) and _is_in_networks(address, networks)


def _is_in_networks(address: str, networks: Networks) -> bool:
    try:
        parsed = ipaddress.ip_address(address)
    except ValueError:
        return False
    return any(parsed.version == network.version and parsed in network for network in networks)
