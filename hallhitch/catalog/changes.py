"""Changes: values that, applied to a catalogue, give the next version or a named refusal. Pure and repeatable.

Checks look at what a whole change leaves behind, not at its steps: in one change, clients may move to a plan that
comes with it and leave one that goes with it.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from hallhitch.catalog import names
from hallhitch.catalog.draft import CatalogDraft
from hallhitch.catalog.history import Diff, make_diff
from hallhitch.catalog.model import (
    Catalog,
    Credential,
    Host,
    Kind,
    Plan,
    Scope,
    Tenant,
)
from hallhitch.catalog.rows import Row, canonical_value

MAX_EDITS_PER_CHANGE = 1_000  # of one change: what a gateway and a store take in one piece


class ChangeRefused(Exception):
    """Why a change is not made; nothing of it is. `code` is stable, `field` a path into the change."""

    CODES = ("not-found", "stale", "invalid", "over-limit", "in-use", "taken")

    def __init__(self, code: str, field: str, detail: str) -> None:
        super().__init__(f"{field}: {detail}")
        self.code, self.field, self.detail = code, field, detail


class Edit(Struct, frozen=True):
    """Put a value under a name, or (value None) drop it, if it stands at the expected version.

    `expect`: None asks nothing, 0 that nothing is there, n that version n last changed it.
    """

    kind: Kind
    name: str
    value: Any = None
    expect: int | None = None


class Change(Struct, frozen=True):
    """Edits of one tenant's part ("" for the operators'), made all or none."""

    tenant: str
    edits: tuple[Edit, ...]


class Applied(Struct, frozen=True):
    """What a change made: the next catalogue, and the diff that leads to it."""

    catalog: Catalog
    diff: Diff


def apply_change(catalog: Catalog, change: Change) -> Applied:
    """Apply a change; the catalogue given stays as it is. Refused names the first edit at fault."""
    if not 1 <= len(change.edits) <= MAX_EDITS_PER_CHANGE:
        raise ChangeRefused(
            "invalid", "edits", f"1 to {MAX_EDITS_PER_CHANGE} edits make a change, not {len(change.edits)}"
        )
    version = catalog.version + 1
    draft = CatalogDraft(catalog)
    for number, edit in enumerate(change.edits):
        _apply_edit(draft, change.tenant, edit, f"edits[{number}]", version)
    made = draft.finish(catalog.epoch, version)
    part = made.tenants.get(change.tenant)
    if part is not None:
        _check_tenant(part)
    if (
        change.tenant == names.OPERATORS
        and catalog.operators
        and not any(kept.value.scope is Scope.OPERATOR for kept in made.operators.values())
    ):
        raise ChangeRefused("in-use", "edits", "this would leave no operator's credential")
    return Applied(made, make_diff(made, catalog.version, draft.touched))


def _apply_edit(draft: CatalogDraft, tenant: str, edit: Edit, at: str, version: int) -> None:
    """One edit, with the checks that need no other."""
    was = draft.get(tenant, edit.kind, edit.name)
    if draft.get(tenant, Kind.TENANT, tenant) is None and edit.kind is not Kind.TENANT and tenant:
        raise ChangeRefused("not-found", at, "there is no such tenant")
    if edit.expect is not None and edit.expect != (was.version if was is not None else 0):
        raise ChangeRefused(
            "stale",
            at,
            "this was changed meanwhile"
            if was
            else "there is no such thing"
            if edit.expect
            else "there is one already",
        )
    if edit.value is None:
        if was is None:
            raise ChangeRefused("not-found", at, f"there is no {edit.kind.value} of this name")
        draft.drop(tenant, edit.kind, edit.name)
        return
    _check_name(tenant, edit, at)
    try:
        value = canonical_value(edit.kind, edit.value)
    except ValueError as error:
        raise ChangeRefused("invalid", f"{at}.value", str(error)) from error
    _check_value(draft, tenant, edit, value, at)
    draft.put(Row(tenant, edit.kind, edit.name, version, value))


def _check_name(tenant: str, edit: Edit, at: str) -> None:
    good = {
        Kind.TENANT: lambda: edit.name == tenant and names.is_tenant(tenant),
        Kind.PLAN: lambda: names.is_plan(edit.name),
        Kind.CLIENT: lambda: names.is_client(edit.name),
        Kind.HOST: lambda: names.is_host(edit.name),
        Kind.CREDENTIAL: lambda: names.is_credential(edit.name),
    }[edit.kind]()
    if not good or (tenant == names.OPERATORS and edit.kind is not Kind.CREDENTIAL):
        raise ChangeRefused("invalid", f"{at}.name", f"this cannot name a {edit.kind.value}")


def _check_value(draft: CatalogDraft, tenant: str, edit: Edit, value: Any, at: str) -> None:
    """What a value's own types do not say. A client's plan is looked for once the whole change stands."""
    if isinstance(value, Plan):
        for field in value.to_decision_plan(edit.name).faults():
            raise ChangeRefused("invalid", f"{at}.value.{field}", "out of range, or contradicts another field")
    elif isinstance(value, Credential):
        if (value.scope in (Scope.OPERATOR, Scope.GATEWAY)) != (tenant == names.OPERATORS):
            raise ChangeRefused(
                "invalid", f"{at}.value.scope", "operators and gateways, and only they, are the operators'"
            )
        if value.scope is Scope.GATEWAY and value.certificate is None:
            raise ChangeRefused("invalid", f"{at}.value.certificate", "a gateway is named by its certificate")
        if (value.scope is Scope.CLIENT) != (value.client is not None):
            raise ChangeRefused("invalid", f"{at}.value.client", "this goes with the scope 'client', and only with it")
        if not value.verifiers and value.certificate is None:
            raise ChangeRefused("invalid", f"{at}.value.verifiers", "nothing to check a caller against")
    elif isinstance(value, Host):
        holder = draft.tenant_of_host(edit.name)
        if holder is not None and holder != tenant:
            raise ChangeRefused("taken", f"{at}.name", "this host name is in use")


def _check_tenant(part: Tenant) -> None:
    """What must hold between the things of one tenant."""
    limits = part.head.value.limits
    for kind, field in part.KINDS.items():
        most = getattr(limits, field)
        if len(part.entries(kind)) > most:
            raise ChangeRefused("over-limit", f"limits.{field}", f"the tenant may have {most} {field}")
    for plan, count in sorted(part.client_counts.items()):
        if plan not in part.plans:
            raise ChangeRefused("in-use", "plan", f"{count} clients are on the plan '{plan}', which there is not")
    for client in part.credential_ids_by_client:
        if client not in part.clients:
            raise ChangeRefused("not-found", "client", f"a credential names the client '{client}', which there is not")
    rate = part.rate
    if rate > limits.rate * (1 + 1e-9):
        raise ChangeRefused(
            "over-limit",
            "limits.rate",
            f"the clients that are on would have {rate:g} units a second together; "
            f"the tenant may hand out {limits.rate:g}",
        )
