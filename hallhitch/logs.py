"""How the program logs: structlog, JSON lines, or readable ones on a terminal. Tokens are never in them."""

from __future__ import annotations

import logging
import re
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

TOKEN = re.compile(r"(hh_[a-z0-9-]*\.[a-z0-9-]+\.)[A-Za-z0-9_-]{8,}")


def veil(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Blot secrets out, wherever they came from: the last guard, not the only one."""
    for name, value in event.items():
        if isinstance(value, str) and "hh_" in value:
            event[name] = TOKEN.sub(r"\1***", value)
    return event


def configure() -> None:
    """Set the log up, once, at the start of a command."""
    plain = not sys.stderr.isatty()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            veil,
            structlog.processors.JSONRenderer() if plain else structlog.dev.ConsoleRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
