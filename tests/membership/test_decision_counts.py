"""Effects of the gateway counts on the decision module."""

from __future__ import annotations

import pytest

from hallhitch.decision import api
from hallhitch.decision.policy import SUBSET_SIZE, Gateway
from hallhitch.membership.rendezvous import RendezvousRanking

SERVERS = [f"node-{number}" for number in range(100)]
GATEWAYS = 40


def decision_module() -> Gateway:
    """Return a decision module with index 0 of all gateways and with the complete list of servers."""
    configuration = api.Settings(
        GATEWAYS,
        (api.RequestClass("read", 800.0, 2000.0, effect=api.SAFE),),
        (),
        index=0,
        cold_time=10_000.0,
        cold_from=0.2,
    )
    module = Gateway(configuration, 1)
    entries = tuple(api.ServerEntry(server, "up", started=1.0) for server in SERVERS)
    module.handle(20_000.0, [api.ServerList("full", entries)])
    return module


def test_ranks_by_name_cover_all_servers_though_all_gateways_have_the_same_index() -> None:
    modules = [decision_module() for _ in range(GATEWAYS)]
    assert len({state.entry.server for module in modules for state in module.subset}) < 20
    for number, module in enumerate(modules):
        ranking = RendezvousRanking(f"g{number}")
        ranking.set_gateways(f"g{other}" for other in range(GATEWAYS))
        module.handle(21_000.0, [api.Peers(GATEWAYS, GATEWAYS, ranking.rank)])
    for server in SERVERS:
        count = sum(any(state.entry.server == server for state in module.subset) for module in modules)
        assert SUBSET_SIZE <= count <= SUBSET_SIZE + 3, server


def test_budgets_follow_the_larger_count_and_traffic_the_smaller() -> None:
    module = decision_module()
    cold = module.servers["node-1"]
    cold.entry = api.ServerEntry("node-1", "up", started=19_000.0)
    for server in module.servers.values():
        server.served_at.extend([20_500.0] * 30)
    module.now = 21_000.0
    pause_before, rank = module.warming_pause(cold), cold.rank
    module.handle(21_000.0, [api.Peers(20, 40, lambda server: rank)])
    # Half of the gateways are visible. Each visible gateway uses as many servers as before, so counting the invisible
    # ones there are twice as many gateways per server, and only half of the traffic is counted.
    assert module.warming_pause(cold) / pause_before == pytest.approx(4.0, abs=0.2)


def test_reloaded_settings_keep_the_counts() -> None:
    module = decision_module()
    module.handle(21_000.0, [api.Peers(10, 20, lambda server: 3)])
    module.handle(21_001.0, [api.NewSettings(module.config)])
    assert (module.peers.seen, module.peers.counted) == (10, 20)
