"""The tally of a load run: latencies by group, counts of statuses, and the generator's own send delays."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any, Final

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from hallhitch.lab.load.trace_format import TraceRequest

MAX_LATENCY_US: Final = 600_000_000  # ten minutes; longer latencies are recorded as this value
SIGNIFICANT_DIGITS: Final = 3
MAX_P99_SEND_DELAY_MS: Final = 5.0  # of a valid run; small compared with the measured latencies
PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9, 99.99)


@dataclass(frozen=True, slots=True)
class EncodedTally:
    """A tally encoded for transfer between processes."""

    latencies: dict[str, bytes]
    statuses: dict[str, int]
    send_delays: bytes
    sent: int


def make_histogram() -> Any:
    """Create a histogram of times in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def clamp_us(seconds: float) -> int:
    """Convert seconds to whole microseconds, clamped to the range of the histograms."""
    return min(MAX_LATENCY_US, max(1, int(seconds * 1_000_000)))


@dataclass(slots=True)
class LoadTally:
    """The tally of a run, or of a worker's part of it."""

    latencies: dict[str, Any] = field(default_factory=lambda: defaultdict(make_histogram))  # by group
    statuses: Counter[str] = field(default_factory=Counter)
    send_delays: Any = field(default_factory=make_histogram)
    sent: int = 0

    def record_end(self, request: TraceRequest, status: str, latency_ms: float) -> None:
        """Record the final status of a request, and its latency from the time when it was due."""
        value = min(MAX_LATENCY_US, max(1, int(latency_ms * 1000)))
        for group in ("all", f"class {request.klass}", f"plan {request.plan}", f"status {status}"):
            self.latencies[group].record_value(value)
        if request.tenant:
            self.latencies[f"tenant {request.tenant}"].record_value(value)
        self.statuses[status] += 1

    def encode(self) -> EncodedTally:
        """Encode the tally for another process."""
        latencies = {group: histogram.encode() for group, histogram in self.latencies.items()}
        return EncodedTally(latencies, dict(self.statuses), self.send_delays.encode(), self.sent)

    def add(self, part: EncodedTally) -> None:
        """Add the tally of a worker."""
        for group, histogram in part.latencies.items():
            self.latencies[group].decode_and_add(histogram)
        self.statuses.update(part.statuses)
        self.send_delays.decode_and_add(part.send_delays)
        self.sent += part.sent

    @property
    def p99_send_delay_ms(self) -> float:
        """The 99th percentile of the delays between due time and sending."""
        if not self.send_delays.get_total_count():
            return 0.0
        return float(self.send_delays.get_value_at_percentile(99.0)) / 1000

    @property
    def is_valid(self) -> bool:
        """Whether the generator kept to its schedule; otherwise the latencies measure the generator itself."""
        return self.p99_send_delay_ms <= MAX_P99_SEND_DELAY_MS

    def percentiles(self, group: str = "all") -> dict[float, float]:
        """The latencies of a group in ms, by percentile."""
        histogram = self.latencies[group]
        return {percentile: histogram.get_value_at_percentile(percentile) / 1000 for percentile in PERCENTILES}
