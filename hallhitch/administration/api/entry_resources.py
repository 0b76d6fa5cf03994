"""Handlers for the plans, clients and host names of a tenant."""

from __future__ import annotations

from typing import Annotated, Any

from litestar import Controller, Response, delete, get, patch, put
from litestar.params import QueryParameter

from hallhitch.administration.api import calls, views
from hallhitch.administration.api.calls import ApiRequest, Target, json_response, page_of_kind, service_of
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
from hallhitch.administration.api.problems import not_found
from hallhitch.catalog.model import (
    Client,
    Host,
    Kind,
    Plan,
)
from hallhitch.catalog.names import canonical_client_id


class Plans(Controller):
    """Handlers for the plans of a tenant."""

    path = "/v1/tenants/{tenant:str}/plans"
    tags = ("plans",)
    opt = {"kind": Kind.PLAN}  # noqa: RUF012  read by the framework, never changed

    @get("/", responses=READ_ERRORS, operation_id="listPlans")
    async def list(
        self, request: ApiRequest, tenant: str, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.PlanPage]:
        """The tenant's plans."""
        entries, next_after = page_of_kind(request, tenant, Kind.PLAN, after, limit, prefix)
        catalog = service_of(request).catalog
        return json_response(
            views.PlanPage([views.entry_view(catalog, Kind.PLAN, *entry) for entry in entries], next_after)
        )

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getPlan")
    async def get(self, request: ApiRequest, tenant: str, name: str) -> Response[views.PlanView]:
        """One plan."""
        return calls.read(request, Target(tenant, Kind.PLAN, name))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putPlan", opt={"write": True})
    async def put(  # noqa: PLR0913  each is a parameter of the request
        self,
        request: ApiRequest,
        tenant: str,
        name: str,
        data: Plan,
        key: IdempotencyKey,
        if_match: IfMatch = None,
        if_none_match: IfNoneMatch = None,
    ) -> Response[views.PlanView]:
        """Create or replace a plan."""
        return await calls.put(request, Target(tenant, Kind.PLAN, name), data)

    @patch("/{name:str}", responses=CHANGE_ERRORS, operation_id="patchPlan", opt={"write": True})
    async def patch(
        self,
        request: ApiRequest,
        tenant: str,
        name: str,
        data: dict[str, Any],
        key: IdempotencyKey,
        if_match: IfMatch = None,
    ) -> Response[views.PlanView]:
        """Merge into a plan."""
        return await calls.patch(request, Target(tenant, Kind.PLAN, name))

    @delete("/{name:str}", responses=CHANGE_ERRORS, operation_id="deletePlan", opt={"write": True}, status_code=204)
    async def delete(
        self, request: ApiRequest, tenant: str, name: str, key: IdempotencyKey, if_match: IfMatch = None
    ) -> Response[None]:
        """Drop a plan that no client is on."""
        return await calls.delete(request, Target(tenant, Kind.PLAN, name))


class Clients(Controller):
    """Handlers for the clients of a tenant."""

    path = "/v1/tenants/{tenant:str}/clients"
    tags = ("clients",)
    opt = {"kind": Kind.CLIENT}  # noqa: RUF012  read by the framework, never changed

    @get("/", responses=READ_ERRORS, operation_id="listClients")
    async def list(  # noqa: PLR0913  each is a parameter of the request
        self,
        request: ApiRequest,
        tenant: str,
        after: After = "",
        limit: Limit = 100,
        prefix: Prefix = "",
        plan: Annotated[str | None, QueryParameter(name="plan", max_length=64)] = None,
        on: Annotated[bool | None, QueryParameter(name="on")] = None,
    ) -> Response[views.ClientPage]:
        """The tenant's clients, all or those on a plan, on or off."""
        catalog = service_of(request).catalog
        tenant_record = catalog.tenants.get(tenant)
        if tenant_record is None:
            raise not_found()

        def matches_filter(name: str) -> bool:
            value: Client = tenant_record.clients[name].value
            return name.startswith(prefix) and plan in (None, value.plan) and on in (None, value.on)

        names, next_after = calls.page_of_names(tenant_record.clients, after, limit, matches_filter)
        items = [views.entry_view(catalog, Kind.CLIENT, name, tenant_record.clients[name]) for name in names]
        return json_response(views.ClientPage(items, next_after))

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getClient")
    async def get(self, request: ApiRequest, tenant: str, name: str) -> Response[views.ClientView]:
        """One client."""
        return calls.read(request, Target(tenant, Kind.CLIENT, canonical_client_id(name)))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putClient", opt={"write": True})
    async def put(  # noqa: PLR0913  each is a parameter of the request
        self,
        request: ApiRequest,
        tenant: str,
        name: str,
        data: Client,
        key: IdempotencyKey,
        if_match: IfMatch = None,
        if_none_match: IfNoneMatch = None,
    ) -> Response[views.ClientView]:
        """Create or replace a client."""
        return await calls.put(request, Target(tenant, Kind.CLIENT, canonical_client_id(name)), data)

    @patch("/{name:str}", responses=CHANGE_ERRORS, operation_id="patchClient", opt={"write": True})
    async def patch(
        self,
        request: ApiRequest,
        tenant: str,
        name: str,
        data: dict[str, Any],
        key: IdempotencyKey,
        if_match: IfMatch = None,
    ) -> Response[views.ClientView]:
        """Merge into a client."""
        return await calls.patch(request, Target(tenant, Kind.CLIENT, canonical_client_id(name)))

    @delete("/{name:str}", responses=CHANGE_ERRORS, operation_id="deleteClient", opt={"write": True}, status_code=204)
    async def delete(
        self, request: ApiRequest, tenant: str, name: str, key: IdempotencyKey, if_match: IfMatch = None
    ) -> Response[None]:
        """Drop a client and its credentials."""
        return await calls.delete(request, Target(tenant, Kind.CLIENT, canonical_client_id(name)))


class Hosts(Controller):
    """Handlers for the host names of a tenant.

    Only operators may assign host names, because each name belongs to a single tenant.
    """

    path = "/v1/tenants/{tenant:str}/hosts"
    tags = ("hosts",)
    opt = {"kind": Kind.HOST}  # noqa: RUF012  read by the framework, never changed

    @get("/", responses=READ_ERRORS, operation_id="listHosts")
    async def list(
        self, request: ApiRequest, tenant: str, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.HostPage]:
        """The tenant's host names."""
        entries, next_after = page_of_kind(request, tenant, Kind.HOST, after, limit, prefix)
        catalog = service_of(request).catalog
        return json_response(
            views.HostPage([views.entry_view(catalog, Kind.HOST, *entry) for entry in entries], next_after)
        )

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getHost")
    async def get(self, request: ApiRequest, tenant: str, name: str) -> Response[views.HostView]:
        """One host name."""
        return calls.read(request, Target(tenant, Kind.HOST, name.lower()))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putHost", opt={"write": True})
    async def put(  # noqa: PLR0913  each is a parameter of the request
        self,
        request: ApiRequest,
        tenant: str,
        name: str,
        data: Host,
        key: IdempotencyKey,
        if_match: IfMatch = None,
        if_none_match: IfNoneMatch = None,
    ) -> Response[views.HostView]:
        """Give a tenant a host name (operators)."""
        return await calls.put(request, Target(tenant, Kind.HOST, name.lower()), data)

    @delete("/{name:str}", responses=CHANGE_ERRORS, operation_id="deleteHost", opt={"write": True}, status_code=204)
    async def delete(
        self, request: ApiRequest, tenant: str, name: str, key: IdempotencyKey, if_match: IfMatch = None
    ) -> Response[None]:
        """Take a host name away (operators)."""
        return await calls.delete(request, Target(tenant, Kind.HOST, name.lower()))
