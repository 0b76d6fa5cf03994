"""The order in which a process prefers its peers: rendezvous hashing (Thaler and Ravishankar 1996).

Each name has an order of its own, so that the load spreads over the peers; a peer that goes does not move the others.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous_order(name: str, peers: Iterable[str]) -> list[str]:
    """Return the peers in the order in which `name` prefers them."""
    return sorted(peers, key=lambda peer: hashlib.blake2b(f"{name} {peer}".encode(), digest_size=8).digest())
