"""Real gateway processes with membership: a run on sockets that sends each gateway's datagrams through a relay.

Each gateway has its own loopback address and advertises the address of its relay. A relay is one socket: it identifies
the sender of a datagram by the source address and forwards the datagram from the sender's relay. So a fleet of any size
needs only one relay socket per gateway, and the link between any two gateways can be cut, delayed or stalled
separately.
"""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from hallhitch.lab.errors import GatewayNotRunningError
from hallhitch.lab.fleet.links import Links
from hallhitch.lab.fleet.member_views import MEMBERS_PATH, View, fetch, member_states, present_members
from hallhitch.lab.fleet.relay import Relay, gateway_host, relay_host
from hallhitch.lab.fleet.timeline import FaultTimeline, FleetFault, gateway_numbers
from hallhitch.lab.scenario import Scenario
from hallhitch.lab.sockets.listener import free_port
from hallhitch.lab.sockets.run import SocketRun
from hallhitch.lab.streams import Streams

VIEW_POLL_S: Final = 0.03  # interval at which the gateways' views are polled
WAIT_TIMEOUT_S: Final = 60.0  # default timeout for a condition on the views
MAX_STALLED_DATAGRAMS: Final = 4_096  # kept for stalled links; further ones are dropped
SEEDS: Final = (0, 1, 2)  # gateways whose addresses each gateway gets as seeds


class GatewayFleet(SocketRun):
    """A run whose gateways use membership, with faults between them; a context manager."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        timeline: FaultTimeline | None = None,
        has_membership: bool = True,
        peers_settings: str = "",
    ) -> None:
        """`peers_settings` holds further lines for each gateway's peers file."""
        super().__init__(scenario, seed)
        self.timeline = timeline or FaultTimeline()
        self._has_membership = has_membership
        self._peers_settings = peers_settings
        self.count = scenario.world.gateways
        self.links = Links(self.count, Streams(seed).of("links"))
        self.port, self.ops_port = free_port(), free_port()
        self.relays: dict[int, Relay] = {}
        self._stalled: list[tuple[int, int, bytes]] = []  # sender, receiver and datagram held back on stalled links
        self._links_changed = asyncio.Event()
        self._number_by_host = {gateway_host(number): number for number in range(self.count)}
        self.log_lines: dict[int, list[dict[str, Any]]] = {number: [] for number in range(self.count)}
        self.datagram_counts: Counter[str] = Counter()

    async def __aenter__(self) -> GatewayFleet:
        self._temporary_folder = tempfile.TemporaryDirectory()
        try:
            await self.open(Path(self._temporary_folder.name))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        self.links.end_all()
        self._links_changed.set()
        await self.close()
        for relay in self.relays.values():
            relay.transport.close()
        self._temporary_folder.cleanup()

    # The start of gateways.

    async def open(self, folder: Path) -> None:
        """Start the relays, then all parties."""
        for number in range(self.count if self._has_membership else 0):
            relay = Relay(number, self.forward)
            await relay.open(self.port)
            self.relays[number] = relay
        await super().open(folder)

    def _gateway_address(self, number: int) -> tuple[str, int]:
        return gateway_host(number), self.port

    def _gateway_config(self, number: int) -> dict[str, Any]:
        return super()._gateway_config(number) | {"ops": f"{gateway_host(number)}:{self.ops_port}"}

    def _gateway_arguments(self, number: int) -> list[str]:
        peers = ["--peers", str(self.write_peers_file(number))] if self._has_membership else []
        return super()._gateway_arguments(number) + peers

    def write_peers_file(self, number: int) -> Path:
        """Write a gateway's peers file."""
        seeds = json.dumps([f"{relay_host(seed)}:{self.port}" for seed in SEEDS])
        path = self._folder / f"peers{number}.toml"
        path.write_text(
            f'listen = "{gateway_host(number)}:{self.port}"\nadvertise = "{relay_host(number)}:{self.port}"\n'
            f'cluster = "fleet-{self.port}"\nseeds = {seeds}\n{self._peers_settings}'
        )
        return path

    def on_log_line(self, number: int, line: bytes) -> None:
        """Store a line of a gateway's log; one that is not JSON becomes an entry with the text as its event."""
        try:
            self.log_lines[number].append(json.loads(line))
        except ValueError:
            self.log_lines[number].append({"event": line.decode(errors="replace").strip()})

    # Links.

    def forward(self, sender_host: str, receiver: int, data: bytes) -> None:
        """Forward a datagram, subject to the faults of its link."""
        sender = self._number_by_host.get(sender_host)
        if sender is None or sender not in self.relays:
            self.datagram_counts["unknown"] += 1
            return
        self.datagram_counts["datagrams"] += 1
        self.datagram_counts["bytes"] += len(data)
        sender_name, receiver_name = f"g{sender}", f"g{receiver}"
        if self.links.is_stalled(sender_name, receiver_name):
            if len(self._stalled) < MAX_STALLED_DATAGRAMS:
                self._stalled.append((sender, receiver, data))
            return
        delays_ms = self.links.datagram_delays(sender_name, receiver_name)
        if not delays_ms:
            self.datagram_counts["lost"] += 1
        for delay_ms in delays_ms:
            if delay_ms:
                asyncio.get_running_loop().call_later(delay_ms / 1000, self._deliver, sender, receiver, data)
            else:
                self._deliver(sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        transport = self.relays[sender].transport
        if not transport.is_closing():
            transport.sendto(data, (gateway_host(receiver), self.port))

    async def reaches(self, gateway: int, party: str) -> bool:
        """Whether data from a gateway reaches a party; on a stalled link, waits until the stall ends."""
        sender = f"g{gateway}"
        names = (party, "nodes") if party.startswith("node") else (party,)
        while any(self.links.is_stalled(sender, name) for name in names):
            await self._links_changed.wait()
        is_cut = any(self.links.is_cut(sender, name) or self.links.is_cut(name, sender) for name in names)
        return await super().reaches(gateway, party) and not is_cut

    # Faults.

    async def run_workload(self) -> None:
        """Schedule the timeline's faults, then run the scenario's traffic and faults."""
        self.schedule()
        await super().run_workload()

    def schedule(self) -> None:
        """Schedule the faults of the timeline, with times relative to now."""
        for fault in self.timeline.faults:
            for begins_at, ends_at in fault.times():
                self.time.after(begins_at, self.begin_fault, fault, (ends_at - begins_at) / 1000)

    def begin_fault(self, fault: FleetFault, duration_s: float = 0.0) -> int:
        """Begin a fault now; returns the id to pass to `end_fault`, or 0 if it is no link fault.

        With `duration_s` 0, a link fault lasts until `end_fault` and a suspension until `resume`; killed and terminated
        processes are not restarted.
        """
        numbers = gateway_numbers(fault.whom, self.count)
        if fault.kind in ("kill", "restart", "term"):
            restart_after_s = duration_s if duration_s or fault.kind == "restart" else None
            for number in numbers:
                self.tasks.spawn(self.end_process(number, fault.kind == "term", restart_after_s))
            return 0
        if fault.kind == "stop":
            for number in numbers:
                self.suspend(number)
                if duration_s:
                    self.time.after(duration_s * 1000, self.resume, number)
            return 0
        fault_id = self.links.begin(fault)
        self._on_links_changed()
        if duration_s:
            self.time.after(duration_s * 1000, self.end_fault, fault_id)
        return fault_id

    def end_fault(self, fault_id: int) -> None:
        """End a link fault."""
        self.links.end(fault_id)
        self._on_links_changed()

    def _on_links_changed(self) -> None:
        """Wake the senders that wait on stalled links, and forward the datagrams held back."""
        previous_event, self._links_changed = self._links_changed, asyncio.Event()
        previous_event.set()
        stalled, self._stalled = self._stalled, []
        for sender, receiver, data in stalled:
            self.forward(gateway_host(sender), receiver, data)

    async def end_process(self, number: int, is_graceful: bool, restart_after_s: float | None) -> None:
        """Terminate or kill a gateway's process; restart it after `restart_after_s`, unless that is None.

        Raises:
            GatewayNotRunningError: there is no such process.
        """
        process = self._running_process(number)
        unaware_ms = self.router.draw_unaware_ms()
        if is_graceful:
            self.processes[number] = None  # it gets no new clients but serves those that it has
            process.send_signal(signal.SIGTERM)
        else:
            self.journal.add(self.time.now, "gateway", number, "killed")
            process.kill()
            self.processes[number] = None
            self.router.notice_down_at(number, self.time.now + unaware_ms)
        await process.wait()
        self.discovery.unwatch(number)
        if restart_after_s is not None:
            await asyncio.sleep(restart_after_s)
            await self.start_gateway(number)

    def suspend(self, number: int) -> None:
        """Suspend a gateway's process until `resume`.

        Raises:
            GatewayNotRunningError: there is no such process.
        """
        process = self._running_process(number)
        self.journal.add(self.time.now, "gateway", number, "stopped")
        self.router.suspended.add(number)
        process.send_signal(signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """Resume a gateway's process, unless it has ended."""
        process = self.processes[number]
        self.router.suspended.discard(number)
        if process is not None and process.returncode is None:
            self.journal.add(self.time.now, "gateway", number, "resumed")
            process.send_signal(signal.SIGCONT)

    def _running_process(self, number: int) -> asyncio.subprocess.Process:
        process = self.processes[number]
        if process is None:
            raise GatewayNotRunningError(number)
        return process

    # Views.

    def running(self) -> list[int]:
        """The gateways that run and are not suspended."""
        return [
            number
            for number, process in sorted(self.processes.items())
            if process is not None and number not in self.router.suspended
        ]

    async def fetch(self, number: int, path: str = MEMBERS_PATH, host: str = "") -> Any:
        """Fetch a path from a gateway's operator address; returns decoded JSON for its view, text for other paths."""
        return await fetch(host or gateway_host(number), self.ops_port, path)

    async def fetch_views(self) -> dict[int, View]:
        """Fetch the views of all running gateways; gateways that fail to respond are left out."""
        running = self.running()
        responses = await asyncio.gather(*(self.fetch(number) for number in running), return_exceptions=True)
        return {number: view for number, view in zip(running, responses, strict=True) if isinstance(view, dict)}

    async def wait_until(
        self, condition: Callable[[dict[int, View]], bool], timeout_s: float = WAIT_TIMEOUT_S
    ) -> float:
        """Wait until a condition on the views holds; returns the elapsed seconds.

        Raises:
            TimeoutError: the condition did not hold in time; its argument has the members' states by gateway.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while True:
            views = await self.fetch_views()
            if views and condition(views):
                return loop.time() - began_s
            if loop.time() - began_s > timeout_s:
                raise TimeoutError({number: member_states(view) for number, view in views.items()})
            await asyncio.sleep(VIEW_POLL_S)

    async def wait_until_agreed(self, timeout_s: float = WAIT_TIMEOUT_S) -> float:
        """Wait until every running gateway has exactly the running ones present in its view, none of them suspect."""

        def is_agreed(views: dict[int, View]) -> bool:
            running = sorted(f"n{number}" for number in self.running())
            return len(views) == len(running) and all(
                sorted(present_members(view)) == running and "suspect" not in member_states(view).values()
                for view in views.values()
            )

        return await self.wait_until(is_agreed, timeout_s)

    def log_lines_of(self, number: int, event: str) -> list[dict[str, Any]]:
        """The lines of a gateway's log that record an event."""
        return [line for line in self.log_lines[number] if line.get("event") == event]
