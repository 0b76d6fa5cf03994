"""Translates between the simulator's JSON messages and the events and actions of the decision module."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any

from hallhitch.decision import api
from hallhitch.decision.policy import Gateway
from hallhitch.decision.settings import (
    WireError,
    optional_number,
    optional_section,
    parse_settings,
    require,
    require_choice,
)

OUTCOMES = {
    "success": "ok",
    "failure": "error",
    "overloaded": "full",
    "timed_out": "timeout",
    "unreachable": "unreachable",
    "broken": "reset",
    "withdrawn": "cancelled",
    "void": "void",
}
SERVER_STATES = {"healthy": "up", "cordoned": "drain", "deregistered": "gone"}
LIST_MODES = {"Partial": "changes", "Complete": "full", "Persisted": "saved", "Error": "failed"}
REPEAT_FLAG, WRITE_FLAG = 2, 4  # bits of `attrs`


def parse_server_entry(entry: dict[str, Any]) -> api.ServerEntry:
    """Parse an entry of the server list."""
    return api.ServerEntry(
        require(entry, "server", str),
        require_choice(entry, "condition", SERVER_STATES),
        int(optional_number(entry, "campus")),
        int(optional_number(entry, "block")),
        optional_number(entry, "online-since"),
        optional_number(entry, "heft", 1.0),
    )


def parse_load_report(message: dict[str, Any]) -> dict[str, float]:
    """Parse the load report of a message; empty if it has none."""
    return {name: float(value) for name, value in optional_section(message, "stats").items() if value is not None}


def parse_server_list(message: dict[str, Any]) -> api.ServerList:
    """Parse an update of the server list."""
    entries = message.get("entries") or []
    return api.ServerList(require_choice(message, "scope", LIST_MODES), tuple(parse_server_entry(e) for e in entries))


def parse_request(message: dict[str, Any]) -> api.Request:
    """Parse a new request."""
    flags = int(optional_number(message, "attrs"))
    return api.Request(
        require(message, "op-id", int),
        require(message, "client-id", str),
        require(message, "terms", int),
        require(message, "qos", int),
        optional_number(message, "quota-units", 1.0),
        require(message, "patience-left"),
        optional_number(message, "set-size", 1.0),
        bool(flags & WRITE_FLAG),
        bool(flags & REPEAT_FLAG),
    )


def parse_attempt_end(message: dict[str, Any]) -> api.AttemptEnded:
    """Parse the end of an attempt."""
    return api.AttemptEnded(
        require(message, "op-id", int),
        require(message, "send-no", int),
        require(message, "server", str),
        require_choice(message, "status", OUTCOMES),
        optional_number(message, "lag"),
        bool(message.get("ended")),
        optional_number(message, "quota-use"),
        optional_number(message, "true-units"),
        parse_load_report(message),
    )


EVENT_PARSERS: dict[str, Callable[[dict[str, Any]], api.Event]] = {
    "Discovery": parse_server_list,
    "NewRequest": parse_request,
    "Reply": parse_attempt_end,
    "Aborted": lambda message: api.RequestGone(require(message, "op-id", int)),
    "HeadReceived": lambda message: api.StreamStarted(
        require(message, "op-id", int), require(message, "send-no", int), require(message, "server", str)
    ),
    "CheckResult": lambda message: api.ProbeEnded(
        require(message, "server", str),
        require_choice(message, "status", OUTCOMES),
        optional_number(message, "lag"),
        parse_load_report(message),
    ),
    "CountResult": lambda message: api.CounterAnswer(
        require(message, "entry-name", int),
        require_choice(message, "status", OUTCOMES),
        optional_number(message, "level"),
        optional_number(message, "lag"),
    ),
    "DeadlineHit": lambda message: api.TimerFired(require(message, "token", int)),
    "FromPeer": lambda message: api.PeerMessage(require(message, "author", int), require(message, "octets", str)),
}


def encode(action: api.Action) -> dict[str, Any]:  # noqa: C901, PLR0911  one case per action
    """Return the JSON object of an action."""
    match action:
        case api.Send(id=request_id, server=server, limit=limit):
            return {"cmd": "Assign", "op-id": request_id, "server": server, "limit": limit}
        case api.Cancel(id=request_id, attempt=attempt):
            return {"cmd": "Withdraw", "op-id": request_id, "send-no": attempt}
        case api.Reject(id=request_id, advice=advice):
            return {"cmd": "TurnAway", "op-id": request_id, "retry-in": advice}
        case api.Fail(id=request_id):
            return {"cmd": "Abort", "op-id": request_id}
        case api.Count(name=name, units=units, lifetime=lifetime):
            return {"cmd": "AddAndGet", "amount": units, "expire-in": lifetime, "entry-name": name}
        case api.SetTimer(after=after, token=token):
            return {"cmd": "Sleep", "sleep-for": after, "token": token}
        case api.Probe(server=server):
            return {"cmd": "Inspect", "server": server}
        case api.WatchList():
            return {"cmd": "Track", "enable": True}
        case api.FetchList():
            return {"cmd": "Refresh"}
        case api.Log(text=text):
            return {"cmd": "Debug", "message": text}


class Host:
    """The gateways of this process, by name; they share no state."""

    def __init__(self) -> None:
        self.gateways: dict[str, Gateway] = {}

    def handle_group(self, now: float, who: str, messages: list[Any]) -> list[dict[str, Any]]:
        """Handle the messages of one gateway and return the decisions since it was last launched."""
        events: list[api.Event] = []
        actions: list[api.Action] = []

        def flush() -> None:
            if who in self.gateways and events:
                actions.extend(self.gateways[who].handle(now, events))
            events.clear()

        for message in messages:
            name = require(message, "cmd", str)
            if name in ("Launch", "Retire"):
                events.clear()
                actions.clear()
                self.gateways.pop(who, None)
                if name == "Launch":
                    seed = require(message, "rng-seed", int)
                    try:
                        settings = parse_settings(require(message, "profile-data", dict))
                    except ValueError as error:
                        raise WireError(f"field 'profile-data': {error}") from error
                    self.gateways[who] = Gateway(settings, seed)
            elif name in EVENT_PARSERS:
                events.append(EVENT_PARSERS[name](message))
        flush()
        return [encode(action) for action in actions]

    def handle_line(self, line: str) -> dict[str, Any]:
        """Handle one line of input and return the reply."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise WireError(f"invalid JSON in an input line: {error}") from error
        now, reply = require(batch, "ts"), []
        for group in require(batch, "groups", list):
            who = require(group, "who", str)
            messages = require(group, "happened", list)
            try:
                decisions = self.handle_group(now, who, messages)
            except WireError:
                raise
            except Exception as error:  # noqa: BLE001  any failure of the policy is reported to the simulator
                text = f"{type(error).__name__}: {error}"
                decisions = [{"cmd": "InternalError", "message": text}]
            if decisions:
                reply.append({"who": who, "decisions": decisions})
        return {"groups": reply}


def main() -> int:
    """Reply to each line until the input ends; return the exit status."""
    host = Host()
    for line in sys.stdin:
        if not line.strip():
            continue
        try:
            reply = host.handle_line(line)
        except WireError as error:
            print(f"hallhitch: {error}", file=sys.stderr)
            return 2
        sys.stdout.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
