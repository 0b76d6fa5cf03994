"""hallhitch: a load balancer whose gateways together enforce each customer's quota on shared backends."""

__version__ = "0.1.0"
