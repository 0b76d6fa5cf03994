"""Changes of the catalog: applying one gives the next version or raises `ChangeRefused`. Pure and deterministic.

Limits and references are checked on the result of the whole change and not after each edit: one change may create a
plan, move clients to it and delete their earlier plan, in any order.
"""

from __future__ import annotations

from typing import Any, Final

from msgspec import Struct

from hallhitch.catalog import names
from hallhitch.catalog.draft import CatalogDraft
from hallhitch.catalog.errors import ChangeRefused
from hallhitch.catalog.history import Diff, make_diff
from hallhitch.catalog.model import (
    Catalog,
    Credential,
    Host,
    Kind,
    Plan,
    Scope,
    Tenant,
    Versioned,
)
from hallhitch.catalog.rows import Row, canonical_value

MAX_EDITS_PER_CHANGE: Final = 1_000  # bounds the work of gateways and of the store for one change
RATE_ROUNDING: Final = 1 + 1e-9  # rounding may put a sum of rates that equals the limit slightly above it


class Edit(Struct, frozen=True):
    """Sets the value of an entry, or deletes the entry (`value` None), if it has the expected version.

    `expect`: None sets no condition, 0 requires that the name is unused, n that version n last changed the entry.
    """

    kind: Kind
    name: str
    value: Any = None
    expect: int | None = None


class Change(Struct, frozen=True):
    """Edits of the entries of one tenant ("" for the operators), applied all or none."""

    tenant: str
    edits: tuple[Edit, ...]


class Applied(Struct, frozen=True):
    """Result of a change: the next catalog, and the diff from the previous one."""

    catalog: Catalog
    diff: Diff


def apply_change(catalog: Catalog, change: Change) -> Applied:
    """Apply a change and return the result; the given catalog is not modified.

    Raises:
        ChangeRefused: The change is invalid; the error names the first invalid edit or the exceeded limit.
    """
    if not 1 <= len(change.edits) <= MAX_EDITS_PER_CHANGE:
        detail = f"1 to {MAX_EDITS_PER_CHANGE} edits make a change, not {len(change.edits)}"
        raise ChangeRefused("invalid", "edits", detail)
    version = catalog.version + 1
    draft = CatalogDraft(catalog)
    for number, edit in enumerate(change.edits):
        _apply_edit(draft, change.tenant, edit, f"edits[{number}]", version)
    changed = draft.finish(catalog.epoch, version)
    tenant = changed.tenants.get(change.tenant)
    if tenant is not None:
        _check_tenant(tenant)
    if change.tenant == names.OPERATORS and catalog.operators and not _has_operator(changed):
        raise ChangeRefused("in-use", "edits", "this would leave no operator's credential")
    return Applied(changed, make_diff(changed, catalog.version, draft.touched))


def _has_operator(catalog: Catalog) -> bool:
    return any(entry.value.scope is Scope.OPERATOR for entry in catalog.operators.values())


def _apply_edit(draft: CatalogDraft, tenant: str, edit: Edit, path: str, version: int) -> None:
    """Apply one edit, after the checks that do not depend on later edits."""
    existing = draft.get(tenant, edit.kind, edit.name)
    if draft.get(tenant, Kind.TENANT, tenant) is None and edit.kind is not Kind.TENANT and tenant:
        raise ChangeRefused("not-found", path, "there is no such tenant")
    _check_expected(edit, existing, path)
    if edit.value is None:
        if existing is None:
            raise ChangeRefused("not-found", path, f"there is no {edit.kind.value} of this name")
        draft.delete(tenant, edit.kind, edit.name)
        return
    _check_name(tenant, edit, path)
    try:
        value = canonical_value(edit.kind, edit.value)
    except ValueError as error:
        raise ChangeRefused("invalid", f"{path}.value", str(error)) from error
    _check_value(draft, tenant, edit, value, path)
    draft.put(Row(tenant, edit.kind, edit.name, version, value))


def _check_expected(edit: Edit, existing: Versioned | None, path: str) -> None:
    """Check the version that the caller expects against the current version of the entry."""
    if edit.expect is None:
        return
    if edit.expect == (existing.version if existing is not None else 0):
        return
    raise ChangeRefused("stale", path, "there is no such thing" if existing is None else "this was changed meanwhile")


def _check_name(tenant: str, edit: Edit, path: str) -> None:
    is_valid = {
        Kind.TENANT: lambda: edit.name == tenant and names.is_tenant(tenant),
        Kind.PLAN: lambda: names.is_plan(edit.name),
        Kind.CLIENT: lambda: names.is_client(edit.name),
        Kind.HOST: lambda: names.is_host(edit.name),
        Kind.CREDENTIAL: lambda: names.is_credential(edit.name),
    }[edit.kind]()
    if not is_valid or (tenant == names.OPERATORS and edit.kind is not Kind.CREDENTIAL):
        raise ChangeRefused("invalid", f"{path}.name", f"this cannot name a {edit.kind.value}")


def _check_value(draft: CatalogDraft, tenant: str, edit: Edit, value: Any, path: str) -> None:
    """Check what the type of the value does not; `_check_tenant` checks references between entries."""
    if isinstance(value, Plan):
        for field in value.to_decision_plan(edit.name).faults():
            raise ChangeRefused("invalid", f"{path}.value.{field}", "out of range, or contradicts another field")
    elif isinstance(value, Credential):
        _check_credential(tenant, value, path)
    elif isinstance(value, Host):
        owner = draft.tenant_of_host(edit.name)
        if owner is not None and owner != tenant:
            raise ChangeRefused("taken", f"{path}.name", "this host name is in use")


def _check_credential(tenant: str, credential: Credential, path: str) -> None:
    is_operator_scope = credential.scope in (Scope.OPERATOR, Scope.GATEWAY)
    if is_operator_scope != (tenant == names.OPERATORS):
        detail = "operators and gateways, and only they, are the operators'"
        raise ChangeRefused("invalid", f"{path}.value.scope", detail)
    if credential.scope is Scope.GATEWAY and credential.certificate is None:
        raise ChangeRefused("invalid", f"{path}.value.certificate", "a gateway is named by its certificate")
    if (credential.scope is Scope.CLIENT) != (credential.client is not None):
        raise ChangeRefused("invalid", f"{path}.value.client", "this goes with the scope 'client', and only with it")
    if not credential.verifiers and credential.certificate is None:
        raise ChangeRefused("invalid", f"{path}.value.verifiers", "nothing to check a caller against")


def _check_tenant(tenant: Tenant) -> None:
    """Check the limits of one tenant and the references between its entries."""
    limits = tenant.head.value.limits
    for kind, field in tenant.KINDS.items():
        limit = getattr(limits, field)
        if len(tenant.entries(kind)) > limit:
            raise ChangeRefused("over-limit", f"limits.{field}", f"the tenant may have {limit} {field}")
    for plan, count in sorted(tenant.client_counts.items()):
        if plan not in tenant.plans:
            raise ChangeRefused("in-use", "plan", f"{count} clients are on the plan '{plan}', which there is not")
    for client in tenant.credential_ids_by_client:
        if client not in tenant.clients:
            detail = f"a credential names the client '{client}', which there is not"
            raise ChangeRefused("not-found", "client", detail)
    rate = tenant.rate
    if rate > limits.rate * RATE_ROUNDING:
        raise ChangeRefused(
            "over-limit",
            "limits.rate",
            f"the clients that are on would have {rate:g} units a second together; "
            f"the tenant may hand out {limits.rate:g}",
        )
