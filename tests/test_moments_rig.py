"""The benchmark in benchmarks/moments.py: its late policy on cases computed by hand, and its runs."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path
from types import ModuleType

import pytest


def rig() -> ModuleType:
    file = Path(__file__).parent.parent / "benchmarks" / "moments.py"
    spec = importlib.util.spec_from_file_location("moments", file)
    assert spec and spec.loader
    made = sys.modules["moments"] = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(made)
    return made


def test_a_quota_bucket_computed_by_hand() -> None:
    """At most two units, one per second: two pass at once, the third does not, one more a second later."""
    bucket = rig().QuotaBucket(1.0, 2.0)
    assert [bucket.consume(0.0) for _ in range(3)] == [True, True, False]
    assert not bucket.consume(900.0) and bucket.consume(1000.0)


def test_what_the_late_policy_sees_is_a_second_old() -> None:
    bucket = rig().QuotaBucket(1.0, 2.0)
    assert bucket.consume(5000.0) and bucket.consume(5000.0)
    assert bucket.delayed_level(5500.0) == 2.0  # the state at 4.5 s: full
    assert bucket.delayed_level(6000.0) == 0.0
    assert bucket.delayed_level(6700.0) == pytest.approx(0.7)  # the state at 5.7 s


def test_a_run_is_determined_by_its_seed() -> None:
    """The fleet's price is a fraction of the worth and not negative; a single limiter sees everything."""
    made = rig()
    first = made.measure_quota(3, 3.0, 1)
    assert first == made.measure_quota(3, 3.0, 1) != made.measure_quota(3, 3.0, 2)
    assert all(0.0 <= each <= 1.5 for each in first)
