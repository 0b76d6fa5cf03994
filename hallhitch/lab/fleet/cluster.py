"""Members in virtual time: the real state machines on modelled links, hundreds or a thousand of them.

What each learned of whom, and when, is kept; so detection, false accusations and the time to agree can be read from it.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from hallhitch.lab.fleet.links import Links
from hallhitch.lab.fleet.timeline import TimeLine, Trouble, numbers
from hallhitch.lab.streams import Stream, Streams
from hallhitch.lab.virtual import EPOCH, Handle, VirtualTime
from hallhitch.membership.damped_view import DampedView, DampingSettings, GatewayCounts
from hallhitch.membership.member_view import MemberChange
from hallhitch.membership.messages import Datagram, encode
from hallhitch.membership.protocol import MembershipProtocol
from hallhitch.membership.protocol_settings import ProtocolSettings
from hallhitch.membership.records import MemberRecord, MemberState
from hallhitch.membership.swim import Swim

WAY = (0.2, 0.8)  # ms that a datagram takes one way
CLUSTER = "lab"


@dataclass(slots=True)
class Noted:
    """One change of one view."""

    at: float
    by: int
    about: str
    instance: int
    state: MemberState
    was: MemberState | None


@dataclass(slots=True, eq=False)
class Peer:
    """One process: it may stand still, and then what comes waits."""

    number: int
    protocol: MembershipProtocol
    alive: bool = True
    waiting: list[Datagram] | None = None  # while it stands still
    timer: Handle | None = None
    counted: list[GatewayCounts] = field(default_factory=list)
    sent: int = 0
    bytes: int = 0

    @property
    def swim(self) -> Swim:
        """Its view."""
        return self.protocol.swim

    @property
    def damped_view(self) -> DampedView:
        """Whom it counts on."""
        return self.protocol.damped_view


class Cluster:
    """All members of a run. `follow` hears what follows for a gateway, by number; `sized` counts bytes too."""

    def __init__(
        self,
        count: int,
        seed: int,
        time: VirtualTime | None = None,
        tuning: ProtocolSettings | None = None,
        damping: DampingSettings | None = None,
        seeds: int = 3,
        told: int | None = None,
        sized: bool = False,
        slow: Callable[[int], float] = lambda number: 0.0,
        follow: Callable[[int, GatewayCounts], None] = lambda number, counted: None,
    ) -> None:
        self.time, self.count = time or VirtualTime(), count
        self._streams, self.tuning, self.damping = (
            Streams(seed),
            tuning or ProtocolSettings(),
            damping or DampingSettings(),
        )
        self._seeds = tuple(address(n) for n in range(min(seeds, count)))
        self._told, self._sized, self._slow, self._follow = count if told is None else told, sized, slow, follow
        self.links = Links(count, self._streams.of("links"))
        self._way: Stream = self._streams.of("way")
        self.peers: dict[int, Peer] = {}
        self._starts: Counter[int] = Counter()
        self.noted: list[Noted] = []
        self._held: list[tuple[int, int, Datagram]] = []  # on stalled links

    # Processes.

    def start(self, number: int, name: str = "", kin: int | None = None) -> Peer:
        """A process starts."""
        peer = self._made(number, name, kin)
        peer.swim.start(self.time.now)
        self._done(peer)
        return peer

    def settled(self) -> None:
        """All are there and know each other, as after a long quiet."""
        for number in range(self.count):
            self._made(number, "", None)
        records = [peer.swim.local for peer in self.peers.values()]
        for peer in self.peers.values():
            peer.swim.restore(records, self.time.now)
            peer.swim.start(self.time.now)
            self._done(peer)

    def _made(self, number: int, name: str, kin: int | None) -> Peer:
        self._starts[number] += 1
        rng = random.Random(self._streams.of(f"member {number} start {self._starts[number]}").random())
        instance = rng.getrandbits(63)
        me = MemberRecord(
            name or f"g{number}", instance, 0, MemberState.ALIVE, address(number), instance if kin is None else kin
        )
        now = self.time.now
        peer = self.peers[number] = Peer(
            number,
            MembershipProtocol(
                Swim(me, CLUSTER, self.tuning, rng, self._seeds), DampedView(me, self._told, self.damping, now)
            ),
        )
        return peer

    def start_all(self, over: float = 0.0) -> None:
        """All start, within so many ms."""
        for number in range(self.count):
            self.time.after(over * number / self.count, self.start, number)

    def kill(self, number: int) -> None:
        """A process dies."""
        self.peers[number].alive = False

    def stop(self, number: int) -> None:
        """A process stands still."""
        self.peers[number].waiting = []

    def go_on(self, number: int) -> None:
        """It goes on, with what has come."""
        peer = self.peers[number]
        waiting, peer.waiting = peer.waiting or [], None
        for message in waiting:
            self._hear(peer, message)
        self._tick(peer)

    def term(self, number: int) -> None:
        """A process is told to end: it leaves, and is gone a little later."""
        peer = self.peers[number]
        peer.swim.leave(self.time.now)
        self._done(peer)
        self.time.after(500.0, self._gone, peer)

    def _gone(self, peer: Peer) -> None:
        peer.alive = False

    def play(self, line: TimeLine) -> None:
        """Have all that a time line says happen."""
        for trouble in line.troubles:
            for begins, ends in trouble.times():
                self.time.at(EPOCH + begins, self.begin, trouble, ends - begins)

    def begin(self, trouble: Trouble, lasts: float) -> None:
        """A trouble begins now."""
        whom = [n for n in numbers(trouble.whom, self.count) if n in self.peers and self.peers[n].alive]
        if trouble.kind in ("kill", "restart", "term"):
            for number in whom:
                (self.term if trouble.kind == "term" else self.kill)(number)
                if lasts or trouble.kind == "restart":
                    self.time.after(lasts, self.start, number)
        elif trouble.kind == "stop":
            for number in whom:
                self.stop(number)
                self.time.after(lasts, self.go_on, number)
        else:
            self.time.after(lasts, self._over, self.links.begin(trouble))

    def _over(self, number: int) -> None:
        self.links.end(number)
        held, self._held = self._held, []
        for sender, receiver, message in held:
            self._carry(sender, receiver, message)

    # Views.

    def there(self) -> list[Peer]:
        """Processes that live and do not stand still."""
        return [peer for peer in self.peers.values() if peer.alive and peer.waiting is None]

    def agreed(self) -> bool:
        """Whether all that live hold the same to be there, and nobody else."""
        living = {
            peer.swim.local.key for peer in self.peers.values() if peer.alive and peer.swim.local.state.is_present
        }
        return bool(living) and all(
            {r.key: r.state for r in peer.swim.records() if r.state.is_present}
            == dict.fromkeys(living, MemberState.ALIVE)
            for peer in self.there()
            if peer.swim.local.state.is_present
        )

    def until(self, holds: Callable[[], bool], most: float, step: float = 100.0) -> float:
        """Go on until something holds, and say how many ms that took; `most` where it did not."""
        began = self.time.now
        while not holds() and self.time.now - began < most:
            self.time.run(self.time.now + step)
        return min(most, self.time.now - began)

    # Driving.

    def _done(self, peer: Peer) -> None:
        step = peer.protocol.finish_step(self.time.now)
        for to, message in step.outgoing:
            peer.sent += 1
            if self._sized:
                peer.bytes += len(encode(message))
            self._carry(peer.number, int(to.rpartition(":")[2]) - 1, message)
        for change in step.changes:
            self._note(peer, change)
        if step.counts is not None:
            peer.counted.append(step.counts)
            self._follow(peer.number, step.counts)
        if peer.timer is not None:
            peer.timer.cancel()
        # A busy process comes late to its timers.
        peer.timer = self.time.at(peer.protocol.next_wake() + self._slow(peer.number), self._tick, peer)

    def _tick(self, peer: Peer) -> None:
        if peer.alive and peer.waiting is None and self.peers.get(peer.number) is peer:
            peer.swim.tick(self.time.now)
            self._done(peer)

    def _carry(self, sender: int, receiver: int, message: Datagram) -> None:
        one, other = f"g{sender}", f"g{receiver}"
        if self.links.stalled(one, other):
            self._held.append((sender, receiver, message))
            return
        for late in self.links.copies(one, other):
            self.time.after(late + self._way.between(*WAY), self._arrive, receiver, message)

    def _arrive(self, receiver: int, message: Datagram) -> None:
        peer = self.peers.get(receiver)
        if peer is None or not peer.alive:
            return
        if peer.waiting is not None:
            if len(peer.waiting) < 256:  # as many as its socket holds
                peer.waiting.append(message)
        elif late := self._slow(receiver):
            self.time.after(late, self._heard_late, peer, message)
        else:
            self._hear(peer, message)

    def _heard_late(self, peer: Peer, message: Datagram) -> None:
        if peer.alive and peer.waiting is None:
            self._hear(peer, message)

    def _hear(self, peer: Peer, message: Datagram) -> None:
        peer.swim.handle_message(message, self.time.now)
        self._done(peer)

    def _note(self, peer: Peer, change: MemberChange) -> None:
        r = change.record
        self.noted.append(Noted(self.time.now - EPOCH, peer.number, r.name, r.instance, r.state, change.previous_state))


def address(number: int) -> str:
    """Where a member of a modelled cluster is reached."""
    return f"127.0.0.1:{number + 1}"
