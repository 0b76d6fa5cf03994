"""Configures structlog: JSON lines on stderr, or readable lines if it is a terminal. Tokens are redacted."""

from __future__ import annotations

import logging
import re
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

TOKEN_PATTERN = re.compile(r"(hh_[a-z0-9-]*\.[a-z0-9-]+\.)[A-Za-z0-9_-]{8,}")


def redact_tokens(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Redact tokens in all fields of an event, as a safeguard: the code must not log them in the first place."""
    for field, value in event.items():
        if isinstance(value, str) and "hh_" in value:
            event[field] = TOKEN_PATTERN.sub(r"\1***", value)
    return event


def configure() -> None:
    """Configure logging; called once, at the start of a command."""
    is_json = not sys.stderr.isatty()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            redact_tokens,
            structlog.processors.JSONRenderer() if is_json else structlog.dev.ConsoleRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
