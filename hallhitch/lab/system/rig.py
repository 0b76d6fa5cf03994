"""The system's programs as real processes on loopback: their settings files, their starts and their ends.

A process has a host, a settings file and, where it has a disk, a data folder, all of which outlive its lives. The rig
ends nothing but what it started.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hallhitch.lab.system.owners import Address
from hallhitch.lab.system.records import Records, Span
from hallhitch.lab.system.shape import Shape
from hallhitch.node.clock import now

ROOT = Path(__file__).parents[3]
LINKED = "hallhitch.lab.system.linked"
DEPLOY = ROOT / "deploy" / "system.toml"
AGAIN, ENDS_MOST = 0.3, 3  # s after which a process that ended by itself starts again, and how often it does
ENDED = 10.0  # s for a process to end once it was told to
KEPT = ("PATH", "HOME", "LANG", "VIRTUAL_ENV")
INTERNAL, SPAN_OF_PORTS = 0, 8  # offsets from a world's first port
CONTROL, DIRECTORY, FRONT, READY, LIST, BACKEND = 8, 9, 10, 11, 12, 13
PORTS = 16  # of one world
FIRST_SUCCESSOR = 120  # last part of hosts of machines that come later: beyond all others but backends


@dataclass(frozen=True, slots=True)
class Role:
    """A role of the deploy file: the program's module, its class of machines, whom it serves."""

    module: str
    on: str
    serves: tuple[str, ...]


def roles(path: Path = DEPLOY) -> dict[str, Role]:
    """The roles as they are deployed, by name."""
    with open(path, "rb") as file:
        return {
            name: Role(told["run"].split()[-1], told["on"], tuple(told["serves"]))
            for name, told in tomllib.load(file)["roles"].items()
        }


@dataclass(slots=True)
class Machine:
    """One machine with its one process."""

    name: str
    role: str  # gateway or coordinator
    serves: tuple[str, ...]
    host: str
    zone: str
    region: str
    number: int
    folder: Path
    process: asyncio.subprocess.Process | None = None
    started: bool = False  # once, at any time
    founds: bool = True  # there when the whole system starts for the first time
    stopped: bool = False
    down: float | None = None  # since when there is trouble of the rig's making
    ended: list[int] = field(default_factory=list)  # exit codes of ends that nobody asked for
    asked: bool = False  # to end
    watch: asyncio.Task[None] | None = None

    @property
    def data(self) -> Path:
        """Its disk."""
        return self.folder / "data"

    @property
    def log(self) -> Path:
        """What it wrote."""
        return self.folder / "log"

    @property
    def lives(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    def last_lines(self, count: int) -> list[str]:
        """The end of its log."""
        return self.log.read_text(errors="replace").splitlines()[-count:] if self.log.exists() else []


LISTENS = {
    "edge": (("frontend", FRONT), ("readiness", READY)),
    "control_plane": (("controlPlane", CONTROL),),
    "directory": (("directoryApi", DIRECTORY),),
}


def listens(machine: Machine, base: int) -> dict[str, str]:
    """Its addresses, as the settings file holds them."""
    return {name: f"{machine.host}:{base + port}" for served in machine.serves for name, port in LISTENS[served]}


def settings(shape: Shape, machine: Machine, base: int, seeds: Sequence[str], first: bool, platform: Address) -> str:
    """A settings file's text."""
    figures, edge = shape.figures, machine.role == "gateway"
    top: dict[str, Any] = {
        "nodeName": machine.name,
        "role": machine.role,
        "machineClass": "edge" if edge else "core",
        "serves": list(machine.serves),
        "ipAddress": machine.host,
        "zone": machine.zone,
        "region": machine.region,
        "internalPortRange": [base + INTERNAL, base + SPAN_OF_PORTS - 1],
        "seedNodes": list(seeds),
        "firstStart": first,
        "countsTowardLoss": not edge,
        "discoverySource": "cloud_api",
        "entryType": "directory",
        "configMode": "highest",
    }
    if not edge:
        top["dataDirectory"] = str(machine.data)
    tables: dict[str, Mapping[str, Any]] = {
        "zones": shape.zone_table(),
        "listenAddresses": listens(machine, base),
        "limits": {"cpuShare": 0.86, "cpuCores": 1, "memoryMb": 300, "maxOpenFiles": 4096, "bandwidthMbps": 1000.0},
        "faultTolerance": {"machineLosses": shape.losses, "zones": 1, "regionLosses": 0},
        "bounds": {
            "contactWindow": _ms(figures.contact),
            "drainTimeout": _ms(figures.drain),
            "gracePeriod": _ms(shape.grace),
            "configApply": _ms(figures.config),
            "downgradeSlack": _ms(figures.back),
            "evacuation": _ms(figures.evacuation),
            "ttl_max": _ms(shape.ttl_most),
            "seedLag": "3s",
            "addressReuse": "2s",
            "ackTimeout": "6000ms",
            "catchUp": _ms(shape.catch_up),
            "lossSlack": "200ms",
            "maxStretch": "10000ms",
            "recovery": "15s",
            "retryBudgetRatio": figures.retry_ratio,
            "retryWindow": _ms(figures.retry_window),
            "retryBudgetSlack": int(figures.retry_slack),
            "quotaWindow": _ms(figures.quota_window),
            "quotaOvershoot": figures.quota_over,
            "quotaSlack": int(figures.quota_slack),
            "coldOvershoot": figures.cold_over,
            "coldSlack": int(figures.cold_slack),
        },
        "cloudApi": {
            "address": f"{platform[0]}:{platform[1]}",
            "ratePerS": shape.list_rate,
            "duties": [],
            "maxLag": _ms(shape.list_lag),
        },
    }
    lines = [f"{name} = {json.dumps(value)}" for name, value in top.items()]
    for name, table in tables.items():
        lines += [f"[{name}]", *(f"{key} = {json.dumps(value)}" for key, value in table.items())]
    return "\n".join(lines) + "\n"


def _ms(value: float) -> str:
    return f"{value:.0f}ms"


class Rig:
    """All machines of a world, and what befalls their processes."""

    def __init__(
        self, shape: Shape, base: int, folder: Path, platform: Address, records: Records, linked: bool = False
    ) -> None:
        """`linked`: relays stand between the processes."""
        self.shape, self.base, self._linked = shape, base, linked
        self._platform, self._records, self._folder = platform, records, folder
        self.roles = roles()
        self.machines: dict[str, Machine] = {}
        self.removed: list[Machine] = []
        self._made = 0
        places = shape.places()
        made = [("coordinator", f"core-{n + 1}", places[n % len(places)], 101 + n) for n in range(shape.cores)]
        made += [
            ("gateway", f"edge-{region}{zone}{n + 1}", (region, zone), 1 + n)
            for region, zone in places
            for n in range(shape.edges)
        ]
        for role, name, (region, zone), last in made:
            self._place(role, name, f"127.{region}.{zone}.{last}", shape.zone(region, zone), shape.region(region))
        self.fell = asyncio.Event()  # a process has ended that nobody asked to

    def _place(self, role: str, name: str, host: str, zone: str, region: str) -> Machine:
        self._made += 1
        machine = Machine(name, role, self.roles[role].serves, host, zone, region, self._made, self._folder / name)
        self.machines[name] = machine
        return machine

    def successor(self, old: Machine) -> Machine:
        """A new, empty machine beside one: its role and zone, a host and a name of its own. It is not started."""
        network, kind = old.host.rpartition(".")[0], old.name.partition("-")[0]
        host = f"{network}.{FIRST_SUCCESSOR + self._made}"
        machine = self._place(old.role, f"{kind}-{self._made + 1}", host, old.zone, old.region)
        machine.founds = False
        return machine

    def of(self, role: str) -> list[Machine]:
        """All machines of a role."""
        return [machine for machine in self.machines.values() if machine.role == role]

    def serving(self, what: str) -> list[Machine]:
        """All machines that serve `edge`, `control_plane` or `directory`."""
        return [machine for machine in self.machines.values() if what in machine.serves]

    def pids(self) -> dict[int, str]:
        """The processes that run, with their machines' names."""
        return {m.process.pid: m.name for m in self.machines.values() if m.process is not None and m.lives}

    def seeds(self) -> list[str]:
        """The three that all are told of."""
        return [listens(machine, self.base)["controlPlane"] for machine in self.serving("control_plane")][:3]

    def configure(self, machine: Machine, first: bool, seeds: Sequence[str] | None = None) -> Path:
        """Write its settings file, whole or not at all."""
        machine.data.mkdir(parents=True, exist_ok=True)
        path, part = machine.folder / "settings.toml", machine.folder / "settings.part"
        part.write_text(settings(self.shape, machine, self.base, seeds or self.seeds(), first, self._platform))
        part.replace(path)
        return path

    async def start(self, machine: Machine) -> None:
        """Start its process, with the settings of this moment."""
        path = self.configure(machine, machine.founds and not machine.started)
        environ = {name: os.environ[name] for name in KEPT if name in os.environ}
        what = [self.roles[machine.role].module]
        if self._linked:
            what = [LINKED, *what, str(machine.number), machine.host, str(self.base + INTERNAL)]
        with open(machine.log, "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                *what,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environ | {"HALLHITCH_NODE_FILE": str(path)},
            )
        machine.process, machine.started, machine.asked, machine.stopped = process, True, False, False
        self._records.lives.append((now(), machine.name))
        machine.watch = asyncio.get_running_loop().create_task(self._watched(machine, process))

    async def _watched(self, machine: Machine, process: asyncio.subprocess.Process) -> None:
        """One that ends by itself is started again, as often as is no loop."""
        code = await process.wait()
        if not machine.asked:
            machine.ended.append(code)
            self.fell.set()
            await asyncio.sleep(AGAIN)
            if len(machine.ended) <= ENDS_MOST and not machine.asked:
                await self.start(machine)

    def fallen(self) -> list[str]:
        """Which processes have ended by themselves, with their codes and the last line of their logs."""
        return [
            f"{m.name} ended by itself ({', '.join(map(str, m.ended))}): {(m.last_lines(1) or ['no log'])[0]}"
            for m in (*self.machines.values(), *self.removed)
            if m.ended
        ]

    async def start_all(self) -> None:
        """Start all that do not run."""
        await asyncio.gather(*(self.start(machine) for machine in self.machines.values() if not machine.lives))

    # What befalls them.

    def trouble(self, machine: Machine, what: str, at: float, ends: float) -> None:
        """Note what befell a machine from one moment to another."""
        whom = ("core", machine.name) if machine.role == "coordinator" else (machine.name,)
        self._records.troubles += [Span(at, ends, each, what) for each in whom]

    async def kill(self, machine: Machine, wipe: bool = False) -> None:
        """Its process dies at once; with `wipe` its disk is lost too. It stays down until `back`."""
        await self._end(machine, signal.SIGKILL)
        if wipe:
            shutil.rmtree(machine.data, ignore_errors=True)

    async def term(self, machine: Machine, limit: float | None = None) -> int:
        """It is told to end, and killed where it has not after `limit` ms (None: the grace period); its exit code."""
        return await self._end(machine, signal.SIGTERM, limit)

    async def _end(self, machine: Machine, how: signal.Signals, limit: float | None = None) -> int:
        process = machine.process
        if process is None or process.returncode is not None:
            return 0
        machine.asked, machine.down = True, now()
        process.send_signal(how)
        try:
            async with asyncio.timeout((self.shape.grace if limit is None else limit) / 1000):
                return await process.wait()
        except TimeoutError:
            process.kill()
            return await process.wait()

    async def back(self, machine: Machine, what: str = "down") -> None:
        """It is started again after an end of the rig's making."""
        await self.start(machine)
        if machine.down is not None:
            self.trouble(machine, what, machine.down, now())
            machine.down = None

    async def remove(self, machine: Machine) -> int:
        """It is told to end and is gone for good, with its disk; its exit code."""
        code = await self.term(machine)
        if machine.down is not None:
            self.trouble(machine, "removed", machine.down, now())
            machine.down = None
        shutil.rmtree(machine.data, ignore_errors=True)
        self.removed.append(self.machines.pop(machine.name))
        return code

    def freeze(self, machine: Machine) -> None:
        """Its process stands still: to the others it is as if it were cut off."""
        if machine.process is not None and machine.lives:
            machine.stopped, machine.down = True, now()
            machine.process.send_signal(signal.SIGSTOP)

    def thaw(self, machine: Machine) -> None:
        """It goes on."""
        if machine.process is not None and machine.lives and machine.stopped:
            machine.stopped = False
            machine.process.send_signal(signal.SIGCONT)
            if machine.down is not None:
                self.trouble(machine, "frozen", machine.down, now())
                machine.down = None

    def seed_again(self, machine: Machine, seeds: Sequence[str]) -> None:
        """Its file names other seeds, and it is told."""
        self.configure(machine, False, seeds)
        if machine.process is not None and machine.lives:
            machine.process.send_signal(signal.SIGHUP)

    async def end(self) -> None:
        """End all that was started here."""
        living = [m for m in self.machines.values() if m.lives]
        for machine in self.machines.values():
            machine.asked = True
        for machine in living:
            if machine.process is not None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines.values():
            if machine.process is not None:
                await asyncio.wait_for(machine.process.wait(), ENDED)
            if machine.watch is not None:
                machine.watch.cancel()
            if machine.down is not None:
                self.trouble(machine, "down", machine.down, now())
                machine.down = None
