"""`basaltpoint rehearse`: arguments and output. Exit code 0: held, 1: not, 2: a wrong file, 3: too slow."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from basaltpoint.config.decode import FileError
from basaltpoint.rehearsal import scenario
from basaltpoint.rehearsal.faults import SERVER_FAULTS, SYSTEM_FAULTS, restrict_to_members
from basaltpoint.rehearsal.model import FleetModel
from basaltpoint.rehearsal.scenario import Rehearsal
from basaltpoint.rehearsal.system_faults.library import BuildError
from basaltpoint.rehearsal.verdict import build_verdict

HELD, NOT_HELD, WRONG, SLOW = range(4)
MODEL_SETTLE_S = 60.0  # of the model's time, after the end, for all to agree again


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """What the command takes."""
    parser.add_argument("scenario", type=Path)
    parser.add_argument("--json", type=Path, help="write what was found here")
    parser.add_argument("--html", type=Path, help="write it as a page here")
    parser.add_argument("--seed", type=int, default=1, help="of all chance")
    parser.add_argument("--model", action="store_true", help="play the members alone, in virtual time")
    parser.add_argument("--seeds", type=int, default=1, help="with --model: so many, from --seed on")
    parser.add_argument("--keep", type=Path, help="folder for the processes' files and logs; kept")


def run(args: argparse.Namespace) -> int:
    """Play; the exit code."""
    try:
        made = scenario.load(args.scenario)
    except FileError as error:
        print(error, file=sys.stderr)
        return WRONG
    if args.keep and args.keep.is_dir() and any(args.keep.iterdir()):
        # Logs and stores of an earlier play would be taken for this one's.
        print(
            f"--keep: found {args.keep} with something in it; allowed: a new or empty folder", file=sys.stderr
        )
        return WRONG
    began = time.monotonic()
    if args.model:
        results = [model(made, seed) for seed in range(args.seed, args.seed + max(1, args.seeds))]
        result = next((result for result in results if not result["held"]), results[0])
    else:
        from basaltpoint.rehearsal.play import RehearsalRun, SlowHostError, StartError

        try:
            with tempfile.TemporaryDirectory() as folder:
                result = asyncio.run(RehearsalRun(made, args.keep or Path(folder), args.seed).run())
        except SlowHostError as error:
            print(f"{args.scenario}: {error}; its numbers don't count", file=sys.stderr)
            return SLOW
        except (StartError, BuildError) as error:
            print(f"{args.scenario}: {error}", file=sys.stderr)
            return WRONG
    result["faults"] = [[f.start_s, min(f.end_s, made.fleet.seconds), f.describe()] for f in made.faults]
    print(text(result, time.monotonic() - began))
    if args.json:
        args.json.write_text(json.dumps(result, indent=1))
    if args.html:
        from basaltpoint.rehearsal.page import render_page

        args.html.write_text(render_page(args.scenario.name, made, result))
    return HELD if result["held"] else NOT_HELD


def model(made: Rehearsal, seed: int) -> dict[str, Any]:
    """The members of a rehearsal in virtual time; servers, load, drains, the store, system calls and wall
    clocks play no part in it."""
    members = [fault for fault in made.faults if fault.kind not in (*SERVER_FAULTS, *SYSTEM_FAULTS)]
    faults = restrict_to_members(members, made.limiter_names)
    played = FleetModel(made.limiter_names, faults=faults, seed=random.Random(seed).getrandbits(32))
    end = made.fleet.seconds + MODEL_SETTLE_S
    played.run_until(end)
    found = build_verdict(played.lifetimes, played.observations, faults, made.fleet.seconds, 0.0, end)
    return found | {
        "seed": seed,
        "held": not found["findings"],
        "requests": dict.fromkeys(("asked", "answered", "none", "twice"), 0),
        "limits": {},
    }


def text(result: dict[str, Any], took_s: float) -> str:
    """A few lines for a person."""
    members, asked = result["members"], result["requests"]
    lines = ["held" if result["held"] else "NOT HELD"]
    for kill in members["detected_s"]:
        by = kill["by"].values()
        seen = f"known after {min(by):.2f} to {max(by):.2f} s, by {len(by)}" if by else "never known"
        lines.append(f"{kill['name']} gone at {kill['at_s']:.1f} s: {seen}")
    agreed = members["agreed_s"]
    lines.append(f"all agreed {'never' if agreed is None else f'{agreed:.1f} s'} after the last fault")
    lines.append(f"living members held dead: {members['wrong_deaths']} changes of a view")
    if asked["asked"]:
        lines.append(
            f"requests: {asked['asked']} asked, {asked['answered']} answered, "
            f"{asked['none']} without an answer, {asked['twice']} twice"
        )
    if store := result.get("store"):
        lines.append(
            f"store: longest write {store['write_s']:.2f} s, read {store['read_s']:.2f} s, news by the watch "
            f"{store['watch_s']:.2f} s; {store['late_sends']} sends later than a drain allows"
        )
    over = {name: row["over"] for name, row in result["limits"].items() if row["over"]}
    if over:
        lines.append(f"beyond their quota: {len(over)} accounts, by {sum(over.values()):.0f} units")
    for row in result["findings"][:20]:
        lines.append(
            f"  {row['at_s']:.1f} s {row['kind']} {' '.join(row['members'])}: expected {row['expected']}"
        )
    lines.append(f"played in {took_s:.1f} s")
    return "\n".join(lines)
