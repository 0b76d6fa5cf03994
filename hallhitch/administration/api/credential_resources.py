"""Handlers for the credentials of tenants and operators: issue, rotate, revoke."""

from __future__ import annotations

from typing import Any

import msgspec
from litestar import Controller, Response, delete, get, patch, post, put

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
from hallhitch.administration.api.problems import ProblemError
from hallhitch.administration.secrets import SecretChecker, new_secret
from hallhitch.administration.write_calls import PlannedChange
from hallhitch.catalog.access import Token
from hallhitch.catalog.changes import Change, Edit
from hallhitch.catalog.errors import ChangeRefused
from hallhitch.catalog.model import (
    Catalog,
    Credential,
    Kind,
    Scope,
    Verifier,
)
from hallhitch.catalog.names import OPERATORS, canonical_client_id


async def issue_credential(request: ApiRequest, tenant: str, name: str, data: views.CredentialBody) -> Response[Any]:
    """Issue a credential.

    Only this response, and the responses to repeats of the call, contain the token.
    """
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


async def rotate_secret(request: ApiRequest, tenant: str, name: str, data: views.RotateBody) -> Response[Any]:
    """Give a credential a new secret; the previous one stays valid for `data.overlap_seconds`."""
    checker: SecretChecker = request.app.state.checker
    target = Target(tenant, Kind.CREDENTIAL, name)
    secret = new_secret()
    # The credential's scope, which selects the kind of hash, is known only when the writer runs `plan`. That function
    # cannot await a hash, so both kinds are computed beforehand.
    client_hash = await checker.hash(Scope.CLIENT, secret)
    password_hash = await checker.hash(Scope.ADMIN, secret)
    condition = calls.condition_of(request)

    def plan(catalog: Catalog, now_ms: int) -> PlannedChange:
        current = catalog.get(tenant, Kind.CREDENTIAL, name)
        if current is None:
            raise ChangeRefused("not-found", "", "there is nothing of this name")
        condition.check(catalog, current, is_replacement=False)
        credential: Credential = current.value
        if credential.certificate is not None:
            raise ChangeRefused("invalid", "certificate", "a certificate has no secret to rotate")
        verifier = Verifier(client_hash if credential.scope is Scope.CLIENT else password_hash)
        previous = _overlapping_verifiers(credential, now_ms, data.overlap_seconds)
        rotated = msgspec.structs.replace(credential, verifiers=(verifier, *previous))
        return PlannedChange(
            Change(tenant, (Edit(Kind.CREDENTIAL, name, rotated),)),
            lambda new_catalog: calls.resource_reply(new_catalog, target, 200, str(Token(tenant, name, secret))),
            has_secret=True,
        )

    return await calls.submit(request, tenant, plan)


def _overlapping_verifiers(credential: Credential, now_ms: int, overlap_s: int) -> tuple[Verifier, ...]:
    """Return the newest verifier, valid until the overlap ends at the latest; nothing without an overlap."""
    if not overlap_s:
        return ()
    until_ms = now_ms + overlap_s * 1000
    return tuple(
        Verifier(verifier.hash, until_ms if verifier.until is None else min(verifier.until, until_ms))
        for verifier in credential.verifiers[:1]
    )


def _patch_credential(value: Any, body: Any) -> Any:
    """Merge a patch into a credential, of which only the expiry may be changed."""
    patch_body: views.CredentialPatch = calls.convert_value(body, views.CredentialPatch)
    return msgspec.structs.replace(value, expires=patch_body.expires) if "expires" in body else value


class Credentials(Controller):
    """Handlers for the credentials of a tenant."""

    path = "/v1/tenants/{tenant:str}/credentials"
    tags = ("credentials",)
    opt = {"kind": Kind.CREDENTIAL}  # noqa: RUF012  read by the framework, never changed

    @get("/", responses=READ_ERRORS, operation_id="listCredentials")
    async def list(
        self, request: ApiRequest, tenant: str, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.CredentialPage]:
        """The tenant's credentials, without their secrets."""
        entries, next_after = page_of_kind(request, tenant, Kind.CREDENTIAL, after, limit, prefix)
        catalog = service_of(request).catalog
        return json_response(
            views.CredentialPage([views.entry_view(catalog, Kind.CREDENTIAL, *entry) for entry in entries], next_after)
        )

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getCredential")
    async def get(self, request: ApiRequest, tenant: str, name: str) -> Response[views.CredentialView]:
        """One credential, without its secret."""
        return calls.read(request, Target(tenant, Kind.CREDENTIAL, name))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putCredential", opt={"write": True})
    async def put(  # noqa: PLR0913  each is a parameter of the request
        self,
        request: ApiRequest,
        tenant: str,
        name: str,
        data: views.CredentialBody,
        key: IdempotencyKey,
        if_match: IfMatch = None,
        if_none_match: IfNoneMatch = None,
    ) -> Response[views.CredentialView]:
        """Issue a credential; the answer holds its token."""
        return await issue_credential(request, tenant, name, data)

    @patch("/{name:str}", responses=CHANGE_ERRORS, operation_id="patchCredential", opt={"write": True})
    async def patch(
        self,
        request: ApiRequest,
        tenant: str,
        name: str,
        data: dict[str, Any],
        key: IdempotencyKey,
        if_match: IfMatch = None,
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
        self,
        request: ApiRequest,
        tenant: str,
        name: str,
        data: views.RotateBody,
        key: IdempotencyKey,
        if_match: IfMatch = None,
    ) -> Response[views.CredentialView]:
        """A new secret; the one before counts for the overlap."""
        return await rotate_secret(request, tenant, name, data)

    @delete(
        "/{name:str}", responses=CHANGE_ERRORS, operation_id="deleteCredential", opt={"write": True}, status_code=204
    )
    async def delete(
        self, request: ApiRequest, tenant: str, name: str, key: IdempotencyKey, if_match: IfMatch = None
    ) -> Response[None]:
        """Revoke a credential: from this answer on it does not count."""
        return await calls.delete(request, Target(tenant, Kind.CREDENTIAL, name))


class Operators(Controller):
    """Handlers for the credentials of the operators."""

    path = "/v1/operators"
    tags = ("operators",)
    opt = {"kind": Kind.CREDENTIAL, "tenant": OPERATORS}  # noqa: RUF012  read by the framework, never changed

    @get("/", responses=READ_ERRORS, operation_id="listOperators")
    async def list(
        self, request: ApiRequest, after: After = "", limit: Limit = 100, prefix: Prefix = ""
    ) -> Response[views.CredentialPage]:
        """The operators' credentials, without their secrets."""
        catalog = service_of(request).catalog
        names, next_after = calls.page_of_names(catalog.operators, after, limit, lambda name: name.startswith(prefix))
        items = [views.entry_view(catalog, Kind.CREDENTIAL, name, catalog.operators[name]) for name in names]
        return json_response(views.CredentialPage(items, next_after))

    @get("/{name:str}", responses=READ_ERRORS, operation_id="getOperator")
    async def get(self, request: ApiRequest, name: str) -> Response[views.CredentialView]:
        """One operator's credential."""
        return calls.read(request, Target(OPERATORS, Kind.CREDENTIAL, name))

    @put("/{name:str}", responses=CHANGE_ERRORS, operation_id="putOperator", opt={"write": True})
    async def put(
        self,
        request: ApiRequest,
        name: str,
        data: views.CredentialBody,
        key: IdempotencyKey,
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
        self, request: ApiRequest, name: str, data: views.RotateBody, key: IdempotencyKey, if_match: IfMatch = None
    ) -> Response[views.CredentialView]:
        """A new secret; the one before counts for the overlap."""
        return await rotate_secret(request, OPERATORS, name, data)

    @delete("/{name:str}", responses=CHANGE_ERRORS, operation_id="deleteOperator", opt={"write": True}, status_code=204)
    async def delete(
        self, request: ApiRequest, name: str, key: IdempotencyKey, if_match: IfMatch = None
    ) -> Response[None]:
        """Revoke an operator's credential; the last one stays."""
        return await calls.delete(request, Target(OPERATORS, Kind.CREDENTIAL, name))
