"""Errors as `application/problem+json` (RFC 9457). Another tenant's entries and missing ones give the same error."""

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
    """The body of an error. `code` is stable; `field` is a path into the body, or a header's name."""

    type: str
    title: str
    status: int
    code: str
    detail: str = ""
    field: str = ""


class ProblemError(AdministrationError):
    """Error response; `retry_after_s` above 0 goes into Retry-After."""

    def __init__(self, status: int, code: str, detail: str, field: str = "", retry_after_s: float = 0.0) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
        self.field = field
        self.retry_after_s = retry_after_s

    def body(self) -> bytes:
        """Encode the problem document."""
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
        """Return the headers of the response."""
        headers = {"content-type": PROBLEM_MEDIA_TYPE, "cache-control": "no-store"}
        if self.status == 401:
            headers["www-authenticate"] = 'Bearer realm="hallhitch"'
        if self.retry_after_s > 0:
            headers["retry-after"] = str(max(1, math.ceil(self.retry_after_s)))
        return headers


def not_found() -> ProblemError:
    """Return the one error for what does not exist and what is another tenant's."""
    return ProblemError(404, "not-found", "There is nothing of this name that you may see.")


def problem_from_refusal(refusal: ChangeRefused) -> ProblemError:
    """Return the error response of a refused change."""
    if refusal.code == "not-found" and refusal.field in ("", "edits[0]"):
        return not_found()
    return ProblemError(STATUS_BY_CODE[refusal.code], refusal.code, refusal.detail, refusal.field)
