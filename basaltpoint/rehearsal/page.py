"""Renders a rehearsal as an HTML page: the views of all members over time, the faults and the findings."""

from __future__ import annotations

from typing import Any

from jinja2 import Environment

from basaltpoint.rehearsal.scenario import Rehearsal

COLOURS = {
    "joining": "#9ecae1",
    "alive": "#74c476",
    "suspect": "#fdae6b",
    "dead": "#de2d26",
    "left": "#969696",
}
CHART_WIDTH, ROW_HEIGHT, HEADER_HEIGHT, LABEL_WIDTH, REQUEST_CHART_HEIGHT = 1000, 12, 24, 110, 120  # pixels

TEMPLATE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>Rehearsal {{ name }}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:1200px}td,th{padding:2px 10px;text-align:left}
svg text{font:10px sans-serif}.band{fill:#000;opacity:.12}.k{display:inline-block;width:1em;height:1em}</style>
<h1>{{ name }}: {{ "held" if result.held else "not held" }}</h1>
<p>{% for state, colour in colours.items() %}<span class="k" style="background:{{ colour }}"></span> {{ state }}
{% endfor %}; shaded: a fault. Each block is one member; each of its rows is the view of another member.</p>
<svg width="{{ width + left }}" height="{{ height }}" role="img" aria-label="views over time">
{% for lane in lanes %}<text x="0" y="{{ lane.y + row - 3 }}">{{ lane.text }}</text>
{% for at, wide, colour, what in lane.parts %}<rect x="{{ left + at }}" y="{{ lane.y }}" width="{{ wide }}"
 height="{{ row - 2 }}" fill="{{ colour }}"><title>{{ lane.text }}: {{ what }}</title></rect>{% endfor %}
{% endfor %}
{% for at, wide, what in bands %}<rect class="band" x="{{ left + at }}" y="0" width="{{ wide }}"
 height="{{ height }}"><title>{{ what }}</title></rect><text x="{{ left + at }}" y="{{ 8 + loop.index0 % 3 * 7 }}">{{ what }}</text>
{% endfor %}</svg>
<h2>Found</h2>{% if not result.findings %}<p>No violations.</p>{% else %}
<table><tr><th>s</th><th>what</th><th>members</th><th>expected</th></tr>{% for f in result.findings %}
<tr><td>{{ "%.1f"|format(f.at_s) }}</td><td>{{ f.kind }}</td><td>{{ f.members|join(" ") }}</td><td>{{ f.expected }}</td></tr>
{% endfor %}</table>{% endif %}
<h2>Members</h2><table><tr><th>ended</th><th>at, s</th><th>first detected after, s</th><th>last detected after, s</th></tr>
{% for k in result.members.detected_s %}<tr><td>{{ k.name }}</td><td>{{ "%.1f"|format(k.at_s) }}</td>
<td>{{ "%.2f"|format(k.by.values()|min) if k.by else "-" }}</td>
<td>{{ "%.2f"|format(k.by.values()|max) if k.by else "-" }}</td></tr>{% endfor %}</table>
<p>Agreed after the last fault: {{ "never" if result.members.agreed_s is none else
"%.1f s"|format(result.members.agreed_s) }}. Changes of a view that declared a running member dead: {{ result.members.wrong_deaths }}.</p>
<h2>Requests</h2>{% if seconds %}<p>By second: requests due (outline), of them answered (filled), attempts at
servers (line).</p><svg width="{{ width + left }}" height="{{ tall + 16 }}" role="img" aria-label="requests a second">
<text x="0" y="10">{{ top }} a second</text>
{% for x, wide, asked, answered, second in seconds %}<rect x="{{ left + x }}" y="{{ tall - asked }}" width="{{ wide }}"
 height="{{ asked }}" fill="none" stroke="#636363"></rect><rect x="{{ left + x }}" y="{{ tall - answered }}"
 width="{{ wide }}" height="{{ answered }}" fill="#9ecae1"><title>{{ second }}</title></rect>
{% endfor %}<polyline points="{{ line }}" fill="none" stroke="#de2d26"></polyline>
{% for at, wide, what in bands %}<rect class="band" x="{{ left + at }}" y="0" width="{{ wide }}" height="{{ tall }}"><title>{{
what }}</title></rect>{% endfor %}</svg>{% endif %}<p>{% for k, v in result.requests.items() %}{{ k }} {{ v }}. {% endfor %}</p>
{% if result.store %}<h2>Store</h2><p>Longest write {{ "%.2f"|format(result.store.write_s) }} s, read
{{ "%.2f"|format(result.store.read_s) }} s, watch event {{ "%.2f"|format(result.store.watch_s) }} s. Attempts after a
drain took effect: {{ result.store.late_sends }}.</p>{% endif %}
{% if result.limits %}<h2>Quotas</h2><table><tr><th>account</th><th>allowed</th><th>sent</th><th>over</th></tr>
{% for n, l in result.limits.items() %}<tr><td>{{ n }}</td><td>{{ "%.0f"|format(l.allowed) }}</td><td>{{ l.sent }}</td>
<td>{{ "%.0f"|format(l.over) }}</td></tr>{% endfor %}</table>{% endif %}</html>
"""


def render_page(name: str, rehearsal: Rehearsal, result: dict[str, Any]) -> str:
    """Returns a self-contained HTML page. Jinja2 escapes the names of members and files."""
    seconds = max([rehearsal.fleet.seconds, *(row[0] for row in result["views"])])
    pixels_per_s = CHART_WIDTH / seconds
    pairs = sorted(
        {(row[2], row[1]) for row in result["views"]},
        key=lambda pair: (_name_sort_key(pair[0]), _name_sort_key(pair[1])),
    )
    lanes = []
    for at, (member, observer) in enumerate(pairs):
        rows = [row for row in result["views"] if (row[2], row[1]) == (member, observer)]
        ends = [row[0] for row in rows[1:]] + [seconds]
        parts = [
            (
                max(0.0, row[0]) * pixels_per_s,
                max(0.5, (end - max(0.0, row[0])) * pixels_per_s),
                COLOURS[row[3]],
                f"{row[3]} from {row[0]:.2f} s",
            )
            for row, end in zip(rows, ends, strict=True)
            if end > 0
        ]
        lanes.append(
            {"y": HEADER_HEIGHT + at * ROW_HEIGHT, "text": f"{member} seen by {observer}", "parts": parts}
        )
    bands = [
        (at * pixels_per_s, max(2.0, (end - at) * pixels_per_s), what) for at, end, what in result["faults"]
    ]
    rows = result.get("per_second") or []
    top = max((max(row[1:]) for row in rows), default=0)
    pixels_per_request = REQUEST_CHART_HEIGHT / max(1, top)
    columns = [
        (
            at * pixels_per_s,
            pixels_per_s,
            asked * pixels_per_request,
            answered * pixels_per_request,
            f"{at} s: {asked} requests, {answered} answered, {sent} attempts",
        )
        for at, asked, answered, sent in rows
    ]
    line = " ".join(
        f"{LABEL_WIDTH + (row[0] + 0.5) * pixels_per_s:.1f},{REQUEST_CHART_HEIGHT - row[3] * pixels_per_request:.1f}"
        for row in rows
    )
    environment = Environment(autoescape=True)
    return environment.from_string(TEMPLATE).render(
        name=name, result=result, lanes=lanes, bands=bands, colours=COLOURS, seconds=columns, top=top, line=line, tall=REQUEST_CHART_HEIGHT,
        width=CHART_WIDTH, left=LABEL_WIDTH, row=ROW_HEIGHT, height=HEADER_HEIGHT + len(lanes) * ROW_HEIGHT,
    )  # fmt: skip


def _name_sort_key(name: str) -> tuple[int, str]:
    return len(name), name
