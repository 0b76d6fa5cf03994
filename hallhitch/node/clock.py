"""The clock for all decisions: monotonic, in milliseconds. Wall-clock time may jump, so no decision uses it."""

from __future__ import annotations

import time


def now() -> float:
    """Return the monotonic milliseconds since an arbitrary moment before the process started."""
    return time.monotonic() * 1000.0
