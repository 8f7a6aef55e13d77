"""The servers of discovery's lists by name, and what a list changes at connections and decisions."""

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
from basaltpoint.membership.hosts import Host, HostList, host_to_json
from basaltpoint.membership.list_log import ListLog
from basaltpoint.membership.server_starts import ServerStarts
from basaltpoint.telemetry import trace
from basaltpoint.upstream.servers import ServerConnections

NEW_SERVERS_BATCH = 100  # new servers taken up at a time, some ms of work, before clients have their turn


class ListedServers:
    """The list as it was last told, the numbers by which decisions know its servers, and their starts."""

    def __init__(
        self,
        zones: Sequence[str],
        numbers: Mapping[str, int],
        starts: ServerStarts,
        connections: ServerConnections,
        now: Callable[[], float],
        tell: Callable[[api.ServerList], None],
    ) -> None:
        """`numbers`: of an older process; `now`: the decisions' clock, ms; `tell`: hands them a list."""
        self.hosts: dict[str, Host] = {}
        self.numbers = dict(numbers)  # of the servers that are not gone
        self.starts = starts
        self.version = 0
        # Never used again: outcomes may come after the end.
        self._next_number = itertools.count(max(self.numbers.values(), default=-1) + 1)
        self._new: deque[Host] = deque()  # listed and not taken up yet
        self._zones = {zone: number for number, zone in enumerate(zones)}
        self._connections, self._now, self._apply_list = connections, now, tell
        self._log = ListLog()

    def update(self, told: HostList, kind: api.ListKind) -> None:
        """Take up a list. What concerns known servers holds at once, new ones come in slices.

        So a list that names thousands of new servers keeps no client waiting for all of them, and no drain,
        move or restart waits for any.
        """
        self.add_all_new()
        self.version = told.seq
        hosts = told.hosts
        if kind is not api.ListKind.DELTA:
            hosts = (*self._unlisted(told), *hosts)
        latest = {host.name: host for host in hosts}
        changed = [host for name, host in latest.items() if self.hosts.get(name) != host]
        self._log.record(monotonic(), told.seq, kind, len(told.hosts), len(changed))
        if trace.enabled:
            for host in changed:
                trace.event("server %s is %s at %s", host.name, host.state.value, host.address)
        if kind is api.ListKind.CACHED:
            self._apply(changed, kind)
            for name in self.numbers.keys() - self.hosts.keys():  # an older process knew more
                self._remove(name)
            return
        self._apply([host for host in changed if host.name in self.hosts])
        self._new = deque(
            host for host in changed if host.name not in self.hosts and host.state is not ServerState.GONE
        )
        self._add_new()

    def _unlisted(self, told: HostList) -> list[Host]:
        """The servers that a whole list leaves out, as gone."""
        named = {host.name for host in told.hosts}
        left = [host for name, host in self.hosts.items() if name not in named]
        return [host._replace(state=ServerState.GONE) for host in left]

    def _add_new(self) -> None:
        """Take up a slice of the new servers, and the others in later turns of the loop."""
        slice_ = [self._new.popleft() for _ in range(min(NEW_SERVERS_BATCH, len(self._new)))]
        if slice_:
            self._apply(slice_)
        if self._new:
            asyncio.get_running_loop().call_soon(self._add_new)

    def add_all_new(self) -> None:
        """Take up the new servers that are left, ahead of what a later list says of them."""
        if self._new:
            hosts, self._new = list(self._new), deque()
            self._apply(hosts)

    def _apply(self, hosts: Sequence[Host], kind: api.ListKind = api.ListKind.DELTA) -> None:
        """Have connections and decisions go by these entries."""
        self._observe_clocks()
        servers = tuple(self._server(host) for host in hosts)
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
        """A server is gone."""
        self._connections.remove_server(self.numbers.pop(name))
        self.starts.forget(name)

    def _server(self, host: Host) -> api.Server:
        if (number := self.numbers.get(host.name)) is None:
            number = self.numbers[host.name] = next(self._next_number)
        zone = self._zones.setdefault(host.zone, len(self._zones))
        self._connections.update_server(number, host.address, host.state is ServerState.READY)
        started = self.starts.started_ms(host.name, host.born_ms, self._now())
        return api.Server(
            number, zone, host.cell, host.state, host.rating, started, crc32(host.name.encode())
        )

    def sweep(self) -> None:
        """Look at the clocks for a step, and log what was not yet."""
        self._observe_clocks()
        self._log.flush(monotonic())

    def _observe_clocks(self) -> None:
        self.starts.observe_clocks(self._now(), time.time() * 1000)

    def document(self) -> dict[str, Any]:
        """The whole list as discovery writes it."""
        hosts = [host_to_json(host) for host in self.hosts.values()]
        return {"seq": self.version, "whole": True, "hosts": hosts}
