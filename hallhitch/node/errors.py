"""Errors that are shared between packages: calls to peers, settings, durations."""

from __future__ import annotations


class NodeError(Exception):
    """Base of the errors of this package."""


class PeerCallError(NodeError):
    """A step that failed, with the peer that it involved ("" if none) and the reason."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step}: {reason}" + (f" (peer {peer})" if peer else ""))
        self.step = step
        self.peer = peer
        self.reason = reason


class RequestNotSent(PeerCallError):  # noqa: N818  named for the event, as callers read it
    """No part of the call was passed to a connection, so the peer did not handle it and it may be sent again."""


class RequestTimeout(PeerCallError):  # noqa: N818  named for the event, as callers read it
    """A part of the call was passed to a connection and no reply arrived; the peer may have handled it."""


class RequestRejected(PeerCallError):  # noqa: N818  named for the event, as callers read it
    """The peer replied with an error."""


class SettingsError(NodeError):
    """The settings are invalid; the message is one line that names the file and the field."""

    def __init__(self, reason: str, *, path: str = "", field: str = "") -> None:
        super().__init__(": ".join(part for part in (path, field, reason) if part))
        self.path = path
        self.field = field
        self.reason = reason


class DurationError(NodeError, ValueError):
    """The value is not a duration such as 1500ms or 2.5s. The message is also part of replies of the operator's API."""

    def __init__(self, value: object) -> None:
        super().__init__(f"{value!r} is no time such as 1500ms or 2.5s")
        self.value = value
