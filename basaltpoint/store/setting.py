"""Builds replica settings and clients from a validated `[store]` table."""

from __future__ import annotations

from basaltpoint.config.storage import StoreSettings
from basaltpoint.links.transport import Tls
from basaltpoint.store.client import Client, Endpoint
from basaltpoint.store.messages import Member, Membership
from basaltpoint.store.node import StorageLimits
from basaltpoint.store.raft import RaftOptions
from basaltpoint.store.replica import ReplicaSettings


def initial_membership(storage: StoreSettings) -> Membership:
    """Returns the members of a new cluster; empty for a replica that joins an existing one."""
    table = storage.table
    if table.join:
        return Membership()
    listed = tuple(Member(name, address) for name, address in storage.members)
    return Membership(listed or (Member(table.name, table.advertise or table.listen),))


def replica_settings(storage: StoreSettings) -> ReplicaSettings:
    """Returns the settings of the replica that the file configures."""
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
    """Returns a client that prefers a replica on this host and fails over to the other members."""
    table = storage.table
    endpoints = [Endpoint(address, name) for name, address in storage.members if name != table.name]
    if table.name:
        endpoints.insert(0, Endpoint(str(storage.socket)))
    return Client(endpoints, table.cluster, Tls.from_files(storage.tls_files))
