"""Sessions of the limit server over a socket pair, with a scripted core."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, cast

from hallhitch.core.deadlines import Clock, Deadlines
from hallhitch.core.module import Core
from hallhitch.core.ports import AnswerPort
from hallhitch.decision import api
from hallhitch.resp.server import LimitServer
from hallhitch.resp.session import MAX_PIPELINE_DEPTH
from tests.stand_ins import command

SETTINGS = api.Settings(3, (api.RequestClass("read", 800.0, 2000.0, effect=api.SAFE),), (api.Plan("basic"),))
TAKE = command("TAKE", "shop-1", "read", "basic", "2", "1500")


class ScriptedCore:
    """A stand-in for the core: records the exchanges that sessions open; the test completes them."""

    def __init__(self) -> None:
        self.opened: list[tuple[tuple[object, ...], dict[str, object]]] = []
        self.ports: list[AnswerPort] = []
        self.abandoned: list[int] = []

    def open_exchange(self, *arguments: Any, **options: Any) -> int:
        self.opened.append((arguments, options))
        self.ports.append(arguments[4])
        return len(self.ports)

    def on_client_gone(self, exchange_id: int) -> None:
        self.abandoned.append(exchange_id)


@asynccontextmanager
async def open_session(
    core: ScriptedCore, is_spare: bool = False
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Run a session and yield the streams of its client."""
    loop = asyncio.get_running_loop()
    server = LimitServer(cast(Core, core), SETTINGS, Deadlines(Clock(), loop), loop, max_clients=1, spare=1)
    server_end, client_end = socket.socketpair()
    server_end.setblocking(False)
    task = loop.create_task(server.make_connection(server_end, is_spare).run())
    reader, writer = await asyncio.open_connection(sock=client_end)
    try:
        yield reader, writer
    finally:
        writer.close()
        await asyncio.wait_for(task, 5.0)


async def read(reader: asyncio.StreamReader, size: int) -> bytes:
    return await asyncio.wait_for(reader.readexactly(size), 5.0)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0)


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """One session, its replies and the exchanges that its commands begin."""

    async def test_take_begins_an_exchange_and_replies_are_sent_in_order(self) -> None:
        core = ScriptedCore()
        async with open_session(core) as (reader, writer):
            writer.write(TAKE + TAKE + TAKE + command("PING"))
            await wait_until(lambda: len(core.ports) == 3)
            core.ports[2].on_failed()
            core.ports[1].on_rejected(12.3)
            core.ports[0].on_served(None)
            expected = b"*2\r\n:1\r\n:0\r\n*2\r\n:0\r\n:13\r\n-FAILED no decision within the deadline\r\n+PONG\r\n"
            assert await read(reader, len(expected)) == expected
        arguments, options = core.opened[0]
        request_class = SETTINGS.classes[0]
        assert arguments[:4] == ("shop-1", 0, 0, 1500.0)
        assert arguments[5] is request_class
        assert options == {"units": 2.0, "spread": 3.0, "is_write": False, "request_class": request_class}
        assert core.abandoned == []

    async def test_exchanges_of_a_disconnected_client_are_abandoned(self) -> None:
        core = ScriptedCore()
        async with open_session(core) as (_, writer):
            writer.write(TAKE + TAKE)
            await wait_until(lambda: len(core.ports) == 2)
        assert core.abandoned == [1, 2]

    async def test_commands_beyond_the_pipeline_depth_wait_for_replies(self) -> None:
        core = ScriptedCore()
        async with open_session(core) as (_, writer):
            writer.write(TAKE * (MAX_PIPELINE_DEPTH + 5))
            await wait_until(lambda: len(core.ports) == MAX_PIPELINE_DEPTH)
            for _ in range(100):
                await asyncio.sleep(0)
            assert len(core.ports) == MAX_PIPELINE_DEPTH
            for port in core.ports[:5]:
                port.on_served(None)
            await wait_until(lambda: len(core.ports) == MAX_PIPELINE_DEPTH + 5)

    async def test_framing_error_is_reported_after_earlier_replies_and_closes_the_connection(self) -> None:
        async with open_session(ScriptedCore()) as (reader, writer):
            writer.write(command("PING") + b"*999\r\n")
            assert await asyncio.wait_for(reader.read(), 5.0) == b"+PONG\r\n-ERR Protocol error: too many arguments\r\n"

    async def test_spare_connection_is_answered_with_an_error_and_closed(self) -> None:
        async with open_session(ScriptedCore(), is_spare=True) as (reader, writer):
            writer.write(command("PING"))
            assert await asyncio.wait_for(reader.read(), 5.0) == b"-ERR max number of clients reached\r\n"
