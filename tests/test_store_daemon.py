"""A limiter with its store: drains, configuration and balances survive kills of replicas and limiter."""

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
from basaltpoint.daemon import store_follower
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


async def reply_at_once(request: Request) -> None:
    request.reply()


@contextlib.asynccontextmanager
async def two_backends() -> AsyncIterator[tuple[Backend, Backend]]:
    async with backend(reply_at_once) as first, backend(reply_at_once) as second:
        yield first, second


@contextlib.asynccontextmanager
async def limiter(
    path: Path, text: str | None = None, is_orderly: bool = True
) -> AsyncIterator[StandaloneFixture]:
    """A limiter from a file; without `is_orderly` it ends like a killed one, apart from its replica."""
    if text is not None:
        path.write_text(text)
    instance = Standalone(path, seed=1)
    try:
        await instance.start()
        yield StandaloneFixture(instance, path)
    finally:
        follower = instance.store_follower
        if not is_orderly and follower:
            follower._saves_state = False  # nothing is written any more
        await instance.close()


OWN_REPLICA = '[store]\ndir = "store"\n'


def store_table(replicas: Cluster, *names: str, more: str = "") -> str:
    """The [store] table of a limiter that runs no replica."""
    tls = replicas.client_tls
    members = ", ".join(f'"{name}@{replicas.addresses[name]}"' for name in names or replicas.names)
    return (
        f'[store]\nname = ""\ncluster = "test"\nmembers = [{members}]\ndir = "copy"\n'
        f'cert = "{tls.cert}"\nkey = "{tls.key}"\nauthority = "{tls.authority}"\n{more}\n'
    )


async def response_codes(fixture: StandaloneFixture, count: int = 1) -> list[int]:
    client = await fixture.connect()
    codes = [(await client.ask(request())).code for _ in range(count)]
    client.close()
    return codes


def store_client(fixture: StandaloneFixture) -> Client:
    assert fixture.limiter.store_follower
    return setting.create_client(fixture.limiter.store_follower.storage)


# --- One replica ------------------------------------------------------------------------------------------
def test_a_limiter_with_its_own_replica_keeps_drains_and_configuration_over_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with two_backends() as (first, second):
            path = tmp_path / "l.toml"
            text = config(first.address, second.address, extra=OWN_REPLICA)
            async with limiter(path, text) as fixture:
                store = store_client(fixture)
                assert await response_codes(fixture) == [200]
                await store.put(DRAIN_PREFIX + "s0", b"{}")
                await until(lambda: any(spec.drain for spec in fixture.limiter.setup.servers))
                first.requests.clear()
                assert await response_codes(fixture, 10) == [200] * 10 and not first.requests
                store.close()
            # The file does not contain the drain, and the shared tables are not needed in it any more.
            path.write_text('listen = "127.0.0.1:0"\n' + OWN_REPLICA)
            async with limiter(path) as fixture:
                assert await response_codes(fixture, 10) == [200] * 10 and not first.requests
                store = store_client(fixture)
                await store.delete(DRAIN_PREFIX + "s0")
                await until(lambda: not any(spec.drain for spec in fixture.limiter.setup.servers))
                await response_codes(fixture, 20)
                assert first.requests
                store.close()

    run(test())


def test_a_start_fails_if_neither_store_nor_file_has_the_shared_tables(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "l.toml"
        with pytest.raises(StartError, match="basaltpoint config push FILE"):
            async with limiter(path, 'listen = "127.0.0.1:0"\n' + OWN_REPLICA):
                pass

    run(test())


def test_a_start_fails_with_the_reason_if_the_store_refuses_the_document(tmp_path: Path) -> None:
    async def test() -> None:
        text = config("127.0.0.1:1", extra=OWN_REPLICA) + "#" * (1 << 20)
        with pytest.raises(StartError, match="allowed: 1048576"):
            async with limiter(tmp_path / "l.toml", text):
                pass

    run(test())


def test_a_reload_before_the_end_of_the_start_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "l.toml"
        path.write_text(config("127.0.0.1:1", extra=OWN_REPLICA))
        instance = Standalone(path, seed=1)
        assert not instance.reload()
        await instance.close()

    run(test())


def test_the_replica_of_a_limiter_is_restarted_after_a_kill(tmp_path: Path) -> None:
    async def test() -> None:
        async with backend(reply_at_once) as server:
            async with limiter(tmp_path / "l.toml", config(server.address, extra=OWN_REPLICA)) as fixture:
                follower = fixture.limiter.store_follower
                assert follower and follower._replica_process
                before = follower._replica_process
                before.kill()
                assert await response_codes(fixture, 5) == [200] * 5
                await until(lambda: follower._replica_process is not before)
                store = store_client(fixture)
                await store.put(DRAIN_PREFIX + "s0", b"{}", within_s=TEST_TIMEOUT_S)
                await until(lambda: fixture.limiter.setup.servers[0].drain)
                store.close()

    run(test())


# --- Documents and server entries ---------------------------------------------------------------------
def test_an_invalid_document_is_refused_and_reported_and_delays_no_drain(tmp_path: Path) -> None:
    async def test() -> None:
        async with two_backends() as (first, second):
            text = config(first.address, second.address, extra=OWN_REPLICA)
            async with limiter(tmp_path / "l.toml", text) as fixture:
                store = store_client(fixture)
                await store.put(DOCUMENT_KEY, text.replace('pool = "main"', 'pool = "mian"').encode())
                await store.put(DRAIN_PREFIX + "s0", b"{}")
                await until(lambda: any(spec.drain for spec in fixture.limiter.setup.servers))
                first.requests.clear()
                assert await response_codes(fixture, 10) == [200] * 10 and not first.requests

                async def problem() -> str:
                    value = await store.get("limiter/basaltpoint")
                    return str(json.loads(value.value)["problem"]) if value else ""

                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while not await problem():
                        await asyncio.sleep(0.05)
                assert 'found "mian", which is no pool' in await problem()
                await store.put(DOCUMENT_KEY, text.encode())
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while await problem():
                        await asyncio.sleep(0.05)
                store.close()

    run(test())


def test_a_server_entry_is_added_and_removed_without_the_document(tmp_path: Path) -> None:
    async def test() -> None:
        async with two_backends() as (first, second):
            async with limiter(tmp_path / "l.toml", config(first.address, extra=OWN_REPLICA)) as fixture:
                store = store_client(fixture)
                entry = json.dumps({"address": second.address, "pools": ["main"]}).encode()
                await store.put(SERVER_PREFIX + "new", entry)
                await until(lambda: len(fixture.limiter.setup.servers) == 2)
                await response_codes(fixture, 20)
                assert second.requests
                # An invalid entry changes nothing that is in use.
                await store.put(SERVER_PREFIX + "bad", b"{]")
                await asyncio.sleep(0)
                assert (
                    await response_codes(fixture, 5) == [200] * 5 and len(fixture.limiter.setup.servers) == 2
                )
                await store.delete(SERVER_PREFIX, prefix=True)
                await until(lambda: len(fixture.limiter.setup.servers) == 1)
                store.close()

    run(test())


def test_late_and_repeated_events_change_nothing() -> None:
    shared = SharedState()
    assert shared.load({DRAIN_PREFIX + "a": b"1"}, 5) == Change(False, True)
    assert shared.apply_events([(4, DRAIN_PREFIX + "a", None)]) == Change(False, False) and shared.drains == {
        "a"
    }
    assert shared.apply_events([(6, DRAIN_PREFIX + "a", None)]) == Change(False, True)
    assert shared.apply_events([(5, DRAIN_PREFIX + "a", b"1"), (6, DRAIN_PREFIX + "a", b"1")]) == Change(
        False, False
    )
    assert shared.apply_events([(7, SERVER_PREFIX + "x", b"{}")]) == Change(True, False)
    assert shared.load({SERVER_PREFIX + "x": b"{}"}, 9) == Change(False, False)


def test_a_document_is_checked_before_it_is_pushed(tmp_path: Path) -> None:
    path = tmp_path / "new.toml"
    path.write_text(config("127.0.0.1:1").replace('listen = "127.0.0.1:0"', ""))
    assert check_document(path)
    path.write_text(path.read_text().replace('class = "read"', 'class = "raed"'))
    with pytest.raises(FileError, match='found "raed", which is no class'):
        check_document(path)


# --- Three replicas ----------------------------------------------------------------------------------
def test_a_drain_written_while_a_replica_is_down_applies_to_a_limiter_that_starts(tmp_path: Path) -> None:
    async def test(replicas: Cluster) -> None:
        async with two_backends() as (first, second):
            text = config(first.address, second.address, extra=store_table(replicas))
            killed = await replicas.leader()
            async with limiter(tmp_path / "a.toml", text):
                pass
            replicas.kill(killed)
            client = replicas.client(*(name for name in replicas.names if name != killed))
            starting = limiter(tmp_path / "b.toml", text)
            entered = asyncio.create_task(starting.__aenter__())
            await client.put(DRAIN_PREFIX + "s0", b"{}", within_s=TEST_TIMEOUT_S)
            replicas.start(killed)
            fixture = await entered
            await until(lambda: any(spec.drain for spec in fixture.limiter.setup.servers))
            first.requests.clear()
            assert await response_codes(fixture, 10) == [200] * 10 and not first.requests
            await starting.__aexit__(None, None, None)
            # A limiter that starts now applies the drain from the first request on.
            async with limiter(tmp_path / "c.toml", text) as late_fixture:
                assert await response_codes(late_fixture, 10) == [200] * 10 and not first.requests
            client.close()

    with cluster(tmp_path) as replicas:
        run(test(replicas))


def test_without_a_quorum_the_limiter_serves_and_logs_the_age_and_changes_are_refused(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_follower, "WARNING_INTERVAL_S", 1.0)
    caplog.set_level(logging.INFO)

    async def test(replicas: Cluster) -> None:
        async with two_backends() as (first, second):
            text = config(first.address, second.address, extra=store_table(replicas))
            async with limiter(tmp_path / "l.toml", text) as fixture:
                follower = fixture.limiter.store_follower
                assert follower
                last = replicas.names[-1]
                for name in replicas.names[:-1]:
                    replicas.kill(name)
                await until(lambda: "serving on from what is" in caplog.text)
                assert "changes are refused" in caplog.text and follower.age_s > 0
                assert await response_codes(fixture, 10) == [200] * 10
                client = replicas.client(last)
                with pytest.raises(UnavailableError):
                    await client.put(DRAIN_PREFIX + "s0", b"{}", within_s=1.0)
                client.close()
                replicas.start(*replicas.names[:-1])
                await until(lambda: "it is available again" in caplog.text)
                client = replicas.client()
                await client.put(DRAIN_PREFIX + "s0", b"{}", within_s=TEST_TIMEOUT_S)
                await until(lambda: any(spec.drain for spec in fixture.limiter.setup.servers))
                client.close()

    with cluster(tmp_path) as replicas:
        run(test(replicas))


def test_a_start_without_the_store_uses_the_local_copy_and_catches_up_later(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test(replicas: Cluster) -> None:
        async with two_backends() as (first, second):
            path = tmp_path / "l.toml"
            more = 'start = "cached"\nstart_s = 0.5'
            text = config(first.address, second.address, extra=store_table(replicas, more=more))
            async with limiter(path, text):
                pass
            client = replicas.client()
            await client.put(DRAIN_PREFIX + "s0", b"{}")  # while no limiter runs
            client.close()
            replicas.stop()
            async with limiter(path) as fixture:
                assert "serving from a copy that is" in caplog.text
                assert await response_codes(fixture, 10) == [200] * 10
                replicas.start()
                await until(lambda: any(spec.drain for spec in fixture.limiter.setup.servers))
                first.requests.clear()
                assert await response_codes(fixture, 10) == [200] * 10 and not first.requests
            replicas.stop()
            (tmp_path / "copy" / "copy-basaltpoint").write_bytes(b"rubbish")
            with pytest.raises(StartError, match="its checksum does not match"):
                async with limiter(path):
                    pass

    with cluster(tmp_path) as replicas:
        run(test(replicas))


def test_a_start_that_waits_for_the_store_serves_nothing_before(tmp_path: Path) -> None:
    async def test(replicas: Cluster) -> None:
        async with two_backends() as (first, second):
            text = config(first.address, second.address, extra=store_table(replicas))
            starting = limiter(tmp_path / "l.toml", text)
            entered = asyncio.create_task(starting.__aenter__())
            await asyncio.sleep(0.5)
            assert not entered.done()
            replicas.start()
            client = replicas.client()
            await client.put(DRAIN_PREFIX + "s0", b"{}", within_s=TEST_TIMEOUT_S)
            fixture = await entered
            await until(lambda: any(spec.drain for spec in fixture.limiter.setup.servers))
            assert await response_codes(fixture) == [200]
            client.close()
            await starting.__aexit__(None, None, None)

    with cluster(tmp_path, start=False) as replicas:
        run(test(replicas))


def test_replicas_killed_in_turn_under_load_lose_no_request_and_no_drain(tmp_path: Path) -> None:
    async def test(replicas: Cluster) -> None:
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
        async with limiter(tmp_path / "l.toml", config(*addresses, extra=store_table(replicas))) as fixture:
            path = tmp_path / "load.toml"
            path.write_text(
                f'target = ["{fixture.limiter.address[0]}:{fixture.limiter.address[1]}"]\nduration_s = 12.0\n'
                f'[[plan]]\nname = "team"\naccounts = 1\nrate = 60\nkey = "{KEY}"\n'
                '[[class]]\nname = "read"\nshare = 3\naim_ms = 60000\ntimeout_ms = 20000\n'
                '[[class]]\nname = "fix"\nmethod = "POST"\npath = "/corrections/{n}"\nonce = true\n'
                "body_bytes = 20\naim_ms = 60000\ntimeout_ms = 20000\n"
            )
            load = scenario.load(path)
            task = asyncio.create_task(
                coordinator.run(path, load, lambda text: None, ledger=tmp_path / "ledger")
            )
            client, acknowledged = replicas.client(), dict[str, bytes]()
            drained_at_s: dict[str, float] = {}
            await until(lambda: min(len(server.requests) for server in servers) > 10)
            for turn, name in enumerate(replicas.names):
                replicas.kill(name)
                for at in range(5):
                    await client.put(f"own/{turn}.{at}", b"x", within_s=TEST_TIMEOUT_S)
                    acknowledged[f"own/{turn}.{at}"] = b"x"
                if not drained_at_s:
                    await client.put(DRAIN_PREFIX + "s0", b"{}", within_s=TEST_TIMEOUT_S)
                    await until(lambda: any(spec.drain for spec in fixture.limiter.setup.servers))
                    drained_at_s["s0"] = time.monotonic()
                replicas.start(name)
                await asyncio.sleep(0.5)
            stats = await task
            found, _ = await client.get_range("own/", within_s=TEST_TIMEOUT_S)
            assert found.keys() == acknowledged.keys()
            await until(lambda: fixture.is_idle)
            client.close()
        for server, log in zip(servers, logs, strict=True):
            server.stop()
            log.close()
        requests = read_ledger(tmp_path / "ledger")
        attempts = [row for number in range(3) for row in read_server_log(tmp_path / f"s{number}.log")]
        assert len(requests) > 300 and stats is not None
        assert audit(requests, attempts, drained_at_s) == []
        assert any(row.server == "s0" for row in attempts)

    with cluster(tmp_path) as replicas:
        run(test(replicas))


# --- Balances ------------------------------------------------------------------------------------------
SLOW = "rate = 0.01\nburst = 10\nceiling_rate = 0.01\nceiling_burst = 10"


def test_a_quota_is_restored_after_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with backend(reply_at_once) as server:
            path = tmp_path / "l.toml"
            rate = "rate = 0.01\nburst = 10"
            async with limiter(path, config(server.address, extra=OWN_REPLICA, rate=rate)) as fixture:
                codes = await response_codes(fixture, 6)
                assert codes == [200] * 6
            async with limiter(path) as fixture:
                codes = await response_codes(fixture, 10)
                assert codes.count(200) == 4, codes

    run(test())


def test_a_quota_is_restored_after_a_kill_from_the_balance_written_last(tmp_path: Path) -> None:
    async def test() -> None:
        async with backend(reply_at_once) as server:
            path = tmp_path / "l.toml"
            rate = "rate = 0.01\nburst = 10"
            extra = OWN_REPLICA + "balances_s = 0.05\n"
            async with limiter(
                path, config(server.address, extra=extra, rate=rate), is_orderly=False
            ) as fixture:
                assert await response_codes(fixture, 6) == [200] * 6
                store = store_client(fixture)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while not (await store.get_range("balance/basaltpoint/one"))[0]:
                        await asyncio.sleep(0.02)
                await asyncio.sleep(0.3)
                store.close()
            async with limiter(path) as fixture:
                codes = await response_codes(fixture, 10)
                assert codes.count(200) == 4, codes

    run(test())


PLAN = Plan(rate=10, burst=100, max_parallel=0, ceiling_rate=5, ceiling_depth=50)


def test_after_an_orderly_end_a_ceiling_is_restored_from_the_units_left() -> None:
    balance = Balance(20, 30, 1_000, final=True)
    restored = restore_balance(7, PLAN, balance, Timestamp(3_000), downtime_s=1.5)
    assert (restored.customer, restored.units_left, restored.ceiling_units_left) == (7, 40, 37.5)
    restored = restore_balance(7, PLAN, balance, Timestamp(1e9), 1e6)
    assert restored.ceiling_units_left == 50 and restored.units_left == 100


def test_after_a_kill_a_ceiling_holds_only_what_refilled_since_the_last_alive_record() -> None:
    balance = Balance(20, 30, 1_000, final=False)
    assert restore_balance(7, PLAN, balance, Timestamp(9_000), downtime_s=2).ceiling_units_left == 10
    assert restore_balance(7, PLAN, balance, Timestamp(9_000), downtime_s=0).ceiling_units_left == 0


@pytest.mark.parametrize("step_ms", [-3_600_000, -5_000, 5_000, 3_600_000])
def test_a_stepped_wall_clock_fills_no_quota(step_ms: float) -> None:
    """Two seconds pass by the time since boot; only after a reboot does the wall clock count."""
    balance = Balance(20, 30, 10_000_000, False, "boot", 500.0)
    now_ms = balance.saved_ms + 2_000 + step_ms
    assert restore_balance(7, PLAN, balance, Timestamp(now_ms, "boot", 502.0), 0).units_left == 40
    assert restore_balance(7, PLAN, balance, Timestamp(now_ms, "next", 502.0), 0).units_left == (
        20 if step_ms < 0 else min(100, 40 + step_ms / 100)
    )


def test_balances_are_compatible_with_the_earlier_version_in_both_directions() -> None:
    old = msgspec.msgpack.decode(msgspec.msgpack.encode((20.0, 30.0, 1_000.0, True)), type=Balance)
    assert old == Balance(20.0, 30.0, 1_000.0, True)
    new = msgspec.msgpack.decode(msgspec.msgpack.encode(Balance(20.0, 30.0, 1_000.0, True, "boot", 5.0)))
    assert new[:4] == [20.0, 30.0, 1_000.0, True]


def test_the_downtime_is_never_overestimated() -> None:
    assert min_downtime_s(None, "b", 100) == 0
    assert min_downtime_s(AliveRecord("b", 90.0), "b", 100) == 9
    assert min_downtime_s(AliveRecord("b", 99.9), "b", 100) == 0
    assert min_downtime_s(AliveRecord("old boot", 5e6), "b", 100) == 99
    assert min_downtime_s(AliveRecord("b", 200.0), "b", 100) == 0


def test_balances_are_written_after_a_change_and_a_limited_number_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("basaltpoint.daemon.balances.MAX_BALANCES_PER_WRITE", 2)
    balances = BalanceWriteQueue()
    statuses = {at: QuotaStatus(1, 100, 50, 0) for at in range(5)}
    assert list(balances.take_due(range(5), statuses.get)) == [0, 1]
    assert list(balances.pending) == [2, 3, 4]
    assert list(balances.take_due([0], statuses.get)) == [2, 3]  # pending accounts come first
    assert list(balances.take_due([], statuses.get)) == [4]  # the balance of 0 has not changed
    statuses[0] = QuotaStatus(1, 100, 45, 0)
    assert list(balances.take_due([0], statuses.get)) == []
    statuses[0] = QuotaStatus(1, 100, 39, 0)
    assert list(balances.take_due([0], statuses.get)) == [0]


def test_learned_latencies_are_restored_unless_they_are_old(tmp_path: Path) -> None:
    async def test() -> None:
        async with backend(reply_at_once) as server:
            path = tmp_path / "l.toml"
            async with limiter(path, config(server.address, extra=OWN_REPLICA)) as fixture:
                pool = fixture.limiter.relay.decision_module.pools[fixture.limiter.setup.pools["main"]]
                pool.light_latencies_ms, pool.servers.mean_latency_ms = [3.0, math.inf, 3.0], 7.0
            async with limiter(path) as fixture:
                pool = fixture.limiter.relay.decision_module.pools[fixture.limiter.setup.pools["main"]]
                assert pool.light_latencies_ms == [3.0, math.inf, 3.0] and pool.servers.mean_latency_ms == 7.0
                store = store_client(fixture)
                value = await store.get("learned/basaltpoint")
                assert value
                old = store_follower.msgspec.msgpack.decode(value.value)
                old[0] -= 601_000
                store.close()
            path.write_text(path.read_text().replace('dir = "store"', 'dir = "store"\nlearned_s = 0'))
            async with limiter(path) as fixture:
                pool = fixture.limiter.relay.decision_module.pools[fixture.limiter.setup.pools["main"]]
                assert pool.light_latencies_ms == [math.inf] * 3

    run(test())


# --- The file -----------------------------------------------------------------------------------------
def test_a_limiters_name_can_not_lead_to_a_file_in_another_folder(tmp_path: Path) -> None:
    path = tmp_path / "l.toml"
    path.write_text('name = "../elsewhere"\n[store]\n')
    assert limiter_name(load_toml(path)) == "basaltpoint"
    path.write_text('name = "north-1"\n[store]\n')
    assert limiter_name(load_toml(path)) == "north-1"


def test_a_file_without_shared_tables_is_checked_for_the_others(tmp_path: Path) -> None:
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
def test_an_invalid_table_is_reported_with_its_place_and_the_allowed_values(
    tmp_path: Path, table: str, text: str
) -> None:
    path = tmp_path / "l.toml"
    path.write_text(config("127.0.0.1:1", extra=f"[store]\n{table}\n"))
    with pytest.raises(FileError) as error:
        Standalone(path)
    assert text in str(error.value)
