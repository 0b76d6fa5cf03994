"""What membership costs and gives: members in virtual time, real processes on the rig, and service of a modelled fleet.

    python -m benchmarks.membership members [--seeds 20] [--sizes 10,50,200,1000]
    python -m benchmarks.membership processes --sizes 10,50,200
    python -m benchmarks.membership service [--seeds 10]
    python -m benchmarks.membership moves
    python -m benchmarks.membership damping
    python -m benchmarks.membership noise

Each prints the table that docs/measured/membership.md holds.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import logging
import math
import multiprocessing
import os
import socket
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import structlog

from hallhitch.decision.policy import SUBSET_SIZE
from hallhitch.lab import virtual_run
from hallhitch.lab.figures import compute_figures
from hallhitch.lab.fleet.cluster import Cluster, ClusterOptions
from hallhitch.lab.fleet.member_views import member_states
from hallhitch.lab.fleet.processes import GatewayFleet
from hallhitch.lab.fleet.relay import gateway_host
from hallhitch.lab.fleet.timeline import FleetFault
from hallhitch.lab.scenario import Fault, Scenario, replaced
from hallhitch.lab.statistics import bootstrap_interval
from hallhitch.lab.virtual import VirtualTime
from hallhitch.membership.damped_view import DampingSettings, GatewayCounts
from hallhitch.membership.messages import PROTOCOL_VERSION, Ping, encode
from hallhitch.membership.records import MemberRecord, MemberState
from hallhitch.membership.rendezvous import RendezvousRanking
from hallhitch.settings_file import read

ROOT = Path(__file__).parents[1] / "scenarios"
HEALED = 180_000.0  # ms after which a run is not waited for
TICK = os.sysconf("SC_CLK_TCK")


def quiet() -> None:
    """No log lines."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


def mean(values: list[float], digits: int = 1) -> str:
    """A mean with its interval."""
    found = bootstrap_interval(values)
    return f"{found.mean:.{digits}f} ({found.low:.{digits}f} to {found.high:.{digits}f})"


# Members in virtual time.


def members_run(job: tuple[int, int]) -> dict[str, float]:
    """One seed: quiet, a third of all datagrams lost, a crash, a split in halves for 30 s."""
    quiet()
    size, seed = job
    c = Cluster(size, seed, options=ClusterOptions(counts_bytes=True))
    c.start_settled()
    c.time.run(c.time.now + 8_000)
    sent, size_of = sum(p.datagrams_sent for p in c.members.values()), sum(p.bytes_sent for p in c.members.values())
    c.time.run(c.time.now + 10_000)
    found = {
        "datagrams": (sum(p.datagrams_sent for p in c.members.values()) - sent) / size / 10,
        "bytes": (sum(p.bytes_sent for p in c.members.values()) - size_of) / size / 10,
    }
    loss = c.links.begin(FleetFault("drop", 0.0, share=0.3))
    c.time.run(c.time.now + 20_000)
    c.links.end(loss)
    c.run_until(c.is_agreed, HEALED)
    found["false"] = float(sum(n.state is MemberState.FAILED for n in c.view_changes))
    found["accusations"] = float(sum(p.swim.counters.accusations for p in c.members.values()))
    dead, when = c.members[size - 1], c.time.now
    key = dead.swim.local.key
    c.kill(size - 1)
    gone: Callable[[], int] = lambda: sum(p.swim.members[key].record.state is MemberState.FAILED for p in c.running())  # noqa: E731
    c.run_until(lambda: gone() > 0, HEALED)
    found["first"] = (c.time.now - when) / 1000
    c.run_until(lambda: gone() == size - 1, HEALED)
    found["all"] = (c.time.now - when) / 1000
    if size <= 200:
        split = c.links.begin(FleetFault("split", 0.0, parts=(0.5, 0.5)))
        c.time.run(c.time.now + 30_000)
        c.links.end(split)
        found["healed"] = c.run_until(c.is_agreed, HEALED) / 1000
    return found


def members(sizes: list[int], seeds: int, workers: int) -> None:
    """Print the table."""
    print(
        "| members | seeds | datagrams a second | bytes a second | first knows of a crash, s | all, s | "
        "accusations while 30 % are lost for 20 s | false failures | one view after 30 s in halves, s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(workers, mp_context=multiprocessing.get_context("spawn")) as pool:
        for size in sizes:
            runs = list(pool.map(members_run, [(size, seed) for seed in range(1, seeds + 1)]))
            cells = [mean([run[key] for run in runs]) for key in ("datagrams", "bytes", "first", "all", "accusations")]
            healed = mean([run["healed"] for run in runs]) if "healed" in runs[0] else "-"
            print(
                f"| {size} | {seeds} | {' | '.join(cells)} | {sum(run['false'] for run in runs):.0f} | {healed} |",
                flush=True,
            )


# Real processes.


def cpu_of(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


async def processes_run(size: int, seconds: float) -> dict[str, float]:
    """One fleet without traffic: quiet, a crash, a split of 30 s."""
    told = replaced(read(str(ROOT / "calm.toml"), Scenario), {"world.gateways": size, "world.nodes": 4})
    loop = asyncio.get_running_loop()
    async with GatewayFleet(told, 1) as f:
        found = {"join": await f.wait_until_agreed(180.0)}
        await asyncio.sleep(60.0 if size > 100 else 20.0)  # until the news of the start are told
        pids = [process.pid for process in f.processes.values() if process is not None]
        before, carried, began = sum(map(cpu_of, pids)), dict(f.datagram_counts), loop.time()
        await asyncio.sleep(seconds)
        lasted = loop.time() - began
        found["cpu"] = (sum(map(cpu_of, pids)) - before) / size / lasted * 100
        found["datagrams"] = (f.datagram_counts["datagrams"] - carried["datagrams"]) / size / lasted
        found["bytes"] = (f.datagram_counts["bytes"] - carried["bytes"]) / size / lasted
        name = f"n{size - 1}"
        began = loop.time()
        await f.end_process(size - 1, False, None)
        await f.wait_until(lambda views: any(member_states(v).get(name) == "failed" for v in views.values()), 180.0)
        found["first"] = loop.time() - began
        await f.wait_until(lambda views: all(member_states(v).get(name) == "failed" for v in views.values()), 180.0)
        found["all"] = loop.time() - began
        split = f.begin_fault(FleetFault("split", 0.0, parts=(0.5, 0.5)))
        await asyncio.sleep(30.0)
        f.end_fault(split)
        found["healed"] = await f.wait_until_agreed(180.0)
        return found


async def without(size: int, seconds: float) -> float:
    """Processor time of the same fleet without membership, in hundredths of a core."""
    told = replaced(read(str(ROOT / "calm.toml"), Scenario), {"world.gateways": size, "world.nodes": 4})
    async with GatewayFleet(told, 1, has_membership=False) as f:
        await asyncio.sleep(10.0)
        pids = [process.pid for process in f.processes.values() if process is not None]
        before, began = sum(map(cpu_of, pids)), asyncio.get_running_loop().time()
        await asyncio.sleep(seconds)
        return (sum(map(cpu_of, pids)) - before) / size / (asyncio.get_running_loop().time() - began) * 100


def processes(sizes: list[int], seconds: float) -> None:
    """Print the table."""
    quiet()
    print(
        "| processes | one view after the start, s | datagrams a second | bytes a second | processor, % of a core | "
        "without membership | first knows of a crash, s | all, s | one view after 30 s in halves, s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for size in sizes:
        r = asyncio.run(processes_run(size, seconds))
        bare = asyncio.run(without(size, seconds))
        print(
            f"| {size} | {r['join']:.1f} | {r['datagrams']:.1f} | {r['bytes']:.0f} | {r['cpu']:.2f} | {bare:.2f} | "
            f"{r['first']:.1f} | {r['all']:.1f} | {r['healed']:.1f} |",
            flush=True,
        )


# Service of a modelled fleet.

Day = tuple[str, int, dict[str, Any], tuple[Fault, ...], float]


def service_run(job: tuple[int, dict[str, Any], tuple[Fault, ...], float, int]) -> tuple[float, float]:
    """Service and p99 of one run."""
    quiet()
    gateways, sets, faults, seconds, seed = job
    told = replaced(
        read(str(ROOT / "calm.toml"), Scenario),
        {
            "world.gateways": gateways,
            "world.nodes": 100,
            "traffic.rate": 700.0,
            "seconds": seconds,
            "traffic.spread": [0.2, 0.4],
        }
        | sets,
    )
    run = virtual_run.play(msgspec.structs.replace(told, faults=faults), seed)
    found = compute_figures(run.journal.events, run.traffic, run.counter_calls)
    return found.service, found.p99


def service(seeds: int, workers: int, only: str) -> None:
    """Print the tables."""
    with_, off = {"world.peers": True}, dict[str, Any]()
    zero = {"world.numbers": "zero"}

    def split(seconds: float) -> tuple[Fault, ...]:
        return (Fault("gateways_split", 5.0, seconds, 0.5),)

    def die(seconds: float) -> tuple[Fault, ...]:
        return (Fault("gateways_die", 5.0, seconds, 0.7),)

    days: list[Day] = [
        ("right numbers, no membership", 40, off, (), 20.0),
        ("right numbers, membership", 40, with_, (), 20.0),
        ("all told 0, no membership", 40, zero, (), 20.0),
        ("all told 0, membership", 40, zero | with_, (), 20.0),
        ("split 3 s, no membership", 40, off, split(3.0), 20.0),
        ("split 3 s", 40, with_, split(3.0), 20.0),
        ("split 30 s, no membership", 40, off, split(30.0), 60.0),
        ("split 30 s", 40, with_, split(30.0), 60.0),
        ("seven in ten die for 20 s, no membership", 40, off, die(20.0), 40.0),
        ("seven in ten die for 20 s", 40, with_, die(20.0), 40.0),
        ("split 5 min, no membership", 40, off, split(300.0), 330.0),
        ("split 5 min", 40, with_, split(300.0), 330.0),
        ("200 right numbers, no membership", 200, off, (), 20.0),
        ("200 right numbers, membership", 200, with_, (), 20.0),
        ("200 all told 0, no membership", 200, zero, (), 20.0),
        ("200 all told 0, membership", 200, zero | with_, (), 20.0),
    ]
    print("| day | gateways | seeds | service | p99, ms |")
    print("| --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(workers, mp_context=multiprocessing.get_context("spawn")) as pool:
        for name, gateways, sets, faults, seconds in days:
            if only not in name:
                continue
            many = max(2, seeds // 5) if seconds > 100 or gateways > 100 else seeds
            runs = list(pool.map(service_run, [(gateways, sets, faults, seconds, n + 1) for n in range(many)]))
            worth, slowest = mean([s for s, _ in runs], 4), mean([p for _, p in runs], 0)
            print(f"| {name} | {gateways} | {many} | {worth} | {slowest} |", flush=True)


# Places.


def moves() -> None:
    """Print how many servers gateways take up when one leaves, against the least possible and numbers that shift."""
    servers = [f"node-{n}" for n in range(100)]

    def kept(names: list[str]) -> dict[str, set[str]]:
        few, found = math.ceil(SUBSET_SIZE * max(1.0, len(names) / len(servers))), {}
        for name in names:
            places = RendezvousRanking(name)
            places.set_gateways(names)
            found[name] = {server for server in servers if places.rank(server) < few}
        return found

    print("| gateways | kept to in all | moved when one leaves | least possible |")
    print("| --- | --- | --- | --- |")
    for count in (10, 40, 200):
        names = [f"g{n}" for n in range(count)]
        before = kept(names)
        moved, least = [], []
        for gone in itertools.islice(names, 0, count, max(1, count // 10)):
            after = kept([name for name in names if name != gone])
            moved.append(float(sum(len(after[name] - before[name]) for name in after)))
            least.append(float(len(before[gone])) if count * SUBSET_SIZE > 0 else 0.0)
        print(f"| {count} | {sum(map(len, before.values()))} | {mean(moved)} | {mean(least)} |")


def damping() -> None:
    """Print how places and budgets move in a release, in a mass death and behind a split: damped and as it comes."""
    size, servers = 60, [f"node-{n}" for n in range(100)]
    few = math.ceil(SUBSET_SIZE * max(1.0, size / len(servers)))
    settings = {"damped": DampingSettings(), "as it comes": DampingSettings(0.0, 0.0, 200.0, 1.0, 0.0, 1.0)}

    def release(c: Cluster) -> None:
        for tenth in range(10):
            some = FleetFault("term", 0.0, 1.0, (f"g{tenth * 6}-g{tenth * 6 + 5}",))
            c.time.after(5_000 + tenth * 10_000, c.begin_fault, some, 1_000.0)

    def die(c: Cluster) -> None:
        c.time.after(5_000, c.begin_fault, FleetFault("kill", 0.0, 5.0, ("g0-g41",)), 5_000.0)

    def split(c: Cluster) -> None:
        c.time.after(5_000, c.begin_fault, FleetFault("split", 0.0, parts=(0.5, 0.5)), 30_000.0)

    print(
        "| what happens to 60 | | servers taken up or left a gateway | most in one second | times | least and most "
        "that budgets are divided by |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for name, happens in (
        ("a tenth restarted each 10 s", release),
        ("seven in ten die, back 5 s later", die),
        ("halves for 30 s", split),
    ):
        for how, told in settings.items():
            kept: dict[int, set[str]] = {}
            moved: dict[int, dict[int, int]] = {}
            budgets: list[int] = []

            clock = VirtualTime()
            began = clock.now

            def follow(
                number: int,
                counted: GatewayCounts,
                kept: dict[int, set[str]] = kept,
                began: float = began,
                moved: dict[int, dict[int, int]] = moved,
                budgets: list[int] = budgets,
                clock: VirtualTime = clock,
            ) -> None:
                now = {server for server in servers if counted.rank(server) < few}
                if clock.now - began > 4_500:
                    second = int(clock.now / 1000)
                    change = len(now ^ kept.get(number, now))
                    moved.setdefault(number, {})[second] = moved.setdefault(number, {}).get(second, 0) + change
                    budgets.append(counted.budget_count)
                kept[number] = now

            c = Cluster(size, 1, clock, ClusterOptions(damping=told, on_counts=follow))
            c.start_settled()
            happens(c)
            c.time.run(began + 160_000)
            whole = [float(sum(by.values())) for by in moved.values()]
            worst = max(change for by in moved.values() for change in by.values())
            times = sum(change > 0 for by in moved.values() for change in by.values()) / len(moved)
            numbers = f"{min(budgets)}, {max(budgets)}"
            print(f"| {name} | {how} | {mean(whole)} | {worst} | {times:.1f} | {numbers} |", flush=True)


async def noise_run() -> None:
    """Processor time of a gateway under noise, and whether its view held."""
    told = replaced(read(str(ROOT / "calm.toml"), Scenario), {"world.gateways": 3, "world.nodes": 4})
    print("| datagrams a second | what | processor, % of a core | dropped as flood | view |")
    print("| --- | --- | --- | --- | --- |")
    async with GatewayFleet(told, 1) as f:
        await f.wait_until_agreed()
        process = f.processes[0]
        assert process is not None
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for what, data in (
                ("noise", os.urandom(400)),
                (
                    "well formed, another cluster",
                    encode(
                        Ping(
                            PROTOCOL_VERSION,
                            "other",
                            MemberRecord("x", 1, 0, MemberState.ALIVE, "127.0.0.1:1", 1),
                            0,
                            (),
                            1,
                            1,
                        )
                    ),
                ),
            ):
                for rate in (0, 1_000, 20_000):
                    used, loop = cpu_of(process.pid), asyncio.get_running_loop()
                    began, sent = loop.time(), 0
                    while (past := loop.time() - began) < 5.0:
                        while sent < rate * past:
                            sock.sendto(data, (gateway_host(0), f.port))
                            sent += 1
                        await asyncio.sleep(0.002)
                    used = (cpu_of(process.pid) - used) / 5.0 * 100
                    figures_ = await f.fetch(0, "/api/telemetry")
                    flood = figures_.split('reason="flood"} ')[1].split()[0]
                    alive = sum(state == "alive" for state in member_states(await f.fetch(0)).values())
                    print(f"| {rate} | {what} | {used:.1f} | {flood} | {alive} alive |", flush=True)


def main() -> None:
    """Measure what is asked for."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=["members", "processes", "service", "moves", "damping", "noise"])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--sizes", default="10,50,200")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--workers", type=int, default=os.cpu_count())
    parser.add_argument("--only", default="", help="Of the days: those with this in their name.")
    told = parser.parse_args()
    sizes = [int(size) for size in told.sizes.split(",")]
    if told.what == "members":
        members(sizes, told.seeds, told.workers)
    elif told.what == "processes":
        processes(sizes, told.seconds)
    elif told.what == "service":
        service(told.seeds, told.workers, told.only)
    elif told.what == "moves":
        moves()
    elif told.what == "damping":
        damping()
    else:
        quiet()
        asyncio.run(noise_run())


if __name__ == "__main__":
    main()
