"""The simulator's protocol and adapter: legal frames are decoded, errors name the fault of the others."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from basaltpoint import interface as api
from basaltpoint.config.settings import SettingsError, parse_settings
from basaltpoint.sim import wire
from basaltpoint.sim.adapter import SimulatorAdapter, read_frame

SETTINGS = {
    "balancers": 3,
    "me": 1,
    "services": [
        {"aimMs": 1200.0, "hardLimitMs": 5000.0, "effect": "idempotent", "lateWorth": 0.0, "windowMs": 5000.0}
    ],
    "contracts": [{"rate": 2.0, "mostAtOnce": 6.0}],
    "guarantees": {
        "coldFrom": 0.2,
        "coldMs": 10000.0,
        "tipMultiple": 2.0,
        "fallMs": 1000.0,
        "drainGraceMs": 250.0,
    },
    "ceilings": {"maxAttempts": 3, "unheardOf": 1},
}
SERVER_ENTRY = bytes.fromhex("03124a07 0000 00 0000 01 3f800000 0000000000000000".replace(" ", ""))
TARGET = bytes.fromhex("0b00000003")


def start_instance() -> bytes:
    text = json.dumps(SETTINGS).encode()
    return bytes([0]) + struct.pack(">QI", 7, len(text)) + text


def server_list() -> bytes:
    return bytes([1]) + struct.pack(">BQI", 3, 41, 1) + SERVER_ENTRY


def frame(*records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack(">IdI", len(body), 8384.25, len(records)) + body


def test_the_documented_batch() -> None:
    raw = bytes.fromhex(
        "0b00000003 020007e3055d3a91c4000001000000003f8000004000000040c0e6200000000040400000"
        "91f03b7c55d20a64 060000004d 0b00000005 0500041ce00e6f2b19".replace(" ", "")
    )
    records = wire.decode_batch(5, raw)
    assert [instance for instance, _ in records] == [3, 3, 5]
    arrival = records[0][1]
    assert isinstance(arrival, api.Arrival)
    assert arrival.request == 0x7E3055D3A91C4 and arrival.units == 2.0
    assert records[1][1] == api.TimerFired(0x4D)
    assert records[2][1] == api.Abandoned(0x41CE00E6F2B19)


def test_the_documented_outcome() -> None:
    raw = bytes.fromhex(
        "0b00000003 040007e3055d3a91c40003124a0700c84032800000000000010056000300".replace(" ", "")
    )
    ((_, outcome),) = wire.decode_batch(2, raw)
    assert isinstance(outcome, api.Outcome)
    assert outcome.status is api.Status.OK and outcome.usage == 85 and outcome.units == 3 and outcome.closed


def test_the_documented_actions() -> None:
    frame_bytes = wire.encode_reply(
        [
            (3, [api.Send(0x7E3055D3A91C4, 0x03124A07, 8492.0), api.SetTimer(500.0, 0x4D)]),
            (4, []),
            (5, [api.Log("two servers known")]),
        ]
    )
    expected_hex = (
        "00000040 0900000003 010007e3055d3a91c403124a0740c0960000000000 00407f4000000000000000004d"
        "0900000005 0a001174776f2073657276657273206b6e6f776e"
    )
    assert frame_bytes[:5] == bytes.fromhex(expected_hex.replace(" ", ""))[:5]
    assert struct.unpack(">I", frame_bytes[:4])[0] == len(frame_bytes) - 4
    assert b"two servers known" in frame_bytes


ACTIONS = [
    api.Cancel(1, 0),
    api.Refuse(1, 5.0),
    api.Fail(1),
    api.Probe(2),
    api.Subscribe(),
    api.FetchList(),
    api.CloseIdle(2),
    api.Tell(None, b"hi"),
    api.CounterAdd(3, 4.0, 3000.0),
]


@pytest.mark.parametrize("action", ACTIONS, ids=lambda a: type(a).__name__)
def test_every_action_is_framed(action: api.Action) -> None:
    frame_bytes = wire.encode_reply([(0, [action])])
    assert struct.unpack(">I", frame_bytes[:4])[0] == len(frame_bytes) - 4 > 5


@pytest.mark.parametrize(
    ("count", "body", "words"),
    [
        (1, b"\x63", "unknown record code 99"),
        (1, b"\x06\x00", "before any"),
        (2, TARGET + b"\x06\x00", "cut short"),
        (1, TARGET + b"\x00", "left after"),
        (2, TARGET + bytes([7]) + struct.pack(">dHIB", 1.0, 999, 1, 0), "outcome code 999"),
    ],
)
def test_faults_of_frames_are_named(count: int, body: bytes, words: str) -> None:
    with pytest.raises(wire.WireError, match=words):
        wire.decode_batch(count, body)


def test_settings_defaults_and_missing_keys() -> None:
    parsed = parse_settings(json.dumps(SETTINGS).encode())
    assert parsed.meter_period_ms == 0 and not parsed.may_probe and parsed.plans[0].max_parallel == 0
    for path, name in (("me", "me"), ("guarantees", "guarantees")):
        raw = {key: value for key, value in SETTINGS.items() if key != path}
        with pytest.raises(SettingsError, match=name):
            parse_settings(json.dumps(raw).encode())
    with pytest.raises(SettingsError, match="not JSON"):
        parse_settings(b"{")


def test_a_repeated_start_resets_the_instance_and_an_empty_batch_is_answered() -> None:
    adapter = SimulatorAdapter()
    for records in (
        [TARGET, start_instance(), server_list()],
        [],
        [TARGET, b"\x09", start_instance(), server_list()],
    ):
        read = read_frame(io.BytesIO(frame(*records)))
        assert read is not None
        reply = adapter.reply(*read)
        assert struct.unpack(">I", reply[:4])[0] == len(reply) - 4


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "basaltpoint.sim"], input=data, capture_output=True, check=False
    )


def test_the_loop_ends_cleanly_with_its_input() -> None:
    result = run_adapter(frame() + frame(TARGET, start_instance(), server_list()))
    assert result.returncode == 0 and result.stdout.startswith(b"\0\0\0\0") and not result.stderr


@pytest.mark.parametrize("data", [b"\0\0", frame(TARGET, start_instance())[:-3], frame(TARGET, b"\x63")])
def test_the_loop_names_a_bad_frame_on_standard_error(data: bytes) -> None:
    result = run_adapter(data)
    assert result.returncode != 0 and result.stdout == b""
    assert result.stderr.count(b"\n") == 1 and b"frame 0" in result.stderr


def test_an_exception_becomes_an_internal_error(monkeypatch: pytest.MonkeyPatch) -> None:
    adapter = SimulatorAdapter()
    adapter.reply(0.0, 3, TARGET + start_instance() + server_list())
    monkeypatch.setattr(adapter._modules[3], "handle", lambda now, event: 1 / 0)
    assert b"ZeroDivisionError" in adapter.reply(1.0, 2, TARGET + b"\x06\x00\x00\x00\x01")
