"""Evenness of one or several runs as one HTML page without references to anything outside it."""

from __future__ import annotations

import matplotlib.pyplot as plt
import msgspec
import numpy as np
from jinja2 import Environment, select_autoescape

from hallhitch.lab.evenness import MOMENT, Nodes, Sends, evenness, heat, in_work
from hallhitch.lab.journal import Event
from hallhitch.lab.report import STYLE, encode_chart

HEAT_MOST = 4.0  # requests by a node of one core's ability that are shown as the darkest
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


def _map(events: list[Event]) -> str:
    names, moments, work = heat(events)
    figure, axes = plt.subplots(figsize=(12, max(1.5, min(9.0, 0.09 * len(names)))))
    colours = plt.get_cmap("YlOrRd").copy()
    colours.set_bad("#ccc")
    axes.imshow(
        work,
        aspect="auto",
        interpolation="nearest",
        vmin=0.0,
        vmax=HEAT_MOST,
        cmap=colours,
        extent=(0.0, float(moments[-1]) / 1000, len(names) - 0.5, -0.5),
    )
    axes.set(xlabel="s", ylabel="node")
    return encode_chart(figure)


def _distributions(runs: dict[str, list[Event]]) -> str:
    """How much a node holds at a moment, run by run: how often at least so much."""
    figure, axes = plt.subplots(figsize=(12, 3.6))
    for name, events in runs.items():
        nodes = Nodes(events)
        moments = np.arange(MOMENT / 2, max(MOMENT, float(events[-1][0])), MOMENT)
        able = nodes.ability(moments)
        held = (in_work(Sends(events), nodes, moments)[able > 0] / able[able > 0]).clip(max=3 * HEAT_MOST)
        if held.size:
            levels = np.linspace(0.0, 3 * HEAT_MOST, 100)
            axes.plot(levels, [(held >= level).mean() for level in levels], label=name, linewidth=1.2)
    axes.set(
        xlabel="requests in work for a core's ability", ylabel="share of nodes and moments, at least", yscale="log"
    )
    axes.legend(fontsize=8)
    return encode_chart(figure)


def page(runs: dict[str, list[Event]]) -> str:
    """The page, for runs by name."""
    rows, maps, names = [], [], list[str]()
    for name, events in runs.items():
        found = evenness(events)
        plain = msgspec.to_builtins(found)
        arrivals = plain.pop("arrivals")
        names = list(plain)
        rows.append({"name": name, "cells": [f"{value:.4g}" for value in plain.values()]})
        maps.append({"name": name, "chart": _map(events), "arrivals": arrivals})
    return PAGE.render(names=names, rows=rows, maps=maps, spread=_distributions(runs), style=STYLE)
