"""The decisions of the data plane: which backend, whether again, what to hold and what to turn away.

Plain values in and out: every call brings the moment, randomness is passed in. Must never send to a backend that
drains, lies in an evacuated zone or outside a request's homes, and never a second time what may have run and must not.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from hallhitch.planes.data.endpoint_set import Endpoint, EndpointAttempt, EndpointSet, Locality, SelectionCriteria
from hallhitch.planes.data.interfaces import Action, Enqueue, Fail, Forward, Outcome, Reject, RequestInfo
from hallhitch.planes.data.latency import LatencyAverage
from hallhitch.planes.data.outlier_detection import SPELL, UnansweredSends
from hallhitch.planes.data.rendezvous import RendezvousWeights, owners
from hallhitch.planes.data.retry_budget import RetryBudget
from hallhitch.planes.data.slow_start import SlowStart
from hallhitch.planes.values import Backend, ClusterConfig, Gateway

HOLD_PART = 0.22  # of the target: refusals are early within a quarter of it, and the answer takes its way too
HOLD_TRIED = 0.5  # of the target, for one that was turned away: refusing it is late already
POLL, POLL_MOST = 4.0, 20.0  # ms between two looks for room
POLL_PART = 0.1  # of the usual time
AFTER_LEAST, AFTER_MOST = 0.6, 1.1  # of the target: when to come back, spread so that they do not come together
UNREACHABLE_MOST = 6  # backends tried in vain before one gives up
TRIAL_SHARE = 0.1  # of the sends to a service that may be trials
TRIALS_MOST = 3.0
STILL = 0.8  # of the fastest answer of late: with less time left nothing can come back
NETWORK = 0.5  # share of a service's backends in trouble from which it is this gateway's own network


@dataclass(frozen=True, slots=True)
class LoadBalancerSettings:
    """What the decisions need of a gateway's settings; times in ms."""

    name: str
    zone: str
    region: str
    zones: Mapping[str, str] = field(default_factory=dict)  # zone -> region
    retry_ratio: float = 0.2
    retry_window: float = 10_000.0
    retry_slack: float = 0.0
    cold_over: float = 1.0
    cold_slack: float = 0.0
    list_lag: float = 1000.0  # how far the list of backends runs behind


@dataclass(slots=True, eq=False)
class RequestState:
    """One try under way."""

    request: RequestInfo
    attempts: list[EndpointAttempt] = field(default_factory=list)
    waits: EndpointSet | None = None  # where it is counted as waiting
    status: int = 502
    done: bool = False  # the client has its answer, or left


class LoadBalancer:
    """Implements `ports.Decisions` for one gateway."""

    def __init__(self, settings: LoadBalancerSettings, rng: Random) -> None:
        self._settings, self._rng = settings, rng
        self._weights = RendezvousWeights()
        self._cold = SlowStart(
            settings.name, settings.region, settings.cold_over, settings.cold_slack, settings.list_lag, self._weights
        )
        self._config: ClusterConfig | None = None
        self._entries: Sequence[Backend] = ()
        self._seats: dict[str, Endpoint] = {}
        self._shape: Sequence[tuple[object, ...]] = ()
        self._candidates: dict[str, EndpointSet] = {}
        self._sights: dict[str, UnansweredSends] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._peers: dict[str, tuple[str, str]] = {settings.name: (settings.zone, settings.region)}

    def set_backends(self, now: float, entries: Sequence[Backend]) -> None:
        """All backends there are, as last told."""
        self._entries = entries
        self._cold.backends(now, entries, self._config.services if self._config else {})
        seats: dict[str, Endpoint] = {}
        for entry in entries:
            seat = self._seats.get(entry.instance)
            if seat is None or (seat.backend.host, seat.backend.port) != (entry.host, entry.port):
                seat = Endpoint(entry, zone=self._sights.setdefault(entry.zone, UnansweredSends(3)))
            seat.backend = entry
            seats[entry.instance] = seat
        self._seats = seats
        shape = [(e.instance, e.host, e.port, e.service, e.zone, e.slots, e.is_draining) for e in entries]
        if shape != self._shape:
            # The list comes often and changes seldom.
            self._shape = shape
            self._place()

    def set_gateways(self, now: float, own: str, entries: Sequence[Gateway]) -> None:
        """All gateways that live, as last told."""
        peers = {g.name: (g.zone, g.region) for g in entries if g.frontend and not g.is_leaving}
        peers[self._settings.name] = (self._settings.zone, self._settings.region)
        self._cold.gateways(now, entries)
        if peers != self._peers:
            self._peers = peers
            self._place()

    def set_config(self, now: float, config: ClusterConfig) -> None:
        """The cluster configuration, whole."""
        known, self._config = self._config, config
        if known is None:
            self._cold.backends(now, self._entries, config.services)
        self._cold.evacuated(now, config.evacuated_zones, self._entries, config.services)
        for name, service in config.services.items():
            if name in self._candidates:
                self._candidates[name].service = service
        self._place()

    def begin_request(self, now: float, ask: RequestInfo) -> RequestState:
        """A try was admitted."""
        self._budget(now, ask.service).first(now)
        return RequestState(ask)

    def next_action(self, now: float, exchange: RequestState) -> Action:
        """What to do now."""
        run = exchange
        step = self._step(now, run)
        if not isinstance(step, Enqueue):
            self._rest(run)
        return step

    def on_attempt_ended(
        self, now: float, exchange: RequestState, backend: Backend, outcome: Outcome, lag: float
    ) -> None:
        """One attempt has ended, or has outlasted its patience (SILENT)."""
        run = exchange
        attempt = next((a for a in reversed(run.attempts) if a.seat.backend.instance == backend.instance), None)
        if attempt is None:
            return
        seat, place = attempt.seat, self._candidates.get(backend.service)
        attempt.ran = attempt.ran or outcome.may_have_run
        if outcome is Outcome.TIMED_OUT and not attempt.silent:
            attempt.silent = True
            run.status = 504
            if attempt.out:
                seat.late.append(attempt)
        elif attempt.out:
            attempt.release()
        # What is taken back after the answer has come, or after it was silent, may have arrived.
        if outcome in (Outcome.UNREACHABLE, Outcome.CANCELLED) and not attempt.silent and not run.done:
            attempt.arrived = False
            if attempt.mark is not None:
                self._budget(now, run.request.service).give_back(attempt.mark)
                attempt.mark = None
        if not run.done or outcome not in (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST):
            # Once nobody waits for it, its silence or its cut may be this gateway's doing.
            self._learn(now, run, attempt, place, outcome, lag)

    def finish_request(self, now: float, exchange: RequestState) -> None:
        """The client has its answer, or left."""
        exchange.done = True
        self._rest(exchange)

    def _learn(
        self,
        now: float,
        run: RequestState,
        attempt: EndpointAttempt,
        place: EndpointSet | None,
        outcome: Outcome,
        lag: float,
    ) -> None:
        seat, ask = attempt.seat, run.request
        health, jitter = seat.health, 0.8 + 0.4 * self._rng.random()
        if outcome not in (Outcome.CANCELLED, Outcome.TIMED_OUT, Outcome.UNREACHABLE):
            seat.zone.heard()
        if outcome in (Outcome.OK, Outcome.SERVER_ERROR):
            spell = health.good(now, attempt.at)
            seat.sight.heard()
            if spell >= SPELL and place is not None and not self._network(now, place):
                self._cold.presume(seat.backend.instance, now + 2.0 * self._settings.list_lag + SPELL)
            if place is not None and outcome is Outcome.OK:
                usual = place.pace.usual(ask.route.name, ask.route.latency_target_ms)
                seat.ratio.took(now, lag / max(usual.mean, 1.0))
                place.pace.took(usual, lag)
                if ask.route.is_idempotent and not attempt.silent:
                    place.pace.ended(False)
        elif outcome is Outcome.DECLINED:
            health.full(now, jitter)
        elif outcome is Outcome.CANCELLED:
            if not run.done and now - attempt.at >= attempt.patience:
                # Not even a connection came up in that time: a backend that is dark, as good as silent.
                health.bad(now, Outcome.TIMED_OUT, jitter)
        else:
            health.bad(now, outcome, jitter)
            if outcome is Outcome.TIMED_OUT and place is not None and ask.route.is_idempotent:
                place.pace.ended(True)

    def _network(self, now: float, place: EndpointSet) -> bool:
        seats = place.near + place.rest
        return sum(1 for s in seats if s.health.bad_at > now - 2.0 * SPELL) > NETWORK * len(seats) > 0

    def _step(self, now: float, run: RequestState) -> Action:
        ask, left = run.request, run.request.deadline_ms - now
        route = ask.route
        out = [a for a in run.attempts if a.out]
        ran = any(a.ran for a in run.attempts)
        if not route.is_idempotent and (out or ran):
            # It may be running, or has: there is nothing more to try.
            if left > 0 and any(not a.silent for a in out):
                return Enqueue(left)
            return Fail(run.status if left > 0 else 504)
        place = self._candidates.get(ask.service)
        if place is None:
            return self._turn_away(ask, None)
        usual = place.pace.usual(route.name, route.latency_target_ms)
        if left <= usual.fastest * STILL:
            if out and left > 0:
                return Enqueue(left)
            return Fail(504) if ran or out else self._turn_away(ask, usual)
        arrived = sum(1 for a in run.attempts if a.arrived)
        further = arrived > 0
        budget = self._budget(now, ask.service)
        if (
            arrived >= max(route.max_attempts, 1)
            or len(run.attempts) - arrived >= UNREACHABLE_MOST
            or further
            and not budget.room(now, len(self._peers))
            or out
            and place.pace.slow
        ):
            if out:
                return Enqueue(left)
            return Fail(run.status) if ran else self._turn_away(ask, usual)
        tried = frozenset(a.seat.backend.instance for a in run.attempts)
        want = SelectionCriteria(
            now,
            route.kind,
            not route.is_idempotent,
            route.latency_target_ms,
            usual.mean,
            ask.allowed_regions,
            tried,
            ask.priority,
        )
        seat, trial = self._seat(place, run, want)
        if seat is not None:
            return self._send(now, run, place, usual, seat, trial)
        if out:
            return Enqueue(left)
        return self._wait(now, run, place, usual, ran)

    def _seat(self, place: EndpointSet, run: RequestState, want: SelectionCriteria) -> tuple[Endpoint | None, bool]:
        if not run.attempts and (seat := place.trial(want)) is not None:
            place.trials -= 1.0
            return seat, True
        seat = place.choose(want, self._rng) or place.last_resort(want, self._rng)
        if seat is None and run.attempts and not any(a.out for a in run.attempts):
            # Nothing else: one where it surely never ran may have room by now.
            want = replace(want, tried=frozenset(a.seat.backend.instance for a in run.attempts if a.ran))
            seat = place.choose(want, self._rng) or place.last_resort(want, self._rng)
        if seat is not None and not run.attempts and place.yields(seat, want):
            seat = None
        return seat, False

    def _send(
        self, now: float, run: RequestState, place: EndpointSet, usual: LatencyAverage, seat: Endpoint, trial: bool
    ) -> Action:
        ask = run.request
        attempt = EndpointAttempt(seat, now, ask.deadline_ms, trial)
        if any(a.arrived for a in run.attempts):
            attempt.mark = self._budget(now, ask.service).take(now)
        run.attempts.append(attempt)
        if not seat.out:
            seat.sight.sends.clear()
        seat.out += 1
        seat.sight.sent(now)
        seat.zone.sent(now)
        seat.health.trial = seat.health.trial or trial
        place.trials = min(place.trials + TRIAL_SHARE, TRIALS_MOST)
        self._cold.sent(now, seat.backend)
        left = ask.deadline_ms - now
        attempt.patience = (
            left
            if not ask.route.is_idempotent
            else place.pace.patience(usual, ask.route.latency_target_ms, now - ask.arrived_at_ms, left)
        )
        return Forward(seat.backend, attempt.patience)

    def _wait(self, now: float, run: RequestState, place: EndpointSet, usual: LatencyAverage, ran: bool) -> Action:
        ask = run.request
        part = HOLD_TRIED if run.attempts else HOLD_PART
        hold = min(ask.arrived_at_ms + part * ask.route.latency_target_ms - now, ask.deadline_ms - now - usual.mean)
        if hold <= 1.0:
            return Fail(run.status) if ran else self._turn_away(ask, usual)
        if run.waits is None:
            run.waits = place
            key = ask.priority, ask.allowed_regions
            place.waiting[key] = place.waiting.get(key, 0) + 1
        return Enqueue(min(hold, max(POLL, min(POLL_MOST, usual.mean * POLL_PART)) * (0.75 + 0.5 * self._rng.random())))

    def _rest(self, run: RequestState) -> None:
        if run.waits is not None:
            key = run.request.priority, run.request.allowed_regions
            run.waits.waiting[key] -= 1
            if not run.waits.waiting[key]:
                del run.waits.waiting[key]
            run.waits = None

    def _turn_away(self, ask: RequestInfo, usual: LatencyAverage | None) -> Reject:
        spread = AFTER_LEAST + (AFTER_MOST - AFTER_LEAST) * self._rng.random()
        return Reject(ask.route.latency_target_ms * spread)

    def _budget(self, now: float, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = self._budgets[service] = RetryBudget(
                settings.retry_ratio, settings.retry_window, settings.retry_slack, now
            )
        return budget

    def _place(self) -> None:
        """Sort all seats anew: by service, place and rank."""
        if self._config is None:
            return
        settings, config, weights = self._settings, self._config, self._weights
        weights.keep(set(self._seats), set(self._peers))
        region = [n for n, (_, r) in self._peers.items() if r == settings.region]
        in_zone = [n for n, (z, _) in self._peers.items() if z == settings.zone]
        seats: dict[str, list[Endpoint]] = {name: [] for name in config.services}
        for seat in self._seats.values():
            backend = seat.backend
            if backend.service in seats and not backend.is_draining and backend.zone not in config.evacuated_zones:
                seats[backend.service].append(seat)
        for name, service in config.services.items():
            place = self._candidates.get(name)
            if place is None:
                place = self._candidates[name] = EndpointSet(service, self._cold)
            mine = [s.backend.instance for s in seats[name] if s.backend.zone == settings.zone]
            owned = owners(weights, mine, in_zone)
            for seat in seats[name]:
                instance = seat.backend.instance
                if seat.backend.zone == settings.zone:
                    seat.tier = Locality.ZONE
                    rank = weights.rank(instance, settings.name, in_zone)
                    seat.rank = 0 if owned[instance] == settings.name else max(rank, 1)
                elif seat.backend.region == settings.region:
                    seat.tier = Locality.REGION
                    ahead = [n for n in region if self._peers[n][0] == seat.backend.zone]
                    others = [n for n in region if n not in ahead]
                    seat.rank = len(ahead) + weights.rank(instance, settings.name, others)
                else:
                    seat.tier = Locality.FAR
                    seat.rank = weights.rank(instance, settings.name, region)
            place.place(seats[name], len(region))
        for name in [n for n in self._candidates if n not in config.services]:
            del self._candidates[name]
