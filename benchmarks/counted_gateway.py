"""The real gateway, telling its memory: `python -O -m benchmarks.counted_gateway` is started like the gateway itself.

Every EVERY seconds a line of JSON goes to the file that COUNTS_TO names, with the process's id put behind: resident
KiB, what the collector has found, live objects by type, and sizes of the program's own tables.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import sys
import time
from collections import Counter
from typing import Any

from benchmarks.resident import resident
from hallhitch import gateway
from hallhitch.core.module import Core

EVERY = 15.0  # s
TYPES = 25
_cores: list[Core] = []


def told(began: float) -> dict[str, Any]:
    """One line; what can be collected has been, so that what is counted is held by somebody."""
    before = resident()
    found = gc.collect()
    # What was frozen at the start is not counted: it does not grow.
    types = Counter(type(one).__name__ for one in gc.get_objects())
    tables = {}
    for core in _cores:
        for name, value in vars(core.gateway).items():
            if hasattr(value, "__len__"):
                tables[f"module {name}"] = len(value)
            elif hasattr(value, "__dict__"):
                tables |= {f"module {name}.{n}": len(v) for n, v in vars(value).items() if hasattr(v, "__len__")}
        tables["open"] = len(core.open_exchanges)
        tables["deadlines"] = len(core.deadlines)
    return {
        "s": round(time.monotonic() - began),
        "rss": before,
        "collected": found,
        "after": resident(),
        "types": dict(types.most_common(TYPES)),
        "tables": tables,
    }


async def count(path: str) -> None:
    """Tell, for as long as the gateway runs."""
    began = time.monotonic()
    with open(f"{path}.{os.getpid()}", "a", encoding="utf-8") as file:
        while True:
            await asyncio.sleep(EVERY)
            print(json.dumps(told(began)), file=file, flush=True)


def main() -> int:
    """Run the gateway to its end."""
    path, begin, serve = os.environ.get("COUNTS_TO"), Core.__init__, gateway.serve

    def noted(self: Core, *arguments: Any, **named: Any) -> None:
        begin(self, *arguments, **named)
        _cores.append(self)

    async def counted(*arguments: Any) -> None:
        task = asyncio.create_task(count(path)) if path else None
        await serve(*arguments)
        if task is not None:
            task.cancel()

    Core.__init__ = noted  # type: ignore[method-assign]
    gateway.serve = counted  # type: ignore[assignment]
    return gateway.main()


if __name__ == "__main__":
    sys.exit(main())
