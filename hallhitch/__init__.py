"""hallhitch: a gateway that keeps each customer of a shared back end to its plan, over all gateways."""

__version__ = "0.1.0"
