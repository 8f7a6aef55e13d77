"""One question to a member over a connection of its own: what operators ask, and what one asks a namesake."""

from __future__ import annotations

import asyncio
from typing import Any, TypeVar

from basaltpoint.config.fleets import FleetSettings
from basaltpoint.links.frames import PROTOCOL_VERSION, Frame, Greeting
from basaltpoint.links.transport import Link, Tls, connect
from basaltpoint.peers import messages as m

RESPONSE_TIMEOUT_S = 3.0

T = TypeVar("T")


class _Question:
    """One frame sent, one answer."""

    def __init__(self, part: Frame, kind: type[Any]) -> None:
        self._part, self._kind = part, kind
        self.answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

    def greeting_received(self, link: Link) -> bool:
        return link.send(self._part)

    def frame_received(self, link: Link, frame: Any) -> None:
        if isinstance(frame, self._kind) and not self.answer.done():
            self.answer.set_result(frame)

    def link_closed(self, link: Link) -> None:
        if not self.answer.done():
            self.answer.set_exception(ConnectionResetError(link.close_reason or "it ended the connection"))
            self.answer.exception()  # read by whoever waits, or by nobody


async def query_member(
    tls: Tls | None,
    greeting: Greeting,
    name: str,
    address: str,
    part: Frame,
    kind: type[T],
    within_s: float = RESPONSE_TIMEOUT_S,
) -> T:
    """Ask the member `name`; OSError, TimeoutError where no answer of the kind comes."""
    asked = _Question(part, kind)
    link = await connect(
        lambda: Link(asked, greeting, False, m.PEER_PROTOCOL, tls is None), address, name, tls
    )
    try:
        async with asyncio.timeout(within_s):
            answer: T = await asked.answer
            return answer
    finally:
        link.close()


async def query_view(setting: FleetSettings, name: str, address: str) -> m.ViewResponse:
    """A member's view; OSError, TimeoutError where it does not answer."""
    greeting = Greeting(PROTOCOL_VERSION, setting.cluster)
    return await query_member(
        Tls.from_files(setting.tls_files), greeting, name, address, m.ViewRequest((), 1), m.ViewResponse
    )


async def request_removal(setting: FleetSettings, gone: str, force: bool) -> str:
    """Have this file's member declare another gone for good; the reason why not, or nothing."""
    greeting, part = Greeting(PROTOCOL_VERSION, setting.cluster), m.RemoveRequest((), 1, gone, force)
    tls = Tls.from_files(setting.tls_files)
    return (await query_member(tls, greeting, setting.name, setting.address, part, m.RemoveResponse)).problem
