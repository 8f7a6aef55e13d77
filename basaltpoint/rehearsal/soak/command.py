"""`basaltpoint soak`: random, overlapping faults on many of the platform's limiters, judged by the rules."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

import uvloop

from basaltpoint.rehearsal.soak.run import Soak, SoakOptions, format_report


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seed", type=int, default=1, help="of the first run")
    parser.add_argument("--seeds", type=int, default=1, help="how many runs, one seed after the other")
    parser.add_argument("--limiters", type=int, default=24)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=20.0, help="of load, in each run")
    parser.add_argument("--per-limiter", type=float, default=12.0, help="requests a second")
    parser.add_argument(
        "--system-faults",
        action="store_true",
        help="system calls of limiters fail and wall clocks step, too (needs a C compiler)",
    )
    parser.add_argument("--trace", action="store_true", help="limiters log each step of each request")
    parser.add_argument("--keep", type=Path, help="folder for the logs of runs with findings")


def run(args: argparse.Namespace) -> int:
    """0 where no rule broke, else 1."""
    broken = 0
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
            broken += bool(verdict.findings)
    print(f"{args.seeds - broken} of {args.seeds} runs without a finding", file=sys.stderr)
    return 1 if broken else 0
