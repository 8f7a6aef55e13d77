"""The soak: its judge finds what it must, its plan is the seed's, and a short run breaks no rule."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
from waiting import run

from basaltpoint.rehearsal.soak import run as soaking
from basaltpoint.rehearsal.soak.invariants import announced_at, check_invariants
from basaltpoint.rehearsal.soak.plan import FAULT_WEIGHTS, FINAL_QUIET_S, FaultKind, generate_plan
from basaltpoint.rehearsal.soak.records import (
    AgentRecord,
    Arrival,
    ProcessRecord,
    RequestRecord,
    ServerStart,
    SlowStart,
    SoakRecord,
)
from basaltpoint.rehearsal.soak.run import Soak, SoakOptions, format_report
from basaltpoint.standins.discovery import ListChange

LEAVES = ListChange(2, 10.0, {"host": "s", "health": "leaving"})


def record(**changes: Any) -> SoakRecord:
    """One limiter that lives from 0 on, one agent that had version 2 at 10.1 s; the server `s` drains."""
    values: dict[str, Any] = {
        "processes": [ProcessRecord("n0", 0.0)],
        "agents": {"n0": [(0.0, AgentRecord([(0.0, 1), (10.1, 2)]))]},
        "list_changes": [LEAVES],
    }
    return SoakRecord(0.25, 1.0, 2.0, **{**values, **changes})


def asked(ident: str = "r", **changes: Any) -> RequestRecord:
    values: dict[str, Any] = {
        "sent_at": 9.0,
        "timeout_s": 1.0,
        "is_new_connection": True,
        "ended_at": 9.1,
        "status_code": 200,
    }
    return RequestRecord(ident, "n0", "unsafe", **{**values, **changes})


def arrival(at: float, ident: str = "r", **changes: Any) -> Arrival:
    values: dict[str, Any] = {"announced_remaining_s": 0.0, "was_executed": True, "ended_at": at + 0.01}
    return Arrival("s", at, ident, "", **{**values, **changes})


def rules(made: SoakRecord) -> list[str]:
    return [finding.invariant for finding in check_invariants(made)]


@pytest.mark.parametrize(
    ("broken", "made"),
    [
        ("drain", record(requests=[asked(sent_at=10.35)], arrivals=[arrival(10.42)])),
        (
            "drain",  # told from the process's first moment on: what its agent had before counts
            record(
                processes=[ProcessRecord("n0", 0.0, sigkill_at=9.0, ended_at=9.0), ProcessRecord("n0", 10.5)],
                requests=[asked(sent_at=10.7, ended_at=10.9)],
                arrivals=[arrival(10.85)],
            ),
        ),
        ("lost", record(requests=[asked(status_code=0)])),
        ("lost", record(requests=[asked(ended_at=11.0)])),
        ("lost", record(requests=[asked(ended_at=None, status_code=0)])),
        (
            "lost",  # killed later than SIGKILL may be feared: what was taken had its time
            record(
                requests=[asked(status_code=0)],
                processes=[ProcessRecord("n0", 0.0, sigterm_at=8.0, sigkill_at=9.05, ended_at=9.05)],
            ),
        ),
        (
            "lost",  # sent once the killed process was gone for sure
            record(
                requests=[asked(sent_at=9.2, status_code=0)],
                processes=[ProcessRecord("n0", 0.0, sigkill_at=9.0, ended_at=9.1)],
            ),
        ),
        ("stalled", record(requests=[asked(is_complete=False, ended_at=13.0, status_code=408)])),
        ("duplicate", record(requests=[asked()], arrivals=[arrival(9.0), arrival(9.05)])),
        (
            "copy",
            record(
                requests=[asked()], arrivals=[arrival(9.0, ended_at=9.2, was_executed=False), arrival(9.05)]
            ),
        ),
        ("client left", record(requests=[asked(disconnected_at=9.0)], arrivals=[arrival(9.2)])),
        ("deadline", record(requests=[asked()], arrivals=[arrival(9.9, announced_remaining_s=0.3)])),
        (
            "cold",  # 0.3 of 10 a second, twice that allowed: 6 + 3 * root of 6 + 3 = 16.3 in a second
            record(
                slow_start=SlowStart(0.3, 4.0, 2.0, 1.0, 10.0),
                server_starts=[ServerStart("s", 3.0, 1)],
                requests=[asked(f"r{n}") for n in range(18)],
                arrivals=[arrival(3.0 + n / 100, f"r{n}") for n in range(18)],
            ),
        ),
        (
            "no length",
            record(
                requests=[asked(f"r{n}", status_code=502) for n in range(10)],
                arrivals=[arrival(9.0, f"r{n}", is_without_length=True) for n in range(10)],
            ),
        ),
        ("crash", record(processes=[ProcessRecord("n0", 0.0, ended_at=5.0, exit_code=1)])),
        ("crash", record(processes=[ProcessRecord("n0", 0.0, sigterm_at=0.2, ended_at=0.2, exit_code=-15)])),
        ("crash", record(processes=[ProcessRecord("n0", 0.0, sigterm_at=0.01, ended_at=0.3, exit_code=1)])),
        (
            "drain time",
            record(
                processes=[
                    ProcessRecord("n0", 0.0, sigterm_at=5.0, sigkill_at=7.8, ended_at=7.8, exit_code=-9)
                ]
            ),
        ),
        ("log", record(log_findings=["n0: violation: an attempt was written though ..."])),
    ],
)
def test_a_broken_rule_is_found(broken: str, made: SoakRecord) -> None:
    assert rules(made) == [broken]


@pytest.mark.parametrize(
    "made",
    [
        record(requests=[asked(sent_at=10.3)], arrivals=[arrival(10.38)]),  # within the grace and its slack
        record(  # not told yet: a new configuration's news counts 4 s later
            agents={
                "n0": [
                    (0.0, AgentRecord([(0.0, 1)])),
                    (9.0, AgentRecord([(9.0, 1), (10.1, 2)])),
                ]
            },
            requests=[asked(sent_at=13.0, ended_at=13.2)],
            arrivals=[arrival(13.1)],
        ),
        record(  # a silent watch: 6 s
            agents={"n0": [(0.0, AgentRecord([(0.0, 1), (10.1, 2)], silenced_at=[9.0]))]},
            requests=[asked(sent_at=15.0, ended_at=15.2)],
            arrivals=[arrival(15.1)],
        ),
        record(
            requests=[asked(status_code=0)],
            processes=[ProcessRecord("n0", 0.0, sigkill_at=9.05, ended_at=9.05)],
        ),
        record(  # it was sent while the kernel closed the killed process's sockets
            requests=[asked(sent_at=9.1, status_code=0)],
            processes=[ProcessRecord("n0", 0.0, sigkill_at=9.0, ended_at=9.1)],
        ),
        record(processes=[ProcessRecord("n0", 0.0, sigterm_at=0.01, ended_at=0.02, exit_code=-15)]),
        record(requests=[asked(disconnected_at=9.0, status_code=0)]),
        record(requests=[asked(is_unsent=True, status_code=0)]),
        record(requests=[asked()], arrivals=[arrival(9.0, was_executed=False), arrival(9.05)]),
        record(requests=[asked(disconnected_at=9.0)], arrivals=[arrival(9.1)]),
        record(  # 17 within a second of a server that is warmer by then
            slow_start=SlowStart(0.3, 4.0, 2.0, 1.0, 10.0),
            server_starts=[ServerStart("s", 3.0, 1)],
            requests=[asked(f"r{n}") for n in range(17)],
            arrivals=[arrival(3.3 + n / 100, f"r{n}") for n in range(17)],
        ),
        record(  # nobody was told of the start yet
            slow_start=SlowStart(0.3, 4.0, 2.0, 1.0, 10.0),
            server_starts=[ServerStart("s", 3.0, 3)],
            requests=[asked(f"r{n}") for n in range(18)],
            arrivals=[arrival(3.0 + n / 100, f"r{n}") for n in range(18)],
        ),
    ],
)
def test_what_is_allowed_is_no_finding(made: SoakRecord) -> None:
    assert rules(made) == []


def test_how_late_the_driver_was_is_not_held_against_a_limiter() -> None:
    made = record(requests=[asked(sent_at=10.35)], arrivals=[arrival(10.42)], driver_lags=[(10.4, 0.05)])
    assert rules(made) == []


def test_a_version_counts_as_told_by_the_first_way_it_came() -> None:
    made = record(
        agents={
            "n0": [(0.0, AgentRecord([(0.0, 1), (8.9, 2)])), (9.0, AgentRecord([(9.0, 2)]))],
        }
    )
    assert announced_at(made, "n0", 2, 12.0) == 8.9


def test_a_plan_is_its_seeds_and_leaves_a_quiet_end() -> None:
    assert generate_plan(7, 20.0) == generate_plan(7, 20.0) != generate_plan(8, 20.0)
    faults = [fault for seed in range(60) for fault in generate_plan(seed, 20.0)]
    assert {fault.kind for fault in faults} == set(FAULT_WEIGHTS)
    assert {
        fault.kind for seed in range(60) for fault in generate_plan(seed, 20.0, system_faults=True)
    } == set(FaultKind)
    assert max(fault.start_s for fault in faults) < 20.0 - FINAL_QUIET_S
    # They overlap: most begin while another one is on.
    first = generate_plan(3, 20.0)
    assert sum(a.start_s + a.duration_s > b.start_s for a, b in pairwise(first)) > len(first) / 2


@pytest.mark.parametrize("seed", [1, 2])
def test_a_short_soak_breaks_no_rule(tmp_path: Path, seed: int) -> None:
    """Six limiters as processes; the full one is `basaltpoint soak` (docs/guide/soak.md)."""

    async def test() -> None:
        soak = Soak(SoakOptions(seed, limiter_count=6, server_count=6, load_s=9.0), tmp_path)
        verdict = await soak.run()
        text = format_report(verdict, soak.record)
        assert not verdict.findings, text
        assert verdict.served_fraction > 0.6, text
        assert soak.record.faults, text

    run(test())


def test_a_run_that_does_not_start_leaves_no_process_behind(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(soaking, "READY_TIMEOUT_S", 0.0)

    async def test() -> None:
        soak = Soak(SoakOptions(1, limiter_count=3, server_count=2, load_s=5.0), tmp_path)
        with pytest.raises(TimeoutError):
            await soak.run()
        assert len(soak.record.processes) == 3
        assert all(life.ended_at is not None for life in soak.record.processes)

    run(test())
