"""Checks a run's journal against the rules that gateways must keep.

The checker reads nothing but the journal, so the same checks apply to runs in virtual time and to runs on sockets. Each
violation carries only the events that prove it. Times in ms.
"""

from __future__ import annotations

from collections import defaultdict, deque
from typing import Any, Final

from msgspec import Struct

from hallhitch.lab.figures import find_beyond_quota
from hallhitch.lab.journal import Event

SLACK_MS: Final = 50.0  # added to each time limit, for messages in transit
DRAIN_GRACE_MS: Final = 500.0  # from when a gateway learns that a node drains until it must send nothing there
WARM_UP_TOLERANCE: Final = 1.001  # factor that allows for the rounding of work in the journal
MAY_HAVE_RUN: Final = {"error", "reset", "timeout", "cancelled"}  # outcomes after which an attempt may have run
RULES: Final = (
    "one final answer",
    "in time",
    "one attempt at a time",
    "resends",
    "drains",
    "cold nodes",
    "own answer",
    "quotas",
)


class Violation(Struct, frozen=True):
    """A violation of a rule, with the smallest part of the journal that proves it."""

    rule: str
    detail: str
    excerpt: tuple[Event, ...]

    def __str__(self) -> str:
        lines = [f"{self.rule}: {self.detail}", *(f"  {event}" for event in self.excerpt)]
        return "\n".join(lines)


def check(events: list[Event], max_beyond_ratio: float | None = None) -> list[Violation]:
    """Check a journal against all rules.

    `max_beyond_ratio` is the highest ratio of forwarded tries beyond their quotas that the rule on quotas allows. It is
    None where gateways may admit such tries deliberately and the ratio is only reported.
    """
    violations = []
    for rule in (_AnswerRules(), _AttemptRules(), _DrainRule(), _WarmUpRule()):
        for event in events:
            rule.on_event(event)
        violations += rule.violations()
    if max_beyond_ratio is not None:
        violations += _quota_violations(events, max_beyond_ratio)
    return violations


class _AnswerRules:
    """Each request gets exactly one final answer, in time, and not the answer to another request.

    A request may stay unanswered if its client left or if its gateway was killed or suspended while it was open. A
    request in a suspended gateway may also be answered late.
    """

    def __init__(self) -> None:
        self._violations: list[Violation] = []
        self._asks: dict[int, Event] = {}
        self._answers: dict[int, Event] = {}
        self._client_left: set[int] = set()
        self._dead_gateways: set[int] = set()
        self._suspended_gateways: set[int] = set()
        self._in_dead_gateway: set[int] = set()
        self._in_suspended_gateway: set[int] = set()

    def on_event(self, event: Event) -> None:
        """Process the next event of the journal."""
        name = event[1]
        if name == "ask":
            self._on_ask(event)
        elif name == "leave":
            self._client_left.add(event[2])
        elif name == "gateway":
            self._on_gateway(event[2], event[3])
        elif name == "answer":
            self._on_answer(event)

    def violations(self) -> list[Violation]:
        """Return the violations found, with unanswered requests last."""
        excused = self._client_left | self._in_dead_gateway | self._in_suspended_gateway
        unanswered = [
            Violation("one final answer", f"{id} had none", (ask,))
            for id, ask in self._asks.items()
            if id not in self._answers and id not in excused
        ]
        return self._violations + unanswered

    def _on_ask(self, ask: Event) -> None:
        id, gateway = ask[2], ask[3]
        self._asks[id] = ask
        if gateway in self._dead_gateways:
            self._in_dead_gateway.add(id)
        if gateway in self._suspended_gateways:
            self._in_suspended_gateway.add(id)

    def _on_gateway(self, gateway: int, state: str) -> None:
        if state == "killed":
            self._dead_gateways.add(gateway)
            self._in_dead_gateway.update(self._unanswered_at(gateway))
        elif state == "up":
            self._dead_gateways.discard(gateway)
            self._suspended_gateways.discard(gateway)
        elif state == "stopped":
            self._suspended_gateways.add(gateway)
            self._in_suspended_gateway.update(self._unanswered_at(gateway))
        elif state == "resumed":
            self._suspended_gateways.discard(gateway)

    def _unanswered_at(self, gateway: int) -> list[int]:
        return [id for id, ask in self._asks.items() if ask[3] == gateway and id not in self._answers]

    def _on_answer(self, answer: Event) -> None:
        at, _, id, status, echo = answer
        ask = self._asks.get(id)
        if ask is None:
            self._add("one final answer", f"{id} was never asked", answer)
            return
        if id in self._answers:
            self._add("one final answer", f"{id} had one already", ask, self._answers[id], answer)
            return
        self._answers[id] = answer
        ends_at = ask[8]
        may_be_late = id in self._client_left or id in self._in_suspended_gateway
        if at > ends_at + SLACK_MS and not may_be_late:
            self._add("in time", f"{id} was due at {ends_at}", ask, answer)
        if status == "served" and echo != id:
            self._add("own answer", f"{id} was given the answer to {echo}", ask, answer)

    def _add(self, rule: str, detail: str, *excerpt: Event) -> None:
        self._violations.append(Violation(rule, detail, excerpt))


class _AttemptRules:
    """A request has at most one attempt in flight, and is retried only as its class allows."""

    def __init__(self) -> None:
        self._violations: list[Violation] = []
        self._classes: dict[str, Any] = {}
        self._cells: dict[str, int] = {}
        self._asks: dict[int, Event] = {}
        self._in_flight: dict[int, Event] = {}  # by request: the event `send` of its attempt
        self._may_have_run: dict[int, tuple[Event, Event]] = {}  # by request: send and done of the first one

    def on_event(self, event: Event) -> None:
        """Process the next event of the journal."""
        name = event[1]
        if name == "world":
            self._classes = event[2]
        elif name == "node":
            self._cells[event[2]] = event[4]
        elif name == "ask":
            self._asks[event[2]] = event
        elif name == "send":
            self._on_send(event)
        elif name == "done":
            self._on_done(event)

    def violations(self) -> list[Violation]:
        """Return the violations found."""
        return self._violations

    def _on_send(self, send: Event) -> None:
        id = send[2]
        if id in self._in_flight:
            excerpt = (self._in_flight[id], send)
            self._violations.append(Violation("one attempt at a time", f"{id} has two out", excerpt))
        previous = self._may_have_run.get(id)
        if previous is not None:
            self._check_retry(send, previous)
        self._in_flight[id] = send

    def _check_retry(self, send: Event, previous: tuple[Event, Event]) -> None:
        id = send[2]
        ask, first_send = self._asks[id], previous[0]
        request_class = self._classes[ask[6]]
        effect, window_ms = request_class[3], request_class[4]
        excerpt = (ask, *previous, send)
        if effect == "unsafe":
            self._violations.append(Violation("resends", f"{id} may not be repeated", excerpt))
        elif effect == "keyed":
            is_other_pod = self._cells.get(first_send[5]) != self._cells.get(send[5])
            is_past_window = send[0] - first_send[0] > window_ms + SLACK_MS
            if is_other_pod or is_past_window:
                detail = f"{id} may be repeated in its pod and window alone"
                self._violations.append(Violation("resends", detail, excerpt))

    def _on_done(self, done: Event) -> None:
        _, _, id, number, outcome = done
        send = self._in_flight.get(id)
        if send is None or send[3] != number:
            return
        del self._in_flight[id]
        if outcome in MAY_HAVE_RUN and id not in self._may_have_run:
            self._may_have_run[id] = (send, done)


class _DrainRule:
    """A gateway stops sending to a node within a grace period after it learns that the node drains or is gone."""

    def __init__(self) -> None:
        self._violations: list[Violation] = []
        self._drain_notices: dict[tuple[int, str], Event] = {}  # by gateway and node: the event `told`
        self._suspended_at: dict[int, float] = {}
        self._learned_at: dict[tuple[int, str], float] = {}  # for gateways suspended meanwhile: when they resumed

    def on_event(self, event: Event) -> None:
        """Process the next event of the journal."""
        name = event[1]
        if name == "told":
            self._on_notice(event)
        elif name == "gateway":
            self._on_gateway(event[0], event[2], event[3])
        elif name == "send":
            self._on_send(event)

    def violations(self) -> list[Violation]:
        """Return the violations found."""
        return self._violations

    def _on_notice(self, notice: Event) -> None:
        _, _, gateway, node, state = notice
        if state == "up":
            self._drain_notices.pop((gateway, node), None)
            self._learned_at.pop((gateway, node), None)
        else:
            self._drain_notices.setdefault((gateway, node), notice)

    def _on_gateway(self, now: float, gateway: int, state: str) -> None:
        if state == "up":  # a restarted gateway starts with an old list
            self._drain_notices = {key: notice for key, notice in self._drain_notices.items() if key[0] != gateway}
        elif state == "stopped":
            self._suspended_at[gateway] = now
        elif state == "resumed":
            suspended_at = self._suspended_at.pop(gateway, now)
            for key, notice in self._drain_notices.items():
                if key[0] == gateway and notice[0] + DRAIN_GRACE_MS + SLACK_MS > suspended_at:
                    self._learned_at[key] = now

    def _on_send(self, send: Event) -> None:
        gateway, node = send[4], send[5]
        notice = self._drain_notices.get((gateway, node))
        if notice is None:
            return
        learned_at = max(notice[0], self._learned_at.get((gateway, node), 0.0))
        if send[0] > learned_at + DRAIN_GRACE_MS + SLACK_MS:
            self._violations.append(Violation("drains", f"gateway {gateway} sent to {node}", (notice, send)))


class _WarmUpRule:
    """All gateways together send a warming node at most a multiple of its capacity within each window."""

    def __init__(self) -> None:
        self._violations: list[Violation] = []
        self._initial_ratio = 1.0  # of its full capacity that a node starts with
        self._window_ms = 0.0
        self._max_multiple = 0.0
        self._warming: dict[str, Event] = {}  # by node: the event `node` of its start
        self._arrivals: dict[str, deque[Event]] = defaultdict(deque)  # by node: the arrivals within the window

    def on_event(self, event: Event) -> None:
        """Process the next event of the journal."""
        name = event[1]
        if name == "world":
            self._initial_ratio, self._window_ms, self._max_multiple = event[4]
        elif name == "node":
            self._on_node(event)
        elif name == "arrive" and event[4] in self._warming:
            self._on_arrival(event, self._warming[event[4]])

    def violations(self) -> list[Violation]:
        """Return the violations found."""
        return self._violations

    def _on_node(self, event: Event) -> None:
        _, _, node, state, _, _, warm_up_ms = event
        if state == "up" and warm_up_ms > 0:
            self._warming[node] = event
            return
        if state == "fell":
            excerpt = (self._warming[node], event)
            self._violations.append(Violation("cold nodes", f"{node} fell over", excerpt))
        self._warming.pop(node, None)

    def _on_arrival(self, arrival: Event, start: Event) -> None:
        now, node = arrival[0], arrival[4]
        started_at, initial_capacity, warm_up_ms = start[0], start[5], start[6]
        if now > started_at + warm_up_ms:
            del self._warming[node]
            return
        arrivals = self._arrivals[node]
        arrivals.append(arrival)
        while arrivals[0][0] < now - self._window_ms:
            arrivals.popleft()
        full_capacity = initial_capacity / self._initial_ratio
        progress = (now - started_at) / warm_up_ms
        capacity = full_capacity * (self._initial_ratio + (1 - self._initial_ratio) * progress)
        max_work_ms = self._max_multiple * capacity * self._window_ms * WARM_UP_TOLERANCE
        if sum(event[5] for event in arrivals) > max_work_ms:
            detail = f"{node} was sent more than {self._max_multiple} times what it could do"
            self._violations.append(Violation("cold nodes", detail, (start, *arrivals)))
            del self._warming[node]


def _quota_violations(events: list[Event], max_beyond_ratio: float) -> list[Violation]:
    """Check that forwarded tries beyond their quotas, over all gateways, stay within the given ratio."""
    is_beyond = find_beyond_quota(events, events[0][3])
    beyond_ids = [id for id, is_over in is_beyond.items() if is_over]
    if len(beyond_ids) <= max_beyond_ratio * max(1, len(is_beyond)):
        return []
    first = beyond_ids[0]
    excerpt = tuple(event for event in events if event[1] in ("ask", "arrive") and event[2] == first)
    detail = f"{len(beyond_ids)} of {len(is_beyond)} tries sent on were beyond their quotas"
    return [Violation("quotas", detail, excerpt)]
