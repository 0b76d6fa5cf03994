"""The coordinators that a coordinator pulls from."""

from __future__ import annotations

import asyncio

from hallhitch.planes.distribution.peer_sync import REMOVE_AFTER_WINDOWS, PeerSync
from hallhitch.planes.distribution.ports import SyncContext
from tests.system.distribution.simulated_peers import (
    BOUNDS,
    SimulatedLink,
    SimulatedPeers,
    make_gateway,
    run_in_virtual_time,
)


def test_unresponsive_coordinator_that_is_not_a_member_is_removed() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        hub, responsive = peers.add_coordinator("c1:1", 1), peers.add_coordinator("c2:1", 1)
        responsive.coordinators = ("c2:1",)
        link = SimulatedLink(peers, "c1:1")
        sync = PeerSync(SyncContext(link, hub, lambda: make_gateway("c1"), peers.clock, BOUNDS), lambda: None)
        sync.add_peers(["c2:1", "c3:1", "gone:1"])
        await asyncio.sleep(REMOVE_AFTER_WINDOWS * BOUNDS.contact_window_ms / 1000 + 1)
        sync.remove_unresponsive({"c3:1"})
        assert set(sync.replicas) == {"c2:1", "c3:1"} and sync.live_peers(1800) == ["c2:1"]
        requests = peers.request_count["gone:1"]
        await asyncio.sleep(5)
        assert peers.request_count["gone:1"] == requests
        sync.add_peers(["gone:1"])  # it has recovered and pulls again
        assert "gone:1" in sync.replicas

    run_in_virtual_time(scenario)
