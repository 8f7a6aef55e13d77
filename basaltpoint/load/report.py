"""Reports of a run: a text table, plain data for JSON, and a self-contained HTML page."""

from __future__ import annotations

import html
import json
from collections import Counter
from typing import Any

from basaltpoint.load.driver import Outcome
from basaltpoint.load.stats import Stats, percentiles_ms

WORST_INTERVAL_S = 10
OUTCOMES = [end.value for end in Outcome]


def summary(stats: Stats, scenario: str) -> dict[str, Any]:
    """Returns all contents of a report as plain data."""
    total: Counter[str] = Counter()
    for ends in stats.outcomes.values():
        total.update(ends)
    return {
        "scenario": scenario,
        "total": _outcome_figures(total),
        "by": {
            f"{plan}/{cls}": _outcome_figures(ends) for (plan, cls), ends in sorted(stats.outcomes.items())
        },
        "latency_ms": {
            name or "all": percentiles_ms(histogram) for name, histogram in sorted(stats.latency.items())
        },
        "sound_ms": percentiles_ms(stats.sound),
        "service_ms": percentiles_ms(stats.service),
        "lateness_ms": percentiles_ms(stats.lateness),
        "sends": stats.sends,
        "unsound_sends": stats.unsound_sends,
        "worst": worst_interval(stats),
        "spells": [{"from_s": s.from_s, "to_s": s.to_s, "why": s.reason} for s in stats.unsound_intervals],
        "odd": {"count": stats.anomaly_count, "first": [list(pair) for pair in stats.anomalies]},
        "seconds": [_second(stats, at) for at in sorted(stats.seconds)],
        "percentiles": percentiles(stats),
    }


def _outcome_figures(ends: Counter[str]) -> dict[str, Any]:
    asked = sum(ends[name] for name in OUTCOMES)
    return {
        "asked": asked,
        **{name: ends[name] for name in OUTCOMES},
        "in_time": ends["served"] / asked if asked else 0.0,
        "answers_per_request": ends["answers"] / asked if asked else 0.0,
        "tries": ends["tries"],
        "unsound": ends["unsound"],
    }


def _second(stats: Stats, at: int) -> dict[str, Any]:
    second = stats.seconds[at]
    return {
        "at": at,
        **{name: second.outcomes[name] for name in OUTCOMES},
        "p50_ms": second.quantile_ms(0.5),
        "p99_ms": second.quantile_ms(0.99),
        "max_ms": second.max_us / 1000,
    }


def worst_interval(stats: Stats) -> dict[str, Any]:
    """Returns the ten consecutive seconds with the smallest fraction of requests served in time."""
    if not stats.seconds:
        return {}
    found: tuple[float, int, int] | None = None
    first, last = min(stats.seconds), max(stats.seconds)
    for start in range(first, max(first, last - WORST_INTERVAL_S + 1) + 1):
        rows = [
            stats.seconds[at].outcomes for at in range(start, start + WORST_INTERVAL_S) if at in stats.seconds
        ]
        asked = sum(row[name] for row in rows for name in OUTCOMES)
        if asked:
            part = sum(row["served"] for row in rows) / asked
            found = min(found, (part, start, asked)) if found else (part, start, asked)
    assert found
    return {"from_s": found[1], "in_time": found[0], "asked": found[2]}


def percentiles(stats: Stats) -> list[list[float]]:
    """Returns latencies in ms by percentile, with denser percentiles towards the maximum."""
    one = stats.latency.get("")
    if one is None:
        return []
    points = [0.0, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.75, 99.9, 99.95, 99.99, 100.0]
    return [[point, one.get_value_at_percentile(point) / 1000] for point in points]


# --- As text -----------------------------------------------------------------------------------------
def text(summary: dict[str, Any]) -> str:
    """Returns the summary as text for a terminal."""
    head = ["", "asked", *OUTCOMES, "in time", "answers", "p50 ms", "p99 ms", "p99.9"]
    rows = [[name, *_cells(row, summary["latency_ms"].get(name, {}))] for name, row in summary["by"].items()]
    rows.append(["all", *_cells(summary["total"], summary["latency_ms"].get("all", {}))])
    widths = [max(len(line[at]) for line in [head, *rows]) for at in range(len(head))]
    lines = [
        "  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True))
        for line in [head, *rows]
    ]
    lines.append("")
    if summary["worst"]:
        lines.append(
            f"worst {WORST_INTERVAL_S} s: {summary['worst']['in_time']:.1%} in time, "
            f"from {summary['worst']['from_s']} s on"
        )
    late = summary["lateness_ms"]
    if late:
        lines.append(
            f"sent late by p50 {late['p50']:.2f}, p99 {late['p99']:.2f}, maximum {late['max']:.1f} ms"
        )
    for spell in summary["spells"]:
        lines.append(f"DOESN'T COUNT: {spell['from_s']:.3f} to {spell['to_s']:.3f} s, {spell['why']}")
    if summary["spells"]:
        lines.append(f"of requests outside these spells: {_latency_text(summary['sound_ms'])}")
    if summary["odd"]["count"]:
        lines.append(f"{summary['odd']['count']} to be looked at, the first:")
        lines += [f"  {ident}: {what}" for ident, what in summary["odd"]["first"][:5]]
    return "\n".join(lines)


def _cells(row: dict[str, Any], latency: dict[str, float]) -> list[str]:
    figures = [f"{latency[name]:.1f}" if name in latency else "-" for name in ("p50", "p99", "p99.9")]
    counts = [str(row["asked"]), *(str(row[name]) for name in OUTCOMES)]
    return [*counts, f"{row['in_time']:.1%}", f"{row['answers_per_request']:.2f}", *figures]


def _latency_text(latency: dict[str, float]) -> str:
    return ", ".join(f"{name} {value:.1f} ms" for name, value in latency.items()) or "none"


# --- As a page -----------------------------------------------------------------------------------------
PLOT_WIDTH, PLOT_HEIGHT, PLOT_MARGIN = 900, 260, 50
COLOURS = {"p50_ms": "#2a7", "p99_ms": "#c70", "max_ms": "#c33"}
PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{title}</title>
<style>body{{font:14px/1.5 system-ui,sans-serif;max-width:960px;margin:2em auto;color:#222}}
table{{border-collapse:collapse}}td,th{{padding:2px 8px;text-align:right;border-bottom:1px solid #ddd}}
td:first-child,th:first-child{{text-align:left}}svg{{width:100%;height:auto;border:1px solid #ddd}}
pre{{overflow:auto}}</style>
<h1>{title}</h1>{spells}{table}
<h2>Latency over time</h2><p>From the intended start, by its second: median (green), p99 (orange),
maximum (red). Grey intervals don't count.</p>{over_time}
<h2>Latency by percentile</h2>{by_percentile}
<h2>All figures</h2><pre>{figures}</pre></html>
"""


def page(summary: dict[str, Any]) -> str:
    """Returns the report as a self-contained HTML page."""
    spells = "".join(
        f"<p><b>Doesn't count: {s['from_s']:.3f} to {s['to_s']:.3f} s</b>, {html.escape(s['why'])}</p>"
        for s in summary["spells"]
    )
    figures = {key: value for key, value in summary.items() if key not in ("seconds", "percentiles")}
    return PAGE_TEMPLATE.format(
        title=html.escape(summary["scenario"]),
        spells=spells,
        table=_table(summary),
        over_time=_latency_over_time_plot(summary),
        by_percentile=_percentile_plot(summary),
        figures=html.escape(json.dumps(figures, indent=1)),
    )


def _table(summary: dict[str, Any]) -> str:
    head = ["", "asked", *OUTCOMES, "in time", "answers", "p50 ms", "p99 ms", "p99.9 ms"]
    rows = [[name, *_cells(row, summary["latency_ms"].get(name, {}))] for name, row in summary["by"].items()]
    rows.append(["all", *_cells(summary["total"], summary["latency_ms"].get("all", {}))])
    cells = ["<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>" for row in rows]
    return (
        "<table><tr>" + "".join(f"<th>{name}</th>" for name in head) + "</tr>" + "".join(cells) + "</table>"
    )


def _latency_over_time_plot(summary: dict[str, Any]) -> str:
    rows = summary["seconds"]
    if not rows:
        return "<p>No requests were sent.</p>"
    end = max(row["at"] for row in rows) + 1
    max_ms = max((row["max_ms"] for row in rows), default=0.0) or 1.0

    def x(at: float) -> float:
        return float(PLOT_MARGIN + (PLOT_WIDTH - PLOT_MARGIN - 10) * at / end)

    def y(value: float) -> float:
        return float(PLOT_HEIGHT - 30 - (PLOT_HEIGHT - 50) * value / max_ms)

    parts = [
        f'<rect x="{x(s["from_s"]):.1f}" y="10" width="{max(1.0, x(s["to_s"]) - x(s["from_s"])):.1f}" '
        f'height="{PLOT_HEIGHT - 40}" fill="#ccc"/>'
        for s in summary["spells"]
    ]
    for name, colour in COLOURS.items():
        points = " ".join(f"{x(r['at'] + 0.5):.1f},{y(r[name]):.1f}" for r in rows if r[name] is not None)
        parts.append(f'<polyline points="{points}" fill="none" stroke="{colour}"/>')
    return _svg(parts, "0 s", f"{end} s", f"{max_ms:.0f} ms")


def _percentile_plot(summary: dict[str, Any]) -> str:
    rows = summary["percentiles"]
    if not rows:
        return "<p>No responses were received.</p>"
    max_ms = max(value for _, value in rows) or 1.0
    step = (PLOT_WIDTH - PLOT_MARGIN - 10) / (len(rows) - 1)
    points, labels = [], []
    for at, (point, value) in enumerate(rows):
        x, y = PLOT_MARGIN + at * step, PLOT_HEIGHT - 30 - (PLOT_HEIGHT - 50) * value / max_ms
        points.append(f"{x:.1f},{y:.1f}")
        labels.append(
            f'<text x="{x:.1f}" y="{PLOT_HEIGHT - 14}" font-size="9" text-anchor="middle">{point:g}</text>'
        )
    line = f'<polyline points="{" ".join(points)}" fill="none" stroke="#27c"/>'
    return _svg([line, *labels], "", "", f"{max_ms:.0f} ms")


def _svg(parts: list[str], left: str, right: str, top: str) -> str:
    texts = [
        f'<text x="{PLOT_MARGIN}" y="{PLOT_HEIGHT - 14}" font-size="11">{left}</text>',
        f'<text x="{PLOT_WIDTH - 10}" y="{PLOT_HEIGHT - 14}" font-size="11" text-anchor="end">{right}</text>',
        f'<text x="{PLOT_MARGIN - 4}" y="20" font-size="11" text-anchor="end">{top}</text>',
    ]
    return f'<svg viewBox="0 0 {PLOT_WIDTH} {PLOT_HEIGHT}">{"".join([*parts, *texts])}</svg>'
