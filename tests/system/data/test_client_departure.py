"""Clients that disconnect before their reply: what happens to the attempts of their requests."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.values import QuotaDecision, Tenant
from tests.system.data.data_plane_harness import DataPlaneHarness, make_config, make_route, with_data_plane
from tests.system.data.scripted_peers import Peer, ScriptedBackend, encode_request, respond_with
from tests.system.data.virtual_time_harness import run_in_virtual_time

TENANT = Tenant("plant", ("k-1",), 0, 100.0, 10.0)
API_KEY_LINE = "Authorization: Token k-1\r\n"
UPLOAD_BYTES = 4 * 1024 * 1024
BODY_MEMORY_BYTES = 100_000  # less than the upload, which is therefore streamed to the backend


class NeverRespondingBackend:
    """A backend that never responds, but notices when its connection closes."""

    def __init__(self) -> None:
        self.request_count = 0
        self.head_received = asyncio.Event()
        self.connection_ended = asyncio.Event()

    async def __call__(self, peer: Peer) -> None:
        """Serve one connection."""
        await peer.read_head()
        self.request_count += 1
        self.head_received.set()
        try:
            await peer.reader.read()
        finally:
            self.connection_ended.set()


def disconnect(client: Peer, disconnect_kind: str) -> None:
    """Reset, close or half-close a client's connection."""
    if disconnect_kind == "reset":
        client.reset()
    elif disconnect_kind == "close":
        client.writer.close()
    else:
        client.writer.write_eof()


async def wait_until_disconnected(harness: DataPlaneHarness) -> None:
    """Wait until the gateway has noticed that all clients are disconnected."""
    while not all(connection.is_disconnected for connection in harness.plane.listener.connections):
        await asyncio.sleep(0)


async def wait_until_handled(harness: DataPlaneHarness) -> None:
    """Wait until no request is being handled."""
    while harness.plane.listener.request_tasks:
        await asyncio.sleep(0)


@pytest.mark.parametrize("disconnect_kind", ["close", "reset", "half-close"])
@with_data_plane()
async def test_attempt_of_an_idempotent_request_is_abandoned_when_its_client_disconnects(
    harness: DataPlaneHarness, disconnect_kind: str
) -> None:
    backend = NeverRespondingBackend()
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    client.write(encode_request())
    await backend.head_received.wait()
    disconnect(client, disconnect_kind)
    await wait_until_disconnected(harness)
    async with asyncio.timeout(2):
        await backend.connection_ended.wait()
    await wait_until_handled(harness)
    assert backend.request_count == 1 and harness.policy.outcomes == [("b-1", Outcome.ABANDONED)]
    assert harness.plane._pools.open_count == 0 and harness.plane.event_counts["client_gone"] == 1


@with_data_plane()
async def test_client_that_half_closes_gets_502_because_the_request_may_have_run(harness: DataPlaneHarness) -> None:
    backend = NeverRespondingBackend()
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    client.write(encode_request())
    await backend.head_received.wait()
    disconnect(client, "half-close")
    assert (await client.read_message()).status == 502
    assert await client.reader.read() == b""


def test_all_attempts_of_one_request_are_abandoned_when_its_client_disconnects() -> None:
    async def test(harness: DataPlaneHarness) -> None:
        harness.plane.set_config(make_config(make_route()))
        backends = [NeverRespondingBackend(), NeverRespondingBackend()]
        for number, backend in enumerate(backends):
            await harness.start_backend(f"b-{number}", backend)
        client = await harness.connect_client()
        client.write(encode_request())
        for backend in backends:
            await backend.head_received.wait()
        disconnect(client, "close")
        for backend in backends:
            await backend.connection_ended.wait()
        await wait_until_handled(harness)
        ended = [entry for entry in harness.policy.outcomes if entry[1] is not Outcome.TIMED_OUT]
        assert sorted(ended) == [("b-0", Outcome.ABANDONED), ("b-1", Outcome.ABANDONED)]

    run_in_virtual_time(test)


@with_data_plane()
async def test_non_idempotent_request_that_was_sent_continues_without_its_client(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with(), is_paused=True)
    harness.plane.set_config(make_config(make_route("non_idempotent")))
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    client.write(encode_request(method="POST", body=b"stamp"))
    await backend.request_received.wait()
    disconnect(client, "close")
    await wait_until_disconnected(harness)
    backend.may_respond.set()
    await wait_until_handled(harness)
    assert harness.policy.outcomes == [("b-1", Outcome.OK)]
    assert harness.plane._pools.open_count == 1  # the connection can be reused


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
@with_data_plane()
async def test_request_whose_client_disconnects_before_it_is_sent_never_runs_and_is_refunded(
    harness: DataPlaneHarness, kind: str
) -> None:
    backend = ScriptedBackend(respond_with())
    await harness.start_backend("b-1", backend)
    harness.plane.set_config(make_config(make_route(kind), tenants=[TENANT]))
    admit_called, may_admit = asyncio.Event(), asyncio.Event()

    async def admit(tenant: Tenant, timeout_ms: float) -> QuotaDecision:
        admit_called.set()
        await may_admit.wait()
        return harness.quota_counter.decision

    harness.quota_counter.admit = admit  # type: ignore[method-assign]
    client = await harness.connect_client()
    client.write(encode_request(field_lines=API_KEY_LINE))
    await admit_called.wait()
    disconnect(client, "close")
    await wait_until_disconnected(harness)
    may_admit.set()
    await wait_until_handled(harness)
    assert not backend.requests and len(harness.quota_counter.refunds) == 1


@with_data_plane()
async def test_pipelined_requests_of_a_disconnected_client_are_not_sent(harness: DataPlaneHarness) -> None:
    backend = ScriptedBackend(respond_with(), is_paused=True)
    harness.plane.set_config(make_config(make_route("non_idempotent")))
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    client.write(b"".join(encode_request(f"/{number}", f"id-{number}") for number in range(5)))
    await backend.request_received.wait()
    disconnect(client, "close")
    await wait_until_disconnected(harness)
    backend.may_respond.set()
    await wait_until_handled(harness)
    assert len(backend.requests) == 1


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
@with_data_plane()
async def test_backend_failure_is_not_recorded_when_a_client_disconnects_during_its_upload(
    harness: DataPlaneHarness, kind: str
) -> None:
    backend = NeverRespondingBackend()
    harness.plane.listener.body_memory.limit_bytes = BODY_MEMORY_BYTES
    harness.plane.set_config(make_config(make_route(kind)))
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    request = encode_request(method="POST", body=bytes(UPLOAD_BYTES))
    client.write(request[: UPLOAD_BYTES // 2])
    await backend.head_received.wait()
    disconnect(client, "half-close")
    await backend.connection_ended.wait()  # a truncated upload must never look complete
    await wait_until_handled(harness)
    assert harness.policy.outcomes == [("b-1", Outcome.ABANDONED)]
