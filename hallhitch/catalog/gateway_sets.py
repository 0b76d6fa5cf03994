"""Assignment of a client's requests to gateways by rendezvous hashing (Thaler and Ravishankar, 1996).

Each pair of client and gateway has a weight that depends on nothing else; a client's set is the `spread` gateways of
greatest weight. A gateway that joins or leaves changes only the sets that it enters or was in: with n gateways, one
in n of all assignments moves, the least that keeps the sets even. The cost is one hash a gateway for each client that
is looked up; nothing is kept.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash

from hallhitch.catalog.errors import SpreadError


def rendezvous_weight(tenant: str, client: str, gateway: str) -> int:
    """Compute 64 bits, even over gateways and clients. Names never contain the separator."""
    return xxhash.xxh3_64_intdigest(f"{tenant}\0{client}\0{gateway}".encode())


def assigned_gateways(tenant: str, client: str, gateways: Iterable[str], spread: int) -> tuple[str, ...]:
    """Return the client's set, first gateway first; it is smaller than `spread` only where there are fewer gateways.

    Raises:
        SpreadError: The spread is below 1.
    """
    if spread < 1:
        raise SpreadError(spread)

    def weight_and_name(gateway: str) -> tuple[int, str]:
        # The name decides between equal weights, so that all who compute the set agree.
        return rendezvous_weight(tenant, client, gateway), gateway

    return tuple(heapq.nlargest(spread, gateways, key=weight_and_name))
