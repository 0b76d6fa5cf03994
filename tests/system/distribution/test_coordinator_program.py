"""A coordinator program without quorum contact: its directory, first configurations and the age of its contact."""

from __future__ import annotations

import asyncio
import json

from hallhitch.planes.control import state_transitions
from hallhitch.programs.coordinator import CoordinatorProgram
from tests.system.distribution.simulated_core import SEEDS, SimulatedCoordinators
from tests.system.distribution.simulated_peers import SimulatedPeers, run_in_virtual_time


def resolve(program: CoordinatorProgram) -> set[str]:
    status, _, body = program._handle_resolve("GET", "/hallhitch/resolve?name=h&region=r&zone=z", b"")
    return set(json.loads(body)["addresses"]) if status == 200 else set()


def test_coordinator_without_quorum_contact_uses_only_its_direct_gateways() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        coordinators = SimulatedCoordinators(peers)
        await coordinators.start()
        await asyncio.sleep(1)
        first, second, _ = (coordinators.programs[address] for address in SEEDS)
        await second._control.propose(state_transitions.replace_config(1, b"x"), 800)
        for _ in range(12):
            await coordinators.pull(SEEDS[0], "near", 0)
            await coordinators.pull(SEEDS[1], "far", 0)
            await asyncio.sleep(0.3)
        update = await coordinators.pull(SEEDS[0], "new", 0)
        serial = update.config.serial
        assert serial == first._control.committed_state.serial
        assert 0 <= update.quorum_contact_age_ms <= first._control.lease.length_ms
        assert {"near:80", "far:80"} <= resolve(first)

        others = SEEDS[1:]
        peers.cut_links = {(peer, SEEDS[0]) for peer in others} | {(SEEDS[0], peer) for peer in others}
        peers.loop.suspend(20)  # no task of any program runs in this time
        assert "near:80" in resolve(first) and "far:80" not in resolve(first)
        assert (await coordinators.pull(SEEDS[0], "newer", 0)).config.serial == 0  # it sends no first configuration
        update = await coordinators.pull(SEEDS[0], "near", 0)
        serial = update.config.serial
        assert update.quorum_contact_age_ms > first._control.lease.length_ms
        assert (await coordinators.pull(SEEDS[0], "near", 1)).config.serial >= serial
        await asyncio.sleep(1)
        assert (await coordinators.pull(SEEDS[1], "newer", 0)).config.serial > 0

        peers.cut_links = set()
        await asyncio.sleep(1)
        assert (await coordinators.pull(SEEDS[0], "newer", 0)).config.serial > 0
        for program in coordinators.programs.values():
            await program.shut_down()

    run_in_virtual_time(scenario)
