"""Bodies of requests and responses as JSON. Field names and class names are part of the OpenAPI description."""

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
    Moment,
    Plan,
    Scope,
    Tenant,
    Versioned,
)
from hallhitch.catalog.rows import Row

Name = Annotated[str, Meta(min_length=1, max_length=253)]
Sha256 = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class CredentialBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A credential to issue: with `certificate` it is a client certificate's, otherwise a secret is made."""

    scope: Scope
    client: str | None = None
    expires: Moment | None = None  # Unix milliseconds
    certificate: Sha256 | None = None  # of the certificate in DER form; operators only


class CredentialPatch(Struct, frozen=True, forbid_unknown_fields=True):
    """What can be changed of a credential that is issued."""

    expires: Moment | None = None


class RotateBody(Struct, frozen=True, forbid_unknown_fields=True):
    """How long the secret before counts beside the new one."""

    overlap_seconds: Annotated[int, Meta(ge=0, le=30 * 86_400)] = 3_600


class EditBody(Struct, frozen=True, forbid_unknown_fields=True):
    """One edit of several: put `value`, or with `value` null drop what is there.

    `expect` is the version (as in an ETag, without quotes) that the thing must have, or "none" if it must not be there.
    """

    kind: Kind
    name: Name
    value: dict[str, Any] | None = None
    expect: Annotated[str, Meta(pattern=r"^(none|[0-9]{1,15}\.[0-9]{1,15})$")] | None = None


class ChangesBody(Struct, frozen=True, forbid_unknown_fields=True):
    """Edits of one tenant, made all or none."""

    edits: Annotated[list[EditBody], Meta(min_length=1, max_length=1000)]


class Uses(Struct, frozen=True):
    """What a tenant has, beside its limits."""

    clients: int
    plans: int
    hosts: int
    credentials: int
    rate: float


class TenantView(Head, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """A tenant."""

    name: str
    version: str
    part_version: str  # the last version that changed anything of the tenant's
    uses: Uses


class PlanView(Plan, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """A plan."""

    name: str
    version: str


class ClientView(Client, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """A client."""

    name: str
    version: str


class HostView(Host, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """A host name."""

    name: str
    version: str


class CredentialView(Struct, frozen=True):
    """A credential, without what it is checked against; `token` stands only in the answer that issues it."""

    name: str
    version: str
    scope: Scope
    client: str | None
    expires: int | None
    certificate: str | None
    overlap_until: int | None  # until when the secret before the newest counts
    token: str | None = None


class TenantPage(Struct, frozen=True):
    """Tenants by name; `next` goes into `after`."""

    items: list[TenantView]
    next: str | None


class PlanPage(Struct, frozen=True):
    """Plans by name."""

    items: list[PlanView]
    next: str | None


class ClientPage(Struct, frozen=True):
    """Clients by name."""

    items: list[ClientView]
    next: str | None


class HostPage(Struct, frozen=True):
    """Host names by name."""

    items: list[HostView]
    next: str | None


class CredentialPage(Struct, frozen=True):
    """Credentials by id."""

    items: list[CredentialView]
    next: str | None


class AuditView(Struct, frozen=True):
    """One call that was decided; `version` is null where it changed nothing."""

    id: int
    at: int
    tenant: str
    actor: str
    action: str
    status: int
    version: str | None


class AuditPage(Struct, frozen=True):
    """Calls, newest first."""

    items: list[AuditView]
    next: str | None


class RowView(Struct, frozen=True):
    """One thing that a version touched; `value` null where it went, and hidden for credentials."""

    tenant: str
    kind: Kind
    name: str
    value: dict[str, Any] | None


class VersionView(Struct, frozen=True):
    """One version."""

    version: str
    at: int
    tenant: str
    actor: str
    rows: list[RowView]


class ChangedView(Struct, frozen=True):
    """What several edits made."""

    version: str
    touched: int


class StatusView(Struct, frozen=True):
    """Where the catalogue stands."""

    version: str
    tenants: int


def stamp(epoch: int, version: int) -> str:
    """Format a version: epoch and number."""
    return f"{epoch}.{version}"


def view(catalog: Catalog, kind: Kind, name: str, entry: Versioned, token: str | None = None) -> Any:
    """Return an entry's view."""
    version = stamp(catalog.epoch, entry.version)
    value = entry.value
    if kind is Kind.TENANT:
        return tenant_view(catalog, name, catalog.tenants[name])
    if kind is Kind.CREDENTIAL:
        return credential_view(name, version, value, token)
    view_type = {Kind.PLAN: PlanView, Kind.CLIENT: ClientView, Kind.HOST: HostView}[kind]
    return view_type(**msgspec.structs.asdict(value), name=name, version=version)


def tenant_view(catalog: Catalog, name: str, tenant: Tenant) -> TenantView:
    """Return a tenant's view."""
    head: Head = tenant.head.value
    uses = Uses(len(tenant.clients), len(tenant.plans), len(tenant.hosts), len(tenant.credentials), tenant.rate)
    return TenantView(
        head.on,
        head.limits,
        name=name,
        version=stamp(catalog.epoch, tenant.head.version),
        part_version=stamp(catalog.epoch, tenant.version),
        uses=uses,
    )


def credential_view(name: str, version: str, credential: Credential, token: str | None = None) -> CredentialView:
    """Return a credential's view, without its verifiers."""
    overlaps = [verifier.until for verifier in credential.verifiers[1:] if verifier.until is not None]
    return CredentialView(
        name,
        version,
        credential.scope,
        credential.client,
        credential.expires,
        credential.certificate,
        max(overlaps, default=None),
        token,
    )


def rows_view(diff: Diff, tenant: str | None) -> list[RowView]:
    """Return what a version touched, of one tenant or (None) of all."""
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
    """Return a row's value as plain values; None where it is deleted, nothing of a credential."""
    if row.value is None:
        return None
    if row.kind is Kind.CREDENTIAL:
        return {}
    value: dict[str, Any] = msgspec.to_builtins(row.value)
    return value
