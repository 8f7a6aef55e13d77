"""Both fronts as processes whose system calls are often interrupted or partial: slower, but correct."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from sockets import Client, Request, backend, document, host, message, run, unused_address
from standalone import config, request

from basaltpoint.rehearsal.system_faults.library import build_library, find_compiler, preload_environment
from basaltpoint.rehearsal.system_faults.table import Call, CallFault, Effect, FaultTable

pytestmark = pytest.mark.skipif(find_compiler() is None, reason="interrupted calls need a C compiler")

ROOT = Path(__file__).parent.parent
BODY = b"x" * 3_000
INTERRUPTED = tuple(
    CallFault(call, Effect.FAIL, 0.3, errno.EINTR)
    for call in (Call.READ, Call.WRITE, Call.POLL, Call.ACCEPT, Call.CONNECT)
)
ONE_BYTE = tuple(CallFault(call, Effect.SHORT, 0.9, value=1) for call in (Call.READ, Call.WRITE))


async def answer(request: Request) -> None:
    request.reply(body=request.body or b"none")


@contextlib.asynccontextmanager
async def faulty_limiter(tmp_path: Path, address: str, *args: str, **environ: str) -> AsyncIterator[Path]:
    """Runs a limiter process whose calls are interrupted or partial; yields its log once it listens."""
    table, log = FaultTable(tmp_path / "faults"), tmp_path / "log"
    for fault in (*INTERRUPTED, *ONE_BYTE):
        table.activate(fault)
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "basaltpoint", *args),
        cwd=ROOT,
        env=os.environ | preload_environment(build_library(tmp_path), table) | environ,
        stderr=log.open("wb"),
    )
    try:
        while process.returncode is None and "listens at" not in log.read_text():
            await asyncio.sleep(0.02)
        yield log
        assert process.returncode is None
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def connect(address: str) -> Client:
    name, port = address.split(":")
    return Client(*await asyncio.open_connection(name, int(port)))


def test_the_standalone_front_with_interrupted_calls(tmp_path: Path) -> None:
    async def test() -> None:
        async with backend(answer) as server:
            address, file = unused_address(), tmp_path / "limiter.toml"
            file.write_text(config(server.address).replace("127.0.0.1:0", address, 1))
            async with faulty_limiter(tmp_path, address, "serve", str(file)) as log:
                for _ in range(3):
                    client = await connect(address)
                    for body in (b"", BODY, b""):
                        got = await client.ask(request("POST" if body else "GET", body=body))
                        assert (got.code, got.body) == (200, body or b"none"), log.read_text()
                    client.close()
                assert "Traceback" not in log.read_text()

    run(test())


def test_the_platforms_front_with_interrupted_calls(tmp_path: Path) -> None:
    async def test() -> None:
        async with backend(answer) as server:
            address, file = unused_address(), tmp_path / "config.json"
            file.write_text(json.dumps(document(address, host("a", server.address))))
            async with faulty_limiter(tmp_path, address, GW_CONFIG=str(file)) as log:
                probe = await connect(address)
                while (await probe.ask(message(path="/up"))).code != 200:  # until discovery counts as down
                    await asyncio.sleep(0.05)
                for number in range(3):
                    client = await connect(address)
                    for at, body in enumerate((b"", BODY, b"")):
                        kind = "fix" if body else "read"
                        got = await client.ask(message(kind, f"{number}-{at}", body, Req_Deadline="60"))
                        assert (got.code, got.body) == (200, body or b"none"), log.read_text()
                    client.close()
                assert "Traceback" not in log.read_text() and "violation" not in log.read_text()

    run(test())
