"""Which members there should be, over all small cases."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from hallhitch.messages.system_pb2 import AcceptorQuery
from hallhitch.planes.control.ballot import INITIAL_BALLOT
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.membership_policy import (
    ObservationTiming,
    PeerSnapshot,
    ReconfigurationReason,
    TargetMembers,
    proposal_delay_ms,
    replicas_needed,
    target_members,
)
from hallhitch.planes.control.peer_observations import RETENTION_INTERVALS, PeerObservations

FATES = ("here", "leaving", "silent")


def cases() -> Iterator[tuple[frozenset[str], PeerSnapshot, int]]:
    """Up to five members, each here, leaving or silent; up to two candidates; losses up to two."""
    for size, spares, losses in itertools.product(range(1, 6), range(3), range(3)):
        members, candidates = "abcde"[:size], frozenset("xy"[:spares])
        for fates in itertools.product(FATES, repeat=size):
            by_fate = {fate: {one for one, its in zip(members, fates, strict=True) if its == fate} for fate in FATES}
            yield (
                frozenset(members),
                PeerSnapshot(
                    reachable=frozenset(by_fate["here"] | by_fate["leaving"] | candidates),
                    leaving=frozenset(by_fate["leaving"]),
                    unresponsive=frozenset(by_fate["silent"]),
                    candidates=candidates,
                ),
                losses,
            )


def test_every_target_can_be_reached_and_bears_as_much() -> None:
    reasons = set()
    for members, observed, losses in cases():
        found = target_members(members, observed, losses)
        if found is None:
            continue
        after = frozenset(found.members)
        reasons.add(found.reason)
        assert after != members and after <= members | observed.candidates
        assert 2 * len(after & observed.reachable) > len(after)
        assert 2 * len(members & observed.reachable) > len(members)
        assert len(after) % 2 == 1 or len(after) == len(members)  # no detour by an even number
        assert len(after) >= min(len(members), replicas_needed(losses))
        assert len(after) <= max(len(members), replicas_needed(losses))
        assert not (after - members) & (observed.leaving | observed.unresponsive)
        departing = observed.leaving | observed.unresponsive
        assert len(after & departing) < len(members & departing) or found.reason is ReconfigurationReason.GROW
    assert reasons == set(ReconfigurationReason)


def test_a_candidate_takes_the_seat_of_whoever_departs() -> None:
    for members, observed, losses in cases():
        departing = members & (observed.leaving | observed.unresponsive)
        if not departing or not observed.candidates or 2 * len(members & observed.reachable) <= len(members):
            continue
        found = target_members(members, observed, losses)
        assert found is not None and found.reason is ReconfigurationReason.REPLACE
        staying = frozenset(found.members) & departing
        assert len(staying) == max(0, len(departing) - len(observed.candidates))
        assert (
            not (staying & observed.unresponsive) or departing - staying <= observed.unresponsive
        )  # the silent go first


def test_some_targets() -> None:
    def after(members: str, losses: int, *, leaving: str = "", silent: str = "", spare: str = "") -> str:
        here = frozenset(members) - frozenset(silent) | frozenset(spare)
        found = target_members(
            members, PeerSnapshot(here, frozenset(leaving), frozenset(silent), frozenset(spare)), losses
        )
        return "".join(found.members) if isinstance(found, TargetMembers) else ""

    assert after("abc", 1, spare="x") == ""  # more than are needed stay candidates
    assert after("abc", 1, silent="a") == after("abc", 1, leaving="a") == ""
    assert after("abc", 1, silent="a", spare="x") == "bcx"
    assert after("abc", 2, spare="x") == "" and after("abc", 2, spare="xy") == "abcxy"
    assert after("abc", 2, silent="a", spare="xyz") == "bcxyz"
    assert after("abcde", 1, silent="a") == "bcd" and after("abcde", 2, silent="a") == ""
    assert after("a", 1, spare="x") == "" and after("ab", 1, spare="x") == "abx"
    assert after("abc", 1, silent="ab", spare="xy") == ""  # no majority: nothing can be agreed


def test_those_that_leave_act_first_and_the_unreachable_have_no_turn() -> None:
    observed = PeerSnapshot(reachable=frozenset("abc"), leaving=frozenset("c"))
    turns = {one: proposal_delay_ms("abcd", one, observed) for one in "abcx"}
    assert turns["c"] == 0 < turns["a"] < turns["b"] < turns["x"] == float("inf")


def test_times_follow_from_the_settings() -> None:
    for catch_up in (1000.0, 2000.0, 4000.0, 6000.0, 30_000.0):
        timing = ObservationTiming.from_catch_up(catch_up)
        # Between two answers of one that lives lie at most a round that waits for another and a gap.
        assert (
            1.2 * timing.round_interval_ms + timing.reply_timeout_ms
            < timing.unresponsive_after_ms
            < catch_up - 1.2 * timing.round_interval_ms - timing.reply_timeout_ms
        )


def test_contacts_are_bounded() -> None:
    contacts, members = PeerObservations("a", 0, 1000), Membership(1, ("a", "b", "c"))
    for at in range(1000):
        one = f"m{at}"
        contacts.record_query(
            AcceptorQuery(address=one, can_vote=True, known_ballot=INITIAL_BALLOT.to_message()),
            at * 100,
            INITIAL_BALLOT,
        )
        contacts.last_reply_ms[one] = at * 100
        contacts.prune(members, at * 100)
        assert (
            len(contacts.last_reply_ms) <= RETENTION_INTERVALS * 10 + 1
            and len(contacts.recent_queriers(at * 100)) <= 11
        )
    assert contacts.snapshot(members, 1_000_000).candidates == frozenset()
