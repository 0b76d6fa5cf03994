"""Fault scenarios by name: each function returns the faults that it plans for an emulator and a duration.

Times are in seconds from the start of traffic. Every scenario reverts its faults, so a run ends without any.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Final

from hallhitch.lab.emulator.config_semantics import NON_IDEMPOTENT
from hallhitch.lab.emulator.control_scenarios import (
    DRAIN_MARGIN_MS,
    Injection,
    coordinator_partitions,
    coordinator_replacements,
    many_config_changes,
)
from hallhitch.lab.emulator.emulator import Emulator
from hallhitch.lab.emulator.node_file import Machine
from hallhitch.lab.emulator.operator_config import config_document, move_route
from hallhitch.lab.emulator.overlapping_scenario import overlapping_faults
from hallhitch.lab.emulator.platform_api import PlatformState
from hallhitch.lab.emulator.response_fault import ResponseFault
from hallhitch.lab.emulator.spec import RequestKind
from hallhitch.lab.emulator.traffic import PlannedFault
from hallhitch.lab.emulator.upgrade_scenario import upgrades

RESTART_DELAY_S: Final = 1.0  # from a kill until the restart
PAUSE_DURATION_S: Final = 3.0
COLD_DURATION_MS: Final = 3000.0
INVALID_CONFIG_TIMEOUT_MS: Final = 3000.0
ADDED_ROUTES: Final = 20
OVERLOAD_RATE_PER_S: Final = 200
OVERLOAD_RATIO: Final = 0.3  # of the run's duration
DEPARTURES_PER_S: Final = 20
DEPARTURE_RATIO: Final = 0.3  # of the run's duration
DEPARTURE_WORK_FACTOR: Final = 20.0  # makes requests last much longer than the half second of the rule GONE
PATIENCE_MS: Final = 60.0
FIRST_DEPARTURE_REQUEST: Final = 20_000  # start of a range of request numbers that nothing else uses
FIRST_OVERLOAD_REQUEST: Final = 10_000  # start of a range of request numbers that nothing else uses
RESPONSE_FAULT_RATIOS: Final = {
    ResponseFault.LOST: 0.01,
    ResponseFault.BROKEN_OFF: 0.01,
    ResponseFault.DUPLICATED: 0.02,
    ResponseFault.DUPLICATED_LATE: 0.02,
    ResponseFault.GARBLED: 0.01,
}

Scenario = Callable[[Emulator, float], list[PlannedFault]]


def _kill_and_restart(emulator: Emulator, machine: Machine, wipes_disk: bool = False) -> Injection:
    async def inject() -> None:
        await emulator.processes.kill(machine, wipes_disk)
        await asyncio.sleep(RESTART_DELAY_S)
        await emulator.processes.restart(machine, "killed")

    return inject


def _plan_kill(emulator: Emulator, at_s: float, machine: Machine, wipes_disk: bool = False) -> PlannedFault:
    suffix = " and loses its disk" if wipes_disk else ""
    description = f"{machine.name} is killed{suffix}, restarted after {RESTART_DELAY_S:g} s"
    return PlannedFault(at_s, description, _kill_and_restart(emulator, machine, wipes_disk))


def _plan_partition(
    emulator: Emulator, at_s: float, targets: Sequence[Machine], peers: Sequence[Machine], duration_s: float
) -> PlannedFault:
    target_names = " and ".join(machine.name for machine in targets)
    peer_names = " and ".join(machine.name for machine in peers) or "all others"
    description = f"{target_names} partitioned from {peer_names} for {duration_s:g} s"
    return PlannedFault(at_s, description, lambda: emulator.partition(targets, peers, duration_s))


def process_kills(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Kill a coordinator, then a gateway."""
    coordinators, gateways = _machines(emulator)
    return [
        _plan_kill(emulator, duration_s * 0.3, coordinators[0]),
        _plan_kill(emulator, duration_s * 0.6, gateways[-1]),
    ]


def simultaneous_kills(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Kill all coordinators at once, then half of the gateways at once."""
    coordinators, gateways = _machines(emulator)
    return [
        *(_plan_kill(emulator, duration_s * 0.2, machine) for machine in coordinators),
        *(_plan_kill(emulator, duration_s * 0.6, machine) for machine in gateways[::2]),
    ]


def disk_losses(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Wipe the disk of a coordinator right after a configuration was acknowledged, and that of another one later."""
    coordinators, _ = _machines(emulator)

    async def inject() -> None:
        await emulator.operator.replace_config(move_route(config_document(emulator.spec, 1), "ask", "shelf", 4))
        await _kill_and_restart(emulator, coordinators[0], wipes_disk=True)()

    return [
        PlannedFault(
            duration_s * 0.2, f"version 4 is written; {coordinators[0].name} is killed and loses its disk", inject
        ),
        _plan_kill(emulator, duration_s * 0.65, coordinators[-1], wipes_disk=True),
    ]


def partitions(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Partition a gateway, then a coordinator from all others, then the coordinators in two. Requires relays."""
    coordinators, gateways = _machines(emulator)
    partition_s = duration_s * 0.15
    return [
        _plan_partition(emulator, duration_s * 0.1, gateways[:1], [], partition_s),
        _plan_partition(emulator, duration_s * 0.35, coordinators[:1], [*coordinators[1:], *gateways], partition_s),
        _plan_partition(emulator, duration_s * 0.65, coordinators[:1], coordinators[1:], partition_s),
    ]


def process_pauses(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Pause a gateway, then a coordinator; terminate another gateway gracefully and restart it."""
    coordinators, gateways = _machines(emulator)
    terminated = gateways[-1]

    def pause(machine: Machine) -> Injection:
        async def inject() -> None:
            emulator.processes.pause(machine)
            await asyncio.sleep(PAUSE_DURATION_S)
            emulator.processes.resume(machine)

        return inject

    async def terminate_and_restart() -> None:
        await emulator.processes.terminate(terminated)
        await emulator.processes.restart(terminated, "left")

    suffix = f"is paused for {PAUSE_DURATION_S:g} s"
    return [
        PlannedFault(duration_s * 0.2, f"{gateways[0].name} {suffix}", pause(gateways[0])),
        PlannedFault(duration_s * 0.45, f"{coordinators[0].name} {suffix}", pause(coordinators[0])),
        PlannedFault(duration_s * 0.6, f"{terminated.name} is terminated and restarted", terminate_and_restart),
    ]


def backend_faults(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Drain and crash backends, start cold ones, inject response faults, and stop the instance list."""
    fleet, spec = emulator.backends, emulator.spec
    services = [backend_spec.service for backend_spec, _ in spec.backends]
    first_service, last_service = services[0], services[-1]

    def instance(service: str, number: int) -> str:
        return [name for name, backend in fleet.backends.items() if backend.spec.service == service][number]

    async def drain() -> None:
        draining = fleet.backends[instance(first_service, 0)]
        fleet.drain(draining, spec.bounds.drain_timeout_ms + DRAIN_MARGIN_MS)
        await emulator.start_backend(first_service, 1, 1, is_cold=True)

    async def crash() -> None:
        fleet.crash(fleet.backends[instance(first_service, 1)])
        await emulator.start_backend(first_service, 2 if spec.regions > 1 else 1, 1, is_cold=True)

    async def make_cold() -> None:
        for number in (2, 3):
            fleet.make_cold(fleet.backends[instance(first_service, number)], COLD_DURATION_MS)

    async def inject_response_faults() -> None:
        fleet.fault_ratios |= RESPONSE_FAULT_RATIOS
        await asyncio.sleep(duration_s * 0.2)
        fleet.fault_ratios.clear()

    async def stop_list() -> None:
        emulator.set_platform_state(PlatformState.DOWN)
        fleet.crash(fleet.backends[instance(last_service, 0)])
        await asyncio.sleep(duration_s * 0.15)
        emulator.set_platform_state(PlatformState.UP)

    return [
        PlannedFault(duration_s * 0.1, "a backend drains, a new one starts cold", drain),
        PlannedFault(duration_s * 0.3, "a backend crashes, a new one starts cold", crash),
        PlannedFault(duration_s * 0.4, "two backends become cold", make_cold),
        PlannedFault(
            duration_s * 0.5,
            "responses are lost, truncated, duplicated, duplicated late, or garbled",
            inject_response_faults,
        ),
        PlannedFault(duration_s * 0.75, "the instance list is down, a backend crashes", stop_list),
    ]


def config_changes(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Add routes, write two configurations concurrently, write an invalid one, and evacuate a zone."""
    spec, operator = emulator.spec, emulator.operator
    added_kinds = [
        RequestKind(f"fresh{number}", "idempotent", ((spec.backends[0][0].service, 1),), 1.0, 500, 2000)
        for number in range(ADDED_ROUTES)
    ]
    zone = spec.zone_name(1, 1)

    async def add_routes() -> None:
        await operator.replace_config(config_document(spec, 3, added_kinds))
        await asyncio.sleep(spec.bounds.config_apply_ms / 1000)
        api_key = spec.api_keys(spec.tenants[0])[0]
        await asyncio.gather(
            *(
                emulator.clients[0].probe(address, added_kinds[0].make_request(1, api_key))
                for address in emulator.client_environment.gateway_names
            )
        )

    async def write_concurrently() -> None:
        first = move_route(config_document(spec, 3, added_kinds), "ask", "shelf", 5)
        second = move_route(config_document(spec, 3, added_kinds), "look", "vault", 6)
        await asyncio.gather(operator.replace_config(first), operator.replace_config(second))

    async def write_invalid_config() -> None:
        invalid = move_route(config_document(spec, 3, added_kinds), "look", "nowhere", 9)
        await operator.replace_config(invalid, INVALID_CONFIG_TIMEOUT_MS)

    async def evacuate() -> None:
        await operator.start_evacuation(zone)
        await asyncio.sleep(duration_s * 0.2)
        await operator.stop_evacuation(zone)

    return [
        PlannedFault(duration_s * 0.1, "twenty routes are added", add_routes),
        PlannedFault(duration_s * 0.35, "two configurations are written concurrently", write_concurrently),
        PlannedFault(duration_s * 0.5, "an invalid configuration is written", write_invalid_config),
        PlannedFault(duration_s * 0.55, f"{zone} is evacuated, later returned to service", evacuate),
    ]


def overload(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Make one tenant send many times its usual rate during a part of the run."""
    spec = emulator.spec
    tenant, clients = spec.tenants[-1], emulator.clients[-3:]
    keys = spec.api_keys(tenant)

    async def inject() -> None:
        requests = [
            spec.request_kinds[number % 2].make_request(FIRST_OVERLOAD_REQUEST + number, keys[number % len(keys)])
            for number in range(int(duration_s * OVERLOAD_RATIO * OVERLOAD_RATE_PER_S))
        ]
        tasks = []
        for number, request in enumerate(requests):
            tasks.append(asyncio.create_task(clients[number % len(clients)].request(request)))
            await asyncio.sleep(1 / OVERLOAD_RATE_PER_S)
        await asyncio.gather(*tasks)

    description = f"{tenant.name} sends {OVERLOAD_RATE_PER_S} additional requests per second"
    return [PlannedFault(duration_s * 0.3, description, inject)]


def client_departures(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Slow down all backends during a part of the run, and disconnect clients long before their responses."""
    spec = emulator.spec
    kinds = [kind for kind in spec.request_kinds if kind.route_kind != NON_IDEMPOTENT]

    async def inject() -> None:
        emulator.backends.work_factor = DEPARTURE_WORK_FACTOR
        tasks = []
        for number in range(int(duration_s * DEPARTURE_RATIO * DEPARTURES_PER_S)):
            api_key = spec.api_keys(spec.tenants[number % len(spec.tenants)])[0]
            request = kinds[number % len(kinds)].make_request(FIRST_DEPARTURE_REQUEST + number, api_key)
            client = emulator.clients[number % len(emulator.clients)]
            tasks.append(asyncio.create_task(client.request(replace(request, patience_ms=PATIENCE_MS))))
            await asyncio.sleep(1 / DEPARTURES_PER_S)
        await asyncio.gather(*tasks)
        emulator.backends.work_factor = 1.0

    description = f"backends take {DEPARTURE_WORK_FACTOR:g} times as long, clients disconnect after {PATIENCE_MS:g} ms"
    return [PlannedFault(duration_s * 0.3, description, inject)]


def _machines(emulator: Emulator) -> tuple[list[Machine], list[Machine]]:
    """Return the coordinators and the gateways."""
    return emulator.processes.with_role("coordinator"), emulator.processes.with_role("gateway")


# By the names that the command line accepts.
SCENARIOS: Final[dict[str, Scenario]] = {
    "kills": process_kills,
    "herd": simultaneous_kills,
    "wipes": disk_losses,
    "links": partitions,
    "frozen": process_pauses,
    "backends": backend_faults,
    "changes": config_changes,
    "press": overload,
    "departures": client_departures,
    "control_cut": coordinator_partitions,
    "exchange": coordinator_replacements,
    "hundreds": many_config_changes,
    "overlaps": overlapping_faults,
    "upgrades": upgrades,
}
