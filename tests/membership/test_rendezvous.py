"""Rendezvous ranking of gateways by server: evenness, stability under change, and the budget invariant."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hallhitch.decision.policy import SUBSET_SIZE
from hallhitch.membership.rendezvous import RendezvousRanking

SERVERS = [f"node-{number}" for number in range(100)]


def names(first: int, end: int) -> list[str]:
    return [f"g{number}" for number in range(first, end)]


def ranking_of(name: str, gateways: list[str]) -> RendezvousRanking:
    ranking = RendezvousRanking(name)
    ranking.set_gateways(gateways)
    return ranking


def gateways_per_server(gateway_count: int) -> int:
    return math.ceil(SUBSET_SIZE * max(1.0, gateway_count / len(SERVERS)))


def servers_of(name: str, gateways: list[str]) -> set[str]:
    """Return the servers that a gateway uses among these gateways."""
    ranking, limit = ranking_of(name, gateways), gateways_per_server(len(gateways))
    return {server for server in SERVERS if ranking.rank(server) < limit}


@pytest.mark.parametrize("count", [40, 200])
def test_every_server_has_the_same_number_of_gateways(count: int) -> None:
    gateways = names(0, count)
    counts = dict.fromkeys(SERVERS, 0)
    for name in gateways:
        for server in servers_of(name, gateways):
            counts[server] += 1
    assert set(counts.values()) == {gateways_per_server(count)}


def test_departure_moves_only_the_servers_of_the_departed_gateway() -> None:
    before = {name: servers_of(name, names(0, 60)) for name in names(0, 60)}
    after = {name: servers_of(name, names(0, 59)) for name in names(0, 59)}
    moved = sum(len(after[name] ^ before[name]) for name in names(0, 59))
    assert moved == len(before["g59"])  # each of its servers gets one other gateway; nothing else changes


@given(st.lists(st.sets(st.integers(0, 30), max_size=12), min_size=1, max_size=8))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_incremental_ranks_equal_recomputed_ranks(views: list[set[int]]) -> None:
    ranking = RendezvousRanking("me")
    for view in views:
        gateways = [f"g{number}" for number in view]
        ranking.set_gateways(gateways)
        fresh = ranking_of("me", gateways)
        for server in SERVERS[:20]:
            assert ranking.rank(server) == fresh.rank(server)


def budget_shares(views: dict[str, list[str]], budget_count: int) -> dict[str, float]:
    """Return the sum of all gateways' shares of each server, computed like `warming_pause` of the decision module."""
    shares = dict.fromkeys(SERVERS, 0.0)
    for name, view in views.items():
        ranking = ranking_of(name, view)
        serving_count = min(SUBSET_SIZE, len(view))
        for server in SERVERS:
            rank = ranking.rank(server)
            if rank < serving_count:
                shares[server] += (
                    (2 * (serving_count - rank) - 1) / serving_count / (serving_count * budget_count / len(view))
                )
    return shares


def test_budget_shares_add_up_to_one_on_average_with_arbitrary_views() -> None:
    rng, gateways = random.Random(7), names(0, 60)
    views = {name: sorted({name, *rng.sample(gateways, rng.randint(1, 59))}) for name in gateways}
    shares = budget_shares(views, len(gateways))
    assert sum(shares.values()) / len(shares) <= 1.05


def test_budget_shares_add_up_to_one_at_every_server_in_a_partition() -> None:
    gateways = names(0, 60)
    views = {name: names(0, 30) if name in names(0, 30) else names(30, 60) for name in gateways}
    assert max(budget_shares(views, len(gateways)).values()) <= 1.0 + 1e-9
