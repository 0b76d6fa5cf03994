"""A feed is followed by snapshots and changes: whoever follows it holds what it holds, whatever was missed."""

import random

from hallhitch.planes.distribution import versioned_map as module
from hallhitch.planes.distribution.versioned_map import VersionedMap, VersionedReplica


def follow(feed: VersionedMap[int], follower: VersionedReplica[int]) -> None:
    changes = feed.since(follower.epoch, follower.number)
    if changes is not None:
        assert follower.take(changes.epoch, changes.number, changes.whole, changes.entries.items(), changes.gone)


def test_followers_hold_what_the_feed_holds_whatever_they_missed(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    monkeypatch.setattr(module, "GONE_KEPT", 4)  # so that followers fall too far behind, too
    wholes = 0
    for seed in range(300):
        rng = random.Random(seed)
        feed: VersionedMap[int] = VersionedMap(1)
        followers: list[VersionedReplica[int]] = [VersionedReplica() for _ in range(3)]
        for step in range(60):
            key = f"k{rng.randrange(12)}"
            if rng.random() < 0.1:  # the process starts again and numbers anew
                feed = VersionedMap(feed.epoch + 1)
            if rng.random() < 0.6:
                feed.put(key, step)
            else:
                feed.drop(key)
            for follower in followers:
                if rng.random() < 0.2:
                    wholes += (feed.since(follower.epoch, follower.number) or feed).epoch != follower.epoch
                    follow(feed, follower)
                    assert follower.items == {k: feed.get(k) for k in feed.keys()}  # noqa: SIM118
                    assert feed.since(follower.epoch, follower.number) is None
    assert wholes > 300


def test_what_did_not_change_is_no_news() -> None:
    feed: VersionedMap[int] = VersionedMap(7)
    assert feed.replace({"a": 1, "b": 2})
    number = feed.number
    assert not feed.replace({"a": 1, "b": 2})
    assert feed.number == number and feed.since(7, number) is None
    changes = feed.since(7, number - 1)
    assert changes is not None and not changes.whole and len(changes.entries) == 1


def test_changes_of_another_life_are_not_taken_for_this_ones() -> None:
    follower: VersionedReplica[int] = VersionedReplica()
    assert follower.take(1, 5, True, [("a", 1)], ())
    assert not follower.take(2, 6, False, [("b", 2)], ())
    assert follower.epoch == 0  # asks for the whole next time
