"""Reads the endpoint list from the platform and passes it on."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Final

from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.node.metrics import Histogram, Metric, MetricKind
from hallhitch.planes.discovery.endpoint_page import UnreadableRow
from hallhitch.planes.discovery.errors import EndpointListError
from hallhitch.planes.discovery.platform_client import EndpointListReading, PlatformClient

PAGE_TIMEOUT_RATIO: Final = 0.15  # of drainTimeout; a page that takes longer leaves no time for another reader
MIN_PAGE_TIMEOUT_MS: Final = 250.0  # a connection and a page across regions
MAX_PAGE_TIMEOUT_MS: Final = 1000.0
RETRY_PAUSE_RATIO: Final = 1 / 4  # of the read interval: pause after a failed read
MAX_INTERVAL_MS: Final = 1000.0  # between two reads
INTERVAL_RATIO: Final = 0.2  # of drainTimeout; the rest is for propagating a change to the last gateway

READ_BUCKETS_MS: Final = (5.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, 2000.0)


def reading_interval_ms(drain_timeout_ms: float) -> float:
    """Return the read interval with which all gateways know of a draining backend before its drain time-out."""
    return min(MAX_INTERVAL_MS, drain_timeout_ms * INTERVAL_RATIO)


def page_timeout_ms(drain_timeout_ms: float) -> float:
    """Return how long to wait for a page of the list."""
    return min(MAX_PAGE_TIMEOUT_MS, max(MIN_PAGE_TIMEOUT_MS, drain_timeout_ms * PAGE_TIMEOUT_RATIO))


class EndpointListReader:
    """Reads the list on request and passes each complete list to `on_reading`."""

    def __init__(
        self,
        client: PlatformClient,
        interval_ms: float,
        on_reading: Callable[[EndpointListReading], object],
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._interval_ms = interval_ms
        self._on_reading = on_reading
        self._clock = clock
        self._log = RateLimitedLog(ComponentLogger("list"))
        self._durations = Histogram(READ_BUCKETS_MS)
        self._read_counts = {"complete": 0, "failed": 0}
        self._row_log = RateLimitedLog(ComponentLogger("list"))
        self._unreadable_rows: Counter[str] = Counter()  # by the first field that cannot be read
        self.read_duration_ms = 0.0  # of the latest complete read

    async def read(self) -> None:
        """Read the list once; after a failure, log it and pause."""
        started_at = self._clock()
        try:
            reading = await self._client.read()
        except EndpointListError as error:
            self._read_counts["failed"] += 1
            self._log.warning(self._clock(), "endpoint list not read", reason=error.reason)
            await asyncio.sleep(self._interval_ms * RETRY_PAUSE_RATIO / 1000)
        else:
            self._read_counts["complete"] += 1
            self.read_duration_ms = self._clock() - started_at
            self._durations.observe(self.read_duration_ms)
            self._record_unreadable(reading.unreadable_rows)
            self._on_reading(reading)

    def _record_unreadable(self, rows: Sequence[UnreadableRow]) -> None:
        for row in rows:
            self._unreadable_rows[row.fields[0]] += 1
            self._row_log.warning(
                self._clock(), "row of the endpoint list cannot be read", instance=row.instance, fields=row.fields
            )

    def metrics(self) -> list[Metric]:
        """Return how many reads were complete or failed, how long the complete ones took, and the unreadable rows."""
        reads = {result: float(count) for result, count in self._read_counts.items()}
        rows = {name: float(count) for name, count in self._unreadable_rows.items()}
        description = "Rows of the endpoint list that could not be read whole."
        return [
            Metric("endpoint_list_unreadable_rows_total", MetricKind.COUNTER, description, rows, "field"),
            Metric("endpoint_list_reads_total", MetricKind.COUNTER, "Reads of the endpoint list.", reads, "result"),
            self._durations.metric("endpoint_list_read_ms", "Duration of the complete reads."),
        ]

    def close(self) -> None:
        """Close the connection to the platform."""
        self._client.close()
