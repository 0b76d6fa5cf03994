"""The HTTP server: order of replies, handler errors, size limits, disconnected callers."""

import asyncio

import pytest

from hallhitch.node.http_server import MAX_HEAD_BYTES, HttpHandler, HttpReply, HttpServer
from hallhitch.node.logs import ComponentLogger, format_fields
from tests.system.event_loops import RunTest

MAX_BODY_BYTES = 1000
POST_HEAD = b"POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n"


async def start(handler: HttpHandler) -> tuple[HttpServer, asyncio.StreamReader, asyncio.StreamWriter]:
    server = HttpServer("test", handler, MAX_BODY_BYTES)
    await server.serve(("127.0.0.1", 0))
    assert server._server is not None
    port = server._server.sockets[0].getsockname()[1]
    return server, *await asyncio.open_connection("127.0.0.1", port)


async def stop(server: HttpServer, writer: asyncio.StreamWriter) -> None:
    writer.close()
    await server.close()


def test_replies_to_pipelined_calls_are_sent_in_order(run_test: RunTest) -> None:
    async def test() -> None:
        async def reply_later() -> HttpReply:
            await asyncio.sleep(0)
            return HttpReply(200, {"X-Kind": "late"}, b"first")

        def handle(method: str, target: str, body: bytes) -> object:
            return reply_later() if target == "/a" else HttpReply(409, {}, method.encode() + body)

        server, reader, writer = await start(handle)  # type: ignore[arg-type]
        writer.write(b"GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nxy")
        assert await reader.read() == (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Kind: late\r\n\r\nfirst"
            b"HTTP/1.1 409 Conflict\r\nContent-Length: 6\r\nConnection: close\r\n\r\nPOSTxy"
        )
        await stop(server, writer)

    run_test(test())


@pytest.mark.parametrize("is_late", [False, True])
def test_a_handler_exception_is_logged_and_the_reply_is_status_500(
    run_test: RunTest, monkeypatch: pytest.MonkeyPatch, is_late: bool
) -> None:
    async def test() -> None:
        lines: list[str] = []
        monkeypatch.setattr(
            ComponentLogger,
            "exception",
            lambda logger, event, exception, /, **fields: lines.append(event + format_fields(fields)),
        )

        async def fail_later() -> HttpReply:
            raise ValueError("no")

        def handle(method: str, target: str, body: bytes) -> object:
            if is_late:
                return fail_later()
            raise ValueError("no")

        server, reader, writer = await start(handle)  # type: ignore[arg-type]
        writer.write(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 500 Internal Server Error\r\n")
        assert lines == ['call handler raised error="ValueError: no" count=1']
        await stop(server, writer)

    run_test(test())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"no call\r\n\r\n", b"400 Bad Request"),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n" + bytes(MAX_BODY_BYTES + MAX_HEAD_BYTES),
            b"413 Content",
        ),
    ],
)
def test_a_malformed_or_too_large_call_closes_the_connection(run_test: RunTest, data: bytes, status: bytes) -> None:
    async def test() -> None:
        server, reader, writer = await start(lambda method, target, body: HttpReply(200, {}, b""))
        writer.write(data)
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 " + status)
        await stop(server, writer)

    run_test(test())


def test_a_call_is_cancelled_when_its_caller_disconnects(run_test: RunTest) -> None:
    async def test() -> None:
        started, cancelled = asyncio.Event(), asyncio.Event()

        async def wait_for_cancellation() -> HttpReply:
            started.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.set()
                raise
            return HttpReply(200, {}, b"")

        server, _, writer = await start(lambda method, target, body: wait_for_cancellation())
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await started.wait()
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 10)
        await stop(server, writer)

    run_test(test())
