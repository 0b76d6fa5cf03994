"""Errors as `application/problem+json` (RFC 9457). What is another's and what is not there read the same."""

from __future__ import annotations

import math
from http import HTTPStatus

import msgspec
from msgspec import Struct

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


class ProblemError(Exception):
    """An error answer."""

    def __init__(self, status: int, code: str, detail: str, field: str = "", wait: float = 0.0) -> None:
        super().__init__(detail)
        self.status, self.code, self.detail, self.field, self.retry_after_s = status, code, detail, field, wait

    def body(self) -> bytes:
        """The answer's bytes."""
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
        """The answer's own headers."""
        told = {"content-type": PROBLEM_MEDIA_TYPE, "cache-control": "no-store"}
        if self.status == 401:
            told["www-authenticate"] = 'Bearer realm="hallhitch"'
        if self.retry_after_s > 0:
            told["retry-after"] = str(max(1, math.ceil(self.retry_after_s)))
        return told


def not_found() -> ProblemError:
    """What is not there, or not the caller's."""
    return ProblemError(404, "not-found", "There is nothing of this name that you may see.")


def problem_from_refusal(refusal: ChangeRefused) -> ProblemError:
    """A change that was not made."""
    if refusal.code == "not-found" and refusal.field in ("", "edits[0]"):
        return not_found()
    return ProblemError(STATUS_BY_CODE[refusal.code], refusal.code, refusal.detail, refusal.field)
