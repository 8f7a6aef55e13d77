"""Command line of `basaltpoint load`: run, check, import, compare, audit."""

from __future__ import annotations

import argparse
import asyncio
import json
import secrets
import sys
from pathlib import Path
from typing import Any

from basaltpoint.config.decode import FileError
from basaltpoint.load import compare, coordinator, ledger, report, scenario, traces

EXIT_UNSOUND = 3  # exit code with --strict if some results are unsound
EXIT_FINDINGS = 4  # exit code of an audit with findings


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the subcommands."""
    commands = parser.add_subparsers(dest="load_command", required=True)
    run = commands.add_parser("run", help="run a scenario and print a report")
    run.add_argument("scenario", type=Path)
    run.add_argument("--repeat", type=int, default=1, help="number of consecutive runs; compare needs three")
    run.add_argument(
        "--trace", type=Path, help="replay this trace (from `load import`) instead of generated arrivals"
    )
    run.add_argument("--factor", type=float, default=1.0, help="speed factor of the trace")
    run.add_argument("--json", type=Path, help="write the report as JSON to this file")
    run.add_argument("--html", type=Path, help="write the report as an HTML page to this file")
    run.add_argument("--ledger", type=Path, help="write the number of responses to each attempt to this file")
    run.add_argument("--strict", action="store_true", help=f"exit with {EXIT_UNSOUND} if results are unsound")
    run.set_defaults(load_run=_run)
    check = commands.add_parser("check", help="check a scenario")
    check.add_argument("scenario", type=Path)
    check.set_defaults(load_run=_check)
    importing = commands.add_parser("import", help="convert an access log to a trace")
    importing.add_argument("log", type=Path)
    importing.add_argument("-o", "--output", type=Path, required=True)
    importing.add_argument("--format", choices=sorted(traces.FORMATS), default="common")
    importing.add_argument(
        "--account",
        choices=["user", "ip"],
        help="field that identifies an account; the default depends on the format",
    )
    importing.add_argument("--salt", help="salt for hashing account names; default: random")
    importing.set_defaults(load_run=_import)
    comparison = commands.add_parser("compare", help="compare two reports")
    comparison.add_argument("before", type=Path)
    comparison.add_argument("after", type=Path)
    comparison.set_defaults(load_run=_compare)
    auditing = commands.add_parser("audit", help="check a run's ledger against the server logs")
    auditing.add_argument("ledger", type=Path)
    auditing.add_argument("logs", type=Path, nargs="+")
    auditing.add_argument("--drained", action="append", default=[], metavar="SERVER=SECONDS")
    auditing.set_defaults(load_run=_audit)
    worker = commands.add_parser("worker", help="worker process of a run; started by `load run`")
    worker.set_defaults(load_run=_worker)


def run(args: argparse.Namespace) -> int:
    """Runs the subcommand; returns the exit code."""
    try:
        code: int = args.load_run(args)
    except FileError as error:
        print(error, file=sys.stderr)
        return 2
    except (OSError, ValueError, coordinator.WorkerError) as error:
        print(error, file=sys.stderr)
        return 2
    return code


def _worker(args: argparse.Namespace) -> int:
    from basaltpoint.load.worker import main

    return main()


def _check(args: argparse.Namespace) -> int:
    settings = scenario.load(args.scenario)
    rate = sum(plan.rate for plan in settings.plan)
    print(
        f"{args.scenario}: valid; {rate:g} requests per second for {settings.duration_s:g} s, before shapes"
    )
    return 0


def _run(args: argparse.Namespace) -> int:
    if args.repeat < 1 or args.factor <= 0:
        print("--repeat must be at least 1, --factor above 0", file=sys.stderr)
        return 2
    settings = scenario.load(args.scenario)
    runs = []
    for number in range(args.repeat):
        with _Progress(f"run {number + 1} of {args.repeat}") as progress:
            stats = asyncio.run(
                coordinator.run(args.scenario, settings, progress.show, args.trace, args.factor, args.ledger)
            )
        runs.append(report.summary(stats, args.scenario.name))
        print(report.text(runs[-1]))
    if args.json:
        args.json.write_text(json.dumps({"runs": runs}, indent=1))
    if args.html:
        args.html.write_text(report.page(runs[-1]))
    is_unsound = any(summary["spells"] or summary["total"]["missed"] for summary in runs)
    return EXIT_UNSOUND if args.strict and is_unsound else 0


class _Progress:
    """Shows a progress line if standard error is a terminal."""

    def __init__(self, title: str) -> None:
        self._title = title
        self._status: Any = None

    def __enter__(self) -> _Progress:
        if sys.stderr.isatty():
            from rich.console import Console

            self._status = Console(stderr=True).status(self._title)
            self._status.start()
        return self

    def show(self, progress: dict[str, Any]) -> None:
        if self._status:
            counts = sorted(item for item in progress.items() if item[0] != "at")
            figures = "  ".join(f"{name} {value}" for name, value in counts)
            self._status.update(f"{self._title}  {progress.get('at', 0):.0f} s  {figures}")

    def __exit__(self, *_: object) -> None:
        if self._status:
            self._status.stop()


def _import(args: argparse.Namespace) -> int:
    salt = (args.salt or secrets.token_hex(16)).encode()
    with open(args.log, "rb") as source, open(args.output, "wb") as sink:
        result = traces.convert(source, sink, args.format, salt, args.account)
    order = f"{result.reordered} reordered, {result.clamped} too far out of order"
    print(f"{result.lines} lines, {result.kept} kept, {order}")
    for reason, count in result.rejected.most_common():
        print(f"{count} skipped: {reason}")
    for line in result.shown:
        print(f"  {line}")
    return 0 if result.kept else 2


def _compare(args: argparse.Namespace) -> int:
    before, after = (json.loads(path.read_text())["runs"] for path in (args.before, args.after))
    print(compare.text(compare.compare(before, after)))
    return 0


def _audit(args: argparse.Namespace) -> int:
    client_attempts = read_ledger(args.ledger)
    server_attempts = [attempt for path in args.logs for attempt in read_server_log(path)]
    drained = {}
    for text in args.drained:
        server, _, at = text.partition("=")
        drained[server] = float(at)
    findings = ledger.audit(client_attempts, server_attempts, drained)
    print(
        f"{len(client_attempts)} client attempts, {len(server_attempts)} server attempts, "
        f"{len(findings)} findings"
    )
    for finding in findings[:50]:
        print(f"  {finding.kind}: {finding.ident}: {finding.detail}")
    return EXIT_FINDINGS if findings else 0


def read_ledger(path: Path) -> list[ledger.ClientAttempt]:
    """Reads a run's ledger; the lines of one attempt are added up."""
    found: dict[str, ledger.ClientAttempt] = {}
    with open(path, "rb") as lines:
        for line in lines:
            raw = json.loads(line)
            before = found.get(raw["ident"])
            answers = raw["answers"] + (before.answers if before else 0)
            hung_up = raw["hung_up"] or (before is not None and before.hung_up)
            found[raw["ident"]] = ledger.ClientAttempt(raw["ident"], answers, hung_up)
    return list(found.values())


def read_server_log(path: Path) -> list[ledger.ServerAttempt]:
    """Reads the log of a stand-in server."""
    with open(path, "rb") as lines:
        rows = [json.loads(line) for line in lines]
    names = ("ident", "server", "came_s", "ended_s", "ran", "once", "key", "repeat", "via")
    return [ledger.ServerAttempt(**{name: row[name] for name in names}) for row in rows]
