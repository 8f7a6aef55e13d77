"""From a checked `[store]` table to a replica's settings, or to a client."""

from __future__ import annotations

from basaltpoint.config.storage import StoreSettings
from basaltpoint.links.transport import Tls
from basaltpoint.store.client import Client, Endpoint
from basaltpoint.store.messages import Member, Membership
from basaltpoint.store.node import StorageLimits
from basaltpoint.store.raft import RaftOptions
from basaltpoint.store.replica import ReplicaSettings


def initial_membership(storage: StoreSettings) -> Membership:
    """The members of a new cluster; none for a replica that joins one."""
    table = storage.table
    if table.join:
        return Membership()
    listed = tuple(Member(name, address) for name, address in storage.members)
    return Membership(listed or (Member(table.name, table.advertise or table.listen),))


def replica_settings(storage: StoreSettings) -> ReplicaSettings:
    """What the replica of this file runs on."""
    table = storage.table
    advertised = table.advertise or dict(storage.members).get(table.name, "")
    return ReplicaSettings(
        name=table.name,
        cluster=table.cluster,
        folder=storage.folder,
        listen_address=table.listen,
        initial_membership=initial_membership(storage),
        tls=Tls.from_files(storage.tls_files),
        raft_options=RaftOptions(table.election_ms, table.heartbeat_ms),
        limits=StorageLimits(snapshot_entries=table.snapshot_entries, max_state_bytes=table.state_mb << 20),
        advertised_address=advertised,
    )


def create_client(storage: StoreSettings) -> Client:
    """A client of this host's replica, and of the other members where it fails or is none."""
    table = storage.table
    endpoints = [Endpoint(address, name) for name, address in storage.members if name != table.name]
    if table.name:
        endpoints.insert(0, Endpoint(str(storage.socket)))
    return Client(endpoints, table.cluster, Tls.from_files(storage.tls_files))
