"""The paths of the API. Handlers say what a call is about; `calls` does it, the writer decides it."""

from __future__ import annotations

import asyncio
from typing import Annotated, Any

import msgspec
from litestar import Controller, Response, delete, get, patch, post, put
from litestar.connection import ASGIConnection
from litestar.handlers import BaseRouteHandler
from litestar.openapi.datastructures import ResponseSpec
from litestar.params import HeaderParameter, PathParameter, QueryParameter

from hallhitch.administration.api import calls, views
from hallhitch.administration.api.calls import Conn, Target, caller_of, service_of
from hallhitch.administration.api.problems import PROBLEM_MEDIA_TYPE, Problem, ProblemError, not_found
from hallhitch.administration.secrets import SecretChecker, new_secret
from hallhitch.administration.store import SqliteStore
from hallhitch.administration.write_calls import PlannedChange, Reply
from hallhitch.catalog.access import Token, Verdict, authorize
from hallhitch.catalog.changes import Change, Edit
from hallhitch.catalog.errors import ChangeRefused
from hallhitch.catalog.model import (
    VALUE_TYPES,
    Catalog,
    Client,
    Credential,
    Head,
    Host,
    Kind,
    Plan,
    Scope,
    Verifier,
    Versioned,
)
from hallhitch.catalog.names import OPERATORS, canonical_client_id

Key = Annotated[
    str,
    HeaderParameter(
        name="Idempotency-Key",
        min_length=1,
        max_length=200,
        description="The same key and call give the first answer again, for 24 h.",
    ),
]
IfMatch = Annotated[str | None, HeaderParameter(name="If-Match", description="Entity tags of the thing, or *.")]
IfNoneMatch = Annotated[str | None, HeaderParameter(name="If-None-Match", description="* if there must be none.")]
After = Annotated[str, QueryParameter(name="after", max_length=253, description="The `next` of the page before.")]
Limit = Annotated[int, QueryParameter(name="limit", ge=1, le=calls.MAX_PAGE_ITEMS)]
Prefix = Annotated[str, QueryParameter(name="prefix", max_length=253, description="Only names that begin so.")]
Answer = Response[Any]


def _problem(text: str) -> ResponseSpec:
    return ResponseSpec(Problem, generate_examples=False, description=text, media_type=PROBLEM_MEDIA_TYPE)


READ_ERRORS = {
    400: _problem("What cannot be read."),
    401: _problem("No credential that counts."),
    404: _problem("Nothing there that the caller may see."),
    429: _problem("Too many calls."),
    503: _problem("Nothing can be looked up now."),
}
CHANGE_ERRORS = READ_ERRORS | {
    403: _problem("Beyond the credential's scope."),
    409: _problem("Contradicts what stands."),
    412: _problem("The thing is not as If-Match or If-None-Match says."),
    413: _problem("Too large a body."),
    415: _problem("Another media type."),
    422: _problem("A value that cannot be, or a key used for another call."),
    428: _problem("A replace without If-Match."),
}


def authorize_handler(connection: ASGIConnection[Any, Any, Any, Any], handler: BaseRouteHandler) -> None:
    """Before a body is looked at: what is another's reads as what is not there."""
    caller = connection.scope["state"]["caller"]
    if caller is None:
        return
    told = handler.opt
    if told.get("feed"):  # gateways alone, and nothing else is theirs
        if caller.scope is not Scope.GATEWAY:
            raise not_found()
        return
    tenant = connection.path_params.get("tenant", told.get("tenant"))
    verdict = authorize(caller, tenant, told.get("kind"), bool(told.get("write")))
    if verdict is Verdict.HIDDEN:
        raise not_found()
    if verdict is Verdict.BEYOND_SCOPE:
        raise ProblemError(403, "beyond-scope", "This credential may not do that.")


def page_of_kind(
    request: Conn, tenant: str, kind: Kind, after: str, limit: int, prefix: str
) -> tuple[list[tuple[str, Versioned]], str | None]:
    """A page of one kind of a tenant's things."""
    part = service_of(request).catalog.tenants.get(tenant)
    if part is None:
        raise not_found()
    things = part.entries(kind)
    names, following = calls.page(things, after, limit, lambda name: name.startswith(prefix))
    return [(name, things[name]) for name in names], following


def json_response(body: Any) -> Answer:
    """A view as an answer."""
    return Response(msgspec.json.encode(body), media_type=calls.JSON, headers={"cache-control": "no-store"})


class Tenants(Controller):
    """Tenants."""

    path = "/v1/tenants"
    tags = ("tenants",)
    opt = {"kind": Kind.TENANT}

    @get("/", responses=READ_ERRORS, operation_id="listTenants")
    async def list(
        self, request: Conn, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.TenantPage]:
        """The tenants that the caller may see."""
        catalog, caller = service_of(request).catalog, caller_of(request)
        seen = catalog.tenants if caller.scope is Scope.OPERATOR else [caller.tenant]
        names, following = calls.page(
            seen, after, limit, lambda name: name.startswith(prefix) and name in catalog.tenants
        )
        items = [views.tenant_view(catalog, name, catalog.tenants[name]) for name in names]
        return json_response(views.TenantPage(items, following))

    @get("/{tenant:str}", responses=READ_ERRORS, operation_id="getTenant")
    async def get(self, request: Conn, tenant: str) -> Response[views.TenantView]:
        """One tenant."""
        return calls.read(request, Target(tenant, Kind.TENANT, tenant))

    @put("/{tenant:str}", responses=CHANGE_ERRORS, operation_id="putTenant", opt={"write": True})
    async def put(
        self,
        request: Conn,
        tenant: str,
        data: Head,
        key: Key,
        if_match: IfMatch = None,
        if_none_match: IfNoneMatch = None,
    ) -> Response[views.TenantView]:
        """Create or replace a tenant's own entry (operators)."""
        return await calls.put(request, Target(tenant, Kind.TENANT, tenant), data)

    @patch("/{tenant:str}", responses=CHANGE_ERRORS, operation_id="patchTenant", opt={"write": True})
    async def patch(
        self, request: Conn, tenant: str, data: dict[str, Any], key: Key, if_match: IfMatch = None
    ) -> Response[views.TenantView]:
        """Merge into a tenant's own entry (operators)."""
        return await calls.patch(request, Target(tenant, Kind.TENANT, tenant))

    @delete("/{tenant:str}", responses=CHANGE_ERRORS, operation_id="deleteTenant", opt={"write": True}, status_code=204)
    async def delete(self, request: Conn, tenant: str, key: Key, if_match: IfMatch = None) -> Response[None]:
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
        self, request: Conn, tenant: str, data: views.ChangesBody, key: Key
    ) -> Response[views.ChangedView]:
        """Several edits of one tenant, all or none."""
        caller = caller_of(request)
        for number, edit in enumerate(data.edits):
            at = f"edits[{number}]"
            if authorize(caller, tenant, edit.kind, True) is not Verdict.ALLOWED:
                raise ProblemError(403, "beyond-scope", "This credential may not change that.", at)
            if edit.kind is Kind.CREDENTIAL and edit.value is not None:
                raise ProblemError(422, "invalid", "Credentials are issued one by one, under their own path.", at)

        def plan(catalog: Catalog, now: int) -> PlannedChange:
            if tenant not in catalog.tenants and not (
                data.edits[0].kind is Kind.TENANT and data.edits[0].value is not None
            ):
                raise ChangeRefused("not-found", "", "there is no such tenant")
            made = Change(
                tenant, tuple(_catalog_edit(catalog, edit, f"edits[{n}]") for n, edit in enumerate(data.edits))
            )

            def reply(after: Catalog) -> Reply:
                view = views.ChangedView(views.stamp(after.epoch, after.version), len(made.edits))
                return Reply(200, {"content-type": calls.JSON, "cache-control": "no-store"}, msgspec.json.encode(view))

            return PlannedChange(made, reply)

        return await calls.submit(request, tenant, plan)


def _catalog_edit(catalog: Catalog, edit: views.EditBody, at: str) -> Edit:
    """One edit of several, in the catalogue's form."""
    name = canonical_client_id(edit.name) if edit.kind is Kind.CLIENT else edit.name
    expect = None
    if edit.expect == "none":
        expect = 0
    elif edit.expect is not None:
        epoch, version = map(int, edit.expect.split("."))
        expect = version if epoch == catalog.epoch else -1  # of another epoch: nothing has it
    if edit.value is None:
        return Edit(edit.kind, name, None, expect)
    try:
        return Edit(edit.kind, name, calls.convert_value(edit.value, VALUE_TYPES[edit.kind]), expect)
    except ChangeRefused as refusal:
        raise ChangeRefused(
            "invalid", ".".join(filter(None, (f"{at}.value", refusal.field))), refusal.detail
        ) from refusal


class Plans(Controller):
    """Plans of a tenant."""

    path = "/v1/tenants/{tenant:str}/plans"
    tags = ("plans",)
    opt = {"kind": Kind.PLAN}

    @get("/", responses=READ_ERRORS, operation_id="listPlans")
    async def list(
        self, request: Conn, tenant: str, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.PlanPage]:
        """The tenant's plans."""
        things, following = page_of_kind(request, tenant, Kind.PLAN, after, limit, prefix)
        catalog = service_of(request).catalog
        return json_response(views.PlanPage([views.view(catalog, Kind.PLAN, *thing) for thing in things], following))

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getPlan")
    async def get(self, request: Conn, tenant: str, name: str) -> Response[views.PlanView]:
        """One plan."""
        return calls.read(request, Target(tenant, Kind.PLAN, name))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putPlan", opt={"write": True})
    async def put(
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
    opt = {"kind": Kind.CLIENT}

    @get("/", responses=READ_ERRORS, operation_id="listClients")
    async def list(
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

        def wanted(name: str) -> bool:
            value: Client = part.clients[name].value
            return name.startswith(prefix) and plan in (None, value.plan) and on in (None, value.on)

        names, following = calls.page(part.clients, after, limit, wanted)
        items = [views.view(catalog, Kind.CLIENT, name, part.clients[name]) for name in names]
        return json_response(views.ClientPage(items, following))

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getClient")
    async def get(self, request: Conn, tenant: str, name: str) -> Response[views.ClientView]:
        """One client."""
        return calls.read(request, Target(tenant, Kind.CLIENT, canonical_client_id(name)))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putClient", opt={"write": True})
    async def put(
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
    opt = {"kind": Kind.HOST}

    @get("/", responses=READ_ERRORS, operation_id="listHosts")
    async def list(
        self, request: Conn, tenant: str, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.HostPage]:
        """The tenant's host names."""
        things, following = page_of_kind(request, tenant, Kind.HOST, after, limit, prefix)
        catalog = service_of(request).catalog
        return json_response(views.HostPage([views.view(catalog, Kind.HOST, *thing) for thing in things], following))

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getHost")
    async def get(self, request: Conn, tenant: str, name: str) -> Response[views.HostView]:
        """One host name."""
        return calls.read(request, Target(tenant, Kind.HOST, name.lower()))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putHost", opt={"write": True})
    async def put(
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


async def issue_credential(request: Conn, tenant: str, name: str, data: views.CredentialBody) -> Answer:
    """Issue a credential: its token stands in this answer and its repeats, and nowhere else."""
    if data.certificate is not None:
        if tenant != OPERATORS:
            raise ProblemError(422, "invalid", "Only operators are named by certificates here.", "certificate")
        value = Credential(data.scope, (), data.client, data.expires, data.certificate)
        return await calls.put(request, Target(tenant, Kind.CREDENTIAL, name), value)
    checker: SecretChecker = request.app.state.checker
    secret = new_secret()
    client = canonical_client_id(data.client) if data.client is not None else None
    value = Credential(data.scope, (Verifier(await checker.hash(data.scope, secret)),), client, data.expires)
    return await calls.put(request, Target(tenant, Kind.CREDENTIAL, name), value, str(Token(tenant, name, secret)))


async def rotate_secret(request: Conn, tenant: str, name: str, data: views.RotateBody) -> Answer:
    """A new secret; the one before counts for the overlap."""
    checker: SecretChecker = request.app.state.checker
    target, secret = Target(tenant, Kind.CREDENTIAL, name), new_secret()
    hashes = {scope: await checker.hash(scope, secret) for scope in (Scope.CLIENT, Scope.ADMIN)}
    condition = calls.condition_of(request)

    def plan(catalog: Catalog, now: int) -> PlannedChange:
        was = catalog.get(tenant, Kind.CREDENTIAL, name)
        if was is None:
            raise ChangeRefused("not-found", "", "there is nothing of this name")
        condition.check(catalog, was, replaces=False)
        value: Credential = was.value
        if value.certificate is not None:
            raise ChangeRefused("invalid", "certificate", "a certificate has no secret to rotate")
        until = now + data.overlap_seconds * 1000
        older = tuple(
            Verifier(v.hash, until if v.until is None else min(v.until, until))
            for v in value.verifiers[:1]
            if data.overlap_seconds
        )
        fresh = Verifier(hashes[Scope.CLIENT if value.scope is Scope.CLIENT else Scope.ADMIN])
        made = msgspec.structs.replace(value, verifiers=(fresh, *older))
        return PlannedChange(
            Change(tenant, (Edit(Kind.CREDENTIAL, name, made),)),
            lambda after: calls.resource_reply(after, target, 200, str(Token(tenant, name, secret))),
            True,
        )

    return await calls.submit(request, tenant, plan)


def _patch_credential(value: Any, body: Any) -> Any:
    """Of a credential, only the end may be changed."""
    told: views.CredentialPatch = calls.convert_value(body, views.CredentialPatch)
    return msgspec.structs.replace(value, expires=told.expires) if "expires" in body else value


class Credentials(Controller):
    """Credentials of a tenant."""

    path = "/v1/tenants/{tenant:str}/credentials"
    tags = ("credentials",)
    opt = {"kind": Kind.CREDENTIAL}

    @get("/", responses=READ_ERRORS, operation_id="listCredentials")
    async def list(
        self, request: Conn, tenant: str, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.CredentialPage]:
        """The tenant's credentials, without their secrets."""
        things, following = page_of_kind(request, tenant, Kind.CREDENTIAL, after, limit, prefix)
        catalog = service_of(request).catalog
        return json_response(
            views.CredentialPage([views.view(catalog, Kind.CREDENTIAL, *thing) for thing in things], following)
        )

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getCredential")
    async def get(self, request: Conn, tenant: str, name: str) -> Response[views.CredentialView]:
        """One credential, without its secret."""
        return calls.read(request, Target(tenant, Kind.CREDENTIAL, name))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putCredential", opt={"write": True})
    async def put(
        self,
        request: Conn,
        tenant: str,
        name: str,
        data: views.CredentialBody,
        key: Key,
        if_match: IfMatch = None,
        if_none_match: IfNoneMatch = None,
    ) -> Response[views.CredentialView]:
        """Issue a credential; the answer holds its token."""
        return await issue_credential(request, tenant, name, data)

    @patch("/{name:str}", responses=CHANGE_ERRORS, operation_id="patchCredential", opt={"write": True})
    async def patch(
        self, request: Conn, tenant: str, name: str, data: dict[str, Any], key: Key, if_match: IfMatch = None
    ) -> Response[views.CredentialView]:
        """Set or lift a credential's end."""
        return await calls.patch(request, Target(tenant, Kind.CREDENTIAL, name), _patch_credential)

    @post(
        "/{name:str}/rotate",
        responses=CHANGE_ERRORS,
        operation_id="rotateCredential",
        opt={"write": True},
        status_code=200,
    )
    async def rotate(
        self, request: Conn, tenant: str, name: str, data: views.RotateBody, key: Key, if_match: IfMatch = None
    ) -> Response[views.CredentialView]:
        """A new secret; the one before counts for the overlap."""
        return await rotate_secret(request, tenant, name, data)

    @delete(
        "/{name:str}", responses=CHANGE_ERRORS, operation_id="deleteCredential", opt={"write": True}, status_code=204
    )
    async def delete(self, request: Conn, tenant: str, name: str, key: Key, if_match: IfMatch = None) -> Response[None]:
        """Revoke a credential: from this answer on it does not count."""
        return await calls.delete(request, Target(tenant, Kind.CREDENTIAL, name))


class Operators(Controller):
    """The operators' credentials."""

    path = "/v1/operators"
    tags = ("operators",)
    opt = {"kind": Kind.CREDENTIAL, "tenant": OPERATORS}

    @get("/", responses=READ_ERRORS, operation_id="listOperators")
    async def list(
        self, request: Conn, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.CredentialPage]:
        """The operators' credentials, without their secrets."""
        catalog = service_of(request).catalog
        names, following = calls.page(catalog.operators, after, limit, lambda name: name.startswith(prefix))
        items = [views.view(catalog, Kind.CREDENTIAL, name, catalog.operators[name]) for name in names]
        return json_response(views.CredentialPage(items, following))

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getOperator")
    async def get(self, request: Conn, name: str) -> Response[views.CredentialView]:
        """One operator's credential."""
        return calls.read(request, Target(OPERATORS, Kind.CREDENTIAL, name))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putOperator", opt={"write": True})
    async def put(
        self,
        request: Conn,
        name: str,
        data: views.CredentialBody,
        key: Key,
        if_match: IfMatch = None,
        if_none_match: IfNoneMatch = None,
    ) -> Response[views.CredentialView]:
        """Issue an operator's credential, by secret or by client certificate."""
        return await issue_credential(request, OPERATORS, name, data)

    @post(
        "/{name:str}/rotate",
        responses=CHANGE_ERRORS,
        operation_id="rotateOperator",
        opt={"write": True},
        status_code=200,
    )
    async def rotate(
        self, request: Conn, name: str, data: views.RotateBody, key: Key, if_match: IfMatch = None
    ) -> Response[views.CredentialView]:
        """A new secret; the one before counts for the overlap."""
        return await rotate_secret(request, OPERATORS, name, data)

    @delete("/{name:str}", responses=CHANGE_ERRORS, operation_id="deleteOperator", opt={"write": True}, status_code=204)
    async def delete(self, request: Conn, name: str, key: Key, if_match: IfMatch = None) -> Response[None]:
        """Revoke an operator's credential; the last one stays."""
        return await calls.delete(request, Target(OPERATORS, Kind.CREDENTIAL, name))


Before = Annotated[
    str, QueryParameter(name="after", pattern="^[0-9]{0,18}$", description="The `next` of the page before.")
]


async def _audit_page(request: Conn, tenant: str | None, after: str, limit: int) -> Answer:
    store: SqliteStore = request.app.state.store
    before = int(after) if after else 2**62
    found = await asyncio.to_thread(store.audit_entries, tenant, before, limit + 1)
    items = [
        views.AuditView(
            a.id, a.at_ms, a.tenant, a.actor, a.action, a.status, views.stamp(a.epoch, a.version) if a.version else None
        )
        for a in found[:limit]
    ]
    return json_response(views.AuditPage(items, str(items[-1].id) if len(found) > limit else None))


@get("/v1/tenants/{tenant:str}/audit", responses=READ_ERRORS, operation_id="listTenantAudit", tags=["audit"])
async def tenant_audit(request: Conn, tenant: str, after: Before = "", limit: Limit = 100) -> Response[views.AuditPage]:
    """What was decided about a tenant, newest first."""
    if tenant not in service_of(request).catalog.tenants and caller_of(request).scope is not Scope.OPERATOR:
        raise not_found()
    return await _audit_page(request, tenant, after, limit)


@get("/v1/audit", responses=READ_ERRORS, operation_id="listAudit", tags=["audit"], opt={"tenant": OPERATORS})
async def audit(request: Conn, after: Before = "", limit: Limit = 100) -> Response[views.AuditPage]:
    """What was decided, newest first (operators)."""
    return await _audit_page(request, None, after, limit)


@get("/v1/versions/{number:int}", responses=READ_ERRORS, operation_id="getVersion", tags=["versions"])
async def version(request: Conn, number: Annotated[int, PathParameter(ge=0, le=2**53)]) -> Response[views.VersionView]:
    """What a version of the present epoch touched: a tenant sees its own part, operators all."""
    caller, catalog = caller_of(request), service_of(request).catalog
    store: SqliteStore = request.app.state.store
    written = await asyncio.to_thread(store.logged_change, catalog.epoch, number)
    tenant = None if caller.scope is Scope.OPERATOR else caller.tenant
    if written is None or (tenant is not None and written.tenant != tenant):
        raise not_found()
    return json_response(
        views.VersionView(
            views.stamp(written.epoch, written.version),
            written.at_ms,
            written.tenant,
            written.actor,
            views.rows_view(written.diff, tenant),
        )
    )


@get("/v1/status", responses=READ_ERRORS, operation_id="getStatus", tags=["versions"], opt={"tenant": OPERATORS})
async def status(request: Conn) -> Response[views.StatusView]:
    """Where the catalogue stands (operators)."""
    catalog = service_of(request).catalog
    return json_response(views.StatusView(views.stamp(catalog.epoch, catalog.version), len(catalog.tenants)))


HANDLERS: list[Any] = [Tenants, Plans, Clients, Hosts, Credentials, Operators, tenant_audit, audit, version, status]
