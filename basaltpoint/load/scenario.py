"""A scenario's file: who asks how often, in which shapes, and what becomes of a try that is turned away."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec

from basaltpoint.config.address import ConfigError, parse_address
from basaltpoint.config.decode import FileError, ProblemCollector, decode, format_value, load_toml
from basaltpoint.config.schema import NAME_PATTERN, described


class ArrivalProcess(Enum):
    """How arrivals lie in time."""

    POISSON = "poisson"
    CONSTANT = "constant"


class RequestForm(Enum):
    """How a request is worded."""

    PLAIN = "plain"
    PLATFORM = "platform"


class Backoff(Enum):
    """How long a client waits before its next try."""

    NONE = "none"
    FIXED = "fixed"
    EXPONENTIAL = "exp"


class ShapeKind(Enum):
    """A shape in time."""

    RAMP = "ramp"  # from 1 to `factor` evenly, and it stays there to the end of the shape
    SINE = "sine"  # between 1 and `factor`, with a period
    STEP = "step"  # `factor` throughout
    SURGE = "surge"  # `factor` for every account of one plan
    RUNAWAY = "runaway"  # one account asks `rate` a second besides


Name = Annotated[str, described("Its name.", pattern=NAME_PATTERN)]


class RetryTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[retries]`: what a client does after a refusal, a failure or no answer."""

    most: Annotated[int, described("Further tries of one request.", ge=0, le=100)] = 0
    backoff: Annotated[Backoff, described("At once, after the same wait, or after one that doubles.")] = (
        Backoff.FIXED
    )
    wait_ms: Annotated[
        float, described("The first wait; each is drawn from half of it to all of it.", ge=0, le=3600000)
    ] = 100.0
    honour: Annotated[float, described("Part of the clients that wait as Retry-After says.", ge=0, le=1)] = (
        1.0
    )


class HealthTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[health]`: from where on the generator's own numbers don't count."""

    late_ms: Annotated[
        float, described("A send later than this is the generator's delay.", gt=0, le=60000)
    ] = 20.0
    stall_ms: Annotated[
        float, described("So long without a turn of the loop is a spell of starvation.", gt=0, le=60000)
    ] = 50.0
    steal: Annotated[
        float, described("Part of the machine's time that others may take within a second.", gt=0, le=1)
    ] = 0.1


class PlanTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[[plan]]`: a group of accounts that ask alike."""

    name: Name
    accounts: Annotated[int, described("How many.", ge=1, le=10000000)]
    rate: Annotated[float, described("Requests a second of all of them together.", gt=0, le=1000000)]
    skew: Annotated[
        float,
        described(
            "Zipf's exponent: 0 for accounts alike, 1 where the n-th asks 1/n of the first.", ge=0, le=5
        ),
    ] = 0.0
    key: Annotated[str, described("An account's key; {n} is its number within the plan.", min_length=1)] = (
        "{plan}-{n}"
    )
    spread: Annotated[
        int, described("Limiters that an account comes through (platform form).", ge=1, le=64)
    ] = 1


class ClassTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[[class]]`: a kind of request."""

    name: Name
    share: Annotated[
        float, described("Of the requests, beside the other classes' shares.", gt=0, le=1000000)
    ] = 1.0
    method: Annotated[str, described("Its method.", pattern=r"^[A-Z]{1,20}$")] = "GET"
    path: Annotated[str, described("Its path; {n} is the request's number.", pattern=r"^/")] = "/"
    body_bytes: Annotated[int, described("Length of its body.", ge=0, le=67108864)] = 0
    key_header: Annotated[
        str,
        described(
            "Header with a key of its own for each request, the same for its retries; empty for none.",
            pattern=r"^[A-Za-z0-9-]{0,64}$",
        ),
    ] = ""
    aim_ms: Annotated[
        float,
        described("An answer is in time up to this, counted from the intended start.", gt=0, le=3600000),
    ] = 1000.0
    timeout_ms: Annotated[
        float, described("A try is given up after this, counted from its intended start.", gt=0, le=3600000)
    ] = 10000.0
    units: Annotated[int, described("Units that it takes (platform form).", ge=1, le=1000000)] = 1
    once: Annotated[
        bool,
        described(
            "It must never run twice; the ledger looks for that, and no client repeats one that may have run."
        ),
    ] = False


class ShapeTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[[shape]]`: a change of the rate; shapes at one time multiply."""

    kind: Annotated[ShapeKind, described("What kind.")]
    from_s: Annotated[float, described("Its start.", ge=0, le=1000000)] = 0.0
    to_s: Annotated[float, described("Its end; 0: that of the run.", ge=0, le=1000000)] = 0.0
    factor: Annotated[float, described("Times the rate.", ge=0, le=100000)] = 1.0
    period_s: Annotated[float, described("Of a sine.", gt=0, le=1000000)] = 10.0
    plan: Annotated[str, described("Only this plan; needed for surge and runaway.")] = ""
    account: Annotated[int, described("Number of the account that runs away.", ge=0, le=10000000)] = 0
    rate: Annotated[
        float, described("Requests a second of the account that runs away.", ge=0, le=1000000)
    ] = 0.0


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """The whole file."""

    target: Annotated[
        tuple[str, ...],
        described(
            "`IP:PORT` of each limiter; requests take them in turn, an account of the platform's form keeps to its set."
        ),
    ]
    plan: tuple[PlanTable, ...]
    class_: tuple[ClassTable, ...] = msgspec.field(name="class")
    shape: tuple[ShapeTable, ...] = ()
    seed: Annotated[
        int, described("Of all chance; the same seed asks the same.", ge=0, le=9223372036854775807)
    ] = 1
    duration_s: Annotated[float, described("Arrivals come for so long.", gt=0, le=1000000)] = 10.0
    arrivals: Annotated[ArrivalProcess, described("How they lie in time.")] = ArrivalProcess.POISSON
    form: Annotated[RequestForm, described("How requests are worded.")] = RequestForm.PLAIN
    key_header: Annotated[
        str, described("Header that brings an account's key (plain form).", pattern=r"^[A-Za-z0-9-]{1,64}$")
    ] = "X-Api-Key"
    id_header: Annotated[
        str,
        described(
            "Header that brings the id of a try, for the ledger (plain form).",
            pattern=r"^[A-Za-z0-9-]{1,64}$",
        ),
    ] = "X-Load-Id"
    processes: Annotated[
        int, described("Processes that share the load; together they ask what one would.", ge=1, le=256)
    ] = 1
    connections: Annotated[
        int,
        described(
            "Most connections of each process; without a free one an arrival is missed.", ge=1, le=1000000
        ),
    ] = 2000
    in_flight: Annotated[
        int,
        described(
            "Most tries of each process without an answer; beyond, arrivals are missed.", ge=1, le=10000000
        ),
    ] = 100000
    retries: RetryTable = RetryTable()
    health: HealthTable = HealthTable()


def load(path: Path) -> Scenario:
    """Read and check; FileError with every problem."""
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
