"""JSON bodies of requests and responses, and their construction from the catalog.

The names of the classes and of their fields are part of the OpenAPI document.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from hallhitch.catalog.history import Diff
from hallhitch.catalog.model import (
    Catalog,
    Client,
    Credential,
    Head,
    Host,
    Kind,
    Plan,
    Scope,
    Tenant,
    UnixTimeMs,
    Versioned,
)
from hallhitch.catalog.rows import Row

EntryName = Annotated[str, Meta(min_length=1, max_length=253)]
Sha256 = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class CredentialBody(Struct, frozen=True, forbid_unknown_fields=True):
    """Credential to issue: for a client certificate if `certificate` is set, otherwise with a generated secret."""

    scope: Scope
    client: str | None = None
    expires: UnixTimeMs | None = None  # Unix milliseconds
    certificate: Sha256 | None = None  # fingerprint of the certificate in DER form; operators only


class CredentialPatch(Struct, frozen=True, forbid_unknown_fields=True):
    """Fields of an issued credential that can be changed."""

    expires: UnixTimeMs | None = None


class RotateBody(Struct, frozen=True, forbid_unknown_fields=True):
    """Rotation of a secret: for how long the previous secret stays valid beside the new one."""

    overlap_seconds: Annotated[int, Meta(ge=0, le=30 * 86_400)] = 3_600


class EditBody(Struct, frozen=True, forbid_unknown_fields=True):
    """One edit of a change: create or replace the entry with `value`, or delete it if `value` is null.

    `expect` is the version (as in an ETag, without quotes) that the entry must have, or "none" if it must not exist.
    """

    kind: Kind
    name: EntryName
    value: dict[str, Any] | None = None
    expect: Annotated[str, Meta(pattern=r"^(none|[0-9]{1,15}\.[0-9]{1,15})$")] | None = None


class ChangesBody(Struct, frozen=True, forbid_unknown_fields=True):
    """Edits of one tenant, applied atomically."""

    edits: Annotated[list[EditBody], Meta(min_length=1, max_length=1000)]


class Uses(Struct, frozen=True):
    """How much a tenant uses of its limits; `rate` sums the plan rates of its enabled clients, in units per second."""

    clients: int
    plans: int
    hosts: int
    credentials: int
    rate: float


class TenantView(Head, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """Tenant with its limits and how much it uses of them."""

    name: str
    version: str
    part_version: str  # the last version that changed the tenant or any of its entries
    uses: Uses


class PlanView(Plan, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """Plan with its name and version."""

    name: str
    version: str


class ClientView(Client, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """Client with its name and version."""

    name: str
    version: str


class HostView(Host, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """Host name and its version."""

    name: str
    version: str


class CredentialView(Struct, frozen=True):
    """Credential without its verifiers; `token` is set only in the response that issues or rotates it."""

    name: str
    version: str
    scope: Scope
    client: str | None
    expires: int | None
    certificate: str | None
    overlap_until: int | None  # when the previous secret becomes invalid, in Unix milliseconds
    token: str | None = None


class TenantPage(Struct, frozen=True):
    """Tenants by name; `next`, if not null, is the `after` parameter of the next page."""

    items: list[TenantView]
    next: str | None


class PlanPage(Struct, frozen=True):
    """Plans in the order of their names."""

    items: list[PlanView]
    next: str | None


class ClientPage(Struct, frozen=True):
    """Clients in the order of their names."""

    items: list[ClientView]
    next: str | None


class HostPage(Struct, frozen=True):
    """Host names in alphabetical order."""

    items: list[HostView]
    next: str | None


class CredentialPage(Struct, frozen=True):
    """Credentials in the order of their ids."""

    items: list[CredentialView]
    next: str | None


class AuditView(Struct, frozen=True):
    """Entry of the audit log; `version` is null if the call changed nothing."""

    id: int
    at: int
    tenant: str
    actor: str
    action: str
    status: int
    version: str | None


class AuditPage(Struct, frozen=True):
    """Entries of the audit log, newest first."""

    items: list[AuditView]
    next: str | None


class RowView(Struct, frozen=True):
    """Entry that a version changed; `value` is null if it was deleted, and empty for a credential."""

    tenant: str
    kind: Kind
    name: str
    value: dict[str, Any] | None


class VersionView(Struct, frozen=True):
    """Version of the catalog, with the entries that it changed."""

    version: str
    at: int
    tenant: str
    actor: str
    rows: list[RowView]


class ChangedView(Struct, frozen=True):
    """Result of a change: its version and the number of its edits."""

    version: str
    touched: int


class StatusView(Struct, frozen=True):
    """Version of the catalog, and the number of tenants."""

    version: str
    tenants: int


def format_version(epoch: int, version: int) -> str:
    """Format a version as its epoch and its number within the epoch."""
    return f"{epoch}.{version}"


def entry_view(catalog: Catalog, kind: Kind, name: str, entry: Versioned, token: str | None = None) -> Any:
    """Return the view of an entry of any kind."""
    version = format_version(catalog.epoch, entry.version)
    value = entry.value
    if kind is Kind.TENANT:
        return tenant_view(catalog, name, catalog.tenants[name])
    if kind is Kind.CREDENTIAL:
        return credential_view(name, version, value, token)
    view_type = {Kind.PLAN: PlanView, Kind.CLIENT: ClientView, Kind.HOST: HostView}[kind]
    return view_type(**msgspec.structs.asdict(value), name=name, version=version)


def tenant_view(catalog: Catalog, name: str, tenant: Tenant) -> TenantView:
    """Return the view of a tenant."""
    head: Head = tenant.head.value
    uses = Uses(len(tenant.clients), len(tenant.plans), len(tenant.hosts), len(tenant.credentials), tenant.rate)
    return TenantView(
        head.on,
        head.limits,
        name=name,
        version=format_version(catalog.epoch, tenant.head.version),
        part_version=format_version(catalog.epoch, tenant.version),
        uses=uses,
    )


def credential_view(name: str, version: str, credential: Credential, token: str | None = None) -> CredentialView:
    """Return the view of a credential."""
    overlap_ends = [verifier.until for verifier in credential.verifiers[1:] if verifier.until is not None]
    return CredentialView(
        name,
        version,
        credential.scope,
        credential.client,
        credential.expires,
        credential.certificate,
        max(overlap_ends, default=None),
        token,
    )


def row_views(diff: Diff, tenant: str | None) -> list[RowView]:
    """Return the entries that a version changed, of one tenant or of all (None)."""
    rows = [
        RowView(deleted, Kind.TENANT, deleted, None)
        for deleted in diff.reset
        if deleted not in diff.parts and tenant in (None, deleted)
    ]
    for row in diff.rows:
        if tenant in (None, row.tenant):
            rows.append(RowView(row.tenant, row.kind, row.name, _visible_value(row)))
    return rows


def _visible_value(row: Row) -> dict[str, Any] | None:
    """Return a row's value for JSON: None if the entry was deleted, an empty object for a credential."""
    if row.value is None:
        return None
    if row.kind is Kind.CREDENTIAL:
        return {}
    value: dict[str, Any] = msgspec.to_builtins(row.value)
    return value
