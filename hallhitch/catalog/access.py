"""Authentication and authorization against the catalog. The caller compares secrets."""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Final

from msgspec import Struct

from hallhitch.catalog.model import Catalog, Credential, Kind, Scope, Verifier
from hallhitch.catalog.names import OPERATORS

TOKEN_PATTERN: Final = re.compile(r"hh_([a-z0-9-]{0,40})\.([a-z0-9-]{1,64})\.([A-Za-z0-9_-]{43})")
ADMIN_KINDS: Final = (Kind.PLAN, Kind.CLIENT, Kind.CREDENTIAL)  # entries that an administrator of a tenant may change


class Token(Struct, frozen=True):
    """Parsed bearer token; `secret` encodes 256 random bits."""

    tenant: str
    id: str
    secret: str

    def __str__(self) -> str:
        return f"hh_{self.tenant}.{self.id}.{self.secret}"


class Principal(Struct, frozen=True):
    """Caller whose credential was verified."""

    tenant: str
    id: str
    scope: Scope

    @property
    def name(self) -> str:
        """Return the caller's name in the audit log."""
        return f"{self.tenant or 'operators'}/{self.id}"


class Verdict(StrEnum):
    """Decision on a call: allow it, reject it as beyond the caller's scope, or answer as if the entry did not exist."""

    ALLOWED = "yes"
    BEYOND_SCOPE = "beyond"
    HIDDEN = "hidden"


def parse_token(text: str) -> Token | None:
    """Parse a token; return None if the text is malformed."""
    match = TOKEN_PATTERN.fullmatch(text)
    return Token(*match.groups()) if match else None


def valid_credential(catalog: Catalog, tenant: str, id: str, now_ms: int) -> Credential | None:
    """Return a credential if it is valid at `now_ms`; credentials of a disabled tenant are not valid."""
    entry = catalog.get(tenant, Kind.CREDENTIAL, id)
    if entry is None:
        return None
    credential: Credential = entry.value
    if credential.expires is not None and credential.expires <= now_ms:
        return None
    if tenant != OPERATORS and not catalog.tenants[tenant].head.value.on:
        return None
    return credential


def valid_verifiers(credential: Credential, now_ms: int) -> list[Verifier]:
    """Return the verifiers that are valid at `now_ms`, newest first."""
    return [verifier for verifier in credential.verifiers if verifier.until is None or verifier.until > now_ms]


def operator_by_certificate(catalog: Catalog, fingerprint: str, now_ms: int) -> Principal | None:
    """Return the operator whose client certificate has this SHA-256 fingerprint."""
    for id in sorted(catalog.operators):
        credential = valid_credential(catalog, OPERATORS, id, now_ms)
        if credential is not None and credential.certificate == fingerprint:
            return Principal(OPERATORS, id, credential.scope)
    return None


def authorize(principal: Principal, tenant: str | None, kind: Kind | None, write: bool) -> Verdict:
    """Decide on a call about a tenant's entries; `tenant` is None for the list of tenants, "" for the operators.

    Entries of other tenants are hidden instead of forbidden, so that the response does not reveal that they exist.
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
    is_change_allowed = principal.scope is Scope.ADMIN and kind in ADMIN_KINDS
    return Verdict.ALLOWED if is_change_allowed else Verdict.BEYOND_SCOPE
