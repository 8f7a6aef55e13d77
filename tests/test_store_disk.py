"""The log on disk: what a crash can leave is read back; data that no crash can leave stops the replica."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from storesim import SimFiles, SimulatedCrash

from basaltpoint.store import disk as disks
from basaltpoint.store.disk import CorruptionError, Disk
from basaltpoint.store.files import OsFiles
from basaltpoint.store.log import Log
from basaltpoint.store.messages import Entry, EntryKind, HardState, Member, Membership, Snapshot

MEMBERS = Membership((Member("a", "h:1"),))


def entry(index: int, term: int = 1, data: bytes | None = None) -> Entry:
    return Entry(term, index, EntryKind.COMMAND, b"%d" % index if data is None else data)


def indexes_and_terms(log: Log) -> list[tuple[int, int]]:
    return [(each.index, each.term) for each in log.entries]


def write_snapshot(disk: Disk, index: int, term: int = 1, data: bytes = b"state", base: int = 0) -> Snapshot:
    snapshot = Snapshot(index, term, MEMBERS, data)
    for _ in disk.write_snapshot(snapshot, base):
        pass
    return snapshot


def test_written_data_is_read_back(tmp_path: Path) -> None:
    disk = Disk(OsFiles(tmp_path))
    disk.write((entry(1), entry(2)), HardState(1, "a"))
    disk.write((entry(3, 2),), HardState(2, "b"))
    again = Disk(OsFiles(tmp_path))
    assert indexes_and_terms(again.log) == [(1, 1), (2, 1), (3, 2)] and again.hard_state == HardState(2, "b")
    assert again.log.entries[0].data == b"1"


def test_an_entry_replaces_all_from_its_index_on(tmp_path: Path) -> None:
    disk = Disk(OsFiles(tmp_path))
    disk.write(tuple(entry(at) for at in range(1, 6)), None)
    disk.write((entry(3, 2),), None)
    assert indexes_and_terms(Disk(OsFiles(tmp_path)).log) == [(1, 1), (2, 1), (3, 2)]


@pytest.mark.parametrize("left", [1, 10, 25, 30])
def test_a_torn_tail_is_truncated_and_writing_continues(tmp_path: Path, left: int) -> None:
    disk = Disk(OsFiles(tmp_path))
    disk.write((entry(1),), HardState(1, "a"))
    segment = tmp_path / "log-00000000000000000001.seg"
    valid_bytes = segment.stat().st_size
    disk.write((entry(2),), None)
    segment.write_bytes(segment.read_bytes()[: valid_bytes + left])
    again = Disk(OsFiles(tmp_path))
    assert (
        indexes_and_terms(again.log) == [(1, 1)]
        and again.torn_tail_bytes == left
        and again.hard_state == HardState(1, "a")
    )
    again.write((entry(2, 2),), None)
    assert indexes_and_terms(Disk(OsFiles(tmp_path)).log) == [(1, 1), (2, 2)]


@pytest.mark.parametrize("what", ["write", "rewrite"])
def test_a_crash_at_each_byte_of_a_batch_keeps_acknowledged_data(what: str) -> None:
    """Covers a write to an existing segment and the batch of a rewrite to a new segment."""
    complete_files = SimFiles()
    disk = Disk(complete_files)
    disk.write((entry(1),), HardState(1, "a"))
    disk.log.append(entry(1))
    before = {name: len(file.data) for name, file in complete_files.current_files.items()}
    if what == "rewrite":
        disk.rewrite(disk.log, HardState(1, "a"))
        [name] = [
            name for name in complete_files.current_files if name not in before and name.startswith("log-")
        ]
    else:
        disk.write((entry(2),), None)
        [name] = [
            name for name, file in complete_files.current_files.items() if len(file.data) > before[name]
        ]
    start, size = before.get(name, 0), len(complete_files.current_files[name].data)
    for left in range(start, size):
        files = complete_files.copy()
        del files.current_files[name].data[left:]
        if what == "rewrite":  # the old segment is removed once the new one is complete
            files.append("log-00000000000000000001.seg", bytes(first_segment()))
        again = Disk(files)
        assert indexes_and_terms(again.log) == [(1, 1)] and again.hard_state == HardState(1, "a"), left
        again.write((entry(2, 2),), None)
        assert indexes_and_terms(Disk(files).log) == [(1, 1), (2, 2)], left


def first_segment() -> bytearray:
    """Returns the segment of a disk with one entry."""
    files = SimFiles()
    Disk(files).write((entry(1),), HardState(1, "a"))
    [file] = files.current_files.values()
    return file.data


def test_a_flipped_bit_in_each_byte_before_the_last_write_stops_the_replica(tmp_path: Path) -> None:
    disk = Disk(OsFiles(tmp_path))
    disk.write((entry(1),), HardState(1, "a"))
    name = tmp_path / "log-00000000000000000001.seg"
    sound_until = name.stat().st_size
    disk.write((entry(2),), None)
    raw = name.read_bytes()
    for at in range(sound_until):
        name.write_bytes(raw[:at] + bytes([raw[at] ^ 4]) + raw[at + 1 :])
        with pytest.raises(CorruptionError, match=r"log-0+1\.seg: corruption at byte \d+.*store remove"):
            Disk(OsFiles(tmp_path))
        assert name.stat().st_size == len(raw), "a corrupt file must not be truncated"


def test_corruption_in_an_earlier_segment_stops_the_replica(tmp_path: Path) -> None:
    disk = Disk(OsFiles(tmp_path))
    disk.write(tuple(entry(at) for at in range(1, 9)), HardState(1, "a"))
    write_snapshot(disk, 4)
    name = tmp_path / "log-00000000000000000001.seg"
    name.write_bytes(name.read_bytes()[:-1])  # a torn tail is corruption, too, as later segments exist
    with pytest.raises(CorruptionError):
        Disk(OsFiles(tmp_path))


def test_a_corrupt_snapshot_stops_the_replica(tmp_path: Path) -> None:
    disk = Disk(OsFiles(tmp_path))
    disk.write((entry(1),), None)
    write_snapshot(disk, 1)
    name = next(tmp_path.glob("snap-*.snap"))
    raw = name.read_bytes()
    for broken in (raw[:-1], raw + b"x", b"", raw[:20] + bytes([raw[20] ^ 1]) + raw[21:]):
        name.write_bytes(broken)
        with pytest.raises(CorruptionError, match="the snapshot is incomplete or corrupt"):
            Disk(OsFiles(tmp_path))


def test_a_snapshot_drops_entries_before_the_preceding_one(tmp_path: Path) -> None:
    disk = Disk(OsFiles(tmp_path))
    base = 0
    for at in range(1, 101):
        disk.write((entry(at),), None)
        if at % 10 == 0:
            write_snapshot(disk, at - 2, base=base, data=b"%d" % at)
            base = at - 2
    again = Disk(OsFiles(tmp_path))
    assert again.log.snapshot.index == 98 and again.log.snapshot.data == b"100"
    assert again.log.base_index <= 88 and again.log.last_index == 100
    assert len(list(tmp_path.iterdir())) <= 5


def test_a_snapshot_from_the_leader_replaces_all_entries(tmp_path: Path) -> None:
    disk = Disk(OsFiles(tmp_path))
    disk.write((entry(1), entry(2)), HardState(1, "a"))
    disk.install_snapshot(Snapshot(50, 3, MEMBERS, b"x"))
    disk.write((entry(51, 3),), None)
    again = Disk(OsFiles(tmp_path))
    assert (
        indexes_and_terms(again.log) == [(51, 3)]
        and again.log.snapshot.index == 50
        and again.hard_state == HardState(1, "a")
    )


# --- Every crash point -------------------------------------------------------------------------------
class DiskScenario:
    """Runs writes, snapshots and an installation; records what was acknowledged and what was started."""

    def __init__(self, files: SimFiles, crash_at: int) -> None:
        self.files, self.points_left, self.reached_points = files, crash_at, list[str]()
        self.acknowledged: list[Entry] = []
        self.started: list[Entry] = []
        self.hard_state = self.started_hard_state = HardState()
        self.snapshot_index = 0
        self.installed = False

    def reach_crash_point(self, name: str) -> None:
        self.reached_points.append(name)
        self.points_left -= 1
        if self.points_left == 0:
            raise SimulatedCrash

    def write(self, disk: Disk, *entries: Entry, hard: HardState | None = None) -> None:
        first = entries[0].index if entries else 10**9
        self.started = [each for each in self.acknowledged if each.index < first] + list(entries)
        self.started_hard_state = hard or self.hard_state
        disk.write(entries, hard)
        self.acknowledged, self.hard_state = self.started, self.started_hard_state

    def run(self) -> None:
        disk = Disk(self.files, self.reach_crash_point)
        self.write(disk, entry(1), entry(2), hard=HardState(1, "a"))
        self.write(disk, entry(3))
        write_snapshot(disk, 2)
        self.snapshot_index = 2
        self.write(disk, entry(4), entry(5), hard=HardState(2, ""))
        self.write(disk, entry(4, 2))
        write_snapshot(disk, 4, 2, b"s" * (disks.SNAPSHOT_SLICE_BYTES + 10), base=2)
        self.snapshot_index = 4
        self.write(disk, entry(5, 2), hard=HardState(3, "b"))
        self.installing = True
        disk.install_snapshot(Snapshot(20, 3, MEMBERS, b"leader's"))
        self.installed = True
        self.write(disk, entry(21, 3))


def test_every_crash_point_keeps_acknowledged_data() -> None:
    """Crashes at each point in turn, with several random losses of unsynced data."""
    count, reached = 1, set[str]()
    while True:
        for loss_seed in range(12):
            scenario = DiskScenario(SimFiles(), count)
            try:
                scenario.run()
            except SimulatedCrash:
                pass
            else:
                needed = {
                    "write.torn",
                    "write.unsynced",
                    "snapshot.written",
                    "snapshot.renamed",
                    "roll.named",
                }
                assert needed | {"install.renamed", "install.rolled", "forget.removed"} <= reached
                return
            reached.add(scenario.reached_points[-1])
            scenario.files.lose_power(random.Random(loss_seed))
            again = Disk(scenario.files)
            context = f"{scenario.reached_points[-1]}, point {count}, loss seed {loss_seed}"
            assert again.hard_state in (scenario.hard_state, scenario.started_hard_state), context
            log = again.log
            assert log.snapshot.index >= scenario.snapshot_index, context
            if scenario.installed or log.snapshot.index == 20:
                assert log.snapshot.data == b"leader's", context
                assert log.last_index >= 20 + (21 in [e.index for e in scenario.acknowledged]), context
                continue
            entries = {each.index: each for each in log.entries}
            acknowledged = [each for each in scenario.acknowledged if each.index > log.base_index]
            keeps_acknowledged = all(entries.get(each.index) == each for each in acknowledged)
            replaced = [each for each in scenario.started if each.index > log.base_index]
            assert keeps_acknowledged or [entries.get(each.index) for each in replaced] == replaced, context
            # The disk also accepts a write that is read back.
            last = log.last_index + 1
            again.write((entry(last, 9),), HardState(9, "z"))
            final = Disk(scenario.files)
            assert final.log.last_index == last and final.hard_state == HardState(9, "z"), context
        count += 1


def test_a_crash_between_an_installed_snapshot_and_its_segment_is_recovered() -> None:
    files = SimFiles()
    is_armed = 0

    def point(name: str) -> None:
        if is_armed and name == "install.named":
            raise SimulatedCrash

    disk = Disk(files, point)
    disk.write((entry(1),), HardState(1, "a"))
    is_armed = 1
    with pytest.raises(SimulatedCrash):
        disk.install_snapshot(Snapshot(20, 3, MEMBERS, b"x"))
    again = Disk(files)
    assert again.log.last_index == 20 and again.hard_state == HardState(1, "a")
    again.write((entry(21, 3),), None)
    assert indexes_and_terms(Disk(files).log) == [(21, 3)]


def test_a_full_disk_is_reported_and_loses_nothing() -> None:
    files = SimFiles()
    disk = Disk(files)
    disk.write((entry(1),), HardState(1, "a"))
    files.is_failing = True
    with pytest.raises(OSError, match="No space left"):
        disk.write((entry(2),), HardState(2, "a"))
    files.is_failing = False
    files.lose_power(random.Random(1))
    again = Disk(files)
    assert indexes_and_terms(again.log)[:1] == [(1, 1)]


def test_data_of_a_failed_sync_is_written_to_new_files() -> None:
    """A sync after a failed one succeeds although the bytes may be lost, so nothing may depend on them."""
    for seed in range(20):
        files = SimFiles()
        disk = Disk(files)
        disk.write((entry(1),), HardState(1, "a"))
        disk.log.append(entry(1))
        files.is_failing = True
        with pytest.raises(OSError):
            disk.write((entry(2),), HardState(2, "a"))
        disk.log.append(entry(2))
        with pytest.raises(OSError):
            disk.rewrite(disk.log, HardState(2, "a"))  # the disk still fails
        files.is_failing = False
        disk.rewrite(disk.log, HardState(2, "a"))
        disk.write((entry(3),), None)
        files.lose_power(random.Random(seed))
        again = Disk(files)
        assert indexes_and_terms(again.log) == [(1, 1), (2, 1), (3, 1)] and again.hard_state == HardState(
            2, "a"
        )


def crash_during_rewrite(at: int) -> tuple[SimFiles, str]:
    """Crashes at a point of a rewrite after a disk failure; returns the files and the point's name."""
    files, passed_points = SimFiles(), list[str]()
    rewriting = False

    def point(name: str) -> None:
        if rewriting:
            passed_points.append(name)
            if len(passed_points) > at:
                raise SimulatedCrash

    disk = Disk(files, point)
    disk.write((entry(1),), HardState(1, "a"))
    disk.log.append(entry(1))
    files.is_failing = True
    with pytest.raises(OSError):
        disk.write((entry(2),), None)
    files.is_failing = False
    rewriting = True
    try:
        disk.rewrite(disk.log, HardState(1, "a"))
    except SimulatedCrash:
        return files, passed_points[-1]
    return files, ""


def test_every_crash_point_of_a_rewrite_keeps_acknowledged_data() -> None:
    points = []
    for at in range(100):
        files, point = crash_during_rewrite(at)
        if not point:
            break
        points.append(point)
        files.lose_power(random.Random(at))
        again = Disk(files)
        assert indexes_and_terms(again.log) == [(1, 1)] and again.hard_state == HardState(1, "a")
        again.write((entry(2),), None)
        files.lose_power(random.Random(at))
        assert indexes_and_terms(Disk(files).log) == [(1, 1), (2, 1)]
    assert {"rewrite.torn", "rewrite.unsynced", "rewrite.synced", "rewrite.named"} <= set(points)


def test_an_incomplete_segment_does_not_reappear_after_a_torn_one() -> None:
    """The removal must be synced before anything is written to the preceding segment."""
    for seed in range(20):
        files = SimFiles()
        disk = Disk(files)
        disk.write((entry(1),), HardState(1, "a"))
        files.append("log-00000000000000000002.seg", b"half")
        files.sync_directory()
        again = Disk(files)
        files.append("log-00000000000000000001.seg", b"torn")
        files.lose_power(random.Random(seed))
        assert indexes_and_terms(Disk(files).log) == indexes_and_terms(again.log) == [(1, 1)]
