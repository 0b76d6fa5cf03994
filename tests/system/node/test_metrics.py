"""Metrics in the Prometheus text format, and an address that the process does not depend on."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.node.metrics import Histogram, Metric, MetricKind, MetricsServer, gauge, render_metrics
from tests.stand_ins import free_port

METRICS = [
    gauge("config_serial", "Serial in force.", 12),
    Metric("events_total", MetricKind.COUNTER, "Events.", {"opened": 3.0, "attempt_ok": 2.5}, "event"),
]
TEXT = (
    b"# HELP hallhitch_config_serial Serial in force.\n"
    b"# TYPE hallhitch_config_serial gauge\n"
    b"hallhitch_config_serial 12\n"
    b"# HELP hallhitch_events_total Events.\n"
    b"# TYPE hallhitch_events_total counter\n"
    b'hallhitch_events_total{event="attempt_ok"} 2.5\n'
    b'hallhitch_events_total{event="opened"} 3\n'
)


def test_metrics_are_rendered_with_types_and_labels() -> None:
    assert render_metrics(METRICS) == TEXT
    assert render_metrics([]) == b""


def test_histogram_counts_each_value_in_all_buckets_up_to_its_bound() -> None:
    histogram = Histogram((10.0, 100.0))
    for value in (10.0, 10.5, 1000.0):
        histogram.observe(value)
    assert render_metrics([histogram.metric("age_ms", "Ages.")]).splitlines()[1:] == [
        b"# TYPE hallhitch_age_ms histogram",
        b'hallhitch_age_ms_bucket{le="10"} 1',
        b'hallhitch_age_ms_bucket{le="100"} 2',
        b'hallhitch_age_ms_bucket{le="+Inf"} 3',
        b"hallhitch_age_ms_sum 1020.5",
        b"hallhitch_age_ms_count 3",
    ]


async def fetch(port: int, path: str) -> bytes:
    """Return the reply to a request for a path."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    reply = await reader.read()
    writer.close()
    return reply


@pytest.mark.parametrize(("path", "status"), [("/metrics", b"200"), ("/metrics?x=1", b"200"), ("/", b"404")])
def test_metrics_are_read_at_each_request(path: str, status: bytes) -> None:
    async def scenario() -> None:
        values = [1.0]
        server = MetricsServer(lambda: [gauge("value", "A value.", values[0])])
        port = free_port()
        await server.serve(("127.0.0.1", port))
        values[0] = 2.0
        reply = await fetch(port, path)
        await server.close()
        assert reply.split(b" ")[1] == status
        assert (b"hallhitch_value 2\n" in reply) == (status == b"200")

    asyncio.run(scenario())


def test_a_port_in_use_or_port_0_does_not_stop_the_process() -> None:
    async def scenario() -> None:
        occupying_server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        occupied_port = int(occupying_server.sockets[0].getsockname()[1])
        for port in (occupied_port, 0):
            server = MetricsServer(list)
            await server.serve(("127.0.0.1", port))
            await server.close()
        occupying_server.close()

    asyncio.run(scenario())
