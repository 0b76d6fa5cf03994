"""Metrics of one process in the Prometheus text format, served on a separate address.

Metrics are read at each scrape and not sampled in between. The address is optional: if the process cannot listen on it,
it runs without metrics.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from itertools import accumulate
from typing import Final

from hallhitch.node.http_server import HttpReply, HttpServer
from hallhitch.node.logs import ComponentLogger
from hallhitch.node.settings import HostPort

METRICS_PATH: Final = "/metrics"
CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
PREFIX: Final = "hallhitch_"
INFINITE_BOUND: Final = "+Inf"


class MetricKind(Enum):
    """The type of a metric; the values are the names that Prometheus uses."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class Metric:
    """One metric: a sample for each value of its label, or a single sample under "" if it has no label."""

    name: str
    kind: MetricKind
    description: str
    samples: Mapping[str, float]
    label: str = ""
    sum: float = 0.0  # of a histogram's values


class Histogram:
    """Counts observed values by buckets with these upper bounds, in ascending order; the last bucket is unbounded."""

    def __init__(self, bounds: Sequence[float]) -> None:
        self._bounds = tuple(bounds)
        self._counts = [0] * (len(self._bounds) + 1)
        self._sum = 0.0

    def observe(self, value: float) -> None:
        """Count one value."""
        self._counts[bisect_left(self._bounds, value)] += 1
        self._sum += value

    def metric(self, name: str, description: str) -> Metric:
        """Return the counts as a metric, each bucket including all lower ones."""
        bounds = [f"{bound:g}" for bound in self._bounds]
        samples = dict(zip([*bounds, INFINITE_BOUND], map(float, accumulate(self._counts)), strict=True))
        return Metric(name, MetricKind.HISTOGRAM, description, samples, "le", self._sum)


def gauge(name: str, description: str, value: float) -> Metric:
    """Create a gauge without a label."""
    return Metric(name, MetricKind.GAUGE, description, {"": value})


def render_metrics(metrics: Iterable[Metric]) -> bytes:
    """Return the metrics as text; label values are names defined by this program and need no escaping."""
    lines = []
    for metric in metrics:
        name = PREFIX + metric.name
        lines.append(f"# HELP {name} {metric.description}")
        lines.append(f"# TYPE {name} {metric.kind.value}")
        if metric.kind is MetricKind.HISTOGRAM:
            lines += _histogram_lines(name, metric)
            continue
        for label_value, value in sorted(metric.samples.items()):
            labels = f'{{{metric.label}="{label_value}"}}' if metric.label else ""
            lines.append(f"{name}{labels} {value:g}")
    return "\n".join([*lines, ""]).encode()


def _histogram_lines(name: str, metric: Metric) -> list[str]:
    buckets = [f'{name}_bucket{{le="{bound}"}} {count:g}' for bound, count in metric.samples.items()]
    return [*buckets, f"{name}_sum {metric.sum:g}", f"{name}_count {metric.samples[INFINITE_BOUND]:g}"]


class MetricsServer:
    """Serves the metrics of a process at METRICS_PATH."""

    def __init__(self, read_metrics: Callable[[], Iterable[Metric]]) -> None:
        self._read_metrics = read_metrics
        self._server = HttpServer("metrics", self._handle)
        self._log = ComponentLogger("metrics")

    async def serve(self, address: HostPort) -> None:
        """Listen on the address, unless its port is 0 or in use."""
        if not address[1]:
            return
        try:
            await self._server.serve(address)
        except OSError as error:
            self._log.warning("metrics not served", port=address[1], error=error.strerror)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    def _handle(self, method: str, target: str, body: bytes) -> HttpReply:
        if target.partition("?")[0] != METRICS_PATH:
            return HttpReply(404, {}, b"")
        return HttpReply(200, {"Content-Type": CONTENT_TYPE}, render_metrics(self._read_metrics()))
