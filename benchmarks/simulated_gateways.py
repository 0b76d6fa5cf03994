"""A process of simulated gateways, led by `system_capacity` over standard input and output.

A simulated gateway is the state hub, `GatewaySync`, the quota plane and the links of a gateway, with an address of its
own and without the data plane. For each command on standard input, one line of JSON goes to standard output.

    python -O -m benchmarks.simulated_gateways FIRST COUNT SETTINGS_FILE
"""

from __future__ import annotations

import argparse
import asyncio
import functools
import json
import logging
import random
import sys
import time
from collections.abc import Awaitable, Sequence
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from pathlib import Path
from typing import Final

import uvloop

from benchmarks.capacity_site import OPERATOR_PORT, REGIONS_BY_ZONE, ZONE_COUNT
from benchmarks.resident import resident
from benchmarks.sample_data import sample_backend
from hallhitch.messages.peer_links import PeerLinks
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node import logs
from hallhitch.node.clock import now
from hallhitch.node.settings import NodeSettings
from hallhitch.node.settings_file import read_settings
from hallhitch.planes.config_compiler import EMPTY_CONFIG, compile_config
from hallhitch.planes.distribution.gateway_sync import GatewaySync
from hallhitch.planes.distribution.ports import SyncContext
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.distribution.versioned_map import Version
from hallhitch.planes.quota import bucket_placement
from hallhitch.planes.quota.plane import QuotaPlane
from hallhitch.planes.values import Gateway

START_SPAN_S: Final = 1.5  # over which the gateways of a process start
COUNTS_PER_S: Final = 4.0  # that each gateway asks for under load
COUNT_TIMEOUT_MS: Final = 500.0
HOSTS_PER_OCTET: Final = 250
EVACUATED_ZONE: Final = "zone-1"
DRAINED_INSTANCE: Final = sample_backend(0).instance


class Command(StrEnum):
    """What a line on standard input asks for."""

    REPORT = "report"  # a `GroupReport`
    COUNT = "count"  # with seconds: count tenants for so long; reply with the latencies in ms, sorted


@dataclass(frozen=True, slots=True)
class GroupReport:
    """State and counters of all gateways of a process at one moment."""

    min_known_gateways: int
    held_buckets: int
    min_config_version: int
    is_evacuated: bool  # all know that `EVACUATED_ZONE` is evacuated
    is_drained: bool  # all know that `DRAINED_INSTANCE` drains
    processor_s: float
    sent_bytes: int
    received_bytes: int
    frames: int
    memory_growth_kib: int


class SimulatedGateway:
    """A gateway without its data plane."""

    def __init__(self, number: int, coordinator: NodeSettings) -> None:
        zone = f"zone-{number % ZONE_COUNT}"
        trial = int(coordinator.ip_address.split(".")[2])
        octet, host = divmod(number, HOSTS_PER_OCTET)
        self.node = replace(
            coordinator,
            name=f"edge-{number}",
            role="gateway",
            machine_class="edge",
            data_directory=None,
            cloud_api_address=None,
            zone=zone,
            region=REGIONS_BY_ZONE[zone],
            ip_address=f"127.{10 * trial + octet}.{host + 1}.1",
            listen_addresses={},
        )
        self.incarnation = random.getrandbits(60) + 1
        self.links = PeerLinks(coordinator.cluster_name, self._handle)
        self.hub = StateHub(self.incarnation)
        self.sync = GatewaySync(SyncContext(self.links, self.hub, self._describe_self), coordinator.seed_addresses)
        self.quota = QuotaPlane(self.node, self.links)
        self.config = EMPTY_CONFIG
        self._gateways_version = Version()

    def _describe_self(self) -> Gateway:
        return Gateway(
            self.node.name,
            self.node.internal_address,
            self.incarnation,
            "edge",
            self.node.zone,
            self.node.region,
            f"{self.node.ip_address}:{OPERATOR_PORT}",
            True,
        )

    def _handle(self, envelope: Envelope) -> Envelope | Awaitable[Envelope]:
        if envelope.HasField("state_request"):
            return self.hub.respond(envelope.state_request)
        return self.quota.handle(envelope)

    async def start(self) -> None:
        """Start in the order of the gateway's program."""
        await self.links.serve(self.node.internal_address)
        self.hub.on_change.append(self._on_state_change)
        await self.quota.start()
        self.sync.start()

    def _on_state_change(self) -> None:
        state = self.hub.config
        if state.serial > self.config.serial:
            self.config = compile_config(
                state.serial, state.config_version, state.config, state.evacuated_zones, state.max_gateways
            )
            self.quota.set_config(self.config)
        gateways = self.hub.gateways
        if gateways.version != self._gateways_version:
            self._gateways_version = gateways.version
            self.quota.set_gateways([gateway for gateway in gateways.values() if gateway.frontend])
        self.quota.set_membership(self.hub.lease_membership)
        self.quota.set_holders(self.hub.holders)

    def knows_drained(self) -> bool:
        """Return whether the drain of `DRAINED_INSTANCE` has arrived."""
        backend = self.hub.backends.get(DRAINED_INSTANCE)
        return backend is not None and backend.is_draining


class GatewayGroup:
    """The gateways of this process."""

    def __init__(self, first: int, count: int, settings: Path) -> None:
        # All gateways here compute the same ranking: once in this process; its cost is in the table of gateways.
        cached_rank = functools.lru_cache(maxsize=4)(bucket_placement.rank_gateways)
        bucket_placement.rank_gateways = lambda gateways: cached_rank(frozenset(gateways))
        node = read_settings(str(settings))
        self._gateways: Sequence[SimulatedGateway] = [
            SimulatedGateway(number, node) for number in range(first, first + count)
        ]
        self._initial_memory_kib = resident()

    async def start(self) -> None:
        """Start the gateways one after the other, over `START_SPAN_S`."""
        for gateway in self._gateways:
            await gateway.start()
            await asyncio.sleep(START_SPAN_S / len(self._gateways))

    def report(self) -> GroupReport:
        """Return the state and the counters of now."""
        gateways = self._gateways
        traffic = [gateway.links.traffic for gateway in gateways]
        return GroupReport(
            min_known_gateways=min(len(gateway.hub.gateways) for gateway in gateways),
            held_buckets=sum(len(gateway.quota.held_buckets()) for gateway in gateways),
            min_config_version=min(gateway.config.version for gateway in gateways),
            is_evacuated=all(EVACUATED_ZONE in gateway.config.evacuated_zones for gateway in gateways),
            is_drained=all(gateway.knows_drained() for gateway in gateways),
            processor_s=time.process_time(),
            sent_bytes=sum(counters.bytes_sent for counters in traffic),
            received_bytes=sum(counters.bytes_received for counters in traffic),
            frames=sum(counters.frames_sent + counters.frames_received for counters in traffic),
            memory_growth_kib=resident() - self._initial_memory_kib,
        )

    async def count(self, duration_s: float) -> list[float]:
        """Count units of random tenants at each gateway for so long; return the latencies in ms, sorted."""
        latencies_ms = list[float]()
        await asyncio.gather(*(_count_at(gateway, duration_s, latencies_ms) for gateway in self._gateways))
        return sorted(latencies_ms)


async def _count_at(gateway: SimulatedGateway, duration_s: float, latencies_ms: list[float]) -> None:
    deadline_s = time.monotonic() + duration_s
    tenants = list(gateway.config.tenants.values())
    while time.monotonic() < deadline_s and tenants:
        await asyncio.sleep(random.uniform(0, 2 / COUNTS_PER_S))
        started_ms = now()
        await gateway.quota.counter.admit(random.choice(tenants), COUNT_TIMEOUT_MS)
        latencies_ms.append(now() - started_ms)


async def serve_commands(first: int, count: int, settings: Path) -> None:
    """Run the gateways and reply to each command, until standard input ends."""
    group = GatewayGroup(first, count, settings)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    await group.start()
    while line := (await reader.readline()).decode().split():
        command, *arguments = line
        if command == Command.COUNT:
            reply: object = await group.count(float(arguments[0]))
        else:
            reply = asdict(group.report())
        print(json.dumps(reply), flush=True)


def main() -> None:
    """Run the process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("settings", type=Path)
    arguments = parser.parse_args()
    logs.configure(logging.WARNING)
    uvloop.run(serve_commands(arguments.first, arguments.count, arguments.settings))


if __name__ == "__main__":
    main()
