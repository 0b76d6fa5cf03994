"""HTTP calls of operators from a simulated process, each on a new connection."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Final, NamedTuple

from hallhitch.lab.simulation.operation_history import Operation, OperationKind
from hallhitch.lab.simulation.process_loop import ProcessLoop

RESPONSE_TIMEOUT_S: Final = 1.0  # operators' protocol: after this time they try another machine
SUPERSEDED_OUTCOME: Final = "superseded"  # outcome of an acknowledged write if a newer version was committed before it


class Response(NamedTuple):
    """An HTTP response; status 0 stands for no response."""

    status: int
    body: bytes


NO_RESPONSE: Final = Response(0, b"")


class _HttpCall(asyncio.Protocol):
    """Receives the response to one HTTP request. The connection carries only this request."""

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
            self.response.set_exception(ConnectionResetError("connection closed before the response was complete"))
            self.response.exception()  # marks the exception as retrieved, as the caller may have timed out


def encode_config(version: int, content: str, route_count: int = 1) -> bytes:
    """Encode a configuration. `content` distinguishes it from others of the same version."""
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
    """Send an operation to one machine and return its response, or `NO_RESPONSE` on a time-out or connection error."""
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
    """Record the conclusive response that completes an operation."""
    operation.status = response.status
    operation.completed_at_s = completed_at_s
    if response.status != 200:
        return
    result = json.loads(response.body)
    if operation.kind is OperationKind.DESCRIBE_CONFIG:
        operation.config_version = result["configVersion"]
        operation.content = result["mark"]
    elif operation.kind is OperationKind.REPLACE_CONFIG:
        operation.committed_version = result["configVersion"]
        operation.is_superseded = result.get("outcome") == SUPERSEDED_OUTCOME
