"""A request from its client's socket to a backend and back, on a calm day and where it is not acceptable."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.planes.values import QuotaDecision, RequestLimits, Tenant
from tests.system.data.front_rig import SEAL, Asked, Rig, get, rigged, route, says, word

TENANT = Tenant("plant", ("k-1",), 0, 100.0, 10.0)


@rigged()
async def test_a_request_and_its_answer_pass_unchanged_over_kept_connections(rig: Rig) -> None:
    backend = Asked(says(fields=SEAL + b"X-Kind: y\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"))
    await rig.backend("b-1", backend)
    client = await rig.client()
    for number in range(3):
        client.write(
            get(
                f"/a%20b?q={number}",
                f"id-{number}",
                "X-Own: 1\r\nConnection: X-Two\r\nX-Two: 2\r\n"
                "Hallhitch-Deadline-Remaining: 3000\r\nAuthorization: Token k\r\n"
                "Hallhitch-Tenant-Name: forged\r\n",
                "PUT",
                b"body",
            )
        )
        first, fields, body = await client.whole()
        assert (first, body) == (b"HTTP/1.1 200 OK", b"ok")
        assert fields[b"hallhitch-response-seal"] == b"s" and fields[b"x-kind"] == b"y"
        assert fields[b"hallhitch-request-id"] == b"id-%d" % number and b"x-hop" not in fields
        first, fields, body = backend.seen[number]
        assert (first, body) == (b"PUT /a%%20b?q=%d HTTP/1.1" % number, b"body")
        assert fields[b"hallhitch-expected-instance"] == b"b-1" and fields[b"x-own"] == b"1"
        assert fields[b"host"] == b"shop.example"
        assert 2000 < int(fields[b"hallhitch-deadline-remaining"]) <= 3000
        assert not fields.keys() & {b"authorization", b"hallhitch-tenant-name", b"x-two", b"connection"}
    assert rig.plane.event_counts["opened"] == 1


@rigged()
async def test_pipelined_requests_and_all_framings_are_answered_in_order(rig: Rig) -> None:
    backend = Asked(says())
    await rig.backend("b-1", backend)
    client = await rig.client()
    chunked = get("/c", "id-c", "Transfer-Encoding: chunked\r\n", "POST") + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    client.write(chunked + b"".join(get(f"/{n}", f"id-{n}") for n in range(30)) + get("/h", "id-h", "", "HEAD"))
    for name in [b"id-c", *(b"id-%d" % n for n in range(30))]:
        assert (await client.whole())[1][b"hallhitch-request-id"] == name
    first, fields = await client.head()
    assert fields[b"hallhitch-request-id"] == b"id-h" and fields[b"content-length"] == b"2"
    assert backend.seen[0][2] == b"abcde" and len(backend.seen) == 32
    old = await rig.client()
    old.write(b"GET /old HTTP/1.0\r\nHost: shop.example\r\nHallhitch-Request-Id: o\r\n\r\n")
    assert (await old.whole())[1][b"connection"] == b"close"
    assert await old.reader.read() == b""


@rigged()
async def test_a_body_waits_until_its_client_is_told_to_go_on(rig: Rig) -> None:
    backend = Asked(says())
    await rig.backend("b-1", backend)
    client = await rig.client()
    whole = get("/x", "id-1", "Expect: 100-continue\r\n", "POST", b"later")
    client.write(whole[:-5])
    assert (await client.head())[0] == b"HTTP/1.1 100 Continue"
    client.write(b"later")
    assert (await client.whole())[0] == b"HTTP/1.1 200 OK"
    assert backend.seen[0][2] == b"later" and b"expect" not in backend.seen[0][1]


@pytest.mark.parametrize(
    ("request_", "status"),
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
@rigged()
async def test_what_is_not_acceptable_is_refused_and_reaches_no_backend(rig: Rig, request_: bytes, status: int) -> None:
    backend = Asked(says())
    await rig.backend("b-1", backend)
    rig.plane.set_config(word(route(), limits=RequestLimits(max_body_bytes=1_000_000)))
    client = await rig.client()
    client.write(request_)
    first, fields, _ = await client.whole()
    assert first.split()[1] == b"%d" % status and fields[b"connection"] == b"close"
    assert await client.reader.read() == b"" and not backend.seen


@rigged()
async def test_where_no_word_is_known_nothing_is_denied(rig: Rig) -> None:
    rig.plane.context.config = None
    first, fields, _ = await rig.ask(get())
    assert first.split()[1] == b"503" and float(fields[b"retry-after"]) > 0
    assert fields[b"hallhitch-request-id"] == b"id-1"
    rig.plane.set_config(word(route(prefix="/in/")))
    assert (await rig.ask(get("/out/")))[0].split()[1] == b"404"


@rigged()
async def test_keys_name_their_tenants_and_go_no_further(rig: Rig) -> None:
    backend = Asked(says())
    await rig.backend("b-1", backend)
    rig.plane.set_config(word(route(prefix="/open/", is_public=True), route(), tenants=[TENANT]))
    forged = "Hallhitch-Tenant-Name: other\r\n"
    for path, field, status in [
        ("/x", "", b"401"),
        ("/x", "Authorization: Token no\r\n", b"401"),
        ("/x", "Authorization: Bearer k-1\r\n", b"401"),
        ("/x", "Authorization: token k-1\r\n", b"200"),
        ("/open/x", "", b"200"),
        ("/open/x", "Authorization: Token no\r\n", b"200"),
        ("/open/x", "Authorization: Token k-1\r\n", b"200"),
    ]:
        assert (await rig.ask(get(path, more=forged + field)))[0].split()[1] == status
    assert [fields.get(b"hallhitch-tenant-name") for _, fields, _ in backend.seen] == [b"plant", None, None, b"plant"]
    assert all(b"authorization" not in fields for _, fields, _ in backend.seen)
    assert rig.count.asked == 2 and rig.decisions.asked[0].priority == 0


@rigged()
async def test_what_is_beyond_the_quota_reaches_no_backend(rig: Rig) -> None:
    backend = Asked(says())
    await rig.backend("b-1", backend)
    rig.plane.set_config(word(route(), tenants=[TENANT]))
    rig.count.answer = QuotaDecision(False, 1250.0)
    first, fields, _ = await rig.ask(get(more="Authorization: Token k-1\r\n"))
    assert first.split()[1] == b"429" and fields[b"retry-after"] == b"1.250"
    rig.count.answer = QuotaDecision(False, 50.0, is_counter_unavailable=True)
    assert (await rig.ask(get(more="Authorization: Token k-1\r\n")))[0].split()[1] == b"503"
    assert not backend.seen and not rig.count.back


@rigged()
async def test_homes_without_a_common_region_serve_nowhere(rig: Rig) -> None:
    backend = Asked(says())
    await rig.backend("b-1", backend)
    tenant = Tenant("plant", ("k-1",), None, 0.0, 0.0, frozenset("a"))
    rig.plane.set_config(
        word(
            route(prefix="/b/", allowed_regions=frozenset("b")),
            route(allowed_regions=frozenset("ab")),
            tenants=[tenant],
        )
    )
    assert (await rig.ask(get("/b/x", more="Authorization: Token k-1\r\n")))[0].split()[1] == b"503"
    await rig.ask(get("/x", more="Authorization: Token k-1\r\n"))
    assert len(backend.seen) == 1 and rig.decisions.asked[0].allowed_regions == frozenset("a")


@rigged()
async def test_a_gateway_that_leaves_answers_what_is_out_and_closes(rig: Rig) -> None:
    backend = Asked(says(b"late"), held=True)
    await rig.backend("b-1", backend)
    client, resting = await rig.client(), await rig.client()
    client.write(get())
    await backend.come.wait()
    rig.plane.start_draining()
    rig.plane.close_listener()
    rig.plane.listener.expire_idle(rig.plane.context.clock() + 2000)
    backend.go.set()
    _, fields, body = await client.whole()
    assert body == b"late" and fields[b"connection"] == b"close"
    assert await client.reader.read() == b"" and await resting.reader.read() == b""
    client.writer.close()
    assert await rig.plane.wait_drained(rig.plane.context.clock() + 5000)


@rigged()
async def test_clients_that_dribble_or_rest_too_long_are_let_go(rig: Rig) -> None:
    dribbling, resting = await rig.client(), await rig.client()
    dribbling.write(b"GET / HTTP/1.1\r\n")
    clock = rig.plane.context.clock
    while not rig.plane.listener.timers.reading_since or len(rig.plane.listener.connections) < 2:
        await asyncio.sleep(0)
    rig.plane.listener.expire_idle(clock() + 3500)
    assert (await dribbling.whole())[0].split()[1] == b"408"
    rig.plane.listener.expire_idle(clock() + 15_500)
    assert await resting.reader.read() == b""


@rigged()
async def test_long_requests_pass_in_pieces_where_no_room_is_left(rig: Rig) -> None:
    backend = Asked(says())
    await rig.backend("b-1", backend)
    rig.plane.listener.body_memory.limit_bytes = 500_000
    body = bytes(range(256)) * 12_000
    assert (await rig.ask(get(method="POST", body=body)))[2] == b"ok"
    assert backend.seen[0][2] == body and rig.plane.listener.body_memory.used_bytes == 0
