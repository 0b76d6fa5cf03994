"""Logging for the system's programs: one line per event on standard error, `LEVEL component: event field=value ...`.

The event is a fixed phrase that operators can search for; everything variable goes into fields. INFO requires no
action, WARNING may need attention if it persists, ERROR reports a fault of the program or of its configuration. No
line is written per request. docs/operate/system.md lists all events.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Mapping
from typing import Final

import picologging

# Between two lines of a rate-limited log: keeps the log readable and its disk from filling up.
DEFAULT_LOG_INTERVAL_MS: Final = 1000.0


def configure(level: int = picologging.INFO) -> None:
    """Set up logging; call it once at the start of a program."""
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter("%(levelname)s %(message)s"))
    root = picologging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)


def format_fields(fields: Mapping[str, object]) -> str:
    """Return ` name=value` for each field; empty values and those with spaces, quotes or newlines are quoted.

    >>> format_fields({"members": ("a", "b"), "reason": "no answer"})
    ' members=a,b reason="no answer"'
    """
    return "".join(f" {name}={_format_value(value)}" for name, value in fields.items())


def _format_value(value: object) -> str:
    if isinstance(value, tuple | list | set | frozenset):
        items = value if isinstance(value, tuple | list) else sorted(value, key=str)
        return ",".join(str(item) for item in items) or "-"
    text = str(value)
    if not text or any(character in text for character in ' "\n'):
        return '"' + text.replace('"', "'").replace("\n", " ") + '"'
    return text


class ComponentLogger:
    """A logger that prefixes each line with the name of its component."""

    def __init__(self, component: str) -> None:
        self._component = component
        self._log = picologging.getLogger()

    def info(self, event: str, **fields: object) -> None:
        """Log an event that requires no action."""
        self._log.info("%s: %s%s", self._component, event, format_fields(fields))

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that may need attention if it persists."""
        self._log.warning("%s: %s%s", self._component, event, format_fields(fields))

    def error(self, event: str, **fields: object) -> None:
        """Log a fault that an operator or developer has to fix."""
        self._log.error("%s: %s%s", self._component, event, format_fields(fields))

    def exception(self, event: str, error: BaseException, /, **fields: object) -> None:
        """Log an unexpected exception with its traceback, at level ERROR."""
        trace = "".join(traceback.format_exception(error)).rstrip()
        self._log.error("%s: %s%s\n%s", self._component, event, format_fields(fields), trace)


class RateLimitedLog:
    """Counts events that may occur in large numbers, and logs at most one line per interval."""

    def __init__(self, logger: ComponentLogger, interval_ms: float = DEFAULT_LOG_INTERVAL_MS) -> None:
        self._logger = logger
        self._interval_ms = interval_ms
        self._logged_at = float("-inf")
        self.count = 0

    def warning(self, now: float, event: str, **fields: object) -> None:
        """Count the event, and log it with the count so far unless a line was logged within the interval."""
        self.count += 1
        if now - self._logged_at >= self._interval_ms:
            self._logged_at = now
            self._logger.warning(event, **fields, count=self.count)

    def exception(self, now: float, event: str, error: BaseException, /, **fields: object) -> None:
        """Count an unexpected exception, and log it with its traceback unless a line was logged within the interval."""
        self.count += 1
        if now - self._logged_at >= self._interval_ms:
            self._logged_at = now
            self._logger.exception(event, error, **fields, count=self.count)
