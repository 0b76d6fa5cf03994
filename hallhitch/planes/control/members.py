"""Who should be a replica: plain decisions over what this process has seen of the others. No clock, no I/O.

Machines that come (a spare, seeds that were exchanged) are added one at a time. One that has been silent for long goes
only while more are members than the losses to be borne need, and only if those who answer are a majority without it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from hallhitch.messages.system_pb2 import ClusterState

SILENT = 15_000.0  # ms without an answer after which a member may be replaced
FRESH = 5000.0  # ms within which an answer shows that a member can be reached
MOST = 9  # members: more would make each order slower and bear nothing that the rules ask for
TURN = 400.0  # ms that each member leaves to the one before it: one proposer is enough


@dataclass(frozen=True, slots=True)
class Settle:
    """End a change of members that is under way."""


@dataclass(frozen=True, slots=True)
class Add:
    """Take this machine in."""

    address: str


@dataclass(frozen=True, slots=True)
class Remove:
    """Do without this one."""

    address: str


Step = Settle | Add | Remove


def needed(losses: int) -> int:
    """How many replicas bear so many losses."""
    return 2 * losses + 1


def reachable(now: float, heard: Mapping[str, float]) -> frozenset[str]:
    """Who answered a moment ago."""
    return frozenset(one for one, at in heard.items() if now - at <= FRESH)


def step(
    value: ClusterState, now: float, since: float, heard: Mapping[str, float], asking: Mapping[str, float], losses: int
) -> Step | None:
    """What to change next. `heard`: when each last answered (ms), own included; `asking`: who wants in, and when;
    `since`: from when on this process has been listening without a break.
    """
    if value.previous:
        return Settle()
    members = frozenset(value.members)
    fresh = reachable(now, heard)
    if 2 * len(members & fresh) <= len(members):
        return None
    coming = sorted(one for one, at in asking.items() if now - at <= FRESH and one in fresh and one not in members)
    silent = sorted(one for one in members if now - max(heard.get(one, since), since) > SILENT)
    for one in silent:
        rest = members - {one}
        if len(members) > needed(losses) and 2 * len(rest & fresh) > len(rest):
            return Remove(one)
    if coming and len(members) < (MOST + 1 if silent else MOST):
        return Add(coming[0])
    return None


def turn(value: ClusterState, address: str, now: float, heard: Mapping[str, float]) -> float:
    """How long (ms) to leave what is to be done to others; endless for who is no member."""
    live = sorted(one for one in value.members if now - heard.get(one, float("-inf")) <= FRESH or one == address)
    return live.index(address) * TURN if address in live else float("inf")
