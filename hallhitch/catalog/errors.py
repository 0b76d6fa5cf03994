"""Errors of the catalog package, all of one base."""

from __future__ import annotations

from typing import ClassVar


class CatalogError(Exception):
    """Base of the catalog's errors."""


class ChangeRefused(CatalogError):  # noqa: N818  named for the event, as callers read it
    """A change is not made, nor any part of it; `code` is stable, `field` a path into the change."""

    CODES: ClassVar = ("not-found", "stale", "invalid", "over-limit", "in-use", "taken")

    def __init__(self, code: str, field: str, detail: str) -> None:
        super().__init__(f"{field}: {detail}")
        self.code = code
        self.field = field
        self.detail = detail


class FeedError(CatalogError):
    """A line of the feed, or its end, does not lead on from the catalog that is held; that catalog stays."""


class GatewayNameTaken(CatalogError):  # noqa: N818  named for the event, as callers read it
    """Another instance of this gateway's name holds the lease for so long."""

    def __init__(self, name: str, remaining_ms: float) -> None:
        super().__init__(f"{name} is another instance's for {remaining_ms:.0f} ms")
        self.name = name
        self.remaining_ms = remaining_ms


class SlotError(CatalogError, ValueError):
    """Slots are created without any, or a tenant gives one back that it does not hold."""


class SpreadError(CatalogError, ValueError):
    """A client's set of gateways is asked for with a spread below 1."""

    def __init__(self, spread: int) -> None:
        super().__init__(f"a client's set has at least one gateway, not {spread}")
        self.spread = spread


class DiffMismatch(CatalogError, ValueError):  # noqa: N818  named for the event, as callers read it
    """A diff is applied to a catalog at another version than the one it leads on from."""

    def __init__(self, since: tuple[int, int], held: tuple[int, int]) -> None:
        super().__init__(f"the diff leads on from {since[0]}.{since[1]}, not from {held[0]}.{held[1]}")
        self.since = since
        self.held = held


class TenantFileError(CatalogError, ValueError):
    """A field of a tenant's file does not fit; msgspec reports it as it reports a wrong type."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"field '{field}': {reason}")
        self.field = field
        self.reason = reason
