"""Replicas as processes: killed at every point of a write, stopped, cut off, put back, replaced, restored."""

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

SMALL = "snapshot_entries = 20"


async def until(what: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not await what():
            await asyncio.sleep(0.02)


async def caught_up(made: Cluster, name: str) -> None:
    """Wait until a replica has applied what the cluster has committed by now."""
    async with contextlib.AsyncExitStack() as stack:
        whole, local = made.client(), made.local(name)
        stack.callback(whole.close)
        stack.callback(local.close)
        await whole.put("mark", b"")
        revision = whole.revision

        async def there() -> bool:
            try:
                return (await local.status(1.0)).revision >= revision
            except (StoreError, OSError):
                return False

        await until(there)


class Writer:
    """Writes on and on, and remembers what was acknowledged."""

    def __init__(self, client: Client, name: str = "w") -> None:
        self.client, self.name = client, name
        self.count = 0
        self.acked: dict[str, bytes] = {}
        self.stopped = False

    async def write(self) -> None:
        self.count += 1
        key, value = f"{self.name}/{self.count % 50}", b"%d" % self.count
        await self.client.put(key, value, within_s=TEST_TIMEOUT_S)
        self.acked[key] = value

    async def run(self) -> None:
        while not self.stopped:
            await self.write()

    async def check(self, client: Client) -> None:
        """All that was acknowledged is there; only a command under way may have gone further."""
        found, _ = await client.get_range(self.name + "/", within_s=TEST_TIMEOUT_S)
        held = {key: value.value for key, value in found.items()}
        for key, value in self.acked.items():
            assert int(held[key]) >= int(value), f"{key}: {value!r} was acknowledged, {held[key]!r} is there"


def test_replicas_killed_in_turn_lose_nothing_that_was_acknowledged(tmp_path: Path) -> None:
    async def story(made: Cluster) -> None:
        await made.leader()
        writers = [Writer(made.client(), f"w{at}") for at in range(3)]
        tasks = [asyncio.create_task(writer.run()) for writer in writers]
        for _ in range(2):
            for name in made.names:
                before = [writer.count for writer in writers]
                made.kill(name)
                await until(lambda before=before: _more(writers, before))
                made.start(name)
                await caught_up(made, name)
        for writer in writers:
            writer.stopped = True
        await asyncio.gather(*tasks)
        for writer in writers:
            await writer.check(made.client())

    with cluster(tmp_path, more=SMALL) as made:
        asyncio.run(story(made))


async def _more(writers: list[Writer], before: list[int]) -> bool:
    return all(writer.count > count + 5 for writer, count in zip(writers, before, strict=True))


async def _back(made: Cluster, name: str, writer: Writer, point: str) -> None:
    """One that ended at a point is started again, and holds all that was acknowledged."""
    assert made.running[name].returncode == -signal.SIGKILL, (point, made.log(name))
    made.start(name)
    await caught_up(made, name)
    local = made.local(name)
    await writer.check(local)
    local.close()


WRITING = [
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
INSTALLING = [
    "install.begin",
    "install.written",
    "install.synced",
    "install.renamed",
    "install.named",
    "install.rolled",
    "roll.torn",
    "forget.removed",
]


def test_an_end_at_each_point_of_a_write_or_snapshot_loses_nothing(tmp_path: Path) -> None:
    async def story(made: Cluster) -> None:
        writer = Writer(made.client())
        for at, point in enumerate(WRITING):
            name = await made.leader() if at % 2 else made.names[at % 3]
            made.kill(name, signal.SIGTERM)
            made.start(name, crash=point + ":2")
            while made.running[name].poll() is None:
                await writer.write()
            await _back(made, name, writer, point)

    with cluster(tmp_path, more=SMALL) as made:
        asyncio.run(story(made))


def test_an_end_at_each_point_of_an_install_loses_nothing(tmp_path: Path) -> None:
    async def story(made: Cluster) -> None:
        writer = Writer(made.client())
        for at, point in enumerate(INSTALLING):
            name = made.names[at % 3]
            made.kill(name)
            for _ in range(70):  # beyond what the others' logs still hold
                await writer.write()
            made.start(name, crash=point)
            await until(lambda name=name: _ended(made.running[name]))
            await _back(made, name, writer, point)

    with cluster(tmp_path, more=SMALL) as made:
        asyncio.run(story(made))


async def _ended(process: subprocess.Popen[bytes]) -> bool:
    return process.poll() is not None


def test_a_leader_that_was_stopped_tells_nothing_old_and_acknowledges_nothing(tmp_path: Path) -> None:
    async def story(made: Cluster) -> None:
        old = await made.leader()
        rest = [name for name in made.names if name != old]
        others, at_old = made.client(*rest), made.client(old)
        await others.put("a", b"old")
        await at_old.get("a")  # connected
        made.running[old].send_signal(signal.SIGSTOP)
        reading = [asyncio.create_task(at_old.get("a", within_s=TEST_TIMEOUT_S)) for _ in range(5)]
        writing = asyncio.create_task(_tried(made.local(old), "b"))
        await asyncio.sleep(0.05)
        await others.put("a", b"new", within_s=TEST_TIMEOUT_S)
        made.running[old].send_signal(signal.SIGCONT)
        seen = await asyncio.gather(*reading)
        assert [value and value.value for value in seen] == [b"new"] * 5
        acknowledged = await writing
        held = await others.get("b")
        assert not acknowledged or (held and held.value == b"1")

    with cluster(tmp_path) as made:
        asyncio.run(story(made))


async def _tried(client: Client, key: str) -> bool:
    try:
        await client.put(key, b"1", within_s=8.0)
    except UnavailableError:
        return False
    finally:
        client.close()
    return True


def test_a_stopped_follower_holds_nobody_up(tmp_path: Path) -> None:
    async def story(made: Cluster) -> None:
        leader = await made.leader()
        slow = next(name for name in made.names if name != leader)
        made.running[slow].send_signal(signal.SIGSTOP)
        client = made.client(*(name for name in made.names if name != slow))
        for at in range(60):  # more than all buffers between the two hold
            await client.put(f"big{at % 8}", bytes(500_000), within_s=TEST_TIMEOUT_S)
        made.running[slow].send_signal(signal.SIGCONT)
        await caught_up(made, slow)

    with cluster(tmp_path) as made:
        asyncio.run(story(made))


def test_a_watch_goes_on_over_kills_and_misses_nothing(tmp_path: Path) -> None:
    async def story(made: Cluster) -> None:
        writer = Writer(made.client())
        seen: list[tuple[str, bytes]] = []

        async def watch() -> None:
            async for events, _ in made.client().watch("w/", 1):
                seen.extend((event.key, event.value.value) for event in events if event.value)

        watching = asyncio.create_task(watch())
        for name in made.names:
            for _ in range(10):
                await writer.write()
            made.kill(name)
            for _ in range(10):
                await writer.write()
            made.start(name)
            await caught_up(made, name)
        wanted = [(f"w/{at % 50}", b"%d" % at) for at in range(1, writer.count + 1)]

        async def there() -> bool:
            return len(seen) >= len(wanted)

        await until(there)
        watching.cancel()
        assert seen == wanted

    with cluster(tmp_path, more="snapshot_entries = 100000") as made:
        asyncio.run(story(made))


def test_a_watch_across_a_snapshot_is_told_compacted_and_goes_on_from_a_read(tmp_path: Path) -> None:
    async def story(made: Cluster) -> None:
        client = made.client()
        name = made.names[0]
        await client.put("a", b"1")
        revision = client.revision
        made.kill(name)
        rest = made.client(*made.names[1:])
        for at in range(70):
            await rest.put("a", b"%d" % at, within_s=TEST_TIMEOUT_S)
        made.start(name)
        await caught_up(made, name)
        local = made.local(name)
        with pytest.raises(CompactedError) as error:
            async for _ in local.watch("", revision + 1):
                raise AssertionError("told of a part as if it were all")
        values, at = await local.get_range("")
        assert values["a"].value == b"69" and error.value.oldest_revision <= at + 1
        await local.put("a", b"last")
        async for events, _ in local.watch("", at + 1):
            if events:
                assert events[-1].value and events[-1].value.value == b"last"
                break

    with cluster(tmp_path, more=SMALL) as made:
        asyncio.run(story(made))


def test_members_come_and_go_while_it_is_written(tmp_path: Path) -> None:
    async def story(made: Cluster) -> None:
        await made.leader()
        writer = Writer(made.client("r0", "r1", "r2"))
        task = asyncio.create_task(writer.run())
        made.write("r3", join=True)
        made.start("r3")
        file = made.path / "r0" / "store.toml"
        added = await command("add", "r3", made.addresses["r3"], "--config", str(file))
        assert added == (0, "r3 is a learner\nr3 is a voter\n"), added
        leader = await made.leader()
        removed = await command("remove", leader, "--config", str(file))
        assert removed == (0, f"{leader} is removed\n"), removed
        made.kill(leader)
        left = [name for name in made.names if name != leader]
        client = made.client(*left)
        writer.stopped = True
        await task
        await writer.check(client)
        members = (await client.status()).membership
        assert sorted(members.voters) == sorted(left)
        now = await made.leader()
        target = next(name for name in left if name != now)
        config = str(made.path / target / "store.toml")
        assert await command("transfer", target, "--config", config) == (0, f"{target} leads\n")
        code, text = await command("remove", "nobody", "--config", config)
        assert code == 1 and "nobody is no member; members are" in text

    with cluster(tmp_path, size=4, more=SMALL, start=False) as made:
        made.names = ["r0", "r1", "r2"]
        for name in made.names:
            made.write(name)
        made.start()
        made.names.append("r3")
        asyncio.run(story(made))


async def command(*args: str, top: tuple[str, ...] = ("store",)) -> tuple[int, str]:
    """Run `basaltpoint store ...`, or another; its exit code, and what it wrote."""
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


def test_the_commands_tell_what_was_done_and_what_is_refused(tmp_path: Path) -> None:
    async def story(made: Cluster) -> None:
        await made.leader()
        file, client = str(made.path / "r0" / "store.toml"), made.local("r0")

        async def tell(*args: str, top: tuple[str, ...] = ("store",)) -> tuple[int, str]:
            return await command(*args, "--config", file, top=top)

        assert await tell("put", "a", "1") == (0, "revision 1\n")
        assert await tell("get", "a") == (0, "1\n") and await tell("get", "b") == (1, "")
        assert await tell("put", "a", "2", "--revision", "0") == (1, "a: found revision 1, expected 0\n")
        code, text = await tell("status")
        assert code == 0 and "leader    r0" in text
        assert (await tell("s1", top=("drain",)))[0] == 0
        assert "shared/drain/s1" in (await tell("get", "shared/drain/", "--prefix"))[1]
        assert await tell("s1", top=("undrain",)) == (0, "s1 is no longer drained\n")
        assert await tell("s1", top=("undrain",)) == (1, "s1 is not draining\n")
        new = tmp_path / "new.toml"
        new.write_text(config("127.0.0.1:1", routes="").replace('pool = "main"', 'pool = "mian"', 1))
        code, text = await tell("push", str(new), top=("config",))
        assert code == 2 and 'found "mian", which is no pool' in text
        new.write_text(config("127.0.0.1:1"))
        assert (await tell("push", str(new), top=("config",)))[0] == 0
        assert await tell("s9", top=("drain",)) == (1, "unknown server 's9'; known servers: s0\n")
        assert (await tell("s9", "--force", top=("drain",)))[0] == 0
        await client.put("shared/server/s8", b"{}")
        assert (await tell("s8", top=("drain",)))[0] == 0
        code, text = await tell("push", str(new), "--revision", "1", top=("config",))
        assert code == 1 and "expected 1" in text
        assert 'name = "main"' in (await tell("show", top=("config",)))[1]
        assert (await tell("delete", "a"))[0] == 0
        made.kill("r0")
        code, text = await tell("get", "a", "--within", "0.2")
        assert code == 1 and "no replica answers; tried for 0.2 s" in text

    with cluster(tmp_path, 1) as made:
        asyncio.run(story(made))


def test_a_whole_cluster_is_made_again_from_a_backup(tmp_path: Path) -> None:
    backup = tmp_path / "cluster.bak"

    async def lost(made: Cluster) -> int:
        client = made.client()
        for at in range(30):
            await client.put(f"k{at}", b"%d" % at)
        code, text = await command("snapshot", str(backup), "--config", str(made.path / "r0/store.toml"))
        assert code == 0 and "30 keys" in text
        return client.revision

    async def again(made: Cluster, revision: int) -> None:
        for name in made.names:
            file = str(made.path / name / "store.toml")
            code, text = await command("restore", str(backup), "--config", file)
            assert code == 1 and "found cluster 'test'" in text
            shutil.rmtree(made.path / name / "data")
            made.write(name, cluster="test2")
            assert (await command("restore", str(backup), "--config", file))[0] == 0
            code, text = await command("restore", str(backup), "--config", file)
            assert code == 1 and "holds a replica already" in text
        made.start()
        await made.leader()
        client = made.local("r0")
        values, now = await client.get_range("k", within_s=TEST_TIMEOUT_S)
        assert {key: value.value for key, value in values.items()} == {
            f"k{at}": b"%d" % at for at in range(30)
        }
        with pytest.raises(CompactedError):  # one that watched the old cluster is told to read anew
            async for _ in client.watch("k", revision + 5):
                pass
        assert now > revision
        await client.put("k0", b"on")

    with cluster(tmp_path) as made:
        revision = asyncio.run(lost(made))
        made.stop()
        asyncio.run(again(made, revision))


# --- Who gets nothing -----------------------------------------------------------------------------------
class Listener:
    """Notes all that a connection brings."""

    def __init__(self) -> None:
        self.frames: list[p.AnyFrame] = []

    def greeting_received(self, link: Link) -> bool:
        return True

    def frame_received(self, link: Link, frame: p.AnyFrame) -> None:
        self.frames.append(frame)

    def link_closed(self, link: Link) -> None:
        pass


async def _asks(made: Cluster, greeting: Greeting, tls: object, name: str = "r0") -> list[p.AnyFrame]:
    """What one who greets so is told."""
    heard = Listener()
    link = await connect(
        lambda: Link(heard, greeting, False, p.STORE_PROTOCOL), made.addresses["r0"], name, tls
    )  # type: ignore[arg-type]
    link.send(p.Get(1, "", local=True))
    link.send(p.ExecuteCommand(2, p.kv.Command(p.kv.OpenSession())))
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await link.closed
    return heard.frames


def test_who_has_no_certificate_or_another_clusters_gets_nothing(tmp_path: Path) -> None:
    async def story(made: Cluster) -> None:
        await made.leader()
        await made.client().put("secret", b"s")
        stranger = Authority(tmp_path / "stranger").issue("client")
        # Its authority is another: neither side takes the other's certificate.
        with pytest.raises((ssl.SSLError, OSError)):
            await _asks(made, Greeting(PROTOCOL_VERSION, "test"), stranger)
        with pytest.raises((OSError, TimeoutError)):  # plain text to a TLS port
            frames = await _asks(made, Greeting(PROTOCOL_VERSION, "test"), None)
            assert frames == []
            raise OSError
        tls = made.client_tls
        assert await _asks(made, Greeting(PROTOCOL_VERSION, "other"), tls) == []
        assert await _asks(made, Greeting(PROTOCOL_VERSION + 1, "test"), tls) == []
        # A client's certificate is no replica's.
        assert await _asks(made, Greeting(PROTOCOL_VERSION, "test", "r1", made.addresses["r1"]), tls) == []
        # And the other way round: who answers under a name that its certificate lacks is not spoken to.
        with pytest.raises(ssl.SSLError):
            await _asks(made, Greeting(PROTOCOL_VERSION, "test"), tls, "r1")

    with cluster(tmp_path) as made:
        asyncio.run(story(made))


def test_a_frame_that_is_too_long_or_no_frame_ends_the_connection(tmp_path: Path) -> None:
    async def story() -> None:
        replica = Replica(ReplicaSettings("a", "c", tmp_path / "a", initial_membership=_alone("a")), seed=1)
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


def _alone(name: str) -> p.messages.Membership:
    return p.messages.Membership((p.messages.Member(name),))


# --- Folders ------------------------------------------------------------
def test_a_folder_serves_one_process_one_cluster_and_one_name(tmp_path: Path) -> None:
    async def story() -> None:
        replica = Replica(ReplicaSettings("a", "c", tmp_path / "a", initial_membership=_alone("a")))
        with pytest.raises(Exception, match="another process uses this folder"):
            Replica(ReplicaSettings("a", "c", tmp_path / "a"))
        replica.close()
        with pytest.raises(Exception, match="found the cluster 'c'; allowed: 'd'"):
            Replica(ReplicaSettings("a", "d", tmp_path / "a"))
        with pytest.raises(Exception, match="found the name 'a'; allowed: 'b'"):
            Replica(ReplicaSettings("b", "c", tmp_path / "a"))

    asyncio.run(story())


def test_a_folder_that_was_put_back_is_doubted_and_filled_up_by_the_others(tmp_path: Path) -> None:
    async def story(made: Cluster) -> None:
        await made.leader()
        writer = Writer(made.client("r0", "r1"))
        await writer.write()
        await caught_up(made, "r2")
        made.kill("r2")
        shutil.copytree(tmp_path / "r2/data", tmp_path / "old", ignore=shutil.ignore_patterns("socket"))
        made.start("r2")
        for _ in range(30):
            await writer.write()
        await caught_up(made, "r2")
        made.kill("r2")
        shutil.rmtree(tmp_path / "r2/data")
        shutil.copytree(tmp_path / "old", tmp_path / "r2/data")
        # With one other it can't know what it promised; it waits, and the cluster with it.
        leader = await made.leader()
        other = next(name for name in ("r0", "r1") if name != leader)
        made.kill(leader)
        made.start("r2")
        local = made.local("r2")

        async def recovering() -> bool:
            try:
                return (await local.status(1.0)).recovering
            except StoreError:
                return False

        await until(recovering)
        with pytest.raises(UnavailableError):
            await made.client(other, "r2").put("x", b"", within_s=2.0)
        made.start(leader)
        await caught_up(made, "r2")

        async def sure() -> bool:
            return not (await local.status(1.0)).recovering

        await until(sure)
        await writer.check(local)

    with cluster(tmp_path) as made:
        asyncio.run(story(made))


def test_swaps_of_several_clients_lose_no_count(tmp_path: Path) -> None:
    """A counter by compare and set, under kills: each success counts once."""

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

    async def story(made: Cluster) -> None:
        tasks = [asyncio.create_task(count(made.client(), 25)) for _ in range(4)]
        for name in made.names:
            made.kill(name)
            await asyncio.sleep(0.1)
            made.start(name)
            await caught_up(made, name)
        await asyncio.gather(*tasks)
        value = await made.client().get("n")
        assert value and value.value == b"100"

    with cluster(tmp_path) as made:
        asyncio.run(story(made))


def test_a_client_asks_for_so_long_as_it_was_told(tmp_path: Path) -> None:
    async def story() -> None:
        client = Client([Endpoint(str(tmp_path / "nothing"))])
        began = time.monotonic()
        with pytest.raises(UnavailableError, match=r"tried for 0\.3 s"):
            await client.get("a", within_s=0.3)
        assert time.monotonic() - began >= 0.3

    asyncio.run(story())
