"""Merges changes of the list of servers that are received together, where this loses no information."""

from __future__ import annotations

from basaltpoint.interface import ServerState
from basaltpoint.membership.hosts import Host, HostList

# Order of states in the life of one server process. A change backwards is never merged: otherwise a drain and
# its effects, such as closing idle connections, would be lost.
_LIFECYCLE_ORDER = {ServerState.READY: 0, ServerState.DRAINING: 1, ServerState.GONE: 2}


class ChangeBatch:
    """Lists of changes in their order, merged into the latest entry of each server."""

    def __init__(self) -> None:
        self._hosts: dict[str, Host] = {}
        self._version: int | None = None

    def can_merge(self, changes: HostList) -> bool:
        """Whether a list can be merged into this batch: no server moves backwards in its life or restarts."""
        return not changes.whole and all(self._is_forward(host) for host in changes.hosts)

    def _is_forward(self, host: Host) -> bool:
        earlier = self._hosts.get(host.name)
        if earlier is None:
            return True
        return (
            earlier.born_ms == host.born_ms
            and _LIFECYCLE_ORDER[earlier.state] <= _LIFECYCLE_ORDER[host.state]
        )

    def add(self, changes: HostList) -> None:
        """Merges a list of changes; `can_merge` must hold, or the batch must be empty."""
        self._hosts.update((host.name, host) for host in changes.hosts)
        self._version = changes.seq

    def pop_merged(self) -> HostList | None:
        """Returns the merged changes as one list and empties the batch; None if it is empty."""
        if self._version is None:
            return None
        merged = HostList(self._version, False, tuple(self._hosts.values()))
        self._hosts, self._version = {}, None
        return merged
