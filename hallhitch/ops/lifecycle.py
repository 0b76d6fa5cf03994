"""The states of a gateway and the commands that change them: one table, no I/O."""

from __future__ import annotations

from enum import Enum
from typing import Final


class GatewayState(Enum):
    """The state of a gateway; the value is what its operators read."""

    SERVING = "serving"
    DRAINING = "draining"  # clients are sent to other gateways, the process keeps running
    STOPPING = "ending"  # after SIGTERM: open requests are finished, then the process exits
    STOPPING_DRAINED = "leaving"  # SIGTERM while draining: the same, and health checks still fail


class Command(Enum):
    """What operators or the platform order."""

    EVACUATE = "evacuate"
    REJOIN = "rejoin"
    TERMINATE = "term"


# Every state with every command. A termination is not reversible; a command that changes nothing is no error.
TRANSITIONS: Final = {
    (GatewayState.SERVING, Command.EVACUATE): GatewayState.DRAINING,
    (GatewayState.SERVING, Command.REJOIN): GatewayState.SERVING,
    (GatewayState.SERVING, Command.TERMINATE): GatewayState.STOPPING,
    (GatewayState.DRAINING, Command.EVACUATE): GatewayState.DRAINING,
    (GatewayState.DRAINING, Command.REJOIN): GatewayState.SERVING,
    (GatewayState.DRAINING, Command.TERMINATE): GatewayState.STOPPING_DRAINED,
    (GatewayState.STOPPING, Command.EVACUATE): GatewayState.STOPPING_DRAINED,
    (GatewayState.STOPPING, Command.REJOIN): GatewayState.STOPPING,
    (GatewayState.STOPPING, Command.TERMINATE): GatewayState.STOPPING,
    (GatewayState.STOPPING_DRAINED, Command.EVACUATE): GatewayState.STOPPING_DRAINED,
    (GatewayState.STOPPING_DRAINED, Command.REJOIN): GatewayState.STOPPING,
    (GatewayState.STOPPING_DRAINED, Command.TERMINATE): GatewayState.STOPPING_DRAINED,
}
# Health checks fail only where operators have ordered it. A process that merely stops is replaced at the same address,
# and its failure would be taken for that of the gateway.
UNHEALTHY_STATES: Final = frozenset((GatewayState.DRAINING, GatewayState.STOPPING_DRAINED))
STOPPING_STATES: Final = frozenset((GatewayState.STOPPING, GatewayState.STOPPING_DRAINED))


class Lifecycle:
    """The state of one gateway; it starts as SERVING."""

    def __init__(self) -> None:
        self.state = GatewayState.SERVING

    def apply(self, command: Command) -> bool:
        """Apply a command; return whether it changed the state."""
        previous = self.state
        self.state = TRANSITIONS[previous, command]
        return self.state is not previous

    @property
    def is_healthy(self) -> bool:
        """Whether clients' health checks succeed."""
        return self.state not in UNHEALTHY_STATES

    @property
    def is_stopping(self) -> bool:
        """Whether the process is to exit."""
        return self.state in STOPPING_STATES
