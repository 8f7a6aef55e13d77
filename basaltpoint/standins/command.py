"""Command line of `basaltpoint standin`, which runs one stand-in server."""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
from collections.abc import Callable
from pathlib import Path

import uvloop

from basaltpoint.config.address import ConfigError, parse_address
from basaltpoint.standins.server import ServerBehaviour, SharedIdempotencyKeys, StandInServer


def parse_service_time(text: str) -> Callable[[random.Random], float]:
    """Parses a service time distribution: `fixed:MS`, `exp:MS` (mean) or `uniform:MS,MS`."""
    kind, _, rest = text.partition(":")
    try:
        values = [float(part) / 1000 for part in rest.split(",")]
    except ValueError:
        values = []
    if kind == "fixed" and len(values) == 1 and values[0] >= 0:
        return lambda rng: values[0]
    if kind == "exp" and len(values) == 1 and values[0] > 0:
        return lambda rng: rng.expovariate(1 / values[0])
    if kind == "uniform" and len(values) == 2 and 0 <= values[0] <= values[1]:
        return lambda rng: rng.uniform(*values)
    raise argparse.ArgumentTypeError(f"{text!r}; allowed: fixed:MS, exp:MS, uniform:MS,MS")


def parse_stall(text: str) -> tuple[float, float]:
    """Parses `FROM:LENGTH`, in seconds; returns start and end."""
    try:
        start, length = (float(part) for part in text.split(":"))
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r}; allowed: FROM:LENGTH in seconds") from None
    return start, start + length


def parse_fraction(text: str) -> float:
    """Parses a number from 0 to 1."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= 1:
        raise argparse.ArgumentTypeError(f"{text!r}; allowed: 0 to 1")
    return value


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of the command."""
    parser.add_argument("--listen", default="127.0.0.1:0", help="IP:PORT; port 0 takes a free one")
    parser.add_argument("--name", default="standin")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=16, help="requests served concurrently")
    parser.add_argument(
        "--service", type=parse_service_time, default="fixed:10", help="fixed:MS, exp:MS, uniform:MS,MS"
    )
    parser.add_argument(
        "--errors", type=parse_fraction, default=0.0, help="fraction of requests that end in status 500"
    )
    parser.add_argument(
        "--resets", type=parse_fraction, default=0.0, help="fraction of requests whose connection is reset"
    )
    parser.add_argument("--stall", type=parse_stall, action="append", default=[], help="FROM:LENGTH, seconds")
    parser.add_argument("--cold", type=float, default=0.0, help="warm-up time in seconds")
    parser.add_argument(
        "--cold-from", type=parse_fraction, default=0.2, help="fraction of full speed at the start"
    )
    parser.add_argument("--drain", type=float, help="reject new requests from this second on")
    parser.add_argument(
        "--once", default="/corrections", help="prefix of paths that must not be executed twice"
    )
    parser.add_argument(
        "--keys", type=Path, help="folder shared by servers that drop repeated keys of each other"
    )
    parser.add_argument("--log", type=Path, help="write a JSON line for each request that ended")


def run(args: argparse.Namespace) -> int:
    """Runs the server until SIGTERM; the first line printed is its address."""
    try:
        host, port = parse_address(args.listen)
    except ConfigError as error:
        print(error)
        return 2
    behaviour = ServerBehaviour(
        workers=args.workers,
        draw_service_s=args.service,
        error_fraction=args.errors,
        reset_fraction=args.resets,
        stalls=tuple(args.stall),
        warm_up_s=args.cold,
        cold_speed_fraction=max(0.01, args.cold_from),
        drain_after_s=args.drain,
        once_prefix=args.once,
    )

    async def serve() -> None:
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop.set)
        log = open(args.log, "wb", buffering=1 << 16) if args.log else None  # noqa: SIM115
        keys = SharedIdempotencyKeys(args.keys) if args.keys else None
        server = StandInServer(behaviour, args.seed, args.name, log, 0 if log else 1_000_000, keys)
        await server.start(host, port)
        print(server.address, flush=True)
        await stop.wait()
        server.stop()
        if log:
            log.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())
    return 0
