"""How evenly work lies on the nodes, read from an event log alone: by time scale, idle nodes, herds, moves.

All is relative to what a node can do at that moment (its capacity, and its warmth while it is cold), and to nodes that
are up. What a fault takes from a node is not in the log, so a slow node counts with all its cores: that work goes round
it shows as unevenness, as it should where the fault is the subject.
"""

from __future__ import annotations

import bisect
import math
from typing import Any

import numpy as np
from msgspec import Struct
from numpy.typing import NDArray

from hallhitch.lab.journal import Event

MOMENT, SECOND = 50.0, 1_000.0  # ms: the two short scales
LINE = 3  # requests in work, for a node of mean ability, from which on its newest waits for others
CONNECT = 5.0  # ms until a new connection carries its request: sends by others in that time cannot be seen anywhere
USED = 10_000.0  # ms for which a gateway counts as using a node that it sent to
CAUSE = 10_000.0  # ms after a change of nodes, gateways or faults in which a move of work has a cause
DRAWS = 200  # of chance, to compare herds with
FIRST = 100.0  # ms in which first sends to a node that came are a rush
Numbers = NDArray[np.floating[Any]]


class Arrival(Struct, frozen=True):
    """How gateways came to a node that started while the run went on."""

    node: str
    met: float  # ms until half of the gateways that came within 10 s had sent to it
    rush: float  # of them, how many had their first send in one tenth of a second with another: 0 none, 1 all
    fair: float  # ms until its work in a second was first at least half of what it could do by others' measure


class Evenness(Struct, frozen=True):
    """Figures of one run. Ratios are to the mean over nodes by what they can do; CV: standard deviation by mean."""

    moment_cv: float  # of requests in work, over nodes, mean over moments
    idle: float  # share of nodes with nothing in work, mean over moments
    idle_beside_line: float  # the same, of moments and nodes at which another had a line
    second_cv: float  # of requests sent in a second
    second_most: float  # fullest node of a second, mean over seconds
    run_least: float  # of the whole run, nodes that were up all the while
    run_most: float
    herd_most: int  # most sends by different gateways to one node within one connect time
    herd_pairs: float  # pairs of such sends, against what as many sends would make by chance alone
    herd_chance: float  # share of draws by chance with as many pairs or more: small means a herd
    moves: float  # share of sends, without a cause, to a node that the gateway had not used for 10 s
    arrivals: list[Arrival]


class Nodes:
    """When each node was up, and how much it could do then; one that starts again is another one."""

    def __init__(self, events: list[Event]) -> None:
        self.cold_from = float(events[0][4][0]) if events and events[0][1] == "world" else 1.0
        self.names: list[str] = []
        self.came: list[float] = []
        self.gone: list[float] = []
        self._full: list[float] = []
        self._cold: list[float] = []
        number: dict[str, int] = {}
        for event in events:
            if event[1] != "node":
                continue
            if event[3] == "up":
                number[event[2]] = len(self.names)
                self.names.append(event[2])
                self.came.append(event[0])
                self.gone.append(math.inf)
                self._cold.append(event[6])
                self._full.append(event[5] / (self.cold_from if event[6] else 1.0))
            else:
                self.gone[number[event[2]]] = min(self.gone[number[event[2]]], event[0])

    def ability(self, at: Numbers) -> Numbers:
        """Cores' worth at these times: a row a node, 0 where it is not up."""
        came, gone, cold, full = (
            np.asarray(x, dtype=float)[:, None] for x in (self.came, self.gone, self._cold, self._full)
        )
        age = at[None, :] - came
        with np.errstate(divide="ignore", invalid="ignore"):
            warm = np.where(cold > 0, self.cold_from + (1 - self.cold_from) * np.clip(age / cold, 0, 1), 1.0)
        found: Numbers = np.where((age >= 0) & (at[None, :] < gone), full * warm, 0.0)
        return found


class Sends:
    """What came to nodes, in order: when, from which gateway, to which node, and when its work there was over."""

    def __init__(self, events: list[Event]) -> None:
        begun: list[tuple[float, int, int]] = []
        came: list[list[float]] = []
        open_: dict[tuple[int, str], list[float]] = {}
        at: dict[tuple[int, int], str] = {}
        number: dict[str, int] = {}  # a node that starts again is another one
        starts = 0
        for event in events:
            name = event[1]
            if name == "node" and event[3] == "up":
                number[event[2]] = starts
                starts += 1
            elif name == "send" and event[5] in number:
                begun.append((event[0], event[4], number[event[5]]))
            elif name == "arrive" and event[4] in number:
                at[event[2], event[3]] = event[4]
                row = open_[event[2], event[4]] = [event[0], number[event[4]], math.inf]
                came.append(row)
            elif name == "run":  # done at the node; its answer is on the way
                if (held := open_.pop((event[2], event[3]), None)) is not None:
                    held[2] = event[0]
            elif name == "done":
                node = at.pop((event[2], event[3]), "")
                if (held := open_.pop((event[2], node), None)) is not None:
                    held[2] = event[0]
        rows = np.asarray(came, dtype=float).reshape(-1, 3)
        self.at, self.node, self.over = rows[:, 0], rows[:, 1].astype(int), rows[:, 2]
        sent = np.asarray(begun, dtype=float).reshape(-1, 3)
        self.sent, self.gateway, self.to = sent[:, 0], sent[:, 1].astype(int), sent[:, 2].astype(int)


def in_work(sends: Sends, nodes: Nodes, moments: Numbers) -> Numbers:
    """Requests in work and waiting: a row a node, a column a moment."""
    change = np.zeros((len(nodes.names), len(moments) + 1))
    np.add.at(change, (sends.node, np.searchsorted(moments, sends.at)), 1.0)
    np.add.at(change, (sends.node, np.searchsorted(moments, sends.over)), -1.0)
    found: Numbers = change.cumsum(axis=1)[:, :-1]
    return found


def heat(events: list[Event], step: float = SECOND / 2) -> tuple[list[str], Numbers, Numbers]:
    """For a chart: nodes as they came, moments, and what is in work by what a node can do; nan while it is not up."""
    nodes = Nodes(events)
    moments = np.arange(step / 2, max(step, events[-1][0]), step)
    able = nodes.ability(moments)
    with np.errstate(divide="ignore", invalid="ignore"):
        found = np.where(able > 0, in_work(Sends(events), nodes, moments) / able, np.nan)
    return nodes.names, moments, found


def _spread(counts: Numbers, able: Numbers) -> tuple[float, float]:
    """Means over columns of the CV and of the fullest by the mean; counts by what each node can do, those up alone."""
    if not able.size:
        return 0.0, 1.0
    up = able > 0
    many = up.sum(axis=0)
    with np.errstate(divide="ignore", invalid="ignore"):
        each = np.where(up, counts / able, 0.0)
        mean = np.where(up, counts, 0.0).sum(axis=0) / able.sum(axis=0)
        off = np.sqrt((np.where(up, each - mean, 0.0) ** 2 * able).sum(axis=0) / able.sum(axis=0))
        some = (many > 1) & (mean > 0)
        cv, most = off[some] / mean[some], each.max(axis=0)[some] / mean[some]
    return (float(cv.mean()), float(most.mean())) if some.any() else (0.0, 1.0)


def _idle(work: Numbers, able: Numbers) -> tuple[float, float]:
    if not able.size:
        return 0.0, 0.0
    up = able > 0
    empty = up & (work == 0)
    share = empty.sum(axis=0) / np.maximum(1, up.sum(axis=0))
    usual = able[up].mean() if up.any() else 1.0
    line = (up & (work >= LINE * able / usual) & (work > 1)).any(axis=0)
    return float(share.mean()), float(np.where(line, share, 0.0).mean())


def _herds(sends: Sends, nodes: Nodes, end: float, seed: int) -> tuple[int, float, float]:
    """Most sends by different gateways to a node in one connect time, pairs against chance, and how rare that is."""
    if not len(sends.sent):
        return 0, 1.0, 1.0
    window = (sends.sent / CONNECT).astype(np.int64)
    # One gateway's several sends to a node in a window are its own doing, no herd.
    groups = np.unique(np.stack([window, sends.to, sends.gateway]), axis=1)
    _, counts = np.unique(groups[:2], axis=1, return_counts=True)
    pairs = float((counts * (counts - 1) / 2).sum())
    # Chance: as many sends in each window, each to a node by what it could do in that second.
    rng = np.random.default_rng(seed)
    seconds = np.arange(SECOND / 2, end + SECOND, SECOND)
    able = nodes.ability(seconds)
    shares = np.cumsum(able / np.maximum(able.sum(axis=0), 1e-9), axis=0)
    column = np.minimum((sends.sent / SECOND).astype(int), len(seconds) - 1)
    chosen_by = shares[:, column]
    size, drawn = len(nodes.names), []
    for _ in range(DRAWS):
        roll = rng.random(len(column))
        to = (chosen_by < roll).sum(axis=0).clip(max=size - 1)
        _, many = np.unique(window * size + to, return_counts=True)
        drawn.append(float((many * (many - 1) / 2).sum()))
    usual = float(np.mean(drawn))
    return int(counts.max()), pairs / usual if usual else 1.0, float(np.mean(np.asarray(drawn) >= pairs))


def _moves(events: list[Event], sends: Sends) -> float:
    """Share of sends to a node not used for long though nothing had changed."""
    causes = [event[0] for event in events if event[1] in ("fault", "told", "node", "gateway")]
    last: dict[tuple[int, int], float] = {}
    moved = counted = 0
    for at, gateway, node in zip(sends.sent.tolist(), sends.gateway.tolist(), sends.to.tolist(), strict=True):
        before = last.get((gateway, node))
        last[gateway, node] = at
        nearest = bisect.bisect_right(causes, at) - 1
        if nearest >= 0 and at - causes[nearest] < CAUSE:
            continue
        counted += 1
        moved += before is None or at - before > USED
    return moved / counted if counted else 0.0


def _arrivals(nodes: Nodes, sends: Sends, begin: float, end: float) -> list[Arrival]:
    found = []
    for number, came in enumerate(nodes.came):
        until = min(came + CAUSE, nodes.gone[number], end)
        if came <= begin or until - came < SECOND:
            continue
        here = (sends.to == number) & (sends.sent >= came) & (sends.sent < until)
        _, first = np.unique(sends.gateway[here], return_index=True)
        firsts = np.sort(sends.sent[here][first]) - came
        if not len(firsts):
            found.append(Arrival(nodes.names[number], math.inf, 0.0, math.inf))
            continue
        together = max(np.searchsorted(firsts, firsts + FIRST) - np.arange(len(firsts))) - 1
        fair = math.inf
        for at in np.arange(came, until - SECOND + 1, SECOND / 4):
            in_it = (sends.sent >= at) & (sends.sent < at + SECOND)
            able = nodes.ability(np.asarray([at + SECOND / 2]))[:, 0]
            part = able[number] / max(able.sum(), 1e-9)
            if (sends.to[in_it] == number).sum() >= 0.5 * part * in_it.sum() > 0:
                fair = float(at - came)
                break
        rush = float(together / max(1, len(firsts) - 1))
        found.append(Arrival(nodes.names[number], float(np.median(firsts)), rush, fair))
    return found


def evenness(events: list[Event], seed: int = 1) -> Evenness:
    """All figures of a run; `seed` is of the draws that herds are compared with."""
    nodes = Nodes(events)
    sends = Sends(events)
    # Processes take a while to start, with the log begun and nothing asked.
    begin = next((float(event[0]) for event in events if event[1] in ("ask", "send")), 0.0)
    begin = begin if begin > SECOND else 0.0
    end = begin + float(events[0][5]) * 1000 if events[0][1] == "world" else float(events[-1][0])
    moments = np.arange(begin + MOMENT / 2, end, MOMENT)
    work, able = in_work(sends, nodes, moments), nodes.ability(moments)
    idle, beside = _idle(work, able)
    seconds = np.arange(begin, end - SECOND + 1, SECOND)
    column = np.searchsorted(seconds, sends.sent, side="right") - 1
    inside = (column >= 0) & (sends.sent < begin + len(seconds) * SECOND)
    counts = np.zeros((len(nodes.names), len(seconds)))
    np.add.at(counts, (sends.to[inside], column[inside]), 1.0)
    by_second = nodes.ability(seconds + SECOND / 2)
    second_cv, second_most = _spread(counts, by_second)
    whole = (by_second > 0).all(axis=1) if len(seconds) else np.zeros(len(nodes.names), dtype=bool)
    least = most = 1.0
    if whole.any():
        each = counts[whole].sum(axis=1) / by_second[whole].sum(axis=1)
        mean = counts[whole].sum() / by_second[whole].sum()
        least, most = (float(each.min() / mean), float(each.max() / mean)) if mean else (1.0, 1.0)
    herd_most, pairs, chance = _herds(sends, nodes, end, seed)
    return Evenness(
        _spread(work, able)[0],
        idle,
        beside,
        second_cv,
        second_most,
        least,
        most,
        herd_most,
        pairs,
        chance,
        _moves(events, sends),
        _arrivals(nodes, sends, begin, end),
    )
