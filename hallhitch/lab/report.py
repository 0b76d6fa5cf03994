"""Renders the report of an experiment as a self-contained HTML file."""

from __future__ import annotations

import base64
import io
from collections.abc import Sequence

import matplotlib
import numpy as np
from jinja2 import Environment, select_autoescape
from matplotlib.figure import Figure

from hallhitch.lab.experiments import Outcome
from hallhitch.lab.statistics import bootstrap_interval, compare

matplotlib.use("Agg")
import matplotlib.pyplot as plt

FIGURES = (
    "service",
    "in_time",
    "late",
    "refused",
    "failed",
    "unanswered",
    "beyond_units",
    "beyond_cost",
    "attempts",
    "resets",
    "errors",
    "full",
    "timeouts",
    "counter_calls",
    "p50",
    "p99",
)
STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:70em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}
td:first-child,th:first-child{text-align:left}img{max-width:100%}.worse{color:#a00}.better{color:#070}"""
PAGE = Environment(autoescape=select_autoescape(default=True)).from_string("""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ name }}</title><style>{{ style }}</style></head><body>
<h1>{{ name }}</h1>
<p>{{ runs }} runs{% if broken %}, <b class="worse">{{ broken|length }} with a broken rule</b>{% else %}, no rule
broken{% endif %}. Means over seeds; intervals hold the mean in 95 of 100 draws of seeds.</p>
{% for text in broken[:5] %}<pre>{{ text }}</pre>{% endfor %}
{% for part in parts %}<h2>{{ part.scenario }}</h2>
<img alt="service over time" src="data:image/png;base64,{{ part.chart }}">
<table><tr><th>setting</th><th>seeds</th>{% for f in figures %}<th>{{ f }}</th>{% endfor %}</tr>
{% for row in part.rows %}<tr><td>{{ row.name }}</td><td>{{ row.seeds }}</td>
{% for cell in row.cells %}<td title="{{ cell.low }} to {{ cell.high }}">{{ cell.mean }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% if part.compared %}<table><tr><th>against {{ part.base }}</th><th>service, difference</th><th>verdict</th></tr>
{% for c in part.compared %}<tr><td>{{ c.name }}</td><td>{{ c.difference }}</td>
<td class="{{ c.verdict }}">{{ c.verdict }}</td></tr>{% endfor %}</table>{% endif %}
{% endfor %}</body></html>
""")


def _chart(by_setting: dict[str, dict[int, Outcome]]) -> str:
    """Draw service over time with a 95 % band, and the mean of each setting, as a PNG in base64."""
    figure, (left, right) = plt.subplots(1, 2, figsize=(12, 3.6), width_ratios=(3, 1))
    for name, outcomes in by_setting.items():
        curves = np.asarray([o.figures.curve for o in outcomes.values()])
        mean_curve, half_width = curves.mean(axis=0), curves.std(axis=0) / max(1, len(curves)) ** 0.5 * 1.96
        seconds = np.arange(len(mean_curve))
        left.plot(seconds, mean_curve, label=name, linewidth=1.2)
        left.fill_between(seconds, mean_curve - half_width, mean_curve + half_width, alpha=0.2)
    left.set(xlabel="s", ylabel="service of what was asked in that second", ylim=(0, 1.05))
    left.legend(loc="lower left", fontsize=8)
    means = [bootstrap_interval([o.figures.service for o in outcomes.values()]) for outcomes in by_setting.values()]
    right.errorbar(
        [m.mean for m in means],
        range(len(means)),
        fmt="o",
        xerr=[[m.mean - m.low for m in means], [m.high - m.mean for m in means]],
    )
    right.set(yticks=range(len(means)), yticklabels=list(by_setting), xlabel="service")
    right.margins(y=0.4)
    return encode_chart(figure)


def encode_chart(figure: Figure) -> str:
    """Encode a figure as a PNG in base64 and close the figure."""
    figure.tight_layout()
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110)
    plt.close(figure)
    return base64.b64encode(buffer.getvalue()).decode()


def render_page(name: str, results: dict[tuple[str, str], dict[int, Outcome]], figures: Sequence[str] = FIGURES) -> str:
    """Render the report; the first setting of each scenario is the one that others are compared with."""
    scenarios: dict[str, dict[str, dict[int, Outcome]]] = {}
    for (scenario, setting), outcomes in results.items():
        scenarios.setdefault(scenario, {})[setting] = outcomes
    parts, broken = [], []
    for scenario, by_setting in scenarios.items():
        rows = []
        for setting, outcomes in by_setting.items():
            cells = []
            for figure in figures:
                interval = bootstrap_interval([float(getattr(o.figures, figure)) for o in outcomes.values()])
                cells.append({key: f"{getattr(interval, key):.4g}" for key in ("mean", "low", "high")})
            rows.append({"name": setting, "seeds": len(outcomes), "cells": cells})
            broken += [
                f"{scenario}, {setting}, seed {seed}: {text}" for seed, o in outcomes.items() for text in o.broken
            ]
        base, *compared_settings = by_setting
        compared = []
        for setting in compared_settings:
            comparison = compare(by_setting[base], by_setting[setting])
            difference, verdict = str(comparison.difference), comparison.verdict
            compared.append({"name": setting, "difference": difference, "verdict": verdict})
        parts.append(
            {"scenario": scenario, "rows": rows, "base": base, "compared": compared, "chart": _chart(by_setting)}
        )
    runs = sum(len(outcomes) for outcomes in results.values())
    return PAGE.render(name=name, runs=runs, broken=broken, parts=parts, figures=figures, style=STYLE)
