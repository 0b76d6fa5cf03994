"""The shutdown of a gateway after SIGTERM: every request that it reads is answered or, if it never ran, rejected."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Final

import pytest

from hallhitch.programs.gateway import DRAIN_DEADLINE_RATIO, LISTENER_CLOSE_RATIO
from tests.system.data.gateway_shutdown import SentRequest, ShutdownScene, run_shutdown
from tests.system.data.scripted_peers import Peer, encode_request

# Around the 3 s up to which the rule LOST excuses a cut, and around the shares of the grace period at which something
# ends, for each grace period that is tested.
SEND_TIMES_MS: Final = (
    *(0.0, 500.0, 1200.0, 1399.0, 1401.0, 2100.0, 2999.0),
    *(3002.0, 3300.0, 4199.0, 5002.0, 5399.0, 5550.0),
)
GRACE_PERIODS_MS: Final = (2000.0, 6000.0, 10_000.0)
BODY_GAP_MS: Final = 700.0
PIPELINED_COUNT: Final = 4
GRACE_PERIOD_MS: Final = 6000.0
SHORT_GRACE_PERIOD_MS: Final = 3000.0  # shorter than the time-out of the route
LISTENER_CLOSES_AT_MS: Final = LISTENER_CLOSE_RATIO * GRACE_PERIOD_MS
RELEASE_S: Final = 1.4  # until the quota plane gives up if no coordinator replies
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)  # SO_LINGER with a time of zero
SHORT_DEADLINE_MS: Final = 2800.0  # so that the last request that has time is sent while idle connections stay open

SendRequests = Callable[[ShutdownScene], Awaitable[list[asyncio.Task[object]]]]


async def _on_kept_connections(scene: ShutdownScene) -> list[asyncio.Task[object]]:
    peers = [await scene.connect_kept() for _ in SEND_TIMES_MS]
    return [asyncio.create_task(scene.exchange(peer, at_ms)) for peer, at_ms in zip(peers, SEND_TIMES_MS, strict=True)]


async def _on_unused_connections(scene: ShutdownScene) -> list[asyncio.Task[object]]:
    peers = [await scene.connect() for _ in SEND_TIMES_MS]
    return [
        asyncio.create_task(scene.exchange(peer, at_ms))
        for peer, at_ms in zip(peers, SEND_TIMES_MS, strict=True)
        if peer is not None
    ]


async def _on_new_connections(scene: ShutdownScene) -> list[asyncio.Task[object]]:
    async def connect_and_send(at_ms: float) -> None:
        await scene.sleep_until(at_ms)
        peer = await scene.connect()
        if peer is not None:
            await scene.exchange(peer, at_ms)

    return [asyncio.create_task(connect_and_send(at_ms)) for at_ms in SEND_TIMES_MS]


async def _with_slow_bodies(scene: ShutdownScene) -> list[asyncio.Task[object]]:
    peers = [await scene.connect_kept() for _ in SEND_TIMES_MS]
    return [
        asyncio.create_task(scene.exchange(peer, at_ms, BODY_GAP_MS))
        for peer, at_ms in zip(peers, SEND_TIMES_MS, strict=True)
    ]


async def _pipelined(scene: ShutdownScene) -> list[asyncio.Task[object]]:
    async def send_several(peer: Peer, at_ms: float) -> None:
        await scene.sleep_until(at_ms)
        requests = [scene.begin_request() for _ in range(PIPELINED_COUNT)]
        peer.write(b"".join(encode_request(request_id=request.id, method="POST", body=b"x") for request in requests))

        async def read_status() -> int:
            return (await peer.read_message()).status

        for request in requests:
            request.sent_at_ms = scene.since_sigterm_ms()
        for request in requests:
            await scene.finish_request(request, read_status)

    peers = [await scene.connect_kept() for _ in SEND_TIMES_MS]
    return [asyncio.create_task(send_several(peer, at_ms)) for peer, at_ms in zip(peers, SEND_TIMES_MS, strict=True)]


# Guards against LOST as review/1 shows it: a gateway that got SIGTERM passed requests on for which it had too little
# time left, and cut them when it exited.
@pytest.mark.parametrize("grace_period_ms", GRACE_PERIODS_MS)
@pytest.mark.parametrize(
    "send_requests",
    [_on_kept_connections, _on_unused_connections, _on_new_connections, _with_slow_bodies, _pipelined],
)
def test_no_request_that_a_leaving_gateway_reads_is_lost(send_requests: SendRequests, grace_period_ms: float) -> None:
    async def scenario(scene: ShutdownScene) -> None:
        sending = await send_requests(scene)
        shutdown = await scene.terminate()
        await asyncio.gather(shutdown, *sending)
        assert _lost(scene) == []
        assert [request for request in scene.requests if request.status == 503 and request.reached_backend] == []

    run_shutdown(scenario, grace_period_ms)


# Guards against LOST for a request that waits for capacity: it was read, no backend had it, and it was cut.
def test_request_that_waits_for_capacity_is_rejected_at_the_drain_deadline() -> None:
    async def scenario(scene: ShutdownScene) -> None:
        peer = await scene.connect_kept()
        scene.offer_no_backend()
        waiting = asyncio.create_task(scene.exchange(peer, 0.0))
        await scene.wait_until_handling()
        await asyncio.gather(await scene.terminate(), waiting)
        (request,) = scene.requests
        assert request.status == 503 and not request.reached_backend
        assert request.ended_at_ms == pytest.approx(DRAIN_DEADLINE_RATIO * SHORT_GRACE_PERIOD_MS, abs=1)

    run_shutdown(scenario, SHORT_GRACE_PERIOD_MS)


def test_leaving_gateway_serves_requests_whose_deadlines_leave_it_time() -> None:
    async def scenario(scene: ShutdownScene) -> None:
        deadline_line = f"Hallhitch-Deadline-Remaining: {SHORT_DEADLINE_MS:.0f}\r\n"
        peers = [await scene.connect_kept() for _ in range(2)]
        last_at_ms = DRAIN_DEADLINE_RATIO * GRACE_PERIOD_MS - SHORT_DEADLINE_MS
        scene.work_ms = SHORT_DEADLINE_MS / 2
        sending = [
            asyncio.create_task(scene.exchange(peer, at_ms, field_lines=deadline_line))
            for peer, at_ms in zip(peers, (last_at_ms - 1, last_at_ms + 1), strict=True)
        ]
        await asyncio.gather(await scene.terminate(), *sending)
        assert [request.status for request in scene.requests] == [200, 503]

    run_shutdown(scenario, GRACE_PERIOD_MS)


# Guards against a drain that starts late or not at all because the quota leases are not released.
@pytest.mark.parametrize("error", [None, ValueError("unexpected")])
def test_listener_closes_in_time_whatever_becomes_of_the_quota_leases(error: Exception | None) -> None:
    async def release_all() -> None:
        await asyncio.sleep(RELEASE_S)
        if error is not None:
            raise error

    async def scenario(scene: ShutdownScene) -> None:
        scene.program._quota.release_all = release_all  # type: ignore[method-assign]
        peer = await scene.connect_kept()
        shutdown = await scene.terminate()
        answered = asyncio.create_task(scene.exchange(peer, 0.0))
        for at_ms, is_open in ((LISTENER_CLOSES_AT_MS - 10, True), (LISTENER_CLOSES_AT_MS + 10, False)):
            await scene.sleep_until(at_ms)
            assert (await scene.connect() is not None) is is_open
        await asyncio.gather(shutdown, answered)
        assert scene.requests[0].status == 200

    run_shutdown(scenario, GRACE_PERIOD_MS)


# Guards against the loss of a non-idempotent request whose client has left: its backend was told to stop by the exit.
def test_request_of_a_departed_client_runs_to_its_end_before_the_gateway_exits() -> None:
    async def scenario(scene: ShutdownScene) -> None:
        peer = await scene.connect_kept()
        sending = asyncio.create_task(scene.exchange(peer, 0.0))
        await scene.wait_until_at_work()
        shutdown = await scene.terminate()
        peer.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        peer.reset()
        await asyncio.gather(shutdown, sending)
        assert scene.requests[0].id in scene.completed
        assert scene.since_sigterm_ms() < DRAIN_DEADLINE_RATIO * GRACE_PERIOD_MS

    run_shutdown(scenario, GRACE_PERIOD_MS, work_ms=LISTENER_CLOSES_AT_MS + 500)


def _lost(scene: ShutdownScene) -> list[SentRequest]:
    return [request for request in scene.requests if request.is_lost(scene.grace_period_ms)]
