"""The state of the links between parties under the active faults. It does no I/O and reads no clock; delays in ms."""

from __future__ import annotations

from dataclasses import dataclass

from hallhitch.lab.fleet.timeline import FleetFault, Parties, gateway_numbers, partition_groups
from hallhitch.lab.streams import Stream


@dataclass(slots=True)
class _ActiveFault:
    fault: FleetFault
    senders: frozenset[str]  # empty means all
    receivers: frozenset[str]  # empty means all
    groups: list[frozenset[str]]  # the partitions of a split

    def affects(self, sender: str, receiver: str) -> bool:
        """Whether the fault affects data from a sender to a receiver."""
        if self.fault.kind == "split":
            sender_group, receiver_group = self._group_of(sender), self._group_of(receiver)
            is_known = sender_group is not None and receiver_group is not None
            return is_known and sender_group != receiver_group
        if self._matches(sender, receiver):
            return True
        return not self.fault.one_way and self._matches(receiver, sender)

    def _group_of(self, party: str) -> int | None:
        return next((number for number, group in enumerate(self.groups) if party in group), None)

    def _matches(self, sender: str, receiver: str) -> bool:
        is_sender = not self.senders or sender in self.senders
        is_receiver = not self.receivers or receiver in self.receivers
        return is_sender and is_receiver


class Links:
    """All links of a run, and the active faults."""

    def __init__(self, gateways: int, stream: Stream) -> None:
        self._gateways = gateways
        self._stream = stream
        self._active: dict[int, _ActiveFault] = {}
        self._last_id = 0

    def begin(self, fault: FleetFault) -> int:
        """Begin a fault; returns the id to pass to `end`."""
        self._last_id += 1
        senders, receivers = self._party_names(fault.whom), self._party_names(fault.to)
        groups = partition_groups(fault.parts, self._gateways)
        self._active[self._last_id] = _ActiveFault(fault, senders, receivers, groups)
        return self._last_id

    def end(self, fault_id: int) -> None:
        """End a fault; an unknown id is ignored."""
        self._active.pop(fault_id, None)

    def end_all(self) -> None:
        """End all faults."""
        self._active.clear()

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether the link from a sender to a receiver passes neither data nor new connections."""
        return any(
            active.fault.kind in ("cut", "split") and active.affects(sender, receiver)
            for active in self._active.values()
        )

    def is_stalled(self, sender: str, receiver: str) -> bool:
        """Whether data from a sender to a receiver is held back until the fault ends."""
        return any(
            active.fault.kind == "stall" and active.affects(sender, receiver) for active in self._active.values()
        )

    def datagram_delays(self, sender: str, receiver: str) -> list[float]:
        """Draw the delays of a datagram, one for each copy that arrives; empty if the datagram is lost."""
        if not self._active:
            return [0.0]
        delays_ms = [0.0]
        for active in self._active.values():
            fault = active.fault
            if not active.affects(sender, receiver):
                continue
            if fault.kind in ("cut", "split"):
                return []
            if fault.kind == "drop":
                delays_ms = [ms for ms in delays_ms if not self._stream.chance(fault.share)]
            elif fault.kind == "duplicate":
                delays_ms += [ms for ms in delays_ms if self._stream.chance(fault.share)]
            elif fault.kind == "delay":
                delays_ms = [ms + self._draw_delay(fault) for ms in delays_ms]
        return delays_ms

    def _draw_delay(self, fault: FleetFault) -> float:
        return self._stream.uniform(*fault.delay_ms) if self._stream.chance(fault.share) else 0.0

    def _party_names(self, parties: Parties) -> frozenset[str]:
        gateways = {f"g{number}" for number in gateway_numbers(parties, self._gateways)}
        return frozenset(gateways | {name for name in parties if not name.startswith("g")})
