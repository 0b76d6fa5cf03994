"""The same world on real sockets: nodes, counter and discovery on loopback, real gateway processes between, clients.

Models, traffic and faults are those of the virtual run, and the log has the same lines, so the same checker reads it.
A node listens once for all gateways: whose attempt it is follows from the request's id, which was asked of one gateway.
Counter and discovery have a listener for each gateway.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from hallhitch.decision import api
from hallhitch.lab.counter_sides import COUNTER_SIDES
from hallhitch.lab.hopping import Network
from hallhitch.lab.http_wire import Reader, Writer, answer, read_message
from hallhitch.lab.journal import Journal
from hallhitch.lab.node import NODE_FAULTS, Node, Pod, Work
from hallhitch.lab.scenario import Fault, Scenario, described
from hallhitch.lab.services import Counter, Discovery
from hallhitch.lab.streams import Streams
from hallhitch.lab.traffic import Intent, Traffic, draw
from hallhitch.lab.world import AFTER, FRONT_BLIND, REPLACED

Tick = Callable[[int, dict[str, int]], None]
STATES = {"up": "active", "drain": "leaving", "gone": "left"}
READY = 60.0  # s for a gateway to say that it serves
ENDED = 10.0  # s for one to end
STARTING = 16  # gateways that start at once: each needs a processor for a while
HOLD_MOST = 60.0


class LoopTime:
    """Unix ms on the running loop, for the models."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._base = time.time() * 1000 - time.monotonic() * 1000

    @property
    def now(self) -> float:
        return self._base + time.monotonic() * 1000

    def after(self, delay: float, callback: Callable[..., object], /, *args: object) -> object:
        """Call it so many milliseconds from now."""
        return self._loop.call_later(max(0.0, delay) / 1000, callback, *args)


class Listener:
    """A listener on loopback whose connections can all be broken at once."""

    def __init__(self, serve: Callable[[Reader, Writer], Awaitable[None]]) -> None:
        self._serve, self.address, self._writers = serve, "", set[Writer]()

    async def start(self) -> Listener:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def _connected(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.LimitOverrunError, ValueError, asyncio.CancelledError):
            await self._serve(reader, writer)
        self._writers.discard(writer)
        writer.transport.abort()

    def stop(self) -> None:
        """Refuse from now on, and break what is open."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class SocketNode:
    """A model node behind a listener."""

    def __init__(self, node: Node, run: SocketRun) -> None:
        self.node, self._run = node, run
        self.listener = Listener(self._serve)

    async def start(self) -> SocketNode:
        """Listen."""
        await self.listener.start()
        return self

    def stop(self, state: str) -> None:
        """Crash or be gone."""
        self.node.stop(state)
        self.listener.stop()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        world, node = self._run.scenario.world, self.node
        if node.connections >= world.connections:
            return
        node.connections += 1
        node.charge(world.handshake_work)
        await asyncio.sleep(self._run.network_delay() / 1000)
        idle_since: float | None = None
        try:
            while True:
                _, headers, _ = await read_message(reader)
                idle = self._run.time.now - idle_since if idle_since is not None else 0.0
                if not await self._one(headers, reader, writer, idle):
                    return
                idle_since = self._run.time.now
        finally:
            node.connections -= 1

    async def _one(self, headers: dict[str, str], reader: Reader, writer: Writer, idle: float) -> bool:
        """One attempt; whether the connection goes on."""
        id, over = int(headers["req-id"], 16), asyncio.Event()
        before = self._run.under_way.get(id)
        if before is not None:
            # The loop tells of connections in any order: one that had ended before this attempt came is noted first.
            await asyncio.sleep(0)
            if before[0].at_eof():
                await before[1].wait()
        self._run.under_way[id] = reader, over
        try:
            return await self._attempt(id, headers, reader, writer, idle)
        finally:
            over.set()
            if self._run.under_way.get(id) == (reader, over):
                del self._run.under_way[id]

    async def _attempt(self, id: int, headers: dict[str, str], reader: Reader, writer: Writer, idle: float) -> bool:
        run, node = self._run, self.node
        gateway = run.asked[id]
        if not await run.passes(gateway, node.name):
            await reader.read(1)  # it never came: the gateway hears nothing until it gives up
            return False
        intent = run.intents[id]
        number = run.attempts.get(id, 0)
        run.attempts[id] = number + 1
        run.journal.add(run.time.now, "send", id, number, gateway, node.name)
        kind = run.settings.classes[intent.klass]
        loop = asyncio.get_running_loop()
        ends = run.time.now + float(headers.get("req-deadline-ms", 1e4))

        def work(reply: Callable[[str, int], None]) -> Work:
            return Work(id, number, intent.work, ends, intent.key, kind.repeat_window, kind.effect != api.SAFE, reply)

        # As in the model: it breaks when it comes, before the node has it or behind that.
        stale = idle > run.network.stale  # dropped long ago, if anybody had said so
        if stale or run.network.breaks():
            if not stale and not run.network.early():
                node.take(work(lambda what, echo: None))
            run.journal.add(run.time.now, "done", id, number, "reset")
            return False
        outcome: asyncio.Future[tuple[str, int]] = loop.create_future()

        def reply(what: str, echo: int) -> None:
            if not outcome.done():
                outcome.set_result((what, echo))

        node.take(work(reply))
        # Nothing is asked behind an attempt: what comes is its end.
        gone: asyncio.Future[bytes] = loop.create_task(reader.read(1))
        waited: set[asyncio.Future[Any]] = {gone, outcome}
        await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        if not outcome.done():
            run.journal.add(run.time.now, "done", id, number, "cancelled")
            return False
        what, echo = outcome.result()
        text = {
            "ok": answer(200, b"%d" % echo),
            "twice": answer(200, b"%d" % echo) * 2,
            "error": answer(500),
            "full": answer(503, extra="Srv-Declined: 1\r\n"),
            "spoilt": b"HTTP/1.1 200 OK\r\nContent-Length: none\r\n\r\n",
        }.get(what, b"")
        heard = {"spoilt": "error", "twice": "ok"}.get(what, what)
        run.journal.add(run.time.now, "done", id, number, heard)
        writer.write(text)
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        return what in ("ok", "error", "full")


class Agent:
    """Discovery's agent on one gateway's machine: it has what it was sent, and answers watches with it."""

    def __init__(self, number: int, run: SocketRun) -> None:
        self._number, self._run, self._seq = number, run, 1
        self._changes: list[tuple[int, api.ServerEntry]] = []
        self._entries: dict[str, api.ServerEntry] = {}
        self._news = asyncio.Event()

    async def start(self) -> Agent:
        """Listen."""
        self.listener = await Listener(self._serve).start()
        return self

    def told(self, news: api.ServerList) -> None:
        """Discovery has sent something."""
        for entry in news.entries:
            self._seq += 1
            self._changes.append((self._seq, entry))
            if entry.state == "gone":
                self._entries.pop(entry.server, None)
            else:
                self._entries[entry.server] = entry
        self._news.set()
        self._news = asyncio.Event()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        while True:
            first, *_ = await read_message(reader)
            if not await self._run.passes(self._number, "discovery"):
                await reader.read(1)
                return
            query = dict(part.partition("=")[::2] for part in first.split()[1].partition("?")[2].split("&") if part)
            after = int(query.get("from", -1))
            if after >= self._seq:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._news.wait(), min(HOLD_MOST, float(query.get("hold_ms", 0)) / 1000))
            if not await self._run.passes(self._number, "discovery"):  # cut while it was held
                await reader.read(1)
                return
            whole = after < 0
            entries = list(self._entries.values()) if whole else [e for seq, e in self._changes if seq > after]
            if whole and self._run.scenario.world.shuffled:
                random.Random(self._number).shuffle(entries)
            hosts = [self._run.host(entry) for entry in entries]
            body = json.dumps({"seq": self._seq, "whole": whole, "hosts": hosts}).encode()
            for entry in entries:
                self._run.journal.add(self._run.time.now, "told", self._number, entry.server, entry.state)
            writer.write(answer(200, body))


class SocketRun:
    """One run on sockets. `tick` hears each second what came of the requests so far."""

    module = "hallhitch"  # what is run as the gateway; one that wraps it may measure it

    def __init__(self, scenario: Scenario, seed: int, tick: Tick | None = None) -> None:
        self.scenario, self.seed, self._tick = scenario, seed, tick
        self.traffic: Traffic = draw(scenario, seed)
        self.settings = scenario.settings(self.traffic.rates)
        self.intents: dict[int, Intent] = {}
        self.asked: dict[int, int] = {}  # of which gateway, by id
        self.attempts: dict[int, int] = {}
        self.under_way: dict[int, tuple[Reader, asyncio.Event]] = {}  # by id: its connection, and when it was noted
        self.statuses: dict[str, int] = {}
        self.late_ms: list[float] = []  # by which clients asked too late: what the rig itself costs
        self.nodes: dict[str, SocketNode] = {}
        self._processes: dict[int, asyncio.subprocess.Process | None] = {}
        self._idle: dict[int, list[tuple[Reader, Writer]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._blind: dict[int, float] = {}
        self._stopped: set[int] = set()
        self._left: list[Listener] = []  # what gateways were moved away from
        self._agents: list[Agent] = []
        self._counters: list[Listener] = []
        self._started: list[asyncio.subprocess.Process] = []
        self._ids = 0

    def network_delay(self) -> float:
        """One way between a gateway and a node."""
        return self.network.delay(0, 0)

    async def passes(self, gateway: int, party: str) -> bool:
        """Whether what a gateway sends a party arrives; one that is held up arrives when this returns."""
        return (gateway, party) not in self.network.cut

    @property
    def late(self) -> float:
        """Ms that one try in a hundred was sent late, at least: past some tens, answer times are the rig's own."""
        return sorted(self.late_ms)[len(self.late_ms) * 99 // 100] if self.late_ms else 0.0

    async def play(self) -> None:
        """Run to the end; the log is in `journal`."""
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self.open(Path(folder))
                await self.drive()
            finally:
                await self.end()

    async def open(self, folder: Path) -> None:
        """Have everything there, and the gateways serve."""
        self._folder = folder
        w, streams = self.scenario.world, Streams(self.seed)
        self.time = LoopTime()
        self.journal = Journal(self.time.now)
        self.network = Network(w, streams.of("network"))
        self.counter = Counter(w, self.time, streams.of("counter"))
        self.discovery = Discovery(w, self.time, streams.of("discovery"))
        self._streams, self._speeds, self._faults = streams, streams.of("speeds"), streams.of("faults")
        self._pods = [Pod() for _ in range(w.pods)]
        self.journal.add(self.time.now, "world", *described(self.scenario, self.settings))
        for _ in range(w.nodes):
            made = await self._node(0.0)
            self.discovery.entries[made.node.name] = self.discovery.entry(made.node, "up")
        self._first = [entry for entry in self.discovery.entries.values()]
        for number in range(w.gateways):
            self._agents.append(await Agent(number, self).start())
            self._counters.append(await self._counter_side(number, w.counter_form))
        self.places = {number: self._place(number) for number in range(w.gateways)}
        starting = asyncio.Semaphore(STARTING)

        async def start(number: int) -> None:
            async with starting:
                await self._gateway(number)

        await asyncio.gather(*(start(number) for number in range(w.gateways)))

    def _place(self, number: int) -> tuple[str, int]:
        """Where a gateway listens."""
        return "127.0.0.1", free_port()

    async def _counter_side(self, number: int, form: str) -> Listener:
        side = COUNTER_SIDES[form](self.counter)

        async def serve(reader: Reader, writer: Writer) -> None:
            heard = asyncio.StreamReader()
            pump = asyncio.get_running_loop().create_task(self._pump(reader, heard, number, "counter"))
            try:
                await side.serve(heard, writer)
            finally:
                pump.cancel()

        return await Listener(serve).start()

    async def _pump(self, reader: Reader, heard: Reader, gateway: int, party: str) -> None:
        """Pass on what a gateway sends; a connection that was cut once stays deaf."""
        passes = True
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                passes = passes and await self.passes(gateway, party)
                if passes:
                    heard.feed_data(data)
        heard.feed_eof()

    # What is there.

    async def _node(self, born: float) -> SocketNode:
        w, number = self.scenario.world, len(self.nodes)
        cell = number % w.pods
        node = Node(
            f"node-{number}",
            w,
            self._pods[cell],
            cell,
            number % w.zones,
            self._speeds.between(*w.speed) * w.ability(number),
            self.time,
            self.journal,
            self._streams.of(f"node {number}"),
            born,
        )
        made = self.nodes[node.name] = await SocketNode(node, self).start()
        return made

    async def _restart(self, lost: SocketNode, after: float) -> None:
        """A node of the same name, cold, where one was lost, so many seconds later."""
        await asyncio.sleep(after)
        made = await SocketNode(lost.node.again(self.time.now), self).start()
        self.nodes[made.node.name] = made
        self.discovery.set(made.node, "up")

    def host(self, entry: api.ServerEntry) -> dict[str, Any]:
        """A node's line in discovery's list."""
        return {
            "host": entry.server,
            "dial": self.nodes[entry.server].listener.address,
            "site": f"zone-{entry.zone}",
            "class": "node",
            "block": entry.cell,
            "health": STATES[entry.state],
            "share": entry.weight,
            "born_ms": entry.started,
        }

    def _config(self, number: int) -> dict[str, Any]:
        """What a gateway is told, in the platform's form."""
        w, s = self.scenario.world, self.settings
        effects = {api.SAFE: "pure", api.KEYED: "token", api.UNSAFE: "side_effect"}
        settings = {
            "balancers": w.gateways,
            "index": self.index(number),
            "discovery": "push",
            "zones": [f"zone-{n}" for n in range(w.zones)],
            "classes": [
                {
                    "name": k.name,
                    "aim": k.aim,
                    "deadline": k.deadline,
                    "worth": k.worth,
                    "repeat": effects[k.effect],
                    "group": k.group,
                    "window": k.repeat_window,
                }
                for k in s.classes
            ],
            "tiers-of-service": [
                {
                    "name": p.name,
                    "per-second": p.rate,
                    "peak-units": p.burst,
                    "worth-factor": p.price,
                    "beyond-earns": p.beyond_worth,
                    "overrun-cost": p.beyond_cost,
                }
                for p in s.plans
            ],
            "family-info": {"shared-counter": True, "counter-timeout": s.counter_timeout, "units-top": 1},
            "limits": {
                "connect-timeout": s.connect_timeout,
                "keepalive": s.keepalive,
                "send-cap": s.attempts,
                "retry-after": True,
                "max-retry-after": s.max_advice,
                "cancel": True,
            },
            "safety": {
                "cold": s.cold_time,
                "cold-from": s.cold_from,
                "fall": s.fall_time,
                "fall-multiple": s.fall_multiple,
            },
        }
        known = {"seq": 1, "whole": True, "hosts": [self.host(entry) for entry in self._first]}
        host, port = self.places[number]
        return {
            "name": f"n{number}",
            "listen": f"{host}:{port}",
            "settings": settings,
            "discovery": self._agents[number].listener.address,
            "counter": self._counters[number].address,
            "seed": f"{self.seed * 1000 + number:016x}",
            "limits": {"sockets": 1024},
            "known": known,
        }

    def index(self, number: int) -> int:
        """The number that a gateway is told to have."""
        return number

    def _arguments(self, number: int) -> list[str]:
        """What a gateway is started with."""
        if self.scenario.world.counter_form != "resp":
            return []
        front = self._folder / f"n{number}.toml"
        front.write_text(f'listen = "127.0.0.1:{free_port()}"\ncounter = "{self._counters[number].address}"\n')
        return ["--resp", str(front)]

    async def _gateway(self, number: int) -> None:
        """Start a gateway's process, and follow its log until it serves."""
        path = self._folder / f"n{number}.json"
        path.write_text(json.dumps(self._config(number)))
        environ = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")} | {"EDGE_CONFIG": str(path)}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            self.module,
            *self._arguments(number),
            env=environ,
            stderr=asyncio.subprocess.PIPE,
            cwd=Path(__file__).parents[2],
        )
        assert process.stderr is not None
        self._started.append(process)
        while b'"serving"' not in (line := await asyncio.wait_for(process.stderr.readline(), READY)):
            if not line:
                raise RuntimeError(f"gateway {number} ended before it served")
            self.said(number, line)
        self._spawn(self._drain(number, process.stderr))
        self._processes[number], self._idle[number] = process, []
        self.journal.add(self.time.now, "gateway", number, "up")
        self.discovery.watch(number, self._agents[number].told)

    async def _drain(self, number: int, stream: Reader) -> None:
        while line := await stream.readline():
            self.said(number, line)

    def said(self, number: int, line: bytes) -> None:
        """A line of a gateway's log."""

    def _spawn(self, what: Any) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Clients.

    async def drive(self) -> None:
        """Send all at their times; the faults come at theirs."""
        begin = time.monotonic() + 0.2
        for fault in self.scenario.faults:
            asyncio.get_running_loop().call_later(begin - time.monotonic() + fault.at_s, self._begin, fault)
        second = 0
        for intent in self.traffic.intents:
            due = begin + intent.at / 1000
            while (wait := due - time.monotonic()) > 0:
                await asyncio.sleep(min(wait, 1.0))
            while self._tick is not None and second <= intent.at / 1000:
                self._tick(second, dict(self.statuses))
                second += 1
            self.late_ms.append((time.monotonic() - due) * 1000)
            self._spawn(self._try(intent, True, 1.0))
        longest = max(k.deadline for k in self.settings.classes)
        await asyncio.sleep((longest + AFTER) / 1000)

    def _through(self, intent: Intent, first: bool) -> int | None:
        number = intent.gateway if first else intent.again
        for step in range(intent.customer.spread):
            other = (number + step) % self.scenario.world.gateways
            there = self._processes.get(other) is not None and other not in self._stopped
            if there or self.time.now < self._blind.get(other, 0.0):
                return other
        return None

    async def _try(self, intent: Intent, first: bool, share: float) -> None:
        number = self._through(intent, first)
        status, advice = "nobody there", 0.0
        if number is not None and self._processes.get(number) is not None:
            self._ids += 1
            id = self._ids
            self.intents[id], self.asked[id] = intent, number
            status, advice = await self._ask(id, number, intent, first, intent.patience * share)
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if first and status != "served" and intent.retries:
            await asyncio.sleep(max(intent.retry_wait, advice) / 1000)
            await self._try(intent, False, 0.75)

    async def _ask(self, id: int, number: int, intent: Intent, first: bool, patience: float) -> tuple[str, float]:
        """One try on a connection of its own for as long as it lasts: status, and when to come back."""
        began, taken = self.time.now, False
        try:
            for again in (True, False):
                kept = again and bool(self._idle[number])  # the second time on a new one
                reader, writer = (
                    self._idle[number].pop() if kept else await asyncio.open_connection(*self.places[number])
                )
                if not taken:
                    taken = True
                    self._log_ask(id, number, intent, first, began + patience)
                writer.write(self._request(id, intent, patience - (self.time.now - began)))
                try:
                    async with asyncio.timeout(patience / 1000 + 1.0):
                        line, headers, body = await read_message(reader)
                except (asyncio.IncompleteReadError, ConnectionError) as error:
                    writer.close()
                    if kept and not getattr(error, "partial", b""):
                        continue  # closed between two requests: not read there, so it is said once more
                    raise
                return self._answered(id, number, line, headers, body, reader, writer)
        except (OSError, EOFError, TimeoutError):
            pass
        return "broken", 0.0

    def _log_ask(self, id: int, number: int, intent: Intent, first: bool, ends: float) -> None:
        plan, klass = self.settings.plans[intent.customer.plan].name, self.settings.classes[intent.klass].name
        start = self.journal._start
        self.journal.add(
            self.time.now,
            "ask",
            id,
            number,
            intent.customer.name,
            plan,
            klass,
            intent.key,
            round(ends - start, 3),
            first,
        )

    def _request(self, id: int, intent: Intent, left: float) -> bytes:
        kind = self.settings.classes[intent.klass]
        safe = kind.effect == api.SAFE
        lines = [
            f"{'GET' if safe else 'POST'} /{kind.name}/{intent.customer.name} HTTP/1.1",
            "Host: service.internal",
            f"Req-Id: {id:016x}",
            f"X-Contract: {self.settings.plans[intent.customer.plan].name}",
            f"Req-Deadline-Ms: {max(1, round(left))}",
            f"X-Metering: units=1,spread={intent.customer.spread},first={intent.customer.first}",
        ]
        body = b"" if safe else b"part"
        if not safe:
            lines += [f"Idempotency-Key: {intent.key}", f"Content-Length: {len(body)}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def _answered(
        self, id: int, number: int, line: str, headers: dict[str, str], body: bytes, reader: Reader, writer: Writer
    ) -> tuple[str, float]:
        code = int(line.split()[1])
        status = "served" if code == 200 else "refused" if code in (429, 503) else "failed"
        echo = int(body) if code == 200 and body.isdigit() else 0
        self.journal.add(self.time.now, "answer", id, status, echo)
        if headers.get("connection") == "close":
            writer.close()
        else:
            self._idle[number].append((reader, writer))
        return status, 1000 * float(headers.get("retry-after", 0))

    # Faults: those of the virtual run, on the same models and on processes.

    def _some(self, part: float) -> list[SocketNode]:
        return self._faults.some((made for made in self.nodes.values() if made.node.state == "up"), part)

    def _later(self, seconds: float, what: Callable[[], object]) -> None:
        asyncio.get_running_loop().call_later(seconds, what)

    def _begin(self, fault: Fault) -> None:
        kind, whom = fault.kind, list[SocketNode]()
        if kind in NODE_FAULTS:
            whom = self._some(fault.part)
            for made in whom:
                made.node.fail(kind, fault.size)
                self._later(fault.for_s, lambda made=made: made.node.recover(kind))  # type: ignore[misc]
        elif kind in ("crash", "drain", "replace"):
            whom = self._some(min(1.0, fault.size) if kind == "replace" else fault.part)
            for turn, made in enumerate(whom):
                at = fault.for_s * turn / len(whom) if kind == "replace" else 0.0
                self._later(at, lambda made=made: self._spawn(self._go(fault, made)))  # type: ignore[misc]
        elif kind == "zone_lost":
            whom = [m for m in self.nodes.values() if m.node.zone == fault.size and m.node.state == "up"]
            for made in whom:
                made.stop("down")
                self._spawn(self._restart(made, fault.for_s))
        elif kind == "unreachable":
            whom = self._some(fault.part)
            cut = {(number, made.node.name) for made in whom for number in self._picked(fault.size)}
            self.network.cut |= cut
            self._later(fault.for_s, lambda: self.network.cut.difference_update(cut))
        elif kind == "list_held":
            for number in self._picked(fault.part):
                self.discovery.hold(number, self.time.now + fault.for_s * 1000)
        elif kind == "gateways_die":
            self._kill(fault)
        elif kind in ("gateways_stop", "gateways_reload"):
            for number in self._picked(fault.part):
                self._stop(number, fault) if kind == "gateways_stop" else self._spawn(self._reload(number))
        elif kind in ("reset", "stale"):
            setattr(self.network, kind, fault.size)
            self._later(fault.for_s, lambda: setattr(self.network, kind, 0.0 if kind == "reset" else float("inf")))
        elif kind == "discovery_down":
            self.discovery.down = True
            self._later(fault.for_s, self.discovery.up)
        elif kind.startswith("counter"):
            self.counter.fail(fault)
            self._later(fault.for_s, lambda: self.counter.recover(fault))
        self.journal.add(self.time.now, "fault", kind, "begins", [made.node.name for made in whom])

    async def _go(self, fault: Fault, made: SocketNode) -> None:
        """A node crashes, or drains and goes; a replaced one has a cold node in its place."""
        if made.node.state != "up":
            return
        if fault.kind == "crash":
            made.stop("down")
            self.discovery.set(made.node, "gone")
            await asyncio.sleep(fault.for_s)
        else:
            made.node.drain()
            self.discovery.set(made.node, "drain")
        if fault.kind != "drain":
            self.discovery.set((await self._node(self.time.now)).node, "up")
        if fault.kind != "crash":
            await asyncio.sleep(REPLACED / 1000)
            if made.node.state == "drain":
                made.stop("down")
                self.discovery.set(made.node, "gone")

    def _picked(self, part: float) -> list[int]:
        return self._faults.some((n for n, process in self._processes.items() if process is not None), part)

    def _stop(self, number: int, fault: Fault) -> None:
        """A process stands still for a while, its connections open."""
        process = self._processes[number]
        assert process is not None
        self.journal.add(self.time.now, "gateway", number, "stopped")
        process.send_signal(signal.SIGSTOP)
        self._stopped.add(number)
        self._blind[number] = self.time.now + min(fault.for_s * 1000, self._faults.between(*FRONT_BLIND))

        def go_on() -> None:
            self._stopped.discard(number)
            if process.returncode is None:
                self.journal.add(self.time.now, "gateway", number, "resumed")
                process.send_signal(signal.SIGCONT)

        self._later(fault.for_s, go_on)

    async def _reload(self, number: int) -> None:
        """The process reads its file again: discovery and counter have moved to other ports."""
        process = self._processes[number]
        assert process is not None
        self._left += [self._counters[number], self._agents[number].listener]
        self._counters[number] = await self._counter_side(number, "http")
        await self._agents[number].start()
        (self._folder / f"n{number}.json").write_text(json.dumps(self._config(number)))
        self.journal.add(self.time.now, "gateway", number, "reloaded")
        process.send_signal(signal.SIGHUP)

    def _kill(self, fault: Fault) -> None:
        for number in self._picked(fault.part):
            process = self._processes[number]
            assert process is not None
            self.journal.add(self.time.now, "gateway", number, "killed")
            process.kill()
            self._processes[number] = None
            self.discovery.leave(number)
            self._blind[number] = self.time.now + min(fault.for_s * 1000, self._faults.between(*FRONT_BLIND))
            self._later(fault.for_s, lambda number=number: self._spawn(self._gateway(number)))  # type: ignore[misc]

    async def end(self) -> None:
        """End the processes that were started here, and what listens."""
        living = [process for process in self._started if process.returncode is None]
        for process in living:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in living:
            try:
                await asyncio.wait_for(process.wait(), ENDED)
            except TimeoutError:
                process.kill()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for listener in (
            *self._left,
            *self._counters,
            *(a.listener for a in self._agents),
            *(made.listener for made in self.nodes.values()),
        ):
            listener.stop()


def free_port() -> int:
    """A port of loopback that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def play(scenario: Scenario, seed: int, tick: Tick | None = None) -> SocketRun:
    """Run a scenario on sockets, in real time."""
    run = SocketRun(scenario, seed, tick)
    asyncio.run(run.play())
    return run
