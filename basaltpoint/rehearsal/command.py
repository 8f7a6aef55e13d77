"""`basaltpoint rehearse`: arguments and output.

Exit codes: 0 all checks held, 1 some did not, 2 invalid file or failed start, 3 the host was too slow.
"""

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

EXIT_HELD, EXIT_NOT_HELD, EXIT_INVALID, EXIT_SLOW_HOST = range(4)
MODEL_SETTLE_S = 60.0  # of virtual time after the end, in which the views must agree again


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of the command."""
    parser.add_argument("scenario", type=Path)
    parser.add_argument("--json", type=Path, help="write the result to this file as JSON")
    parser.add_argument("--html", type=Path, help="write the result to this file as an HTML page")
    parser.add_argument("--seed", type=int, default=1, help="seed of all random choices")
    parser.add_argument("--model", action="store_true", help="simulate the members alone, in virtual time")
    parser.add_argument(
        "--seeds", type=int, default=1, help="with --model: number of seeds to run, from --seed on"
    )
    parser.add_argument("--keep", type=Path, help="folder in which files and logs of the processes are kept")


def run(args: argparse.Namespace) -> int:
    """Runs the rehearsal and returns the exit code."""
    try:
        rehearsal = scenario.load(args.scenario)
    except FileError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    if args.keep and args.keep.is_dir() and any(args.keep.iterdir()):
        # Logs and stores of an earlier rehearsal would be read as those of this one.
        print(
            f"--keep: found {args.keep}, which is not empty; allowed: a new or empty folder", file=sys.stderr
        )
        return EXIT_INVALID
    began = time.monotonic()
    if args.model:
        results = [run_model(rehearsal, seed) for seed in range(args.seed, args.seed + max(1, args.seeds))]
        result = next((result for result in results if not result["held"]), results[0])
    else:
        from basaltpoint.rehearsal.play import RehearsalRun, SlowHostError, StartError

        try:
            with tempfile.TemporaryDirectory() as folder:
                result = asyncio.run(RehearsalRun(rehearsal, args.keep or Path(folder), args.seed).run())
        except SlowHostError as error:
            print(f"{args.scenario}: {error}; the measured times are not valid", file=sys.stderr)
            return EXIT_SLOW_HOST
        except (StartError, BuildError) as error:
            print(f"{args.scenario}: {error}", file=sys.stderr)
            return EXIT_INVALID
    result["faults"] = [
        [f.start_s, min(f.end_s, rehearsal.fleet.seconds), f.describe()] for f in rehearsal.faults
    ]
    print(format_result(result, time.monotonic() - began))
    if args.json:
        args.json.write_text(json.dumps(result, indent=1))
    if args.html:
        from basaltpoint.rehearsal.page import render_page

        args.html.write_text(render_page(args.scenario.name, rehearsal, result))
    return EXIT_HELD if result["held"] else EXIT_NOT_HELD


def run_model(rehearsal: Rehearsal, seed: int) -> dict[str, Any]:
    """Simulates the members of a rehearsal in virtual time and returns the result.

    It leaves out servers, load, drains, the store, system calls and wall clocks.
    """
    members = [fault for fault in rehearsal.faults if fault.kind not in (*SERVER_FAULTS, *SYSTEM_FAULTS)]
    faults = restrict_to_members(members, rehearsal.limiter_names)
    fleet = FleetModel(rehearsal.limiter_names, faults=faults, seed=random.Random(seed).getrandbits(32))
    end = rehearsal.fleet.seconds + MODEL_SETTLE_S
    fleet.run_until(end)
    result = build_verdict(fleet.lifetimes, fleet.observations, faults, rehearsal.fleet.seconds, 0.0, end)
    return result | {
        "seed": seed,
        "held": not result["findings"],
        "requests": dict.fromkeys(("asked", "answered", "none", "twice"), 0),
        "limits": {},
    }


def format_result(result: dict[str, Any], took_s: float) -> str:
    """Returns a short report as text."""
    members, requests = result["members"], result["requests"]
    lines = ["held" if result["held"] else "NOT HELD"]
    for crash in members["detected_s"]:
        by = crash["by"].values()
        seen = f"detected after {min(by):.2f} to {max(by):.2f} s, by {len(by)}" if by else "never detected"
        lines.append(f"{crash['name']} ended at {crash['at_s']:.1f} s: {seen}")
    agreed = members["agreed_s"]
    lines.append(f"all views agreed {'never' if agreed is None else f'{agreed:.1f} s'} after the last fault")
    lines.append(f"running members declared dead: {members['wrong_deaths']} changes of views")
    if requests["asked"]:
        lines.append(
            f"requests: {requests['asked']} sent, {requests['answered']} answered, "
            f"{requests['none']} unanswered, {requests['twice']} run twice"
        )
    if store := result.get("store"):
        lines.append(
            f"store: longest write {store['write_s']:.2f} s, read {store['read_s']:.2f} s, watch event "
            f"{store['watch_s']:.2f} s; {store['late_sends']} attempts after a drain took effect"
        )
    over = {name: row["over"] for name, row in result["limits"].items() if row["over"]}
    if over:
        lines.append(f"over quota: {len(over)} accounts, by {sum(over.values()):.0f} units")
    for row in result["findings"][:20]:
        lines.append(
            f"  {row['at_s']:.1f} s {row['kind']} {' '.join(row['members'])}: expected {row['expected']}"
        )
    lines.append(f"took {took_s:.1f} s")
    return "\n".join(lines)
