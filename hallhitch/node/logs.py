"""Logging of the system's programs: one line an event on standard error, `LEVEL component: event field=value ...`.

An event is a fixed phrase that an operator can search for; whatever varies goes into fields. Levels: INFO asks nothing
of a person, WARNING may need a look if it lasts, ERROR is a fault of the program or of its configuration. No line is
written for a single request. docs/operate/system.md lists every event.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Mapping
from typing import Final

import picologging

DEFAULT_LOG_INTERVAL_MS: Final = 1000.0  # between two lines of a rate-limited log: readable, and no flood on a disk


def configure(level: int = picologging.INFO) -> None:
    """Set up logging; called once, at the start of a program."""
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter("%(levelname)s %(message)s"))
    root = picologging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)


def format_fields(fields: Mapping[str, object]) -> str:
    """Return ` name=value` for each field; a value with spaces or quotes is quoted.

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
    """The log of one component, which each of its lines names."""

    def __init__(self, component: str) -> None:
        self._component = component
        self._log = picologging.getLogger()

    def info(self, event: str, **fields: object) -> None:
        """Log an event that asks nothing of a person."""
        self._log.info("%s: %s%s", self._component, event, format_fields(fields))

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that may need a look if it lasts."""
        self._log.warning("%s: %s%s", self._component, event, format_fields(fields))

    def error(self, event: str, **fields: object) -> None:
        """Log a fault that somebody has to mend."""
        self._log.error("%s: %s%s", self._component, event, format_fields(fields))

    def exception(self, event: str, error: BaseException, /, **fields: object) -> None:
        """Log an unexpected exception with its traceback, at level ERROR."""
        trace = "".join(traceback.format_exception(error)).rstrip()
        self._log.error("%s: %s%s\n%s", self._component, event, format_fields(fields), trace)


class RateLimitedLog:
    """Counts events that may come in floods, and logs at most one line an interval."""

    def __init__(self, logger: ComponentLogger, interval_ms: float = DEFAULT_LOG_INTERVAL_MS) -> None:
        self._logger = logger
        self._interval_ms = interval_ms
        self._logged_at = float("-inf")
        self.count = 0

    def warning(self, now: float, event: str, **fields: object) -> None:
        """Count the event and log it, with the count so far, unless a line was logged within the interval."""
        self.count += 1
        if now - self._logged_at >= self._interval_ms:
            self._logged_at = now
            self._logger.warning(event, **fields, count=self.count)

    def exception(self, now: float, event: str, error: BaseException, /, **fields: object) -> None:
        """Count an unexpected exception and log it with its traceback, unless a line was logged within the interval."""
        self.count += 1
        if now - self._logged_at >= self._interval_ms:
            self._logged_at = now
            self._logger.exception(event, error, **fields, count=self.count)
