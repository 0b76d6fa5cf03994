"""Tests of the endpoint list: reconciling it with a later one, and selecting its reader."""

from hallhitch.planes.discovery.endpoint_list import (
    ListedBackend,
    is_read_due,
    reader_rank,
    reconcile_list,
)
from hallhitch.planes.values import Backend


def make_backend(instance: str, *, is_draining: bool = False, warming_until_ms: float = 0.0) -> ListedBackend:
    return ListedBackend(instance, "s", "10.0.0.1", 80, "z", 3, is_draining, warming_until_ms)


def test_draining_backend_stays_draining_and_end_of_slow_start_is_stable() -> None:
    known = {"a": make_backend("a", is_draining=True), "b": make_backend("b", warming_until_ms=5000.0)}
    latest = [make_backend("a"), make_backend("b", warming_until_ms=5100.0), make_backend("c")]
    reconciled = reconcile_list(known, latest)
    assert reconciled["a"].is_draining and reconciled["b"].warming_until_ms == 5000.0 and "c" in reconciled
    assert "a" not in reconcile_list(known, [make_backend("c")])


def test_backend_that_the_list_contains_twice_is_draining_if_either_row_says_so() -> None:
    for latest in ([make_backend("a", is_draining=True), make_backend("a")], [make_backend("a")] * 2):
        assert reconcile_list({}, latest)["a"].is_draining == latest[0].is_draining


def test_readers_have_distinct_ranks_and_take_over_as_the_list_gets_older() -> None:
    addresses = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]
    ranks = sorted(reader_rank(address, addresses) for address in addresses)
    assert ranks == [0, 1, 2]
    due_at_ms = [next(age for age in range(10_000) if is_read_due(age, rank, 600)) for rank in range(9)]
    assert due_at_ms == [600, 840, 1080, *[1320] * 6]


def test_only_the_first_reader_does_not_wait_for_the_duration_of_a_read() -> None:
    assert is_read_due(600, 0, 600, read_duration_ms=2000)
    assert not is_read_due(2839, 1, 600, read_duration_ms=2000) and is_read_due(2840, 1, 600, read_duration_ms=2000)


def test_listed_backend_gets_the_region_of_its_zone() -> None:
    backend = make_backend("a", is_draining=True, warming_until_ms=5000.0).to_backend("r")
    assert backend == Backend("a", "s", "10.0.0.1", 80, "z", "r", 3, is_draining=True, warming_until_ms=5000.0)
