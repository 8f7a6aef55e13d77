"""A replica's folder: its identity, its lock, and the detection of copies that were put back."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import msgspec

from basaltpoint.store.files import replace_file

IDENTITY_FILE = "replica.json"
STAMP_FILE = "stamp"
LOCK_FILE = "lock"
LOG_DIRECTORY = "log"


class FolderError(Exception):
    """The folder can't be used; the text states the reason and the remedy."""


class Identity(msgspec.Struct, kw_only=True):
    """Content of the identity file."""

    cluster: str
    name: str
    # Device, inode and ctime (ns) of the stamp file. No program can set a ctime, so a copy has another one.
    stamp: tuple[int, int, int]


class ReplicaFolder:
    """An open and locked folder.

    FolderError if it belongs to another replica or cluster, or another process uses it.
    """

    def __init__(self, path: Path, cluster: str, name: str) -> None:
        self.path = path
        (path / LOG_DIRECTORY).mkdir(parents=True, exist_ok=True, mode=0o700)
        self._lock_descriptor = os.open(path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock_descriptor)
            raise FolderError(f"{path}: another process uses this folder; one at a time is allowed") from None
        self.may_be_stale = False
        try:
            self._open(cluster, name)
        except BaseException:
            os.close(self._lock_descriptor)
            raise

    @property
    def log(self) -> Path:
        return self.path / LOG_DIRECTORY

    def _open(self, cluster: str, name: str) -> None:
        self._identity = Identity(cluster=cluster, name=name, stamp=(0, 0, 0))
        file = self.path / IDENTITY_FILE
        if not file.exists():
            if any(self.log.iterdir()):
                raise FolderError(
                    f"{file}: missing, though there is a log; a replica's whole folder is needed"
                )
            self.write_stamp()
            return
        try:
            stored = msgspec.json.decode(file.read_bytes(), type=Identity)
        except msgspec.DecodeError as error:
            raise FolderError(f"{file}: {error}; remove the folder and add the replica anew") from None
        for field, stored_value, configured_value in (
            ("cluster", stored.cluster, cluster),
            ("name", stored.name, name),
        ):
            if stored_value != configured_value:
                raise FolderError(
                    f"{self.path}: found the {field} {stored_value!r}; "
                    f"allowed: {configured_value!r}, as configured"
                )
        self.may_be_stale = stored.stamp != self._read_stamp()

    def _read_stamp(self) -> tuple[int, int, int]:
        try:
            status = os.stat(self.path / STAMP_FILE)
        except FileNotFoundError:
            return 0, 0, 0
        return status.st_dev, status.st_ino, status.st_ctime_ns

    def write_stamp(self) -> None:
        """Makes this copy the replica's folder. To be called once the recovery state is on disk."""
        with open(self.path / STAMP_FILE, "w") as stamp:
            os.fsync(stamp.fileno())
        self._identity.stamp = self._read_stamp()
        replace_file(
            self.path / IDENTITY_FILE, msgspec.json.format(msgspec.json.encode(self._identity)) + b"\n"
        )
        self.may_be_stale = False

    def close(self) -> None:
        os.close(self._lock_descriptor)
