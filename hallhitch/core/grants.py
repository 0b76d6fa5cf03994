"""The upstream of the limit server: a local pseudo server that serves every attempt at once."""

from __future__ import annotations

from hallhitch.core.module import Core
from hallhitch.core.ports import Attempt
from hallhitch.decision import api
from hallhitch.decision.policy import STALL_FACTOR

LOCAL_SERVER = "local"
LOCAL_SERVER_LIST = api.ServerList("full", (api.ServerEntry(LOCAL_SERVER, "up"),))


class LocalUpstream:
    """Ends every attempt at once as served; the payload of an exchange is its request class."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def start(self, attempt: Attempt) -> None:
        """Grant the request by ending its attempt as served."""
        # A grant takes no time, but from a latency of 0 the decision module would learn a cost of 0 and divide by it.
        # Report the latency that the module assumes before its first measurement, so that its estimate stays as it is.
        assert isinstance(attempt.payload, api.RequestClass)
        self._core.on_attempt_ended(attempt, "ok", latency_ms=attempt.payload.aim / STALL_FACTOR)

    def cancel(self, attempt: Attempt) -> None:
        """Do nothing: no attempt is ever in flight."""
