"""`basaltpoint fleet`: each member's view of each other, changes as they come, and removal of the gone."""

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

WATCH_S = 0.5
Views = dict[str, m.ViewResponse | str]  # by member: its view, or why it told none


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Status, watch and remove."""
    commands = parser.add_subparsers(dest="fleet_command", required=True)
    status = commands.add_parser("status", help="each member's view of each other; 1 where two differ")
    status.add_argument("--json", action="store_true")
    status.set_defaults(act=_status)
    watch = commands.add_parser("watch", help="changes of any member's view, until interrupted")
    watch.set_defaults(act=_watch)
    gone = commands.add_parser("remove", help="declare a member gone for good")
    gone.add_argument("name")
    gone.add_argument("--force", action="store_true", help="though somebody may still reach it")
    gone.set_defaults(act=_remove)
    for command in (status, watch, gone):
        command.add_argument("--config", type=Path, default=Path("limiter.toml"), help="a member's file")


def run(args: argparse.Namespace) -> int:
    """The exit code: 1 where views differ, nobody answers or it is refused; 2 where the file is wrong."""
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


async def _one(setting: FleetSettings, name: str, address: str) -> m.ViewResponse | str:
    try:
        return await query_view(setting, name, address)
    except (OSError, TimeoutError) as error:
        return str(error) or "no answer"


async def collect_views(setting: FleetSettings) -> Views:
    """The view of every member that any asked one holds alive; the file's own member is asked first."""
    known = {setting.name: setting.address}
    known.update({name: address for name, address in setting.seeds if name != setting.name})
    found: Views = {}
    while missing := [name for name in known if name not in found]:
        told = await asyncio.gather(*(_one(setting, name, known[name]) for name in missing))
        found.update(zip(missing, told, strict=True))
        for looked in told:
            if isinstance(looked, m.ViewResponse):
                for seen in looked.members:
                    if seen.record.is_live:
                        known.setdefault(seen.record.name, seen.record.address)
    return found


def differences(found: Views) -> list[str]:
    """Where two members' views differ, and who could not be asked though others hold it alive."""
    told = {name: looked for name, looked in found.items() if isinstance(looked, m.ViewResponse)}
    states = {
        name: {s.record.name: (s.record.state, s.record.incarnation) for s in v.members}
        for name, v in told.items()
    }
    wrong = []
    for name in sorted({other for view in states.values() for other in view}):
        seen = {by: view.get(name) for by, view in states.items()}
        live = {by: bool(state and state[0] in m.LIVE_STATES) for by, state in seen.items()}
        if len(set(live.values())) > 1 or len({state for by, state in seen.items() if live[by]}) > 1:
            each = ", ".join(f"{by} {_word(state)}" for by, state in sorted(seen.items()))
            wrong.append(f"{name}: {each}")
        elif name not in told and any(live.values()):
            wrong.append(f"{name}: alive, and not to be asked: {found.get(name, 'no answer')}")
    return wrong


def _word(state: tuple[m.MemberState, int] | None) -> str:
    return f"{state[0].name.lower()} {state[1]}" if state else "does not know it"


def unreachable_links(found: Views) -> list[str]:
    """Links that can't be used, each with who says so."""
    wrong = []
    for name, looked in sorted(found.items()):
        if isinstance(looked, m.ViewResponse):
            for seen in looked.members:
                if seen.record.name == name:
                    for other in seen.record.unreachable:
                        way = "hears it, is not heard" if other.startswith(">") else "no word either way"
                        wrong.append(f"{name} can't reach {other.removeprefix('>')} ({way}); others can")
    return wrong


def format_table(found: Views) -> str:
    """Rows: who looks. Columns: at whom."""
    from rich.console import Console
    from rich.table import Table

    names = sorted(
        {s.record.name for v in found.values() if isinstance(v, m.ViewResponse) for s in v.members}
        | set(found)
    )
    made = Table("seen by", *names, "doubts itself")
    for by in sorted(found):
        looked = found[by]
        if isinstance(looked, str):
            made.add_row(by, *[""] * len(names), looked)
            continue
        cells = {s.record.name: _cell(s) for s in looked.members}
        made.add_row(by, *(cells.get(name, "-") for name in names), str(looked.health_score))
    console = Console(width=max(100, 24 * (len(names) + 2)), record=False)
    with console.capture() as captured:
        console.print(made)
    return captured.get()


def _cell(seen: m.MemberView) -> str:
    rtt = f" {seen.rtt_ms:.1f} ms" if seen.rtt_ms >= 0 else ""
    return f"{seen.record.state.name.lower()} {_span(seen.since_ms / 1000)}{rtt}\n{seen.record.incarnation}"


def _span(seconds: float) -> str:
    for unit, size in (("d", 86400), ("h", 3600), ("min", 60)):
        if seconds >= 2 * size:
            return f"{seconds / size:.0f} {unit}"
    return f"{seconds:.0f} s"


async def _status(setting: FleetSettings, args: argparse.Namespace) -> int:
    found = await collect_views(setting)
    answered = [looked for looked in found.values() if isinstance(looked, m.ViewResponse)]
    wrong, cut = differences(found), unreachable_links(found)
    if args.json:
        each = {
            name: {"problem": told} if isinstance(told, str) else _plain(told) for name, told in found.items()
        }
        print(json.dumps({"views": each, "differences": wrong, "cut": cut}, indent=1))
    else:
        print(format_table(found), end="")
        for line in cut:
            print(f"cut: {line}")
        for looked in answered:
            for problem in looked.problems:
                print(f"{looked.member} was sent what may not be: {problem}")
        for line in wrong:
            print(f"differs: {line}")
    if not answered:
        print("no member answers", file=sys.stderr)
    return 1 if wrong or not answered else 0


def _plain(looked: m.ViewResponse) -> dict[str, Any]:
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
        for s in looked.members
    ]
    return {"doubt": looked.health_score, "problems": list(looked.problems), "seen": seen}


async def _watch(setting: FleetSettings, args: argparse.Namespace) -> int:
    before: dict[str, dict[str, Any]] = {}
    while True:
        for by, looked in sorted((await collect_views(setting)).items()):
            for line in _news(by, looked, before.setdefault(by, {})):
                print(time.strftime("%H:%M:%S"), line, flush=True)
        await asyncio.sleep(WATCH_S)


def _news(by: str, looked: m.ViewResponse | str, before: dict[str, Any]) -> Iterable[str]:
    now: dict[str, str] = (
        {"": looked}
        if isinstance(looked, str)
        else {s.record.name: _word((s.record.state, s.record.incarnation)) for s in looked.members}
    )
    for name in sorted({*now, *before}):
        if now.get(name) != before.get(name):
            yield f"{by}: {name or 'itself'} {now.get(name, 'is forgotten' if name else 'answers again')}"
    before.clear()
    before.update(now)


async def _remove(setting: FleetSettings, args: argparse.Namespace) -> int:
    try:
        problem = await request_removal(setting, args.name, args.force)
    except (OSError, TimeoutError) as error:
        problem = f"{setting.name} does not answer: {error or 'in time'}"
    if problem:
        print(problem, file=sys.stderr)
        return 1
    print(f"{args.name} is gone for good; the others hear of it within a second")
    return 0
