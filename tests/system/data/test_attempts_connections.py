"""Connections to backends: which are used again, how many there are, what comes on them unasked."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.planes.data.idle_reuse import DEFAULT_MAX_IDLE_MS, LEARNED_LIMIT_TTL_MS, IdleReuse
from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.values import Service
from tests.system.data.front_rig import SEAL, Asked, Peer, Rig, get, rigged, route, says, word

LONG = bytes(range(256)) * 3000
HEAD = b"HTTP/1.1 200 OK\r\nHallhitch-Request-Id: id-1\r\n" + SEAL


def test_resting_connections_are_trusted_as_far_as_they_showed() -> None:
    trust = IdleReuse()
    assert trust.max_idle_ms(0, 0, False) == DEFAULT_MAX_IDLE_MS and trust.max_idle_ms(0, 10_000, False) == 7000
    assert trust.max_idle_ms(0, 0, True) == 1000 and trust.max_idle_ms(0, 10_000, True) == 3500
    trust.on_closed(0, "b-1", 800)  # one backend may have ended
    assert trust.max_idle_ms(0, 0, False) == DEFAULT_MAX_IDLE_MS
    trust.on_closed(500, "b-2", 700)
    assert 250 < trust.max_idle_ms(600, 10_000, False) < 700
    trust.on_reset(1000, 600)
    trust.on_reset(2000, 20)  # broken at work, not at rest
    assert trust.max_idle_ms(2000, 0, True) == 300
    assert trust.max_idle_ms(1000 + LEARNED_LIMIT_TTL_MS, 0, False) == DEFAULT_MAX_IDLE_MS


@rigged()
async def test_an_unsafe_request_is_not_written_to_a_connection_that_rested(rig: Rig) -> None:
    rig.plane.set_config(word(route("non_idempotent", prefix="/once/"), route()))
    backend = Asked(says())
    await rig.backend("b-1", backend)
    await rig.ask(get())
    pool = rig.plane._pools._pools["b-1"]
    for path, connections in (("/x", 1), ("/once/x", 2)):
        pool.idle[0].idle_since -= 2000
        await rig.ask(get(path, method="POST"))
        assert backend.connections == connections
    for line in pool.idle:
        line.idle_since -= 5000
    pool.expire_idle(rig.plane.context.clock())
    assert not pool.idle and not pool.connections


@pytest.mark.parametrize("behind", [HEAD + b"Content-Length: 4\r\n\r\nmore", b"noise", b""])
@pytest.mark.parametrize("late", [False, True])
@rigged()
async def test_bytes_behind_an_answer_belong_to_nobody_and_nothing_follows_them(
    rig: Rig, behind: bytes, late: bool
) -> None:
    """Nor is anything written to a connection that its backend closed."""

    async def script(peer: Peer) -> None:
        await peer.whole()
        answer = HEAD + b"Content-Length: 2\r\n\r\nok"
        peer.write(answer if late else answer + behind)
        while late and len(rig.decisions.told) < rig.plane.event_counts["requests"]:
            await asyncio.sleep(0)
        if late:
            peer.write(behind)
        if behind:
            await peer.reader.read()  # it is the gateway that closes such a connection

    assert rig.plane._expiry_timer is not None
    rig.plane._expiry_timer.cancel()  # and not because the connection rested for long
    rig.plane.set_config(word(route("non_idempotent")))
    await rig.backend("b-1", script)
    client = await rig.client()
    for _ in range(2):
        client.write(get(method="POST"))
        assert (await client.whole())[2] == b"ok"
        while rig.plane._pools.open_count:
            await asyncio.sleep(0)
    assert rig.plane.event_counts["opened"] == 2 and rig.decisions.told == [("b-1", Outcome.OK)] * 2


@rigged()
async def test_connections_stay_within_the_share_of_this_gateway(rig: Rig) -> None:
    backend = Asked(says(), held=True)
    await rig.backend("b-1", backend)
    rig.plane._pools.set_services({"shop": Service("shop", "/health", 4, 0.0, 0.0)})
    asked = asyncio.gather(*(rig.ask(get(id=f"id-{n}")) for n in range(6)))
    while len(backend.seen) < 2:
        await asyncio.sleep(0)
    backend.go.set()
    await asked
    assert backend.connections == 2


@rigged()
async def test_early_words_and_answers_without_a_body_are_framed_right(rig: Rig) -> None:
    hint = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    await rig.backend(
        "b-1",
        Asked(
            lambda p: p.write(hint + HEAD + b"Content-Length: 5000000\r\n\r\n"),
            lambda p: p.write(hint + HEAD.replace(b"200", b"204") + b"\r\n"),
            says(),
        ),
    )
    client = await rig.client()
    for method, status, length in (("HEAD", b"200", b"5000000"), ("DELETE", b"204", None), ("GET", b"200", b"2")):
        client.write(get(method=method))
        first, fields = await client.head()
        assert first.split()[1] == status and fields.get(b"content-length") == length
    assert rig.decisions.told == [("b-1", Outcome.OK)] * 3


@rigged()
async def test_a_client_that_leaves_a_long_answer_does_not_break_its_backend_off(rig: Rig) -> None:
    async def script(peer: Peer) -> None:
        await peer.whole()
        peer.write(HEAD + b"Content-Length: 30000000\r\n\r\n")
        for _ in range(300):
            peer.write(bytes(100_000))
            await peer.writer.drain()
        await peer.reader.read()

    await rig.backend("b-1", script)
    client = await rig.client()
    client.write(get())
    await client.head()
    client.reset()
    while not rig.decisions.told:
        await asyncio.sleep(0)
    assert rig.decisions.told == [("b-1", Outcome.OK)]


@rigged()
async def test_descriptors_are_kept_for_those_at_work(rig: Rig) -> None:
    backend = Asked(says(), held=True)
    await rig.backend("b-1", backend)
    rig.plane.listener.max_connections = 2
    working, resting = await rig.client(), await rig.client()
    working.write(get())
    await backend.come.wait()
    newest = await rig.client()
    assert await resting.reader.read() == b""
    backend.go.set()
    newest.write(get())
    assert (await working.whole())[2] == (await newest.whole())[2] == b"ok"


@rigged()
async def test_answers_held_whole_take_room_until_their_client_has_them(rig: Rig) -> None:
    """Where there is no room they pass in pieces; either way none is left taken."""
    await rig.backend("b-1", Asked(says(LONG)))
    room = rig.plane.listener.body_memory
    client = await rig.client()
    for most in (room.limit_bytes, 100_000):
        room.limit_bytes = most
        client.write(get())
        assert (await client.whole())[2] == LONG
        while room.used_bytes:
            await asyncio.sleep(0)
    assert rig.decisions.told == [("b-1", Outcome.OK)] * 2
