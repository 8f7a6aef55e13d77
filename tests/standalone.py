"""A standalone limiter on loopback, with a configuration file written by the test."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from sockets import Client

from basaltpoint.daemon.standalone import Standalone

KEY = "a-key-of-the-tests"
KEY_DIGEST = "sha256:" + hashlib.sha256(KEY.encode()).hexdigest()

# The deadlines are longer than the tests' timeouts, so that a test that waits for one of them fails.
CLASSES = """
[[class]]
name = "read"
effect = "safe"
aim_ms = 90000
deadline_ms = 90000

[[class]]
name = "upload"
effect = "keyed"
window_ms = 60000
aim_ms = 90000
deadline_ms = 90000

[[class]]
name = "fix"
effect = "unsafe"
aim_ms = 90000
deadline_ms = 90000
"""


def config(
    *servers: str,
    routes: str = "",
    extra: str = "",
    pools: dict[str, list[int]] | None = None,
    rate: str = "rate = 1000\nburst = 1000",
    drain: tuple[int, ...] = (),
    classes: str = CLASSES,
    top: str = "",
) -> str:
    """Returns a configuration: plan `p` with one account, the classes above, servers and pools."""
    parts = [f'listen = "127.0.0.1:0"\n{top}\n{extra}\n[[plan]]\nname = "p"\n{rate}\n']
    parts.append(f'[[account]]\nname = "one"\nplan = "p"\nkeys = ["{KEY_DIGEST}"]\n{classes}')
    for number, address in enumerate(servers):
        drained = "true" if number in drain else "false"
        parts.append(f'[[server]]\nname = "s{number}"\naddress = "{address}"\ndrain = {drained}\n')
    for name, members in (pools or {"main": list(range(len(servers)))}).items():
        named = ", ".join(f'"s{number}"' for number in members)
        parts.append(f'[[pool]]\nname = "{name}"\nservers = [{named}]\n')
    parts.append(routes or ROUTES)
    return "\n".join(parts)


ROUTES = """
[[route]]
name = "read"
pool = "main"
class = "read"
methods = ["GET", "HEAD", "DELETE", "OPTIONS"]

[[route]]
name = "fix"
pool = "main"
class = "fix"
methods = ["POST", "PATCH"]

[[route]]
name = "upload"
pool = "main"
class = "upload"
methods = ["PUT"]
"""


class StandaloneFixture:
    """The limiter, its configuration file and a way to connect."""

    def __init__(self, limiter: Standalone, path: Path) -> None:
        self.limiter = limiter
        self.path = path

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection(*self.limiter.address))

    def reload(self, text: str) -> bool:
        self.path.write_text(text)
        return self.limiter.reload()

    @property
    def is_idle(self) -> bool:
        """Whether no state of any request is left."""
        relay = self.limiter.relay
        pools = relay.decision_module.pools.values()
        left = relay.table.requests or relay._exchanges or relay._attempts or relay.decision_module.requests
        return (
            not left and not relay._reserved_bytes and all(pool.lane_outstanding == [0, 0] for pool in pools)
        )


@contextlib.asynccontextmanager
async def standalone(tmp_path: Path, text: str) -> AsyncIterator[StandaloneFixture]:
    path = tmp_path / "limiter.toml"
    path.write_text(text)
    limiter = Standalone(path, seed=1)
    await limiter.start()
    try:
        yield StandaloneFixture(limiter, path)
    finally:
        await limiter.close()


def request(
    method: str = "GET", path: str = "/a", body: bytes = b"", version: str = "1.1", **headers: str | None
) -> bytes:
    """A request; header names have _ for -, and the value None omits a header."""
    fields: dict[str, str | None] = {"Host": "api.test", "X-Api-Key": KEY}
    if body or method in ("POST", "PUT", "PATCH"):
        fields["Content-Length"] = str(len(body))
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    rows = [f"{name}: {value}" for name, value in fields.items() if value is not None]
    return "\r\n".join([f"{method} {path} HTTP/{version}", *rows, "", ""]).encode() + body


async def read_head(client: Client) -> tuple[int, dict[str, str]]:
    raw = (await client.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rows = raw.rstrip("\r\n").split("\r\n")
    headers: dict[str, Any] = {name.lower(): value for name, value in (row.split(": ", 1) for row in rows)}
    return int(line.split(" ")[1]), headers
