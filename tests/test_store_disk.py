"""The log on the disk: what a crash leaves is read again; what it can't have left stops the replica."""

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


def test_what_was_written_is_read_again(tmp_path: Path) -> None:
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
def test_a_torn_tail_is_cut_and_writing_goes_on(tmp_path: Path, left: int) -> None:
    disk = Disk(OsFiles(tmp_path))
    disk.write((entry(1),), HardState(1, "a"))
    name = tmp_path / "log-00000000000000000001.seg"
    whole = name.stat().st_size
    disk.write((entry(2),), None)
    name.write_bytes(name.read_bytes()[: whole + left])
    again = Disk(OsFiles(tmp_path))
    assert (
        indexes_and_terms(again.log) == [(1, 1)]
        and again.torn_tail_bytes == left
        and again.hard_state == HardState(1, "a")
    )
    again.write((entry(2, 2),), None)
    assert indexes_and_terms(Disk(OsFiles(tmp_path)).log) == [(1, 1), (2, 2)]


@pytest.mark.parametrize("what", ["write", "rewrite"])
def test_a_kill_at_each_byte_of_a_record_leaves_what_was_promised(what: str) -> None:
    """Of a write in an old segment, and of the batch that writes all anew in another one."""
    whole = SimFiles()
    disk = Disk(whole)
    disk.write((entry(1),), HardState(1, "a"))
    disk.log.append(entry(1))
    before = {name: len(file.data) for name, file in whole.current_files.items()}
    if what == "rewrite":
        disk.rewrite(disk.log, HardState(1, "a"))
        [name] = [name for name in whole.current_files if name not in before and name.startswith("log-")]
    else:
        disk.write((entry(2),), None)
        [name] = [name for name, file in whole.current_files.items() if len(file.data) > before[name]]
    start, size = before.get(name, 0), len(whole.current_files[name].data)
    for left in range(start, size):
        files = whole.copy()
        del files.current_files[name].data[left:]
        if what == "rewrite":  # the old one goes after the new one is whole
            files.append("log-00000000000000000001.seg", bytes(first_segment()))
        again = Disk(files)
        assert indexes_and_terms(again.log) == [(1, 1)] and again.hard_state == HardState(1, "a"), left
        again.write((entry(2, 2),), None)
        assert indexes_and_terms(Disk(files).log) == [(1, 1), (2, 2)], left


def first_segment() -> bytearray:
    """The one segment of a disk with one entry."""
    files = SimFiles()
    Disk(files).write((entry(1),), HardState(1, "a"))
    [file] = files.current_files.values()
    return file.data


def test_each_flipped_bit_before_the_last_write_stops_the_replica(tmp_path: Path) -> None:
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
        assert name.stat().st_size == len(raw), "nothing may be cut from what can't be trusted"


def test_damage_in_an_earlier_segment_stops_the_replica(tmp_path: Path) -> None:
    disk = Disk(OsFiles(tmp_path))
    disk.write(tuple(entry(at) for at in range(1, 9)), HardState(1, "a"))
    write_snapshot(disk, 4)
    name = tmp_path / "log-00000000000000000001.seg"
    name.write_bytes(name.read_bytes()[:-1])  # even its tail: what follows was written later
    with pytest.raises(CorruptionError):
        Disk(OsFiles(tmp_path))


def test_a_damaged_snapshot_stops_the_replica(tmp_path: Path) -> None:
    disk = Disk(OsFiles(tmp_path))
    disk.write((entry(1),), None)
    write_snapshot(disk, 1)
    name = next(tmp_path.glob("snap-*.snap"))
    raw = name.read_bytes()
    for broken in (raw[:-1], raw + b"x", b"", raw[:20] + bytes([raw[20] ^ 1]) + raw[21:]):
        name.write_bytes(broken)
        with pytest.raises(CorruptionError, match="the snapshot is incomplete or corrupt"):
            Disk(OsFiles(tmp_path))


def test_a_snapshot_lets_entries_before_the_last_one_go(tmp_path: Path) -> None:
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


def test_a_leaders_snapshot_replaces_all(tmp_path: Path) -> None:
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
    """Writes, snapshots and an install; it remembers what was promised and what was begun."""

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


def test_every_crash_point_leaves_what_was_promised() -> None:
    """Each point is tried with several fates of what was not synced."""
    count, tried = 1, set[str]()
    while True:
        for fate in range(12):
            story = DiskScenario(SimFiles(), count)
            try:
                story.run()
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
                assert needed | {"install.renamed", "install.rolled", "forget.removed"} <= tried
                return
            tried.add(story.reached_points[-1])
            story.files.lose_power(random.Random(fate))
            again = Disk(story.files)
            where = f"{story.reached_points[-1]}, point {count}, fate {fate}"
            assert again.hard_state in (story.hard_state, story.started_hard_state), where
            log = again.log
            assert log.snapshot.index >= story.snapshot_index, where
            if story.installed or log.snapshot.index == 20:
                assert log.snapshot.data == b"leader's", where
                assert log.last_index >= 20 + (21 in [e.index for e in story.acknowledged]), where
                continue
            held = {each.index: each for each in log.entries}
            wanted = [each for each in story.acknowledged if each.index > log.base_index]
            good = all(held.get(each.index) == each for each in wanted)
            replaced = [each for each in story.started if each.index > log.base_index]
            assert good or [held.get(each.index) for each in replaced] == replaced, where
            # And it can be written to, and read once more.
            last = log.last_index + 1
            again.write((entry(last, 9),), HardState(9, "z"))
            final = Disk(story.files)
            assert final.log.last_index == last and final.hard_state == HardState(9, "z"), where
        count += 1


def test_an_end_between_a_leaders_snapshot_and_its_segment_is_taken_up() -> None:
    files = SimFiles()
    left = 0

    def point(name: str) -> None:
        if left and name == "install.named":
            raise SimulatedCrash

    disk = Disk(files, point)
    disk.write((entry(1),), HardState(1, "a"))
    left = 1
    with pytest.raises(SimulatedCrash):
        disk.install_snapshot(Snapshot(20, 3, MEMBERS, b"x"))
    again = Disk(files)
    assert again.log.last_index == 20 and again.hard_state == HardState(1, "a")
    again.write((entry(21, 3),), None)
    assert indexes_and_terms(Disk(files).log) == [(21, 3)]


def test_a_full_disk_is_told_and_loses_nothing() -> None:
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


def test_what_a_failed_sync_left_is_written_anew_elsewhere() -> None:
    """The sync after it succeeds, and the bytes are lost all the same: nothing rests on them."""
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
            disk.rewrite(disk.log, HardState(2, "a"))  # it fails still
        files.is_failing = False
        disk.rewrite(disk.log, HardState(2, "a"))
        disk.write((entry(3),), None)
        files.lose_power(random.Random(seed))
        again = Disk(files)
        assert indexes_and_terms(again.log) == [(1, 1), (2, 1), (3, 1)] and again.hard_state == HardState(
            2, "a"
        )


def crash_during_rewrite(at: int) -> tuple[SimFiles, str]:
    """A disk that failed once, its process ended at the n-th point of writing it anew; the point's name."""
    files, passed = SimFiles(), list[str]()
    rewriting = False

    def point(name: str) -> None:
        if rewriting:
            passed.append(name)
            if len(passed) > at:
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
        return files, passed[-1]
    return files, ""


def test_every_crash_point_of_a_rewrite_leaves_what_was_promised() -> None:
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


def test_a_segment_that_never_came_whole_does_not_come_back_behind_a_torn_one() -> None:
    """Its removal is on the disk before anything is written to the segment before it."""
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
