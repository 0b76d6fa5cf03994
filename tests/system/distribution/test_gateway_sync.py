"""Which peers a gateway pulls from, and how soon it is up to date despite partitions, suspensions and slow links."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest

from hallhitch.messages.system_pb2 import StateRequest, StateUpdate
from hallhitch.planes.distribution.list_freshness import LATE_DRAIN_TIMEOUT_RATIO
from hallhitch.planes.distribution.peer_replica import PeerReplica
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.distribution.versioned_map import CHUNK_ENTRIES
from tests.system.distribution.simulated_peers import (
    BOUNDS,
    SimulatedPeers,
    make_backend,
    make_gateway,
    run_in_virtual_time,
)

COORDINATORS = ["c1:1", "c2:1", "c3:1"]


def test_first_configuration_is_the_newest_of_several_gateways_if_no_coordinator_has_a_lease() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        peers.add_coordinator("c1:1", serial=3)
        peers.confirmed_at["c1:1"] = float("-inf")
        peers.hubs["c1:1"].set_gateways({f"g{n}:1": make_gateway(f"g{n}") for n in range(3)})
        for n, serial in enumerate((5, 7, 6)):
            running = peers.add_gateway(f"g{n}", [])
            running._hub.update_config(serial, serial, b"", [])
            running._hub.update_backends(peers.clock() - 100, [make_backend(f"i-{n}")])
        sync = peers.add_gateway("me", COORDINATORS)
        serials: list[int] = []
        sync._hub.on_change.append(lambda: serials.append(sync._hub.config.serial))
        sync.start()
        await asyncio.sleep(6)
        assert set(serials) <= {0, 7} and sync._hub.config.serial == 7 and len(sync._hub.backends) == 1

    run_in_virtual_time(scenario)


def test_first_configuration_is_not_taken_from_a_coordinator_with_an_expired_lease() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        hub = peers.add_coordinator("c1:1", serial=3)
        peers.confirmed_at["c1:1"] = -BOUNDS.serving_lease_ms - 1
        hub.can_bootstrap_peers = lambda: True
        sync = peers.add_gateway("me", COORDINATORS[:1])
        sync.start()
        await asyncio.sleep(3)
        assert sync._hub.config.serial == 0
        del peers.confirmed_at["c1:1"]
        await asyncio.sleep(1)
        assert sync._hub.config.serial == 3

    run_in_virtual_time(scenario)


def test_gateway_leaves_a_coordinator_that_lost_quorum_contact_and_keeps_its_view() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        gateways = {f"g{n}:1": make_gateway(f"g{n}") for n in range(3)}
        for address in COORDINATORS:
            peers.add_coordinator(address, serial=1).set_gateways(gateways)
            peers.hubs[address].set_holders({1: "g1:1"})
        sync = peers.add_gateway("me", COORDINATORS)
        first = sync.coordinators()[0]
        sync.start()
        await asyncio.sleep(2)
        assert len(sync._hub.gateways) == 3 and peers.request_count[first] > 3

        peers.confirmed_at[first] = peers.clock()
        peers.hubs[first].set_gateways({"g0:1": make_gateway("g0")})
        peers.hubs[first].set_holders({})
        await asyncio.sleep(BOUNDS.serving_lease_ms / 1000 + 1)
        requests = peers.request_count[first]
        for address in COORDINATORS:
            if address != first:
                peers.hubs[address].update_config(2, 2, b"", [])
        await asyncio.sleep(1)
        assert sync._hub.config.serial == 2 and len(sync._hub.gateways) == 3 and sync._hub.holders == {1: "g1:1"}
        await asyncio.sleep(10)
        assert peers.request_count[first] == requests  # the gateway returns only if no other coordinator replies

        for address in COORDINATORS:
            if address != first:
                peers.cut_links |= {("me:1", address)}
        await asyncio.sleep(10)
        assert peers.request_count[first] > requests
        assert sync._hub.config.serial == 2 and len(sync._hub.gateways) == 3 and sync._hub.holders == {1: "g1:1"}

    run_in_virtual_time(scenario)


def test_configuration_is_applied_in_time_despite_partitions_in_one_direction() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        for address in COORDINATORS:
            peers.add_coordinator(address, serial=1).coordinators = tuple(COORDINATORS)
        sync = peers.add_gateway("me", COORDINATORS[:1])
        sync.start()
        await asyncio.sleep(2)
        seed_replies_lost = {(COORDINATORS[0], "me:1")}
        seed_requests_and_second_replies_lost = {("me:1", COORDINATORS[0]), (COORDINATORS[1], "me:1")}
        for cut_links, serial in ((seed_replies_lost, 2), (seed_requests_and_second_replies_lost, 3)):
            peers.cut_links = cut_links
            for hub in map(peers.hubs.__getitem__, COORDINATORS):
                hub.update_config(serial, serial, b"", [])
            await asyncio.sleep(BOUNDS.config_apply_ms / 1000)
            assert sync._hub.config.serial == serial

    run_in_virtual_time(scenario)


def test_reply_delayed_for_twenty_seconds_is_dated_by_its_request() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        suspended, fresh = peers.add_coordinator("c1:1", 1), peers.add_coordinator("c2:1", 1)
        hub = StateHub(9, peers.clock)
        suspended.update_backends(peers.clock(), [make_backend("i-1"), make_backend("i-2")])
        late_replica, fresh_replica = PeerReplica("c1:1", peers.clock), PeerReplica("c2:1", peers.clock)

        def pull(replica: PeerReplica, source: StateHub) -> StateUpdate | None:
            request = replica.build_request(make_gateway("me"), hub, 0.0, direct_only=False)
            request.known_versions["config"].number = 1
            return source.build_update(StateRequest.FromString(request.SerializeToString()))

        requested_at, late_update = peers.clock(), pull(late_replica, suspended)
        assert late_update is not None
        await asyncio.sleep(20)
        fresh.update_backends(peers.clock(), [make_backend("i-1", is_draining=True)])
        fresh_update = pull(fresh_replica, fresh)
        assert fresh_update is not None
        for replica, update, sent_at in (
            (fresh_replica, fresh_update, peers.clock()),
            (late_replica, late_update, requested_at),
        ):
            await asyncio.sleep(0.1)
            replica.record_reply(update, sent_at, BOUNDS.serving_lease_ms)
            replica.apply(update, hub, sent_at, updates_view=True)
        assert [(backend.instance, backend.is_draining) for backend in hub.backends.values()] == [("i-1", True)]
        assert late_replica.quorum_contact_at <= requested_at < fresh_replica.quorum_contact_at

    run_in_virtual_time(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_configurations_are_applied_in_time_and_the_list_is_fetched_once_over_slow_links(seed: int) -> None:
    """Messages take 0.5 to 1.5 s each way; a reply takes up to three times as long as it is waited for at first."""

    async def scenario(peers: SimulatedPeers) -> None:
        for address in COORDINATORS:
            hub = peers.add_coordinator(address, serial=1)
            hub.coordinators = tuple(COORDINATORS)
            hub.update_backends(peers.clock(), [make_backend(f"i-{n}") for n in range(300)])
        sync = peers.add_gateway("me", COORDINATORS)
        sync.start()
        await asyncio.sleep(3)
        peers.delay_ms = lambda: peers.rng.uniform(500, 1500)
        longest_ms = 0.0
        for serial in range(2, 22):
            await asyncio.sleep(peers.rng.uniform(0, 6))
            acknowledged_at = peers.clock()
            for hub in map(peers.hubs.__getitem__, COORDINATORS):
                hub.update_config(serial, serial, b"", [])
            while sync._hub.config.serial < serial and peers.clock() - acknowledged_at < BOUNDS.config_apply_ms:
                await asyncio.sleep(0.02)
            longest_ms = max(longest_ms, peers.clock() - acknowledged_at)
        assert longest_ms < BOUNDS.config_apply_ms
        assert max(peers.snapshot_count.values()) == 1 and len(sync._hub.backends) == 300

    run_in_virtual_time(scenario, seed)


def test_long_endpoint_list_is_applied_only_after_all_chunks_have_arrived() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        count = 3 * CHUNK_ENTRIES + 7
        hub = peers.add_coordinator("c1:1", serial=1)
        hub.update_backends(peers.clock(), [make_backend(f"i-{n}") for n in range(count)])
        sync = peers.add_gateway("me", COORDINATORS[:1])
        sizes: set[int] = set()
        sync._hub.on_change.append(lambda: sizes.add(len(sync._hub.backends)))
        sync.start()
        await asyncio.sleep(2)
        hub.update_backends(peers.clock(), [make_backend(f"i-{n}") for n in range(1, count + 1)])
        await asyncio.sleep(2)
        assert sizes == {0, count} and "i-0" not in sync._hub.backends and f"i-{count}" in sync._hub.backends

    run_in_virtual_time(scenario)


# Guards against the failure that requests to dead addresses keep a gateway from a coordinator that replies.
@pytest.mark.parametrize("dead_count", range(5))
def test_gateway_learns_of_a_drain_in_time_when_its_coordinator_falls_silent_beside_dead_addresses(
    dead_count: int,
) -> None:
    dead, live = [f"dead{number}:1" for number in range(dead_count)], ["c1:1", "c2:1"]

    async def lose_followed_coordinator(peers: SimulatedPeers, name: str) -> None:
        for address in live:
            hub = peers.add_coordinator(address, serial=1)
            hub.update_backends(peers.clock(), [make_backend("i-1")])
            hub.coordinators = hub.members = tuple(live)
        peers.delay_ms = lambda: 35.0
        own_address = f"{name}:1"
        peers.cut_links = {(own_address, address) for address in dead}
        sync = peers.add_gateway(name, [*dead, *live])
        sync.start()
        await asyncio.sleep(12)
        followed = sync._awaited_address
        peers.cut_links |= {(own_address, followed), (followed, own_address)}
        listed_at = peers.clock()
        for address in live:
            peers.hubs[address].update_backends(listed_at, [make_backend("i-1", is_draining=True)])
        while not any(backend.is_draining for backend in sync._hub.backends.values()):
            await asyncio.sleep(0.01)
        assert peers.clock() - listed_at <= LATE_DRAIN_TIMEOUT_RATIO * BOUNDS.drain_timeout_ms

    for number in range(12):  # names with different orders of preference
        run_in_virtual_time(partial(lose_followed_coordinator, name=f"g{number}"))
