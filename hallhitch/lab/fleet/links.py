"""What becomes of what one party sends to another, by the troubles that there are now: free of I/O and of time."""

from __future__ import annotations

from dataclasses import dataclass

from hallhitch.lab.fleet.timeline import Trouble, Whom, numbers, split
from hallhitch.lab.streams import Stream


@dataclass(slots=True)
class _Active:
    trouble: Trouble
    senders: frozenset[str]  # none: everybody
    receivers: frozenset[str]
    parts: list[frozenset[str]]

    def befalls(self, sender: str, receiver: str) -> bool:
        """Whether it befalls what goes this way."""
        if self.trouble.kind == "split":
            one = next((n for n, part in enumerate(self.parts) if sender in part), None)
            other = next((n for n, part in enumerate(self.parts) if receiver in part), None)
            return one is not None and other is not None and one != other
        if self._matches(sender, receiver):
            return True
        return not self.trouble.one_way and self._matches(receiver, sender)

    def _matches(self, sender: str, receiver: str) -> bool:
        return (not self.senders or sender in self.senders) and (not self.receivers or receiver in self.receivers)


class Links:
    """All links of a run, and what ails them."""

    def __init__(self, gateways: int, stream: Stream) -> None:
        self._gateways, self._stream = gateways, stream
        self._active: dict[int, _Active] = {}
        self._number = 0

    def begin(self, trouble: Trouble) -> int:
        """A trouble begins; its number, to end it by."""
        self._number += 1
        self._active[self._number] = _Active(
            trouble, self._names(trouble.whom), self._names(trouble.to), split(trouble.parts, self._gateways)
        )
        return self._number

    def end(self, number: int) -> None:
        """It is over."""
        self._active.pop(number, None)

    def heal(self) -> None:
        """All are over."""
        self._active.clear()

    def cut(self, sender: str, receiver: str) -> bool:
        """Whether nothing passes this way, nor new connections."""
        return any(a.trouble.kind in ("cut", "split") and a.befalls(sender, receiver) for a in self._active.values())

    def stalled(self, sender: str, receiver: str) -> bool:
        """Whether what is sent this way waits until it is over."""
        return any(a.trouble.kind == "stall" and a.befalls(sender, receiver) for a in self._active.values())

    def copies(self, sender: str, receiver: str) -> list[float]:
        """How late each copy of a datagram arrives, in ms: none where it is lost."""
        if not self._active:
            return [0.0]
        late = [0.0]
        for active in self._active.values():
            trouble = active.trouble
            if not active.befalls(sender, receiver):
                continue
            if trouble.kind in ("cut", "split"):
                return []
            if trouble.kind == "drop":
                late = [ms for ms in late if not self._stream.chance(trouble.share)]
            elif trouble.kind == "duplicate":
                late += [ms for ms in late if self._stream.chance(trouble.share)]
            elif trouble.kind == "delay":
                late = [
                    ms + (self._stream.between(*trouble.delay_ms) if self._stream.chance(trouble.share) else 0.0)
                    for ms in late
                ]
        return late

    def _names(self, whom: Whom) -> frozenset[str]:
        named = {f"g{n}" for n in numbers(whom, self._gateways)}
        return frozenset(named | {name for name in whom if not name.startswith("g")})
