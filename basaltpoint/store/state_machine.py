"""The replicated state machine: keys and values with revisions, transactions, leases, sessions and watches.

It applies committed commands in log order and returns a result for each; the same commands give the same
state and results on every replica. It reads no clock: the leader proposes a command when a lease expires
(`ExpireLease`).
"""

from __future__ import annotations

import bisect
from collections import deque
from dataclasses import dataclass

import msgspec

# --- Limits: all replicas refuse a command that exceeds them ------------------------------------------
MAX_KEY_BYTES = 512
MAX_VALUE_BYTES = 1 << 20
MAX_TRANSACTION_OPERATIONS = 256  # applies to operations and to checks, each
MAX_STATE_BYTES = 256 << 20  # keys and values; a snapshot contains all of them
MAX_SESSIONS = 10_000  # beyond it the least recently used session ends; its client gets the error `session`
MAX_LEASES = 10_000
MAX_EVENTS = 20_000  # kept for watches that start at a past revision
MAX_EVENT_BYTES = 32 << 20  # of the kept events


class TaggedStruct(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of the tagged parts of a command."""


class Put(TaggedStruct, frozen=True, tag="p"):
    """Sets a key; with a lease, the key is removed when the lease ends."""

    key: str
    value: bytes
    lease: int = 0


class Delete(TaggedStruct, frozen=True, tag="d"):
    """Removes a key; with `prefix`, all keys that start with `key`."""

    key: str
    prefix: bool = False


class Check(TaggedStruct, frozen=True, tag="c"):
    """Condition: the key was last modified at `revision`; 0: the key does not exist."""

    key: str
    revision: int


Operation = Put | Delete


class Transaction(TaggedStruct, frozen=True, tag="T"):
    """Applies all operations atomically if all checks hold, else none."""

    checks: tuple[Check, ...] = ()
    operations: tuple[Operation, ...] = ()


class GrantLease(TaggedStruct, frozen=True, tag="g"):
    """Creates a lease."""

    ttl_ms: int


class RenewLease(TaggedStruct, frozen=True, tag="r"):
    """Restarts the time to live of a lease."""

    lease: int


class RevokeLease(TaggedStruct, frozen=True, tag="x"):
    """Ends a lease and removes its keys."""

    lease: int


class ExpireLease(TaggedStruct, frozen=True, tag="e"):
    """Ends a lease that expired at the leader, unless its renewal count has changed since."""

    lease: int
    renewals: int


class OpenSession(TaggedStruct, frozen=True, tag="o"):
    """Opens a session."""


Action = Transaction | GrantLease | RenewLease | RevokeLease | ExpireLease | OpenSession


class Command(msgspec.Struct, frozen=True, array_like=True):
    """A client's command. `number` increases within a session; both are 0 for a command without a session."""

    action: Action
    session: int = 0
    number: int = 0


class Result(msgspec.Struct, frozen=True, array_like=True):
    """The result of a command. `error` is empty or one of: check, session, lease, limit, old."""

    revision: int
    error: str = ""
    text: str = ""  # explains the error: what was found and what is allowed
    ident: int = 0  # of the created lease or session
    index: int = 0  # log index of the command


class Value(msgspec.Struct, frozen=True, array_like=True):
    """A key's value and its revisions."""

    value: bytes
    created_revision: int
    modified_revision: int
    lease: int = 0  # 0: none


class Event(msgspec.Struct, frozen=True, array_like=True):
    """One change of one key."""

    revision: int
    key: str
    value: Value | None  # None: removed


class Lease(msgspec.Struct, array_like=True):
    """A lease and the keys that are removed when it ends."""

    ttl_ms: int
    renewal_count: int
    keys: set[str]


class Session(msgspec.Struct, array_like=True):
    """The last command of a client and its result, so that a retry is not applied twice (Ongaro 6.3)."""

    last_number: int
    last_result: Result | None
    last_used_index: int  # log index of the last command


class State(msgspec.Struct, array_like=True):
    """The complete state, as a snapshot holds it."""

    revision: int = 0
    applied_index: int = 0
    size_bytes: int = 0
    values: dict[str, Value] = {}
    leases: dict[int, Lease] = {}
    sessions: dict[int, Session] = {}


class CompactedError(Exception):
    """The requested events are no longer kept; `oldest_revision` is the first revision available."""

    def __init__(self, oldest_revision: int) -> None:
        self.oldest_revision = oldest_revision
        super().__init__(f"compacted: the oldest revision kept is {oldest_revision}")


_command_decoder = msgspec.msgpack.Decoder(Command)
_state_decoder = msgspec.msgpack.Decoder(State)
_encode = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class _CommandRefusedError(Exception):
    error: str
    text: str


class StoreStateMachine:
    """The state of one replica, with the recent events."""

    def __init__(self, max_state_bytes: int = MAX_STATE_BYTES) -> None:
        self.state = State(values={}, leases={}, sessions={})
        self.events: deque[Event] = deque()
        self._event_bytes = 0
        self.oldest_revision = 1  # first revision whose events are all kept
        self._max_state_bytes = max_state_bytes
        self._keys: list[str] = []  # sorted, for prefix queries

    # --- Commands ------------------------------------------------------------------------------------
    def apply(self, index: int, data: bytes) -> Result:
        """Applies a committed command; `index` is its log index and must increase."""
        assert index > self.state.applied_index, "a command was applied twice or out of order"
        self.state.applied_index = index
        command = _command_decoder.decode(data)
        if command.session and (known := self._previous_result(command, index)) is not None:
            return known
        try:
            ident = self._execute(command.action, index)
            result = Result(self.state.revision, ident=ident, index=index)
        except _CommandRefusedError as refusal:
            result = Result(self.state.revision, refusal.error, refusal.text, index=index)
        if command.session:
            self.state.sessions[command.session] = Session(command.number, result, index)
        return result

    def skip_entry(self, index: int) -> None:
        """Records the index of a committed entry that is no command."""
        self.state.applied_index = index

    def _previous_result(self, command: Command, index: int) -> Result | None:
        """Returns the result of a repeated command or of one that must not be applied; None for a new one."""
        session = self.state.sessions.get(command.session)
        if session is None:
            text = f"session {command.session} has ended; whether its last command took effect is not known"
            return Result(self.state.revision, "session", text, index=index)
        if command.number == session.last_number and session.last_result is not None:
            return session.last_result
        if command.number <= session.last_number:
            text = f"command {command.number} of the session; {session.last_number} was applied already"
            return Result(self.state.revision, "old", text, index=index)
        return None

    def _execute(self, action: Action, index: int) -> int:
        """Executes an action completely or not at all. Returns the ident of a new lease or session, or 0."""
        match action:
            case Transaction():
                self._execute_transaction(action)
            case GrantLease():
                if len(self.state.leases) >= MAX_LEASES:
                    raise _CommandRefusedError("limit", f"{MAX_LEASES} leases are held; no more are allowed")
                if action.ttl_ms < 1:
                    raise _CommandRefusedError(
                        "limit", f"found a lease of {action.ttl_ms} ms; 1 ms at least is allowed"
                    )
                self.state.leases[index] = Lease(action.ttl_ms, 0, set())
                return index
            case RenewLease():
                self._require_lease(action.lease).renewal_count += 1
            case RevokeLease():
                self._end_lease(action.lease, self._require_lease(action.lease))
            case ExpireLease():
                lease = self._require_lease(action.lease)
                if lease.renewal_count == action.renewals:
                    self._end_lease(action.lease, lease)
            case OpenSession():
                sessions = self.state.sessions
                if len(sessions) >= MAX_SESSIONS:
                    del sessions[min(sessions, key=lambda ident: (sessions[ident].last_used_index, ident))]
                sessions[index] = Session(0, None, index)
                return index
        return 0

    def _require_lease(self, ident: int) -> Lease:
        if (lease := self.state.leases.get(ident)) is None:
            raise _CommandRefusedError("lease", f"lease {ident} has ended")
        return lease

    def _end_lease(self, ident: int, lease: Lease) -> None:
        if lease.keys:
            self._apply_operations([Delete(key) for key in sorted(lease.keys)])
        del self.state.leases[ident]

    def _execute_transaction(self, transaction: Transaction) -> None:
        if (
            len(transaction.operations) > MAX_TRANSACTION_OPERATIONS
            or len(transaction.checks) > MAX_TRANSACTION_OPERATIONS
        ):
            raise _CommandRefusedError(
                "limit",
                f"found {len(transaction.operations)} operations, {len(transaction.checks)} checks; "
                f"allowed: {MAX_TRANSACTION_OPERATIONS} each",
            )
        values = self.state.values
        for check in transaction.checks:
            found_revision = value.modified_revision if (value := values.get(check.key)) else 0
            if found_revision != check.revision:
                raise _CommandRefusedError(
                    "check", f"{check.key}: found revision {found_revision}, expected {check.revision}"
                )
        growth = 0
        for operation in transaction.operations:
            growth += self._check_limits(operation)
        if self.state.size_bytes + growth > self._max_state_bytes:
            raise _CommandRefusedError("limit", f"the store would hold over {self._max_state_bytes} bytes")
        expanded = [each for op in transaction.operations for each in self._expand_prefix(op)]
        if expanded:
            self._apply_operations(expanded)

    def _check_limits(self, operation: Operation) -> int:
        """Checks the limits of one operation and returns by how many bytes it may grow the state at most."""
        key_bytes = len(operation.key.encode())
        if key_bytes > MAX_KEY_BYTES or (
            not key_bytes and not (isinstance(operation, Delete) and operation.prefix)
        ):
            raise _CommandRefusedError(
                "limit", f"found a key of {key_bytes} bytes; allowed: 1 to {MAX_KEY_BYTES}"
            )
        if isinstance(operation, Delete):
            return 0
        if len(operation.value) > MAX_VALUE_BYTES:
            raise _CommandRefusedError(
                "limit",
                f"{operation.key}: found a value of {len(operation.value)} bytes; allowed: {MAX_VALUE_BYTES}",
            )
        if operation.lease:
            self._require_lease(operation.lease)
        previous = self.state.values.get(operation.key)
        return len(operation.value) - len(previous.value) if previous else key_bytes + len(operation.value)

    def _expand_prefix(self, operation: Operation) -> list[Operation]:
        if isinstance(operation, Delete) and operation.prefix:
            return [Delete(key) for key in self.keys_with_prefix(operation.key)]
        return [operation]

    def _apply_operations(self, operations: list[Operation]) -> None:
        """Applies operations under one new revision; removing a missing key changes nothing."""
        state, revision, events = self.state, self.state.revision + 1, []
        for operation in operations:
            previous = state.values.get(operation.key)
            if isinstance(operation, Put):
                new = Value(
                    operation.value,
                    previous.created_revision if previous else revision,
                    revision,
                    operation.lease,
                )
            elif previous is None:
                continue
            else:
                new = None
            self._replace_value(operation.key, previous, new)
            events.append(Event(revision, operation.key, new))
        if events:
            state.revision = revision
            self._record_events(events)

    def _replace_value(self, key: str, previous: Value | None, new: Value | None) -> None:
        state = self.state
        if previous:
            state.size_bytes -= len(key.encode()) + len(previous.value)
            if previous.lease and (lease := state.leases.get(previous.lease)):
                lease.keys.discard(key)
        if new:
            state.size_bytes += len(key.encode()) + len(new.value)
            state.values[key] = new
            if new.lease:
                state.leases[new.lease].keys.add(key)
            if not previous:
                bisect.insort(self._keys, key)
        elif previous:
            del state.values[key]
            del self._keys[bisect.bisect_left(self._keys, key)]

    # --- Reads and watches -----------------------------------------------------------------------------
    def keys_with_prefix(self, prefix: str) -> list[str]:
        """Returns all keys with a prefix, sorted."""
        first = bisect.bisect_left(self._keys, prefix)
        last = first
        while last < len(self._keys) and self._keys[last].startswith(prefix):
            last += 1
        return self._keys[first:last]

    def values_with_prefix(self, prefix: str) -> dict[str, Value]:
        """Returns the values of all keys with a prefix."""
        return {key: self.state.values[key] for key in self.keys_with_prefix(prefix)}

    def _record_events(self, events: list[Event]) -> None:
        for event in events:
            self.events.append(event)
            self._event_bytes += estimated_event_bytes(event)
        while self.events and (len(self.events) > MAX_EVENTS or self._event_bytes > MAX_EVENT_BYTES):
            dropped_revision = self.events[0].revision
            while self.events and self.events[0].revision == dropped_revision:  # drops whole transactions
                self._event_bytes -= estimated_event_bytes(self.events.popleft())
            self.oldest_revision = dropped_revision + 1

    def events_since(self, revision: int, prefix: str) -> list[Event]:
        """Returns the events from a revision on; CompactedError if some of them are no longer kept."""
        if revision < self.oldest_revision:
            raise CompactedError(self.oldest_revision)
        events: list[Event] = []
        for event in reversed(self.events):
            if event.revision < revision:
                break
            if event.key.startswith(prefix):
                events.append(event)
        events.reverse()
        return events

    # --- Snapshots ---------------------------------------------------------------------------------------
    def serialize(self) -> bytes:
        """Returns the state as the data of a snapshot."""
        return _encode(self.state)

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot.

        Earlier events are unknown, so older watches are compacted.
        """
        self.state = _state_decoder.decode(data) if data else State(values={}, leases={}, sessions={})
        self._keys = sorted(self.state.values)
        self.events.clear()
        self._event_bytes, self.oldest_revision = 0, self.state.revision + 1


def estimated_event_bytes(event: Event) -> int:
    """Estimated memory of an event, in bytes."""
    return len(event.key) + (len(event.value.value) if event.value else 0) + 64


def encode_command(command: Command) -> bytes:
    """Encodes a command as the data of a log entry."""
    return _encode(command)


class LeaseTimers:
    """Lease timers of the leader. A new leader starts every lease's full time to live again."""

    def __init__(self) -> None:
        self._first_seen: dict[int, tuple[int, float]] = {}  # lease -> renewal count, time first seen in ms

    def reset(self) -> None:
        self._first_seen.clear()

    def expired(self, now: float, leases: dict[int, Lease]) -> list[ExpireLease]:
        """Returns commands for the leases that expired by `now` (ms).

        The interval between calls bounds how late an expiry is noticed.
        """
        for ident in self._first_seen.keys() - leases.keys():
            del self._first_seen[ident]
        commands = []
        for ident, lease in leases.items():
            renewal_count, first_seen_ms = self._first_seen.get(ident, (-1, 0.0))
            if renewal_count != lease.renewal_count:
                self._first_seen[ident] = lease.renewal_count, now
            elif now - first_seen_ms >= lease.ttl_ms:
                commands.append(ExpireLease(ident, lease.renewal_count))
        return commands
