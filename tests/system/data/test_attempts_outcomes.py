"""Attempts at scripted backends: what may be repeated, what is whose answer, what a client may be promised."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from hallhitch.planes.data.ports import Outcome
from hallhitch.planes.values import Tenant
from tests.system.data.front_rig import Peer, Rig, Script, get, route, run, word

NOT_RUN = b"Hallhitch-Not-Executed: full\r\n"
SEAL = b"Hallhitch-Response-Seal: s\r\n"


class Asked:
    """A backend that counts the requests that came whole, and then does one thing."""

    def __init__(self, then: Callable[[Peer], None]) -> None:
        self.then, self.count = then, 0

    async def __call__(self, peer: Peer) -> None:
        while True:
            await peer.whole()
            self.count += 1
            self.then(peer)


def well(peer: Peer) -> None:
    peer.answer(200, b"well")


def cut_short(peer: Peer) -> None:
    peer.write(b"HTTP/1.1 200 OK\r\nHallhitch-Request-Id: id-1\r\n" + SEAL + b"Content-Length: 9\r\n\r\npart")
    peer.writer.close()


def chunks_without_end(peer: Peer) -> None:
    peer.write(b"HTTP/1.1 200 OK\r\nHallhitch-Request-Id: id-1\r\n" + SEAL
               + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
    peer.writer.close()


def to_the_end(peer: Peer) -> None:
    peer.write(b"HTTP/1.1 200 OK\r\nHallhitch-Request-Id: id-1\r\n" + SEAL + b"\r\npart")
    peer.writer.close()


BAD: list[tuple[Callable[[Peer], None], Outcome]] = [
    (Peer.reset, Outcome.LOST),
    (cut_short, Outcome.SPOILT),
    (chunks_without_end, Outcome.SPOILT),
    (to_the_end, Outcome.SPOILT),
    (lambda p: p.answer(200, b"x", b""), Outcome.SPOILT),
    (lambda p: p.answer(200, b"x", SEAL + b"Content-Encoding: gzip\r\n"), Outcome.SPOILT),
    (lambda p: p.write(b"\x00\x01 no answer\r\n\r\n"), Outcome.SPOILT),
    (lambda p: p.write(b"HTTP/1.1 200 OK\r\n" + SEAL + b"Content-Length: 0\r\n\r\n"), Outcome.SPOILT),
    (lambda p: p.answer(500, b"own"), Outcome.FAILED),
    (lambda p: p.answer(503, b"own"), Outcome.FAILED),
]


@pytest.mark.parametrize(("then", "outcome"), BAD)
def test_what_may_have_run_is_repeated_only_where_it_may_be(then: Callable[[Peer], None], outcome: Outcome) -> None:
    async def test(rig: Rig) -> None:
        bad, good = Asked(then), Asked(well)
        await rig.backend("b-1", bad)
        await rig.backend("b-2", good)
        assert (await rig.ask(get()))[2] == b"well"
        assert rig.decisions.told == [("b-1", outcome), ("b-2", Outcome.OK)]
        rig.plane.set_word(word(route("non_idempotent"), tenants=[Tenant("t", ("k",), 0, 9.0, 9.0)]))
        first, fields, body = await rig.ask(get(method="POST", body=b"x", more="Authorization: Token k\r\n"))
        assert (bad.count, good.count) == (2, 1) and not rig.count.back
        assert first.split()[1] == (b"500" if body == b"own" and then is BAD[-2][0] else b"502")
        assert b"retry-after" not in fields

    run(test)


@pytest.mark.parametrize(("then", "outcome"), [
    (lambda p: p.answer(503, b"", NOT_RUN), Outcome.DECLINED),
    (lambda p: p.answer(429, b"", NOT_RUN), Outcome.DECLINED),
    (lambda p: p.answer(421, b"", b""), Outcome.MOVED),
])
def test_what_never_ran_goes_elsewhere_and_then_back_to_its_client(
        then: Callable[[Peer], None], outcome: Outcome) -> None:
    async def test(rig: Rig) -> None:
        rig.plane.set_word(word(route("non_idempotent"), tenants=[Tenant("t", ("k",), 0, 9.0, 9.0)]))
        declines, good = Asked(then), Asked(well)
        await rig.backend("b-1", declines)
        asked = get(method="POST", body=b"x", more="Authorization: Token k\r\n")
        first, fields, _ = await rig.ask(asked)
        assert first.split()[1] == b"503" and fields[b"retry-after"] == b"0.250"
        assert rig.decisions.told == [("b-1", outcome)] and len(rig.count.back) == 1
        await rig.backend("b-2", good)
        assert (await rig.ask(asked))[2] == b"well"
        assert len(rig.count.back) == 1

    run(test)


def test_a_dead_port_is_no_attempt() -> None:
    async def test(rig: Rig) -> None:
        rig.plane.set_word(word(route("non_idempotent", attempts=1)))
        await rig.backend("b-1", Asked(well))
        rig._servers[0].close()
        await rig.backend("b-2", Asked(well))
        assert (await rig.ask(get(method="POST")))[2] == b"well"
        assert rig.decisions.told == [("b-1", Outcome.UNREACHABLE), ("b-2", Outcome.OK)]

    run(test)


def test_a_request_that_is_itself_at_fault_is_told_so() -> None:
    async def test(rig: Rig) -> None:
        await rig.backend("b-1", Asked(lambda p: p.answer(400, b"no id", NOT_RUN)))
        first, _, body = await rig.ask(b"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        assert first.split()[1] == b"400" and body == b"no id"

    run(test)


def test_an_answer_of_another_request_is_passed_over() -> None:
    """One extra answer comes late, in the place of the next; its connection is not used again."""
    async def test(rig: Rig) -> None:
        connections = 0

        async def script(peer: Peer) -> None:
            nonlocal connections
            connections += 1
            await peer.whole()
            peer.answer(200, b"first")
            await peer.whole()
            peer.answer(200, b"first again", id=b"id-1")
            peer.answer(200, b"second")
            await peer.whole()

        await rig.backend("b-1", script)
        client = await rig.client()
        bodies = []
        for number in (1, 2, 3):
            client.write(get(id=f"id-{number}"))
            bodies.append((await client.whole())[2])
        assert bodies == [b"first", b"second", b"first"] and connections == 2

    run(test)


@pytest.mark.parametrize("behind", [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore", b"noise"])
def test_bytes_behind_a_whole_answer_belong_to_nobody(behind: bytes) -> None:
    async def test(rig: Rig) -> None:
        connections = 0

        async def script(peer: Peer) -> None:
            nonlocal connections
            connections += 1
            await peer.whole()
            answer = b"HTTP/1.1 200 OK\r\nHallhitch-Request-Id: id-1\r\n" + SEAL + b"Content-Length: 2\r\n\r\nok"
            peer.write(answer + behind)
            await peer.reader.read()

        await rig.backend("b-1", script)
        client = await rig.client()
        for _ in range(2):
            client.write(get())
            assert (await client.whole())[2] == b"ok"
        assert connections == 2 and rig.decisions.told == [("b-1", Outcome.OK)] * 2

    run(test)


def test_a_connection_closed_at_rest_is_not_written_to() -> None:
    async def test(rig: Rig) -> None:
        rig.plane.set_word(word(route("non_idempotent")))

        async def once(peer: Peer) -> None:
            await peer.whole()
            peer.answer(200, b"ok")

        await rig.backend("b-1", once)
        for _ in range(3):
            assert (await rig.ask(get(method="POST")))[2] == b"ok"
            while rig.plane._pools.open:
                await asyncio.sleep(0)
        assert rig.decisions.told == [("b-1", Outcome.OK)] * 3

    run(test)


def test_a_silent_attempt_is_left_to_end_while_another_is_answered() -> None:
    """Breaking it off would waste its backend's work; its late answer is read and dropped, its connection kept."""
    async def test(rig: Rig) -> None:
        go, ended = asyncio.Event(), asyncio.Event()

        async def slow(peer: Peer) -> None:
            await peer.whole()
            await go.wait()
            peer.answer(200, b"late")
            await peer.whole()
            peer.answer(200, b"on the same connection")
            ended.set()

        await rig.backend("b-1", slow)
        await rig.backend("b-2", Asked(well))
        client = await rig.client()
        client.write(get())
        assert (await client.whole())[2] == b"well"
        go.set()
        while ("b-1", Outcome.OK) not in rig.decisions.told:
            await asyncio.sleep(0)
        assert rig.decisions.told == [("b-1", Outcome.SILENT), ("b-2", Outcome.OK), ("b-1", Outcome.OK)]
        client.write(get(id="id-2"))
        assert (await client.whole())[2] == b"on the same connection" and ended.is_set()

    run(test, patience=20.0)


def test_at_its_end_a_request_that_is_out_is_504_and_one_never_sent_503() -> None:
    async def test(rig: Rig) -> None:
        async def never(peer: Peer) -> None:
            await peer.whole()
            await peer.reader.read()

        short = "Hallhitch-Deadline-Remaining: 60\r\n"
        rig.plane.set_word(word(route("non_idempotent"), tenants=[Tenant("t", ("k",), 0, 9.0, 9.0)]))
        await rig.backend("b-1", never)
        more = short + "Authorization: Token k\r\n"
        assert (await rig.ask(get(method="POST", more=more)))[0].split()[1] == b"504"
        assert not rig.count.back
        rig.plane._pools.most = 1  # its only connection is out still
        first, fields, _ = await rig.ask(get(method="POST", id="id-2", more=more))
        assert first.split()[1] == b"503" and b"retry-after" in fields and len(rig.count.back) == 1
        assert rig.decisions.told[-1] == ("b-1", Outcome.VOID)

    run(test)


def long_answer(parts: list[bytes], ending: Callable[[Peer], None], chunked: bool) -> Script:
    """A backend whose answer comes in parts, and then ends in some way."""
    async def script(peer: Peer) -> None:
        await peer.whole()
        size = sum(map(len, parts))
        framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % size
        peer.write(b"HTTP/1.1 200 OK\r\nHallhitch-Request-Id: id-1\r\n" + SEAL + framing + b"\r\n\r\n")
        for part in parts[:-1]:
            peer.write(b"%x\r\n%s\r\n" % (len(part), part) if chunked else part)
            await peer.writer.drain()
        ending(peer)
        await peer.reader.read()
    return script


@pytest.mark.parametrize("chunked", [False, True])
def test_a_long_answer_passes_in_pieces_and_never_looks_whole_if_it_breaks(chunked: bool) -> None:
    parts = [bytes([n]) * 100_000 for n in range(40)]
    last = b"%x\r\n%s\r\n0\r\n\r\n" % (len(parts[-1]), parts[-1]) if chunked else parts[-1]

    async def whole(rig: Rig) -> None:
        await rig.backend("b-1", long_answer(parts, lambda p: p.write(last), chunked))
        _, fields, body = await rig.ask(get())
        assert body == b"".join(parts) and fields[b"hallhitch-response-seal"] == b"s"
        assert rig.decisions.told == [("b-1", Outcome.OK)]

    async def broken(rig: Rig) -> None:
        await rig.backend("b-1", long_answer(parts, lambda p: p.writer.close(), chunked))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await rig.ask(get())
        assert rig.decisions.told == [("b-1", Outcome.SPOILT)]

    run(whole)
    run(broken)


def test_a_client_that_left_is_sent_nowhere_else() -> None:
    async def test(rig: Rig) -> None:
        come, go = asyncio.Event(), asyncio.Event()

        async def slow(peer: Peer) -> None:
            await peer.whole()
            come.set()
            await go.wait()
            peer.answer(503, b"", NOT_RUN)

        other = Asked(well)
        await rig.backend("b-1", slow)
        await rig.backend("b-2", other)
        client = await rig.client()
        client.write(get())
        await come.wait()
        client.reset()
        while not all(client.left for client in rig.plane.front.clients):
            await asyncio.sleep(0)
        go.set()
        while rig.plane.front.tasks:
            await asyncio.sleep(0)
        assert rig.decisions.told == [("b-1", Outcome.DECLINED)] and not other.count

    run(test)


def test_a_backend_that_leaves_is_let_go_once_it_has_answered() -> None:
    async def test(rig: Rig) -> None:
        come, go = asyncio.Event(), asyncio.Event()

        async def slow(peer: Peer) -> None:
            await peer.whole()
            come.set()
            await go.wait()
            peer.answer(200, b"ok")
            assert await peer.reader.read() == b""

        await rig.backend("b-1", slow)
        client = await rig.client()
        client.write(get())
        await come.wait()
        rig.plane.set_backends([])
        go.set()
        assert (await client.whole())[2] == b"ok"
        assert rig.plane._pools.open == 0
        client.write(get())
        assert (await client.whole())[0].split()[1] == b"503"

    run(test)
