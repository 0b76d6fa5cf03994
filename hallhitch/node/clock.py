"""The clock of all decisions: monotonic, in milliseconds. Wall-clock time is used by no decision, as it may jump."""

from __future__ import annotations

import time


def now() -> float:
    """Return monotonic milliseconds since an arbitrary moment before the process started."""
    return time.monotonic() * 1000.0
