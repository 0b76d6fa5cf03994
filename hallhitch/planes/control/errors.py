"""Errors of the control plane; each has fields and a text that says what went wrong and where.

A call to a peer that fails raises `node.errors.PeerCallError` instead, as everywhere.
"""

from __future__ import annotations

from hallhitch.planes.control.ballot import Ballot


class ControlPlaneError(Exception):
    """The base of the control plane's own errors."""


class ProposalNotReadyError(ControlPlaneError):
    """An accept was asked of a proposal that has not chosen a state yet."""

    def __init__(self, ballot: Ballot) -> None:
        super().__init__(f"ballot {ballot.round} of {ballot.proposer} has no state to accept yet")
        self.ballot = ballot


class CorruptDatabaseError(ControlPlaneError):
    """A database of the data directory cannot be used."""

    def __init__(self, database: str, reason: str) -> None:
        super().__init__(f"{database} {reason}")
        self.database, self.reason = database, reason


class StorageMissingError(ControlPlaneError, OSError):
    """The settings name no data directory; handled like a disk that refuses."""

    def __init__(self) -> None:
        super().__init__("the settings name no data directory")


class InvalidConfigError(ControlPlaneError):
    """A configuration that is not valid; the message is one line that names the field."""

    def __init__(self, reason: str, *, path: str = "") -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.path = path
        self.reason = reason


class ConfigTooLargeError(InvalidConfigError):
    """A configuration that is larger than anything that is kept."""

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"{size_bytes} bytes are more than the {max_bytes} that are kept")
        self.size_bytes = size_bytes
        self.max_bytes = max_bytes
