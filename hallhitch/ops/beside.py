"""This process beside another of the same gateway: limits held together, and what was learned left for the next.

It owns when the other is looked for, and when a note is left. It decides nothing on traffic: who shares a limit is told
that another process lives, and whether that one takes clients.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from hallhitch.core.deadlines import Deadlines
from hallhitch.ops import handover
from hallhitch.ops.neighbour import LIVES, SERVES, Neighbour

LOOK = 250.0  # ms between looks for another process of this gateway
LEAVE = 1000.0  # ms between the notes that a next process finds of what this one learned
Share = Callable[[bool, bool], None]  # whether another process lives, and whether it takes clients
log = structlog.get_logger()


class Beside:
    """Looks for another process; without a folder there is none, and nothing is left."""

    def __init__(
        self, folder: str | None, deadlines: Deadlines, learner: handover.Learner, idleness: handover.Idleness
    ) -> None:
        """`folder` is the one that all processes of this gateway have, gone with the last of them."""
        self._folder, self._deadlines, self._learner, self._idleness = folder, deadlines, learner, idleness
        self._neighbour = Neighbour(folder)
        self._seen = (False, False)
        self._sharers: list[Share] = []
        self._ending = False  # and leaves nothing more
        self._left = True  # whether the last note could be left

    def take_over(self) -> None:
        """Go on from what another process that lives has left, if it left anything."""
        if self._folder is None or not self._neighbour.other(LIVES):
            return
        left = handover.read(self._folder, self._deadlines.clock())
        if left is not None:
            handover.take(left, self._learner, self._idleness)
            log.info(
                "goes on from what another process learned",
                classes=list(left["classes"]),
                customers=len(left["customers"]),
            )

    def serves(self, sharers: list[Share]) -> None:
        """Clients are taken by this process from now on; the sharers hear of another one, now and as it changes."""
        self._sharers = sharers
        self._neighbour.serves()
        if self._folder is not None:
            self._again()
            self._leave(self._folder)

    def look(self) -> None:
        """Look now: who is about to turn somebody away may not know yet that the other takes clients."""
        lives = self._neighbour.other(LIVES)
        seen = lives, lives and self._neighbour.other(SERVES)
        if seen != self._seen:
            self._seen = seen
            log.info("shares its limits" if lives else "alone with its limits", other_takes_clients=seen[1])
            for share in self._sharers:
                share(*seen)

    def ends(self) -> None:
        """Nothing more is left for a next process."""
        self._ending = True

    def close(self) -> None:
        """Be gone, for the other."""
        self._neighbour.close()

    def _again(self) -> None:
        self.look()
        self._deadlines.after(LOOK, self._again)

    def _leave(self, folder: str) -> None:
        if not self._ending:
            left = handover.write(folder, self._learner, self._idleness, self._deadlines.clock())
            if self._left and not left:
                log.warning("nothing is left for a next process", folder=folder)
            self._left = left
            self._deadlines.after(LEAVE, lambda: self._leave(folder))
