"""Changes of the list of servers that came together, made one where nothing is lost by that."""

from __future__ import annotations

from basaltpoint.interface import ServerState
from basaltpoint.membership.hosts import Host, HostList

# In the life of one process. A change back is applied by itself: else a drain would not be seen, nor what it
# ends: free connections, for one.
_LIFECYCLE_ORDER = {ServerState.READY: 0, ServerState.DRAINING: 1, ServerState.GONE: 2}


class ChangeBatch:
    """Lists of changes, in their order; of each server the latest entry."""

    def __init__(self) -> None:
        self._hosts: dict[str, Host] = {}
        self._version: int | None = None

    def can_merge(self, changes: HostList) -> bool:
        """Whether it may be made one with those held: no server turns back or starts anew."""
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
        """Take up a list of changes that fits."""
        self._hosts.update((host.name, host) for host in changes.hosts)
        self._version = changes.seq

    def pop_merged(self) -> HostList | None:
        """One list for all that are held, none of which is held from here on; None where there are none."""
        if self._version is None:
            return None
        merged = HostList(self._version, False, tuple(self._hosts.values()))
        self._hosts, self._version = {}, None
        return merged
