"""Handlers for tenants, and for changes with several edits."""

from __future__ import annotations

from typing import Any, Final

import msgspec
from litestar import Controller, Response, delete, get, patch, post, put

from hallhitch.administration.api import calls, views
from hallhitch.administration.api.calls import ApiRequest, Target, caller_of, json_response, service_of
from hallhitch.administration.api.parameters import (
    CHANGE_ERRORS,
    READ_ERRORS,
    After,
    IdempotencyKey,
    IfMatch,
    IfNoneMatch,
    Limit,
    Prefix,
)
from hallhitch.administration.api.problems import ProblemError
from hallhitch.administration.write_calls import PlannedChange, Reply
from hallhitch.catalog.access import Verdict, authorize
from hallhitch.catalog.changes import Change, Edit
from hallhitch.catalog.errors import ChangeRefused
from hallhitch.catalog.model import (
    VALUE_TYPES,
    Catalog,
    Head,
    Kind,
    Scope,
)
from hallhitch.catalog.names import canonical_client_id

NO_VERSION: Final = -1  # matches no entry; stands for a version of another epoch


class Tenants(Controller):
    """Handlers for tenants."""

    path = "/v1/tenants"
    tags = ("tenants",)
    opt = {"kind": Kind.TENANT}  # noqa: RUF012  read by the framework, never changed

    @get("/", responses=READ_ERRORS, operation_id="listTenants")
    async def list(
        self, request: ApiRequest, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.TenantPage]:
        """The tenants that the caller may see."""
        catalog, caller = service_of(request).catalog, caller_of(request)
        visible = catalog.tenants if caller.scope is Scope.OPERATOR else [caller.tenant]
        names, next_after = calls.page_of_names(
            visible, after, limit, lambda name: name.startswith(prefix) and name in catalog.tenants
        )
        items = [views.tenant_view(catalog, name, catalog.tenants[name]) for name in names]
        return json_response(views.TenantPage(items, next_after))

    @get("/{tenant:str}", responses=READ_ERRORS, operation_id="getTenant")
    async def get(self, request: ApiRequest, tenant: str) -> Response[views.TenantView]:
        """One tenant."""
        return calls.read(request, Target(tenant, Kind.TENANT, tenant))

    @put("/{tenant:str}", responses=CHANGE_ERRORS, operation_id="putTenant", opt={"write": True})
    async def put(
        self,
        request: ApiRequest,
        tenant: str,
        data: Head,
        key: IdempotencyKey,
        if_match: IfMatch = None,
        if_none_match: IfNoneMatch = None,
    ) -> Response[views.TenantView]:
        """Create or replace a tenant's own entry (operators)."""
        return await calls.put(request, Target(tenant, Kind.TENANT, tenant), data)

    @patch("/{tenant:str}", responses=CHANGE_ERRORS, operation_id="patchTenant", opt={"write": True})
    async def patch(
        self, request: ApiRequest, tenant: str, data: dict[str, Any], key: IdempotencyKey, if_match: IfMatch = None
    ) -> Response[views.TenantView]:
        """Merge into a tenant's own entry (operators)."""
        return await calls.patch(request, Target(tenant, Kind.TENANT, tenant))

    @delete("/{tenant:str}", responses=CHANGE_ERRORS, operation_id="deleteTenant", opt={"write": True}, status_code=204)
    async def delete(
        self, request: ApiRequest, tenant: str, key: IdempotencyKey, if_match: IfMatch = None
    ) -> Response[None]:
        """Drop a tenant with all it has (operators)."""
        return await calls.delete(request, Target(tenant, Kind.TENANT, tenant))

    @post(
        "/{tenant:str}/changes",
        responses=CHANGE_ERRORS,
        operation_id="changeTenant",
        status_code=200,
        opt={"write": True, "kind": Kind.PLAN},
    )
    async def changes(
        self, request: ApiRequest, tenant: str, data: views.ChangesBody, key: IdempotencyKey
    ) -> Response[views.ChangedView]:
        """Several edits of one tenant, all or none."""
        caller = caller_of(request)
        for number, edit in enumerate(data.edits):
            path = f"edits[{number}]"
            if authorize(caller, tenant, edit.kind, True) is not Verdict.ALLOWED:
                raise ProblemError(403, "beyond-scope", "This credential may not change that.", path)
            if edit.kind is Kind.CREDENTIAL and edit.value is not None:
                raise ProblemError(422, "invalid", "Credentials are issued one by one, under their own path.", path)
        first = data.edits[0]
        creates_tenant = first.kind is Kind.TENANT and first.value is not None

        def plan(catalog: Catalog, now_ms: int) -> PlannedChange:
            if tenant not in catalog.tenants and not creates_tenant:
                raise ChangeRefused("not-found", "", "there is no such tenant")
            edits = [_catalog_edit(catalog, edit, f"edits[{number}]") for number, edit in enumerate(data.edits)]
            return PlannedChange(
                Change(tenant, tuple(edits)), lambda new_catalog: _changed_reply(new_catalog, len(edits))
            )

        return await calls.submit(request, tenant, plan)


def _changed_reply(catalog: Catalog, edit_count: int) -> Reply:
    view = views.ChangedView(views.format_version(catalog.epoch, catalog.version), edit_count)
    return Reply(200, {"content-type": calls.JSON_MEDIA_TYPE, "cache-control": "no-store"}, msgspec.json.encode(view))


def _catalog_edit(catalog: Catalog, edit: views.EditBody, path: str) -> Edit:
    """Convert an edit of the request to the catalog's `Edit`.

    Raises:
        ChangeRefused: The value is invalid; the error has the path of the field, which begins with `path`.
    """
    name = canonical_client_id(edit.name) if edit.kind is Kind.CLIENT else edit.name
    expect = _expected_version(catalog, edit.expect)
    if edit.value is None:
        return Edit(edit.kind, name, None, expect)
    try:
        return Edit(edit.kind, name, calls.convert_value(edit.value, VALUE_TYPES[edit.kind]), expect)
    except ChangeRefused as refusal:
        field = ".".join(filter(None, (f"{path}.value", refusal.field)))
        raise ChangeRefused("invalid", field, refusal.detail) from refusal


def _expected_version(catalog: Catalog, expect: str | None) -> int | None:
    """Convert `EditBody.expect` to `Edit.expect`."""
    if expect is None:
        return None
    if expect == "none":
        return 0
    epoch, version = map(int, expect.split("."))
    return version if epoch == catalog.epoch else NO_VERSION
