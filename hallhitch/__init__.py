"""hallhitch: the decisions of a gateway that keeps each customer of a shared back end to its plan."""

from hallhitch.policy import Gateway

__version__ = "0.1.0"
__all__ = ["Gateway"]
