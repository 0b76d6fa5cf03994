"""Tests of deltas between cluster states: what they omit, and that the state is restored."""

from __future__ import annotations

import pytest

from hallhitch.messages.system_pb2 import ClusterState
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.membership import initial_state
from hallhitch.planes.control.state_delta import apply_delta, copy_state, make_delta
from hallhitch.planes.control.state_transitions import StateTransition


def configured_state(versions: int) -> ClusterState:
    """Return a state in which this many configurations were applied."""
    state = initial_state("abc")
    for version in range(1, versions + 1):
        state = state_transitions.replace_config(version, b"content %d" % version * 100)(state)
    return state


@pytest.mark.parametrize("versions", [0, 1, 300], ids=["none", "one", "more digests than are stored"])
@pytest.mark.parametrize(
    "transition",
    [
        state_transitions.identity,
        state_transitions.evacuate_zone("z"),
        state_transitions.replace_config(1000, b"newer" * 100),
    ],
    ids=["unchanged", "evacuation", "configuration"],
)
def test_delta_restores_the_state(versions: int, transition: StateTransition) -> None:
    base = configured_state(versions)
    state = transition(base)
    delta = make_delta(state, base)
    assert delta is not None
    assert apply_delta(delta, base) == state
    is_reconfigured = state.config_version != base.config_version
    assert len(delta.config_digests) == is_reconfigured
    assert bool(delta.config) is is_reconfigured


def test_state_that_lost_its_configuration_has_no_delta() -> None:
    base = configured_state(1)
    without_config = copy_state(base)
    without_config.config = b""
    assert make_delta(without_config, base) is None


def test_state_with_other_digests_for_the_same_versions_has_no_delta() -> None:
    base = configured_state(2)
    state = copy_state(base)
    state.config_digests[0].digest = b"different"
    assert make_delta(state, base) is None


def test_copy_does_not_share_its_content() -> None:
    state = configured_state(1)
    copy = copy_state(state)
    copy.members.append("d")
    assert list(state.members) == ["a", "b", "c"]
