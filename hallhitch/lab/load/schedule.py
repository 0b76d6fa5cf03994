"""Request schedules: arrival times of a given shape, and the requests of a mix at these times. Times are in ms."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final, Literal

from msgspec import Struct

from hallhitch.lab.load.trace_format import TraceRequest
from hallhitch.lab.streams import Streams

ArrivalShape = Literal["poisson", "constant", "bursts", "ramp", "onoff"]
PEAK_INTENSITY: Final = {
    "ramp": 2.0,
    "onoff": 2.0,
    "bursts": 5.5,
}  # relative to the mean rate; 1.0 for the other shapes
BURST_PERIOD_MS: Final = 2000
BURST_MS: Final = 200  # of each period; 55 % of the requests are due in it
ON_OFF_MS: Final = 1000


class ClassShare(Struct, frozen=True):
    """The share and the properties of one request class in a mix."""

    share: float
    deadline_ms: int
    has_body: bool


class RequestMix(Struct, frozen=True):
    """The composition of the requests in a run without a trace."""

    classes: dict[str, ClassShare]
    plans: dict[str, float]  # share of each plan
    customers: int = 200
    body_bytes: int = 4096


def arrival_times(shape: ArrivalShape, rate_per_s: float, seconds: float, seed: int) -> list[float]:
    """Draw the due times of requests at a mean rate; shapes that vary the rate are drawn by thinning."""
    stream, end = Streams(seed).of("load"), seconds * 1000
    if shape == "constant":
        return [number * 1000 / rate_per_s for number in range(int(rate_per_s * seconds))]
    peak = PEAK_INTENSITY.get(shape, 1.0)
    times, at = [], stream.exponential(1000 / rate_per_s / peak)
    while at < end:
        if stream.chance(_intensity(shape, at, end) / peak):
            times.append(at)
        at += stream.exponential(1000 / rate_per_s / peak)
    return times


def _intensity(shape: ArrivalShape, at: float, end: float) -> float:
    """The rate of a shape at a time, relative to the mean rate."""
    if shape == "ramp":
        return 2 * at / end
    if shape == "onoff":
        return 2.0 if int(at / ON_OFF_MS) % 2 == 0 else 0.0
    if shape == "bursts":
        return 5.5 if at % BURST_PERIOD_MS < BURST_MS else 0.5
    return 1.0


def make_requests(times: Iterable[float], mix: RequestMix, seed: int) -> list[TraceRequest]:
    """Draw the requests of a mix that are due at the given times."""
    stream = Streams(seed).of("mix")

    def pick(shares: Iterator[tuple[str, float]]) -> str:
        remaining, last = stream.random(), ""
        for name, share in shares:
            remaining, last = remaining - share, name
            if remaining < 0:
                break
        return last

    plan_by_customer = {customer: pick(iter(mix.plans.items())) for customer in range(mix.customers)}
    requests = []
    for at in times:
        name = pick((name, mixed.share) for name, mixed in mix.classes.items())
        mixed = mix.classes[name]
        customer = stream.index(mix.customers)
        body_bytes = mix.body_bytes if mixed.has_body else 0
        plan = plan_by_customer[customer]
        requests.append(
            TraceRequest(at, name, f"{customer + 1:016x}", plan, deadline_ms=mixed.deadline_ms, body=body_bytes)
        )
    return requests
