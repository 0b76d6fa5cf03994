"""The decision module: which server, whether to retry, what to turn away. Events in, actions out; no I/O."""

from hallhitch.decision.policy import Gateway

__all__ = ["Gateway"]
