"""The real gateway, measuring how late its event loop is; started like the gateway itself.

`python -O -m benchmarks.lagging_gateway`. A timer is due every `TIMER_INTERVAL_S`; by how much it is late goes into a
histogram. At each SIGUSR1 the percentiles in ms are appended, as a line of JSON, to the file that the environment's
LAG_TO names, and a new histogram begins.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from typing import Any, Final

from hallhitch import gateway
from hallhitch.lab.load.tally import make_histogram

TIMER_INTERVAL_S: Final = 0.005
PERCENTILES: Final = (50.0, 99.0, 99.9, 100.0)


async def watch_loop(path: str) -> None:
    """Record the loop's lag for as long as the gateway runs."""
    lags_us = make_histogram()

    def write_percentiles() -> None:
        nonlocal lags_us
        recorded, lags_us = lags_us, make_histogram()
        lags_ms = [recorded.get_value_at_percentile(percentile) / 1000 for percentile in PERCENTILES]
        with open(path, "a", encoding="utf-8") as file:
            print(json.dumps(lags_ms), file=file, flush=True)

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, write_percentiles)
    while True:
        due_s = time.monotonic() + TIMER_INTERVAL_S
        await asyncio.sleep(TIMER_INTERVAL_S)
        lags_us.record_value(max(1, int((time.monotonic() - due_s) * 1e6)))


def main() -> int:
    """Run the gateway to its end."""
    path = os.environ["LAG_TO"]
    serve = gateway.serve

    async def serve_watched(*arguments: Any) -> None:
        task = asyncio.create_task(watch_loop(path))
        await serve(*arguments)
        task.cancel()

    gateway.serve = serve_watched  # type: ignore[assignment]
    return gateway.main()


if __name__ == "__main__":
    sys.exit(main())
