"""What state the gateway is in for its operators, and what moves it: one table, no I/O."""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """Where clients stand with this gateway."""

    SERVING = "serving"
    DRAINING = "draining"  # clients are sent away, the process runs on
    ENDING = "ending"  # SIGTERM: what was taken is finished, then the process ends
    LEAVING = "leaving"  # SIGTERM while draining: the same, and clients are still told no


class Call(Enum):
    """What operators or the platform ask for."""

    EVACUATE = "evacuate"
    REJOIN = "rejoin"
    TERM = "term"


# Every state with every call. An end is never taken back; a call that changes nothing is no error.
NEXT = {
    (State.SERVING, Call.EVACUATE): State.DRAINING,
    (State.SERVING, Call.REJOIN): State.SERVING,
    (State.SERVING, Call.TERM): State.ENDING,
    (State.DRAINING, Call.EVACUATE): State.DRAINING,
    (State.DRAINING, Call.REJOIN): State.SERVING,
    (State.DRAINING, Call.TERM): State.LEAVING,
    (State.ENDING, Call.EVACUATE): State.LEAVING,
    (State.ENDING, Call.REJOIN): State.ENDING,
    (State.ENDING, Call.TERM): State.ENDING,
    (State.LEAVING, Call.EVACUATE): State.LEAVING,
    (State.LEAVING, Call.REJOIN): State.ENDING,
    (State.LEAVING, Call.TERM): State.LEAVING,
}
# Where clients hear no: only where operators asked for it. A process that ends is replaced at the same address, and
# its no would be taken for the whole gateway's.
NO = frozenset((State.DRAINING, State.LEAVING))
ENDS = frozenset((State.ENDING, State.LEAVING))


class Drain:
    """The one state of a gateway; starts serving."""

    def __init__(self) -> None:
        self.state = State.SERVING

    def take(self, call: Call) -> bool:
        """Act on a call; whether it changed the state."""
        old, self.state = self.state, NEXT[self.state, call]
        return self.state is not old

    @property
    def welcome(self) -> bool:
        """Whether clients asking for this gateway's health are told yes."""
        return self.state not in NO

    @property
    def ending(self) -> bool:
        """Whether the process is to end."""
        return self.state in ENDS
