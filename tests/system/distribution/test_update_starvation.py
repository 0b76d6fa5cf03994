"""Frequent changes of one part of the state do not delay the distribution of another part."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.messages.system_pb2 import StateRequest, StateUpdate
from hallhitch.planes.distribution.peer_replica import PeerReplica
from hallhitch.planes.distribution.state_hub import CHUNK_ENTRIES_WITH_CONFIG, StateHub
from hallhitch.planes.distribution.versioned_map import CHUNK_ENTRIES
from tests.system.distribution.simulated_peers import (
    SimulatedPeers,
    make_backend,
    make_gateway,
    run_in_virtual_time,
)

COORDINATOR = "c1:1"
CHANGE_INTERVAL_S = 0.1
CHANGE_COUNT = 100
ROUND_TRIP_LIMIT = 4  # round trips within which a change of the list must reach a gateway


def pull(source: StateHub, replica: PeerReplica, hub: StateHub, at: float) -> None:
    """Pull once from a peer, without delay."""
    request = replica.build_request(make_gateway("me"), hub, 0.0, direct_only=False)
    update = source.build_update(StateRequest.FromString(request.SerializeToString()))
    assert update is not None
    replica.record_reply(update, at, 2000.0)
    replica.apply(update, hub, at, updates_view=True)


async def change_config(peers: SimulatedPeers) -> None:
    """Change the configuration CHANGE_COUNT times."""
    for serial in range(2, CHANGE_COUNT + 2):
        peers.hubs[COORDINATOR].update_config(serial, serial, b"", [])
        await asyncio.sleep(CHANGE_INTERVAL_S)


@pytest.mark.parametrize("one_way_ms", [35.0, 55.0, 150.0])
def test_draining_backend_is_known_in_time_while_the_configuration_keeps_changing(one_way_ms: float) -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        hub = peers.add_coordinator(COORDINATOR, serial=1)
        hub.update_backends(peers.clock(), [make_backend("i-1"), make_backend("i-2")])
        sync = peers.add_gateway("me", [COORDINATOR])
        sync.start()
        await asyncio.sleep(3)
        peers.delay_ms = lambda: one_way_ms
        changes = asyncio.ensure_future(change_config(peers))
        await asyncio.sleep(2)
        drained_at = peers.clock()
        hub.update_backends(peers.clock(), [make_backend("i-1", is_draining=True), make_backend("i-2")])
        while not any(backend.is_draining for backend in sync._hub.backends.values()) and not changes.done():
            await asyncio.sleep(0.01)
        assert peers.clock() - drained_at <= ROUND_TRIP_LIMIT * 2 * one_way_ms
        await changes

    run_in_virtual_time(scenario)


@pytest.mark.parametrize("changed_count", [1, 3 * CHUNK_ENTRIES])
def test_list_age_in_a_reply_is_not_applied_to_a_list_without_the_newest_changes(changed_count: int) -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        source, hub = peers.add_coordinator(COORDINATOR, serial=1), StateHub(9, peers.clock)
        replica = PeerReplica(COORDINATOR, peers.clock)
        names = [f"i-{n}" for n in range(3 * CHUNK_ENTRIES)]
        await asyncio.sleep(1)
        source.update_backends(peers.clock(), [make_backend(name) for name in names])
        while len(hub.backends) < len(names):
            pull(source, replica, hub, peers.clock())
        await asyncio.sleep(1)
        changed_at = peers.clock()
        drained = names[:changed_count]
        source.update_backends(changed_at, [make_backend(name, is_draining=name in drained) for name in names])
        for serial in range(2, 30):
            await asyncio.sleep(0.01)
            source.update_config(serial, serial, b"", [])
            pull(source, replica, hub, peers.clock())
            known_count = sum(backend.is_draining for backend in hub.backends.values())
            assert known_count == (changed_count if hub.list_read_at > changed_at - 500 else 0)
        assert hub.config.serial == 29 and known_count == changed_count

    run_in_virtual_time(scenario)


def test_configuration_that_keeps_changing_delays_no_other_part_of_the_state() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        hub = peers.add_coordinator(COORDINATOR, serial=1)
        hub.update_backends(peers.clock(), [make_backend("i-1")])
        sync = peers.add_gateway("me", [COORDINATOR])
        sync.start()
        await asyncio.sleep(3)
        peers.delay_ms = lambda: 150.0
        changes = asyncio.ensure_future(change_config(peers))
        await asyncio.sleep(2)
        hub.set_gateways({"g1:1": make_gateway("g1")})
        hub.set_holders({7: "g1:1"})
        hub.update_backends(peers.clock(), [make_backend("i-1"), make_backend("i-2")])
        await asyncio.sleep(ROUND_TRIP_LIMIT * 0.3)
        assert not changes.done()
        assert len(sync._hub.backends) == 2 and "g1:1" in sync._hub.gateways and sync._hub.holders == {7: "g1:1"}
        await changes

    run_in_virtual_time(scenario)


def test_first_configuration_is_sent_alone_and_a_later_one_with_short_chunks_of_the_lists() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        source, hub = peers.add_coordinator(COORDINATOR, serial=1), StateHub(9, peers.clock)
        source.update_backends(0.0, [make_backend(f"i-{n}") for n in range(3 * CHUNK_ENTRIES)])
        source.set_gateways({f"g{n}:1": make_gateway(f"g{n}") for n in range(3 * CHUNK_ENTRIES)})
        replica = PeerReplica(COORDINATOR, peers.clock)
        request = replica.build_request(make_gateway("me"), hub, 0.0, direct_only=False)
        first = source.build_update(request)
        request.known_versions["config"].number = 1
        source.update_config(2, 2, b"", [])
        later = source.build_update(request)
        request.known_versions["config"].number = 2
        lists_only = source.build_update(request)
        assert first is not None and later is not None and lists_only is not None
        assert first.HasField("config") and not first.HasField("backends") and not first.HasField("gateways")
        assert later.config.serial == 2 and not lists_only.HasField("config")
        assert len(later.backends.entries) == len(later.gateways.entries) == CHUNK_ENTRIES_WITH_CONFIG
        assert len(lists_only.backends.entries) == len(lists_only.gateways.entries) == CHUNK_ENTRIES

    run_in_virtual_time(scenario)


def test_list_age_from_an_earlier_release_is_ignored_in_a_reply_with_a_configuration() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        source, hub = peers.add_coordinator(COORDINATOR, serial=1), StateHub(9, peers.clock)
        replica = PeerReplica(COORDINATOR, peers.clock)
        await asyncio.sleep(1)
        source.update_backends(peers.clock(), [make_backend("i-1")])
        for _ in range(2):  # first the configuration, then the list
            pull(source, replica, hub, peers.clock())
        read_at = hub.list_read_at
        await asyncio.sleep(1)
        update = StateUpdate(incarnation=source.incarnation, endpoint_list_age_ms=1.0)
        update.config.serial = 2
        replica.apply(update, hub, peers.clock(), updates_view=True)
        assert hub.list_read_at == read_at and hub.config.serial == 2
        update.ClearField("config")
        replica.apply(update, hub, peers.clock(), updates_view=True)
        assert hub.list_read_at == peers.clock() - 1.0

    run_in_virtual_time(scenario)
