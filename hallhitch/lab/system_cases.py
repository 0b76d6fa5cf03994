"""The days that the model of the data plane plays: what is asked, where machines stand, what befalls them."""

from __future__ import annotations

from dataclasses import dataclass

from hallhitch.planes.values import RequestKind, Route


@dataclass(frozen=True)
class Kind:
    """One kind of request: rate over all zones (a second), work (ms), what it is worth inside its aim and late."""

    route: Route
    rate: float
    work: float
    spread: float
    deadline: float
    worth: float
    late: float
    bytes: float = 2000.0


def kind(
    name: str,
    how: str,
    service: str,
    rate: float,
    work: float,
    spread: float,
    aim: float,
    worth: float,
    late: float,
    size: float,
    priority: int,
    homes: frozenset[str] = frozenset(),
) -> Kind:
    """A kind of request with a route of its own."""
    route = Route(name, "h", f"/{name}/", RequestKind(how), 4 * aim, aim, priority, ((service, 1.0),), 2, False, homes)
    return Kind(route, rate, work, spread, 4 * aim, worth, late, size)


MIX = (
    kind("look", "idempotent", "big", 200, 90, 0.5, 500, 1, 0.3, 2000, 2),
    kind("commit", "non_idempotent", "big", 86, 120, 0.3, 600, 2, 0.6, 5500, 1, frozenset({"r0", "r1"})),
    kind("pull", "download", "small", 22, 72, 0.5, 500, 1, 0.3, 90000, 2),
    kind("peek", "idempotent", "small", 45, 36, 0.5, 300, 2, 0.6, 2000, 1),
)


@dataclass(frozen=True)
class Case:
    """One day of the model: places, machines, traffic and troubles `(at ms, name)`."""

    name: str
    regions: int = 3
    gateways: tuple[int, ...] = (2, 2, 2, 1, 1, 1)  # by zone; zone i lies in region i mod `regions`
    big: tuple[int, ...] = (5, 4, 4, 4, 4, 3)
    small: tuple[int, ...] = (2, 3, 2, 3, 1, 1)
    slots: int = 3
    queue: int = 12
    resets: bool = True
    speeds: tuple[float, ...] = (1.0, 0.8, 1.0, 1.25)
    load: float = 1.0
    near: float = 0.9  # ms between zones, one way
    far: float = 35.0  # ms between regions, one way
    length: float = 24_000.0
    cold_time: float = 3000.0
    cold_rate: float = 10.0
    troubles: tuple[tuple[float, str], ...] = ()


CASES = (
    Case("calm"),
    Case("high", load=1.4),
    Case("busy", load=1.9),
    Case("full", load=2.3),
    Case("short", load=1.8, troubles=((6000.0, "zone"),)),
    Case("over", load=3.0),
    Case("gone", load=1.3, troubles=((6000.0, "gone"),)),
    Case("dark", load=1.3, troubles=((6000.0, "dark"),)),
    Case("zone", load=1.3, troubles=((6000.0, "zone"),)),
    Case("return", load=1.3, troubles=((6000.0, "return"),)),
    Case("release", load=1.3, troubles=((4000.0, "release"),)),
    Case("evacuate", load=1.3, troubles=((4000.0, "evacuate"),)),
    Case("all cold", troubles=((0.0, "cold"),)),
    Case("turned cold", troubles=((8000.0, "cold"),)),
    Case("six slots", load=1.0, slots=6, queue=24, resets=False, speeds=(0.7 * 1.8, 1.8, 1.8, 1.5 * 1.8), far=55.0),
    Case(
        "grown",
        load=8.0,
        gateways=(15, 15, 14, 14, 14, 14),
        big=(16,) * 6,
        small=(8,) * 6,
        slots=6,
        queue=24,
        length=6000.0,
        cold_rate=12.0,
    ),
)
