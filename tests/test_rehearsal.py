"""Tests of rehearsals: scenario files, checks that must be able to fail, and fleets of real processes."""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any

import pytest

from basaltpoint.cli import main
from basaltpoint.config.decode import FileError
from basaltpoint.load.ledger import ServerAttempt
from basaltpoint.peers.messages import MemberRecord
from basaltpoint.peers.state_machine import MembershipStateMachine
from basaltpoint.rehearsal import checks, probe, scenario
from basaltpoint.rehearsal.events import Observation, OperatorCommand, ProcessLifetime
from basaltpoint.rehearsal.faults import Fault, FaultKind
from basaltpoint.rehearsal.model import FleetModel
from basaltpoint.rehearsal.page import render_page
from basaltpoint.rehearsal.probe import ProbeOperation, ProbeRecord
from basaltpoint.rehearsal.system_faults.library import find_compiler

EXAMPLES = sorted((Path(__file__).parent.parent / "examples/rehearsals").glob("*.toml"))


def write_scenario(path: Path, text: str) -> Path:
    file = path / "r.toml"
    file.write_text(text)
    return file


# --- Scenario files ------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("[fleet]\nlimiters = 0", "fleet.limiters: found 0; allowed: a whole number from 1 up to 200"),
        ("[fleets]", 'fleets: an unknown key; allowed: did you mean "fleet"?'),
        ("[fleet]\nstore = 8", "fleet.store: found 8; allowed: a whole number from 0 up to 7"),
        (
            '[fleet]\nstore = 2\n[[fault]]\nkind = "kill"\non = "r3"',
            'fault[0].on: found "r3"; allowed: one of l1 to l3, r1 to r2',
        ),
        (
            '[fleet]\nstore = 2\n[[fault]]\nkind = "wipe"\non = "r1"',
            'fault[0].on: found "r1"; allowed: one of l1 to l3',
        ),
        (
            '[[fault]]\nkind = "drain"\non = "l1"\nserver = "s1"',
            "fault[0].kind: found drain; allowed: with fle",
        ),
        ('[[fault]]\nkind = "kil"', 'fault[0].kind: found "kil"; allowed: one of cut, split'),
        ('[[fault]]\nkind = "kill"', "fault[0].on: missing; allowed: names"),
        ('[[fault]]\nkind = "kill"\non = "l9"', 'fault[0].on: found "l9"; allowed: one of l1 to l3'),
        ('[[fault]]\nkind = "kill"\non = []', "fault[0].on: found []; allowed: a name, or a list of names"),
        ('[[fault]]\nkind = "kill"\non = "l1"\nto = "l2"', "fault[0].to: not for kill; allowed: one of at_s"),
        (
            '[[fault]]\nkind = "kill"\non = "l1"\nat_s = 99',
            "fault[0].at_s: found 99; allowed: below fleet.sec",
        ),
        ('[[fault]]\nkind = "kill"\non = "l1"\nat_s = "x"', 'fault[0].at_s: found "x"; allowed: a number'),
        ('[[fault]]\nkind = "cut"\nfrom = "l1"', "fault[0].to: missing"),
        ('[[fault]]\nkind = "drop"\nfrom = "l1"\nto = "l2"\npart = 1.5', "fault[0].part: found 1.5"),
        ('[[fault]]\nkind = "split"\nsides = [["l1"]]', "fault[0].sides: found 1"),
        ('[[fault]]\nkind = "split"\nsides = [["l1"], ["l1"]]', "fault[0].sides: found 2, ['l1'] twice"),
        ('[[fault]]\nkind = "drain"\non = "l1"\nserver = "s9"', 'fault[0].server: found "s9"'),
        ('[[load.plan]]\nname = "p"\naccounts = 1\nrate = 1', "load.class: none"),
        ('[limiter]\nname = "x"', "limiter.name: given"),
        ("fault = 3", "fault: found 3; allowed: a list of tables"),
    ],
)
def test_a_problem_in_a_file_is_reported_with_its_path(tmp_path: Path, text: str, problem: str) -> None:
    with pytest.raises(FileError) as raised:
        scenario.load(write_scenario(tmp_path, text))
    assert problem in str(raised.value)


def test_all_problems_are_reported_at_once_with_exit_code_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = write_scenario(tmp_path, 'fault = [{kind = "kill"}, {kind = "x"}]\n[fleet]\nservers = 0')
    assert main(["rehearse", str(file)]) == 2
    assert [line.split(": ")[1] for line in capsys.readouterr().err.splitlines()] == [
        "fleet.servers", "fault[0].on", "fault[1].kind",
    ]  # fmt: skip


@pytest.mark.parametrize("file", EXAMPLES, ids=lambda file: file.stem)
def test_the_examples_hold_in_the_model(file: Path, tmp_path: Path) -> None:
    out = tmp_path / "out.json"
    html = tmp_path / "out.html"
    assert (
        main(["rehearse", str(file), "--model", "--seeds", "5", "--json", str(out), "--html", str(html)]) == 0
    )
    assert json.loads(out.read_text())["held"] and "<svg" in html.read_text()


def test_a_page_escapes_names_and_texts(tmp_path: Path) -> None:
    rehearsal = scenario.load(write_scenario(tmp_path, ""))
    result: dict[str, Any] = {
        "held": False, "faults": [], "views": [[1.0, "<l1>", "l2", "dead"]], "limits": {}, "requests": {},
        "members": {"detected_s": [], "agreed_s": None, "wrong_deaths": 1},
        "findings": [{"at_s": 1, "kind": "<b>", "members": ["l1"], "expected": "a < b"}],
    }  # fmt: skip
    shown = render_page("<x>", rehearsal, result)
    assert "<b>" not in shown and "&lt;b&gt;" in shown and "&lt;l1&gt;" in shown and "&lt;x&gt;" in shown


# --- Checks can fail -----------------------------------------------------------------------------------
LIFETIMES = [
    ProcessLifetime("l1", 0, math.inf),
    ProcessLifetime("l2", 0, math.inf),
    ProcessLifetime("l3", 0, 50, first_incarnation=1),
]


def make_observations(*rows: tuple[float, str, str, int, str]) -> list[Observation]:
    return [Observation(*row) for row in rows]


def test_each_check_reports_its_violation() -> None:
    wrong_death = make_observations((10, "l1", "l3", 1, "dead"))
    assert [finding.members for finding in checks.find_wrong_deaths(LIFETIMES, wrong_death)] == [("l1", "l3")]
    assert not checks.find_wrong_deaths(LIFETIMES, make_observations((60, "l1", "l3", 1, "dead")))
    # Incarnation 0 is that of an earlier process.
    assert not checks.find_wrong_deaths(LIFETIMES, make_observations((10, "l1", "l3", 0, "dead")))
    resurrection = make_observations((10, "l1", "l3", 4, "dead"), (11, "l1", "l3", 4, "alive"))
    assert [finding.kind for finding in checks.find_resurrections(LIFETIMES, resurrection)] == [
        "back to life"
    ]
    assert not checks.find_resurrections(
        LIFETIMES, make_observations((10, "l1", "l3", 4, "dead"), (11, "l1", "l3", 5, "alive"))
    )
    all_dead = make_observations((10, "l1", "l3", 1, "dead"), (10, "l2", "l3", 1, "dead"))
    assert checks.find_reachable_dead_to_all(LIFETIMES, all_dead, [], 50)
    cut = [Fault(FaultKind.CUT, 0, 20, sources=("l1", "l2"), targets=("l3",))]
    assert not checks.find_reachable_dead_to_all(LIFETIMES, all_dead, cut, 50)
    seen = make_observations(
        *((1.0, by, name, 1, "alive") for by in ("l1", "l2") for name in ("l1", "l2", "l3")),
        (52.0, "l1", "l3", 1, "dead"),
    )
    took_s, disagreements = checks.time_to_agreement(LIFETIMES, seen, 50, 60)
    assert math.isinf(took_s) and [finding.members for finding in disagreements] == [("l2", "l3")]
    took_s, disagreements = checks.time_to_agreement(
        LIFETIMES, [*seen, *make_observations((55.0, "l2", "l3", 1, "left"))], 50, 60
    )
    assert took_s == 5.0 and not disagreements
    (crash,) = checks.find_crashes(LIFETIMES, seen, 60)
    assert crash.detected_s == {"l1": 2.0} and crash.undetected_by == ("l2",)


def test_each_check_of_the_store_reports_its_violation() -> None:
    def violations(reads: list[ProbeOperation], watched: list[tuple[int, float]]) -> list[tuple[str, str]]:
        record = ProbeRecord([ProbeOperation(1, 0.0, 1.0), ProbeOperation(2, 2.0, 3.0)], reads, watched)
        return [(one.kind, one.expected) for one in probe.find_violations(record)]

    events = [(1, 1.5), (2, 3.5)]
    # A read that started before the second write was acknowledged may return either number.
    assert not violations(
        [ProbeOperation(1, 2.5, 4.0), ProbeOperation(2, 2.5, 4.0), ProbeOperation(2, 5.0, 6.0)], events
    )
    assert violations([ProbeOperation(1, 3.5, 4.0)], events) == [
        ("stale read", "a read to return 2, acknowledged before it, not 1")
    ]
    assert violations([], [(1, 1.5), (1, 1.6), (2, 3.5)])[0] == ("watch", "the watch to report 2, not 1")
    assert violations([], [(2, 3.5)]) == [("watch", "the watch to report 1, not 2")]
    assert violations([], events[:1]) == [("watch", "the watch to report 2; 1 was its last event")]
    record = ProbeRecord([ProbeOperation(1, 0.0, 1.0), ProbeOperation(2, 2.0, math.inf)], [], [(1, 1.75)])
    assert probe.longest_delays(record, 9.0) == {"write_s": 7.0, "read_s": 0.0, "watch_s": 0.75}


def test_an_attempt_after_a_drain_is_a_violation_unless_no_replica_reached_the_limiter() -> None:
    commands = [
        OperatorCommand("drain", "s1", "l1", 9.5, 10.0),
        OperatorCommand("undrain", "s1", "l1", 30.0, 30.5),
    ]

    def late(came_s: float, *faults: Fault, server: str = "s1") -> tuple[int, int]:
        count, found = checks.find_late_sends(
            commands, [ServerAttempt("c-1-1", server, came_s, None, True, via="l2")], faults, ["r1", "r2"]
        )
        return count, len(found)

    assert late(12.0) == (1, 1)
    assert late(10.5) == late(31.0) == late(12.0, server="s2") == (0, 0)
    one_cut = Fault(FaultKind.CUT, 5, 20, sources=("r1",), targets=("l2",))
    both_cut = Fault(FaultKind.CUT, 5, 20, sources=("r1", "r2"), targets=("l2",))
    # The limiter has to change to the other replica.
    assert late(11.5, one_cut) == (1, 0) and late(12.5, one_cut) == (1, 1)
    assert late(12.5, both_cut) == (1, 0) and late(12.5, Fault(FaultKind.PAUSE, 5, 9, members=("l2",))) == (
        1,
        1,
    )
    assert late(12.5, Fault(FaultKind.PAUSE, 5, 13, members=("l2",))) == (1, 0)


class NoRefutation(MembershipStateMachine):
    """Does not refute records in which others declare it suspect or dead."""

    def _own_record_received(self, now: float, row: MemberRecord) -> None:
        pass


class NoReconnection(MembershipStateMachine):
    """Contacts neither members held dead nor seeds, so a healed partition stays."""

    def _contact_dead_or_seed(self) -> None:
        pass


@pytest.mark.parametrize(
    ("make", "fault"),
    [
        (NoRefutation, Fault(FaultKind.PAUSE, 10, 40, members=("l2",))),
        (NoReconnection, Fault(FaultKind.SPLIT, 10, 60, sides=(("l1", "l2"), ("l3", "l4", "l5")))),
    ],
)
def test_a_defect_in_the_state_machine_is_found(make: type[MembershipStateMachine], fault: Fault) -> None:
    names = [f"l{at + 1}" for at in range(5)]

    def held(kind: type[MembershipStateMachine]) -> bool:
        model = FleetModel(names, faults=[fault], seed=3, make_state_machine=kind)
        model.run_until(120)
        _, disagreements = checks.time_to_agreement(model.lifetimes, model.observations, fault.end_s, 120)
        return not disagreements

    assert held(MembershipStateMachine) and not held(make)


# --- Real processes ------------------------------------------------------------------------------------
KILL_SCENARIO = """
[fleet]
limiters = 3
servers = 2
seconds = 6

[limiter]
plan = [{ name = "p", rate = 20, burst = 12 }]

[[load.plan]]
name = "p"
accounts = 1
rate = 120

[[load.class]]
name = "read"

[[fault]]
kind = "kill"
at_s = 2
for_s = 2
on = "l3"
"""


def run_rehearsal(path: Path, text: str) -> dict[str, Any]:
    out = path / "out.json"
    code = main(["rehearse", str(write_scenario(path, text)), "--json", str(out), "--keep", str(path / "k")])
    if code == 3:
        pytest.skip("the host was too slow for valid times")
    result: dict[str, Any] = json.loads(out.read_text())
    assert code == 0 and result["held"], result["findings"]
    return result


def test_three_limiters_enforce_one_quota_and_answer_all_requests_despite_a_kill(tmp_path: Path) -> None:
    result = run_rehearsal(tmp_path, KILL_SCENARIO)
    (kill,) = result["members"]["detected_s"]
    assert kill["name"] == "l3" and set(kill["by"]) == {"l1", "l2"}
    requests = result["requests"]
    assert requests["asked"] > 500 and requests["none"] == 0 and requests["twice"] == 0
    # The burst of 12 and 20 units per second. A restarted limiter begins with its share of the burst, 4, as
    # nothing is stored.
    account = result["limits"]["p-0"]
    assert account["allowed"] >= 132 and 60 <= account["sent"] <= account["allowed"] + 4 + 20
    assert sum(row[1] for row in result["per_second"]) == requests["asked"]


SYSTEM_FAULT_SCENARIO = """
[fleet]
limiters = 3
servers = 2
store = 3
seconds = 14

[[load.plan]]
name = "p"
accounts = 4
rate = 60

[[load.class]]
name = "read"

[[fault]]
kind = "full"
at_s = 2
for_s = 3
on = ["r1", "r2", "r3"]

[[fault]]
kind = "calls"
at_s = 3
for_s = 2
call = "accept"
error = "ENFILE"
part = 0.3
on = "l1"

[[fault]]
kind = "clock"
at_s = 4
by_s = -3600
on = ["l2", "r1"]
"""


@pytest.mark.skipif(find_compiler() is None, reason="failing system calls need a C compiler")
def test_full_disks_failing_calls_and_a_clock_step_lose_no_request_and_no_member(tmp_path: Path) -> None:
    result = run_rehearsal(tmp_path, SYSTEM_FAULT_SCENARIO)
    requests = result["requests"]
    assert requests["asked"] > 500 and requests["none"] == requests["twice"] == 0
    assert result["members"]["wrong_deaths"] == 0
    # No write completes while all disks are full; afterwards the replicas recover without a restart.
    assert 2.0 < result["store"]["write_s"] < 8.0
    logs = [(tmp_path / "k" / name / "log.txt").read_text() for name in ("r1", "r2", "r3")]
    assert any("takes part again" in text for text in logs)


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ('kind = "calls"\ncall = "fork"\nerror = "ENFILE"\non = "l1"', "call"),
        ('kind = "calls"\ncall = "read"\nerror = "ESOMETHING"\non = "l1"', "error"),
        ('kind = "calls"\ncall = "read"\non = "l1"', "error"),
        ('kind = "clock"\non = "l1"\nby_s = "an hour"', "by_s"),
        ('kind = "full"\non = "l1"\npart = 0.5', "part"),
    ],
)
def test_a_problem_in_a_system_fault_is_reported_with_its_path(tmp_path: Path, text: str, found: str) -> None:
    with pytest.raises(FileError) as error:
        scenario.load(write_scenario(tmp_path, f"[[fault]]\n{text}\n"))
    assert [problem.path.split(".")[-1] for problem in error.value.problems] == [found]


STORE_SCENARIO = """
[fleet]
limiters = 3
servers = 2
store = 3
seconds = 22

[[load.plan]]
name = "p"
accounts = 4
rate = 60

[[load.class]]
name = "read"

[[fault]]
kind = "cut"
at_s = 1
for_s = 6
from = ["l1", "r2", "r3"]
to = "r1"

[[fault]]
kind = "drain"
at_s = 2
for_s = 4
on = "l1"
server = "s1"

[[fault]]
kind = "stall"
at_s = 8
for_s = 6
from = ["r2"]
to = ["r1", "r3", "l1"]

[[fault]]
kind = "pause"
at_s = 15
for_s = 6
on = "r3"

[[fault]]
kind = "kill"
at_s = 16
for_s = 1
on = "l2"
"""


def test_a_replica_paused_stalled_or_cut_one_way_delays_neither_store_nor_drains(tmp_path: Path) -> None:
    result = run_rehearsal(tmp_path, STORE_SCENARIO)
    store, requests = result["store"], result["requests"]
    # Each fault lasts 6 s, and a client that stays with the affected replica would wait that long. The probe
    # starts at r1, which still answers what it can answer alone.
    assert max(store["write_s"], store["read_s"], store["watch_s"]) < 3.5
    assert requests["none"] == requests["twice"] == 0 and requests["asked"] > 500


def test_a_folder_with_files_of_an_earlier_rehearsal_is_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["rehearse", str(write_scenario(tmp_path, KILL_SCENARIO)), "--keep", str(tmp_path)]) == 2
    assert "allowed: a new or empty folder" in capsys.readouterr().err
