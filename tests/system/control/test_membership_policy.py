"""Tests of the decision which coordinators should be members, over all small cases."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from hallhitch.planes.control.membership_policy import (
    ObservationTiming,
    PeerSnapshot,
    ReconfigurationReason,
    proposal_delay_ms,
    replicas_needed,
    target_members,
)

MEMBER_STATES = ("reachable", "leaving", "unresponsive")


def all_small_cases() -> Iterator[tuple[frozenset[str], PeerSnapshot, int]]:
    """Yield members, observations and tolerated losses: up to five members, two candidates and two losses."""
    for size, candidate_count, losses in itertools.product(range(1, 6), range(3), range(3)):
        members, candidates = "abcde"[:size], frozenset("xy"[:candidate_count])
        for states in itertools.product(MEMBER_STATES, repeat=size):
            by_state = {
                state: {member for member, its_state in zip(members, states, strict=True) if its_state == state}
                for state in MEMBER_STATES
            }
            yield (
                frozenset(members),
                PeerSnapshot(
                    reachable=frozenset(by_state["reachable"] | by_state["leaving"] | candidates),
                    leaving=frozenset(by_state["leaving"]),
                    unresponsive=frozenset(by_state["unresponsive"]),
                    candidates=candidates,
                ),
                losses,
            )


def test_every_target_is_reachable_and_tolerates_the_same_losses() -> None:
    reasons = set()
    for members, observed, losses in all_small_cases():
        target = target_members(members, observed, losses)
        if target is None:
            continue
        after = frozenset(target.members)
        reasons.add(target.reason)
        assert after != members and after <= members | observed.candidates
        assert 2 * len(after & observed.reachable) > len(after)
        assert 2 * len(members & observed.reachable) > len(members)
        assert len(after) % 2 == 1 or len(after) == len(members)  # no even intermediate size
        assert len(after) >= min(len(members), replicas_needed(losses))
        assert len(after) <= max(len(members), replicas_needed(losses))
        assert not (after - members) & (observed.leaving | observed.unresponsive)
        departing = observed.leaving | observed.unresponsive
        is_growth = target.reason is ReconfigurationReason.GROW
        assert len(after & departing) < len(members & departing) or is_growth
    assert reasons == set(ReconfigurationReason)


def test_candidates_replace_departing_members_the_unresponsive_first() -> None:
    for members, observed, losses in all_small_cases():
        departing = members & (observed.leaving | observed.unresponsive)
        has_majority = 2 * len(members & observed.reachable) > len(members)
        if not departing or not observed.candidates or not has_majority:
            continue
        target = target_members(members, observed, losses)
        assert target is not None and target.reason is ReconfigurationReason.REPLACE
        staying = frozenset(target.members) & departing
        assert len(staying) == max(0, len(departing) - len(observed.candidates))
        assert not (staying & observed.unresponsive) or departing - staying <= observed.unresponsive


@dataclass(frozen=True, slots=True)
class PolicyCase:
    """Members (one letter each), what is observed of them, and the expected target; "" if no change is expected."""

    members: str
    losses: int
    expected: str
    leaving: str = ""
    unresponsive: str = ""
    candidates: str = ""


@pytest.mark.parametrize(
    "case",
    [
        PolicyCase("abc", 1, "", candidates="x"),  # superfluous candidates do not become members
        PolicyCase("abc", 1, "", unresponsive="a"),
        PolicyCase("abc", 1, "", leaving="a"),
        PolicyCase("abc", 1, "bcx", unresponsive="a", candidates="x"),
        PolicyCase("abc", 2, "", candidates="x"),
        PolicyCase("abc", 2, "abcxy", candidates="xy"),
        PolicyCase("abc", 2, "bcxyz", unresponsive="a", candidates="xyz"),
        PolicyCase("abcde", 1, "bcd", unresponsive="a"),
        PolicyCase("abcde", 2, "", unresponsive="a"),
        PolicyCase("a", 1, "", candidates="x"),
        PolicyCase("ab", 1, "abx", candidates="x"),
        PolicyCase("abc", 1, "", unresponsive="ab", candidates="xy"),  # no majority, so no change can be committed
    ],
    ids=str,
)
def test_target_of_some_cases(case: PolicyCase) -> None:
    observed = PeerSnapshot(
        reachable=frozenset(case.members) - frozenset(case.unresponsive) | frozenset(case.candidates),
        leaving=frozenset(case.leaving),
        unresponsive=frozenset(case.unresponsive),
        candidates=frozenset(case.candidates),
    )
    target = target_members(case.members, observed, case.losses)
    assert "".join(target.members if target is not None else ()) == case.expected


def test_leaving_members_propose_first_and_unreachable_ones_never() -> None:
    observed = PeerSnapshot(reachable=frozenset("abc"), leaving=frozenset("c"))
    delays = {address: proposal_delay_ms("abcd", address, observed) for address in "abcx"}
    assert delays["c"] == 0 < delays["a"] < delays["b"] < delays["x"] == float("inf")


@pytest.mark.parametrize("catch_up_ms", [1000.0, 2000.0, 4000.0, 6000.0, 30_000.0])
def test_member_that_loses_one_reply_stays_and_a_lost_member_is_detected_within_the_catch_up(
    catch_up_ms: float,
) -> None:
    timing = ObservationTiming.from_catch_up(catch_up_ms)
    # At most one round that waits for another member, and one interval, lie between two replies of a live member.
    longest_round_ms = 1.2 * timing.round_interval_ms + timing.reply_timeout_ms
    assert longest_round_ms < timing.unresponsive_after_ms
    assert timing.unresponsive_after_ms < catch_up_ms - 1.2 * timing.round_interval_ms - timing.reply_timeout_ms
