"""Handover between two processes of a limiter on the platform: documents, limits and connections."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import random
import signal
import socket
import sys
import tempfile
import threading
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sockets import (
    SETTINGS,
    Agent,
    Backend,
    Client,
    agent,
    backend,
    echo,
    host,
    listing,
    message,
    run,
    until,
    unused_address,
)
from sockets import document as configured

from basaltpoint import interface as api
from basaltpoint.config.settings import parse_settings
from basaltpoint.handover import platform_state, state, upgrade_state
from basaltpoint.handover.link import HandoverLink, connect_to_predecessor, socket_path
from basaltpoint.handover.platform_state import PlatformState, PlatformStateError
from basaltpoint.handover.upgrade_state import UpgradeState
from basaltpoint.policy import DecisionModule

ROOT = Path(__file__).parent.parent


def plan(rate: float = 5.0, burst: float = 10.0) -> api.Plan:
    return api.Plan(rate, burst, ceiling_rate=rate, ceiling_depth=burst, name="basic")


def decision_module(seed: int = 1, **changes: Any) -> DecisionModule:
    made = parse_settings(json.dumps(SETTINGS).encode())
    return DecisionModule(replace(made, plans=(plan(),), **changes), seed)


def list_servers(one: DecisionModule, now: float, started: float = 0.0) -> None:
    ready = tuple(api.Server(n, 0, 0, api.ServerState.READY, 1.0, started) for n in range(3))
    one.handle(now, api.ServerList(api.ListKind.FULL, ready))


def ask(one: DecisionModule, now: float, ident: int, customer: int = 7) -> bool:
    """Returns whether a request of one unit is admitted; its attempt succeeds at once."""
    actions = one.handle(now, api.Arrival(ident, 2, 0, customer, 1.0, 1, now + 1000.0))
    sent = [action for action in actions if isinstance(action, api.Send)]
    for action in sent:
        one.handle(now, api.Outcome(ident, 0, action.server, api.Status.OK, 1.0, True))
    return bool(sent)


def start_successor(old: DecisionModule, new: DecisionModule, now: float) -> None:
    """Passes the state to a starting successor, in JSON as between processes, and shares the limits."""
    module = json.loads(json.dumps(state.export_state(old, now)))
    state.share_limits(old, now)
    assert list(platform_state.import_module_state(new, module, now)) == []
    new.started_ms = now
    state.share_limits(new, now)


def merge_into_successor(old: DecisionModule, new: DecisionModule, now: float, since: float) -> None:
    rows = json.loads(json.dumps(state.export_state(old, now)))["customers"]
    state.restore_full_limits(new, now)
    assert state.merge_customers(new, rows, now, since) == 0


@given(st.integers(0, 2**32))
@settings(max_examples=40, deadline=None)
def test_both_processes_together_stay_within_the_ceiling_during_an_upgrade(seed: int) -> None:
    """Guards against units of a ceiling being granted by both processes, at random times and processes."""
    rng = random.Random(seed)
    old, new = decision_module(1), decision_module(2)
    now = 1e9
    list_servers(old, now)
    list_servers(new, now)
    now += 10_000.0
    begin, sent = now, 0
    steps = [rng.uniform(5, 60) for _ in range(200)]
    started, joined = rng.randrange(20, 90), rng.randrange(90, 160)
    since = 0.0
    for n, step in enumerate(steps):
        now += step
        if n == started:
            start_successor(old, new, now)
            since = now
        if n == joined:
            merge_into_successor(old, new, now, since)
        one = old if n < started else new if n >= joined else rng.choice([old, new])
        sent += ask(one, now, n + 1)
        assert sent <= 10.0 + 5.0 * (now - begin) / 1000.0 + 1e-6
    # The shared limits waste little: a customer with constant demand uses most of its ceiling.
    assert sent >= 0.6 * (5.0 * (now - begin) / 1000.0)


@given(st.integers(0, 2**32))
@settings(max_examples=20, deadline=None)
def test_a_limiter_that_passed_its_whole_state_draws_on_no_ceiling(seed: int) -> None:
    """The successor has other numbers and the whole ceiling; the predecessor's retries get no units."""
    rng = random.Random(seed)
    old, new = decision_module(1), decision_module(2)
    now = begin = 1e9
    for one in (old, new):
        list_servers(one, now)
        one.started_ms = now - 10_000.0
    sent, handed = 0, rng.randrange(1, 100)
    for n in range(150):
        now += rng.uniform(5, 60)
        if n == handed:
            told = UpgradeState(
                1, 0.0, state.export_state(old, now), {"account": {"a": 7}, "server": {}, "pool": {}}, {}
            )
            state.exhaust_ceilings(old, now, 10_000.0)
            told = upgrade_state.decode(upgrade_state.encode(told), 1.0)
            list(
                upgrade_state.import_module_state(
                    new, told, {"account": {"a": 9}, "server": {}, "pool": {}}, now
                )
            )
            new.started_ms = now
        one, customer = (new, 9) if n >= handed and rng.random() < 0.5 else (old, 7)
        sent += ask(one, now, n + 1, customer)
        assert sent <= 10.0 + 5.0 * (now - begin) / 1000.0 + 1e-6


@given(st.integers(0, 2**32))
@settings(max_examples=40, deadline=None)
def test_a_customer_that_is_new_during_an_upgrade_has_one_ceiling(seed: int) -> None:
    """Guards against both processes granting the whole ceiling of a customer that neither knew before."""
    rng = random.Random(seed)
    old, new = decision_module(1), decision_module(2)
    now = 1e9
    list_servers(old, now)
    list_servers(new, now)
    now += 10_000.0
    start_successor(old, new, now)
    begin, since, sent, handed = now, now, 0, rng.randrange(10, 60)
    for n in range(120):
        now += rng.uniform(1, 20)
        if n == handed:
            merge_into_successor(old, new, now, since)
            state.exhaust_ceilings(old, now, 10_000.0)
        sent += ask(rng.choice([old, new]), now, n + 1)
        sent += ask(old, now, n + 1000, customer=8) if n >= handed else 0  # known to no other process
        assert sent <= 10.0 + 5.0 * (now - begin) / 1000.0 + 1e-6


def test_without_shared_limits_both_processes_exceed_the_ceiling() -> None:
    """Shows what share_limits prevents: two processes with full limits together exceed the ceiling."""
    old, new = decision_module(1), decision_module(2)
    list_servers(old, 1e9)
    list_servers(new, 1e9)
    now = 1e9 + 10_000.0
    module = json.loads(json.dumps(state.export_state(old, now)))
    ask(old, now, 1)
    module = json.loads(json.dumps(state.export_state(old, now)))
    list(platform_state.import_module_state(new, module, now))
    assert sum(ask(one, now, n) for one in (old, new) for n in range(2, 30)) > 10
    old, new = decision_module(1), decision_module(2)
    list_servers(old, 1e9)
    list_servers(new, 1e9)
    ask(old, now, 1)
    start_successor(old, new, now)
    assert sum(ask(one, now, n) for one in (old, new) for n in range(2, 30)) <= 9


def test_the_full_ceiling_is_restored_when_the_successor_ends() -> None:
    old = decision_module()
    list_servers(old, 1e9)
    now = 1e9 + 10_000.0
    ask(old, now, 1)
    state.share_limits(old, now)
    state.restore_full_limits(old, now)
    assert sum(ask(old, now, n) for n in range(2, 30)) <= 9  # the successor may have drawn its half
    now += 10_000.0
    assert sum(ask(old, now, n) for n in range(30, 60)) == 10


def test_draws_of_both_processes_count_once_in_the_merged_quota() -> None:
    old, new = decision_module(1), decision_module(2)
    list_servers(old, 1e9)
    list_servers(new, 1e9)
    now = 1e9 + 10_000.0
    ask(old, now, 1)
    start_successor(old, new, now)
    now += 1.0
    for ident, one in enumerate((old, new, old, new, new), 2):
        ask(one, now, ident)
    before = old.customers[7].quota_bucket.refill(now)
    merge_into_successor(old, new, now, now - 1.0)
    joined = new.customers[7]
    assert joined.draw_log[-1][1] == 6.0 and [row[0] for row in joined.draw_log] == sorted(
        row[0] for row in joined.draw_log
    )
    drawn = joined.draw_log[-1][2] - old.customers[7].draw_log[-1][2]
    assert drawn >= 3.0 and joined.quota_bucket.level == pytest.approx(before - drawn)


def test_a_cold_servers_slow_start_is_handed_over() -> None:
    """Its allowance is neither reset nor doubled."""
    old, new = decision_module(1), decision_module(2)
    for one in (old, new):
        list_servers(one, 1e9, started=1e9)
        one.handle(1e9, api.HealthCheckResult(0, True))
    for n in range(3):
        old.pools[0].servers.records[n].allowance = 0.9
        old.pools[0].servers.records[n].health.suspect = n == 1
    start_successor(old, new, 1e9 + 1.0)
    for n in range(3):
        one, two = (each.pools[0].servers.records[n] for each in (old, new))
        assert one.allowance + two.allowance == pytest.approx(0.9)
        assert two.health.suspect is (n == 1)
    assert new.pools[0].servers.suspects == {1}


def platform_document(**changes: Any) -> bytes:
    raw = {
        "version": 1,
        "origin_s": 5.0,
        "wall_ms": 1.0,
        "servers": {},
        "numbers": {"a": 0},
        "names": ["x"],
        "module": {},
    }
    return json.dumps({**raw, **changes}).encode()


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"[]",
        b"\xff" * 40,
        b"[" * 100_000,
        platform_document(version=2),
        platform_document(version=None),
        platform_document(origin_s=50.0),
        platform_document(origin_s="5"),
        platform_document(origin_s=float("nan")),
        platform_document(wall_ms=None),
        platform_document(servers=[]),
        platform_document(numbers={"a": 1, "b": 1}),
        platform_document(numbers={"a": True}),
        platform_document(names=[7]),
        platform_document()[:-7],
    ],
)
def test_an_invalid_document_is_rejected(text: bytes) -> None:
    with pytest.raises(PlatformStateError):
        platform_state.decode(text, 10.0)
    assert isinstance(platform_state.decode(platform_document(), 10.0), PlatformState)


@given(st.data())
@settings(max_examples=60, deadline=None)
def test_an_invalid_part_is_left_out_and_the_others_are_imported(data: st.DataObject) -> None:
    """With an arbitrary value in one place the rest is imported, and the module still decides requests."""
    old, new = decision_module(1), decision_module(2)
    for one in (old, new):
        list_servers(one, 1e9)
    now = 1e9 + 10_000.0
    ask(old, now, 1, customer=7)
    ask(old, now, 2, customer=8)
    module = json.loads(json.dumps(state.export_state(old, now)))
    locations = [(part, key) for part in ("clock", "waits") for key in module[part]]
    locations += [(part, 0, key) for part in ("pools", "servers", "customers") for key in module[part][0]]
    *parents, last = data.draw(st.sampled_from(locations))
    container = module
    for step in parents:
        container = container[step]
    container[last] = data.draw(st.sampled_from([None, "x", [], {}, -1e300, 1e300, [[1]], True]))
    list(platform_state.import_module_state(new, module, now))
    assert 8 in new.customers
    assert all(isinstance(ask(new, now + n, 10 + n, 7), bool) for n in range(3))


def test_the_path_of_the_socket_is_safe_and_within_the_limit(tmp_path: Path) -> None:
    assert socket_path(None, "n0") is None
    assert socket_path(str(tmp_path / ("x" * 120)), "n0") is None
    assert socket_path("/run", "../n 0") == "/run/basaltpoint..._n_0.handover"


def test_a_missing_or_invalid_predecessor_does_not_delay_a_start(tmp_path: Path) -> None:
    path = str(tmp_path / "strange")
    assert connect_to_predecessor(path) is None
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener:
        listener.bind(path)
        listener.listen()
        listener.settimeout(5)

        def answer() -> None:
            sock, _ = listener.accept()
            sock.send(b"zwhat is this")
            sock.close()

        thread = threading.Thread(target=answer)
        thread.start()
        assert connect_to_predecessor(path) is None
        thread.join()


class NoMemorySocket:
    """A socket whose next calls fail, as if the kernel had no memory."""

    def __init__(self, real: socket.socket, name: str, times: int) -> None:
        self._real, self._number, self.left = real, getattr(errno, name), times

    def _fail(self) -> None:
        if self.left:
            self.left -= 1
            raise OSError(self._number, os.strerror(self._number))

    def recvmsg(self, *args: Any) -> Any:
        self._fail()
        return self._real.recvmsg(*args)

    def send(self, data: bytes) -> int:
        self._fail()
        return self._real.send(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)


class RecordingHandler:
    """Records what a link reports."""

    def __init__(self) -> None:
        self.documents: list[bytes] = []
        self.times_closed = 0

    def document_received(self, document: bytes) -> None:
        self.documents.append(document)

    def connection_received(self, sock: socket.socket) -> None:
        sock.close()

    def request_completed(self, name: bytes) -> None:
        pass

    def link_closed(self) -> None:
        self.times_closed += 1


@pytest.mark.parametrize("side", ["reader", "writer"])
@pytest.mark.parametrize("name", ["ENOBUFS", "ENOMEM"])
def test_a_lack_of_kernel_memory_does_not_close_the_link(side: str, name: str) -> None:
    """A process that took the error for the other one's end would use the full limits beside it."""

    async def test() -> None:
        near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        for sock in (near, far):
            sock.setblocking(False)
        reader = NoMemorySocket(far, name, 3 if side == "reader" else 0)
        writer = NoMemorySocket(near, name, 3 if side == "writer" else 0)
        received, other = RecordingHandler(), RecordingHandler()
        receiving = HandoverLink(reader, received)  # type: ignore[arg-type]
        sending = HandoverLink(writer, other)  # type: ignore[arg-type]
        sending.send_document(b"all that is known")
        await until(lambda: received.documents == [b"all that is known"])
        assert not reader.left and not writer.left
        assert sending.is_open and receiving.is_open and not received.times_closed and not other.times_closed
        sending.close()
        await until(lambda: received.times_closed == 1)
        receiving.close()

    run(test())


# --- Processes -----------------------------------------------------------------------------------
class Process:
    """A process of the limiter on the shared listening socket."""

    def __init__(self, process: asyncio.subprocess.Process, control: str, log: Path) -> None:
        self.process = process
        self.control = control
        self.log = log

    async def call(self, line: str) -> list[str]:
        name, port = self.control.split(":")
        with contextlib.suppress(ConnectionError):
            reader, writer = await asyncio.open_connection(name, int(port))
            writer.write(line.encode() + b"\n")
            answer = (await reader.read()).decode().splitlines()
            writer.close()
            return answer
        return ["fail no connection"]

    async def wait_until_ready(self) -> None:
        while (await self.call("readyz"))[0] != "ok":
            await asyncio.sleep(0.01)

    async def attempt_count(self) -> int:
        return sum(int(line.split()[-1]) for line in await self.call("telemetry") if "gw_sends" in line)

    async def end(self, number: signal.Signals = signal.SIGTERM) -> int:
        self.process.send_signal(number)
        return await self.process.wait()


class Platform:
    """Owns the listening socket and starts processes on it, as the platform does."""

    def __init__(self, path: Path, server: Backend) -> None:
        self.path = path
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.raw = configured("{}:{}".format(*self.address), host("a", server.address))
        self.started: list[Process] = []

    async def start(self) -> Process:
        number = len(self.started)
        control, file = unused_address(), self.path / "config.json"
        file.write_text(json.dumps(self.raw))
        log = self.path / f"log{number}"
        environ = {
            **os.environ,
            "GW_CONFIG": str(file),
            "GW_CONTROL": control,
            "GW_SOCKET_FD": str(self.listener.fileno()),
            "TMPDIR": str(self.path),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "basaltpoint",
            cwd=ROOT,
            env=environ,
            pass_fds=[self.listener.fileno()],
            stderr=log.open("wb"),
        )
        made = Process(process, control, log)
        self.started.append(made)
        await made.wait_until_ready()
        return made

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection(*self.address))


@contextlib.asynccontextmanager
async def platform(server: Backend) -> AsyncIterator[Platform]:
    with tempfile.TemporaryDirectory(
        dir="/tmp"
    ) as folder:  # pytest's own paths may be too long for a local socket
        made = Platform(Path(folder), server)
        try:
            yield made
        finally:
            for one in made.started:
                with contextlib.suppress(ProcessLookupError):
                    one.process.kill()
                await one.process.wait()
            made.listener.close()


def test_a_predecessor_that_drains_draws_no_more_on_a_ceiling() -> None:
    """Guards against units that were handed to the successor being granted by the predecessor, too."""
    rate, depth, count = 30.0, 60.0, 30  # of three limiters

    async def test() -> None:
        async with backend(echo) as server, platform(server) as platform_:
            ceiling = {"capRate": rate, "neverOverDepth": depth}
            contracts = [{"name": "basic", "rate": 1000.0, "mostAtOnce": 2000.0, **ceiling}]
            platform_.raw["settings"] = {**SETTINGS, "contracts": contracts}
            old = await platform_.start()
            await asyncio.sleep(depth / rate)  # a ceiling is empty at the start of a limiter
            begun = [(await platform_.connect(), message("fix", f"old-{n}")) for n in range(count)]
            for client, _ in begun:  # the time for the first request is over
                assert (await client.ask(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")).code == 200
            new = await platform_.start()
            for client, raw in begun:
                client.send(raw[:1])  # the connection stays where it is
            await asyncio.sleep(0.1)
            start = asyncio.get_running_loop().time()
            ending = asyncio.create_task(old.end())
            await until(lambda: "took over" in new.log.read_text())
            client = await platform_.connect()
            codes = [(await client.ask(message("fix", f"new-{n}"))).code for n in range(count)]
            for begun_client, raw in begun:
                begun_client.send(raw[1:])
            codes += [(await begun_client.answer()).code for begun_client, _ in begun]
            allowed = (depth + rate * (asyncio.get_running_loop().time() - start)) / 3 + 1
            assert 5 < codes.count(200) <= allowed
            assert codes.count(200) + codes.count(429) == 2 * count
            assert await ending == 0

    run(test())


def test_client_connections_are_handed_over_twice_in_succession() -> None:
    """Open connections are served by the newest process without interruption; the older ones exit with 0."""

    async def test() -> None:
        async with backend(echo) as server, platform(server) as platform_:
            old = await platform_.start()
            clients = [await platform_.connect() for _ in range(20)]
            for n, client in enumerate(clients):
                assert (await client.ask(message("fix", f"a-{n}"))).body == f"a-{n}".encode()
            for turn in range(2):
                new = await platform_.start()
                assert await old.end() == 0
                for n, client in enumerate(clients):
                    answer = await client.ask(message("fix", f"b-{turn}-{n}"))
                    assert answer.body == f"b-{turn}-{n}".encode()
                assert await new.attempt_count() == 20
                assert "took over from the predecessor" in new.log.read_text()
                old = new

    run(test())


def test_an_open_request_is_answered_by_the_predecessor_and_its_copy_is_refused() -> None:
    async def test() -> None:
        async with backend() as server, platform(server) as platform_:
            old = await platform_.start()
            client = await platform_.connect()
            client.send(message("fix", "held"))
            held = await server.arrived.get()
            new = await platform_.start()
            ending = asyncio.create_task(old.end())
            await until(lambda: "took over from the predecessor, which has 1" in new.log.read_text())
            other = await platform_.connect()
            assert (await other.ask(message("fix", "held"))).code == 409  # the predecessor still handles it
            await echo(held)
            assert (await client.answer()).body == b"held"
            assert await ending == 0
            server.script = echo
            assert (await client.ask(message("fix", "next"))).body == b"next"  # on the same connection
            assert len(server.requests) == 2

    run(test())


def test_the_successor_is_killed_before_its_predecessor_gets_sigterm() -> None:
    async def test() -> None:
        async with backend(echo) as server, platform(server) as platform_:
            old = await platform_.start()
            client = await platform_.connect()
            assert (await client.ask(message("fix", "one"))).code == 200
            new = await platform_.start()
            await new.end(signal.SIGKILL)
            await until(lambda: "this process continues alone" in old.log.read_text())
            assert (await client.ask(message("fix", "two"))).code == 200
            third = await platform_.start()
            assert await old.end() == 0
            assert (await client.ask(message("fix", "three"))).code == 200
            assert await third.attempt_count() == 1

    run(test())


def test_the_predecessor_is_killed_while_both_run() -> None:
    async def test() -> None:
        async with backend(echo) as server, platform(server) as platform_:
            old = await platform_.start()
            new = await platform_.start()
            await old.end(signal.SIGKILL)
            await until(lambda: "predecessor ended without sending its final state" in new.log.read_text())
            client = await platform_.connect()
            assert (await client.ask(message("fix", "on"))).body == b"on"

    run(test())


def test_a_regular_file_at_the_sockets_path_does_not_prevent_a_start() -> None:
    async def test() -> None:
        async with backend(echo) as server, platform(server) as platform_:
            (platform_.path / "basaltpoint.n3.handover").write_text("a file of another program")
            await platform_.start()
            client = await platform_.connect()
            assert (await client.ask(message("fix", "on"))).body == b"on"
            assert "nothing is taken over" in platform_.started[0].log.read_text()

    run(test())


def test_an_upload_during_the_upgrade_is_finished_by_the_predecessor() -> None:
    async def test() -> None:
        async with backend() as server, platform(server) as platform_:
            old = await platform_.start()
            client = await platform_.connect()
            client.send(message("upload", "long", Content_Length="300000") + b"x" * 100_000)
            await until(lambda: server.connections == 1)
            starting = asyncio.create_task(platform_.start())
            sent = 100_000
            while not starting.done():  # a client may not pause for 2 s, however long the start takes
                client.send(b"x" * 1000)
                sent += 1000
                await asyncio.sleep(0.1)
            await starting
            ending = asyncio.create_task(old.end())
            await asyncio.sleep(0.05)
            client.send(b"x" * (300_000 - sent))
            request = await server.arrived.get()
            assert len(request.body) == 300_000
            request.reply(body=b"done")
            assert (await client.answer()).body == b"done"
            assert await ending == 0

    run(test())


def test_a_drain_known_only_to_the_predecessor_applies_in_the_successor() -> None:
    """The successor's configured list is outdated, and discovery sends it nothing further."""

    async def test() -> None:
        async with (
            backend(echo) as one,
            backend(echo) as two,
            agent() as discovery,
            platform(one) as platform_,
        ):
            platform_.raw["discovery"] = "{}:{}".format(*discovery.address)
            old = await platform_.start()
            await discovery.watches.get()
            discovery.send(listing(2, host("a", one.address, "leaving"), host("b", two.address), whole=False))
            client = await platform_.connect()
            asked = 0
            while not two.requests:  # until the limiter has received the update
                asked += 1
                assert (await client.ask(message("fix", f"old-{asked}"))).code == 200
            before = len(one.requests)
            new = await platform_.start()
            assert await old.end() == 0
            for n in range(10):
                assert (await client.ask(message("fix", f"new-{n}"))).body == f"new-{n}".encode()
            assert len(one.requests) == before
            assert "gw_cluster_size 2" in await new.call("telemetry")

    run(test())


async def unconfirmed(platform_: Platform, discovery: Agent) -> tuple[Process, asyncio.Task[Process]]:
    """Starts a predecessor that serves, and a successor that waits for discovery's first message."""
    platform_.raw["discovery"] = "{}:{}".format(*discovery.address)
    starting = asyncio.create_task(platform_.start())
    await discovery.watches.get()
    discovery.send(listing(1, whole=False))
    old = await starting
    starting_successor = asyncio.create_task(platform_.start())
    await discovery.watches.get()
    return old, starting_successor


def test_a_successor_accepts_no_clients_until_its_list_is_confirmed() -> None:
    """Guards against the successor accepting clients from the shared socket before it can send attempts."""

    async def test() -> None:
        async with backend(echo) as server, agent() as discovery, platform(server) as platform_:
            old, starting_successor = await unconfirmed(platform_, discovery)
            for n in range(10):
                client = await platform_.connect()
                assert (await client.ask(message("fix", f"meanwhile-{n}"))).code == 200
                client.close()
            assert not starting_successor.done()
            assert (await platform_.started[1].call("readyz"))[0] == "fail servers are not confirmed"
            discovery.send(listing(1, whole=False))
            await starting_successor
            assert await old.end() == 0
            client = await platform_.connect()
            assert (await client.ask(message("fix", "after"))).body == b"after"

    run(test())


def test_a_successor_accepts_clients_at_once_if_its_predecessor_is_killed() -> None:
    """No other process would accept them: they are refused with 429 until the list is confirmed."""

    async def test() -> None:
        async with backend(echo) as server, agent() as discovery, platform(server) as platform_:
            old, starting_successor = await unconfirmed(platform_, discovery)
            await old.end(signal.SIGKILL)
            client = await platform_.connect()
            assert (await client.ask(message("fix", "refused"))).code == 429
            assert not starting_successor.done() and not server.requests
            discovery.send(listing(1, whole=False))
            await starting_successor
            assert (await client.ask(message("fix", "after"))).body == b"after"

    run(test())


def test_a_long_response_is_finished_and_each_process_reports_its_own_figures() -> None:
    """The predecessor finishes a response of 32 MB; meanwhile each process reports its own counts."""
    size = 32 << 20

    async def test() -> None:
        async with backend() as server, platform(server) as platform_:
            old = await platform_.start()
            client, other = await platform_.connect(), await platform_.connect()
            client.send(message("fix", "long"))
            request = await server.arrived.get()
            request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * 100_000)
            await client.reader.readuntil(b"\r\n\r\n")
            new = await platform_.start()
            assert (await old.attempt_count(), await new.attempt_count()) == (1, 0)
            assert "gw_current 1" in await old.call("telemetry")
            ending = asyncio.create_task(old.end())
            await until(lambda: "took over" in new.log.read_text())
            server.script = echo
            assert (await other.ask(message("fix", "short"))).body == b"short"
            request.writer.write(b"x" * (size - 100_000))
            assert await client.reader.readexactly(size) == b"x" * size
            assert (await new.attempt_count(), await ending) == (1, 0)

    run(test())
