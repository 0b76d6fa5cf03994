"""Errors of the control plane. The message of each says what failed and where; its fields hold the same data.

A failed call to a peer raises `node.errors.PeerCallError` instead, as in the other packages.
"""

from __future__ import annotations

from hallhitch.planes.control.ballot import Ballot


class ControlPlaneError(Exception):
    """Base class of the errors that are specific to the control plane."""


class ProposalNotReadyError(ControlPlaneError):
    """The accept of a proposal was requested before the proposal had a state."""

    def __init__(self, ballot: Ballot) -> None:
        super().__init__(f"ballot {ballot.round} of {ballot.proposer} has no proposed state yet")
        self.ballot = ballot


class CorruptDatabaseError(ControlPlaneError):
    """A database in the data directory is unreadable or fails verification."""

    def __init__(self, database: str, reason: str) -> None:
        super().__init__(f"{database} {reason}")
        self.database, self.reason = database, reason


class StorageMissingError(ControlPlaneError, OSError):
    """The settings name no data directory; an `OSError`, so that it is handled like a failed write."""

    def __init__(self) -> None:
        super().__init__("the settings name no data directory")


class InvalidConfigError(ControlPlaneError):
    """A configuration is invalid; the message is one line that names the field."""

    def __init__(self, reason: str, *, path: str = "") -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.path = path
        self.reason = reason


class ConfigTooLargeError(InvalidConfigError):
    """A configuration exceeds the maximum size that is stored."""

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"{size_bytes} bytes are more than the {max_bytes} that are kept")
        self.size_bytes = size_bytes
        self.max_bytes = max_bytes
