"""Outcomes of attempts at scripted backends: retries, matching of responses to requests, and replies to clients."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.values import Tenant
from tests.system.data.data_plane_harness import DataPlaneHarness, make_config, make_route, with_data_plane
from tests.system.data.scripted_peers import (
    SEAL_LINE,
    Peer,
    ResponseAction,
    Script,
    ScriptedBackend,
    encode_request,
    respond_with,
    write_and_close,
)

NOT_EXECUTED_LINE = b"Hallhitch-Not-Executed: full\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nHallhitch-Request-Id: id-1\r\n" + SEAL_LINE
API_KEY_LINE = "Authorization: Token k\r\n"
RATE_LIMITED_TENANTS = [Tenant("t", ("k",), 0, 9.0, 9.0)]


FAILURES: list[tuple[ResponseAction, Outcome]] = [
    (Peer.reset, Outcome.CONNECTION_LOST),
    (write_and_close(b""), Outcome.CONNECTION_LOST),
    (write_and_close(HEAD + b"Content-Length: 9\r\n\r\npart"), Outcome.INVALID_RESPONSE),
    (write_and_close(HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"), Outcome.INVALID_RESPONSE),
    (write_and_close(HEAD + b"\r\npart"), Outcome.INVALID_RESPONSE),
    (respond_with(field_lines=b""), Outcome.INVALID_RESPONSE),
    (respond_with(field_lines=SEAL_LINE + b"Content-Encoding: gzip\r\n"), Outcome.INVALID_RESPONSE),
    (lambda p: p.write(b"\x00\x01 no answer\r\n\r\n"), Outcome.INVALID_RESPONSE),
    (lambda p: p.write(b"HTTP/1.1 200 OK\r\n" + SEAL_LINE + b"Content-Length: 0\r\n\r\n"), Outcome.INVALID_RESPONSE),
    (respond_with(b"own", 500), Outcome.SERVER_ERROR),
    (respond_with(b"own", 503), Outcome.SERVER_ERROR),
]


@pytest.mark.parametrize(("response", "outcome"), FAILURES)
@with_data_plane()
async def test_request_that_may_have_run_is_retried_only_if_idempotent(
    harness: DataPlaneHarness, response: ResponseAction, outcome: Outcome
) -> None:
    failing, healthy = ScriptedBackend(response), ScriptedBackend(respond_with(b"well"))
    await harness.start_backend("b-1", failing)
    await harness.start_backend("b-2", healthy)
    assert (await harness.send(encode_request())).body == b"well"
    assert harness.policy.outcomes == [("b-1", outcome), ("b-2", Outcome.OK)]
    harness.plane.set_config(make_config(make_route("non_idempotent"), tenants=RATE_LIMITED_TENANTS))
    reply = await harness.send(encode_request(method="POST", body=b"x", field_lines=API_KEY_LINE))
    assert (len(failing.requests), len(healthy.requests)) == (2, 1) and not harness.quota_counter.refunds
    assert reply.status == (500 if reply.body == b"own" and response is FAILURES[-2][0] else 502)
    assert b"retry-after" not in reply.fields


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (respond_with(b"", 503, NOT_EXECUTED_LINE), Outcome.DECLINED),
        (respond_with(b"", 429, NOT_EXECUTED_LINE), Outcome.DECLINED),
        (respond_with(b"", 421, b""), Outcome.MISDIRECTED),
    ],
)
@with_data_plane()
async def test_request_that_never_ran_is_retried_elsewhere_or_rejected_and_refunded(
    harness: DataPlaneHarness, response: ResponseAction, outcome: Outcome
) -> None:
    harness.plane.set_config(make_config(make_route("non_idempotent"), tenants=RATE_LIMITED_TENANTS))
    declining, healthy = ScriptedBackend(response), ScriptedBackend(respond_with(b"well"))
    await harness.start_backend("b-1", declining)
    request = encode_request(method="POST", body=b"x", field_lines=API_KEY_LINE)
    reply = await harness.send(request)
    assert reply.status == 503 and reply.fields[b"retry-after"] == b"0.250"
    assert harness.policy.outcomes == [("b-1", outcome)] and len(harness.quota_counter.refunds) == 1
    await harness.start_backend("b-2", healthy)
    assert (await harness.send(request)).body == b"well"
    assert len(harness.quota_counter.refunds) == 1


@with_data_plane()
async def test_refused_connection_does_not_count_as_an_attempt(harness: DataPlaneHarness) -> None:
    harness.plane.set_config(make_config(make_route("non_idempotent", max_attempts=1)))
    await harness.start_backend("b-1", ScriptedBackend(respond_with(b"well")))
    harness.servers[0].close()
    await harness.start_backend("b-2", ScriptedBackend(respond_with(b"well")))
    assert (await harness.send(encode_request(method="POST"))).body == b"well"
    assert harness.policy.outcomes == [("b-1", Outcome.UNREACHABLE), ("b-2", Outcome.OK)]


@with_data_plane()
async def test_client_error_marked_as_not_executed_is_forwarded(harness: DataPlaneHarness) -> None:
    await harness.start_backend("b-1", ScriptedBackend(respond_with(b"no id", 400, NOT_EXECUTED_LINE)))
    reply = await harness.send(b"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n")
    assert reply.status == 400 and reply.body == b"no id"


@with_data_plane()
async def test_response_to_another_request_is_dropped(harness: DataPlaneHarness) -> None:
    """A duplicate response to the first request arrives before the second one's; the connection is not reused."""

    def respond_twice(peer: Peer) -> None:
        peer.respond(200, b"first again", request_id=b"id-1")
        peer.respond(200, b"second")

    backend = ScriptedBackend(respond_with(b"first"), respond_twice, respond_with(b"third"))
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    for number, body in enumerate((b"first", b"second", b"third"), 1):
        client.write(encode_request(request_id=f"id-{number}"))
        assert (await client.read_message()).body == body
    assert backend.connection_count == 2


@with_data_plane(hedge_delay_ms=20.0)
async def test_overdue_attempt_completes_after_the_hedge_got_a_response(harness: DataPlaneHarness) -> None:
    """The late response is read and dropped, and the connection is reused."""
    slow = ScriptedBackend(respond_with(b"late"), respond_with(b"next"), is_paused=True)
    await harness.start_backend("b-1", slow)
    await harness.start_backend("b-2", ScriptedBackend(respond_with(b"well")))
    client = await harness.connect_client()
    client.write(encode_request())
    assert (await client.read_message()).body == b"well"
    slow.may_respond.set()
    while ("b-1", Outcome.OK) not in harness.policy.outcomes:
        await asyncio.sleep(0)
    assert harness.policy.outcomes == [("b-1", Outcome.TIMED_OUT), ("b-2", Outcome.OK), ("b-1", Outcome.OK)]
    client.write(encode_request(request_id="id-2"))
    assert (await client.read_message()).body == b"next" and slow.connection_count == 1


@with_data_plane()
async def test_at_the_deadline_a_written_request_gets_504_and_one_never_written_503(harness: DataPlaneHarness) -> None:
    harness.plane.set_config(make_config(make_route("non_idempotent"), tenants=RATE_LIMITED_TENANTS))
    await harness.start_backend("b-1", ScriptedBackend(respond_with(), is_paused=True))
    field_lines = "Hallhitch-Deadline-Remaining: 60\r\n" + API_KEY_LINE
    assert (await harness.send(encode_request(method="POST", field_lines=field_lines))).status == 504
    assert not harness.quota_counter.refunds
    harness.plane._pools.max_connections = 1  # used by the attempt that is still in flight
    reply = await harness.send(encode_request(method="POST", request_id="id-2", field_lines=field_lines))
    assert reply.status == 503 and b"retry-after" in reply.fields and len(harness.quota_counter.refunds) == 1
    assert harness.policy.outcomes[-1] == ("b-1", Outcome.CANCELLED)


def respond_in_parts(parts: list[bytes], is_complete: bool, is_chunked: bool) -> Script:
    """Return a backend script that sends a response in parts, with the last part only if `is_complete`."""

    async def script(peer: Peer) -> None:
        await peer.read_message()
        size = sum(map(len, parts))
        peer.write(HEAD + (b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % size) + b"\r\n\r\n")
        for part in parts if is_complete else parts[:-1]:
            peer.write(b"%x\r\n%s\r\n" % (len(part), part) if is_chunked else part)
            await peer.writer.drain()
        if is_complete and is_chunked:
            peer.write(b"0\r\n\r\n")

    return script


@pytest.mark.parametrize("is_complete", [False, True])
@pytest.mark.parametrize("is_chunked", [False, True])
@with_data_plane()
async def test_long_response_is_streamed_and_never_looks_complete_if_truncated(
    harness: DataPlaneHarness, is_complete: bool, is_chunked: bool
) -> None:
    parts = [bytes([number]) * 100_000 for number in range(40)]
    await harness.start_backend("b-1", respond_in_parts(parts, is_complete, is_chunked))
    if is_complete:
        assert (await harness.send(encode_request())).body == b"".join(parts)
    else:
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await harness.send(encode_request())
    assert harness.policy.outcomes == [("b-1", Outcome.OK if is_complete else Outcome.INVALID_RESPONSE)]


@pytest.mark.parametrize(("kind", "outcome"), [("idempotent", Outcome.ABANDONED), ("non_idempotent", Outcome.DECLINED)])
@with_data_plane()
async def test_request_of_a_disconnected_client_is_not_retried(
    harness: DataPlaneHarness, kind: str, outcome: Outcome
) -> None:
    declining = ScriptedBackend(respond_with(b"", 503, NOT_EXECUTED_LINE), is_paused=True)
    healthy = ScriptedBackend(respond_with())
    await harness.start_backend("b-1", declining)
    await harness.start_backend("b-2", healthy)
    harness.plane.set_config(make_config(make_route(kind)))
    client = await harness.connect_client()
    client.write(encode_request())
    await declining.request_received.wait()
    client.reset()
    while not all(connection.is_disconnected for connection in harness.plane.listener.connections):
        await asyncio.sleep(0)
    declining.may_respond.set()
    while harness.plane.listener.request_tasks:
        await asyncio.sleep(0)
    assert harness.policy.outcomes == [("b-1", outcome)] and not healthy.requests


@with_data_plane()
async def test_connection_to_a_removed_backend_is_closed_after_its_response(harness: DataPlaneHarness) -> None:
    slow = ScriptedBackend(respond_with(), is_paused=True)
    await harness.start_backend("b-1", slow)
    client = await harness.connect_client()
    client.write(encode_request())
    await slow.request_received.wait()
    harness.plane.set_backends([])
    slow.may_respond.set()
    assert (await client.read_message()).body == b"ok"
    assert harness.plane._pools.open_count == 0
    client.write(encode_request())
    assert (await client.read_message()).status == 503
