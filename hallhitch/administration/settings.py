"""Settings file of the administration service; `deploy/control.toml` is one."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from hallhitch.core.addresses import parse_address
from hallhitch.settings_file import check_field

Count = Annotated[int, Meta(ge=1, le=1_000_000)]


class StoreSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Directory of the store, and how often a snapshot truncates its log."""

    folder: str
    snapshot_each: Count = 10_000  # changes
    keep: Count = 2_000  # changes kept in the log before a snapshot


class ApiSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the administration API, and its limits."""

    listen: str
    connections: Annotated[int, Meta(ge=1, le=10_000)] = 256
    body_kib: Annotated[int, Meta(ge=1, le=1024)] = 256
    head_kib: Annotated[int, Meta(ge=1, le=64)] = 16
    calls_per_second: Annotated[float, Meta(gt=0, le=1e6)] = 50.0  # by credential
    burst: Annotated[float, Meta(ge=1, le=1e6)] = 200.0
    failures_per_minute: Annotated[float, Meta(gt=0, le=1e6)] = 12.0  # failed authentications, by address and token
    request_seconds: Annotated[float, Meta(gt=0, le=600)] = 10.0  # for a caller to send a whole request
    idle_seconds: Annotated[int, Meta(ge=1, le=3600)] = 30

    def __post_init__(self) -> None:
        check_field("listen", lambda: parse_address(self.listen))


class TlsSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Directory of certificates, and the authority whose client certificates may name operators."""

    folder: str
    client_ca: str | None = None
    look_seconds: Annotated[float, Meta(gt=0, le=3600)] = 5.0  # between two checks for replaced files


class AdministrationSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """All sections of the file."""

    store: StoreSettings
    api: ApiSettings
    tls: TlsSettings

    def path(self, text: str, file: str) -> Path:
        """Resolve a path of the file; a relative one starts at the file's directory."""
        return Path(file).resolve().parent / text
