"""The transitions of the cluster state, each a pure function from state to state.

A transition that changes nothing returns the very object that it was given; any other returns a copy with the next
serial.

Late commands. A command that changes nothing is still acknowledged, once a majority has confirmed the state that it
found. Evacuations carry no version, so a `start` that was resent and arrives late looks exactly like a new one. Neither
its content nor its time distinguishes the two: a new `start` soon after a `stop` must be applied, and machines share no
clock. What distinguishes a late command is that its caller has left. Hence:

- A command is proposed only while its caller waits on an open connection, within the time after which callers give up,
  and not while the process finds that it was suspended (see `operator_api`).
- A `stop` is sent only after its `start` was answered or given up, so all earlier callers of that `start` have left.
- When a majority has promised its ballot, the proposer checks that the caller is still there and that the clock has not
  reached the deadline of the command. The clock is checked as well because a process that was suspended may read
  promises before its timeouts run.

So any state that contains a late `start` was promised by a majority before any such `stop`. The `stop` is written under
a higher ballot even if it changes nothing, and accepts of the `start` that arrive after it are refused.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hallhitch.messages.system_pb2 import ClusterState, ConfigDigest
from hallhitch.planes.control.config_digests import append_digests, content_digest
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.state_delta import copy_state

StateTransition = Callable[[ClusterState], ClusterState]  # returns the same object if it changes nothing


def identity(state: ClusterState) -> ClusterState:
    """Read the state; nothing is written if a majority agrees on it."""
    return state


def recommit(state: ClusterState) -> ClusterState:
    """Commit the same state under a new ballot, which replicates it to members that lack it."""
    return state


def replace_config(version: int, content: bytes, digest: bytes | None = None) -> StateTransition:
    """Replace the configuration if its version is higher; of two with the same version, the first one stays.

    The digest (by default that of the bytes of the content) is recorded with it. `config_digests.config_outcome` uses
    it to determine later whether this content was committed under its version.
    """
    entry = ConfigDigest(config_version=version, digest=content_digest(content) if digest is None else digest)

    def transition(state: ClusterState) -> ClusterState:
        if version <= state.config_version:
            return state
        after = _successor(state)
        after.config_version, after.config = version, content
        digests = append_digests(state.config_digests, [entry])
        del after.config_digests[:]
        after.config_digests.extend(digests)
        return after

    return transition


def evacuate_zone(zone: str) -> StateTransition:
    """Start the evacuation of a zone: no more requests are sent to its backends."""

    def transition(state: ClusterState) -> ClusterState:
        if zone in state.evacuations:
            return state
        after = _successor(state)
        after.evacuations[zone] = after.serial
        return after

    return transition


def restore_zone(zone: str) -> StateTransition:
    """Stop the evacuation of a zone."""

    def transition(state: ClusterState) -> ClusterState:
        if zone not in state.evacuations:
            return state
        after = _successor(state)
        del after.evacuations[zone]
        return after

    return transition


def annotate(name: str, text: str) -> StateTransition:
    """Set an annotation: a short text that must survive the loss of every process."""

    def transition(state: ClusterState) -> ClusterState:
        if state.annotations.get(name) == text:
            return state
        after = _successor(state)
        after.annotations[name] = text
        return after

    return transition


def reconfigure_members(members: Iterable[str], expected: Membership) -> StateTransition:
    """Begin a joint change to other members, if the membership is the expected one and no change is in progress.

    The state names both sets of members until `finish_reconfiguration`. Votes on leases by the former members count
    until `finish_lease_transition`.
    """
    target = sorted(set(members))

    def transition(state: ClusterState) -> ClusterState:
        is_change_in_progress = bool(state.previous_members or state.previous_lease_members)
        if Membership.from_state(state) != expected or is_change_in_progress:
            return state
        if not target or target == list(state.members):
            return state
        after = _successor(state)
        after.previous_members[:] = state.members
        after.previous_lease_members[:] = state.members
        after.members[:] = target
        after.membership_version += 1
        return after

    return transition


def add_member(address: str, expected: Membership) -> StateTransition:
    """Begin a change that adds a member, if the membership is the expected one."""
    return reconfigure_members([*expected.members, address], expected)


def remove_member(address: str, expected: Membership) -> StateTransition:
    """Begin a change that removes a member, if the membership is the expected one; the last member stays."""
    return reconfigure_members([member for member in expected.members if member != address], expected)


def finish_reconfiguration(state: ClusterState) -> ClusterState:
    """End a joint change for the consensus: only the new members vote from now on."""
    if not state.previous_members:
        return state
    after = _successor(state)
    del after.previous_members[:]
    after.membership_version += 1
    return after


def finish_lease_transition(state: ClusterState) -> ClusterState:
    """End a joint change for leases; to be proposed once all votes of the former members have expired."""
    if not state.previous_lease_members or state.previous_members:
        return state
    after = _successor(state)
    del after.previous_lease_members[:]
    after.membership_version += 1
    return after


def _successor(state: ClusterState) -> ClusterState:
    """Return a copy with the next serial."""
    after = copy_state(state)
    after.serial += 1
    return after
