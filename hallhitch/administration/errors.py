"""Errors of the administration service, with a common base class.

The error responses of the API are in `api/problems.py`; a change that breaks a rule of the catalog raises its
`ChangeRefused`.
"""

from __future__ import annotations


class AdministrationError(Exception):
    """Base class of the administration service's errors."""


class StoreError(AdministrationError):
    """The store cannot be used; `location` names the file or row, and `reason` says what is wrong with it."""

    def __init__(self, location: object, reason: object) -> None:
        super().__init__(f"{location}: {reason}")
        self.location = str(location)
        self.reason = str(reason)


class CorruptStoreError(StoreError):
    """The database is damaged: its content differs from what was written."""


class BatchNotWrittenError(StoreError):
    """A transaction failed and was rolled back as a whole. The same calls may be retried."""


class WriteQueueFull(AdministrationError):  # noqa: N818  the name states what happened
    """The writer's queue is full."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"{limit} calls are waiting already; the queue of the writer is full")
        self.limit = limit


class IdempotencyKeyReused(AdministrationError):  # noqa: N818  the name states what happened
    """The idempotency key was used for a different call."""

    def __init__(self, caller: str, key: str) -> None:
        super().__init__(f"{caller}: the idempotency key {key!r} was already used for a different call")
        self.caller = caller
        self.key = key


class CredentialNoLongerValid(AdministrationError):  # noqa: N818  the name states what happened
    """The caller's credential expired or was revoked between admission and the change."""

    def __init__(self, caller: str) -> None:
        super().__init__(f"{caller}: the credential is no longer valid")
        self.caller = caller


class WriterHalted(AdministrationError):  # noqa: N818  the name states what happened
    """The writer accepts no calls until a restart.

    Either the service is shutting down, or a failed write left unclear what the store holds.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class CheckQueueFull(AdministrationError):  # noqa: N818  the name states what happened
    """The queue of secrets to hash or to verify is full."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"{limit} secrets are waiting already; the queue for hashing and verification is full")
        self.limit = limit


class SnapshotTransfersFull(AdministrationError):  # noqa: N818  the name states what happened
    """The limit of concurrent snapshot transfers is reached; the gateway may retry after `retry_after_s`."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"too many snapshot transfers; retry after {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s
