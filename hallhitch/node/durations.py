"""Parsing of durations in the settings files, the configuration and the cloud API, such as `1500ms` or `2.5s`."""

from __future__ import annotations

import re
from typing import Final

from hallhitch.node.errors import DurationError

_DURATION_PATTERN: Final = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_MS_PER_S: Final = 1000.0


def parse_duration_ms(text: object) -> float:
    """Return a duration in milliseconds.

    Raises:
        DurationError: `text` is not a duration.

    >>> parse_duration_ms("1500ms"), parse_duration_ms("2.5s")
    (1500.0, 2500.0)
    """
    match = _DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise DurationError(text)
    return float(match[1]) * (_MS_PER_S if match[2] == "s" else 1.0)
