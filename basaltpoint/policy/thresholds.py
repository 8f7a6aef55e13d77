"""The threshold search of de Waal's report BS-R9025 (Section 3, Algorithms 3.8 and 3.9).

Symbols and equation numbers are those of the report: M1 and M2 are the thresholds of the lanes, S1 the mean
sojourn time in lane one, T1 and T2 the throughputs, rho1 and rho2 the loads.
"""

from __future__ import annotations

import math

MAX_THRESHOLD = 96  # of either lane in the search; bounds its cost to about 5 ms in CPython

INF = math.inf


def j_sums(n: int, x: float, y: float) -> tuple[float, float, float]:
    """Returns J1, J2 and J3 of (15)-(17); their inner sums are binomial, so they are powers of 1 - x."""
    j1 = j2 = j3 = 0.0
    term = 1.0 / (1.0 - x)
    for j in range(n + 1):
        j1 += term
        j2 += (j + 1) * x / (1.0 - x) * term
        j3 += j * term
        term *= y / (1.0 - x)
    return j1, j2, j3


def measures_at_m1_one(rho1: float, rho2: float, m2: int) -> tuple[float, float]:
    """Returns S1(1, m2) in mean service times and T2(1, m2) as a fraction of lambda2, by (28)-(31)."""
    j4 = j5 = previous = 0.0
    for j in range(m2 + 1):
        previous = j4 + j5
        j4 += rho2**j
        j5 += (j + 1) * rho1 * rho2**j
    # By (14), S1 = J5 / (lambda1 J4); (30) as printed divides by J4 + J5 instead.
    return j5 / (rho1 * j4), previous / (j4 + j5)


def largest_m1_at_unbounded_m2(rho1: float, rho2: float, sojourn: float) -> float:
    """Returns the largest M1 for which S1(M1, inf) is within its bound; 0 if there is none."""
    best = 0.0
    for m1 in range(1, MAX_THRESHOLD + 1 if rho2 < 1 else 1):
        if j_sums(m1, rho2, rho1)[2] > sojourn * rho1 * j_sums(m1 - 1, rho2, rho1)[0]:
            break
        best = m1
    return best


def largest_feasible_m1(
    rows: list[float], previous: list[float], rho1: float, sojourn: float, floor: float
) -> tuple[int, float, bool]:
    """Returns the largest feasible M1 for the M2 of `rows`, T1 as a fraction, and whether S1 limited it.

    `rows` and `previous` are the weights by M1 of all states up to this M2 and up to M2 - 1.
    """
    best, throughput, s1_exceeded = 0, 0.0, False
    total, below, length = rows[0], previous[0], 0.0
    for m1 in range(1, len(rows)):
        admitted = total
        total += rows[m1]
        below += previous[m1]
        length += m1 * rows[m1]
        s1_exceeded = length > sojourn * rho1 * admitted
        if s1_exceeded or below < floor * total:
            break
        best, throughput = m1, admitted / total
    return best, throughput, s1_exceeded


def find_thresholds(rho1: float, rho2: float, sojourn: float, floor: float) -> tuple[float, float] | None:
    """Returns the optimal (M1, M2), infinite where no cap is needed; None if no pair is feasible.

    `sojourn` is S mu1 and `floor` is T / lambda2, both without unit, as the product form requires.
    """
    rho1, rho2 = max(rho1, 1e-9), max(rho2, 1e-9)
    if rho1 + rho2 < 1 and sojourn * (1 - rho1 - rho2) >= 1:
        return INF, INF
    limit_m1 = largest_m1_at_unbounded_m2(rho1, rho2, sojourn)
    if floor >= 1:
        return (limit_m1, INF) if limit_m1 else None
    min_m2 = next((m for m in range(MAX_THRESHOLD) if measures_at_m1_one(rho1, rho2, m)[1] >= floor), None)
    if min_m2 is None or measures_at_m1_one(rho1, rho2, min_m2)[0] > sojourn:
        return None
    column = [rho1**m1 for m1 in range(MAX_THRESHOLD + 1)]
    rows, previous = list(column), [0.0] * (MAX_THRESHOLD + 1)
    best, best_throughput = None, 0.0
    for m2 in range(MAX_THRESHOLD + 1):
        if m2:
            column = [pi * rho2 * (m1 + m2) / m2 for m1, pi in enumerate(column)]
            previous, rows = rows, [a + b for a, b in zip(rows, column, strict=True)]
        if m2 < min_m2:
            continue
        if rho1 < 1:
            j1, j2, _ = j_sums(m2, rho1, rho2)
            j1_below = j_sums(m2 - 1, rho1, rho2)[0] if m2 else 0.0
            if j2 <= sojourn * rho1 * j1 and j1_below >= floor * j1:
                return INF, m2
        m1, throughput, s1_exceeded = largest_feasible_m1(rows, previous, rho1, sojourn, floor)
        if m1 and throughput > best_throughput:
            best, best_throughput = (m1, m2), throughput
        # M1(m2) rises while the floor limits it and falls while S1 does; only then has it converged.
        if s1_exceeded and m1 <= limit_m1:
            break
    return best
