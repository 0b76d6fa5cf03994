"""Handlers for the audit log, the versions of the catalog and the service's status."""

from __future__ import annotations

import asyncio
from typing import Annotated, Any

from litestar import Response, get
from litestar.params import PathParameter

from hallhitch.administration.api import views
from hallhitch.administration.api.calls import ApiRequest, caller_of, json_response, service_of
from hallhitch.administration.api.parameters import (
    READ_ERRORS,
    AuditCursor,
    Limit,
)
from hallhitch.administration.api.problems import not_found
from hallhitch.administration.store import SqliteStore
from hallhitch.catalog.model import (
    Scope,
)
from hallhitch.catalog.names import OPERATORS


async def _audit_page(request: ApiRequest, tenant: str | None, after: str, limit: int) -> Response[Any]:
    store: SqliteStore = request.app.state.store
    before_id = int(after) if after else 2**62  # above any id: the first page starts at the newest entry
    entries = await asyncio.to_thread(store.audit_entries, tenant, before_id, limit + 1)
    items = [
        views.AuditView(
            entry.id,
            entry.at_ms,
            entry.tenant,
            entry.actor,
            entry.action,
            entry.status,
            views.format_version(entry.epoch, entry.version) if entry.version else None,
        )
        for entry in entries[:limit]
    ]
    return json_response(views.AuditPage(items, str(items[-1].id) if len(entries) > limit else None))


@get("/v1/tenants/{tenant:str}/audit", responses=READ_ERRORS, operation_id="listTenantAudit", tags=["audit"])
async def tenant_audit(
    request: ApiRequest, tenant: str, after: AuditCursor = "", limit: Limit = 100
) -> Response[views.AuditPage]:
    """What was decided about a tenant, newest first."""
    if tenant not in service_of(request).catalog.tenants and caller_of(request).scope is not Scope.OPERATOR:
        raise not_found()
    return await _audit_page(request, tenant, after, limit)


@get("/v1/audit", responses=READ_ERRORS, operation_id="listAudit", tags=["audit"], opt={"tenant": OPERATORS})
async def audit(request: ApiRequest, after: AuditCursor = "", limit: Limit = 100) -> Response[views.AuditPage]:
    """What was decided, newest first (operators)."""
    return await _audit_page(request, None, after, limit)


@get("/v1/versions/{number:int}", responses=READ_ERRORS, operation_id="getVersion", tags=["versions"])
async def version(
    request: ApiRequest, number: Annotated[int, PathParameter(ge=0, le=2**53)]
) -> Response[views.VersionView]:
    """What a version of the present epoch touched: a tenant sees its own part, operators all."""
    caller, catalog = caller_of(request), service_of(request).catalog
    store: SqliteStore = request.app.state.store
    logged = await asyncio.to_thread(store.logged_change, catalog.epoch, number)
    tenant = None if caller.scope is Scope.OPERATOR else caller.tenant
    if logged is None or (tenant is not None and logged.tenant != tenant):
        raise not_found()
    return json_response(
        views.VersionView(
            views.format_version(logged.epoch, logged.version),
            logged.at_ms,
            logged.tenant,
            logged.actor,
            views.row_views(logged.diff, tenant),
        )
    )


@get("/v1/status", responses=READ_ERRORS, operation_id="getStatus", tags=["versions"], opt={"tenant": OPERATORS})
async def status(request: ApiRequest) -> Response[views.StatusView]:
    """Where the catalogue stands (operators)."""
    catalog = service_of(request).catalog
    return json_response(views.StatusView(views.format_version(catalog.epoch, catalog.version), len(catalog.tenants)))
