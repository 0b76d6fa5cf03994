"""A gateway's pulls: from the coordinator in freshest contact with the core, from other gateways where none answers.

Owns whom this gateway asks. At most one pull to a peer is under way. Where its answer is late the next coordinator is
asked beside it, and the late answer is still taken in: nothing is fetched twice because a way is slow. A process that
has no configuration begins with one that a majority confirmed, or with the newest of several gateways; after that it
never goes back, whoever tells it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

from hallhitch.messages.system_pb2 import Envelope, StateUpdate
from hallhitch.node.clock import now
from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger
from hallhitch.node.settings import RuleBounds
from hallhitch.planes.distribution.peer_replica import HOLD, Calls, PeerReplica, rendezvous
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.values import Gateway, LeaseMembership

FIRST = 800.0  # ms in which a process that has just started hears those it knows
REST = 100.0  # ms between tries where nobody answers
PROBE = 350.0  # ms in which a coordinator that is back answers a gateway that pulls from gateways
PROBED = 3  # coordinators that are tried so
WATCHED = 3  # gateways that one pulls from where no coordinator answers
STAY = 3000.0  # ms after which a gateway that pulls from gateways goes through all coordinators again
ANSWERS_TO_BEGIN = 2  # of a gateway, for a process that has nothing: the configuration, then the lists
BESIDE = 3  # pulls under way beside each other
PATIENCE_SHARE = 0.2  # of configApply: a pull that takes longer has another one asked beside it
LATEST_SHARE = 0.6  # of configApply: a pull under way for longer is not counted among those beside each other


class GatewaySync:
    """All that this gateway knows of the others comes in here."""

    def __init__(
        self,
        links: Calls,
        hub: StateHub,
        own: Callable[[], Gateway],
        seeds: Sequence[str],
        clock: Callable[[], float] = now,
        bounds: RuleBounds | None = None,
    ) -> None:
        """`own` tells this gateway's entry of the moment."""
        self._links, self._hub, self._own, self._seeds, self._clock = links, hub, own, tuple(seeds), clock
        self._bounds = bounds or RuleBounds()
        self._log = ComponentLogger("distribution")
        self._task: asyncio.Task[None] | None = None
        self._sources: dict[str, PeerReplica] = {}
        self._pulls: dict[str, tuple[float, asyncio.Task[bool]]] = {}  # under way: address -> since when, its task
        self._followed = ""  # whose answer is waited for
        self.asked_all = False  # whether those known at the start were heard, or had their time

    def start(self) -> None:
        """Begin."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()
        for _, pull in list(self._pulls.values()):
            pull.cancel()

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """The settings name other seeds."""
        self._seeds = tuple(seeds)

    def coordinators(self) -> list[str]:
        """All coordinators that are known, the one this gateway prefers first."""
        known = {*self._seeds, *self._hub.core, *self._hub.members}
        return rendezvous(self._own().name, known)

    def say(self) -> None:
        """This gateway's own entry has changed: say so now, not with the next pull."""
        if self._followed in self._pulls:
            self._pulls[self._followed][1].cancel()

    async def _run(self) -> None:
        await self._hear_all()
        self.asked_all = True
        self._hub.changed()
        while True:
            try:
                if not await self._follow_coordinators(self.coordinators()):
                    await self._pull_from_gateways()
            except Exception as error:  # whatever came: news must go on
                self._log.error(f"a pull failed: {type(error).__name__}: {error}")
            await asyncio.sleep(REST / 1000)

    async def _hear_all(self) -> None:
        """Hear the seeds, for the freshest configuration: until most have answered, or their time is over."""
        until = self._clock() + FIRST
        pending = {self._begin(self._source(address), 0.0, lists=False) for address in self._seeds}
        good, most = 0, len(pending) // 2 + 1
        while pending and good < most and self._clock() < until:
            left = max(0.0, until - self._clock()) / 1000
            done, pending = await asyncio.wait(pending, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            good += sum(not pull.cancelled() and pull.result() for pull in done)

    async def _follow_coordinators(self, addresses: Sequence[str]) -> bool:
        """Pull from the first in contact with the core for as long as it is; False if no coordinator answers."""
        lapsed: list[PeerReplica] = []
        for address in addresses:
            source = self._source(address)
            if address not in self._pulls and self._beside() >= BESIDE:
                continue
            hold = 0.0
            while await self._pull(source, hold):
                hold = HOLD
                if source.lapsed:
                    lapsed.append(source)
                    break
        if not lapsed:
            return False
        # One that is out of contact is better than nobody; the one that lost it last knows most.
        answered = await self._pull(max(lapsed, key=lambda one: one.contact_at), HOLD)
        if not self._hub.config.serial or not len(self._hub.backends):
            # It tells no configuration that no majority confirms; the gateways that it hears may know the one in force.
            for _ in range(ANSWERS_TO_BEGIN):
                await self._take_newest(self._watched(), 0.0)
        return answered

    async def _pull_from_gateways(self) -> None:
        """No coordinator answers: gateways may know more, and until then everything stays as it is."""
        chosen = self._watched()
        until, hold = self._clock() + STAY, 0.0
        while chosen and self._clock() < until:
            if not await self._take_newest(chosen, hold) or await self._coordinator_answers():
                return
            hold = HOLD

    def _watched(self) -> list[PeerReplica]:
        """The gateways that this one asks."""
        own = self._own().name
        others = {g.name: g.address for g in self._hub.gateways.values() if g.frontend and g.name != own}
        return [self._source(others[name], coordinator=False) for name in rendezvous(own, others)[:WATCHED]]

    async def _take_newest(self, gateways: Iterable[PeerReplica], hold: float) -> bool:
        """Pull from several gateways; the newest configuration first, so that no older one comes into force."""
        pulls = [(source, self._clock(), self._ask(source, hold, self._wait_most(source))) for source in gateways]
        answers = await asyncio.gather(*(pull for _, _, pull in pulls))
        told = [(source, asked, news) for (source, asked, _), news in zip(pulls, answers, strict=True) if news]
        for source, asked, news in sorted(told, key=lambda one: one[2].config.serial, reverse=True):
            self._learn(source, news, asked, lists=False)
        return bool(told)

    async def _coordinator_answers(self) -> bool:
        """Whether a coordinator answers again, within PROBE ms."""
        pulls = [self._begin(self._source(address), 0.0, lists=True) for address in self.coordinators()[:PROBED]]
        until = self._clock() + PROBE
        pending = set(pulls)
        while pending and self._clock() < until:
            left = max(0.0, until - self._clock()) / 1000
            done, pending = await asyncio.wait(pending, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            if any(not pull.cancelled() and pull.result() for pull in done):
                return True
        return False

    def _source(self, address: str, *, coordinator: bool = True) -> PeerReplica:
        source = self._sources.get(address)
        if source is None:
            source = self._sources[address] = PeerReplica(address, self._clock, coordinator=coordinator)
        return source

    def _beside(self) -> int:
        """How many pulls are under way that may still be answered soon."""
        overdue = self._clock() - HOLD - LATEST_SHARE * self._bounds.config_apply_ms
        return sum(since > overdue for since, _ in self._pulls.values())

    def _wait_most(self, source: PeerReplica) -> float:
        """How long (ms) an answer of this peer is waited for before somebody else is asked beside it."""
        return source.patience(PATIENCE_SHARE * self._bounds.config_apply_ms)

    async def _pull(self, source: PeerReplica, hold: float) -> bool:
        """Wait for the pull to this peer that is under way, or for a new one; whether there was an answer in its time.

        One cut short by `say` counts as answered.
        """
        self._followed = source.address
        pull = self._begin(source, hold, lists=True)
        await asyncio.wait({pull}, timeout=(hold + self._wait_most(source)) / 1000)
        return pull.done() and (pull.cancelled() or pull.result())

    def _begin(self, source: PeerReplica, hold: float, *, lists: bool) -> asyncio.Task[bool]:
        """The pull to this peer that is under way; a new one where there is none."""
        under_way = self._pulls.get(source.address)
        if under_way is not None:
            return under_way[1]
        pull = asyncio.ensure_future(self._exchange(source, hold, lists))
        self._pulls[source.address] = self._clock(), pull
        pull.add_done_callback(lambda done: self._ended(source.address, done))
        return pull

    def _ended(self, address: str, pull: asyncio.Task[bool]) -> None:
        del self._pulls[address]
        if not pull.cancelled() and (error := pull.exception()) is not None:
            self._log.error(f"a pull failed: {type(error).__name__}: {error}")

    async def _exchange(self, source: PeerReplica, hold: float, lists: bool) -> bool:
        """One pull and its answer, taken in however late it comes; whether there was one."""
        asked = self._clock()
        news = await self._ask(source, hold, self._bounds.config_apply_ms)
        if news is None:
            return False
        self._learn(source, news, asked, lists)
        return True

    async def _ask(self, source: PeerReplica, hold: float, wait: float) -> StateUpdate | None:
        """What a peer tells; None for silence."""
        pull = Envelope(state_request=source.pull(self._own(), self._hub, hold, False))
        try:
            answer = await self._links.call(source.address, pull, hold + wait)
        except PeerCallError:
            return None
        return answer.state_update if answer.HasField("state_update") else None

    def _learn(self, source: PeerReplica, news: StateUpdate, asked: float, lists: bool) -> None:
        """Take an answer in. Who the coordinators are is learned from those in contact, and from others at first."""
        source.answered(news, asked, self._bounds.serving_lease_ms)
        if news.coordinators and (not source.lapsed or not self._hub.core):
            self._hub.core = tuple(news.coordinators)
        if news.members and (not source.lapsed or not self._hub.members):
            self._hub.members = tuple(news.members)
        self._hub.set_membership(LeaseMembership.from_message(news.lease_membership))
        source.take(news, self._hub, asked, lists)
