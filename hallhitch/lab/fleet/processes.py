"""Several real gateways with faults between them: the world on sockets, and each gateway's datagrams over a relay.

A gateway has a loopback address of its own and tells others the address of its relay. A relay is one socket: it knows
who sent a datagram by the sender's address, and hands it on from the sender's relay. So a fleet of any size needs one
relay socket a gateway, and every link between two can be cut, slowed or stalled by itself.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import tempfile
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, cast

from hallhitch.lab.errors import GatewayNotRunningError
from hallhitch.lab.fleet.links import Links
from hallhitch.lab.fleet.timeline import TimeLine, Trouble, numbers
from hallhitch.lab.http_wire import read_message
from hallhitch.lab.scenario import Scenario
from hallhitch.lab.sockets.http_clients import OnSecond
from hallhitch.lab.sockets.listener import free_port
from hallhitch.lab.sockets.run import SocketRun
from hallhitch.lab.streams import Streams

LOOK = 0.03  # s between looks at views
GUARD = 60.0  # s after which a wait was in vain
HELD_MOST = 4_096  # datagrams on stalled links
View = dict[str, Any]  # what a gateway's second address tells of its members


def own(number: int) -> str:
    """A gateway's address."""
    return f"127.1.{number >> 8}.{1 + (number & 255)}" if number & 255 != 255 else f"127.1.{number >> 8}.0"


def relay_of(number: int) -> str:
    """Its relay's."""
    return own(number).replace("127.1.", "127.2.", 1)


class Relay(asyncio.DatagramProtocol):
    """Stands where others believe a gateway to be."""

    def __init__(self, number: int, fleet: Fleet) -> None:
        self.number, self._fleet = number, fleet
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It stands."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """A datagram for this gateway has come."""
        self._fleet.carry(addr[0], self.number, data)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there now: as on any network, that is lost."""


class Fleet(SocketRun):
    """A run whose gateways know each other, and the faults between them. `peers` off starts them without membership;
    `numbered` says which number each is told to have."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        line: TimeLine | None = None,
        peers: bool = True,
        file: str = "",
        seeds: Iterable[int] = (0, 1, 2),
        numbered: Callable[[int], int] = lambda n: n,
        tick: OnSecond | None = None,
    ) -> None:
        """`file` are further lines of each gateway's peers file."""
        super().__init__(scenario, seed, tick)
        self.line, self._peers, self._file, self._seeds = line or TimeLine(), peers, file, tuple(seeds)
        self._numbered = numbered
        self.count = scenario.world.gateways
        self.links = Links(self.count, Streams(seed).of("links"))
        self.port, self.ops_port = free_port(), free_port()
        self.relays: dict[int, Relay] = {}
        self._held: list[tuple[int, int, bytes]] = []
        self._moved = asyncio.Event()  # links have changed
        self._numbers = {own(number): number for number in range(self.count)}
        self.lines: dict[int, list[dict[str, Any]]] = {number: [] for number in range(self.count)}
        self.carried: Counter[str] = Counter()

    async def __aenter__(self) -> Fleet:
        self._temporary = tempfile.TemporaryDirectory()
        try:
            await self.open(Path(self._temporary.name))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        self.links.heal()
        self._moved.set()
        await self.close()
        for relay in self.relays.values():
            relay.transport.close()
        self._temporary.cleanup()

    # What a gateway is started with.

    async def open(self, folder: Path) -> None:
        """Relays first, then everything."""
        loop = asyncio.get_running_loop()
        for number in range(self.count if self._peers else 0):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            sock.bind((relay_of(number), self.port))
            sock.setblocking(False)
            _, self.relays[number] = await loop.create_datagram_endpoint(
                lambda number=number: Relay(number, self),  # type: ignore[misc]
                sock=sock,
            )
        await super().open(folder)

    def gateway_index(self, number: int) -> int:
        """The number that a gateway is told to have."""
        return self._numbered(number)

    def _gateway_address(self, number: int) -> tuple[str, int]:
        return own(number), self.port

    def _gateway_config(self, number: int) -> dict[str, Any]:
        return super()._gateway_config(number) | {"ops": f"{own(number)}:{self.ops_port}"}

    def _gateway_arguments(self, number: int) -> list[str]:
        return super()._gateway_arguments(number) + (["--peers", str(self.peers_file(number))] if self._peers else [])

    def peers_file(self, number: int) -> Path:
        """A gateway's file."""
        seeds = json.dumps([f"{relay_of(seed)}:{self.port}" for seed in self._seeds])
        path = self._folder / f"peers{number}.toml"
        path.write_text(
            f'listen = "{own(number)}:{self.port}"\nadvertise = "{relay_of(number)}:{self.port}"\n'
            f'cluster = "fleet-{self.port}"\nseeds = {seeds}\n{self._file}'
        )
        return path

    def on_log_line(self, number: int, line: bytes) -> None:
        """Keep what a gateway logs."""
        try:
            self.lines[number].append(json.loads(line))
        except ValueError:
            self.lines[number].append({"event": line.decode(errors="replace").strip()})

    # Links.

    def carry(self, host: str, receiver: int, data: bytes) -> None:
        """Hand a datagram on, as its link allows."""
        sender = self._numbers.get(host)
        if sender is None or sender not in self.relays:
            self.carried["unknown"] += 1
            return
        self.carried["datagrams"] += 1
        self.carried["bytes"] += len(data)
        one, other = f"g{sender}", f"g{receiver}"
        if self.links.stalled(one, other):
            if len(self._held) < HELD_MOST:
                self._held.append((sender, receiver, data))
            return
        copies = self.links.copies(one, other)
        if not copies:
            self.carried["lost"] += 1
        for late in copies:
            if late:
                asyncio.get_running_loop().call_later(late / 1000, self._hand, sender, receiver, data)
            else:
                self._hand(sender, receiver, data)

    def _hand(self, sender: int, receiver: int, data: bytes) -> None:
        if not self.relays[sender].transport.is_closing():
            self.relays[sender].transport.sendto(data, (own(receiver), self.port))

    async def reaches(self, gateway: int, party: str) -> bool:
        """Whether what a gateway sends a party arrives; a stalled link holds it up."""
        one = f"g{gateway}"
        names = (party, "nodes") if party.startswith("node") else (party,)
        while any(self.links.stalled(one, name) for name in names):
            await self._moved.wait()
        cut = any(self.links.cut(one, name) or self.links.cut(name, one) for name in names)
        return await super().reaches(gateway, party) and not cut

    # Troubles.

    async def drive(self) -> None:
        """The scenario's traffic and faults, and the time line beside them."""
        self.schedule()
        await super().drive()

    def schedule(self) -> None:
        """Have the time line happen from now on."""
        for trouble in self.line.troubles:
            for begins, ends in trouble.times():
                self.time.after(begins, self.begin, trouble, (ends - begins) / 1000)

    def begin(self, trouble: Trouble, seconds: float = 0.0) -> int:
        """A trouble begins now, for so many seconds (0: until `over`); the number to end a link's by."""
        whom = numbers(trouble.whom, self.count)
        if trouble.kind in ("kill", "restart", "term"):
            for number in whom:
                self.tasks.spawn(
                    self.ends(
                        number, trouble.kind == "term", None if not seconds and trouble.kind != "restart" else seconds
                    )
                )
        elif trouble.kind == "stop":
            for number in whom:
                self.halt(number)
                if seconds:
                    self.time.after(seconds * 1000, self.resume, number)
        else:
            held = self.links.begin(trouble)
            self._change()
            if seconds:
                self.time.after(seconds * 1000, self.over, held)
            return held
        return 0

    def over(self, number: int) -> None:
        """A link's trouble is over."""
        self.links.end(number)
        self._change()

    def _change(self) -> None:
        moved, self._moved = self._moved, asyncio.Event()
        moved.set()
        held, self._held = self._held, []
        for sender, receiver, data in held:
            self.carry(own(sender), receiver, data)

    async def ends(self, number: int, planned: bool, back: float | None) -> None:
        """A process dies or is told to end; it is started again after `back` seconds, or not at all."""
        process = self.processes[number]
        if process is None:
            raise GatewayNotRunningError(number)
        blind = self.router.draw_unaware_ms()
        if planned:
            self.processes[number] = None  # no new clients; those that it has are served
            process.send_signal(signal.SIGTERM)
        else:
            self.journal.add(self.time.now, "gateway", number, "killed")
            process.kill()
            self.processes[number] = None
            self.router.notice_down_at(number, self.time.now + blind)
        await process.wait()
        self.discovery.unwatch(number)
        if back is not None:
            await asyncio.sleep(back)
            await self.start_gateway(number)

    def halt(self, number: int) -> None:
        """A process stands still until `resume`."""
        process = self.processes[number]
        if process is None:
            raise GatewayNotRunningError(number)
        self.journal.add(self.time.now, "gateway", number, "stopped")
        self.router.suspended.add(number)
        process.send_signal(signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """It goes on."""
        process = self.processes[number]
        self.router.suspended.discard(number)
        if process is not None and process.returncode is None:
            self.journal.add(self.time.now, "gateway", number, "resumed")
            process.send_signal(signal.SIGCONT)

    # What they see.

    def living(self) -> list[int]:
        """Gateways that run and do not stand still."""
        return [
            number
            for number, process in sorted(self.processes.items())
            if process is not None and number not in self.router.suspended
        ]

    async def view(self, number: int, path: str = "/api/members", host: str = "") -> Any:
        """What a gateway's second address answers."""
        reader, writer = await asyncio.open_connection(host or own(number), self.ops_port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
            _, _, body = await asyncio.wait_for(read_message(reader), 5.0)
        finally:
            writer.close()
        return json.loads(body) if path == "/api/members" else body.decode()

    async def views(self) -> dict[int, View]:
        """Those of all that live."""
        living = self.living()
        found = await asyncio.gather(*(self.view(number) for number in living), return_exceptions=True)
        return {number: view for number, view in zip(living, found, strict=True) if isinstance(view, dict)}

    async def until(self, holds: Callable[[dict[int, View]], bool], guard: float = GUARD) -> float:
        """Look until something holds of the views; the seconds it took. TimeoutError where it never does."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while True:
            views = await self.views()
            if views and holds(views):
                return loop.time() - began
            if loop.time() - began > guard:
                raise TimeoutError({n: states(v) for n, v in views.items()})
            await asyncio.sleep(LOOK)

    async def agreed(self, guard: float = GUARD) -> float:
        """Wait until all that live see each other and nobody else."""

        def holds(views: dict[int, View]) -> bool:
            living = sorted(f"n{number}" for number in self.living())
            return len(views) == len(living) and all(
                sorted(there(view)) == living and "suspect" not in states(view).values() for view in views.values()
            )

        return await self.until(holds, guard)

    def logged(self, number: int, event: str) -> list[dict[str, Any]]:
        """Lines of a gateway's log with this event."""
        return [line for line in self.lines[number] if line.get("event") == event]


def there(view: View) -> list[str]:
    """The names that a view holds to be there."""
    return [member["name"] for member in view["members"] if member["state"] in ("alive", "suspect")]


def states(view: View) -> dict[str, str]:
    """A view's states by name; of several instances the one that is there."""
    order = ("left", "failed", "suspect", "alive")
    return {
        member["name"]: member["state"]
        for member in sorted(view["members"], key=lambda member: order.index(member["state"]))
    }
