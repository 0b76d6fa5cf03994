"""Deltas between cluster states: a state without the large parts that the receiver holds already.

Invariant: `apply_delta(make_delta(state, base), base) == state` wherever `make_delta` returns a delta.
"""

from __future__ import annotations

from hallhitch.messages.system_pb2 import ClusterState
from hallhitch.planes.control import config_digests


def copy_state(state: ClusterState) -> ClusterState:
    """Return a copy that may be changed without changing the original."""
    copy = ClusterState()
    copy.CopyFrom(state)
    return copy


def make_delta(state: ClusterState, base: ClusterState) -> ClusterState | None:
    """Return the state without what the base contains; None where `apply_delta` could not restore it."""
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
    """Return the state that a delta stands for, given the base it was made from."""
    state = copy_state(delta)
    state.config = delta.config or base.config
    digests = config_digests.append_digests(base.config_digests, delta.config_digests)
    del state.config_digests[:]
    state.config_digests.extend(digests)
    return state
