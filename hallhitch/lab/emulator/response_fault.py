"""Faults of the responses of emulated backends."""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class ResponseFault(StrEnum):
    """What goes wrong with the response to an executed request."""

    BROKEN_OFF = "broken"
    DUPLICATED = "doubled"
    DUPLICATED_LATE = "late"
    LOST = "lost"  # the connection is reset instead
    GARBLED = "garbled"
    SILENT = "silent"  # nothing is sent until the connection closes


# Of these a client sees no complete response of the backend's making.
FAULTS_WITHOUT_RESPONSE: Final = frozenset(
    (ResponseFault.BROKEN_OFF, ResponseFault.LOST, ResponseFault.GARBLED, ResponseFault.SILENT)
)
