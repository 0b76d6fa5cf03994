"""Which processes of the system live, as one coordinator knows it: those it hears, and those the others hear.

Decided without I/O: the moment is an argument.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from hallhitch.planes.values import Gateway

SILENCE = 1800.0  # ms without a pull after which a process is taken for gone: three pulls and a round trip


class GatewayRegistry:
    """What one coordinator hears."""

    def __init__(self) -> None:
        self._heard: dict[str, float] = {}
        self.entries: dict[str, Gateway] = {}

    def hear(self, now: float, gateway: Gateway) -> None:
        """A process has pulled."""
        self._heard[gateway.address] = now
        self.entries[gateway.address] = gateway

    def forget_silent(self, now: float) -> None:
        """Let those go that were silent for too long."""
        for address in [a for a, at in self._heard.items() if now - at > SILENCE]:
            del self._heard[address], self.entries[address]


def united(own: Mapping[str, Gateway], others: Iterable[Mapping[str, Gateway]]) -> dict[str, Gateway]:
    """All that somebody hears; one that anybody knows to be leaving is leaving, as it may pull from another by now."""
    union = dict(own)
    for table in others:
        for address, gateway in table.items():
            known = union.get(address)
            if known is None or gateway.is_leaving and gateway.incarnation == known.incarnation:
                union[address] = gateway
    return union
