"""Which gateways a client's requests come through, by rendezvous hashing.

Each pair of client and gateway has a weight that depends on nothing else; a client's set is the `spread` gateways of
greatest weight. A gateway that joins or leaves changes only the sets that it enters or was in: of all places in sets,
one in as many as there are gateways moves, which is the least that keeps the sets even. The cost is one hash a gateway
for a client that is looked up, and nothing is kept.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash


def rendezvous_weight(tenant: str, client: str, gateway: str) -> int:
    """64 bits, even over gateways and clients. Names never contain the separator."""
    return xxhash.xxh3_64_intdigest(f"{tenant}\0{client}\0{gateway}".encode())


def assigned_gateways(tenant: str, client: str, gateways: Iterable[str], spread: int) -> tuple[str, ...]:
    """The client's set, its first gateway first: fewer than `spread` only where there are fewer gateways."""
    if spread < 1:
        raise ValueError(f"a client's set has at least one gateway, not {spread}")
    # The name decides between equal weights, so that all who compute the set agree.
    return tuple(
        heapq.nlargest(spread, gateways, key=lambda gateway: (rendezvous_weight(tenant, client, gateway), gateway))
    )
