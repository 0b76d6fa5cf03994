"""Every way an attempt can end against what may follow: sent again or not, what its client is told, whose unit it is.

A stand-in records what it ran. The first attempt of a request meets the ending; all others are served well. For each
ending, for unsafe and repeatable requests, with one attempt and more, by plain decisions and by the choice in service:
an unsafe request runs at most once; 503, 429, 408 and 421 are told only where it never ran nor will; no answer of
another request reaches a client, whether at once or with the next request.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

import pytest

from hallhitch.planes.data.interfaces import LoadBalancingPolicy
from hallhitch.planes.data.load_balancer import LoadBalancer, LoadBalancerSettings
from hallhitch.planes.values import Tenant
from tests.system.data.front_rig import SEAL, Peer, Rig, get, route, word
from tests.system.data.skipping_loop import SkippingLoop

TENANT = Tenant("t", ("k",), 0, 1000.0, 1000.0)
PROMISES = {429, 503, 408, 421}
DEADLINE = 400  # ms
LONG = bytes(8 * 1024 * 1024)  # more than a backend that reads only a head takes off its connection

OURS, OTHERS = b"Hallhitch-Request-Id: id-1\r\n", b"Hallhitch-Request-Id: id-0\r\n"
NOT_RUN = b"Hallhitch-Not-Executed: full\r\n"


def answer(status: int, fields: bytes = OURS + SEAL, body: bytes = b"ran id-1") -> bytes:
    """A whole answer."""
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, fields, len(body), body)


WELL = answer(200)
STRANGE = answer(200, OTHERS + SEAL, b"ran id-0")
HINT = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"


class Do(Enum):
    """What a backend does besides writing."""

    READ = "read the body"
    RUN = "read the body and run the request"
    RESET = "reset the connection"
    END = "close the connection"
    WAIT = "nothing until its client has been told"


class After(Enum):
    """What may follow an ending."""

    NOTHING = "it may have run: again only if it is repeatable and attempts are left"
    ELSEWHERE = "it surely did not run: to another backend if attempts are left"
    ANSWERED = "its own answer came: nothing follows"


@dataclass(frozen=True)
class Ending:
    """One way an attempt can end. `status`: what the client is told if nothing more is sent."""

    name: str
    steps: tuple[Do | bytes, ...]
    status: int
    after: After = After.NOTHING
    body: bytes = b"x"


def part(name: str, *steps: Do | bytes, status: int = 502, after: After = After.NOTHING) -> Ending:
    """An ending that comes while the body is being written."""
    return Ending(f"part written, {name}", steps, status, after, LONG)


def whole(name: str, *steps: Do | bytes, status: int = 502, after: After = After.NOTHING) -> Ending:
    """An ending that comes after all was written; the request ran unless the first step says otherwise."""
    first = () if steps[0] in (Do.READ, Do.WAIT) else (Do.RUN,)
    return Ending(f"all written, {name}", first + steps, status, after)


ENDINGS = [
    part("reset", Do.RESET),
    part("end", Do.END),
    part("silence", Do.WAIT, Do.END, status=504),
    part("1xx, then reset", HINT, Do.RESET),
    part("another id, then end", STRANGE, Do.END),
    part("broken-off answer", WELL[:-3], Do.END),
    part("declined", answer(503, OURS + NOT_RUN, b""), Do.WAIT, status=503, after=After.ELSEWHERE),
    part("answered early", WELL, Do.WAIT, status=200, after=After.ANSWERED),
    part("frozen, run later", Do.WAIT, Do.RUN, WELL, status=504),
    whole("reset", Do.RESET),
    whole("end", Do.END),
    whole("silence", Do.RUN, Do.WAIT, Do.END, status=504),
    whole("frozen, run later", Do.WAIT, Do.RUN, WELL, status=504),
    whole("late answer", Do.RUN, Do.WAIT, WELL, status=504),
    whole("late answer, doubled", Do.RUN, Do.WAIT, WELL, WELL, status=504),
    whole("late refusal", Do.WAIT, Do.READ, answer(503, OURS + NOT_RUN, b""), status=504),
    whole("1xx, then reset", HINT, Do.RESET),
    whole("1xx, then end", HINT, HINT, Do.END),
    whole("1xx, then silence", HINT, Do.WAIT, Do.END, status=504),
    whole("1xx, then its answer", HINT, WELL, status=200, after=After.ANSWERED),
    whole("101", b"HTTP/1.1 101 X\r\nUpgrade: y\r\n\r\n\x00\x01", Do.END),
    whole("another id, then reset", STRANGE, Do.RESET),
    whole("another id, then end", STRANGE, Do.END),
    whole("another id, then silence", STRANGE, Do.WAIT, Do.END, status=504),
    whole("another id, then its answer", STRANGE, WELL, status=200, after=After.ANSWERED),
    whole("another id's refusal, then reset", answer(503, OTHERS + NOT_RUN, b""), Do.RESET),
    whole("another id's 421, then end", answer(421, OTHERS, b""), Do.END),
    whole("doubled answer", WELL, WELL, status=200, after=After.ANSWERED),
    whole("answer, then noise", WELL, b"noise", status=200, after=After.ANSWERED),
    whole("answer, then its refusal", WELL, answer(503, OURS + NOT_RUN, b""), status=200, after=After.ANSWERED),
    whole("broken-off answer by length", WELL[:-3], Do.END),
    whole("broken-off answer by reset", WELL[:-3], Do.RESET),
    whole("broken-off head", WELL[:40], Do.END),
    whole(
        "broken-off chunks",
        b"HTTP/1.1 200 X\r\n" + OURS + SEAL + b"Transfer-Encoding: chunked\r\n\r\n3\r\nran\r\n",
        Do.END,
    ),
    whole("broken-off refusal", answer(503, OURS + NOT_RUN)[:-3], Do.END),
    whole("half an answer, then silence", WELL[:-3], Do.WAIT, Do.END, status=504),
    whole("an answer without its id", answer(200, SEAL)),
    whole("no answer", b"\x00\x01 no answer\r\n\r\n", Do.END),
    whole("its own 500", answer(500, OURS, b"no"), status=500),
    whole("503 without a promise", answer(503, OURS, b"")),
    whole("429 without a promise", answer(429, OURS, b"")),
    whole("408 without a promise", answer(408, OURS, b"")),
    whole("503 that never ran", Do.READ, answer(503, OURS + NOT_RUN, b""), status=503, after=After.ELSEWHERE),
    whole("429 that never ran", Do.READ, answer(429, OURS + NOT_RUN, b""), status=503, after=After.ELSEWHERE),
    whole("421", Do.READ, answer(421, OURS, b""), status=503, after=After.ELSEWHERE),
]


class StandIn:
    """Backends that record what they ran; the first attempt of id-1 meets the ending."""

    def __init__(self, ending: Ending) -> None:
        self.ending = ending
        self.met = False
        self.ran: Counter[bytes] = Counter()
        self.came: Counter[bytes] = Counter()
        self.told = asyncio.Event()

    async def __call__(self, peer: Peer) -> None:
        going_on = True
        while going_on:
            _, fields = await peer.head()
            length = int(fields.get(b"content-length", b"0"))
            self.came[peer.id] += 1
            if peer.id == b"id-1" and not self.met:
                self.met = True
                going_on = await self._meet(peer, length)
            else:
                await self._run(peer, length)
                peer.answer(200, b"ran " + peer.id)

    async def _meet(self, peer: Peer, length: int) -> bool:
        unread = length
        for step in self.ending.steps:
            if isinstance(step, bytes):
                peer.write(step)
            elif step is Do.READ:
                await peer.reader.readexactly(unread)
                unread = 0
            elif step is Do.RUN and unread:
                await self._run(peer, unread)
                unread = 0
            elif step is Do.WAIT:
                await self.told.wait()
            elif step in (Do.RESET, Do.END):
                if step is Do.RESET:
                    peer.reset()
                return False
        return not unread

    async def _run(self, peer: Peer, length: int) -> None:
        await peer.reader.readexactly(length)
        self.ran[peer.id] += 1


def choice(seed: int) -> LoadBalancer:
    """The choice in service, with a budget that lets requests be tried again from the first moment on."""
    return LoadBalancer(
        LoadBalancerSettings("edge-1", "a-1", "a", retry_window_ms=0.0, retry_budget_slack=100.0), Random(seed)
    )


def played(test: Callable[[Rig], object], decisions: LoadBalancingPolicy[Any] | None) -> None:
    """Run in virtual time."""
    loop = SkippingLoop()

    async def scene() -> None:
        rig = Rig(patience=100.0, decisions=decisions, clock=loop.clock)
        await rig.plane.start()
        try:
            await test(rig)  # type: ignore[misc]
        finally:
            await rig.close()
        assert not rig.failures, rig.failures

    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(scene())


def request(number: int, body: bytes) -> bytes:
    """The request with this number."""
    more = f"Authorization: Token k\r\nHallhitch-Deadline-Remaining: {DEADLINE}\r\n"
    return get(id=f"id-{number}", method="POST", body=body, more=more)


def expected(ending: Ending, unsafe: bool, attempts: int) -> int:
    """What the first client is told."""
    may_follow = ending.after is After.ELSEWHERE or ending.after is After.NOTHING and not unsafe
    return 200 if may_follow and attempts > 1 else ending.status


@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.name)
@pytest.mark.parametrize("unsafe", [True, False], ids=["unsafe", "repeatable"])
@pytest.mark.parametrize("attempts", [1, 3])
@pytest.mark.parametrize("chosen", [False, True], ids=["plain", "choice"])
def test_what_follows_each_ending(ending: Ending, unsafe: bool, attempts: int, chosen: bool) -> None:
    async def test(rig: Rig) -> None:
        kind = "non_idempotent" if unsafe else "idempotent"
        rig.plane.set_config(word(route(kind, max_attempts=attempts), tenants=[TENANT]))
        backends = StandIn(ending)
        for name in ("b-1", "b-2"):
            await rig.backend(name, backends)
        first, _, body = await rig.ask(request(1, ending.body))
        status = int(first.split()[1])
        units = len(rig.count.back)
        ran_by_then = backends.ran[b"id-1"]
        backends.told.set()
        # What comes late now belongs to nobody, and above all not to the next request.
        again = await rig.ask(request(2, b"x"))
        while rig.plane.listener.request_tasks:
            await asyncio.sleep(0)
        assert status == expected(ending, unsafe, attempts)
        assert again[0].split()[1] == b"200" and again[2] == b"ran id-2" and backends.ran[b"id-2"] == 1
        assert body == b"ran id-1" if status == 200 else b"ran" not in body
        never = status in PROMISES
        assert not (never and backends.ran[b"id-1"]), "refused, and it ran"
        assert units == never, "a unit goes back where it surely never ran, and only there"
        assert backends.came[b"id-1"] <= attempts
        if unsafe:
            assert backends.ran[b"id-1"] <= 1 and ran_by_then <= 1
            assert backends.came[b"id-1"] == 1 + (ending.after is After.ELSEWHERE and attempts > 1)

    played(test, choice(1) if chosen else None)


@pytest.mark.parametrize("unsafe", [True, False], ids=["unsafe", "repeatable"])
@pytest.mark.parametrize("chosen", [False, True], ids=["plain", "choice"])
def test_where_nothing_is_written_another_is_tried_or_the_client_told_so(unsafe: bool, chosen: bool) -> None:
    """A port without a listener is no attempt; no room for a connection is a refusal with its unit given back."""

    async def test(rig: Rig) -> None:
        kind = "non_idempotent" if unsafe else "idempotent"
        rig.plane.set_config(word(route(kind, max_attempts=1), tenants=[TENANT]))
        backends = StandIn(Ending("none", (Do.RUN, WELL), 200))
        await rig.backend("b-1", backends)
        rig._servers[0].close()
        await rig.backend("b-2", backends)
        first, _, body = await rig.ask(request(1, b"x"))
        assert first.split()[1] == b"200" and body == b"ran id-1" and not rig.count.back
        rig.plane._pools.max_connections = 0
        for pool in rig.plane._pools._pools.values():
            pool.retire()
            pool.is_retired = False
        first, fields, _ = await rig.ask(request(2, b"x"))
        assert first.split()[1] == b"503" and b"retry-after" in fields
        assert len(rig.count.back) == 1 and not backends.came[b"id-2"]

    played(test, choice(1) if chosen else None)
