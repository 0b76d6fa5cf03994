"""The one clock that decides anything: steady, in milliseconds. The time of day jumps and decides nothing."""

from __future__ import annotations

import time


def now() -> float:
    """Steady milliseconds since some moment before this process began."""
    return time.monotonic() * 1000.0
