"""The load generator in simulated time: arrivals, latency from the intended start, retries, health,
results.
"""

from __future__ import annotations

import heapq
import json
import math
import random
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import pairwise
from pathlib import Path

import pytest

from basaltpoint.config.decode import FileError
from basaltpoint.load import arrivals, compare, report, scenario
from basaltpoint.load.arrivals import PlannedRequest
from basaltpoint.load.driver import AbandonAttempt, Attempt, Driver, Outcome, RequestRecord
from basaltpoint.load.health import HealthMonitor, UnsoundInterval, merge_intervals
from basaltpoint.load.scenario import (
    ArrivalProcess,
    Backoff,
    ClassTable,
    PlanTable,
    RetryTable,
    Scenario,
    ShapeKind,
    ShapeTable,
)
from basaltpoint.load.stats import Stats, percentiles_ms

READ_CLASS = ClassTable(name="read", aim_ms=100.0, timeout_ms=60_000.0)
ONCE_CLASS = ClassTable(name="fix", method="POST", path="/corrections/{n}", once=True, timeout_ms=1000.0)


def make_scenario(**changes: object) -> Scenario:
    values: dict[str, object] = {
        "target": ("127.0.0.1:1",),
        "plan": (PlanTable(name="team", accounts=50, rate=100.0),),
        "class_": (READ_CLASS,),
        "duration_s": 10.0,
    }
    return Scenario(**{**values, **changes})  # type: ignore[arg-type]


# --- Arrivals ----------------------------------------------------------------------------------------
def test_the_same_seed_gives_the_same_requests_shared_by_the_workers() -> None:
    settings = make_scenario(class_=(READ_CLASS, ONCE_CLASS), arrivals=ArrivalProcess.POISSON)
    whole = list(arrivals.planned_requests(settings))
    assert whole == list(arrivals.planned_requests(settings))
    assert whole != list(arrivals.planned_requests(make_scenario(class_=(READ_CLASS, ONCE_CLASS), seed=2)))
    parts = [list(arrivals.worker_share(arrivals.planned_requests(settings), part, 3)) for part in range(3)]
    assert sorted((p for part in parts for p in part), key=lambda p: p.number) == whole
    assert [p.intended_s for p in whole] == sorted(p.intended_s for p in whole)
    assert abs(len(whole) - 1000) < 4 * math.sqrt(1000)


def test_constant_arrivals_follow_the_integral_of_the_rate() -> None:
    ramp = ShapeTable(kind=ShapeKind.RAMP, factor=3.0)
    settings = make_scenario(arrivals=ArrivalProcess.CONSTANT, shape=(ramp,))
    times = [p.intended_s for p in arrivals.planned_requests(settings)]
    assert len(times) in (1999, 2000)  # 100 to 300 a second over 10 s
    for number in (1, 500, 1999):
        t = times[number - 1]
        assert abs(100 * t + 10 * t * t - number) < 0.5
    plain = [p.intended_s for p in arrivals.planned_requests(make_scenario(arrivals=ArrivalProcess.CONSTANT))]
    assert all(abs(t - (n + 1) / 100) < 2e-3 for n, t in enumerate(plain))


@pytest.mark.parametrize("process", list(ArrivalProcess))
def test_shapes(process: ArrivalProcess) -> None:
    plans = (PlanTable(name="a", accounts=10, rate=200.0), PlanTable(name="b", accounts=10, rate=200.0))
    shapes = (
        ShapeTable(kind=ShapeKind.SURGE, plan="a", from_s=4.0, to_s=6.0, factor=5.0),
        ShapeTable(kind=ShapeKind.RUNAWAY, plan="b", account=3, from_s=5.0, to_s=7.0, rate=400.0),
        ShapeTable(kind=ShapeKind.STEP, from_s=9.0, factor=0.0),
    )
    requests = list(arrivals.planned_requests(make_scenario(plan=plans, shape=shapes, arrivals=process)))
    count = Counter((p.plan, int(p.intended_s)) for p in requests)
    assert count["a", 1] > 140 and count["a", 5] > 5 * 140 and count["a", 9] == 0
    assert count["b", 5] > 140 + 300 and count["b", 8] < 270
    runaway = sum(p.account == "b-3" for p in requests if 5 <= p.intended_s < 7)
    assert abs(runaway - 800 - 40) < 160


def test_skew_and_sine() -> None:
    plan = PlanTable(name="a", accounts=100, rate=1000.0, skew=1.0)
    wave = ShapeTable(kind=ShapeKind.SINE, factor=3.0, period_s=10.0)
    requests = list(arrivals.planned_requests(make_scenario(plan=(plan,), shape=(wave,))))
    by_account = Counter(p.account for p in requests)
    assert (
        1.4 < by_account["a-0"] / by_account["a-1"] < 2.8
        and by_account["a-0"] > 20 * by_account.get("a-99", 1) / 2
    )
    seconds = Counter(int(p.intended_s) for p in requests)
    assert seconds[4] > 2 * seconds[0] and seconds[5] > 2 * seconds[9]


# --- A server in simulated time ------------------------------------------------------------------------
class SimulatedServer:
    """Has unlimited workers, given service times, stalls in which no request ends, and status codes by the
    test.
    """

    def __init__(
        self,
        service: Callable[[], float],
        stalls: tuple[tuple[float, float], ...] = (),
        code: Callable[[Attempt], tuple[int, float | None]] = lambda attempt: (200, None),
    ) -> None:
        self.service, self.stalls, self.code = service, stalls, code

    def end_time(self, at: float) -> float:
        end = at + self.service()
        for start, stop in self.stalls:
            if end >= start and at < stop:
                end = max(end, stop)
        return end


def simulate(
    driver: Driver,
    server: SimulatedServer,
    pauses: tuple[tuple[float, float], ...] = (),
    broken_requests: set[int] | None = None,
) -> None:
    """Runs the driver to its end. `pauses`: intervals in which the generator itself does not run."""
    answers: list[tuple[float, int, int, float | None]] = []
    now = 0.0

    def resume_time(at: float) -> float:
        for start, stop in pauses:
            if start <= at < stop:
                return stop
        return at

    next_turn = 0.0
    while not driver.is_finished:
        due = [
            next_turn,
            *([answers[0][0]] if answers else []),
            *([driver.next_s] if driver.next_s is not None else []),
        ]
        now = resume_time(min(due))
        driver._health.record_turn(now)
        next_turn = max(next_turn, now + 0.005) if now >= next_turn else next_turn
        for action in driver.tick(now):
            if isinstance(action, AbandonAttempt):
                answers = [row for row in answers if row[1] != action.ident]
                heapq.heapify(answers)
                continue
            driver.attempt_sent(now, action.ident)
            if broken_requests and action.planned.number in broken_requests:
                heapq.heappush(answers, (now + 0.001, action.ident, 0, None))
            else:
                code, after = server.code(action)
                if code:
                    heapq.heappush(answers, (server.end_time(now), action.ident, code, after))
        while answers and answers[0][0] <= now:
            _, ident, code, after = heapq.heappop(answers)
            if code:
                driver.response_received(now, ident, code, after)
            else:
                driver.connection_lost(now, ident)


class RecordingStats(Stats):
    """Stats that also keep every record."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[RequestRecord] = []
        self.attempt_counts: Counter[tuple[int, int]] = Counter()
        self.answer_counts: Counter[tuple[int, int]] = Counter()

    def record_request(self, record: RequestRecord) -> None:
        super().record_request(record)
        self.records.append(record)

    def record_attempt(self, request: int, number: int, answers: int, hung_up: bool) -> None:
        self.attempt_counts[request, number] += 1
        self.answer_counts[request, number] += answers


def drive(
    settings: Scenario,
    server: SimulatedServer,
    requests: Iterator[PlannedRequest] | None = None,
    **rest: object,
) -> tuple[RecordingStats, Driver]:
    stats = RecordingStats()
    health = HealthMonitor(
        settings.health.late_ms / 1000, settings.health.stall_ms / 1000, settings.health.steal
    )
    classes = {cls.name: cls for cls in settings.class_}
    driver = Driver(
        requests or arrivals.planned_requests(settings),
        classes,
        settings.retries,
        health,
        stats,
        settings.seed,
        settings.in_flight,
    )
    simulate(driver, server, **rest)  # type: ignore[arg-type]
    stats.unsound_intervals = health.intervals
    return stats, driver


def test_a_stall_of_two_seconds_delays_two_thousand_requests() -> None:
    """Guards against coordinated omission: each request due during a stall waits for the rest of the
    stall.
    """
    plan = PlanTable(name="team", accounts=10, rate=1000.0)
    settings = make_scenario(plan=(plan,), arrivals=ArrivalProcess.CONSTANT)
    stats, _ = drive(settings, SimulatedServer(lambda: 0.001, stalls=((4.0, 6.0),)))
    assert len(stats.records) in (9999, 10_000)
    delayed = [r for r in stats.records if r.latency_s > 0.0015]
    assert abs(len(delayed) - 2000) <= 2
    for record in delayed:
        assert abs(record.planned.intended_s + record.latency_s - 6.0) < 1e-6
    # The delays are uniform from 0 to 2 s: their median is 1 s, and half of these requests wait longer.
    waits = sorted(r.latency_s for r in delayed)
    assert abs(waits[1000] - 1.0) < 0.003 and waits[-1] <= 2.001
    assert stats.latency[""].get_value_at_percentile(90) / 1e6 == pytest.approx(1.0, abs=0.01)
    outcomes = Counter(r.outcome for r in stats.records)
    assert abs(outcomes[Outcome.LATE] - 1900) <= 2  # all except those due less than the aim before its end
    worst = report.summary(stats, "x")["worst"]
    assert worst["asked"] >= 9000
    second = report.summary(stats, "x")["seconds"][4]
    assert abs(second["late"] - 1000) <= 2
    assert not stats.unsound_intervals


def test_percentiles_match_a_known_distribution() -> None:
    """Service times are placed so that the quantiles of the sample equal those of the exponential
    distribution.
    """
    count, mean = 50_000, 0.020
    times = [-mean * math.log(1 - (n + 0.5) / count) for n in range(count)]
    random.Random(5).shuffle(times)
    left = iter(times)
    plan = PlanTable(name="team", accounts=10, rate=5000.0)
    settings = make_scenario(plan=(plan,), arrivals=ArrivalProcess.CONSTANT)
    stats, _ = drive(settings, SimulatedServer(lambda: next(left, mean)))
    found = percentiles_ms(stats.latency[""])
    for name, part in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)):
        assert abs(found[name] + mean * 1000 * math.log(1 - part)) < 3.0, name


def test_a_pause_of_the_generator_is_flagged_and_counted_in_full() -> None:
    plan = PlanTable(name="team", accounts=10, rate=1000.0)
    settings = make_scenario(plan=(plan,), arrivals=ArrivalProcess.CONSTANT)
    stats, driver = drive(settings, SimulatedServer(lambda: 0.001), pauses=((3.0, 3.3),))
    (interval,) = stats.unsound_intervals
    assert abs(interval.from_s - 3.0) < 0.006 and interval.to_s == 3.3
    assert driver.started_requests == len(stats.records) >= 9999  # no request was skipped
    late = [r for r in stats.records if r.latency_s > 0.1]
    assert 195 <= len(late) <= 205 and all(not r.is_sound for r in late)
    unsound = [r for r in stats.records if not r.is_sound]
    assert all(2.99 < r.planned.intended_s + r.latency_s < 3.32 for r in unsound)
    assert percentiles_ms(stats.sound)["max"] < 20.0 < percentiles_ms(stats.latency[""])["max"]
    # The service time from the actual start stays short: alone it would hide the pause.
    assert percentiles_ms(stats.service)["p99.9"] < 5.0
    assert percentiles_ms(stats.lateness)["max"] > 290.0


def test_retry_delays_follow_the_backoff() -> None:
    start_times: dict[int, list[float]] = {}

    def code(attempt: Attempt) -> tuple[int, float | None]:
        start_times.setdefault(attempt.planned.number, []).append(attempt.intended_s)
        return 429, 2.0

    def gaps(retries: RetryTable) -> list[list[float]]:
        start_times.clear()
        stats, _ = drive(
            make_scenario(retries=retries, duration_s=1.0), SimulatedServer(lambda: 0.0, code=code)
        )
        assert all(r.outcome is Outcome.REFUSED and r.attempts == retries.most + 1 for r in stats.records)
        assert set(stats.attempt_counts.values()) == {1}
        return [[b - a for a, b in pairwise(row)] for row in start_times.values()]

    for row in gaps(RetryTable(most=3, backoff=Backoff.EXPONENTIAL, wait_ms=100.0, honour=0.0)):
        assert all(0.05 * 2**n <= gap <= 0.1 * 2**n + 1e-9 for n, gap in enumerate(row))
    for row in gaps(RetryTable(most=2, wait_ms=100.0, honour=1.0)):
        assert all(gap > 2.0 - 1e-6 for gap in row)
    honouring = sum(row[0] > 2.0 - 1e-6 for row in gaps(RetryTable(most=1, wait_ms=100.0, honour=0.5)))
    assert 25 < honouring < 75
    for row in gaps(RetryTable(most=2, backoff=Backoff.NONE, honour=0.0)):
        assert row == [0.0, 0.0]


def test_latency_of_a_retried_request_counts_from_its_first_intended_start() -> None:
    def code(attempt: Attempt) -> tuple[int, float | None]:
        return (200, None) if attempt.number else (503, 1.0)

    stats, _ = drive(make_scenario(retries=RetryTable(most=1)), SimulatedServer(lambda: 0.01, code=code))
    assert all(r.outcome is Outcome.LATE and r.latency_s > 1.0 and r.service_s < 0.02 for r in stats.records)
    assert all(r.answers == 2 for r in stats.records)


def test_a_once_request_that_may_have_run_is_not_retried() -> None:
    def code(attempt: Attempt) -> tuple[int, float | None]:
        return (429, None) if attempt.planned.number % 2 else (0, None)

    stats, _ = drive(
        make_scenario(class_=(ONCE_CLASS,), retries=RetryTable(most=3)),
        SimulatedServer(lambda: 0.0, code=code),
    )
    by_number = {r.planned.number: r for r in stats.records}
    assert all(r.attempts == (4 if n % 2 else 1) for n, r in by_number.items())
    assert all(r.outcome is (Outcome.REFUSED if n % 2 else Outcome.NONE) for n, r in by_number.items())
    assert stats.anomaly_count == sum(r.outcome is Outcome.NONE for r in stats.records) > 0
    stats, _ = drive(
        make_scenario(class_=(ONCE_CLASS,), retries=RetryTable(most=3)),
        SimulatedServer(lambda: 0.0),
        broken_requests={3, 5},
    )
    assert {
        r.planned.number: (r.attempts, r.outcome) for r in stats.records if r.planned.number in (3, 5)
    } == {
        3: (1, Outcome.FAILED),
        5: (1, Outcome.FAILED),
    }


def test_a_request_that_cannot_be_sent_is_counted_as_missed() -> None:
    settings = make_scenario(in_flight=10)
    stats, driver = drive(settings, SimulatedServer(lambda: 1.0))
    outcomes = Counter(r.outcome for r in stats.records)
    assert outcomes[Outcome.MISSED] > 500 and sum(outcomes.values()) == driver.started_requests
    row = report.summary(stats, "x")["total"]
    assert row["asked"] == driver.started_requests and row["missed"] == outcomes[Outcome.MISSED]


# --- Health ------------------------------------------------------------------------------------------
def test_unsound_intervals() -> None:
    health = HealthMonitor(0.02, 0.05, 0.1)
    for beat in (0.0, 0.01, 0.02, 0.32, 0.33):
        health.record_turn(beat)
    health.record_send(0.10, 0.33)  # was due in the interval: merged with it
    assert [(s.from_s, s.to_s) for s in health.intervals] == [(0.02, 0.33)]
    assert health.is_sound(0.34, 0.5) and not health.is_sound(0.0, 0.03) and not health.is_sound(0.1, 0.2)
    health.record_steal(1.0, 2.0, 0.05)
    health.record_steal(2.0, 3.0, 0.5)
    assert [s.from_s for s in health.intervals] == [0.02, 2.0]
    joined = merge_intervals(
        [health.intervals, [UnsoundInterval(0.3, 0.4, "x"), UnsoundInterval(5.0, 6.0, "y")]]
    )
    assert [(s.from_s, s.to_s) for s in joined] == [(0.02, 0.4), (2.0, 3.0), (5.0, 6.0)]


def test_the_generator_uses_only_monotonic_clocks() -> None:
    for path in (Path(__file__).parent.parent / "basaltpoint/load").glob("*.py"):
        text = path.read_text()
        assert "time.time" not in text and "import time\n" not in text, path
        assert "datetime.now" not in text and "utcnow" not in text, path


# --- Results -----------------------------------------------------------------------------------------
def test_merged_worker_stats_equal_the_whole() -> None:
    settings = make_scenario(class_=(READ_CLASS, ONCE_CLASS), duration_s=5.0)
    times = random.Random(3)
    whole, _ = drive(settings, SimulatedServer(lambda: times.expovariate(50)))
    joined = Stats()
    for part in range(3):
        stats = Stats()
        for record in whole.records[part::3]:
            stats.record_request(record)
        joined.merge(json.loads(json.dumps(stats.pack())))
    a, b = report.summary(whole, "x"), report.summary(joined, "x")
    for key in ("total", "by", "latency_ms", "worst", "seconds", "percentiles"):
        assert a[key] == b[key], key


def test_the_page_is_self_contained_and_shows_unsound_intervals() -> None:
    stats, _ = drive(make_scenario(), SimulatedServer(lambda: 0.01), pauses=((3.0, 3.3),))
    summary = report.summary(stats, "<b>surge</b>")
    page = report.page(summary)
    assert "&lt;b&gt;surge" in page and "<b>surge" not in page
    assert "http" not in page and "src=" not in page and page.count("<svg") == 2
    assert "Doesn't count" in page and "DOESN'T COUNT" in report.text(summary)
    assert report.page(report.summary(Stats(), "empty"))


def test_compare_distinguishes_noise_from_change() -> None:
    rng = random.Random(1)

    def runs(p99: float, count: int) -> list[dict[str, object]]:
        return [
            {"total": {"in_time": 0.9}, "latency_ms": {"all": {"p99": p99 + rng.gauss(0, 5)}}}
            for _ in range(count)
        ]

    def p99(before: float, after: float, count: int) -> compare.Difference:
        found = compare.compare(runs(before, count), runs(after, count))
        assert [difference.name for difference in found] == ["in time, part", "p99 ms"]
        return found[1]

    assert p99(100, 150, 5).is_significant
    assert sum(p99(100, 100, 5).is_significant for _ in range(40)) <= 8
    few = p99(100, 150, 2)
    assert few.low is None and not few.is_significant and "too few runs" in compare.text([few])


# --- Scenario files ------------------------------------------------------------------------------------
VALID_SCENARIO = """target = ["127.0.0.1:8080"]
[[plan]]
name = "team"
accounts = 10
rate = 50
[[class]]
name = "read"
[[shape]]
kind = "surge"
plan = "team"
from_s = 2
to_s = 4
factor = 5
"""


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ('plan = "team"\n', "", "shape[0].plan: missing; allowed: the name of a plan"),
        (
            'plan = "team"',
            'plan = "tema"',
            'shape[0].plan: found "tema", which is no plan; allowed: one of team',
        ),
        ("to_s = 4", "to_s = 1", "shape[0].to_s: found 1; allowed: above from_s, 2, or 0"),
        ("from_s = 2", "from_s = 20", "shape[0].from_s: found 20; allowed: below duration_s, 10"),
        ('"surge"', '"runaway"', "shape[0].rate: found 0; allowed: above 0 for a runaway"),
        ("rate = 50", "rate = 0", "plan[0].rate: found 0; allowed: a number above 0 up to 1e+06"),
        ('["127.0.0.1:8080"]', "[]", "target: none; allowed: one at least"),
        ('["127.0.0.1:8080"]', '["here"]', 'target[0]: found "here"; allowed: IP:PORT'),
        ("accounts", "acounts", 'plan[0].acounts: an unknown key; allowed: did you mean "accounts"?'),
    ],
)
def test_invalid_scenarios(tmp_path: Path, old: str, new: str, said: str) -> None:
    path = tmp_path / "load.toml"
    path.write_text(VALID_SCENARIO)
    scenario.load(path)
    path.write_text(VALID_SCENARIO.replace(old, new))
    with pytest.raises(FileError) as raised:
        scenario.load(path)
    assert f"{path}: {said}" in str(raised.value)
