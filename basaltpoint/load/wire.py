"""Requests on the wire: kept HTTP/1.1 connections, one request at a time on each."""

from __future__ import annotations

import asyncio
import errno
import hashlib
from collections import deque
from collections.abc import Callable
from typing import cast

import httptools

from basaltpoint.load.arrivals import Planned
from basaltpoint.load.driver import Try
from basaltpoint.load.scenario import ClassTable, Form, Scenario


class Wording:
    """How a try is written, by the scenario's form."""

    def __init__(self, scenario: Scenario, run: str) -> None:
        self._scenario = scenario
        self._classes = {cls.name: cls for cls in scenario.class_}
        self._spread = {plan.name: plan.spread for plan in scenario.plan}
        self._run = run  # goes into ids, so that two runs against one server differ

    def ident(self, one: Try) -> str:
        """The try's id on the wire and in the ledger."""
        return f"{self._run}-{one.planned.number}-{one.number}"

    def message(self, one: Try, now_s: float) -> bytes:
        planned, cls = one.planned, self._classes[one.planned.cls]
        rows = [f"{planned.method} {planned.path} HTTP/1.1"]
        if self._scenario.form is Form.PLATFORM:
            rows += self._platform(one, cls, now_s)
        else:
            rows += ["Host: load", f"{self._scenario.key_header}: {planned.account}"]
            rows.append(f"{self._scenario.id_header}: {self.ident(one)}")
        if cls.key_header:
            rows.append(f"{cls.key_header}: {self._run}-{planned.number}")
        if planned.body_bytes or planned.method in ("POST", "PUT", "PATCH"):
            rows.append(f"Content-Length: {planned.body_bytes}")
        return "\r\n".join([*rows, "", ""]).encode() + b"x" * planned.body_bytes

    def _platform(self, one: Try, cls: ClassTable, now_s: float) -> list[str]:
        planned = one.planned
        spread = self._spread.get(planned.plan, 1)
        return [
            "Host: backend.local",
            f"Req-Id: {self.ident(one)}",
            f"Req-Kind: {planned.cls}",
            f"X-Tier: {planned.plan}",
            f"X-Api-Key: {customer(planned):016x}",
            f"Req-Deadline: {max(0.001, one.give_up_s - now_s):.3f}",
            f"X-Call-Terms: units={cls.units},spread={spread},first=0",
        ]


def customer(planned: Planned) -> int:
    """A number below 2**33 for an account's name, as the platform's form wants it."""
    return int.from_bytes(hashlib.blake2b(planned.account.encode(), digest_size=8).digest()) % (1 << 33)


class Link(asyncio.Protocol):
    """One connection."""

    def __init__(self, links: Links) -> None:
        self._links = links
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._retry_after: float | None = None
        self._head_only = False
        self._begun = False  # some of the answer has come
        self.ident: int | None = None  # of the try that is out on it
        self.label = ""  # that of the last try, as the ledger has it
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, ident: int, label: str, raw: bytes, head_only: bool) -> None:
        assert self._transport
        self.label = label
        self.ident, self._retry_after, self._head_only = ident, None, head_only
        self._begun = False
        self._transport.write(raw)

    def abort(self) -> None:
        self.closed = True
        self.ident = None
        if self._transport:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self._begun = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._broken()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            try:
                self._retry_after = max(0.0, float(value))
            except ValueError:
                self._retry_after = None

    def on_headers_complete(self) -> None:
        if self._head_only and self._parser.get_status_code() >= 200:
            self._whole(keep=False)  # the parser would wait for a body that never comes

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() >= 200 and not self._head_only:
            self._whole(self._parser.should_keep_alive())

    def _whole(self, keep: bool) -> None:
        ident, self.ident = self.ident, None
        code, after = self._parser.get_status_code(), self._retry_after
        if ident is None:
            self._links.on_stray(self.label)
            self.abort()
            return
        if keep:
            self._links.free.append(self)
        else:
            self.abort()
        self._links.on_answer(ident, code, after)

    def _broken(self) -> None:
        ident, self.ident = self.ident, None
        self.abort()
        if ident is not None:
            self._links.on_broken(ident, self._begun)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._links.lost(self)
        self._broken()
        del self._parser


class Links:
    """The connections of a worker to its targets, bounded; targets take new connections in turn."""

    def __init__(
        self,
        targets: list[tuple[str, int]],
        most: int,
        on_answer: Callable[[int, int, float | None], None],
        on_broken: Callable[[int, bool], None],
        on_stray: Callable[[str], None],
    ) -> None:
        self._targets = targets
        self._turn = 0
        self._most = most
        self.on_answer, self.on_broken, self.on_stray = on_answer, on_broken, on_stray
        self.free: deque[Link] = deque()
        self.open = 0
        self._links: set[Link] = set()

    def take(self) -> Link | None:
        """A connection that is free now."""
        while self.free:
            link = self.free.pop()
            if not link.closed:
                return link
        return None

    @property
    def full(self) -> bool:
        return self.open >= self._most

    async def connect(self) -> Link:
        """Another connection; OSError where there can be none."""
        self._turn += 1
        self.open += 1
        link = Link(self)
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: link, *self._targets[self._turn % len(self._targets)]
            )
        except BaseException:
            self.open -= 1
            raise
        if link.closed:  # lost before it was ours
            self.open -= 1
            raise ConnectionResetError(errno.ECONNRESET, "the connection broke at its start")
        self._links.add(link)
        return link

    def lost(self, link: Link) -> None:
        if link in self._links:
            self._links.discard(link)
            self.open -= 1

    def close(self) -> None:
        for link in list(self._links):
            link.abort()
