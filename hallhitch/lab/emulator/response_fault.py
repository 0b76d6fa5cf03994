"""Faults in the responses of emulated backends."""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class ResponseFault(StrEnum):
    """A fault in the response to a request that was executed."""

    BROKEN_OFF = "broken"
    DUPLICATED = "doubled"
    DUPLICATED_LATE = "late"
    LOST = "lost"  # the connection is reset instead of a response
    GARBLED = "garbled"
    SILENT = "silent"  # nothing is sent until the connection closes


# With these faults, a client receives no complete response of the backend.
FAULTS_WITHOUT_RESPONSE: Final = frozenset(
    (ResponseFault.BROKEN_OFF, ResponseFault.LOST, ResponseFault.GARBLED, ResponseFault.SILENT)
)
