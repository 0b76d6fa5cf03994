"""What clients and gateways saw, with the moments between which it happened, and what must hold of it.

Owns the checks. Knows nothing of how the system works: a register with versions, as the operators' protocol has it.
Moments are virtual seconds; an answer that never came has no end.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

WAKING = 0.1  # s after a standstill in which all that waited has been read


class Order(Enum):
    """What an operator asked."""

    REPLACE = "config.replace"
    DESCRIBE = "config.describe"
    START = "evacuations.start"
    STOP = "evacuations.stop"


@dataclass(slots=True)
class Call:
    """One order or read of an operator, over all its tries."""

    operator: str
    order: Order
    begin: float
    version: int = -1
    content: str = ""  # what tells one content of a version from another
    zone: str = ""
    end: float | None = None  # None: given up, or still under way at the end
    given_up: float | None = None
    status: int = 0
    overtaken: bool = False  # acknowledged, but said to have been below a version in force when it came
    in_force: int = -1  # the version in force that the acknowledgement names
    tries: int = 0
    answers_lost: int = 0
    final_read: bool = False
    once: bool = False  # its caller did not try again

    @property
    def acknowledged(self) -> bool:
        """Whether it got its 200."""
        return self.end is not None and self.status == 200


@dataclass(frozen=True, slots=True)
class Sight:
    """One state that a process came to know."""

    process: str  # with its start's number: one life
    at: float
    born: float
    serial: int
    version: int
    content: str
    zones: frozenset[str]


@dataclass(frozen=True, slots=True)
class Span:
    """From when to when (s) something lasted."""

    begin: float
    end: float

    def meets(self, begin: float, end: float) -> bool:
        """Whether it has a moment in common with that."""
        return self.begin <= end and self.end >= begin


@dataclass(frozen=True, slots=True)
class Seat:
    """A machine that became a member of the register, and whether it held the state then."""

    host: str
    at: float
    holds_state: bool


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that did not hold, and where."""

    rule: str
    what: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.what}"


@dataclass(slots=True)
class History:
    """All that was seen in one run. `config_apply`, `ack` and `contact` are the bounds (s) of the settings."""

    config_apply: float
    ack: float
    contact: float
    calls: list[Call] = field(default_factory=list)
    gateways: list[Sight] = field(default_factory=list)
    coordinators: list[Sight] = field(default_factory=list)
    seats: list[Seat] = field(default_factory=list)  # taken after the founding
    lives: dict[str, Span] = field(default_factory=dict)  # of gateways
    standstills: dict[str, list[Span]] = field(default_factory=dict)  # of gateways, by host
    too_many_lost: list[Span] = field(default_factory=list)  # more than has to be borne
    troubles: list[Span] = field(default_factory=list)  # any fault, the time after which all are in touch included
    final: float = float("inf")  # when all was calm again for long

    def violations(self) -> list[Violation]:
        """All that did not hold."""
        checks = (
            self._nothing_acknowledged_lost,
            self._one_content_a_number,
            self._one_confirmation_a_number,
            self._never_refused_for_its_own_try,
            self._never_back,
            self._nobody_told_old_state,
            self._in_force_in_time,
            self._majority_kept,
            self._seats_hold_state,
            self._evacuations_in_order,
            self._all_agree_at_the_end,
        )
        return [violation for check in checks for violation in check()]

    def _of(self, *orders: Order) -> list[Call]:
        return [call for call in self.calls if call.order in orders]

    def _acknowledged_by(self, moment: float) -> int:
        """The highest version whose acknowledgement ended before this moment."""
        return max(
            (
                call.version
                for call in self._of(Order.REPLACE)
                if call.acknowledged and call.end is not None and call.end < moment
            ),
            default=-1,
        )

    def _nothing_acknowledged_lost(self) -> Iterator[Violation]:
        """A read that begins after an acknowledgement has ended finds that version or a newer one."""
        for read in self._of(Order.DESCRIBE):
            if read.acknowledged and read.version < (least := self._acknowledged_by(read.begin)):
                yield Violation("lost", f"read begun at {read.begin:.3f} gave {read.version}, acknowledged was {least}")
            if read.final_read and not read.acknowledged:
                yield Violation("lost", f"the last read by {read.operator} got no answer (status {read.status})")

    def _one_content_a_number(self) -> Iterator[Violation]:
        """Whatever was read or told under one version is the same, and was sent."""
        sent: dict[int, set[str]] = {}
        for call in self._of(Order.REPLACE):
            sent.setdefault(call.version, set()).add(call.content)
        seen: dict[int, dict[str, str]] = {}
        reads = ((read.version, read.content, read.operator) for read in self._of(Order.DESCRIBE) if read.acknowledged)
        sights = ((sight.version, sight.content, sight.process) for sight in [*self.gateways, *self.coordinators])
        for version, content, who in [*reads, *sights]:
            if version >= 0:
                seen.setdefault(version, {}).setdefault(content, who)
        for version, contents in seen.items():
            if len(contents) > 1:
                yield Violation("one content", f"version {version} is {contents}")
            if strangers := contents.keys() - sent.get(version, set()):
                yield Violation("one content", f"version {version} is {strangers}, which nobody sent")
        serials: dict[int, set[tuple[int, str, frozenset[str]]]] = {}
        for sight in [*self.gateways, *self.coordinators]:
            serials.setdefault(sight.serial, set()).add((sight.version, sight.content, sight.zones))
        for serial, states in serials.items():
            if len(states) > 1:
                yield Violation("one state", f"serial {serial} is {sorted(map(str, states))}")

    def _one_confirmation_a_number(self) -> Iterator[Violation]:
        """Two contents under one version are not both confirmed as taken; only a newer version overtakes one."""
        confirmed: dict[int, set[str]] = {}
        for call in self._of(Order.REPLACE):
            if call.acknowledged and call.overtaken:
                if call.in_force <= call.version:
                    yield Violation("overtaken", f"version {call.version} was said to be, {call.in_force} in force")
            elif call.acknowledged:
                confirmed.setdefault(call.version, set()).add(call.content)
        for version, contents in confirmed.items():
            if len(contents) > 1:
                yield Violation("one confirmation", f"version {version} was confirmed as {sorted(contents)}")

    def _never_refused_for_its_own_try(self) -> Iterator[Violation]:
        """A content that came into force is never refused under its number."""
        in_force = {(sight.version, sight.content) for sight in [*self.gateways, *self.coordinators]}
        for call in self._of(Order.REPLACE):
            if 400 <= call.status < 500 and (call.version, call.content) in in_force:
                yield Violation("refused", f"{call.content} of version {call.version} was taken, and got {call.status}")

    def _never_back(self) -> Iterator[Violation]:
        """Serials grow within a life."""
        newest: dict[str, Sight] = {}
        for sight in [*self.gateways, *self.coordinators]:
            before = newest.get(sight.process)
            if before is not None and (sight.serial < before.serial or sight.version < before.version):
                yield Violation("back", f"{sight.process} went from {before} to {sight}")
            newest[sight.process] = sight

    def _handed(self, sight: Sight) -> float:
        """When this was sent at the earliest: a gateway that stood still reads first what was sent before that."""
        spans = self.standstills.get(sight.process.partition("#")[0], ())
        return min([sight.at, *(span.begin for span in spans if span.meets(sight.at - WAKING, sight.at))])

    def _nobody_told_old_state(self) -> Iterator[Violation]:
        """What a gateway is handed is not older than what was acknowledged more than the bound before."""
        for sight in self.gateways:
            least = self._acknowledged_by(self._handed(sight) - self.config_apply)
            if sight.version < least:
                yield Violation(
                    "old state",
                    f"{sight.process} (born {sight.born:.3f}) got version {sight.version} at {sight.at:.3f}, "
                    f"{least} was acknowledged over {self.config_apply:.1f} s before",
                )

    def _in_force_in_time(self) -> Iterator[Violation]:
        """In calm times each gateway knows a version within the bound after its acknowledgement."""
        known: dict[str, list[Sight]] = {}
        for sight in self.gateways:
            known.setdefault(sight.process, []).append(sight)
        for call in self._of(Order.REPLACE):
            if not call.acknowledged or call.end is None:
                continue
            begin, end = call.end - self.contact, call.end + self.config_apply
            if any(span.meets(begin, end) for span in self.troubles):
                continue
            for process, life in self.lives.items():
                seen = (sight.version for sight in known.get(process, ()) if sight.at <= end)
                if life.begin < begin and life.end > end and max(seen, default=-1) < call.version:
                    yield Violation("in force", f"{process} lacked version {call.version} at {end:.3f}")

    def _majority_kept(self) -> Iterator[Violation]:
        """While no more is lost than has to be borne, an order is acknowledged within the bound."""
        for call in self._of(Order.REPLACE, Order.START, Order.STOP):
            begin = call.begin
            for span in self.too_many_lost:
                if span.meets(begin, begin + self.ack):
                    begin = max(begin, span.end)
            ended = [moment for moment in (call.end, call.given_up) if moment is not None]
            refused = call.order is Order.REPLACE and call.status == 409
            if begin + self.ack < min([*ended, self.final]) and not refused and not call.once:
                yield Violation(
                    "majority",
                    f"{call.order.value} {call.version}{call.zone} begun at {call.begin:.3f}, ended {call.end}",
                )

    def _seats_hold_state(self) -> Iterator[Violation]:
        """Who becomes a member has the state on its disk before."""
        for seat in self.seats:
            if not seat.holds_state:
                yield Violation("empty seat", f"{seat.host} became a member at {seat.at:.3f} and held nothing")

    def _evacuations_in_order(self) -> Iterator[Violation]:
        """A start that was sent again never comes into force after its stop was acknowledged."""
        for sight in self.gateways:
            for zone in sight.zones:
                if not self._may_be_evacuated(zone, sight):
                    yield Violation("evacuation", f"{sight.process} got {zone} as evacuated at {sight.at:.3f}")

    def _may_be_evacuated(self, zone: str, sight: Sight) -> bool:
        moment = self._handed(sight)
        starts = [call for call in self._of(Order.START) if call.zone == zone and call.begin <= sight.at]
        stops = [call for call in self._of(Order.STOP) if call.zone == zone and call.acknowledged]
        return any(
            not any(stop.begin > start.begin and (stop.end or 0.0) < moment - self.config_apply for stop in stops)
            for start in starts
        )

    def _all_agree_at_the_end(self) -> Iterator[Violation]:
        """After a long calm all gateways that run know the newest state, and it has the zones as they were left."""
        last: dict[str, Sight] = {}
        for sight in self.gateways:
            last[sight.process.partition("#")[0]] = sight
        if not last:
            return
        least = self._acknowledged_by(self.final)
        for sight in last.values():
            if sight.version < least:
                yield Violation("late", f"{sight.process} still has {sight.version} at the end, {least} is in force")
        newest = max(last.values(), key=lambda sight: sight.serial)
        for zone, settled in self._settled_zones().items():
            if (zone in newest.zones) is not settled:
                yield Violation("evacuation", f"{zone} is {'' if not settled else 'not '}evacuated at the end")

    def _settled_zones(self) -> dict[str, bool]:
        """Zones whose last order was acknowledged: whether it was a start."""
        last: dict[str, Call] = {}
        for call in sorted(self._of(Order.START, Order.STOP), key=lambda call: call.begin):
            last[call.zone] = call
        return {zone: call.order is Order.START for zone, call in last.items() if call.acknowledged}


def rules(violations: Iterable[Violation]) -> frozenset[str]:
    """The names of the rules that did not hold."""
    return frozenset(violation.rule for violation in violations)
