"""The command line.

Each command imports its modules only when it runs: the platform's limiter must not load them at its start.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path


def _serve(args: argparse.Namespace) -> int:
    from basaltpoint.daemon.standalone import run

    return run(args.config)


def _check(args: argparse.Namespace) -> int:
    from basaltpoint.config.build import load
    from basaltpoint.config.decode import FileError, load_toml
    from basaltpoint.config.shared import shared_tables
    from basaltpoint.daemon.shared_state import check_local_file

    try:
        raw = load_toml(args.config)
        if "store" in raw and not shared_tables(raw):
            check_local_file(args.config)
            print(f"{args.config}: valid; the shared tables are in the store: basaltpoint config show")
            return 0
        setup = load(args.config)
    except FileError as error:
        print(error, file=sys.stderr)
        return 2
    file = setup.file
    print(
        f"{args.config}: valid; {len(file.route)} routes, {len(file.pool)} pools, "
        f"{len(file.server)} servers, {len(file.plan)} plans, {len(setup.accounts)} keys"
    )
    return 0


def _hash_key(args: argparse.Namespace) -> int:
    from basaltpoint.routing.accounts import MIN_KEY_BYTES, key_digest

    key = sys.stdin.buffer.readline().strip()
    if len(key) < MIN_KEY_BYTES:
        print(f"a key must have at least {MIN_KEY_BYTES} bytes; this one has {len(key)}", file=sys.stderr)
        return 2
    print("sha256:" + key_digest(key).hex())
    return 0


def _reference(args: argparse.Namespace) -> int:
    from basaltpoint.config.reference import reference

    print(reference(), end="")
    return 0


def _load(args: argparse.Namespace) -> int:
    from basaltpoint.load.command import run

    return run(args)


def _standin(args: argparse.Namespace) -> int:
    from basaltpoint.standins.command import run

    return run(args)


def _store(args: argparse.Namespace) -> int:
    from basaltpoint.store.command import run

    return run(args)


def _document(args: argparse.Namespace) -> int:
    from basaltpoint.daemon.document_command import run

    return run(args)


def _fleet(args: argparse.Namespace) -> int:
    from basaltpoint.daemon.fleet_command import run

    return run(args)


def _rehearse(args: argparse.Namespace) -> int:
    from basaltpoint.rehearsal.command import run

    return run(args)


def _soak(args: argparse.Namespace) -> int:
    from basaltpoint.rehearsal.soak.command import run

    return run(args)


def parser(argv: list[str]) -> argparse.ArgumentParser:
    """Builds the parser; a command's arguments are added only if `argv` starts with it."""
    top = argparse.ArgumentParser(
        prog="basaltpoint", description="A request limiter in front of a shared API."
    )
    commands = top.add_subparsers(dest="command", required=True)
    serve = commands.add_parser(
        "serve", help="serve with this configuration file, until SIGTERM; SIGHUP reloads the file"
    )
    serve.add_argument("config", type=Path)
    serve.set_defaults(run=_serve)
    check = commands.add_parser(
        "check", help="check a file and report every problem; exit code 2 if there is one"
    )
    check.add_argument("config", type=Path)
    check.set_defaults(run=_check)
    key = commands.add_parser("hash-key", help="read an API key from standard input and print its digest")
    key.set_defaults(run=_hash_key)
    ref = commands.add_parser("reference", help="print the reference of the configuration file")
    ref.set_defaults(run=_reference)
    load = commands.add_parser("load", help="open-loop load: run, check, import, compare, audit")
    load.set_defaults(run=_load)
    standin = commands.add_parser("standin", help="a stand-in server with configurable behaviour")
    standin.set_defaults(run=_standin)
    store = commands.add_parser("store", help="the replicated store: run, status, members, backup, keys")
    store.set_defaults(run=_store)
    drain = commands.add_parser(
        "drain", help="stop all limiters of a store from sending new requests to a server"
    )
    drain.set_defaults(run=_document)
    undrain = commands.add_parser("undrain", help="end the drain of a server")
    undrain.set_defaults(run=_document)
    fleet = commands.add_parser("fleet", help="the limiters that share quotas: status, watch, remove")
    fleet.set_defaults(run=_fleet)
    rehearse = commands.add_parser(
        "rehearse", help="inject faults into a fleet of limiters, and report which checks pass"
    )
    rehearse.set_defaults(run=_rehearse)
    soak = commands.add_parser(
        "soak", help="inject random faults into many of the platform's limiters, and check the results"
    )
    soak.set_defaults(run=_soak)
    document = commands.add_parser("config", help="the configuration that all limiters of a store share")
    document.set_defaults(run=_document)
    # Each command adds its own arguments; its modules are imported only if it runs.
    if argv[:1] == ["load"]:
        from basaltpoint.load.command import add_arguments as add_load

        add_load(load)
    elif argv[:1] == ["soak"]:
        from basaltpoint.rehearsal.soak.command import add_arguments as add_soak

        add_soak(soak)
    elif argv[:1] == ["standin"]:
        from basaltpoint.standins.command import add_arguments as add_standin

        add_standin(standin)
    elif argv[:1] == ["store"]:
        from basaltpoint.store.command import add_arguments as add_store

        add_store(store)
    elif argv[:1] == ["fleet"]:
        from basaltpoint.daemon.fleet_command import add_arguments as add_fleet

        add_fleet(fleet)
    elif argv[:1] == ["rehearse"]:
        from basaltpoint.rehearsal.command import add_arguments as add_rehearse

        add_rehearse(rehearse)
    elif argv[:1] == ["config"]:
        from basaltpoint.daemon.document_command import add_arguments as add_config

        add_config(document)
    elif argv[:1] in (["drain"], ["undrain"]):
        from basaltpoint.daemon.document_command import add_drain_arguments

        add_drain_arguments(drain if argv[0] == "drain" else undrain, argv[0] == "drain")
    return top


def main(argv: list[str] | None = None) -> int:
    """Runs a command and returns its exit code."""
    argv = sys.argv[1:] if argv is None else argv
    args = parser(argv).parse_args(argv)
    code: int = args.run(args)
    return code
