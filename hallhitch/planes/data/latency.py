"""Response times: learned for each service and route, and how each backend compares with the others.

Turns past response times into expectations: the mean, when a hedged request is worth sending, and whether a backend is
unresponsive. Mean and mean deviation are exponentially weighted as in TCP's retransmission timer (Jacobson, 1988).
Latencies and delays are ms, times steady ms.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from hallhitch.planes.data.outlier_detection import UnansweredSends

AVERAGE_GAIN: Final = 1 / 16  # of one response: an average of some sixteen, so that a tail of one in a hundred is lost
FASTEST_DRIFT: Final = 0.1  # of the same gain, by which the fastest response drifts up to the mean
RATIO_GAIN: Final = 0.15  # of one response of one backend: steady enough against work that varies by half
RATIO_HALVING_MS: Final = 2500.0  # after which half of what is known of a backend is forgotten, so that it is retried
MAX_RATIO: Final = 4.0  # one long response must not condemn a backend
INITIAL_MEAN_RATIO: Final = 0.25  # of a route's latency target, before any response was seen
INITIAL_FASTEST_RATIO: Final = 0.2  # of that mean
MIN_HEDGE_SAMPLES: Final = 3  # responses without which the hedge delay follows from the target
UNLEARNED_HEDGE_RATIO: Final = 0.5  # of the target, until then
HEDGE_MEANS: Final = 3.0  # one response in fifty takes longer by chance, so hedges stay far below the retry budget
HEDGE_DEVIATIONS: Final = 4.0  # mean deviations above the mean: the same where responses vary much
HEDGE_RESERVE_MEANS: Final = 1.5  # time that a hedged request is given to respond within the target
MIN_HEDGE_DELAY_MS: Final = 30.0  # below this the jitter of the network decides
MAX_HEDGE_RATIO: Final = 0.5  # of the time to the deadline: the other half is for the hedged request
# Mean deviations above the mean after which the first, second, third send without any response since is odd. About one
# response in thirty takes longer than three; two or three that are late together are as rare at less.
UNRESPONSIVE_ENDPOINT_DEVIATIONS: Final = (3.0, 1.5)
UNRESPONSIVE_ZONE_DEVIATIONS: Final = (6.0, 3.0, 1.5)
UNRESPONSIVE_MIN_SAMPLES: Final = 10  # responses before which nothing is called odd
REMOTE_MEAN_FACTOR: Final = 2.0  # responses of near backends do not show the way to another region
SLOW_SERVICE_RATIO: Final = 0.2  # of attempts beyond their hedge delay: the whole service is slow, not one backend
LATE_RATIO_GAIN: Final = 0.04


@dataclass(slots=True)
class LatencyAverage:
    """Response times of one route at one service: mean, mean deviation and the fastest of late."""

    mean_ms: float
    deviation_ms: float
    fastest_ms: float
    samples: int = 0

    def observe(self, latency_ms: float) -> None:
        """Record one complete response."""
        # The first few count more, so that the initial guess is soon forgotten.
        gain = max(AVERAGE_GAIN, 1.0 / (self.samples + 1))
        self.samples += 1
        error_ms = latency_ms - self.mean_ms
        self.mean_ms += gain * error_ms
        self.deviation_ms += gain * (abs(error_ms) - self.deviation_ms)
        if self.samples == 1:
            self.fastest_ms = latency_ms
        else:
            drift_ms = AVERAGE_GAIN * (self.mean_ms - self.fastest_ms) * FASTEST_DRIFT
            self.fastest_ms = min(latency_ms, self.fastest_ms + drift_ms)


class LatencyRatio:
    """How one backend's response times compare with the mean: above 1 it is slow, or busy with others' requests."""

    __slots__ = ("_observed_at_ms", "_ratio")

    def __init__(self) -> None:
        self._ratio = 1.0
        self._observed_at_ms = 0.0

    def observe(self, now: float, ratio: float) -> None:
        """Record one response that took `ratio` times the mean."""
        self._ratio = self.value(now)
        self._ratio += RATIO_GAIN * (min(ratio, MAX_RATIO) - self._ratio)
        self._observed_at_ms = now

    def value(self, now: float) -> float:
        """Return the ratio to expect now; it returns to 1 with time."""
        age_ms = max(0.0, now - self._observed_at_ms)
        return 1.0 + (self._ratio - 1.0) * RATIO_HALVING_MS / (RATIO_HALVING_MS + age_ms)


class LatencyEstimate:
    """Response times of one service, by route and over all routes."""

    def __init__(self) -> None:
        self._by_route: dict[str, LatencyAverage] = {}
        self._all_routes = LatencyAverage(0.0, 0.0, 0.0)
        self._late_ratio = 0.0  # of attempts that outlast their hedge delay

    def for_route(self, route: str, target_ms: float) -> LatencyAverage:
        """Return the average of a route; a guess from its latency target before any response was seen."""
        average = self._by_route.get(route)
        if average is None:
            mean_ms = target_ms * INITIAL_MEAN_RATIO
            average = self._by_route[route] = LatencyAverage(mean_ms, mean_ms, mean_ms * INITIAL_FASTEST_RATIO)
        return average

    def observe(self, average: LatencyAverage, latency_ms: float) -> None:
        """Record one complete response on the route of `average`."""
        average.observe(latency_ms)
        self._all_routes.observe(latency_ms)

    def is_unresponsive(
        self, now: float, endpoint_sends: UnansweredSends, zone_sends: UnansweredSends, is_remote: bool
    ) -> bool:
        """Return whether it is odd that a backend, or its whole zone, has not responded by now."""
        if self._all_routes.samples < UNRESPONSIVE_MIN_SAMPLES:
            return False
        mean_ms, deviation_ms = self._all_routes.mean_ms, self._all_routes.deviation_ms
        if is_remote:
            mean_ms *= REMOTE_MEAN_FACTOR
        for sends, limits in (
            (endpoint_sends.sent_at_ms, UNRESPONSIVE_ENDPOINT_DEVIATIONS),
            (zone_sends.sent_at_ms, UNRESPONSIVE_ZONE_DEVIATIONS),
        ):
            for sent_at_ms, deviations in zip(sends, limits, strict=False):
                if now - sent_at_ms > mean_ms + deviations * deviation_ms:
                    return True
        return False

    def record_hedge_delay(self, is_exceeded: bool) -> None:
        """Record whether one idempotent attempt outlasted its hedge delay."""
        self._late_ratio += LATE_RATIO_GAIN * ((1.0 if is_exceeded else 0.0) - self._late_ratio)

    @property
    def is_slow(self) -> bool:
        """Return whether so many attempts are late that hedged requests would only add to the load."""
        return self._late_ratio > SLOW_SERVICE_RATIO

    def hedge_delay(self, average: LatencyAverage, target_ms: float, elapsed_ms: float, remaining_ms: float) -> float:
        """Return after how many ms another backend is worth trying, for a request `remaining_ms` before its deadline.

        `elapsed_ms` have passed since the request arrived.
        """
        max_delay_ms = max(remaining_ms * MAX_HEDGE_RATIO, 0.0)
        if average.samples < MIN_HEDGE_SAMPLES:
            delay_ms = target_ms * UNLEARNED_HEDGE_RATIO
        elif self.is_slow:
            delay_ms = max_delay_ms
        else:
            mean_ms = average.mean_ms
            delay_ms = max(HEDGE_MEANS * mean_ms, mean_ms + HEDGE_DEVIATIONS * average.deviation_ms)
            # Early enough for the hedged request to respond within the target, if that is still possible.
            spare_ms = target_ms - elapsed_ms - HEDGE_RESERVE_MEANS * mean_ms
            if spare_ms > HEDGE_RESERVE_MEANS * mean_ms:
                delay_ms = min(delay_ms, spare_ms)
        return min(max(delay_ms, MIN_HEDGE_DELAY_MS), max(max_delay_ms, 1.0))
