"""One replica without its sockets: Raft, state machine and disk, driven in the order that safety requires.

The code is synchronous and reads no clock; the simulator of the tests drives it as the replica process does.
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
CommandCallback = Callable[[kv.Result | None], None]  # None: the outcome is unknown
ReadCallback = Callable[[bool], None]
DISK_RETRY_MS = (200.0, 2000.0)  # first and longest delay before a failed disk is written again
LEASE_CHECK_INTERVAL_MS = 100.0  # a lease may outlive its end by this time


@dataclass(frozen=True, slots=True)
class StorageLimits:
    """Sizes of the log that trigger a snapshot, and the maximum size of the state.

    At most twice as many entries and bytes are in memory, as entries from the preceding snapshot on are kept.
    """

    snapshot_entries: int = 20_000  # since the last snapshot
    snapshot_bytes: int = 32 << 20  # of these entries
    max_state_bytes: int = kv.MAX_STATE_BYTES


class Node:
    """One replica.

    `failure` is empty, or states why the replica takes no part at present: its disk failed and is retried.
    """

    def __init__(
        self,
        name: str,
        files: Files,
        rng: random.Random,
        now: float,
        send: SendMessage,
        *,
        options: RaftOptions = RaftOptions(),  # noqa: B008 - immutable
        limits: StorageLimits = StorageLimits(),
        initial: Membership | None = None,
        may_be_stale: bool = False,
        crash_point: CrashPoint = no_crash_point,
    ) -> None:
        """`initial`: the membership of a new cluster, used on an empty disk; `now` is in ms.

        Raises CorruptionError or OSError from the disk.
        """
        self.name, self._send, self._limits = name, send, limits
        self.disk = Disk(files, crash_point)
        if initial and not self.disk.log.last_index and not self.disk.log.snapshot.membership.members:
            self._write_initial_snapshot(initial)
        self.state_machine = kv.StoreStateMachine(limits.max_state_bytes)
        self.state_machine.restore(self.disk.log.snapshot.data)
        self.raft = Raft(name, options, rng, now, self.disk.hard_state, self.disk.log, may_be_stale)
        self.failure = ""
        self._disk_retry_at_ms = self._disk_retry_delay_ms = 0.0
        self._now_ms = now
        self._pending_commands: dict[int, tuple[int, CommandCallback]] = {}  # index -> term, callback
        self._pending_reads: dict[int, ReadCallback] = {}  # token -> callback
        self._confirmed_reads: list[tuple[int, int]] = []  # read index, token
        self._last_read_token = 0
        self._snapshot_writer: Iterator[None] | None = None
        self._snapshot = Snapshot()
        self._bytes_since_snapshot = 0  # bytes of entries
        self._lease_timers = kv.LeaseTimers()
        self._next_lease_check_ms = now
        self._was_leader = False
        self.on_state_changed: Callable[[], None] = lambda: None  # called after a change of the state

    def _write_initial_snapshot(self, initial: Membership) -> None:
        first = Snapshot(0, 0, initial)
        for _ in self.disk.write_snapshot(first, 0):
            pass
        self.disk.log.snapshot = first

    # --- Requests ----------------------------------------------------------------------------------
    def propose(self, now: float, command: kv.Command, done: CommandCallback) -> None:
        """Proposes a command; `done` receives its result.

        RefusedError where this replica is not the leader.
        """
        self._now_ms = now
        index = self.raft.propose(now, kv.encode_command(command))
        self._pending_commands[index] = self.raft.hard_state.term, done

    def read(self, now: float, done: ReadCallback) -> int:
        """Starts a linearizable read and returns its token.

        `done` is called with True once the local state includes everything acknowledged before the call, with
        False if that can't be determined. RefusedError where no leader is known.
        """
        self._now_ms = now
        self._last_read_token += 1
        self.raft.request_read(now, self._last_read_token)
        self._pending_reads[self._last_read_token] = done
        return self._last_read_token

    def cancel_read(self, token: int) -> None:
        """Forgets a read that nobody waits for."""
        self._pending_reads.pop(token, None)
        self.raft.cancel_read(token)

    def change_membership(self, now: float, membership: Membership, done: CommandCallback) -> None:
        """Proposes a membership change; RefusedError states the obstacle."""
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
                with suppress(RefusedError):  # a leadership transfer; the next leader starts its own timers
                    self.propose(now, kv.Command(expire), lambda result: None)

    @property
    def is_leader(self) -> bool:
        return self.raft.role is Role.LEADER

    @property
    def next_tick_ms(self) -> float:
        """Time in ms at which `tick` is due."""
        if self.failure:
            return self._disk_retry_at_ms
        due = self.raft.next_tick_ms
        return min(due, self._next_lease_check_ms) if self.is_leader else due

    @property
    def is_writing_snapshot(self) -> bool:
        """Whether a snapshot is being written; each `process_output` writes the next slice."""
        return self._snapshot_writer is not None

    # --- Processing ----------------------------------------------------------------------------------
    def process_output(self) -> None:
        """Sends, writes, applies and completes all that is due. To be called after each method above."""
        while not self.failure and (output := self.raft.take_output()):
            self._process(output)
        if self._was_leader != self.is_leader:
            self._was_leader = self.is_leader
            self._lease_timers.reset()
            if not self._was_leader:
                self._abandon_commands()
        if not self.failure:
            self._continue_snapshot()

    def _process(self, output: Output) -> None:
        for receiver, message in output.early_messages:
            self._send(receiver, message)
        try:
            if output.install_snapshot is not None:
                self._snapshot_writer = None
                self.disk.install_snapshot(output.install_snapshot)
            if output.entries or output.hard_state is not None:
                self.disk.write(output.entries, output.hard_state)
        except OSError as error:
            self._handle_disk_failure(error)
            return
        self.raft.mark_synced(self._now_ms, self.raft.log.last_index)
        for receiver, message in output.messages:
            self._send(receiver, message)
        if output.restore_snapshot is not None:
            self.state_machine.restore(output.restore_snapshot.data)
            self._bytes_since_snapshot = 0
        for entry in output.committed_entries:
            self._apply(entry)
        self._confirmed_reads += [(index, token) for token, index in output.confirmed_reads]
        for token in output.failed_reads:
            if done := self._pending_reads.pop(token, None):
                done(False)
        self._complete_reads()
        if output.restore_snapshot is not None or output.committed_entries:
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
        """Stops voting and acknowledging until log and hard state are written to the disk again."""
        self.failure = f"the disk failed: {error}"
        self._disk_retry_delay_ms = DISK_RETRY_MS[0]
        self._disk_retry_at_ms = self._now_ms + self._disk_retry_delay_ms
        self._snapshot_writer = None
        log.error("store: %s; this replica neither votes nor acknowledges until it can write", self.failure)
        self.raft.mark_disk_failed()
        self._abandon_commands()
        reads, self._pending_reads, self._confirmed_reads = self._pending_reads, {}, []
        for read in reads.values():
            read(False)

    def _retry_disk(self) -> None:
        """Writes log and hard state to the disk again and resumes; retries later if that fails."""
        try:
            self.disk.rewrite(self.raft.log, self.raft.hard_state)
        except OSError:
            self._disk_retry_delay_ms = min(DISK_RETRY_MS[1], self._disk_retry_delay_ms * 2)
            self._disk_retry_at_ms = self._now_ms + self._disk_retry_delay_ms
            return
        self.failure = ""
        log.warning("store: the disk accepts writes again; this replica takes part again")
        self.raft.mark_disk_recovered(self._now_ms)
        self._apply_missed_entries()

    def _apply_missed_entries(self) -> None:
        """Applies committed entries from the output that the disk failure left unprocessed."""
        raft_log = self.raft.log
        if self.state_machine.state.applied_index < raft_log.snapshot.index:
            self.state_machine.restore(raft_log.snapshot.data)
            self._bytes_since_snapshot = 0
        for entry in raft_log.entries_after(
            max(self.state_machine.state.applied_index, raft_log.snapshot.index), last=self.raft.applied_index
        ):
            self._apply(entry)
        self.on_state_changed()

    def _abandon_commands(self) -> None:
        """Reports an unknown outcome for all pending commands."""
        pending, self._pending_commands = self._pending_commands, {}
        for _, done in pending.values():
            done(None)

    # --- Compaction --------------------------------------------------------------------------------------
    def _continue_snapshot(self) -> None:
        snapshot_index = self.raft.log.snapshot.index
        if self._snapshot_writer is None:
            many_entries = self.raft.applied_index - snapshot_index >= self._limits.snapshot_entries
            if (
                many_entries or self._bytes_since_snapshot >= self._limits.snapshot_bytes
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
        """Starts to write a snapshot of the current state.

        Once it is written, entries before the preceding snapshot are dropped.
        """
        raft = self.raft
        index = raft.applied_index
        term = raft.log.term_at(index)
        assert term is not None and self.state_machine.state.applied_index in (index, 0)
        membership, _ = raft.log.membership(last=index)
        self._snapshot = Snapshot(index, term, membership, self.state_machine.serialize())
        self._bytes_since_snapshot = 0
        self._snapshot_writer = self.disk.write_snapshot(self._snapshot, raft.log.snapshot.index)
