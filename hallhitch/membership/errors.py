"""Errors of the membership package."""

from __future__ import annotations

from enum import StrEnum


class MembershipError(Exception):
    """Base class of the errors of this package."""


class RejectReason(StrEnum):
    """Why a datagram was rejected; the value is also the `reason` label of the metric that counts dropped datagrams."""

    SIZE = "size"
    FORMAT = "form"
    CLUSTER = "cluster"


class DatagramError(MembershipError):
    """A received datagram is not a valid message of this cluster and protocol version."""

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(f"datagram rejected: {reason.value}")
        self.reason = reason


class MemberNameError(MembershipError):
    """A gateway's configured name is not a valid member name."""

    def __init__(self, name: str, max_length: int) -> None:
        super().__init__(
            f"invalid member name '{name}': must be 1 to {max_length} ASCII letters, digits or . _ : / @ -"
        )
        self.name = name


class NotStartedError(MembershipError):
    """The service has no view, because it is not started or has been closed."""

    def __init__(self) -> None:
        super().__init__("membership is not started")
