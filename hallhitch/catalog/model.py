"""Values of the catalog. All are immutable; rates are in units per second, times in Unix milliseconds."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import Annotated, Any, ClassVar

import msgspec
from immutables import Map
from msgspec import Meta, Struct

from hallhitch.decision import api

MAX_RATE = 1e9  # of a rate, burst or price: the counter keeps totals to seven digits, and 1e9 at most
Amount = Annotated[float, Meta(ge=0, le=MAX_RATE)]
Count = Annotated[int, Meta(ge=0, le=1_000_000_000)]
UnixTimeMs = Annotated[int, Meta(ge=0, le=2**53)]


class Kind(StrEnum):
    """The kinds of things in a tenant's part, and the tenant itself."""

    TENANT = "tenant"
    PLAN = "plan"
    CLIENT = "client"
    HOST = "host"
    CREDENTIAL = "credential"


class Scope(StrEnum):
    """What a credential lets its holder do."""

    OPERATOR = "operator"  # has full access to all tenants
    ADMIN = "admin"  # reads its tenant; changes the plans, clients and credentials of it
    READ = "read"  # reads its tenant
    GATEWAY = "gateway"  # only follows the feed; belongs to the operators and authenticates by certificate
    CLIENT = "client"  # no access to the administration; identifies one client to the gateways


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a tenant; `rate` bounds the sum of the plans' rates over its enabled clients."""

    clients: Count = 1_000
    plans: Count = 20
    hosts: Count = 10
    credentials: Count = 2_000
    rate: Amount = 1_000.0
    open_requests: Count = 1_000


class Head(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a tenant, which only operators change."""

    on: bool = True
    limits: Limits = Limits()


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """Quota of each client with this plan, with the fields of `decision.api.Plan`; 0 means no limit."""

    rate: Amount = 0.0
    burst: Amount = 0.0
    open_limit: Count = 0
    price: Amount = 1.0
    beyond_worth: Amount = 0.0
    beyond_cost: Amount = 0.0
    ceiling_rate: Amount = 0.0
    ceiling_burst: Amount = 0.0

    def to_decision_plan(self, name: str) -> api.Plan:
        """Convert the plan to the type of the decision module."""
        return api.Plan(name, **msgspec.structs.asdict(self))


class Client(Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """A client of a tenant, with its plan."""

    plan: str
    on: bool = True


class Host(Struct, frozen=True, forbid_unknown_fields=True):
    """A host name that is routed to the tenant."""

    on: bool = True


class Verifier(Struct, frozen=True, forbid_unknown_fields=True):
    """Hash that a secret is verified against until a time; the secret itself is not stored."""

    hash: str  # argon2id in its standard encoding, or "keyed:" followed by a keyed BLAKE2b hash
    until: UnixTimeMs | None = None


class Credential(Struct, frozen=True, forbid_unknown_fields=True):
    """A credential. The newest verifier comes first; older ones follow until they expire."""

    scope: Scope
    verifiers: tuple[Verifier, ...] = ()
    client: str | None = None
    expires: UnixTimeMs | None = None
    certificate: str | None = None  # SHA-256 fingerprint of a client certificate, used instead of a secret


Value = Head | Plan | Client | Host | Credential


class Versioned(Struct, frozen=True, gc=False):
    """Value of an entry, and the version that last changed it."""

    value: Any
    version: int


class Tenant(Struct, frozen=True):
    """One tenant and its entries; `version` is the last one that changed any of them."""

    KINDS: ClassVar[dict[Kind, str]] = {
        Kind.PLAN: "plans",
        Kind.CLIENT: "clients",
        Kind.HOST: "hosts",
        Kind.CREDENTIAL: "credentials",
    }

    created_in_version: int
    version: int
    head: Versioned
    plans: Map[str, Versioned] = Map()
    clients: Map[str, Versioned] = Map()
    hosts: Map[str, Versioned] = Map()
    credentials: Map[str, Versioned] = Map()
    client_counts: Map[str, int] = Map()  # number of clients by plan
    active_client_counts: Map[str, int] = Map()  # number of enabled clients by plan
    credential_ids_by_client: Map[str, frozenset[str]] = Map()  # credential ids by client

    def entries(self, kind: Kind) -> Map[str, Versioned]:
        """Return the entries of one kind by name."""
        entries: Map[str, Versioned] = getattr(self, self.KINDS[kind])
        return entries

    @property
    def rate(self) -> float:
        """Return the sustained rate of all enabled clients together, in units per second."""
        return math.fsum(
            self.plans[name].value.rate * count
            for name, count in self.active_client_counts.items()
            if name in self.plans
        )


class Catalog(Struct, frozen=True):
    """All tenants at one version. Versions have no gaps within an epoch; restoring a backup begins a later epoch."""

    epoch: int = 0
    version: int = 0
    tenants: Map[str, Tenant] = Map()
    operators: Map[str, Versioned] = Map()
    hosts: Map[str, str] = Map()  # tenant by host name
    checksum: int = 0  # of all rows, independent of their order

    def get(self, tenant: str, kind: Kind, name: str) -> Versioned | None:
        """Return an entry, or None if it does not exist. The entry of a tenant itself is its head."""
        if tenant == "":
            return self.operators.get(name) if kind is Kind.CREDENTIAL else None
        owner = self.tenants.get(tenant)
        if owner is None:
            return None
        return owner.head if kind is Kind.TENANT else owner.entries(kind).get(name)


VALUE_TYPES: dict[Kind, type[Any]] = {
    Kind.TENANT: Head,
    Kind.PLAN: Plan,
    Kind.CLIENT: Client,
    Kind.HOST: Host,
    Kind.CREDENTIAL: Credential,
}
