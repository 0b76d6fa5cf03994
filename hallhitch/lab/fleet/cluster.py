"""Membership in virtual time: the real protocol state machines of up to about a thousand members on modelled links.

Every change of every member's view is recorded. Detection times, false accusations and the time to agreement are
computed from these records. Times are in ms.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from hallhitch.lab.fleet.links import Links
from hallhitch.lab.fleet.timeline import FaultTimeline, FleetFault, gateway_numbers
from hallhitch.lab.streams import Stream, Streams
from hallhitch.lab.virtual import EPOCH, Handle, VirtualTime
from hallhitch.membership.damped_view import DampedView, DampingSettings, GatewayCounts
from hallhitch.membership.member_view import MemberChange
from hallhitch.membership.messages import Datagram, encode
from hallhitch.membership.protocol import MembershipProtocol
from hallhitch.membership.protocol_settings import ProtocolSettings
from hallhitch.membership.records import MemberRecord, MemberState
from hallhitch.membership.swim import Swim

ONE_WAY_DELAY_MS: Final = (0.2, 0.8)
TERMINATION_MS: Final = 500.0  # from SIGTERM until the process ends
SEED_COUNT: Final = 3  # number of members whose addresses each member gets at its start
SOCKET_BUFFER_DATAGRAMS: Final = 256  # capacity of the receive buffer of a suspended process
CLUSTER_NAME: Final = "lab"


@dataclass(frozen=True, slots=True)
class ViewChange:
    """One change in the view of one member."""

    at_ms: float  # since the run began
    observer: int  # number of the member whose view changed
    member_name: str  # of the member whose state changed
    instance: int
    state: MemberState
    previous_state: MemberState | None


@dataclass(slots=True, eq=False)
class ModelledMember:
    """A modelled process; datagrams for it are queued while it is suspended."""

    number: int
    protocol: MembershipProtocol
    is_alive: bool = True
    queued: list[Datagram] | None = None  # None while the process is not suspended
    timer: Handle | None = None
    counts: list[GatewayCounts] = field(default_factory=list)
    datagrams_sent: int = 0
    bytes_sent: int = 0  # only counted with `ClusterOptions.counts_bytes`

    @property
    def swim(self) -> Swim:
        """The protocol state machine with the member's view."""
        return self.protocol.swim

    @property
    def damped_view(self) -> DampedView:
        """The damped view of the member."""
        return self.protocol.damped_view

    @property
    def is_running(self) -> bool:
        """Whether the process is alive and not suspended."""
        return self.is_alive and self.queued is None


@dataclass(frozen=True, slots=True)
class ClusterOptions:
    """Options of a run."""

    protocol_settings: ProtocolSettings = field(default_factory=ProtocolSettings)
    damping: DampingSettings = field(default_factory=DampingSettings)
    counts_bytes: bool = False  # encode each datagram to count its bytes
    process_delay_ms: Callable[[int], float] = lambda number: 0.0  # by which a busy process delays its events
    on_counts: Callable[[int, GatewayCounts], None] = lambda number, counts: None


class Cluster:
    """The members of a run, and the links between them."""

    def __init__(
        self, count: int, seed: int, time: VirtualTime | None = None, options: ClusterOptions | None = None
    ) -> None:
        self.time = time or VirtualTime()
        self.count = count
        self._options = options or ClusterOptions()
        self._initial_count = count
        self._streams = Streams(seed)
        self._seed_addresses = tuple(member_address(number) for number in range(min(SEED_COUNT, count)))
        self.links = Links(count, self._streams.of("links"))
        self._delay_stream: Stream = self._streams.of("way")
        self.members: dict[int, ModelledMember] = {}
        self._starts: Counter[int] = Counter()
        self.view_changes: list[ViewChange] = []
        self._stalled: list[tuple[int, int, Datagram]] = []  # sender, receiver and datagram held back on stalled links

    # Processes.

    def start(self, number: int, name: str = "", gateway_id: int | None = None) -> ModelledMember:
        """Start a process; with the `gateway_id` of another process it is the replacement of that one."""
        member = self._create(number, name, gateway_id)
        member.swim.start(self.time.now)
        self._finish_step(member)
        return member

    def start_settled(self) -> None:
        """Start all processes with complete views, as if nothing had changed for a long time."""
        for number in range(self.count):
            self._create(number, "", None)
        records = [member.swim.local for member in self.members.values()]
        for member in self.members.values():
            member.swim.restore(records, self.time.now)
            member.swim.start(self.time.now)
            self._finish_step(member)

    def start_all(self, within_ms: float = 0.0) -> None:
        """Schedule the start of all processes, spread evenly over `within_ms`."""
        for number in range(self.count):
            self.time.after(within_ms * number / self.count, self.start, number)

    def _create(self, number: int, name: str, gateway_id: int | None) -> ModelledMember:
        self._starts[number] += 1
        rng = random.Random(self._streams.of(f"member {number} start {self._starts[number]}").random())
        instance = rng.getrandbits(63)
        local = MemberRecord(
            name or f"g{number}",
            instance,
            0,
            MemberState.ALIVE,
            member_address(number),
            instance if gateway_id is None else gateway_id,
        )
        options = self._options
        swim = Swim(local, CLUSTER_NAME, options.protocol_settings, rng, self._seed_addresses)
        damped_view = DampedView(local, self._initial_count, options.damping, self.time.now)
        member = self.members[number] = ModelledMember(number, MembershipProtocol(swim, damped_view))
        return member

    def kill(self, number: int) -> None:
        """Kill a process (SIGKILL)."""
        self.members[number].is_alive = False

    def suspend(self, number: int) -> None:
        """Suspend a process (SIGSTOP)."""
        self.members[number].queued = []

    def resume(self, number: int) -> None:
        """Resume a process (SIGCONT); it first handles the queued datagrams."""
        member = self.members[number]
        queued, member.queued = member.queued or [], None
        for message in queued:
            self._handle(member, message)
        self._on_timer(member)

    def terminate(self, number: int) -> None:
        """Terminate a process (SIGTERM): it announces its departure and ends after `TERMINATION_MS`."""
        member = self.members[number]
        member.swim.leave(self.time.now)
        self._finish_step(member)
        self.time.after(TERMINATION_MS, self._on_terminated, member)

    def _on_terminated(self, member: ModelledMember) -> None:
        member.is_alive = False

    # Faults.

    def schedule(self, timeline: FaultTimeline) -> None:
        """Schedule all faults of a timeline."""
        for fault in timeline.faults:
            for begins_at, ends_at in fault.times():
                self.time.at(EPOCH + begins_at, self.begin_fault, fault, ends_at - begins_at)

    def begin_fault(self, fault: FleetFault, duration_ms: float) -> None:
        """Begin a fault that ends after `duration_ms`; with 0, killed and terminated processes are not restarted."""
        numbers = gateway_numbers(fault.whom, self.count)
        targets = [n for n in numbers if n in self.members and self.members[n].is_alive]
        if fault.kind in ("kill", "restart", "term"):
            for number in targets:
                if fault.kind == "term":
                    self.terminate(number)
                else:
                    self.kill(number)
                if duration_ms or fault.kind == "restart":
                    self.time.after(duration_ms, self.start, number)
        elif fault.kind == "stop":
            for number in targets:
                self.suspend(number)
                self.time.after(duration_ms, self.resume, number)
        else:
            self.time.after(duration_ms, self._end_link_fault, self.links.begin(fault))

    def _end_link_fault(self, fault_id: int) -> None:
        self.links.end(fault_id)
        stalled, self._stalled = self._stalled, []
        for sender, receiver, message in stalled:
            self._send(sender, receiver, message)

    # Views.

    def running(self) -> list[ModelledMember]:
        """The processes that are alive and not suspended."""
        return [member for member in self.members.values() if member.is_running]

    def is_agreed(self) -> bool:
        """Whether every running member has exactly the present members in its view, all of them alive."""
        present = {
            member.swim.local.key
            for member in self.members.values()
            if member.is_alive and member.swim.local.state.is_present
        }
        expected = dict.fromkeys(present, MemberState.ALIVE)
        return bool(present) and all(
            {record.key: record.state for record in member.swim.records() if record.state.is_present} == expected
            for member in self.running()
            if member.swim.local.state.is_present
        )

    def run_until(self, condition: Callable[[], bool], limit_ms: float, step_ms: float = 100.0) -> float:
        """Run until a condition holds; returns the elapsed ms, or `limit_ms` if the condition did not hold by then."""
        began_at = self.time.now
        while not condition() and self.time.now - began_at < limit_ms:
            self.time.run(self.time.now + step_ms)
        return min(limit_ms, self.time.now - began_at)

    # Execution of the state machines.

    def _finish_step(self, member: ModelledMember) -> None:
        """Send the datagrams and record the changes of a state machine's step, and reset the member's timer."""
        step = member.protocol.finish_step(self.time.now)
        for address, message in step.outgoing:
            member.datagrams_sent += 1
            if self._options.counts_bytes:
                member.bytes_sent += len(encode(message))
            self._send(member.number, int(address.rpartition(":")[2]) - 1, message)
        for change in step.changes:
            self._record_change(member, change)
        if step.counts is not None:
            member.counts.append(step.counts)
            self._options.on_counts(member.number, step.counts)
        if member.timer is not None:
            member.timer.cancel()
        wake_at = member.protocol.next_wake() + self._options.process_delay_ms(member.number)
        member.timer = self.time.at(wake_at, self._on_timer, member)

    def _on_timer(self, member: ModelledMember) -> None:
        if member.is_running and self.members.get(member.number) is member:
            member.swim.tick(self.time.now)
            self._finish_step(member)

    def _send(self, sender: int, receiver: int, message: Datagram) -> None:
        sender_name, receiver_name = f"g{sender}", f"g{receiver}"
        if self.links.is_stalled(sender_name, receiver_name):
            self._stalled.append((sender, receiver, message))
            return
        for delay_ms in self.links.datagram_delays(sender_name, receiver_name):
            one_way_ms = self._delay_stream.uniform(*ONE_WAY_DELAY_MS)
            self.time.after(delay_ms + one_way_ms, self._arrive, receiver, message)

    def _arrive(self, receiver: int, message: Datagram) -> None:
        member = self.members.get(receiver)
        if member is None or not member.is_alive:
            return
        if member.queued is not None:
            if len(member.queued) < SOCKET_BUFFER_DATAGRAMS:
                member.queued.append(message)
        elif delay_ms := self._options.process_delay_ms(receiver):
            self.time.after(delay_ms, self._handle_late, member, message)
        else:
            self._handle(member, message)

    def _handle_late(self, member: ModelledMember, message: Datagram) -> None:
        if member.is_running:
            self._handle(member, message)

    def _handle(self, member: ModelledMember, message: Datagram) -> None:
        member.swim.handle_message(message, self.time.now)
        self._finish_step(member)

    def _record_change(self, member: ModelledMember, change: MemberChange) -> None:
        record = change.record
        at_ms = self.time.now - EPOCH
        self.view_changes.append(
            ViewChange(at_ms, member.number, record.name, record.instance, record.state, change.previous_state)
        )


def member_address(number: int) -> str:
    """The address of a member of a modelled cluster."""
    return f"127.0.0.1:{number + 1}"
