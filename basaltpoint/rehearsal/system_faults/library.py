"""Builds the preloaded library from preload.c; this requires a C compiler on the host."""

from __future__ import annotations

import os
import shutil
import subprocess
from pathlib import Path

from basaltpoint.rehearsal.system_faults.table import FaultTable

SOURCE = Path(__file__).with_name("preload.c")
COMPILERS = ("cc", "gcc", "clang")
BUILD_TIMEOUT_S = 60.0


class BuildError(Exception):
    """The library cannot be built on this host; the message says why."""


def find_compiler() -> str | None:
    """Returns the path of a C compiler, or None if the host has none."""
    return next((path for name in COMPILERS if (path := shutil.which(name))), None)


def build_library(folder: Path) -> Path:
    """Builds the library into `folder` and returns its path; raises BuildError if that fails."""
    command = find_compiler()
    if command is None:
        raise BuildError(f"there is no C compiler ({', '.join(COMPILERS)})")
    library = folder / "basaltpoint-faults.so"
    result = subprocess.run(
        [command, "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"],
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_S,
        check=False,
    )
    if result.returncode:
        raise BuildError(result.stderr[-1000:])
    return library


def preload_environment(library: Path, table: FaultTable) -> dict[str, str]:
    """Returns the environment variables with which a process loads the library and reads `table`."""
    inherited = os.environ.get("LD_PRELOAD", "")
    return {
        "LD_PRELOAD": f"{library}:{inherited}" if inherited else str(library),
        "BASALTPOINT_FAULTS": str(table.path),
    }
