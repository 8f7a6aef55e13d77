"""A client of the store: one connection to any replica, another where it fails, each command applied once."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Sequence
from contextlib import aclosing
from dataclasses import dataclass
from functools import partial
from typing import Any

from basaltpoint.links.frames import PROTOCOL_VERSION, Frame, Greeting
from basaltpoint.links.transport import GREETING_TIMEOUT_S, Link, Tls, connect
from basaltpoint.store import protocol as p
from basaltpoint.store import state_machine as kv
from basaltpoint.store.state_machine import Check, CompactedError, Delete, Event, Put, Result, Value

log = logging.getLogger(__name__)

ANSWER_S = 3.0  # for one answer; then another replica is asked the same
# While anything waits, a replica is asked this often whether it is there: one that stands still keeps its
# connections, and looks like one that is slow. Smaller costs messages, larger adds to each such fault.
LOOK_S = 0.2
SILENT_S = 0.5  # with nothing heard for so long, another is asked; doubled with each round that heard nothing
CONNECT_S = (
    0.5,
    GREETING_TIMEOUT_S,
)  # for a connection, at first and at most: doubled with each round of all replicas
AGAIN_S = (0.02, 0.1)  # first and longest wait between two tries: a new leader is there within a second


class StoreError(Exception):
    """A request that the store does not grant; `error` is its kind, as in machine.Result."""

    def __init__(self, error: str, text: str) -> None:
        self.error = error
        super().__init__(text or error)


class UnavailableError(StoreError):
    """No replica could answer in time: whether a command takes effect yet is not known."""

    def __init__(self, text: str) -> None:
        super().__init__("unavailable", text)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A replica: HOST:PORT and the name that its certificate holds, or the path of its socket."""

    address: str
    name: str = ""


class Client:
    """To be used by one loop; commands of one client go one after the other."""

    def __init__(self, endpoints: Sequence[Endpoint], cluster: str = "", tls: Tls | None = None) -> None:
        self._endpoints = list(endpoints)
        self._cluster, self._tls = cluster, tls
        self._link: Link | None = None
        self._waits: dict[int, Callable[[Any], None]] = {}
        self._ident = 0
        self._at = -1  # the first is asked first
        self._connecting = asyncio.Lock()  # bound to the loop of its first use
        self._ordered = asyncio.Lock()
        self._heard = 0.0  # loop time of the last frame over the connection
        self._looking: asyncio.Task[None] | None = None
        self._failed = 0  # connections in a row that did not come up
        self._quiet = 0  # and of those that did, how many said nothing
        self._session = self._number = 0
        self.revision = 0  # of the latest answer

    # --- Connection ---------------------------------------------------------------------------
    def greeting_received(self, link: Link) -> bool:
        return True

    def frame_received(self, link: Link, frame: p.AnyFrame) -> None:
        self._heard, self._quiet = asyncio.get_running_loop().time(), 0
        if link is self._link and (wait := self._waits.get(getattr(frame, "ident", 0))):
            wait(frame)

    def link_closed(self, link: Link) -> None:
        if link is self._link:
            self._link = None
            waits, self._waits = self._waits, {}
            for wait in waits.values():
                wait(None)

    async def _connected(self) -> Link:
        """The connection, a new one where there is none. OSError, TimeoutError."""
        async with self._connecting:
            if self._link is not None:
                return self._link
            self._at = (self._at + 1) % len(self._endpoints)
            to = self._endpoints[self._at]
            greeting = Greeting(PROTOCOL_VERSION, self._cluster)
            local = "/" in to.address
            least, most = CONNECT_S
            bound = min(most, least * 2 ** (self._failed // len(self._endpoints)))
            self._failed += 1
            async with asyncio.timeout(bound):
                link = await connect(
                    lambda: Link(self, greeting, local, p.STORE_PROTOCOL, self._tls is None),
                    to.address,
                    to.name,
                    self._tls,
                )
            self._failed = 0
            self._link = link
            self._heard = asyncio.get_running_loop().time()
            return link

    def _look(self) -> None:
        """Look after the replica that is asked, for as long as anything waits for it."""
        if self._looking is None or self._looking.done():
            self._looking = asyncio.get_running_loop().create_task(self._look_on())

    async def _look_on(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waits and (link := self._link) is not None:
            asked = loop.time()
            if self._heard < asked - LOOK_S:
                link.send(p.GetStatus(0))  # answered once the replica is current: a sign of life, and no more
            await asyncio.sleep(LOOK_S)
            # What this process slept through is no silence of the other's: it is asked first.
            late = loop.time() - asked > 2 * LOOK_S
            if late:
                self._heard = loop.time()
                continue
            bound = min(ANSWER_S, SILENT_S * 2 ** (self._quiet // len(self._endpoints)))
            if len(self._endpoints) > 1 and link is self._link and loop.time() - self._heard > bound:
                self._quiet += 1
                log.info("store: the replica that was asked keeps silent; another is asked")
                link.close()

    def drop(self) -> None:
        """Go to another replica at the next request."""
        if self._link:
            self._link.close()

    def close(self) -> None:
        if self._looking:
            self._looking.cancel()
        self.drop()

    async def _once(self, make: Callable[[int], Frame], answer_s: float) -> Any:
        """One try; None where it failed."""
        try:
            link = await self._connected()
        except (OSError, TimeoutError):
            return None
        self._ident += 1
        ident, done = self._ident, asyncio.get_running_loop().create_future()
        self._waits[ident] = lambda frame: None if done.done() else done.set_result(frame)
        self._look()
        try:
            if not link.send(make(ident)):
                link.close()
                return None
            async with asyncio.timeout(answer_s):
                return await done
        except TimeoutError:
            link.close()  # it hangs, or lost the answer: the next one is another's
            return None
        finally:
            self._waits.pop(ident, None)

    async def _ask(self, make: Callable[[int], Frame], good: Callable[[Any], bool], within_s: float) -> Any:
        """Ask until a good answer comes; UnavailableError after `within_s`."""
        loop = asyncio.get_running_loop()
        end, (wait, longest) = loop.time() + within_s, AGAIN_S
        text = "no replica answers"
        while (left := end - loop.time()) > 0:
            frame = await self._once(make, min(ANSWER_S, left))
            if frame is not None and good(frame):
                return frame
            if isinstance(frame, p.CommandResponse):
                text = frame.result.text
                self.drop()
            elif frame is not None:
                text = "the replicas have no leader"
                self.drop()
            await asyncio.sleep(min(wait * random.uniform(0.5, 1), max(0.0, end - loop.time())))
            wait = min(longest, wait * 2)
        raise UnavailableError(f"{text}; tried for {within_s:g} s")

    # --- Commands ---------------------------------------------------------------------------
    async def do(self, action: kv.Action, within_s: float = 10.0) -> Result:
        """Have a command applied, once. StoreError tells what is refused; UnavailableError: not known."""
        async with self._ordered:
            if not self._session:
                self._session, self._number = (await self._command(kv.OpenSession(), 0, 0, within_s)).ident, 0
            self._number += 1
            result = await self._command(action, self._session, self._number, within_s)
        if result.error == "session":
            self._session = 0
            raise UnavailableError(result.text)
        if result.error:
            raise StoreError(result.error, result.text)
        return result

    async def _command(self, action: kv.Action, session: int, number: int, within_s: float) -> Result:
        command = kv.Command(action, session, number)

        def good(frame: Any) -> bool:
            return isinstance(frame, p.CommandResponse) and frame.result.error not in (
                "unavailable",
                "unknown",
            )

        frame = await self._ask(lambda ident: p.ExecuteCommand(ident, command), good, within_s)
        result: Result = frame.result
        self.revision = max(self.revision, result.revision)
        return result

    async def txn(
        self, ops: Sequence[Put | Delete], checks: Sequence[Check] = (), within_s: float = 10.0
    ) -> Result:
        """Where all checks hold, all operations together; StoreError `check` where one does not."""
        return await self.do(kv.Transaction(tuple(checks), tuple(ops)), within_s)

    async def put(self, key: str, value: bytes, lease: int = 0, within_s: float = 10.0) -> Result:
        return await self.txn([Put(key, value, lease)], within_s=within_s)

    async def delete(self, key: str, prefix: bool = False, within_s: float = 10.0) -> Result:
        return await self.txn([Delete(key, prefix)], within_s=within_s)

    async def grant(self, ttl_ms: int, within_s: float = 10.0) -> int:
        return (await self.do(kv.GrantLease(ttl_ms), within_s)).ident

    async def renew(self, lease: int, within_s: float = 10.0) -> None:
        """StoreError `lease` where it has ended."""
        await self.do(kv.RenewLease(lease), within_s)

    # --- Reads ---------------------------------------------------------------------------
    async def range(
        self, prefix: str, *, local: bool = False, exact: bool = False, within_s: float = 10.0
    ) -> tuple[dict[str, Value], int]:
        """All under a prefix, and the revision that it is of at least; a watch goes on from the next.

        `local`: what the replica has, which may be old. Changes between two pages show in the watch.
        """
        found: dict[str, Value] = {}
        after, revision = "", 0
        while True:
            page = await self._page(p.Get(0, prefix, after, local, exact), within_s)
            found.update(page.values)
            revision = revision or page.revision
            if not page.more:
                self.revision = max(self.revision, page.revision)
                return found, revision
            after = list(page.values)[-1]

    async def _page(self, get: p.Get, within_s: float) -> p.Page:
        def make(ident: int) -> Frame:
            return p.Get(ident, get.prefix, get.after, get.local, get.exact)

        page: p.Page = await self._ask(make, lambda f: isinstance(f, p.Page) and not f.error, within_s)
        return page

    async def get(self, key: str, *, local: bool = False, within_s: float = 10.0) -> Value | None:
        return (await self.range(key, local=local, exact=True, within_s=within_s))[0].get(key)

    async def watch(self, prefix: str, revision: int) -> AsyncIterator[tuple[list[Event], int]]:
        """Changes from a revision on, with the revision up to which they are all; for ever, over any replica.

        CompactedError where some are not held any more: read all anew, and watch from there.
        """
        told = revision - 1
        wait, longest = AGAIN_S
        while True:
            async with aclosing(self._follow(prefix, told + 1)) as frames:
                async for frame in frames:
                    wait = AGAIN_S[0]
                    if frame.compacted:
                        raise CompactedError(frame.compacted)
                    # A replica that is behind tells an older revision; what was told stays told.
                    events = [event for event in frame.events if event.revision > told]
                    told = max(told, frame.revision)
                    if events or frame.revision >= told:
                        yield events, told
            await asyncio.sleep(wait)
            wait = min(longest, wait * 2)

    async def _follow(self, prefix: str, revision: int) -> AsyncGenerator[p.WatchEvents, None]:
        """One watch of one connection, to its end."""
        try:
            link = await self._connected()
        except (OSError, TimeoutError):
            return
        self._ident += 1
        ident = self._ident
        frames: asyncio.Queue[Any] = asyncio.Queue()
        self._waits[ident] = frames.put_nowait
        self._look()
        link.send(p.Watch(ident, prefix, revision))
        try:
            while (frame := await frames.get()) is not None:
                yield frame
        finally:
            self._waits.pop(ident, None)
            link.send(p.CancelWatch(ident))

    # --- Operators' ---------------------------------------------------------------------------
    async def status(self, within_s: float = 5.0) -> p.ReplicaStatus:
        """How the replica stands that is asked."""
        found: p.ReplicaStatus = await self._ask(
            p.GetStatus, lambda f: isinstance(f, p.ReplicaStatus), within_s
        )
        return found

    async def dump(self, within_s: float = 30.0) -> bytes:
        """The whole state, current: what `restore` makes a cluster of."""
        data, total = b"", -1
        while len(data) != total:
            offset = len(data)
            part = await self._ask(partial(p.DumpState, offset=offset), _dumped, within_s)
            if offset and part.total_bytes != total:  # another replica, or another state: begin anew
                data, total = b"", -1
                continue
            data, total = data + part.data, part.total_bytes
        return data

    async def change(self, what: str, name: str, address: str = "", within_s: float = 10.0) -> Result:
        """Add a learner, promote it to a voter, remove a member. StoreError says what stands against it.

        Asked again where its effect is not known; done where the membership is as asked for by then.
        """

        def reached(standing: p.ReplicaStatus) -> bool:
            member = standing.membership.find(name)
            match what:
                case "add":
                    return member is not None and member.address == address
                case "promote":
                    return member is not None and member.voter
                case _:
                    return member is None

        return await self._operate(
            lambda ident: p.ChangeMembership(ident, what, name, address), reached, within_s
        )

    async def transfer(self, name: str, within_s: float = 10.0) -> Result:
        """Hand the leadership to a voter; asked again where its effect is not known."""
        return await self._operate(lambda ident: p.TransferLeadership(ident, name), _never, within_s)

    async def snapshot(self, within_s: float = 10.0) -> Result:
        """Have the replica that is asked compact its log."""
        return await self._operate(p.TakeSnapshot, _never, within_s)

    async def _operate(
        self, make: Callable[[int], Frame], reached: Callable[[p.ReplicaStatus], bool], within_s: float
    ) -> Result:
        """Have an operation carried out; StoreError where it is refused and `reached` finds it undone."""
        end = asyncio.get_running_loop().time() + within_s
        in_doubt = 0  # tries that may have taken effect: all but those told that nothing was begun

        def counted(ident: int) -> Frame:
            nonlocal in_doubt
            in_doubt += 1
            return make(ident)

        def final(frame: Any) -> bool:
            nonlocal in_doubt
            if not isinstance(frame, p.CommandResponse):
                return False
            in_doubt -= frame.result.error not in ("", "unknown")
            return frame.result.error not in ("unavailable", "unknown")

        result: Result = (await self._ask(counted, final, within_s)).result
        if not result.error:
            return result
        left = end - asyncio.get_running_loop().time()
        if in_doubt and left > 0 and reached(await self._current_standing(left)):
            return Result(result.revision)
        raise StoreError(result.error, result.text)

    async def _current_standing(self, within_s: float) -> p.ReplicaStatus:
        """How a replica stands that has applied all that was committed when this was called."""
        end = asyncio.get_running_loop().time() + within_s
        while True:
            left = end - asyncio.get_running_loop().time()
            await self._page(p.Get(0, "", "", False, True), left)  # answered once the replica is current
            proven = self._link
            standing = await self.status(left)
            if proven is not None and self._link is proven:
                return standing


def _never(standing: p.ReplicaStatus) -> bool:
    """For operations that may be repeated: a refusal says all."""
    return False


def _dumped(frame: Any) -> bool:
    return isinstance(frame, p.DumpChunk) and not frame.error
