"""What the control plane costs: start, memory, durable changes, reads beside them, and answers on another's things.

    python -m benchmarks.control_plane [--tenants 1000] [--clients 200] [--seconds 8] [--write docs/measured/...]

Every figure of the table is of this one run. Callers are processes of their own, each with plain sockets over TLS and
requests made ahead, so that what is measured is the server.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import os
import platform
import resource
import signal
import sqlite3
import ssl
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import numpy as np

from benchmarks.resident import resident
from hallhitch.administration.backups import backup
from hallhitch.administration.settings import AdministrationSettings
from hallhitch.administration.store import SNAPSHOT_CHUNK_ROWS, write_snapshot_head
from hallhitch.administration.store_files import connect
from hallhitch.administration.store_folder import open_store
from hallhitch.administration.store_records import columns_checksum
from hallhitch.catalog.draft import build_catalog
from hallhitch.catalog.history import encode_rows
from hallhitch.catalog.model import Client, Credential, Head, Kind, Limits, Plan, Scope, Verifier
from hallhitch.catalog.rows import Row, catalog_rows
from hallhitch.settings_file import read
from tests.administration_process import AdministrationProcess

ADMINS = 32


def fill(service: AdministrationProcess, tenants: int, clients: int) -> None:
    """Put a catalogue of that size in the store as its snapshot and state, and 1,000 changes behind it."""
    folder = service.folder / "store"
    opened = open_store(read(str(service.settings_file), AdministrationSettings), str(service.settings_file))
    store = opened.store
    keys = opened.keys
    was = store.load().catalog
    store.close()
    rows = list(catalog_rows(was))
    version = was.version + 1
    for number in range(tenants):
        name = f"tenant-{number:04}"
        rows.append(Row(name, Kind.TENANT, name, version, Head(True, Limits(clients=10**6, rate=1e9))))
        rows.append(Row(name, Kind.PLAN, "small-shop", version, Plan(1.5, 4.0)))
        rows += [Row(name, Kind.CLIENT, f"{number:08x}{n:08x}", version, Client("small-shop")) for n in range(clients)]
        rows.append(
            Row(
                name,
                Kind.CREDENTIAL,
                "boss",
                version,
                Credential(Scope.ADMIN, (Verifier(keys.hash_client_key("x" * 43)),)),
            )
        )  # a fast hash: the first argon2 check is not the subject
    parts = {row.tenant: (version, version) for row in rows if row.kind is Kind.TENANT}
    made = build_catalog(was.epoch, version, rows, parts)
    db = connect(folder / "state.db")
    db.execute("BEGIN")
    for table in ("change", "snapshot", "piece", "row", "part"):
        db.execute(f"DELETE FROM {table}")
    db.executemany(
        "INSERT INTO row VALUES (?,?,?,?,?)",
        [(r.tenant, r.kind.value, r.name, r.version, r.encoded_value()) for r in rows],
    )
    db.executemany("INSERT INTO part VALUES (?,?,?)", [(name, *part) for name, part in parts.items()])
    pieces = 0
    for start in range(0, len(rows), SNAPSHOT_CHUNK_ROWS):
        body = encode_rows(rows[start : start + SNAPSHOT_CHUNK_ROWS])
        db.execute("INSERT INTO piece VALUES (7,?,?,?)", (pieces, body, columns_checksum(7, pieces, body)))
        pieces += 1
    write_snapshot_head(db, 7, made, pieces)
    db.execute("COMMIT")
    db.close()


def request(method: str, path: str, token: str, key: str = "", body: bytes = b"") -> bytes:
    """A request's bytes."""
    lines = [f"{method} {path} HTTP/1.1", "Host: localhost", f"Authorization: Bearer {token}"]
    if method != "GET":
        lines += [f"Idempotency-Key: {key}", "Content-Type: application/json", f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def answer(reader: asyncio.StreamReader) -> int:
    """A response's status, once it is whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
    if length:
        await reader.readexactly(int(length))
    return int(head[9:12])


def _calls(kind: str, port: int, ca: str, number: int, tenants: int, seconds: float, pipe: Any) -> None:
    """One caller's process: calls one behind another for some seconds; the times of all, in ms, and the failures."""

    async def run() -> tuple[list[float], int]:
        context = ssl.create_default_context(cafile=ca)
        reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
        times, failed, turn = [], 0, 0
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            tenant = f"tenant-{(number * 31 + turn) % tenants:04}"
            token = f"hh_{tenant}.boss.{'x' * 43}"
            turn += 1
            if kind == "change":
                data = request(
                    "PUT",
                    f"/v1/tenants/{tenant}/clients/new-{os.getpid()}-{turn}",
                    token,
                    f"{number}-{turn}-{os.getpid()}",
                    b'{"plan":"small-shop"}',
                )
            elif kind == "read":
                data = request(
                    "GET",
                    f"/v1/tenants/{tenant}/clients/{(number * 31 + turn - 1) % tenants:08x}{turn % 100:08x}",
                    token,
                )
            else:  # "there" or "absent": another tenant's thing, or one that is not there at all
                other = "tenant-0001" if kind == "there" else "tenant-none"
                data = request(
                    "GET", f"/v1/tenants/{other}/clients/{1:08x}{turn % 100:08x}", f"hh_tenant-0000.boss.{'x' * 43}"
                )
            began = time.perf_counter()
            writer.write(data)
            status = await answer(reader)
            times.append((time.perf_counter() - began) * 1000)
            failed += status not in ({"change": (201,), "read": (200,)}.get(kind, (404,)))
        writer.close()
        return times, failed

    pipe.send(asyncio.run(run()))


def callers(
    service: AdministrationProcess, tenants: int, seconds: float, **kinds: int
) -> dict[str, tuple[list[float], int]]:
    """Run callers of several kinds at once."""
    port, ca = int(service.url.rpartition(":")[2]), str(service.folder / "tls" / "ca.crt")
    context = multiprocessing.get_context("fork")
    running = []
    for kind, count in kinds.items():
        for number in range(count):
            ours, theirs = context.Pipe()
            process = context.Process(target=_calls, args=(kind, port, ca, number, tenants, seconds, theirs))
            process.start()
            running.append((kind, ours, process))
    found: dict[str, tuple[list[float], int]] = {kind: ([], 0) for kind in kinds}
    for kind, pipe, process in running:
        times, failed = pipe.recv()
        process.join()
        found[kind] = found[kind][0] + times, found[kind][1] + failed
    return found


def start(service: AdministrationProcess) -> tuple[subprocess.Popen[str], float, int]:
    """Start the program: the process, seconds until it serves, its resident KiB then."""
    began = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, "-O", "-m", "hallhitch", "control", "serve", str(service.settings_file)],
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stderr is not None
    for line in process.stderr:
        if '"serving"' in line:
            break
    took = time.perf_counter() - began
    return process, took, resident(process.pid)


def stop(process: subprocess.Popen[str]) -> None:
    """End it."""
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=60)


def syncs(folder: Path) -> float:
    """Transactions a second of one row each, by SQLite alone with the same settings: what the disk's sync bounds."""
    db = sqlite3.connect(folder / "alone.db", isolation_level=None)
    db.execute("PRAGMA journal_mode=WAL")
    db.execute("PRAGMA synchronous=FULL")
    db.execute("CREATE TABLE t (a)")
    began, count = time.perf_counter(), 0
    while time.perf_counter() - began < 2:
        db.execute("INSERT INTO t VALUES (1)")
        count += 1
    db.close()
    return count / (time.perf_counter() - began)


def per(values: list[float], share: float) -> float:
    """A percentile."""
    return float(np.percentile(values, share)) if values else float("nan")


def measure(tenants: int, clients: int, seconds: float) -> list[tuple[str, str, str]]:
    """All rows of the table: what, the figure, what bounds it."""
    total = tenants * clients
    with tempfile.TemporaryDirectory() as place:
        service = AdministrationProcess(Path(place))
        for _ in range(2):  # the first has its modules compiled
            process, empty_s, empty_kib = start(service)
            stop(process)
        fill(service, tenants, clients)
        starts = []
        for _ in range(3):
            process, took, kib = start(service)
            starts.append(took)
            stop(process)
        rows = [
            ("start, empty store", f"{empty_s:.2f} s", "imports of the framework, and one argon2 context"),
            (
                f"start, {total:,} clients of {tenants:,} tenants",
                f"{statistics.median(starts):.2f} s ({statistics.median(starts) - empty_s:.2f} s over the empty one)",
                "one core: decoding, hashing and indexing each row, then hashing the stored state",
            ),
            (
                "resident memory after it",
                f"{kib / 1024:.0f} MiB ({empty_kib / 1024:.0f} empty); "
                f"{(kib - empty_kib) / 1024 / total * 1e5:.1f} MiB per 100,000 clients",
                "objects and the persistent map's nodes",
            ),
            ("transactions of one row, SQLite alone", f"{syncs(Path(place)):.0f} a second", "this disk's sync"),
        ]
        process, *_ = start(service)
        for admins in (1, ADMINS):
            times, failed = callers(service, tenants, seconds, change=admins)["change"]
            rows.append(
                (
                    f"durable changes, {admins} at once",
                    f"{len(times) / seconds:.0f} a second, p50 {per(times, 50):.1f} ms, "
                    f"p99 {per(times, 99):.1f} ms, {failed} failed",
                    "one call's way through TLS, framework, writer and one sync"
                    if admins == 1
                    else "one core of Python: HTTP, TLS and framework; syncs are shared",
                )
            )
        alone, failed = callers(service, tenants, seconds, read=2)["read"]
        rows.append(
            (
                "reads, 2 at once, alone",
                f"p50 {per(alone, 50):.1f} ms, p99 {per(alone, 99):.1f} ms, {failed} failed",
                "the framework",
            )
        )
        both = callers(service, tenants, seconds, read=2, change=ADMINS)
        rows.append(
            (
                f"reads, 2 at once, beside {ADMINS} who change",
                f"p50 {per(both['read'][0], 50):.1f} ms, p99 {per(both['read'][0], 99):.1f} ms, at "
                f"{len(both['change'][0]) / seconds:.0f} changes a second",
                "the same core: a read waits its turn behind changes",
            )
        )
        pairs = callers(service, tenants, seconds, there=1, absent=1)
        there, absent = pairs["there"][0], pairs["absent"][0]
        least = min(len(there), len(absent))
        rng = np.random.default_rng(1)
        draws = [np.median(rng.choice(there, least)) / np.median(rng.choice(absent, least)) for _ in range(400)]
        rows.append(
            (
                "answer on another tenant's thing / on none at all",
                f"medians' ratio {np.median(there) / np.median(absent):.3f} "
                f"(95 %: {np.percentile(draws, 2.5):.3f} to {np.percentile(draws, 97.5):.3f}, {least} pairs)",
                "the guard answers both before anything is looked up",
            )
        )
        began = time.perf_counter()
        backup(service.folder / "store", service.folder / "saved.db")
        size = (service.folder / "saved.db").stat().st_size / 1e6
        rows.append(
            (
                "backup and its verification, in service",
                f"{time.perf_counter() - began:.1f} s, {size:.0f} MB",
                "verification rebuilds the catalogue",
            )
        )
        stop(process)
        process, took, _ = start(service)
        rows.append(("start after these changes", f"{took:.2f} s", "the log behind the last snapshot is replayed"))
        stop(process)
    return rows


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tenants", type=int, default=1000)
    parser.add_argument("--clients", type=int, default=200, help="of each tenant")
    parser.add_argument("--seconds", type=float, default=8.0, help="of each measure")
    parser.add_argument("--write", type=Path, help="a file for the table")
    told = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, 4096))
    rows = measure(told.tenants, told.clients, told.seconds)
    lines = [
        "# What the control plane costs",
        "",
        f"`python -m benchmarks.control_plane --tenants {told.tenants} --clients {told.clients} "
        f"--seconds {told.seconds:g}`, one run, {os.cpu_count()} cores, {platform.machine()}, "
        f"Python {platform.python_version()}. Absolute figures are this machine's; "
        "docs/design/control-plane.md says how they grow.",
        "",
        "| what | measured | bounded by |",
        "| --- | --- | --- |",
        *(f"| {' | '.join(row)} |" for row in rows),
        "",
    ]
    print("\n".join(lines))
    if told.write:
        told.write.write_text("\n".join(lines))


if __name__ == "__main__":
    main()
