"""Application of received state to the planes of a process, each part apart from the others.

Invariants:
- A part that cannot be applied keeps no other part from being applied.
- A part counts as applied only once its application has succeeded. One that failed is tried again with its next
  version; until then, what was applied before stays in force.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.node.metrics import Metric, MetricKind

NOTHING: Final = object()  # equals no version


@dataclass(slots=True, eq=False)
class StatePart:
    """One part of the state; `version` returns the version of what was received, and `apply` applies it.

    A part whose version never equals an earlier one is applied at each change.
    """

    name: str
    version: Callable[[], object]
    apply: Callable[[], None]
    applied_version: object = NOTHING
    failed_version: object = NOTHING


class StateApplication:
    """Applies the parts in their order, whenever one of them has a new version."""

    def __init__(self, parts: Sequence[StatePart], log: ComponentLogger, clock: Callable[[], float]) -> None:
        """`clock` returns monotonic milliseconds."""
        self._parts = tuple(parts)
        self._failure_logs = {part.name: RateLimitedLog(log) for part in parts}
        self._clock = clock
        self._failures: Counter[str] = Counter({part.name: 0 for part in parts})

    def apply_changes(self) -> None:
        """Apply each part whose version was neither applied nor tried in vain."""
        for part in self._parts:
            version = part.version()
            if version not in (part.applied_version, part.failed_version):
                self._apply(part, version)

    def _apply(self, part: StatePart, version: object) -> None:
        try:
            part.apply()
        except Exception as error:  # noqa: BLE001  boundary between parts: logs the error, and the others are applied
            part.failed_version = version
            self._failures[part.name] += 1
            self._failure_logs[part.name].exception(
                self._clock(), "state not applied", error, part=part.name, version=version
            )
        else:
            part.applied_version, part.failed_version = version, NOTHING

    def metrics(self) -> list[Metric]:
        """Return how often each part could not be applied."""
        failures = {name: float(count) for name, count in self._failures.items()}
        description = "Versions of a part of the state that could not be applied."
        return [Metric("state_apply_failures_total", MetricKind.COUNTER, description, failures, "part")]
