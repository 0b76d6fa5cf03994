"""Steps that the handlers share: preconditions (RFC 9110), changes through the writer, merge patches, pagination.

Preconditions are checked in the `plan` functions. The writer runs them, on the catalog to which the change applies.
"""

from __future__ import annotations

import heapq
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

import msgspec
from litestar import Request, Response
from msgspec import Struct

from hallhitch.administration.api import views
from hallhitch.administration.api.json_bodies import apply_merge_patch, parse_strict
from hallhitch.administration.api.problems import ProblemError, not_found, problem_from_refusal
from hallhitch.administration.errors import CredentialNoLongerValid, IdempotencyKeyReused, WriteQueueFull, WriterHalted
from hallhitch.administration.write_calls import Call, PlannedChange, Reply
from hallhitch.administration.writer import Writer
from hallhitch.catalog.access import Principal
from hallhitch.catalog.changes import Change, Edit
from hallhitch.catalog.errors import ChangeRefused
from hallhitch.catalog.model import VALUE_TYPES, Catalog, Kind, Versioned

JSON_MEDIA_TYPE = "application/json"
VERSION_TAG_PATTERN = re.compile(r'\s*"(\d{1,15})\.(\d{1,15})"\s*')
ENTITY_TAG_PATTERN = re.compile(r'\s*(?:W/)?"[^"]*"\s*')
MAX_PAGE_ITEMS: Final = 500
MAX_AUDITED_CHARS: Final = 400  # of a request's method and path, as the audit log shows them
NOT_WRITTEN: Final = (
    "The store could not be written and nothing was changed, as far as is known. Repeat the call with the same key."
)
ApiRequest = Request[Any, Any, Any]
_encode = msgspec.json.Encoder().encode


class Target(Struct, frozen=True):
    """Identifies the catalog entry that a request reads or changes."""

    tenant: str
    kind: Kind
    name: str


class Condition(Struct, frozen=True):
    """Preconditions of a request, from If-Match (`match_any` or `tags`) and If-None-Match (`must_be_absent`).

    `match_any` stands for `*`; `tags` holds the versions that If-Match allows, each as epoch and number.
    """

    match_any: bool = False
    tags: frozenset[tuple[int, int]] | None = None
    must_be_absent: bool = False

    def check(self, catalog: Catalog, current: Versioned | None, is_replacement: bool) -> None:
        """Check the preconditions against the current entry (None if there is none).

        Raises:
            ChangeRefused: A precondition does not hold, or an existing entry would be replaced without If-Match.
        """
        if self.must_be_absent and current is not None:
            raise ChangeRefused("stale", "If-None-Match", "there is one already")
        if (self.match_any or self.tags is not None) and current is None:
            raise ChangeRefused("stale", "If-Match", "there is nothing of this name")
        if self.tags is not None and current is not None and (catalog.epoch, current.version) not in self.tags:
            raise ChangeRefused("stale", "If-Match", "this was changed meanwhile")
        if is_replacement and current is not None and not self.match_any and self.tags is None:
            raise ChangeRefused("unconditional", "If-Match", "a replace needs the version that it replaces")


def condition_of(request: ApiRequest) -> Condition:
    """Parse the preconditions in the headers; raise ProblemError 400 if they are malformed."""
    if_match, if_none_match = request.headers.get("if-match"), request.headers.get("if-none-match")
    if if_none_match is not None and if_none_match.strip() != "*":
        raise ProblemError(400, "malformed", "If-None-Match takes '*' only.", "If-None-Match")
    if if_match is None:
        return Condition(must_be_absent=if_none_match is not None)
    if if_match.strip() == "*":
        return Condition(match_any=True, must_be_absent=if_none_match is not None)
    tags = set()
    for tag_text in if_match.split(","):
        if not ENTITY_TAG_PATTERN.fullmatch(tag_text):
            raise ProblemError(400, "malformed", "If-Match takes '*' or entity tags.", "If-Match")
        version_match = VERSION_TAG_PATTERN.fullmatch(tag_text)
        if version_match:  # a weak tag, or one that this service did not issue, never matches
            tags.add((int(version_match[1]), int(version_match[2])))
    return Condition(tags=frozenset(tags), must_be_absent=if_none_match is not None)


@dataclass(slots=True)
class Service:
    """Components of the service that the handlers use."""

    writer: Writer

    @property
    def catalog(self) -> Catalog:
        """Return the newest catalog; all its changes are on disk."""
        return self.writer.catalog


def caller_of(request: ApiRequest) -> Principal:
    """Return the caller that the guard authenticated."""
    caller: Principal = request.scope["state"]["caller"]
    return caller


def service_of(request: ApiRequest) -> Service:
    """Return the components of the service that the handlers use."""
    service: Service = request.app.state.service
    return service


async def submit(
    request: ApiRequest,
    tenant: str,
    plan: Callable[[Catalog, int], PlannedChange],
) -> Response[Any]:
    """Submit a change to the writer and return the response, which is the stored one if the call is a repeat.

    `plan` makes the change from the catalog and the time (Unix ms).

    Raises:
        ProblemError: The writer did not make the change or could not confirm it; 401, 422 or 503.
    """
    state = request.scope["state"]
    call = Call(
        caller_of(request),
        state["key"],
        state["fingerprint"],
        tenant,
        f"{request.method} {request.url.path}"[:MAX_AUDITED_CHARS],
        plan,
        _refusal_reply,
    )
    try:
        reply = await service_of(request).writer.submit(call)
    except IdempotencyKeyReused as error:
        raise ProblemError(422, "key-reused", "This key was used for another call.", "Idempotency-Key") from error
    except CredentialNoLongerValid as error:
        raise ProblemError(401, "unauthenticated", "This needs a credential that counts.") from error
    except WriteQueueFull as error:
        raise ProblemError(503, "busy", "Too many changes wait.", retry_after_s=1.0) from error
    except WriterHalted as error:
        raise ProblemError(503, "halted", "Nothing can be changed now; reads go on.", retry_after_s=10.0) from error
    except Exception as error:
        raise ProblemError(503, "not-written", NOT_WRITTEN, retry_after_s=2.0) from error
    return Response(
        reply.body, status_code=reply.status, headers=reply.headers, media_type=reply.headers["content-type"]
    )


def _refusal_reply(refusal: ChangeRefused) -> Reply:
    problem = problem_from_refusal(refusal)
    return Reply(problem.status, problem.headers(), problem.body())


def resource_reply(catalog: Catalog, target: Target, status: int, token: str | None = None) -> Reply:
    """Return the reply that shows an entry, with its entity tag; raise ChangeRefused if there is no such entry."""
    entry = catalog.get(target.tenant, target.kind, target.name)
    if entry is None:
        raise ChangeRefused("not-found", "", "there is nothing of this name")
    headers = {
        "content-type": JSON_MEDIA_TYPE,
        "etag": f'"{views.format_version(catalog.epoch, entry.version)}"',
        "cache-control": "no-store",
    }
    return Reply(status, headers, _encode(views.entry_view(catalog, target.kind, target.name, entry, token)))


def read(request: ApiRequest, target: Target) -> Response[Any]:
    """Respond to a GET of one entry."""
    try:
        reply = resource_reply(service_of(request).catalog, target, 200)
    except ChangeRefused as error:
        raise not_found() from error
    return Response(reply.body, status_code=200, headers=reply.headers, media_type=JSON_MEDIA_TYPE)


async def put(request: ApiRequest, target: Target, value: Any, token: str | None = None) -> Response[Any]:
    """Create or replace an entry. A `token` is part of the response, whose stored copy is then encrypted."""
    condition = condition_of(request)

    def plan(catalog: Catalog, now_ms: int) -> PlannedChange:
        current = _current_entry(catalog, target)
        condition.check(catalog, current, is_replacement=True)
        status = 200 if current is not None else 201
        return PlannedChange(
            Change(target.tenant, (Edit(target.kind, target.name, value),)),
            lambda new_catalog: resource_reply(new_catalog, target, status, token),
            token is not None,
        )

    return await submit(request, target.tenant, plan)


async def patch(
    request: ApiRequest, target: Target, merge_value: Callable[[Any, Any], Any] | None = None
) -> Response[Any]:
    """Merge the body into the current value.

    `merge_value` gets the current value and the body, for kinds to which a JSON merge patch does not apply.
    """
    condition = condition_of(request)
    body = parse_strict(request.scope["state"]["raw"])
    if not isinstance(body, dict):
        raise ProblemError(422, "invalid", "A merge patch of a thing is an object.")

    def plan(catalog: Catalog, now_ms: int) -> PlannedChange:
        current = _current_entry(catalog, target)
        if current is None:
            raise ChangeRefused("not-found", "", "there is nothing of this name")
        condition.check(catalog, current, is_replacement=False)
        if merge_value is not None:
            value = merge_value(current.value, body)
        else:
            value = convert_value(apply_merge_patch(msgspec.to_builtins(current.value), body), VALUE_TYPES[target.kind])
        return PlannedChange(
            Change(target.tenant, (Edit(target.kind, target.name, value),)),
            lambda new_catalog: resource_reply(new_catalog, target, 200),
        )

    return await submit(request, target.tenant, plan)


async def delete(request: ApiRequest, target: Target) -> Response[Any]:
    """Delete an entry."""
    condition = condition_of(request)

    def plan(catalog: Catalog, now_ms: int) -> PlannedChange:
        current = _current_entry(catalog, target)
        if current is None:
            raise ChangeRefused("not-found", "", "there is nothing of this name")
        condition.check(catalog, current, is_replacement=False)
        return PlannedChange(
            Change(target.tenant, (Edit(target.kind, target.name),)),
            lambda new_catalog: Reply(204, {"content-type": JSON_MEDIA_TYPE}, b""),
        )

    return await submit(request, target.tenant, plan)


def convert_value(value: Any, type_: type[Any]) -> Any:
    """Convert parsed JSON to a type; raise ChangeRefused with the path of the first invalid field."""
    try:
        return msgspec.convert(value, type_, strict=True)
    except msgspec.ValidationError as error:
        detail, _, path = str(error).partition(" - at `$")
        raise ChangeRefused("invalid", path.rstrip("`").lstrip("."), detail) from error


def _current_entry(catalog: Catalog, target: Target) -> Versioned | None:
    """Return the current entry, None if there is none; raise ChangeRefused if its tenant does not exist."""
    if target.kind is not Kind.TENANT and target.tenant and target.tenant not in catalog.tenants:
        raise ChangeRefused("not-found", "", "there is no such tenant")
    return catalog.get(target.tenant, target.kind, target.name)


def page_of_names(
    names: Iterable[str], after: str, limit: int, matches_filter: Callable[[str], bool]
) -> tuple[list[str], str | None]:
    """Return the first `limit` matching names after `after`, sorted, and the next page's `after` if there are more."""
    candidates = (name for name in names if name > after and matches_filter(name))
    page_names = heapq.nsmallest(limit + 1, candidates)
    next_after = page_names[limit - 1] if len(page_names) > limit else None
    return page_names[:limit], next_after


def page_of_kind(
    request: ApiRequest, tenant: str, kind: Kind, after: str, limit: int, prefix: str
) -> tuple[list[tuple[str, Versioned]], str | None]:
    """Return a page of a tenant's entries of one kind, and the next page's `after` if there are more.

    Raises:
        ProblemError: 404 for an unknown tenant.
    """
    tenant_record = service_of(request).catalog.tenants.get(tenant)
    if tenant_record is None:
        raise not_found()
    entries = tenant_record.entries(kind)
    names, next_after = page_of_names(entries, after, limit, lambda name: name.startswith(prefix))
    return [(name, entries[name]) for name in names], next_after


def json_response(body: Any) -> Response[Any]:
    """Return a response with a view encoded as JSON."""
    return Response(msgspec.json.encode(body), media_type=JSON_MEDIA_TYPE, headers={"cache-control": "no-store"})
