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
from hallhitch.administration.api.problems import MEDIA, Problem, ProblemError, hidden
from hallhitch.administration.secrets import Checker, new_secret
from hallhitch.administration.store import SqliteStore
from hallhitch.administration.writer import Planned, Reply
from hallhitch.catalog.access import Token, Verdict, may
from hallhitch.catalog.changes import Change, Edit, Refused
from hallhitch.catalog.model import TYPES, Catalogue, Client, Credential, Head, Host, Kept, Kind, Plan, Scope, Verifier
from hallhitch.catalog.names import OPERATORS, client_of

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
Limit = Annotated[int, QueryParameter(name="limit", ge=1, le=calls.MOST)]
Prefix = Annotated[str, QueryParameter(name="prefix", max_length=253, description="Only names that begin so.")]
Answer = Response[Any]


def _problem(text: str) -> ResponseSpec:
    return ResponseSpec(Problem, generate_examples=False, description=text, media_type=MEDIA)


READ = {
    400: _problem("What cannot be read."),
    401: _problem("No credential that counts."),
    404: _problem("Nothing there that the caller may see."),
    429: _problem("Too many calls."),
    503: _problem("Nothing can be looked up now."),
}
CHANGE = READ | {
    403: _problem("Beyond the credential's scope."),
    409: _problem("Contradicts what stands."),
    412: _problem("The thing is not as If-Match or If-None-Match says."),
    413: _problem("Too large a body."),
    415: _problem("Another media type."),
    422: _problem("A value that cannot be, or a key used for another call."),
    428: _problem("A replace without If-Match."),
}


def allowed(connection: ASGIConnection[Any, Any, Any, Any], handler: BaseRouteHandler) -> None:
    """Before a body is looked at: what is another's reads as what is not there."""
    caller = connection.scope["state"]["caller"]
    if caller is None:
        return
    told = handler.opt
    if told.get("feed"):  # gateways alone, and nothing else is theirs
        if caller.scope is not Scope.GATEWAY:
            raise hidden()
        return
    tenant = connection.path_params.get("tenant", told.get("tenant"))
    verdict = may(caller, tenant, told.get("kind"), bool(told.get("write")))
    if verdict is Verdict.HIDDEN:
        raise hidden()
    if verdict is Verdict.BEYOND:
        raise ProblemError(403, "beyond-scope", "This credential may not do that.")


def listed(
    request: Conn, tenant: str, kind: Kind, after: str, limit: int, prefix: str
) -> tuple[list[tuple[str, Kept]], str | None]:
    """A page of one kind of a tenant's things."""
    part = service_of(request).catalogue.tenants.get(tenant)
    if part is None:
        raise hidden()
    things = part.of(kind)
    names, following = calls.page(things, after, limit, lambda name: name.startswith(prefix))
    return [(name, things[name]) for name in names], following


def answer(body: Any) -> Answer:
    """A view as an answer."""
    return Response(msgspec.json.encode(body), media_type=calls.JSON, headers={"cache-control": "no-store"})


class Tenants(Controller):
    """Tenants."""

    path = "/v1/tenants"
    tags = ("tenants",)
    opt = {"kind": Kind.TENANT}

    @get("/", responses=READ, operation_id="listTenants")
    async def list(
        self, request: Conn, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.TenantPage]:
        """The tenants that the caller may see."""
        catalogue, caller = service_of(request).catalogue, caller_of(request)
        seen = catalogue.tenants if caller.scope is Scope.OPERATOR else [caller.tenant]
        names, following = calls.page(
            seen, after, limit, lambda name: name.startswith(prefix) and name in catalogue.tenants
        )
        items = [views.tenant_view(catalogue, name, catalogue.tenants[name]) for name in names]
        return answer(views.TenantPage(items, following))

    @get("/{tenant:str}", responses=READ, operation_id="getTenant")
    async def get(self, request: Conn, tenant: str) -> Response[views.TenantView]:
        """One tenant."""
        return calls.read(request, Target(tenant, Kind.TENANT, tenant))

    @put("/{tenant:str}", responses=CHANGE, operation_id="putTenant", opt={"write": True})
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

    @patch("/{tenant:str}", responses=CHANGE, operation_id="patchTenant", opt={"write": True})
    async def patch(
        self, request: Conn, tenant: str, data: dict[str, Any], key: Key, if_match: IfMatch = None
    ) -> Response[views.TenantView]:
        """Merge into a tenant's own entry (operators)."""
        return await calls.patch(request, Target(tenant, Kind.TENANT, tenant))

    @delete("/{tenant:str}", responses=CHANGE, operation_id="deleteTenant", opt={"write": True}, status_code=204)
    async def delete(self, request: Conn, tenant: str, key: Key, if_match: IfMatch = None) -> Response[None]:
        """Drop a tenant with all it has (operators)."""
        return await calls.delete(request, Target(tenant, Kind.TENANT, tenant))

    @post(
        "/{tenant:str}/changes",
        responses=CHANGE,
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
            if may(caller, tenant, edit.kind, True) is not Verdict.YES:
                raise ProblemError(403, "beyond-scope", "This credential may not change that.", at)
            if edit.kind is Kind.CREDENTIAL and edit.value is not None:
                raise ProblemError(422, "invalid", "Credentials are issued one by one, under their own path.", at)

        def plan(catalogue: Catalogue, now: int) -> Planned:
            if tenant not in catalogue.tenants and not (
                data.edits[0].kind is Kind.TENANT and data.edits[0].value is not None
            ):
                raise Refused("not-found", "", "there is no such tenant")
            made = Change(tenant, tuple(_edit(catalogue, edit, f"edits[{n}]") for n, edit in enumerate(data.edits)))

            def reply(after: Catalogue) -> Reply:
                view = views.ChangedView(views.stamp(after.epoch, after.version), len(made.edits))
                return Reply(200, {"content-type": calls.JSON, "cache-control": "no-store"}, msgspec.json.encode(view))

            return Planned(made, reply)

        return await calls.submit(request, tenant, plan)


def _edit(catalogue: Catalogue, edit: views.EditBody, at: str) -> Edit:
    """One edit of several, in the catalogue's form."""
    name = client_of(edit.name) if edit.kind is Kind.CLIENT else edit.name
    expect = None
    if edit.expect == "none":
        expect = 0
    elif edit.expect is not None:
        epoch, version = map(int, edit.expect.split("."))
        expect = version if epoch == catalogue.epoch else -1  # of another epoch: nothing has it
    if edit.value is None:
        return Edit(edit.kind, name, None, expect)
    try:
        return Edit(edit.kind, name, calls.typed(edit.value, TYPES[edit.kind]), expect)
    except Refused as refusal:
        raise Refused("invalid", ".".join(filter(None, (f"{at}.value", refusal.field))), refusal.detail) from refusal


class Plans(Controller):
    """Plans of a tenant."""

    path = "/v1/tenants/{tenant:str}/plans"
    tags = ("plans",)
    opt = {"kind": Kind.PLAN}

    @get("/", responses=READ, operation_id="listPlans")
    async def list(
        self, request: Conn, tenant: str, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.PlanPage]:
        """The tenant's plans."""
        things, following = listed(request, tenant, Kind.PLAN, after, limit, prefix)
        catalogue = service_of(request).catalogue
        return answer(views.PlanPage([views.view(catalogue, Kind.PLAN, *thing) for thing in things], following))

    @get("/{name:str}", responses=READ, operation_id="getPlan")
    async def get(self, request: Conn, tenant: str, name: str) -> Response[views.PlanView]:
        """One plan."""
        return calls.read(request, Target(tenant, Kind.PLAN, name))

    @put("/{name:str}", responses=CHANGE, operation_id="putPlan", opt={"write": True})
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

    @patch("/{name:str}", responses=CHANGE, operation_id="patchPlan", opt={"write": True})
    async def patch(
        self, request: Conn, tenant: str, name: str, data: dict[str, Any], key: Key, if_match: IfMatch = None
    ) -> Response[views.PlanView]:
        """Merge into a plan."""
        return await calls.patch(request, Target(tenant, Kind.PLAN, name))

    @delete("/{name:str}", responses=CHANGE, operation_id="deletePlan", opt={"write": True}, status_code=204)
    async def delete(self, request: Conn, tenant: str, name: str, key: Key, if_match: IfMatch = None) -> Response[None]:
        """Drop a plan that no client is on."""
        return await calls.delete(request, Target(tenant, Kind.PLAN, name))


class Clients(Controller):
    """Clients of a tenant."""

    path = "/v1/tenants/{tenant:str}/clients"
    tags = ("clients",)
    opt = {"kind": Kind.CLIENT}

    @get("/", responses=READ, operation_id="listClients")
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
        catalogue = service_of(request).catalogue
        part = catalogue.tenants.get(tenant)
        if part is None:
            raise hidden()

        def wanted(name: str) -> bool:
            value: Client = part.clients[name].value
            return name.startswith(prefix) and plan in (None, value.plan) and on in (None, value.on)

        names, following = calls.page(part.clients, after, limit, wanted)
        items = [views.view(catalogue, Kind.CLIENT, name, part.clients[name]) for name in names]
        return answer(views.ClientPage(items, following))

    @get("/{name:str}", responses=READ, operation_id="getClient")
    async def get(self, request: Conn, tenant: str, name: str) -> Response[views.ClientView]:
        """One client."""
        return calls.read(request, Target(tenant, Kind.CLIENT, client_of(name)))

    @put("/{name:str}", responses=CHANGE, operation_id="putClient", opt={"write": True})
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
        return await calls.put(request, Target(tenant, Kind.CLIENT, client_of(name)), data)

    @patch("/{name:str}", responses=CHANGE, operation_id="patchClient", opt={"write": True})
    async def patch(
        self, request: Conn, tenant: str, name: str, data: dict[str, Any], key: Key, if_match: IfMatch = None
    ) -> Response[views.ClientView]:
        """Merge into a client."""
        return await calls.patch(request, Target(tenant, Kind.CLIENT, client_of(name)))

    @delete("/{name:str}", responses=CHANGE, operation_id="deleteClient", opt={"write": True}, status_code=204)
    async def delete(self, request: Conn, tenant: str, name: str, key: Key, if_match: IfMatch = None) -> Response[None]:
        """Drop a client and its credentials."""
        return await calls.delete(request, Target(tenant, Kind.CLIENT, client_of(name)))


class Hosts(Controller):
    """Host names of a tenant: the operators' to give, as a name belongs to one tenant alone."""

    path = "/v1/tenants/{tenant:str}/hosts"
    tags = ("hosts",)
    opt = {"kind": Kind.HOST}

    @get("/", responses=READ, operation_id="listHosts")
    async def list(
        self, request: Conn, tenant: str, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.HostPage]:
        """The tenant's host names."""
        things, following = listed(request, tenant, Kind.HOST, after, limit, prefix)
        catalogue = service_of(request).catalogue
        return answer(views.HostPage([views.view(catalogue, Kind.HOST, *thing) for thing in things], following))

    @get("/{name:str}", responses=READ, operation_id="getHost")
    async def get(self, request: Conn, tenant: str, name: str) -> Response[views.HostView]:
        """One host name."""
        return calls.read(request, Target(tenant, Kind.HOST, name.lower()))

    @put("/{name:str}", responses=CHANGE, operation_id="putHost", opt={"write": True})
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

    @delete("/{name:str}", responses=CHANGE, operation_id="deleteHost", opt={"write": True}, status_code=204)
    async def delete(self, request: Conn, tenant: str, name: str, key: Key, if_match: IfMatch = None) -> Response[None]:
        """Take a host name away (operators)."""
        return await calls.delete(request, Target(tenant, Kind.HOST, name.lower()))


async def issue(request: Conn, tenant: str, name: str, data: views.CredentialBody) -> Answer:
    """Issue a credential: its token stands in this answer and its repeats, and nowhere else."""
    if data.certificate is not None:
        if tenant != OPERATORS:
            raise ProblemError(422, "invalid", "Only operators are named by certificates here.", "certificate")
        value = Credential(data.scope, (), data.client, data.expires, data.certificate)
        return await calls.put(request, Target(tenant, Kind.CREDENTIAL, name), value)
    checker: Checker = request.app.state.checker
    secret = new_secret()
    client = client_of(data.client) if data.client is not None else None
    value = Credential(data.scope, (Verifier(await checker.hash(data.scope, secret)),), client, data.expires)
    return await calls.put(request, Target(tenant, Kind.CREDENTIAL, name), value, str(Token(tenant, name, secret)))


async def rotate(request: Conn, tenant: str, name: str, data: views.RotateBody) -> Answer:
    """A new secret; the one before counts for the overlap."""
    checker: Checker = request.app.state.checker
    target, secret = Target(tenant, Kind.CREDENTIAL, name), new_secret()
    hashes = {scope: await checker.hash(scope, secret) for scope in (Scope.CLIENT, Scope.ADMIN)}
    condition = calls.condition_of(request)

    def plan(catalogue: Catalogue, now: int) -> Planned:
        was = catalogue.get(tenant, Kind.CREDENTIAL, name)
        if was is None:
            raise Refused("not-found", "", "there is nothing of this name")
        condition.check(catalogue, was, replaces=False)
        value: Credential = was.value
        if value.certificate is not None:
            raise Refused("invalid", "certificate", "a certificate has no secret to rotate")
        until = now + data.overlap_seconds * 1000
        older = tuple(
            Verifier(v.hash, until if v.until is None else min(v.until, until))
            for v in value.verifiers[:1]
            if data.overlap_seconds
        )
        fresh = Verifier(hashes[Scope.CLIENT if value.scope is Scope.CLIENT else Scope.ADMIN])
        made = msgspec.structs.replace(value, verifiers=(fresh, *older))
        return Planned(
            Change(tenant, (Edit(Kind.CREDENTIAL, name, made),)),
            lambda after: calls.shown(after, target, 200, str(Token(tenant, name, secret))),
            True,
        )

    return await calls.submit(request, tenant, plan)


def _fold_credential(value: Any, body: Any) -> Any:
    """Of a credential, only the end may be changed."""
    told: views.CredentialPatch = calls.typed(body, views.CredentialPatch)
    return msgspec.structs.replace(value, expires=told.expires) if "expires" in body else value


class Credentials(Controller):
    """Credentials of a tenant."""

    path = "/v1/tenants/{tenant:str}/credentials"
    tags = ("credentials",)
    opt = {"kind": Kind.CREDENTIAL}

    @get("/", responses=READ, operation_id="listCredentials")
    async def list(
        self, request: Conn, tenant: str, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.CredentialPage]:
        """The tenant's credentials, without their secrets."""
        things, following = listed(request, tenant, Kind.CREDENTIAL, after, limit, prefix)
        catalogue = service_of(request).catalogue
        return answer(
            views.CredentialPage([views.view(catalogue, Kind.CREDENTIAL, *thing) for thing in things], following)
        )

    @get("/{name:str}", responses=READ, operation_id="getCredential")
    async def get(self, request: Conn, tenant: str, name: str) -> Response[views.CredentialView]:
        """One credential, without its secret."""
        return calls.read(request, Target(tenant, Kind.CREDENTIAL, name))

    @put("/{name:str}", responses=CHANGE, operation_id="putCredential", opt={"write": True})
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
        return await issue(request, tenant, name, data)

    @patch("/{name:str}", responses=CHANGE, operation_id="patchCredential", opt={"write": True})
    async def patch(
        self, request: Conn, tenant: str, name: str, data: dict[str, Any], key: Key, if_match: IfMatch = None
    ) -> Response[views.CredentialView]:
        """Set or lift a credential's end."""
        return await calls.patch(request, Target(tenant, Kind.CREDENTIAL, name), _fold_credential)

    @post("/{name:str}/rotate", responses=CHANGE, operation_id="rotateCredential", opt={"write": True}, status_code=200)
    async def rotate(
        self, request: Conn, tenant: str, name: str, data: views.RotateBody, key: Key, if_match: IfMatch = None
    ) -> Response[views.CredentialView]:
        """A new secret; the one before counts for the overlap."""
        return await rotate(request, tenant, name, data)

    @delete("/{name:str}", responses=CHANGE, operation_id="deleteCredential", opt={"write": True}, status_code=204)
    async def delete(self, request: Conn, tenant: str, name: str, key: Key, if_match: IfMatch = None) -> Response[None]:
        """Revoke a credential: from this answer on it does not count."""
        return await calls.delete(request, Target(tenant, Kind.CREDENTIAL, name))


class Operators(Controller):
    """The operators' credentials."""

    path = "/v1/operators"
    tags = ("operators",)
    opt = {"kind": Kind.CREDENTIAL, "tenant": OPERATORS}

    @get("/", responses=READ, operation_id="listOperators")
    async def list(
        self, request: Conn, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.CredentialPage]:
        """The operators' credentials, without their secrets."""
        catalogue = service_of(request).catalogue
        names, following = calls.page(catalogue.operators, after, limit, lambda name: name.startswith(prefix))
        items = [views.view(catalogue, Kind.CREDENTIAL, name, catalogue.operators[name]) for name in names]
        return answer(views.CredentialPage(items, following))

    @get("/{name:str}", responses=READ, operation_id="getOperator")
    async def get(self, request: Conn, name: str) -> Response[views.CredentialView]:
        """One operator's credential."""
        return calls.read(request, Target(OPERATORS, Kind.CREDENTIAL, name))

    @put("/{name:str}", responses=CHANGE, operation_id="putOperator", opt={"write": True})
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
        return await issue(request, OPERATORS, name, data)

    @post("/{name:str}/rotate", responses=CHANGE, operation_id="rotateOperator", opt={"write": True}, status_code=200)
    async def rotate(
        self, request: Conn, name: str, data: views.RotateBody, key: Key, if_match: IfMatch = None
    ) -> Response[views.CredentialView]:
        """A new secret; the one before counts for the overlap."""
        return await rotate(request, OPERATORS, name, data)

    @delete("/{name:str}", responses=CHANGE, operation_id="deleteOperator", opt={"write": True}, status_code=204)
    async def delete(self, request: Conn, name: str, key: Key, if_match: IfMatch = None) -> Response[None]:
        """Revoke an operator's credential; the last one stays."""
        return await calls.delete(request, Target(OPERATORS, Kind.CREDENTIAL, name))


Before = Annotated[
    str, QueryParameter(name="after", pattern="^[0-9]{0,18}$", description="The `next` of the page before.")
]


async def _audits(request: Conn, tenant: str | None, after: str, limit: int) -> Answer:
    store: SqliteStore = request.app.state.store
    before = int(after) if after else 2**62
    found = await asyncio.to_thread(store.audits, tenant, before, limit + 1)
    items = [
        views.AuditView(
            a.id, a.at, a.tenant, a.actor, a.action, a.status, views.stamp(a.epoch, a.version) if a.version else None
        )
        for a in found[:limit]
    ]
    return answer(views.AuditPage(items, str(items[-1].id) if len(found) > limit else None))


@get("/v1/tenants/{tenant:str}/audit", responses=READ, operation_id="listTenantAudit", tags=["audit"])
async def tenant_audit(request: Conn, tenant: str, after: Before = "", limit: Limit = 100) -> Response[views.AuditPage]:
    """What was decided about a tenant, newest first."""
    if tenant not in service_of(request).catalogue.tenants and caller_of(request).scope is not Scope.OPERATOR:
        raise hidden()
    return await _audits(request, tenant, after, limit)


@get("/v1/audit", responses=READ, operation_id="listAudit", tags=["audit"], opt={"tenant": OPERATORS})
async def audit(request: Conn, after: Before = "", limit: Limit = 100) -> Response[views.AuditPage]:
    """What was decided, newest first (operators)."""
    return await _audits(request, None, after, limit)


@get("/v1/versions/{number:int}", responses=READ, operation_id="getVersion", tags=["versions"])
async def version(request: Conn, number: Annotated[int, PathParameter(ge=0, le=2**53)]) -> Response[views.VersionView]:
    """What a version of the present epoch touched: a tenant sees its own part, operators all."""
    caller, catalogue = caller_of(request), service_of(request).catalogue
    store: SqliteStore = request.app.state.store
    written = await asyncio.to_thread(store.change, catalogue.epoch, number)
    tenant = None if caller.scope is Scope.OPERATOR else caller.tenant
    if written is None or (tenant is not None and written.tenant != tenant):
        raise hidden()
    return answer(
        views.VersionView(
            views.stamp(written.epoch, written.version),
            written.at,
            written.tenant,
            written.actor,
            views.rows_view(written.diff, tenant),
        )
    )


@get("/v1/status", responses=READ, operation_id="getStatus", tags=["versions"], opt={"tenant": OPERATORS})
async def status(request: Conn) -> Response[views.StatusView]:
    """Where the catalogue stands (operators)."""
    catalogue = service_of(request).catalogue
    return answer(views.StatusView(views.stamp(catalogue.epoch, catalogue.version), len(catalogue.tenants)))


HANDLERS: list[Any] = [Tenants, Plans, Clients, Hosts, Credentials, Operators, tenant_audit, audit, version, status]
