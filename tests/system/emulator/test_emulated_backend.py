"""Responses and records of the emulated backend, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.lab.emulator.backend import BackendSpec
from hallhitch.lab.emulator.response_fault import ResponseFault
from hallhitch.lab.http_messages import read_message
from hallhitch.node.clock import now
from tests.system.emulator.emulated_parties import (
    encode_request,
    run_with_timeout,
    running_backend,
    send_request,
    status_of,
    wait_for_arrivals,
)

HEALTH_CHECK = b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n"
DUPLICATES = (ResponseFault.DUPLICATED, ResponseFault.DUPLICATED_LATE)


def test_backend_responds_and_records() -> None:
    async def body() -> None:
        async with running_backend(BackendSpec("shelf", work_ms=0)) as backend:
            arrivals = backend.fleet.records.arrivals
            response = await send_request(backend, encode_request("a1", Hallhitch_Tenant_Name="red"))
            assert response is not None and status_of(response) == 200
            [arrival] = arrivals
            headers = response[1]
            assert headers["hallhitch-request-id"] == "a1" and headers["hallhitch-response-seal"] == arrival.seal
            assert (arrival.id, arrival.method, arrival.path, arrival.tenant) == ("a1", "GET", "/look/1", "red")
            assert arrival.started_at_ms is not None
            assert int(headers["keep-alive"].removeprefix("timeout=")) > 0
            for request, expected in (
                (encode_request("a2", Hallhitch_Expected_Instance="b9"), 421),
                (encode_request(""), 400),
            ):
                response = await send_request(backend, request)
                assert response is not None and status_of(response) == expected
                assert "hallhitch-not-executed" in response[1]
            assert [arrival.started_at_ms for arrival in arrivals[1:]] == [None, None]
            request = encode_request("a3", Hallhitch_Expected_Instance="b1")
            assert status_of(await send_request(backend, request)) == 200
            response = await send_request(backend, HEALTH_CHECK)
            assert response is not None and status_of(response) == 200
            assert response[1]["hallhitch-instance-id"] == "b1"
            backend.fleet.drain(backend)
            response = await send_request(backend, encode_request("a4"))  # it still serves, but announces the close
            assert response is not None and (status_of(response), response[1]["connection"]) == (200, "close")
            assert status_of(await send_request(backend, HEALTH_CHECK)) == 503
            assert len(arrivals) == 5  # health checks are not recorded

    run_with_timeout(body)


@pytest.mark.parametrize("resets_when_full", [False, True])
def test_full_backend_declines_or_resets(resets_when_full: bool) -> None:
    spec = BackendSpec("shelf", slots=1, queue_limit=1, work_ms=0, resets_when_full=resets_when_full)

    async def body() -> None:
        async with running_backend(spec) as backend:
            # The first execution occupies its slot until its client disconnects.
            backend.pending_faults.append(ResponseFault.SILENT)
            first = asyncio.ensure_future(send_request(backend, encode_request("a1")))
            await wait_for_arrivals(backend, 1)
            second = asyncio.ensure_future(send_request(backend, encode_request("a2")))
            await wait_for_arrivals(backend, 2)
            third = await send_request(backend, encode_request("a3"))
            assert status_of(third) == (0 if resets_when_full else 503)
            was_started = [arrival.started_at_ms is not None for arrival in backend.fleet.records.arrivals]
            assert was_started == [True, False, False]
            first.cancel()
            assert status_of(await second) == 200  # the slot becomes free when the first connection closes

    run_with_timeout(body)


def test_backend_refuses_twice_and_writes_a_refusal_that_names_no_request() -> None:
    spec = BackendSpec("shelf", refusal_ratio=1.0, refusal_copy_ratio=1.0, unsolicited_refusal_ratio=1.0)

    async def body() -> None:
        async with running_backend(spec) as backend:
            reader, writer = await asyncio.open_connection(*backend.address)
            writer.write(encode_request("a1"))
            refusals = [await read_message(reader) for _ in range(3)]
            assert all(status_line.split()[1] == "503" for status_line, _, _ in refusals)
            assert all("hallhitch-not-executed" in headers for _, headers, _ in refusals)
            ids = [headers.get("hallhitch-request-id", "") for _, headers, _ in refusals]
            assert sorted(ids) == ["", "a1", "a1"]
            assert backend.fleet.records.arrivals[0].started_at_ms is None
            writer.close()

    run_with_timeout(body)


def test_deadline_expired_in_the_queue_is_declined_and_during_execution_times_out() -> None:
    async def body() -> None:
        async with running_backend(BackendSpec("shelf", slots=1, queue_limit=1, work_ms=60_000)) as backend:
            arrivals = backend.fleet.records.arrivals
            assert status_of(await send_request(backend, encode_request("a1", deadline_ms=60))) == 504
            first = asyncio.ensure_future(send_request(backend, encode_request("a2", deadline_ms=60_000)))
            await wait_for_arrivals(backend, 2)
            second = asyncio.ensure_future(send_request(backend, encode_request("a3", deadline_ms=1)))
            await wait_for_arrivals(backend, 3)
            while now() < arrivals[2].arrived_at_ms + 1:
                await asyncio.sleep(0)
            first.cancel()  # frees the slot
            assert status_of(await second) == 503
            assert [arrival.started_at_ms is not None for arrival in arrivals] == [True, True, False]

    run_with_timeout(body)


@pytest.mark.parametrize(
    "fault", [fault for fault in ResponseFault if fault is not ResponseFault.SILENT], ids=lambda fault: fault.name
)
def test_response_faults(fault: ResponseFault) -> None:
    async def body() -> None:
        async with running_backend(BackendSpec("shelf", work_ms=0)) as backend:
            backend.pending_faults.append(fault)
            reader, writer = await asyncio.open_connection(*backend.address)
            writer.write(encode_request("a1"))
            if fault in DUPLICATES:
                for _ in range(2):
                    assert (await read_message(reader))[1]["hallhitch-request-id"] == "a1"
            else:
                with pytest.raises((EOFError, OSError, asyncio.LimitOverrunError, ValueError)):  # noqa: PT012
                    status_line, _, _ = await read_message(reader)
                    raise ValueError(status_line)  # the response is invalid
            assert backend.fleet.records.arrivals[0].is_broken_off == (fault not in DUPLICATES)
            writer.close()

    run_with_timeout(body)


def test_overloaded_cold_backend_crashes_and_the_list_shows_it_later() -> None:
    spec = BackendSpec("shelf", slots=1, work_ms=0, cold_rate_per_s=1.0, cold_time_ms=60_000)

    async def body() -> None:
        async with running_backend(spec, is_cold=True) as backend:
            fleet = backend.fleet
            statuses = [status_of(await send_request(backend, encode_request(f"a{number}"))) for number in range(5)]
            assert statuses[0] == 200 and statuses[-1] == 0 and backend.has_ended
            assert fleet.records.cold_periods[0].rate_per_s == 1.0
            listed_at_ms = fleet.records.listing_changes[0].listed_at_ms
            assert [row[0] for row in fleet.listed_rows(listed_at_ms - fleet.listing_lag_ms - 1)] == ["b1"]
            assert fleet.listed_rows(listed_at_ms - fleet.listing_lag_ms) == []

    run_with_timeout(body)
