"""One replica without its sockets: core, state machine and disk, in the order that safety asks for.

It is synchronous and knows no clock; the simulator of the tests drives the same code as the shell does.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass

from basaltpoint.store import state_machine as kv
from basaltpoint.store.disk import Disk
from basaltpoint.store.files import CrashPoint, Files, no_crash_point
from basaltpoint.store.messages import Entry, EntryKind, Membership, Message, Snapshot
from basaltpoint.store.raft import Output, Raft, RaftOptions, RefusedError, Role

log = logging.getLogger(__name__)

SendMessage = Callable[[str, Message], None]
CommandCallback = Callable[[kv.Result | None], None]  # None: whether it took effect is not known
ReadCallback = Callable[[bool], None]
DISK_RETRY_MS = (200.0, 2000.0)  # until a disk that failed is tried again: first, and at most
LEASE_CHECK_INTERVAL_MS = 100.0  # between two looks for leases that ran out; by so much one may live longer


@dataclass(frozen=True, slots=True)
class StorageLimits:
    """When the log is compacted, and what the state may hold."""

    snapshot_entries: int = 20_000  # entries since the last snapshot
    snapshot_bytes: int = 32 << 20  # of these; both lie in memory twice at most
    max_state_bytes: int = kv.MAX_STATE_BYTES


class Node:
    """One replica; `broken` tells why it takes no part for now: its disk failed, and is tried again."""

    def __init__(
        self,
        name: str,
        files: Files,
        rng: random.Random,
        now: float,
        send: SendMessage,
        *,
        options: RaftOptions = RaftOptions(),  # noqa: B008 - it can't be changed
        limits: StorageLimits = StorageLimits(),
        initial: Membership | None = None,
        may_be_stale: bool = False,
        crash_point: CrashPoint = no_crash_point,
    ) -> None:
        """`initial`: the members of a new cluster, on an empty disk. DamageError, OSError from the disk."""
        self.name, self._send, self._limits = name, send, limits
        self.disk = Disk(files, crash_point)
        if initial and not self.disk.log.last_index and not self.disk.log.snapshot.membership.members:
            self._write_initial_snapshot(initial)
        self.state_machine = kv.StoreStateMachine(limits.max_state_bytes)
        self.state_machine.restore(self.disk.log.snapshot.data)
        self.raft = Raft(name, options, rng, now, self.disk.hard_state, self.disk.log, may_be_stale)
        self.failure = ""
        self._disk_retry_at_ms = self._disk_retry_delay_ms = (
            0.0  # when the disk is tried again, and the wait after that
        )
        self._now_ms = now
        self._pending_commands: dict[int, tuple[int, CommandCallback]] = {}  # by index: term
        self._pending_reads: dict[int, ReadCallback] = {}  # by token
        self._confirmed_reads: list[tuple[int, int]] = []  # index, token: to be answered when it is applied
        self._last_read_token = 0
        self._snapshot_writer: Iterator[None] | None = None
        self._snapshot = Snapshot()
        self._bytes_since_snapshot = 0  # bytes of entries since the last snapshot
        self._lease_timers = kv.LeaseTimers()
        self._next_lease_check_ms = now
        self._was_leader = False
        self.on_state_changed: Callable[[], None] = lambda: None  # called after the state has changed

    def _write_initial_snapshot(self, initial: Membership) -> None:
        first = Snapshot(0, 0, initial)
        for _ in self.disk.write_snapshot(first, 0):
            pass
        self.disk.log.snapshot = first

    # --- What is asked of it -----------------------------------------------------------------------
    def propose(self, now: float, command: kv.Command, done: CommandCallback) -> None:
        """Have a command applied; RefusedError where this replica does not lead."""
        self._now_ms = now
        index = self.raft.propose(now, kv.encode_command(command))
        self._pending_commands[index] = self.raft.hard_state.term, done

    def read(self, now: float, done: ReadCallback) -> int:
        """Wait until the state here is as new as all acknowledged by now; RefusedError with no leader."""
        self._now_ms = now
        self._last_read_token += 1
        self.raft.request_read(now, self._last_read_token)
        self._pending_reads[self._last_read_token] = done
        return self._last_read_token

    def cancel_read(self, token: int) -> None:
        """Nobody waits for a read any more."""
        self._pending_reads.pop(token, None)
        self.raft.cancel_read(token)

    def change_membership(self, now: float, membership: Membership, done: CommandCallback) -> None:
        """Change the membership; RefusedError says why not."""
        self._now_ms = now
        index = self.raft.change_membership(now, membership)
        self._pending_commands[index] = self.raft.hard_state.term, done

    def step(self, now: float, sender: str, message: Message) -> None:
        self._now_ms = now
        self.raft.step(now, sender, message)

    def tick(self, now: float) -> None:
        self._now_ms = now
        if self.failure:
            if now >= self._disk_retry_at_ms:
                self._retry_disk()
            return
        self.raft.tick(now)
        if self.is_leader and now >= self._next_lease_check_ms:
            self._next_lease_check_ms = now + LEASE_CHECK_INTERVAL_MS
            for expire in self._lease_timers.expired(now, self.state_machine.state.leases):
                with suppress(RefusedError):  # while it hands over; the next leader counts anew
                    self.propose(now, kv.Command(expire), lambda result: None)

    @property
    def is_leader(self) -> bool:
        return self.raft.role is Role.LEADER

    @property
    def next_tick_ms(self) -> float:
        """When `tick` is due."""
        if self.failure:
            return self._disk_retry_at_ms
        due = self.raft.next_tick_ms
        return min(due, self._next_lease_check_ms) if self.is_leader else due

    @property
    def is_writing_snapshot(self) -> bool:
        """Whether a snapshot is being written: `pump` goes on with it."""
        return self._snapshot_writer is not None

    # --- Carrying it out -----------------------------------------------------------------------------
    def process_output(self) -> None:
        """Do all that is due: send, write, apply, answer. To be called after each of the above."""
        while not self.failure and (out := self.raft.take_output()):
            self._process(out)
        if self._was_leader != self.is_leader:
            self._was_leader = self.is_leader
            self._lease_timers.reset()
            if not self._was_leader:
                self._abandon_commands()
        if not self.failure:
            self._continue_snapshot()

    def _process(self, out: Output) -> None:
        for to, message in out.early_messages:
            self._send(to, message)
        try:
            if out.install_snapshot is not None:
                self._snapshot_writer = None
                self.disk.install_snapshot(out.install_snapshot)
            if out.entries or out.hard_state is not None:
                self.disk.write(out.entries, out.hard_state)
        except OSError as error:
            self._handle_disk_failure(error)
            return
        self.raft.mark_synced(self._now_ms, self.raft.log.last_index)
        for to, message in out.messages:
            self._send(to, message)
        if out.restore_snapshot is not None:
            self.state_machine.restore(out.restore_snapshot.data)
            self._bytes_since_snapshot = 0
        for entry in out.committed_entries:
            self._apply(entry)
        self._confirmed_reads += [(index, token) for token, index in out.confirmed_reads]
        for token in out.failed_reads:
            if done := self._pending_reads.pop(token, None):
                done(False)
        self._complete_reads()
        if out.restore_snapshot is not None or out.committed_entries:
            self.on_state_changed()

    def _apply(self, entry: Entry) -> None:
        self._bytes_since_snapshot += len(entry.data)
        if entry.kind is EntryKind.COMMAND:
            result = self.state_machine.apply(entry.index, entry.data)
        else:
            self.state_machine.skip_entry(entry.index)
            result = kv.Result(self.state_machine.state.revision, index=entry.index)
        term, done = self._pending_commands.pop(entry.index, (0, None))
        if done:
            done(result if term == entry.term else None)

    def _complete_reads(self) -> None:
        applied = self.state_machine.state.applied_index
        waiting = []
        for index, token in self._confirmed_reads:
            if index > applied:
                waiting.append((index, token))
            elif done := self._pending_reads.pop(token, None):
                done(True)
        self._confirmed_reads = waiting

    def _handle_disk_failure(self, error: OSError) -> None:
        """Nothing more is promised until all that was is on the disk anew."""
        self.failure = f"the disk failed: {error}"
        self._disk_retry_delay_ms = DISK_RETRY_MS[0]
        self._disk_retry_at_ms = self._now_ms + self._disk_retry_delay_ms
        self._snapshot_writer = None
        log.error("store: %s; this replica votes and acknowledges nothing until it can write", self.failure)
        self.raft.mark_disk_failed()
        self._abandon_commands()
        reads, self._pending_reads, self._confirmed_reads = self._pending_reads, {}, []
        for read in reads.values():
            read(False)

    def _retry_disk(self) -> None:
        """Write all anew, and take part again; where that fails it is tried again later."""
        try:
            self.disk.rewrite(self.raft.log, self.raft.hard_state)
        except OSError:
            self._disk_retry_delay_ms = min(DISK_RETRY_MS[1], self._disk_retry_delay_ms * 2)
            self._disk_retry_at_ms = self._now_ms + self._disk_retry_delay_ms
            return
        self.failure = ""
        log.warning("store: the disk takes writes again; this replica takes part again")
        self.raft.mark_disk_recovered(self._now_ms)
        self._apply_missed_entries()

    def _apply_missed_entries(self) -> None:
        """Apply what was committed when the disk failed, and was dropped with the rest of that turn."""
        log = self.raft.log
        if self.state_machine.state.applied_index < log.snapshot.index:
            self.state_machine.restore(log.snapshot.data)
            self._bytes_since_snapshot = 0
        for entry in log.entries_after(
            max(self.state_machine.state.applied_index, log.snapshot.index), last=self.raft.applied_index
        ):
            self._apply(entry)
        self.on_state_changed()

    def _abandon_commands(self) -> None:
        """Whether what is under way takes effect, this replica can't tell any more."""
        pending, self._pending_commands = self._pending_commands, {}
        for _, done in pending.values():
            done(None)

    # --- Compaction --------------------------------------------------------------------------------------
    def _continue_snapshot(self) -> None:
        snapshot_index = self.raft.log.snapshot.index
        if self._snapshot_writer is None:
            many = self.raft.applied_index - snapshot_index >= self._limits.snapshot_entries
            if (
                many or self._bytes_since_snapshot >= self._limits.snapshot_bytes
            ) and self.raft.applied_index > snapshot_index:
                self.start_snapshot()
            return
        try:
            next(self._snapshot_writer)
        except StopIteration:
            self._snapshot_writer = None
            self.raft.compact_log(self._snapshot)
        except OSError as error:
            self._handle_disk_failure(error)

    def start_snapshot(self) -> None:
        """Begin to write the present state; entries before the snapshot ahead of it go with its end."""
        core = self.raft
        index = core.applied_index
        term = core.log.term_at(index)
        assert term is not None and self.state_machine.state.applied_index in (index, 0)
        members, _ = core.log.membership(last=index)
        self._snapshot = Snapshot(index, term, members, self.state_machine.serialize())
        self._bytes_since_snapshot = 0
        self._snapshot_writer = self.disk.write_snapshot(self._snapshot, core.log.snapshot.index)
