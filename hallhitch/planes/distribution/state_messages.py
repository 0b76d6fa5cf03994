"""Converts the values of distributed state to and from protobuf messages.

Clocks differ between processes, so points in time are sent as durations and converted back by the receiver's clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from hallhitch.messages.system_pb2 import (
    BackendMessage,
    BackendUpdate,
    GatewayMessage,
    GatewayUpdate,
    MapVersion,
)
from hallhitch.planes.discovery.endpoint_list import ListedBackend
from hallhitch.planes.distribution.versioned_map import Delta, Version
from hallhitch.planes.values import Gateway

ValueT = TypeVar("ValueT")


def encode_gateway(gateway: Gateway) -> GatewayMessage:
    """Encode a gateway."""
    return GatewayMessage(
        name=gateway.name,
        address=gateway.address,
        incarnation=gateway.incarnation,
        machine_class=gateway.machine_class,
        zone=gateway.zone,
        region=gateway.region,
        frontend=gateway.frontend,
        is_ready=gateway.is_ready,
        is_leaving=gateway.is_leaving,
    )


def decode_gateway(message: GatewayMessage) -> Gateway:
    """Decode a gateway."""
    return Gateway(
        name=message.name,
        address=message.address,
        incarnation=message.incarnation,
        machine_class=message.machine_class,
        zone=message.zone,
        region=message.region,
        frontend=message.frontend,
        is_ready=message.is_ready,
        is_leaving=message.is_leaving,
    )


def encode_backend(backend: ListedBackend, now: float) -> BackendMessage:
    """Encode a backend, including the remaining time of its slow start at `now` (steady ms)."""
    return BackendMessage(
        instance=backend.instance,
        service=backend.service,
        host=backend.host,
        port=backend.port,
        zone=backend.zone,
        slots=backend.slots,
        is_draining=backend.is_draining,
        warmup_remaining_ms=max(0.0, backend.warming_until_ms - now),
        is_idempotent_only=backend.is_idempotent_only,
    )


def decode_backend(message: BackendMessage, received_at: float) -> ListedBackend:
    """Decode a backend that was received at `received_at` (steady ms).

    The remaining slow start is counted from that time, so it is too long by the transit time. If it were too short, the
    backend would be overloaded.
    """
    remaining_ms = message.warmup_remaining_ms
    return ListedBackend(
        instance=message.instance,
        service=message.service,
        host=message.host,
        port=message.port,
        zone=message.zone,
        slots=message.slots,
        is_draining=message.is_draining,
        warming_until_ms=received_at + remaining_ms if remaining_ms > 0 else 0.0,
        is_idempotent_only=message.is_idempotent_only,
    )


def encode_version(version: Version) -> MapVersion:
    """Encode the version of a map."""
    return MapVersion(epoch=version.epoch, number=version.number)


def decode_version(message: MapVersion) -> Version:
    """Decode the version of a map."""
    return Version(message.epoch, message.number)


def encode_backend_delta(delta: Delta[ListedBackend], now: float) -> BackendUpdate:
    """Encode a delta of the endpoint list at `now` (steady ms)."""
    return BackendUpdate(
        version=encode_version(delta.version),
        is_snapshot=delta.is_snapshot,
        entries=[encode_backend(backend, now) for backend in delta.entries.values()],
        removed=delta.removed,
        has_more_chunks=delta.has_more_chunks,
    )


def decode_backend_delta(message: BackendUpdate, received_at: float) -> Delta[ListedBackend]:
    """Decode a delta of the endpoint list that was received at `received_at` (steady ms)."""
    return _decode_delta(message, {entry.instance: decode_backend(entry, received_at) for entry in message.entries})


def encode_gateway_delta(delta: Delta[Gateway]) -> GatewayUpdate:
    """Encode a delta of the gateways."""
    return GatewayUpdate(
        version=encode_version(delta.version),
        is_snapshot=delta.is_snapshot,
        entries=[encode_gateway(gateway) for gateway in delta.entries.values()],
        removed=delta.removed,
        has_more_chunks=delta.has_more_chunks,
    )


def decode_gateway_delta(message: GatewayUpdate) -> Delta[Gateway]:
    """Decode a delta of the gateways."""
    return _decode_delta(message, {entry.address: decode_gateway(entry) for entry in message.entries})


def _decode_delta(message: BackendUpdate | GatewayUpdate, entries: Mapping[str, ValueT]) -> Delta[ValueT]:
    return Delta(
        version=decode_version(message.version),
        is_snapshot=message.is_snapshot,
        entries=entries,
        removed=tuple(message.removed),
        has_more_chunks=message.has_more_chunks,
    )
