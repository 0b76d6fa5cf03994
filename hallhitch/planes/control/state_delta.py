"""Deltas between cluster states: a delta is a state without the large parts that the receiver already holds.

Invariant: `apply_delta(make_delta(state, base), base) == state` wherever `make_delta` returns a delta.
"""

from __future__ import annotations

from hallhitch.messages.system_pb2 import ClusterState
from hallhitch.planes.control import config_digests


def copy_state(state: ClusterState) -> ClusterState:
    """Return a copy that may be modified without modifying the original."""
    copy = ClusterState()
    copy.CopyFrom(state)
    return copy


def make_delta(state: ClusterState, base: ClusterState) -> ClusterState | None:
    """Return the state without the parts that `base` contains; None if `apply_delta` could not restore them."""
    newer_digests = config_digests.newer_digests(base.config_digests, state.config_digests)
    if newer_digests is None or (base.config and not state.config):
        return None
    delta = copy_state(state)
    if state.config == base.config:
        delta.config = b""
    del delta.config_digests[:]
    delta.config_digests.extend(newer_digests)
    return delta


def apply_delta(delta: ClusterState, base: ClusterState) -> ClusterState:
    """Restore the full state from a delta and the base that it was made from."""
    state = copy_state(delta)
    state.config = delta.config or base.config
    digests = config_digests.append_digests(base.config_digests, delta.config_digests)
    del state.config_digests[:]
    state.config_digests.extend(digests)
    return state
