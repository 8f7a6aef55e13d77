"""Which server listens at an address where discovery's list names several with it.

Two processes can't listen at one address. A list that names two is late with one of them: that process has
gone, and another one has come up in its place. What is meant for the first must not go to the second. Only
the time of the start tells which one is there now; servers whose starts are not known may share an address.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from basaltpoint.config.address import Address
from basaltpoint.interface import ServerState
from basaltpoint.membership.hosts import Host

log = logging.getLogger(__name__)


class AddressOwners:
    """The owner of each listed address: the process that started last, if the starts are known."""

    def __init__(self) -> None:
        self._listed: dict[str, Host] = {}
        self._owners: dict[Address, str] = {}
        self._replaced: set[str] = set()  # servers whose address another one has

    def has_lost_address(self, name: str) -> bool:
        """Returns whether another server listens at the address that is listed for this one."""
        return name in self._replaced

    def update(self, hosts: Iterable[Host]) -> list[Host]:
        """Applies entries of a list; returns other servers that lost or got back their address."""
        affected: set[str] = set()
        changed: set[str] = set()
        for host in hosts:
            changed.add(host.name)
            known = self._listed.pop(host.name, None)
            if host.state is not ServerState.GONE:
                self._listed[host.name] = host
                if known and (known.address, known.born_ms) == (host.address, host.born_ms):
                    continue
            if known:
                affected |= self._release(known)
            if host.state is not ServerState.GONE:
                affected |= self._claim(host)
        return [self._listed[name] for name in affected - changed if name in self._listed]

    def _claim(self, host: Host) -> set[str]:
        owner = self._listed.get(self._owners.get(host.address, ""))
        if owner and host.born_ms < owner.born_ms:
            self._replaced.add(host.name)
            return set()
        if owner and host.born_ms == owner.born_ms:
            return set()
        self._owners[host.address] = host.name
        if owner is None:
            return set()
        log.warning("server %s has the address of %s, which gets nothing new", host.name, owner.name)
        self._replaced.add(owner.name)
        return {owner.name}

    def _release(self, known: Host) -> set[str]:
        self._replaced.discard(known.name)
        if self._owners.get(known.address) != known.name:
            return set()
        del self._owners[known.address]
        for name in self._replaced:
            if self._listed[name].address == known.address:
                self._owners[known.address] = name
                self._replaced.discard(name)
                return {name}
        return set()
