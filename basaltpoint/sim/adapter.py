"""Serves decision modules to the simulator over standard input and output."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from basaltpoint import interface as api
from basaltpoint.policy import DecisionModule
from basaltpoint.sim import wire


class SimulatorAdapter:
    """One decision module for each simulated instance; the modules share no state."""

    def __init__(self) -> None:
        self._modules: dict[int, DecisionModule] = {}

    def reply(self, now: float, record_count: int, body: bytes) -> bytes:
        """Handles a batch of `record_count` records at `now` (ms); returns the reply or fault frame.

        Raises WireError for a batch that the protocol does not allow.
        """
        records = wire.decode_batch(record_count, body)
        groups: list[tuple[int, list[api.Action]]] = []
        for instance, record in records:
            if not groups or groups[-1][0] != instance:
                groups.append((instance, []))
            try:
                groups[-1][1].extend(self._handle(instance, now, record))
            except wire.WireError:
                raise
            except Exception as error:
                traceback.print_exc()
                cause = traceback.extract_tb(error.__traceback__)[-1]
                where = f"{cause.filename.rsplit('/', 1)[-1]}:{cause.lineno}"
                return wire.encode_fault(instance, f"{type(error).__name__}: {error} ({where})")
        return wire.encode_reply(groups)

    def _handle(self, instance: int, now: float, record: wire.Record) -> list[api.Action]:
        if isinstance(record, wire.InstanceStarted):
            self._modules[instance] = DecisionModule(record.settings, record.seed)
            return []
        if isinstance(record, wire.InstanceStopped):
            self._modules.pop(instance, None)
            return []
        if instance not in self._modules:
            raise wire.WireError(f"event for instance {instance}, which has not been started")
        return self._modules[instance].handle(now, record)


def read_frame(stream: BinaryIO) -> tuple[float, int, bytes] | None:
    """Returns time (ms), record count and records of the next batch; None at the end of the input.

    Raises WireError if the input ends inside a frame.
    """
    head = stream.read(wire.BATCH_HEAD.size)
    if not head:
        return None
    if len(head) < wire.BATCH_HEAD.size:
        raise wire.WireError(f"input ends inside a header, after {len(head)} bytes")
    size, now, count = wire.BATCH_HEAD.unpack(head)
    body = stream.read(size)
    if len(body) < size:
        raise wire.WireError(f"input ends inside a frame, after {len(body)} of {size} bytes")
    return now, count, body


def main() -> int:
    adapter, source, sink = SimulatorAdapter(), sys.stdin.buffer, sys.stdout.buffer
    frame_number = 0
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(adapter.reply(*frame))
            sink.flush()
            frame_number += 1
    except wire.WireError as error:
        print(f"basaltpoint.sim: frame {frame_number}: {error}", file=sys.stderr)
        return 2
    return 0
