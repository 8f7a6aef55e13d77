"""The servers of discovery's lists by name; applies a list to connections and decisions."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from time import monotonic
from typing import Any
from zlib import crc32

from basaltpoint import interface as api
from basaltpoint.interface import ServerState
from basaltpoint.membership.address_owners import AddressOwners
from basaltpoint.membership.hosts import Host, HostList, host_to_json
from basaltpoint.membership.list_log import ListLog
from basaltpoint.membership.server_starts import ServerStarts
from basaltpoint.telemetry import trace
from basaltpoint.upstream.servers import ServerConnections

NEW_SERVERS_BATCH = 100  # per turn of the loop; takes some ms


class ListedServers:
    """The latest list, the numbers of its servers in the decision module, and their start times."""

    def __init__(
        self,
        zones: Sequence[str],
        numbers: Mapping[str, int],
        starts: ServerStarts,
        connections: ServerConnections,
        now: Callable[[], float],
        apply_list: Callable[[api.ServerList], None],
    ) -> None:
        """`numbers`: of the predecessor; `now`: the decision module's clock, ms; `apply_list`: passes a list
        to the decision module.
        """
        self.hosts: dict[str, Host] = {}
        self._owners = AddressOwners()
        self.numbers = dict(numbers)  # of the servers that are not removed
        self.starts = starts
        self.version = 0
        # Numbers are not reused: outcomes may arrive after a server was removed.
        self._next_number = itertools.count(max(self.numbers.values(), default=-1) + 1)
        self._new: deque[Host] = deque()  # listed and not yet applied
        self._zones = {zone: number for number, zone in enumerate(zones)}
        self._connections, self._now, self._apply_list = connections, now, apply_list
        self._log = ListLog()

    def update(self, received: HostList, kind: api.ListKind) -> None:
        """Applies a list: changes of known servers at once, new servers in batches.

        A list with thousands of new servers thus does not block clients, and a drain, move or restart of a
        known server does not wait for the new ones.
        """
        self.add_all_new()
        self.version = received.seq
        hosts = received.hosts
        if kind is not api.ListKind.DELTA:
            hosts = (*self._unlisted(received), *hosts)
        latest = {host.name: host for host in hosts}
        changed = [host for name, host in latest.items() if self.hosts.get(name) != host]
        self._log.record(monotonic(), received.seq, kind, len(received.hosts), len(changed))
        if trace.enabled:
            for host in changed:
                trace.event("server %s is %s at %s", host.name, host.state.value, host.address)
        if kind is api.ListKind.CACHED:
            self._apply(changed, kind)
            for name in self.numbers.keys() - self.hosts.keys():  # known to the predecessor only
                self._remove(name)
            return
        self._apply([host for host in changed if host.name in self.hosts])
        self._new = deque(
            host for host in changed if host.name not in self.hosts and host.state is not ServerState.GONE
        )
        self._add_new()

    def _unlisted(self, received: HostList) -> list[Host]:
        """Returns the servers that a full list omits, as removed."""
        named = {host.name for host in received.hosts}
        omitted = [host for name, host in self.hosts.items() if name not in named]
        return [host._replace(state=ServerState.GONE) for host in omitted]

    def _add_new(self) -> None:
        """Applies a batch of the new servers, and schedules the others."""
        batch = [self._new.popleft() for _ in range(min(NEW_SERVERS_BATCH, len(self._new)))]
        if batch:
            self._apply(batch)
        if self._new:
            asyncio.get_running_loop().call_soon(self._add_new)

    def add_all_new(self) -> None:
        """Applies the remaining new servers, before a later list."""
        if self._new:
            hosts, self._new = list(self._new), deque()
            self._apply(hosts)

    def _apply(self, hosts: Sequence[Host], kind: api.ListKind = api.ListKind.DELTA) -> None:
        """Applies entries to connections and decisions."""
        self._observe_clocks()
        affected = self._owners.update(hosts)
        servers = tuple(self._server(host) for host in (*hosts, *affected))
        for host in hosts:
            if host.state is ServerState.GONE:
                self.hosts.pop(host.name, None)
            else:
                self.hosts[host.name] = host
        self._apply_list(api.ServerList(kind, servers))
        for host in hosts:
            if host.state is ServerState.GONE:
                self._remove(host.name)

    def _remove(self, name: str) -> None:
        self._connections.remove_server(self.numbers.pop(name))
        self.starts.forget(name)

    def _server(self, host: Host) -> api.Server:
        if (number := self.numbers.get(host.name)) is None:
            number = self.numbers[host.name] = next(self._next_number)
        zone = self._zones.setdefault(host.zone, len(self._zones))
        state = self._state(host)
        self._connections.update_server(
            number, host.address, state is ServerState.READY, started=host.born_ms
        )
        started = self.starts.started_ms(host.name, host.born_ms, self._now())
        return api.Server(number, zone, host.cell, state, host.rating, started, crc32(host.name.encode()))

    def _state(self, host: Host) -> ServerState:
        """Returns a server's state; one whose address another server has taken over gets nothing new."""
        is_replaced = host.state is ServerState.READY and self._owners.has_lost_address(host.name)
        return ServerState.DRAINING if is_replaced else host.state

    def sweep(self) -> None:
        """Checks the clocks for a step, and logs pending list entries."""
        self._observe_clocks()
        self._log.flush(monotonic())

    def _observe_clocks(self) -> None:
        self.starts.observe_clocks(self._now(), time.time() * 1000)

    def document(self) -> dict[str, Any]:
        """Returns the full list in discovery's format."""
        hosts = [host_to_json(host) for host in self.hosts.values()]
        return {"seq": self.version, "whole": True, "hosts": hosts}
