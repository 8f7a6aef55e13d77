"""The few operations on files that the disk needs; tests put another in their place that loses things."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """One folder. OSError where the system can't."""

    def list_names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str, data: bytes) -> None:
        """Write behind what a file holds; it comes to be with the first byte."""

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file, on the disk as well."""

    def sync(self, name: str) -> None:
        """Have all of a file's bytes on the disk."""

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_directory(self) -> None:
        """Have the folder itself on the disk: without it, a new file may be gone after a power failure."""


class OsFiles:
    """The system's files."""

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
        # The size is data that must be found again, and fdatasync writes it, too.
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
    """Have a folder's names on the disk."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Have a file hold these bytes, on the disk: whole, or as it was. Its owner alone may read it."""
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
