"""The decision module's actor and the table of open exchanges: the core that every front drives."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from hallhitch.core.actor import Actor
from hallhitch.core.deadlines import Deadlines, Entry, Scheduler
from hallhitch.core.invariants import COUNTS, invariant
from hallhitch.core.ports import AnswerPort, Attempt, CounterPort, HopPort
from hallhitch.decision import api
from hallhitch.decision.policy import Gateway

# Kept back of a deadline, in ms and at most as a share of it: the client's clock began at its send, the
# answer must still arrive, and a processor that gateways share may stand still for a while.
MARGIN, MARGIN_SHARE = 20.0, 0.1
COMING_MOST = 600_000.0  # ms for a request to come whole that is sent on meanwhile; its front sees to its progress
BACKUP = 3.0  # ms past an exchange's end at which the sweep answers for a module that has not
SOON = 100.0  # ms after which to come back, where the module refuses for want of room and gives no time
HEX = re.compile("[0-9a-fA-F]{16}")  # how the platform writes customers
log = structlog.get_logger()


def spelled(customer: str) -> str:
    """One spelling of a customer at every gateway and front: the names of its windows are hashed from it."""
    return customer.lower() if HEX.fullmatch(customer) else customer


@dataclass(slots=True, eq=False)
class Exchange:
    """A request that is owed its one final answer."""

    id: int
    ends: float
    answer: AnswerPort
    payload: object
    patience: float  # ms, once the request has come whole
    backup: Entry | None = None
    sends: int = 0


class Core(Actor[api.Event]):
    """Hands each turn's mail to the module in one call and carries out what it decides."""

    hop: HopPort
    counter: CounterPort

    def __init__(
        self,
        gateway: Gateway,
        deadlines: Deadlines,
        scheduler: Scheduler,
        name: str = "module",
        batch: int = 0,
    ) -> None:
        super().__init__(name, scheduler, most=65_536)
        self.gateway, self.deadlines, self._batch = gateway, deadlines, batch
        self.clock = deadlines.clock
        self.open: dict[int, Exchange] = {}
        self._out: dict[tuple[int, int], Attempt] = {}
        self._last = 0

    # What fronts and transports tell.

    def begin(
        self,
        customer: str,
        plan: int,
        klass: int,
        deadline: float,
        answer: AnswerPort,
        payload: object,
        *,
        units: float = 1.0,
        spread: float = 1.0,
        write: bool = False,
        repeat: bool = False,
        kind: api.RequestClass | None = None,
        coming: bool = False,
        waited: float = 0.0,
    ) -> int:
        """Take a request; its one final answer goes to `answer` before the client's deadline.

        `kind` is its class itself, where the number may mean another one meanwhile. One that is `coming` is sent on
        while it still comes from the client: its time begins with `complete`. `waited` are the ms for which a request
        lay unread here, while its client's clock ran.
        """
        self._last += 1
        own = max(1.0, deadline - waited - min(MARGIN, MARGIN_SHARE * deadline))
        patience = COMING_MOST if coming else own
        x = Exchange(self._last, self.clock() + patience, answer, payload, own)
        ask = api.Request(x.id, spelled(customer), plan, klass, units, patience, spread, write, repeat, kind)
        if not self.post(ask):
            answer.refused(1000.0)
            return x.id
        self.open[x.id] = x
        x.backup = self.deadlines.at(x.ends + BACKUP, lambda: self._overdue(x.id))
        return x.id

    def complete(self, exchange: int) -> None:
        """The request has come whole: from now on its time counts."""
        x = self.open.get(exchange)
        if x is not None:
            x.ends = self.clock() + x.patience
            self.deadlines.drop(x.backup)
            x.backup = self.deadlines.at(x.ends + BACKUP, lambda: self._overdue(exchange))

    def passes(self, a: Attempt) -> None:
        """An attempt holds its request no longer whole: it is left alone by the module, and never made again."""
        a.passing = True
        self.post(api.StreamStarted(a.exchange, a.number, a.server))

    def leave(self, exchange: int) -> None:
        """The client has gone; nothing more is owed."""
        x = self._close(exchange)
        if x is not None:
            self.post(api.RequestGone(exchange))
            self._let_go(x)

    def _let_go(self, x: Exchange) -> None:
        # Of these the module calls nothing off: to it they are the client's.
        for attempt in self._attempts(x):
            if attempt.passing:
                self.hop.cancel(attempt)

    def _attempts(self, x: Exchange) -> list[Attempt]:
        """Those of an exchange that are out."""
        return [attempt for number in range(x.sends) if (attempt := self._out.get((x.id, number)))]

    def ended(self, a: Attempt, outcome: str, payload: object = None, lag: float | None = None) -> bool:
        """An attempt's end, after `lag` or the time since its send; the first good one is the answer.

        Says whether the payload was handed to the front.
        """
        if self._out.pop((a.exchange, a.number), None) is None:
            COUNTS["late_outcome"] += 1
            return False
        x = self._close(a.exchange) if outcome == "ok" else None
        done = x is not None or a.exchange not in self.open
        lag = self.clock() - a.sent if lag is None else lag
        event = api.AttemptEnded(a.exchange, a.number, a.server, outcome, lag, done)
        self.post(event)
        if x is not None:
            self._answer(lambda: x.answer.served(payload))
        return x is not None

    def counted(self, name: int, outcome: str, total: float, lag: float) -> None:
        """The answer to one call of the counter."""
        self.post(api.CounterAnswer(name, outcome, total, lag))

    def retune(self, settings: api.Settings) -> None:
        """Go by other settings, for requests that come from now on; if the mailbox is full, by those last asked for."""
        self._asked = settings
        if not self.post(api.NewSettings(settings)):
            self.deadlines.after(1.0, lambda: self.retune(self._asked))

    # The turn.

    def turn(self, mail: list[api.Event]) -> None:
        """One call of the module for all that has come (or for `batch` of it at a time)."""
        self.deadlines.sweep()
        if self._batch:
            while mail:
                self._hand(mail[: self._batch])
                del mail[: self._batch]
                # What a decision brought about at once is heard before the next decision.
                mail, self._mail = self._mail + mail, []
        else:
            self._hand(mail)

    def _hand(self, events: list[api.Event]) -> None:
        try:
            actions = self.gateway.handle(self.clock(), events)
        except Exception as error:
            self.crashed(error)
            for event in events:  # actions decided before the failure come with the next call
                if isinstance(event, api.Request | api.AttemptEnded):
                    self._give_up(event.id)
            return
        for action in actions:
            try:
                self._act(action)
            except Exception as error:
                self.crashed(error)
                if isinstance(action, api.Send | api.Refuse | api.Fail):
                    self._give_up(action.id)

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Cancel(id=i, attempt=number):
                attempt = self._out.get((i, number))
                if attempt is not None:
                    self.hop.cancel(attempt)
            case api.Refuse(id=i, advice=advice):
                self._final(i, lambda x: x.answer.refused(advice or SOON))
            case api.Fail(id=i):
                self._final(i, lambda x: x.answer.failed())
            case api.Count(name=name, units=units, lifetime=lifetime):
                self.counter.add(name, units, lifetime)
            case api.SetTimer(after=after, token=token):
                self.deadlines.after(after, lambda: self._timer(token))
            case api.Log(text=text):
                log.info("module", actor=self.name, text=text)
            case api.Probe(server=server):
                self.post(api.ProbeEnded(server, "void", 0.0))  # no transport here probes
            case api.WatchList() | api.FetchList():
                COUNTS["list_asked"] += 1  # the route table watches all the time by itself

    def _timer(self, token: int) -> None:
        self.post(api.TimerFired(token))

    def _send(self, action: api.Send) -> None:
        x, now = self.open.get(action.id), self.clock()
        number = x.sends if x else 0
        ends = min(x.ends, now + action.limit) if x and action.limit else x.ends if x else now
        attempt = Attempt(action.id, number, action.server, now, ends, x.payload if x else None)
        if x is None:  # answered or left in the same turn: the module hears of it by the next
            COUNTS["void_send"] += 1
            self.post(api.AttemptEnded(action.id, number, action.server, "void", 0.0, True))
            return
        x.sends += 1
        alone = not any((x.id, n) in self._out for n in range(number))
        invariant(alone or self.gateway.config.second_copies, "one attempt out at a time")
        self._out[x.id, number] = attempt
        if now >= ends or number >= self.gateway.config.attempts:
            self.ended(attempt, "void")
        else:
            self.hop.start(attempt)

    # Final answers.

    def _close(self, exchange: int) -> Exchange | None:
        x = self.open.pop(exchange, None)
        if x is not None:
            self.deadlines.drop(x.backup)
            for attempt in self._attempts(x):
                attempt.wanted = False
        return x

    def _final(self, exchange: int, answer: Callable[[Exchange], None]) -> None:
        x = self._close(exchange)
        if x is None:
            COUNTS["late_answer"] += 1
        else:
            self._answer(lambda: answer(x))

    def _answer(self, give: Callable[[], None]) -> None:
        try:
            give()
        except Exception as error:  # a front's failure must not reach the module
            self.crashed(error)

    def _give_up(self, exchange: int) -> None:
        x = self.open.get(exchange)
        if x is not None:
            self._final(exchange, lambda x: x.answer.failed())
            self.post(api.RequestGone(exchange))
            self._let_go(x)

    def _overdue(self, exchange: int) -> None:
        COUNTS["backup_answer"] += 1
        self._give_up(exchange)
