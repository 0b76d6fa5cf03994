"""Calls between our processes: answered in any order, and bytes that are none of ours end their connection."""

import asyncio
from collections.abc import Coroutine

import pytest

from hallhitch.messages.link import Links
from hallhitch.messages.system_pb2 import Count, Counted, Envelope, Pull
from hallhitch.node.errors import Refused, Silent


def run(test: Coroutine[None, None, None]) -> None:
    asyncio.run(asyncio.wait_for(test, 20))


async def serving(links: Links) -> str:
    await links.serve("127.0.0.1:0")
    assert links._server is not None
    return f"127.0.0.1:{links._server.sockets[0].getsockname()[1]}"


def test_answers_come_in_any_order_to_those_who_asked() -> None:
    async def test() -> None:
        held: list[asyncio.Future[Envelope]] = []

        def handle(envelope: Envelope) -> asyncio.Future[Envelope]:
            future: asyncio.Future[Envelope] = asyncio.get_running_loop().create_future()
            held.append(future)
            if len(held) == 3:  # the last comes first
                for n, waiting in reversed(list(enumerate(held))):
                    waiting.set_result(Envelope(counted=Counted(held=True, total=n)))
            return future

        server, caller = Links("x", handle), Links("x")
        address = await serving(server)
        answers = await asyncio.gather(
            *(caller.call(address, Envelope(count=Count(tenant=str(n))), 10_000) for n in range(3))
        )
        assert [a.counted.total for a in answers] == [0, 1, 2]
        assert len(server.incoming) == 1
        assert (caller.sent, caller.received) == (server.received, server.sent) and caller.sent > 0 < caller.received
        assert caller.frames_sent == caller.frames_received == 3 == server.frames_received
        caller.close()
        server.close()

    run(test())


def test_failures_say_what_is_known() -> None:
    async def test() -> None:
        def handle(envelope: Envelope) -> Envelope:
            if envelope.HasField("pull"):
                raise ValueError("no")
            return Envelope(error="would not")

        server, caller = Links("x", handle), Links("x")
        address = await serving(server)
        for ask in (Envelope(pull=Pull()), Envelope(count=Count())):
            with pytest.raises(Refused):
                await caller.call(address, ask, 10_000)
        server.close()
        with pytest.raises(Silent):
            await caller.call(address, Envelope(count=Count()), 10_000)
        caller.close()

    run(test())


def test_bytes_of_others_are_dropped_and_counted() -> None:
    async def test() -> None:
        server, other = Links("x", lambda e: Envelope()), Links("y")
        address = await serving(server)
        host, port = address.rsplit(":", 1)
        for junk in (b"GET / HTTP/1.1\r\n\r\n", b"\xff\xff\xff\xff", b"\0\0\0\x03abc"):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(junk)
            with pytest.raises(ConnectionError):
                if not await reader.read(1):
                    raise ConnectionError
            writer.close()
        with pytest.raises(Silent):
            await other.call(address, Envelope(count=Count()), 10_000)
        assert server.spoilt.count == 4
        other.close()
        server.close()

    run(test())
