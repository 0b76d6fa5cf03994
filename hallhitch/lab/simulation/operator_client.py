"""Calls of operators over HTTP, one connection each, on a simulated process."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Final, NamedTuple

from hallhitch.lab.simulation.operation_history import Operation, OperationKind
from hallhitch.lab.simulation.process_loop import ProcessLoop

RESPONSE_TIMEOUT_S: Final = 1.0  # the operators' protocol: after it, they go on to another machine
SUPERSEDED_OUTCOME: Final = "superseded"  # of an acknowledged write that a newer version came before


class Response(NamedTuple):
    """A response; status 0 where none came."""

    status: int
    body: bytes


NO_RESPONSE: Final = Response(0, b"")


class _HttpCall(asyncio.Protocol):
    """One HTTP request and its response on a connection of their own."""

    def __init__(self) -> None:
        self.response: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self._received = b""

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        lengths = [int(line.partition(":")[2]) for line in lines[1:] if line.lower().startswith("content-length:")]
        if separator and lengths and len(body) >= lengths[0] and not self.response.done():
            self.response.set_result(Response(int(lines[0].split()[1]), body[: lengths[0]]))

    def connection_lost(self, error: Exception | None) -> None:
        if not self.response.done():
            self.response.set_exception(ConnectionResetError("no answer"))
            self.response.exception()  # nobody may be waiting any more


def encode_config(version: int, content: str, route_count: int = 1) -> bytes:
    """Encode a configuration; `content` tells it from others of the same version."""
    route = {
        "host": "a.example",
        "routeKind": "idempotent",
        "timeout": "3s",
        "maxAttempts": 1,
        "targetService": "s",
    }
    body = {
        "configVersion": version,
        "mark": content,
        "services": {"s": {}},
        "limits": {},
        "routes": {f"r-{number}": {**route, "pathPrefix": f"/{number}/"} for number in range(route_count)},
    }
    return json.dumps(body).encode()


async def send_attempt(
    loop: ProcessLoop,
    host: str,
    port: int,
    operation: Operation,
    body: bytes,
    timeout_s: float = RESPONSE_TIMEOUT_S,
) -> Response:
    """Send an operation to one machine and return its response, or `NO_RESPONSE` after the time-out."""
    target = f"/hallhitch/rpc?call={operation.kind.value}" + (f"&of={operation.zone}" if operation.zone else "")
    head = f"POST {target} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n\r\n"
    transport: Any = None
    operation.attempts += 1
    try:
        async with asyncio.timeout(timeout_s):
            transport, call = await loop.create_connection(_HttpCall, host, port)
            transport.write(head.encode() + body)
            response: Response = await call.response
            return response
    except (OSError, TimeoutError):
        return NO_RESPONSE
    finally:
        if transport is not None:
            transport.abort()


def record_response(operation: Operation, response: Response, completed_at_s: float) -> None:
    """Complete an operation with its conclusive response."""
    operation.status = response.status
    operation.completed_at_s = completed_at_s
    if response.status != 200:
        return
    answer = json.loads(response.body)
    if operation.kind is OperationKind.DESCRIBE_CONFIG:
        operation.config_version = answer["configVersion"]
        operation.content = answer["mark"]
    elif operation.kind is OperationKind.REPLACE_CONFIG:
        operation.committed_version = answer["configVersion"]
        operation.is_superseded = answer.get("outcome") == SUPERSEDED_OUTCOME
