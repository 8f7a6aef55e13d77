"""`basaltpoint soak`: runs soak tests with random, overlapping faults and reports broken invariants."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

import uvloop

from basaltpoint.rehearsal.soak.run import Soak, SoakOptions, format_report


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument("--seeds", type=int, default=1, help="number of runs, with consecutive seeds")
    parser.add_argument("--limiters", type=int, default=24)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of the load in each run")
    parser.add_argument(
        "--per-limiter", type=float, default=12.0, help="requests per second for each limiter"
    )
    parser.add_argument(
        "--system-faults",
        action="store_true",
        help="also let system calls of limiters fail and their wall clocks step (needs a C compiler)",
    )
    parser.add_argument("--trace", action="store_true", help="let limiters log each step of each request")
    parser.add_argument("--keep", type=Path, help="folder for the report and the logs of each run")


def run(args: argparse.Namespace) -> int:
    """Runs all seeds; returns 0 if there are no findings, else 1."""
    failed_runs = 0
    for seed in range(args.seed, args.seed + args.seeds):
        options = SoakOptions(
            seed,
            args.limiters,
            args.servers,
            args.seconds,
            args.per_limiter,
            args.trace,
            args.system_faults,
        )
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch)
            if args.keep:
                folder = args.keep / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            soak = Soak(options, folder)
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                verdict = runner.run(soak.run())
            text = format_report(verdict, soak.record)
            print(text, flush=True)
            if args.keep:
                (folder / "report.txt").write_text(text + "\n")
            failed_runs += bool(verdict.findings)
    print(f"{args.seeds - failed_runs} of {args.seeds} runs without a finding", file=sys.stderr)
    return 1 if failed_runs else 0
