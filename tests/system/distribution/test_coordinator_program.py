"""A coordinator program: without quorum contact, and with an endpoint list that it cannot read whole."""

from __future__ import annotations

import asyncio
import json

import pytest

from hallhitch.messages.system_pb2 import ClusterState
from hallhitch.planes.control import state_transitions
from hallhitch.planes.discovery.endpoint_page import parse_page
from hallhitch.planes.discovery.platform_client import EndpointListReading
from hallhitch.planes.distribution.state_messages import decode_backend_delta
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


# Guards against drains that are not obeyed while a row of the list cannot be read (DRAIN).
def test_drains_are_passed_on_while_a_row_of_the_list_cannot_be_read() -> None:
    def page(odd_state: str, slots: object, other_state: str) -> bytes:
        fields = {"targetService": "s", "address": "10.9.0.1:80", "zone": "z"}
        odd = {**fields, "instanceId": "odd", "slotCount": slots, "state": odd_state}
        other = {**fields, "instanceId": "other", "slotCount": 4, "state": other_state}
        return json.dumps({"instances": [odd, other]}).encode()

    async def scenario(peers: SimulatedPeers) -> None:
        coordinators = SimulatedCoordinators(peers)
        await coordinators.start()
        await asyncio.sleep(1)
        program = coordinators.programs[SEEDS[0]]

        async def list_known_after(at_ms: float, body: bytes) -> dict[str, tuple[int, bool, bool]]:
            parsed = parse_page(body, at_ms)
            program._on_list_reading(EndpointListReading(at_ms, [*parsed.backends], [*parsed.unreadable_rows]))
            update = await coordinators.pull(SEEDS[0], "gateway", 0)
            backends = decode_backend_delta(update.backends, at_ms).entries.values()
            return {b.instance: (b.slots, b.is_draining, b.is_idempotent_only) for b in backends}

        known = await list_known_after(1.0, page("ready", 6, "ready"))
        assert known == {"odd": (6, False, False), "other": (4, False, False)}
        known = await list_known_after(2.0, page("ready", "six", "draining"))
        assert known == {"odd": (6, False, True), "other": (4, True, False)}
        known = await list_known_after(3.0, page("draining", 2**40, "ready"))
        assert known == {"odd": (6, True, True), "other": (4, True, False)}
        known = await list_known_after(4.0, page("ready", 7, "ready"))
        assert known == {"odd": (7, True, False), "other": (4, True, False)}
        for running in coordinators.programs.values():
            await running.shut_down()

    run_in_virtual_time(scenario)


@pytest.mark.parametrize(("recorded", "expected"), [("12", 12), ("", 0), ("many", 0), ("-1", 0), ("9" * 30, 2**32 - 1)])
def test_recorded_number_of_gateways_that_cannot_be_read_keeps_no_configuration_back(
    recorded: str, expected: int
) -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        coordinators = SimulatedCoordinators(peers)
        await coordinators.start()
        program = coordinators.programs[SEEDS[0]]
        state = ClusterState(serial=900, config_version=7, config=b"x", annotations={"gateways": recorded})
        program._on_commit(state)
        assert (program._hub.config.config_version, program._hub.config.max_gateways) == (7, expected)
        for running in coordinators.programs.values():
            await running.shut_down()

    run_in_virtual_time(scenario)
