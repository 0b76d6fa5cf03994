"""Whose backend is it first: an order of gateways for each backend that all of them reckon alike.

Rendezvous hashing: no talk is needed, and one gateway more or less moves only its own places.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from hashlib import blake2b


class RendezvousWeights:
    """Rendezvous weights, kept while both sides live."""

    def __init__(self) -> None:
        self._known: dict[str, dict[str, int]] = {}

    def of(self, instance: str, gateway: str) -> int:
        """The weight of a gateway for a backend's life; the highest goes first."""
        known = self._known.setdefault(instance, {})
        weight = known.get(gateway)
        if weight is None:
            digest = blake2b(f"{instance}\n{gateway}".encode(), digest_size=8).digest()
            weight = known[gateway] = int.from_bytes(digest, "big")
        return weight

    def keep(self, instances: set[str], gateways: set[str]) -> None:
        """Forget all others."""
        for instance in [i for i in self._known if i not in instances]:
            del self._known[instance]
        for known in self._known.values():
            for gateway in [g for g in known if g not in gateways]:
                del known[gateway]

    def rank(self, instance: str, own: str, gateways: Iterable[str]) -> int:
        """How many of the gateways come before `own` for this backend."""
        mine = self.of(instance, own)
        return sum(1 for gateway in gateways if gateway != own and self.of(instance, gateway) > mine)


def owners(weights: RendezvousWeights, instances: Sequence[str], gateways: Sequence[str]) -> dict[str, str]:
    """Which gateway owns which backend: the weightiest pairs first, nobody more than an even part rounded up.

    Plain rendezvous would give one of two gateways all of four backends once in eight times.
    """
    if not gateways:
        return {}
    most = -(-len(instances) // len(gateways))
    held = dict.fromkeys(gateways, 0)
    owned: dict[str, str] = {}
    pairs = sorted(((weights.of(i, g), i, g) for i in instances for g in gateways), reverse=True)
    for _, instance, gateway in pairs:
        if instance not in owned and held[gateway] < most:
            owned[instance] = gateway
            held[gateway] += 1
    return owned
