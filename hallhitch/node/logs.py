"""Logs: short sentences on standard error with a fixed prefix for each part; no line a request."""

from __future__ import annotations

import sys

import picologging


def configure(level: int = picologging.INFO) -> None:
    """Set the log up, once, at the start of a program."""
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter("%(levelname)s %(message)s"))
    root = picologging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)


class ComponentLogger:
    """The log of one part: each line begins with its name."""

    def __init__(self, name: str) -> None:
        self._name, self._log = name, picologging.getLogger()

    def info(self, text: str) -> None:
        """What an operator may want to know."""
        self._log.info("%s: %s", self._name, text)

    def warning(self, text: str) -> None:
        """What an operator may have to look at."""
        self._log.warning("%s: %s", self._name, text)

    def error(self, text: str) -> None:
        """What somebody has to mend."""
        self._log.error("%s: %s", self._name, text)


class RateLimitedLog:
    """Counts what may come in floods and lets one line a second through."""

    def __init__(self, part: ComponentLogger, gap: float = 1000.0) -> None:
        self._part, self._gap, self._last, self.count = part, gap, float("-inf"), 0

    def warning(self, now: float, text: str) -> None:
        """Log this unless a line went out within the gap; the count goes with it."""
        self.count += 1
        if now - self._last >= self._gap:
            self._last = now
            self._part.warning(f"{text} ({self.count} in all)")
