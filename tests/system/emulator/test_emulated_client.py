"""Retries, requests and records of the emulated client."""

from __future__ import annotations

import json

import pytest

from hallhitch.lab.emulator.client import Client
from hallhitch.lab.emulator.client_environment import ClientEnvironment
from hallhitch.lab.emulator.client_request import AttemptResult, ClientRequest, retry_delay_ms
from hallhitch.lab.emulator.network_paths import NetworkPaths
from hallhitch.lab.emulator.ports import reserve_ports
from hallhitch.lab.emulator.records import Records
from hallhitch.lab.http_messages import encode_response
from hallhitch.lab.streams import Streams
from tests.system.emulator.emulated_parties import SCRIPTED_HOST, run_with_timeout, start_scripted_server

IDEMPOTENT = ClientRequest("look", "GET", "x", "/")
NON_IDEMPOTENT = ClientRequest("stamp", "POST", "x", "/", is_idempotent=False)
BACKOFF_MS = 20.0


@pytest.mark.parametrize(
    ("request_", "status", "is_unread", "retry_after_ms", "remaining_ms", "expected_ms"),
    [
        (IDEMPOTENT, 200, False, 0, 900, None),
        (IDEMPOTENT, 404, False, 0, 900, None),
        (IDEMPOTENT, 502, False, 0, 900, 20),
        (IDEMPOTENT, 0, False, 0, 900, 20),
        (IDEMPOTENT, 503, False, 600, 900, 300),
        (IDEMPOTENT, 503, False, 100, 900, 100),
        (IDEMPOTENT, 502, False, 0, 10, None),
        (NON_IDEMPOTENT, 502, False, 0, 900, None),
        (NON_IDEMPOTENT, 0, False, 0, 900, None),
        (NON_IDEMPOTENT, 0, True, 0, 900, 20),
        (NON_IDEMPOTENT, 429, False, 0, 900, 20),
        (NON_IDEMPOTENT, 408, False, 0, 900, 20),
    ],
)
def test_retry_delay(
    request_: ClientRequest,
    status: int,
    is_unread: bool,
    retry_after_ms: float,
    remaining_ms: float,
    expected_ms: float | None,
) -> None:
    result = AttemptResult(status, is_unread, retry_after_ms)
    assert retry_delay_ms(request_, result, remaining_ms, BACKOFF_MS) == expected_ms


def test_client_that_disconnected_does_not_retry() -> None:
    assert retry_delay_ms(IDEMPOTENT, AttemptResult(has_left=True), 900, BACKOFF_MS) is None


def test_client_resolves_and_retries_after_a_rejection() -> None:
    async def body() -> None:
        base_port, reservation = reserve_ports()
        records, requests = Records(), list[dict[str, str]]()
        gateway_address = f"{SCRIPTED_HOST}:{base_port + 1}"

        def directory(status_line: str, headers: dict[str, str], body: bytes) -> bytes:
            assert status_line == "GET /hallhitch/resolve?name=x&region=region-1&zone=zone-1a HTTP/1.1"
            return encode_response(200, json.dumps({"addresses": [gateway_address], "ttl": "2s"}).encode())

        def gateway(status_line: str, headers: dict[str, str], body: bytes) -> bytes:
            requests.append(headers)
            if len(requests) == 1:
                return encode_response(503, extra="Retry-After: 0.01\r\n")
            return (
                b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nHallhitch-Response-Seal: s\r\n"
                b"Hallhitch-Request-Id: " + headers["hallhitch-request-id"].encode() + b"\r\n\r\n"
                b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )

        servers = [
            await start_scripted_server(base_port, directory),
            await start_scripted_server(base_port + 1, gateway),
        ]
        environment = ClientEnvironment(
            records,
            NetworkPaths(0, 0, {}),
            directories={"region-1": [("127.1.1.9", base_port), (SCRIPTED_HOST, base_port)]},
            gateway_names={gateway_address: "edge-1"},
            max_ttl_ms=5000,
        )
        client = Client(environment, "region-1", "zone-1a", 1, Streams(1).of("client"))
        outcome = await client.request(ClientRequest("stamp", "POST", "x", "/stamp/1", "k1", b"body", False))
        assert outcome.is_served and (outcome.attempts, outcome.rejected_attempts) == (2, 1)
        first, second = records.attempts
        assert (first.status, first.gateway, first.api_key) == (503, "edge-1", "k1")
        assert (second.status, second.gateway, second.api_key) == (200, "edge-1", "k1")
        assert first.id != second.id == second.echoed_id
        assert requests[1]["authorization"] == "Token k1"
        assert 0 < int(requests[1]["hallhitch-deadline-remaining"]) < 2001
        client.close()
        for server in servers:
            server.close()
        reservation.close()

    run_with_timeout(body)
