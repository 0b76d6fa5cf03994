"""When a gateway asks discovery: decided here, apart from sockets and clocks.

All gateways start, move and lose discovery together. Where discovery has to be asked, each call waits in one line
there and fails when it has waited too long, and the service also works on calls that nobody waits for any more. A
line that is long enough therefore fails every call in it, for as long as they all come again.
"""

from __future__ import annotations

import random

TURN = 150.0  # ms of discovery's time that a gateway's watch is planned to take where it has to be asked
MOVE = 1500.0  # ms over which gateways move to another discovery at most, as they must soon know its list
AGAIN, AGAIN_MOST = 100.0, 3200.0  # ms before the next try after one that failed; doubles with each further one


class Pacing:
    """The waits of one gateway's watch, in ms; each is random, so that gateways spread by themselves."""

    def __init__(self, gateways: int, asked: bool, seed: int) -> None:
        """`asked` says whether a watch costs discovery a call; `gateways` share it."""
        self._random, self._failed = random.Random(seed), 0
        self._spread = gateways * TURN if asked else 0.0

    def first(self, moved: bool) -> float:
        """Before the first watch, or the first one at another address."""
        self._failed = 0
        return self._random.random() * (min(MOVE, self._spread) if moved else self._spread)

    def failed(self, reached: bool) -> float:
        """Before the next try; one that did not reach discovery (`reached` false) has cost it nothing."""
        first, longest = (
            (max(AGAIN, self._spread), max(AGAIN_MOST, 2 * self._spread)) if reached else (AGAIN, AGAIN_MOST)
        )
        most = min(longest, first * 2.0 ** min(self._failed, 16))
        self._failed += 1
        return most * (1 + self._random.random()) / 2

    def answered(self) -> None:
        """A watch had its answer."""
        self._failed = 0
