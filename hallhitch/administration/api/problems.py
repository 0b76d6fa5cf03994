"""Error responses of the API as problem documents (RFC 9457)."""

from __future__ import annotations

import math
from http import HTTPStatus

import msgspec
from msgspec import Struct

from hallhitch.administration.errors import AdministrationError
from hallhitch.catalog.errors import ChangeRefused

PROBLEM_MEDIA_TYPE = "application/problem+json"
STATUS_BY_CODE = {
    "not-found": 404,
    "stale": 412,
    "unconditional": 428,
    "invalid": 422,
    "over-limit": 409,
    "in-use": 409,
    "taken": 409,
}


class Problem(Struct, frozen=True, omit_defaults=True):
    """Body of an error response.

    `code` does not change between releases; `field` is a path into the request's body or the name of a header.
    """

    type: str
    title: str
    status: int
    code: str
    detail: str = ""
    field: str = ""


class ProblemError(AdministrationError):
    """Error with the response that the caller gets; a positive `retry_after_s` is sent as Retry-After."""

    def __init__(self, status: int, code: str, detail: str, field: str = "", retry_after_s: float = 0.0) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
        self.field = field
        self.retry_after_s = retry_after_s

    def body(self) -> bytes:
        """Encode the problem document as JSON."""
        return msgspec.json.encode(
            Problem(
                f"urn:hallhitch:problem:{self.code}",
                HTTPStatus(self.status).phrase,
                self.status,
                self.code,
                self.detail,
                self.field,
            )
        )

    def headers(self) -> dict[str, str]:
        """Return the headers of the response, without Content-Length."""
        headers = {"content-type": PROBLEM_MEDIA_TYPE, "cache-control": "no-store"}
        if self.status == 401:
            headers["www-authenticate"] = 'Bearer realm="hallhitch"'
        if self.retry_after_s > 0:
            headers["retry-after"] = str(max(1, math.ceil(self.retry_after_s)))
        return headers


def not_found() -> ProblemError:
    """Return the 404 error, the same for a missing entry and for another tenant's.

    A difference would tell a caller which entries of other tenants exist.
    """
    return ProblemError(404, "not-found", "There is nothing of this name that you may see.")


def problem_from_refusal(refusal: ChangeRefused) -> ProblemError:
    """Return the error response for a change that the catalog refused."""
    if refusal.code == "not-found" and refusal.field in ("", "edits[0]"):
        return not_found()
    return ProblemError(STATUS_BY_CODE[refusal.code], refusal.code, refusal.detail, refusal.field)
