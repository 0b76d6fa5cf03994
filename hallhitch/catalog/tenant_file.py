"""A tenant declared in a file, and the edits that bring the catalogue there. Pure: the caller reads and sends.

Credentials are not declared: they are issued, and their secrets belong in no file that is kept.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from msgspec import Struct

from hallhitch.catalog import names
from hallhitch.catalog.model import Client, Head, Host, Kind, Limits, Plan, Value

KIND_ORDER = (Kind.TENANT, Kind.PLAN, Kind.CLIENT, Kind.HOST)
Things = dict[tuple[Kind, str], Value]


class TenantFile(Struct, frozen=True, forbid_unknown_fields=True):
    """One tenant, whole: what is not in the file is not meant to be there."""

    tenant: str
    on: bool = True
    limits: Limits = Limits()
    plans: dict[str, Plan] = {}
    clients: dict[str, Client] = {}
    hosts: dict[str, Host] = {}

    def __post_init__(self) -> None:
        if not names.is_tenant(self.tenant):
            raise ValueError("field 'tenant': a tenant is named by lower-case letters, digits and '-', 40 at most")
        for name, plan in self.plans.items():
            if not names.is_plan(name):
                raise ValueError(f"field 'plans.{name}': cannot name a plan")
            for field in plan.to_decision_plan(name).faults():
                raise ValueError(f"field 'plans.{name}.{field}': out of range, or contradicts another field")
        for name, client in self.clients.items():
            if not names.is_client(names.canonical_client_id(name)):
                raise ValueError(f"field 'clients.{name}': cannot name a client")
            if client.plan not in self.plans:
                raise ValueError(f"field 'clients.{name}.plan': there is no plan '{client.plan}' in this file")
        for name in self.hosts:
            if not names.is_host(name):
                raise ValueError(f"field 'hosts.{name}': cannot name a host")

    def entries(self) -> Things:
        """All that the file declares, by kind and name."""
        made: Things = {(Kind.TENANT, self.tenant): Head(self.on, self.limits)}
        made |= {(Kind.PLAN, name): plan for name, plan in self.plans.items()}
        made |= {(Kind.CLIENT, names.canonical_client_id(name)): client for name, client in self.clients.items()}
        made |= {(Kind.HOST, name): host for name, host in self.hosts.items()}
        return made


class PlannedEdit(Struct, frozen=True):
    """One difference: `now` None puts something new, `wanted` None drops; `version` is what it leads on from."""

    kind: Kind
    name: str
    current: Value | None
    wanted: Value | None
    version: str | None

    def changed_fields(self) -> Iterator[tuple[str, object, object]]:
        """The fields that differ: name, what is there, what is wanted."""
        before = msgspec.structs.asdict(self.current) if self.current is not None else {}
        after = msgspec.structs.asdict(self.wanted) if self.wanted is not None else {}
        for name in after or before:
            if before.get(name) != after.get(name):
                yield name, before.get(name), after.get(name)


def plan_edits(present: dict[tuple[Kind, str], tuple[Value, str]], wanted: Things) -> list[PlannedEdit]:
    """The edits from what is present (with versions) to what is wanted, in an order that holds in pieces too.

    New plans come before clients that move to them, and go after the clients that leave them.
    """
    made = []
    for key, value in wanted.items():
        now = present.get(key)
        if now is None or now[0] != value:
            made.append(PlannedEdit(key[0], key[1], now[0] if now else None, value, now[1] if now else None))
    gone = [
        PlannedEdit(kind, name, value, None, version)
        for (kind, name), (value, version) in present.items()
        if (kind, name) not in wanted
    ]
    rank = {
        (Kind.TENANT, False): 0,
        (Kind.PLAN, False): 1,
        (Kind.CLIENT, True): 2,
        (Kind.CLIENT, False): 3,
        (Kind.HOST, True): 4,
        (Kind.HOST, False): 5,
        (Kind.PLAN, True): 6,
    }
    return sorted(made + gone, key=lambda step: (rank[step.kind, step.wanted is None], step.name))
