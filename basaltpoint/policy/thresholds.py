"""The threshold search of de Waal's report BS-R9025 (Section 3, Algorithms 3.8 and 3.9)."""

from __future__ import annotations

import math

MAX_THRESHOLD = 96  # most of either threshold in the search; caps its cost (about 5 ms in CPython)

INF = math.inf


def j_sums(n: int, x: float, y: float) -> tuple[float, float, float]:
    """J1, J2, J3 of (15)-(17); their inner sums are binomial and collapse to powers of 1 - x."""
    one = two = three = 0.0
    term = 1.0 / (1.0 - x)
    for j in range(n + 1):
        one += term
        two += (j + 1) * x / (1.0 - x) * term
        three += j * term
        term *= y / (1.0 - x)
    return one, two, three


def measures_at_m1_one(rho1: float, rho2: float, m2: int) -> tuple[float, float]:
    """S1(1, m2) in mean service times and T2(1, m2) as a part of lambda2, by (28)-(31)."""
    four = five = before = 0.0
    for j in range(m2 + 1):
        before = four + five
        four += rho2**j
        five += (j + 1) * rho1 * rho2**j
    # By (14), S1 = J5 / (lambda1 J4): (30) as printed divides by J4 + J5.
    return five / (rho1 * four), before / (four + five)


def largest_m1_at_unbounded_m2(rho1: float, rho2: float, sojourn: float) -> float:
    """The largest M1 with S1(M1, inf) within bound; 0 where there is none."""
    best = 0.0
    for m1 in range(1, MAX_THRESHOLD + 1 if rho2 < 1 else 1):
        if j_sums(m1, rho2, rho1)[2] > sojourn * rho1 * j_sums(m1 - 1, rho2, rho1)[0]:
            break
        best = m1
    return best


def largest_feasible_m1(
    rows: list[float], before: list[float], rho1: float, sojourn: float, floor: float
) -> tuple[int, float, bool]:
    """(M1, T1 part, whether S1 stopped it): the largest feasible M1 for the rows' M2."""
    best, reached, slow = 0, 0.0, False
    total, below, length = rows[0], before[0], 0.0
    for m1 in range(1, len(rows)):
        admitted = total
        total += rows[m1]
        below += before[m1]
        length += m1 * rows[m1]
        slow = length > sojourn * rho1 * admitted
        if slow or below < floor * total:
            break
        best, reached = m1, admitted / total
    return best, reached, slow


def find_thresholds(rho1: float, rho2: float, sojourn: float, floor: float) -> tuple[float, float] | None:
    """The optimal (M1, M2), infinite where no cap is due; None where nothing is feasible.

    `sojourn` is S mu1, `floor` is T / lambda2: the product form knows no other units.
    """
    rho1, rho2 = max(rho1, 1e-9), max(rho2, 1e-9)
    if rho1 + rho2 < 1 and sojourn * (1 - rho1 - rho2) >= 1:
        return INF, INF
    last = largest_m1_at_unbounded_m2(rho1, rho2, sojourn)
    if floor >= 1:
        return (last, INF) if last else None
    least = next((m for m in range(MAX_THRESHOLD) if measures_at_m1_one(rho1, rho2, m)[1] >= floor), None)
    if least is None or measures_at_m1_one(rho1, rho2, least)[0] > sojourn:
        return None
    column = [rho1**m1 for m1 in range(MAX_THRESHOLD + 1)]
    rows, before = list(column), [0.0] * (MAX_THRESHOLD + 1)
    best, top = None, 0.0
    for m2 in range(MAX_THRESHOLD + 1):
        if m2:
            column = [pi * rho2 * (m1 + m2) / m2 for m1, pi in enumerate(column)]
            before, rows = rows, [a + b for a, b in zip(rows, column, strict=True)]
        if m2 < least:
            continue
        if rho1 < 1:
            one, two, _ = j_sums(m2, rho1, rho2)
            fewer = j_sums(m2 - 1, rho1, rho2)[0] if m2 else 0.0
            if two <= sojourn * rho1 * one and fewer >= floor * one:
                return INF, m2
        m1, reached, slow = largest_feasible_m1(rows, before, rho1, sojourn, floor)
        if m1 and reached > top:
            best, top = (m1, m2), reached
        # M1(m2) rises while the floor binds and falls while S1 does; only there it has settled.
        if slow and m1 <= last:
            break
    return best
