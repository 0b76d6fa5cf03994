"""Report of a run: served ratio and latencies by region and kind of request, acknowledgements and violations.

Pure functions from records to lines; no I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from hallhitch.lab.emulator.client_request import RequestOutcome
from hallhitch.lab.emulator.records import Config, OperatorOperation, Violation

Row = tuple[str, ...]
TABLE_HEADER: Final = ("", "requests", "served", "in target", "rejected", "failed", "p50 ms", "p99 ms", "attempts")
REJECTED_STATUSES: Final = (429, 503)
MAX_REPORTED_VIOLATIONS: Final = 3  # per rule


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the nearest-rank percentile, or 0 if there are no values.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = -(-int(fraction * 10_000) * len(ordered) // 10_000)
    return ordered[min(len(ordered) - 1, max(0, rank - 1))]


@dataclass(frozen=True, slots=True)
class Summary:
    """Counts and latencies of some requests; latencies are those of served requests, from their first attempt."""

    requests: int
    served: int
    within_target: int
    rejected: int
    failed: int
    p50_ms: float
    p99_ms: float
    attempts: int

    @property
    def served_ratio(self) -> float:
        """The share of requests that were served."""
        return self.served / self.requests if self.requests else 0.0

    def row(self, name: str) -> Row:
        """Return the row of the table for these requests."""
        divisor = max(1, self.requests)
        return (
            name,
            str(self.requests),
            f"{self.served_ratio:.2%}",
            f"{self.within_target / divisor:.2%}",
            str(self.rejected),
            str(self.failed),
            f"{self.p50_ms:.0f}",
            f"{self.p99_ms:.0f}",
            f"{self.attempts / divisor:.2f}",
        )


def summarize(outcomes: Iterable[RequestOutcome]) -> Summary:
    """Return the summary of some requests."""
    outcomes = list(outcomes)
    served = [outcome for outcome in outcomes if outcome.is_served]
    latencies_ms = [outcome.ended_at_ms - outcome.sent_at_ms for outcome in served]
    targets_ms = [outcome.request.latency_target_ms for outcome in served]
    rejected = sum(outcome.status in REJECTED_STATUSES for outcome in outcomes)
    return Summary(
        requests=len(outcomes),
        served=len(served),
        within_target=sum(
            latency_ms <= target_ms for latency_ms, target_ms in zip(latencies_ms, targets_ms, strict=True)
        ),
        rejected=rejected,
        failed=len(outcomes) - len(served) - rejected,
        p50_ms=percentile(latencies_ms, 0.5),
        p99_ms=percentile(latencies_ms, 0.99),
        attempts=sum(outcome.attempts for outcome in outcomes),
    )


def outcome_table(outcomes: Sequence[RequestOutcome]) -> list[Row]:
    """Return a row for each region and kind of request, and one for all requests."""
    rows = []
    groupings: tuple[Callable[[RequestOutcome], str], ...] = (
        lambda outcome: outcome.region,
        lambda outcome: outcome.request.kind,
    )
    for group_of in groupings:
        for name in sorted({group_of(outcome) for outcome in outcomes}):
            rows.append(summarize(outcome for outcome in outcomes if group_of(outcome) == name).row(name))
    return [*rows, summarize(outcomes).row("all")]


def describe_acknowledgements(operations: Sequence[OperatorOperation]) -> str:
    """Describe how many operations were acknowledged, how fast, and how many versions have two contents.

    >>> operations = [
    ...     OperatorOperation(0.0, "config", 40.0),
    ...     OperatorOperation(0.0, "evacuate", 60.0),
    ...     OperatorOperation(0.0, "config", None),
    ... ]
    >>> describe_acknowledgements(operations)
    '3 operations, 2 acknowledged: p50 40 ms, p99 60 ms, max 60 ms; 0 versions acknowledged with two contents'
    """
    latencies_ms = []
    contents: dict[int, list[Config]] = defaultdict(list)
    for operation in operations:
        if operation.acknowledged_at_ms is None:
            continue
        latencies_ms.append(operation.acknowledged_at_ms - operation.sent_at_ms)
        if operation.kind == "config" and operation.config not in contents[operation.version]:
            contents[operation.version].append(operation.config)
    conflicting = sum(len(configs) > 1 for configs in contents.values())
    return (
        f"{len(operations)} operations, {len(latencies_ms)} acknowledged: p50 {percentile(latencies_ms, 0.5):.0f} ms, "
        f"p99 {percentile(latencies_ms, 0.99):.0f} ms, max {max(latencies_ms, default=0.0):.0f} ms; "
        f"{conflicting} versions acknowledged with two contents"
    )


def describe_violations(violations_by_rule: Mapping[str, Sequence[Violation]]) -> list[str]:
    """Return a line for each rule, followed by the details of its first violations."""
    lines = []
    for rule, violations in violations_by_rule.items():
        lines.append(f"{rule:<9} {'ok' if not violations else f'VIOLATED {len(violations)} times'}")
        lines += [f"          {violation.detail}" for violation in violations[:MAX_REPORTED_VIOLATIONS]]
    return lines
