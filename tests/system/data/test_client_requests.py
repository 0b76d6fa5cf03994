"""Client requests through the data plane: forwarding, rejection, quota, draining and time-outs."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.planes.values import QuotaDecision, RequestLimits, Tenant
from tests.system.data.data_plane_harness import DataPlaneHarness, make_config, make_route, with_data_plane
from tests.system.data.scripted_peers import SEAL_LINE, ScriptedBackend, encode_request, respond_with

TENANT = Tenant("plant", ("k-1",), 0, 100.0, 10.0)
API_KEY_LINE = "Authorization: Token k-1\r\n"


@with_data_plane()
async def test_request_and_response_are_forwarded_over_persistent_connections(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with(field_lines=SEAL_LINE + b"X-Kind: y\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"))
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    for number in range(3):
        client.write(
            encode_request(
                f"/a%20b?q={number}",
                f"id-{number}",
                "X-Own: 1\r\nConnection: X-Two\r\nX-Two: 2\r\n"
                "Hallhitch-Deadline-Remaining: 3000\r\nAuthorization: Token k\r\n"
                "Hallhitch-Tenant-Name: forged\r\n",
                "PUT",
                b"body",
            )
        )
        start_line, fields, body = await client.read_message()
        assert (start_line, body) == (b"HTTP/1.1 200 OK", b"ok")
        assert fields[b"hallhitch-response-seal"] == b"s" and fields[b"x-kind"] == b"y"
        assert fields[b"hallhitch-request-id"] == b"id-%d" % number and b"x-hop" not in fields
        start_line, fields, body = backend.requests[number]
        assert (start_line, body) == (b"PUT /a%%20b?q=%d HTTP/1.1" % number, b"body")
        assert fields[b"hallhitch-expected-instance"] == b"b-1" and fields[b"x-own"] == b"1"
        assert fields[b"host"] == b"shop.example"
        assert 2000 < int(fields[b"hallhitch-deadline-remaining"]) <= 3000
        assert not fields.keys() & {b"authorization", b"hallhitch-tenant-name", b"x-two", b"connection"}
    assert harness.plane.event_counts["opened"] == 1


@with_data_plane()
async def test_pipelined_requests_of_all_framings_are_answered_in_order(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with())
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    chunked = (
        encode_request("/c", "id-c", "Transfer-Encoding: chunked\r\n", "POST") + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    plain = b"".join(encode_request(f"/{number}", f"id-{number}") for number in range(30))
    client.write(chunked + plain + encode_request("/h", "id-h", "", "HEAD"))
    for request_id in [b"id-c", *(b"id-%d" % number for number in range(30))]:
        assert (await client.read_message()).fields[b"hallhitch-request-id"] == request_id
    _, fields = await client.read_head()
    assert fields[b"hallhitch-request-id"] == b"id-h" and fields[b"content-length"] == b"2"
    assert backend.requests[0].body == b"abcde" and len(backend.requests) == 32
    http_1_0 = await harness.connect_client()
    http_1_0.write(b"GET /old HTTP/1.0\r\nHost: shop.example\r\nHallhitch-Request-Id: o\r\n\r\n")
    assert (await http_1_0.read_message()).fields[b"connection"] == b"close"
    assert await http_1_0.reader.read() == b""


@with_data_plane()
async def test_expect_continue_is_answered_before_the_body_is_sent(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with())
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    request = encode_request("/x", "id-1", "Expect: 100-continue\r\n", "POST", b"later")
    client.write(request[:-5])
    assert (await client.read_head()).start_line == b"HTTP/1.1 100 Continue"
    client.write(b"later")
    assert (await client.read_message()).start_line == b"HTTP/1.1 200 OK"
    assert backend.requests[0].body == b"later" and b"expect" not in backend.requests[0].fields


@pytest.mark.parametrize(
    ("malformed", "status"),
    [
        (
            b"POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (b"POST / HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: shop.example\r\nHost: other.example\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: shop.example\r\nHallhitch-Request-Id: a\r\nHallhitch-Request-Id: b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: shop.example\r\nX: " + b"y" * 20_000, 431),
        (b"POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 2000000\r\n\r\n", 413),
    ],
)
@with_data_plane()
async def test_unacceptable_request_is_rejected_and_reaches_no_backend(
    harness: DataPlaneHarness, malformed: bytes, status: int
) -> None:
    backend = ScriptedBackend(respond_with())
    await harness.start_backend("b-1", backend)
    harness.plane.set_config(make_config(make_route(), limits=RequestLimits(max_body_bytes=1_000_000)))
    client = await harness.connect_client()
    client.write(malformed)
    reply = await client.read_message()
    assert reply.status == status and reply.fields[b"connection"] == b"close"
    assert await client.reader.read() == b"" and not backend.requests


# Guards against requests on kept connections that are held to limits of an earlier configuration (DENIED).
@with_data_plane()
async def test_limits_of_a_new_configuration_bind_the_next_request_of_an_open_connection(
    harness: DataPlaneHarness,
) -> None:
    await harness.start_backend("b-1", ScriptedBackend(respond_with()))
    client = await harness.connect_client()
    statuses = []
    for max_body_bytes in (4096, 100_000, 1_000_000, 4096):
        harness.plane.set_config(make_config(make_route(), limits=RequestLimits(max_body_bytes=max_body_bytes)))
        for size in (4096, 8192):
            client.write(encode_request(method="POST", body=b"x" * size))
            reply = await client.read_message()
            statuses.append(reply.status)
            if reply.fields.get(b"connection") == b"close":
                client = await harness.connect_client()
    assert statuses == [200, 413, 200, 200, 200, 200, 200, 413]
    client = await harness.connect_client()
    client.write(encode_request(field_lines="X-Long: " + "y" * 20_000 + "\r\n"))
    assert (await client.read_message()).status == 431
    client = await harness.connect_client()
    client.write(encode_request())
    assert (await client.read_message()).status == 200
    harness.plane.set_config(make_config(make_route(), limits=RequestLimits(max_head_bytes=30_000)))
    client.write(encode_request(field_lines="X-Long: " + "y" * 20_000 + "\r\n"))
    assert (await client.read_message()).status == 200


@with_data_plane()
async def test_gateway_without_configuration_replies_503_and_not_404(harness: DataPlaneHarness) -> None:
    harness.plane.context.config = None
    reply = await harness.send(encode_request())
    assert reply.status == 503 and float(reply.fields[b"retry-after"]) > 0
    assert reply.fields[b"hallhitch-request-id"] == b"id-1"
    harness.plane.set_config(make_config(make_route(prefix="/in/")))
    assert (await harness.send(encode_request("/out/"))).status == 404


@with_data_plane()
async def test_api_key_selects_the_tenant_and_is_not_forwarded(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with())
    await harness.start_backend("b-1", backend)
    harness.plane.set_config(make_config(make_route(prefix="/open/", is_public=True), make_route(), tenants=[TENANT]))
    forged_line = "Hallhitch-Tenant-Name: other\r\n"
    for path, authorization_line, status in [
        ("/x", "", 401),
        ("/x", "Authorization: Token no\r\n", 401),
        ("/x", "Authorization: Bearer k-1\r\n", 401),
        ("/x", "Authorization: token k-1\r\n", 200),
        ("/open/x", "", 200),
        ("/open/x", "Authorization: Token no\r\n", 200),
        ("/open/x", "Authorization: Token k-1\r\n", 200),
    ]:
        assert (await harness.send(encode_request(path, field_lines=forged_line + authorization_line))).status == status
    assert [fields.get(b"hallhitch-tenant-name") for _, fields, _ in backend.requests] == [
        b"plant",
        None,
        None,
        b"plant",
    ]
    assert all(b"authorization" not in fields for _, fields, _ in backend.requests)
    assert harness.quota_counter.admit_count == 2 and harness.policy.requests[0].priority == 0


@with_data_plane()
async def test_request_over_quota_or_without_quota_counter_reaches_no_backend(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with())
    await harness.start_backend("b-1", backend)
    harness.plane.set_config(make_config(make_route(), tenants=[TENANT]))
    harness.quota_counter.decision = QuotaDecision(False, 1250.0)
    reply = await harness.send(encode_request(field_lines=API_KEY_LINE))
    assert reply.status == 429 and reply.fields[b"retry-after"] == b"1.250"
    harness.quota_counter.decision = QuotaDecision(False, 50.0, is_counter_unavailable=True)
    assert (await harness.send(encode_request(field_lines=API_KEY_LINE))).status == 503
    assert not backend.requests and not harness.quota_counter.refunds


@with_data_plane()
async def test_route_and_tenant_without_a_common_region_reply_503(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with())
    await harness.start_backend("b-1", backend)
    tenant = Tenant("plant", ("k-1",), None, 0.0, 0.0, frozenset("a"))
    harness.plane.set_config(
        make_config(
            make_route(prefix="/b/", allowed_regions=frozenset("b")),
            make_route(allowed_regions=frozenset("ab")),
            tenants=[tenant],
        )
    )
    assert (await harness.send(encode_request("/b/x", field_lines=API_KEY_LINE))).status == 503
    await harness.send(encode_request("/x", field_lines=API_KEY_LINE))
    assert len(backend.requests) == 1 and harness.policy.requests[0].allowed_regions == frozenset("a")


@with_data_plane()
async def test_draining_gateway_answers_requests_in_flight_and_closes_connections(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with(b"late"), is_paused=True)
    await harness.start_backend("b-1", backend)
    client, idle = await harness.connect_client(), await harness.connect_client()
    client.write(encode_request())
    await backend.request_received.wait()
    harness.plane.start_draining(harness.plane.context.clock() + 5000)
    harness.plane.close_listener()
    harness.plane.listener.enforce_timeouts(harness.plane.context.clock() + 2000)
    backend.may_respond.set()
    _, fields, body = await client.read_message()
    assert body == b"late" and fields[b"connection"] == b"close"
    assert await client.reader.read() == b"" and await idle.reader.read() == b""
    client.writer.close()
    assert await harness.plane.wait_drained(harness.plane.context.clock() + 5000)


@with_data_plane()
async def test_slow_request_head_gets_408_and_idle_connection_is_closed(harness: DataPlaneHarness) -> None:
    slow, idle = await harness.connect_client(), await harness.connect_client()
    slow.write(b"GET / HTTP/1.1\r\n")
    clock = harness.plane.context.clock
    while not harness.plane.listener.timers.reading_since or len(harness.plane.listener.connections) < 2:
        await asyncio.sleep(0)
    harness.plane.listener.enforce_timeouts(clock() + 3500)
    assert (await slow.read_message()).status == 408
    harness.plane.listener.enforce_timeouts(clock() + 15_500)
    assert await idle.reader.read() == b""


@with_data_plane()
async def test_long_request_is_streamed_when_no_body_memory_is_left(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with())
    await harness.start_backend("b-1", backend)
    harness.plane.listener.body_memory.limit_bytes = 500_000
    body = bytes(range(256)) * 12_000
    assert (await harness.send(encode_request(method="POST", body=body))).body == b"ok"
    assert backend.requests[0].body == body and harness.plane.listener.body_memory.used_bytes == 0
