"""The membership views that gateways report at /api/members of their operator addresses."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Final

from hallhitch.lab.http_messages import read_message

FETCH_TIMEOUT_S: Final = 5.0  # for the response of an operator address
MEMBERS_PATH: Final = "/api/members"
View = dict[str, Any]  # decoded response of a gateway's /api/members


async def fetch(host: str, port: int, path: str) -> Any:
    """Fetch a path from an operator address; returns decoded JSON for `MEMBERS_PATH`, text for other paths."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        _, _, body = await asyncio.wait_for(read_message(reader), FETCH_TIMEOUT_S)
    finally:
        writer.close()
    return json.loads(body) if path == MEMBERS_PATH else body.decode()


def present_members(view: View) -> list[str]:
    """The names of the members that are present in a view, as alive or suspect."""
    return [member["name"] for member in view["members"] if member["state"] in ("alive", "suspect")]


def member_states(view: View) -> dict[str, str]:
    """The members' states in a view, by name; of several instances of a name, the state closest to alive."""
    least_to_most_alive = ("left", "failed", "suspect", "alive")
    return {
        member["name"]: member["state"]
        for member in sorted(view["members"], key=lambda member: least_to_most_alive.index(member["state"]))
    }
