"""The rehearsal tool: its file, its checks, which must be able to fail, and one fleet of real processes."""

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


def written(path: Path, text: str) -> Path:
    file = path / "r.toml"
    file.write_text(text)
    return file


# --- The file ------------------------------------------------------------------------------------------
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
def test_what_is_wrong_in_a_file_is_told_with_its_place(tmp_path: Path, text: str, problem: str) -> None:
    with pytest.raises(FileError) as told:
        scenario.load(written(tmp_path, text))
    assert problem in str(told.value)


def test_all_problems_are_told_at_once_and_end_with_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = written(tmp_path, 'fault = [{kind = "kill"}, {kind = "x"}]\n[fleet]\nservers = 0')
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


def test_a_page_escapes_what_it_shows(tmp_path: Path) -> None:
    made = scenario.load(written(tmp_path, ""))
    result: dict[str, Any] = {
        "held": False, "faults": [], "views": [[1.0, "<l1>", "l2", "dead"]], "limits": {}, "requests": {},
        "members": {"detected_s": [], "agreed_s": None, "wrong_deaths": 1},
        "findings": [{"at_s": 1, "kind": "<b>", "members": ["l1"], "expected": "a < b"}],
    }  # fmt: skip
    shown = render_page("<x>", made, result)
    assert "<b>" not in shown and "&lt;b&gt;" in shown and "&lt;l1&gt;" in shown and "&lt;x&gt;" in shown


# --- Checks can fail -----------------------------------------------------------------------------------
LIVES = [
    ProcessLifetime("l1", 0, math.inf),
    ProcessLifetime("l2", 0, math.inf),
    ProcessLifetime("l3", 0, 50, first_incarnation=1),
]


def observations(*rows: tuple[float, str, str, int, str]) -> list[Observation]:
    return [Observation(*row) for row in rows]


def test_each_check_finds_what_it_is_for() -> None:
    wrong = observations((10, "l1", "l3", 1, "dead"))
    assert [finding.members for finding in checks.find_wrong_deaths(LIVES, wrong)] == [("l1", "l3")]
    assert not checks.find_wrong_deaths(LIVES, observations((60, "l1", "l3", 1, "dead")))
    assert not checks.find_wrong_deaths(
        LIVES, observations((10, "l1", "l3", 0, "dead"))
    )  # of an earlier life
    again = observations((10, "l1", "l3", 4, "dead"), (11, "l1", "l3", 4, "alive"))
    assert [finding.kind for finding in checks.find_resurrections(LIVES, again)] == ["back to life"]
    assert not checks.find_resurrections(
        LIVES, observations((10, "l1", "l3", 4, "dead"), (11, "l1", "l3", 5, "alive"))
    )
    all_dead = observations((10, "l1", "l3", 1, "dead"), (10, "l2", "l3", 1, "dead"))
    assert checks.find_reachable_dead_to_all(LIVES, all_dead, [], 50)
    cut = [Fault(FaultKind.CUT, 0, 20, sources=("l1", "l2"), targets=("l3",))]
    assert not checks.find_reachable_dead_to_all(LIVES, all_dead, cut, 50)
    seen = observations(
        *((1.0, by, name, 1, "alive") for by in ("l1", "l2") for name in ("l1", "l2", "l3")),
        (52.0, "l1", "l3", 1, "dead"),
    )
    took, apart = checks.time_to_agreement(LIVES, seen, 50, 60)
    assert math.isinf(took) and [finding.members for finding in apart] == [("l2", "l3")]
    took, apart = checks.time_to_agreement(
        LIVES, [*seen, *observations((55.0, "l2", "l3", 1, "left"))], 50, 60
    )
    assert took == 5.0 and not apart
    (kill,) = checks.find_crashes(LIVES, seen, 60)
    assert kill.detected_s == {"l1": 2.0} and kill.undetected_by == ("l2",)


def test_each_check_of_the_store_finds_what_it_is_for() -> None:
    def found(reads: list[ProbeOperation], heard: list[tuple[int, float]]) -> list[tuple[str, str]]:
        record = ProbeRecord([ProbeOperation(1, 0.0, 1.0), ProbeOperation(2, 2.0, 3.0)], reads, heard)
        return [(one.kind, one.expected) for one in probe.find_violations(record)]

    good = [(1, 1.5), (2, 3.5)]
    # A read that began before the second write was acknowledged may find either.
    assert not found(
        [ProbeOperation(1, 2.5, 4.0), ProbeOperation(2, 2.5, 4.0), ProbeOperation(2, 5.0, 6.0)], good
    )
    assert found([ProbeOperation(1, 3.5, 4.0)], good) == [
        ("stale read", "a read to return 2, acknowledged before it, not 1")
    ]
    assert found([], [(1, 1.5), (1, 1.6), (2, 3.5)])[0] == ("watch", "the watch to report 2, not 1")
    assert found([], [(2, 3.5)]) == [("watch", "the watch to report 1, not 2")]
    assert found([], good[:1]) == [("watch", "the watch to report 2; 1 was its last event")]
    record = ProbeRecord([ProbeOperation(1, 0.0, 1.0), ProbeOperation(2, 2.0, math.inf)], [], [(1, 1.75)])
    assert probe.longest_delays(record, 9.0) == {"write_s": 7.0, "read_s": 0.0, "watch_s": 0.75}


def test_a_send_after_a_drain_is_found_but_for_a_limiter_that_no_replica_reached() -> None:
    told = [
        OperatorCommand("drain", "s1", "l1", 9.5, 10.0),
        OperatorCommand("undrain", "s1", "l1", 30.0, 30.5),
    ]

    def late(came_s: float, *faults: Fault, server: str = "s1") -> tuple[int, int]:
        count, found = checks.find_late_sends(
            told, [ServerAttempt("c-1-1", server, came_s, None, True, via="l2")], faults, ["r1", "r2"]
        )
        return count, len(found)

    assert late(12.0) == (1, 1)
    assert late(10.5) == late(31.0) == late(12.0, server="s2") == (0, 0)
    one = Fault(FaultKind.CUT, 5, 20, sources=("r1",), targets=("l2",))
    both = Fault(FaultKind.CUT, 5, 20, sources=("r1", "r2"), targets=("l2",))
    assert late(11.5, one) == (1, 0) and late(12.5, one) == (1, 1)  # it has to turn to the other replica
    assert late(12.5, both) == (1, 0) and late(12.5, Fault(FaultKind.PAUSE, 5, 9, members=("l2",))) == (1, 1)
    assert late(12.5, Fault(FaultKind.PAUSE, 5, 13, members=("l2",))) == (1, 0)


class Silent(MembershipStateMachine):
    """Contradicts nothing that is said of it."""

    def _own_record_received(self, now: float, row: MemberRecord) -> None:
        pass


class Deaf(MembershipStateMachine):
    """Asks nobody that is held dead, and no seed."""

    def _contact_dead_or_seed(self) -> None:
        pass


@pytest.mark.parametrize(
    ("make", "fault"),
    [
        (Silent, Fault(FaultKind.PAUSE, 10, 40, members=("l2",))),
        (Deaf, Fault(FaultKind.SPLIT, 10, 60, sides=(("l1", "l2"), ("l3", "l4", "l5")))),
    ],
)
def test_a_defect_planted_in_the_machine_is_found(make: type[MembershipStateMachine], fault: Fault) -> None:
    names = [f"l{at + 1}" for at in range(5)]

    def held(kind: type[MembershipStateMachine]) -> bool:
        model = FleetModel(names, faults=[fault], seed=3, make_state_machine=kind)
        model.run_until(120)
        _, apart = checks.time_to_agreement(model.lifetimes, model.observations, fault.end_s, 120)
        return not apart

    assert held(MembershipStateMachine) and not held(make)


# --- Real processes ------------------------------------------------------------------------------------
SMALL = """
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


def played(path: Path, text: str) -> dict[str, Any]:
    out = path / "out.json"
    code = main(["rehearse", str(written(path, text)), "--json", str(out), "--keep", str(path / "k")])
    if code == 3:
        pytest.skip("the machine was too slow for the play to count")
    result: dict[str, Any] = json.loads(out.read_text())
    assert code == 0 and result["held"], result["findings"]
    return result


def test_three_limiters_hold_one_quota_and_answer_all_through_a_kill(tmp_path: Path) -> None:
    result = played(tmp_path, SMALL)
    (kill,) = result["members"]["detected_s"]
    assert kill["name"] == "l3" and set(kill["by"]) == {"l1", "l2"}
    asked = result["requests"]
    assert asked["asked"] > 500 and asked["none"] == 0 and asked["twice"] == 0
    # 12 and 20 a second; one that returns begins with its burst's part, 4, as nothing is kept.
    account = result["limits"]["p-0"]
    assert account["allowed"] >= 132 and 60 <= account["sent"] <= account["allowed"] + 4 + 20
    assert sum(row[1] for row in result["per_second"]) == asked["asked"]


SYSTEM_FAULTS = """
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
def test_full_disks_failing_calls_and_a_stepped_clock_cost_no_request_and_no_member(tmp_path: Path) -> None:
    result = played(tmp_path, SYSTEM_FAULTS)
    asked = result["requests"]
    assert asked["asked"] > 500 and asked["none"] == asked["twice"] == 0
    assert result["members"]["wrong_deaths"] == 0
    # Nothing is written while all disks are full, and nobody has to start a replica.
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
def test_a_wrong_fault_of_the_system_is_told_with_its_place(tmp_path: Path, text: str, found: str) -> None:
    with pytest.raises(FileError) as error:
        scenario.load(written(tmp_path, f"[[fault]]\n{text}\n"))
    assert [problem.path.split(".")[-1] for problem in error.value.problems] == [found]


STORED = """
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


def test_a_replica_paused_stalled_or_cut_one_way_holds_up_neither_store_nor_drains(tmp_path: Path) -> None:
    result = played(tmp_path, STORED)
    store, asked = result["store"], result["requests"]
    # Each fault lasts 6 s, and so long waits whoever stays with the replica that it is at. The probe begins
    # at r1, which goes on to answer what it can answer by itself.
    assert max(store["write_s"], store["read_s"], store["watch_s"]) < 3.5
    assert asked["none"] == asked["twice"] == 0 and asked["asked"] > 500


def test_a_folder_of_an_earlier_play_is_not_taken_for_this_ones(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["rehearse", str(written(tmp_path, SMALL)), "--keep", str(tmp_path)]) == 2
    assert "allowed: a new or empty folder" in capsys.readouterr().err
