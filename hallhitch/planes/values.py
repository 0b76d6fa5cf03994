"""Immutable values that the planes exchange. The module performs no I/O and reads no clock.

A field that ends in `_ms` is a duration in milliseconds, except for `Backend.warming_until_ms`, which is a time of this
process's monotonic clock (`hallhitch.node.clock.now`). docs/design/system.md describes the names on the wire.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, NamedTuple

from hallhitch.messages.system_pb2 import LeaseMembershipMessage

ANY_REGION: Final[frozenset[str]] = frozenset()  # an empty `allowedRegions` restricts nothing


class RequestKind(StrEnum):
    """The `routeKind` of a route, with the spelling of the configuration."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"


class WeightedService(NamedTuple):
    """A service that receives requests of a route, and its weight relative to the route's other services."""

    service: str
    weight: float


class UnreadableValue(NamedTuple):
    """A value of a configuration that this release cannot read: where it stands, and why."""

    path: str
    reason: str


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration.

    If `is_readable` is False, where its requests may go cannot be read from the configuration, and they are rejected
    with 503. `weighted_services` of any other route is not empty.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: float
    latency_target_ms: float  # a response within this time has its full value
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool
    allowed_regions: frozenset[str] = ANY_REGION  # regions whose gateways and backends may serve the route; empty = any
    is_readable: bool = True

    @property
    def is_idempotent(self) -> bool:
        """Whether requests on this route may be processed more than once."""
        return self.kind is not RequestKind.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Service:
    """One service of the configuration; planes/data/slow_start.py describes how its backends warm up."""

    name: str
    health_path: str
    max_connections: int
    slow_start_ms: float  # warm-up time of a backend that starts while traffic is flowing
    slow_start_rate_per_s: float  # requests per second that a warming backend can take; 0 = not configured


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant of the configuration; `rate_per_s` requests and an additional `burst` are its quota, 0 = no limit.

    If `is_readable` is False, what its requests are allowed cannot be read from the configuration, and they are
    rejected with 503.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float
    allowed_regions: frozenset[str] = ANY_REGION
    is_readable: bool = True


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on client requests and on idle client connections."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """The cluster configuration, indexed for lookups; each change produces a new value.

    Each committed change of the configuration or of an evacuation increments `serial`. `version` is the operator's
    `configVersion`, or -1 before there is a configuration.
    """

    serial: int
    version: int
    routes: Mapping[str, tuple[Route, ...]]  # by host in lower case, longest prefix first
    services: Mapping[str, Service]
    tenants: Mapping[str, Tenant]
    tenants_by_api_key: Mapping[str, Tenant]
    limits: RequestLimits = field(default_factory=RequestLimits)
    evacuated_zones: frozenset[str] = frozenset()
    max_gateways: int = 0  # upper bound on the number of gateways, committed by the coordinators; 0 = unknown
    # By host in lower case: the regions that may serve every route of the host. Hosts without restricted routes are
    # absent.
    home_regions: Mapping[str, frozenset[str]] = field(default_factory=dict)
    unreadable: tuple[UnreadableValue, ...] = ()
    has_unlocated_routes: bool = False  # whether the host or the path of a route cannot be read
    has_unreadable_keys: bool = False  # whether the API keys of a tenant cannot be read

    @property
    def requires_key(self) -> bool:
        """Whether requests need the API key of a tenant, except on public routes."""
        return bool(self.tenants) or self.has_unreadable_keys

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of `path`, or None; `path` must not include a query."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def without_port(host: str) -> str:
    """Return the host of a Host field or a route without its port, if it has one."""
    name, colon, port = host.rpartition(":")
    is_port = bool(colon) and (not port or (port.isascii() and port.isdecimal()))
    return name if is_port else host


@dataclass(frozen=True, slots=True)
class Backend:
    """One incarnation of a backend, as listed in the platform's endpoint list."""

    instance: str
    service: str
    host: str
    port: int
    zone: str
    region: str
    slots: int
    is_draining: bool = False
    warming_until_ms: float = 0.0  # end of the slow start by this process's clock; a time in the past = warm
    is_idempotent_only: bool = False  # what the endpoint list says of it cannot be read whole


@dataclass(frozen=True, slots=True)
class Gateway:
    """One process of the system as its peers know it; each start of the process has a new random `incarnation`."""

    name: str
    address: str  # "ip:port" of its internal port
    incarnation: int
    machine_class: str
    zone: str
    region: str
    frontend: str = ""  # "ip:port" of its listener for clients; empty if it serves none, as for a coordinator
    is_ready: bool = False
    is_leaving: bool = False

    @property
    def serves_clients(self) -> bool:
        """Whether the process has a listener for clients; a coordinator has none."""
        return bool(self.frontend)

    @property
    def is_available(self) -> bool:
        """Whether the process may be given new work, that is, it is ready and not shutting down."""
        return self.is_ready and not self.is_leaving


@dataclass(frozen=True, slots=True)
class LeaseMembership:
    """The voters on quota leases, by internal address.

    A lease needs a majority of `members` and, unless `previous_members` is empty, also a majority of these (joint
    consensus). `version` is the version of the membership in the cluster state. Version 0 means that no membership is
    known; then no vote is given or counted.
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
        """The sets of voters, each of which has to provide a majority."""
        return frozenset(frozenset(members) for members in (self.members, self.previous_members) if members)

    @property
    def voters(self) -> tuple[str, ...]:
        """All voters, sorted by address."""
        return tuple(sorted({*self.members, *self.previous_members}))

    def has_quorum(self, votes: Iterable[str]) -> bool:
        """Return whether `votes` contain a majority of each quorum set; False if no membership is known."""
        voted = frozenset(votes)
        return bool(self.members) and all(2 * len(members & voted) > len(members) for members in self.quorum_sets)


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """The quota counter's decision on one unit of a tenant's quota."""

    is_admitted: bool
    retry_after_ms: float = 0.0  # for a rejected unit
    refund_token: object = None  # for an admitted unit; opaque to the data plane
    is_counter_unavailable: bool = False  # rejected because no lease holder replied and the local reserve is used up
