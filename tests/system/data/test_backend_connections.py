"""Connections to backends: their reuse, their number, and received bytes that belong to no request."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.planes.data.idle_reuse import DEFAULT_MAX_IDLE_MS, LEARNED_LIMIT_TTL_MS, IdleReuseLimit
from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.values import Service
from tests.system.data.data_plane_harness import DataPlaneHarness, make_config, make_route, with_data_plane
from tests.system.data.scripted_peers import SEAL_LINE, Peer, ScriptedBackend, encode_request, respond_with

LONG_BODY = bytes(range(256)) * 3000
HEAD = b"HTTP/1.1 200 OK\r\nHallhitch-Request-Id: id-1\r\n" + SEAL_LINE


def test_idle_limit_is_learned_from_resets_and_correlated_closes() -> None:
    limit = IdleReuseLimit()
    assert limit.max_idle_ms(0, 0, False) == DEFAULT_MAX_IDLE_MS and limit.max_idle_ms(0, 10_000, False) == 7000
    assert limit.max_idle_ms(0, 0, True) == 1000 and limit.max_idle_ms(0, 10_000, True) == 3500
    limit.on_closed(0, "b-1", 800)  # a single backend may have stopped
    assert limit.max_idle_ms(0, 0, False) == DEFAULT_MAX_IDLE_MS
    limit.on_closed(500, "b-2", 700)
    assert 250 < limit.max_idle_ms(600, 10_000, False) < 700
    limit.on_reset(1000, 600)
    limit.on_reset(2000, 20)  # too soon after the last use to say anything about the idle time-out
    assert limit.max_idle_ms(2000, 0, True) == 300
    assert limit.max_idle_ms(1000 + LEARNED_LIMIT_TTL_MS, 0, False) == DEFAULT_MAX_IDLE_MS


@with_data_plane()
async def test_non_idempotent_request_is_not_written_to_a_connection_idle_for_long(harness: DataPlaneHarness) -> None:
    harness.plane.set_config(make_config(make_route("non_idempotent", prefix="/once/"), make_route()))
    backend = ScriptedBackend(respond_with())
    await harness.start_backend("b-1", backend)
    await harness.send(encode_request())
    pool = harness.plane._pools._pools["b-1"]
    for path, connection_count in (("/x", 1), ("/once/x", 2)):
        pool.idle[0].idle_since -= 2000
        await harness.send(encode_request(path, method="POST"))
        assert backend.connection_count == connection_count
    for connection in pool.idle:
        connection.idle_since -= 5000
    pool.enforce_timeouts(harness.plane.context.clock())
    assert not pool.idle and not pool.connections


@pytest.mark.parametrize("excess", [HEAD + b"Content-Length: 4\r\n\r\nmore", b"noise", b""])
@pytest.mark.parametrize("is_late", [False, True])
@with_data_plane()
async def test_connection_with_excess_bytes_or_closed_by_its_backend_is_not_reused(
    harness: DataPlaneHarness, excess: bytes, is_late: bool
) -> None:
    async def script(peer: Peer) -> None:
        await peer.read_message()
        response = HEAD + b"Content-Length: 2\r\n\r\nok"
        peer.write(response if is_late else response + excess)
        while is_late and len(harness.policy.outcomes) < harness.plane.event_counts["requests"]:
            await asyncio.sleep(0)
        if is_late:
            peer.write(excess)
        if excess:
            await peer.reader.read()  # returns when the gateway closes the connection

    assert harness.plane._timeout_check_timer is not None
    harness.plane._timeout_check_timer.cancel()  # so that no time-out closes the connections
    harness.plane.set_config(make_config(make_route("non_idempotent")))
    await harness.start_backend("b-1", script)
    client = await harness.connect_client()
    for _ in range(2):
        client.write(encode_request(method="POST"))
        assert (await client.read_message()).body == b"ok"
        while harness.plane._pools.open_count:
            await asyncio.sleep(0)
    assert harness.plane.event_counts["opened"] == 2 and harness.policy.outcomes == [("b-1", Outcome.OK)] * 2


@with_data_plane()
async def test_connections_to_a_backend_stay_within_the_share_of_this_gateway(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with(), is_paused=True)
    await harness.start_backend("b-1", backend)
    harness.plane._pools.set_services({"shop": Service("shop", "/health", 4, 0.0, 0.0)})
    replies = asyncio.gather(*(harness.send(encode_request(request_id=f"id-{number}")) for number in range(6)))
    while len(backend.requests) < 2:
        await asyncio.sleep(0)
    backend.may_respond.set()
    await replies
    assert backend.connection_count == 2


@with_data_plane()
async def test_informational_responses_and_responses_without_body_are_framed_correctly(
    harness: DataPlaneHarness,
) -> None:
    early_hints = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    await harness.start_backend(
        "b-1",
        ScriptedBackend(
            lambda peer: peer.write(early_hints + HEAD + b"Content-Length: 5000000\r\n\r\n"),
            lambda peer: peer.write(early_hints + HEAD.replace(b"200", b"204") + b"\r\n"),
            respond_with(),
        ),
    )
    client = await harness.connect_client()
    for method, status, length in (("HEAD", 200, b"5000000"), ("DELETE", 204, None), ("GET", 200, b"2")):
        client.write(encode_request(method=method))
        head = await client.read_head()
        assert head.status == status and head.fields.get(b"content-length") == length
    assert harness.policy.outcomes == [("b-1", Outcome.OK)] * 3


@pytest.mark.parametrize(
    ("kind", "outcome"),
    [("idempotent", Outcome.ABANDONED), ("download", Outcome.ABANDONED), ("non_idempotent", Outcome.OK)],
)
@with_data_plane()
async def test_long_response_of_a_disconnected_client_is_read_to_its_end_only_if_not_idempotent(
    harness: DataPlaneHarness, kind: str, outcome: Outcome
) -> None:
    is_fully_read: list[bool] = []

    async def script(peer: Peer) -> None:
        await peer.read_message()
        peer.write(HEAD + b"Content-Length: 30000000\r\n\r\n")
        is_fully_read.append(False)
        for _ in range(300):
            peer.write(bytes(100_000))
            await peer.writer.drain()
        is_fully_read.append(True)
        await peer.reader.read()

    harness.plane.set_config(make_config(make_route(kind)))
    await harness.start_backend("b-1", script)
    client = await harness.connect_client()
    client.write(encode_request())
    await client.read_head()
    client.reset()
    while not harness.policy.outcomes:
        await asyncio.sleep(0)
    assert harness.policy.outcomes == [("b-1", outcome)]
    assert is_fully_read[-1] == (kind == "non_idempotent")
    assert harness.plane.listener.body_memory.used_bytes == 0


@with_data_plane()
async def test_idle_client_connection_makes_room_for_a_new_one(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with(), is_paused=True)
    await harness.start_backend("b-1", backend)
    harness.plane.listener.max_connections = 2
    busy, idle = await harness.connect_client(), await harness.connect_client()
    busy.write(encode_request())
    await backend.request_received.wait()
    newest = await harness.connect_client()
    assert await idle.reader.read() == b""
    backend.may_respond.set()
    newest.write(encode_request())
    assert (await busy.read_message()).body == (await newest.read_message()).body == b"ok"


@with_data_plane()
async def test_buffered_response_reserves_memory_until_its_client_has_received_it(harness: DataPlaneHarness) -> None:
    """If no memory is left, the response is streamed; in both cases all memory is released."""
    await harness.start_backend("b-1", ScriptedBackend(respond_with(LONG_BODY)))
    body_memory = harness.plane.listener.body_memory
    client = await harness.connect_client()
    for limit_bytes in (body_memory.limit_bytes, 100_000):
        body_memory.limit_bytes = limit_bytes
        client.write(encode_request())
        assert (await client.read_message()).body == LONG_BODY
        while body_memory.used_bytes:
            await asyncio.sleep(0)
    assert harness.policy.outcomes == [("b-1", Outcome.OK)] * 2
