"""The load of nodes over time, read from a journal: what each could do, and the requests sent to and served by it.

A node that restarts counts as another node. Times in ms; tables have a row a node and a column a moment.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, Final

import numpy as np
from numpy.typing import NDArray

from hallhitch.lab.journal import Event

HEAT_MAP_STEP_MS: Final = 500.0
Numbers = NDArray[np.floating[Any]]


class NodeTimeline:
    """When each node was up, and how much it could do then."""

    def __init__(self, events: list[Event]) -> None:
        has_header = bool(events) and events[0][1] == "world"
        self._initial_ratio = float(events[0][4][0]) if has_header else 1.0
        self.names: list[str] = []
        self.up_at: list[float] = []
        self.down_at: list[float] = []
        self._full_capacity: list[float] = []
        self._warm_up_ms: list[float] = []
        index_by_name: dict[str, int] = {}
        for event in events:
            if event[1] != "node":
                continue
            at, _, name, state, _, capacity, warm_up_ms = event
            if state == "up":
                index_by_name[name] = len(self.names)
                self.names.append(name)
                self.up_at.append(at)
                self.down_at.append(math.inf)
                self._warm_up_ms.append(warm_up_ms)
                self._full_capacity.append(capacity / (self._initial_ratio if warm_up_ms else 1.0))
            else:
                index = index_by_name[name]
                self.down_at[index] = min(self.down_at[index], at)

    def capacity(self, moments: Numbers) -> Numbers:
        """Cores' worth of work that each node can do at these moments; 0 where it is not up."""
        up_at, down_at, warm_up_ms, full_capacity = (
            np.asarray(column, dtype=float)[:, None]
            for column in (self.up_at, self.down_at, self._warm_up_ms, self._full_capacity)
        )
        age_ms = moments[None, :] - up_at
        with np.errstate(divide="ignore", invalid="ignore"):
            progress = np.clip(age_ms / warm_up_ms, 0, 1)
            warmth = np.where(warm_up_ms > 0, self._initial_ratio + (1 - self._initial_ratio) * progress, 1.0)
        is_up = (age_ms >= 0) & (moments[None, :] < down_at)
        capacity: Numbers = np.where(is_up, full_capacity * warmth, 0.0)
        return capacity


class RequestTable:
    """The requests sent to nodes and those that arrived there, each in order.

    `sent_at`, `sent_by` and `sent_to` have an entry for each send: time, gateway, and index of the node; `arrived_at`,
    `arrived_to` and `ended_at` have one for each arrival.
    """

    def __init__(self, events: list[Event]) -> None:
        sends: list[tuple[float, int, int]] = []
        arrivals: list[list[float]] = []  # time, node, and end
        unfinished: dict[tuple[int, str], list[float]] = {}  # arrivals by request and node
        node_of_attempt: dict[tuple[int, int], str] = {}
        index_by_name: dict[str, int] = {}
        starts = 0
        for event in events:
            name = event[1]
            if name == "node" and event[3] == "up":
                index_by_name[event[2]] = starts
                starts += 1
            elif name == "send" and event[5] in index_by_name:
                sends.append((event[0], event[4], index_by_name[event[5]]))
            elif name == "arrive" and event[4] in index_by_name:
                node_of_attempt[event[2], event[3]] = event[4]
                arrival = unfinished[event[2], event[4]] = [event[0], index_by_name[event[4]], math.inf]
                arrivals.append(arrival)
            elif name == "run":  # complete at the node; its answer is on the way
                _end(unfinished, event[2], event[3], event[0])
            elif name == "done":
                _end(unfinished, event[2], node_of_attempt.pop((event[2], event[3]), ""), event[0])
        arrival_rows = np.asarray(arrivals, dtype=float).reshape(-1, 3)
        self.arrived_at, self.ended_at = arrival_rows[:, 0], arrival_rows[:, 2]
        self.arrived_to = arrival_rows[:, 1].astype(int)
        send_rows = np.asarray(sends, dtype=float).reshape(-1, 3)
        self.sent_at = send_rows[:, 0]
        self.sent_by, self.sent_to = send_rows[:, 1].astype(int), send_rows[:, 2].astype(int)


def _end(unfinished: dict[tuple[int, str], list[float]], id: int, node: str, at: float) -> None:
    """Set the end of an arrival, if it has none yet."""
    arrival = unfinished.pop((id, node), None)
    if arrival is not None:
        arrival[2] = at


@dataclass(frozen=True, slots=True)
class HeatMap:
    """Requests held by capacity: nodes in the order of their starts, moments, and values; nan where not up."""

    names: list[str]
    moments: Numbers
    values: Numbers


def count_held(requests: RequestTable, nodes: NodeTimeline, moments: Numbers) -> Numbers:
    """Count the requests that each node holds, in service or queued, at these moments."""
    changes = np.zeros((len(nodes.names), len(moments) + 1))
    np.add.at(changes, (requests.arrived_to, np.searchsorted(moments, requests.arrived_at)), 1.0)
    np.add.at(changes, (requests.arrived_to, np.searchsorted(moments, requests.ended_at)), -1.0)
    held: Numbers = changes.cumsum(axis=1)[:, :-1]
    return held


def make_heat_map(events: list[Event], step_ms: float = HEAT_MAP_STEP_MS) -> HeatMap:
    """Make the heat map of a run."""
    nodes = NodeTimeline(events)
    moments = np.arange(step_ms / 2, max(step_ms, events[-1][0]), step_ms)
    capacity = nodes.capacity(moments)
    with np.errstate(divide="ignore", invalid="ignore"):
        values = np.where(capacity > 0, count_held(RequestTable(events), nodes, moments) / capacity, np.nan)
    return HeatMap(nodes.names, moments, values)
