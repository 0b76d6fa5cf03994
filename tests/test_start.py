"""A gateway that starts, among clients that do not wait for it: the list it held may be old, and time runs."""

from __future__ import annotations

import asyncio
import socket
import tempfile
import time
import unittest
from typing import Any, cast

from hallhitch.core.deadlines import Clock, Deadlines
from hallhitch.core.module import Core
from hallhitch.decision import api
from hallhitch.net.ingress import Ingress
from tests.stand_ins import CUSTOMER, Backend, Counter, Discovery, GatewayCase, Program, read_http, soon


class Silent(Discovery):
    """A discovery that answers nothing by itself."""

    async def serve(self, number: int, reader: Any, writer: Any) -> None:
        """Hold every watch, the first one too."""
        while True:
            self.came.put_nowait((await read_http(reader))[0])
            writer.write(await self.news.get())


class Start(GatewayCase):
    """Started again with the list it held."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.agent, self.old, self.new, other = Silent(), Backend("old"), Backend("new"), Counter()
        for stand_in in (self.agent, self.old, self.new, other):
            await stand_in.start()
            self.addAsyncCleanup(stand_in.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.again = Program(folder.name, self.agent.address, other.address, [self.old], 5000.0)

    async def test_no_client_is_taken_before_the_list_is_known_to_be_new(self) -> None:
        """Guards against requests sent to servers that went while the gateway was down."""
        await self.again.start(fault="import hallhitch.gateway as g; g.FIRST_UPDATE_TIMEOUT_MS = 15000.0")
        self.assertIn("from=1&hold_ms=1 ", await soon(self.agent.came.get()))
        with self.assertRaises(ConnectionRefusedError):
            await self.again.connect()
        self.old.health = "leaving"
        self.agent.tell(2, False, self.old, self.new)
        await self.again.logged('"serving"')
        reader, writer = await self.again.connect()
        writer.write(self.request())
        self.assertIn(" 200 ", (await soon(read_http(reader)))[0])
        writer.close()
        self.assertEqual((self.old.taken, self.new.taken), (0, 1))
        self.assertEqual((await self.again.stop())[0], 0)

    async def test_a_discovery_that_is_down_is_not_waited_for_without_end(self) -> None:
        """Guards against a gateway that never comes back while discovery is silent."""
        await self.again.start()
        await self.again.logged('"serving"')
        self.assertEqual((await self.again.stop())[0], 0)

    async def test_an_end_before_the_start_is_complete(self) -> None:
        """Guards against a process that cannot be ended while it waits for discovery."""
        await self.again.start(fault="import hallhitch.gateway as g; g.FIRST_UPDATE_TIMEOUT_MS = 1000.0")
        await soon(self.agent.came.get())
        self.assertEqual((await self.again.stop())[0], 0)


class Waited(unittest.IsolatedAsyncioTestCase):
    """Time that a request spends in the listener's line."""

    async def test_it_comes_off_the_clients_patience(self) -> None:
        """Guards against an answer that is late by what the request waited to be read."""
        settings = api.Settings(
            1, (api.RequestClass("inspect", 1000.0, 2000.0, effect=api.SAFE),), (api.Plan("p"),), has_counter=False
        )
        begun: asyncio.Queue[float] = asyncio.Queue()

        class Noted:
            def begin(self, *arguments: Any, waited: float, **named: Any) -> int:
                begun.put_nowait(waited)
                return 1

            def on_client_gone(self, exchange: int) -> None:
                pass

        loop = asyncio.get_running_loop()
        ingress = Ingress(cast(Core, Noted()), settings, Deadlines(Clock(), loop), loop, 10, 2)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        client = socket.create_connection(listener.getsockname())
        client.sendall(
            f"GET /inspect/{CUSTOMER} HTTP/1.1\r\nReq-Id: 9b1f03aa5c7e2d41\r\nX-Contract: p\r\n"
            "Req-Deadline-Ms: 2000\r\n\r\n".encode()
        )
        ingress.open(listener)
        time.sleep(0.05)  # noqa: ASYNC251  a processor that stands still, not a wait for anything
        self.assertGreaterEqual(await soon(begun.get()), 50.0)
        client.close()
        ingress.stop()
        await soon(ingress.wait_closed())
