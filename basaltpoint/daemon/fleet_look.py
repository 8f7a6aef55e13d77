"""What operators ask of members: their views, and the removal of one that is gone."""

from __future__ import annotations

import asyncio
from typing import Any

from basaltpoint.links.frames import VERSION, Greeting, Part
from basaltpoint.links.transport import Link, Tls, connect
from basaltpoint.peers import messages as m

ANSWER_S = 3.0


class _Question:
    """One frame sent, one answer."""

    def __init__(self, part: Part) -> None:
        self._part = part
        self.answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

    def greeted(self, link: Link) -> bool:
        return link.send(self._part)

    def came(self, link: Link, frame: Any) -> None:
        if isinstance(frame, m.Looked | m.Removed) and not self.answer.done():
            self.answer.set_result(frame)

    def lost(self, link: Link) -> None:
        if not self.answer.done():
            self.answer.set_exception(ConnectionResetError(link.why or "it ended the connection"))
            self.answer.exception()  # read by whoever waits, or by nobody


async def _ask(address: str, name: str, cluster: str, tls: Tls | None, part: Part) -> Any:
    asked = _Question(part)
    link = await connect(
        lambda: Link(asked, Greeting(VERSION, cluster), False, m.PEERS, tls is None), address, name, tls
    )
    try:
        async with asyncio.timeout(ANSWER_S):
            return await asked.answer
    finally:
        link.close()


async def look(address: str, name: str, cluster: str, tls: Tls | None) -> m.Looked:
    """A member's view; OSError, TimeoutError where it does not answer."""
    looked: m.Looked = await _ask(address, name, cluster, tls, m.Look((), 1))
    return looked


async def remove(address: str, name: str, cluster: str, tls: Tls | None, gone: str, force: bool) -> str:
    """Have a member declare another gone for good; the reason why not, or nothing."""
    removed: m.Removed = await _ask(address, name, cluster, tls, m.Remove((), 1, gone, force))
    return removed.problem
