"""The API as one ASGI application, and its OpenAPI 3.1 document, which is generated from the handlers' types."""

from __future__ import annotations

from typing import Any

import msgspec
import structlog
from litestar import Litestar, Request, Response, get
from litestar.exceptions import HTTPException, ValidationException
from litestar.openapi.config import OpenAPIConfig
from litestar.openapi.spec import Components, SecurityScheme

from hallhitch import __version__
from hallhitch.administration.api.audit_resources import audit, status, tenant_audit, version
from hallhitch.administration.api.authorization import authorize_handler
from hallhitch.administration.api.calls import Service
from hallhitch.administration.api.credential_resources import Credentials, Operators
from hallhitch.administration.api.entry_resources import Clients, Hosts, Plans
from hallhitch.administration.api.feed_resources import FEED_HANDLERS
from hallhitch.administration.api.guard import Guard
from hallhitch.administration.api.problems import PROBLEM_MEDIA_TYPE, ProblemError, not_found
from hallhitch.administration.api.tenant_resources import Tenants
from hallhitch.administration.clock import WallClock
from hallhitch.administration.feed_publisher import FeedPublisher
from hallhitch.administration.secrets import SecretChecker
from hallhitch.administration.settings import ApiSettings
from hallhitch.administration.store import SqliteStore
from hallhitch.administration.writer import Writer

HANDLERS: list[Any] = [Tenants, Plans, Clients, Hosts, Credentials, Operators, tenant_audit, audit, version, status]
log = structlog.get_logger()


def _problem_response(problem: ProblemError) -> Response[bytes]:
    return Response(
        problem.body(), status_code=problem.status, headers=problem.headers(), media_type=PROBLEM_MEDIA_TYPE
    )


def on_problem_error(_: Request[Any, Any, Any], error: ProblemError) -> Response[bytes]:
    """Convert a `ProblemError` raised by a handler to a response."""
    return _problem_response(error)


def on_http_exception(_: Request[Any, Any, Any], error: HTTPException) -> Response[bytes]:
    """Convert an exception of the framework to a problem document, and keep its Allow header."""
    if isinstance(error, ValidationException):
        return _problem_response(_validation_problem(error))
    if error.status_code == 404:
        return _problem_response(not_found())
    code = {405: "method", 413: "too-large", 415: "media-type"}.get(error.status_code, "malformed")
    response = _problem_response(ProblemError(error.status_code, code, error.detail))
    if error.headers and "allow" in {name.lower() for name in error.headers}:
        response.headers["allow"] = next(value for name, value in error.headers.items() if name.lower() == "allow")
    return response


def _validation_problem(error: ValidationException) -> ProblemError:
    """Return the 422 error for an invalid body or parameter, with the path of the first invalid field."""
    field, message = "", error.detail
    extra = error.extra
    if isinstance(extra, list) and extra and isinstance(extra[0], dict):
        field, message = str(extra[0].get("key", "")), str(extra[0].get("message", message))
    detail, _, path = message.partition(" - at `$")  # msgspec appends the path of the field to its message
    return ProblemError(422, "invalid", detail, path.rstrip("`").lstrip(".") or field)


def on_unhandled_error(request: Request[Any, Any, Any], error: Exception) -> Response[bytes]:
    """Log an unexpected exception and respond with 500, without details that could leak to the caller."""
    log.error("handler failed", path=request.url.path, error=f"{type(error).__name__}: {error}", exc_info=error)
    return _problem_response(
        ProblemError(500, "fault", "The service failed at this call; repeat it with the same key.")
    )


@get("/openapi.json", include_in_schema=False, operation_id="openapi")
async def openapi_document(request: Request[Any, Any, Any]) -> Response[bytes]:
    """Serve the OpenAPI document, which was encoded at startup."""
    return Response(request.app.state.openapi_json, media_type="application/json")


def encode_openapi(app: Litestar) -> bytes:
    """Encode the OpenAPI document as JSON."""
    return msgspec.json.encode(app.openapi_schema.to_schema())


def create_framework(
    service: Service | None,
    checker: SecretChecker | None,
    store: SqliteStore | None,
    publisher: FeedPublisher | None = None,
) -> Litestar:
    """Create the Litestar application with all handlers, without the guard.

    Without services (None), the application can only generate its OpenAPI document.
    """
    app = Litestar(
        route_handlers=[*HANDLERS, *FEED_HANDLERS, openapi_document],
        guards=[authorize_handler],
        exception_handlers={
            ProblemError: on_problem_error,
            HTTPException: on_http_exception,
            Exception: on_unhandled_error,
        },
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
        request_max_body_size=None,  # the guard limits the size of bodies
    )
    app.state.service, app.state.checker, app.state.store = service, checker, store
    app.state.publisher = publisher
    app.state.openapi_json = encode_openapi(app)
    return app


def create_application(
    writer: Writer,
    checker: SecretChecker,
    store: SqliteStore,
    clock: WallClock,
    settings: ApiSettings,
    publisher: FeedPublisher,
) -> Guard:
    """Create the complete application: the Litestar application behind the guard."""
    return Guard(create_framework(Service(writer), checker, store, publisher), writer, checker, clock, settings)
