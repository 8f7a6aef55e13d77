"""`basaltpoint config`: the document that all limiters of a store share."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from basaltpoint.config import storage as storages
from basaltpoint.config.decode import FileError
from basaltpoint.daemon.held import DOCUMENT, check_document
from basaltpoint.store import setting
from basaltpoint.store.client import Client, StoreError
from basaltpoint.store.machine import Check, Put


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Push and show."""
    commands = parser.add_subparsers(dest="config_command", required=True)
    push = commands.add_parser("push", help="check a file and have all limiters take up its shared tables")
    push.add_argument("file", type=Path)
    push.add_argument(
        "--revision",
        type=int,
        help="only where the document is of that revision; without it, the present one",
    )
    show = commands.add_parser("show", help="print the document")
    for command in (push, show):
        command.add_argument(
            "--config", type=Path, default=Path("basaltpoint.toml"), help="file with [store]"
        )
        command.add_argument("--within", type=float, default=10.0, metavar="S", help="how long to try (10)")


def run(args: argparse.Namespace) -> int:
    """The exit code: 1 where the store refuses, 2 where a file is wrong."""
    try:
        storage = storages.load(args.config)
        text = check_document(args.file) if args.config_command == "push" else b""
    except FileError as error:
        print(error, file=sys.stderr)
        return 2
    client_of = setting.client

    async def act() -> int:
        client = client_of(storage)
        try:
            if args.config_command == "push":
                return await _push(client, text, args)
            return await _show(client, args)
        finally:
            client.close()

    try:
        return asyncio.run(act())
    except StoreError as error:
        print(error, file=sys.stderr)
        return 1


async def _push(client: Client, text: bytes, args: argparse.Namespace) -> int:
    revision = args.revision
    if revision is None:
        held = await client.get(DOCUMENT, within_s=args.within)
        revision = held.changed if held else 0
    result = await client.txn([Put(DOCUMENT, text)], [Check(DOCUMENT, revision)], args.within)
    print(f"{args.file}: revision {result.revision}")
    print("`basaltpoint store get --prefix limiter/` tells which limiters run on it")
    return 0


async def _show(client: Client, args: argparse.Namespace) -> int:
    held = await client.get(DOCUMENT, within_s=args.within)
    if held is None:
        print("the store holds no document", file=sys.stderr)
        return 1
    print(f"# revision {held.changed}")
    sys.stdout.flush()
    sys.stdout.buffer.write(held.value)
    return 0
