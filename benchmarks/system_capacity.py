"""What the control side costs as gateways are added: three real coordinators, many hollow gateways, all on loopback.

    python -O -m benchmarks.system_capacity [--sizes 9,36,86,144,300] [--only slopes|fleet]

A hollow gateway is the hub, the follower, the quota plane and the links of a gateway, with an address of its own,
without the data plane; many of them live in one process. Prints tables; stops by itself after a few minutes. It starts
and ends its own coordinators and processes of hollow gateways, and nothing else.
"""

from __future__ import annotations

import argparse
import asyncio
import functools
import http.client
import json
import logging
import os
import random
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.capacity_slopes import backend, config, slopes, table
from benchmarks.resident import resident
from hallhitch.messages.peer_links import PeerLinks
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node import logs
from hallhitch.node.clock import now
from hallhitch.node.http_server import HttpReply, HttpServer
from hallhitch.node.settings import NodeSettings
from hallhitch.node.settings_file import read_settings
from hallhitch.planes.distribution.config_compiler import EMPTY_CONFIG, compile_config
from hallhitch.planes.distribution.gateway_sync import GatewaySync
from hallhitch.planes.distribution.ports import SyncContext
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.distribution.versioned_map import Version
from hallhitch.planes.quota import bucket_placement
from hallhitch.planes.quota.limits import BUCKET_COUNT
from hallhitch.planes.quota.plane import QuotaPlane
from hallhitch.planes.values import Gateway

PORT = 26_180  # internal; the operator's is 8 above, the list's 9 above
ZONES = {f"zone-{n}": f"region-{n % 3}" for n in range(6)}
LISTED, PAGE, TENANTS, ROUTES = 100, 50, 64, 50
SETTLE, REST, WINDOW, SPREAD = 12.0, 7.0, 4.0, 2.5  # s at most; after REST buckets move no more
TEAM, START = 50, 1.5  # hollow gateways in one process, and the s in which they start
STEP = 110.0  # s after which a size is given up, and the larger ones with it; a third of it on a quiet machine
RATE = 4.0  # counts a second that each hollow gateway asks for in the second window
TICKS = os.sysconf("SC_CLK_TCK")
KEPT = ("PATH", "HOME", "LANG", "VIRTUAL_ENV")


def settings(folder: Path, step: int, core: int) -> Path:
    """Write the settings file of one coordinator."""
    hosts = [f"127.1.{step}.{n + 1}" for n in range(3)]
    data = folder / f"core-{core}" / "data"
    data.mkdir(parents=True, exist_ok=True)
    top: dict[str, Any] = {
        "nodeName": f"core-{core}",
        "role": "coordinator",
        "machineClass": "core",
        "serves": ["control_plane"],
        "ipAddress": hosts[core],
        "zone": f"zone-{core}",
        "region": ZONES[f"zone-{core}"],
        "internalPortRange": [PORT, PORT + 7],
        "seedNodes": [f"{host}:{PORT + 8}" for host in hosts],
        "firstStart": True,
        "dataDirectory": str(data),
    }
    tables: Mapping[str, Mapping[str, Any]] = {
        "zones": ZONES,
        "listenAddresses": {"controlPlane": f"{hosts[core]}:{PORT + 8}"},
        "faultTolerance": {"machineLosses": 1},
        "cloudApi": {"address": f"127.1.{step}.9:{PORT + 9}", "ratePerS": 47.0, "maxLag": "800ms"},
    }
    lines = [f"{name} = {json.dumps(value)}" for name, value in top.items()]
    for name, rows in tables.items():
        lines += [f"[{name}]", *(f"{key} = {json.dumps(value)}" for key, value in rows.items())]
    path = data.parent / "settings.toml"
    path.write_text("\n".join(lines) + "\n")
    return path


class Listing:
    """A stand-in of the platform's list: pages of backends, of which some drain."""

    def __init__(self) -> None:
        self.entries = [backend(n) for n in range(LISTED)]
        self.draining: set[str] = set()
        self.calls = 0

    def call(self, method: str, target: str, body: bytes) -> HttpReply:
        """One page."""
        self.calls += 1
        begin = int(target.partition("pageToken=")[2] or 0)
        rows = [
            [
                e.instance,
                e.service,
                f"{e.host}:{e.port}",
                e.zone,
                e.slots,
                "draining" if e.instance in self.draining else "ready",
            ]
            for e in self.entries[begin : begin + PAGE]
        ]
        more = str(begin + PAGE) if begin + PAGE < len(self.entries) else None
        page = {
            "instances": {
                "columnNames": ["instanceId", "targetService", "address", "zone", "slotCount", "state"],
                "rowValues": rows,
            },
            "nextPageToken": more,
        }
        return HttpReply(200, {"Content-Type": "application/json"}, json.dumps(page).encode())


class Hollow:
    """A gateway without its data plane."""

    def __init__(self, number: int, node: NodeSettings) -> None:
        zone, step = f"zone-{number % 6}", int(node.ip_address.split(".")[2])
        self.node = replace(
            node,
            name=f"edge-{number}",
            role="gateway",
            machine_class="edge",
            data_directory=None,
            cloud_api_address=None,
            zone=zone,
            region=ZONES[zone],
            ip_address=f"127.{10 * step + number // 250}.{number % 250 + 1}.1",
            listen_addresses={},
        )
        self.incarnation = random.getrandbits(60) + 1
        self.links = PeerLinks(node.cluster_name, self._handle)
        self.hub = StateHub(self.incarnation)
        self.follower = GatewaySync(SyncContext(self.links, self.hub, self._own), node.seed_addresses)
        self.quota = QuotaPlane(self.node, self.links)
        self.config, self._gateways = EMPTY_CONFIG, Version()

    def _own(self) -> Gateway:
        n = self.node
        return Gateway(
            n.name, n.internal_address, self.incarnation, "edge", n.zone, n.region, f"{n.ip_address}:{PORT + 8}", True
        )

    def _handle(self, envelope: Envelope) -> Envelope | Awaitable[Envelope]:
        return (
            self.hub.respond(envelope.state_request)
            if envelope.HasField("state_request")
            else self.quota.handle(envelope)
        )

    async def start(self) -> None:
        """As the gateway's program does."""
        await self.links.serve(self.node.internal_address)
        self.hub.on_change.append(self._learn)
        await self.quota.start()
        self.follower.start()

    def _learn(self) -> None:
        hub = self.hub
        if hub.config.serial > self.config.serial:
            w = hub.config
            self.config = compile_config(w.serial, w.config_version, w.config, w.evacuated_zones, w.max_gateways)
            self.quota.set_config(self.config)
        if (version := hub.gateways.version) != self._gateways:
            self._gateways = version
            self.quota.set_gateways([g for g in hub.gateways.values() if g.frontend])
        self.quota.set_membership(hub.lease_membership)
        self.quota.set_holders(hub.holders)


@dataclass(slots=True)
class Sums:
    """Counters at one moment: what all hollow gateways and the three coordinators have used."""

    at: float
    own: float  # s of processor time of the hollow gateways
    cores: float  # and of the three coordinators
    sent: int
    received: int
    frames: int

    def per_second(self, before: Sums, count: int) -> list[float]:
        """A gateway and second: sent, received bytes, frames, ms there; and ms a coordinator in all."""
        span = self.at - before.at
        return [
            (self.sent - before.sent) / span / count,
            (self.received - before.received) / span / count,
            (self.frames - before.frames) / span / count,
            (self.own - before.own) / span / count * 1000,
            (self.cores - before.cores) / span / 3 * 1000,
        ]


class Team:
    """Some hollow gateways in a process of their own, as the one that leads them sees it."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @classmethod
    async def start(cls, first: int, count: int, file: Path) -> Team:
        """Start so many gateways."""
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "benchmarks.system_capacity",
                "--team",
                f"{first},{count},{file}",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=2**24,
            )
        )

    async def ask(self, what: str) -> Any:
        """One word to it, and its answer."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(f"{what}\n".encode())
        line = await self.process.stdout.readline()
        if not line:
            raise ConnectionError("a team has ended")
        return json.loads(line)


async def team(first: int, count: int, file: str) -> None:
    """The other side: run the gateways, answer each line on standard input with one line."""
    # All gateways here reckon the same order: once in this process, its time is in the table of gateways.
    kept = functools.lru_cache(maxsize=4)(bucket_placement.rank_gateways)
    bucket_placement.rank_gateways = lambda gateways: kept(frozenset(gateways))
    node, reader = read_settings(file), asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    hollows, bare = [Hollow(n, node) for n in range(first, first + count)], resident()
    for hollow in hollows:
        await hollow.start()
        await asyncio.sleep(START / count)
    drains = backend(0).instance
    while line := (await reader.readline()).decode().split():
        traffic = [hollow.links.traffic for hollow in hollows]
        told: object = {
            "known": min(len(h.hub.gateways) for h in hollows),
            "held": sum(len(h.quota.held_buckets()) for h in hollows),
            "version": min(h.config.version for h in hollows),
            "evacuated": all("zone-1" in h.config.evacuated_zones for h in hollows),
            "drained": all((e := h.hub.backends.get(drains)) is not None and e.is_draining for h in hollows),
            "own": time.process_time(),
            "sent": sum(one.bytes_sent for one in traffic),
            "received": sum(one.bytes_received for one in traffic),
            "grown": resident() - bare,
            "frames": sum(one.frames_sent + one.frames_received for one in traffic),
        }
        if line[0] == "count":
            told = await counts(hollows, float(line[1]))
        print(json.dumps(told), flush=True)


def used(pids: Sequence[int]) -> float:
    """Seconds of processor time that these processes have had."""
    total = 0
    for pid in pids:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        total += int(fields[11]) + int(fields[12])
    return total / TICKS


async def order(host: str, call: str, body: bytes = b"") -> bool:
    """One order of the operator to one coordinator; whether it was acknowledged."""

    def ask() -> bool:
        link = http.client.HTTPConnection(host, PORT + 8, timeout=2)
        try:
            link.request("POST", f"/hallhitch/rpc?call={call}", body)
            return link.getresponse().status == 200
        except OSError:
            return False
        finally:
            link.close()

    return await asyncio.to_thread(ask)


async def counts(hollows: Sequence[Hollow], seconds: float) -> list[float]:
    """Each gateway takes units of random tenants at the rate, for so long; how long each took (ms), and passed ones."""
    took = list[float]()

    async def one(hollow: Hollow) -> None:
        ends, tenants = time.monotonic() + seconds, list(hollow.config.tenants.values())
        while time.monotonic() < ends and tenants:
            await asyncio.sleep(random.uniform(0, 2 / RATE))
            began = now()
            await hollow.quota.counter.admit(random.choice(tenants), 500.0)
            took.append(now() - began)

    await asyncio.gather(*(one(hollow) for hollow in hollows))
    return sorted(took)


class Step:
    """One size: its processes, and what is measured on them."""

    def __init__(self, folder: Path, number: int, count: int) -> None:
        self._number, self._count, self._listing = number, count, Listing()
        self._files = [settings(folder / f"step-{number}", number, core) for core in range(3)]
        self._cores, self._teams = list[asyncio.subprocess.Process](), list[Team]()
        self._pids = list[int]()

    async def _asked(self, what: str) -> list[Any]:
        return list(await asyncio.gather(*(each.ask(what) for each in self._teams)))

    async def _sums(self) -> Sums:
        told = await self._asked("state")
        return Sums(
            time.monotonic(),
            sum(t["own"] for t in told),
            used(self._pids),
            sum(t["sent"] for t in told),
            sum(t["received"] for t in told),
            sum(t["frames"] for t in told),
        )

    async def _until(self, what: Callable[[list[Any]], bool], most: float) -> float:
        """Seconds until it holds, `most` at most."""
        began = time.monotonic()
        while not what(await self._asked("state")) and time.monotonic() - began < most:
            await asyncio.sleep(0.03)
        return time.monotonic() - began

    async def run(self) -> tuple[list[object], list[object]]:
        """The rows of both tables."""
        web = HttpServer("list", self._listing.call)
        await web.serve((f"127.1.{self._number}.9", PORT + 9))
        try:
            return await self._measure()
        finally:
            for process in [*self._cores, *(each.process for each in self._teams)]:
                if process.returncode is None:
                    process.kill()
                await process.wait()
            await web.close()

    async def _measure(self) -> tuple[list[object], list[object]]:
        count, host, ends = self._count, f"127.1.{self._number}.1", time.monotonic() + SETTLE
        for file in self._files:
            self._cores.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-O",
                    "-m",
                    "hallhitch.programs.coordinator",
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=asyncio.subprocess.DEVNULL,
                    stderr=asyncio.subprocess.DEVNULL,
                    env={name: os.environ[name] for name in KEPT if name in os.environ}
                    | {"HALLHITCH_NODE_FILE": str(file)},
                )
            )
        self._pids = [process.pid for process in self._cores]
        while not await order(host, "config.replace", config(1, ROUTES, TENANTS)) and time.monotonic() < ends:
            await asyncio.sleep(0.2)
        bare = [resident(pid) for pid in self._pids]
        for first in range(0, count, TEAM):
            self._teams.append(await Team.start(first, min(TEAM, count - first), self._files[0]))
        await self._asked("state")  # once all run
        took = await self._until(
            lambda told: (
                all(t["known"] >= count and t["version"] == 1 for t in told)
                and sum(t["held"] for t in told) == BUCKET_COUNT
            ),
            SETTLE,
        )
        await asyncio.sleep(REST)
        before = await self._sums()
        await asyncio.sleep(WINDOW)
        after = await self._sums()
        lags = sorted(lag for lags in await self._asked(f"count {WINDOW}") for lag in lags)
        end = await self._sums()
        idle, busy = after.per_second(before, count), end.per_second(after, count)
        per_count = max(len(lags), 1) / count / (end.at - after.at)
        memory = [resident(pid) for pid in self._pids]
        mine = sum(t["grown"] for t in await self._asked("state")) / count
        acked = await order(host, "evacuations.start&of=zone-1")
        evacuated = await self._until(lambda told: all(t["evacuated"] for t in told), SPREAD)
        spread = await self._sums()
        self._listing.draining.add(self._listing.entries[0].instance)
        drained = await self._until(lambda told: all(t["drained"] for t in told), SPREAD)
        return (
            [
                count,
                took if took < SETTLE else f"not in {SETTLE:.0f}",
                *idle,
                max(memory) / 1024,
                max(is_now - was for is_now, was in zip(memory, bare, strict=True)) / count,
                mine,
            ],
            [
                count,
                per_count,
                lags[len(lags) // 2] if lags else 0.0,
                lags[int(len(lags) * 0.99)] if lags else 0.0,
                *((b - i) / per_count for b, i in zip(busy[:4], idle[:4], strict=True)),
                busy[4],
                evacuated * 1000 if acked else "no answer",
                (spread.received - end.received) / count,
                drained * 1000,
            ],
        )


async def fleet(folder: Path, sizes: Sequence[int]) -> None:
    """All sizes one after the other, and both tables."""
    calm, loaded = list[list[object]](), list[list[object]]()
    for number, count in enumerate(sizes, 1):
        try:
            async with asyncio.timeout(STEP):
                quiet, busy = await Step(folder, number, count).run()
        except TimeoutError:
            print(f"step {count}: not done in {STEP:.0f} s", file=sys.stderr)
            break
        print(f"step {count}: {quiet} {busy}", file=sys.stderr, flush=True)
        calm.append(quiet)
        loaded.append(busy)
    table(
        f"Calm: {LISTED} backends, {ROUTES} routes, {TENANTS} tenants, three coordinators",
        [
            "gateways",
            "settled s",
            "sent B/s a gateway",
            "received B/s",
            "frames/s",
            "processor ms/s a gateway",
            "processor ms/s a coordinator",
            "memory of a coordinator MB",
            "more KB a gateway there",
            "KB of a hollow gateway here",
        ],
        calm,
    )
    table(
        "Counting, and news of one change",
        [
            "gateways",
            "counts/s a gateway",
            "median ms",
            "p99 ms",
            "bytes sent a count",
            "received",
            "frames a count",
            "processor ms a count, both sides",
            "processor ms/s a coordinator",
            "evacuation at the last gateway ms",
            "bytes received a gateway meanwhile",
            "drain at the last gateway ms",
        ],
        loaded,
    )


def main() -> None:
    """Run it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="9,36,86,144,300")
    parser.add_argument("--only", choices=("slopes", "fleet"))
    parser.add_argument("--team", help=argparse.SUPPRESS)
    chosen = parser.parse_args()
    logs.configure(logging.WARNING)
    if chosen.team:
        first, count, file = chosen.team.split(",", 2)
        uvloop.run(team(int(first), int(count), file))
        return
    with tempfile.TemporaryDirectory() as folder:
        if chosen.only != "fleet":
            slopes([settings(Path(folder), 0, core) for core in range(3)][0])
        if chosen.only != "slopes":
            uvloop.run(fleet(Path(folder), [int(size) for size in chosen.sizes.split(",")]))


if __name__ == "__main__":
    main()
