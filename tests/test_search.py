"""The threshold search, compared with the paper's Table 1 and a brute force over the product form."""

from __future__ import annotations

import math
import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

import pytest

from basaltpoint.policy.thresholds import MAX_THRESHOLD, find_thresholds, j_sums, measures_at_m1_one

TABLE_1 = [(0.80, 32, 5), (0.85, 23, 5), (0.90, 20, 5), (1.00, 18, 5), (1.20, 16, 5), (1.50, 15, 5)]


@pytest.mark.parametrize(("lambda1", "m1", "m2"), TABLE_1)
def test_table_1(lambda1: float, m1: int, m2: int) -> None:
    assert find_thresholds(lambda1, 0.3, 20.0, 0.2 / 0.3) == (m1, m2)


def measures(rho1: float, rho2: float, m1: int, m2: int) -> tuple[float, float, float]:
    """Returns T1/lambda1, S1 mu1 and T2/lambda2, summed directly from (4) to (8)."""
    weights = {(a, b): math.comb(a + b, a) * rho1**a * rho2**b for a in range(m1 + 1) for b in range(m2 + 1)}
    total = sum(weights.values())
    throughput_1 = sum(w for (a, _), w in weights.items() if a < m1) / total
    throughput_2 = sum(w for (_, b), w in weights.items() if b < m2) / total
    length = sum(a * w for (a, _), w in weights.items()) / total
    return throughput_1, (length / (rho1 * throughput_1) if throughput_1 else math.inf), throughput_2


@pytest.mark.parametrize("rho1", [0.2, 0.7, 1.1, 1.6])
@pytest.mark.parametrize("rho2", [0.1, 0.5, 1.2])
@pytest.mark.parametrize("sojourn", [2.0, 4.0])
@pytest.mark.parametrize("floor", [0.3, 0.6, 0.9])
def test_brute_force(rho1: float, rho2: float, sojourn: float, floor: float) -> None:
    found = find_thresholds(rho1, rho2, sojourn, floor)
    best = 0.0
    for m1 in range(1, 22):
        for m2 in range(22):
            throughput_1, sojourn_1, throughput_2 = measures(rho1, rho2, m1, m2)
            if sojourn_1 <= sojourn and throughput_2 >= floor:
                best = max(best, throughput_1)
    if found is None:
        assert best == 0.0
        return
    finite = [int(min(m, 60)) for m in found]
    throughput_1, sojourn_1, throughput_2 = measures(rho1, rho2, *finite)
    assert throughput_1 >= best - 1e-9
    assert sojourn_1 <= sojourn + 1e-6 and throughput_2 >= floor - 1e-6


def test_light_load_has_no_cap() -> None:
    assert find_thresholds(0.2, 0.2, 2.0, 0.9) == (math.inf, math.inf)


def test_a_floor_of_one_leaves_lane_two_uncapped_or_is_infeasible() -> None:
    found = find_thresholds(0.8, 0.3, 4.0, 1.0)
    assert found is not None and found[1] == math.inf and found[0] < math.inf
    assert find_thresholds(0.8, 1.3, 4.0, 1.0) is None


def test_j_sums_equal_the_infinite_sums() -> None:
    rho1, rho2, n = 0.5, 0.3, 4
    terms = [(i, j, math.comb(i + j, i) * rho1**i * rho2**j) for i in range(300) for j in range(n + 1)]
    expected = (
        sum(t for _, _, t in terms),
        sum(i * t for i, _, t in terms),
        sum(j * t for _, j, t in terms),
    )
    assert j_sums(n, rho1, rho2) == pytest.approx(expected)


def test_measures_at_m1_one_agree_with_the_product_form() -> None:
    _, sojourn_1, throughput_2 = measures(0.7, 0.4, 1, 3)
    assert measures_at_m1_one(0.7, 0.4, 3) == pytest.approx((sojourn_1, throughput_2))


def test_cost_is_bounded() -> None:
    """The cost is counted in lines run, which does not depend on the host's speed."""
    lines = 0

    def count(frame: FrameType, event: str, arg: object) -> Callable[..., Any]:
        nonlocal lines
        lines += event == "line"
        return count

    before = sys.gettrace()
    sys.settrace(count)
    try:
        for rho in (0.5, 0.99, 1.5, 4.0):
            find_thresholds(rho, rho, MAX_THRESHOLD * 4.0, 0.5)
    finally:
        sys.settrace(before)
    assert 0 < lines < 400_000
