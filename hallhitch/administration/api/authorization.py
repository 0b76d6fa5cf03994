"""Authorization of a handler's call by the caller's scope, before its body is parsed."""

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
    """Refuse a call beyond the caller's scope; another tenant's entries give the same error as missing ones.

    Raises:
        ProblemError: 404 where the entry is hidden from the caller, 403 where it is beyond the credential's scope.
    """
    caller = connection.scope["state"]["caller"]
    if caller is None:
        return
    options = handler.opt
    if options.get("feed"):  # only gateways read the feed, and they read nothing else
        if caller.scope is not Scope.GATEWAY:
            raise not_found()
        return
    tenant = connection.path_params.get("tenant", options.get("tenant"))
    verdict = authorize(caller, tenant, options.get("kind"), bool(options.get("write")))
    if verdict is Verdict.HIDDEN:
        raise not_found()
    if verdict is Verdict.BEYOND_SCOPE:
        raise ProblemError(403, "beyond-scope", "This credential may not do that.")
