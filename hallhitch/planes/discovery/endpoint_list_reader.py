"""Reads the endpoint list from the platform and passes it on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.planes.discovery.errors import EndpointListError
from hallhitch.planes.discovery.platform_client import EndpointListReading, PlatformClient

RETRY_PAUSE_RATIO: Final = 1 / 4  # of the read interval: pause after a failed read
MAX_INTERVAL_MS: Final = 1000.0  # between two reads
INTERVAL_RATIO: Final = 0.2  # of drainTimeout; the rest is for propagating a change to the last gateway


def reading_interval_ms(drain_timeout_ms: float) -> float:
    """Return the read interval with which all gateways know of a draining backend before its drain time-out."""
    return min(MAX_INTERVAL_MS, drain_timeout_ms * INTERVAL_RATIO)


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

    async def read(self) -> None:
        """Read the list once; after a failure, log it and pause."""
        try:
            reading = await self._client.read()
        except EndpointListError as error:
            self._log.warning(self._clock(), "endpoint list not read", reason=error.reason)
            await asyncio.sleep(self._interval_ms * RETRY_PAUSE_RATIO / 1000)
        else:
            self._on_reading(reading)

    def close(self) -> None:
        """Close the connection to the platform."""
        self._client.close()
