"""The file that turns the RESP front on; `deploy/resp.toml` is one."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from hallhitch.core.addresses import parse_address
from hallhitch.settings_file import checked
from hallhitch.settings_file import read as read_file


class RespConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """Where the front listens, the RESP counter if there is one, and how many clients it takes."""

    listen: str
    counter: str | None = None
    connections: Annotated[int, Meta(ge=1, le=1024)] = 128

    def __post_init__(self) -> None:
        checked("listen", lambda: parse_address(self.listen))
        if self.counter is not None:
            checked("counter", lambda: parse_address(self.counter or ""))


def read(path: str) -> RespConfig:
    """Read the file; SettingsError names the field that is wrong."""
    return read_file(path, RespConfig)
