"""The limit server: it answers RESP2 commands for limits, which the same core decides as HTTP traffic.

    TAKE customer class plan units deadline-ms

takes units from a customer's quota. The reply is an array of two integers: 1 and 0 if the units are granted, or 0 and
the time in ms after which to retry if they are rejected. `-FAILED` means that no decision was made within the deadline,
`-ERR` that the command is invalid; the connection stays open in both cases.

PING, ECHO, HELLO, CLIENT and QUIT work as in other RESP servers. Commands may be pipelined: they run concurrently, and
their replies are sent in the order of the commands. After a framing error the server sends an error and closes the
connection.
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
from hallhitch.resp.session import Session, SessionContext


class LimitServer(Acceptor):
    """Accepts RESP clients; an idle connection is closed only if another client needs its place."""

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
        self._context = SessionContext(core, settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Use these settings for all commands that are executed from now on."""
        self._context.settings = settings

    def make_connection(self, sock: socket.socket, spare: bool) -> ClientConnection:
        """Return the session of a new connection."""
        return Session(self, sock, spare, self._context)
