"""Errors of the catalog package, all of one base."""

from __future__ import annotations

from typing import ClassVar


class CatalogError(Exception):
    """Base of the catalog's errors."""


class ChangeRefused(CatalogError):
    """A change is not made, nor any part of it; `code` is stable, `field` a path into the change."""

    CODES: ClassVar = ("not-found", "stale", "invalid", "over-limit", "in-use", "taken")

    def __init__(self, code: str, field: str, detail: str) -> None:
        super().__init__(f"{field}: {detail}")
        self.code = code
        self.field = field
        self.detail = detail


class FeedError(CatalogError):
    """A line of the feed, or its end, does not lead on from the catalog that is held; that catalog stays."""


class GatewayNameTaken(CatalogError):
    """Another instance of this gateway's name holds the lease for so long."""

    def __init__(self, name: str, remaining_ms: float) -> None:
        super().__init__(f"{name} is another instance's for {remaining_ms:.0f} ms")
        self.name = name
        self.remaining_ms = remaining_ms


class SlotError(CatalogError, ValueError):
    """Slots are created without any, or a tenant gives one back that it does not hold."""
