"""Values of the catalog. All are immutable; rates are units a second, times Unix milliseconds."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import Annotated, Any, ClassVar

import msgspec
from immutables import Map
from msgspec import Meta, Struct

from hallhitch.decision import api

MAX_RATE = 1e9  # of any rate, burst or price: the counter keeps seven digits of a total, and 1e9 at most
Share = Annotated[float, Meta(ge=0, le=MAX_RATE)]
Number = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Moment = Annotated[int, Meta(ge=0, le=2**53)]


class Kind(StrEnum):
    """The kinds of things in a tenant's part, and the tenant itself."""

    TENANT = "tenant"
    PLAN = "plan"
    CLIENT = "client"
    HOST = "host"
    CREDENTIAL = "credential"


class Scope(StrEnum):
    """What a credential lets its holder do."""

    OPERATOR = "operator"  # everything, of all tenants
    ADMIN = "admin"  # reads its tenant; changes its plans, clients and credentials
    READ = "read"  # reads its tenant
    GATEWAY = "gateway"  # follows the feed and does nothing else; of the operators' part, by certificate
    CLIENT = "client"  # no administration: names one client to the gateways


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """What a tenant may have and hand out; `rate` is the sum over its clients that are on of their plans' rates."""

    clients: Number = 1_000
    plans: Number = 20
    hosts: Number = 10
    credentials: Number = 2_000
    rate: Share = 1_000.0
    open_requests: Number = 1_000


class Head(Struct, frozen=True, forbid_unknown_fields=True):
    """What the operators say of a tenant."""

    on: bool = True
    limits: Limits = Limits()


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """The quota of each client on it, as `decision.api.Plan` has it; 0 means no such limit."""

    rate: Share = 0.0
    burst: Share = 0.0
    open_limit: Number = 0
    price: Share = 1.0
    beyond_worth: Share = 0.0
    beyond_cost: Share = 0.0
    ceiling_rate: Share = 0.0
    ceiling_burst: Share = 0.0

    def to_decision_plan(self, name: str) -> api.Plan:
        """Return the same plan in the decision module's form."""
        return api.Plan(name, **msgspec.structs.asdict(self))


class Client(Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """A client of a tenant."""

    plan: str
    on: bool = True


class Host(Struct, frozen=True, forbid_unknown_fields=True):
    """A host name that leads to the tenant."""

    on: bool = True


class Verifier(Struct, frozen=True, forbid_unknown_fields=True):
    """Hash that a secret is verified against, and until when; the secret itself is not stored."""

    hash: str  # argon2id in its own text form, or "keyed:" and a keyed BLAKE2b
    until: Moment | None = None


class Credential(Struct, frozen=True, forbid_unknown_fields=True):
    """A credential: the newest verifier first, older ones while they overlap."""

    scope: Scope
    verifiers: tuple[Verifier, ...] = ()
    client: str | None = None
    expires: Moment | None = None
    certificate: str | None = None  # SHA-256 of a client certificate, in place of a secret


Value = Head | Plan | Client | Host | Credential


class Versioned(Struct, frozen=True, gc=False):
    """Value, and the version that last changed it."""

    value: Any
    version: int


class Tenant(Struct, frozen=True):
    """One tenant's part of the catalog; `version` is the last that changed anything in it."""

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
    client_counts: Map[str, int] = Map()  # clients by plan
    active_client_counts: Map[str, int] = Map()  # those of them that are on
    credential_ids_by_client: Map[str, frozenset[str]] = Map()  # ids of credentials by the client they name

    def entries(self, kind: Kind) -> Map[str, Versioned]:
        """Return the entries of one kind, by name."""
        entries: Map[str, Versioned] = getattr(self, self.KINDS[kind])
        return entries

    @property
    def rate(self) -> float:
        """Return the units a second that all clients that are on may use together, in the long run."""
        return math.fsum(
            self.plans[name].value.rate * count
            for name, count in self.active_client_counts.items()
            if name in self.plans
        )


class Catalog(Struct, frozen=True):
    """All tenants at one version. Versions are dense within an epoch; a restored backup begins a later epoch."""

    epoch: int = 0
    version: int = 0
    tenants: Map[str, Tenant] = Map()
    operators: Map[str, Versioned] = Map()
    hosts: Map[str, str] = Map()  # which tenant a host name leads to
    checksum: int = 0  # the checksum of all rows, whatever their order

    def get(self, tenant: str, kind: Kind, name: str) -> Versioned | None:
        """Return an entry; None where there is none. A tenant's own entry is its head."""
        if tenant == "":
            return self.operators.get(name) if kind is Kind.CREDENTIAL else None
        part = self.tenants.get(tenant)
        if part is None:
            return None
        return part.head if kind is Kind.TENANT else part.entries(kind).get(name)


VALUE_TYPES: dict[Kind, type[Any]] = {
    Kind.TENANT: Head,
    Kind.PLAN: Plan,
    Kind.CLIENT: Client,
    Kind.HOST: Host,
    Kind.CREDENTIAL: Credential,
}
