"""Scenario files (TOML): the simulated deployment, its traffic and its faults.

Times are in ms, or in seconds where a name ends in `_s` or is `seconds`; rates are per second.
"""

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
    """Settings of a class of requests."""

    aim: Positive  # latency target
    deadline: Positive
    share: Share  # of all requests
    work: Range  # time on one core
    worth: Positive = 1.0  # value of a request served in time
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    window: Natural = 0.0  # how long the nodes of a pod remember its idempotency keys


class PlanSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a plan, and its share of the traffic."""

    share: Share  # of the traffic within quotas
    rate: Range  # quota of each client, drawn once for the plan
    burst_s: Range  # burst, as seconds of the rate
    price: Positive = 1.0  # factor of the value of its requests
    beyond_worth: Share = 0.0  # ratio of its value that a request beyond quota earns
    beyond_cost: Natural = 0.0  # cost of a forwarded try beyond quota, as a ratio of its value


class WorldSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the gateways, nodes, network, counter and discovery."""

    gateways: Count = 3
    nodes: Count = 10
    zones: Count = 2
    pods: Count = 3  # groups of nodes that share idempotency keys
    cores: Positive = 2.0
    slots: Count = 6  # requests in service at once
    queue: Count = 24  # requests queued; more are rejected
    crowding: Share = 0.01  # ratio of its speed that a node loses for each request it holds
    speed: Range = (0.9, 1.1)  # factor of each node's cores, drawn once
    able: tuple[Positive, ...] = ()  # further factors for the first nodes, unknown to the gateways
    shuffled: bool = False  # whether the saved server list of each gateway has its own order
    cold_s: Natural = 12.0  # warm-up of a started node
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.2  # ratio of its speed with which a warming node starts
    fall_ms: Positive = 1500.0  # window in which the load of a warming node is limited
    fall_multiple: Positive = 3.0  # multiple of its capacity in that window above which a warming node goes down
    connections: Count = 64  # limit of open connections to a node
    handshake: Range = (1.0, 2.0)  # duration of opening a connection
    handshake_work: Natural = 0.5  # work that a handshake costs the node
    keepalive: Positive = 30_000.0
    delay: Range = (0.2, 0.4)  # one way, within a zone
    across: Range = (0.5, 0.8)  # one way, between zones
    list_late: Range = (500.0, 3000.0)  # delay of discovery's updates
    counter_per_s: Positive = 1500.0  # calls that the counter serves, over all shards
    counter_parts: Count = 2  # shards
    counter_ms: Range = (0.4, 1.2)  # latency of a call
    counter_queue: Count = 200  # calls queued per shard; more are rejected
    counter_timeout: Positive = 50.0
    attempts: Count = 5  # limit per request
    peers: bool = False  # whether gateways have a membership (only in virtual time; for real processes see lab/fleet)
    numbers: Literal["own", "zero"] = "own"  # index that each gateway is given: its own, or 0 for all
    choice: Literal["module", "uniform", "round_robin", "two", "least", "informed"] = "module"  # see lab/baselines.py
    choice_near: bool = True  # whether a baseline selects within the decision module's subset of servers
    choice_late_ms: Natural = 0.0  # age of the node loads that `informed` reads
    counter_form: Literal["http", "resp"] = "http"  # protocol of the counter in runs on sockets

    def ability(self, number: int) -> float:
        """Return the capacity of a node relative to the others."""
        return self.able[number] if number < len(self.able) else 1.0


class TrafficSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the clients and of their requests."""

    load: Natural = 0.55  # traffic within quotas, as a ratio of the capacity of all nodes
    rate: Natural = 0.0  # requests per second, instead of `load`; for comparisons of settings with different nodes
    full: Share = 0.15  # ratio of clients that use nearly all of their quota
    heavy: Share = 0.1  # ratio of clients that always exceed their quota
    heavy_x: Range = (1.6, 4.5)  # multiple of their quota that these send
    spiky: Share = 0.2  # ratio of clients that exceed their quota in spikes
    spiky_x: Range = (2.0, 6.0)  # multiple of their quota that these send in a spike
    spike_s: Range = (1.8, 5.0)  # duration of a spike
    spike_every_s: Range = (10.0, 25.0)  # from the end of a spike to the next
    calm_use: Range = (0.15, 0.5)  # ratio of the quota that all other clients use
    spread: Range = (0.7, 1.0)  # ratio of the gateways through which a client's requests come
    skew: Range = (0.3, 1.5)  # how unevenly they come through these; 0 is even
    shift_s: Range = (12.0, 22.0)  # interval after which a client's busiest gateways change
    retry: Share = 0.5  # ratio of requests that the client itself retries once
    retry_wait: Range = (100.0, 600.0)  # delay before that retry
    patience: Range = (0.5, 1.0)  # ratio of the class's deadline that a client waits
    leave: Share = 0.0  # probability that a client disconnects before its deadline
    crowded: tuple[Share, Share] = (0.0, 0.0)  # ratio of the gateways, and the share of the traffic that these get
    fresh_per_s: Natural = 0.0  # new clients, each with one request


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault that starts at `at_s` and lasts `for_s`; `part` is the ratio of possible targets that it affects."""

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
    size: Natural = 1.0  # its meaning depends on the kind, such as a slowdown or a number of requests
    empty: bool = False  # whether the counter loses its data


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """The content of a scenario file."""

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
            raise ValueError("field 'classes': a scenario needs at least one class and one plan")
        for field, sections in (("classes", self.classes), ("plans", self.plans)):
            if abs(sum(section.share for section in sections.values()) - 1) > 1e-6:
                raise ValueError(f"field '{field}': the shares must add up to 1")
        for name, request_class in self.classes.items():
            if request_class.deadline < request_class.aim:
                raise ValueError(f"field 'classes.{name}.deadline': shorter than the aim")
            if request_class.effect == "keyed" and request_class.window <= 0:
                raise ValueError(f"field 'classes.{name}.window': a class with effect 'keyed' needs a window above 0")
        for number, fault in enumerate(self.faults):
            if fault.at_s > self.seconds:
                raise ValueError(f"field 'faults.{number}.at_s': after the end of the run")

    def settings(self, rates: dict[str, tuple[float, float]]) -> api.Settings:
        """Return the settings of the scenario's gateways; `rates` has the drawn rate and burst of each plan."""
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
    """A dotted path that names no field of a scenario."""

    def __init__(self, path: str) -> None:
        super().__init__(f"field '{path}': no such field in this scenario")
        self.path = path


def journal_header(scenario: Scenario, settings: api.Settings) -> tuple[Any, ...]:
    """Return the fields of the event `world`: the part of the scenario that the figures and the checker need."""
    classes = {k.name: [k.aim, k.deadline, k.worth, k.effect, k.repeat_window] for k in settings.classes}
    plans = {p.name: [p.rate, p.burst, p.price, p.beyond_worth, p.beyond_cost] for p in settings.plans}
    world = scenario.world
    return classes, plans, [world.cold_from, world.fall_ms, world.fall_multiple], scenario.seconds


def replaced(scenario: Scenario, settings: dict[str, Any]) -> Scenario:
    """Return a scenario with the settings at dotted paths replaced, validated again.

    Raises:
        UnknownSettingError: a path names no field.
        ValueError: the scenario is invalid with these settings.
    """
    plain = msgspec.to_builtins(scenario)
    for path, value in settings.items():
        *parents, last = path.split(".")
        container = plain
        for part in parents:
            container = container[int(part)] if isinstance(container, list) else container.get(part)
            if container is None:
                raise UnknownSettingError(path)
        if isinstance(container, list):
            container[int(last)] = value
        else:
            container[last] = value
    return msgspec.convert(plain, Scenario)
