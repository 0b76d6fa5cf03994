"""Handlers for the feed, from which gateways read the catalog, and for the operators' list of gateways."""

from __future__ import annotations

from typing import Annotated, Any, Final

from litestar import Response, delete, get
from litestar.params import QueryParameter
from litestar.response import Stream
from msgspec import Meta, Struct

from hallhitch.administration.api import views
from hallhitch.administration.api.calls import ApiRequest, json_response, service_of
from hallhitch.administration.api.parameters import CHANGE_ERRORS, READ_ERRORS, IdempotencyKey
from hallhitch.administration.api.problems import ProblemError
from hallhitch.administration.errors import SnapshotTransfersFull
from hallhitch.administration.feed_publisher import FeedPublisher
from hallhitch.catalog.errors import FeedError, GatewayNameTaken
from hallhitch.catalog.gateway_leases import Gateway
from hallhitch.catalog.names import OPERATORS

MAX_HOLD_MS: Final = 20_000  # the longest time for which a request may wait for an update
FEED_MEDIA_TYPE: Final = "application/x-ndjson"
GatewayName = Annotated[str, QueryParameter(name="gateway", pattern="^[a-z0-9][a-z0-9.-]{0,62}$")]
GatewayInstance = Annotated[
    str, QueryParameter(name="instance", pattern="^[0-9a-f]{16,64}$", description="Drawn by the gateway at its start.")
]
VersionNumber = Annotated[int, QueryParameter(ge=0, le=2**53)]


class GatewayView(Struct, frozen=True):
    """Gateway in the operators' list."""

    name: str
    version: str  # the version that the gateway has applied
    lease_ms: Annotated[int, Meta(description="What is left of its lease; below 0: ago.")]


class GatewaysView(Struct, frozen=True):
    """All gateways, and the roll-out of a version to them: `applied` of `counted` gateways have it."""

    version: str
    state: str  # pending, partial or complete
    applied: int
    counted: int
    gateways: list[GatewayView]
    lost: list[GatewayView]


def publisher_of(request: ApiRequest) -> FeedPublisher:
    """Return the publisher of the feed."""
    publisher: FeedPublisher = request.app.state.publisher
    return publisher


@get("/v1/feed", responses=READ_ERRORS, operation_id="getFeed", tags=["feed"], opt={"feed": True})
async def feed(
    request: ApiRequest,
    gateway: GatewayName,
    instance: GatewayInstance,
    epoch: VersionNumber = 0,
    version: VersionNumber = 0,
    hold_ms: Annotated[int, QueryParameter(ge=0, le=MAX_HOLD_MS)] = 0,
) -> Response[Any]:
    """What leads on from the version that a gateway holds: lines of JSON, or 204 after `hold_ms` without news.

    The question renews the gateway's lease and tells what it has applied. 409: the gateway is ahead, or its name is
    another instance's.
    """
    publisher = publisher_of(request)
    try:
        publisher.leases.renew(gateway, instance, (epoch, version), publisher.now_ms())
        lines = await publisher.next_update(epoch, version, hold_ms / 1000)
    except GatewayNameTaken as error:
        raise ProblemError(409, "name-taken", f"{error}.", "gateway") from error
    except FeedError as error:
        raise ProblemError(409, "behind", f"{error}.", "version") from error
    except SnapshotTransfersFull as error:
        raise ProblemError(
            503, "busy", "Too many gateways are sent everything.", retry_after_s=error.retry_after_s
        ) from error
    if lines is None:
        return Response(b"", status_code=204)
    return Stream(lines, media_type=FEED_MEDIA_TYPE, headers={"cache-control": "no-store"})


@delete(
    "/v1/feed", responses=CHANGE_ERRORS, operation_id="leaveFeed", tags=["feed"], opt={"feed": True}, status_code=204
)
async def leave(request: ApiRequest, gateway: GatewayName, instance: GatewayInstance, key: IdempotencyKey) -> None:
    """A gateway ends: it is no longer counted, and its name is free. Nothing happens where the lease is another's."""
    publisher_of(request).leases.release(gateway, instance)


@get("/v1/gateways", responses=READ_ERRORS, operation_id="listGateways", tags=["feed"], opt={"tenant": OPERATORS})
async def gateways(
    request: ApiRequest,
    version: Annotated[
        str | None, QueryParameter(pattern=r"^[0-9]{1,15}\.[0-9]{1,15}$", description="The newest if none is told.")
    ] = None,
) -> Response[Any]:
    """The gateways, and how far a version has come (operators)."""
    publisher = publisher_of(request)
    catalog = service_of(request).catalog
    now_ms = publisher.now_ms()
    target_version = (catalog.epoch, catalog.version)
    if version is not None:
        epoch, _, number = version.partition(".")
        target_version = (int(epoch), int(number))
    progress = publisher.leases.progress(target_version, now_ms)
    return json_response(
        GatewaysView(
            views.format_version(*target_version),
            progress.state,
            progress.applied,
            progress.counted,
            _gateway_views(publisher.leases.active(now_ms), now_ms),
            _gateway_views(publisher.leases.expired(now_ms), now_ms),
        )
    )


def _gateway_views(leases: list[Gateway], now_ms: float) -> list[GatewayView]:
    return [
        GatewayView(lease.name, views.format_version(*lease.version), round(lease.lease_ends_ms - now_ms))
        for lease in leases
    ]


FEED_HANDLERS: list[Any] = [feed, leave, gateways]
