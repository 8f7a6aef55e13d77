"""Single requests to a member over a connection of their own: operators' commands, and checks of a name."""

from __future__ import annotations

import asyncio
from typing import Any, TypeVar

from basaltpoint.config.fleets import FleetSettings
from basaltpoint.links.frames import PROTOCOL_VERSION, Frame, Greeting
from basaltpoint.links.transport import Link, Tls, connect
from basaltpoint.peers import messages as m

RESPONSE_TIMEOUT_S = 3.0

T = TypeVar("T")


class _Query:
    """Sends one request and waits for one response of the expected type."""

    def __init__(self, request: Frame, response_type: type[Any]) -> None:
        self._request, self._response_type = request, response_type
        self.response: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

    def greeting_received(self, link: Link) -> bool:
        return link.send(self._request)

    def frame_received(self, link: Link, frame: Any) -> None:
        if isinstance(frame, self._response_type) and not self.response.done():
            self.response.set_result(frame)

    def link_closed(self, link: Link) -> None:
        if not self.response.done():
            self.response.set_exception(ConnectionResetError(link.close_reason or "it closed the connection"))
            self.response.exception()  # marks it as retrieved: after a timeout nobody awaits it


async def query_member(
    tls: Tls | None,
    greeting: Greeting,
    name: str,
    address: str,
    request: Frame,
    response_type: type[T],
    within_s: float = RESPONSE_TIMEOUT_S,
) -> T:
    """Sends a request to the member `name` and returns its response; OSError, TimeoutError."""
    query = _Query(request, response_type)
    link = await connect(
        lambda: Link(query, greeting, False, m.PEER_PROTOCOL, tls is None), address, name, tls
    )
    try:
        async with asyncio.timeout(within_s):
            response: T = await query.response
            return response
    finally:
        link.close()


async def query_view(setting: FleetSettings, name: str, address: str) -> m.ViewResponse:
    """Returns a member's view of the fleet; OSError, TimeoutError if it does not respond."""
    greeting = Greeting(PROTOCOL_VERSION, setting.cluster)
    return await query_member(
        Tls.from_files(setting.tls_files), greeting, name, address, m.ViewRequest((), 1), m.ViewResponse
    )


async def request_removal(setting: FleetSettings, name: str, force: bool) -> str:
    """Has the member of this file declare `name` permanently removed.

    Returns why it refuses, or "". OSError, TimeoutError if it does not respond.
    """
    greeting, request = Greeting(PROTOCOL_VERSION, setting.cluster), m.RemoveRequest((), 1, name, force)
    tls = Tls.from_files(setting.tls_files)
    return (
        await query_member(tls, greeting, setting.name, setting.address, request, m.RemoveResponse)
    ).problem
