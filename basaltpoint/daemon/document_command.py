"""`basaltpoint config`, `drain` and `undrain`: the configuration that all limiters of a store share."""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path

from basaltpoint.config import storage as storages
from basaltpoint.config.decode import FileError, ProblemCollector
from basaltpoint.config.shared import parse_document
from basaltpoint.daemon.shared_state import (
    DOCUMENT_KEY,
    DRAIN_PREFIX,
    SERVER_PREFIX,
    SHARED_PREFIX,
    check_document,
)
from basaltpoint.store.client import Client
from basaltpoint.store.command import add_client_arguments, run_with_client
from basaltpoint.store.state_machine import Check, Put


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the subcommands `push` and `show`."""
    commands = parser.add_subparsers(dest="config_command", required=True)
    push = commands.add_parser("push", help="check a file and apply its shared tables to all limiters")
    push.add_argument("file", type=Path)
    push.add_argument(
        "--revision",
        type=int,
        help="push only if the stored document has this revision; default: its current one",
    )
    push.set_defaults(act=_push)
    show = commands.add_parser("show", help="print the document")
    show.set_defaults(act=_show)
    for command in (push, show):
        add_client_arguments(command)


def add_drain_arguments(parser: argparse.ArgumentParser, drain: bool) -> None:
    """Adds the arguments of `drain` or `undrain`."""
    parser.add_argument("server", help="the server's name")
    if drain:
        parser.add_argument(
            "--force", action="store_true", help="even if no limiter knows a server of this name"
        )
    parser.set_defaults(act=_drain if drain else _undrain)
    add_client_arguments(parser)


def run(args: argparse.Namespace) -> int:
    """Returns the exit code: 1 if the store refuses the change, 2 if a file is invalid."""
    try:
        storage = storages.load(args.config)
        if args.act is _push:
            args.text = check_document(args.file)
    except FileError as error:
        print(error, file=sys.stderr)
        return 2
    return run_with_client(storage, args)


async def _push(client: Client, args: argparse.Namespace) -> int:
    revision = args.revision
    if revision is None:
        document = await client.get(DOCUMENT_KEY, within_s=args.within)
        revision = document.modified_revision if document else 0
    result = await client.transaction(
        [Put(DOCUMENT_KEY, args.text)], [Check(DOCUMENT_KEY, revision)], args.within
    )
    print(f"{args.file}: revision {result.revision}")
    print("`basaltpoint store get --prefix limiter/` shows which limiters use it")
    return 0


async def _show(client: Client, args: argparse.Namespace) -> int:
    document = await client.get(DOCUMENT_KEY, within_s=args.within)
    if document is None:
        print("the store holds no document", file=sys.stderr)
        return 1
    print(f"# revision {document.modified_revision}")
    sys.stdout.flush()
    sys.stdout.buffer.write(document.value)
    return 0


async def _drain(client: Client, args: argparse.Namespace) -> int:
    known = await _servers(client, args.within)
    if known is not None and args.server not in known and not args.force:
        print(f"unknown server {args.server!r}; known servers: {', '.join(sorted(known))}", file=sys.stderr)
        return 1
    entry = json.dumps({"since_ms": int(time.time() * 1000)}).encode()
    await client.put(DRAIN_PREFIX + args.server, entry, within_s=args.within)
    print(f"{args.server} is draining: limiters send no new requests to it")
    return 0


async def _servers(client: Client, within_s: float) -> set[str] | None:
    """Returns the names of all servers in the store; None if its document is missing or invalid."""
    found, _ = await client.get_range(SHARED_PREFIX, within_s=within_s)
    if (document := found.get(DOCUMENT_KEY)) is None:
        return None
    out = ProblemCollector(DOCUMENT_KEY)
    tables = parse_document(document.value, out)
    try:
        out.raise_problems()
        names = {str(row["name"]) for row in tables.get("server", [])}
    except (FileError, TypeError, KeyError):
        return None  # a drain must be possible even while the document is invalid
    return names | {key.removeprefix(SERVER_PREFIX) for key in found if key.startswith(SERVER_PREFIX)}


async def _undrain(client: Client, args: argparse.Namespace) -> int:
    if await client.get(DRAIN_PREFIX + args.server, within_s=args.within) is None:
        print(f"{args.server} is not draining")
        return 1
    await client.delete(DRAIN_PREFIX + args.server, within_s=args.within)
    print(f"{args.server} is no longer drained")
    return 0
