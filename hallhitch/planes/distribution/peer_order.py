"""Orders the peers of a process by preference, by rendezvous hashing (Thaler and Ravishankar 1996).

Each name has its own order, so that the load is spread over the peers. Removing a peer does not reorder the others.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous_order(name: str, peers: Iterable[str]) -> list[str]:
    """Return the peers in the order of preference of the process `name`."""
    return sorted(peers, key=lambda peer: hashlib.blake2b(f"{name} {peer}".encode(), digest_size=8).digest())
