"""Detection times and costs of membership in the model.

Usage: `python benchmarks/peers.py kills|load SIZE [--minutes M]`.

Compares the shipped state machine with the same under random probing, with SWIM without Lifeguard, and with
heartbeats of all to all that declare a member dead after the same silence.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import statistics
import time
from collections.abc import Sequence
from typing import Any

from basaltpoint.peers import actions as act
from basaltpoint.peers import messages as m
from basaltpoint.peers.messages import MemberRecord, MemberState
from basaltpoint.peers.options import MembershipOptions
from basaltpoint.peers.state_machine import MembershipStateMachine
from basaltpoint.rehearsal import checks
from basaltpoint.rehearsal.faults import Fault, FaultKind
from basaltpoint.rehearsal.model import FleetModel

WARM_UP_S = 20.0


class AllToAllHeartbeats(MembershipStateMachine):
    """Heartbeats of all to all in each period; a member is dead after silence alone."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._heartbeat_at_ms = self._now_ms

    @property
    def next_timer_ms(self) -> float:
        return self._heartbeat_at_ms

    def tick(self, now: float) -> None:
        self._now_ms = now
        if self.state is MemberState.JOINING:
            self._update_own_record(now, MemberState.ALIVE)
        self._heartbeat_at_ms = now + self.options.probe_ms
        names = dict.fromkeys([*self.view.other_members(), *(name for name, _ in self.seeds)])
        # Members are discovered from all records, sent only in the first 10 s; there is no list of members.
        records = self.view.records if now - self.started_ms < 10_000.0 else (self._own_record,)
        for name in names:
            self._actions.append(act.Send(name, name, m.Gossip(records)))
        timeout_ms = self.options.silent_ms * max(1.0, math.log10(len(self.view.ring)))
        for name, known in list(self.view.members.items()):
            if (
                name != self.name
                and known.record.is_live
                and now - max(known.last_heard_ms, known.state_since_ms) > timeout_ms
            ):
                self._set_state(now, known.record, MemberState.DEAD)

    def _set_state(self, now: float, row: MemberRecord, state: MemberState) -> None:
        row = MemberRecord(row.name, row.address, row.incarnation, state, row.instance_id)
        self.view.put(now, row)
        self._actions.append(act.MemberChanged(None, row))

    def message_received(self, now: float, sender: str, address: str, message: m.Message) -> None:
        self._now_ms = now
        for record in message.records:
            current = self.view.get(record.name)
            if current is None or not current.is_live or current.incarnation < record.incarnation:
                self._set_state(now, record, record.state)
            if record.name == sender or current is None:
                self.view.members[record.name].last_heard_ms = now

    def connection_lost(self, now: float, name: str) -> None:
        self._now_ms = now

    member_connected = connection_refused = connection_lost


VARIANTS: dict[str, tuple[type[MembershipStateMachine], dict[str, Any]]] = {
    "shipped": (MembershipStateMachine, {}),
    "random": (MembershipStateMachine, {"probe_on_ring": False}),
    "swim": (MembershipStateMachine, {"probe_on_ring": False, "lifeguard": False}),
    "all to all": (AllToAllHeartbeats, {}),
}


def model(kind: str, size: int, faults: Sequence[Fault], seed: int) -> FleetModel:
    state_machine, options = VARIANTS[kind]
    names = [f"l{at + 1}" for at in range(size)]
    return FleetModel(names, MembershipOptions(**options), faults, seed, make_state_machine=state_machine)


def quantile(values: Sequence[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else math.nan


def kills(kind: str, size: int, runs: int) -> dict[str, Any]:
    """One kill per run: when the first and last member detected it; idle bytes and messages per second."""
    first, last, sent, messages, missing = [], [], [], [], 0
    for seed in range(runs):
        victim = f"l{size}"
        made = model(kind, size, [Fault(FaultKind.KILL, WARM_UP_S, math.inf, members=(victim,))], seed)
        made.run_until(WARM_UP_S - 5)
        before = [(n.sent_bytes, n.sent_messages.total()) for n in made.nodes.values()]
        made.run_until(WARM_UP_S - 0.001)
        after = [(n.sent_bytes, n.sent_messages.total()) for n in made.nodes.values()]
        sent.append(max(b[0] - a[0] for a, b in zip(before, after, strict=True)) / 5)
        messages.append(statistics.mean(b[1] - a[1] for a, b in zip(before, after, strict=True)) / 5)
        made.run_until(WARM_UP_S + 40)
        (kill,) = checks.find_crashes(made.lifetimes, made.observations, made.now_s)
        missing += len(kill.undetected_by)
        if kill.detected_s:
            first.append(min(kill.detected_s.values()))
            last.append(max(kill.detected_s.values()))
    return {
        "kind": kind, "size": size, "plays": runs, "missing": missing,
        "first_p50": quantile(first, 0.5), "first_p99": quantile(first, 0.99),
        "last_p50": quantile(last, 0.5), "last_p99": quantile(last, 0.99),
        "most_bytes_s": statistics.mean(sent), "messages_s": statistics.mean(messages),
    }  # fmt: skip


def load(kind: str, size: int, minutes: float, seed: int, loss: float, pauses: bool) -> dict[str, Any]:
    """Counts wrong death verdicts under message loss, with a fifth paused for up to 5 s in each minute."""
    rng = random.Random(seed)
    names = tuple(f"l{at + 1}" for at in range(size))
    end = WARM_UP_S + minutes * 60
    faults = [Fault(FaultKind.DROP, WARM_UP_S, end, sources=names, targets=names, fraction=loss)]
    for minute in range(int(minutes) if pauses else 0):
        for name in rng.sample(names, max(1, size // 5)):
            at = WARM_UP_S + 60 * minute + rng.uniform(0, 50)
            faults.append(Fault(FaultKind.PAUSE, at, at + rng.uniform(0.5, 5.0), members=(name,)))
    made = model(kind, size, faults, seed)
    made.run_until(WARM_UP_S)
    before, began = sum(n.sent_bytes for n in made.nodes.values()), time.process_time()
    made.run_until(end)
    spent = time.process_time() - began
    wrong = checks.find_wrong_deaths(made.lifetimes, made.observations)
    return {
        "kind": kind, "size": size, "minutes": minutes, "loss": loss, "pauses": pauses, "seed": seed,
        "wrong_views": len(wrong), "wrong_members": len({finding.members[1] for finding in wrong}),
        "suspected": sum(saw.state == "suspect" for saw in made.observations if saw.at_s > WARM_UP_S),
        "bytes_s": (sum(n.sent_bytes for n in made.nodes.values()) - before) / size / (end - WARM_UP_S),
        "cpu_part": spent / size / (end - WARM_UP_S),
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["kills", "load"])
    parser.add_argument("size", type=int)
    parser.add_argument("--kind", choices=sorted(VARIANTS), action="append")
    parser.add_argument("--plays", type=int, default=20)
    parser.add_argument("--minutes", type=float, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.1)
    args = parser.parse_args()
    for kind in args.kind or VARIANTS:
        if args.what == "kills":
            print(json.dumps(kills(kind, args.size, args.plays)), flush=True)
        else:
            print(json.dumps(load(kind, args.size, args.minutes, args.seed, args.loss, True)), flush=True)


if __name__ == "__main__":
    main()
