"""The operator's calls: HTTP in, HTTP out, as plain values. Owns status and body of every answer.

200 says that a majority of disks holds it. Must never say so otherwise, and must answer within the second after which
callers move on. Whoever owns the connection cancels the call when its caller leaves: a late order dies with it.
"""

from __future__ import annotations

import asyncio
import json
import zlib
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from hallhitch.messages.system_pb2 import ClusterState
from hallhitch.node.clock import now
from hallhitch.node.errors import PeerCallError
from hallhitch.node.http_server import HttpReply
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.control import config_validation, state_transitions
from hallhitch.planes.control.config_digests import ConfigOutcome, config_outcome
from hallhitch.planes.control.plane import ControlPlane
from hallhitch.planes.control.state_transitions import StateTransition

OPERATOR_PATH = "/hallhitch/rpc"
ORDER_TIMEOUT_MS = 850.0  # ms for an order: callers move on after a second
ORDER_TIMEOUT_PER_ROUTE_MS = 1.0  # ms more for each route of a configuration: bigger ones are given more time
READ_TIMEOUT_MS = 600.0  # ms for a read that has to settle what an order under way has left open
# One read of the others without disks: twice the way between regions, and a slowed machine.
CONFIRM_TIMEOUT_MS = 250.0


class OperatorApi:
    """The calls of `control_plane` on one coordinator."""

    def __init__(self, node: NodeSettings, plane: ControlPlane, clock: Callable[[], float] = now) -> None:
        self._node, self._plane, self._clock = node, plane, clock

    def apply_settings(self, node: NodeSettings) -> None:
        """The settings have changed: zones."""
        self._node = node

    async def handle(self, method: str, target: str, body: bytes) -> HttpReply:
        """Answer one request: status, headers, body. Never raises but for its own cancellation."""
        began = self._clock()
        try:
            url = urlsplit(target)
            query = parse_qs(url.query, keep_blank_values=True)
        except ValueError as error:
            return _error(400, f"{target[:200]!r} cannot be read: {error}")
        name, of = query.get("call", [""])[0], query.get("of", [""])[0]
        if url.path != OPERATOR_PATH or name not in (
            "config.replace",
            "config.describe",
            "evacuations.start",
            "evacuations.stop",
        ):
            return _error(404, f"there is no {name or url.path}")
        if method != "POST":
            return _error(405, "only POST is answered here", {"Allow": "POST"})
        if name == "config.describe":
            return await self._describe()
        if name == "config.replace":
            return await self._replace(body, began)
        if of not in self._node.region_by_zone:
            return _error(400, f"there is no zone {of!r}" if of else "the zone is missing: of=ZONE")
        change = (
            state_transitions.evacuate_zone(of) if name == "evacuations.start" else state_transitions.restore_zone(of)
        )
        # One turn of the loop: a caller that has left long ago is noticed before its order is taken.
        await asyncio.sleep(0)
        if self._plane.was_suspended:
            return _error(503, "this machine stood still: ask again", {"Retry-After": "0.5"})
        return await self._order(change, began, ORDER_TIMEOUT_MS, _in_force)

    async def _replace(self, body: bytes, began: float) -> HttpReply:
        try:
            checked = config_validation.validate_config(body)
        except config_validation.ConfigTooLargeError as error:
            return _error(413, str(error))
        except config_validation.InvalidConfigError as error:
            return _error(400, str(error))
        change = state_transitions.replace_config(checked.version, zlib.compress(body, 6), checked.digest)
        patience = ORDER_TIMEOUT_MS + ORDER_TIMEOUT_PER_ROUTE_MS * checked.route_count
        return await self._order(change, began, patience, lambda state: _judged(state, checked))

    async def _order(
        self, change: StateTransition, began: float, patience: float, answer: Callable[[ClusterState], HttpReply]
    ) -> HttpReply:
        """Put an order to the register; the answer is made of the state that a majority holds after it."""
        ends = began + patience
        while self._plane.is_under_replicated:
            if ends - self._clock() < ORDER_TIMEOUT_MS / 2:
                return _error(503, "not enough replicas yet", {"Retry-After": "0.3"})
            await asyncio.sleep(0.05)
        # Without contact one short try, as it may just have come back; then the caller is sent on at once.
        if not self._plane.has_quorum_contact and not await self._plane.confirm(CONFIRM_TIMEOUT_MS):
            return _error(503, "no contact with a majority", {"Retry-After": "0.3"})
        try:
            value = await self._plane.propose(change, ends - self._clock())
        except PeerCallError as error:
            return _error(503, str(error), {"Retry-After": "0.3"})
        return answer(value)

    async def _describe(self) -> HttpReply:
        # A majority that agrees is enough and needs no disk. What is known here, unconfirmed, may be older than what
        # was acknowledged elsewhere: it is never told.
        if await self._plane.confirm(CONFIRM_TIMEOUT_MS):
            value: ClusterState = self._plane.committed_state
        elif not self._plane.has_quorum_contact:
            return _error(503, "no contact with a majority", {"Retry-After": "0.3"})
        else:
            try:
                value = await self._plane.propose(state_transitions.identity, READ_TIMEOUT_MS)
            except PeerCallError as error:
                return _error(503, str(error), {"Retry-After": "0.3"})
        if not value.config:
            return _error(503, "there is no configuration yet", {"Retry-After": "0.3"})
        return HttpReply(200, {"Content-Type": "application/json"}, zlib.decompress(value.config))


def _judged(state: ClusterState, checked: config_validation.ValidatedConfig) -> HttpReply:
    """The answer to a configuration, by the committed state after its ballot."""
    match config_outcome(state, checked.version, checked.digest):
        case ConfigOutcome.CONFLICT:
            text = f"configVersion {checked.version} was taken with another content; {state.config_version} is in force"
            return _json(409, {"errorMessage": text, "configVersion": state.config_version})
        case ConfigOutcome.ABSENT:
            return _error(503, "the order was not applied: ask again", {"Retry-After": "0.3"})
        case found:
            return _in_force(state, found)


def _in_force(state: ClusterState, found: ConfigOutcome = ConfigOutcome.RECORDED) -> HttpReply:
    """An acknowledgement: what became of the order, and what is in force now."""
    body = {"configVersion": state.config_version, "outcome": found.value, "evacuations": sorted(state.evacuations)}
    return _json(200, body)


def _json(status: int, body: object, headers: dict[str, str] | None = None) -> HttpReply:
    return HttpReply(status, {"Content-Type": "application/json", **(headers or {})}, json.dumps(body).encode())


def _error(status: int, text: str, headers: dict[str, str] | None = None) -> HttpReply:
    return _json(status, {"errorMessage": text}, headers)
