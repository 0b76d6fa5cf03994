"""Who a caller is and what it may do: decisions over the catalogue. Comparing secrets is left to the caller's port."""

from __future__ import annotations

import re
from enum import StrEnum

from msgspec import Struct

from hallhitch.catalog.model import Catalog, Credential, Kind, Scope, Verifier
from hallhitch.catalog.names import OPERATORS

TOKEN_PATTERN = re.compile(r"hh_([a-z0-9-]{0,40})\.([a-z0-9-]{1,64})\.([A-Za-z0-9_-]{43})")


class Token(Struct, frozen=True):
    """A bearer token, taken apart; `secret` is 256 random bits."""

    tenant: str
    id: str
    secret: str

    def __str__(self) -> str:
        return f"hh_{self.tenant}.{self.id}.{self.secret}"


class Principal(Struct, frozen=True):
    """A caller whose credential was checked."""

    tenant: str
    id: str
    scope: Scope

    @property
    def name(self) -> str:
        """What the audit calls it."""
        return f"{self.tenant or 'operators'}/{self.id}"


class Verdict(StrEnum):
    """What becomes of a call: made, refused as beyond its scope, or answered as if there were nothing."""

    ALLOWED = "yes"
    BEYOND_SCOPE = "beyond"
    HIDDEN = "hidden"


def parse_token(text: str) -> Token | None:
    """Read a token; None where it cannot be one."""
    match = TOKEN_PATTERN.fullmatch(text)
    return Token(*match.groups()) if match else None


def valid_credential(catalog: Catalog, tenant: str, id: str, now: int) -> Credential | None:
    """The credential of this name if it counts at `now`; of a tenant switched off, none does."""
    kept = catalog.get(tenant, Kind.CREDENTIAL, id)
    if kept is None or (kept.value.expires is not None and kept.value.expires <= now):
        return None
    if tenant != OPERATORS and not catalog.tenants[tenant].head.value.on:
        return None
    credential: Credential = kept.value
    return credential


def valid_verifiers(credential: Credential, now: int) -> list[Verifier]:
    """The verifiers that count at `now`, newest first."""
    return [v for v in credential.verifiers if v.until is None or v.until > now]


def operator_by_certificate(catalog: Catalog, fingerprint: str, now: int) -> Principal | None:
    """The operator whose client certificate has this SHA-256."""
    for id in sorted(catalog.operators):
        credential = valid_credential(catalog, OPERATORS, id, now)
        if credential is not None and credential.certificate == fingerprint:
            return Principal(OPERATORS, id, credential.scope)
    return None


def authorize(principal: Principal, tenant: str | None, kind: Kind | None, write: bool) -> Verdict:
    """Whether a call may be made: `tenant` None is everybody's (the list of tenants), "" the operators' part.

    What is another's is hidden, never forbidden: its existence is not told.
    """
    if principal.scope is Scope.OPERATOR:
        return Verdict.ALLOWED
    if principal.scope is Scope.GATEWAY:
        return Verdict.HIDDEN
    if tenant is None:
        return Verdict.BEYOND_SCOPE if write else Verdict.ALLOWED
    if principal.scope is Scope.CLIENT or tenant != principal.tenant:
        return Verdict.HIDDEN
    if not write:
        return Verdict.ALLOWED
    owned = principal.scope is Scope.ADMIN and kind in (Kind.PLAN, Kind.CLIENT, Kind.CREDENTIAL)
    return Verdict.ALLOWED if owned else Verdict.BEYOND_SCOPE
