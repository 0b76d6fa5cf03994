"""The interface of the decision module: settings, events and actions.

Times and durations are milliseconds, all times of one shared clock. `units` are units of the quota.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

SAFE, KEYED, UNSAFE = "safe", "keyed", "unsafe"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency targets, its worth, and whether attempts may be repeated."""

    name: str
    aim: float  # target of the response time
    deadline: float
    worth: float = 1.0  # of a unit that is served
    effect: str = UNSAFE  # KEYED: a repeat has no effect where and as long as the key is known
    group: str = "all"  # servers that share keys: 'all', those of one 'zone' or of one 'cell'
    repeat_window: float = 0.0  # how long a key is known


@dataclass(frozen=True, slots=True)
class Plan:
    """The limits of each customer on the plan, over all gateways together; 0 means no such limit."""

    name: str
    rate: float = 0.0  # units per second
    burst: float = 0.0
    open_limit: int = 0  # attempts in flight
    price: float = 1.0  # factor of the worth of a request
    beyond_worth: float = 0.0  # of a unit beyond the quota, relative to one within it
    beyond_cost: float = 0.0  # likewise
    ceiling_rate: float = 0.0  # of a limit that holds even when the counter does not respond
    ceiling_burst: float = 0.0

    def faults(self) -> list[str]:
        """Return the names of the fields that are out of range or contradict another."""
        checks = [
            ("rate", self.rate >= 0),
            ("burst", self.burst > 0 or self.rate == 0),
            ("ceiling_burst", self.ceiling_burst > 0 or self.ceiling_rate == 0),
        ]
        return [name for name, good in checks if not good]


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one gateway."""

    gateways: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    has_counter: bool = True
    counter_timeout: float = 50.0
    postpaid: bool = False  # whether the units of a request are known only after its response
    max_units: float = 1.0  # of one request
    push_list: bool = True  # whether the server list arrives without a subscription
    attempts: int = 1  # maximum per request
    can_hedge: bool = False  # whether two attempts of a request may be in flight (hedging)
    can_cancel: bool = False
    can_advise: bool = False  # whether a rejection may tell the client when to retry
    max_advice: float = 0.0
    connect_timeout: float = 250.0
    keepalive: float = 15_000.0
    cold_time: float = 0.0  # warm-up of a server after its start
    cold_from: float = 1.0  # share of its capacity that a server has at its start
    fall_time: float = 1000.0  # interval over which the load of a cold server is summed
    fall_multiple: float = 1.0  # of its present capacity: a cold server that gets more in that interval fails
    index: int = 0  # number of this gateway, from 0
    processes: int = 1  # that serve clients for this gateway at once, each with its own module

    def __post_init__(self) -> None:
        """Check the ranges; raise ValueError with the name of the setting that is wrong."""
        checks = [
            ("gateways", self.gateways >= 1),
            ("processes", self.processes >= 1),
            ("classes", len(self.classes) > 0),
            ("attempts", self.attempts >= 1),
            ("counter_timeout", self.counter_timeout > 0 or not self.has_counter),
            ("cold_from", 0 < self.cold_from <= 1),
            ("fall_multiple", self.fall_multiple > 0),
            ("fall_time", self.fall_time > 0),
            ("keepalive", self.keepalive > 0),
        ]
        for kind in self.classes:
            checks.append((f"classes[{kind.name}].aim", kind.aim > 0))
            checks.append((f"classes[{kind.name}].deadline", kind.deadline >= kind.aim))
            checks.append((f"classes[{kind.name}].effect", kind.effect in (SAFE, KEYED, UNSAFE)))
            checks.append((f"classes[{kind.name}].group", kind.group in ("all", "zone", "cell")))
        for plan in self.plans:
            checks += [(f"plans[{plan.name}].{field}", False) for field in plan.faults()]
        for name, good in checks:
            if not good:
                raise ValueError(f"setting {name} is missing, out of range or contradicts another")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One entry of the server list; `state` is 'up', 'drain' or 'gone'."""

    server: str
    state: str
    zone: int = 0
    cell: int = 0
    started: float = 0.0  # 0: long ago
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """An update of the server list; `mode` is 'full', 'changes', 'saved' or 'failed'."""

    mode: str
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A request has arrived; it gets exactly one final answer."""

    id: int
    customer: str
    plan: int  # index in the settings' plans
    klass: int  # index in the settings' classes
    units: float
    patience: float  # time until the client gives up
    spread: float = 1.0  # number of gateways that share the customer's requests
    write: bool = False
    repeat: bool = False  # whether the client has sent it before
    kind: RequestClass | None = None  # its class, if given; otherwise `klass` tells it


@dataclass(frozen=True, slots=True)
class RequestGone:
    """The client has disconnected; the request needs no answer."""

    id: int


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """An attempt has begun to stream: from now on it is neither cancelled nor repeated."""

    id: int
    attempt: int
    server: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended: ok, error, full, timeout, unreachable, reset, cancelled or void (never sent)."""

    id: int
    attempt: int
    server: str
    outcome: str
    lag: float  # time since its send
    done: bool  # whether the request has its final answer
    used: float = 0.0
    true_units: float = 0.0  # as measured by the server; 0: unknown
    report: dict[str, float] = field(default_factory=dict)  # the server's load


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe has ended; the outcomes are those of attempts."""

    server: str
    outcome: str
    lag: float
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CounterAnswer:
    """A call of the counter has ended; `outcome` is ok, full (overloaded), unreachable or timeout."""

    name: int
    outcome: str
    total: float
    lag: float = 0.0


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class NewSettings:
    """The settings have changed; they apply to requests that arrive from now on."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another gateway has arrived."""

    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class Peers:
    """The set of live gateways has changed.

    The ranks are among the `seen` gateways; budgets are shared by the `counted` ones, which are as many or more.
    `rank` returns this gateway's rank, from 0, in a server's own order of those seen.
    """

    seen: int
    counted: int
    rank: Callable[[str], int]


Event = (
    ServerList
    | Request
    | RequestGone
    | StreamStarted
    | AttemptEnded
    | ProbeEnded
    | CounterAnswer
    | TimerFired
    | PeerMessage
    | NewSettings
    | Peers
)


@dataclass(frozen=True, slots=True)
class Send:
    """Begin an attempt; with a `limit` of 0 it lasts as long as the client waits."""

    id: int
    server: str
    limit: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected; a retry has no double effect. `advice` is the time until then, 0 for none."""

    id: int
    advice: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    id: int


@dataclass(frozen=True, slots=True)
class Count:
    """Add units to a name on the counter and read its total; the name expires after `lifetime`."""

    name: int
    units: float
    lifetime: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired with this token after some time."""

    after: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a server."""

    server: str


@dataclass(frozen=True, slots=True)
class WatchList:
    """Subscribe to the server list, where it is not pushed."""


@dataclass(frozen=True, slots=True)
class FetchList:
    """Request the whole server list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line of the operator's log."""

    text: str


Action = Send | Cancel | Reject | Fail | Count | SetTimer | Probe | WatchList | FetchList | Log
