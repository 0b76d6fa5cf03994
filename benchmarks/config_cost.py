"""Cost of a configuration by its number of routes and tenants: compilation, validation, and a committed change."""

from __future__ import annotations

import asyncio
import gc
import tempfile
import time
import zlib
from collections.abc import Awaitable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated, Final

from benchmarks.measuring import processor_us, traced_bytes
from benchmarks.resident import resident
from benchmarks.sample_data import sample_config
from hallhitch.messages.system_pb2 import ClusterState, Envelope
from hallhitch.node.errors import RequestTimeout
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.config_compiler import compile_config
from hallhitch.planes.control import config_validation, state_transitions
from hallhitch.planes.control.errors import ConfigTooLargeError
from hallhitch.planes.control.operator_api import CONFIG_COMPRESSION_LEVEL
from hallhitch.planes.control.plane import ControlPlane

TRACED_BELOW_BYTES: Final = 1e7  # from here on tracing takes too long, and the kernel's figure is exact enough
VALIDATION_SAMPLE_S: Final = 0.05  # one validation of the largest configuration takes seconds
CHANGES: Final = 5  # odd: the median is one of them
CHANGE_TENANTS: Final = 10
CHANGE_TIMEOUT_MS: Final = 10_000.0  # far above what a change takes, so that no change is retried


@dataclass(frozen=True, slots=True)
class CompilationCost:
    """Size of a configuration, and what it costs a process that compiles and keeps it."""

    routes: Annotated[int, "routes"]
    tenants: Annotated[int, "tenants"]
    json_mb: Annotated[float, "JSON MB"]
    zlib_mb: Annotated[float, "zlib MB"]
    compile_ms: Annotated[float, "compile ms"]
    memory_mb: Annotated[float, "memory MB"]
    peak_mb: Annotated[float, "peak of the process MB"]


def measure_compilation(routes: int, tenants: int) -> CompilationCost:
    """Compile a configuration of that size; its memory is traced, or the kernel's figure where it is large."""
    body = sample_config(1, routes, tenants)
    json_bytes = len(body)
    content = zlib.compress(body, CONFIG_COMPRESSION_LEVEL)
    del body
    gc.collect()
    gc.collect()
    resident_before_kib = resident()
    started_s = time.thread_time()
    config = compile_config(1, 1, content, ())
    compile_s = time.thread_time() - started_s
    gc.collect()
    memory_bytes = (resident() - resident_before_kib) * 1024.0
    peak_bytes = resident(field="VmHWM") * 1024.0
    del config
    if json_bytes < TRACED_BELOW_BYTES:
        memory_bytes = traced_bytes(lambda: compile_config(1, 1, content, ()))
    return CompilationCost(
        routes,
        tenants,
        json_mb=json_bytes / 1e6,
        zlib_mb=len(content) / 1e6,
        compile_ms=compile_s * 1000,
        memory_mb=memory_bytes / 1e6,
        peak_mb=peak_bytes / 1e6,
    )


@dataclass(frozen=True, slots=True)
class ValidationCost:
    """What an operator's configuration costs the coordinator that accepts it."""

    routes: Annotated[int, "routes"]
    tenants: Annotated[int, "tenants"]
    json_mb: Annotated[float, "JSON MB"]
    validation_ms: Annotated[float | str, "validation ms"]
    zlib_ms: Annotated[float, "zlib ms"]


def measure_validation(routes: int, tenants: int) -> ValidationCost:
    """Validate and pack a configuration of that size."""
    body = sample_config(1, routes, tenants)
    return ValidationCost(
        routes,
        tenants,
        json_mb=len(body) / 1e6,
        validation_ms=_validation_ms(body),
        zlib_ms=processor_us(lambda: zlib.compress(body, CONFIG_COMPRESSION_LEVEL), min_sample_s=0.0) / 1000,
    )


def _validation_ms(body: bytes) -> float | str:
    try:
        config_validation.validate_config(body)
    except ConfigTooLargeError:
        return "413: too large"
    return processor_us(lambda: config_validation.validate_config(body), VALIDATION_SAMPLE_S) / 1000


class DirectLinks:
    """Links without sockets: the addressed control plane handles a call at once."""

    def __init__(self) -> None:
        self.planes: dict[str, ControlPlane] = {}

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """Return the peer's reply.

        Raises:
            RequestTimeout: no control plane has the address, or it does not reply.
        """
        plane = self.planes.get(address)
        reply = plane.handle(envelope) if plane is not None else None
        if reply is None:
            raise RequestTimeout("call", address, "no control plane replied")
        return await reply if isinstance(reply, Awaitable) else reply


@dataclass(frozen=True, slots=True)
class StateChangeCost:
    """What one replaced configuration costs three coordinators."""

    routes: Annotated[int, "routes"]
    wall_ms: Annotated[float, f"wall ms (median of {CHANGES})"]
    processor_ms: Annotated[float, "processor ms of all three"]
    disk_mb: Annotated[float, "MB on disk, one replica"]


def measure_state_change(routes: int, node: NodeSettings) -> StateChangeCost:
    """Commit configurations of that size over three replicas with files in a temporary folder."""
    return asyncio.run(_measure_state_change(routes, node))


async def _measure_state_change(routes: int, node: NodeSettings) -> StateChangeCost:
    wall_ms = list[float]()
    processor_ms = list[float]()
    with tempfile.TemporaryDirectory() as folder:
        planes = _build_replicas(Path(folder), node)
        await asyncio.gather(*(plane.start() for plane in planes))
        for version in range(1, CHANGES + 1):
            content = zlib.compress(sample_config(version, routes, CHANGE_TENANTS), CONFIG_COMPRESSION_LEVEL)
            wall_started_s = time.monotonic()
            processor_started_s = time.process_time()
            await planes[0].propose(state_transitions.replace_config(version, content), CHANGE_TIMEOUT_MS)
            wall_ms.append((time.monotonic() - wall_started_s) * 1000)
            processor_ms.append((time.process_time() - processor_started_s) * 1000)
        disk_bytes = sum(file.stat().st_size for file in Path(folder).rglob("*") if file.is_file())
        for plane in planes:
            await plane.stop()
    median = CHANGES // 2
    disk_mb = disk_bytes / len(planes) / 1e6
    return StateChangeCost(routes, sorted(wall_ms)[median], sorted(processor_ms)[median], disk_mb)


def _build_replicas(folder: Path, node: NodeSettings) -> list[ControlPlane]:
    """Return a control plane for each seed node, with links between them."""
    links = DirectLinks()
    for address, _ in node.seed_nodes:
        data_directory = folder / address
        data_directory.mkdir()
        replica = replace(node, ip_address=address, data_directory=data_directory, is_first_start=True)
        plane = ControlPlane(replica, links, _ignore_commit)
        links.planes[plane.address] = plane
    return list(links.planes.values())


def _ignore_commit(state: ClusterState) -> None:
    """Do nothing on a commit: only its cost counts here."""
