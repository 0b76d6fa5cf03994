"""Which attempt a backend's response belongs to: refusals in several copies, late, or without an id.

A refusal promises that its request never runs, so a refusal that is attributed to the wrong attempt is passed on as a
promise that does not hold, or lets the request run a second time.
"""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from dataclasses import dataclass, replace
from random import Random
from typing import Final

import pytest

from tests.system.data.attempt_endings import NOT_EXECUTED_LINE, encode_response
from tests.system.data.data_plane_harness import DataPlaneHarness, make_config, make_route, with_data_plane
from tests.system.data.drawn_backends import MISDIRECTED, REFUSALS, DrawnBackend
from tests.system.data.scripted_peers import Peer, encode_request
from tests.system.data.virtual_time_harness import NEVER_RAN_STATUSES, run_in_virtual_time

SEEDS: Final = int(os.environ.get("HALLHITCH_ATTRIBUTION_SEEDS", "16"))
CLIENTS: Final = 4
REQUESTS_OF_CLIENT: Final = 12
LAST_RUN_S: Final = 3.0  # longer than any attempt may go on after the last reply
LONG_BODY_BYTES: Final = 300_000

ID_LINE = b"Hallhitch-Request-Id: id-1\r\n"
ENCODED_REFUSALS = {
    "503": encode_response(503, ID_LINE + NOT_EXECUTED_LINE, b""),
    "429": encode_response(429, ID_LINE + NOT_EXECUTED_LINE, b"slow down"),
    "421": encode_response(421, ID_LINE, b""),
}


class RefusingBackend:
    """Refuses request id-1 at its first arrival, sends copies of the refusal while it runs the retry, then responds."""

    def __init__(self, refusal: bytes, copies: int) -> None:
        self._refusal = refusal
        self._copies = copies
        self._refused_peer: Peer | None = None
        self.run_counts: Counter[bytes] = Counter()

    async def __call__(self, peer: Peer) -> None:
        """Serve one connection."""
        while True:
            await peer.read_message()
            if peer.request_id == b"id-1" and self._refused_peer is None:
                self._refused_peer = peer
                peer.write(self._refusal)
                continue
            self.run_counts[peer.request_id] += 1
            if peer.request_id == b"id-1" and self._refused_peer is not None:
                for _ in range(self._copies):
                    self._refused_peer.write(self._refusal)
                await asyncio.sleep(0.02)
            peer.respond(body=b"ran " + peer.request_id)


# Guards against: a request that ran gets 502, because a response that belongs to no request announced the close.
@pytest.mark.parametrize("is_split", [False, True], ids=["one segment", "two segments"])
@pytest.mark.parametrize("id_line", [b"", b"Hallhitch-Request-Id: another\r\n"], ids=["no id", "another id"])
@with_data_plane()
async def test_response_after_a_stray_one_that_announces_the_close_is_passed_on(
    harness: DataPlaneHarness, is_split: bool, id_line: bytes
) -> None:
    harness.plane.set_config(make_config(make_route("non_idempotent", max_attempts=2)))
    stray = encode_response(503, id_line + NOT_EXECUTED_LINE + b"Connection: close\r\n", b"")
    connections = 0

    async def backend(peer: Peer) -> None:
        nonlocal connections
        connections += 1
        while True:
            await peer.read_message()
            peer.write(stray)
            if is_split:
                await asyncio.sleep(0.01)
            peer.respond(body=b"ran " + peer.request_id)

    entry = await harness.start_backend("b-1", backend)
    harness.policy.backends = [entry, entry]
    for number in (1, 2):
        request_id = f"id-{number}"
        reply = await harness.send(encode_request(request_id=request_id, method="POST", body=b"x"))
        assert (reply.status, reply.body) == (200, b"ran " + request_id.encode())
    assert connections == 2  # a connection with a stray response is not used again


# Guards against: a copy of a refusal ends the retry that was sent on the same connection, so that the client gets 503
# for a request that runs (REFUSED), or the request is sent again and runs twice (TWICE).
@pytest.mark.parametrize("refusal", ENCODED_REFUSALS.values(), ids=ENCODED_REFUSALS)
@pytest.mark.parametrize("copies", [1, 2])
@pytest.mark.parametrize("attempts", [2, 4])
@with_data_plane()
async def test_late_copy_of_a_refusal_is_not_the_response_to_the_retry(
    harness: DataPlaneHarness, refusal: bytes, copies: int, attempts: int
) -> None:
    harness.plane.set_config(make_config(make_route("non_idempotent", max_attempts=attempts)))
    backend = RefusingBackend(refusal, copies)
    entry = await harness.start_backend("b-1", backend)
    harness.policy.backends = [entry] * attempts

    reply = await harness.send(encode_request(request_id="id-1", method="POST", body=b"x"))

    assert backend.run_counts[b"id-1"] == 1
    assert reply.status == 200 and reply.body == b"ran id-1"
    assert harness.plane.event_counts["refusal_copy"] >= 1


# Guards against: a refusal that names no request ends the first attempt on its connection, so that the client gets 503
# for a request that runs (REFUSED), or the request is sent again and runs twice (TWICE).
@pytest.mark.parametrize("status", [503, 429, 408, 421])
@pytest.mark.parametrize("attempts", [1, 3])
@with_data_plane()
async def test_refusal_without_an_id_is_not_the_response_to_the_first_attempt_on_a_connection(
    harness: DataPlaneHarness, status: int, attempts: int
) -> None:
    run_counts: Counter[bytes] = Counter()

    async def script(peer: Peer) -> None:
        while True:
            await peer.read_head()
            peer.write(encode_response(status, NOT_EXECUTED_LINE, b""))
            run_counts[peer.request_id] += 1
            await asyncio.sleep(0.02)
            peer.respond(body=b"ran " + peer.request_id)

    harness.plane.set_config(make_config(make_route("non_idempotent", max_attempts=attempts)))
    entry = await harness.start_backend("b-1", script)
    harness.policy.backends = [entry] * attempts

    reply = await harness.send(encode_request(request_id="id-1", method="POST"))

    assert run_counts[b"id-1"] == 1
    assert reply.status == 200 and reply.body == b"ran id-1"
    assert harness.plane.event_counts["refusal_without_id"] == 1


@dataclass(frozen=True)
class Exchange:
    """One request of a client and the reply to it; the status is 0 if there was none."""

    request_id: bytes
    is_non_idempotent: bool
    status: int = 0
    body: bytes = b""


class DrawnClient:
    """Sends drawn requests one after another, on a connection that it keeps while it can."""

    def __init__(self, harness: DataPlaneHarness, rng: Random, number: int) -> None:
        self._harness = harness
        self._rng = rng
        self._number = number
        self._peer: Peer | None = None
        self.exchanges: list[Exchange] = []

    async def run(self) -> None:
        """Send all requests."""
        for number in range(REQUESTS_OF_CLIENT):
            request_id = b"%d-%d" % (self._number, number)
            exchange = Exchange(request_id, self._rng.random() < 0.8)
            self.exchanges.append(await self._send(exchange))
            await asyncio.sleep(self._rng.choice((0.0, 0.01, 0.05)))

    async def _send(self, exchange: Exchange) -> Exchange:
        rng = self._rng
        peer = self._peer = self._peer or await self._harness.connect_client()
        peer.write(
            encode_request(
                "/once/x" if exchange.is_non_idempotent else "/x",
                exchange.request_id.decode(),
                f"Hallhitch-Deadline-Remaining: {rng.choice((60, 200, 600))}\r\n",
                "POST",
                bytes(rng.choice((1, 1, 1, LONG_BODY_BYTES))),
            )
        )
        patience_s = 0.03 if rng.random() < 0.05 else 5.0
        try:
            async with asyncio.timeout(patience_s):
                reply = await peer.read_message()
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            peer.reset()
            self._peer = None
            return exchange
        if reply.fields.get(b"connection") == b"close":
            self._peer = None
        return replace(exchange, status=reply.status, body=reply.body)


def find_violations(exchanges: list[Exchange], run_counts: Counter[bytes]) -> list[str]:
    """Return the requests that broke REFUSED, TWICE or MIXED."""
    violations = []
    for exchange in exchanges:
        runs = run_counts[exchange.request_id]
        if exchange.is_non_idempotent and runs and exchange.status in NEVER_RAN_STATUSES:
            violations.append(f"REFUSED: {exchange}")
        if exchange.is_non_idempotent and runs > 1:
            violations.append(f"TWICE: {exchange} ran {runs} times")
        if exchange.status in (200, 404) and exchange.body not in (b"", b"body of " + exchange.request_id):
            violations.append(f"MIXED: {exchange}")
    return violations


# Guards against: any order of responses, copies, late bytes and closes after which a request that ran is refused, runs
# twice, or gets the response to another request.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_drawn_orders_of_responses_break_no_promise(seed: int) -> None:
    rng = Random(seed)
    is_load_balanced = seed % 2 == 0
    # The load balancer ejects a backend that answers 421, so that hardly anything would be sent.
    refusals = REFUSALS if is_load_balanced else (*REFUSALS, MISDIRECTED)

    async def test(harness: DataPlaneHarness) -> None:
        routes = make_route("non_idempotent", max_attempts=4, prefix="/once/"), make_route(max_attempts=4)
        harness.plane.set_config(make_config(*routes))
        if rng.random() < 0.3:
            harness.plane._pools.max_connections = 3
        backends = [DrawnBackend(rng, refusals), DrawnBackend(rng, refusals)]
        first, second = [await harness.start_backend(f"b-{n}", backend) for n, backend in enumerate(backends)]
        harness.policy.backends = [first, first, second, first]
        clients = [DrawnClient(harness, rng, number) for number in range(CLIENTS)]

        await asyncio.gather(*(client.run() for client in clients))
        await asyncio.sleep(LAST_RUN_S)

        exchanges = [exchange for client in clients for exchange in client.exchanges]
        assert sum(exchange.status == 200 for exchange in exchanges) >= CLIENTS
        assert not find_violations(exchanges, sum((backend.run_counts for backend in backends), Counter()))

    run_in_virtual_time(test, is_load_balanced)
