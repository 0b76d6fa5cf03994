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
    """Before a body is looked at: what is another's reads as what is not there."""
    caller = connection.scope["state"]["caller"]
    if caller is None:
        return
    told = handler.opt
    if told.get("feed"):  # gateways alone, and nothing else is theirs
        if caller.scope is not Scope.GATEWAY:
            raise not_found()
        return
    tenant = connection.path_params.get("tenant", told.get("tenant"))
    verdict = authorize(caller, tenant, told.get("kind"), bool(told.get("write")))
    if verdict is Verdict.HIDDEN:
        raise not_found()
    if verdict is Verdict.BEYOND_SCOPE:
        raise ProblemError(403, "beyond-scope", "This credential may not do that.")
