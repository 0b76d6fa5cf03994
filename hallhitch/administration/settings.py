"""Settings file of the administration service; `deploy/control.toml` is an example."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from hallhitch.core.addresses import parse_address
from hallhitch.settings_file import check_field

Count = Annotated[int, Meta(ge=1, le=1_000_000)]


class StoreSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Directory of the store, and the settings of its snapshots and change log."""

    folder: str
    snapshot_each: Count = 10_000  # changes between two snapshots
    keep: Count = 2_000  # changes before the snapshot that stay in the log


class ApiSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Listen address of the administration API, and its limits on callers."""

    listen: str
    connections: Annotated[int, Meta(ge=1, le=10_000)] = 256
    body_kib: Annotated[int, Meta(ge=1, le=1024)] = 256
    head_kib: Annotated[int, Meta(ge=1, le=64)] = 16
    calls_per_second: Annotated[float, Meta(gt=0, le=1e6)] = 50.0  # per credential
    burst: Annotated[float, Meta(ge=1, le=1e6)] = 200.0
    failures_per_minute: Annotated[float, Meta(gt=0, le=1e6)] = 12.0  # failed authentications per address and token
    request_seconds: Annotated[float, Meta(gt=0, le=600)] = 10.0  # time within which a caller must send a whole request
    idle_seconds: Annotated[int, Meta(ge=1, le=3600)] = 30  # after which an idle connection is closed

    def __post_init__(self) -> None:
        check_field("listen", lambda: parse_address(self.listen))


class TlsSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Directory of the server certificates, and the CA file that verifies client certificates."""

    folder: str
    client_ca: str | None = None
    look_seconds: Annotated[float, Meta(gt=0, le=3600)] = 5.0  # between two checks for replaced certificate files


class AdministrationSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole settings file."""

    store: StoreSettings
    api: ApiSettings
    tls: TlsSettings

    def path(self, text: str, settings_file: str) -> Path:
        """Resolve a path of the settings file; a relative one is relative to the directory of that file."""
        return Path(settings_file).resolve().parent / text
