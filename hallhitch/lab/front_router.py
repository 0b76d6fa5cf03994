"""The balancer in front of the gateways: to which gateway a client's request goes. Times in ms.

It sends to a gateway that is down until it has noticed that, which takes some time (`FRONT_UNAWARE_MS`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from hallhitch.lab.streams import Stream

FRONT_UNAWARE_MS: Final = (900.0, 3_500.0)  # until the front notices that a gateway is down: assumed


class FrontRouter:
    """Routes requests around gateways that are known to be down."""

    def __init__(self, gateway_count: int, is_running: Callable[[int], bool], stream: Stream) -> None:
        self._gateway_count = gateway_count
        self._is_running = is_running
        self._stream = stream
        self._unaware_until: dict[int, float] = {}
        self.suspended: set[int] = set()  # gateways that do not answer since their process is stopped

    def route(self, preferred: int, spread: int, now: float) -> int | None:
        """Find the gateway for a request among the `spread` ones that its client uses; None if all are known down."""
        for step in range(spread):
            number = (preferred + step) % self._gateway_count
            is_serving = self._is_running(number) and number not in self.suspended
            if is_serving or now < self._unaware_until.get(number, 0.0):
                return number
        return None

    def draw_unaware_ms(self) -> float:
        """Draw how long the front takes to notice a failure."""
        return self._stream.uniform(*FRONT_UNAWARE_MS)

    def notice_down_at(self, number: int, at: float) -> None:
        """Keep routing to a gateway until a time although it is down."""
        self._unaware_until[number] = at
