"""Errors of the catalog package; all derive from `CatalogError`."""

from __future__ import annotations

from typing import ClassVar


class CatalogError(Exception):
    """Base class of all errors of the catalog."""


class ChangeRefused(CatalogError):  # noqa: N818  named after the event
    """A change was rejected as a whole; `code` is a stable identifier, `field` a path into the change."""

    CODES: ClassVar = ("not-found", "stale", "invalid", "over-limit", "in-use", "taken")

    def __init__(self, code: str, field: str, detail: str) -> None:
        super().__init__(f"{field}: {detail}")
        self.code = code
        self.field = field
        self.detail = detail


class FeedError(CatalogError):
    """A line of the feed is malformed or does not apply to the current catalog, which stays unchanged."""


class GatewayNameTaken(CatalogError):  # noqa: N818  named after the event
    """Another instance holds the lease of this gateway name for another `remaining_ms`."""

    def __init__(self, name: str, remaining_ms: float) -> None:
        super().__init__(f"{name} is another instance's for {remaining_ms:.0f} ms")
        self.name = name
        self.remaining_ms = remaining_ms


class SlotError(CatalogError, ValueError):
    """The number of slots is below 1, or a tenant releases a slot that it does not hold."""


class SpreadError(CatalogError, ValueError):
    """The spread of a client's set of gateways is below 1."""

    def __init__(self, spread: int) -> None:
        super().__init__(f"the spread of a client must be at least 1 gateway, not {spread}")
        self.spread = spread


class DiffMismatch(CatalogError, ValueError):  # noqa: N818  named after the event
    """A diff was applied to a catalog at another version than its base version."""

    def __init__(self, since: tuple[int, int], current: tuple[int, int]) -> None:
        super().__init__(f"the diff applies to {since[0]}.{since[1]}, but the catalog is at {current[0]}.{current[1]}")
        self.since = since
        self.held = current


class TenantFileError(CatalogError, ValueError):
    """A field of a tenant file is invalid; as a ValueError, msgspec reports it like a wrong type."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"field '{field}': {reason}")
        self.field = field
        self.reason = reason
