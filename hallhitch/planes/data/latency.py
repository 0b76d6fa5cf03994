"""How long answers take: learned for each service and route, and how each backend compares.

Owns no choice: it only turns past answers into what is to be expected. All times in ms.
"""

from __future__ import annotations

from dataclasses import dataclass

from hallhitch.planes.data.outlier_detection import UnansweredSends

GAIN = 1 / 16  # of one answer: some sixteen answers make a mind, so a tail of one in a hundred does not
RATIO_GAIN = 0.15  # of one answer for one backend: steady enough against work that varies by half
RATIO_FADE = 2500.0  # ms after which half of what is known of a backend is forgotten, so it is asked again
RATIO_MOST = 4.0  # one long answer must not condemn a backend
GUESS = 0.25  # of a route's target: what an answer takes before any was seen
PATIENCE = 3.0  # times the usual: one in fifty is later by chance, so hedges stay far below the budget
PATIENCE_LEAST = 30.0  # ms: below this the network's own wobble decides
# Mean deviations beyond the mean after which the first, second, third send without any answer since is odd. About one
# answer in thirty takes longer than three; two or three that are late together are as rare at less.
HUSH_SEAT = (3.0, 1.5)
HUSH_ZONE = (6.0, 3.0, 1.5)
HUSH_SEEN = 10
FAR = 2.0  # the way to another region is in none of the near answers
SLOW = 0.2  # share of attempts beyond their patience from which the whole service is slow, not one backend
SLOW_GAIN = 0.04


@dataclass(slots=True)
class LatencyAverage:
    """What one route's answers from one service take: mean, mean deviation and the fastest of late."""

    mean: float
    deviation: float
    fastest: float
    seen: int = 0

    def took(self, lag: float) -> None:
        """One whole answer came after `lag`."""
        # The first few count more, so that a guess is soon forgotten.
        gain = max(GAIN, 1.0 / (self.seen + 1))
        self.seen += 1
        off = lag - self.mean
        self.mean += gain * off
        self.deviation += gain * (abs(off) - self.deviation)
        self.fastest = lag if self.seen == 1 else min(lag, self.fastest + GAIN * (self.mean - self.fastest) * 0.1)


@dataclass(slots=True)
class LatencyRatio:
    """How one backend's answers compare with the usual: 1 = as all, more = slow or busy with others' requests."""

    value: float = 1.0
    at: float = 0.0

    def took(self, now: float, ratio: float) -> None:
        """One answer took `ratio` times the usual."""
        self.value = self.seen(now)
        self.value += RATIO_GAIN * (min(ratio, RATIO_MOST) - self.value)
        self.at = now

    def seen(self, now: float) -> float:
        """What is to be expected of it now."""
        return 1.0 + (self.value - 1.0) * RATIO_FADE / (RATIO_FADE + max(0.0, now - self.at))


class LatencyEstimate:
    """The usual times of one service, by route."""

    def __init__(self) -> None:
        self._usual: dict[str, LatencyAverage] = {}
        self._all = LatencyAverage(0.0, 0.0, 0.0)
        self._late = 0.0

    def usual(self, route: str, target: float) -> LatencyAverage:
        """What this route's answers take; a guess from its target (ms) before any was seen."""
        usual = self._usual.get(route)
        if usual is None:
            usual = self._usual[route] = LatencyAverage(target * GUESS, target * GUESS, target * GUESS * 0.2)
        return usual

    def took(self, usual: LatencyAverage, lag: float) -> None:
        """One whole answer came after `lag` on the route of `usual`."""
        usual.took(lag)
        self._all.took(lag)

    def silent(self, now: float, seat: UnansweredSends, zone: UnansweredSends, far: bool) -> bool:
        """Whether it is odd that a backend, or its whole zone, has not answered by now; not told before enough came."""
        if self._all.seen < HUSH_SEEN:
            return False
        mean, deviation = self._all.mean, self._all.deviation
        if far:
            mean *= FAR
        for sends, most in ((seat.sends, HUSH_SEAT), (zone.sends, HUSH_ZONE)):
            for sent, times in zip(sends, most, strict=False):
                if now - sent > mean + times * deviation:
                    return True
        return False

    def ended(self, late: bool) -> None:
        """One repeatable attempt ended, or outlasted its patience."""
        self._late += SLOW_GAIN * ((1.0 if late else 0.0) - self._late)

    @property
    def slow(self) -> bool:
        """Whether so many are late that a second attempt would only add to it."""
        return self._late > SLOW

    def patience(self, usual: LatencyAverage, target: float, spent: float, left: float) -> float:
        """After how many ms another backend is worth trying: `spent` ms are over, `left` ms remain."""
        most = max(left * 0.5, 0.0)
        if usual.seen < 3:
            wait = target * 0.5
        elif self.slow:
            wait = most
        else:
            wait = max(PATIENCE * usual.mean, usual.mean + 4.0 * usual.deviation)
            # Early enough for the second to be within the target, if that can still be had.
            chance = target - spent - 1.5 * usual.mean
            if chance > 1.5 * usual.mean:
                wait = min(wait, chance)
        return min(max(wait, PATIENCE_LEAST), max(most, 1.0))
