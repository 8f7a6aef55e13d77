"""`basaltpoint serve` as a process: start, reload, drain, and a start that fails."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path

from sockets import Client, Request, backend, run, until, unused_address
from standalone import config, request

ROOT = Path(__file__).parent.parent
COMMAND = (sys.executable, "-m", "basaltpoint", "serve")


async def echo(request: Request) -> None:
    request.reply(body=b"echo")


class Program:
    def __init__(self, process: asyncio.subprocess.Process, address: str, path: Path, log: Path) -> None:
        self.process, self.address, self.path, self.log = process, address, path, log

    async def connect(self) -> Client:
        host, port = self.address.split(":")
        return Client(*await asyncio.open_connection(host, int(port)))

    async def wait_until_listening(self) -> None:
        while True:
            with contextlib.suppress(ConnectionError):
                (await self.connect()).close()
                return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def program(tmp_path: Path, text: str) -> AsyncIterator[Program]:
    address, path, log = unused_address(), tmp_path / "limiter.toml", tmp_path / "log"
    path.write_text(text.replace("127.0.0.1:0", address, 1))
    process = await asyncio.create_subprocess_exec(
        *COMMAND, str(path), cwd=ROOT, env={**os.environ}, stderr=log.open("wb")
    )
    running = Program(process, address, path, log)
    try:
        await running.wait_until_listening()
        yield running
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def test_start_reload_and_drain(tmp_path: Path) -> None:
    """Refuses an invalid reload, applies a valid one, completes the open request in a drain, exits with 0."""

    async def test() -> None:
        async with backend(echo) as first, backend() as second:
            async with program(tmp_path, config(first.address)) as running:
                client = await running.connect()
                assert (await client.ask(request())).body == b"echo"
                good = running.path.read_text()
                running.path.write_text(good.replace("rate = 1000", "rate = 0"))
                running.process.send_signal(signal.SIGHUP)
                await until(lambda: "the configuration stays as it was" in running.log.read_text())
                assert (await client.ask(request())).body == b"echo"
                running.path.write_text(good.replace(first.address, second.address))
                running.process.send_signal(signal.SIGHUP)
                await until(lambda: "was taken up again" in running.log.read_text())
                client.send(request("POST"))
                received = await second.arrived.get()
                running.process.send_signal(signal.SIGTERM)
                await until(lambda: "draining" in running.log.read_text())
                received.reply(body=b"last")
                assert (await client.answer()).body == b"last"
                assert await running.process.wait() == 0

    run(test())


def test_an_address_in_use_ends_the_start_with_an_error(tmp_path: Path) -> None:
    async def test() -> None:
        async with backend(echo) as server:
            text = config(unused_address()).replace("127.0.0.1:0", server.address, 1)
            path = tmp_path / "limiter.toml"
            path.write_text(text)
            process = await asyncio.create_subprocess_exec(
                *COMMAND, str(path), cwd=ROOT, stderr=asyncio.subprocess.PIPE
            )
            _, stderr = await process.communicate()
            assert process.returncode == 1 and server.address in stderr.decode()

    run(test())
