"""Scenario files: accounts and their request rates, classes, rate shapes, and client retries."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec

from basaltpoint.config.address import ConfigError, parse_address
from basaltpoint.config.decode import FileError, ProblemCollector, decode, format_value, load_toml
from basaltpoint.config.schema import NAME_PATTERN, described


class ArrivalProcess(Enum):
    """Distribution of arrivals in time."""

    POISSON = "poisson"
    CONSTANT = "constant"


class RequestForm(Enum):
    """Format of requests."""

    PLAIN = "plain"
    PLATFORM = "platform"


class Backoff(Enum):
    """Delay of a client before its next attempt."""

    NONE = "none"
    FIXED = "fixed"
    EXPONENTIAL = "exp"


class ShapeKind(Enum):
    """Kind of a rate change."""

    RAMP = "ramp"  # rises linearly from 1 to `factor` over the duration of the shape
    SINE = "sine"  # oscillates between 1 and `factor`
    STEP = "step"  # `factor` for the whole duration
    SURGE = "surge"  # `factor` for every account of one plan
    RUNAWAY = "runaway"  # one account sends `rate` additional requests per second


Name = Annotated[str, described("Name.", pattern=NAME_PATTERN)]


class RetryTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[retries]`: client retries after a refusal, a failure or no response."""

    most: Annotated[int, described("Maximum number of retries of a request.", ge=0, le=100)] = 0
    backoff: Annotated[Backoff, described("No delay, a fixed delay, or a delay that doubles.")] = (
        Backoff.FIXED
    )
    wait_ms: Annotated[
        float,
        described("First delay; each delay is drawn from half of it to its full length.", ge=0, le=3600000),
    ] = 100.0
    honour: Annotated[float, described("Fraction of the clients that honour Retry-After.", ge=0, le=1)] = 1.0


class HealthTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[health]`: limits beyond which measurements of the generator are unsound."""

    late_ms: Annotated[
        float, described("A send later than this is a delay of the generator.", gt=0, le=60000)
    ] = 20.0
    stall_ms: Annotated[
        float, described("An event loop blocked for this long makes the interval unsound.", gt=0, le=60000)
    ] = 50.0
    steal: Annotated[
        float, described("Maximum fraction of steal time of the host within a second.", gt=0, le=1)
    ] = 0.1


class PlanTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[[plan]]`: a group of accounts with a common request rate."""

    name: Name
    accounts: Annotated[int, described("Number of accounts.", ge=1, le=10000000)]
    rate: Annotated[float, described("Requests per second of all accounts together.", gt=0, le=1000000)]
    skew: Annotated[
        float,
        described(
            "Zipf exponent: 0 for equal accounts; with 1 the n-th account sends 1/n of the first's requests.",
            ge=0,
            le=5,
        ),
    ] = 0.0
    key: Annotated[
        str, described("API key of an account; {n} is its number within the plan.", min_length=1)
    ] = "{plan}-{n}"
    spread: Annotated[
        int, described("Number of limiters that an account uses (platform form).", ge=1, le=64)
    ] = 1


class ClassTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[[class]]`: a class of requests."""

    name: Name
    share: Annotated[
        float, described("Share of the requests, relative to the other classes.", gt=0, le=1000000)
    ] = 1.0
    method: Annotated[str, described("HTTP method.", pattern=r"^[A-Z]{1,20}$")] = "GET"
    path: Annotated[str, described("Path; {n} is the number of the request.", pattern=r"^/")] = "/"
    body_bytes: Annotated[int, described("Length of the body in bytes.", ge=0, le=67108864)] = 0
    key_header: Annotated[
        str,
        described(
            "Header with a unique key per request, which its retries repeat; empty for none.",
            pattern=r"^[A-Za-z0-9-]{0,64}$",
        ),
    ] = ""
    aim_ms: Annotated[
        float,
        described(
            "A response counts as in time up to this latency from the intended start.", gt=0, le=3600000
        ),
    ] = 1000.0
    timeout_ms: Annotated[
        float, described("Timeout of an attempt, from its intended start.", gt=0, le=3600000)
    ] = 10000.0
    units: Annotated[int, described("Units that a request takes (platform form).", ge=1, le=1000000)] = 1
    once: Annotated[
        bool,
        described(
            "Must never be executed twice: the audit checks it, and clients do not retry one that may have run."
        ),
    ] = False


class ShapeTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[[shape]]`: a change of the rate over time; the factors of simultaneous shapes multiply."""

    kind: Annotated[ShapeKind, described("Kind of the shape.")]
    from_s: Annotated[float, described("Start.", ge=0, le=1000000)] = 0.0
    to_s: Annotated[float, described("End; 0: the end of the run.", ge=0, le=1000000)] = 0.0
    factor: Annotated[float, described("Factor of the rate.", ge=0, le=100000)] = 1.0
    period_s: Annotated[float, described("Period of a sine.", gt=0, le=1000000)] = 10.0
    plan: Annotated[str, described("Limits the shape to this plan; required for surge and runaway.")] = ""
    account: Annotated[int, described("Number of the runaway account.", ge=0, le=10000000)] = 0
    rate: Annotated[float, described("Requests per second of the runaway account.", ge=0, le=1000000)] = 0.0


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """A whole scenario file."""

    target: Annotated[
        tuple[str, ...],
        described(
            "`IP:PORT` of each limiter; used in turn, but an account in platform form keeps to its set."
        ),
    ]
    plan: tuple[PlanTable, ...]
    class_: tuple[ClassTable, ...] = msgspec.field(name="class")
    shape: tuple[ShapeTable, ...] = ()
    seed: Annotated[
        int,
        described(
            "Seed of all random choices; the same seed gives the same requests.", ge=0, le=9223372036854775807
        ),
    ] = 1
    duration_s: Annotated[float, described("Duration of the arrivals.", gt=0, le=1000000)] = 10.0
    arrivals: Annotated[ArrivalProcess, described("Distribution of arrivals in time.")] = (
        ArrivalProcess.POISSON
    )
    form: Annotated[RequestForm, described("Format of requests.")] = RequestForm.PLAIN
    key_header: Annotated[
        str, described("Header with the API key of an account (plain form).", pattern=r"^[A-Za-z0-9-]{1,64}$")
    ] = "X-Api-Key"
    id_header: Annotated[
        str,
        described(
            "Header with the id of an attempt, for the ledger (plain form).",
            pattern=r"^[A-Za-z0-9-]{1,64}$",
        ),
    ] = "X-Load-Id"
    processes: Annotated[
        int,
        described("Number of worker processes; together they send the same requests as one.", ge=1, le=256),
    ] = 1
    connections: Annotated[
        int,
        described(
            "Maximum connections of each process; without a free one a request is missed.", ge=1, le=1000000
        ),
    ] = 2000
    in_flight: Annotated[
        int,
        described(
            "Maximum attempts in flight of each process; beyond it requests are missed.", ge=1, le=10000000
        ),
    ] = 100000
    retries: RetryTable = RetryTable()
    health: HealthTable = HealthTable()


def load(path: Path) -> Scenario:
    """Reads and validates a scenario; raises FileError with every problem."""
    problems = ProblemCollector(str(path))
    scenario = decode(Scenario, load_toml(path), problems)
    if scenario is None:
        raise FileError(problems.problems)
    _check(scenario, problems)
    problems.raise_problems()
    return scenario


def _check(scenario: Scenario, problems: ProblemCollector) -> None:
    for key, rows in (("target", scenario.target), ("plan", scenario.plan), ("class", scenario.class_)):
        if not rows:
            problems.add(key, "none", "one at least")
    for at, text in enumerate(scenario.target):
        try:
            parse_address(text)
        except ConfigError:
            problems.add(f"target[{at}]", f"found {format_value(text)}", "IP:PORT")
    for table, named in (("plan", scenario.plan), ("class", scenario.class_)):
        names = [row.name for row in named]
        for at, name in enumerate(names):
            if name in names[:at]:
                problems.add(f"{table}[{at}].name", f"found {format_value(name)} again", "each name once")
    plans = {plan.name: plan for plan in scenario.plan}
    for at, shape in enumerate(scenario.shape):
        _check_shape(f"shape[{at}]", shape, plans, scenario.duration_s, problems)


def _check_shape(
    path: str, shape: ShapeTable, plans: dict[str, PlanTable], duration_s: float, problems: ProblemCollector
) -> None:
    if shape.to_s and shape.to_s <= shape.from_s:
        problems.add(f"{path}.to_s", f"found {shape.to_s:g}", f"above from_s, {shape.from_s:g}, or 0")
    if shape.from_s >= duration_s:
        problems.add(f"{path}.from_s", f"found {shape.from_s:g}", f"below duration_s, {duration_s:g}")
    if shape.plan and shape.plan not in plans:
        problems.add(
            f"{path}.plan",
            f"found {format_value(shape.plan)}, which is no plan",
            "one of " + ", ".join(plans),
        )
    elif not shape.plan and shape.kind in (ShapeKind.SURGE, ShapeKind.RUNAWAY):
        problems.add(f"{path}.plan", "missing", "the name of a plan")
    if shape.kind is ShapeKind.RUNAWAY:
        if shape.rate <= 0:
            problems.add(f"{path}.rate", f"found {shape.rate:g}", "above 0 for a runaway")
        if shape.plan in plans and shape.account >= plans[shape.plan].accounts:
            last_account = plans[shape.plan].accounts - 1
            problems.add(
                f"{path}.account", f"found {shape.account}", f"up to {last_account}, an account of the plan"
            )
