"""The settings file that turns the RESP server on (`--resp FILE`); `deploy/resp.toml` is an example."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from hallhitch.core.addresses import parse_address
from hallhitch.settings_file import check_field
from hallhitch.settings_file import read as read_file


class RespSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Where the server listens, the RESP counter if there is one, and how many clients it accepts."""

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
        SettingsError: The file cannot be used; the text names the field.
    """
    return read_file(path, RespSettings)
