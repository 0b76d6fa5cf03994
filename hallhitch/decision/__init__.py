"""The decision module: selects servers, retries and rejects. It maps events to actions and does no I/O."""

from hallhitch.decision.policy import Gateway

__all__ = ["Gateway"]
