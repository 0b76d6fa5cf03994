"""All backends of the world: who is there, what the platform's list will say of them, and what ails them.

Owns starts, drains, crashes and the records of them; serves no request itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

from hallhitch.lab.streams import Streams
from hallhitch.lab.system.backend import Backend, Kind
from hallhitch.lab.system.owners import Address
from hallhitch.lab.system.paths import Paths, region_of
from hallhitch.lab.system.records import Cold, Records, Shown
from hallhitch.node.clock import now

LINGERS = 2000.0  # ms for which a crashed backend stays on the list
COLUMNS = ("instanceId", "targetService", "address", "zone", "configVersion", "slotCount", "state", "coldRemaining")


class Fleet:
    """The backends. `owner`: who opened a connection, by its two ends; `regions`: their numbers, by caller."""

    def __init__(
        self,
        records: Records,
        paths: Paths,
        port: int,
        lag: float = 300.0,
        seed: int = 1,
        owner: Callable[[Address, Address], str] = lambda peer, here: "",
        regions: Mapping[str, int] | None = None,
        size: Callable[[str], int] = lambda path: 256,
    ) -> None:
        self.records, self.paths, self._port = records, paths, port
        self.owner, self._regions = owner, regions or {}
        self.lag, self.size = lag, size
        self.backends: dict[str, Backend] = {}
        self.opened = self.probes = 0
        self.shares: dict[str, float] = {}  # of runs that end in a trick
        self._work, self._chance = Streams(seed).of("work"), Streams(seed).of("tricks")

    def caller(self, peer: Address, here: Address, backend: Backend) -> tuple[str, float]:
        """Who has opened a connection, and how far away it is (ms, one way)."""
        name = self.owner(peer, here)
        return name, self.paths.delay(self._regions.get(name, 0), region_of(backend.address[0]))

    def work(self, kind: Kind) -> float:
        """ms that the next request takes there."""
        return kind.work * self._work.between(0.6, 1.4)

    def trick(self) -> str:
        """What becomes of a run; "" = nothing odd."""
        for name, share in self.shares.items():
            if self._chance.chance(share):
                return name
        return ""

    async def start(self, instance: str, kind: Kind, host: str, place: tuple[str, str], cold: bool = False) -> Backend:
        """A backend starts at a host of its own; place: its zone and region."""
        backend = Backend(self, instance, kind, (host, self._port), place, cold)
        await backend.listen()
        self.backends[instance] = backend
        if cold:
            self._note_cold(backend)
        return backend

    def _note_cold(self, backend: Backend) -> None:
        self.records.colds.append(Cold(now(), backend.cold_until, backend.instance, backend.kind.cold_rate))

    def chill(self, backend: Backend, lasts: float) -> None:
        """It becomes cold again."""
        backend.cold_until = now() + lasts
        self._note_cold(backend)

    def drain(self, backend: Backend, serves: float | None = None) -> None:
        """It announces that it leaves, and ends after `serves` ms (None: not by itself)."""
        backend.draining = True
        self._keep(backend, now(), "draining")
        if serves is not None:
            asyncio.get_running_loop().call_later(serves / 1000, self.gone, backend)

    def gone(self, backend: Backend) -> None:
        """It ends in order."""
        if not backend.ended:
            backend.end()
            self._keep(backend, now(), "gone")

    def crash(self, backend: Backend) -> None:
        """It ends at once; the list says so later."""
        if not backend.ended:
            backend.end()
            self._keep(backend, now() + LINGERS, "gone")

    def _keep(self, backend: Backend, at: float, state: str) -> None:
        backend.history.append((at, state))
        self.records.shown.append(Shown(at + self.lag, backend.instance))

    def listed(self, at: float, zone: str = "") -> list[list[object]]:
        """The list's rows as they stood at a moment (COLUMNS)."""
        rows: list[list[object]] = []
        for each in self.backends.values():
            state = each.state(at)
            if state not in ("ready", "draining") or zone and each.zone != zone:
                continue
            host, port = each.address
            rows.append(
                [
                    each.instance,
                    each.kind.service,
                    f"{host}:{port}",
                    each.zone,
                    "v1",
                    each.kind.slots,
                    state,
                    f"{max(0.0, each.cold_until - at):.0f}ms",
                ]
            )
        return rows

    def living(self) -> Iterable[Backend]:
        """Those that run, draining ones among them."""
        return [each for each in self.backends.values() if not each.ended]

    def end(self) -> None:
        """All end."""
        for each in self.backends.values():
            each.end()
