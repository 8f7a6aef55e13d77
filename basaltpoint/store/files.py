"""The file operations that `Disk` needs; tests substitute an implementation that simulates data loss."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """The files of one folder. All methods raise OSError if the operating system reports a failure."""

    def list_names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file and creates it if it does not exist."""

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes and syncs it."""

    def sync(self, name: str) -> None:
        """Syncs a file's data to disk."""

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_directory(self) -> None:
        """Syncs the folder itself; otherwise a new file may be missing after a power failure."""


class OsFiles:
    """Files of the operating system."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._open_files: dict[str, int] = {}

    def list_names(self) -> list[str]:
        return sorted(os.listdir(self.path))

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        handle = self._descriptor(name)
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def _descriptor(self, name: str) -> int:
        if (descriptor := self._open_files.get(name)) is None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            descriptor = self._open_files[name] = os.open(self.path / name, flags, 0o600)
        return descriptor

    def truncate(self, name: str, size: int) -> None:
        handle = self._descriptor(name)
        os.ftruncate(handle, size)
        os.fsync(handle)

    def sync(self, name: str) -> None:
        # fdatasync(2) also writes the file size, which is needed to read the data back.
        os.fdatasync(self._descriptor(name))

    def rename(self, old: str, new: str) -> None:
        self._close(old)
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        self._close(name)
        os.unlink(self.path / name)

    def sync_directory(self) -> None:
        sync_directory(self.path)

    def _close(self, name: str) -> None:
        if (handle := self._open_files.pop(name, None)) is not None:
            os.close(handle)

    def close(self) -> None:
        for name in list(self._open_files):
            self._close(name)


def sync_directory(path: Path) -> None:
    """Syncs a folder's entries to disk."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Replaces a file's content atomically and durably. Only its owner may read it."""
    temporary = path.with_name(path.name + ".tmp")
    with open(temporary, "wb") as file:
        os.fchmod(file.fileno(), 0o600)
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary, path)
    sync_directory(path.parent)


CrashPoint = Callable[[str], None]


def no_crash_point(name: str) -> None:
    """A crash point at which nothing happens."""
