"""The state of a process is replaced only by newer state, whichever peer sends it."""

from __future__ import annotations

import asyncio
import random

import pytest

from hallhitch.messages.system_pb2 import Envelope, StateRequest, StateUpdate
from hallhitch.node.clock import now
from hallhitch.node.errors import RequestTimeout
from hallhitch.planes.distribution.gateway_sync import GatewaySync
from hallhitch.planes.distribution.peer_replica import PeerReplica
from hallhitch.planes.distribution.ports import SyncContext
from hallhitch.planes.distribution.state_hub import MIN_LIST_AGE_MS, StateHub
from hallhitch.planes.values import LeaseMembership
from tests.system.distribution.simulated_peers import (
    SimulatedPeers,
    make_backend,
    make_gateway,
    run_in_virtual_time,
)


class DirectLinks:
    """Links to hubs that reply without delay."""

    def __init__(self, hubs: dict[str, StateHub]) -> None:
        self.hubs = hubs

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """Pull state from the hub at an address."""
        hub = self.hubs.get(address)
        if hub is None:
            raise RequestTimeout("call", address, "no hub at this address")
        request = StateRequest.FromString(envelope.state_request.SerializeToString())
        return Envelope(state_update=hub.build_update(request) or hub.add_status(StateUpdate()))


def pull(source: StateHub, replica: PeerReplica, hub: StateHub) -> None:
    """Pull once from a peer."""
    request = replica.build_request(make_gateway("me"), hub, 0.0, direct_only=False)
    update = source.build_update(StateRequest.FromString(request.SerializeToString())) or StateUpdate(
        incarnation=source.incarnation, endpoint_list_age_ms=1.0
    )
    requested_at = now()
    replica.record_reply(update, requested_at, 2000.0)
    replica.apply(update, hub, requested_at, updates_view=True)


def make_coordinator_hub(incarnation: int) -> StateHub:
    """Return the hub of a coordinator that has contact with a majority."""
    hub = StateHub(incarnation)
    hub.quorum_contact_age_ms = lambda: 0.0
    return hub


def test_configuration_serial_never_decreases() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        sources = [make_coordinator_hub(n + 1) for n in range(3)]
        hub, replicas = StateHub(9), [PeerReplica(str(n)) for n in range(3)]
        known_serial = 0
        for serial in range(1, 30):
            for source in sources:  # each source may be partitioned and miss the change
                if rng.random() < 0.5:
                    source.update_config(serial, serial * 3, b"", [])
            n = rng.randrange(3)
            pull(sources[n], replicas[n], hub)
            assert hub.config.serial >= known_serial
            known_serial = hub.config.serial
        assert known_serial > 20


def test_older_endpoint_list_does_not_replace_a_newer_one() -> None:
    fresh, stale, hub = StateHub(1), StateHub(2), StateHub(3)
    fresh.update_backends(now() - 50, [make_backend("a", is_draining=True)])
    stale.update_backends(now() - 5000, [make_backend("a"), make_backend("b")])
    pull(fresh, PeerReplica("1"), hub)
    pull(stale, PeerReplica("2"), hub)
    assert [(backend.instance, backend.is_draining) for backend in hub.backends.values()] == [("a", True)]


def test_backend_listed_as_draining_stays_draining_if_a_later_list_lags() -> None:
    hub = StateHub(1)
    hub.update_backends(1.0, [make_backend("i-1", is_draining=True)])
    hub.update_backends(2.0, [])
    hub.update_backends(3.0, [make_backend("i-1"), make_backend("i-2")])
    draining = {backend.instance: backend.is_draining for backend in hub.backends.values()}
    assert draining == {"i-1": True, "i-2": False}


def test_configuration_comes_from_a_gateway_if_no_coordinator_has_quorum_contact() -> None:
    without_lease, gateway_hub, hub = StateHub(1), StateHub(2), StateHub(3)
    without_lease.update_config(6, 20, b"", [])
    without_lease.can_bootstrap_peers = lambda: False
    without_lease.set_gateways({"other:1": make_gateway("other")})
    gateway_hub.update_config(7, 21, b"", ["z"])
    gateway_hub.update_backends(now(), [make_backend("a")])
    links = DirectLinks({"core:1": without_lease, "other:1": gateway_hub})
    sync = GatewaySync(SyncContext(links, hub, lambda: make_gateway("me")), ["core:1"])
    assert asyncio.run(sync._follow_coordinators(["gone:1", "core:1"]))
    assert hub.config.serial == 7 and list(hub.config.evacuated_zones) == ["z"] and len(hub.backends) == 1


def test_every_reply_contains_the_lease_membership_and_an_older_one_is_ignored() -> None:
    coordinator, hub = StateHub(1), StateHub(2)
    newest = LeaseMembership(3, ("a", "d"), ("a", "b"))
    coordinator.update_lease_membership(newest)
    update = coordinator.add_status(StateUpdate())
    hub.update_lease_membership(LeaseMembership.from_message(update.lease_membership))
    hub.update_lease_membership(LeaseMembership(2, ("a", "b")))
    # A reply from a peer without a membership.
    hub.update_lease_membership(LeaseMembership.from_message(StateUpdate().lease_membership))
    assert hub.lease_membership == newest


def test_every_reply_contains_the_age_of_the_quorum_contact_and_the_time_it_was_held_back() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        hub, peers.confirmed_at["c1:1"] = peers.add_coordinator("c1:1", 1), 0.0
        await asyncio.sleep(1)
        replica = PeerReplica("c1:1", peers.clock)
        request = replica.build_request(make_gateway("me"), StateHub(2, peers.clock), 300.0, direct_only=False)
        request.known_versions["config"].number, request.known_versions["gateways"].epoch = 1, hub.incarnation
        update: StateUpdate = (await hub.respond(request)).state_update
        assert abs(update.quorum_contact_age_ms - 1300) < 1 and abs(update.held_back_ms - 300) < 1
        assert StateHub(3).add_status(StateUpdate()).quorum_contact_age_ms == -1

    run_in_virtual_time(scenario)


def test_restarted_coordinator_does_not_restore_the_view_of_its_previous_incarnation() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        hub, replicas = StateHub(9, peers.clock), {name: PeerReplica(name, peers.clock) for name in ("c1:1", "c2:1")}

        def pull_from(name: str) -> None:
            request = replicas[name].build_request(make_gateway("me"), hub, 0.0, direct_only=False)
            source = peers.hubs[name]
            update = source.build_update(request) or source.add_status(StateUpdate())
            replicas[name].record_reply(update, peers.clock(), 2000.0)
            replicas[name].apply(update, hub, peers.clock(), updates_view=True)

        for name in replicas:
            source = peers.add_coordinator(name, serial=0)
            source.set_gateways({"g1:1": make_gateway("g1"), "g2:1": make_gateway("g2")})
            source.set_holders({1: "g1:1"})
        pull_from("c1:1")
        await asyncio.sleep(5)
        peers.hubs["c2:1"].set_gateways({"g2:1": make_gateway("g2")})
        peers.hubs["c2:1"].set_holders({1: "g2:1"})
        pull_from("c2:1")
        assert hub.gateways.keys() == ["g2:1"] and hub.holders == {1: "g2:1"}
        restarted = peers.add_coordinator("c1:1", serial=0)
        restarted.incarnation = restarted.gateways.epoch = 77
        restarted.shares_gateways = False  # it knows only a few gateways yet
        await asyncio.sleep(5)
        contact_at = hub.view_contact_at
        pull_from("c1:1")
        assert hub.gateways.keys() == ["g2:1"] and hub.holders == {1: "g2:1"} and hub.view_source == "c2:1"
        assert hub.view_contact_at == contact_at

    run_in_virtual_time(scenario)


# Guards against the failure that a coordinator learns late of a read, and has to wait long before it reads itself.
def test_coordinator_learns_at_once_of_a_read_of_an_unchanged_list_and_a_gateway_does_not() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        reader, hub = StateHub(1, peers.clock), StateHub(2, peers.clock)
        await asyncio.sleep(1)
        reader.update_backends(peers.clock(), [make_backend("a")])
        replica = PeerReplica("c1:1", peers.clock)

        async def pull_from_reader(*, direct_only: bool) -> float:
            """Pull once with a hold of 500 ms, apply the reply, and return for how long it was held back."""
            requested_at = peers.clock()
            request = replica.build_request(make_gateway("me"), hub, 500.0, direct_only=direct_only)
            update = (await reader.respond(request)).state_update
            replica.apply(update, hub, requested_at, updates_view=False)
            return peers.clock() - requested_at

        assert await pull_from_reader(direct_only=True) == 0.0
        assert hub.list_read_at == pytest.approx(reader.list_read_at, abs=2 * MIN_LIST_AGE_MS)
        held_ms = []
        for direct_only in (True, False):
            peers.loop.call_later(0.3, lambda: reader.update_backends(peers.clock(), [make_backend("a")]))
            held_ms.append(await pull_from_reader(direct_only=direct_only))
        assert held_ms == [pytest.approx(300.0), pytest.approx(500.0)]
        peers.loop.suspend(1)  # a read between two polls
        reader.update_backends(peers.clock(), [make_backend("a")])
        assert await pull_from_reader(direct_only=True) == pytest.approx(0.0)

    run_in_virtual_time(scenario)
