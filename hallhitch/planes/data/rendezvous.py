"""Rendezvous hashing: for each backend an order of gateways that every gateway computes alike, without communication.

The weight of a pair depends on nothing but the two names: one gateway more or less changes no other weight.
Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998 (highest random weight).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from hashlib import blake2b


class RendezvousWeights:
    """A cache of rendezvous weights by backend instance and gateway name."""

    def __init__(self) -> None:
        self._weights: dict[str, dict[str, int]] = {}

    def weight(self, instance: str, gateway: str) -> int:
        """Return the weight of a gateway for a backend instance; the highest comes first."""
        weights = self._weights.setdefault(instance, {})
        weight = weights.get(gateway)
        if weight is None:
            digest = blake2b(f"{instance}\n{gateway}".encode(), digest_size=8).digest()
            weight = weights[gateway] = int.from_bytes(digest, "big")
        return weight

    def retain(self, instances: set[str], gateways: set[str]) -> None:
        """Drop the weights of all other instances and gateways."""
        for instance in [i for i in self._weights if i not in instances]:
            del self._weights[instance]
        for weights in self._weights.values():
            for gateway in [g for g in weights if g not in gateways]:
                del weights[gateway]

    def rank(self, instance: str, own: str, gateways: Iterable[str]) -> int:
        """Return how many of the gateways come before `own` for this instance."""
        own_weight = self.weight(instance, own)
        return sum(1 for gateway in gateways if gateway != own and self.weight(instance, gateway) > own_weight)


def assign_owners(weights: RendezvousWeights, instances: Sequence[str], gateways: Sequence[str]) -> dict[str, str]:
    """Return the owning gateway of each instance: the heaviest pairs first, none with more than an even share.

    The even share is rounded up. Plain rendezvous hashing would give one of two gateways all of four backends once in
    eight times.
    """
    if not gateways:
        return {}
    max_per_gateway = -(-len(instances) // len(gateways))
    owned_by = dict.fromkeys(gateways, 0)
    owners: dict[str, str] = {}
    pairs = sorted(((weights.weight(i, g), i, g) for i in instances for g in gateways), reverse=True)
    for _, instance, gateway in pairs:
        if instance not in owners and owned_by[gateway] < max_per_gateway:
            owners[instance] = gateway
            owned_by[gateway] += 1
    return owners
