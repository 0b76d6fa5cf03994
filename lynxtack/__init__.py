"""lynxtack: the decisions of a gateway that keeps each customer of a shared back end to its plan."""

from lynxtack.policy import Gateway

__all__ = ["Gateway"]
