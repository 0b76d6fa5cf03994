"""The decisions of one gateway: quotas, health of the counter, choice and health of servers, attempts."""

from __future__ import annotations

import hashlib
import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from typing import Any

from hallhitch.decision import api
from hallhitch.decision.state import Attempt, Customer, OpenRequest, QuotaWindow, Server

MAX_WINDOW_MS = 60_000.0  # the longest quota window: the counter's protocol keeps a name no longer
DECREASE, CALL_RATIO_STEP = 0.8, 0.05  # a failed counter call multiplies the call ratio, a fast one adds
CALL_RECOVERY_MS = 1000.0  # after the last cut, until each fast reply adds the whole step
FULL_BUCKET_EXPONENT = 2.0  # full buckets are read this much more rarely than those of unknown customers
PEER_MEMORY_MS = 1000.0  # an earlier estimate of peers' use weighs as much as a new one over this time
INITIAL_OVERRUN_RATIO = 0.5  # assumed probability of exceeding the quota before any total is read
STREAK = 5  # equal results of counter calls that are no coincidence: an overloaded counter answers some
TRAFFIC_SKEW = 2.0  # busy gateways get this multiple of an even share of a customer's requests
SUBSET_SIZE, MAX_FULL_FLEET = 8, 16  # a gateway uses every server of a fleet of MAX_FULL_FLEET or fewer
UNSEEN_ATTEMPTS = 3.0  # assumed in flight from peers at a server where all of them rank before this gateway
EWMA_WEIGHT = 0.1  # weight of a new sample in running means: about the last ten samples count
SILENCE_TOLERANCE = 2.0  # service times without a response that reject nobody: response times vary as much
STALL_FACTOR = 4.0  # a server with attempts in flight is stalled after this many silent service times
RETRY_BUDGET_RATIO = 0.1  # retries a first attempt pays for, so that failures add at most a tenth to the load
RETRY_BURST = 10.0  # retries that can be saved up: enough for the broken attempts of one server
COLD_BUDGET_RATIO = 0.5  # planned share of the cold budget: chance and uneven gateways use the rest
SHED_AIM_RATIO = 0.6  # share of the aim that a predicted latency may take: real ones reach twice that
WORTH_SPAN = 2.0  # factor by which worth per work may move that share, lest a class or plan be shed entirely
INITIAL_LIMIT = 4.0  # per server, over all gateways; low, since late responses warn too late
LIMIT_GROWTH = 0.1  # share of INITIAL_LIMIT that a fast response adds, less than the fifth a late one removes
ALL_PLANS = ""  # key of an ejection that applies to every plan
WATCH, RELIST, DEADLINE = 0, 1, 2  # tokens of timers; that of a request's deadline is DEADLINE + its id


class Gateway:  # in long lines: c customer, r open request, s server, a attempt, e event
    """The decisions of one gateway. `api` defines its events and actions, `state` the records it keeps."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.config, self.rng, self.gateways = settings, random.Random(seed), 0
        self.customers: dict[str, Customer] = {}
        self.windows: dict[int, QuotaWindow] = {}
        self.servers: dict[str, Server] = {}
        self.requests: dict[int, OpenRequest] = {}
        self.service_ms: dict[str, float] = {}  # response time per attempt in flight, learned by class
        self.learned_at: dict[str, float] = defaultdict(float)  # when `service_ms` was last updated
        self.class_error_ratio: dict[str, float] = defaultdict(float)  # errors of a class on all servers
        self.overrun_ratio: dict[tuple[str, bool], float] = {}  # of unknown customers, by plan and repeat
        self.now, self.usual_worth = 0.0, 0.0  # usual_worth: running mean of worth per work
        self.pool: list[Server] = []  # the servers in state "up"
        self.call_ratio, self.counter_streak, self.counter_silent = 1.0, 0, False
        self.call_cut_at = self.streak_began_at = self.limit_cut = 0.0  # time of each last change
        self.concurrency_limit, self.is_limited = 0.0, False  # per server, over all gateways; was it reached
        self.connect_failures, self.connect_at = 0.0, 0.0  # ratio of refused new connections, and when
        self.in_flight, self.sent_at_sum, self.is_watching, self.retry_tokens = 0, 0.0, False, RETRY_BURST
        self.actions: list[api.Action] = [] if settings.push_list else [api.WatchList()]
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Request: self.on_request, api.TimerFired: self.on_timer, api.Peers: self.set_peers,
            api.CounterAnswer: self.on_counter_answer, api.AttemptEnded: self.on_attempt_ended,
            api.NewSettings: lambda e: self.apply_settings(e.settings), api.ServerList: self.on_server_list,
            api.RequestGone: lambda e: self.finish(e.id), api.StreamStarted: self.on_stream_started,
            api.ProbeEnded: lambda e: None, api.PeerMessage: lambda e: None}  # never requested
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply settings. Learned values stay, by name; open requests keep their class."""
        if settings.gateways != self.gateways:  # assumes all of them, until `Peers` tells who is alive
            count = self.gateways = settings.gateways
            self.set_peers(api.Peers(count, count, partial(rendezvous_rank, settings.index, count)))
        self.config, self.shortest_aim = settings, min(kind.aim for kind in settings.classes)
        self.service_ms = {kind.name: kind.aim / STALL_FACTOR for kind in settings.classes} | self.service_ms
        for c in self.customers.values():
            self.bind_plan(c, next((plan for plan in settings.plans if plan.name == c.plan.name), c.plan))

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Handle the events of one moment in order; return the actions in the order to carry them out."""
        self.now = now
        # Timers come last: after a stall of this gateway, responses in the same batch disprove a silence.
        for event in sorted(events, key=lambda e: isinstance(e, api.TimerFired)):
            self.handlers[type(event)](event)
        actions, self.actions = self.actions, []
        return actions

    def on_request(self, new: api.Request) -> None:
        """Count a new request and hold it until the total is read, or decide at once if none would help."""
        if new.id in self.requests:
            return None
        if new.kind is None and not 0 <= new.klass < len(self.config.classes):
            return self.actions.append(api.Reject(new.id))
        c = self.customers.get(new.customer)
        if c is None:
            plan = self.config.plans[new.plan] if 0 <= new.plan < len(self.config.plans) else api.Plan("none")
            c = Customer(new.customer, plan, plan.burst, plan.ceiling_burst, self.now, -MAX_WINDOW_MS)
            self.forget_idle_customers()
            self.customers[new.customer], c.spread, c.local_tokens = c, max(1.0, new.spread), plan.burst
            self.bind_plan(c, plan)
        request = self.requests[new.id] = OpenRequest(
            new, c, new.kind or self.config.classes[new.klass], self.now + new.patience)
        if new.patience < STALL_FACTOR * self.config.counter_timeout:  # whatever becomes of the counter call
            self.actions.append(api.SetTimer(max(0.0, new.patience), DEADLINE + new.id))
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_BUDGET_RATIO)
        if c.plan.open_limit and c.in_flight >= c.plan.open_limit:
            self.reject(request)
        elif not c.is_counted:
            self.decide_without_total(request)
        elif not (chance := self.call_ratio ** self.read_exponent(request)):
            self.decide_by_total(request, True)
        elif self.rng.random() >= chance:
            self.decide_without_total(request)
        else:
            request.counted = new.units
            self.add_and_read(c, 0 if self.counter_silent else new.id, request.counted)
            if self.counter_silent:  # the call is sent all the same, to detect that the counter is back
                self.decide_without_total(request)

    def bind_plan(self, customer: Customer, plan: api.Plan) -> None:
        """Set the limits of a customer from its plan."""
        customer.plan, customer.risk = plan, max(0.0, plan.beyond_cost - plan.beyond_worth)
        customer.refill_ms = 1000 * plan.burst / plan.rate if plan.rate else MAX_WINDOW_MS
        customer.is_counted = self.config.has_counter and plan.rate + plan.ceiling_rate > 0
        customer.local_share = min(1.0, (TRAFFIC_SKEW if self.config.has_counter else 1.0) / customer.spread)

    def forget_idle_customers(self) -> None:
        """Check the two customers checked longest ago; drop those whose record decides nothing any more."""
        for name in list(itertools.islice(self.customers, 2)):
            c = self.customers.pop(name)
            pending = c.window in self.windows and self.windows[c.window].pending_calls
            life = MAX_WINDOW_MS if c.plan.ceiling_rate else 2 * max(c.refill_ms, self.config.counter_timeout)
            if c.in_flight or pending or self.now - max(c.refilled_at, c.total_read_at) < life:
                self.customers[name] = c
            else:  # the buckets are full and the window is over, as in the record of a new customer
                self.windows.pop(c.window, None)

    def read_exponent(self, request: OpenRequest) -> float:
        """Exponent to the call ratio: the larger, the rarer the call to a busy counter; 0 calls always."""
        # Spends the calls an overloaded counter can bear on customers near their limit, and keeps a few busy
        # ones from using them all. The cost: one that was far from its limit a moment ago is noticed late.
        c = request.customer
        if self.call_ratio >= 1 or self.is_stale(c):
            return 1.0
        self.refill(c)
        if not self.counter_silent and c.plan.rate and c.tokens + c.others_guess < request.arrival.units:
            return math.inf  # beyond the quota even if no peer has used any since: a total adds nothing
        return 1 / FULL_BUCKET_EXPONENT + FULL_BUCKET_EXPONENT * max(0.0, c.tokens) / (c.plan.burst or 1.0)

    def add_and_read(self, c: Customer, request_id: int, units: float) -> None:
        """Add units, and those pending, to the customer's count in the current window."""
        # A window lasts as long as the burst takes to refill; with a ceiling it is the longest there is.
        lifetime = MAX_WINDOW_MS if c.plan.ceiling_rate else min(MAX_WINDOW_MS, max(1.0, c.refill_ms))
        shift = digest(c.name) % int(lifetime)  # so that the windows of customers end at different times
        index = (self.now + shift) // lifetime
        key = digest(f"{c.name} {index:.0f}")
        if key != c.window and c.window in self.windows and not self.windows[c.window].pending_calls:
            del self.windows[c.window]  # that window is over
        window, c.window = self.windows.setdefault(key, QuotaWindow(c, index * lifetime - shift)), key
        if self.is_stale(c):  # of the units passed uncounted, those that may fall into this window
            c.pending = max(0.0, c.pending) * c.refill_ms / (self.now - c.total_read_at)
        amount, c.pending = units + c.pending, 0.0
        window.pending_calls.append((request_id, amount))
        self.actions.append(api.Count(key, amount, lifetime))

    def on_counter_answer(self, event: api.CounterAnswer) -> None:
        """Take what peers used since the last total from the bucket, then decide the waiting request."""
        window = self.windows.get(event.name)
        if window is None or not window.pending_calls:
            return
        customer, (request_id, amount) = window.customer, window.pending_calls.popleft()
        if not window.pending_calls and event.name != customer.window:
            del self.windows[event.name]  # that window is over and this was its last call
        is_known = not self.is_stale(customer)
        self.update_counter_health(event)
        if event.outcome == "ok":
            self.apply_total(customer, window, event.total - amount)
            window.last_total = event.total
        elif event.outcome != "timeout":  # a call that timed out may have been counted
            customer.pending += amount
        if request_id in self.requests and event.outcome == "ok":
            self.decide_by_total(self.requests[request_id], is_known)
        elif request_id in self.requests:
            self.decide_without_total(self.requests[request_id])

    def apply_total(self, c: Customer, window: QuotaWindow, prior: float) -> None:
        """Update the buckets from a total: refill at the rate, subtract what peers added."""
        age, growth = (self.now - window.started_at) / 1000, prior - window.last_total
        if growth < -self.config.max_units * c.spread:
            growth = prior  # counts were lost (a flush or restart): the rest is new, not a fresh window
        gap, is_new = self.now - c.total_read_at, self.is_stale(c)
        c.others = 0.0 if is_new else c.others + (max(0.0, growth) - c.others * gap) / (gap + PEER_MEMORY_MS)
        self.refill(c, 0.0 if is_new else growth)
        if is_new:
            # A first total, or as good as one (after a restart, or as one gateway of many): what the window
            # can have left, plus as much of a burst as is worth the risk of exceeding the quota.
            c.tokens = min(c.plan.burst, c.plan.burst / (1 + c.risk) + c.plan.rate * age - prior)
            c.ceiling_tokens = min(c.ceiling_tokens, c.plan.ceiling_burst + c.plan.ceiling_rate * age - prior)
        c.total_read_at = self.now

    def is_stale(self, customer: Customer) -> bool:
        """Whether the record of a customer is outdated: its bucket may be full and its window over."""
        return self.now - customer.total_read_at > max(customer.refill_ms, self.config.counter_timeout)

    def refill(self, c: Customer, used: float | None = None) -> None:
        """Refill the buckets for the time elapsed; subtract use since the last total, `used` or estimated."""
        seconds = (self.now - c.refilled_at) / 1000
        guess = c.others * (self.now - c.refilled_at) if used is None else 0.0
        taken = guess if used is None else used - c.others_guess
        # Uncertain totals may overdraw the bucket as far as the cost of exceeding the quota justifies.
        fill, local_burst = c.plan.rate * seconds, max(c.plan.burst * c.local_share, self.config.max_units)
        c.local_tokens = min(local_burst, c.local_tokens + fill * c.local_share)  # may pass without a total
        low = -c.risk * self.config.max_units
        c.others_guess = c.others_guess + min(guess, max(0.0, c.tokens + fill - low)) if used is None else 0.0
        c.tokens = max(min(c.plan.burst, c.tokens + fill - taken), low)
        ceiling = c.ceiling_tokens + c.plan.ceiling_rate * seconds - max(0.0, used or 0.0)
        c.ceiling_tokens, c.refilled_at = min(c.plan.ceiling_burst, ceiling), self.now

    def decide_by_total(self, request: OpenRequest, is_known: bool) -> None:
        """Decide with a total: send within the limit, else reject at once."""
        c, units = request.customer, request.arrival.units
        request.is_within_quota = not c.plan.rate or c.tokens >= units
        if not is_known:
            was = self.overrun_ratio.get((c.plan.name, request.arrival.repeat), INITIAL_OVERRUN_RATIO)
            self.overrun_ratio[c.plan.name, request.arrival.repeat] = (
                was + EWMA_WEIGHT * ((not request.is_within_quota) - was))
        # Requests beyond the quota pass too, where the plan pays for them and servers have spare capacity.
        is_paid = c.plan.beyond_worth > c.plan.beyond_cost and self.admissible_server(request, WORTH_SPAN**-2)
        if (request.is_within_quota or is_paid) and (c.ceiling_tokens >= units or not c.plan.ceiling_rate):
            self.admit(request)
        else:
            c.pending -= request.counted
            self.reject(request)
            if units > 1 and request.counted and not self.counter_silent and is_known:
                self.add_and_read(c, 0, 0.0)  # else peers would count the rejected units as used

    def decide_without_total(self, request: OpenRequest) -> None:
        """Decide without a total: fail open, but keep to this gateway's share of a ceiling."""
        customer, units = request.customer, request.arrival.units
        self.refill(customer)
        available = customer.plan.burst if self.is_stale(customer) else customer.tokens
        if self.counter_silent or self.is_stale(customer) or not customer.is_counted:
            available = min(customer.local_tokens, available)
        request.is_within_quota = not customer.plan.rate or available >= units
        has_room = not customer.plan.ceiling_rate or customer.ceiling_tokens >= units * customer.spread
        if customer.is_counted and customer.plan.rate and not self.counter_silent and self.is_stale(customer):
            # The counter is overloaded: admit only if the overrun ratio of such requests is worth the risk.
            has_room = has_room and self.overrun_ratio.get(
                (customer.plan.name, request.arrival.repeat), INITIAL_OVERRUN_RATIO) * (1 + customer.risk) < 1
        if has_room and (request.is_within_quota or self.counter_silent):
            customer.ceiling_tokens -= units * (customer.spread - 1)  # as if its peers did the same
            self.admit(request)
        else:
            customer.pending -= request.counted
            self.reject(request)

    def update_counter_health(self, e: api.CounterAnswer) -> None:
        """Lower the call ratio while replies are late or missing; raise it while they are fast."""
        good, quick = e.outcome == "ok", e.lag <= self.config.counter_timeout / 2
        if good and quick:
            self.call_ratio = min(1.0, self.call_ratio + CALL_RATIO_STEP * min(
                1.0, (self.now - self.call_cut_at) / CALL_RECOVERY_MS))
        # A fast timeout after a success is a broken connection, not overload. Queued calls are late together.
        elif not (quick and e.outcome == "timeout" and self.counter_streak > 0) and (
                self.now - self.call_cut_at > self.config.counter_timeout):
            self.call_ratio, self.call_cut_at = max(CALL_RATIO_STEP, self.call_ratio * DECREASE), self.now
        # Late and "full" replies count as alive: a slow or overloaded counter must not open every quota.
        alive = good or e.outcome == "full"
        if alive != (self.counter_streak > 0):
            self.streak_began_at = self.now
        self.counter_streak = max(1, self.counter_streak + 1) if alive else min(-1, self.counter_streak - 1)
        # Calls on one connection fail together with it: that is one failure, not a streak of them.
        long = self.now - self.streak_began_at >= self.config.counter_timeout
        if self.counter_streak >= STREAK if self.counter_silent else self.counter_streak <= -STREAK and long:
            self.counter_silent = not self.counter_silent
            text = f"counter silent ({e.outcome}): failing open" if self.counter_silent else "counter is back"
            self.actions.append(api.Log(text))

    def on_server_list(self, news: api.ServerList) -> None:
        """Apply a server list; a draining or removed server gets no new attempt from now on."""
        if news.mode == "failed":
            self.actions.append(api.SetTimer(self.config.connect_timeout * STALL_FACTOR, RELIST))
            return
        old, self.servers = self.servers, dict(self.servers) if news.mode == "changes" else {}
        for entry in news.entries:
            s = old.get(entry.server)
            if entry.state == "gone":
                self.servers.pop(entry.server, None)
            elif s is None or s.entry.started != entry.started:
                s = self.servers[entry.server] = Server(entry, self.now)
                s.rank = self.peers.rank(entry.server)
                # All gateways learn of a cold start at once: each begins at a random time.
                delay = max(self.config.fall_time, self.warming_pause(s)) if self.warm_ratio(s) < 1 else 0.0
                s.warming_until = self.now + self.rng.random() * delay
            else:
                s.entry, self.servers[entry.server] = entry, s
        self.pool = [s for s in self.servers.values() if s.entry.state == "up"]
        self.select_subset()
        self.concurrency_limit = self.concurrency_limit or max(INITIAL_LIMIT, self.fleet_in_flight(1))

    def warm_ratio(self, server: Server) -> float:
        """The least share of its capacity that a server can have, as if it warmed up at the slowest rate."""
        age = self.now - server.entry.started
        if not server.entry.started or age >= self.config.cold_time:
            return 1.0
        return self.config.cold_from + (1 - self.config.cold_from) * max(0.0, age) / self.config.cold_time

    def predict_latency(self, s: Server, r: OpenRequest, tolerance: float = 0.0, start: float = 1.0) -> float:
        """Expected latency of a server now; `tolerance` service times of silence do not increase it."""
        report_age = (self.now - s.queue_at) / r.kind.aim  # late, noisy reports add to the queue and expire
        queue = len(s.in_flight) + start + s.queue_length * max(0.0, 1 - report_age)
        failure_ratio = s.error_ratio if s.is_connected else max(s.error_ratio, self.connect_failure_ratio())
        cost = (self.service_ms[r.kind.name] * s.slowness * queue / self.warm_ratio(s)
                / max(EWMA_WEIGHT, 1 - failure_ratio))
        # Silence while attempts are in flight is the first symptom of any stall, whatever its cause.
        silence = (self.now - s.heard_at) / self.service_ms[r.kind.name] if s.in_flight else 0.0
        return cost * (1 + max(0.0, silence - tolerance))

    def select_server(self, request: OpenRequest) -> Server | None:
        """The best server that accepts this request; one already tried only if there is no other."""
        if self.now >= self.subset_expires_at:
            self.select_subset()
        tried = [attempt.entry.server for attempt in request.attempts]
        choices = [s for s in self.subset if s.entry.server not in tried and self.accepts(s, request)]
        choices = choices or [s for s in self.pool if self.warm_ratio(s) >= 1 and self.accepts(s, request)]
        # Peers' attempts are unseen, and more of them go where more peers rank first: each gateway sees most
        # work of its own servers. A random term of one attempt divides work among idle servers by capacity.
        draw, unseen = self.rng.expovariate, UNSEEN_ATTEMPTS / self.subset_gateways
        return min(choices, default=None, key=lambda s: self.predict_latency(
            s, request, start=draw(1) + unseen * s.rank * self.warm_ratio(s)))

    def connect_failure_ratio(self) -> float:
        """Expected ratio of new connections that fail; old failures say nothing about the present."""
        return self.connect_failures * max(0.0, 1 - (self.now - self.connect_at) / self.config.keepalive)

    def record_connection(self, server: Server, attempt: Attempt, outcome: str) -> None:
        """Learn whether servers still accept new connections."""
        # A server with a full connection table refuses new clients and looks idle, yet serves connected ones.
        # Keep to open connections, as in any fault that spares them. New servers get little for a while.
        if not attempt.was_connected:
            ratio, failed = self.connect_failure_ratio(), outcome == "unreachable"
            self.connect_failures, self.connect_at = ratio + EWMA_WEIGHT * (failed - ratio), self.now
        server.is_connected = outcome not in ("unreachable", "reset")
        if not server.is_connected:
            self.select_subset()

    def select_subset(self) -> None:
        """Choose the subset of servers that this gateway uses."""
        # Connections of hundreds of gateways fill a server's table, and each learns little. All servers
        # get equally many, each by its own order: none is left out, and one that returns gets the same again.
        ejected = {s for s in self.pool if not s.is_connected and s.ejected.get(ALL_PLANS, 0.0) > self.now}
        self.subset_expires_at = min((s.ejected[ALL_PLANS] for s in ejected), default=math.inf)  # first end
        self.subset_gateways = self.gateways_per_server()
        usable = sorted(set(self.pool) - ejected, key=lambda s: (s.rank, s.entry.server))
        self.subset = [s for n, s in enumerate(usable) if s.rank < self.subset_gateways or n < SUBSET_SIZE]

    def gateways_per_server(self) -> int:
        """How many gateways use a server: all in a small fleet, else enough to give each SUBSET_SIZE."""
        enough = math.ceil(SUBSET_SIZE * max(1.0, self.peers.seen / max(1, len(self.pool))))
        return self.peers.seen if len(self.pool) <= MAX_FULL_FLEET else min(self.peers.seen, enough)

    def set_peers(self, peers: api.Peers) -> None:
        """Update the peers: subset ranks are among those seen, budgets are shared by all counted."""
        self.peers = peers
        for server in self.servers.values():
            server.rank = peers.rank(server.entry.server)
        self.select_subset()

    def unavailable_count(self) -> int:
        """Number of listed servers that get no attempts: not up, or ejected after repeated failures."""
        return len(self.servers) - sum(
            server.fails < 3 or server.ejected.get(ALL_PLANS, 0.0) <= self.now for server in self.pool)

    def accepts(self, s: Server, r: OpenRequest) -> bool:
        """Whether a server may get this request now. An ejection can be limited to one plan."""
        until = max(s.warming_until, s.ejected.get(ALL_PLANS, 0.0), s.ejected.get(r.customer.plan.name, 0.0))
        return until <= self.now and self.allows_retry_at(r, s.entry)

    def fleet_in_flight(self, out: float) -> float:
        """Attempts in flight at each server if every gateway has `out` of them in flight."""
        return out * self.peers.counted / max(1, len(self.servers))

    def warming_pause(self, s: Server) -> float:
        """How long a server rests after a send: none when warm; when cold, its share spread evenly."""
        # Responses count, not sends, lest an overloaded fleet look capable; one per fall time is the least.
        if self.warm_ratio(s) >= 1:
            return 0.0
        fleet = sum(o.entry.weight * self.warm_ratio(o) for o in self.servers.values())
        served = sum(t > self.now - self.config.fall_time for o in self.servers.values() for t in o.served_at)
        seen, share = self.peers.seen * self.config.processes, self.peers.counted / self.peers.seen
        budget = served * seen * s.entry.weight * self.warm_ratio(s) * self.config.fall_multiple / fleet
        processes, subset = self.config.processes, self.subset_gateways
        own = max(1, 2 * (subset - s.rank) - 1) / subset  # lower ranks get more; the mean is 1
        return self.config.fall_time * share * subset * processes / max(1, budget * COLD_BUDGET_RATIO) / own

    def allows_retry_at(self, r: OpenRequest, target: api.ServerEntry) -> bool:
        """Whether a server may run a retry: keyed in its group and window, unsafe only if nothing ran."""
        ran = [attempt for attempt in r.attempts if attempt.state != "never"]
        if not ran or r.kind.effect == api.SAFE:
            return True
        first = ran[0].entry
        is_near = {"all": True, "zone": first.zone == target.zone,
                   "cell": (first.zone, first.cell) == (target.zone, target.cell)}[r.kind.group]
        return r.kind.effect == api.KEYED and is_near and self.now - ran[0].sent_at < r.kind.repeat_window

    def admissible_server(self, r: OpenRequest, worth: float) -> Server | None:
        """The server to use, or None if the predicted latency is too large a share of the aim."""
        best = self.select_server(r)
        # All gateways together may always keep one attempt in flight per server, to notice recovery.
        share, out = 1 / self.fleet_in_flight(1), self.in_flight + self.rng.random()
        if best is None or out < share:
            return best
        # Few gateways use their share at one time: the root of the mean allows for random variation. There is
        # no allowance while the counter is silent, as nobody's load is known, or soon after a late response.
        limit, alive = share * self.concurrency_limit, self.counter_streak > 0 or not r.customer.is_counted
        if alive and self.now - self.limit_cut > STALL_FACTOR * r.kind.aim:
            limit = TRAFFIC_SKEW * (limit + limit**0.5)
        if out > limit:
            self.is_limited = True
            return None
        # The age of attempts in flight shows congestion before responses do; one long request alone does not.
        latency = self.predict_latency(best, r, SILENCE_TOLERANCE)
        age = max(0.0, self.now - self.sent_at_sum / self.in_flight) if self.in_flight else 0.0
        latency = max(latency, (age * SHED_AIM_RATIO * latency) ** 0.5)
        return best if latency <= SHED_AIM_RATIO * r.kind.aim * worth else None

    def admit(self, r: OpenRequest) -> None:
        """Send a request that may pass, or reject it so that it does not displace worthier ones."""
        worth = r.kind.worth * r.customer.plan.price * r.arrival.units / self.service_ms[r.kind.name]
        self.usual_worth += EWMA_WEIGHT * (worth - self.usual_worth)
        # While the counter is silent, what exceeds the quota by all that is known is shed first under load.
        span = min(WORTH_SPAN, max(1 / WORTH_SPAN, worth / self.usual_worth))
        best = self.admissible_server(r, span if r.is_within_quota else 1 / WORTH_SPAN)
        if r.is_within_quota and best is not None:
            r.customer.tokens -= r.arrival.units
            r.customer.local_tokens -= r.arrival.units
            r.customer.ceiling_tokens -= r.arrival.units
            r.customer.pending += r.arrival.units - r.counted  # if uncounted, added with the next call
        else:
            r.customer.pending -= r.counted  # what is shed or beyond the quota uses none of it
        if best is not None:
            self.send(r, best)
        else:
            self.reject(r)

    def send(self, request: OpenRequest, server: Server) -> None:
        """Begin an attempt of a request at a server."""
        if not server.in_flight:
            server.heard_at = self.now
        server.in_flight.add((request.arrival.id, len(request.attempts)))
        self.in_flight, self.sent_at_sum = self.in_flight + 1, self.sent_at_sum + self.now
        if not self.is_watching:
            self.is_watching = True
            self.actions.append(api.SetTimer(self.shortest_aim / 2, WATCH))
        request.attempts.append(Attempt(server.entry, self.now, len(server.in_flight), server.is_connected))
        server.warming_until = self.now + self.warming_pause(server)
        request.customer.in_flight += 1
        self.actions.append(api.Send(request.arrival.id, server.entry.server))

    def on_attempt_ended(self, e: api.AttemptEnded) -> None:
        """Learn from the end of an attempt, then finish, retry or give up."""
        server, request = self.servers.get(e.server), self.requests.get(e.id)
        attempt = request.attempts[e.attempt] if request and e.attempt < len(request.attempts) else None
        if attempt is not None:
            self.in_flight, self.sent_at_sum = self.in_flight - 1, self.sent_at_sum - attempt.sent_at
        if server is not None:
            server.in_flight.discard((e.id, e.attempt))
            self.observe(server, e, attempt, request)
            if attempt is not None and e.outcome != "void":
                self.record_connection(server, attempt, e.outcome)
        if request is None or attempt is None:
            return
        request.customer.in_flight -= 1
        attempt.state = "never" if e.outcome in ("full", "unreachable", "void") else "maybe"
        if e.outcome == "ok" and self.config.postpaid and e.true_units and request.is_within_quota:
            request.customer.tokens -= e.true_units - request.arrival.units
            request.customer.pending += e.true_units - request.arrival.units
        if e.done:
            self.finish(e.id)
        elif not any(other.state == "out" for other in request.attempts):
            self.retry_or_answer(request, e)

    def observe(self, s: Server, e: api.AttemptEnded, attempt: Attempt | None, r: OpenRequest | None) -> None:
        """Update a server's health and speed from the outcome of an attempt."""
        if "waiting" in e.report:
            s.queue_length, s.queue_at = e.report["waiting"], self.now
        if e.outcome in ("ok", "error"):
            s.heard_at, s.fails = self.now, 0
            # Errors that a class has everywhere are charged to the class, not to the server.
            kind, failed = (r.kind if r else self.config.classes[0]).name, float(e.outcome == "error")
            s.error_ratio += EWMA_WEIGHT * (failed * (1 - self.class_error_ratio[kind]) - s.error_ratio)
            self.class_error_ratio[kind] += EWMA_WEIGHT * (failed - self.class_error_ratio[kind])
        if e.outcome == "ok":
            s.served_at.append(self.now)
            while s.served_at[0] < self.now - self.config.fall_time:
                s.served_at.popleft()
        if e.outcome in ("ok", "timeout") and attempt is not None and r is not None:
            # An overloaded server stays slow for long, and its first late responses come after the damage. So
            # the limit starts low, rises with timely responses, and falls with late ones while half of it is
            # used. This guards slow fleets; the cost is that a fast one rejects some in its first seconds.
            late = e.lag > r.kind.aim and attempt.sent_at > self.limit_cut
            if late and self.fleet_in_flight(self.in_flight + 1) > self.concurrency_limit / 2:
                self.concurrency_limit, self.limit_cut = max(1.0, self.concurrency_limit * DECREASE), self.now
            elif e.lag < SHED_AIM_RATIO * r.kind.aim and self.is_limited:
                self.concurrency_limit += LIMIT_GROWTH * max(INITIAL_LIMIT, self.fleet_in_flight(1))
                self.is_limited = False
            usual, sample = self.service_ms[r.kind.name], e.lag / attempt.concurrency
            s.slowness += EWMA_WEIGHT * (min(STALL_FACTOR, sample / usual) * self.warm_ratio(s) - s.slowness)
            age, self.learned_at[r.kind.name] = self.now - self.learned_at[r.kind.name], self.now
            # A value learned long ago weighs less: where few requests are sent, few samples must do.
            self.service_ms[r.kind.name] += (
                min(0.5, EWMA_WEIGHT / 2 + age / r.kind.aim / STALL_FACTOR) * (sample - usual))
        is_silent = attempt is not None and (
            s.heard_at <= attempt.sent_at < self.now - STALL_FACTOR * max(self.service_ms.values()))
        if e.outcome in ("full", "unreachable", "reset") or is_silent and e.outcome != "ok":
            # Ejections grow: a server that refuses or swallows work has none in flight and would attract all.
            base = min(self.service_ms.values()) if e.outcome == "full" else self.config.connect_timeout
            scope = r.customer.plan.name if e.outcome == "full" and r is not None else ALL_PLANS
            # One broken connection says little about a server, and nothing where all servers break some.
            if e.outcome != "reset" or s.fails:
                s.ejected[scope] = self.now + base * 2 ** min(s.fails, STALL_FACTOR)
            s.fails += 1

    def retry_or_answer(self, r: OpenRequest, event: api.AttemptEnded) -> None:
        """With nothing in flight: retry elsewhere if allowed, within the budget and in time; else answer."""
        best, remaining = None if r.is_streaming else self.select_server(r), r.deadline - self.now
        ran = any(attempt.state != "never" for attempt in r.attempts)
        # An attempt without a connection costs no budget: nothing ran, nothing is in flight.
        cost = float(event.outcome != "unreachable")
        if best and remaining > 0 and len(r.attempts) < self.config.attempts and self.retry_tokens >= cost:
            self.retry_tokens -= cost
            self.send(r, best)
        elif remaining > 0 and (not ran or r.kind.effect != api.UNSAFE and r.kind.group == "all"):
            self.reject(r, self.config.connect_timeout * (event.outcome == "unreachable"))
        else:
            self.fail(r.arrival.id)

    def fail(self, request_id: int) -> None:
        """Answer with a failure that tells nothing about whether the request ran."""
        self.actions.append(api.Fail(request_id))
        self.finish(request_id)

    def reject(self, request: OpenRequest, least_wait: float = 0.0) -> None:
        """Reject at once; advise when the bucket holds the units and servers may be tried again."""
        self.refill(request.customer)
        wait = (request.arrival.units - request.customer.tokens) / (request.customer.plan.rate or 1.0) * 1000
        advice = min(max(wait, least_wait), self.config.max_advice) if self.config.can_advise else 0.0
        self.actions.append(api.Reject(request.arrival.id, advice))
        self.finish(request.arrival.id)

    def finish(self, request_id: int) -> None:
        """Forget a request and cancel its attempts in flight."""
        request = self.requests.pop(request_id, None)
        for number, attempt in enumerate(request.attempts if request else []):
            if request and attempt.state == "out":
                request.customer.in_flight -= 1
                self.in_flight, self.sent_at_sum = self.in_flight - 1, self.sent_at_sum - attempt.sent_at
                if self.config.can_cancel and not request.is_streaming:
                    self.actions.append(api.Cancel(request_id, number))

    def on_stream_started(self, event: api.StreamStarted) -> None:
        """Note that an attempt has begun to stream: it is neither cancelled nor retried."""
        if event.id in self.requests:
            self.requests[event.id].is_streaming = True

    def on_timer(self, e: api.TimerFired) -> None:
        """Fetch a failed list again, move attempts away from silent servers, or fail an overdue request."""
        if e.token == RELIST:
            self.actions.append(api.FetchList() if self.config.push_list else api.WatchList())
        elif e.token == WATCH:
            due = [self.hedge_or_cancel(r, n) for r in list(self.requests.values()) if not r.is_streaming
                   for n, attempt in enumerate(r.attempts) if attempt.state == "out"]
            self.is_watching = bool(due)
            if due:
                self.actions.append(
                    api.SetTimer(max(min(due) - self.now, EWMA_WEIGHT * self.shortest_aim), WATCH))
        elif e.token >= DEADLINE and (r := self.requests.get(e.token - DEADLINE)) and not r.is_streaming:
            self.fail(e.token - DEADLINE)

    def hedge_or_cancel(self, r: OpenRequest, number: int) -> float:
        """Hedge or cancel an attempt at a silent server; return when to check it again."""
        a, usual = r.attempts[number], self.service_ms[r.kind.name]
        server = self.servers.get(a.entry.server)
        # Not while such silences are common: in overload each move does the work twice.
        due = max(a.sent_at, server.heard_at if server else 0.0) + max(STALL_FACTOR * usual, r.kind.aim / 2)
        if due > self.now:
            return due
        can_move = sum(a.state == "out" for a in r.attempts) == 1 and self.retry_tokens >= 1
        best = self.select_server(r) if can_move and r.kind.effect != api.UNSAFE else None
        if best in (None, server) or len(r.attempts) >= self.config.attempts or self.now + usual > r.deadline:
            return r.deadline
        if best and self.config.can_hedge:
            self.retry_tokens -= 1
            self.send(r, best)
        elif self.config.can_cancel:
            self.actions.append(api.Cancel(r.arrival.id, number))
        return r.deadline


def digest(text: str) -> int:
    """A hash of the text that is the same in every process."""
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big") >> 1


def rendezvous_rank(index: int, count: int, server: str) -> int:
    """A gateway's rank, from 0, in a server's own order of gateways: a start and a step through them."""
    seed = digest(server)
    step = next(n for n in itertools.count(1 + seed // count) if math.gcd(n, count) == 1)
    return (seed + index * step) % count
