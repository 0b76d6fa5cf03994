"""All emulated backends: which ones run, how the platform's instance list shows them, and their faults.

This module starts, drains and crashes backends and records it; it serves no requests itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

from hallhitch.lab.emulator.backend import Backend, BackendSpec
from hallhitch.lab.emulator.connection_owners import Address
from hallhitch.lab.emulator.network_paths import NetworkPaths, region_of
from hallhitch.lab.emulator.records import ColdPeriod, ListingChange, Records
from hallhitch.lab.emulator.response_fault import ResponseFault
from hallhitch.lab.emulator.unreadable_rows import UnreadableRows
from hallhitch.lab.streams import Streams
from hallhitch.node.clock import now

CRASH_LISTING_DELAY_MS: Final = 2000.0  # from a crash until the backend is marked as gone, without the list's lag
REFUSAL_COPY_DELAYS_MS: Final = (0.0, 5.0, 15.0, 30.0, 60.0)  # drawn alike
LIST_COLUMNS: Final = (
    "instanceId",
    "targetService",
    "address",
    "zone",
    "configVersion",
    "slotCount",
    "state",
    "coldRemaining",
)
LISTED_STATES: Final = ("ready", "draining")


class BackendFleet:
    """The emulated backends and their shared settings.

    `find_owner` returns the name of the process that opened a connection, given the peer and local addresses;
    `region_numbers` maps names of processes to region numbers; `response_bytes` returns the size of the response to a
    path.
    """

    def __init__(  # noqa: PLR0913  settings, most with defaults
        self,
        records: Records,
        network: NetworkPaths,
        port: int,
        listing_lag_ms: float = 300.0,
        seed: int = 1,
        find_owner: Callable[[Address, Address], str] = lambda peer, local: "",
        region_numbers: Mapping[str, int] | None = None,
        response_bytes: Callable[[str], int] = lambda path: 256,
    ) -> None:
        self.records = records
        self.network = network
        self.listing_lag_ms = listing_lag_ms
        self.find_owner = find_owner
        self.response_bytes = response_bytes
        self.backends: dict[str, Backend] = {}
        self.connections_opened = 0
        self.health_checks = 0
        self.fault_ratios: dict[ResponseFault, float] = {}  # share of responses with each fault
        self.work_factor = 1.0  # multiplies the work of all requests
        self.unreadable_rows = UnreadableRows(seed, 0.0)
        self._port = port
        self._region_numbers = region_numbers or {}
        self._work_stream, self._fault_stream = Streams(seed).of("work"), Streams(seed).of("tricks")
        self._refusal_stream = Streams(seed).of("refusals")

    def identify_caller(self, peer: Address, local: Address, backend: Backend) -> tuple[str, float]:
        """Return the name of the process that opened a connection and the one-way delay to it in ms."""
        name = self.find_owner(peer, local)
        return name, self.network.delay_ms(self._region_numbers.get(name, 0), region_of(backend.address[0]))

    def draw_work_ms(self, spec: BackendSpec) -> float:
        """Draw the work of the next request in ms."""
        return spec.work_ms * self.work_factor * self._work_stream.uniform(0.6, 1.4)

    def draw_fault(self) -> ResponseFault | None:
        """Draw the fault of the next response, if any."""
        for fault, ratio in self.fault_ratios.items():
            if self._fault_stream.chance(ratio):
                return fault
        return None

    def draws_refusal(self, ratio: float) -> bool:
        """Draw whether something happens that concerns a refusal; `ratio` is its share."""
        return ratio > 0.0 and self._refusal_stream.chance(ratio)

    def draw_copy_delay_ms(self) -> float:
        """Draw how long after a refusal its second copy is sent."""
        return REFUSAL_COPY_DELAYS_MS[self._refusal_stream.index(len(REFUSAL_COPY_DELAYS_MS))]

    async def start_backend(
        self, instance: str, spec: BackendSpec, host: str, location: tuple[str, str], is_cold: bool = False
    ) -> Backend:
        """Start a backend at its own host; `location` is (zone, region)."""
        backend = Backend(self, instance, spec, (host, self._port), location, is_cold)
        await backend.listen()
        self.backends[instance] = backend
        if is_cold:
            self._record_cold_period(backend)
        return backend

    def _record_cold_period(self, backend: Backend) -> None:
        self.records.cold_periods.append(
            ColdPeriod(now(), backend.cold_until_ms, backend.instance, backend.spec.cold_rate_per_s)
        )

    def make_cold(self, backend: Backend, duration_ms: float) -> None:
        """Make a backend cold again for some time."""
        backend.cold_until_ms = now() + duration_ms
        self._record_cold_period(backend)

    def drain(self, backend: Backend, ends_after_ms: float | None = None) -> None:
        """Make a backend announce that it is draining, and stop it after `ends_after_ms`; None leaves it running."""
        backend.is_draining = True
        self._change_listing(backend, now(), "draining")
        if ends_after_ms is not None:
            asyncio.get_running_loop().call_later(ends_after_ms / 1000, self.end_backend, backend)

    def end_backend(self, backend: Backend) -> None:
        """Stop a backend and mark it as gone in the list."""
        if not backend.has_ended:
            backend.end()
            self._change_listing(backend, now(), "gone")

    def crash(self, backend: Backend) -> None:
        """Stop a backend without notice; it is marked as gone in the list after `CRASH_LISTING_DELAY_MS`."""
        if not backend.has_ended:
            backend.end()
            self._change_listing(backend, now() + CRASH_LISTING_DELAY_MS, "gone")

    def _change_listing(self, backend: Backend, since_ms: float, state: str) -> None:
        backend.listed_states.append((since_ms, state))
        self.records.listing_changes.append(ListingChange(since_ms + self.listing_lag_ms, backend.instance))

    def listed_rows(self, moment_ms: float, zone: str = "") -> list[list[object]]:
        """Return the rows of the list (`LIST_COLUMNS`) at a moment, for one zone or for all."""
        rows: list[list[object]] = []
        for backend in self.backends.values():
            state = backend.listed_state(moment_ms)
            is_in_other_zone = bool(zone) and backend.zone != zone
            if state not in LISTED_STATES or is_in_other_zone:
                continue
            row = _listed_row(backend, state, moment_ms)
            rows.append(self.unreadable_rows.change(moment_ms, backend.instance, LIST_COLUMNS, row))
        return rows

    def close(self) -> None:
        """Stop all backends."""
        for backend in self.backends.values():
            backend.end()


def _listed_row(backend: Backend, state: str, moment_ms: float) -> list[object]:
    host, port = backend.address
    return [
        backend.instance,
        backend.spec.service,
        f"{host}:{port}",
        backend.zone,
        "v1",
        backend.spec.slots,
        state,
        f"{max(0.0, backend.cold_until_ms - moment_ms):.0f}ms",
    ]
