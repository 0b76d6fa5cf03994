"""Latency estimates by service and route, and the relative latency of each backend.

From past response times the module derives the expected latency, the delay before a hedged request, and whether a
backend is unresponsive. Mean and mean deviation are exponentially weighted moving averages as in TCP's retransmission
timer (Jacobson, 1988). Latencies and delays are milliseconds; times are milliseconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from hallhitch.planes.data.outlier_detection import UnansweredSends

# Weight of one response in the averages of a route: they cover about sixteen responses, and a tail of one response in a
# hundred has no lasting effect on them.
AVERAGE_GAIN: Final = 1 / 16
FASTEST_DRIFT_RATIO: Final = 0.1  # of that gain: how fast the fastest latency drifts up to the mean
LATENCY_RATIO_GAIN: Final = 0.15  # weight of one response: steady enough if the work of requests varies by half
# Time after which a backend's ratio has moved half of the way back to 1, so that a slow backend is tried again.
LATENCY_RATIO_HALVING_MS: Final = 2500.0
MAX_LATENCY_RATIO: Final = 4.0  # limits the effect of a single slow response on its backend
INITIAL_MEAN_RATIO: Final = 0.25  # of a route's latency target, before its first response
INITIAL_FASTEST_RATIO: Final = 0.2  # of the initial mean
MIN_HEDGE_SAMPLES: Final = 3  # responses; with fewer the hedge delay is derived from the latency target
INITIAL_HEDGE_RATIO: Final = 0.5  # of the latency target, with fewer responses
# A hedge delay is this many means, or the mean and this many mean deviations if latencies vary more. One response in
# fifty exceeds it by chance, which keeps hedged requests far below the retry budget.
HEDGE_MEAN_MULTIPLE: Final = 3.0
HEDGE_DEVIATION_MULTIPLE: Final = 4.0
HEDGE_RESERVE_MEAN_MULTIPLE: Final = 1.5  # means reserved for a hedged request to respond within the target
MIN_HEDGE_DELAY_MS: Final = 30.0  # shorter delays are dominated by network jitter
MAX_HEDGE_RATIO: Final = 0.5  # of the time to the deadline: the other half is for the hedged request
# A backend, or a whole zone, is unresponsive if the first, second or third send since its last response is older than
# the mean latency plus this many mean deviations. About one response in thirty exceeds three deviations; two or three
# late responses at once are as rare at the smaller limits.
UNRESPONSIVE_ENDPOINT_DEVIATIONS: Final = (3.0, 1.5)
UNRESPONSIVE_ZONE_DEVIATIONS: Final = (6.0, 3.0, 1.5)
UNRESPONSIVE_MIN_SAMPLES: Final = 10  # responses to the service before anything counts as unresponsive
REMOTE_MEAN_FACTOR: Final = 2.0  # the mean of responses from nearby backends lacks the round trip to another region
SLOW_SERVICE_RATIO: Final = 0.2  # of attempts that exceed their hedge delay: the whole service is slow, not one backend
LATE_RATIO_GAIN: Final = 0.04  # weight of one attempt in that ratio


@dataclass(slots=True)
class LatencyAverage:
    """Moving averages of the response times of one route at one service."""

    mean_ms: float
    deviation_ms: float
    fastest_ms: float  # the fastest recent response; drifts up to the mean
    samples: int = 0

    def observe(self, latency_ms: float) -> None:
        """Record one complete response."""
        # The first responses have a greater weight, so that the initial guess soon loses its effect.
        gain = max(AVERAGE_GAIN, 1.0 / (self.samples + 1))
        self.samples += 1
        error_ms = latency_ms - self.mean_ms
        self.mean_ms += gain * error_ms
        self.deviation_ms += gain * (abs(error_ms) - self.deviation_ms)
        if self.samples == 1:
            self.fastest_ms = latency_ms
        else:
            drift_ms = AVERAGE_GAIN * (self.mean_ms - self.fastest_ms) * FASTEST_DRIFT_RATIO
            self.fastest_ms = min(latency_ms, self.fastest_ms + drift_ms)


class LatencyRatio:
    """The ratio of one backend's response times to the mean.

    A backend with a ratio above 1 is slow, or busy with the requests of other gateways.
    """

    __slots__ = ("_observed_at_ms", "_ratio")

    def __init__(self) -> None:
        self._ratio = 1.0
        self._observed_at_ms = 0.0

    def observe(self, now: float, ratio: float) -> None:
        """Record one response that took `ratio` times the mean."""
        self._ratio = self.value(now)
        self._ratio += LATENCY_RATIO_GAIN * (min(ratio, MAX_LATENCY_RATIO) - self._ratio)
        self._observed_at_ms = now

    def value(self, now: float) -> float:
        """Return the ratio expected now; without new responses it decays to 1."""
        age_ms = max(0.0, now - self._observed_at_ms)
        return 1.0 + (self._ratio - 1.0) * LATENCY_RATIO_HALVING_MS / (LATENCY_RATIO_HALVING_MS + age_ms)


class LatencyEstimate:
    """The response times of one service, by route and over all routes."""

    def __init__(self) -> None:
        self._by_route: dict[str, LatencyAverage] = {}
        self._all_routes = LatencyAverage(0.0, 0.0, 0.0)
        self._late_ratio = 0.0  # share of idempotent attempts that exceed their hedge delay

    def for_route(self, route: str, target_ms: float) -> LatencyAverage:
        """Return the average of a route; before its first response, a guess based on its latency target."""
        average = self._by_route.get(route)
        if average is None:
            mean_ms = target_ms * INITIAL_MEAN_RATIO
            average = self._by_route[route] = LatencyAverage(mean_ms, mean_ms, mean_ms * INITIAL_FASTEST_RATIO)
        return average

    def observe(self, average: LatencyAverage, latency_ms: float) -> None:
        """Record one complete response in the average of its route and in that of all routes."""
        average.observe(latency_ms)
        self._all_routes.observe(latency_ms)

    def is_unresponsive(
        self, now: float, endpoint_sends: UnansweredSends, zone_sends: UnansweredSends, is_remote: bool
    ) -> bool:
        """Return whether a backend, or its whole zone, has not responded for an unusually long time."""
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
        """Record whether one idempotent attempt exceeded its hedge delay."""
        self._late_ratio += LATE_RATIO_GAIN * ((1.0 if is_exceeded else 0.0) - self._late_ratio)

    @property
    def is_slow(self) -> bool:
        """Whether so many attempts are late that hedged requests would only add to the load."""
        return self._late_ratio > SLOW_SERVICE_RATIO

    def hedge_delay(self, average: LatencyAverage, target_ms: float, elapsed_ms: float, remaining_ms: float) -> float:
        """Return the delay (ms) after which a hedged request to another backend is worthwhile.

        `elapsed_ms` is the time since the request arrived, `remaining_ms` the time to its deadline.
        """
        max_delay_ms = max(remaining_ms * MAX_HEDGE_RATIO, 0.0)
        if average.samples < MIN_HEDGE_SAMPLES:
            delay_ms = target_ms * INITIAL_HEDGE_RATIO
        elif self.is_slow:
            delay_ms = max_delay_ms
        else:
            mean_ms = average.mean_ms
            delay_ms = max(HEDGE_MEAN_MULTIPLE * mean_ms, mean_ms + HEDGE_DEVIATION_MULTIPLE * average.deviation_ms)
            # Hedge early enough for the hedged request to respond within the target, if that is still possible.
            spare_ms = target_ms - elapsed_ms - HEDGE_RESERVE_MEAN_MULTIPLE * mean_ms
            if spare_ms > HEDGE_RESERVE_MEAN_MULTIPLE * mean_ms:
                delay_ms = min(delay_ms, spare_ms)
        return min(max(delay_ms, MIN_HEDGE_DELAY_MS), max(max_delay_ms, 1.0))
