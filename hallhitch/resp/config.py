"""The file that turns the RESP front on; `deploy/resp.toml` is one."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass

from hallhitch.decision.settings import WireError, need
from hallhitch.net.sockets import address_of

FIELDS = {"listen", "counter", "connections"}
CONNECTIONS = 128


@dataclass(frozen=True, slots=True)
class RespConfig:
    """Where the front listens, and the RESP counter if there is one."""

    listen: tuple[str, int]
    counter: tuple[str, int] | None
    connections: int


def read(path: str) -> RespConfig:
    """Read the file; WireError names the field that is wrong."""
    try:
        with open(path, "rb") as file:
            top = tomllib.load(file)
    except (OSError, ValueError) as error:
        raise WireError(f"--resp: {error}") from error
    for name in sorted(set(top) - FIELDS):
        raise WireError(f"field '{name}' is not known in {path}")
    addresses = {}
    for name in ("listen", "counter"):
        if name in top or name == "listen":
            try:
                addresses[name] = address_of(need(top, name, str))
            except ValueError as error:
                raise WireError(f"field '{name}': {error}") from error
    connections = need({"connections": CONNECTIONS} | top, "connections", int)
    if not 1 <= connections <= 1024:
        raise WireError("field 'connections' is out of range: 1 to 1024")
    return RespConfig(addresses["listen"], addresses.get("counter"), connections)
