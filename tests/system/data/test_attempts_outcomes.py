"""Attempts at scripted backends: what may be repeated, what is whose answer, what a client may be promised."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.values import Tenant
from tests.system.data.front_rig import SEAL, Asked, Peer, Rig, Script, get, rigged, route, says, word

NOT_RUN = b"Hallhitch-Not-Executed: full\r\n"


HEAD = b"HTTP/1.1 200 OK\r\nHallhitch-Request-Id: id-1\r\n" + SEAL
KEYED = "Authorization: Token k\r\n"
LIMITED = [Tenant("t", ("k",), 0, 9.0, 9.0)]


def ends(data: bytes) -> Callable[[Peer], None]:
    """What a backend does that writes this and closes the connection."""

    def then(peer: Peer) -> None:
        peer.write(data)
        peer.writer.close()

    return then


BAD: list[tuple[Callable[[Peer], None], Outcome]] = [
    (Peer.reset, Outcome.CONNECTION_LOST),
    (ends(b""), Outcome.CONNECTION_LOST),
    (ends(HEAD + b"Content-Length: 9\r\n\r\npart"), Outcome.INVALID_RESPONSE),
    (ends(HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"), Outcome.INVALID_RESPONSE),
    (ends(HEAD + b"\r\npart"), Outcome.INVALID_RESPONSE),
    (says(fields=b""), Outcome.INVALID_RESPONSE),
    (says(fields=SEAL + b"Content-Encoding: gzip\r\n"), Outcome.INVALID_RESPONSE),
    (lambda p: p.write(b"\x00\x01 no answer\r\n\r\n"), Outcome.INVALID_RESPONSE),
    (lambda p: p.write(b"HTTP/1.1 200 OK\r\n" + SEAL + b"Content-Length: 0\r\n\r\n"), Outcome.INVALID_RESPONSE),
    (says(b"own", 500), Outcome.SERVER_ERROR),
    (says(b"own", 503), Outcome.SERVER_ERROR),
]


@pytest.mark.parametrize(("then", "outcome"), BAD)
@rigged()
async def test_what_may_have_run_is_repeated_only_where_it_may_be(
    rig: Rig, then: Callable[[Peer], None], outcome: Outcome
) -> None:
    bad, good = Asked(then), Asked(says(b"well"))
    await rig.backend("b-1", bad)
    await rig.backend("b-2", good)
    assert (await rig.ask(get()))[2] == b"well"
    assert rig.decisions.told == [("b-1", outcome), ("b-2", Outcome.OK)]
    rig.plane.set_config(word(route("non_idempotent"), tenants=LIMITED))
    first, fields, body = await rig.ask(get(method="POST", body=b"x", more=KEYED))
    assert (len(bad.seen), len(good.seen)) == (2, 1) and not rig.count.back
    assert first.split()[1] == (b"500" if body == b"own" and then is BAD[-2][0] else b"502")
    assert b"retry-after" not in fields


@pytest.mark.parametrize(
    ("then", "outcome"),
    [
        (says(b"", 503, NOT_RUN), Outcome.DECLINED),
        (says(b"", 429, NOT_RUN), Outcome.DECLINED),
        (says(b"", 421, b""), Outcome.MISDIRECTED),
    ],
)
@rigged()
async def test_what_never_ran_goes_elsewhere_and_then_back_to_its_client(
    rig: Rig, then: Callable[[Peer], None], outcome: Outcome
) -> None:
    rig.plane.set_config(word(route("non_idempotent"), tenants=LIMITED))
    declines, good = Asked(then), Asked(says(b"well"))
    await rig.backend("b-1", declines)
    asked = get(method="POST", body=b"x", more=KEYED)
    first, fields, _ = await rig.ask(asked)
    assert first.split()[1] == b"503" and fields[b"retry-after"] == b"0.250"
    assert rig.decisions.told == [("b-1", outcome)] and len(rig.count.back) == 1
    await rig.backend("b-2", good)
    assert (await rig.ask(asked))[2] == b"well"
    assert len(rig.count.back) == 1


@rigged()
async def test_a_dead_port_is_no_attempt(rig: Rig) -> None:
    rig.plane.set_config(word(route("non_idempotent", max_attempts=1)))
    await rig.backend("b-1", Asked(says(b"well")))
    rig._servers[0].close()
    await rig.backend("b-2", Asked(says(b"well")))
    assert (await rig.ask(get(method="POST")))[2] == b"well"
    assert rig.decisions.told == [("b-1", Outcome.UNREACHABLE), ("b-2", Outcome.OK)]


@rigged()
async def test_a_request_that_is_itself_at_fault_is_told_so(rig: Rig) -> None:
    await rig.backend("b-1", Asked(says(b"no id", 400, NOT_RUN)))
    first, _, body = await rig.ask(b"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n")
    assert first.split()[1] == b"400" and body == b"no id"


@rigged()
async def test_an_answer_of_another_request_is_passed_over(rig: Rig) -> None:
    """One extra answer comes late, in the place of the next; its connection is not used again."""

    def extra(peer: Peer) -> None:
        peer.answer(200, b"first again", id=b"id-1")
        peer.answer(200, b"second")

    backend = Asked(says(b"first"), extra, says(b"third"))
    await rig.backend("b-1", backend)
    client = await rig.client()
    for number, body in enumerate((b"first", b"second", b"third"), 1):
        client.write(get(id=f"id-{number}"))
        assert (await client.whole())[2] == body
    assert backend.connections == 2


@rigged(patience=20.0)
async def test_a_silent_attempt_is_left_to_end_while_another_is_answered(rig: Rig) -> None:
    """Breaking it off would waste its backend's work; its late answer is read and dropped, its connection kept."""
    slow = Asked(says(b"late"), says(b"next"), held=True)
    await rig.backend("b-1", slow)
    await rig.backend("b-2", Asked(says(b"well")))
    client = await rig.client()
    client.write(get())
    assert (await client.whole())[2] == b"well"
    slow.go.set()
    while ("b-1", Outcome.OK) not in rig.decisions.told:
        await asyncio.sleep(0)
    assert rig.decisions.told == [("b-1", Outcome.TIMED_OUT), ("b-2", Outcome.OK), ("b-1", Outcome.OK)]
    client.write(get(id="id-2"))
    assert (await client.whole())[2] == b"next" and slow.connections == 1


@rigged()
async def test_at_its_end_a_request_that_is_out_is_504_and_one_never_sent_503(rig: Rig) -> None:
    rig.plane.set_config(word(route("non_idempotent"), tenants=LIMITED))
    await rig.backend("b-1", Asked(says(), held=True))
    more = "Hallhitch-Deadline-Remaining: 60\r\n" + KEYED
    assert (await rig.ask(get(method="POST", more=more)))[0].split()[1] == b"504"
    assert not rig.count.back
    rig.plane._pools.max_connections = 1  # its only connection is out still
    first, fields, _ = await rig.ask(get(method="POST", id="id-2", more=more))
    assert first.split()[1] == b"503" and b"retry-after" in fields and len(rig.count.back) == 1
    assert rig.decisions.told[-1] == ("b-1", Outcome.CANCELLED)


def long_answer(parts: list[bytes], whole: bool, chunked: bool) -> Script:
    """A backend whose answer comes in parts, perhaps without the last."""

    async def script(peer: Peer) -> None:
        await peer.whole()
        size = sum(map(len, parts))
        peer.write(HEAD + (b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % size) + b"\r\n\r\n")
        for part in parts if whole else parts[:-1]:
            peer.write(b"%x\r\n%s\r\n" % (len(part), part) if chunked else part)
            await peer.writer.drain()
        if whole and chunked:
            peer.write(b"0\r\n\r\n")

    return script


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("chunked", [False, True])
@rigged()
async def test_a_long_answer_passes_in_pieces_and_never_looks_whole_if_it_breaks(
    rig: Rig, whole: bool, chunked: bool
) -> None:
    parts = [bytes([n]) * 100_000 for n in range(40)]
    await rig.backend("b-1", long_answer(parts, whole, chunked))
    if whole:
        assert (await rig.ask(get()))[2] == b"".join(parts)
    else:
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await rig.ask(get())
    assert rig.decisions.told == [("b-1", Outcome.OK if whole else Outcome.INVALID_RESPONSE)]


@rigged()
async def test_a_client_that_left_is_sent_nowhere_else(rig: Rig) -> None:
    slow, other = Asked(says(b"", 503, NOT_RUN), held=True), Asked(says())
    await rig.backend("b-1", slow)
    await rig.backend("b-2", other)
    client = await rig.client()
    client.write(get())
    await slow.come.wait()
    client.reset()
    while not all(client.is_gone for client in rig.plane.listener.connections):
        await asyncio.sleep(0)
    slow.go.set()
    while rig.plane.listener.request_tasks:
        await asyncio.sleep(0)
    assert rig.decisions.told == [("b-1", Outcome.DECLINED)] and not other.seen


@rigged()
async def test_a_backend_that_leaves_is_let_go_once_it_has_answered(rig: Rig) -> None:
    slow = Asked(says(), held=True)
    await rig.backend("b-1", slow)
    client = await rig.client()
    client.write(get())
    await slow.come.wait()
    rig.plane.set_backends([])
    slow.go.set()
    assert (await client.whole())[2] == b"ok"
    assert rig.plane._pools.open_count == 0
    client.write(get())
    assert (await client.whole())[0].split()[1] == b"503"
