"""Renders the evenness of one or several runs as a self-contained HTML file."""

from __future__ import annotations

import matplotlib.pyplot as plt
import msgspec
import numpy as np
from jinja2 import Environment, select_autoescape

from hallhitch.lab.evenness import MOMENT_MS, measure_evenness
from hallhitch.lab.journal import Event
from hallhitch.lab.node_load import NodeTimeline, RequestTable, count_held, make_heat_map
from hallhitch.lab.report import STYLE, encode_chart

DARKEST_LOAD = 4.0  # requests held per core of capacity, shown in the darkest colour
PAGE = Environment(autoescape=select_autoescape(default=True)).from_string("""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Evenness</title><style>{{ style }}</style></head><body>
<h1>Evenness</h1>
<table><tr><th>run</th>{% for name in names %}<th>{{ name }}</th>{% endfor %}</tr>
{% for row in rows %}<tr><td>{{ row.name }}</td>{% for cell in row.cells %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}</table>
<h2>Requests in work, by what a node can do</h2>
<img alt="distribution by run" src="data:image/png;base64,{{ spread }}">
{% for run in maps %}<h2>{{ run.name }}</h2>
<p>A line a node, in the order of their coming; dark is much work, white is none, grey is not up.</p>
<img alt="heat map" src="data:image/png;base64,{{ run.chart }}">
{% if run.arrivals %}<table><tr><th>came</th><th>half of its gateways after, ms</th><th>at once</th>
<th>at its part after, ms</th></tr>{% for a in run.arrivals %}
<tr><td>{{ a.node }}</td><td>{{ "%.0f"|format(a.met) }}</td>
<td>{{ "%.2f"|format(a.rush) }}</td><td>{{ "%.0f"|format(a.fair) }}</td></tr>{% endfor %}</table>{% endif %}
{% endfor %}</body></html>
""")


def _draw_heat_map(events: list[Event]) -> str:
    heat_map = make_heat_map(events)
    node_count = len(heat_map.names)
    figure, axes = plt.subplots(figsize=(12, max(1.5, min(9.0, 0.09 * node_count))))
    colours = plt.get_cmap("YlOrRd").copy()
    colours.set_bad("#ccc")
    axes.imshow(
        heat_map.values,
        aspect="auto",
        interpolation="nearest",
        vmin=0.0,
        vmax=DARKEST_LOAD,
        cmap=colours,
        extent=(0.0, float(heat_map.moments[-1]) / 1000, node_count - 0.5, -0.5),
    )
    axes.set(xlabel="s", ylabel="node")
    return encode_chart(figure)


def _draw_distributions(runs: dict[str, list[Event]]) -> str:
    """Draw the complementary distribution of the load of nodes, one line per run."""
    figure, axes = plt.subplots(figsize=(12, 3.6))
    for name, events in runs.items():
        nodes = NodeTimeline(events)
        moments = np.arange(MOMENT_MS / 2, max(MOMENT_MS, float(events[-1][0])), MOMENT_MS)
        capacity = nodes.capacity(moments)
        is_up = capacity > 0
        held = count_held(RequestTable(events), nodes, moments)
        loads = (held[is_up] / capacity[is_up]).clip(max=3 * DARKEST_LOAD)
        if loads.size:
            levels = np.linspace(0.0, 3 * DARKEST_LOAD, 100)
            axes.plot(levels, [(loads >= level).mean() for level in levels], label=name, linewidth=1.2)
    axes.set(
        xlabel="requests in work for a core's ability", ylabel="share of nodes and moments, at least", yscale="log"
    )
    axes.legend(fontsize=8)
    return encode_chart(figure)


def render_page(runs: dict[str, list[Event]]) -> str:
    """Render the page; `runs` maps names to journals."""
    rows, maps, names = [], [], list[str]()
    for name, events in runs.items():
        plain = msgspec.to_builtins(measure_evenness(events))
        arrivals = plain.pop("arrivals")
        names = list(plain)
        rows.append({"name": name, "cells": [f"{value:.4g}" for value in plain.values()]})
        maps.append({"name": name, "chart": _draw_heat_map(events), "arrivals": arrivals})
    return PAGE.render(names=names, rows=rows, maps=maps, spread=_draw_distributions(runs), style=STYLE)
