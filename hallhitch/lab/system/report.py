"""What a run came to, as a person reads it: served share and times by region, kinds, faults, rules.

Plain functions from records to lines; no I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from hallhitch.lab.system.clients import Outcome
from hallhitch.lab.system.records import Broken, Config, Order

Row = tuple[str, ...]
HEAD = ("", "asked", "served", "in aim", "refused", "failed", "p50 ms", "p99 ms", "tries")


def percentile(times: Sequence[float], share: float) -> float:
    """The nearest-rank percentile; 0 of nothing.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    if not times:
        return 0.0
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, max(0, -(-int(share * 10_000) * len(ordered) // 10_000) - 1))]


@dataclass(frozen=True, slots=True)
class Summary:
    """What came of some requests; times in ms from a client's first try, of those served."""

    asked: int
    served: int
    in_aim: int
    refused: int
    failed: int
    p50: float
    p99: float
    tries: int

    @property
    def share(self) -> float:
        """Served, of what was asked."""
        return self.served / self.asked if self.asked else 0.0

    def row(self, name: str) -> Row:
        """A line of the table."""
        of = max(1, self.asked)
        return (
            name,
            str(self.asked),
            f"{self.share:.2%}",
            f"{self.in_aim / of:.2%}",
            str(self.refused),
            str(self.failed),
            f"{self.p50:.0f}",
            f"{self.p99:.0f}",
            f"{self.tries / of:.2f}",
        )


def part(outcomes: Iterable[Outcome]) -> Summary:
    """Count some requests."""
    all_ = list(outcomes)
    times = [o.ended - o.at for o in all_ if o.served]
    refused = sum(o.status in (429, 503) for o in all_)
    return Summary(
        len(all_),
        len(times),
        sum(o.served and o.ended - o.at <= o.want.aim for o in all_),
        refused,
        len(all_) - len(times) - refused,
        percentile(times, 0.5),
        percentile(times, 0.99),
        sum(o.tries for o in all_),
    )


def table(outcomes: Sequence[Outcome]) -> list[Row]:
    """Rows by region, by kind of request, and of all."""
    rows = []
    by: tuple[Callable[[Outcome], str], ...] = (lambda o: o.region, lambda o: o.want.name)
    for key in by:
        rows += [part(o for o in outcomes if key(o) == name).row(name) for name in sorted({key(o) for o in outcomes})]
    return [*rows, part(outcomes).row("all")]


def acknowledgements(orders: Sequence[Order]) -> str:
    """How many orders were acknowledged, and how long that took; numbers with two contents that were both acknowledged.

    >>> acknowledgements([Order(0.0, "config", 40.0), Order(0.0, "evacuate", 60.0), Order(0.0, "config", None)])
    '3 orders, 2 acknowledged: p50 40 ms, p99 60 ms, worst 60 ms; 0 numbers acknowledged for two contents'
    """
    contents: dict[int, list[Config]] = defaultdict(list)
    for order in orders:
        if order.kind == "config" and order.acked is not None and order.config not in contents[order.version]:
            contents[order.version].append(order.config)
    twofold = sum(len(each) > 1 for each in contents.values())
    times = [order.acked - order.at for order in orders if order.acked is not None]
    return (
        f"{len(orders)} orders, {len(times)} acknowledged: p50 {percentile(times, 0.5):.0f} ms, "
        f"p99 {percentile(times, 0.99):.0f} ms, worst {max(times, default=0.0):.0f} ms; "
        f"{twofold} numbers acknowledged for two contents"
    )


def verdict(broken: dict[str, list[Broken]], most: int = 3) -> list[str]:
    """One line a rule, and what shows those that are broken."""
    lines = []
    for name, found in broken.items():
        lines.append(f"{name:<9} {'kept' if not found else f'BROKEN {len(found)} times'}")
        lines += [f"          {each.what}" for each in found[:most]]
    return lines
