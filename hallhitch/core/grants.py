"""The one local server of a limit server: an attempt to reach it is itself the grant."""

from __future__ import annotations

from hallhitch.core.module import Core
from hallhitch.core.ports import Attempt
from hallhitch.decision import api
from hallhitch.decision.policy import STALL

LOCAL_SERVER = "local"
LOCAL_SERVER_LIST = api.ServerList("full", (api.ServerEntry(LOCAL_SERVER, "up"),))


class LocalGrants:
    """Ends every attempt at once as served; the payload of its exchange is its class."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def start(self, attempt: Attempt) -> None:
        """Grant the request."""
        # A grant takes no time, but from a time of 0 the module would learn a work of 0 and divide by it. It gets the
        # time that it assumes before it has learned any, so that it learns nothing.
        assert isinstance(attempt.payload, api.RequestClass)
        self._core.on_attempt_ended(attempt, "ok", lag=attempt.payload.aim / STALL)

    def cancel(self, attempt: Attempt) -> None:
        """Do nothing: no attempt is ever in flight."""
