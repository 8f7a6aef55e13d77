"""Two processes of one limiter: what passes between them, and what neither may grant twice."""

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


def gateway(seed: int = 1, **changes: Any) -> DecisionModule:
    made = parse_settings(json.dumps(SETTINGS).encode())
    return DecisionModule(replace(made, plans=(plan(),), **changes), seed)


def peers(one: DecisionModule, now: float, started: float = 0.0) -> None:
    ready = tuple(api.Server(n, 0, 0, api.ServerState.READY, 1.0, started) for n in range(3))
    one.handle(now, api.ServerList(api.ListKind.FULL, ready))


def ask(one: DecisionModule, now: float, ident: int, customer: int = 7) -> bool:
    """Whether a request of one unit is sent on; it is answered at once."""
    actions = one.handle(now, api.Arrival(ident, 2, 0, customer, 1.0, 1, now + 1000.0))
    sent = [action for action in actions if isinstance(action, api.Send)]
    for action in sent:
        one.handle(now, api.Outcome(ident, 0, action.server, api.Status.OK, 1.0, True))
    return bool(sent)


def passed(old: DecisionModule, new: DecisionModule, now: float) -> None:
    """What the newer process takes over when it starts, over JSON as between processes."""
    module = json.loads(json.dumps(state.export_state(old, now)))
    state.share_limits(old, now)
    assert list(platform_state.import_module_state(new, module, now)) == []
    new.started_ms = now
    state.share_limits(new, now)


def finish(old: DecisionModule, new: DecisionModule, now: float, since: float) -> None:
    rows = json.loads(json.dumps(state.export_state(old, now)))["customers"]
    state.restore_full_limits(new, now)
    assert state.merge_customers(new, rows, now, since) == 0


@given(st.integers(0, 2**32))
@settings(max_examples=40, deadline=None)
def test_one_account_at_its_ceiling_gets_no_unit_twice_across_an_upgrade(seed: int) -> None:
    """Whatever either process is asked, and when: both together stay within rate and depth."""
    rng = random.Random(seed)
    old, new = gateway(1), gateway(2)
    now = 1e9
    peers(old, now)
    peers(new, now)
    now += 10_000.0
    begin, sent = now, 0
    steps = [rng.uniform(5, 60) for _ in range(200)]
    started, joined = rng.randrange(20, 90), rng.randrange(90, 160)
    since = 0.0
    for n, step in enumerate(steps):
        now += step
        if n == started:
            passed(old, new, now)
            since = now
        if n == joined:
            finish(old, new, now, since)
        one = old if n < started else new if n >= joined else rng.choice([old, new])
        sent += ask(one, now, n + 1)
        assert sent <= 10.0 + 5.0 * (now - begin) / 1000.0 + 1e-6
    # Nor is much lost: what the ceiling allows is used by an account that always asks.
    assert sent >= 0.6 * (5.0 * (now - begin) / 1000.0)


@given(st.integers(0, 2**32))
@settings(max_examples=20, deadline=None)
def test_a_limiter_that_leaves_all_to_the_next_draws_on_no_ceiling_any_more(seed: int) -> None:
    """The newer process has other numbers and all of the ceiling; the older one's repeats get nothing."""
    rng = random.Random(seed)
    old, new = gateway(1), gateway(2)
    now = begin = 1e9
    for one in (old, new):
        peers(one, now)
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


def test_without_the_halves_both_would_grant_the_same_units() -> None:
    """What the halves are for: the same two processes, each with all of it, send on more than the ceiling."""
    old, new = gateway(1), gateway(2)
    peers(old, 1e9)
    peers(new, 1e9)
    now = 1e9 + 10_000.0
    module = json.loads(json.dumps(state.export_state(old, now)))
    ask(old, now, 1)
    module = json.loads(json.dumps(state.export_state(old, now)))
    list(platform_state.import_module_state(new, module, now))
    assert sum(ask(one, now, n) for one in (old, new) for n in range(2, 30)) > 10
    old, new = gateway(1), gateway(2)
    peers(old, 1e9)
    peers(new, 1e9)
    ask(old, now, 1)
    passed(old, new, now)
    assert sum(ask(one, now, n) for one in (old, new) for n in range(2, 30)) <= 9


def test_a_newer_process_that_ends_gives_its_half_back() -> None:
    old = gateway()
    peers(old, 1e9)
    now = 1e9 + 10_000.0
    ask(old, now, 1)
    state.share_limits(old, now)
    state.restore_full_limits(old, now)
    assert sum(ask(old, now, n) for n in range(2, 30)) <= 9  # what the other may have drawn stays drawn
    now += 10_000.0
    assert sum(ask(old, now, n) for n in range(30, 60)) == 10


def test_what_each_drew_since_counts_once_in_the_quota_that_they_join() -> None:
    old, new = gateway(1), gateway(2)
    peers(old, 1e9)
    peers(new, 1e9)
    now = 1e9 + 10_000.0
    ask(old, now, 1)
    passed(old, new, now)
    now += 1.0
    for ident, one in enumerate((old, new, old, new, new), 2):
        ask(one, now, ident)
    before = old.customers[7].quota_bucket.refill(now)
    finish(old, new, now, now - 1.0)
    joined = new.customers[7]
    assert joined.draw_log[-1][1] == 6.0 and [row[0] for row in joined.draw_log] == sorted(
        row[0] for row in joined.draw_log
    )
    drawn = joined.draw_log[-1][2] - old.customers[7].draw_log[-1][2]
    assert drawn >= 3.0 and joined.quota_bucket.level == pytest.approx(before - drawn)


def test_a_cold_servers_ramp_passes_over() -> None:
    """What it may be sent is neither granted anew nor earned twice."""
    old, new = gateway(1), gateway(2)
    for one in (old, new):
        peers(one, 1e9, started=1e9)
        one.handle(1e9, api.HealthCheckResult(0, True))
    for n in range(3):
        old.pools[0].servers.records[n].allowance = 0.9
        old.pools[0].servers.records[n].health.suspect = n == 1
    passed(old, new, 1e9 + 1.0)
    for n in range(3):
        one, two = (each.pools[0].servers.records[n] for each in (old, new))
        assert one.allowance + two.allowance == pytest.approx(0.9)
        assert two.health.suspect is (n == 1)
    assert new.pools[0].servers.suspects == {1}


def estate(**changes: Any) -> bytes:
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
        estate(version=2),
        estate(version=None),
        estate(origin_s=50.0),
        estate(origin_s="5"),
        estate(origin_s=float("nan")),
        estate(wall_ms=None),
        estate(servers=[]),
        estate(numbers={"a": 1, "b": 1}),
        estate(numbers={"a": True}),
        estate(names=[7]),
        estate()[:-7],
    ],
)
def test_a_torn_stale_or_foreign_document_is_told_and_left(text: bytes) -> None:
    with pytest.raises(PlatformStateError):
        platform_state.decode(text, 10.0)
    assert isinstance(platform_state.decode(estate(), 10.0), PlatformState)


@given(st.data())
@settings(max_examples=60, deadline=None)
def test_a_part_that_is_spoilt_is_left_out_and_the_others_stand(data: st.DataObject) -> None:
    """Whatever stands in one place, the rest is taken over and the module goes on."""
    old, new = gateway(1), gateway(2)
    for one in (old, new):
        peers(one, 1e9)
    now = 1e9 + 10_000.0
    ask(old, now, 1, customer=7)
    ask(old, now, 2, customer=8)
    module = json.loads(json.dumps(state.export_state(old, now)))
    spots = [(part, key) for part in ("clock", "waits") for key in module[part]]
    spots += [(part, 0, key) for part in ("pools", "servers", "customers") for key in module[part][0]]
    *way, last = data.draw(st.sampled_from(spots))
    place_ = module
    for step in way:
        place_ = place_[step]
    place_[last] = data.draw(st.sampled_from([None, "x", [], {}, -1e300, 1e300, [[1]], True]))
    list(platform_state.import_module_state(new, module, now))
    assert 8 in new.customers
    assert all(isinstance(ask(new, now + n, 10 + n, 7), bool) for n in range(3))


def test_a_path_that_the_system_would_not_take(tmp_path: Path) -> None:
    assert socket_path(None, "n0") is None
    assert socket_path(str(tmp_path / ("x" * 120)), "n0") is None
    assert socket_path("/run", "../n 0") == "/run/basaltpoint..._n_0.handover"


def test_a_silent_or_strange_older_process_does_not_hold_up_a_start(tmp_path: Path) -> None:
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


class StrainedSocket:
    """A socket whose next calls fail for want of room on the machine."""

    def __init__(self, real: socket.socket, name: str, times: int) -> None:
        self._real, self._number, self.left = real, getattr(errno, name), times

    def _strain(self) -> None:
        if self.left:
            self.left -= 1
            raise OSError(self._number, os.strerror(self._number))

    def recvmsg(self, *args: Any) -> Any:
        self._strain()
        return self._real.recvmsg(*args)

    def send(self, data: bytes) -> int:
        self._strain()
        return self._real.send(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)


class RecordingHandler:
    """What a link tells its process."""

    def __init__(self) -> None:
        self.documents: list[bytes] = []
        self.parts = 0

    def document_received(self, document: bytes) -> None:
        self.documents.append(document)

    def connection_received(self, sock: socket.socket) -> None:
        sock.close()

    def request_completed(self, name: bytes) -> None:
        pass

    def link_closed(self) -> None:
        self.parts += 1


@pytest.mark.parametrize("side", ["reader", "writer"])
@pytest.mark.parametrize("name", ["ENOBUFS", "ENOMEM"])
def test_a_machine_without_room_is_not_the_other_processs_end(side: str, name: str) -> None:
    """A process that took it for that would draw all of the quotas while the other one still does."""

    async def test() -> None:
        near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        for sock in (near, far):
            sock.setblocking(False)
        reader = StrainedSocket(far, name, 3 if side == "reader" else 0)
        writer = StrainedSocket(near, name, 3 if side == "writer" else 0)
        heard, other = RecordingHandler(), RecordingHandler()
        receiving = HandoverLink(reader, heard)  # type: ignore[arg-type]
        sending = HandoverLink(writer, other)  # type: ignore[arg-type]
        sending.send_document(b"all that is known")
        await until(lambda: heard.documents == [b"all that is known"])
        assert not reader.left and not writer.left
        assert sending.is_open and receiving.is_open and not heard.parts and not other.parts
        sending.close()
        await until(lambda: heard.parts == 1)
        receiving.close()

    run(test())


# --- Processes -----------------------------------------------------------------------------------
class Process:
    """One process of the limiter on the shared listening socket."""

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

    async def yes(self) -> None:
        while (await self.call("readyz"))[0] != "ok":
            await asyncio.sleep(0.01)

    async def sends(self) -> int:
        return sum(int(line.split()[-1]) for line in await self.call("telemetry") if "gw_sends" in line)

    async def end(self, number: signal.Signals = signal.SIGTERM) -> int:
        self.process.send_signal(number)
        return await self.process.wait()


class Platform:
    """Holds the clients' socket and starts processes on it, as the platform does."""

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
        await made.yes()
        return made

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection(*self.address))


@contextlib.asynccontextmanager
async def platform(server: Backend) -> AsyncIterator[Platform]:
    with tempfile.TemporaryDirectory(dir="/tmp") as folder:  # pytest's own paths may be too long
        made = Platform(Path(folder), server)
        try:
            yield made
        finally:
            for one in made.started:
                with contextlib.suppress(ProcessLookupError):
                    one.process.kill()
                await one.process.wait()
            made.listener.close()


def test_connections_pass_to_the_next_process_twice_in_a_row() -> None:
    """Kept ones are served on without a break, by the newest; the older ones leave early and cleanly."""

    async def test() -> None:
        async with backend(echo) as server, platform(server) as run_on:
            old = await run_on.start()
            clients = [await run_on.connect() for _ in range(20)]
            for n, client in enumerate(clients):
                assert (await client.ask(message("fix", f"a-{n}"))).body == f"a-{n}".encode()
            for turn in range(2):
                new = await run_on.start()
                assert await old.end() == 0
                for n, client in enumerate(clients):
                    answer = await client.ask(message("fix", f"b-{turn}-{n}"))
                    assert answer.body == f"b-{turn}-{n}".encode()
                assert await new.sends() == 20
                assert "took over from the predecessor" in new.log.read_text()
                old = new

    run(test())


def test_a_request_in_hand_is_answered_by_the_old_process_and_no_copy_gets_through() -> None:
    async def test() -> None:
        async with backend() as server, platform(server) as run_on:
            old = await run_on.start()
            client = await run_on.connect()
            client.send(message("fix", "held"))
            held = await server.arrived.get()
            new = await run_on.start()
            ending = asyncio.create_task(old.end())
            await until(lambda: "took over from the predecessor, which has 1" in new.log.read_text())
            other = await run_on.connect()
            assert (await other.ask(message("fix", "held"))).code == 409  # the other process has it out
            await echo(held)
            assert (await client.answer()).body == b"held"
            assert await ending == 0
            server.script = echo
            assert (await client.ask(message("fix", "next"))).body == b"next"  # on the same connection
            assert len(server.requests) == 2

    run(test())


def test_the_new_process_killed_before_its_predecessor_is_told_to_go() -> None:
    async def test() -> None:
        async with backend(echo) as server, platform(server) as run_on:
            old = await run_on.start()
            client = await run_on.connect()
            assert (await client.ask(message("fix", "one"))).code == 200
            new = await run_on.start()
            await new.end(signal.SIGKILL)
            await until(lambda: "this process continues alone" in old.log.read_text())
            assert (await client.ask(message("fix", "two"))).code == 200
            third = await run_on.start()
            assert await old.end() == 0
            assert (await client.ask(message("fix", "three"))).code == 200
            assert await third.sends() == 1

    run(test())


def test_the_old_process_killed_during_the_overlap() -> None:
    async def test() -> None:
        async with backend(echo) as server, platform(server) as run_on:
            old = await run_on.start()
            new = await run_on.start()
            await old.end(signal.SIGKILL)
            await until(lambda: "predecessor ended without sending its final state" in new.log.read_text())
            client = await run_on.connect()
            assert (await client.ask(message("fix", "on"))).body == b"on"

    run(test())


def test_a_document_in_the_place_of_a_process_does_not_stop_a_start() -> None:
    async def test() -> None:
        async with backend(echo) as server, platform(server) as run_on:
            (run_on.path / "basaltpoint.n3.handover").write_text("a file of another program")
            await run_on.start()
            client = await run_on.connect()
            assert (await client.ask(message("fix", "on"))).body == b"on"
            assert "nothing is taken over" in run_on.started[0].log.read_text()

    run(test())


def test_an_upload_that_crosses_the_upgrade_is_finished_where_it_began() -> None:
    async def test() -> None:
        async with backend() as server, platform(server) as run_on:
            old = await run_on.start()
            client = await run_on.connect()
            client.send(message("upload", "long", Content_Length="300000") + b"x" * 100_000)
            await until(lambda: server.connections == 1)
            await run_on.start()
            ending = asyncio.create_task(old.end())
            await asyncio.sleep(0.05)
            client.send(b"x" * 200_000)
            request = await server.arrived.get()
            assert len(request.body) == 300_000
            request.reply(body=b"done")
            assert (await client.answer()).body == b"done"
            assert await ending == 0

    run(test())


def test_a_drain_told_to_the_old_process_only_holds_in_the_new_one() -> None:
    """The new one's own list is of the morning, and discovery tells it nothing more."""

    async def test() -> None:
        async with backend(echo) as one, backend(echo) as two, agent() as watched, platform(one) as run_on:
            run_on.raw["discovery"] = "{}:{}".format(*watched.address)
            old = await run_on.start()
            await watched.watches.get()
            watched.send(listing(2, host("a", one.address, "leaving"), host("b", two.address), whole=False))
            client = await run_on.connect()
            asked = 0
            while not two.requests:  # until it has heard
                asked += 1
                assert (await client.ask(message("fix", f"old-{asked}"))).code == 200
            before = len(one.requests)
            new = await run_on.start()
            assert await old.end() == 0
            for n in range(10):
                assert (await client.ask(message("fix", f"new-{n}"))).body == f"new-{n}".encode()
            assert len(one.requests) == before
            assert "gw_cluster_size 2" in await new.call("telemetry")

    run(test())


async def unconfirmed(run_on: Platform, watched: Agent) -> tuple[Process, asyncio.Task[Process]]:
    """An older process that serves, and a newer one that waits for discovery's first word."""
    run_on.raw["discovery"] = "{}:{}".format(*watched.address)
    starting = asyncio.create_task(run_on.start())
    await watched.watches.get()
    watched.send(listing(1, whole=False))
    old = await starting
    newer = asyncio.create_task(run_on.start())
    await watched.watches.get()
    return old, newer


def test_until_its_list_is_confirmed_the_new_process_leaves_clients_to_the_old_one() -> None:
    """They share the listening socket: one that can't send yet must not take what the other would serve."""

    async def test() -> None:
        async with backend(echo) as server, agent() as watched, platform(server) as run_on:
            old, newer = await unconfirmed(run_on, watched)
            for n in range(10):
                client = await run_on.connect()
                assert (await client.ask(message("fix", f"meanwhile-{n}"))).code == 200
                client.close()
            assert not newer.done()
            assert (await run_on.started[1].call("readyz"))[0] == "fail servers are not confirmed"
            watched.send(listing(1, whole=False))
            await newer
            assert await old.end() == 0
            client = await run_on.connect()
            assert (await client.ask(message("fix", "after"))).body == b"after"

    run(test())


def test_a_new_process_whose_older_one_dies_takes_clients_before_its_list_is_confirmed() -> None:
    """Nobody else would: they get their refusal, and later their answers."""

    async def test() -> None:
        async with backend(echo) as server, agent() as watched, platform(server) as run_on:
            old, newer = await unconfirmed(run_on, watched)
            await old.end(signal.SIGKILL)
            client = await run_on.connect()
            assert (await client.ask(message("fix", "refused"))).code == 429
            assert not newer.done() and not server.requests
            watched.send(listing(1, whole=False))
            await newer
            assert (await client.ask(message("fix", "after"))).body == b"after"

    run(test())


def test_a_long_answer_and_the_figures_cross_the_upgrade() -> None:
    """32 MB go on where they began; meanwhile each process answers for its own counts."""
    size = 32 << 20

    async def test() -> None:
        async with backend() as server, platform(server) as run_on:
            old = await run_on.start()
            client, other = await run_on.connect(), await run_on.connect()
            client.send(message("fix", "long"))
            request = await server.arrived.get()
            request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * 100_000)
            await client.reader.readuntil(b"\r\n\r\n")
            new = await run_on.start()
            assert (await old.sends(), await new.sends()) == (1, 0)
            assert "gw_current 1" in await old.call("telemetry")
            ending = asyncio.create_task(old.end())
            await until(lambda: "took over" in new.log.read_text())
            server.script = echo
            assert (await other.ask(message("fix", "short"))).body == b"short"
            request.writer.write(b"x" * (size - 100_000))
            assert await client.reader.readexactly(size) == b"x" * size
            assert (await new.sends(), await ending) == (1, 0)

    run(test())
