"""Authorization of a request by the scope of its caller's credential, before the body is decoded."""

from __future__ import annotations

from typing import Any

from litestar.connection import ASGIConnection
from litestar.handlers import BaseRouteHandler

from hallhitch.administration.api.problems import ProblemError, not_found
from hallhitch.catalog.access import Verdict, authorize
from hallhitch.catalog.model import (
    Scope,
)


def authorize_handler(connection: ASGIConnection[Any, Any, Any, Any], handler: BaseRouteHandler) -> None:
    """Reject a request that the caller's scope does not allow.

    Another tenant's entries get the same response as missing ones, so that a caller cannot learn which exist.
    The handler's options say what the request accesses: `tenant` (if the path has none), `kind`, `write` and `feed`.

    Raises:
        ProblemError: 404 if the entry is hidden from the caller, 403 if the credential's scope does not suffice.
    """
    caller = connection.scope["state"]["caller"]
    if caller is None:  # a public path
        return
    options = handler.opt
    if options.get("feed"):  # only gateways may use the feed, and they may use nothing else
        if caller.scope is not Scope.GATEWAY:
            raise not_found()
        return
    tenant = connection.path_params.get("tenant", options.get("tenant"))
    verdict = authorize(caller, tenant, options.get("kind"), bool(options.get("write")))
    if verdict is Verdict.HIDDEN:
        raise not_found()
    if verdict is Verdict.BEYOND_SCOPE:
        raise ProblemError(403, "beyond-scope", "This credential may not do that.")
