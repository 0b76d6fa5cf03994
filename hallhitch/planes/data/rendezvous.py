"""Rendezvous hashing: an order of gateways for each backend, which all gateways compute alike without communication.

The weight of a pair depends only on the two names, so adding or removing a gateway changes no other weight.
Reference: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998 (highest random weight).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from hashlib import blake2b


class RendezvousWeights:
    """A cache of rendezvous weights by backend instance and gateway name."""

    def __init__(self) -> None:
        self._weights: dict[str, dict[str, int]] = {}

    def weight(self, instance: str, gateway: str) -> int:
        """Return the weight of a gateway for a backend instance; the gateway with the highest weight comes first."""
        weights = self._weights.setdefault(instance, {})
        weight = weights.get(gateway)
        if weight is None:
            digest = blake2b(f"{instance}\n{gateway}".encode(), digest_size=8).digest()
            weight = weights[gateway] = int.from_bytes(digest, "big")
        return weight

    def retain(self, instances: set[str], gateways: set[str]) -> None:
        """Drop the cached weights of all other instances and gateways."""
        for instance in [i for i in self._weights if i not in instances]:
            del self._weights[instance]
        for weights in self._weights.values():
            for gateway in [g for g in weights if g not in gateways]:
                del weights[gateway]

    def rank(self, instance: str, own_name: str, gateways: Iterable[str]) -> int:
        """Return how many of the gateways come before `own_name` in the order for this instance."""
        own_weight = self.weight(instance, own_name)
        return sum(1 for gateway in gateways if gateway != own_name and self.weight(instance, gateway) > own_weight)


def assign_owners(weights: RendezvousWeights, instances: Sequence[str], gateways: Sequence[str]) -> dict[str, str]:
    """Return the owning gateway of each instance, assigning pairs by descending weight.

    No gateway owns more than an even share of the instances, rounded up. Without this limit, rendezvous hashing would
    assign all of four backends to the same one of two gateways in one of eight cases.
    """
    if not gateways:
        return {}
    max_per_gateway = -(-len(instances) // len(gateways))
    owned_counts = dict.fromkeys(gateways, 0)
    owners: dict[str, str] = {}
    pairs = sorted(((weights.weight(i, g), i, g) for i in instances for g in gateways), reverse=True)
    for _, instance, gateway in pairs:
        if instance not in owners and owned_counts[gateway] < max_per_gateway:
            owners[instance] = gateway
            owned_counts[gateway] += 1
    return owners
