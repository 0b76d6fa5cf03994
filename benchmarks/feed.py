"""How fast the catalog feed is, and what it costs the event loop that applies it.

    python -m benchmarks.feed [--changes 200] [--clients 200000] [--write docs/measured/feed.md]

Changes: a real control plane and four feed clients in this process, one change after another; the time from the
reply to a change until all four have applied it. Snapshot: 1,000 tenants with so many clients, applied line by line as
the feed client does; the longest step is what an event loop is blocked for.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import gc
import logging
import random
import resource
import ssl
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Final

import numpy as np
import structlog

from benchmarks.measuring import BenchmarkError
from hallhitch.catalog.draft import build_catalog
from hallhitch.catalog.feed import snapshot_lines
from hallhitch.catalog.feed_follower import FeedFollower
from hallhitch.catalog.model import Catalog, Client, Head, Kind, Limits, Plan
from hallhitch.catalog.rows import Row
from hallhitch.catalog_sync.catalog_cache import CatalogCache
from hallhitch.catalog_sync.feed_client import FeedClient, client_tls_context
from hallhitch.tls import authority
from hallhitch.tls.certificate_files import certificate_fingerprint
from tests.administration_process import AdministrationProcess, create_tenants, send_change

GATEWAY_COUNT: Final = 4
TENANT_COUNT: Final = 1000
WARM_UP_CHANGES: Final = 5  # the first ones wait for connections
GC_THRESHOLDS: Final = (20_000, 20, 20)  # as a gateway sets them once it serves


class AppliedVersions:
    """The catalog version that each gateway has applied."""

    def __init__(self) -> None:
        self._versions: dict[int, int] = {}
        self._changed = asyncio.Event()

    def on_catalog(self, gateway: int, catalog: Catalog) -> None:
        """Record that a gateway has applied a catalog."""
        self._versions[gateway] = catalog.version
        self._changed.set()

    async def wait_for(self, version: int) -> None:
        """Return once all gateways have applied the version or a newer one."""
        while len(self._versions) < GATEWAY_COUNT or min(self._versions.values()) < version:
            self._changed.clear()
            await self._changed.wait()


@contextlib.asynccontextmanager
async def _feed_clients(
    service: AdministrationProcess, certificate: Path, on_catalog: Callable[[int, Catalog], None]
) -> AsyncIterator[None]:
    """Run the gateways' feed clients."""
    context = client_tls_context(
        str(service.folder / "tls" / "ca.crt"), str(certificate), str(certificate.with_suffix(".key"))
    )
    tasks = [
        asyncio.create_task(
            FeedClient(
                service.url,
                context,
                f"gateway-{number}",
                CatalogCache(service.folder / f"saved-{number}"),
                partial(on_catalog, number),
            ).run()
        )
        for number in range(GATEWAY_COUNT)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def measure_changes(count: int) -> list[float]:
    """Return the ms from the reply to each change until all gateways have applied it, warm-up excluded."""
    latencies_ms = list[float]()
    with tempfile.TemporaryDirectory() as folder:
        service = AdministrationProcess(Path(folder))
        await service.start()
        certificate = authority.issue_certificate(service.folder / "tls", "gateways", ["gateways"], client=True)
        fingerprint = certificate_fingerprint(ssl.PEM_cert_to_DER_cert(certificate.read_text()))
        applied = AppliedVersions()
        async with service.client() as root:
            await send_change(root, "PUT", "/v1/operators/gateways", {"scope": "gateway", "certificate": fingerprint})
            await create_tenants(root, "acme")
            async with _feed_clients(service, certificate, applied.on_catalog):
                for number in range(count):
                    plan = {"rate": 1.0 + number, "burst": 9.0}
                    reply = await send_change(root, "PUT", "/v1/tenants/acme/plans/small-shop", plan, If_Match="*")
                    started_s = time.monotonic()
                    version = int(reply.headers["etag"].strip('"').partition(".")[2])
                    await applied.wait_for(version)
                    latencies_ms.append((time.monotonic() - started_s) * 1000)
        await service.stop()
    return latencies_ms[WARM_UP_CHANGES:]


def _tenant_rows(name: str, client_count: int, client_limit: int) -> Iterator[Row]:
    yield Row(name, Kind.TENANT, name, 1, Head(limits=Limits(clients=client_limit)))
    yield Row(name, Kind.PLAN, "small-shop", 1, Plan(1.0, 3.0))
    for number in range(client_count):
        yield Row(name, Kind.CLIENT, f"client-{number}", 1, Client("small-shop"))


def build_large_catalog(client_count: int) -> Catalog:
    """Return a catalog of 1,000 tenants with so many clients together."""
    names = [f"tenant-{number}" for number in range(TENANT_COUNT)]
    rows = [row for name in names for row in _tenant_rows(name, client_count // TENANT_COUNT, client_count)]
    return build_catalog(1, 1, rows, dict.fromkeys(names, (1, 1)))


@dataclass
class SnapshotCost:
    """Time of each line of a snapshot, and the growth of the process while two catalogs are held."""

    encode_ms: list[float] = field(default_factory=list)
    apply_ms: list[float] = field(default_factory=list)
    growth_mib: float = 0.0


def peak_resident_kib() -> int:
    """Return the largest resident memory of this process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def measure_snapshot(client_count: int) -> SnapshotCost:
    """Encode and apply a snapshot line by line."""
    held = build_large_catalog(client_count)
    newest = Catalog(2, 2, held.tenants, held.operators, held.hosts, held.checksum)
    follower = FeedFollower(held, random.Random(1))
    gc.collect()
    gc.freeze()  # as a gateway does once it serves
    gc.set_threshold(*GC_THRESHOLDS)
    before_kib = peak_resident_kib()
    cost = SnapshotCost()
    lines = snapshot_lines(newest)
    while True:
        started_s = time.perf_counter()
        line = next(lines, None)
        encoded_s = time.perf_counter()
        if line is None:
            break
        follower.receive_line(line)
        cost.encode_ms.append((encoded_s - started_s) * 1000)
        cost.apply_ms.append((time.perf_counter() - encoded_s) * 1000)
    if follower.version != (2, 2):
        raise BenchmarkError(f"the follower holds version {follower.version} after the snapshot, not (2, 2)")
    cost.growth_mib = (peak_resident_kib() - before_kib) / 1024
    return cost


def _steps_row(name: str, steps_ms: list[float]) -> str:
    return (
        f"| {name} | {sum(steps_ms) / 1000:.2f} | {np.median(steps_ms):.2f} | {np.percentile(steps_ms, 99.9):.2f} | "
        f"{max(steps_ms):.2f} |"
    )


def render_page(latencies_ms: list[float], cost: SnapshotCost, change_count: int, client_count: int) -> str:
    """Return the page docs/measured/feed.md."""
    lines = [
        "# The feed",
        "",
        f"`python -m benchmarks.feed --changes {change_count} --clients {client_count}`",
        "",
        f"From the answer to a change until all {GATEWAY_COUNT} gateways have applied it (links in one process, no "
        f"other load): median {np.median(latencies_ms):.1f} ms, 99th percentile "
        f"{np.percentile(latencies_ms, 99):.1f} ms, most {max(latencies_ms):.1f} ms, over {len(latencies_ms)} changes.",
        "",
        f"A whole catalogue of 1,000 tenants and {client_count} clients, line by line ({len(cost.apply_ms)} lines):",
        "",
        "| | in all, s | median step, ms | 99.9th percentile, ms | longest step, ms |",
        "| --- | --- | --- | --- | --- |",
        _steps_row("control plane, making", cost.encode_ms),
        _steps_row("gateway, taking in", cost.apply_ms),
        "",
        f"The process grows by {cost.growth_mib:.0f} MiB at its peak while the gateway holds the old and the new.",
        "",
    ]
    return "\n".join(lines)


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--clients", type=int, default=200_000)
    parser.add_argument("--write", type=Path)
    arguments = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    latencies_ms = asyncio.run(measure_changes(arguments.changes))
    cost = measure_snapshot(arguments.clients)
    page = render_page(latencies_ms, cost, arguments.changes, arguments.clients)
    print(page)
    if arguments.write:
        arguments.write.write_text(page)


if __name__ == "__main__":
    main()
