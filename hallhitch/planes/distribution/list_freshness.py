"""How old the endpoint list of a process becomes before a newer one replaces it: metrics and a log event. No I/O.

Ages are in ms. A draining backend gets requests until the list that shows it is applied, so the age that a list reaches
is the delay with which this process learns of a drain.
"""

from __future__ import annotations

from typing import Final

from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.node.metrics import Histogram, Metric, MetricKind

AGE_BUCKETS_MS: Final = (250.0, 500.0, 750.0, 1000.0, 1500.0, 2000.0, 3000.0, 5000.0, 10_000.0)
OUTDATED_DRAIN_TIMEOUT_RATIO: Final = 0.5  # of drainTimeout; the rest is for reading and propagating the next list


class ListFreshness:
    """Records the replacements of the endpoint list of one process."""

    def __init__(self) -> None:
        self.outdated_after_ms = float("inf")
        self._ages = Histogram(AGE_BUCKETS_MS)
        self._dismissed_count = 0
        self._log = RateLimitedLog(ComponentLogger("distribution"))

    def on_replaced(self, now: float, age_ms: float) -> None:
        """Record that a newer list replaced the one in force, which had reached this age."""
        self._ages.observe(age_ms)
        if age_ms > self.outdated_after_ms:
            self._log.warning(now, "endpoint list was outdated", age_ms=round(age_ms), limit_ms=self.outdated_after_ms)

    def on_dismissed(self) -> None:
        """Record that a received list with changes was not applied, because the one in force was read later."""
        self._dismissed_count += 1

    def metrics(self) -> list[Metric]:
        """Return the metrics."""
        return [
            self._ages.metric("endpoint_list_replaced_age_ms", "Age of a list when a newer one replaced it."),
            Metric(
                "endpoint_lists_dismissed_total",
                MetricKind.COUNTER,
                "Received lists with changes that were not applied, as the one in force was read later.",
                {"": float(self._dismissed_count)},
            ),
        ]
