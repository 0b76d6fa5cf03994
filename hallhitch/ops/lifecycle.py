"""The lifecycle of a gateway as a state machine: its states, the commands and one transition table, without I/O."""

from __future__ import annotations

from enum import Enum
from typing import Final


class GatewayState(Enum):
    """The lifecycle state of a gateway; the value is reported to operators."""

    SERVING = "serving"
    DRAINING = "draining"  # clients are sent to other gateways; the process keeps running
    STOPPING = "ending"  # after SIGTERM: the process finishes open requests and exits
    STOPPING_DRAINED = "leaving"  # SIGTERM and drained: the same, but health checks fail


class Command(Enum):
    """A command from an operator or from the platform (SIGTERM); the value is logged."""

    EVACUATE = "evacuate"
    REJOIN = "rejoin"
    TERMINATE = "term"


# Defines every command in every state. Termination is irreversible. A command may leave the state unchanged.
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
# Health checks fail only after an operator has ordered a drain. A process that merely stops is replaced by another one
# at the same address: failing its health checks would mark the whole gateway as failed.
UNHEALTHY_STATES: Final = frozenset((GatewayState.DRAINING, GatewayState.STOPPING_DRAINED))
STOPPING_STATES: Final = frozenset((GatewayState.STOPPING, GatewayState.STOPPING_DRAINED))


class Lifecycle:
    """Holds the lifecycle state of one gateway, initially SERVING."""

    def __init__(self) -> None:
        self.state = GatewayState.SERVING

    def apply(self, command: Command) -> bool:
        """Apply a command; return whether it changed the state."""
        previous = self.state
        self.state = TRANSITIONS[previous, command]
        return self.state is not previous

    @property
    def is_healthy(self) -> bool:
        """Whether health checks at the clients' address succeed."""
        return self.state not in UNHEALTHY_STATES

    @property
    def is_stopping(self) -> bool:
        """Whether the process is shutting down."""
        return self.state in STOPPING_STATES
