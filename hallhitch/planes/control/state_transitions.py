"""The changes of the cluster configuration, each a plain function from value to value; the same object = nothing
changed.

An order that changes nothing is acknowledged all the same, once a majority has confirmed the value it met. Evacuations
carry no version, so a `start` that was sent again and comes late looks just like a new one. It is not told by content
or by time: a real start soon after a stop must be taken, and machines share no clock. What is late is told by its
caller, who has left: an order is put to the register only while its caller waits on an open connection, within the
second after which callers move on, and not while the process finds that it has been standing still (see `operator`).
A `stop` comes only after its `start` was answered or given up, thus after all its earlier callers have left.
The proposer looks at this when a majority has promised its ballot: at the caller, and at the clock for the order's end,
as a machine that stood still may read promises before its time-outs run. What it hands on then lies under a ballot that
a majority promised before any such `stop`, and the `stop` is written under a higher one even where it changes nothing:
accepts of the `start` that come after it are refused.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hallhitch.messages.system_pb2 import ClusterState, ConfigDigest
from hallhitch.planes.control.config_digests import append_digests, content_digest
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.state_delta import copy_state

StateTransition = Callable[[ClusterState], ClusterState]  # returns the same object where it changes nothing


def identity(value: ClusterState) -> ClusterState:
    """A read; where a majority agrees, nothing is written for it."""
    return value


def recommit(value: ClusterState) -> ClusterState:
    """The same value under a new ballot, for those who are behind."""
    return value


def replace_config(version: int, content: bytes, digest: bytes | None = None) -> StateTransition:
    """A whole configuration: the highest version prevails, the first of equal ones stays.

    Its digest is recorded with it (without one: that of the content's bytes), by which `digests.outcome` tells later
    whether this content is the one that was taken under its number.
    """
    entry = ConfigDigest(config_version=version, digest=content_digest(content) if digest is None else digest)

    def change(value: ClusterState) -> ClusterState:
        if version <= value.config_version:
            return value
        after = _next(value)
        after.config_version, after.config = version, content
        recorded = append_digests(value.config_digests, [entry])
        del after.config_digests[:]
        after.config_digests.extend(recorded)
        return after

    return change


def evacuate_zone(zone: str) -> StateTransition:
    """Nothing more is sent to the zone's backends."""

    def change(value: ClusterState) -> ClusterState:
        if zone in value.evacuations:
            return value
        after = _next(value)
        after.evacuations[zone] = after.serial
        return after

    return change


def restore_zone(zone: str) -> StateTransition:
    """The zone is taken back."""

    def change(value: ClusterState) -> ClusterState:
        if zone not in value.evacuations:
            return value
        after = _next(value)
        del after.evacuations[zone]
        return after

    return change


def annotate(name: str, text: str) -> StateTransition:
    """A mark that must outlive a loss of everything."""

    def change(value: ClusterState) -> ClusterState:
        if value.annotations.get(name) == text:
            return value
        after = _next(value)
        after.annotations[name] = text
        return after

    return change


def reconfigure_members(members: Iterable[str], among: Membership) -> StateTransition:
    """Other members in one joint change, if the members are still those of `among` and no change is under way.

    The state names both sets until `settle`. Votes on leases by the old set count until `end_lease_transition`.
    """
    target = sorted(set(members))

    def change(value: ClusterState) -> ClusterState:
        if (
            Membership.from_state(value) != among
            or value.previous_members
            or value.previous_lease_members
            or target == list(value.members)
        ):
            return value
        if not target:
            return value
        after = _next(value)
        after.previous_members[:] = value.members
        after.previous_lease_members[:] = value.members
        after.members[:] = target
        after.membership_version += 1
        return after

    return change


def add_member(address: str, among: Membership) -> StateTransition:
    """One more member, if the members are still those."""
    return reconfigure_members([*among.members, address], among)


def remove_member(address: str, among: Membership) -> StateTransition:
    """One member less, if the members are still those; never the last one."""
    return reconfigure_members([one for one in among.members if one != address], among)


def finish_reconfiguration(value: ClusterState) -> ClusterState:
    """The second half of a change of members: only the new ones count from now on."""
    if not value.previous_members:
        return value
    after = _next(value)
    del after.previous_members[:]
    after.membership_version += 1
    return after


def finish_lease_transition(value: ClusterState) -> ClusterState:
    """The end of a change of members for leases: votes of the former members have all ended."""
    if not value.previous_lease_members or value.previous_members:
        return value
    after = _next(value)
    del after.previous_lease_members[:]
    after.membership_version += 1
    return after


def _next(value: ClusterState) -> ClusterState:
    after = copy_state(value)
    after.serial += 1
    return after
