"""Framing errors, and the reasons for rejecting received bytes or envelopes."""

from __future__ import annotations

from enum import Enum


class Rejection(Enum):
    """Why received bytes or an envelope are rejected; the value is the `reason` field of the log line."""

    FRAME_TOO_LARGE = "frame too large"
    MALFORMED_ENVELOPE = "malformed envelope"
    WRONG_CLUSTER = "wrong cluster"
    WRONG_RECIPIENT_ADDRESS = "wrong recipient address"
    WRONG_RECIPIENT_INCARNATION = "wrong recipient incarnation"
    WRONG_SENDER = "wrong sender"
    DUPLICATE_CALL = "duplicate call"
    UNEXPECTED_REPLY = "reply where a call was expected"
    UNEXPECTED_CALL = "call where a reply was expected"
    UNMATCHED_REPLY = "reply without a pending call"


class MessageError(Exception):
    """Base of the errors of this package."""


class FrameError(MessageError):
    """The byte stream cannot be decoded any further; its connection has to be closed."""

    def __init__(self, reason: Rejection) -> None:
        super().__init__(f"cannot decode the byte stream: {reason.value}")
        self.reason = reason
