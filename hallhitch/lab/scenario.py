"""Scenarios: the world, its traffic and its faults, as TOML. Times in ms unless a name says s; rates a second."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from hallhitch.decision import api
from hallhitch.lab.errors import LabError

Positive = Annotated[float, Meta(gt=0)]
Natural = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=10_000)]
Range = tuple[Natural, Natural]


class ClassSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of a class of requests."""

    aim: Positive
    deadline: Positive
    share: Share
    work: Range  # of one core
    worth: Positive = 1.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    window: Natural = 0.0  # for which the nodes of a pod remember its keys


class PlanSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of a plan, and how its clients use it."""

    share: Share  # of the use inside quotas
    rate: Range  # of each client
    burst_s: Range
    price: Positive = 1.0
    beyond_worth: Share = 0.0
    beyond_cost: Natural = 0.0


class WorldSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The nodes, gateways, network, counter and discovery of a scenario."""

    gateways: Count = 3
    nodes: Count = 10
    zones: Count = 2
    pods: Count = 3  # groups of nodes that share idempotency keys
    cores: Positive = 2.0
    slots: Count = 6  # requests in service at once
    queue: Count = 24  # requests queued; more are rejected
    crowding: Share = 0.01  # ratio of a node's speed that each request it holds costs
    speed: Range = (0.9, 1.1)  # of each node, drawn once
    able: tuple[Positive, ...] = ()  # factors of that for the first nodes, which no gateway knows
    shuffled: bool = False  # whether each gateway's saved list has an order of its own
    cold_s: Natural = 12.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.2
    fall_ms: Positive = 1500.0
    fall_multiple: Positive = 3.0
    connections: Count = 64  # that a node holds
    handshake: Range = (1.0, 2.0)  # time of a new connection
    handshake_work: Natural = 0.5
    keepalive: Positive = 30_000.0
    delay: Range = (0.2, 0.4)  # one way inside a zone
    across: Range = (0.5, 0.8)  # one way between zones
    list_late: Range = (500.0, 3000.0)
    counter_per_s: Positive = 1500.0
    counter_parts: Count = 2
    counter_ms: Range = (0.4, 1.2)
    counter_queue: Count = 200
    counter_timeout: Positive = 50.0
    attempts: Count = 5
    peers: bool = False  # whether gateways know each other (in virtual time; real processes: lab/fleet)
    numbers: Literal["own", "zero"] = "own"  # the index that each gateway gets: its own number, or 0
    choice: Literal["module", "uniform", "round_robin", "two", "least", "informed"] = "module"  # lab/baselines.py
    choice_near: bool = True  # whether another choice than the module's keeps to the module's subset of servers
    choice_late_ms: Natural = 0.0  # age of the node loads that `informed` gets
    counter_form: Literal["http", "resp"] = "http"  # the counter's protocol, on sockets

    def ability(self, number: int) -> float:
        """How much more than others a node can do."""
        return self.able[number] if number < len(self.able) else 1.0


class TrafficSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The traffic of a scenario."""

    load: Natural = 0.55  # use inside quotas, as a share of what the nodes can do
    rate: Natural = 0.0  # the same in requests a second, in place of `load`: for settings that differ in their nodes
    full: Share = 0.15  # of the clients: these use nearly all of their quota
    heavy: Share = 0.1  # these send far more, all the time
    heavy_x: Range = (1.6, 4.5)
    spiky: Share = 0.2  # these send far more for some seconds
    spiky_x: Range = (2.0, 6.0)
    spike_s: Range = (1.8, 5.0)
    spike_every_s: Range = (10.0, 25.0)
    calm_use: Range = (0.15, 0.5)  # of the rate, by all others
    spread: Range = (0.7, 1.0)  # of the gateways, that a client's requests come through
    skew: Range = (0.3, 1.5)
    shift_s: Range = (12.0, 22.0)  # until the busiest gateways of a client change
    retry: Share = 0.5  # of clients that try once more by themselves
    retry_wait: Range = (100.0, 600.0)
    patience: Range = (0.5, 1.0)  # of the class's deadline
    leave: Share = 0.0  # chance that a client leaves before its answer
    crowded: tuple[Share, Share] = (0.0, 0.0)  # this share of the gateways gets that share of the traffic
    fresh_per_s: Natural = 0.0  # clients that were never seen before, each with one request


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault from `at_s` on, for `for_s`. `part` is the ratio of its possible targets that it affects."""

    kind: Literal[
        "slow",
        "quick_failures",
        "stall",
        "crash",
        "replace",
        "drain",
        "spoilt",
        "twice",
        "reset",
        "stale",
        "gateways_die",
        "gateways_stop",
        "gateways_reload",
        "counter_down",
        "counter_silent",
        "counter_slow",
        "counter_empty",
        "counter_part",
        "discovery_down",
        "burst",
        "flash",
        "gateways_split",
        "zone_lost",
        "unreachable",
        "list_held",
    ]
    at_s: Natural
    for_s: Natural = 0.0
    part: Share = 0.1
    size: Natural = 1.0
    empty: bool = False  # whether the counter has lost its data afterwards


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A scenario's file."""

    name: str
    about: str = ""
    seconds: Positive = 60.0
    world: WorldSettings = WorldSettings()
    traffic: TrafficSettings = TrafficSettings()
    classes: dict[str, ClassSettings] = {}
    plans: dict[str, PlanSettings] = {}
    faults: tuple[Fault, ...] = ()

    def __post_init__(self) -> None:
        if not self.classes or not self.plans:
            raise ValueError("field 'classes': a scenario needs classes and plans")
        for field, things in (("classes", self.classes), ("plans", self.plans)):
            if abs(sum(thing.share for thing in things.values()) - 1) > 1e-6:
                raise ValueError(f"field '{field}': the shares must add up to 1")
        for name, kind in self.classes.items():
            if kind.deadline < kind.aim:
                raise ValueError(f"field 'classes.{name}.deadline': shorter than the aim")
            if kind.effect == "keyed" and kind.window <= 0:
                raise ValueError(f"field 'classes.{name}.window': a keyed class has one")
        for number, fault in enumerate(self.faults):
            if fault.at_s > self.seconds:
                raise ValueError(f"field 'faults.{number}.at_s': after the end")

    def settings(self, rates: dict[str, tuple[float, float]]) -> api.Settings:
        """Make the settings of its gateways; `rates` has the drawn rate and burst of each plan."""
        world = self.world
        classes = tuple(
            api.RequestClass(
                name, k.aim, k.deadline, k.worth, k.effect, "cell" if k.effect == "keyed" else "all", k.window
            )
            for name, k in self.classes.items()
        )
        plans = tuple(
            api.Plan(name, *rates[name], price=p.price, beyond_worth=p.beyond_worth, beyond_cost=p.beyond_cost)
            for name, p in self.plans.items()
        )
        return api.Settings(
            world.gateways,
            classes,
            plans,
            counter_timeout=world.counter_timeout,
            attempts=world.attempts,
            can_cancel=True,
            can_advise=True,
            max_advice=1000.0,
            keepalive=world.keepalive,
            cold_time=world.cold_s * 1000,
            cold_from=world.cold_from,
            fall_time=world.fall_ms,
            fall_multiple=world.fall_multiple,
        )


class UnknownSettingError(LabError, ValueError):
    """A dotted path that leads to no field of a scenario."""

    def __init__(self, path: str) -> None:
        super().__init__(f"field '{path}': there is none in this scenario")
        self.path = path


def journal_header(scenario: Scenario, settings: api.Settings) -> tuple[Any, ...]:
    """Make the fields of a journal's first event: what figures and checker need of the scenario."""
    classes = {k.name: [k.aim, k.deadline, k.worth, k.effect, k.repeat_window] for k in settings.classes}
    plans = {p.name: [p.rate, p.burst, p.price, p.beyond_worth, p.beyond_cost] for p in settings.plans}
    world = scenario.world
    return classes, plans, [world.cold_from, world.fall_ms, world.fall_multiple], scenario.seconds


def replaced(scenario: Scenario, settings: dict[str, Any]) -> Scenario:
    """Return a scenario with the settings at dotted paths replaced, validated again.

    Raises:
        UnknownSettingError: there is no such path.
        ValueError: the scenario is not valid with them.
    """
    plain = msgspec.to_builtins(scenario)
    for path, value in settings.items():
        *parents, last = path.split(".")
        here = plain
        for part in parents:
            here = here[int(part)] if isinstance(here, list) else here.get(part)
            if here is None:
                raise UnknownSettingError(path)
        if isinstance(here, list):
            here[int(last)] = value
        else:
            here[last] = value
    return msgspec.convert(plain, Scenario)
