"""What one more route, tenant, backend or gateway costs a process: the slopes behind docs/CAPACITY.md.

Plain calls without processes or sockets. Processor time is this thread's own, so that a busy machine does not show in
it. Each size is measured in a process of its own, so that memory is that of this size alone.
"""

from __future__ import annotations

import asyncio
import gc
import json
import multiprocessing
import os
import random
import tempfile
import time
import tracemalloc
import zlib
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

from benchmarks.resident import resident
from hallhitch.messages.system_pb2 import (
    BackendUpdate,
    ClusterState,
    Envelope,
    GatewayUpdate,
    LeaseHolderUpdate,
    StateRequest,
)
from hallhitch.node.errors import RequestTimeout
from hallhitch.node.settings import NodeSettings
from hallhitch.node.settings_file import read_settings
from hallhitch.planes.control import config_validation, state_transitions
from hallhitch.planes.control.errors import ConfigTooLargeError
from hallhitch.planes.control.plane import ControlPlane
from hallhitch.planes.data.interfaces import Forward, Outcome, RequestInfo
from hallhitch.planes.data.load_balancer import LoadBalancer, LoadBalancerSettings
from hallhitch.planes.discovery.directory import nearest_gateways
from hallhitch.planes.discovery.endpoint_list import ListedBackend, read_page
from hallhitch.planes.discovery.gateway_registry import merge_gateways
from hallhitch.planes.distribution.config_compiler import compile_config
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.distribution.state_messages import encode_backend, encode_gateway
from hallhitch.planes.distribution.versioned_map import VersionedMap
from hallhitch.planes.quota import lease_messages
from hallhitch.planes.quota.bucket_placement import rank_gateways
from hallhitch.planes.quota.lease import LeaseClaim, UsageReport
from hallhitch.planes.quota.limits import QuotaRule, RateLimit
from hallhitch.planes.quota.tenant_counter import TenantCounter
from hallhitch.planes.values import Backend, ClusterConfig, Gateway, RequestKind, Route, Service, WeightedService

LETTERS = "abcdefghijkmnpqrstuvwxyz23456789"
LARGE = 1e7  # bytes of a configuration from which the kernel tells what it holds; tracing takes too long
Row = Sequence[object]


def table(title: str, heads: Sequence[str], rows: Sequence[Row]) -> None:
    """Print a table as the pages write it."""
    print(f"\n### {title}\n\n| {' | '.join(heads)} |\n|{' --- |' * len(heads)}")
    for row in rows:
        print(
            "| "
            + " | ".join(
                f"{v:,.4g}"
                if isinstance(v, float) and v < 1000
                else f"{v:,.0f}"
                if isinstance(v, float | int)
                else str(v)
                for v in row
            )
            + " |",
            flush=True,
        )


def apart(call: Callable[..., Row], *arguments: Any) -> Row:
    """Its result, reckoned in a process of its own."""
    with multiprocessing.get_context("fork").Pool(1) as pool:
        return pool.apply(call, arguments)


def spent(call: Callable[[], object], least: float = 0.15, most: int = 100_000) -> float:
    """Microseconds of processor time that one call takes: the mean over `least` seconds, one call at least."""
    began, count = time.thread_time(), 0
    while count < most and (time.thread_time() - began < least or not count):
        call()
        count += 1
    return (time.thread_time() - began) / count * 1e6


def traced(build: Callable[[], object]) -> float:
    """Bytes of the interpreter's own memory that what it builds holds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size) if kept is not None else 0.0


def config(version: int, routes: int, tenants: int, services: int = 10) -> bytes:
    """A configuration of that size: names and keys at random, as operators have them."""
    draw = random.Random(version)

    def word(length: int) -> str:
        return "".join(draw.choices(LETTERS, k=length))

    names = [f"{word(6)}{number}" for number in range(services)]
    return json.dumps(
        {
            "configVersion": version,
            "routes": {
                f"r-{word(7)}{n}": {
                    "host": f"{word(5)}{n % 997}.example",
                    "pathPrefix": f"/{word(4)}{n}/",
                    "routeKind": "idempotent",
                    "timeout": "3000ms",
                    "targetLatency": "800ms",
                    "priority": n % 4,
                    "targetService": draw.choice(names),
                    "maxAttempts": 2,
                    "public": False,
                    "allowedRegions": [],
                }
                for n in range(routes)
            },
            "services": {
                name: {
                    "healthPath": "/health",
                    "maxConnections": 100,
                    "protocol": "h1",
                    "tls": False,
                    "coldStart": "3s",
                    "coldPerS": 12.0,
                }
                for name in names
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
            "tenants": {
                f"{word(4)}{n}": {
                    "apiKeys": [word(20), word(20)],
                    "priority": 1,
                    "ratePerS": 1e6,
                    "burstSize": 1e6,
                    "allowedRegions": [],
                }
                for n in range(tenants)
            },
        }
    ).encode()


def backend(number: int, service: str = "", cold: float = 0.0) -> ListedBackend:
    """One entry of the platform's list."""
    return ListedBackend(
        f"i-{number * 2654435761 % 2**32:08x}",
        service or f"huvo{number % 610}",
        f"10.{number // 65536}.{number // 256 % 256}.{number % 256}",
        8080,
        f"namaka-{number % 58}",
        3,
        False,
        cold,
    )


def gateway(number: int) -> Gateway:
    """One gateway, as the others know it."""
    zone = number % 58
    host = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
    return Gateway(
        f"edge-{zone}-{number}",
        f"{host}:7560",
        number * 2654435761 % 2**62 + 1,
        "edge",
        f"namaka-{zone}",
        f"region-{zone % 28}",
        f"{host}:8388",
        True,
    )


def word_size(routes: int, tenants: int) -> Row:
    """Bytes of a word, the time to read it, and the memory it holds (by the kernel where that is exact enough)."""
    body = config(1, routes, tenants)
    raw, content = len(body), zlib.compress(body, 6)
    del body
    gc.collect()
    gc.collect()
    before, began = resident(), time.thread_time()
    word = compile_config(1, 1, content, ())
    took = time.thread_time() - began
    gc.collect()
    held, peak = (resident() - before) * 1024.0, resident(field="VmHWM") * 1024.0
    del word
    if raw < LARGE:
        held = traced(lambda: compile_config(1, 1, content, ()))
    return routes, tenants, raw / 1e6, len(content) / 1e6, took * 1000, held / 1e6, peak / 1e6


def news_of_backends(count: int) -> Row:
    """What a list of so many costs on the wire and at each process that follows it."""
    entries = [backend(n) for n in range(count)]
    size = len(BackendUpdate(entries=[encode_backend(e, 0.0) for e in entries]).SerializeToString()) / count

    def taken() -> StateHub:
        hub = StateHub(1)
        hub.update_backends(1.0, [backend(n) for n in range(count)])
        return hub

    held, hub, pull = traced(taken) / count, taken(), StateRequest()
    pull.known_versions["backends"].epoch, pull.known_versions["backends"].number = 1, hub.backends.number
    moment = [1.0]

    def again() -> None:
        moment[0] += 1
        hub.update_backends(moment[0], entries)

    unchanged = spent(again)
    whole = spent(lambda: hub.build_update(StateRequest()))
    hub.update_backends(moment[0] + 1, [replace(entries[0], is_draining=True), *entries[1:]])
    changed = hub.build_update(pull)
    assert changed is not None and len(changed.backends.entries) == 1
    page = json.dumps(
        {
            "instances": {
                "columnNames": [
                    "instanceId",
                    "targetService",
                    "address",
                    "zone",
                    "slotCount",
                    "state",
                    "coldRemaining",
                ],
                "rowValues": [
                    [e.instance, e.service, f"{e.host}:{e.port}", e.zone, 3, "ready", "0ms"] for e in entries
                ],
            }
        }
    ).encode()
    return (
        count,
        size,
        len(Envelope(state_update=changed).SerializeToString()),
        held,
        unchanged / 1000,
        whole / 1000,
        spent(lambda: hub.build_update(pull)) / 1000,
        spent(lambda: read_page(page, 0.0)) / 1000,
    )


def news_of_gateways(count: int) -> Row:
    """What so many gateways cost on the wire, at a coordinator for each pull, and at a gateway for each change."""
    entries = [gateway(n) for n in range(count)]
    known = {g.address: g for g in entries}
    size = len(GatewayUpdate(entries=[encode_gateway(g) for g in entries]).SerializeToString()) / count
    hub: VersionedMap[Gateway] = VersionedMap(1)
    hub.replace(known)
    parts = [{g.address: g for g in entries[n::3]} for n in range(3)]
    return (
        count,
        size,
        spent(lambda: hub.replace(merge_gateways(parts[0], parts[1:]))) / 1000,
        spent(lambda: rank_gateways(known)) / 1000,
        spent(lambda: nearest_gateways(entries, "region-3", "namaka-3", {})) / 1000,
    )


def map_of_holders(buckets: int) -> Row:
    """Bytes of the map of holders, which goes whole with each change."""
    holders = {bucket: gateway(bucket).address for bucket in range(buckets)}
    return buckets, len(LeaseHolderUpdate(holders=holders).SerializeToString())


def choosing(backends: int, gateways: int) -> Row:
    """One decision over so many backends of one service, and a rebuild of its endpoints, seen from one gateway."""
    service = Service("s", "/health", 100, 0.0, 0.0)
    services = (WeightedService("s", 1.0),)
    route = Route("r", "h", "/", RequestKind.IDEMPOTENT, 3000.0, 800.0, 0, services, 2, True)
    own = gateway(0)
    config = ClusterConfig(1, 1, {"h": (route,)}, {"s": service}, {}, {})
    peers = [replace(gateway(n * 28), zone=f"namaka-{n % 2 * 28}", region="region-0") for n in range(1, gateways)]
    entries = [Backend(f"i-{n}", "s", "10.0.0.1", n, f"namaka-{n % 2 * 28}", "region-0", 3) for n in range(backends)]

    def build() -> LoadBalancer:
        balancer = LoadBalancer(LoadBalancerSettings(own.name, own.zone, own.region), random.Random(1))
        balancer.set_config(0.0, config)
        balancer.set_gateways(0.0, [own, *peers])
        balancer.set_backends(0.0, entries)
        return balancer

    started = time.thread_time()
    balancer = build()
    build_s = time.thread_time() - started
    now = [10_000.0]

    def run_request() -> None:
        now[0] += 1.0
        state = balancer.begin_request(now[0], RequestInfo(route, "s", frozenset(), 0, now[0], now[0] + 3000.0))
        action = balancer.next_action(now[0], state)
        if isinstance(action, Forward):
            balancer.on_attempt_ended(now[0], state, action.backend, Outcome.OK, 5.0)
        balancer.finish_request(now[0], state)

    request_us = spent(run_request)

    def change_list() -> None:
        now[0] += 1.0
        balancer.set_backends(now[0], entries if int(now[0]) % 2 else entries[1:])

    rebuild_us = spent(change_list)
    return backends, gateways, request_us, build_s * 1000, rebuild_us / 1000, traced(build) / 1e6


def counting(tenants: int) -> Row:
    """One add at the holder, its memory a tenant, and the account of one bucket that goes with each claim."""
    names = [f"tenant{n}" for n in range(tenants)]
    moment, turn = [1e6], [0]
    limit = RateLimit(100.0, 100.0)

    def filled() -> TenantCounter:
        holder = TenantCounter(QuotaRule(5000.0, 0.1, 20.0), 1)
        for name in names:
            holder.add(moment[0], name, 1, limit)
        return holder

    held, holder = traced(filled) / tenants, filled()

    def one() -> None:
        moment[0] += 0.01
        turn[0] += 1
        holder.add(moment[0], names[turn[0] % tenants], 1, limit)

    each = spent(one)
    began = time.thread_time()
    reports = {bucket: holder.usage_report(bucket, moment[0]) for bucket in range(128)}
    reports = {bucket: report for bucket, report in reports.items() if not report.is_empty}
    gathered = time.thread_time() - began
    claim = LeaseClaim("10.0.0.1:7560", 1, 1, 1, renew=range(128), usage_reports=reports)
    size = len(lease_messages.encode_claim(claim, 1).SerializeToString())
    return tenants, each, held, size / tenants, gathered / tenants * 1e6


def accounted(tenants: int) -> Row:
    """The same at a coordinator: reading a claim with accounts of so many tenants."""
    sums = {f"tenant{n}": (1, 0, 0, 0, 0, 0, 0, 0) for n in range(tenants)}
    data = lease_messages.encode_claim(
        LeaseClaim("10.0.0.1:7560", 1, 1, 1, renew=(1,), usage_reports={1: UsageReport(sums)}), 1
    )
    return tenants, spent(lambda: lease_messages.decode_claim(data)) / tenants


def checking(routes: int, tenants: int) -> Row:
    """Reading and checking an operator's configuration, and packing it."""
    body = config(1, routes, tenants)
    try:
        config_validation.validate_config(body)
        took: object = spent(lambda: config_validation.validate_config(body), least=0.05) / 1000
    except ConfigTooLargeError:
        took = "413: too large"
    return routes, tenants, len(body) / 1e6, took, spent(lambda: zlib.compress(body, 6), least=0.0) / 1000


class _Direct:
    """Links without sockets: a call is handled at once."""

    def __init__(self) -> None:
        self.planes: dict[str, ControlPlane] = {}

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        plane = self.planes.get(address)
        answer = plane.handle(envelope) if plane is not None else None
        if answer is None:
            raise RequestTimeout("call", address, "nobody is there")
        return await answer if isinstance(answer, Awaitable) else answer


def register_change(routes: int, node: NodeSettings) -> Row:
    """A change of the word over three replicas with files in a temporary folder: wall and processor time of all."""
    return asyncio.run(_register_change(routes, node))


async def _register_change(routes: int, node: NodeSettings) -> Row:
    wall, busy = list[float](), list[float]()
    with tempfile.TemporaryDirectory() as folder:
        links, first = _Direct(), None
        for address, _ in node.seed_nodes:
            data = Path(folder) / address
            data.mkdir()
            plane = ControlPlane(
                replace(node, ip_address=address, data_directory=data, is_first_start=True), links, _ignored
            )
            links.planes[plane.address] = plane
            first = first or plane
        await asyncio.gather(*(plane.start() for plane in links.planes.values()))
        assert first is not None
        for version in range(1, 6):
            content = zlib.compress(config(version, routes, 10), 6)
            began, used = time.monotonic(), time.process_time()
            await first.propose(state_transitions.replace_config(version, content), 10_000.0)
            wall.append((time.monotonic() - began) * 1000)
            busy.append((time.process_time() - used) * 1000)
        written = sum(file.stat().st_size for file in Path(folder).rglob("*") if file.is_file())
        for plane in links.planes.values():
            await plane.stop()
    return routes, sorted(wall)[2], sorted(busy)[2], written / 3e6


def _ignored(value: ClusterState) -> None:
    pass


def slopes(settings: Path) -> None:
    """All tables; `settings` is a coordinator's settings file with three seeds."""
    node = read_settings(str(settings))
    table(
        "The word: routes and tenants (command: word_size)",
        ["routes", "tenants", "JSON MB", "zlib MB", "read ms", "held MB", "process at most MB"],
        [
            apart(word_size, *size)
            for size in (
                (200, 10),
                (2000, 10),
                (20_000, 10),
                (54_000, 10),
                (200, 1000),
                (200, 10_000),
                (200, 100_000),
                (200, 640_000),
            )
        ],
    )
    table(
        "Backends (news_of_backends)",
        [
            "backends",
            "bytes each on the wire",
            "bytes of news of one changed",
            "bytes held each in the hub",
            "taking an unchanged list ms",
            "news of all ms",
            "news of one ms",
            "reading the platform's pages ms",
        ],
        [apart(news_of_backends, count) for count in (350, 3500, 35_000)],
    )
    table(
        "Gateways (news_of_gateways)",
        [
            "gateways",
            "bytes each on the wire",
            "union at a coordinator, a pull ms",
            "order of buckets, a change ms",
            "one answer of the directory ms",
        ],
        [apart(news_of_gateways, count) for count in (9, 150, 1500, 15_000)],
    )
    table("Holders (map_of_holders)", ["buckets", "bytes"], [map_of_holders(count) for count in (128, 3584)])
    table(
        "Choosing (choosing; all in one region of two zones)",
        [
            "backends of the service",
            "gateways of the region",
            "one request us",
            "first sorting ms",
            "sorting anew, one came or went, ms",
            "memory MB",
        ],
        [apart(choosing, *size) for size in ((36, 9), (150, 9), (1000, 9), (150, 36), (150, 144), (1000, 144))],
    )
    table(
        "Counting tenants (counting, accounted)",
        [
            "tenants",
            "one add us",
            "bytes held each",
            "bytes each in a claim",
            "account us each",
            "reading at a coordinator us each",
        ],
        [(*apart(counting, count), apart(accounted, count)[1]) for count in (1000, 10_000, 100_000)],
    )
    table(
        "Checking (checking)",
        ["routes", "tenants", "JSON MB", "check ms", "zlib ms"],
        [
            apart(checking, *size)
            for size in (
                (200, 10),
                (2000, 10),
                (20_000, 10),
                (54_000, 10),
                (200, 10_000),
                (200, 100_000),
                (200, 640_000),
            )
        ],
    )
    table(
        "A change of the register, three replicas in one process (register_change)",
        ["routes", "wall ms (median of 5)", "processor ms of all three", "MB on disk, one replica"],
        [apart(register_change, routes, node) for routes in (200, 2000, 20_000, 54_000)],
    )
    print(f"\n{os.cpu_count()} processors, load {os.getloadavg()[0]:.0f}, Python on {os.uname().machine}")
