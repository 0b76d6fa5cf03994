"""The real gateway, reporting its memory; started like the gateway itself.

`python -O -m benchmarks.counted_gateway`. Every `REPORT_INTERVAL_S` a line of JSON is appended to the file that the
environment's COUNTS_TO names, with the process's id appended: resident KiB, what the collector has freed, live objects
by type, and the sizes of the program's own tables.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import sys
import time
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from benchmarks.resident import resident
from hallhitch import gateway
from hallhitch.core.module import Core

REPORT_INTERVAL_S: Final = 15.0
REPORTED_TYPES: Final = 25
_cores: list[Core] = []


def table_sizes(core: Core) -> Mapping[str, int]:
    """Return the number of entries of each table of the decision module and of the core."""
    sizes = dict[str, int]()
    for name, value in vars(core.gateway).items():
        if hasattr(value, "__len__"):
            sizes[f"module {name}"] = len(value)
        elif hasattr(value, "__dict__"):
            sizes |= {
                f"module {name}.{attribute}": len(table)
                for attribute, table in vars(value).items()
                if hasattr(table, "__len__")
            }
    sizes["open"] = len(core.open_exchanges)
    sizes["deadlines"] = len(core.deadlines)
    return sizes


def build_report(started_s: float) -> dict[str, Any]:
    """Return one report; garbage has been collected, so that the objects counted are referenced."""
    before_kib = resident()
    collected = gc.collect()
    # What was frozen at the start is not counted: it does not grow.
    types = Counter(type(item).__name__ for item in gc.get_objects())
    tables = dict[str, int]()
    for core in _cores:
        tables |= table_sizes(core)
    return {
        "s": round(time.monotonic() - started_s),
        "rss": before_kib,
        "collected": collected,
        "after": resident(),
        "types": dict(types.most_common(REPORTED_TYPES)),
        "tables": tables,
    }


async def write_reports(path: Path) -> None:
    """Append reports for as long as the gateway runs."""
    started_s = time.monotonic()
    with path.open("a", encoding="utf-8") as file:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            print(json.dumps(build_report(started_s)), file=file, flush=True)


def main() -> int:
    """Run the gateway to its end."""
    path = os.environ.get("COUNTS_TO")
    initialize_core = Core.__init__
    serve = gateway.serve

    def initialize_and_register(self: Core, *arguments: Any, **options: Any) -> None:
        initialize_core(self, *arguments, **options)
        _cores.append(self)

    async def serve_counted(*arguments: Any) -> None:
        task = asyncio.create_task(write_reports(Path(f"{path}.{os.getpid()}"))) if path else None
        await serve(*arguments)
        if task is not None:
            task.cancel()

    Core.__init__ = initialize_and_register  # type: ignore[method-assign]
    gateway.serve = serve_counted  # type: ignore[assignment]
    return gateway.main()


if __name__ == "__main__":
    sys.exit(main())
