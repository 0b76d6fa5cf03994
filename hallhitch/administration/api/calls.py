"""From a request to a change and its response: conditions (RFC 9110), merge patches, pages.

Whatever must hold when a change is made is checked in the writer, on the catalog of that moment.
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

JSON = "application/json"
STRONG_TAG_PATTERN = re.compile(r'\s*"(\d{1,15})\.(\d{1,15})"\s*')
ENTITY_TAG_PATTERN = re.compile(r'\s*(?:W/)?"[^"]*"\s*')
MAX_PAGE_ITEMS: Final = 500
MAX_AUDITED_CHARS: Final = 400  # of a call's method and path
NOT_WRITTEN: Final = (
    "The store could not be written and nothing was changed, as far as is known. Repeat the call with the same key."
)
Conn = Request[Any, Any, Any]
_encode = msgspec.json.Encoder().encode


class Target(Struct, frozen=True):
    """Entry of the catalog that a call is about."""

    tenant: str
    kind: Kind
    name: str


class Condition(Struct, frozen=True):
    """Precondition of the headers on the present entry: `tags` are the versions that If-Match allows."""

    match_any: bool = False
    tags: frozenset[tuple[int, int]] | None = None
    absent: bool = False

    def check(self, catalog: Catalog, kept: Versioned | None, replaces: bool) -> None:
        """Check the condition against the present entry.

        Raises:
            ChangeRefused: It does not hold, or a replacement comes without one.
        """
        if self.absent and kept is not None:
            raise ChangeRefused("stale", "If-None-Match", "there is one already")
        if (self.match_any or self.tags is not None) and kept is None:
            raise ChangeRefused("stale", "If-Match", "there is nothing of this name")
        if self.tags is not None and kept is not None and (catalog.epoch, kept.version) not in self.tags:
            raise ChangeRefused("stale", "If-Match", "this was changed meanwhile")
        if replaces and kept is not None and not self.match_any and self.tags is None:
            raise ChangeRefused("unconditional", "If-Match", "a replace needs the version that it replaces")


def condition_of(request: Conn) -> Condition:
    """Parse the conditions in the headers; ProblemError 400 where they are malformed."""
    match, none = request.headers.get("if-match"), request.headers.get("if-none-match")
    if none is not None and none.strip() != "*":
        raise ProblemError(400, "malformed", "If-None-Match takes '*' only.", "If-None-Match")
    if match is None:
        return Condition(absent=none is not None)
    if match.strip() == "*":
        return Condition(match_any=True, absent=none is not None)
    tags = set()
    for part in match.split(","):
        if not ENTITY_TAG_PATTERN.fullmatch(part):
            raise ProblemError(400, "malformed", "If-Match takes '*' or entity tags.", "If-Match")
        strong = STRONG_TAG_PATTERN.fullmatch(part)
        if strong:  # a weak tag, or one of another making, never matches
            tags.add((int(strong[1]), int(strong[2])))
    return Condition(tags=frozenset(tags), absent=none is not None)


@dataclass(slots=True)
class Service:
    """Parts of the service that handlers use."""

    writer: Writer

    @property
    def catalog(self) -> Catalog:
        """Return the newest catalog that is on disk."""
        return self.writer.catalog


def caller_of(request: Conn) -> Principal:
    """Return the caller, as the guard authenticated it."""
    caller: Principal = request.scope["state"]["caller"]
    return caller


def service_of(request: Conn) -> Service:
    """Return the parts of the service that handlers use."""
    service: Service = request.app.state.service
    return service


async def submit(
    request: Conn,
    tenant: str,
    plan: Callable[[Catalog, int], PlannedChange],
) -> Response[Any]:
    """Make a call through the writer and return its reply.

    Raises:
        ProblemError: The call was not made.
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
    """Return an entry as a reply, with its entity tag; ChangeRefused where it does not exist."""
    kept = catalog.get(target.tenant, target.kind, target.name)
    if kept is None:
        raise ChangeRefused("not-found", "", "there is nothing of this name")
    headers = {
        "content-type": JSON,
        "etag": f'"{views.stamp(catalog.epoch, kept.version)}"',
        "cache-control": "no-store",
    }
    return Reply(status, headers, _encode(views.view(catalog, target.kind, target.name, kept, token)))


def read(request: Conn, target: Target) -> Response[Any]:
    """Respond to a GET of one entry."""
    try:
        reply = resource_reply(service_of(request).catalog, target, 200)
    except ChangeRefused as error:
        raise not_found() from error
    return Response(reply.body, status_code=200, headers=reply.headers, media_type=JSON)


async def put(request: Conn, target: Target, value: Any, token: str | None = None) -> Response[Any]:
    """Create or replace an entry; with `token`, the response holds a secret."""
    condition = condition_of(request)

    def plan(catalog: Catalog, now_ms: int) -> PlannedChange:
        present = _current_entry(catalog, target)
        condition.check(catalog, present, replaces=True)
        status = 200 if present is not None else 201
        return PlannedChange(
            Change(target.tenant, (Edit(target.kind, target.name, value),)),
            lambda made: resource_reply(made, target, status, token),
            token is not None,
        )

    return await submit(request, target.tenant, plan)


async def patch(request: Conn, target: Target, merge_value: Callable[[Any, Any], Any] | None = None) -> Response[Any]:
    """Merge the body into the present value; `merge_value` does so where the body has a form of its own."""
    condition = condition_of(request)
    body = parse_strict(request.scope["state"]["raw"])
    if not isinstance(body, dict):
        raise ProblemError(422, "invalid", "A merge patch of a thing is an object.")

    def plan(catalog: Catalog, now_ms: int) -> PlannedChange:
        present = _current_entry(catalog, target)
        if present is None:
            raise ChangeRefused("not-found", "", "there is nothing of this name")
        condition.check(catalog, present, replaces=False)
        if merge_value is not None:
            value = merge_value(present.value, body)
        else:
            value = convert_value(apply_merge_patch(msgspec.to_builtins(present.value), body), VALUE_TYPES[target.kind])
        return PlannedChange(
            Change(target.tenant, (Edit(target.kind, target.name, value),)),
            lambda made: resource_reply(made, target, 200),
        )

    return await submit(request, target.tenant, plan)


async def delete(request: Conn, target: Target) -> Response[Any]:
    """Delete an entry."""
    condition = condition_of(request)

    def plan(catalog: Catalog, now_ms: int) -> PlannedChange:
        present = _current_entry(catalog, target)
        if present is None:
            raise ChangeRefused("not-found", "", "there is nothing of this name")
        condition.check(catalog, present, replaces=False)
        return PlannedChange(
            Change(target.tenant, (Edit(target.kind, target.name),)),
            lambda made: Reply(204, {"content-type": JSON}, b""),
        )

    return await submit(request, target.tenant, plan)


def convert_value(value: Any, type_: type[Any]) -> Any:
    """Convert plain values to a type; ChangeRefused names the field that does not fit."""
    try:
        return msgspec.convert(value, type_, strict=True)
    except msgspec.ValidationError as error:
        detail, _, path = str(error).partition(" - at `$")
        raise ChangeRefused("invalid", path.rstrip("`").lstrip("."), detail) from error


def _current_entry(catalog: Catalog, target: Target) -> Versioned | None:
    """Return the present entry; ChangeRefused where its tenant does not exist."""
    if target.kind is not Kind.TENANT and target.tenant and target.tenant not in catalog.tenants:
        raise ChangeRefused("not-found", "", "there is no such tenant")
    return catalog.get(target.tenant, target.kind, target.name)


def page(
    names: Iterable[str], after: str, limit: int, is_wanted: Callable[[str], bool]
) -> tuple[list[str], str | None]:
    """Return the wanted names past `after`, in order, at most `limit`, and the last of them if there are more."""
    candidates = (name for name in names if name > after and is_wanted(name))
    page_names = heapq.nsmallest(limit + 1, candidates)
    next_after = page_names[limit - 1] if len(page_names) > limit else None
    return page_names[:limit], next_after


def page_of_kind(
    request: Conn, tenant: str, kind: Kind, after: str, limit: int, prefix: str
) -> tuple[list[tuple[str, Versioned]], str | None]:
    """Return a page of one kind of a tenant's entries, and where the next begins; 404 for an unknown tenant."""
    tenant_part = service_of(request).catalog.tenants.get(tenant)
    if tenant_part is None:
        raise not_found()
    entries = tenant_part.entries(kind)
    names, next_after = page(entries, after, limit, lambda name: name.startswith(prefix))
    return [(name, entries[name]) for name in names], next_after


def json_response(body: Any) -> Response[Any]:
    """Respond with a view as JSON."""
    return Response(msgspec.json.encode(body), media_type=JSON, headers={"cache-control": "no-store"})
