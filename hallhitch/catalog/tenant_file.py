"""Tenant declared in a file, and the edits that change the catalog to match it. No I/O.

Credentials are not declared but issued; their secrets must not be kept in a file.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import msgspec
from msgspec import Struct

from hallhitch.catalog import names
from hallhitch.catalog.errors import TenantFileError
from hallhitch.catalog.model import Client, Head, Host, Kind, Limits, Plan, Value

EntryKey = tuple[Kind, str]
DeclaredEntries = dict[EntryKey, Value]

# Order of edits, by kind and whether they delete, in which every prefix is a valid change: plans are created before
# clients move to them, and deleted after clients have left them.
EDIT_ORDER: Final = (
    (Kind.TENANT, False),
    (Kind.PLAN, False),
    (Kind.CLIENT, True),
    (Kind.CLIENT, False),
    (Kind.HOST, True),
    (Kind.HOST, False),
    (Kind.PLAN, True),
)


class TenantFile(Struct, frozen=True, forbid_unknown_fields=True):
    """Complete declaration of one tenant; entries that are not in the file are deleted."""

    tenant: str
    on: bool = True
    limits: Limits = Limits()
    plans: dict[str, Plan] = {}
    clients: dict[str, Client] = {}
    hosts: dict[str, Host] = {}

    def __post_init__(self) -> None:
        if not names.is_tenant(self.tenant):
            raise TenantFileError("tenant", "a tenant is named by lower-case letters, digits and '-', 40 at most")
        for name, plan in self.plans.items():
            if not names.is_plan(name):
                raise TenantFileError(f"plans.{name}", "cannot name a plan")
            for field in plan.to_decision_plan(name).faults():
                raise TenantFileError(f"plans.{name}.{field}", "out of range, or contradicts another field")
        for name, client in self.clients.items():
            if not names.is_client(names.canonical_client_id(name)):
                raise TenantFileError(f"clients.{name}", "cannot name a client")
            if client.plan not in self.plans:
                raise TenantFileError(f"clients.{name}.plan", f"there is no plan '{client.plan}' in this file")
        for name in self.hosts:
            if not names.is_host(name):
                raise TenantFileError(f"hosts.{name}", "cannot name a host")

    def entries(self) -> DeclaredEntries:
        """Return all declared entries by kind and name."""
        declared: DeclaredEntries = {(Kind.TENANT, self.tenant): Head(self.on, self.limits)}
        declared |= {(Kind.PLAN, name): plan for name, plan in self.plans.items()}
        declared |= {(Kind.CLIENT, names.canonical_client_id(name)): client for name, client in self.clients.items()}
        declared |= {(Kind.HOST, name): host for name, host in self.hosts.items()}
        return declared


class PlannedEdit(Struct, frozen=True):
    """Edit of one entry: `current` None creates it, `wanted` None deletes it; `version` is the expected version."""

    kind: Kind
    name: str
    current: Value | None
    wanted: Value | None
    version: str | None

    def changed_fields(self) -> Iterator[tuple[str, object, object]]:
        """Yield name, current value and wanted value of each field that differs."""
        before = msgspec.structs.asdict(self.current) if self.current is not None else {}
        after = msgspec.structs.asdict(self.wanted) if self.wanted is not None else {}
        for name in after or before:
            if before.get(name) != after.get(name):
                yield name, before.get(name), after.get(name)


def plan_edits(existing: dict[EntryKey, tuple[Value, str]], wanted: DeclaredEntries) -> list[PlannedEdit]:
    """Return the edits that change the existing entries (with versions) to the wanted ones, in EDIT_ORDER."""
    edits = []
    for (kind, name), value in wanted.items():
        current, version = existing.get((kind, name), (None, None))
        if current != value:
            edits.append(PlannedEdit(kind, name, current, value, version))
    for (kind, name), (current, version) in existing.items():
        if (kind, name) not in wanted:
            edits.append(PlannedEdit(kind, name, current, None, version))
    return sorted(edits, key=lambda edit: (EDIT_ORDER.index((edit.kind, edit.wanted is None)), edit.name))
