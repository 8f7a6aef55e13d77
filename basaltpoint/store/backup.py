"""Backups of a cluster's state, and their restoration as a new cluster.

A backup file consists of a magic, a u32 CRC-32 of the rest, and one MessagePack structure.
"""

from __future__ import annotations

import struct
import zlib
from pathlib import Path

import msgspec

from basaltpoint.store import state_machine as kv
from basaltpoint.store.disk import Disk
from basaltpoint.store.files import OsFiles, replace_file
from basaltpoint.store.folder import FolderError, ReplicaFolder
from basaltpoint.store.messages import Membership, Snapshot

MAGIC = b"BPbackup1\n"
CHECKSUM = struct.Struct("<I")
# Added to the revision of a restored state. A client that saw later revisions than those in the backup then
# gets `compacted` for its watch, instead of no events.
RESTORED_REVISION_GAP = 1 << 32


class Backup(msgspec.Struct, frozen=True):
    """The state of a cluster and the cluster's name."""

    cluster: str
    state: kv.State


class BackupError(Exception):
    """The backup can't be used; the text states the reason."""


def write(path: Path, cluster: str, data: bytes) -> Backup:
    """Writes the state that `Client.dump` returned; the file is replaced atomically."""
    backup = Backup(cluster, msgspec.msgpack.decode(data, type=kv.State))
    body = msgspec.msgpack.encode(backup)
    replace_file(path, MAGIC + CHECKSUM.pack(zlib.crc32(body)) + body)
    return backup


def read(path: Path) -> Backup:
    """Reads a backup. BackupError if it is no valid backup, OSError."""
    raw = path.read_bytes()
    head = len(MAGIC) + CHECKSUM.size
    if not raw.startswith(MAGIC) or len(raw) < head:
        raise BackupError(f"{path}: not a backup of a store")
    if zlib.crc32(raw[head:]) != CHECKSUM.unpack_from(raw, len(MAGIC))[0]:
        raise BackupError(f"{path}: the backup is damaged; use another one")
    return msgspec.msgpack.decode(raw[head:], type=Backup)


def restore(backup: Backup, folder: Path, cluster: str, name: str, members: Membership) -> None:
    """Creates the folder of an initial replica of a new cluster; each of them is made of the same backup.

    Raises BackupError or FolderError if this is not possible.
    """
    if cluster == backup.cluster:
        raise BackupError(
            f"found cluster {cluster!r}, the one that was backed up; allowed: another name, as "
            "replicas of the old cluster may still run"
        )
    if name not in members.names:
        raise BackupError(f"found the replica {name!r}; allowed: one of the initial members")
    replica_folder = ReplicaFolder(folder, cluster, name)
    files = OsFiles(replica_folder.log)
    try:
        disk = Disk(files)
        if disk.log.last_index or disk.log.snapshot.membership.members:
            raise FolderError(f"{folder}: holds a replica already; remove it, or restore to another folder")
        state = backup.state
        state.revision += RESTORED_REVISION_GAP
        state.applied_index = 1
        state.sessions.clear()  # their clients get the error `session` and check what took effect
        data = msgspec.msgpack.encode(state)
        for _ in disk.write_snapshot(Snapshot(1, 1, members, data), 0):
            pass
    finally:
        files.close()
        replica_folder.close()
