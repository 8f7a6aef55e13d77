"""A limiter on loopback, with scripted servers, a scripted discovery agent and raw clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import waiting
from waiting import until as until

from basaltpoint.config.settings import parse_settings
from basaltpoint.fronts.platform.clients import ClientConnections
from basaltpoint.fronts.platform.config import Config
from basaltpoint.fronts.platform.limiter import Limiter
from basaltpoint.membership.backoff import Backoff
from basaltpoint.membership.discovery import Watch
from basaltpoint.rehearsal.soak.processes import unique_loopback_address

TEST_TIMEOUT_S = 30.0  # only reached by a test that hangs

SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "me": 0,
    "zones": ["hall-a", "hall-b"],
    "services": [
        {"name": "read", "aimMs": 1e5, "hardLimitMs": 1e5, "effect": "idempotent"},
        {
            "name": "upload",
            "aimMs": 1e5,
            "hardLimitMs": 1e5,
            "effect": "deduplicated",
            "windowMs": 5000.0,
        },
        {"name": "fix", "aimMs": 1e5, "hardLimitMs": 1e5, "effect": "at_most_once"},
    ],
    "contracts": [{"name": "basic", "rate": 1000.0, "mostAtOnce": 2000.0}],
    "guarantees": {
        "coldFrom": 0.2,
        "coldMs": 10000.0,
        "tipMultiple": 2.0,
        "fallMs": 1000.0,
        "drainGraceMs": 250.0,
    },
    "ceilings": {
        "maxAttempts": 3,
        "cancel": True,
        "connectTimeoutMs": 250.0,
        "connIdleMs": 30000.0,
    },
    "specifics": {"mostUnits": 6},
    "report": {"fields": ["rif", "rate"], "how": "pull"},
}


run = partial(waiting.run, timeout_s=TEST_TIMEOUT_S)


# --- Servers --------------------------------------------------------------------------------------
@dataclass(slots=True)
class Request:
    """A request that a server received, and the connection for the response."""

    line: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    connection: int
    ended: asyncio.Event  # the limiter has closed the connection

    def reply(self, status: str = "200 OK", body: bytes = b"", *headers: str) -> None:
        head = "\r\n".join([f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers, "", ""])
        self.writer.write(head.encode() + body)

    def reset(self) -> None:
        self.writer.transport.abort()

    async def closed(self) -> None:
        await self.ended.wait()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *rows = head.rstrip("\r\n").split("\r\n")
    headers = {name.lower(): value for name, value in (row.split(": ", 1) for row in rows)}
    return line, headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def echo(request: Request) -> None:
    request.reply(body=request.headers["req-id"].encode())


Script = Callable[[Request], Awaitable[None]]


@dataclass
class Backend:
    """A server that runs its script for each request; without a script the test responds itself."""

    script: Script | None = None
    requests: list[Request] = field(default_factory=list)
    arrived: asyncio.Queue[Request] = field(default_factory=asyncio.Queue)
    connections: int = 0
    address: str = ""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number, ended = self.connections, asyncio.Event()
        try:
            while True:
                request = Request(*await read_message(reader), writer, number, ended)
                self.requests.append(request)
                self.arrived.put_nowait(request)
                if self.script is not None:
                    await self.script(request)
        except (asyncio.IncompleteReadError, ConnectionError):
            ended.set()


@contextlib.asynccontextmanager
async def backend(script: Script | None = None) -> AsyncIterator[Backend]:
    made = Backend(script)
    server = await asyncio.start_server(made._serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    made.address = f"{host}:{port}"
    try:
        yield made
    finally:
        server.close()


def unused_address() -> str:
    """Returns an address that refuses connections, on a loopback host that only this process uses.

    On 127.0.0.1 a test that runs at the same time could be given the port.
    """
    return unique_loopback_address(0)


# --- Discovery ------------------------------------------------------------------------------------
def host(name: str, dial: str, health: str = "active", born_ms: float = 0) -> dict[str, Any]:
    return {
        "host": name,
        "dial": dial,
        "site": "hall-a",
        "class": "m2",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


def listing(seq: int, *hosts: dict[str, Any], whole: bool = True) -> dict[str, Any]:
    return {"seq": seq, "whole": whole, "hosts": list(hosts)}


class Agent:
    """Discovery's agent: `watches` holds the query of each watch, `send` writes to the latest."""

    def __init__(self) -> None:
        self.watches: asyncio.Queue[str] = asyncio.Queue()
        self.address = ("", 0)
        self._writer: asyncio.StreamWriter | None = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line, _, _ = await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._writer = writer
        self.watches.put_nowait(line.split(" ")[1])

    def send(self, line: bytes | dict[str, Any]) -> None:
        assert self._writer
        raw = line if isinstance(line, bytes) else json.dumps(line).encode() + b"\n"
        self._writer.write(b"%x\r\n%s\r\n" % (len(raw), raw))

    def cut(self) -> None:
        assert self._writer
        self._writer.transport.abort()


@contextlib.asynccontextmanager
async def agent() -> AsyncIterator[Agent]:
    made = Agent()
    server = await asyncio.start_server(made._serve, "127.0.0.1", 0)
    made.address = server.sockets[0].getsockname()
    try:
        yield made
    finally:
        server.close()


# --- The limiter and its clients ------------------------------------------------------------------
def config(*hosts: dict[str, Any], discovery: tuple[str, int] = ("127.0.0.1", 1), **changes: Any) -> Config:
    raw = {**SETTINGS, **changes.pop("settings", {})}
    values: dict[str, Any] = {
        "name": "n0",
        "listen": ("127.0.0.1", 0),
        "discovery": discovery,
        "control": None,
        "socket_fd": None,
        "seed": 1,
        "sockets": 1024,
        "body_bytes": 1 << 24,
        "max_open": 1000,
        "settings": parse_settings(json.dumps(raw).encode()),
        "zones": ("hall-a", "hall-b"),
        "connect_s": 0.25,
        "idle_s": 30.0,
        "max_reuse_idle_s": 0.05,
        "min_reuse_idle_s": 0.0,  # most tests reuse a connection immediately
        "known": listing(1, *hosts),
    }
    return Config(**{**values, **changes})


def document(listen: str, *hosts: dict[str, Any]) -> dict[str, Any]:
    """Returns the configuration file's content; its discovery refuses connections."""
    return {
        "name": "n3",
        "listen": listen,
        "discovery": unused_address(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": listing(1, *hosts),
        "settings": SETTINGS,
    }


class Rig:
    def __init__(self, made: Config) -> None:
        self.limiter = Limiter(made)
        self.clients = ClientConnections(self.limiter, made.settings, made.listen, 100, made.body_bytes)
        self.watch = Watch(made.discovery, self.limiter.update_servers, Backoff(random.Random(1)))
        self.watch.seq = self.limiter.known_seq

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection(*self.clients.address))


@contextlib.asynccontextmanager
async def limiter(*hosts: dict[str, Any], watched: Agent | None = None, **changes: Any) -> AsyncIterator[Rig]:
    if watched:
        changes["discovery"] = watched.address
    rig = Rig(config(*hosts, **changes))
    rig.clients.listen()
    task = asyncio.create_task(rig.watch.run()) if watched else None
    try:
        yield rig
    finally:
        if task:
            task.cancel()
        rig.clients.stop_listening()
        rig.limiter.close()


@dataclass(slots=True)
class Answer:
    code: int
    headers: dict[str, str]
    body: bytes


def message(
    cls: str = "read", ident: str = "9b1f03aa5c7e2d41", body: bytes = b"", **changes: str | None
) -> bytes:
    """Returns a request as PROTOCOL defines it; `changes` names headers with _ for -, None omits one."""
    headers: dict[str, str | None] = {
        "Host": "backend.local",
        "Req-Id": ident,
        "Req-Kind": cls,
        "X-Tier": "basic",
        "X-Api-Key": "00000000b4d65521",
        "Req-Deadline": "90",  # longer than TEST_TIMEOUT_S: a test that waits for it fails
        "X-Call-Terms": "units=1,spread=3,first=1",
    }
    if cls == "upload":
        headers["Idempotency-Key"] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
    if cls != "read":
        headers["Content-Length"] = str(len(body))
    method = changes.pop("method", "GET" if cls == "read" else "POST")
    path = changes.pop("path", f"/{cls}/7?a=%20b")
    headers.update({name.replace("_", "-"): value for name, value in changes.items()})
    rows = [f"{name}: {value}" for name, value in headers.items() if value is not None]
    return "\r\n".join([f"{method} {path} HTTP/1.1", *rows, "", ""]).encode() + body


@dataclass(slots=True)
class Client:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, raw: bytes) -> None:
        self.writer.write(raw)

    async def answer(self) -> Answer:
        line, headers, body = await read_message(self.reader)
        return Answer(int(line.split(" ")[1]), headers, body)

    async def ask(self, raw: bytes) -> Answer:
        self.send(raw)
        return await self.answer()

    async def closed(self) -> None:
        assert await self.reader.read() == b""

    def close(self) -> None:
        self.writer.close()
