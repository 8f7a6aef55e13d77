"""`basaltpoint serve` as a process: start, reload, drain, a kill."""

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


async def echo(came: Request) -> None:
    came.reply(body=b"echo")


class Program:
    def __init__(self, process: asyncio.subprocess.Process, address: str, path: Path, log: Path) -> None:
        self.process, self.address, self.path, self.log = process, address, path, log

    async def connect(self) -> Client:
        host, port = self.address.split(":")
        return Client(*await asyncio.open_connection(host, int(port)))

    async def up(self) -> None:
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
    made = Program(process, address, path, log)
    try:
        await made.up()
        yield made
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def test_a_life(tmp_path: Path) -> None:
    """Serve, take a good reload, turn a bad one down, finish what is in hand and end with 0."""

    async def test() -> None:
        async with backend(echo) as first, backend() as second:
            async with program(tmp_path, config(first.address)) as made:
                client = await made.connect()
                assert (await client.ask(request())).body == b"echo"
                good = made.path.read_text()
                made.path.write_text(good.replace("rate = 1000", "rate = 0"))
                made.process.send_signal(signal.SIGHUP)
                await until(lambda: "the configuration stays as it was" in made.log.read_text())
                assert (await client.ask(request())).body == b"echo"
                made.path.write_text(good.replace(first.address, second.address))
                made.process.send_signal(signal.SIGHUP)
                await until(lambda: "was taken up again" in made.log.read_text())
                client.send(request("POST"))
                came = await second.arrived.get()
                made.process.send_signal(signal.SIGTERM)
                await until(lambda: "draining" in made.log.read_text())
                came.reply(body=b"last")
                assert (await client.answer()).body == b"last"
                assert await made.process.wait() == 0

    run(test())


def test_an_address_that_is_taken(tmp_path: Path) -> None:
    async def test() -> None:
        async with backend(echo) as server:
            text = config(unused_address()).replace("127.0.0.1:0", server.address, 1)
            path = tmp_path / "limiter.toml"
            path.write_text(text)
            process = await asyncio.create_subprocess_exec(
                *COMMAND, str(path), cwd=ROOT, stderr=asyncio.subprocess.PIPE
            )
            _, said = await process.communicate()
            assert process.returncode == 1 and server.address in said.decode()

    run(test())
