"""The API as one ASGI application, and its OpenAPI 3.1 description, built from the handlers' own types."""

from __future__ import annotations

from typing import Any

import msgspec
import structlog
from litestar import Litestar, Request, Response, get
from litestar.exceptions import HTTPException, ValidationException
from litestar.openapi.config import OpenAPIConfig
from litestar.openapi.spec import Components, SecurityScheme

from hallhitch import __version__
from hallhitch.administration.api.calls import Service
from hallhitch.administration.api.feed import FEED
from hallhitch.administration.api.guard import Guard
from hallhitch.administration.api.problems import MEDIA, ProblemError, hidden
from hallhitch.administration.api.resources import HANDLERS, allowed
from hallhitch.administration.clock import WallClock
from hallhitch.administration.publisher import Publisher
from hallhitch.administration.secrets import Checker
from hallhitch.administration.settings import ApiSettings
from hallhitch.administration.store import SqliteStore
from hallhitch.administration.writer import Writer

log = structlog.get_logger()


def _respond(problem: ProblemError) -> Response[bytes]:
    return Response(problem.body(), status_code=problem.status, headers=problem.headers(), media_type=MEDIA)


def on_problem(_: Request[Any, Any, Any], error: ProblemError) -> Response[bytes]:
    """An error of our own."""
    return _respond(error)


def on_http(_: Request[Any, Any, Any], error: HTTPException) -> Response[bytes]:
    """An error of the framework's."""
    if isinstance(error, ValidationException):
        return _respond(_invalid(error))
    if error.status_code == 404:
        return _respond(hidden())
    code = {405: "method", 413: "too-large", 415: "media-type"}.get(error.status_code, "malformed")
    answer = _respond(ProblemError(error.status_code, code, error.detail))
    if error.headers and "allow" in {name.lower() for name in error.headers}:
        answer.headers["allow"] = next(value for name, value in error.headers.items() if name.lower() == "allow")
    return answer


def _invalid(error: ValidationException) -> ProblemError:
    """What of a body or a parameter does not fit, by its field."""
    field, what = "", error.detail
    extra = error.extra
    if isinstance(extra, list) and extra and isinstance(extra[0], dict):
        field, what = str(extra[0].get("key", "")), str(extra[0].get("message", what))
    text, _, place = what.partition(" - at `$")
    return ProblemError(422, "invalid", text, place.rstrip("`").lstrip(".") or field)


def on_any(request: Request[Any, Any, Any], error: Exception) -> Response[bytes]:
    """A fault of the program's: said in the log, not to the caller."""
    log.error("handler failed", path=request.url.path, error=f"{type(error).__name__}: {error}", exc_info=error)
    return _respond(ProblemError(500, "fault", "The service failed at this call; repeat it with the same key."))


@get("/openapi.json", include_in_schema=False, operation_id="openapi")
async def described(request: Request[Any, Any, Any]) -> Response[bytes]:
    """The description."""
    return Response(request.app.state.described, media_type="application/json")


def description(app: Litestar) -> bytes:
    """The OpenAPI description as JSON."""
    return msgspec.json.encode(app.openapi_schema.to_schema())


def framework(
    service: Service | None, checker: Checker | None, store: SqliteStore | None, publisher: Publisher | None = None
) -> Litestar:
    """The handlers, without the guard."""
    app = Litestar(
        route_handlers=[*HANDLERS, *FEED, described],
        guards=[allowed],
        exception_handlers={ProblemError: on_problem, HTTPException: on_http, Exception: on_any},
        openapi_config=OpenAPIConfig(
            title="hallhitch administration",
            version=__version__,
            path="/_description",
            enabled_endpoints=set(),
            description="Tenants, their plans, clients, host names and credentials.",
            use_handler_docstrings=True,
            security=[{"bearer": []}, {"certificate": []}],
            components=Components(
                security_schemes={
                    "bearer": SecurityScheme(type="http", scheme="bearer"),
                    "certificate": SecurityScheme(type="mutualTLS"),
                }
            ),
        ),
        logging_config=None,
        request_max_body_size=None,  # the guard bounds bodies
    )
    app.state.service, app.state.checker, app.state.store = service, checker, store
    app.state.publisher = publisher
    app.state.described = description(app)
    return app


def application(
    writer: Writer, checker: Checker, store: SqliteStore, clock: WallClock, told: ApiSettings, publisher: Publisher
) -> Guard:
    """The whole application."""
    return Guard(framework(Service(writer), checker, store, publisher), writer, checker, clock, told)
