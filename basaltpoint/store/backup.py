"""Backups of a whole cluster: written from its state, made a new cluster of.

A file is a magic, u32 CRC-32 of what follows, and one MessagePack structure.
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
# Revisions go on from there: a client that saw later ones before the loss is told `compacted`, not nothing.
RESTORED_REVISION_GAP = 1 << 32


class Backup(msgspec.Struct, frozen=True):
    """The state of a cluster, and whose it was."""

    cluster: str
    state: kv.State


class BackupError(Exception):
    """A file that can't be used; the text says why."""


def write(path: Path, cluster: str, data: bytes) -> Backup:
    """Write a state as `Client.dump` tells it; the file is there whole or not at all."""
    backup = Backup(cluster, msgspec.msgpack.decode(data, type=kv.State))
    body = msgspec.msgpack.encode(backup)
    replace_file(path, MAGIC + CHECKSUM.pack(zlib.crc32(body)) + body)
    return backup


def read(path: Path) -> Backup:
    """Read a backup; BackupError, OSError."""
    raw = path.read_bytes()
    head = len(MAGIC) + CHECKSUM.size
    if not raw.startswith(MAGIC) or len(raw) < head:
        raise BackupError(f"{path}: no backup of a store")
    if zlib.crc32(raw[head:]) != CHECKSUM.unpack_from(raw, len(MAGIC))[0]:
        raise BackupError(f"{path}: the backup is damaged; use another one")
    return msgspec.msgpack.decode(raw[head:], type=Backup)


def restore(backup: Backup, folder: Path, cluster: str, name: str, members: Membership) -> None:
    """Make the folder of one first replica of a new cluster; the same backup for each of them.

    BackupError, FolderError where that can't be.
    """
    if cluster == backup.cluster:
        raise BackupError(
            f"found cluster {cluster!r}, which the backup is of; allowed: another name, as replicas of the "
            "old one may still run"
        )
    if name not in members.names:
        raise BackupError(f"found the replica {name!r}; allowed: one of the first members")
    replica_folder = ReplicaFolder(folder, cluster, name)
    files = OsFiles(replica_folder.log)
    try:
        disk = Disk(files)
        if disk.log.last_index or disk.log.snapshot.membership.members:
            raise FolderError(f"{folder}: holds a replica already; remove it, or restore to another folder")
        state = backup.state
        state.revision += RESTORED_REVISION_GAP
        state.applied_index = 1
        state.sessions.clear()  # their clients are told, and look themselves what took effect
        data = msgspec.msgpack.encode(state)
        for _ in disk.write_snapshot(Snapshot(1, 1, members, data), 0):
            pass
    finally:
        files.close()
        replica_folder.close()
