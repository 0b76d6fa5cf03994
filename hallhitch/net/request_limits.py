"""Validation of request heads: the classes and plans that they may name, and the formats of header fields."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Final

from hallhitch.decision import api

CUSTOMER: Final = re.compile(rb"[0-9a-fA-F]{16}")
CUSTOMER_END: Final = 1 << 33  # the platform numbers its customers below this
REQUEST_ID: Final = re.compile(rb"[0-9a-fA-F]{16}")
IDEMPOTENCY_KEY: Final = re.compile(rb"[!-~]{1,128}")
MAX_DEADLINE_MS: Final = 600_000
MAX_DIGITS: Final = 9
METERING_CACHE_SIZE: Final = 4096  # a customer's requests repeat the same header values
# Header fields that a request may contain only once.
SINGLE_HEADERS: Final = frozenset(
    (b"host", b"req-id", b"x-contract", b"x-metering", b"req-deadline-ms", b"idempotency-key", b"req-retry")
)


class UnacceptableRequest(Exception):  # noqa: N818  named for the event, as callers read it
    """Raised for a request that is answered with `status` and `text`, and neither counted nor forwarded."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


class RequestLimits:
    """The settings that requests are checked against, with its classes and plans by name."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {kind.name.encode(): (index, kind) for index, kind in enumerate(settings.classes)}
        self.plans = {plan.name.encode(): index for index, plan in enumerate(settings.plans)}

    def class_of(self, path: bytes) -> tuple[int, api.RequestClass] | None:
        """Return the index and the class that a path names, or None if there is no such class."""
        parts = path.split(b"/", 2)
        return self.classes.get(parts[1]) if len(parts) == 3 and not parts[0] else None


def parse_whole_number(value: bytes | None, field: str) -> int:
    """Parse a non-negative integer of MAX_DIGITS digits at most from a header value.

    Raises:
        UnacceptableRequest: the value is missing or not such a number.
    """
    if value is None or not value.isdigit() or len(value) > MAX_DIGITS:
        raise UnacceptableRequest(400, f"{field} is missing or no whole number")
    return int(value)


@lru_cache(METERING_CACHE_SIZE)
def parse_metering(value: bytes, max_units: float, gateways: int) -> tuple[float, float]:
    """Parse units and spread of an X-Metering header.

    Raises:
        UnacceptableRequest: a field is malformed, out of range or repeated.
    """
    parts = [part.strip().partition(b"=") for part in value.split(b",") if part.strip()]
    fields = {name: number for name, _, number in parts}
    if len(fields) < len(parts):
        raise UnacceptableRequest(400, "X-Metering names a field twice")
    units = parse_whole_number(fields.get(b"units", b"1"), "X-Metering units")
    spread = parse_whole_number(fields.get(b"spread", b"1"), "X-Metering spread")
    first = parse_whole_number(fields.get(b"first", b"0"), "X-Metering first")
    if not 1 <= units <= max(1.0, max_units):
        raise UnacceptableRequest(400, "X-Metering units are out of range")
    if not 1 <= spread <= gateways or first >= gateways:
        raise UnacceptableRequest(400, "X-Metering names gateways that there are not")
    return float(units), float(spread)
