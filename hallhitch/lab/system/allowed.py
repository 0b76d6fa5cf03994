"""What the operator's configurations allow, read from them as they were sent; which of them may be in force when.

Plain look-ups over records: no I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from hallhitch.lab.system.records import FOREVER, Config, Figures, Order, Span

UNSAFE = "non_idempotent"


def route_of(config: Config, host: str, path: str) -> tuple[str, Any] | None:
    """Name and table of the route that a request takes: of its host, the longest prefix that begins its path."""
    path = path.partition("?")[0]
    found = [
        (len(route["pathPrefix"]), name, route)
        for name, route in config["routes"].items()
        if route["host"].lower() == host.lower() and path.startswith(route["pathPrefix"])
    ]
    if not found:
        return None
    _, name, route = max(found, key=lambda each: each[0])
    return name, route


def services_of(route: Any) -> frozenset[str]:
    """Those to which a route may send."""
    split = route.get("trafficSplit")
    return frozenset(part["targetService"] for part in split) if split else frozenset((route["targetService"],))


def tenant_of(config: Config, key: str) -> str:
    """The tenant that holds a key, "" = nobody."""
    return next((name for name, tenant in config.get("tenants", {}).items() if key and key in tenant["apiKeys"]), "")


def admits(config: Config, host: str, path: str, key: str) -> bool:
    """Whether a request has a route, and the key that it needs."""
    found = route_of(config, host, path)
    if found is None:
        return False
    return found[1].get("public", False) or not config.get("tenants") or bool(tenant_of(config, key))


def runs(config: Config, host: str, path: str, key: str, service: str) -> bool:
    """Whether a service may run a request."""
    found = route_of(config, host, path)
    return found is not None and admits(config, host, path, key) and service in services_of(found[1])


@dataclass(frozen=True, slots=True)
class Words:
    """The configurations of a run, refused ones apart, in the order of their versions."""

    orders: tuple[Order, ...]
    every: tuple[Order, ...]  # with those that were refused

    def sent(self, before: float = FOREVER) -> list[Config]:
        """All that were sent by then, refused ones among them."""
        return [order.config for order in self.every if order.at <= before]

    def floor(self, at: float) -> int:
        """The highest version acknowledged by then; -1 = none."""
        return max((o.version for o in self.orders if o.acked is not None and o.acked <= at), default=-1)

    def may_hold(self, since: float, until: float, figures: Figures) -> list[Order]:
        """What may be in force for a request sent at `since` and handled until `until`, on a machine in touch."""
        least = self.floor(since - figures.config)
        return [order for order in self.orders if order.version >= least and order.at <= until]


def words(orders: Iterable[Order]) -> Words:
    """The configurations among an operator's orders."""
    every = sorted((o for o in orders if o.kind == "config"), key=lambda o: (o.version, o.at))
    return Words(tuple(o for o in every if not 400 <= o.status < 500), tuple(every))


@dataclass(frozen=True, slots=True)
class Touch:
    """Which machines are in touch when: neither they nor the core had trouble in the window before."""

    spans: tuple[Span, ...]
    window: float

    def calm(self, machines: Sequence[str], since: float, until: float) -> bool:
        """Whether they were in touch all the while."""
        return not any(
            (span.whom == "core" or span.whom in machines) and span.at <= until and span.ends >= since - self.window
            for span in self.spans
        )
