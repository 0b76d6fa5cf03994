"""Measures how evenly load is spread over nodes, from a journal: by time scale, idle nodes, thundering herds, moves.

All figures count only nodes that are up, in relation to their capacity at that moment (reduced during warm-up). The
journal does not record the capacity that a node loses by a fault, so a slow node counts with its full capacity: where
gateways avoid it, this shows as unevenness. That is intended, since such runs are about the fault. Times in ms.
"""

from __future__ import annotations

import bisect
import math
from typing import Any, Final, NamedTuple

import numpy as np
from msgspec import Struct
from numpy.typing import NDArray

from hallhitch.lab.journal import Event
from hallhitch.lab.node_load import NodeTimeline, Numbers, RequestTable, count_held

MOMENT_MS: Final = 50.0  # the shortest time scale, about the duration of a request
SECOND_MS: Final = 1_000.0
QUEUE_LENGTH: Final = 3  # requests held by a node of mean capacity, from which on the newest one waits for others
CONNECT_MS: Final = 5.0  # time to open a connection; sends by other gateways within it cannot be seen
USED_MS: Final = 10_000.0  # for how long after a send a gateway counts as using the node
CAUSE_MS: Final = 10_000.0  # period after a change of nodes, gateways or faults that explains a move of load
CHANCE_DRAWS: Final = 200  # number of random assignments with which herds are compared
RUSH_MS: Final = 100.0  # interval within which first sends to a started node count as a rush
FAIR_RATIO: Final = 0.5  # ratio of its share by capacity from which on a started node is fairly used


class Arrival(Struct, frozen=True):
    """How gateways started to use a node that started during the run."""

    node: str
    met: float  # ms until half of the gateways that sent to it within 10 s had done so
    rush: float  # ratio of these whose first sends fell within the same 0.1 s: 0 none, 1 all
    fair: float  # ms until the first second in which it got at least half of its share by capacity


class Evenness(Struct, frozen=True):
    """Figures of one run. Loads are per capacity, relative to the mean over nodes; CV: standard deviation / mean."""

    moment_cv: float  # of requests held, over nodes; mean over moments
    idle: float  # ratio of nodes that hold no request; mean over moments
    idle_beside_line: float  # the same, counting only moments at which another node has a queue
    second_cv: float  # of requests sent in a second, over nodes; mean over seconds
    second_most: float  # load of the fullest node of each second; mean over seconds
    run_least: float  # least load over the whole run, of nodes that were up throughout
    run_most: float  # greatest load, likewise
    herd_most: int  # most gateways that sent to one node within one `CONNECT_MS`
    herd_pairs: float  # pairs of such sends, relative to the mean of random assignments
    herd_chance: float  # ratio of random assignments with at least as many pairs; small means a herd
    moves: float  # ratio of sends to a node that the gateway had not used for 10 s, without a cause
    arrivals: list[Arrival]


class _Spread(NamedTuple):
    cv: float
    fullest_ratio: float  # load of the fullest node, relative to the mean


class _IdleRatios(NamedTuple):
    overall: float
    beside_queue: float  # counts only moments at which another node had a queue


class _Herds(NamedTuple):
    largest: int
    pairs_ratio: float
    chance: float


class _RunRange(NamedTuple):
    least: float
    most: float


def measure_evenness(events: list[Event], seed: int = 1) -> Evenness:
    """Compute all figures of a run; `seed` is for the random assignments with which herds are compared."""
    nodes = NodeTimeline(events)
    requests = RequestTable(events)
    begin = _traffic_begin(events)
    end = begin + float(events[0][5]) * 1000 if events[0][1] == "world" else float(events[-1][0])
    moments = np.arange(begin + MOMENT_MS / 2, end, MOMENT_MS)
    held, capacity = count_held(requests, nodes, moments), nodes.capacity(moments)
    idle = _idle_ratios(held, capacity)
    seconds = np.arange(begin, end - SECOND_MS + 1, SECOND_MS)
    sends_by_second = _count_sends(requests, len(nodes.names), seconds, begin)
    capacity_by_second = nodes.capacity(seconds + SECOND_MS / 2)
    by_second = _spread(sends_by_second, capacity_by_second)
    run_range = _run_range(sends_by_second, capacity_by_second)
    herds = _herds(requests, nodes, end, seed)
    return Evenness(
        moment_cv=_spread(held, capacity).cv,
        idle=idle.overall,
        idle_beside_line=idle.beside_queue,
        second_cv=by_second.cv,
        second_most=by_second.fullest_ratio,
        run_least=run_range.least,
        run_most=run_range.most,
        herd_most=herds.largest,
        herd_pairs=herds.pairs_ratio,
        herd_chance=herds.chance,
        moves=_moves_ratio(events, requests),
        arrivals=_arrivals(nodes, requests, begin, end),
    )


def _traffic_begin(events: list[Event]) -> float:
    """Return when the traffic began: the journal of real processes includes the time that they take to start."""
    begin = next((float(event[0]) for event in events if event[1] in ("ask", "send")), 0.0)
    return begin if begin > SECOND_MS else 0.0


def _count_sends(requests: RequestTable, node_count: int, seconds: Numbers, begin: float) -> Numbers:
    """Count the sends to each node in each second."""
    columns = np.searchsorted(seconds, requests.sent_at, side="right") - 1
    is_inside = (columns >= 0) & (requests.sent_at < begin + len(seconds) * SECOND_MS)
    counts: Numbers = np.zeros((node_count, len(seconds)))
    np.add.at(counts, (requests.sent_to[is_inside], columns[is_inside]), 1.0)
    return counts


def _spread(counts: Numbers, capacity: Numbers) -> _Spread:
    """Return the means over columns of the CV and of the fullest node, for counts per capacity of nodes that are up."""
    if not capacity.size:
        return _Spread(0.0, 1.0)
    is_up = capacity > 0
    up_count = is_up.sum(axis=0)
    with np.errstate(divide="ignore", invalid="ignore"):
        loads = np.where(is_up, counts / capacity, 0.0)
        mean = np.where(is_up, counts, 0.0).sum(axis=0) / capacity.sum(axis=0)
        variance = (np.where(is_up, loads - mean, 0.0) ** 2 * capacity).sum(axis=0) / capacity.sum(axis=0)
        is_counted = (up_count > 1) & (mean > 0)
        cvs = np.sqrt(variance)[is_counted] / mean[is_counted]
        fullest = loads.max(axis=0)[is_counted] / mean[is_counted]
    return _Spread(float(cvs.mean()), float(fullest.mean())) if is_counted.any() else _Spread(0.0, 1.0)


def _idle_ratios(held: Numbers, capacity: Numbers) -> _IdleRatios:
    if not capacity.size:
        return _IdleRatios(0.0, 0.0)
    is_up = capacity > 0
    is_idle = is_up & (held == 0)
    idle_ratio = is_idle.sum(axis=0) / np.maximum(1, is_up.sum(axis=0))
    mean_capacity = capacity[is_up].mean() if is_up.any() else 1.0
    has_queue = (is_up & (held >= QUEUE_LENGTH * capacity / mean_capacity) & (held > 1)).any(axis=0)
    return _IdleRatios(float(idle_ratio.mean()), float(np.where(has_queue, idle_ratio, 0.0).mean()))


def _run_range(sends: Numbers, capacity: Numbers) -> _RunRange:
    """Return the least and the greatest load over the whole run, of the nodes that were up throughout."""
    second_count = capacity.shape[1]
    is_always_up = (capacity > 0).all(axis=1) if second_count else np.zeros(len(capacity), dtype=bool)
    if not is_always_up.any():
        return _RunRange(1.0, 1.0)
    loads = sends[is_always_up].sum(axis=1) / capacity[is_always_up].sum(axis=1)
    mean = sends[is_always_up].sum() / capacity[is_always_up].sum()
    return _RunRange(float(loads.min() / mean), float(loads.max() / mean)) if mean else _RunRange(1.0, 1.0)


def _count_pairs(counts: NDArray[np.integer[Any]]) -> float:
    return float((counts * (counts - 1) / 2).sum())


def _herds(requests: RequestTable, nodes: NodeTimeline, end: float, seed: int) -> _Herds:
    """Return the largest herd, the pairs of sends relative to random assignments, and how rare so many pairs are."""
    if not len(requests.sent_at):
        return _Herds(0, 1.0, 1.0)
    window = (requests.sent_at / CONNECT_MS).astype(np.int64)
    # Several sends of one gateway to a node within a window count once: they are no herd.
    groups = np.unique(np.stack([window, requests.sent_to, requests.sent_by]), axis=1)
    _, counts = np.unique(groups[:2], axis=1, return_counts=True)
    pairs = _count_pairs(counts)
    chance_pairs = _draw_chance_pairs(requests, nodes, window, end, seed)
    expected = float(np.mean(chance_pairs))
    rarity = float(np.mean(np.asarray(chance_pairs) >= pairs))
    return _Herds(int(counts.max()), pairs / expected if expected else 1.0, rarity)


def _draw_chance_pairs(
    requests: RequestTable, nodes: NodeTimeline, window: NDArray[np.int64], end: float, seed: int
) -> list[float]:
    """Return the number of pairs in each random assignment; nodes are weighted by their capacity in that second."""
    rng = np.random.default_rng(seed)
    seconds = np.arange(SECOND_MS / 2, end + SECOND_MS, SECOND_MS)
    capacity = nodes.capacity(seconds)
    cumulative_shares = np.cumsum(capacity / np.maximum(capacity.sum(axis=0), 1e-9), axis=0)
    columns = np.minimum((requests.sent_at / SECOND_MS).astype(int), len(seconds) - 1)
    shares_of_sends = cumulative_shares[:, columns]
    node_count = len(nodes.names)
    pairs = []
    for _ in range(CHANCE_DRAWS):
        draws = rng.random(len(columns))
        drawn_nodes = (shares_of_sends < draws).sum(axis=0).clip(max=node_count - 1)
        _, counts = np.unique(window * node_count + drawn_nodes, return_counts=True)
        pairs.append(_count_pairs(counts))
    return pairs


def _moves_ratio(events: list[Event], requests: RequestTable) -> float:
    """Return the ratio of sends to a node not used for `USED_MS`, among sends without a recent change."""
    changes_at = [event[0] for event in events if event[1] in ("fault", "told", "node", "gateway")]
    last_used_at: dict[tuple[int, int], float] = {}
    moves = counted = 0
    sends = zip(requests.sent_at.tolist(), requests.sent_by.tolist(), requests.sent_to.tolist(), strict=True)
    for at, gateway, node in sends:
        previous = last_used_at.get((gateway, node))
        last_used_at[gateway, node] = at
        latest_change = bisect.bisect_right(changes_at, at) - 1
        if latest_change >= 0 and at - changes_at[latest_change] < CAUSE_MS:
            continue
        counted += 1
        moves += previous is None or at - previous > USED_MS
    return moves / counted if counted else 0.0


def _arrivals(nodes: NodeTimeline, requests: RequestTable, begin: float, end: float) -> list[Arrival]:
    """Return how gateways started to use each node that started during the traffic."""
    arrivals = []
    for index, up_at in enumerate(nodes.up_at):
        until = min(up_at + CAUSE_MS, nodes.down_at[index], end)
        if up_at > begin and until - up_at >= SECOND_MS:
            arrivals.append(_arrival(nodes, requests, index, until))
    return arrivals


def _arrival(nodes: NodeTimeline, requests: RequestTable, index: int, until: float) -> Arrival:
    up_at = nodes.up_at[index]
    is_to_node = (requests.sent_to == index) & (requests.sent_at >= up_at) & (requests.sent_at < until)
    _, first_sends = np.unique(requests.sent_by[is_to_node], return_index=True)
    first_ms = np.sort(requests.sent_at[is_to_node][first_sends]) - up_at
    if not len(first_ms):
        return Arrival(nodes.names[index], math.inf, 0.0, math.inf)
    largest_rush = max(np.searchsorted(first_ms, first_ms + RUSH_MS) - np.arange(len(first_ms))) - 1
    rush = float(largest_rush / max(1, len(first_ms) - 1))
    fair_ms = _fair_use_ms(nodes, requests, index, until)
    return Arrival(nodes.names[index], float(np.median(first_ms)), rush, fair_ms)


def _fair_use_ms(nodes: NodeTimeline, requests: RequestTable, index: int, until: float) -> float:
    """Return the time from a node's start to the first second in which it got a fair share of the sends."""
    up_at = nodes.up_at[index]
    for at in np.arange(up_at, until - SECOND_MS + 1, SECOND_MS / 4):
        is_inside = (requests.sent_at >= at) & (requests.sent_at < at + SECOND_MS)
        capacity = nodes.capacity(np.asarray([at + SECOND_MS / 2]))[:, 0]
        share = capacity[index] / max(capacity.sum(), 1e-9)
        if (requests.sent_to[is_inside] == index).sum() >= FAIR_RATIO * share * is_inside.sum() > 0:
            return float(at - up_at)
    return math.inf
