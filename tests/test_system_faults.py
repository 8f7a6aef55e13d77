"""System call faults: the preloaded library changes the calls of a process according to the fault table."""

from __future__ import annotations

import errno
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from basaltpoint.rehearsal.system_faults.library import build_library, find_compiler, preload_environment
from basaltpoint.rehearsal.system_faults.table import Call, CallFault, Effect, FaultTable, Side

pytestmark = pytest.mark.skipif(find_compiler() is None, reason="the library needs a C compiler")

FAIL, SHORT, STALL = Effect.FAIL, Effect.SHORT, Effect.STALL
# Runs before each test's code. result() returns the name of the errno if a call fails.
SOCKET_PAIR_CODE = """
import errno, os, socket, sys, time
def result(call):
    try:
        return call()
    except OSError as error:
        return errno.errorcode[error.errno]
listener = result(lambda: socket.create_server(("127.0.0.1", 0)))
def pair():
    near = socket.socket()
    near.connect(listener.getsockname())
    return near, listener.accept()[0]
"""


@pytest.fixture(scope="module")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return build_library(tmp_path_factory.mktemp("library"))


@pytest.fixture
def table(tmp_path: Path) -> Iterator[FaultTable]:
    fault_table = FaultTable(tmp_path / "faults")
    yield fault_table
    fault_table.close()


def run_code(library: Path, table: FaultTable, code: str) -> list[str]:
    """Runs `code` after SOCKET_PAIR_CODE in a process with the library; returns the lines that it prints."""
    result = subprocess.run(
        [sys.executable, "-c", SOCKET_PAIR_CODE + code],
        env=os.environ | preload_environment(library, table),
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    return result.stdout.splitlines()


@pytest.mark.parametrize(
    ("fault", "code", "expected"),
    [
        (
            CallFault(Call.ACCEPT, FAIL, 1.0, errno.EPROTO),
            "near = socket.socket(); near.connect(listener.getsockname()); print(result(listener.accept))",
            "EPROTO",
        ),
        (
            CallFault(Call.CONNECT, FAIL, 1.0, errno.EADDRNOTAVAIL),
            "print(result(lambda: socket.socket().connect(listener.getsockname())))",
            "EADDRNOTAVAIL",
        ),
        (CallFault(Call.SOCKET, FAIL, 1.0, errno.ENFILE), "print(result(socket.socket))", "ENFILE"),
        (
            CallFault(Call.WRITE, SHORT, 1.0, value=7),
            "near, far = pair(); print(near.send(b'x' * 100))",
            "7",
        ),
        (
            CallFault(Call.READ, SHORT, 1.0, value=1),
            "near, far = pair(); near.send(b'abc'); print(far.recv(100))",
            "b'a'",
        ),
        (
            CallFault(Call.READ, FAIL, 1.0, errno.ETIMEDOUT, side=Side.CONNECTED),
            "near, far = pair(); far.send(b'a'); near.send(b'b')\n"
            "far.setblocking(False)\n"
            "print(far.recv(9), result(lambda: near.recv(9)), result(lambda: far.recv(9)))",
            "b'b' ETIMEDOUT b''",
        ),
        (
            CallFault(Call.WRITE, STALL, 1.0, value=50_000),
            "near, far = pair(); t = time.monotonic(); near.send(b'x'); print(time.monotonic() - t >= 0.05)",
            "True",
        ),
        (
            CallFault(Call.FILE_SYNC, FAIL, 1.0, errno.EIO),
            "f = os.open(sys.executable, os.O_RDONLY); print(result(lambda: os.fsync(f)))",
            "EIO",
        ),
    ],
    ids=["accept", "connect", "socket", "short write", "short read", "broken", "stall", "sync"],
)
def test_call_fails_as_the_table_says(
    library: Path, table: FaultTable, fault: CallFault, code: str, expected: str
) -> None:
    table.activate(fault)
    assert run_code(library, table, code) == [expected]
    table.deactivate(fault)
    assert run_code(library, table, code) != [expected]


def test_full_disk_affects_files_but_not_standard_streams(
    library: Path, table: FaultTable, tmp_path: Path
) -> None:
    table.activate(CallFault(Call.FILE_WRITE, FAIL, 1.0, errno.ENOSPC))
    code = f"""
f = os.open({str(tmp_path / "file")!r}, os.O_CREAT | os.O_WRONLY)
print(result(lambda: os.write(f, b"x")))
"""
    assert run_code(library, table, code) == ["ENOSPC"]


def test_wall_clock_steps_while_the_monotonic_clock_does_not(library: Path, table: FaultTable) -> None:
    code = """
m = time.monotonic(); w = time.time(); print("ready", flush=True); input()
print(round((time.time() - w - (time.monotonic() - m)) / 10) * 10)
"""
    with subprocess.Popen(
        [sys.executable, "-c", SOCKET_PAIR_CODE + code],
        env=os.environ | preload_environment(library, table),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout and process.stdout.readline() == "ready\n"
        table.step_wall_clock(-3600.0)
        out, _ = process.communicate("\n", timeout=60)
    assert out == "-3600\n"


def test_calls_succeed_without_faults(library: Path, table: FaultTable) -> None:
    code = "near, far = pair(); print(near.send(b'abc'), far.recv(9), abs(time.time() - time.time()) < 1)"
    assert run_code(library, table, code) == ["3 b'abc' True"]


def test_more_faults_than_entries_is_an_error(table: FaultTable) -> None:
    for value in range(32):
        table.activate(CallFault(Call.READ, SHORT, 1.0, value=value))
    with pytest.raises(ValueError):
        table.activate(CallFault(Call.READ, SHORT, 1.0, value=99))
