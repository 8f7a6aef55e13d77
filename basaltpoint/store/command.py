"""`basaltpoint store`: runs a replica; inspects, changes and backs up the cluster."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import uvloop

from basaltpoint.config import storage as storages
from basaltpoint.config.decode import FileError
from basaltpoint.config.storage import StoreSettings
from basaltpoint.store import backup, setting
from basaltpoint.store.client import Client, StoreError
from basaltpoint.store.disk import CorruptionError
from basaltpoint.store.files import CrashPoint, no_crash_point
from basaltpoint.store.folder import FolderError
from basaltpoint.store.replica import Replica
from basaltpoint.store.state_machine import Check, CompactedError, Delete, Put

log = logging.getLogger("basaltpoint")

# POINT:COUNT, for tests: SIGKILL when the point is reached for the COUNTth time.
CRASH_POINT_VARIABLE = "BASALTPOINT_STORE_CRASH"
TRANSFER_RETRY_INTERVAL_S = 1.0  # a transfer not done after this time is requested again
DEFAULT_CATCH_UP_TIMEOUT_S = 60.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the subcommands of `store`."""
    commands = parser.add_subparsers(dest="store_command", required=True)

    def command(
        name: str, text: str, act: Callable[[Client, argparse.Namespace], Awaitable[int]]
    ) -> argparse.ArgumentParser:
        subparser = commands.add_parser(name, help=text)
        add_client_arguments(subparser)
        subparser.set_defaults(act=act)
        return subparser

    run = commands.add_parser("run", help="run the replica that a file configures until SIGTERM")
    run.add_argument("config", type=Path)
    run.add_argument(
        "--embedded",
        action="store_true",
        help="stop at the end of standard input, that is, with the parent process",
    )
    run.set_defaults(act=None)
    restore = commands.add_parser(
        "restore", help="create the folder of the first replica of a new cluster from a backup"
    )
    restore.add_argument("backup", type=Path)
    add_client_arguments(restore)
    restore.set_defaults(act=None)
    command("status", "print the status of the connected replica", _status)
    command("members", "list the members of the cluster", _members)
    add = command("add", "add a replica: a learner until it has caught up, then a voter", _add)
    add.add_argument("name")
    add.add_argument("address", help="HOST:PORT at which the other replicas reach it")
    add.add_argument("--learner", action="store_true", help="do not promote it to a voter")
    add.add_argument(
        "--wait",
        type=float,
        default=DEFAULT_CATCH_UP_TIMEOUT_S,
        metavar="S",
        help="time limit for it to catch up",
    )
    command("remove", "remove a replica", _remove).add_argument("name")
    command("transfer", "transfer the leadership to a replica", transfer_leadership).add_argument("name")
    snapshot = command("snapshot", "compact the log; with FILE also write a backup of the cluster", _snapshot)
    snapshot.add_argument("file", type=Path, nargs="?")
    get = command("get", "print keys and values; exit code 1 if there is none", _get)
    get.add_argument("key")
    get.add_argument("--prefix", action="store_true", help="all keys with this prefix")
    get.add_argument("--local", action="store_true", help="read the replica's own state, which may be stale")
    put = command("put", "set a key to a text; - reads standard input", _put)
    put.add_argument("key")
    put.add_argument("value")
    put.add_argument(
        "--revision",
        type=int,
        help="only if the key was last modified at this revision; 0: only if it does not exist",
    )
    delete = command("delete", "remove a key", _delete)
    delete.add_argument("key")
    delete.add_argument("--prefix", action="store_true", help="all keys with this prefix")
    watch = command("watch", "print changes as they happen", _watch)
    watch.add_argument("prefix")
    watch.add_argument("--revision", type=int, help="first revision to print; default: from now on")


def add_client_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of every command that uses a store client."""
    parser.add_argument(
        "--config",
        type=Path,
        default=Path("basaltpoint.toml"),
        help="file with the [store] table (basaltpoint.toml)",
    )
    parser.add_argument("--within", type=float, default=10.0, metavar="S", help="how long to retry (10)")


def run(args: argparse.Namespace) -> int:
    """Runs a command; returns the exit code: 1 if the store refuses it, 2 if the configuration is invalid."""
    try:
        storage = storages.load(args.config)
    except FileError as error:
        print(error, file=sys.stderr)
        return 2
    if args.store_command == "run":
        return run_replica(storage, args.embedded)
    if args.store_command == "restore":
        return _restore(storage, args.backup)
    return run_with_client(storage, args)


def run_with_client(storage: StoreSettings, args: argparse.Namespace) -> int:
    """Runs a command's `act` with a client; returns the exit code: 1 if the store refuses."""

    async def run_act() -> int:
        client = setting.create_client(storage)
        try:
            code: int = await args.act(client, args)
            return code
        finally:
            client.close()

    try:
        return asyncio.run(run_act())
    except (StoreError, CompactedError) as error:
        print(error, file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130


# --- A replica ---------------------------------------------------------------------------
def crash_point(specification: str) -> CrashPoint:
    """Returns a function that kills the process at a named point like a power failure; only for tests."""
    if not specification:
        return no_crash_point
    name, _, count = specification.partition(":")
    remaining = int(count or 1)

    def point(reached: str) -> None:
        nonlocal remaining
        if reached == name:
            remaining -= 1
            if remaining == 0:
                os.kill(os.getpid(), signal.SIGKILL)

    return point


def run_replica(storage: StoreSettings, embedded: bool = False) -> int:
    """Runs a replica until SIGTERM or SIGINT; returns the exit code."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    if not storage.table.name:
        log.error("store.name: missing; allowed: the replica's name")
        return 2
    try:
        replica = Replica(
            setting.replica_settings(storage), crash_point(os.environ.get(CRASH_POINT_VARIABLE, ""))
        )
    except (FolderError, CorruptionError, OSError) as error:
        log.error("store: %s", error)
        return 1
    gc.freeze()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(replica, embedded))
    except OSError as error:
        log.error("store: %s: %s", storage.table.listen or storage.socket, error)
        return 1
    return 0


async def _serve(replica: Replica, embedded: bool) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    if embedded:
        loop.add_reader(sys.stdin.fileno(), stop.set)  # nothing is ever written to it: readable means closed
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await replica.start()
    where = f"at {replica.address}" if replica.address else "on this host"
    log.info(
        "store: replica %s of cluster %s listens %s", replica.settings.name, replica.settings.cluster, where
    )
    await stop.wait()
    replica.close()


def _restore(storage: StoreSettings, path: Path) -> int:
    try:
        saved = backup.read(path)
        backup.restore(
            saved,
            storage.folder,
            storage.table.cluster,
            storage.table.name,
            setting.initial_membership(storage),
        )
    except (backup.BackupError, FolderError, CorruptionError, OSError) as error:
        print(error, file=sys.stderr)
        return 1
    table = storage.table
    print(
        f"{storage.folder}: replica {table.name} of cluster {table.cluster}, {len(saved.state.values)} keys"
    )
    return 0


# --- The cluster ---------------------------------------------------------------------------
async def _status(client: Client, args: argparse.Namespace) -> int:
    found = await client.status(args.within)
    rows = {
        "replica": f"{found.name} of {found.cluster}",
        "role": found.role + (", recovering what it may have acknowledged" if found.recovering else ""),
        "leader": found.leader or f"none for {found.age_ms / 1000:.1f} s",
        "term": found.term,
        "log": f"{found.last_index} entries, {found.commit_index} committed, {found.applied_index} applied",
        "revision": found.revision,
        "size": f"{found.state_bytes} bytes",
    }
    if found.failure:
        rows["broken"] = found.failure
    for key, value in rows.items():
        print(f"{key:9} {value}")
    return 0 if found.leader and not found.failure else 1


async def _members(client: Client, args: argparse.Namespace) -> int:
    status = await client.status(args.within)
    for member in status.membership.members:
        kind = "voter" if member.voter else "learner"
        leader_text = " leader" if member.name == status.leader else ""
        match_text = (
            f" holds {status.match_indexes[member.name]} of {status.last_index}"
            if member.name in status.match_indexes
            else ""
        )
        print(f"{member.name} {member.address or '-'} {kind}{leader_text}{match_text}")
    return 0


async def _add(client: Client, args: argparse.Namespace) -> int:
    await client.change_membership("add", args.name, args.address, args.within)
    print(f"{args.name} is a learner")
    if args.learner:
        return 0
    deadline = time.monotonic() + args.wait
    while True:
        try:
            await client.change_membership("promote", args.name, within_s=args.within)
        except StoreError as error:
            if error.error != "refused" or time.monotonic() > deadline:
                print(f"{args.name} stays a learner: {error}", file=sys.stderr)
                return 1
            await asyncio.sleep(0.1)
        else:
            print(f"{args.name} is a voter")
            return 0


async def _remove(client: Client, args: argparse.Namespace) -> int:
    await client.change_membership("remove", args.name, within_s=args.within)
    print(f"{args.name} is removed")
    return 0


async def transfer_leadership(client: Client, args: argparse.Namespace) -> int:
    """Transfers the leadership to a replica and waits until it leads; returns the exit code."""
    deadline = time.monotonic() + args.within
    last_request_s = float("-inf")
    while True:
        # The leader gives up a transfer that is not done within the election timeout: request it again.
        if time.monotonic() - last_request_s > TRANSFER_RETRY_INTERVAL_S:
            await client.transfer_leadership(args.name, args.within)
            last_request_s = time.monotonic()
        leader = (await client.status(args.within)).leader
        if leader == args.name:
            print(f"{args.name} leads")
            return 0
        if time.monotonic() > deadline:
            print(f"{leader or 'nobody'} leads still", file=sys.stderr)
            return 1
        await asyncio.sleep(0.02)


async def _snapshot(client: Client, args: argparse.Namespace) -> int:
    await client.take_snapshot(args.within)
    if args.file is None:
        print("the log is being compacted")
        return 0
    cluster = (await client.status(args.within)).cluster
    saved = backup.write(args.file, cluster, await client.dump_state(args.within))
    print(
        f"{args.file}: {len(saved.state.values)} keys at revision {saved.state.revision} of cluster {cluster}"
    )
    return 0


# --- Keys ---------------------------------------------------------------------------
async def _get(client: Client, args: argparse.Namespace) -> int:
    values, _ = await client.get_range(
        args.key, local=args.local, exact=not args.prefix, within_s=args.within
    )
    for key, value in values.items():
        if args.prefix:
            print(f"{key} {value.modified_revision} ", end="", flush=True)
        sys.stdout.buffer.write(value.value + b"\n")
        sys.stdout.buffer.flush()
    return 0 if values else 1


async def _put(client: Client, args: argparse.Namespace) -> int:
    value = sys.stdin.buffer.read() if args.value == "-" else args.value.encode()
    checks = [] if args.revision is None else [Check(args.key, args.revision)]
    result = await client.transaction([Put(args.key, value)], checks, args.within)
    print(f"revision {result.revision}")
    return 0


async def _delete(client: Client, args: argparse.Namespace) -> int:
    result = await client.transaction([Delete(args.key, args.prefix)], within_s=args.within)
    print(f"revision {result.revision}")
    return 0


async def _watch(client: Client, args: argparse.Namespace) -> int:
    revision = args.revision
    if revision is None:
        revision = (await client.get_range("", exact=True, within_s=args.within))[1] + 1
    async for events, _ in client.watch(args.prefix, revision):
        for event in events:
            text = "removed" if event.value is None else event.value.value.decode(errors="replace")
            print(event.revision, event.key, text, flush=True)
    return 0
