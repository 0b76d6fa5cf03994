"""Replicas of a versioned map equal the map, whichever deltas they missed."""

import random

import pytest

from hallhitch.planes.distribution import versioned_map
from hallhitch.planes.distribution.versioned_map import Delta, Version, VersionedMap, VersionedReplica


def synchronize(source: VersionedMap[int], replica: VersionedReplica[int]) -> None:
    delta = source.delta_since(replica.version)
    if delta is not None:
        assert replica.apply(delta)


def test_replica_equals_the_map_after_missed_deltas_and_restarts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(versioned_map, "MAX_REMOVED_KEYS", 4)  # so that some replicas fall too far behind for a delta
    snapshots = 0
    for seed in range(300):
        rng = random.Random(seed)
        source: VersionedMap[int] = VersionedMap(1)
        replicas: list[VersionedReplica[int]] = [VersionedReplica() for _ in range(3)]
        for step in range(60):
            key = f"k{rng.randrange(12)}"
            if rng.random() < 0.1:  # the process restarts, and its numbers start again
                source = VersionedMap(source.epoch + 1)
            if rng.random() < 0.6:
                source.put(key, step)
            else:
                source.remove(key)
            for replica in replicas:
                if rng.random() < 0.2:
                    delta = source.delta_since(replica.version)
                    snapshots += (delta.version.epoch if delta else source.epoch) != replica.version.epoch
                    synchronize(source, replica)
                    assert replica.items == {k: source.get(k) for k in source.keys()}  # noqa: SIM118
                    assert source.delta_since(replica.version) is None
    assert snapshots > 300


def test_replacement_with_equal_values_changes_nothing() -> None:
    source: VersionedMap[int] = VersionedMap(7)
    assert source.replace({"a": 1, "b": 2})
    number = source.number
    assert not source.replace({"a": 1, "b": 2})
    assert source.number == number and source.delta_since(Version(7, number)) is None
    delta = source.delta_since(Version(7, number - 1))
    assert delta is not None and not delta.is_snapshot and len(delta.entries) == 1


def test_delta_of_another_incarnation_is_not_applied() -> None:
    replica: VersionedReplica[int] = VersionedReplica()
    assert replica.apply(Delta(Version(1, 5), is_snapshot=True, entries={"a": 1}, removed=()))
    assert not replica.apply(Delta(Version(2, 6), is_snapshot=False, entries={"b": 2}, removed=()))
    assert replica.version.epoch == 0  # the next request asks for a snapshot
