"""Measures the load generator: its highest open-loop rate, the replay of a trace, the import of a log.

    python benchmarks/load.py rate [--processes 1 4]   highest rate with p99 lateness under 5 ms
    python benchmarks/load.py replay                   100,000 requests of a trace at ten times the speed
    python benchmarks/load.py import [--lines N]       memory and time of an import (10 million lines)

The baseline of `rate` is a closed loop on the same libraries in the same run: the rate of these connections
without scheduling, accounting or records.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "benchmarks"))

from basaltpoint.load import coordinator, report, scenario  # noqa: E402

MAX_P99_LATENESS_MS = 5.0
STEP_DURATION_S = 3.0
# In thousands of requests per second.
RATE_STEPS_KRPS = (1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 10.0, 12.0, 16.0, 20.0, 24.0, 32.0)


def start_servers(count: int) -> tuple[list[subprocess.Popen[str]], list[str]]:
    """Starts server processes that respond immediately; returns them and their addresses."""
    relay = str(ROOT / "benchmarks/relay.py")
    servers = [
        subprocess.Popen([sys.executable, relay, "server"], stdout=subprocess.PIPE, text=True)
        for _ in range(count)
    ]
    return servers, [process.stdout.readline().strip() for process in servers if process.stdout]


def write_scenario(
    folder: Path, targets: list[str], rate_per_s: float, processes: int, duration_s: float
) -> Path:
    path = folder / "load.toml"
    target_list = ", ".join(f'"{target}"' for target in targets)
    path.write_text(
        f"target = [{target_list}]\nduration_s = {duration_s}\nprocesses = {processes}\n"
        f'[[plan]]\nname = "a"\naccounts = 200\nrate = {rate_per_s}\n[[class]]\nname = "read"\n'
    )
    return path


def run_scenario(path: Path, trace: Path | None = None, factor: float = 1.0) -> dict[str, object]:
    stats = asyncio.run(coordinator.run(path, scenario.load(path), lambda progress: None, trace, factor))
    return report.summary(stats, path.name)


def measure_closed_loop(address: str) -> float:
    """Returns requests per second of 16 connections that send the next request on each response."""
    relay = str(ROOT / "benchmarks/relay.py")
    output = subprocess.check_output([sys.executable, relay, "load", address, "1", "2", "1"], text=True)
    rate: float = json.loads(output)["rate"]
    return rate


def measure_rate(process_counts: list[int]) -> None:
    servers, targets = start_servers(2)
    try:
        closed_loop_rate = measure_closed_loop(targets[0])
        print(f"closed loop, one process: {closed_loop_rate:.0f} a second")
        for processes in process_counts:
            highest_rate = 0.0
            for step_krps in RATE_STEPS_KRPS:
                with tempfile.TemporaryDirectory() as folder:
                    path = write_scenario(Path(folder), targets, step_krps * 1000, processes, STEP_DURATION_S)
                    summary = run_scenario(path)
                lateness, total = summary["lateness_ms"], summary["total"]
                assert isinstance(lateness, dict) and isinstance(total, dict)
                passed = lateness["p99"] < MAX_P99_LATENESS_MS and total["served"] == total["asked"]
                lateness_text = f"sent late p99 {lateness['p99']:.2f} ms"
                print(f"{processes} processes, {step_krps * 1000:.0f} a second: {lateness_text}")
                if not passed:
                    break
                highest_rate = step_krps * 1000
            print(
                f"{processes} processes: {highest_rate:.0f} a second, "
                f"{highest_rate / closed_loop_rate:.2f} of the closed loop of one"
            )
    finally:
        for process in servers:
            process.kill()


def measure_replay() -> None:
    servers, targets = start_servers(2)
    try:
        with tempfile.TemporaryDirectory() as folder:
            trace = Path(folder) / "trace"
            with open(trace, "w") as lines:
                for n in range(100_000):
                    lines.write(json.dumps({"t": n / 250, "method": "GET", "path": f"/{n}"}) + "\n")
            path = write_scenario(Path(folder), targets, 1.0, 4, STEP_DURATION_S)
            start = time.monotonic()
            summary = run_scenario(path, trace, 10.0)
        total, lateness = summary["total"], summary["lateness_ms"]
        assert isinstance(total, dict) and isinstance(lateness, dict)
        print(f"100,000 requests, recorded over 400 s, in {time.monotonic() - start:.1f} s with starting up;")
        print(f"asked {total['asked']}, served {total['served']}, late by p99 {lateness['p99']:.2f} ms")
    finally:
        for process in servers:
            process.kill()


def measure_import(lines: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        log = Path(folder) / "access.log"
        row = '10.0.{}.{} - u{} [01/Dec/2026:{:02d}:{:02d}:{:02d} +0000] "GET /s/{} HTTP/1.1" 200 5 "-" "x"\n'
        with open(log, "w") as out:
            for n in range(lines):
                second = n * 86400 // lines
                out.write(
                    row.format(n % 250, n % 199, n % 5000, second // 3600, second // 60 % 60, second % 60, n)
                )
        start = time.monotonic()
        command = [sys.executable, "-m", "basaltpoint", "load", "import", str(log), "-o", "/dev/null"]
        subprocess.run(command, cwd=ROOT, check=True)
        usage = resource.getrusage(resource.RUSAGE_CHILDREN)
        size_mb = log.stat().st_size / (1 << 20)
        duration_s = time.monotonic() - start
        print(
            f"{lines} lines, {size_mb:.0f} MB: {duration_s:.0f} s, "
            f"most memory {usage.ru_maxrss / 1024:.0f} MB"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("rate").add_argument("--processes", type=int, nargs="+", default=[1, 4])
    commands.add_parser("replay")
    commands.add_parser("import").add_argument("--lines", type=int, default=10_000_000)
    args = parser.parse_args()
    if args.command == "rate":
        measure_rate(args.processes)
    elif args.command == "replay":
        measure_replay()
    else:
        measure_import(args.lines)


if __name__ == "__main__":
    main()
