"""Errors that cross the boundaries of the packages: calls to peers, settings, durations."""

from __future__ import annotations


class NodeError(Exception):
    """Base of the errors of this package."""


class PeerCallError(NodeError):
    """A step that failed, the peer that took part in it ("" if none), and the reason."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step}: {reason}" + (f" (peer {peer})" if peer else ""))
        self.step = step
        self.peer = peer
        self.reason = reason


class RequestNotSent(PeerCallError):  # noqa: N818  named for the event, as callers read it
    """No part of the call was handed to a connection: the peer did not handle it, and it may be sent again."""


class RequestTimeout(PeerCallError):  # noqa: N818  named for the event, as callers read it
    """A part of the call was handed to a connection and no reply came: the peer may have handled it."""


class RequestRejected(PeerCallError):  # noqa: N818  named for the event, as callers read it
    """The peer replied with an error."""


class SettingsError(NodeError):
    """Settings that cannot be used; the message is one line that names the file and the field."""

    def __init__(self, reason: str, *, path: str = "", field: str = "") -> None:
        super().__init__(": ".join(part for part in (path, field, reason) if part))
        self.path = path
        self.field = field
        self.reason = reason


class DurationError(NodeError, ValueError):
    """A value that is no duration such as 1500ms or 2.5s."""

    def __init__(self, value: object) -> None:
        super().__init__(f"{value!r} is no time such as 1500ms or 2.5s")
        self.value = value
