"""Emulator of the whole system: emulated backends, platform, operator and clients around the system's real processes.

It starts everything, waits for conditions, injects faults, and stops what it started. It does not check results:
`rules` evaluates `records` after the run.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Final

from hallhitch.lab.emulator.backend_fleet import BackendFleet
from hallhitch.lab.emulator.client import Client
from hallhitch.lab.emulator.client_environment import ClientEnvironment
from hallhitch.lab.emulator.connection_owners import Address, ConnectionOwners
from hallhitch.lab.emulator.emulated_operator import EmulatedOperator
from hallhitch.lab.emulator.errors import ConditionTimeout, ProcessExitedError
from hallhitch.lab.emulator.link_relays import LinkRelays, RelayEndpoint
from hallhitch.lab.emulator.network_paths import NetworkPaths
from hallhitch.lab.emulator.node_file import Machine
from hallhitch.lab.emulator.operator_config import config_document
from hallhitch.lab.emulator.platform_api import PlatformApi, PlatformState
from hallhitch.lab.emulator.ports import (
    BACKEND_OFFSET,
    DIRECTORY_OFFSET,
    FRONTEND_OFFSET,
    INTERNAL_OFFSET,
    LIST_OFFSET,
    OPERATOR_OFFSET,
    READINESS_OFFSET,
    reserve_ports,
)
from hallhitch.lab.emulator.process_rig import ProcessRig
from hallhitch.lab.emulator.records import FaultInterval, Records
from hallhitch.lab.emulator.spec import EmulatorSpec
from hallhitch.lab.http_messages import read_message
from hallhitch.lab.streams import Streams
from hallhitch.messages.addressing import split_address
from hallhitch.node.clock import now

POLL_INTERVAL_S: Final = 0.05  # between two evaluations of a condition
PROBE_INTERVAL_S: Final = 0.3  # between two evaluations of a condition that sends requests
CONDITION_TIMEOUT_S: Final = 60.0  # far longer than a start takes on a busy machine
READINESS_TIMEOUT_S: Final = 1.0
READINESS_INTERVAL_S: Final = 1.0
FIRST_BACKEND_HOST: Final = 150  # last octet of its address
HOSTS_PER_NETWORK: Final = 250
LISTING_LAG_RATIO: Final = 0.6  # of the maximum lag in the settings
CLIENTS_PER_ZONE: Final = 3
CLIENT_WITHOUT_KEEP_ALIVE: Final = 1  # index among the clients of a zone
CLIENT_WITH_LONG_TTL: Final = 2  # index among the clients of a zone
LONG_TTL_FACTOR: Final = 3.0  # such a client uses answers of the directory beyond their TTL


class Emulator:
    """The whole system and its environment, as an async context manager.

    `directory` holds settings, logs and data directories; None selects a temporary one. If `is_relayed`, connections
    between the system's processes go through relays, which can delay and cut these links as well.
    """

    def __init__(self, spec: EmulatorSpec, directory: Path | None = None, is_relayed: bool = False) -> None:
        self.spec = spec
        self.records = Records()
        self._temporary = tempfile.TemporaryDirectory() if directory is None else None
        self.directory = Path(self._temporary.name) if self._temporary is not None else directory or Path()
        self.base_port, self._port_reservation = reserve_ports()
        list_address = ("127.0.0.1", self.base_port + LIST_OFFSET)
        self.processes = ProcessRig(spec, self.base_port, self.directory, list_address, self.records, is_relayed)
        machines = self.processes.machines.values()
        self._process_numbers = {machine.name: machine.number for machine in machines}
        self.network = NetworkPaths(spec.region_delay_ms, spec.local_delay_ms, self._process_numbers, seed=spec.seed)
        self._region_numbers = {spec.region_name(number): number for number in range(1, spec.regions + 1)}
        self._machine_region_numbers = {machine.name: self._region_numbers[machine.region] for machine in machines}
        self.backends = BackendFleet(
            self.records,
            self.network,
            self.base_port + BACKEND_OFFSET,
            listing_lag_ms=spec.list_lag_ms * LISTING_LAG_RATIO,
            seed=spec.seed,
            find_owner=ConnectionOwners(self.processes.process_names).find_owner,
            region_numbers=self._machine_region_numbers,
            response_bytes=spec.response_bytes,
        )
        self.relays = LinkRelays(
            self.network,
            [RelayEndpoint(machine.number, machine.name, machine.host) for machine in machines] if is_relayed else [],
            self.base_port + INTERNAL_OFFSET,
        )
        self.platform = PlatformApi(self.backends, list_address, spec.list_rate_per_s)
        self._is_relayed = is_relayed
        streams = Streams(spec.seed)
        self._operator_streams = (streams.of(f"operator {number}") for number in itertools.count(1))
        self.operator = EmulatedOperator(
            self.records,
            lambda: self._operator_addresses(self.processes.with_service("control_plane")),
            streams.of("operator"),
        )
        self.client_environment = self._create_client_environment()
        self.clients = self._create_clients(streams)
        self.last_readiness: dict[str, bool] = {}  # by gateway name
        self._started_backends = 0
        self._platform_down_since_ms: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def _create_client_environment(self) -> ClientEnvironment:
        gateways = {
            f"{machine.host}:{self.base_port + FRONTEND_OFFSET}": machine
            for machine in self.processes.with_role("gateway")
        }
        return ClientEnvironment(
            self.records,
            self.network,
            directories={region: self._directory_addresses(region) for region in self._region_numbers},
            gateway_names={address: machine.name for address, machine in gateways.items()},
            max_ttl_ms=self.spec.max_ttl_ms,
            is_reading=lambda address: address not in gateways or not gateways[address].is_paused,
        )

    def _create_clients(self, streams: Streams) -> list[Client]:
        spec = self.spec
        return [
            Client(
                self.client_environment,
                spec.region_name(region),
                spec.zone_name(region, zone),
                region,
                streams.of(f"client {region} {zone} {number}"),
                keeps_connections=number != CLIENT_WITHOUT_KEEP_ALIVE,
                ttl_factor=LONG_TTL_FACTOR if number == CLIENT_WITH_LONG_TTL else 1.0,
                stays_connected=spec.clients_stay_connected,
            )
            for region, zone in spec.zone_numbers()
            for number in range(CLIENTS_PER_ZONE)
        ]

    def _directory_addresses(self, region: str) -> list[Address]:
        """Return the addresses of all directories, those in this region first."""
        directories = self.processes.with_service("directory")
        nearest_first = sorted(directories, key=lambda machine: machine.region != region)
        return [(machine.host, self.base_port + DIRECTORY_OFFSET) for machine in nearest_first]

    def _operator_addresses(self, machines: Sequence[Machine]) -> list[Address]:
        return [(machine.host, self.base_port + OPERATOR_OFFSET) for machine in machines]

    def region_number(self, region: str) -> int:
        """Return the number of a region, given its name."""
        return self._region_numbers[region]

    def operator_for(self, machines: Sequence[Machine]) -> EmulatedOperator:
        """Return another operator that knows only these coordinators."""
        return EmulatedOperator(self.records, lambda: self._operator_addresses(machines), next(self._operator_streams))

    # --- Start and stop.

    async def __aenter__(self) -> Emulator:
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self.clients:
            client.close()
        await self.processes.close()
        self.backends.close()
        self.platform.close()
        self.relays.close()
        self._port_reservation.close()
        if self._temporary is not None:
            self._temporary.cleanup()

    async def start(self) -> None:
        """Start backends, platform and relays, then the system's processes."""
        zone_numbers = self.spec.zone_numbers()
        for backend_spec, count in self.spec.backends:
            for index in range(count):
                region, zone = zone_numbers[index % len(zone_numbers)]
                await self.start_backend(backend_spec.service, region, zone)
        await self.platform.start()
        await self.relays.start()
        await self.processes.start_all()

    async def start_backend(self, service: str, region: int, zone: int, is_cold: bool = False) -> None:
        """Start another backend of a service in a zone, given by its region's number and its own."""
        backend_spec = next(spec for spec, _ in self.spec.backends if spec.service == service)
        self._started_backends += 1
        network, host = divmod(FIRST_BACKEND_HOST + self._started_backends, HOSTS_PER_NETWORK)
        await self.backends.start_backend(
            f"{service}-{self._started_backends}",
            backend_spec,
            f"127.{region}.{10 * network + zone}.{host + 1}",
            (self.spec.zone_name(region, zone), self.spec.region_name(region)),
            is_cold,
        )

    async def start_successor(self, old: Machine) -> Machine:
        """Start a machine without data that replaces another."""
        successor = self.processes.add_successor(old)
        self._process_numbers[successor.name] = successor.number
        self._machine_region_numbers[successor.name] = self._machine_region_numbers[old.name]
        if self._is_relayed:
            await self.relays.add(RelayEndpoint(successor.number, successor.name, successor.host))
        await self.processes.start(successor)
        self.processes.record_fault(successor, "new", now(), now())
        return successor

    # --- Conditions.

    async def wait_until_configured(self, version: int = 1) -> None:
        """Send the first configuration and wait until it is acknowledged and all gateways are ready.

        Raises:
            ProcessExitedError: A process exited unexpectedly while waiting.
            ConditionTimeout: The configuration was not acknowledged, or the gateways were not ready in time.
        """
        configuring = asyncio.ensure_future(self._configure(version))
        exiting = asyncio.ensure_future(self.processes.unexpected_exit.wait())
        try:
            await asyncio.wait((configuring, exiting), return_when=asyncio.FIRST_COMPLETED)
            if exiting.done():
                raise ProcessExitedError(self.processes.describe_unexpected_exits())
            await configuring
        finally:
            configuring.cancel()
            exiting.cancel()

    async def _configure(self, version: int) -> None:
        config = config_document(self.spec, version)
        operation = await self.operator.replace_config(config, CONDITION_TIMEOUT_S * 1000)
        if operation.acknowledged_at_ms is None:
            raise ConditionTimeout(
                f"the first configuration was not acknowledged: status {operation.status}", self.directory
            )
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until all running gateways report that they are ready."""
        await self.wait_until(self._are_all_ready, "all running gateways are ready")

    async def _are_all_ready(self) -> bool:
        gateways = self.processes.with_role("gateway")
        running = [machine for machine in gateways if machine.is_running and not machine.is_paused]
        return all(await asyncio.gather(*(self.is_ready(machine) for machine in running)))

    async def wait_until_serving(self) -> None:
        """Wait until every gateway serves every tenant, so that all waiting periods after a start have passed."""
        requests = [
            self.spec.request_kinds[0].make_request(number, self.spec.api_keys(tenant)[0])
            for number, tenant in enumerate(self.spec.tenants)
        ]
        pending = {
            (address, number) for address in self.client_environment.gateway_names for number in range(len(requests))
        }

        async def probe(address: str, number: int) -> None:
            if await self.clients[0].probe(address, requests[number]) == 200:
                pending.discard((address, number))

        async def are_all_served() -> bool:
            await asyncio.gather(*(probe(address, number) for address, number in list(pending)))
            return not pending

        await self.wait_until(are_all_served, "every gateway serves every tenant", poll_interval_s=PROBE_INTERVAL_S)

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a gateway's readiness endpoint reports that it is ready."""
        with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
            async with asyncio.timeout(READINESS_TIMEOUT_S):
                address = (machine.host, self.base_port + READINESS_OFFSET)
                return await http_get_status(address, "/hallhitch/readiness") == 200
        return False

    async def wait_until(
        self,
        condition: Callable[[], Awaitable[bool]],
        description: str,
        timeout_s: float = CONDITION_TIMEOUT_S,
        poll_interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        """Poll until a condition is true.

        Raises:
            ConditionTimeout: The condition did not become true in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not await condition():  # noqa: ASYNC110  polls another process
                    await asyncio.sleep(poll_interval_s)
        except TimeoutError:
            raise ConditionTimeout(f"timed out waiting until {description}", self.directory) from None

    # --- Faults and observation during a run.

    async def partition(self, targets: Sequence[Machine], peers: Sequence[Machine | str], duration_s: float) -> None:
        """Cut the links between targets and peers for some seconds; without peers, all links of the targets."""
        begin_ms = now()
        number = self.network.begin_fault(
            "cut",
            [machine.name for machine in targets],
            [peer if isinstance(peer, str) else peer.name for peer in peers],
        )
        await asyncio.sleep(duration_s)
        self.network.end_fault(number)
        affected = {peer.name: peer for peer in (*targets, *peers) if isinstance(peer, Machine)}
        for machine in affected.values():
            self.processes.record_fault(machine, "cut", begin_ms, now())

    def set_platform_state(self, state: PlatformState) -> None:
        """Change how the platform's instance list handles calls, and record the outage that this change ends."""
        if self._platform_down_since_ms is not None:
            fault = FaultInterval(self._platform_down_since_ms, now(), "platform", self.platform.state)
            self.records.fault_intervals.append(fault)
        self.platform.state = state
        self._platform_down_since_ms = None if state is PlatformState.UP else now()

    def spawn(self, work: Awaitable[None]) -> None:
        """Run a task in the background until it completes or the emulator stops."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def watch_readiness(self) -> None:
        """Poll the readiness of all gateways at an interval, as the platform does."""
        while True:
            for machine in self.processes.with_role("gateway"):
                self.last_readiness[machine.name] = await self.is_ready(machine)
            await asyncio.sleep(READINESS_INTERVAL_S)


async def http_get_status(address: Address | str, target: str) -> int:
    """Send one GET request on a new connection and return the status."""
    host, port = split_address(address) if isinstance(address, str) else address
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n".encode())
        status_line, _, _ = await read_message(reader)
        return int(status_line.split()[1])
    finally:
        writer.close()
