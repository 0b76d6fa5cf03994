"""Following others: what is pulled from one peer and taken into the hub, and whom a gateway pulls from."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from hallhitch.messages.system_pb2 import BackendEntry, Envelope, News, Pull
from hallhitch.node.clock import now
from hallhitch.node.errors import StepError
from hallhitch.node.logs import ComponentLogger
from hallhitch.planes.discovery.listing import Listed
from hallhitch.planes.distribution.feed import Followed
from hallhitch.planes.distribution.hub import StateHub, entry_of, gateway_of
from hallhitch.planes.values import Gateway, LeaseMembership

WAIT = 500.0  # ms that a pull may be held back: also how often a gateway gives a sign of incarnation
ANSWER = 700.0  # ms beyond that in which an answer has come, over regions too
FIRST = 800.0  # ms in which a process that has just started hears those it knows
REST = 100.0  # ms between tries where nobody answers
WATCHED = 3  # gateways that one pulls from where no coordinator answers
STAY = 3000.0  # ms after which a gateway that pulls from another gateway tries the coordinators again


class Calls(Protocol):
    """What is used of messages.link.Links."""

    async def call(self, address: str, envelope: Envelope, wait: float) -> Envelope:
        """See Links.call."""


def rendezvous(own: str, others: Iterable[str]) -> list[str]:
    """Others in the order that this name prefers them in: the same for it everywhere, another one for each name."""
    return sorted(others, key=lambda other: hashlib.blake2b(f"{own} {other}".encode(), digest_size=8).digest())


def listed_of(e: BackendEntry, clock: float) -> Listed:
    """A backend as it is received."""
    return Listed(
        e.instance,
        e.service,
        e.host,
        e.port,
        e.zone,
        e.slots,
        e.draining,
        clock + e.cold_left if e.cold_left > 0 else 0.0,
    )


class Source:
    """One peer that is pulled from: what of its feeds was taken."""

    def __init__(self, address: str, clock: Callable[[], float] = now) -> None:
        self._clock = clock
        self.address, self.incarnation, self.heard, self.lonely = address, 0, float("-inf"), False
        self.backends: Followed[Listed] = Followed()
        self.gateways: Followed[Gateway] = Followed()
        self._holders = (0, 0)

    def pull(self, own: Gateway, hub: StateHub, wait: float, direct: bool) -> Pull:
        """What to ask this peer."""
        pull = Pull(self=entry_of(own), wait=wait, direct=direct)
        pull.have["config"].number = hub.config.serial
        for name, (epoch, number) in (
            ("backends", (self.backends.epoch, self.backends.number)),
            ("gateways", (self.gateways.epoch, self.gateways.number)),
            ("holders", self._holders),
        ):
            pull.have[name].epoch, pull.have[name].number = epoch, number
        return pull

    def take(self, news: News, hub: StateHub, everything: bool) -> None:
        """Take an answer in; gateways and holders only where this peer is the one to go by (`everything`)."""
        clock = self._clock()
        self.heard, self.incarnation, self.lonely = clock, news.incarnation, news.lonely
        if news.HasField("config"):
            w = news.config
            hub.take_config(w.serial, w.version, w.content, w.evacuated, w.fleet)
        if news.HasField("backends"):
            b = news.backends
            self.backends.take(
                b.stamp.epoch, b.stamp.number, b.whole, ((e.instance, listed_of(e, clock)) for e in b.entries), b.gone
            )
        if news.list_age and self.backends.epoch == news.incarnation:
            hub.take_list(clock - news.list_age, self.backends.items.values())
        if news.HasField("gateways"):
            g = news.gateways
            self.gateways.take(
                g.stamp.epoch, g.stamp.number, g.whole, ((e.address, gateway_of(e)) for e in g.entries), g.gone
            )
            if everything and self.gateways.epoch:
                hub.set_gateways(self.gateways.items)
        if news.HasField("holders"):
            self._holders = news.holders.stamp.epoch, news.holders.stamp.number
            if everything:
                hub.set_holders(news.holders.holders)

    def forget(self) -> None:
        """Ask for everything next time."""
        self.backends.forget()
        self.gateways.forget()
        self._holders = (0, 0)


class GatewaySync:
    """A gateway's pulls: from one coordinator at a time, from other gateways where none answers."""

    def __init__(
        self,
        links: Calls,
        hub: StateHub,
        own: Callable[[], Gateway],
        seeds: Sequence[str],
        clock: Callable[[], float] = now,
    ) -> None:
        """`own` tells this gateway's entry of the moment."""
        self._links, self._hub, self._own, self._seeds, self._clock = links, hub, own, tuple(seeds), clock
        self._log = ComponentLogger("news")
        self._task: asyncio.Task[None] | None = None
        self._sources: dict[str, Source] = {}
        self._pull: asyncio.Future[None] | None = None
        self.asked_all = False  # whether those known at the start were heard, or had their time

    def start(self) -> None:
        """Begin."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """The settings name other seeds."""
        self._seeds = tuple(seeds)

    def coordinators(self) -> list[str]:
        """All coordinators that are known, the one this gateway prefers first."""
        known = {*self._seeds, *self._hub.core, *self._hub.members}
        return rendezvous(self._own().name, known)

    def say(self) -> None:
        """This gateway's own entry has changed: say so now, not with the next pull."""
        if self._pull is not None:
            self._pull.cancel()

    async def _run(self) -> None:
        await self._first()
        self.asked_all = True
        self._hub.changed()
        while True:
            try:
                if not await self._round(self.coordinators()):
                    await self._beside()
            except Exception as error:  # whatever came: news must go on
                self._log.error(f"a pull failed: {type(error).__name__}: {error}")
            await asyncio.sleep(REST / 1000)

    async def _first(self) -> None:
        """Hear all that are known, for the freshest configuration: until most have answered, or their time is over."""
        until = self._clock() + FIRST
        pending = {
            asyncio.ensure_future(self._ask(Source(address, self._clock), 0.0, False)) for address in self._seeds
        }
        good, most = 0, len(pending) // 2 + 1
        while pending and good < most and self._clock() < until:
            done, pending = await asyncio.wait(
                pending, timeout=max(0.0, until - self._clock()) / 1000, return_when=asyncio.FIRST_COMPLETED
            )
            good += sum(task.result() for task in done)
        for task in pending:
            task.cancel()

    async def _round(self, addresses: Sequence[str]) -> bool:
        """Pull from the first that answers for as long as it does; False if none did."""
        spare: Source | None = None
        for address in addresses:
            source = self._sources.setdefault(address, Source(address, self._clock))
            first = True
            while await self._ask(source, 0.0 if first else WAIT, True):
                first = False
                if source.lonely:
                    spare = source
                    break
        # One that is out of touch with most of the others is better than nobody, if it is the only one.
        if spare is None or not await self._ask(spare, WAIT, True):
            return False
        if not self._hub.config.serial:
            # It tells no configuration that no majority confirms; the gateways that it hears may know the one in force.
            await self._beside()
        return True

    async def _beside(self) -> None:
        """No coordinator answers: other gateways may know more, and until then everything stays as it is."""
        own = self._own().name
        others = {g.name: g.address for g in self._hub.gateways.values() if g.frontend and g.name != own}
        chosen = rendezvous(own, others)[:WATCHED]
        until = self._clock() + STAY
        for name in chosen:
            source = self._sources.setdefault(others[name], Source(others[name], self._clock))
            while self._clock() < until and await self._ask(source, WAIT, False):
                if await self._probe():
                    return

    async def _probe(self) -> bool:
        """Whether a coordinator answers again."""
        tries = [asyncio.ensure_future(self._ask(Source(a, self._clock), 0.0, False)) for a in self.coordinators()[:3]]
        try:
            for task in asyncio.as_completed(tries, timeout=ANSWER / 2000):
                if await task:
                    return True
        except TimeoutError:
            pass
        finally:
            for task in tries:
                task.cancel()
        return False

    async def _ask(self, source: Source, wait: float, everything: bool) -> bool:
        """One pull; whether there was an answer (a pull cut short by `say` counts as one)."""
        call = asyncio.ensure_future(
            self._links.call(
                source.address, Envelope(pull=source.pull(self._own(), self._hub, wait, False)), wait + ANSWER
            )
        )
        if everything:
            self._pull = call  # type: ignore[assignment]
        try:
            answer = await call
        except StepError:
            source.forget()
            return False
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                call.cancel()
                raise
            return True
        if not answer.HasField("news"):
            return False
        if answer.news.core:
            self._hub.core = tuple(answer.news.core)
        if answer.news.members:
            self._hub.members = tuple(answer.news.members)
        self._hub.set_membership(LeaseMembership.of(answer.news.membership))
        source.take(answer.news, self._hub, everything)
        return True


class PeerSync:
    """A coordinator's pulls: from each other coordinator, all the time."""

    def __init__(
        self,
        links: Calls,
        hub: StateHub,
        own: Callable[[], Gateway],
        heard: Callable[[], None],
        clock: Callable[[], float] = now,
    ) -> None:
        """`heard` is told after each answer."""
        self._links, self._hub, self._own, self._heard, self._clock = links, hub, own, heard, clock
        self.sources: dict[str, Source] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def meet(self, addresses: Iterable[str]) -> None:
        """Coordinators that there may be; those already known stay until `leave`."""
        for address in addresses:
            if address != self._own().address and address not in self._tasks:
                self.sources[address] = Source(address, self._clock)
                self._tasks[address] = asyncio.ensure_future(self._follow(self.sources[address]))

    def leave(self, address: str) -> None:
        """One that is gone for good."""
        task = self._tasks.pop(address, None)
        if task is not None:
            task.cancel()
            del self.sources[address]

    def stop(self) -> None:
        """End."""
        for address in list(self._tasks):
            self.leave(address)

    def alive(self, within: float) -> list[str]:
        """Those that answered within so many ms."""
        return [address for address, source in self.sources.items() if self._clock() - source.heard < within]

    async def _follow(self, source: Source) -> None:
        while True:
            with contextlib.suppress(StepError):
                answer = await self._links.call(
                    source.address, Envelope(pull=source.pull(self._own(), self._hub, WAIT, True)), WAIT + ANSWER
                )
                if answer.HasField("news"):
                    source.take(answer.news, self._hub, False)
                    self.meet(answer.news.core)
                    self._heard()
                    continue
            source.forget()
            self._heard()
            await asyncio.sleep(REST * 2 / 1000)
