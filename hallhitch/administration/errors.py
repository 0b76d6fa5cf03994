"""Errors of the administration service, all of one base.

Errors of the API's answers are in `api/problems.py`; refusals of a change are the catalog's (`ChangeRefused`).
"""

from __future__ import annotations


class AdministrationError(Exception):
    """Base of the administration service's errors."""


class StoreError(AdministrationError):
    """The store cannot be used: `location` names the file or row, `reason` what is wrong with it."""

    def __init__(self, location: object, reason: object) -> None:
        super().__init__(f"{location}: {reason}")
        self.location = str(location)
        self.reason = str(reason)


class CorruptStoreError(StoreError):
    """A row does not hold what was written there."""


class BatchNotWrittenError(StoreError):
    """A batch was rolled back as a whole. The same batch may be retried."""


class WriteQueueFull(AdministrationError):  # noqa: N818  named for the event, as callers read it
    """The writer's queue holds as many calls as it may."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"{limit} calls wait already")
        self.limit = limit


class IdempotencyKeyReused(AdministrationError):  # noqa: N818  named for the event, as callers read it
    """The idempotency key was used for a different call."""

    def __init__(self, caller: str, key: str) -> None:
        super().__init__(f"{caller}: the key {key!r} was used for another call")
        self.caller = caller
        self.key = key


class CredentialNoLongerValid(AdministrationError):  # noqa: N818  named for the event, as callers read it
    """The caller's credential expired or was revoked between admission and the change."""

    def __init__(self, caller: str) -> None:
        super().__init__(f"{caller}: the credential is no longer valid")
        self.caller = caller


class WriterHalted(AdministrationError):  # noqa: N818  named for the event, as callers read it
    """Nothing is changed before a restart: the service ends, or a failed write left the store's state in doubt."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class CheckQueueFull(AdministrationError):  # noqa: N818  named for the event, as callers read it
    """As many secret checks wait as may."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"{limit} checks wait already")
        self.limit = limit


class SnapshotTransfersFull(AdministrationError):  # noqa: N818  named for the event, as callers read it
    """As many snapshots are under way to gateways as may be; `retry_after_s` is when to ask again."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"come back in {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s
