"""The operation history of a run: the operations of clients, the observations of processes, and the active faults.

The history does not depend on how the system works. Times are virtual seconds. An operation without a response has no
completion time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, StrEnum


class OperationKind(Enum):
    """The calls that an operator invokes. The values are the names of the calls in the operators' protocol."""

    REPLACE_CONFIG = "config.replace"
    DESCRIBE_CONFIG = "config.describe"
    START_EVACUATION = "evacuations.start"
    STOP_EVACUATION = "evacuations.stop"


@dataclass(slots=True)
class Operation:
    """One operation of a client, over all its attempts."""

    client: str
    kind: OperationKind
    invoked_at_s: float
    config_version: int = -1
    content: str = ""  # tells configurations of the same version apart
    zone: str = ""
    completed_at_s: float | None = None  # None if it was abandoned or was in flight at the end of the run
    abandoned_at_s: float | None = None
    status: int = 0
    is_superseded: bool = False  # acknowledged, but a newer version had been committed before
    committed_version: int = -1  # the version that the acknowledgement names
    attempts: int = 0
    lost_responses: int = 0
    is_final_read: bool = False
    is_single_attempt: bool = False

    @property
    def is_acknowledged(self) -> bool:
        """Whether it completed with status 200."""
        return self.completed_at_s is not None and self.status == 200


@dataclass(frozen=True, slots=True)
class Observation:
    """A replicated state that a process learned."""

    process: str  # one incarnation, as host#number
    observed_at_s: float
    process_started_at_s: float
    serial: int
    config_version: int
    content: str
    evacuated_zones: frozenset[str]

    @property
    def host(self) -> str:
        """The host of the process."""
        return self.process.partition("#")[0]


@dataclass(frozen=True, slots=True)
class DrainObservation:
    """When a gateway learned that a backend is draining or gone."""

    process: str  # one incarnation, as host#number
    instance: str
    listed_at_s: float
    observed_at_s: float


@dataclass(frozen=True, slots=True)
class Interval:
    """A closed time interval."""

    begin_s: float
    end_s: float

    def overlaps(self, begin_s: float, end_s: float) -> bool:
        """Whether it overlaps another closed interval."""
        return self.begin_s <= end_s and self.end_s >= begin_s


@dataclass(frozen=True, slots=True)
class MemberAddition:
    """A machine that became a member, and whether it had the replicated state then."""

    host: str
    added_at_s: float
    has_state: bool


class Invariant(StrEnum):
    """The properties that every history must have; `invariants` has the checks."""

    DURABILITY = "acknowledged writes are durable"
    SINGLE_CONTENT = "one content per version"
    SINGLE_STATE = "one state per serial"
    SINGLE_ACKNOWLEDGED_CONTENT = "one acknowledged content per version"
    SUPERSEDED_BY_NEWER = "superseded by newer versions only"
    NO_FALSE_REJECTION = "committed content is not rejected"
    MONOTONIC_READS = "monotonic reads"
    BOUNDED_STALENESS = "bounded staleness"
    PROPAGATION_TIME = "bounded propagation time"
    DRAIN_PROPAGATION = "drains are known in time"
    AVAILABILITY = "availability with a majority"
    MEMBERS_HOLD_STATE = "new members hold the state"
    EVACUATION_ORDER = "evacuation order"
    CONVERGENCE = "convergence"
    NO_UNHANDLED_ERROR = "no unhandled error"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant and the events that violate it."""

    invariant: Invariant
    detail: str

    def __str__(self) -> str:
        return f"{self.invariant}: {self.detail}"


def violated_invariants(violations: Iterable[Violation]) -> frozenset[Invariant]:
    """Return the invariants that were violated."""
    return frozenset(violation.invariant for violation in violations)


@dataclass(slots=True)
class OperationHistory:
    """All events that were recorded in one run. The first four fields are bounds from the settings."""

    config_apply_bound_s: float
    acknowledgement_bound_s: float
    contact_window_s: float
    drain_bound_s: float = 5.0
    operations: list[Operation] = field(default_factory=list)
    gateway_observations: list[Observation] = field(default_factory=list)
    coordinator_observations: list[Observation] = field(default_factory=list)
    drains_listed_at_s: dict[str, float] = field(default_factory=dict)  # by instance
    drain_observations: list[DrainObservation] = field(default_factory=list)
    member_additions: list[MemberAddition] = field(default_factory=list)  # excluding the initial members
    gateway_lifetimes: dict[str, Interval] = field(default_factory=dict)  # by process
    gateway_pauses: dict[str, list[Interval]] = field(default_factory=dict)  # by host
    majority_losses: list[Interval] = field(default_factory=list)
    fault_intervals: list[Interval] = field(default_factory=list)  # each fault, extended by the time to regain contact
    converged_by_s: float = float("inf")  # well after the last fault and its effects

    @property
    def observations(self) -> list[Observation]:
        """The observations of gateways, then those of coordinators."""
        return [*self.gateway_observations, *self.coordinator_observations]

    def operations_of(self, *kinds: OperationKind) -> list[Operation]:
        """Return the operations of these kinds in the order in which they were recorded."""
        return [operation for operation in self.operations if operation.kind in kinds]

    def acknowledged_version_before(self, time_s: float) -> int:
        """Return the highest configuration version that was acknowledged before a virtual time, or -1 if none was."""
        return max(
            (
                write.config_version
                for write in self.operations_of(OperationKind.REPLACE_CONFIG)
                if write.is_acknowledged and write.completed_at_s is not None and write.completed_at_s < time_s
            ),
            default=-1,
        )
