"""Replica processes: crashes at each point of a write, pauses, stale folders, membership changes, backups."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import ssl
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from standalone import config
from storeprocs import TEST_TIMEOUT_S, Authority, Cluster, cluster

from basaltpoint.links.frames import LENGTH_PREFIX, PROTOCOL_VERSION, Greeting, encode_frame
from basaltpoint.links.transport import Link, connect
from basaltpoint.store import protocol as p
from basaltpoint.store.client import Client, Endpoint, StoreError, UnavailableError
from basaltpoint.store.replica import Replica, ReplicaSettings
from basaltpoint.store.state_machine import Check, CompactedError, Put

FREQUENT_SNAPSHOTS = "snapshot_entries = 20"


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(0.02)


async def wait_until_caught_up(replicas: Cluster, name: str) -> None:
    """Waits until a replica has applied everything that the cluster has committed so far."""
    async with contextlib.AsyncExitStack() as stack:
        client, local = replicas.client(), replicas.local(name)
        stack.callback(client.close)
        stack.callback(local.close)
        await client.put("mark", b"")
        revision = client.revision

        async def is_complete() -> bool:
            try:
                return (await local.status(1.0)).revision >= revision
            except (StoreError, OSError):
                return False

        await wait_until(is_complete)


class Writer:
    """Writes continuously and remembers which writes were acknowledged."""

    def __init__(self, client: Client, name: str = "w") -> None:
        self.client, self.name = client, name
        self.count = 0
        self.acknowledged: dict[str, bytes] = {}
        self.stopped = False

    async def write(self) -> None:
        self.count += 1
        key, value = f"{self.name}/{self.count % 50}", b"%d" % self.count
        await self.client.put(key, value, within_s=TEST_TIMEOUT_S)
        self.acknowledged[key] = value

    async def run(self) -> None:
        while not self.stopped:
            await self.write()

    async def check_acknowledged(self, client: Client) -> None:
        """Checks that every acknowledged value, or a later one from a command in progress, is stored."""
        values, _ = await client.get_range(self.name + "/", within_s=TEST_TIMEOUT_S)
        stored = {key: value.value for key, value in values.items()}
        for key, value in self.acknowledged.items():
            assert int(stored[key]) >= int(value), (
                f"{key}: {value!r} was acknowledged, {stored[key]!r} is stored"
            )


def test_replicas_killed_in_turn_lose_no_acknowledged_write(tmp_path: Path) -> None:
    async def story(replicas: Cluster) -> None:
        await replicas.leader()
        writers = [Writer(replicas.client(), f"w{at}") for at in range(3)]
        tasks = [asyncio.create_task(writer.run()) for writer in writers]
        for _ in range(2):
            for name in replicas.names:
                before = [writer.count for writer in writers]
                replicas.kill(name)
                await wait_until(lambda before=before: _all_progressed(writers, before))
                replicas.start(name)
                await wait_until_caught_up(replicas, name)
        for writer in writers:
            writer.stopped = True
        await asyncio.gather(*tasks)
        for writer in writers:
            await writer.check_acknowledged(replicas.client())

    with cluster(tmp_path, extra_config=FREQUENT_SNAPSHOTS) as replicas:
        asyncio.run(story(replicas))


async def _all_progressed(writers: list[Writer], before: list[int]) -> bool:
    return all(writer.count > count + 5 for writer, count in zip(writers, before, strict=True))


async def _restart_and_check(replicas: Cluster, name: str, writer: Writer, point: str) -> None:
    """Restarts a replica that crashed at a point, and checks that it has every acknowledged write."""
    assert replicas.running[name].returncode == -signal.SIGKILL, (point, replicas.log(name))
    replicas.start(name)
    await wait_until_caught_up(replicas, name)
    local = replicas.local(name)
    await writer.check_acknowledged(local)
    local.close()


WRITE_CRASH_POINTS = [
    "write.before",
    "write.torn",
    "write.unsynced",
    "write.synced",
    "snapshot.begin",
    "snapshot.written",
    "snapshot.synced",
    "snapshot.renamed",
    "snapshot.named",
    "roll.before",
    "roll.torn",
    "roll.unsynced",
    "roll.synced",
    "roll.named",
    "forget.removed",
]
INSTALL_CRASH_POINTS = [
    "install.begin",
    "install.written",
    "install.synced",
    "install.renamed",
    "install.named",
    "install.rolled",
    "roll.torn",
    "forget.removed",
]


def test_a_crash_at_each_point_of_a_write_or_snapshot_loses_nothing(tmp_path: Path) -> None:
    async def story(replicas: Cluster) -> None:
        writer = Writer(replicas.client())
        for at, point in enumerate(WRITE_CRASH_POINTS):
            name = await replicas.leader() if at % 2 else replicas.names[at % 3]
            replicas.kill(name, signal.SIGTERM)
            replicas.start(name, crash=point + ":2")
            while replicas.running[name].poll() is None:
                await writer.write()
            await _restart_and_check(replicas, name, writer, point)

    with cluster(tmp_path, extra_config=FREQUENT_SNAPSHOTS) as replicas:
        asyncio.run(story(replicas))


def test_a_crash_at_each_point_of_a_snapshot_install_loses_nothing(tmp_path: Path) -> None:
    async def story(replicas: Cluster) -> None:
        writer = Writer(replicas.client())
        for at, point in enumerate(INSTALL_CRASH_POINTS):
            name = replicas.names[at % 3]
            replicas.kill(name)
            for _ in range(70):  # more than the logs of the other replicas still contain
                await writer.write()
            replicas.start(name, crash=point)
            await wait_until(lambda name=name: _has_exited(replicas.running[name]))
            await _restart_and_check(replicas, name, writer, point)

    with cluster(tmp_path, extra_config=FREQUENT_SNAPSHOTS) as replicas:
        asyncio.run(story(replicas))


async def _has_exited(process: subprocess.Popen[bytes]) -> bool:
    return process.poll() is not None


def test_a_stopped_leader_serves_no_stale_read_and_acknowledges_no_lost_write(tmp_path: Path) -> None:
    async def story(replicas: Cluster) -> None:
        old = await replicas.leader()
        rest = [name for name in replicas.names if name != old]
        others, at_old = replicas.client(*rest), replicas.client(old)
        await others.put("a", b"old")
        await at_old.get("a")  # opens the connection
        replicas.running[old].send_signal(signal.SIGSTOP)
        reading = [asyncio.create_task(at_old.get("a", within_s=TEST_TIMEOUT_S)) for _ in range(5)]
        writing = asyncio.create_task(_try_put(replicas.local(old), "b"))
        await asyncio.sleep(0.05)
        await others.put("a", b"new", within_s=TEST_TIMEOUT_S)
        replicas.running[old].send_signal(signal.SIGCONT)
        seen = await asyncio.gather(*reading)
        assert [value and value.value for value in seen] == [b"new"] * 5
        acknowledged = await writing
        held = await others.get("b")
        assert not acknowledged or (held and held.value == b"1")

    with cluster(tmp_path) as replicas:
        asyncio.run(story(replicas))


async def _try_put(client: Client, key: str) -> bool:
    try:
        await client.put(key, b"1", within_s=8.0)
    except UnavailableError:
        return False
    finally:
        client.close()
    return True


def test_a_stopped_follower_does_not_block_writes(tmp_path: Path) -> None:
    async def story(replicas: Cluster) -> None:
        leader = await replicas.leader()
        slow = next(name for name in replicas.names if name != leader)
        replicas.running[slow].send_signal(signal.SIGSTOP)
        client = replicas.client(*(name for name in replicas.names if name != slow))
        for at in range(60):  # more than the buffers between leader and follower can hold
            await client.put(f"big{at % 8}", bytes(500_000), within_s=TEST_TIMEOUT_S)
        replicas.running[slow].send_signal(signal.SIGCONT)
        await wait_until_caught_up(replicas, slow)

    with cluster(tmp_path) as replicas:
        asyncio.run(story(replicas))


def test_a_watch_survives_kills_and_misses_nothing(tmp_path: Path) -> None:
    async def story(replicas: Cluster) -> None:
        writer = Writer(replicas.client())
        seen: list[tuple[str, bytes]] = []

        async def watch() -> None:
            async for events, _ in replicas.client().watch("w/", 1):
                seen.extend((event.key, event.value.value) for event in events if event.value)

        watching = asyncio.create_task(watch())
        for name in replicas.names:
            for _ in range(10):
                await writer.write()
            replicas.kill(name)
            for _ in range(10):
                await writer.write()
            replicas.start(name)
            await wait_until_caught_up(replicas, name)
        wanted = [(f"w/{at % 50}", b"%d" % at) for at in range(1, writer.count + 1)]

        async def is_complete() -> bool:
            return len(seen) >= len(wanted)

        await wait_until(is_complete)
        watching.cancel()
        assert seen == wanted

    with cluster(tmp_path, extra_config="snapshot_entries = 100000") as replicas:
        asyncio.run(story(replicas))


def test_a_watch_across_a_snapshot_fails_as_compacted_and_resumes_from_a_read(tmp_path: Path) -> None:
    async def story(replicas: Cluster) -> None:
        client = replicas.client()
        name = replicas.names[0]
        await client.put("a", b"1")
        revision = client.revision
        replicas.kill(name)
        rest = replicas.client(*replicas.names[1:])
        for at in range(70):
            await rest.put("a", b"%d" % at, within_s=TEST_TIMEOUT_S)
        replicas.start(name)
        await wait_until_caught_up(replicas, name)
        local = replicas.local(name)
        with pytest.raises(CompactedError) as error:
            async for _ in local.watch("", revision + 1):
                raise AssertionError("an incomplete watch was reported as complete")
        values, at = await local.get_range("")
        assert values["a"].value == b"69" and error.value.oldest_revision <= at + 1
        await local.put("a", b"last")
        async for events, _ in local.watch("", at + 1):
            if events:
                assert events[-1].value and events[-1].value.value == b"last"
                break

    with cluster(tmp_path, extra_config=FREQUENT_SNAPSHOTS) as replicas:
        asyncio.run(story(replicas))


def test_members_are_added_and_removed_during_writes(tmp_path: Path) -> None:
    async def story(replicas: Cluster) -> None:
        await replicas.leader()
        writer = Writer(replicas.client("r0", "r1", "r2"))
        task = asyncio.create_task(writer.run())
        replicas.write_config("r3", join=True)
        replicas.start("r3")
        file = replicas.path / "r0" / "store.toml"
        added = await run_command("add", "r3", replicas.addresses["r3"], "--config", str(file))
        assert added == (0, "r3 is a learner\nr3 is a voter\n"), added
        leader = await replicas.leader()
        removed = await run_command("remove", leader, "--config", str(file))
        assert removed == (0, f"{leader} is removed\n"), removed
        replicas.kill(leader)
        left = [name for name in replicas.names if name != leader]
        client = replicas.client(*left)
        writer.stopped = True
        await task
        await writer.check_acknowledged(client)
        members = (await client.status()).membership
        assert sorted(members.voters) == sorted(left)
        now = await replicas.leader()
        target = next(name for name in left if name != now)
        config = str(replicas.path / target / "store.toml")
        assert await run_command("transfer", target, "--config", config) == (0, f"{target} leads\n")
        code, text = await run_command("remove", "nobody", "--config", config)
        assert code == 1 and "nobody is no member; members are" in text

    with cluster(tmp_path, size=4, extra_config=FREQUENT_SNAPSHOTS, start=False) as replicas:
        replicas.names = ["r0", "r1", "r2"]
        for name in replicas.names:
            replicas.write_config(name)
        replicas.start()
        replicas.names.append("r3")
        asyncio.run(story(replicas))


async def run_command(*args: str, top: tuple[str, ...] = ("store",)) -> tuple[int, str]:
    """Runs `basaltpoint store ...`, or another command; returns its exit code and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "basaltpoint",
        *top,
        *args,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    out, _ = await process.communicate()
    return process.returncode or 0, out.decode()


def test_the_commands_report_results_and_refusals(tmp_path: Path) -> None:
    async def story(replicas: Cluster) -> None:
        await replicas.leader()
        file, client = str(replicas.path / "r0" / "store.toml"), replicas.local("r0")

        async def run_store(*args: str, top: tuple[str, ...] = ("store",)) -> tuple[int, str]:
            return await run_command(*args, "--config", file, top=top)

        assert await run_store("put", "a", "1") == (0, "revision 1\n")
        assert await run_store("get", "a") == (0, "1\n") and await run_store("get", "b") == (1, "")
        assert await run_store("put", "a", "2", "--revision", "0") == (1, "a: found revision 1, expected 0\n")
        code, text = await run_store("status")
        assert code == 0 and "leader    r0" in text
        assert (await run_store("s1", top=("drain",)))[0] == 0
        assert "shared/drain/s1" in (await run_store("get", "shared/drain/", "--prefix"))[1]
        assert await run_store("s1", top=("undrain",)) == (0, "s1 is no longer drained\n")
        assert await run_store("s1", top=("undrain",)) == (1, "s1 is not draining\n")
        new = tmp_path / "new.toml"
        new.write_text(config("127.0.0.1:1", routes="").replace('pool = "main"', 'pool = "mian"', 1))
        code, text = await run_store("push", str(new), top=("config",))
        assert code == 2 and 'found "mian", which is no pool' in text
        new.write_text(config("127.0.0.1:1"))
        assert (await run_store("push", str(new), top=("config",)))[0] == 0
        assert await run_store("s9", top=("drain",)) == (1, "unknown server 's9'; known servers: s0\n")
        assert (await run_store("s9", "--force", top=("drain",)))[0] == 0
        await client.put("shared/server/s8", b"{}")
        assert (await run_store("s8", top=("drain",)))[0] == 0
        code, text = await run_store("push", str(new), "--revision", "1", top=("config",))
        assert code == 1 and "expected 1" in text
        assert 'name = "main"' in (await run_store("show", top=("config",)))[1]
        assert (await run_store("delete", "a"))[0] == 0
        replicas.kill("r0")
        code, text = await run_store("get", "a", "--within", "0.2")
        assert code == 1 and "no replica answers; tried for 0.2 s" in text

    with cluster(tmp_path, 1) as replicas:
        asyncio.run(story(replicas))


def test_a_cluster_is_restored_from_a_backup(tmp_path: Path) -> None:
    backup = tmp_path / "cluster.bak"

    async def write_and_back_up(replicas: Cluster) -> int:
        client = replicas.client()
        for at in range(30):
            await client.put(f"k{at}", b"%d" % at)
        code, text = await run_command(
            "snapshot", str(backup), "--config", str(replicas.path / "r0/store.toml")
        )
        assert code == 0 and "30 keys" in text
        return client.revision

    async def restore_and_check(replicas: Cluster, revision: int) -> None:
        for name in replicas.names:
            file = str(replicas.path / name / "store.toml")
            code, text = await run_command("restore", str(backup), "--config", file)
            assert code == 1 and "found cluster 'test'" in text
            shutil.rmtree(replicas.path / name / "data")
            replicas.write_config(name, cluster="test2")
            assert (await run_command("restore", str(backup), "--config", file))[0] == 0
            code, text = await run_command("restore", str(backup), "--config", file)
            assert code == 1 and "holds a replica already" in text
        replicas.start()
        await replicas.leader()
        client = replicas.local("r0")
        values, now = await client.get_range("k", within_s=TEST_TIMEOUT_S)
        assert {key: value.value for key, value in values.items()} == {
            f"k{at}": b"%d" % at for at in range(30)
        }
        with pytest.raises(CompactedError):  # watches of the old cluster must read again
            async for _ in client.watch("k", revision + 5):
                pass
        assert now > revision
        await client.put("k0", b"on")

    with cluster(tmp_path) as replicas:
        revision = asyncio.run(write_and_back_up(replicas))
        replicas.stop()
        asyncio.run(restore_and_check(replicas, revision))


# --- Rejected connections -----------------------------------------------------------------------------------
class FrameRecorder:
    """Records all frames received over a connection."""

    def __init__(self) -> None:
        self.frames: list[p.AnyFrame] = []

    def greeting_received(self, link: Link) -> bool:
        return True

    def frame_received(self, link: Link, frame: p.AnyFrame) -> None:
        self.frames.append(frame)

    def link_closed(self, link: Link) -> None:
        pass


async def _frames_received(
    replicas: Cluster, greeting: Greeting, tls: object, name: str = "r0"
) -> list[p.AnyFrame]:
    """Returns the frames that a client with this greeting receives."""
    listener = FrameRecorder()
    link = await connect(
        lambda: Link(listener, greeting, False, p.STORE_PROTOCOL), replicas.addresses["r0"], name, tls
    )  # type: ignore[arg-type]
    link.send(p.Get(1, "", local=True))
    link.send(p.ExecuteCommand(2, p.kv.Command(p.kv.OpenSession())))
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await link.closed
    return listener.frames


def test_a_client_without_a_certificate_of_the_cluster_is_refused(tmp_path: Path) -> None:
    async def story(replicas: Cluster) -> None:
        await replicas.leader()
        await replicas.client().put("secret", b"s")
        stranger = Authority(tmp_path / "stranger").issue("client")
        # Signed by another authority: neither side accepts the other's certificate.
        with pytest.raises((ssl.SSLError, OSError)):
            await _frames_received(replicas, Greeting(PROTOCOL_VERSION, "test"), stranger)
        with pytest.raises((OSError, TimeoutError)):  # plain text to a TLS port
            frames = await _frames_received(replicas, Greeting(PROTOCOL_VERSION, "test"), None)
            assert frames == []
            raise OSError
        tls = replicas.client_tls
        assert await _frames_received(replicas, Greeting(PROTOCOL_VERSION, "other"), tls) == []
        assert await _frames_received(replicas, Greeting(PROTOCOL_VERSION + 1, "test"), tls) == []
        # A client's certificate does not authenticate a replica.
        assert (
            await _frames_received(
                replicas, Greeting(PROTOCOL_VERSION, "test", "r1", replicas.addresses["r1"]), tls
            )
            == []
        )
        # A client rejects a replica whose certificate lacks the expected name.
        with pytest.raises(ssl.SSLError):
            await _frames_received(replicas, Greeting(PROTOCOL_VERSION, "test"), tls, "r1")

    with cluster(tmp_path) as replicas:
        asyncio.run(story(replicas))


def test_an_oversized_or_malformed_frame_closes_the_connection(tmp_path: Path) -> None:
    async def story() -> None:
        replica = Replica(
            ReplicaSettings("a", "c", tmp_path / "a", initial_membership=_single_member("a")), seed=1
        )
        await replica.start()
        for raw in (
            b"\xff\xff\xff\xff",
            LENGTH_PREFIX.pack(5) + b"\x93\xa1xyz",
            encode_frame(p.CommandResponse(1, p.kv.Result(1))),
        ):
            reader, writer = await asyncio.open_unix_connection(str(tmp_path / "a" / "socket"))
            writer.write(encode_frame(Greeting(PROTOCOL_VERSION, "c")) + raw)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                rest = await reader.read()
            assert rest == encode_frame(replica._greeting())
            writer.close()
        client = Client([Endpoint(str(tmp_path / "a" / "socket"))], "c")
        big = [Put(f"k{at}", bytes(1 << 20)) for at in range(5)]
        with pytest.raises(StoreError, match=r"found a command of 5242890 bytes; allowed: 4194304"):
            await client.transaction(big)
        client.close()
        replica.close()

    asyncio.run(story())


def _single_member(name: str) -> p.messages.Membership:
    return p.messages.Membership((p.messages.Member(name),))


# --- Folders ------------------------------------------------------------
def test_a_folder_serves_one_process_one_cluster_and_one_name(tmp_path: Path) -> None:
    async def story() -> None:
        replica = Replica(ReplicaSettings("a", "c", tmp_path / "a", initial_membership=_single_member("a")))
        with pytest.raises(Exception, match="another process uses this folder"):
            Replica(ReplicaSettings("a", "c", tmp_path / "a"))
        replica.close()
        with pytest.raises(Exception, match="found the cluster 'c'; allowed: 'd'"):
            Replica(ReplicaSettings("a", "d", tmp_path / "a"))
        with pytest.raises(Exception, match="found the name 'a'; allowed: 'b'"):
            Replica(ReplicaSettings("b", "c", tmp_path / "a"))

    asyncio.run(story())


def test_a_folder_restored_from_an_old_copy_recovers_from_the_other_replicas(tmp_path: Path) -> None:
    async def story(replicas: Cluster) -> None:
        await replicas.leader()
        writer = Writer(replicas.client("r0", "r1"))
        await writer.write()
        await wait_until_caught_up(replicas, "r2")
        replicas.kill("r2")
        shutil.copytree(tmp_path / "r2/data", tmp_path / "old", ignore=shutil.ignore_patterns("socket"))
        replicas.start("r2")
        for _ in range(30):
            await writer.write()
        await wait_until_caught_up(replicas, "r2")
        replicas.kill("r2")
        shutil.rmtree(tmp_path / "r2/data")
        shutil.copytree(tmp_path / "old", tmp_path / "r2/data")
        # With only one other replica it can't know what it has acknowledged: it waits, and so does the
        # cluster.
        leader = await replicas.leader()
        other = next(name for name in ("r0", "r1") if name != leader)
        replicas.kill(leader)
        replicas.start("r2")
        local = replicas.local("r2")

        async def recovering() -> bool:
            try:
                return (await local.status(1.0)).recovering
            except StoreError:
                return False

        await wait_until(recovering)
        with pytest.raises(UnavailableError):
            await replicas.client(other, "r2").put("x", b"", within_s=2.0)
        replicas.start(leader)
        await wait_until_caught_up(replicas, "r2")

        async def has_recovered() -> bool:
            return not (await local.status(1.0)).recovering

        await wait_until(has_recovered)
        await writer.check_acknowledged(local)

    with cluster(tmp_path) as replicas:
        asyncio.run(story(replicas))


def test_compare_and_set_of_several_clients_loses_no_increment(tmp_path: Path) -> None:
    """Increments a counter by compare-and-set while replicas are killed: each success counts once."""

    async def count(client: Client, times: int) -> None:
        done = 0
        while done < times:
            value = await client.get("n", within_s=TEST_TIMEOUT_S)
            held, revision = (int(value.value), value.modified_revision) if value else (0, 0)
            try:
                put = Put("n", b"%d" % (held + 1))
                await client.transaction([put], [Check("n", revision)], within_s=TEST_TIMEOUT_S)
                done += 1
            except StoreError as error:
                assert error.error == "check"

    async def story(replicas: Cluster) -> None:
        tasks = [asyncio.create_task(count(replicas.client(), 25)) for _ in range(4)]
        for name in replicas.names:
            replicas.kill(name)
            await asyncio.sleep(0.1)
            replicas.start(name)
            await wait_until_caught_up(replicas, name)
        await asyncio.gather(*tasks)
        value = await replicas.client().get("n")
        assert value and value.value == b"100"

    with cluster(tmp_path) as replicas:
        asyncio.run(story(replicas))


def test_a_client_retries_until_its_time_limit(tmp_path: Path) -> None:
    async def story() -> None:
        client = Client([Endpoint(str(tmp_path / "nothing"))])
        began = time.monotonic()
        with pytest.raises(UnavailableError, match=r"tried for 0\.3 s"):
            await client.get("a", within_s=0.3)
        assert time.monotonic() - began >= 0.3

    asyncio.run(story())
