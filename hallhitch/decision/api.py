"""The interface of the decision module: settings, events and actions. It decides nothing.

All times are milliseconds, all clocks one shared clock; units are quota units.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

SAFE, KEYED, UNSAFE = "safe", "keyed", "unsafe"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What the callers of one class of request need, and how it may be repeated."""

    name: str
    aim: float
    deadline: float
    worth: float = 1.0
    effect: str = UNSAFE
    group: str = "all"
    repeat_window: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """The quota of each customer on the plan, over all gateways together; 0 means no such limit."""

    name: str
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    price: float = 1.0
    beyond_worth: float = 0.0
    beyond_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0

    def faults(self) -> list[str]:
        """The fields that no quota could be kept by, or that contradict another; empty where there are none."""
        checks = [
            ("rate", self.rate >= 0),
            ("burst", self.burst > 0 or self.rate == 0),
            ("ceiling_burst", self.ceiling_burst > 0 or self.ceiling_rate == 0),
        ]
        return [name for name, good in checks if not good]


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told at its start."""

    gateways: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    has_counter: bool = True
    counter_timeout: float = 50.0
    postpaid: bool = False
    most_units: float = 1.0
    push_list: bool = True
    attempts: int = 1
    second_copies: bool = False
    can_cancel: bool = False
    can_advise: bool = False
    max_advice: float = 0.0
    connect_timeout: float = 250.0
    keepalive: float = 15_000.0
    cold_time: float = 0.0
    cold_from: float = 1.0
    fall_time: float = 1000.0
    fall_multiple: float = 1.0
    index: int = 0  # this gateway's number, from 0
    processes: int = 1  # of this gateway that take clients at once, each with its own module

    def __post_init__(self) -> None:
        """Refuse settings that no decision could be built on, and name the culprit."""
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
    """One line of the server list; state is 'up', 'drain' or 'gone'."""

    server: str
    state: str
    zone: int = 0
    cell: int = 0
    started: float = 0.0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """News of the servers; mode is 'full', 'changes', 'saved' or 'failed'."""

    mode: str
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's try has arrived and is owed one final answer."""

    id: int
    customer: str
    plan: int
    klass: int
    units: float
    patience: float
    spread: float = 1.0
    write: bool = False
    repeat: bool = False
    kind: RequestClass | None = None  # its class itself, where that goes before the number


@dataclass(frozen=True, slots=True)
class RequestGone:
    """The client left; nothing more is owed."""

    id: int


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun; the attempt belongs to the client now."""

    id: int
    attempt: int
    server: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How one attempt ended: ok, error, full, timeout, unreachable, reset, cancelled or void."""

    id: int
    attempt: int
    server: str
    outcome: str
    lag: float
    done: bool
    used: float = 0.0
    true_units: float = 0.0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """How one probe ended."""

    server: str
    outcome: str
    lag: float
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CounterAnswer:
    """The answer to one call of the counter; outcome is ok, full, unreachable or timeout."""

    name: int
    outcome: str
    total: float
    lag: float = 0.0


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set earlier has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class NewSettings:
    """The settings that hold from now on, for requests that come from now on."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another gateway's message."""

    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class Peers:
    """Who is there: the gateways that places are shared by, those that budgets are, and this one's places.

    `seen` is at most `counted`; `rank` gives this gateway's place, from 0, in a server's own order of those seen.
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
    """Begin an attempt; limit 0 waits as long as the client does."""

    id: int
    server: str
    limit: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused, a further try is harmless; advice 0 gives no time."""

    id: int
    advice: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    id: int


@dataclass(frozen=True, slots=True)
class Count:
    """Add units to a name on the counter and read its total."""

    name: int
    units: float
    lifetime: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired after some time."""

    after: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for a sign of life."""

    server: str


@dataclass(frozen=True, slots=True)
class WatchList:
    """Subscribe to the server list where it is not pushed."""


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask once for the whole server list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    text: str


Action = Send | Cancel | Refuse | Fail | Count | SetTimer | Probe | WatchList | FetchList | Log
