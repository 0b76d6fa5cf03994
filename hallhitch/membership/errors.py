"""Errors of the membership package."""

from __future__ import annotations

from enum import StrEnum


class MembershipError(Exception):
    """Base of all errors that this package raises."""


class RejectReason(StrEnum):
    """Why a datagram was rejected; the value is the `reason` label of the metric that counts it."""

    SIZE = "size"
    FORMAT = "form"
    CLUSTER = "cluster"


class DatagramError(MembershipError):
    """A received datagram is no message of this cluster and protocol version."""

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(f"datagram rejected: {reason.value}")
        self.reason = reason


class MemberNameError(MembershipError):
    """A gateway's name cannot be sent as a member's name."""

    def __init__(self, name: str, max_length: int) -> None:
        super().__init__(f"'{name}' is no member's name: 1 to {max_length} letters, digits or any of . _ : / @ -")
        self.name = name


class NotStartedError(MembershipError):
    """The service has no view before it is started."""

    def __init__(self) -> None:
        super().__init__("membership is not started")
