"""Errors of the system carry the step at which they arose, and the peer that had a part in them."""

from __future__ import annotations


class PeerCallError(Exception):
    """Something failed at a step of ours, towards a peer ("" = none)."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step}: {reason}" + (f" (peer {peer})" if peer else ""))
        self.step, self.peer, self.reason = step, peer, reason


class RequestNotSent(PeerCallError):
    """Surely nothing of the call was handed to a connection: it was not done, and may be sent again or elsewhere."""


class RequestTimeout(PeerCallError):
    """No answer came after the call was handed over, even in part: what was asked may have been done."""


class RequestRejected(PeerCallError):
    """The peer answered that it would not."""
