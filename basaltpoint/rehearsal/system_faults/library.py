"""The preloaded library: built from preload.c where the machine has a C compiler."""

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
    """The library can't be built here; says why."""


def find_compiler() -> str | None:
    """The path of a C compiler; None where there is none."""
    return next((path for name in COMPILERS if (path := shutil.which(name))), None)


def build_library(folder: Path) -> Path:
    """Build the library into a folder; BuildError."""
    command = find_compiler()
    if command is None:
        raise BuildError(f"there is no C compiler ({', '.join(COMPILERS)})")
    made = folder / "basaltpoint-faults.so"
    result = subprocess.run(
        [command, "-O2", "-shared", "-fPIC", "-o", str(made), str(SOURCE), "-ldl"],
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_S,
        check=False,
    )
    if result.returncode:
        raise BuildError(result.stderr[-1000:])
    return made


def preload_environment(library: Path, table: FaultTable) -> dict[str, str]:
    """What a process is started with for its calls to fail by this table."""
    before = os.environ.get("LD_PRELOAD", "")
    return {
        "LD_PRELOAD": f"{library}:{before}" if before else str(library),
        "BASALTPOINT_FAULTS": str(table.path),
    }
