"""The errors that the lab raises."""

from __future__ import annotations


class LabError(Exception):
    """Base of the lab's own errors."""


class UnexpectedPayloadError(LabError):
    """An attempt whose payload no modelled client has sent."""

    def __init__(self, payload: object) -> None:
        super().__init__(f"attempt with a payload of type {type(payload).__name__}, not a client's request")
        self.payload = payload


class GatewayNotRunningError(LabError):
    """A fault for a gateway that has no running process."""

    def __init__(self, number: int) -> None:
        super().__init__(f"gateway {number} is not running")
        self.number = number


class GatewayStartError(LabError):
    """A gateway process that ended before it reported that it serves."""

    def __init__(self, number: int) -> None:
        super().__init__(f"gateway {number} ended before it served")
        self.number = number
