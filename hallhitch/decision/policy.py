"""The decisions of one gateway; settings, events and actions: api.py; records: state.py.

Read top to bottom: quota (a request is counted on its customer's window name, held until the total is
read, then sent or refused), counter health, server choice and health, attempts.
"""

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

COUNT_LIFE = 60_000.0  # the counter forgets a name after this (wire page): the longest window there is
ASK_DOWN, ASK_UP = 0.8, 0.05  # a failed call cuts the share that asks by a fifth, a quick one adds to it
WELL = 1000.0  # ms without a slow answer until each quick one adds all of that
SURE = 2.0  # how much rarer a customer asks whose store is full than one of whom nothing is known
MEMORY = 1000.0  # ms that weigh as much as a first look at what others use of a quota
EVEN = 0.5  # the chance that a try is beyond its quota where nothing was read yet
CHANCE = 5  # calls in a row answered, or without answer, that are no chance: crowded counters answer some
UNEVEN = 2.0  # how many times an even share of a customer's requests its busier gateways see
FEW, WHOLE = 8, 16  # servers that a gateway keeps to: a fleet of at most WHOLE all, of a larger one few
UNSEEN = 3.0  # attempts that others are taken to have out where all of them go before this gateway
LEARN = 0.1  # weight of a new sample in running means: about the last ten count
QUIET = 2.0  # usual answer times without an answer that are no reason to refuse: work scatters as much
STALL = 4.0  # a server with work out, quiet for this many usual answer times, is taken for stalled
RETRY_SHARE = 0.1  # further attempts a first one pays for: trouble may add a tenth to the load, not more
RETRY_STORE = 10.0  # further attempts saved up at most: one server's worth of broken attempts
COLD_MARGIN = 0.5  # share of the cold budget to plan for: chance and uneven gateways fill the rest
SHED_AT = 0.6  # share of the aim a foreseen answer may take: answers scatter to about twice what is foreseen
WORTH_SPAN = 2.0  # how far worth for work may move that share, so that no class or plan is shed wholesale
DEPTH = 4.0  # attempts out a server, over all gateways, to begin with: few, as late answers come too late
GROW = 0.1  # share of that a good answer adds to it: less than the fifth that a late one takes off
ALL = ""  # a server's rest for every plan
LOOK, RELIST, LAST = 0, 1, 2  # tokens of timers; a request's last moment is LAST + its id


class Gateway:
    """The decisions of one gateway: `handle` takes what happened and returns what to do."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.config, self.rng, self.gateways = settings, random.Random(seed), 0
        self.customers: dict[str, Customer] = {}
        self.windows: dict[int, QuotaWindow] = {}
        self.servers: dict[str, Server] = {}
        self.requests: dict[int, OpenRequest] = {}
        self.service_ms: dict[str, float] = {}  # answer time a place in line, learned, by class
        self.learned_at: dict[str, float] = defaultdict(float)  # when
        self.class_error_ratio: dict[str, float] = defaultdict(float)  # share that ends as errors everywhere
        self.overrun_ratio: dict[tuple[str, bool], float] = {}  # found beyond the quota, by plan and repeat
        self.now, self.usual_worth = 0.0, 0.0  # usual worth for work, learned
        self.pool: list[Server] = []  # servers that are up
        self.ask_ratio, self.counter_streak, self.counter_silent = 1.0, 0, False
        self.ask_cut_at = self.streak_began_at = self.limit_cut = 0.0  # when each last changed
        self.concurrency_limit, self.is_limited = 0.0, False  # a server's, fleet-wide; whether it was met
        self.connect_failures, self.connect_at = 0.0, 0.0  # share of new connections refused
        self.in_flight, self.sent_at_sum, self.is_watching, self.retry_tokens = 0, 0.0, False, RETRY_STORE
        self.actions: list[api.Action] = [] if settings.push_list else [api.WatchList()]
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Request: self.on_request, api.TimerFired: self.on_timer, api.Peers: self.set_peers,
            api.CounterAnswer: self.on_counter_answer, api.AttemptEnded: self.on_attempt_ended,
            api.NewSettings: lambda e: self.apply_settings(e.settings), api.ServerList: self.on_server_list,
            api.RequestGone: lambda e: self.finish(e.id), api.StreamStarted: self.on_stream_started,
            api.ProbeEnded: lambda e: None, api.PeerMessage: lambda e: None,  # nothing here asks for these
        }
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Go by these settings: what was learned stays by name, requests under way keep their class."""
        if settings.gateways != self.gateways:  # holds until it is told who is there
            count = self.gateways = settings.gateways
            self.set_peers(api.Peers(count, count, partial(rendezvous_rank, settings.index, count)))
        self.config, self.shortest_aim = settings, min(kind.aim for kind in settings.classes)
        self.service_ms = {kind.name: kind.aim / STALL for kind in settings.classes} | self.service_ms
        for c in self.customers.values():
            self.bind_plan(c, next((plan for plan in settings.plans if plan.name == c.plan.name), c.plan))

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in order, and answer with actions, in order."""
        self.now = now
        # Timers last: after a stall of this gateway's own all comes at once, and its timers must not take
        # servers for quiet whose answers lie behind them.
        for event in sorted(events, key=lambda e: isinstance(e, api.TimerFired)):
            self.handlers[type(event)](event)
        done, self.actions = self.actions, []
        return done

    # Quota: one add-and-read a request on the customer's window count, checked before release.

    def on_request(self, ask: api.Request) -> None:
        """Count a new request, or decide at once where asking cannot help."""
        if ask.id in self.requests:
            return None
        if ask.kind is None and not 0 <= ask.klass < len(self.config.classes):
            return self.actions.append(api.Refuse(ask.id))
        c = self.customers.get(ask.customer)
        if c is None:
            plan = self.config.plans[ask.plan] if 0 <= ask.plan < len(self.config.plans) else api.Plan("none")
            c = Customer(ask.customer, plan, plan.burst, plan.ceiling_burst, self.now, -COUNT_LIFE)
            self.forget_idle_customers()
            self.customers[ask.customer], c.spread, c.local_tokens = c, max(1.0, ask.spread), plan.burst
            self.bind_plan(c, plan)
        r = self.requests[ask.id] = OpenRequest(
            ask, c, ask.kind or self.config.classes[ask.klass], self.now + ask.patience)
        if ask.patience < STALL * self.config.counter_timeout:  # whatever the counter does
            self.actions.append(api.SetTimer(max(0.0, ask.patience), LAST + ask.id))
        self.retry_tokens = min(RETRY_STORE, self.retry_tokens + RETRY_SHARE)
        if c.plan.open_limit and c.in_flight >= c.plan.open_limit:
            self.reject(r)
        elif not c.is_counted:
            self.decide_without_total(r)
        elif not (chance := self.ask_ratio ** self.read_exponent(r)):
            self.decide_by_total(r, True)
        elif self.rng.random() >= chance:
            self.decide_without_total(r)
        else:
            r.counted = ask.units
            self.add_and_read(c, 0 if self.counter_silent else ask.id, r.counted)
            if self.counter_silent:  # the call goes on as the check whether the counter is back
                self.decide_without_total(r)

    def bind_plan(self, c: Customer, plan: api.Plan) -> None:
        """Have a customer's quota follow its plan."""
        c.plan, c.risk = plan, max(0.0, plan.beyond_cost - plan.beyond_worth)
        c.refill_ms = 1000 * plan.burst / plan.rate if plan.rate else COUNT_LIFE
        c.is_counted = self.config.has_counter and plan.rate + plan.ceiling_rate > 0
        c.local_share = min(1.0, (UNEVEN if self.config.has_counter else 1.0) / c.spread)

    def forget_idle_customers(self) -> None:
        """Look at the two customers longest not looked at; drop those of whom nothing decides any more."""
        for name in list(itertools.islice(self.customers, 2)):
            c = self.customers.pop(name)
            calls = c.window in self.windows and self.windows[c.window].pending_calls
            life = COUNT_LIFE if c.plan.ceiling_rate else 2 * max(c.refill_ms, self.config.counter_timeout)
            if c.in_flight or calls or self.now - max(c.refilled_at, c.total_read_at) < life:
                self.customers[name] = c
            else:  # its stores are full, its window is over: a newcomer's record is the same
                self.windows.pop(c.window, None)

    def read_exponent(self, r: OpenRequest) -> float:
        """How much an answer is needed where a crowded counter cannot be asked each time: 0 is always."""
        # What a counter bears goes to those near their limit. Guards as well against few customers with much
        # traffic taking all of it. Harm: who was far from the limit a moment ago is noticed late.
        c = r.customer
        if self.ask_ratio >= 1 or self.is_stale(c):
            return 1.0
        self.refill(c)
        if not self.counter_silent and c.plan.rate and c.tokens + c.others_guess < r.request.units:
            return math.inf  # past the quota even if nobody else took of it since: the answer is known
        return 1 / SURE + SURE * max(0.0, c.tokens) / (c.plan.burst or 1.0)

    def add_and_read(self, c: Customer, rid: int, units: float) -> None:
        """Add units, and what is pending, to the customer's count for this window."""
        # As long as the burst takes to refill; a ceiling is held over the longest window there is.
        life = COUNT_LIFE if c.plan.ceiling_rate else min(COUNT_LIFE, max(1.0, c.refill_ms))
        shift = digest(c.name) % int(life)  # so that not all windows end at once
        window = (self.now + shift) // life
        key = digest(f"{c.name} {window:.0f}")
        if key != c.window and c.window in self.windows and not self.windows[c.window].pending_calls:
            del self.windows[c.window]  # its window is over
        name, c.window = self.windows.setdefault(key, QuotaWindow(c, window * life - shift)), key
        if self.is_stale(c):  # of what passed unasked, what may belong to this window
            c.pending = max(0.0, c.pending) * c.refill_ms / (self.now - c.total_read_at)
        amount, c.pending = units + c.pending, 0.0
        name.pending_calls.append((rid, amount))
        self.actions.append(api.Count(key, amount, life))

    def on_counter_answer(self, e: api.CounterAnswer) -> None:
        """Read a total: what the others passed since the last look comes off the store; then decide."""
        name = self.windows.get(e.name)
        if name is None or not name.pending_calls:
            return
        c, (rid, amount) = name.customer, name.pending_calls.popleft()
        if not name.pending_calls and e.name != c.window:
            del self.windows[e.name]  # its window is over, and this was the last call for it
        seen = not self.is_stale(c)
        self.update_counter_health(e)
        if e.outcome == "ok":
            self.apply_total(c, name, e.total - amount)
            name.last_total = e.total
        elif e.outcome != "timeout":  # what got no answer in time may have been added
            c.pending += amount
        if rid in self.requests and e.outcome == "ok":
            self.decide_by_total(self.requests[rid], seen)
        elif rid in self.requests:
            self.decide_without_total(self.requests[rid])

    def apply_total(self, c: Customer, name: QuotaWindow, prior: float) -> None:
        """Bring the stores up to date with a total: refilled at the rate, less what the others added."""
        age, growth = (self.now - name.started_at) / 1000, prior - name.last_total
        if growth < -self.config.most_units * c.spread:
            growth = prior  # lost counts (flush, back empty): all there is now is new, no fresh window
        gap, stranger = self.now - c.total_read_at, self.is_stale(c)
        c.others = 0.0 if stranger else c.others + (max(0.0, growth) - c.others * gap) / (gap + MEMORY)
        self.refill(c, 0.0 if stranger else growth)
        if stranger:
            # A first look, or as good as one (restart, one gateway of many): what the window can have left,
            # begun with as much of a burst as is worth the risk of passing beyond the quota.
            c.tokens = min(c.plan.burst, c.plan.burst / (1 + c.risk) + c.plan.rate * age - prior)
            c.ceiling_tokens = min(c.ceiling_tokens, c.plan.ceiling_burst + c.plan.ceiling_rate * age - prior)
        c.total_read_at = self.now

    def is_stale(self, c: Customer) -> bool:
        """Whether nothing kept here of a customer holds: its store may have filled, its window is over."""
        return self.now - c.total_read_at > max(c.refill_ms, self.config.counter_timeout)

    def refill(self, c: Customer, used: float | None = None) -> None:
        """Fill the stores for the time passed, less what was used since the last total, or a guess at it."""
        seconds = (self.now - c.refilled_at) / 1000
        guess = c.others * (self.now - c.refilled_at) if used is None else 0.0
        taken = guess if used is None else used - c.others_guess
        # How far uncertain totals may take the store below nothing follows from what beyond the quota costs.
        fill, most = c.plan.rate * seconds, max(c.plan.burst * c.local_share, self.config.most_units)
        c.local_tokens = min(most, c.local_tokens + fill * c.local_share)  # may pass unread
        low = -c.risk * self.config.most_units
        c.others_guess = c.others_guess + min(guess, max(0.0, c.tokens + fill - low)) if used is None else 0.0
        c.tokens = max(min(c.plan.burst, c.tokens + fill - taken), low)
        ceiling = c.ceiling_tokens + c.plan.ceiling_rate * seconds - max(0.0, used or 0.0)
        c.ceiling_tokens, c.refilled_at = min(c.plan.ceiling_burst, ceiling), self.now

    def decide_by_total(self, r: OpenRequest, seen: bool) -> None:
        """The total is read: within the limit release, beyond it refuse at once."""
        c, units = r.customer, r.request.units
        r.is_within_quota = not c.plan.rate or c.tokens >= units
        if not seen:
            was = self.overrun_ratio.get((c.plan.name, r.request.repeat), EVEN)
            self.overrun_ratio[c.plan.name, r.request.repeat] = was + LEARN * ((not r.is_within_quota) - was)
        # Where the plan pays for it and servers have room to spare, beyond the quota too.
        pays = c.plan.beyond_worth > c.plan.beyond_cost and self.admissible_server(r, WORTH_SPAN**-2)
        if (r.is_within_quota or pays) and (c.ceiling_tokens >= units or not c.plan.ceiling_rate):
            self.admit(r)
        else:
            c.pending -= r.counted
            self.reject(r)
            if units > 1 and r.counted and not self.counter_silent and seen:
                self.add_and_read(c, 0, 0.0)  # left standing, a refused request looks like use to the others

    def decide_without_total(self, r: OpenRequest) -> None:
        """No total to be had: passage is open; only a ceiling holds, of which this gateway takes its part."""
        c, units = r.customer, r.request.units
        self.refill(c)
        known = c.plan.burst if self.is_stale(c) else c.tokens
        if self.counter_silent or self.is_stale(c) or not c.is_counted:
            known = min(c.local_tokens, known)
        r.is_within_quota = not c.plan.rate or known >= units
        room = not c.plan.ceiling_rate or c.ceiling_tokens >= units * c.spread
        if c.is_counted and c.plan.rate and not self.counter_silent and self.is_stale(c):
            # A crowded counter: worth its risk only by what was read of its like.
            room = room and self.overrun_ratio.get((c.plan.name, r.request.repeat), EVEN) * (1 + c.risk) < 1
        if room and (r.is_within_quota or self.counter_silent):
            c.ceiling_tokens -= units * (c.spread - 1)  # as if the other gateways did the same
            self.admit(r)
        else:
            c.pending -= r.counted
            self.reject(r)

    def update_counter_health(self, e: api.CounterAnswer) -> None:
        """Cut the share that asks while answers are late or missing; raise it as they come quickly."""
        good, quick = e.outcome == "ok", e.lag <= self.config.counter_timeout / 2
        if good and quick:
            self.ask_ratio = min(1.0, self.ask_ratio + ASK_UP * min(1.0, (self.now - self.ask_cut_at) / WELL))
        # One quickly gone after a good one was spoilt, not slow; and calls in one line are late together.
        elif not (quick and e.outcome == "timeout" and self.counter_streak > 0) and (
                self.now - self.ask_cut_at > self.config.counter_timeout):
            self.ask_ratio, self.ask_cut_at = max(ASK_UP, self.ask_ratio * ASK_DOWN), self.now
        # Late or turned away is answered too: a slow or crowded counter must not keep every quota open.
        alive = good or e.outcome == "full"
        if alive != (self.counter_streak > 0):
            self.streak_began_at = self.now
        self.counter_streak = max(1, self.counter_streak + 1) if alive else min(-1, self.counter_streak - 1)
        # Calls on one connection end with it together: that alone is one failure, not a row of them.
        long = self.now - self.streak_began_at >= self.config.counter_timeout
        if self.counter_streak >= CHANCE if self.counter_silent else self.counter_streak <= -CHANCE and long:
            self.counter_silent = not self.counter_silent
            text = f"counter silent ({e.outcome}): passing unread" if self.counter_silent else "counter back"
            self.actions.append(api.Log(text))

    # Server choice and health.

    def on_server_list(self, news: api.ServerList) -> None:
        """Follow the list; a server that drains or is gone gets nothing new from this moment on."""
        if news.mode == "failed":
            self.actions.append(api.SetTimer(self.config.connect_timeout * STALL, RELIST))
            return
        old, self.servers = self.servers, dict(self.servers) if news.mode == "changes" else {}
        for entry in news.entries:
            s = old.get(entry.server)
            if entry.state == "gone":
                self.servers.pop(entry.server, None)
            elif s is None or s.entry.started != entry.started:
                s = self.servers[entry.server] = Server(entry, self.now)
                s.rank = self.peers.rank(entry.server)
                # Gateways hear of a cold start together: each begins at a moment of its own.
                first = max(self.config.fall_time, self.warming_pause(s)) if self.warm_ratio(s) < 1 else 0.0
                s.warming_until = self.now + self.rng.random() * first
            else:
                s.entry, self.servers[entry.server] = entry, s
        self.pool = [s for s in self.servers.values() if s.entry.state == "up"]
        self.select_subset()
        self.concurrency_limit = self.concurrency_limit or max(DEPTH, self.fleet_in_flight(1))

    def warm_ratio(self, s: Server) -> float:
        """The share of its capacity a server surely has, as if the slowest warm-up applied."""
        age = self.now - s.entry.started
        if not s.entry.started or age >= self.config.cold_time:
            return 1.0
        return self.config.cold_from + (1 - self.config.cold_from) * max(0.0, age) / self.config.cold_time

    def predict_latency(self, s: Server, r: OpenRequest, usual: float = 0.0, start: float = 1.0) -> float:
        """The answer time to expect of a server now; so many usual answer times of quiet are no sign."""
        stale = (self.now - s.queue_at) / r.kind.aim  # reports are late and noisy: they add, and fade
        line = len(s.in_flight) + start + s.queue_length * max(0.0, 1 - stale)
        fails = s.error_ratio if s.is_connected else max(s.error_ratio, self.connect_failure_ratio())
        cost = self.service_ms[r.kind.name] * s.slowness * line / self.warm_ratio(s) / max(LEARN, 1 - fails)
        # Silence with work out is the first sign of any stall, whatever its cause.
        quiet = (self.now - s.heard_at) / self.service_ms[r.kind.name] if s.in_flight else 0.0
        return cost * (1 + max(0.0, quiet - usual))

    def select_server(self, r: OpenRequest) -> Server | None:
        """The best server that may take this request; a tried one only for want of others."""
        if self.now >= self.subset_expires_at:
            self.select_subset()
        tried = [a.entry.server for a in r.attempts]
        good = [s for s in self.subset if s.entry.server not in tried and self.accepts(s, r)]
        good = good or [s for s in self.pool if self.warm_ratio(s) >= 1 and self.accepts(s, r)]
        # What others have out is unseen, and more of it where more of them go first: each gateway has most of
        # its own servers' work before its eyes. Chance weighs as one attempt: idle servers share by ability.
        draw, unseen = self.rng.expovariate, UNSEEN / self.subset_gateways
        return min(good, default=None, key=lambda s: self.predict_latency(
            s, r, start=draw(1) + unseen * s.rank * self.warm_ratio(s)))

    def connect_failure_ratio(self) -> float:
        """The share of new connections to expect to fail; what failed long ago says nothing of today."""
        return self.connect_failures * max(0.0, 1 - (self.now - self.connect_at) / self.config.keepalive)

    def record_connection(self, s: Server, a: Attempt, outcome: str) -> None:
        """Learn whether servers still accept connections."""
        # Servers that hold all the connections they accept turn newcomers away at once, look idle here, and
        # serve whoever has one: keep to those that hold one of ours. Guards as well against any fault that
        # lets old connections live and new ones fail. Harm: a server just started gets little for a while.
        if not a.was_connected:
            ratio, failed = self.connect_failure_ratio(), outcome == "unreachable"
            self.connect_failures, self.connect_at = ratio + LEARN * (failed - ratio), self.now
        s.is_connected = outcome not in ("unreachable", "reset")
        if not s.is_connected:
            self.select_subset()

    def select_subset(self) -> None:
        """Choose the few servers that this gateway keeps to."""
        # Connections of hundreds fill every server's table and teach little. Each server takes as many of the
        # gateways by an order of its own: nobody is left out, who comes back is kept to by the same again.
        shut = {s for s in self.pool if not s.is_connected and s.ejected.get(ALL, 0.0) > self.now}
        self.subset_expires_at = min((s.ejected[ALL] for s in shut), default=math.inf)  # when these are
        self.subset_gateways = self.gateways_per_server()
        good = sorted(set(self.pool) - shut, key=lambda s: (s.rank, s.entry.server))
        self.subset = [s for n, s in enumerate(good) if s.rank < self.subset_gateways or n < FEW]

    def gateways_per_server(self) -> int:
        """How many gateways keep to a server: all in a small fleet; else FEW, or as many as give each FEW."""
        few = math.ceil(FEW * max(1.0, self.peers.seen / max(1, len(self.pool))))
        return self.peers.seen if len(self.pool) <= WHOLE else min(self.peers.seen, few)

    def set_peers(self, peers: api.Peers) -> None:
        """Follow who is there: places among those seen, budgets over all that may be there."""
        self.peers = peers
        for s in self.servers.values():
            s.rank = peers.rank(s.entry.server)
        self.select_subset()

    def unavailable_count(self) -> int:
        """How many listed servers get nothing: not up, or set aside for more than a moment."""
        return len(self.servers) - sum(s.fails < 3 or s.ejected.get(ALL, 0.0) <= self.now for s in self.pool)

    def accepts(self, s: Server, r: OpenRequest) -> bool:
        """Whether a server may get this request now; one that turns a plan away may have room for others."""
        rests = max(s.warming_until, s.ejected.get(ALL, 0.0), s.ejected.get(r.customer.plan.name, 0.0))
        return rests <= self.now and self.allows_retry_at(r, s.entry)

    def fleet_in_flight(self, out: float) -> float:
        """What is out at a server if every gateway has so much out."""
        return out * self.peers.counted / max(1, len(self.servers))

    def warming_pause(self, s: Server) -> float:
        """How long a server rests after a send: none when warm, else so that it gets its part, evenly."""
        # By what is served, not sent, lest a full fleet make it look able; at least one of all in a fall.
        if self.warm_ratio(s) >= 1:
            return 0.0
        fleet = sum(o.entry.weight * self.warm_ratio(o) for o in self.servers.values())
        served = sum(t > self.now - self.config.fall_time for o in self.servers.values() for t in o.served_at)
        seen, share = self.peers.seen * self.config.processes, self.peers.counted / self.peers.seen
        part = served * seen * s.entry.weight * self.warm_ratio(s) * self.config.fall_multiple / fleet
        processes, subset = self.config.processes, self.subset_gateways
        own = max(1, 2 * (subset - s.rank) - 1) / subset  # who goes there first has more: 1 in the mean
        return self.config.fall_time * share * subset * processes / max(1, part * COLD_MARGIN) / own

    def allows_retry_at(self, r: OpenRequest, to: api.ServerEntry) -> bool:
        """Where a repeat may go: keyed only in its group and window, unsafe nowhere once it may have run."""
        ran = [a for a in r.attempts if a.state != "never"]
        if not ran or r.kind.effect == api.SAFE:
            return True
        first = ran[0].entry
        near = {"all": True, "zone": first.zone == to.zone,
                "cell": (first.zone, first.cell) == (to.zone, to.cell)}[r.kind.group]
        return r.kind.effect == api.KEYED and near and self.now - ran[0].sent_at < r.kind.repeat_window

    def admissible_server(self, r: OpenRequest, worth: float) -> Server | None:
        """The server to send to, unless even the best is foreseen to take too much of the aim."""
        best = self.select_server(r)
        # All gateways together may always keep one attempt out at each server: enough to learn of recovery.
        part, out = 1 / self.fleet_in_flight(1), self.in_flight + self.rng.random()
        if best is None or out < part:
            return best
        # Few have their part out at one moment: the root of the mean is what chance adds to it. No such grace
        # while the counter does not answer, when nobody's load is known, nor soon after a late answer.
        most, heard = part * self.concurrency_limit, self.counter_streak > 0 or not r.customer.is_counted
        if heard and self.now - self.limit_cut > STALL * r.kind.aim:
            most = UNEVEN * (most + most**0.5)
        if out > most:
            self.is_limited = True
            return None
        # What is out tells of a jam before its answers do; one long request alone is none.
        fore = self.predict_latency(best, r, QUIET)
        age = max(0.0, self.now - self.sent_at_sum / self.in_flight) if self.in_flight else 0.0
        fore = max(fore, (age * SHED_AT * fore) ** 0.5)
        return best if fore <= SHED_AT * r.kind.aim * worth else None

    def admit(self, r: OpenRequest) -> None:
        """Send a request that may pass, or refuse it before it crowds out what is worth more."""
        worth = r.kind.worth * r.customer.plan.price * r.request.units / self.service_ms[r.kind.name]
        self.usual_worth += LEARN * (worth - self.usual_worth)
        # What is past the quota by all that is known here (silence) goes first when servers are pressed.
        span = min(WORTH_SPAN, max(1 / WORTH_SPAN, worth / self.usual_worth))
        best = self.admissible_server(r, span if r.is_within_quota else 1 / WORTH_SPAN)
        if r.is_within_quota and best is not None:
            r.customer.tokens -= r.request.units
            r.customer.local_tokens -= r.request.units
            r.customer.ceiling_tokens -= r.request.units
            r.customer.pending += r.request.units - r.counted  # told with the next call if none was made
        else:
            r.customer.pending -= r.counted  # neither what is shed nor what is beyond takes of the quota
        if best is not None:
            self.send(r, best)
        else:
            self.reject(r)

    def send(self, r: OpenRequest, s: Server) -> None:
        """Begin an attempt."""
        if not s.in_flight:
            s.heard_at = self.now
        s.in_flight.add((r.request.id, len(r.attempts)))
        self.in_flight, self.sent_at_sum = self.in_flight + 1, self.sent_at_sum + self.now
        if not self.is_watching:
            self.is_watching = True
            self.actions.append(api.SetTimer(self.shortest_aim / 2, LOOK))
        r.attempts.append(Attempt(s.entry, self.now, len(s.in_flight), s.is_connected))
        s.warming_until = self.now + self.warming_pause(s)
        r.customer.in_flight += 1
        self.actions.append(api.Send(r.request.id, s.entry.server))

    def on_attempt_ended(self, e: api.AttemptEnded) -> None:
        """Learn from an attempt's end, then answer, repeat or give up."""
        s, r = self.servers.get(e.server), self.requests.get(e.id)
        a = r.attempts[e.attempt] if r and e.attempt < len(r.attempts) else None
        if a is not None:
            self.in_flight, self.sent_at_sum = self.in_flight - 1, self.sent_at_sum - a.sent_at
        if s is not None:
            s.in_flight.discard((e.id, e.attempt))
            self.observe(s, e, a, r)
            if a is not None and e.outcome != "void":
                self.record_connection(s, a, e.outcome)
        if r is None or a is None:
            return
        r.customer.in_flight -= 1
        a.state = "never" if e.outcome in ("full", "unreachable", "void") else "maybe"
        if e.outcome == "ok" and self.config.postpaid and e.true_units and r.is_within_quota:
            r.customer.tokens -= e.true_units - r.request.units
            r.customer.pending += e.true_units - r.request.units
        if e.done:
            self.finish(e.id)
        elif not any(x.state == "out" for x in r.attempts):
            self.retry_or_answer(r, e)

    def observe(self, s: Server, e: api.AttemptEnded, a: Attempt | None, r: OpenRequest | None) -> None:
        """Health and pace of a server from one outcome."""
        if "waiting" in e.report:
            s.queue_length, s.queue_at = e.report["waiting"], self.now
        if e.outcome in ("ok", "error"):
            s.heard_at, s.fails = self.now, 0
            # What fails everywhere is the class's failure, and no server is the worse for it.
            kind, failed = (r.kind if r else self.config.classes[0]).name, float(e.outcome == "error")
            s.error_ratio += LEARN * (failed * (1 - self.class_error_ratio[kind]) - s.error_ratio)
            self.class_error_ratio[kind] += LEARN * (failed - self.class_error_ratio[kind])
        if e.outcome == "ok":
            s.served_at.append(self.now)
            while s.served_at[0] < self.now - self.config.fall_time:
                s.served_at.popleft()
        if e.outcome in ("ok", "timeout") and a is not None and r is not None:
            # A server given too much is slow for long after, and its first late answers come after the harm:
            # begin with little, more as answers come in time, less as they do not while half of it is used.
            # Guards against all slow fleets. Harm: refuses in the first seconds of one that could do more.
            late = e.lag > r.kind.aim and a.sent_at > self.limit_cut
            if late and self.fleet_in_flight(self.in_flight + 1) > self.concurrency_limit / 2:
                self.concurrency_limit, self.limit_cut = max(1.0, self.concurrency_limit * ASK_DOWN), self.now
            elif e.lag < SHED_AT * r.kind.aim and self.is_limited:
                self.concurrency_limit += GROW * max(DEPTH, self.fleet_in_flight(1))
                self.is_limited = False
            work, lag = self.service_ms[r.kind.name], e.lag / a.concurrency
            s.slowness += LEARN * (min(STALL, lag / work) * self.warm_ratio(s) - s.slowness)
            gap, self.learned_at[r.kind.name] = self.now - self.learned_at[r.kind.name], self.now
            # What was learned long ago weighs less: few answers must do where few are sent.
            self.service_ms[r.kind.name] += min(0.5, LEARN / 2 + gap / r.kind.aim / STALL) * (lag - work)
        mute = a is not None and s.heard_at <= a.sent_at < self.now - STALL * max(self.service_ms.values())
        if e.outcome in ("full", "unreachable", "reset") or mute and e.outcome != "ok":
            # Longer each time: one that turns work away or swallows it has nothing out and would draw all.
            base = min(self.service_ms.values()) if e.outcome == "full" else self.config.connect_timeout
            where = r.customer.plan.name if e.outcome == "full" and r is not None else ALL
            # One connection that broke says little of a server, nothing where those of all break at times.
            if e.outcome != "reset" or s.fails:
                s.ejected[where] = self.now + base * 2 ** min(s.fails, STALL)
            s.fails += 1

    def retry_or_answer(self, r: OpenRequest, e: api.AttemptEnded) -> None:
        """Nothing is out any more: try elsewhere if that is allowed, paid for and in time; else answer."""
        best, left = None if r.is_streaming else self.select_server(r), r.deadline - self.now
        ran = any(a.state != "never" for a in r.attempts)
        # What found no connection is no repeat: nothing ran, nothing is out, another server costs nothing.
        price = float(e.outcome != "unreachable")
        if best and left > 0 and len(r.attempts) < self.config.attempts and self.retry_tokens >= price:
            self.retry_tokens -= price
            self.send(r, best)
        elif left > 0 and (not ran or r.kind.effect != api.UNSAFE and r.kind.group == "all"):
            self.reject(r, self.config.connect_timeout * (e.outcome == "unreachable"))
        else:
            self.fail(r.request.id)

    def fail(self, rid: int) -> None:
        """Answer that nothing is known, and promise nothing."""
        self.actions.append(api.Fail(rid))
        self.finish(rid)

    def reject(self, r: OpenRequest, least: float = 0.0) -> None:
        """Refuse at once, and say when the store will hold the units and servers may be asked again."""
        self.refill(r.customer)
        wait = (r.request.units - r.customer.tokens) / (r.customer.plan.rate or 1.0) * 1000
        advice = min(max(wait, least), self.config.max_advice) if self.config.can_advise else 0.0
        self.actions.append(api.Refuse(r.request.id, advice))
        self.finish(r.request.id)

    def finish(self, rid: int) -> None:
        """Forget a request; attempts still out are called off."""
        r = self.requests.pop(rid, None)
        for number, a in enumerate(r.attempts if r else []):
            if r and a.state == "out":
                r.customer.in_flight -= 1
                self.in_flight, self.sent_at_sum = self.in_flight - 1, self.sent_at_sum - a.sent_at
                if self.config.can_cancel and not r.is_streaming:
                    self.actions.append(api.Cancel(rid, number))

    def on_stream_started(self, e: api.StreamStarted) -> None:
        """A streamed answer has begun: that attempt is the client's now."""
        if e.id in self.requests:
            self.requests[e.id].is_streaming = True

    def on_timer(self, e: api.TimerFired) -> None:
        """Now and then: ask again for a list that failed, end what is overdue, go round stalled servers."""
        if e.token == RELIST:
            self.actions.append(api.FetchList() if self.config.push_list else api.WatchList())
        elif e.token == LOOK:
            due = [self.hedge_or_cancel(r, n) for r in list(self.requests.values()) if not r.is_streaming
                   for n, a in enumerate(r.attempts) if a.state == "out"]
            self.is_watching = bool(due)
            if due:
                self.actions.append(api.SetTimer(max(min(due) - self.now, LEARN * self.shortest_aim), LOOK))
        elif e.token >= LAST and (r := self.requests.get(e.token - LAST)) and not r.is_streaming:
            self.fail(e.token - LAST)

    def hedge_or_cancel(self, r: OpenRequest, number: int) -> float:
        """A second copy, or a move where one may be out, away from a quiet server; when to look again."""
        a, usual = r.attempts[number], self.service_ms[r.kind.name]
        s = self.servers.get(a.entry.server)
        # Not while such gaps are usual: in overload every move is work done twice.
        due = max(a.sent_at, s.heard_at if s else 0.0) + max(STALL * usual, r.kind.aim / 2)
        if due > self.now:
            return due
        only = sum(a.state == "out" for a in r.attempts) == 1 and self.retry_tokens >= 1
        best = self.select_server(r) if only and r.kind.effect != api.UNSAFE else None
        if best in (None, s) or len(r.attempts) >= self.config.attempts or self.now + usual > r.deadline:
            return r.deadline
        if best and self.config.second_copies:
            self.retry_tokens -= 1
            self.send(r, best)
        elif self.config.can_cancel:
            self.actions.append(api.Cancel(r.request.id, number))
        return r.deadline


def digest(text: str) -> int:
    """The same number for the same text in every process."""
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big") >> 1


def rendezvous_rank(index: int, count: int, server: str) -> int:
    """A gateway's place in a server's own order of all gateways, from 0: a start and a step through them."""
    seed = digest(server)
    step = next(n for n in itertools.count(1 + seed // count) if math.gcd(n, count) == 1)
    return (seed + index * step) % count
