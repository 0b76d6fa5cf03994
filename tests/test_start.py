"""Gateway start: the saved server list may be outdated, and clients send requests with deadlines meanwhile."""

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


class HoldingDiscovery(Discovery):
    """A discovery that answers a watch only if the test tells it to."""

    async def serve(self, number: int, reader: Any, writer: Any) -> None:
        """Hold every watch, including the first one."""
        while True:
            self.came.put_nowait((await read_http(reader))[0])
            writer.write(await self.news.get())


class RestartTest(GatewayCase):
    """A gateway that starts with a saved server list."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.restart_discovery, self.old_backend, self.new_backend, restart_counter = (
            HoldingDiscovery(),
            Backend("old"),
            Backend("new"),
            Counter(),
        )
        for stand_in in (self.restart_discovery, self.old_backend, self.new_backend, restart_counter):
            await stand_in.start()
            self.addAsyncCleanup(stand_in.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.restarted = Program(
            folder.name, self.restart_discovery.address, restart_counter.address, [self.old_backend], 5000.0
        )

    async def test_no_client_is_accepted_before_the_server_list_is_current(self) -> None:
        """Guards against requests to servers that were removed while the gateway was down."""
        await self.restarted.start(fault="import hallhitch.gateway as g; g.FIRST_UPDATE_TIMEOUT_MS = 15000.0")
        self.assertIn("from=1&hold_ms=1 ", await soon(self.restart_discovery.came.get()))
        with self.assertRaises(ConnectionRefusedError):
            await self.restarted.connect()
        self.old_backend.health = "leaving"
        self.restart_discovery.tell(2, False, self.old_backend, self.new_backend)
        await self.restarted.logged('"serving"')
        reader, writer = await self.restarted.connect()
        writer.write(self.request())
        self.assertIn(" 200 ", (await soon(read_http(reader)))[0])
        writer.close()
        self.assertEqual((self.old_backend.taken, self.new_backend.taken), (0, 1))
        self.assertEqual((await self.restarted.stop())[0], 0)

    async def test_start_does_not_wait_forever_for_discovery(self) -> None:
        """Guards against a gateway that never serves because discovery does not respond."""
        await self.restarted.start()
        await self.restarted.logged('"serving"')
        self.assertEqual((await self.restarted.stop())[0], 0)

    async def test_sigterm_during_start(self) -> None:
        """Guards against a process that ignores SIGTERM while it waits for discovery."""
        await self.restarted.start(fault="import hallhitch.gateway as g; g.FIRST_UPDATE_TIMEOUT_MS = 1000.0")
        await soon(self.restart_discovery.came.get())
        self.assertEqual((await self.restarted.stop())[0], 0)


class BacklogTimeTest(unittest.IsolatedAsyncioTestCase):
    """Time that a request spends in the listen backlog."""

    async def test_backlog_time_is_subtracted_from_the_deadline(self) -> None:
        """Guards against a response that is late by the time for which the request was not read."""
        settings = api.Settings(
            1, (api.RequestClass("inspect", 1000.0, 2000.0, effect=api.SAFE),), (api.Plan("p"),), has_counter=False
        )
        waited_times: asyncio.Queue[float] = asyncio.Queue()

        class RecordingCore:
            def open_exchange(self, *arguments: Any, waited_ms: float, **options: Any) -> int:
                waited_times.put_nowait(waited_ms)
                return 1

            def on_client_gone(self, exchange: int) -> None:
                pass

        loop = asyncio.get_running_loop()
        ingress = Ingress(cast(Core, RecordingCore()), settings, Deadlines(Clock(), loop), loop, 10, 2)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        client = socket.create_connection(listener.getsockname())
        client.sendall(
            f"GET /inspect/{CUSTOMER} HTTP/1.1\r\nReq-Id: 9b1f03aa5c7e2d41\r\nX-Contract: p\r\n"
            "Req-Deadline-Ms: 2000\r\n\r\n".encode()
        )
        ingress.open(listener)
        time.sleep(0.05)  # noqa: ASYNC251  simulates a process that is not scheduled; waits for nothing
        self.assertGreaterEqual(await soon(waited_times.get()), 50.0)
        client.close()
        ingress.stop()
        await soon(ingress.wait_closed())
