"""A small model of the whole system's data plane: gateways with thin sight before backends with slots and queues.

It drives whatever implements the port `Decisions`, and tells shares and the highest counts that the rules bound. It
must never let a decision see more than its gateway would. No sockets; simpy's clock is in ms.
"""
# simpy's processes, events and resources are not typed for strict checking.
# mypy: disable-error-code="no-untyped-call"

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Generator
from dataclasses import dataclass, field, replace
from math import log
from random import Random
from typing import Any

import simpy

from hallhitch.lab.system_cases import MIX, Case, Kind
from hallhitch.planes.data.interfaces import (
    Action,
    Enqueue,
    Fail,
    Forward,
    LoadBalancingPolicy,
    Outcome,
    Reject,
    RequestInfo,
)
from hallhitch.planes.data.load_balancer import LoadBalancerSettings
from hallhitch.planes.values import Backend, ClusterConfig, Gateway, RequestLimits, Service

Steps = Generator[Any, Any, None]


@dataclass(eq=False)
class Machine:
    """One backend's life."""

    entry: Backend
    speed: float
    room: Any
    draining: bool = False
    dead: str = ""  # "gone" resets, "dark" says nothing
    cold_until: float = 0.0
    works: set[Any] = field(default_factory=set)
    arrivals: list[float] = field(default_factory=list)  # while cold


@dataclass
class Told:
    """What came of one case."""

    owed: float = 0.0
    earned: float = 0.0
    count: Counter[str] = field(default_factory=Counter)
    cold_most: int = 0
    budget: float = 0.0  # worst further arrivals in a window over what is allowed
    near_mb: float = 0.0
    far_mb: float = 0.0

    def line(self) -> str:
        """The shares in one line."""
        asked = max(1, self.count["asked"])
        shares = " ".join(f"{k} {100 * self.count[k] / asked:.2f}%" for k in ("served", "late", "lost", "refused"))
        return (
            f"worth {100 * self.earned / self.owed:.2f}% {shares} further {self.count['further']} "
            f"cold {self.cold_most} budget {self.budget:.2f} MB zone {self.near_mb:.0f} region {self.far_mb:.0f}"
            f" tried-late {self.count['late refusal']} reset {self.count['reset']} twice {self.count['twice']}"
        )


class World:
    """All machines of one case and what happens to them."""

    def __init__(
        self, case: Case, seed: int, make: Callable[[World, LoadBalancerSettings, Random], LoadBalancingPolicy[Any]]
    ) -> None:
        self.case, self.rng = case, Random(seed)
        self.env: Any = simpy.Environment()  # its own types do not hold under strict checking
        self.now = lambda: float(self.env.now)
        self.told, self.machines = Told(), dict[str, Machine]()
        self.zones = {f"z{i}": f"r{i % case.regions}" for i in range(len(case.gateways))}
        self.evacuated: frozenset[str] = frozenset()
        self.further: dict[str, list[float]] = {"big": [], "small": []}
        self.firsts: dict[str, list[float]] = {"big": [], "small": []}
        self.serial = 0
        for service, counts in (("big", case.big), ("small", case.small)):
            for place, count in enumerate(counts):
                for _ in range(count):
                    self.start(service, f"z{place}", 0.0)
        self.nodes = [
            Gateway(f"g{z}-{i}", f"{z}:{i}", 1, "edge", f"z{z}", self.zones[f"z{z}"], "x", True)
            for z, count in enumerate(case.gateways)
            for i in range(count)
        ]
        self.minds = {}
        for node in self.nodes:
            settings = LoadBalancerSettings(node.name, node.zone, node.region, 0.2, 10_000.0, 58.0, 1.5, 5.0, 800.0)
            self.minds[node.name] = make(self, settings, Random(self.rng.random()))
            self.env.process(self._tell(node, self.minds[node.name]))
        for each in MIX:
            for zone in self.zones:
                self.env.process(self._clients(each, zone))
        for at, name in case.troubles:
            self.env.process(self._trouble(at, name))

    def start(self, service: str, zone: str, cold: float) -> Machine:
        """A new life of a backend."""
        self.serial += 1
        name = f"i{self.serial}"
        entry = Backend(name, service, name, 1, zone, self.zones[zone], self.case.slots)
        machine = Machine(entry, self.rng.choice(self.case.speeds), simpy.Resource(self.env, self.case.slots))
        machine.cold_until = cold
        self.machines[name] = machine
        return machine

    def config(self) -> ClusterConfig:
        """The cluster configuration as it stands."""
        services = {n: Service(n, "/", 100, self.case.cold_time, self.case.cold_rate) for n in ("big", "small")}
        return ClusterConfig(1, 1, {}, services, {}, {}, RequestLimits(), self.evacuated)

    def _tell(self, node: Gateway, mind: LoadBalancingPolicy[Any]) -> Steps:
        mind.set_config(self.now(), self.config())
        seen = self.evacuated
        while True:
            entries = []
            for m in self.machines.values():
                if m.dead and m.cold_until < self.now() - 6000.0:
                    continue
                entries.append(replace(m.entry, is_draining=m.draining, warming_until_ms=m.cold_until))
            yield self.env.timeout(800.0 * self.rng.random())
            mind.set_backends(self.now(), entries)
            mind.set_gateways(self.now(), node.name, self.nodes)
            if seen != self.evacuated:
                seen = self.evacuated
                mind.set_config(self.now(), self.config())
            yield self.env.timeout(500.0)

    def delay(self, a: str, b: str) -> float:
        """One way between two zones, ms."""
        if a == b:
            return 0.1
        return self.case.near if self.zones[a] == self.zones[b] else self.case.far

    def _clients(self, each: Kind, zone: str) -> Steps:
        rate = each.rate * self.case.load / len(self.zones) / 1000.0
        at = [n for n in self.nodes if n.zone == zone] or self.nodes
        yield self.env.timeout(1600.0)
        while self.now() < self.case.length:
            yield self.env.timeout(self.rng.expovariate(rate))
            self.env.process(self._client(each, at))

    def _client(self, each: Kind, at: list[Gateway]) -> Steps:
        began, told = self.now(), self.told
        ends = began + each.deadline
        told.owed += each.worth
        told.count["asked"] += 1
        for _ in range(3):
            node = self.rng.choice(at)
            answer: list[str] = []
            yield self.env.process(self._try(each, node, ends, answer))
            took = self.now() - began
            if answer[0] == "ok":
                told.count["served"] += 1
                told.count["late"] += took > each.route.latency_target_ms
                told.count[f"late {each.route.name}"] += took > each.route.latency_target_ms
                told.earned += each.worth if took <= each.route.latency_target_ms else each.late
                return
            if answer[0] == "lost" and not each.route.is_idempotent:
                break
            pause = float(answer[1]) if answer[0] == "refused" else 20.0
            yield self.env.timeout(min(pause, max(0.0, (ends - self.now()) / 3)))
            if self.now() + each.work > ends:
                break
        told.count["lost" if answer[0] == "lost" else "refused"] += 1

    def _try(self, each: Kind, node: Gateway, ends: float, answer: list[str]) -> Steps:
        mind, ran = self.minds[node.name], [0]
        ask = RequestInfo(
            each.route,
            each.route.weighted_services[0][0],
            each.route.allowed_regions,
            each.route.priority,
            self.now(),
            ends,
        )
        self.firsts[ask.service].append(self.now())
        exchange = mind.begin_request(self.now(), ask)
        out: dict[str, tuple[Any, float]] = {}
        done: list[tuple[str, Outcome]] = []
        timers: dict[str, float] = {}
        arrived = 0
        step: Action = mind.next_action(self.now(), exchange)
        while True:
            wake = ends
            if isinstance(step, Forward):
                machine = self.machines[step.backend.instance]
                name = step.backend.instance
                if arrived and not machine.dead:
                    self.further[ask.service].append(self.now())
                    self.told.count["further"] += 1
                arrived += not machine.dead
                out[name] = (self.env.process(self._attempt(each, node, machine, ends, done, ran)), self.now())
                timers[name] = self.now() + step.hedge_delay_ms
            elif isinstance(step, Enqueue):
                wake = self.now() + step.recheck_after_ms
            else:
                break
            wake = min([wake, *(t for n, t in timers.items() if n in out)])
            # A process that ended without an outcome is silence.
            ends_of = [p for p, _ in out.values() if p.is_alive]
            yield self.env.any_of([self.env.timeout(max(0.01, wake - self.now())), *ends_of])
            ok = False
            for name, outcome in done:
                began = out.pop(name)[1]
                timers.pop(name, None)
                mind.on_attempt_ended(self.now(), exchange, self.machines[name].entry, outcome, self.now() - began)
                ok = ok or outcome is Outcome.OK
            done.clear()
            for name in [n for n, t in timers.items() if t <= self.now() + 0.02]:
                del timers[name]
                mind.on_attempt_ended(
                    self.now(), exchange, self.machines[name].entry, Outcome.TIMED_OUT, self.now() - out[name][1]
                )
            if ok:
                break
            step = mind.next_action(self.now(), exchange)
        mind.finish_request(self.now(), exchange)
        for name, (process, began) in out.items():
            if process.is_alive:
                process.interrupt("left")
            mind.on_attempt_ended(
                self.now(), exchange, self.machines[name].entry, Outcome.CANCELLED, self.now() - began
            )
        self.told.count["twice"] += ran[0] > 1 and not each.route.is_idempotent
        if isinstance(step, Reject):
            self.told.count["late refusal"] += self.now() - ask.arrived_at_ms > each.route.latency_target_ms / 4
            self.told.count["broken promise"] += ran[0] > 0 and not each.route.is_idempotent
            answer += ["refused", str(step.retry_after_ms)]
        else:
            answer += ["lost" if isinstance(step, Fail) else "ok"]

    def _attempt(
        self, each: Kind, node: Gateway, machine: Machine, ends: float, done: list[tuple[str, Outcome]], ran: list[int]
    ) -> Steps:
        way, name = self.delay(node.zone, machine.entry.zone), machine.entry.instance
        mb = each.bytes / 1e6
        if machine.entry.region != node.region:
            self.told.far_mb += mb
        elif machine.entry.zone != node.zone:
            self.told.near_mb += mb
        work, outcome = self.env.active_process, Outcome.CONNECTION_LOST
        assert work is not None
        try:
            yield self.env.timeout(way)
            if machine.dead == "dark":
                return
            if machine.dead:
                yield self.env.timeout(way)
                outcome = Outcome.UNREACHABLE
            else:
                if machine.cold_until > self.now():
                    machine.arrivals.append(self.now())
                if len(machine.room.queue) >= self.case.queue:
                    self.told.count["reset"] += self.case.resets
                    yield self.env.timeout(way)
                    outcome = Outcome.CONNECTION_LOST if self.case.resets else Outcome.DECLINED
                else:
                    machine.works.add(work)
                    with machine.room.request() as slot:
                        yield slot
                        ran[0] += 1
                        x = machine.speed * (2.0 if machine.cold_until > self.now() else 1.0)
                        x *= 5.0 if self.rng.random() < 0.01 else 1.0
                        took = self.rng.lognormvariate(log(each.work) - each.spread**2 / 2, each.spread) * x
                        yield self.env.timeout(took)
                    yield self.env.timeout(way)
                    outcome = Outcome.OK
        except simpy.Interrupt as why:
            if why.cause != "gone":
                return  # nobody waits for it, or nothing more comes from there
        finally:
            machine.works.discard(work)
        done.append((name, outcome))

    def kill(self, machine: Machine, how: str) -> None:
        """It is gone (connections reset) or dark (nothing comes back)."""
        machine.dead = how
        machine.cold_until = self.now()
        for work in list(machine.works):
            if work.is_alive:
                work.interrupt(how)

    def _trouble(self, at: float, name: str) -> Steps:
        yield self.env.timeout(at)
        live = [m for m in self.machines.values() if not m.dead]
        cold = self.case.cold_time
        if name in ("gone", "dark"):
            hit = self.rng.sample(live, max(1, len(live) // 7))
            for m in hit:
                self.kill(m, name)
            yield self.env.timeout(4000.0)
            for m in hit:
                self.start(m.entry.service, m.entry.zone, self.now() + cold)
        elif name == "zone":
            zone = [m for m in live if m.entry.zone == "z1"]
            for m in zone:
                self.kill(m, "dark")
            yield self.env.timeout(4500.0)
            for m in zone:
                self.start(m.entry.service, m.entry.zone, self.now() + cold)
        elif name == "return":
            zone = [m for m in live if m.entry.zone == "z1"]
            for m in zone:
                self.kill(m, "dark")
            yield self.env.timeout(4000.0)
            for m in zone:
                m.dead, m.cold_until = "", self.now() + cold
        elif name == "cold":
            for m in live:
                m.cold_until = self.now() + cold
        elif name == "release":
            for m in self.rng.sample(live, len(live) * 45 // 100):
                m.draining = True
                self.start(m.entry.service, m.entry.zone, self.now() + cold)
                self.env.process(self._end(m))
                yield self.env.timeout(600.0)
        elif name == "evacuate":
            self.evacuated = frozenset({"z1"})
            yield self.env.timeout(7000.0)
            for m in self.machines.values():
                if m.entry.zone == "z1" and not m.dead:
                    m.cold_until = self.now() + cold
            self.evacuated = frozenset()

    def _end(self, machine: Machine) -> Steps:
        yield self.env.timeout(3500.0)
        self.kill(machine, "gone")

    def run(self) -> Told:
        """Play the case to its end and count."""
        self.env.run(until=self.case.length + 3000.0)
        for machine in self.machines.values():
            self.told.cold_most = max(self.told.cold_most, most_in(machine.arrivals, 1000.0))
        for service, times in self.further.items():
            for at in times:
                more = sum(1 for t in times if at - 10_000.0 < t <= at)
                first = sum(1 for t in self.firsts[service] if at - 10_000.0 < t <= at)
                self.told.budget = max(self.told.budget, more / (0.2 * first + 58.0))
        return self.told


def most_in(times: list[float], span: float) -> int:
    """The most moments in any window of that length."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - span:
            first += 1
        most = max(most, last - first + 1)
    return most
