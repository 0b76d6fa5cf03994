"""Translates between the simulator's wire and the interface of the decision module; decides nothing."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any

from hallhitch.decision import api
from hallhitch.decision.policy import Gateway
from hallhitch.decision.settings import WireError, need, number, section, settings_of, word

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
STATES = {"healthy": "up", "cordoned": "drain", "deregistered": "gone"}
SCOPES = {"Partial": "changes", "Complete": "full", "Persisted": "saved", "Error": "failed"}


def entry_of(entry: dict[str, Any]) -> api.ServerEntry:
    """Read one line of the server list."""
    return api.ServerEntry(
        need(entry, "server", str),
        word(entry, "condition", STATES),
        int(number(entry, "campus")),
        int(number(entry, "block")),
        number(entry, "online-since"),
        number(entry, "heft", 1.0),
    )


def report_of(message: dict[str, Any]) -> dict[str, float]:
    """Read a load report, if one came along."""
    return {name: float(value) for name, value in section(message, "stats").items() if value is not None}


def list_of(m: dict[str, Any]) -> api.ServerList:
    """Read news of the server list."""
    entries = m.get("entries") or []
    return api.ServerList(word(m, "scope", SCOPES), tuple(entry_of(e) for e in entries))


def request_of(m: dict[str, Any]) -> api.Request:
    """Read an arriving request."""
    flags = int(number(m, "attrs"))
    return api.Request(
        need(m, "op-id", int),
        need(m, "client-id", str),
        need(m, "terms", int),
        need(m, "qos", int),
        number(m, "quota-units", 1.0),
        need(m, "patience-left"),
        number(m, "set-size", 1.0),
        bool(flags & 4),
        bool(flags & 2),
    )


def outcome_of(m: dict[str, Any]) -> api.AttemptEnded:
    """Read the end of an attempt."""
    return api.AttemptEnded(
        need(m, "op-id", int),
        need(m, "send-no", int),
        need(m, "server", str),
        word(m, "status", OUTCOMES),
        number(m, "lag"),
        bool(m.get("ended")),
        number(m, "quota-use"),
        number(m, "true-units"),
        report_of(m),
    )


EVENTS: dict[str, Callable[[dict[str, Any]], api.Event]] = {
    "Discovery": list_of,
    "NewRequest": request_of,
    "Reply": outcome_of,
    "Aborted": lambda m: api.RequestGone(need(m, "op-id", int)),
    "HeadReceived": lambda m: api.StreamStarted(need(m, "op-id", int), need(m, "send-no", int), need(m, "server", str)),
    "CheckResult": lambda m: api.ProbeEnded(
        need(m, "server", str), word(m, "status", OUTCOMES), number(m, "lag"), report_of(m)
    ),
    "CountResult": lambda m: api.CounterAnswer(
        need(m, "entry-name", int), word(m, "status", OUTCOMES), number(m, "level"), number(m, "lag")
    ),
    "DeadlineHit": lambda m: api.TimerFired(need(m, "token", int)),
    "FromPeer": lambda m: api.PeerMessage(need(m, "author", int), need(m, "octets", str)),
}


def encode(action: api.Action) -> dict[str, Any]:  # noqa: C901, PLR0911  one case after the other
    """Write one action in the words of the wire."""
    match action:
        case api.Send(id=i, server=server, limit=limit):
            return {"cmd": "Assign", "op-id": i, "server": server, "limit": limit}
        case api.Cancel(id=i, attempt=attempt):
            return {"cmd": "Withdraw", "op-id": i, "send-no": attempt}
        case api.Refuse(id=i, advice=advice):
            return {"cmd": "TurnAway", "op-id": i, "retry-in": advice}
        case api.Fail(id=i):
            return {"cmd": "Abort", "op-id": i}
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
    """The gateways hosted by this process; they share nothing."""

    def __init__(self) -> None:
        self.gateways: dict[str, Gateway] = {}

    def group(self, now: float, who: str, messages: list[Any]) -> list[dict[str, Any]]:
        """Hand one instance its events, life by life."""
        events: list[api.Event] = []
        actions: list[api.Action] = []

        def flush() -> None:
            if who in self.gateways and events:
                actions.extend(self.gateways[who].handle(now, events))
            events.clear()

        for message in messages:
            name = need(message, "cmd", str)
            if name in ("Launch", "Retire"):
                events.clear()
                actions.clear()
                self.gateways.pop(who, None)
                if name == "Launch":
                    seed = need(message, "rng-seed", int)
                    try:
                        settings = settings_of(need(message, "profile-data", dict))
                    except ValueError as error:
                        raise WireError(f"field 'profile-data': {error}") from error
                    self.gateways[who] = Gateway(settings, seed)
            elif name in EVENTS:
                events.append(EVENTS[name](message))
        flush()
        return [encode(action) for action in actions]

    def batch(self, line: str) -> dict[str, Any]:
        """Answer one line of input."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise WireError(f"a line is not JSON: {error}") from error
        now, reply = need(batch, "ts"), []
        for group in need(batch, "groups", list):
            who = need(group, "who", str)
            messages = need(group, "happened", list)
            try:
                decisions = self.group(now, who, messages)
            except WireError:
                raise
            except Exception as error:  # noqa: BLE001  whatever failed in the policy, the simulator is told in words
                text = f"{type(error).__name__}: {error}"
                decisions = [{"cmd": "InternalError", "message": text}]
            if decisions:
                reply.append({"who": who, "decisions": decisions})
        return {"groups": reply}


def main() -> int:
    """Answer every line until the input ends."""
    host = Host()
    for line in sys.stdin:
        if not line.strip():
            continue
        try:
            reply = host.batch(line)
        except WireError as error:
            print(f"hallhitch: {error}", file=sys.stderr)
            return 2
        sys.stdout.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
