"""The settings file that enables the RESP server (`--resp FILE`); `deploy/resp.toml` is an example."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from hallhitch.core.addresses import parse_address
from hallhitch.settings_file import check_field
from hallhitch.settings_file import read as read_file


class RespSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The listening address, the address of the RESP counter, if there is one, and the maximum number of clients."""

    listen: str
    counter: str | None = None
    connections: Annotated[int, Meta(ge=1, le=1024)] = 128

    def __post_init__(self) -> None:
        check_field("listen", lambda: parse_address(self.listen))
        if self.counter is not None:
            check_field("counter", lambda: parse_address(self.counter or ""))


def read_settings(path: str) -> RespSettings:
    """Read and check the file.

    Raises:
        SettingsError: The file is invalid; the message names the field.
    """
    return read_file(path, RespSettings)
