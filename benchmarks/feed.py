"""How fast the feed is, and what it costs the loop that takes it in.

    python -m benchmarks.feed [--changes 200] [--clients 200000] [--write docs/measured/feed.md]

Changes: a real control plane, four links in this process, one change after another; the time from the answer to a
change until all four have applied it. Whole: 1,000 tenants with so many clients, taken in line by line as the link
does; the longest step is what an event loop stands still for.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import random
import resource
import ssl
import tempfile
import time
from pathlib import Path

import numpy as np
import structlog

from hallhitch.catalog.draft import build_catalog
from hallhitch.catalog.feed import snapshot_lines
from hallhitch.catalog.feed_follower import FeedFollower
from hallhitch.catalog.model import Catalog, Client, Head, Kind, Limits, Plan
from hallhitch.catalog.rows import Row
from hallhitch.catalog_sync.catalog_cache import CatalogCache
from hallhitch.catalog_sync.feed_client import FeedClient, client_tls_context
from hallhitch.tls import authority
from hallhitch.tls.certificate_files import certificate_fingerprint
from tests.administration_process import AdministrationProcess, change, seed

GATEWAYS = 4


async def changes(count: int) -> list[float]:
    """ms from the answer to each change until all gateways have applied it."""
    found: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        plane = AdministrationProcess(Path(folder))
        await plane.start()
        certificate = authority.issue_certificate(plane.folder / "tls", "gateways", ["gateways"], client=True)
        shown = certificate_fingerprint(ssl.PEM_cert_to_DER_cert(certificate.read_text()))
        held: dict[int, int] = {}
        news = asyncio.Event()

        def apply(number: int, made: Catalog) -> None:
            held[number] = made.version
            news.set()

        async with plane.client() as root:
            await change(root, "PUT", "/v1/operators/gateways", {"scope": "gateway", "certificate": shown})
            await seed(root, "acme")
            context = client_tls_context(
                str(plane.folder / "tls" / "ca.crt"), str(certificate), str(certificate.with_suffix(".key"))
            )
            tasks = [
                asyncio.create_task(
                    FeedClient(
                        plane.url,
                        context,
                        f"gateway-{n}",
                        CatalogCache(plane.folder / f"saved-{n}"),
                        lambda made, n=n: apply(n, made),  # type: ignore[misc]
                    ).run()
                )
                for n in range(GATEWAYS)
            ]
            for number in range(count):
                done = await change(
                    root, "PUT", "/v1/tenants/acme/plans/small-shop", {"rate": 1.0 + number, "burst": 9.0}, If_Match="*"
                )
                began = time.monotonic()
                version = int(done.headers["etag"].strip('"').partition(".")[2])
                while len(held) < GATEWAYS or min(held.values()) < version:
                    news.clear()
                    await news.wait()
                found.append((time.monotonic() - began) * 1000)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await plane.stop()
    return found[5:]  # the first ones wait for connections


def large(clients: int) -> Catalog:
    """1,000 tenants with so many clients together."""

    def rows() -> list[Row]:
        made = []
        for t in range(1000):
            name = f"tenant-{t}"
            made.append(Row(name, Kind.TENANT, name, 1, Head(limits=Limits(clients=clients))))
            made.append(Row(name, Kind.PLAN, "small-shop", 1, Plan(1.0, 3.0)))
            made += [Row(name, Kind.CLIENT, f"client-{n}", 1, Client("small-shop")) for n in range(clients // 1000)]
        return made

    return build_catalog(1, 1, rows(), {f"tenant-{t}": (1, 1) for t in range(1000)})


def whole(clients: int) -> tuple[list[float], list[float], float]:
    """ms of each line's making and taking in, and MiB that the process has grown by when both catalogues are held."""
    old = large(clients)
    newest = Catalog(2, 2, old.tenants, old.operators, old.hosts, old.checksum)
    follower = FeedFollower(old, random.Random(1))
    gc.collect()
    gc.freeze()  # as a gateway does once it serves
    gc.set_threshold(20_000, 20, 20)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    lines, makes, takes = snapshot_lines(newest), [], []
    while True:
        began = time.perf_counter()
        line = next(lines, None)
        made = time.perf_counter()
        if line is None:
            break
        follower.receive_line(line)
        makes.append((made - began) * 1000)
        takes.append((time.perf_counter() - made) * 1000)
    assert follower.version == (2, 2)
    return makes, takes, (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--clients", type=int, default=200_000)
    parser.add_argument("--write", type=Path)
    told = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    took = asyncio.run(changes(told.changes))
    makes, takes, grown = whole(told.clients)
    text = "\n".join(
        [
            "# The feed",
            "",
            f"`python -m benchmarks.feed --changes {told.changes} --clients {told.clients}`",
            "",
            f"From the answer to a change until all {GATEWAYS} gateways have applied it (links in one process, no "
            f"other load): median {np.median(took):.1f} ms, 99th percentile {np.percentile(took, 99):.1f} ms, "
            f"most {max(took):.1f} ms, over {len(took)} changes.",
            "",
            f"A whole catalogue of 1,000 tenants and {told.clients} clients, line by line ({len(takes)} lines):",
            "",
            "| | in all, s | median step, ms | 99.9th percentile, ms | longest step, ms |",
            "| --- | --- | --- | --- | --- |",
            *(
                f"| {name} | {sum(steps) / 1000:.2f} | {np.median(steps):.2f} | {np.percentile(steps, 99.9):.2f} | "
                f"{max(steps):.2f} |"
                for name, steps in (("control plane, making", makes), ("gateway, taking in", takes))
            ),
            "",
            f"The process grows by {grown:.0f} MiB at its peak while the gateway holds the old and the new.",
            "",
        ]
    )
    print(text)
    if told.write:
        told.write.write_text(text)


if __name__ == "__main__":
    main()
