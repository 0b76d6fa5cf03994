"""Whom a gateway believes, and how soon it knows: cut-off coordinators, frozen ones, choked links, its own start."""

from __future__ import annotations

import asyncio

from hallhitch.messages.system_pb2 import StateRequest, StateUpdate
from hallhitch.planes.distribution.peer_replica import PeerReplica
from hallhitch.planes.distribution.peer_sync import FORGET_AFTER, PeerSync
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.distribution.versioned_map import PIECE
from tests.system.distribution.ways import BOUNDS, Ways, _Wire, gateway, listed, play

CORE = ["c1:1", "c2:1", "c3:1"]


def test_one_that_starts_beside_a_cut_off_coordinator_takes_the_newest_of_several_gateways() -> None:
    async def scene(ways: Ways) -> None:
        ways.core("c1:1", serial=3)
        ways.contact["c1:1"] = float("-inf")
        ways.hubs["c1:1"].set_gateways({f"g{n}:1": gateway(f"g{n}") for n in range(3)})
        for n, serial in enumerate((5, 7, 6)):
            other = ways.edge(f"g{n}", [])
            other._hub.take_config(serial, serial, b"", [])
            other._hub.take_list(ways.clock() - 100, [listed(n)])
        me = ways.edge("me", CORE)
        taken: list[int] = []
        me._hub.on_change.append(lambda: taken.append(me._hub.config.serial))
        me.start()
        await asyncio.sleep(6)
        assert set(taken) <= {0, 7} and me._hub.config.serial == 7 and len(me._hub.backends) == 1

    play(scene)


def test_a_coordinator_that_says_its_contact_is_old_founds_nobody_whatever_it_hands_out() -> None:
    async def scene(ways: Ways) -> None:
        hub = ways.core("c1:1", serial=3)
        ways.contact["c1:1"] = -BOUNDS.serving_lease_ms - 1
        hub.hands_first_config = lambda: True
        me = ways.edge("me", CORE[:1])
        me.start()
        await asyncio.sleep(3)
        assert me._hub.config.serial == 0
        del ways.contact["c1:1"]
        await asyncio.sleep(1)
        assert me._hub.config.serial == 3

    play(scene)


def test_a_gateway_leaves_the_one_that_lost_contact_and_loses_nobody_by_its_lists() -> None:
    async def scene(ways: Ways) -> None:
        everybody = {f"g{n}:1": gateway(f"g{n}") for n in range(3)}
        for address in CORE:
            ways.core(address, serial=1).set_gateways(everybody)
            ways.hubs[address].set_holders({1: "g1:1"})
        me = ways.edge("me", CORE)
        first = me.coordinators()[0]
        me.start()
        await asyncio.sleep(2)
        assert len(me._hub.gateways) == 3 and ways.pulls[first] > 3
        ways.contact[first] = ways.clock()
        ways.hubs[first].set_gateways({"g0:1": gateway("g0")})
        ways.hubs[first].set_holders({})
        await asyncio.sleep(BOUNDS.serving_lease_ms / 1000 + 1)
        asked = ways.pulls[first]
        for address in CORE:
            if address != first:
                ways.hubs[address].take_config(2, 2, b"", [])
        await asyncio.sleep(1)
        assert me._hub.config.serial == 2 and len(me._hub.gateways) == 3 and me._hub.holders == {1: "g1:1"}
        await asyncio.sleep(10)
        assert ways.pulls[first] == asked  # it comes back only if nobody else answers
        for address in CORE:
            if address != first:
                ways.cut |= {("me:1", address)}
        await asyncio.sleep(10)
        assert ways.pulls[first] > asked
        assert me._hub.config.serial == 2 and len(me._hub.gateways) == 3 and me._hub.holders == {1: "g1:1"}

    play(scene)


def test_a_cut_that_only_the_seeds_see_and_one_that_only_this_gateway_sees() -> None:
    async def scene(ways: Ways) -> None:
        for address in CORE:
            ways.core(address, serial=1).core = tuple(CORE)
        me = ways.edge("me", CORE[:1])
        me.start()
        await asyncio.sleep(2)
        for cut, serial in (({(CORE[0], "me:1")}, 2), ({("me:1", CORE[0]), (CORE[1], "me:1")}, 3)):
            ways.cut = cut
            for hub in map(ways.hubs.__getitem__, CORE):
                hub.take_config(serial, serial, b"", [])
            await asyncio.sleep(BOUNDS.config_apply_ms / 1000)
            assert me._hub.config.serial == serial

    play(scene)


def test_an_answer_that_was_on_its_way_for_twenty_seconds_is_as_old_as_it_is() -> None:
    async def scene(ways: Ways) -> None:
        frozen, fresh, me = ways.core("c1:1", 1), ways.core("c2:1", 1), StateHub(9, ways.clock)
        frozen.take_list(ways.clock(), [listed(1), listed(2)])
        slow, source = PeerReplica("c1:1", ways.clock), PeerReplica("c2:1", ways.clock)
        pull = slow.pull(gateway("me"), me, 0.0, False)
        pull.known_versions["config"].number = 1
        asked, late = ways.clock(), frozen.news(StateRequest.FromString(pull.SerializeToString()))
        assert late is not None
        await asyncio.sleep(20)
        fresh.take_list(ways.clock(), [listed(1, draining=True)])
        pull = source.pull(gateway("me"), me, 0.0, False)
        pull.known_versions["config"].number = 1
        news = fresh.news(StateRequest.FromString(pull.SerializeToString()))
        assert news is not None
        for one, told, since in ((source, news, ways.clock()), (slow, late, asked)):
            await asyncio.sleep(0.1)
            one.answered(told, since, BOUNDS.serving_lease_ms)
            one.take(told, me, since, lists=True)
        assert [(e.instance, e.draining) for e in me.backends.values()] == [("i-1", True)]
        assert slow.contact_at <= asked < source.contact_at

    play(scene)


def test_on_a_choked_link_each_configuration_is_in_force_in_time_and_nothing_is_fetched_twice() -> None:
    """Packets wait for 1.2 s each way, more or less: three times longer than a pull is waited for at first."""

    async def scene(ways: Ways) -> None:
        for address in CORE:
            hub = ways.core(address, serial=1)
            hub.core = tuple(CORE)
            hub.take_list(ways.clock(), [listed(n) for n in range(300)])
        me = ways.edge("me", CORE)
        me.start()
        await asyncio.sleep(3)
        ways.delay = lambda: ways.rng.uniform(500, 1500)
        worst = 0.0
        for serial in range(2, 22):
            await asyncio.sleep(ways.rng.uniform(0, 6))
            acknowledged = ways.clock()
            for hub in map(ways.hubs.__getitem__, CORE):
                hub.take_config(serial, serial, b"", [])
            while me._hub.config.serial < serial and ways.clock() - acknowledged < BOUNDS.config_apply_ms:
                await asyncio.sleep(0.02)
            worst = max(worst, ways.clock() - acknowledged)
        assert worst < BOUNDS.config_apply_ms
        assert max(ways.whole.values()) == 1 and len(me._hub.backends) == 300

    for seed in range(6):
        play(scene, seed)


def test_a_long_list_comes_in_pieces_and_is_never_known_in_part() -> None:
    async def scene(ways: Ways) -> None:
        count = 3 * PIECE + 7
        hub = ways.core("c1:1", serial=1)
        hub.take_list(ways.clock(), [listed(n) for n in range(count)])
        me = ways.edge("me", CORE[:1])
        sizes: set[int] = set()
        me._hub.on_change.append(lambda: sizes.add(len(me._hub.backends)))
        me.start()
        await asyncio.sleep(2)
        hub.take_list(ways.clock(), [listed(n) for n in range(1, count + 1)])
        await asyncio.sleep(2)
        assert sizes == {0, count} and "i-0" not in me._hub.backends and f"i-{count}" in me._hub.backends

    play(scene)


def test_a_backend_seen_draining_drains_though_the_next_reader_reads_an_older_page() -> None:
    hub = StateHub(1)
    hub.take_list(1.0, [listed(1, draining=True)])
    hub.take_list(2.0, [])
    hub.take_list(3.0, [listed(1), listed(2)])
    assert {e.instance: e.draining for e in hub.backends.values()} == {"i-1": True, "i-2": False}


def test_a_coordinator_that_nobody_names_is_forgotten_after_long_silence() -> None:
    async def scene(ways: Ways) -> None:
        hub, other = ways.core("c1:1", 1), ways.core("c2:1", 1)
        other.core = ("c2:1",)
        peers = PeerSync(_Wire(ways, "c1:1"), hub, lambda: gateway("c1"), lambda: None, ways.clock, BOUNDS)
        peers.meet(["c2:1", "c3:1", "gone:1"])
        await asyncio.sleep(FORGET_AFTER * BOUNDS.contact_window_ms / 1000 + 1)
        peers.forget_gone({"c3:1"})
        assert set(peers.sources) == {"c2:1", "c3:1"} and peers.alive(1800) == ["c2:1"]
        asked = ways.pulls["gone:1"]
        await asyncio.sleep(5)
        assert ways.pulls["gone:1"] == asked
        peers.meet(["gone:1"])  # it pulls again
        assert "gone:1" in peers.sources

    play(scene)


def test_every_answer_tells_the_age_of_the_contact_and_how_long_it_was_held() -> None:
    async def scene(ways: Ways) -> None:
        hub, ways.contact["c1:1"] = ways.core("c1:1", 1), 0.0
        await asyncio.sleep(1)
        pull = PeerReplica("c1:1", ways.clock).pull(gateway("me"), StateHub(2, ways.clock), 300.0, False)
        pull.known_versions["config"].number, pull.known_versions["gateways"].epoch = 1, hub.incarnation
        news: StateUpdate = (await hub.answer(pull)).state_update
        assert abs(news.quorum_contact_age_ms - 1300) < 1 and abs(news.held_back_ms - 300) < 1
        assert StateHub(3)._signed(StateUpdate()).quorum_contact_age_ms == -1

    play(scene)
