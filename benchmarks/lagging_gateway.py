"""The real gateway, telling how late its loop is; `python -O -m benchmarks.lagging_gateway` is started like itself.

A timer is due every EVERY ms; by how much it is late goes into a histogram. At each SIGUSR1 the percentiles go to the
file that LAG_TO names, as a line of JSON, and a new histogram begins.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from typing import Any

from hallhitch import gateway
from hallhitch.lab.load.tally import make_histogram

EVERY = 5.0  # ms
TOLD = (50.0, 99.0, 99.9, 100.0)


async def watch(path: str) -> None:
    """Tell, for as long as the gateway runs."""
    late = make_histogram()

    def tell() -> None:
        nonlocal late
        told, late = late, make_histogram()
        with open(path, "a", encoding="utf-8") as file:
            print(json.dumps([told.get_value_at_percentile(share) / 1000 for share in TOLD]), file=file, flush=True)

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, tell)
    while True:
        due = time.monotonic() + EVERY / 1000
        await asyncio.sleep(EVERY / 1000)
        late.record_value(max(1, int((time.monotonic() - due) * 1e6)))


def main() -> int:
    """Run the gateway to its end."""
    path, serve = os.environ["LAG_TO"], gateway.serve

    async def watched(*arguments: Any) -> None:
        task = asyncio.create_task(watch(path))
        await serve(*arguments)
        task.cancel()

    gateway.serve = watched  # type: ignore[assignment]
    return gateway.main()


if __name__ == "__main__":
    sys.exit(main())
