"""What the planes tell each other: plain values, no I/O, no clock.

Times are milliseconds of the process's steady clock (`hallhitch.node.clock.now`) where they are moments, plain
milliseconds where they are lengths. Names are those of docs/design/system.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hallhitch.messages.system_pb2 import LeaseMembershipMessage

IDEMPOTENT, NON_IDEMPOTENT, DOWNLOAD = "idempotent", "non_idempotent", "download"
ANY_REGION: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration; `split` holds the services with their weights, one at least."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    latency_target_ms: float  # ms within which an answer earns its full worth
    priority: int
    weighted_services: tuple[tuple[str, float], ...]
    max_attempts: int
    is_public: bool
    allowed_regions: frozenset[str] = ANY_REGION  # regions it may be served in; empty = anywhere

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind != NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Service:
    """One service of the configuration."""

    name: str
    health_path: str
    max_connections: int
    slow_start_ms: float  # ms for which a backend started during traffic is cold
    slow_start_rate_per_s: float  # requests a second that a cold backend bears; 0 = no bound given


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant; `rate` requests a second with `burst` on top, 0 = no limit."""

    name: str
    api_keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float
    allowed_regions: frozenset[str] = ANY_REGION


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a client may send, and how long it may take or rest (ms)."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """The cluster configuration, compiled for look-ups; swapped whole, never changed.

    `serial` grows by one with each change that was agreed (configuration or evacuation); `version` is the
    operator's configVersion, -1 while none was given.
    """

    serial: int
    version: int
    routes: Mapping[str, tuple[Route, ...]]  # by host in lower case, longest prefix first
    services: Mapping[str, Service]
    tenants: Mapping[str, Tenant]
    tenants_by_api_key: Mapping[str, Tenant]
    limits: RequestLimits = field(default_factory=RequestLimits)
    evacuated_zones: frozenset[str] = ANY_REGION  # zones
    max_gateways: int = 0  # as many gateways as there may be, by what all coordinators wrote down; 0 = not known yet

    def find_route(self, host: str, path: str) -> Route | None:
        """The route of a request: of its host, the longest prefix that begins the path (no query in `path`)."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class Backend:
    """One incarnation of a backend, as the platform's list shows it."""

    instance: str
    service: str
    host: str
    port: int
    zone: str
    region: str
    slots: int
    is_draining: bool = False
    warming_until_ms: float = 0.0  # steady ms at this process; in the past = warm


@dataclass(frozen=True, slots=True)
class Gateway:
    """One process of the system, as the others know it; `incarnation` is drawn anew at each start."""

    name: str
    address: str  # "ip:port" of its internal port
    incarnation: int
    machine_class: str
    zone: str
    region: str
    frontend: str = ""  # empty where it takes no clients
    is_ready: bool = False
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class LeaseMembership:
    """Whose votes on leases count, by internal address: a majority of `members` and, unless empty, of `lease_previous`.

    `version` is that of the register's membership; 0 = none is known, and nothing is voted or counted.
    """

    version: int = 0
    members: tuple[str, ...] = ()
    previous_members: tuple[str, ...] = ()

    @staticmethod
    def of(message: LeaseMembershipMessage) -> LeaseMembership:
        """The membership that a message carries."""
        return LeaseMembership(message.version, tuple(message.members), tuple(message.previous_members))

    def message(self) -> LeaseMembershipMessage:
        """This membership as messages carry it."""
        return LeaseMembershipMessage(
            version=self.version, members=self.members, previous_members=self.previous_members
        )

    @property
    def quorum_sets(self) -> frozenset[frozenset[str]]:
        """The sets of which a majority each is needed."""
        return frozenset(frozenset(one) for one in (self.members, self.previous_members) if one)

    @property
    def voters(self) -> tuple[str, ...]:
        """All whose votes count for a set."""
        return tuple(sorted({*self.members, *self.previous_members}))

    def quorum_reached(self, votes: Iterable[str]) -> bool:
        """Whether the votes are a majority of each set; False where none is known."""
        have = frozenset(votes)
        return bool(self.members) and all(2 * len(one & have) > len(one) for one in self.quorum_sets)


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """The counter's word on one unit: passed or not, and when to come back (ms). `token` is for giving it back."""

    is_admitted: bool
    retry_after_ms: float = 0.0
    refund_token: object = None
    is_counter_unavailable: bool = (
        False  # nobody could be asked, and nothing of this gateway's own was left: not the tenant's fault
    )
