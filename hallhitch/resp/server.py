"""The limit server: RESP2 commands for limits, decided by the same core as HTTP traffic.

    TAKE customer class plan units deadline-ms

takes units of a customer's quota. The reply is an array of two integers: 1 and 0 when they are granted, 0 and the
milliseconds after which to retry when they are rejected. `-FAILED` means that nothing was decided within the deadline,
`-ERR` that the command is wrong; the connection goes on in both cases.

PING, ECHO, HELLO, CLIENT and QUIT are as in other RESP servers. Commands may be pipelined: they run concurrently, and
their replies keep their order. Broken framing is answered with an error, and the connection ends.
"""

from __future__ import annotations

import asyncio
import math
import socket

from hallhitch.core.deadlines import Deadlines
from hallhitch.core.module import Core
from hallhitch.decision import api
from hallhitch.net.acceptor import Acceptor
from hallhitch.net.client_connection import ClientConnection
from hallhitch.resp.session import LimitDecider, Session


class LimitServer(Acceptor):
    """Accepts RESP clients; idle connections stay open as long as there is room."""

    max_idle_ms = math.inf

    def __init__(
        self,
        core: Core,
        settings: api.Settings,
        deadlines: Deadlines,
        scheduler: asyncio.AbstractEventLoop,
        max_clients: int,
        spare: int,
    ) -> None:
        super().__init__(deadlines, scheduler, max_clients, spare)
        self._decider = LimitDecider(core, settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Use other settings for commands from now on."""
        self._decider.settings = settings

    def make_connection(self, sock: socket.socket, spare: bool) -> ClientConnection:
        """Return a new connection's actor."""
        return Session(self, sock, spare, self._decider)
