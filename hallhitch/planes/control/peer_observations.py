"""What a coordinator has observed of the others: who answers, who asks for a seat, who leaves. No I/O, no clock.

Bounded: members, those under way, and those heard of within `REMEMBERED` silences.
"""

from __future__ import annotations

from dataclasses import dataclass

from hallhitch.messages.system_pb2 import AcceptorQuery
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.membership_policy import Observations

REMEMBERED = 10.0  # silences after which one that is no member is forgotten


@dataclass(slots=True)
class Asker:
    """One that asks what we hold."""

    asked: float  # ms, when it did so last
    current: float = float("-inf")  # ms, when it last held the newest state known here on its disk
    leaving: bool = False


class Contacts:
    """`heard`: when each last answered (ms), own included; `since`: from when on this process listens unbroken."""

    def __init__(self, address: str, since: float, silence: float) -> None:
        self._address, self.since, self.silence = address, since, silence
        self.heard: dict[str, float] = {}
        self._askers: dict[str, Asker] = {}
        self.leaving = False  # whether this process is about to end

    def asked(self, message: AcceptorQuery, at: float, newest: Ballot) -> None:
        """Another coordinator reads; `newest` is the ballot of the newest state known here."""
        if not message.address or message.address == self._address:
            return
        asker = self._askers.setdefault(message.address, Asker(at))
        asker.asked, asker.leaving = at, message.is_leaving
        if message.can_vote and Ballot.from_message(message.known_ballot) >= newest:
            asker.current = at

    def answers(self, address: str, at: float) -> bool:
        """Whether it answered within a silence; this process always does."""
        return address == self._address or at - self.heard.get(address, float("-inf")) <= self.silence

    def asking(self, at: float) -> frozenset[str]:
        """Who asked within a silence."""
        return frozenset(one for one, asker in self._askers.items() if at - asker.asked <= self.silence)

    def unheard(self, at: float) -> bool:
        """Whether one asks that has not answered yet."""
        return any(one not in self.heard for one in self.asking(at))

    def arriving(self, membership: Membership, at: float) -> bool:
        """Whether one that is no member, and does not leave, may soon be a candidate."""
        return any(not self._askers[one].leaving for one in self.asking(at) - membership.all_members)

    def observe(self, membership: Membership, at: float) -> Observations:
        """What counts for a decision on these members."""
        members = membership.all_members
        heard = {one for one in self.heard.keys() | members if self.answers(one, at)}
        return Observations(
            reachable=frozenset(heard),
            leaving=self._leaving(),
            silent=frozenset(one for one in members - heard if at - self.since > self.silence),
            candidates=frozenset(
                one
                for one, asker in self._askers.items()
                if one in heard - members and at - asker.current <= self.silence
            ),
        )

    def _leaving(self) -> frozenset[str]:
        others = frozenset(one for one, asker in self._askers.items() if asker.leaving)
        return others | {self._address} if self.leaving else others

    def prune(self, membership: Membership, at: float) -> None:
        """Forget who is no member and was not heard of for long."""
        horizon = at - REMEMBERED * self.silence
        keep = membership.all_members | {self._address}
        for one in [one for one, heard in self.heard.items() if one not in keep and heard < horizon]:
            del self.heard[one]
        for one in [one for one, asker in self._askers.items() if one not in keep and asker.asked < horizon]:
            del self._askers[one]
