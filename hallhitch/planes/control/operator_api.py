"""The operator API of one coordinator: takes HTTP requests and returns HTTP replies, as plain values without I/O.

Owns the status and the body of each reply. A command is a call that changes the cluster state. Invariants:

- *Acknowledged means durable*: a reply of 200 to a command means that a majority of each set of members holds the
  state after it on disk.
- *Acknowledged again*: a configuration whose digest is recorded is acknowledged when it is sent again, whatever the
  release that acknowledged it took for valid. An evacuated zone may be evacuated again or restored, whichever zones the
  settings name by now.
- *In time*: a reply comes within one second, after which callers give up. Large configurations are the exception, as
  their callers allow more time.

The owner of the connection cancels the call when its caller disconnects, so that a late command is dropped with its
caller; `state_transitions` explains why.
"""

from __future__ import annotations

import asyncio
import json
import zlib
from collections.abc import Callable
from enum import StrEnum
from typing import Final
from urllib.parse import parse_qs, urlsplit

from hallhitch.messages.system_pb2 import ClusterState
from hallhitch.node.clock import now
from hallhitch.node.errors import PeerCallError
from hallhitch.node.http_server import HttpReply
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.config_digests import ConfigOutcome, config_outcome, identify_config
from hallhitch.planes.control.config_validation import ValidatedConfig, validate_config
from hallhitch.planes.control.errors import ConfigTooLargeError, InvalidConfigError
from hallhitch.planes.control.plane import ControlPlane
from hallhitch.planes.control.state_transitions import StateTransition

OPERATOR_PATH: Final = "/hallhitch/rpc"
COMMAND_TIMEOUT_MS: Final = 850.0  # callers give up after one second
COMMAND_TIMEOUT_PER_ROUTE_MS: Final = 1.0  # callers allow additional time for each route of a configuration
READ_TIMEOUT_MS: Final = 600.0  # for a read that has to finish what a command in progress has left open
# For one read of the peers, which needs no disk: twice the round trip between regions, plus time for a slowed machine.
CONFIRM_TIMEOUT_MS: Final = 250.0
MEMBERS_POLL_INTERVAL_MS: Final = 50.0  # between two checks whether there are enough members
CONFIG_COMPRESSION_LEVEL: Final = 6  # zlib's default
RETRY_AFTER_S: Final = "0.3"  # the value of the Retry-After header
RETRY_AFTER_SUSPENSION_S: Final = "0.5"


class OperatorCall(StrEnum):
    """The calls; each value is the name in the request."""

    REPLACE_CONFIG = "config.replace"
    DESCRIBE_CONFIG = "config.describe"
    START_EVACUATION = "evacuations.start"
    STOP_EVACUATION = "evacuations.stop"


class OperatorApi:
    """Handles the operator's calls on one coordinator."""

    def __init__(self, node: NodeSettings, plane: ControlPlane, clock: Callable[[], float] = now) -> None:
        self._plane, self._clock = plane, clock
        self._zones = set(node.region_by_zone)

    def apply_settings(self, node: NodeSettings) -> None:
        """Accept the zones of new settings, too."""
        self._zones |= node.region_by_zone.keys()

    async def handle(self, method: str, target: str, body: bytes) -> HttpReply:  # noqa: PLR0911  a reply for each case
        """Return the reply to one request; raises nothing but CancelledError, when the call is cancelled."""
        received_ms = self._clock()
        try:
            url = urlsplit(target)
            query = parse_qs(url.query, keep_blank_values=True)
        except ValueError as error:
            return _error_reply(400, f"{target[:200]!r} cannot be read: {error}")
        name, zone = query.get("call", [""])[0], query.get("of", [""])[0]
        if url.path != OPERATOR_PATH or name not in tuple(OperatorCall):
            return _error_reply(404, f"there is no {name or url.path}")
        if method != "POST":
            return _error_reply(405, "only POST is answered here", {"Allow": "POST"})
        match OperatorCall(name):
            case OperatorCall.DESCRIBE_CONFIG:
                return await self._describe_config()
            case OperatorCall.REPLACE_CONFIG:
                return await self._replace_config(body, received_ms)
            case OperatorCall.START_EVACUATION:
                return await self._change_evacuation(zone, state_transitions.evacuate_zone, received_ms)
            case OperatorCall.STOP_EVACUATION:
                return await self._change_evacuation(zone, state_transitions.restore_zone, received_ms)

    async def _describe_config(self) -> HttpReply:
        # Confirmation by a majority is enough and needs no disk. A state that is known here but not confirmed is not
        # sent, because it may be older than what was acknowledged elsewhere.
        if await self._plane.confirm(CONFIRM_TIMEOUT_MS):
            state = self._plane.committed_state
        elif not self._plane.has_quorum_contact:
            return _retry_reply("no contact with a majority")
        else:
            try:
                state = await self._plane.propose(state_transitions.identity, READ_TIMEOUT_MS)
            except PeerCallError as error:
                return _retry_reply(str(error))
        if not state.config:
            return _retry_reply("there is no configuration yet")
        return HttpReply(200, {"Content-Type": "application/json"}, zlib.decompress(state.config))

    async def _replace_config(self, body: bytes, received_ms: float) -> HttpReply:
        try:
            config = validate_config(body)
        except ConfigTooLargeError as error:
            return _error_reply(413, str(error))
        except InvalidConfigError as error:
            return await self._refuse_config(body, error)
        content = zlib.compress(body, CONFIG_COMPRESSION_LEVEL)
        transition = state_transitions.replace_config(config.version, content, config.digest)
        timeout_ms = COMMAND_TIMEOUT_MS + COMMAND_TIMEOUT_PER_ROUTE_MS * config.route_count
        return await self._commit(transition, received_ms + timeout_ms, lambda state: _config_reply(state, config))

    async def _refuse_config(self, body: bytes, error: InvalidConfigError) -> HttpReply:
        """Refuse an invalid configuration, unless it was acknowledged before, by a release that took it for valid."""
        identity = identify_config(body)
        if identity is None:
            return _error_reply(400, str(error))
        if not await self._plane.confirm(CONFIRM_TIMEOUT_MS):
            return _retry_reply("no contact with a majority")
        state = self._plane.committed_state
        outcome = config_outcome(state, identity.version, identity.digest)
        return _acknowledgement(state) if outcome is ConfigOutcome.RECORDED else _error_reply(400, str(error))

    def _is_known_zone(self, zone: str) -> bool:
        """Return whether a zone is or was in the settings of this process, or is evacuated."""
        return zone in self._zones or zone in self._plane.committed_state.evacuations

    async def _change_evacuation(
        self, zone: str, transition_for: Callable[[str], StateTransition], received_ms: float
    ) -> HttpReply:
        if not self._is_known_zone(zone):
            return _error_reply(400, f"there is no zone {zone!r}" if zone else "the zone is missing: of=ZONE")
        transition = transition_for(zone)
        # Yields to the event loop once, so that a caller that disconnected long ago is noticed before its command is
        # processed.
        await asyncio.sleep(0)
        if self._plane.was_suspended:
            return _retry_reply("this machine stood still: ask again", RETRY_AFTER_SUSPENSION_S)
        return await self._commit(transition, received_ms + COMMAND_TIMEOUT_MS, _acknowledgement)

    async def _commit(
        self, transition: StateTransition, deadline_ms: float, make_reply: Callable[[ClusterState], HttpReply]
    ) -> HttpReply:
        """Commit a transition; `make_reply` turns the state that a majority holds after it into the reply."""
        while self._plane.is_under_replicated:
            if deadline_ms - self._clock() < COMMAND_TIMEOUT_MS / 2:
                return _retry_reply("not enough replicas yet")
            await asyncio.sleep(MEMBERS_POLL_INTERVAL_MS / 1000)
        # Without contact to a majority, one short attempt is made, as contact may just have come back. If it fails, the
        # reply comes at once, so that the caller can turn to another machine.
        if not self._plane.has_quorum_contact and not await self._plane.confirm(CONFIRM_TIMEOUT_MS):
            return _retry_reply("no contact with a majority")
        try:
            state = await self._plane.propose(transition, deadline_ms - self._clock())
        except PeerCallError as error:
            return _retry_reply(str(error))
        return make_reply(state)


def _config_reply(state: ClusterState, config: ValidatedConfig) -> HttpReply:
    """Return the reply to a configuration, according to the committed state after its ballot."""
    outcome = config_outcome(state, config.version, config.digest)
    if outcome is ConfigOutcome.CONFLICT:
        text = f"configVersion {config.version} was taken with another content; {state.config_version} is in force"
        return _json_reply(409, {"errorMessage": text, "configVersion": state.config_version})
    if outcome is ConfigOutcome.ABSENT:
        return _retry_reply("the order was not applied: ask again")
    return _acknowledgement(state, outcome)


def _acknowledgement(state: ClusterState, outcome: ConfigOutcome = ConfigOutcome.RECORDED) -> HttpReply:
    """Return the reply that states the outcome of a command and what is in force now."""
    return _json_reply(
        200,
        {"configVersion": state.config_version, "outcome": outcome.value, "evacuations": sorted(state.evacuations)},
    )


def _retry_reply(text: str, retry_after_s: str = RETRY_AFTER_S) -> HttpReply:
    return _error_reply(503, text, {"Retry-After": retry_after_s})


def _error_reply(status: int, text: str, headers: dict[str, str] | None = None) -> HttpReply:
    return _json_reply(status, {"errorMessage": text}, headers)


def _json_reply(status: int, body: object, headers: dict[str, str] | None = None) -> HttpReply:
    return HttpReply(status, {"Content-Type": "application/json", **(headers or {})}, json.dumps(body).encode())
