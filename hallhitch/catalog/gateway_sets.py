"""Assignment of a client's requests to gateways by rendezvous hashing (Thaler and Ravishankar, 1996).

Each pair of client and gateway has a weight that depends on nothing else; a client's set consists of the `spread`
gateways with the greatest weights. A gateway that joins or leaves changes only the sets that it enters or leaves: with
n gateways, one in n of all assignments moves, the minimum for balanced sets. A lookup costs one hash per gateway and
stores nothing.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash

from hallhitch.catalog.errors import SpreadError


def rendezvous_weight(tenant: str, client: str, gateway: str) -> int:
    """Compute a uniformly distributed 64-bit weight. Names never contain the separator."""
    return xxhash.xxh3_64_intdigest(f"{tenant}\0{client}\0{gateway}".encode())


def assigned_gateways(tenant: str, client: str, gateways: Iterable[str], spread: int) -> tuple[str, ...]:
    """Return the client's set, greatest weight first; it has `spread` gateways, or all if there are fewer.

    Raises:
        SpreadError: The spread is below 1.
    """
    if spread < 1:
        raise SpreadError(spread)

    def weight_and_name(gateway: str) -> tuple[int, str]:
        # The name breaks ties between equal weights, so that all processes compute the same set.
        return rendezvous_weight(tenant, client, gateway), gateway

    return tuple(heapq.nlargest(spread, gateways, key=weight_and_name))
