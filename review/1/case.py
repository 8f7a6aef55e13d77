"""A new version takes over under load: a request that must never run twice has to run once.

A bad client uses the id of another client's open request. The old process and the new one are one limiter, so
that the second request of that id must not reach a server, whichever of the two reads it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

LISTENER = socket.create_server(("127.0.0.1", 0), backlog=1024)  # the platform holds the clients' socket
PAIRS = 5  # of a client and a bad client
YES_WITHIN_S = 6.0
KILL_AFTER_S = 3.7  # SIGKILL after the longest deadline (3 s at most) and 0.7 s
WORK_S = 0.45  # 120 to 210 ms, 1.3 to 2.6 times slower
DEADLINE_S = 4.0
READYZ_EVERY_S = 0.02


class Process:
    """One of the limiter's processes, started by the platform's stand-in."""

    def __init__(self, folder: Path, name: str, record: rig.Record) -> None:
        self.folder, self.name, self.record = folder, name, record
        self.control = rig.free_address()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, document: dict[str, Any]) -> None:
        """Starts the process and waits for its yes."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps({**document, "control": "{}:{}".format(*self.control)}))
        run = tomllib.loads((rig.ROOT / "deploy" / "balancer.toml").read_text())["run"]
        number = LISTENER.fileno()  # a shell redirects descriptors of one digit only
        if number > 9:
            raise rig.CouldNotRunError("the listening socket has a descriptor above 9")
        (self.folder / "tmp").mkdir(exist_ok=True)
        kept = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environment = {
            **kept,
            "GW_CONFIG": str(path),
            "GW_CONTROL": "{}:{}".format(*self.control),
            "GW_SOCKET_FD": "3",
            "TMPDIR": str(self.folder / "tmp"),
        }
        inherit = "" if number == 3 else f"exec 3<&{number} {number}<&-; "
        with (self.folder / "limiter.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", inherit + run),
                cwd=rig.ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                pass_fds=[number],
            )
        self.record.write(f"platform: {self.name} started as process {self.process.pid}")
        end = time.monotonic() + YES_WITHIN_S
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise rig.CouldNotRunError(f"{self.name} ended during its start")
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.control)
                writer.write(b"readyz\n")
                answer = await reader.read()
                writer.close()
                if answer.startswith(b"ok"):
                    self.record.write(f"platform: {self.name} says yes")
                    return
            await asyncio.sleep(READYZ_EVERY_S)
        raise rig.CouldNotRunError(f"{self.name} did not say yes within {YES_WITHIN_S} s")

    async def terminate(self) -> None:
        """SIGTERM, and SIGKILL once the time for the drain is over."""
        assert self.process
        self.record.write(f"platform: SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(KILL_AFTER_S):
                await self.process.wait()
        except TimeoutError:
            self.record.write(f"platform: SIGKILL to {self.name}")
            self.process.kill()
            await self.process.wait()
        self.record.write(f"platform: {self.name} has ended with {self.process.returncode}")

    async def end(self) -> None:
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


async def case(record: rig.Record) -> list[str]:
    address = LISTENER.getsockname()[:2]
    ran: Counter[str] = Counter()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                ident = next(row[8:] for row in head.split("\r\n") if row.lower().startswith("req-id: "))
                ran[ident] += 1
                record.write(f"server: {ident} runs, for the {ran[ident]}. time")
                await asyncio.sleep(WORK_S)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + ident.encode())
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    def message(number: int, customer: int) -> bytes:
        head = rig.request_head(
            *("POST", "correction", f"{number:016x}", DEADLINE_S),
            customer=customer + number,
            extra="Content-Length: 0\r\n",
        )
        return head

    async def answer(sock: socket.socket, who: str) -> str:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DEADLINE_S + 0.5):
                data = await loop.sock_recv(sock, 65536)
            text = data.split(b"\r\n")[0].decode() or "closed"
        except TimeoutError:
            text = "nothing"
        except ConnectionError as error:
            text = repr(error)
        record.write(f"{who}: {text}")
        return text

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    entries = [rig.host_entry("s1", server.sockets[0].getsockname()[:2])]
    loop = asyncio.get_running_loop()
    async with rig.world(FOLDER, entries, record) as (agent, limiter):
        document = {
            "name": "n0",
            "listen": "{}:{}".format(*address),
            "discovery": "{}:{}".format(*agent.address),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": agent.registry.list_at(agent.version),
            "settings": rig.settings(),
        }
        old, new = Process(limiter.folder, "old", record), Process(limiter.folder, "new", record)
        ending: asyncio.Task[None] | None = None
        socks: list[socket.socket] = []
        try:
            await old.start(document)
            if rig.TROUBLE:
                starting = asyncio.create_task(new.start({**document, "seed": "1f30d27a5be9648c"}))
                # The bad clients begin their requests just before the upgrade and are slow.
                await asyncio.sleep(0)
            bad: list[tuple[socket.socket, bytes]] = []
            for number in range(1, PAIRS + 1):
                sock, data = await rig.connect(address), message(number, 0x2000)
                socks.append(sock)
                begun = data.index(b"Req-Id")
                await loop.sock_sendall(sock, data[:begun])
                bad.append((sock, data[begun:]))
            record.write("bad clients: their requests are written up to the id, and not further")
            if rig.TROUBLE:
                await starting
                ending = asyncio.create_task(old.terminate())
            await asyncio.sleep(0.1)
            good: list[socket.socket] = []
            for number in range(1, PAIRS + 1):
                sock = await rig.connect(address)
                socks.append(sock)
                good.append(sock)
                await loop.sock_sendall(sock, message(number, 0x1000))
                record.write(f"client {number:016x}: sent")
            await asyncio.sleep(0.2)
            for number, (sock, rest) in enumerate(bad, start=1):
                await loop.sock_sendall(sock, rest)
                record.write(f"bad client: the rest of a request with the id {number:016x} is written")
            answers = await asyncio.gather(
                *(answer(sock, f"client {n:016x}") for n, sock in enumerate(good, start=1)),
                *(
                    answer(sock, f"bad client with the id {n:016x}")
                    for n, (sock, _) in enumerate(bad, start=1)
                ),
            )
            if ending:
                await ending
        finally:
            for sock in socks:
                sock.close()
            if ending:
                ending.cancel()
            await old.end()
            await new.end()
            server.close()
    if not ran:
        raise rig.CouldNotRunError("no request reached the server")
    breaks = [f"{ident}, which must never run twice, ran {n} times" for ident, n in ran.items() if n > 1]
    breaks += [
        f"a bad client with the id {n:016x} was served"
        for n, text in enumerate(answers[PAIRS:], start=1)
        if text.startswith("HTTP/1.1 200")
    ]
    return breaks


rig.main(case, FOLDER)
