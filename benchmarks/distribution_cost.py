"""Cost of distributed state by the number of backends, gateways and lease holders."""

from __future__ import annotations

import itertools
import json
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Annotated, Final

from benchmarks.measuring import BenchmarkError, processor_us, traced_bytes
from benchmarks.sample_data import sample_backend, sample_gateway
from hallhitch.messages.system_pb2 import BackendUpdate, Envelope, GatewayUpdate, LeaseHolderUpdate, StateRequest
from hallhitch.planes.discovery.directory import DirectoryQuery, nearest_gateways
from hallhitch.planes.discovery.endpoint_list import ListedBackend
from hallhitch.planes.discovery.endpoint_page import parse_page
from hallhitch.planes.discovery.gateway_registry import merge_gateways
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.distribution.state_messages import encode_backend, encode_gateway
from hallhitch.planes.distribution.versioned_map import VersionedMap
from hallhitch.planes.quota.bucket_placement import rank_gateways
from hallhitch.planes.values import Gateway

PAGE_COLUMNS: Final = ("instanceId", "targetService", "address", "zone", "slotCount", "state", "coldRemaining")
COORDINATORS: Final = 3  # each hears a third of the gateways itself


@dataclass(frozen=True, slots=True)
class BackendCost:
    """What an endpoint list costs on the wire and at each process that follows it."""

    backends: Annotated[int, "backends"]
    entry_bytes: Annotated[float, "bytes each on the wire"]
    delta_bytes: Annotated[int, "bytes of an update of one"]
    memory_bytes: Annotated[float, "bytes of memory each in the hub"]
    apply_unchanged_ms: Annotated[float, "applying an unchanged list ms"]
    snapshot_ms: Annotated[float, "update of all ms"]
    delta_ms: Annotated[float, "update of one ms"]
    read_pages_ms: Annotated[float, "reading the platform's pages ms"]


def measure_backends(count: int) -> BackendCost:
    """Take, change and send an endpoint list of that size."""
    backends = [sample_backend(number) for number in range(count)]
    update = BackendUpdate(entries=[encode_backend(backend, 0.0) for backend in backends])
    entry_bytes = len(update.SerializeToString()) / count
    memory_bytes = traced_bytes(lambda: _filled_hub(count)) / count
    hub = _filled_hub(count)
    request = StateRequest()
    request.known_versions["backends"].epoch = 1
    request.known_versions["backends"].number = hub.backends.number
    times_ms = itertools.count(2.0)
    apply_unchanged_us = processor_us(lambda: hub.update_backends(next(times_ms), backends))
    snapshot_us = processor_us(lambda: hub.build_update(StateRequest()))
    hub.update_backends(next(times_ms), [replace(backends[0], is_draining=True), *backends[1:]])
    delta = hub.build_update(request)
    if delta is None or len(delta.backends.entries) != 1:
        raise BenchmarkError("the update of one changed backend does not hold exactly one entry")
    page = _platform_page(backends)
    return BackendCost(
        count,
        entry_bytes=entry_bytes,
        delta_bytes=len(Envelope(state_update=delta).SerializeToString()),
        memory_bytes=memory_bytes,
        apply_unchanged_ms=apply_unchanged_us / 1000,
        snapshot_ms=snapshot_us / 1000,
        delta_ms=processor_us(lambda: hub.build_update(request)) / 1000,
        read_pages_ms=processor_us(lambda: parse_page(page, 0.0)) / 1000,
    )


def _filled_hub(count: int) -> StateHub:
    hub = StateHub(1)
    hub.update_backends(1.0, [sample_backend(number) for number in range(count)])
    return hub


def _platform_page(backends: Sequence[ListedBackend]) -> bytes:
    """Return the whole list as one page of the platform's API."""
    rows = [
        [backend.instance, backend.service, f"{backend.host}:{backend.port}", backend.zone, 3, "ready", "0ms"]
        for backend in backends
    ]
    return json.dumps({"instances": {"columnNames": PAGE_COLUMNS, "rowValues": rows}}).encode()


@dataclass(frozen=True, slots=True)
class GatewayCost:
    """What the live gateways cost on the wire, at a coordinator and at each gateway."""

    gateways: Annotated[int, "gateways"]
    entry_bytes: Annotated[float, "bytes each on the wire"]
    merge_ms: Annotated[float, "merge at a coordinator, a state request ms"]
    ranking_ms: Annotated[float, "ranking for buckets, a change ms"]
    directory_ms: Annotated[float, "one reply of the directory ms"]


def measure_gateways(count: int) -> GatewayCost:
    """Merge, rank and order so many gateways."""
    gateways = [sample_gateway(number) for number in range(count)]
    by_address = {gateway.address: gateway for gateway in gateways}
    update = GatewayUpdate(entries=[encode_gateway(gateway) for gateway in gateways])
    versioned: VersionedMap[Gateway] = VersionedMap(1)
    versioned.replace(by_address)
    own, *peers = [
        {gateway.address: gateway for gateway in gateways[first::COORDINATORS]} for first in range(COORDINATORS)
    ]
    query = DirectoryQuery("shop.example", "region-3", "namaka-3")
    return GatewayCost(
        count,
        entry_bytes=len(update.SerializeToString()) / count,
        merge_ms=processor_us(lambda: versioned.replace(merge_gateways(own, peers))) / 1000,
        ranking_ms=processor_us(lambda: rank_gateways(by_address)) / 1000,
        directory_ms=processor_us(lambda: nearest_gateways(gateways, query)) / 1000,
    )


@dataclass(frozen=True, slots=True)
class LeaseHolderCost:
    """Bytes of the map of lease holders, which is sent as a snapshot with each change."""

    buckets: Annotated[int, "buckets"]
    snapshot_bytes: Annotated[int, "bytes"]


def measure_lease_holders(buckets: int) -> LeaseHolderCost:
    """Encode the holders of so many buckets."""
    holders = {bucket: sample_gateway(bucket).address for bucket in range(buckets)}
    return LeaseHolderCost(buckets, len(LeaseHolderUpdate(holders=holders).SerializeToString()))
