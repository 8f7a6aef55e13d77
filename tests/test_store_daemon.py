"""A limiter with its store: drains, configuration and balances outlive kills, of replicas and of itself."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import math
import time
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest
from sockets import Backend, Request, backend
from standalone import KEY, StandaloneFixture, config, request
from storeprocs import TEST_TIMEOUT_S, Cluster, cluster
from waiting import run, until

from basaltpoint.config.decode import FileError, load_toml
from basaltpoint.daemon import store_follower as keepers
from basaltpoint.daemon.balances import (
    AliveRecord,
    Balance,
    BalanceWriteQueue,
    min_downtime_s,
    restore_balance,
)
from basaltpoint.daemon.shared_state import (
    DOCUMENT_KEY,
    DRAIN_PREFIX,
    SERVER_PREFIX,
    Change,
    SharedState,
    check_document,
    check_local_file,
    limiter_name,
)
from basaltpoint.daemon.standalone import Standalone
from basaltpoint.daemon.store_follower import StartError
from basaltpoint.interface import Plan, QuotaStatus
from basaltpoint.load import coordinator, scenario
from basaltpoint.load.command import read_ledger, read_server_log
from basaltpoint.load.ledger import audit
from basaltpoint.standins.server import ServerBehaviour, SharedIdempotencyKeys, StandInServer
from basaltpoint.store import setting
from basaltpoint.store.client import Client, UnavailableError
from basaltpoint.system.timestamps import Timestamp


async def good(asked: Request) -> None:
    asked.reply()


@contextlib.asynccontextmanager
async def two() -> AsyncIterator[tuple[Backend, Backend]]:
    async with backend(good) as one, backend(good) as other:
        yield one, other


@contextlib.asynccontextmanager
async def limiter(path: Path, text: str | None = None, end: bool = True) -> AsyncIterator[StandaloneFixture]:
    """A limiter from a file; without `end` it goes as one that is killed, but for its replica."""
    if text is not None:
        path.write_text(text)
    made = Standalone(path, seed=1)
    try:
        await made.start()
        yield StandaloneFixture(made, path)
    finally:
        keeper = made.store_follower
        if not end and keeper:
            keeper._saves_state = False  # nothing is written any more
        await made.close()


ALONE = '[store]\ndir = "store"\n'


def member(made: Cluster, *names: str, more: str = "") -> str:
    """[store] of a limiter that runs no replica."""
    tls = made.client_tls
    members = ", ".join(f'"{name}@{made.addresses[name]}"' for name in names or made.names)
    return (
        f'[store]\nname = ""\ncluster = "test"\nmembers = [{members}]\ndir = "copy"\n'
        f'cert = "{tls.cert}"\nkey = "{tls.key}"\nauthority = "{tls.authority}"\n{more}\n'
    )


async def ask(rig: StandaloneFixture, count: int = 1) -> list[int]:
    client = await rig.connect()
    codes = [(await client.ask(request())).code for _ in range(count)]
    client.close()
    return codes


def store_of(rig: StandaloneFixture) -> Client:
    assert rig.limiter.store_follower
    return setting.create_client(rig.limiter.store_follower.storage)


# --- One node ------------------------------------------------------------------------------------------
def test_a_limiter_alone_keeps_drains_and_configuration_over_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with two() as (one, other):
            path = tmp_path / "l.toml"
            text = config(one.address, other.address, extra=ALONE)
            async with limiter(path, text) as rig:
                store = store_of(rig)
                assert await ask(rig) == [200]
                await store.put(DRAIN_PREFIX + "s0", b"{}")
                await until(lambda: any(spec.drain for spec in rig.limiter.setup.servers))
                one.requests.clear()
                assert await ask(rig, 10) == [200] * 10 and not one.requests
                store.close()
            # The file alone says nothing of it, and need not hold the shared tables any more.
            path.write_text('listen = "127.0.0.1:0"\n' + ALONE)
            async with limiter(path) as rig:
                assert await ask(rig, 10) == [200] * 10 and not one.requests
                store = store_of(rig)
                await store.delete(DRAIN_PREFIX + "s0")
                await until(lambda: not any(spec.drain for spec in rig.limiter.setup.servers))
                await ask(rig, 20)
                assert one.requests
                store.close()

    run(test())


def test_a_store_without_a_document_and_a_file_without_tables_is_told(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "l.toml"
        with pytest.raises(StartError, match="basaltpoint config push FILE"):
            async with limiter(path, 'listen = "127.0.0.1:0"\n' + ALONE):
                pass

    run(test())


def test_a_document_that_the_store_refuses_is_told(tmp_path: Path) -> None:
    async def test() -> None:
        text = config("127.0.0.1:1", extra=ALONE) + "#" * (1 << 20)
        with pytest.raises(StartError, match="allowed: 1048576"):
            async with limiter(tmp_path / "l.toml", text):
                pass

    run(test())


def test_a_reload_before_the_start_is_through_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "l.toml"
        path.write_text(config("127.0.0.1:1", extra=ALONE))
        made = Standalone(path, seed=1)
        assert not made.reload()
        await made.close()

    run(test())


def test_the_replica_beside_a_limiter_is_started_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with backend(good) as server:
            async with limiter(tmp_path / "l.toml", config(server.address, extra=ALONE)) as rig:
                keeper = rig.limiter.store_follower
                assert keeper and keeper._replica_process
                before = keeper._replica_process
                before.kill()
                assert await ask(rig, 5) == [200] * 5
                await until(lambda: keeper._replica_process is not before)
                store = store_of(rig)
                await store.put(DRAIN_PREFIX + "s0", b"{}", within_s=TEST_TIMEOUT_S)
                await until(lambda: rig.limiter.setup.servers[0].drain)
                store.close()

    run(test())


# --- Documents and server entries ---------------------------------------------------------------------
def test_a_bad_document_is_refused_told_and_holds_up_no_drain(tmp_path: Path) -> None:
    async def test() -> None:
        async with two() as (one, other):
            text = config(one.address, other.address, extra=ALONE)
            async with limiter(tmp_path / "l.toml", text) as rig:
                store = store_of(rig)
                await store.put(DOCUMENT_KEY, text.replace('pool = "main"', 'pool = "mian"').encode())
                await store.put(DRAIN_PREFIX + "s0", b"{}")
                await until(lambda: any(spec.drain for spec in rig.limiter.setup.servers))
                one.requests.clear()
                assert await ask(rig, 10) == [200] * 10 and not one.requests

                async def told() -> str:
                    value = await store.get("limiter/basaltpoint")
                    return str(json.loads(value.value)["problem"]) if value else ""

                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while not await told():
                        await asyncio.sleep(0.05)
                assert 'found "mian", which is no pool' in await told()
                await store.put(DOCUMENT_KEY, text.encode())
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while await told():
                        await asyncio.sleep(0.05)
                store.close()

    run(test())


def test_a_server_entry_comes_and_goes_without_the_document(tmp_path: Path) -> None:
    async def test() -> None:
        async with two() as (one, other):
            async with limiter(tmp_path / "l.toml", config(one.address, extra=ALONE)) as rig:
                store = store_of(rig)
                entry = json.dumps({"address": other.address, "pools": ["main"]}).encode()
                await store.put(SERVER_PREFIX + "new", entry)
                await until(lambda: len(rig.limiter.setup.servers) == 2)
                await ask(rig, 20)
                assert other.requests
                await store.put(SERVER_PREFIX + "bad", b"{]")  # holds nothing up that is good already
                await asyncio.sleep(0)
                assert await ask(rig, 5) == [200] * 5 and len(rig.limiter.setup.servers) == 2
                await store.delete(SERVER_PREFIX, prefix=True)
                await until(lambda: len(rig.limiter.setup.servers) == 1)
                store.close()

    run(test())


def test_what_comes_late_or_twice_changes_nothing() -> None:
    held = SharedState()
    assert held.load({DRAIN_PREFIX + "a": b"1"}, 5) == Change(False, True)
    assert held.apply_events([(4, DRAIN_PREFIX + "a", None)]) == Change(False, False) and held.drains == {"a"}
    assert held.apply_events([(6, DRAIN_PREFIX + "a", None)]) == Change(False, True)
    assert held.apply_events([(5, DRAIN_PREFIX + "a", b"1"), (6, DRAIN_PREFIX + "a", b"1")]) == Change(
        False, False
    )
    assert held.apply_events([(7, SERVER_PREFIX + "x", b"{}")]) == Change(True, False)
    assert held.load({SERVER_PREFIX + "x": b"{}"}, 9) == Change(False, False)


def test_a_document_is_checked_before_it_is_pushed(tmp_path: Path) -> None:
    path = tmp_path / "new.toml"
    path.write_text(config("127.0.0.1:1").replace('listen = "127.0.0.1:0"', ""))
    assert check_document(path)
    path.write_text(path.read_text().replace('class = "read"', 'class = "raed"'))
    with pytest.raises(FileError, match='found "raed", which is no class'):
        check_document(path)


# --- Three replicas ----------------------------------------------------------------------------------
def test_a_drain_written_while_a_replica_is_dead_holds_for_a_limiter_that_starts(tmp_path: Path) -> None:
    async def test(made: Cluster) -> None:
        async with two() as (one, other):
            text = config(one.address, other.address, extra=member(made))
            dead = await made.leader()
            async with limiter(tmp_path / "a.toml", text):
                pass
            made.kill(dead)
            client = made.client(*(name for name in made.names if name != dead))
            starting = limiter(tmp_path / "b.toml", text)
            entering = asyncio.create_task(starting.__aenter__())
            await client.put(DRAIN_PREFIX + "s0", b"{}", within_s=TEST_TIMEOUT_S)
            made.start(dead)
            rig = await entering
            await until(lambda: any(spec.drain for spec in rig.limiter.setup.servers))
            one.requests.clear()
            assert await ask(rig, 10) == [200] * 10 and not one.requests
            await starting.__aexit__(None, None, None)
            # And one that starts now has it from the first request on.
            async with limiter(tmp_path / "c.toml", text) as late:
                assert await ask(late, 10) == [200] * 10 and not one.requests
            client.close()

    with cluster(tmp_path) as made:
        run(test(made))


def test_without_a_quorum_it_serves_on_tells_the_age_and_refuses_changes(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(keepers, "WARNING_INTERVAL_S", 1.0)
    caplog.set_level(logging.INFO)

    async def test(made: Cluster) -> None:
        async with two() as (one, other):
            text = config(one.address, other.address, extra=member(made))
            async with limiter(tmp_path / "l.toml", text) as rig:
                keeper = rig.limiter.store_follower
                assert keeper
                left = made.names[-1]
                for name in made.names[:-1]:
                    made.kill(name)
                await until(lambda: "serving on from what is" in caplog.text)
                assert "changes are refused" in caplog.text and keeper.age_s > 0
                assert await ask(rig, 10) == [200] * 10
                client = made.client(left)
                with pytest.raises(UnavailableError):
                    await client.put(DRAIN_PREFIX + "s0", b"{}", within_s=1.0)
                client.close()
                made.start(*made.names[:-1])
                await until(lambda: "it answers again" in caplog.text)
                client = made.client()
                await client.put(DRAIN_PREFIX + "s0", b"{}", within_s=TEST_TIMEOUT_S)
                await until(lambda: any(spec.drain for spec in rig.limiter.setup.servers))
                client.close()

    with cluster(tmp_path) as made:
        run(test(made))


def test_a_start_without_the_store_takes_the_copy_and_catches_up_when_it_is_back(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test(made: Cluster) -> None:
        async with two() as (one, other):
            path = tmp_path / "l.toml"
            more = 'start = "cached"\nstart_s = 0.5'
            text = config(one.address, other.address, extra=member(made, more=more))
            async with limiter(path, text):
                pass
            client = made.client()
            await client.put(DRAIN_PREFIX + "s0", b"{}")  # while it is down
            client.close()
            made.stop()
            async with limiter(path) as rig:
                assert "serving from a copy that is" in caplog.text
                assert await ask(rig, 10) == [200] * 10
                made.start()
                await until(lambda: any(spec.drain for spec in rig.limiter.setup.servers))
                one.requests.clear()
                assert await ask(rig, 10) == [200] * 10 and not one.requests
            made.stop()
            (tmp_path / "copy" / "copy-basaltpoint").write_bytes(b"rubbish")
            with pytest.raises(StartError, match="it is damaged"):
                async with limiter(path):
                    pass

    with cluster(tmp_path) as made:
        run(test(made))


def test_a_start_that_waits_takes_no_work_before_the_store_is_there(tmp_path: Path) -> None:
    async def test(made: Cluster) -> None:
        async with two() as (one, other):
            text = config(one.address, other.address, extra=member(made))
            starting = limiter(tmp_path / "l.toml", text)
            entering = asyncio.create_task(starting.__aenter__())
            await asyncio.sleep(0.5)
            assert not entering.done()
            made.start()
            client = made.client()
            await client.put(DRAIN_PREFIX + "s0", b"{}", within_s=TEST_TIMEOUT_S)
            rig = await entering
            await until(lambda: any(spec.drain for spec in rig.limiter.setup.servers))
            assert await ask(rig) == [200]
            client.close()
            await starting.__aexit__(None, None, None)

    with cluster(tmp_path, start=False) as made:
        run(test(made))


def test_replicas_killed_in_turn_under_load_cost_no_request_and_no_drain(tmp_path: Path) -> None:
    async def test(made: Cluster) -> None:
        keys, logs, servers = tmp_path / "keys", [], []
        keys.mkdir()
        for number in range(3):
            logs.append((tmp_path / f"s{number}.log").open("wb"))
            behaviour = ServerBehaviour(workers=64, draw_service_s=lambda rng: rng.expovariate(1 / 0.01))
            server = StandInServer(
                behaviour, name=f"s{number}", keys=SharedIdempotencyKeys(keys), log=logs[-1]
            )
            await server.start()
            servers.append(server)
        addresses = [server.address for server in servers]
        async with limiter(tmp_path / "l.toml", config(*addresses, extra=member(made))) as rig:
            path = tmp_path / "load.toml"
            path.write_text(
                f'target = ["{rig.limiter.address[0]}:{rig.limiter.address[1]}"]\nduration_s = 12.0\n'
                f'[[plan]]\nname = "team"\naccounts = 1\nrate = 60\nkey = "{KEY}"\n'
                '[[class]]\nname = "read"\nshare = 3\naim_ms = 60000\ntimeout_ms = 20000\n'
                '[[class]]\nname = "fix"\nmethod = "POST"\npath = "/corrections/{n}"\nonce = true\n'
                "body_bytes = 20\naim_ms = 60000\ntimeout_ms = 20000\n"
            )
            load = scenario.load(path)
            task = asyncio.create_task(
                coordinator.run(path, load, lambda text: None, ledger=tmp_path / "ledger")
            )
            client, acknowledged = made.client(), dict[str, bytes]()
            told: dict[str, float] = {}
            await until(lambda: min(len(server.requests) for server in servers) > 10)
            for turn, name in enumerate(made.names):
                made.kill(name)
                for at in range(5):
                    await client.put(f"own/{turn}.{at}", b"x", within_s=TEST_TIMEOUT_S)
                    acknowledged[f"own/{turn}.{at}"] = b"x"
                if not told:
                    await client.put(DRAIN_PREFIX + "s0", b"{}", within_s=TEST_TIMEOUT_S)
                    await until(lambda: any(spec.drain for spec in rig.limiter.setup.servers))
                    told["s0"] = time.monotonic()
                made.start(name)
                await asyncio.sleep(0.5)
            stats = await task
            found, _ = await client.get_range("own/", within_s=TEST_TIMEOUT_S)
            assert found.keys() == acknowledged.keys()
            await until(lambda: rig.is_idle)
            client.close()
        for server, log in zip(servers, logs, strict=True):
            server.stop()
            log.close()
        asked = read_ledger(tmp_path / "ledger")
        attempts = [row for number in range(3) for row in read_server_log(tmp_path / f"s{number}.log")]
        assert len(asked) > 300 and stats is not None
        assert audit(asked, attempts, told) == []
        assert any(row.server == "s0" for row in attempts)

    with cluster(tmp_path) as made:
        run(test(made))


# --- Balances ------------------------------------------------------------------------------------------
SLOW = "rate = 0.01\nburst = 10\nceiling_rate = 0.01\nceiling_burst = 10"


def test_a_quota_goes_on_over_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with backend(good) as server:
            path = tmp_path / "l.toml"
            rate = "rate = 0.01\nburst = 10"
            async with limiter(path, config(server.address, extra=ALONE, rate=rate)) as rig:
                codes = await ask(rig, 6)
                assert codes == [200] * 6
            async with limiter(path) as rig:
                codes = await ask(rig, 10)
                assert codes.count(200) == 4, codes

    run(test())


def test_a_quota_goes_on_over_a_kill_from_what_was_written_last(tmp_path: Path) -> None:
    async def test() -> None:
        async with backend(good) as server:
            path = tmp_path / "l.toml"
            rate = "rate = 0.01\nburst = 10"
            extra = ALONE + "balances_s = 0.05\n"
            async with limiter(path, config(server.address, extra=extra, rate=rate), end=False) as rig:
                assert await ask(rig, 6) == [200] * 6
                store = store_of(rig)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while not (await store.get_range("balance/basaltpoint/one"))[0]:
                        await asyncio.sleep(0.02)
                await asyncio.sleep(0.3)
                store.close()
            async with limiter(path) as rig:
                codes = await ask(rig, 10)
                assert codes.count(200) == 4, codes

    run(test())


PLAN = Plan(rate=10, burst=100, max_parallel=0, ceiling_rate=5, ceiling_depth=50)


def test_after_an_orderly_end_a_ceiling_goes_on_from_what_was_left() -> None:
    held = Balance(20, 30, 1_000, final=True)
    told = restore_balance(7, PLAN, held, Timestamp(3_000), down_s=1.5)
    assert (told.customer, told.units_left, told.ceiling_units_left) == (7, 40, 37.5)
    told = restore_balance(7, PLAN, held, Timestamp(1e9), 1e6)
    assert told.ceiling_units_left == 50 and told.units_left == 100


def test_after_a_kill_a_ceiling_holds_what_has_filled_since_the_last_sign_of_life() -> None:
    held = Balance(20, 30, 1_000, final=False)
    assert restore_balance(7, PLAN, held, Timestamp(9_000), down_s=2).ceiling_units_left == 10
    assert restore_balance(7, PLAN, held, Timestamp(9_000), down_s=0).ceiling_units_left == 0


@pytest.mark.parametrize("step_ms", [-3_600_000, -5_000, 5_000, 3_600_000])
def test_a_stepped_wall_clock_fills_no_quota(step_ms: float) -> None:
    """Two seconds have passed, whatever the wall clock says; on another boot there is nothing else."""
    held = Balance(20, 30, 10_000_000, False, "boot", 500.0)
    now_ms = held.saved_ms + 2_000 + step_ms
    assert restore_balance(7, PLAN, held, Timestamp(now_ms, "boot", 502.0), 0).units_left == 40
    assert restore_balance(7, PLAN, held, Timestamp(now_ms, "next", 502.0), 0).units_left == (
        20 if step_ms < 0 else min(100, 40 + step_ms / 100)
    )


def test_a_balance_of_an_earlier_version_is_read_and_a_new_one_by_it() -> None:
    old = msgspec.msgpack.decode(msgspec.msgpack.encode((20.0, 30.0, 1_000.0, True)), type=Balance)
    assert old == Balance(20.0, 30.0, 1_000.0, True)
    new = msgspec.msgpack.decode(msgspec.msgpack.encode(Balance(20.0, 30.0, 1_000.0, True, "boot", 5.0)))
    assert new[:4] == [20.0, 30.0, 1_000.0, True]


def test_how_long_a_life_is_over_is_never_told_too_long() -> None:
    assert min_downtime_s(None, "b", 100) == 0
    assert min_downtime_s(AliveRecord("b", 90.0), "b", 100) == 9
    assert min_downtime_s(AliveRecord("b", 99.9), "b", 100) == 0
    assert min_downtime_s(AliveRecord("old boot", 5e6), "b", 100) == 99
    assert min_downtime_s(AliveRecord("b", 200.0), "b", 100) == 0


def test_balances_are_written_when_they_have_moved_and_so_many_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("basaltpoint.daemon.balances.MAX_BALANCES_PER_WRITE", 2)
    balances = BalanceWriteQueue()
    standings = {at: QuotaStatus(1, 100, 50, 0) for at in range(5)}
    assert list(balances.take_due(range(5), standings.get)) == [0, 1]
    assert list(balances.pending) == [2, 3, 4]
    assert list(balances.take_due([0], standings.get)) == [2, 3]  # those that wait go first
    assert list(balances.take_due([], standings.get)) == [4]  # and 0 has not moved
    standings[0] = QuotaStatus(1, 100, 45, 0)
    assert list(balances.take_due([0], standings.get)) == []
    standings[0] = QuotaStatus(1, 100, 39, 0)
    assert list(balances.take_due([0], standings.get)) == [0]


def test_learned_latencies_are_taken_up_unless_they_are_old(tmp_path: Path) -> None:
    async def test() -> None:
        async with backend(good) as server:
            path = tmp_path / "l.toml"
            async with limiter(path, config(server.address, extra=ALONE)) as rig:
                pool = rig.limiter.relay.decision_module.pools[rig.limiter.setup.pools["main"]]
                pool.light_latencies_ms, pool.servers.mean_latency_ms = [3.0, math.inf, 3.0], 7.0
            async with limiter(path) as rig:
                pool = rig.limiter.relay.decision_module.pools[rig.limiter.setup.pools["main"]]
                assert pool.light_latencies_ms == [3.0, math.inf, 3.0] and pool.servers.mean_latency_ms == 7.0
                store = store_of(rig)
                value = await store.get("learned/basaltpoint")
                assert value
                old = keepers.msgspec.msgpack.decode(value.value)
                old[0] -= 601_000
                store.close()
            path.write_text(path.read_text().replace('dir = "store"', 'dir = "store"\nlearned_s = 0'))
            async with limiter(path) as rig:
                pool = rig.limiter.relay.decision_module.pools[rig.limiter.setup.pools["main"]]
                assert pool.light_latencies_ms == [math.inf] * 3

    run(test())


# --- The file -----------------------------------------------------------------------------------------
def test_a_limiters_name_can_lead_no_file_elsewhere(tmp_path: Path) -> None:
    path = tmp_path / "l.toml"
    path.write_text('name = "../elsewhere"\n[store]\n')
    assert limiter_name(load_toml(path)) == "basaltpoint"
    path.write_text('name = "north-1"\n[store]\n')
    assert limiter_name(load_toml(path)) == "north-1"


def test_a_file_whose_shared_tables_the_store_holds_is_checked_for_the_rest(tmp_path: Path) -> None:
    path = tmp_path / "l.toml"
    path.write_text('listen = "127.0.0.1:0"\n[store]\n')
    check_local_file(path)
    path.write_text('[limits]\nsockets = 1\n[clients]\nidel_s = 1\n[store]\nname = ""\n')
    with pytest.raises(FileError) as error:
        check_local_file(path)
    for text in (
        "limits.sockets: found 1",
        'did you mean "idle_s"?',
        "store.members: none",
        "listen: missing",
    ):
        assert text in str(error.value)


@pytest.mark.parametrize(
    ("table", "text"),
    [
        ('name = ""', "store.members: none; allowed: the replicas to ask, or a name to run one here"),
        (
            'members = ["b@127.0.0.1:1"]',
            'store.name: found "local"; allowed: one of the members, or join = true',
        ),
        ('name = "a"\nmembers = ["a@127.0.0.1:1", "b@127.0.0.1:2"]', "store.listen: missing"),
        ('members = ["b@nowhere"]', "store.members[0]: found"),
        (
            "heartbeat_ms = 200",
            "store.heartbeat_ms: found 200; allowed: up to a third of election_ms, 83.3333",
        ),
        ('listen = "10.0.0.1:0"', "store.cert: missing"),
        ('listen = "127.0.0.1:0"\ncert = "no.pem"', 'store.cert: found "no.pem", which is no file'),
        ("start = 1", 'store.start: found 1; allowed: one of "wait", "cached"'),
    ],
)
def test_a_bad_table_says_where_and_what_is_allowed(tmp_path: Path, table: str, text: str) -> None:
    path = tmp_path / "l.toml"
    path.write_text(config("127.0.0.1:1", extra=f"[store]\n{table}\n"))
    with pytest.raises(FileError) as error:
        Standalone(path)
    assert text in str(error.value)
