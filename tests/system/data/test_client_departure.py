"""A client that leaves before its reply: what becomes of the attempts that work for it."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.values import QuotaDecision, Tenant
from tests.system.data.data_plane_harness import DataPlaneHarness, make_config, make_route, with_data_plane
from tests.system.data.scripted_peers import Peer, ScriptedBackend, encode_request, respond_with

TENANT = Tenant("plant", ("k-1",), 0, 100.0, 10.0)
API_KEY_LINE = "Authorization: Token k-1\r\n"
UPLOAD_BYTES = 4 * 1024 * 1024
BODY_MEMORY_BYTES = 100_000  # less than the upload: it is streamed to the backend as it comes


class WorkingBackend:
    """A backend that works on each request until its connection closes."""

    def __init__(self) -> None:
        self.request_count = 0
        self.has_request = asyncio.Event()
        self.has_stopped = asyncio.Event()

    async def __call__(self, peer: Peer) -> None:
        """Serve one connection."""
        await peer.read_head()
        self.request_count += 1
        self.has_request.set()
        try:
            await peer.reader.read()
        finally:
            self.has_stopped.set()


def leave(client: Peer, how: str) -> None:
    """Close a client's connection, or its sending side."""
    if how == "reset":
        client.reset()
    elif how == "close":
        client.writer.close()
    else:
        client.writer.write_eof()


async def wait_until_gone(harness: DataPlaneHarness) -> None:
    """Wait until the gateway has noticed that its clients are gone."""
    while not all(connection.is_gone for connection in harness.plane.listener.connections):
        await asyncio.sleep(0)


async def wait_until_handled(harness: DataPlaneHarness) -> None:
    """Wait until no request is being handled."""
    while harness.plane.listener.request_tasks:
        await asyncio.sleep(0)


@pytest.mark.parametrize("how", ["close", "reset", "end of sending"])
@with_data_plane()
async def test_backend_stops_working_once_the_client_of_a_repeatable_request_has_left(
    harness: DataPlaneHarness, how: str
) -> None:
    backend = WorkingBackend()
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    client.write(encode_request())
    await backend.has_request.wait()
    leave(client, how)
    await wait_until_gone(harness)
    async with asyncio.timeout(2):
        await backend.has_stopped.wait()
    await wait_until_handled(harness)
    assert backend.request_count == 1 and harness.policy.outcomes == [("b-1", Outcome.ABANDONED)]
    assert harness.plane._pools.open_count == 0 and harness.plane.event_counts["client_gone"] == 1


@with_data_plane()
async def test_client_that_only_ends_its_sending_gets_a_reply_without_a_promise(harness: DataPlaneHarness) -> None:
    backend = WorkingBackend()
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    client.write(encode_request())
    await backend.has_request.wait()
    leave(client, "end of sending")
    assert (await client.read_message()).status == 502  # it may have run
    assert await client.reader.read() == b""


@with_data_plane(hedge_delay_ms=1.0)
async def test_all_backends_stop_that_work_on_one_request_of_a_client_that_has_left(harness: DataPlaneHarness) -> None:
    backends = [WorkingBackend(), WorkingBackend()]
    for number, backend in enumerate(backends):
        await harness.start_backend(f"b-{number}", backend)
    client = await harness.connect_client()
    client.write(encode_request())
    for backend in backends:
        await backend.has_request.wait()
    leave(client, "close")
    for backend in backends:
        await backend.has_stopped.wait()
    await wait_until_handled(harness)
    ended = [entry for entry in harness.policy.outcomes if entry[1] is not Outcome.TIMED_OUT]
    assert sorted(ended) == [("b-0", Outcome.ABANDONED), ("b-1", Outcome.ABANDONED)]


@with_data_plane()
async def test_unsafe_request_that_was_sent_runs_on_without_its_client(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with(), is_paused=True)
    harness.plane.set_config(make_config(make_route("non_idempotent")))
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    client.write(encode_request(method="POST", body=b"stamp"))
    await backend.request_received.wait()
    leave(client, "close")
    await wait_until_gone(harness)
    backend.may_respond.set()
    await wait_until_handled(harness)
    assert harness.policy.outcomes == [("b-1", Outcome.OK)]
    assert harness.plane._pools.open_count == 1  # the connection is good for the next request


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
@with_data_plane()
async def test_request_whose_client_leaves_before_it_is_sent_never_runs_and_is_refunded(
    harness: DataPlaneHarness, kind: str
) -> None:
    backend = ScriptedBackend(respond_with())
    await harness.start_backend("b-1", backend)
    harness.plane.set_config(make_config(make_route(kind), tenants=[TENANT]))
    is_counting, may_answer = asyncio.Event(), asyncio.Event()

    async def admit(tenant: Tenant, timeout_ms: float) -> QuotaDecision:
        is_counting.set()
        await may_answer.wait()
        return harness.quota_counter.decision

    harness.quota_counter.admit = admit  # type: ignore[method-assign]
    client = await harness.connect_client()
    client.write(encode_request(field_lines=API_KEY_LINE))
    await is_counting.wait()
    leave(client, "close")
    await wait_until_gone(harness)
    may_answer.set()
    await wait_until_handled(harness)
    assert not backend.requests and len(harness.quota_counter.refunds) == 1


@with_data_plane()
async def test_pipelined_requests_of_a_client_that_has_left_are_not_sent(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with(), is_paused=True)
    harness.plane.set_config(make_config(make_route("non_idempotent")))
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    client.write(b"".join(encode_request(f"/{number}", f"id-{number}") for number in range(5)))
    await backend.request_received.wait()
    leave(client, "close")
    await wait_until_gone(harness)
    backend.may_respond.set()
    await wait_until_handled(harness)
    assert len(backend.requests) == 1


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
@with_data_plane()
async def test_backend_is_not_blamed_for_a_client_that_leaves_within_its_upload(
    harness: DataPlaneHarness, kind: str
) -> None:
    backend = WorkingBackend()
    harness.plane.listener.body_memory.limit_bytes = BODY_MEMORY_BYTES
    harness.plane.set_config(make_config(make_route(kind)))
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    request = encode_request(method="POST", body=bytes(UPLOAD_BYTES))
    client.write(request[: UPLOAD_BYTES // 2])
    await backend.has_request.wait()
    leave(client, "end of sending")
    await backend.has_stopped.wait()  # an upload that breaks off never looks complete
    await wait_until_handled(harness)
    assert harness.policy.outcomes == [("b-1", Outcome.ABANDONED)]
