"""The rules, checked on an event log alone: it knows nothing of the gateway, and virtual runs and real ones read alike.

Each broken rule comes with the events that show it, and no others.
"""

from __future__ import annotations

from collections import defaultdict

from msgspec import Struct

from hallhitch.lab.journal import Event

SLACK = 50.0  # ms by which each time limit grows, for what is on the way
DRAIN = 500.0  # ms after the word that a node drains, from which on nothing new goes there
MAY_HAVE_RUN = {"error", "reset", "timeout", "cancelled"}
RULES = (
    "one final answer",
    "in time",
    "one attempt at a time",
    "resends",
    "drains",
    "cold nodes",
    "own answer",
    "quotas",
)


class Broken(Struct, frozen=True):
    """A rule that was broken, and the smallest part of the log that shows it."""

    rule: str
    what: str
    excerpt: tuple[Event, ...]

    def __str__(self) -> str:
        lines = [f"{self.rule}: {self.what}", *(f"  {event}" for event in self.excerpt)]
        return "\n".join(lines)


def check(events: list[Event], beyond_most: float | None = None) -> list[Broken]:
    """All rules on a log. `beyond_most`: units beyond quotas, as a share of tries sent on, from which on the rule on
    quotas counts as broken; None where passage is open and the figure is only reported."""
    found = _answers(events) + _attempts(events) + _drains(events) + _cold(events)
    if beyond_most is not None:
        found += _quotas(events, beyond_most)
    return found


def _answers(events: list[Event]) -> list[Broken]:
    """Exactly one final answer, in time, and one's own."""
    found: list[Broken] = []
    asks: dict[int, Event] = {}
    answered: dict[int, Event] = {}
    left: set[int] = set()
    dead: dict[int, Event] = {}  # gateways by number: when they were killed
    lost: set[int] = set()  # taken by a gateway that died before the answer was due
    halted: set[int] = set()  # gateways that stand still
    held: set[int] = set()  # asked of one that stood still meanwhile: no answer can be in time
    for event in events:
        name = event[1]
        if name == "ask":
            asks[event[2]] = event
            if event[3] in dead:
                lost.add(event[2])
            if event[3] in halted:
                held.add(event[2])
        elif name == "leave":
            left.add(event[2])
        elif name == "gateway":
            if event[3] == "killed":
                dead[event[2]] = event
                lost.update(id for id, ask in asks.items() if ask[3] == event[2] and id not in answered)
            elif event[3] == "up":
                dead.pop(event[2], None)
                halted.discard(event[2])
            elif event[3] == "stopped":
                halted.add(event[2])
                held.update(id for id, ask in asks.items() if ask[3] == event[2] and id not in answered)
            elif event[3] == "resumed":
                halted.discard(event[2])
        elif name == "answer":
            ask = asks.get(event[2])
            if ask is None:
                found.append(Broken("one final answer", f"{event[2]} was never asked", (event,)))
            elif event[2] in answered:
                found.append(
                    Broken("one final answer", f"{event[2]} had one already", (ask, answered[event[2]], event))
                )
            else:
                answered[event[2]] = event
                if event[0] > ask[8] + SLACK and event[2] not in left and event[2] not in held:
                    found.append(Broken("in time", f"{event[2]} was due at {ask[8]}", (ask, event)))
                if event[3] == "served" and event[4] != event[2]:
                    found.append(Broken("own answer", f"{event[2]} was given the answer to {event[4]}", (ask, event)))
    excused = left | lost | held
    for id, ask in asks.items():
        if id not in answered and id not in excused:
            found.append(Broken("one final answer", f"{id} had none", (ask,)))
    return found


def _attempts(events: list[Event]) -> list[Broken]:
    """Never two attempts out; resends only as the class allows."""
    found: list[Broken] = []
    classes = events[0][2] if events else {}
    cells = {event[2]: event[4] for event in events if event[1] == "node"}
    asks: dict[int, Event] = {}
    out: dict[int, Event] = {}
    ran: dict[int, tuple[Event, Event]] = {}  # the first attempt that may have run: its send and its end
    for event in events:
        name = event[1]
        if name == "ask":
            asks[event[2]] = event
        elif name == "send":
            id = event[2]
            if id in out:
                found.append(Broken("one attempt at a time", f"{id} has two out", (out[id], event)))
            before = ran.get(id)
            if before is not None:
                kind = classes[asks[id][6]]
                effect, window = kind[3], kind[4]
                sent = before[0]
                if effect == "unsafe":
                    found.append(Broken("resends", f"{id} may not be repeated", (asks[id], *before, event)))
                elif effect == "keyed" and (
                    cells.get(sent[5]) != cells.get(event[5]) or event[0] - sent[0] > window + SLACK
                ):
                    found.append(
                        Broken(
                            "resends", f"{id} may be repeated in its pod and window alone", (asks[id], *before, event)
                        )
                    )
            out[id] = event
        elif name == "done":
            sent_ = out.get(event[2])
            if sent_ is not None and sent_[3] == event[3]:
                del out[event[2]]
                if event[4] in MAY_HAVE_RUN and event[2] not in ran:
                    ran[event[2]] = (sent_, event)
    return found


def _drains(events: list[Event]) -> list[Broken]:
    """Nothing new to a node once its gateway was told that it drains or is gone."""
    found: list[Broken] = []
    told: dict[tuple[int, str], Event] = {}
    halted: dict[int, float] = {}
    heard: dict[tuple[int, str], float] = {}  # by a gateway that stood still when the word came: once it went on
    for event in events:
        if event[1] == "told":
            if event[4] == "up":
                told.pop((event[2], event[3]), None)
                heard.pop((event[2], event[3]), None)
            else:
                told.setdefault((event[2], event[3]), event)
        elif event[1] == "gateway" and event[3] == "up":  # one that starts again holds an old list
            told = {key: word for key, word in told.items() if key[0] != event[2]}
        elif event[1] == "gateway" and event[3] == "stopped":
            halted[event[2]] = event[0]
        elif event[1] == "gateway" and event[3] == "resumed":
            since: float = halted.pop(event[2], event[0])
            heard |= {
                key: event[0] for key, word in told.items() if key[0] == event[2] and word[0] + DRAIN + SLACK > since
            }
        elif event[1] == "send":
            place = event[4], event[5]
            word = told.get(place)
            if word is not None and event[0] > max(word[0], heard.get(place, 0.0)) + DRAIN + SLACK:
                found.append(Broken("drains", f"gateway {event[4]} sent to {event[5]}", (word, event)))
    return found


def _cold(events: list[Event]) -> list[Broken]:
    """No cold node is sent more than it can bear, by all gateways together."""
    found: list[Broken] = []
    if not events:
        return found
    share, window, multiple = events[0][4]
    born: dict[str, Event] = {}
    work: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if event[1] == "node":
            if event[3] == "up" and event[6] > 0:
                born[event[2]] = event
            elif event[3] == "fell":
                found.append(Broken("cold nodes", f"{event[2]} fell over", (born[event[2]], event)))
                born.pop(event[2], None)
            else:
                born.pop(event[2], None)
        elif event[1] == "arrive" and event[4] in born:
            start = born[event[4]]
            if event[0] > start[0] + start[6]:
                del born[event[4]]
                continue
            held = work[event[4]]
            held.append(event)
            while held[0][0] < event[0] - window:
                held.pop(0)
            full = start[5] / share
            now = full * (share + (1 - share) * (event[0] - start[0]) / start[6])
            if sum(e[5] for e in held) > multiple * now * window * 1.001:
                found.append(
                    Broken(
                        "cold nodes", f"{event[4]} was sent more than {multiple} times what it could do", (start, *held)
                    )
                )
                del born[event[4]]
    return found


def _quotas(events: list[Event], most: float) -> list[Broken]:
    """Units beyond each quota, by all gateways together, within a stated share."""
    from hallhitch.lab.figures import beyond

    sent = beyond(events, events[0][3])
    over = [id for id, out in sent.items() if out]
    if len(over) <= most * max(1, len(sent)):
        return []
    first = over[0]
    excerpt = tuple(event for event in events if event[1] in ("ask", "arrive") and event[2] == first)
    return [Broken("quotas", f"{len(over)} of {len(sent)} tries sent on were beyond their quotas", excerpt)]
