"""Retries, replies and refunds for every way in which an attempt can end.

The first attempt of a request ends as listed in `attempt_endings`; all others succeed. Each ending is tested for
idempotent and non-idempotent requests, with one attempt and with several, with a stub policy and with the production
load balancer. The test checks that a non-idempotent request runs at most once, that 503, 429, 408 and 421 are sent only
if the request never ran and never will, and that no client receives the response to another request, neither as the
reply to this request nor to its next one.
"""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.planes.values import Tenant
from tests.system.data.attempt_endings import ENDINGS, RUN, SUCCESS, Ending, RecordingBackends, RetryRule
from tests.system.data.data_plane_harness import DataPlaneHarness, make_config, make_route
from tests.system.data.scripted_peers import encode_request
from tests.system.data.virtual_time_harness import NEVER_RAN_STATUSES, run_in_virtual_time

TENANT = Tenant("t", ("k",), 0, 1000.0, 1000.0)
DEADLINE_MS = 400


def encode_numbered_request(number: int, body: bytes) -> bytes:
    """Return the bytes of the request `id-<number>`."""
    field_lines = f"Authorization: Token k\r\nHallhitch-Deadline-Remaining: {DEADLINE_MS}\r\n"
    return encode_request(request_id=f"id-{number}", method="POST", body=body, field_lines=field_lines)


def configure(harness: DataPlaneHarness, is_non_idempotent: bool, max_attempts: int) -> None:
    """Configure one route for a tenant with a quota."""
    route = make_route("non_idempotent" if is_non_idempotent else "idempotent", max_attempts=max_attempts)
    harness.plane.set_config(make_config(route, tenants=[TENANT]))


@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.name)
@pytest.mark.parametrize("is_non_idempotent", [True, False], ids=["non-idempotent", "idempotent"])
@pytest.mark.parametrize("max_attempts", [1, 3])
@pytest.mark.parametrize("is_load_balanced", [False, True], ids=["stub-policy", "load-balancer"])
def test_retry_reply_and_refund_after_each_ending(
    ending: Ending, is_non_idempotent: bool, max_attempts: int, is_load_balanced: bool
) -> None:
    async def test(harness: DataPlaneHarness) -> None:
        configure(harness, is_non_idempotent, max_attempts)
        backends = RecordingBackends(ending)
        for name in ("b-1", "b-2"):
            await harness.start_backend(name, backends)

        reply = await harness.send(encode_numbered_request(1, ending.request_body))
        refund_count = len(harness.quota_counter.refunds)
        run_count_at_reply = backends.run_counts[b"id-1"]
        backends.reply_received.set()
        # Bytes that arrive late now must not become the response to the next request.
        next_reply = await harness.send(encode_numbered_request(2, b"x"))
        while harness.plane.listener.request_tasks:
            await asyncio.sleep(0)

        assert reply.status == ending.expected_status(is_non_idempotent, max_attempts)
        assert next_reply.status == 200 and next_reply.body == b"ran id-2" and backends.run_counts[b"id-2"] == 1
        assert reply.body == b"ran id-1" if reply.status == 200 else b"ran" not in reply.body
        says_never_ran = reply.status in NEVER_RAN_STATUSES
        assert not (says_never_ran and backends.run_counts[b"id-1"]), "the reply says that it never ran, but it ran"
        assert refund_count == says_never_ran, "the unit must be refunded if and only if the request never ran"
        assert backends.attempt_counts[b"id-1"] <= max_attempts
        if is_non_idempotent:
            assert backends.run_counts[b"id-1"] <= 1 and run_count_at_reply <= 1
            has_retry = ending.retry_rule is RetryRule.ALWAYS and max_attempts > 1
            assert backends.attempt_counts[b"id-1"] == 1 + has_retry

    run_in_virtual_time(test, is_load_balanced)


@pytest.mark.parametrize("is_non_idempotent", [True, False], ids=["non-idempotent", "idempotent"])
@pytest.mark.parametrize("is_load_balanced", [False, True], ids=["stub-policy", "load-balancer"])
def test_request_that_cannot_be_written_goes_to_another_backend_or_is_rejected(
    is_non_idempotent: bool, is_load_balanced: bool
) -> None:
    """A refused connection does not count as an attempt; if no connection may be opened, the quota is refunded."""

    async def test(harness: DataPlaneHarness) -> None:
        configure(harness, is_non_idempotent, max_attempts=1)
        backends = RecordingBackends(Ending("success", (RUN, SUCCESS), 200))
        await harness.start_backend("b-1", backends)
        harness.servers[0].close()
        await harness.start_backend("b-2", backends)
        reply = await harness.send(encode_numbered_request(1, b"x"))
        assert reply.status == 200 and reply.body == b"ran id-1" and not harness.quota_counter.refunds
        harness.plane._pools.max_connections = 0
        for pool in harness.plane._pools._pools.values():
            pool.retire()
            pool.is_retired = False
        reply = await harness.send(encode_numbered_request(2, b"x"))
        assert reply.status == 503 and b"retry-after" in reply.fields
        assert len(harness.quota_counter.refunds) == 1 and not backends.attempt_counts[b"id-2"]

    run_in_virtual_time(test, is_load_balanced)
