"""Paths of a tenant's plans, clients and host names."""

from __future__ import annotations

from typing import Annotated, Any

from litestar import Controller, Response, delete, get, patch, put
from litestar.params import QueryParameter

from hallhitch.administration.api import calls, views
from hallhitch.administration.api.calls import Conn, Target, json_response, page_of_kind, service_of
from hallhitch.administration.api.parameters import (
    CHANGE_ERRORS,
    READ_ERRORS,
    After,
    IfMatch,
    IfNoneMatch,
    Key,
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
    """Plans of a tenant."""

    path = "/v1/tenants/{tenant:str}/plans"
    tags = ("plans",)
    opt = {"kind": Kind.PLAN}  # noqa: RUF012  read by the framework, never changed

    @get("/", responses=READ_ERRORS, operation_id="listPlans")
    async def list(
        self, request: Conn, tenant: str, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.PlanPage]:
        """The tenant's plans."""
        entries, next_after = page_of_kind(request, tenant, Kind.PLAN, after, limit, prefix)
        catalog = service_of(request).catalog
        return json_response(views.PlanPage([views.view(catalog, Kind.PLAN, *entry) for entry in entries], next_after))

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getPlan")
    async def get(self, request: Conn, tenant: str, name: str) -> Response[views.PlanView]:
        """One plan."""
        return calls.read(request, Target(tenant, Kind.PLAN, name))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putPlan", opt={"write": True})
    async def put(  # noqa: PLR0913  fields of one record
        self,
        request: Conn,
        tenant: str,
        name: str,
        data: Plan,
        key: Key,
        if_match: IfMatch = None,
        if_none_match: IfNoneMatch = None,
    ) -> Response[views.PlanView]:
        """Create or replace a plan."""
        return await calls.put(request, Target(tenant, Kind.PLAN, name), data)

    @patch("/{name:str}", responses=CHANGE_ERRORS, operation_id="patchPlan", opt={"write": True})
    async def patch(
        self, request: Conn, tenant: str, name: str, data: dict[str, Any], key: Key, if_match: IfMatch = None
    ) -> Response[views.PlanView]:
        """Merge into a plan."""
        return await calls.patch(request, Target(tenant, Kind.PLAN, name))

    @delete("/{name:str}", responses=CHANGE_ERRORS, operation_id="deletePlan", opt={"write": True}, status_code=204)
    async def delete(self, request: Conn, tenant: str, name: str, key: Key, if_match: IfMatch = None) -> Response[None]:
        """Drop a plan that no client is on."""
        return await calls.delete(request, Target(tenant, Kind.PLAN, name))


class Clients(Controller):
    """Clients of a tenant."""

    path = "/v1/tenants/{tenant:str}/clients"
    tags = ("clients",)
    opt = {"kind": Kind.CLIENT}  # noqa: RUF012  read by the framework, never changed

    @get("/", responses=READ_ERRORS, operation_id="listClients")
    async def list(  # noqa: PLR0913  fields of one record
        self,
        request: Conn,
        tenant: str,
        after: After = "",
        limit: Limit = 100,
        prefix: Prefix = "",
        plan: Annotated[str | None, QueryParameter(name="plan", max_length=64)] = None,
        on: Annotated[bool | None, QueryParameter(name="on")] = None,
    ) -> Response[views.ClientPage]:
        """The tenant's clients, all or those on a plan, on or off."""
        catalog = service_of(request).catalog
        part = catalog.tenants.get(tenant)
        if part is None:
            raise not_found()

        def is_wanted(name: str) -> bool:
            value: Client = part.clients[name].value
            return name.startswith(prefix) and plan in (None, value.plan) and on in (None, value.on)

        names, next_after = calls.page(part.clients, after, limit, is_wanted)
        items = [views.view(catalog, Kind.CLIENT, name, part.clients[name]) for name in names]
        return json_response(views.ClientPage(items, next_after))

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getClient")
    async def get(self, request: Conn, tenant: str, name: str) -> Response[views.ClientView]:
        """One client."""
        return calls.read(request, Target(tenant, Kind.CLIENT, canonical_client_id(name)))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putClient", opt={"write": True})
    async def put(  # noqa: PLR0913  fields of one record
        self,
        request: Conn,
        tenant: str,
        name: str,
        data: Client,
        key: Key,
        if_match: IfMatch = None,
        if_none_match: IfNoneMatch = None,
    ) -> Response[views.ClientView]:
        """Create or replace a client."""
        return await calls.put(request, Target(tenant, Kind.CLIENT, canonical_client_id(name)), data)

    @patch("/{name:str}", responses=CHANGE_ERRORS, operation_id="patchClient", opt={"write": True})
    async def patch(
        self, request: Conn, tenant: str, name: str, data: dict[str, Any], key: Key, if_match: IfMatch = None
    ) -> Response[views.ClientView]:
        """Merge into a client."""
        return await calls.patch(request, Target(tenant, Kind.CLIENT, canonical_client_id(name)))

    @delete("/{name:str}", responses=CHANGE_ERRORS, operation_id="deleteClient", opt={"write": True}, status_code=204)
    async def delete(self, request: Conn, tenant: str, name: str, key: Key, if_match: IfMatch = None) -> Response[None]:
        """Drop a client and its credentials."""
        return await calls.delete(request, Target(tenant, Kind.CLIENT, canonical_client_id(name)))


class Hosts(Controller):
    """Host names of a tenant: the operators' to give, as a name belongs to one tenant alone."""

    path = "/v1/tenants/{tenant:str}/hosts"
    tags = ("hosts",)
    opt = {"kind": Kind.HOST}  # noqa: RUF012  read by the framework, never changed

    @get("/", responses=READ_ERRORS, operation_id="listHosts")
    async def list(
        self, request: Conn, tenant: str, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.HostPage]:
        """The tenant's host names."""
        entries, next_after = page_of_kind(request, tenant, Kind.HOST, after, limit, prefix)
        catalog = service_of(request).catalog
        return json_response(views.HostPage([views.view(catalog, Kind.HOST, *entry) for entry in entries], next_after))

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getHost")
    async def get(self, request: Conn, tenant: str, name: str) -> Response[views.HostView]:
        """One host name."""
        return calls.read(request, Target(tenant, Kind.HOST, name.lower()))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putHost", opt={"write": True})
    async def put(  # noqa: PLR0913  fields of one record
        self,
        request: Conn,
        tenant: str,
        name: str,
        data: Host,
        key: Key,
        if_match: IfMatch = None,
        if_none_match: IfNoneMatch = None,
    ) -> Response[views.HostView]:
        """Give a tenant a host name (operators)."""
        return await calls.put(request, Target(tenant, Kind.HOST, name.lower()), data)

    @delete("/{name:str}", responses=CHANGE_ERRORS, operation_id="deleteHost", opt={"write": True}, status_code=204)
    async def delete(self, request: Conn, tenant: str, name: str, key: Key, if_match: IfMatch = None) -> Response[None]:
        """Take a host name away (operators)."""
        return await calls.delete(request, Target(tenant, Kind.HOST, name.lower()))
