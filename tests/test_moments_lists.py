"""Lists in rare situations: indented, in pieces, truncated. Each order of events is forced."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest
from sockets import Agent, agent, host, limiter, listing, run, until

from basaltpoint.membership import discovery
from basaltpoint.membership.backoff import Backoff
from basaltpoint.membership.json_stream import MAX_OBJECT_BYTES, JsonObjectStream, MalformedStreamError

OBJECT = listing(7, host('a"}{\\', "127.0.0.1:1"), host("b\n{", "127.0.0.1:2", "leaving"))
FORMS = {
    "one line": json.dumps(OBJECT).encode() + b"\n",
    "indented": json.dumps(OBJECT, indent=2).encode() + b"\n",
    "indented by nothing": json.dumps(OBJECT, indent=0).encode() + b"\n",
    "tabs and CRLF": json.dumps(OBJECT, indent="\t").replace("\n", "\r\n").encode() + b"  \r\n",
    "no line end": json.dumps(OBJECT).encode(),
    "two on a line": json.dumps(OBJECT).encode() + b" " + json.dumps(OBJECT).encode() + b"\n",
    "two, one indented": json.dumps(OBJECT, indent=1).encode() + json.dumps(OBJECT).encode() + b"\n",
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("size", [1, 2, 3, 7, 64, 1 << 20])
def test_an_object_is_found_for_any_split(form: str, size: int) -> None:
    raw, objects, found = FORMS[form], JsonObjectStream(), list[Any]()
    for start in range(0, len(raw), size):
        found += objects.feed(raw[start : start + size])
    assert found == [OBJECT] * (2 if "two" in form else 1)
    assert list(objects.feed(b"\r\n \n")) == []
    assert not objects.has_partial_object


def test_random_splits_give_the_same_objects() -> None:
    """Random splits give the same objects; the seed identifies a failure."""
    raw = b"\n".join(FORMS.values())
    whole = list(JsonObjectStream().feed(raw))
    for seed in range(200):
        rng, objects, found, at = random.Random(seed), JsonObjectStream(), list[Any](), 0
        while at < len(raw):
            size = rng.randrange(1, 400)
            found += objects.feed(raw[at : at + size])
            at += size
        assert found == whole, f"seed {seed}"


@pytest.mark.parametrize("junk", [b"nonsense\n", b"[1]\n", b"}\n", b'"text"\n', b"\xff\n", b"{}]"])
def test_data_that_is_not_an_object_is_rejected(junk: bytes) -> None:
    with pytest.raises(ValueError, match="not an object"):
        list(JsonObjectStream().feed(b"\n" + junk))


def test_an_object_without_end_is_rejected() -> None:
    objects = JsonObjectStream()
    with pytest.raises(ValueError, match="over"):
        for _ in range(MAX_OBJECT_BYTES // 65536 + 2):
            list(objects.feed(b'{"a":"' + b"x" * 65530))


def test_a_truncated_list_before_another_is_detected() -> None:
    """For any truncation: the next list is never swallowed or taken for the rest of the first."""
    for form in ("indented", "one line"):
        for size in range(1, len(FORMS[form]) - 3):
            objects = JsonObjectStream()
            with pytest.raises(MalformedStreamError):
                list(objects.feed(FORMS[form][:size]))
                list(objects.feed(b"\n" + FORMS["one line"]))


def test_objects_before_invalid_data_are_returned() -> None:
    """Also if they arrive in one piece with the invalid data."""
    found = JsonObjectStream().feed(FORMS["indented"] + b"nonsense\n")
    assert next(found) == OBJECT
    with pytest.raises(MalformedStreamError, match="not an object"):
        next(found)


def test_parsing_is_linear_in_the_length() -> None:
    """Counted in scanned bytes: data in small chunks must not be scanned from the start each time."""
    hosts = [host(f"s-{n}", "127.0.0.1:1") for n in range(2000)]
    raw, objects = json.dumps(listing(1, *hosts), indent=1).encode(), JsonObjectStream()
    seen = 0
    for start in range(0, len(raw), 100):
        at = objects._scanned
        list(objects.feed(raw[start : start + 100]))
        seen += max(0, objects._scanned - at)
    assert seen <= len(raw)


def indented(host_list: dict[str, Any]) -> bytes:
    return json.dumps(host_list, indent=4).encode() + b"\n"


def send_in_pieces(watched: Agent, raw: bytes) -> None:
    for start in range(0, len(raw), 5):
        watched.send(raw[start : start + 5])


def test_indented_lists_are_read_after_a_start_a_reset_and_a_switch() -> None:
    async def test() -> None:
        async with agent() as old, agent() as new:
            async with limiter(host("a", "127.0.0.1:1"), watched=old) as rig:
                await old.watches.get()
                send_in_pieces(old, indented(listing(3, host("a", "127.0.0.1:1"), host("b", "127.0.0.1:2"))))
                await until(lambda: rig.watch.seq == 3)
                old.cut()
                assert await old.watches.get() == "/discovery/hosts?follow=1&since=3"
                old.send(indented(listing(4, host("b", "127.0.0.1:2", "leaving"), whole=False)))
                await until(lambda: rig.watch.seq == 4)
                rig.watch.set_address(new.address)
                await new.watches.get()
                send_in_pieces(new, indented(listing(2, host("c", "127.0.0.1:3"))))
                await until(lambda: rig.watch.seq == 2)
                assert set(rig.limiter.listed_servers.hosts) == {"c"}

    run(test())


def test_an_incomplete_list_is_requested_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Even if heartbeats keep arriving: a drain in the missing part would never be seen."""
    monkeypatch.setattr(discovery, "LIST_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with agent() as watched, limiter(host("a", "127.0.0.1:1"), watched=watched) as rig:
            await watched.watches.get()
            watched.send(indented(listing(2, host("a", "127.0.0.1:1", "leaving")))[:60])

            async def lines() -> None:
                while True:
                    watched.send(b"\n")
                    await asyncio.sleep(0.005)

            task = asyncio.create_task(lines())
            assert await watched.watches.get() == "/discovery/hosts?follow=1&since=1"
            task.cancel()
            watched.send(indented(listing(2, host("a", "127.0.0.1:1", "leaving"))))
            await until(lambda: rig.watch.seq == 2)

    run(test())


def test_a_watch_with_heartbeats_only_is_not_a_failure() -> None:
    """Interruptions without changes between them must not lengthen the delay before the next call."""

    async def test() -> None:
        waits: list[int] = []

        class RecordingBackoff(Backoff):
            def next_delay_s(self) -> float:
                waits.append(self._failures)
                return 0.0

        async with agent() as watched, limiter(host("a", "127.0.0.1:1"), watched=watched) as rig:
            rig.watch._backoff = RecordingBackoff(random.Random(1))
            await watched.watches.get()
            for _ in range(4):
                watched.send(b"\n")
                await until(lambda: rig.watch._backoff._failures == 0)
                watched.cut()
                await watched.watches.get()
            assert waits == [0] * 4

    run(test())


def test_a_status_other_than_200_ends_the_watch() -> None:
    """Whatever its body says, and at once: the body may have no end."""

    async def test() -> None:
        calls = asyncio.Queue[float]()

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            calls.put_nowait(time.monotonic())
            raw = indented(listing(9, host("z", "127.0.0.1:9")))
            writer.write(
                b"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(raw), raw)
            )

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        async with limiter(host("a", "127.0.0.1:1")) as rig:
            rig.watch._address = server.sockets[0].getsockname()
            task = asyncio.create_task(rig.watch.run())
            for _ in range(3):
                await calls.get()
            assert (rig.watch.seq, set(rig.limiter.listed_servers.hosts)) == (1, {"a"})
            task.cancel()
        server.close()

    run(test())


# --- Two watches at once ----------------------------------------------------------------------------------
class SilentAgent:
    """An agent that sends nothing by itself; a test answers each call."""

    def __init__(self) -> None:
        self.calls: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        self.disconnected: list[asyncio.StreamWriter] = []  # calls that the limiter has closed
        self.address = ("", 0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.calls.put_nowait(writer)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        self.disconnected.append(writer)

    def answer(self, call: asyncio.StreamWriter, host_list: dict[str, Any], status: str = "200 OK") -> None:
        head = f"HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        raw = json.dumps(host_list).encode() + b"\n"
        call.write(head + b"%x\r\n%s\r\n" % (len(raw), raw))


@contextlib.asynccontextmanager
async def silent_agent(rig: Any) -> AsyncIterator[SilentAgent]:
    """Lets the limiter of `rig` use a silent agent."""
    made = SilentAgent()
    server = await asyncio.start_server(made._serve, "127.0.0.1", 0)
    made.address = rig.watch._address = server.sockets[0].getsockname()
    task = asyncio.create_task(rig.watch.run())
    try:
        yield made
    finally:
        task.cancel()
        server.close()


A, B = host("a", "127.0.0.1:1"), host("b", "127.0.0.1:2")
LEAVES = host("a", "127.0.0.1:1", "leaving")


def test_a_call_without_response_times_out_sooner_than_a_quiet_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The agent responds at once, so a lost call must not hide drains from a limiter for seconds."""
    monkeypatch.setattr(discovery, "WATCH_TIMEOUT_S", 1e6)

    async def test() -> None:
        async with limiter(A) as rig, silent_agent(rig) as agent:
            await agent.calls.get()  # not answered, as if lost
            agent.answer(await agent.calls.get(), listing(2, LEAVES))
            await until(lambda: rig.watch.seq == 2)

    run(test())


@pytest.mark.parametrize("first", ["old", "new"])
def test_a_silent_watch_is_read_until_another_one_receives_data(first: str) -> None:
    """A returning discovery may respond on either watch first; the older list must not be applied last."""

    async def test() -> None:
        async with limiter(A) as rig, silent_agent(rig) as agent:
            old, new = await agent.calls.get(), await agent.calls.get()
            if first == "old":
                agent.answer(old, listing(2, LEAVES))
                await until(lambda: rig.watch.seq == 2)
            agent.answer(new, listing(3, LEAVES, B))
            await until(lambda: rig.watch.seq == 3)
            await until(lambda: old in agent.disconnected)
            with contextlib.suppress(ConnectionError):  # the limiter has closed this watch
                agent.answer(old, listing(1, A))
                await old.drain()
            raw = json.dumps(listing(4, B)).encode() + b"\n"
            new.write(b"%x\r\n%s\r\n" % (len(raw), raw))
            await until(lambda: rig.watch.seq == 4)
            assert set(rig.limiter.listed_servers.hosts) == {"b"}

    run(test())


def test_a_refusal_does_not_close_the_silent_watch() -> None:
    """A refusal shows that the agent runs, but not whether the older call is lost."""

    async def test() -> None:
        async with limiter(A) as rig, silent_agent(rig) as agent:
            old, new = await agent.calls.get(), await agent.calls.get()
            agent.answer(new, listing(9), "503 Busy")
            await agent.calls.get()  # the limiter has called again
            agent.answer(old, listing(2, LEAVES))
            await until(lambda: rig.watch.seq == 2)

    run(test())


def test_no_more_than_two_watches_are_open() -> None:
    async def test() -> None:
        async with limiter(A) as rig, silent_agent(rig) as agent:
            calls = [await agent.calls.get() for _ in range(4)]
            await until(lambda: agent.disconnected == calls[:2])

    run(test())


def test_two_switches_at_once_end_at_the_latest_address() -> None:
    """The first switch has ended the call, but the watch has not noticed when the second one follows."""

    async def test() -> None:
        async with agent() as one, agent() as two, agent() as three:
            async with limiter(A, watched=one) as rig:
                await one.watches.get()
                rig.watch.set_address(two.address)
                await asyncio.sleep(0)  # the call's timeout has fired, its cancellation has not run
                rig.watch.set_address(three.address)
                await three.watches.get()
                three.send(listing(2, B))
                await until(lambda: rig.watch.seq == 2)
                assert two.watches.empty()

    run(test())
