"""How late a process applies changes of the endpoint list: metrics and a log event. No I/O.

The delay of a change has two parts: from the read of the list before to the read that shows the change, and from that
read to its application here. A process that did not hear of an unchanged list between the two counts the first part too
long, never too short. Times are in ms.
"""

from __future__ import annotations

from typing import Final

from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.node.metrics import Histogram, Metric, MetricKind

DELAY_BUCKETS_MS: Final = (50.0, 100.0, 250.0, 500.0, 750.0, 1000.0, 1500.0, 2000.0, 3000.0, 5000.0)
LATE_DRAIN_TIMEOUT_RATIO: Final = 0.5  # of drainTimeout: a change that is applied after it is logged


class ListFreshness:
    """Records the changes of the endpoint list of one process."""

    def __init__(self) -> None:
        self.late_after_ms = float("inf")
        self._read_gaps = Histogram(DELAY_BUCKETS_MS)
        self._propagations = Histogram(DELAY_BUCKETS_MS)
        self._dismissed_count = 0
        self._log = RateLimitedLog(ComponentLogger("distribution"))

    def on_changed(self, now: float, previous_read_at: float, read_at: float) -> None:
        """Record that a list with changes, read at `read_at`, replaced one that was read at `previous_read_at`."""
        read_gap_ms, propagation_ms = read_at - previous_read_at, now - read_at
        self._read_gaps.observe(read_gap_ms)
        self._propagations.observe(propagation_ms)
        if read_gap_ms + propagation_ms > self.late_after_ms:
            self._log.warning(
                now,
                "endpoint list changed late",
                read_gap_ms=round(read_gap_ms),
                propagation_ms=round(propagation_ms),
                limit_ms=round(self.late_after_ms),
            )

    def on_dismissed(self) -> None:
        """Record that a received list with changes was not applied, because the one in force was read later."""
        self._dismissed_count += 1

    def metrics(self) -> list[Metric]:
        """Return the metrics."""
        return [
            self._read_gaps.metric("endpoint_list_read_gap_ms", "From the read before to that of a change."),
            self._propagations.metric("endpoint_list_propagation_ms", "From the read of a change to its application."),
            Metric(
                "endpoint_lists_dismissed_total",
                MetricKind.COUNTER,
                "Received lists with changes that were not applied, as the one in force was read later.",
                {"": float(self._dismissed_count)},
            ),
        ]
