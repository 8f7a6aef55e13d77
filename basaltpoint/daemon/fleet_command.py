"""`basaltpoint fleet`: shows each member's view of the fleet and its changes, and removes members."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from basaltpoint.config import fleets
from basaltpoint.config.decode import FileError
from basaltpoint.config.fleets import FleetSettings
from basaltpoint.daemon.fleet_query import query_view, request_removal
from basaltpoint.peers import messages as m

WATCH_INTERVAL_S = 0.5
Views = dict[str, m.ViewResponse | str]  # by member: its view, or why there is none


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the subcommands `status`, `watch` and `remove`."""
    commands = parser.add_subparsers(dest="fleet_command", required=True)
    status = commands.add_parser(
        "status", help="each member's view of the fleet; exit code 1 if views differ"
    )
    status.add_argument("--json", action="store_true")
    status.set_defaults(act=_status)
    watch = commands.add_parser("watch", help="print changes of any member's view, until interrupted")
    watch.set_defaults(act=_watch)
    removal = commands.add_parser("remove", help="declare a member permanently removed")
    removal.add_argument("name")
    removal.add_argument("--force", action="store_true", help="even if another member may still reach it")
    removal.set_defaults(act=_remove)
    for command in (status, watch, removal):
        command.add_argument(
            "--config", type=Path, default=Path("limiter.toml"), help="a member's configuration file"
        )


def run(args: argparse.Namespace) -> int:
    """Returns the exit code.

    1 if views differ, no member responds or the removal is refused; 2 if the file is invalid.
    """
    try:
        setting = fleets.load(args.config)
    except FileError as error:
        print(error, file=sys.stderr)
        return 2
    try:
        code: int = asyncio.run(args.act(setting, args))
    except KeyboardInterrupt:
        return 0
    return code


async def _query(setting: FleetSettings, name: str, address: str) -> m.ViewResponse | str:
    try:
        return await query_view(setting, name, address)
    except (OSError, TimeoutError) as error:
        return str(error) or "no response"


async def collect_views(setting: FleetSettings) -> Views:
    """Queries this file's member and the seeds, then every member that one of them reports as live."""
    known = {setting.name: setting.address}
    known.update({name: address for name, address in setting.seeds if name != setting.name})
    views: Views = {}
    while missing := [name for name in known if name not in views]:
        answers = await asyncio.gather(*(_query(setting, name, known[name]) for name in missing))
        views.update(zip(missing, answers, strict=True))
        for view in answers:
            if isinstance(view, m.ViewResponse):
                for seen in view.members:
                    if seen.record.is_live:
                        known.setdefault(seen.record.name, seen.record.address)
    return views


def differences(views: Views) -> list[str]:
    """Describes where members' views differ, and who is reported as live and does not respond."""
    answered = {name: view for name, view in views.items() if isinstance(view, m.ViewResponse)}
    states = {
        name: {s.record.name: (s.record.state, s.record.incarnation) for s in v.members}
        for name, v in answered.items()
    }
    findings = []
    for name in sorted({other for view in states.values() for other in view}):
        seen = {by: view.get(name) for by, view in states.items()}
        live = {by: bool(state and state[0] in m.LIVE_STATES) for by, state in seen.items()}
        if len(set(live.values())) > 1 or len({state for by, state in seen.items() if live[by]}) > 1:
            each = ", ".join(f"{by} {_state_text(state)}" for by, state in sorted(seen.items()))
            findings.append(f"{name}: {each}")
        elif name not in answered and any(live.values()):
            findings.append(
                f"{name}: reported as alive, but it can't be queried: {views.get(name, 'no response')}"
            )
    return findings


def _state_text(state: tuple[m.MemberState, int] | None) -> str:
    return f"{state[0].name.lower()} {state[1]}" if state else "does not know it"


def unreachable_links(views: Views) -> list[str]:
    """Describes the links over which one member can't reach another, as the member reports them."""
    findings = []
    for name, view in sorted(views.items()):
        if isinstance(view, m.ViewResponse):
            for seen in view.members:
                if seen.record.name == name:
                    for other in seen.record.unreachable:
                        direction = (
                            "one way: it receives, but can't send" if other.startswith(">") else "both ways"
                        )
                        findings.append(
                            f"{name} can't reach {other.removeprefix('>')} ({direction}); other members can"
                        )
    return findings


def format_table(views: Views) -> str:
    """Formats the views as a table: one row for each member's view, one column for each member."""
    from rich.console import Console
    from rich.table import Table

    names = sorted(
        {s.record.name for v in views.values() if isinstance(v, m.ViewResponse) for s in v.members}
        | set(views)
    )
    grid = Table("seen by", *names, "health score")
    for by in sorted(views):
        view = views[by]
        if isinstance(view, str):
            grid.add_row(by, *[""] * len(names), view)
            continue
        cells = {s.record.name: _cell(s) for s in view.members}
        grid.add_row(by, *(cells.get(name, "-") for name in names), str(view.health_score))
    console = Console(width=max(100, 24 * (len(names) + 2)), record=False)
    with console.capture() as captured:
        console.print(grid)
    return captured.get()


def _cell(seen: m.MemberView) -> str:
    rtt = f" {seen.rtt_ms:.1f} ms" if seen.rtt_ms >= 0 else ""
    return (
        f"{seen.record.state.name.lower()} {_duration(seen.since_ms / 1000)}{rtt}\n{seen.record.incarnation}"
    )


def _duration(seconds: float) -> str:
    for unit, size in (("d", 86400), ("h", 3600), ("min", 60)):
        if seconds >= 2 * size:
            return f"{seconds / size:.0f} {unit}"
    return f"{seconds:.0f} s"


async def _status(setting: FleetSettings, args: argparse.Namespace) -> int:
    views = await collect_views(setting)
    answered = [view for view in views.values() if isinstance(view, m.ViewResponse)]
    findings, unreachable = differences(views), unreachable_links(views)
    if args.json:
        each = {
            name: {"problem": view} if isinstance(view, str) else _view_as_json(view)
            for name, view in views.items()
        }
        print(json.dumps({"views": each, "differences": findings, "cut": unreachable}, indent=1))
    else:
        print(format_table(views), end="")
        for line in unreachable:
            print(f"cut: {line}")
        for view in answered:
            for problem in view.problems:
                print(f"{view.member} received an invalid message: {problem}")
        for line in findings:
            print(f"differs: {line}")
    if not answered:
        print("no member responds", file=sys.stderr)
    return 1 if findings or not answered else 0


def _view_as_json(view: m.ViewResponse) -> dict[str, Any]:
    seen = [
        {
            "name": s.record.name,
            "address": s.record.address,
            "state": s.record.state.name.lower(),
            "incarnation": s.record.incarnation,
            "since_s": s.since_ms / 1000,
            "heard_s": s.last_heard_ms / 1000 if s.last_heard_ms >= 0 else None,
            "rtt_ms": s.rtt_ms if s.rtt_ms >= 0 else None,
            "unreached": [name.removeprefix(">") for name in s.record.unreachable],
        }
        for s in view.members
    ]
    return {"doubt": view.health_score, "problems": list(view.problems), "seen": seen}


async def _watch(setting: FleetSettings, args: argparse.Namespace) -> int:
    before: dict[str, dict[str, Any]] = {}
    while True:
        for by, view in sorted((await collect_views(setting)).items()):
            for line in _changes(by, view, before.setdefault(by, {})):
                print(time.strftime("%H:%M:%S"), line, flush=True)
        await asyncio.sleep(WATCH_INTERVAL_S)


def _changes(by: str, view: m.ViewResponse | str, before: dict[str, Any]) -> Iterable[str]:
    now: dict[str, str] = (
        {"": view}
        if isinstance(view, str)
        else {s.record.name: _state_text((s.record.state, s.record.incarnation)) for s in view.members}
    )
    for name in sorted({*now, *before}):
        if now.get(name) != before.get(name):
            yield f"{by}: {name or 'itself'} {now.get(name, 'was removed' if name else 'responds again')}"
    before.clear()
    before.update(now)


async def _remove(setting: FleetSettings, args: argparse.Namespace) -> int:
    try:
        problem = await request_removal(setting, args.name, args.force)
    except (OSError, TimeoutError) as error:
        problem = f"{setting.name} does not respond: {error or 'timeout'}"
    if problem:
        print(problem, file=sys.stderr)
        return 1
    print(f"{args.name} is permanently removed; the other members receive this within a second")
    return 0
