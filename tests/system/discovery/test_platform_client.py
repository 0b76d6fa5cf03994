"""Tests of the client of the platform's endpoint list against a server on loopback, and of the list's reader."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from hallhitch.planes.discovery.endpoint_list_reader import EndpointListReader, page_timeout_ms, reading_interval_ms
from hallhitch.planes.discovery.errors import EndpointListError
from hallhitch.planes.discovery.platform_client import EndpointListReading, PlatformClient

PAGE_TIMEOUT_MS = 1000.0


def page(instances: list[str], next_token: str | None = None) -> bytes:
    rows = [{"instanceId": name, "targetService": "s", "address": "10.0.0.1:80"} for name in instances]
    return json.dumps({"instances": rows, "nextPageToken": next_token}).encode()


def response(body: bytes, status: int = 200) -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


class PlatformServer:
    """A server with a fixed reply for each target; it can close the connection after each reply."""

    def __init__(self, replies: dict[str, bytes], *, closes_after_reply: bool = False) -> None:
        self.replies = replies
        self.closes_after_reply = closes_after_reply
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.connections += 1
        while head := await reader.readline():
            while await reader.readline() != b"\r\n":
                pass
            writer.write(self.replies[head.split()[1].decode()])
            await writer.drain()
            if self.closes_after_reply:
                break
        writer.close()


def run_against(server: PlatformServer, scenario: Callable[[PlatformClient], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        client = PlatformClient(listener.sockets[0].getsockname()[:2], PAGE_TIMEOUT_MS)
        try:
            await scenario(client)
        finally:
            client.close()
            listener.close()

    asyncio.run(main())


def instances(reading: EndpointListReading) -> list[str]:
    return [backend.instance for backend in reading.backends]


def test_all_pages_are_read_over_one_connection() -> None:
    server = PlatformServer(
        {
            "/instances": response(page(["a", "b"], "p 2")),
            "/instances?pageToken=p%202": response(page(["c"])),
        }
    )

    async def scenario(client: PlatformClient) -> None:
        for _ in range(2):
            assert instances(await client.read()) == ["a", "b", "c"]
        assert server.connections == 1 and client.request_count == 4

    run_against(server, scenario)


# Guards against a list that is not read for the only row of its last page (DRAIN).
def test_page_whose_only_row_cannot_be_read_leaves_the_other_pages() -> None:
    server = PlatformServer({"/instances": response(page(["a"], "p")), "/instances?pageToken=p": response(page([" "]))})

    async def scenario(client: PlatformClient) -> None:
        reading = await client.read()
        assert instances(reading) == ["a"] and [row.fields for row in reading.unreadable_rows] == [("instanceId",)]

    run_against(server, scenario)


def test_long_chunked_page_is_read_whole() -> None:
    names = [f"i-{number}" for number in range(5000)]
    body = page(names)
    parts = [body[start : start + 10_000] for start in range(0, len(body), 10_000)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"

    async def scenario(client: PlatformClient) -> None:
        assert instances(await client.read()) == names

    run_against(PlatformServer({"/instances": reply}), scenario)


def test_connection_closed_while_idle_is_replaced() -> None:
    server = PlatformServer({"/instances": response(page(["a"]))}, closes_after_reply=True)

    async def scenario(client: PlatformClient) -> None:
        for _ in range(2):
            assert instances(await client.read()) == ["a"]
            await asyncio.sleep(0.05)
        assert server.connections == 2

    run_against(server, scenario)


@pytest.mark.parametrize(
    ("reply", "reason"),
    [
        (response(page(["a"]), 503), "status 503"),
        (response(b"{"), "malformed page"),
        (response(page(["a b", ""])), "no row names an instance"),
    ],
    ids=["status", "malformed", "no instance"],
)
def test_reply_without_a_list_raises_an_error(reply: bytes, reason: str) -> None:
    async def scenario(client: PlatformClient) -> None:
        with pytest.raises(EndpointListError, match=reason):
            await client.read()

    run_against(PlatformServer({"/instances": reply}), scenario)


def test_unreachable_platform_raises_an_error() -> None:
    async def scenario(client: PlatformClient) -> None:
        unreachable = PlatformClient(("127.0.0.1", 1), PAGE_TIMEOUT_MS)
        with pytest.raises(EndpointListError):
            await unreachable.read()

    run_against(PlatformServer({}), scenario)


def test_a_complete_list_is_passed_on_and_a_failed_read_is_not() -> None:
    class FailingOnceClient(PlatformClient):
        attempts = 0

        async def read(self) -> EndpointListReading:
            self.attempts += 1
            if self.attempts == 1:
                raise EndpointListError("status 503")
            return EndpointListReading(7.0, [])

    async def main() -> None:
        client = FailingOnceClient(("127.0.0.1", 1), PAGE_TIMEOUT_MS)
        readings: list[EndpointListReading] = []
        reader = EndpointListReader(client, 4.0, readings.append, lambda: 0.0)
        await reader.read()
        assert client.attempts == 1 and not readings
        await reader.read()
        assert client.attempts == 2 and readings == [EndpointListReading(7.0, [])]

    asyncio.run(main())


def test_unreadable_rows_are_passed_on_counted_by_field_and_logged_at_most_once_a_second(
    logged_lines: list[str],
) -> None:
    rows = [
        {"instanceId": f"i-{number}", "targetService": "s", "address": address, "slotCount": slots}
        for number, (address, slots) in enumerate([("h:80", 1), ("h:80", "x"), (None, "x"), (5, 1)])
    ]
    body = json.dumps({"instances": rows, "nextPageToken": None}).encode()

    async def scenario(client: PlatformClient) -> None:
        readings: list[EndpointListReading] = []
        reader = EndpointListReader(client, 4.0, readings.append, lambda: 0.0)
        for _ in range(2):
            await reader.read()
        assert [instances(reading) for reading in readings] == [["i-0"]] * 2
        assert [row.instance for row in readings[0].unreadable_rows] == ["i-1", "i-2", "i-3"]
        (metric,) = (m for m in reader.metrics() if m.name == "endpoint_list_unreadable_rows_total")
        assert metric.samples == {"slotCount": 2.0, "address": 4.0}

    run_against(PlatformServer({"/instances": response(body)}), scenario)
    (line,) = (line for line in logged_lines if "cannot be read" in line)
    assert "instance=i-1 fields=slotCount" in line


# Guards against the failure that an idle connection which the network dropped silently delays the list by a time-out.
def test_page_without_a_response_on_a_reused_connection_is_requested_on_a_new_one() -> None:
    async def main() -> None:
        connections = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal connections
            connections += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response(page(["a"])))
            await reader.read()  # no later request on this connection is answered
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = PlatformClient(listener.sockets[0].getsockname()[:2], 50.0)
        for _ in range(2):
            assert instances(await client.read()) == ["a"]
        assert connections == 2
        client.close()
        listener.close()

    asyncio.run(main())


def test_page_timeout_is_proportional_to_the_drain_timeout_within_limits() -> None:
    assert [page_timeout_ms(ms) for ms in (1000.0, 3000.0, 60_000.0)] == [250.0, 450.0, 1000.0]


def test_read_interval_is_proportional_to_the_drain_timeout_up_to_a_second() -> None:
    assert reading_interval_ms(2000.0) == 400.0
    assert reading_interval_ms(60_000.0) == 1000.0
