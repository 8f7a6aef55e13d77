"""The state machine: keys and values with revisions, transactions, leases, client sessions, watches.

It is told committed commands in their order and answers each; the same commands give the same state and
answers on every replica. It knows no time: that a lease has run out is a command of the leader's (`Expire`).
"""

from __future__ import annotations

import bisect
from collections import deque
from dataclasses import dataclass

import msgspec

# --- Bounds: a command beyond them is refused, on every replica alike ---------------------------------
MAX_KEY_BYTES = 512
MAX_VALUE_BYTES = 1 << 20  # one document
MAX_TRANSACTION_OPERATIONS = 256  # operations and comparisons of one transaction, each
MAX_STATE_BYTES = 256 << 20  # keys and values; a snapshot is made of all of them
MAX_SESSIONS = 10_000  # the longest unused goes; its client gets `session`, never a second application
MAX_LEASES = 10_000
MAX_EVENTS = 20_000  # kept for watches that begin in the past
MAX_EVENT_BYTES = 32 << 20  # of these


class TaggedStruct(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A part of a command."""


class Put(TaggedStruct, frozen=True, tag="p"):
    """Set a key; with a lease it goes when the lease ends."""

    key: str
    value: bytes
    lease: int = 0


class Delete(TaggedStruct, frozen=True, tag="d"):
    """Remove a key; with `prefix` all that begin with it."""

    key: str
    prefix: bool = False


class Check(TaggedStruct, frozen=True, tag="c"):
    """Holds where a key was last changed by that revision; 0: where there is none."""

    key: str
    revision: int


Operation = Put | Delete


class Transaction(TaggedStruct, frozen=True, tag="T"):
    """Where all checks hold, all operations take effect together; else none."""

    checks: tuple[Check, ...] = ()
    operations: tuple[Operation, ...] = ()


class GrantLease(TaggedStruct, frozen=True, tag="g"):
    """A new lease."""

    ttl_ms: int


class RenewLease(TaggedStruct, frozen=True, tag="r"):
    """A lease begins anew."""

    lease: int


class RevokeLease(TaggedStruct, frozen=True, tag="x"):
    """A lease ends, with its keys."""

    lease: int


class ExpireLease(TaggedStruct, frozen=True, tag="e"):
    """The leader has seen a lease run out: it ends unless it was renewed meanwhile."""

    lease: int
    renewals: int


class OpenSession(TaggedStruct, frozen=True, tag="o"):
    """A new session."""


Action = Transaction | GrantLease | RenewLease | RevokeLease | ExpireLease | OpenSession


class Command(msgspec.Struct, frozen=True, array_like=True):
    """What a client asks for: `number` counts up within its session; 0 and 0 for none."""

    action: Action
    session: int = 0
    number: int = 0


class Result(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a command. `error` is empty or one of: check, session, lease, limit, old."""

    revision: int
    error: str = ""
    text: str = ""  # what was found and what is allowed
    ident: int = 0  # of a new lease or session
    index: int = 0  # of the entry that applied it


class Value(msgspec.Struct, frozen=True, array_like=True):
    """What stands under a key."""

    value: bytes
    created_revision: int  # revision
    modified_revision: int  # revision
    lease: int = 0


class Event(msgspec.Struct, frozen=True, array_like=True):
    """One change of one key."""

    revision: int
    key: str
    value: Value | None  # None: removed


class Lease(msgspec.Struct, array_like=True):
    """Keys that live as long as their holder renews it."""

    ttl_ms: int
    renewal_count: int
    keys: set[str]


class Session(msgspec.Struct, array_like=True):
    """The last command of a client and its answer, so that a repeated one is not applied again [6.3]."""

    last_number: int
    last_result: Result | None
    last_used_index: int  # index of the last command


class State(msgspec.Struct, array_like=True):
    """All that a snapshot holds."""

    revision: int = 0
    applied_index: int = 0
    size_bytes: int = 0
    values: dict[str, Value] = {}
    leases: dict[int, Lease] = {}
    sessions: dict[int, Session] = {}


class CompactedError(Exception):
    """A watch or read begins before what is kept; `oldest` is the first revision that can be asked for."""

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
    """One replica's copy of the state."""

    def __init__(self, max_state_bytes: int = MAX_STATE_BYTES) -> None:
        self.state = State(values={}, leases={}, sessions={})
        self.events: deque[Event] = deque()
        self._event_bytes = 0
        self.oldest_revision = 1  # the first revision whose events are all kept
        self._max_state_bytes = max_state_bytes
        self._keys: list[str] = []  # sorted, for prefixes

    # --- Commands ------------------------------------------------------------------------------------
    def apply(self, index: int, data: bytes) -> Result:
        """Apply one committed command, once."""
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
        """An entry that is no command was committed."""
        self.state.applied_index = index

    def _previous_result(self, command: Command, index: int) -> Result | None:
        """The answer to a command that can't be applied any more; None for a new one."""
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
        """Carry it out whole or not at all; the ident of what is new."""
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
            found = value.modified_revision if (value := values.get(check.key)) else 0
            if found != check.revision:
                raise _CommandRefusedError(
                    "check", f"{check.key}: found revision {found}, expected {check.revision}"
                )
        growth = 0
        for op in transaction.operations:
            growth += self._check_limits(op)
        if self.state.size_bytes + growth > self._max_state_bytes:
            raise _CommandRefusedError("limit", f"the store would hold over {self._max_state_bytes} bytes")
        ops = [each for op in transaction.operations for each in self._expand_prefix(op)]
        if ops:
            self._apply_operations(ops)

    def _check_limits(self, op: Operation) -> int:
        """Check one operation; the bytes by which the state may grow, at most."""
        length = len(op.key.encode())
        if length > MAX_KEY_BYTES or (not length and not (isinstance(op, Delete) and op.prefix)):
            raise _CommandRefusedError(
                "limit", f"found a key of {length} bytes; allowed: 1 to {MAX_KEY_BYTES}"
            )
        if isinstance(op, Delete):
            return 0
        if len(op.value) > MAX_VALUE_BYTES:
            raise _CommandRefusedError(
                "limit", f"{op.key}: found a value of {len(op.value)} bytes; allowed: {MAX_VALUE_BYTES}"
            )
        if op.lease:
            self._require_lease(op.lease)
        old = self.state.values.get(op.key)
        return len(op.value) - len(old.value) if old else length + len(op.value)

    def _expand_prefix(self, op: Operation) -> list[Operation]:
        if isinstance(op, Delete) and op.prefix:
            return [Delete(key) for key in self.keys_with_prefix(op.key)]
        return [op]

    def _apply_operations(self, ops: list[Operation]) -> None:
        """One revision for all operations together; a removal of what is not there changes nothing."""
        state, revision, events = self.state, self.state.revision + 1, []
        for op in ops:
            old = state.values.get(op.key)
            if isinstance(op, Put):
                new = Value(op.value, old.created_revision if old else revision, revision, op.lease)
            elif old is None:
                continue
            else:
                new = None
            self._replace_value(op.key, old, new)
            events.append(Event(revision, op.key, new))
        if events:
            state.revision = revision
            self._record_events(events)

    def _replace_value(self, key: str, old: Value | None, new: Value | None) -> None:
        state = self.state
        if old:
            state.size_bytes -= len(key.encode()) + len(old.value)
            if old.lease and (lease := state.leases.get(old.lease)):
                lease.keys.discard(key)
        if new:
            state.size_bytes += len(key.encode()) + len(new.value)
            state.values[key] = new
            if new.lease:
                state.leases[new.lease].keys.add(key)
            if not old:
                bisect.insort(self._keys, key)
        elif old:
            del state.values[key]
            del self._keys[bisect.bisect_left(self._keys, key)]

    # --- Reads and watches -----------------------------------------------------------------------------
    def keys_with_prefix(self, prefix: str) -> list[str]:
        """All keys that begin so, in their order."""
        first = bisect.bisect_left(self._keys, prefix)
        last = first
        while last < len(self._keys) and self._keys[last].startswith(prefix):
            last += 1
        return self._keys[first:last]

    def values_with_prefix(self, prefix: str) -> dict[str, Value]:
        """What stands under all keys that begin so."""
        return {key: self.state.values[key] for key in self.keys_with_prefix(prefix)}

    def _record_events(self, events: list[Event]) -> None:
        for event in events:
            self.events.append(event)
            self._event_bytes += estimated_event_bytes(event)
        while self.events and (len(self.events) > MAX_EVENTS or self._event_bytes > MAX_EVENT_BYTES):
            gone = self.events[0].revision
            while self.events and self.events[0].revision == gone:  # a transaction is told whole
                self._event_bytes -= estimated_event_bytes(self.events.popleft())
            self.oldest_revision = gone + 1

    def events_since(self, revision: int, prefix: str) -> list[Event]:
        """Changes from a revision on; CompactedError where not all are kept."""
        if revision < self.oldest_revision:
            raise CompactedError(self.oldest_revision)
        found: list[Event] = []
        for event in reversed(self.events):
            if event.revision < revision:
                break
            if event.key.startswith(prefix):
                found.append(event)
        found.reverse()
        return found

    # --- Snapshots ---------------------------------------------------------------------------------------
    def serialize(self) -> bytes:
        """All of the state."""
        return _encode(self.state)

    def restore(self, data: bytes) -> None:
        """Go over to a snapshot. Its past is not known: a watch from before it is told so."""
        self.state = _state_decoder.decode(data) if data else State(values={}, leases={}, sessions={})
        self._keys = sorted(self.state.values)
        self.events.clear()
        self._event_bytes, self.oldest_revision = 0, self.state.revision + 1


def estimated_event_bytes(event: Event) -> int:
    """Bytes that an event takes, near enough."""
    return len(event.key) + (len(event.value.value) if event.value else 0) + 64


def encode_command(command: Command) -> bytes:
    """A command as an entry's data."""
    return _encode(command)


class LeaseTimers:
    """The leader's view of leases: each may run its whole time again after a change of leader."""

    def __init__(self) -> None:
        self._first_seen: dict[int, tuple[int, float]] = {}  # lease: renewals, when they were first seen

    def reset(self) -> None:
        self._first_seen.clear()

    def expired(self, now: float, leases: dict[int, Lease]) -> list[ExpireLease]:
        """What has run out by now. To be asked at least as often as leases shall be exact."""
        for ident in self._first_seen.keys() - leases.keys():
            del self._first_seen[ident]
        found = []
        for ident, lease in leases.items():
            renewals, since = self._first_seen.get(ident, (-1, 0.0))
            if renewals != lease.renewal_count:
                self._first_seen[ident] = lease.renewal_count, now
            elif now - since >= lease.ttl_ms:
                found.append(ExpireLease(ident, lease.renewal_count))
        return found
