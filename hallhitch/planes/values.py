"""Values that the planes exchange. No I/O and no clock; all of them are immutable.

A field that ends in `_ms` is a duration in milliseconds, with one exception: `Backend.warming_until_ms` is a point in
time of this process's steady clock (`hallhitch.node.clock.now`). Wire names and meanings: docs/design/system.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, NamedTuple

from hallhitch.messages.system_pb2 import LeaseMembershipMessage

ANY_REGION: Final[frozenset[str]] = frozenset()  # an empty `allowedRegions` restricts nothing


class RequestKind(StrEnum):
    """The `routeKind` of a route, spelled as in the configuration."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"


class WeightedService(NamedTuple):
    """A service that a route sends requests to, and its weight among those of the route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration; `weighted_services` is not empty."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: float
    latency_target_ms: float  # a response within it has its full value
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool
    allowed_regions: frozenset[str] = ANY_REGION  # where backends and gateways may serve it; empty = anywhere

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be processed more than once."""
        return self.kind is not RequestKind.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Service:
    """One service of the configuration. How its backends warm up: planes/data/slow_start.py."""

    name: str
    health_path: str
    max_connections: int
    slow_start_ms: float  # for which a backend that starts during traffic is warming
    slow_start_rate_per_s: float  # requests that a warming backend can take; 0 = not configured


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant of the configuration with its quota: `rate_per_s` requests and a `burst` on top, 0 = no limit."""

    name: str
    api_keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float
    allowed_regions: frozenset[str] = ANY_REGION


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on a client's request and on its idle connection."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """The cluster configuration, compiled for look-ups; a change makes a new value.

    `serial` is incremented by each committed change (of configuration or evacuation); `version` is the operator's
    `configVersion`, -1 as long as there is no configuration.
    """

    serial: int
    version: int
    routes: Mapping[str, tuple[Route, ...]]  # by host in lower case, longest prefix first
    services: Mapping[str, Service]
    tenants: Mapping[str, Tenant]
    tenants_by_api_key: Mapping[str, Tenant]
    limits: RequestLimits = field(default_factory=RequestLimits)
    evacuated_zones: frozenset[str] = frozenset()
    max_gateways: int = 0  # upper bound on gateways, committed by the coordinators; 0 = not known yet
    # By host in lower case: the regions that may serve each of its routes; a host without restricted routes is absent.
    home_regions: Mapping[str, frozenset[str]] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of `path`, which has no query; None if there is none."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class Backend:
    """One incarnation of a backend, as the endpoint list of the platform shows it."""

    instance: str
    service: str
    host: str
    port: int
    zone: str
    region: str
    slots: int
    is_draining: bool = False
    warming_until_ms: float = 0.0  # when its slow start ends, by this process's clock; a time in the past = warm


@dataclass(frozen=True, slots=True)
class Gateway:
    """One process of the system as its peers know it; `incarnation` is a new random number at each start."""

    name: str
    address: str  # "ip:port" of its internal port
    incarnation: int
    machine_class: str
    zone: str
    region: str
    frontend: str = ""  # "ip:port" for clients; empty if it serves none, as a coordinator
    is_ready: bool = False
    is_leaving: bool = False

    @property
    def serves_clients(self) -> bool:
        """Whether it is a gateway with a listener for clients; a coordinator has none."""
        return bool(self.frontend)

    @property
    def is_available(self) -> bool:
        """Whether it may be given new work: it is ready and does not shut down."""
        return self.is_ready and not self.is_leaving


@dataclass(frozen=True, slots=True)
class LeaseMembership:
    """The voters on quota leases, by internal address.

    A lease needs a majority of `members` and, unless it is empty, of `previous_members` (joint consensus). `version` is
    that of the membership in the cluster state; with version 0 none is known, and no vote is given or counted.
    """

    version: int = 0
    members: tuple[str, ...] = ()
    previous_members: tuple[str, ...] = ()

    @staticmethod
    def from_message(message: LeaseMembershipMessage) -> LeaseMembership:
        """Decode a membership."""
        return LeaseMembership(message.version, tuple(message.members), tuple(message.previous_members))

    def to_message(self) -> LeaseMembershipMessage:
        """Encode this membership."""
        return LeaseMembershipMessage(
            version=self.version, members=self.members, previous_members=self.previous_members
        )

    @property
    def quorum_sets(self) -> frozenset[frozenset[str]]:
        """The sets of voters of which each has to give a majority."""
        return frozenset(frozenset(members) for members in (self.members, self.previous_members) if members)

    @property
    def voters(self) -> tuple[str, ...]:
        """All voters, in the order of their addresses."""
        return tuple(sorted({*self.members, *self.previous_members}))

    def has_quorum(self, votes: Iterable[str]) -> bool:
        """Return whether `votes` contain a majority of each quorum set; False if no membership is known."""
        voted = frozenset(votes)
        return bool(self.members) and all(2 * len(members & voted) > len(members) for members in self.quorum_sets)


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """The counter's decision on one unit of a tenant's quota."""

    is_admitted: bool
    retry_after_ms: float = 0.0  # of a rejected unit
    refund_token: object = None  # of an admitted unit; opaque to the data plane
    is_counter_unavailable: bool = False  # rejected as no holder replied and the local reserve is used up
