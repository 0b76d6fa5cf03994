"""Exceptions raised by discovery."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base class of the exceptions of discovery."""


class EndpointListError(DiscoveryError):
    """The endpoint list could not be read from the platform."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"cannot read the endpoint list: {reason}")
        self.reason = reason


class MalformedPageError(EndpointListError):
    """A page of the endpoint list does not have the platform's format."""
