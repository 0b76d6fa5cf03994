"""The stand-ins over loopback sockets: what they answer, and what they note."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest

from hallhitch.lab.http_wire import Reader, Writer, answer, read_message
from hallhitch.lab.streams import Streams
from hallhitch.lab.system.backend import Backend, Kind
from hallhitch.lab.system.clients import Client, Place, Want, after
from hallhitch.lab.system.fleet import Fleet
from hallhitch.lab.system.linked import connected
from hallhitch.lab.system.operator import Operator
from hallhitch.lab.system.owners import Owners
from hallhitch.lab.system.paths import Paths
from hallhitch.lab.system.platform import Platform
from hallhitch.lab.system.records import Records
from hallhitch.lab.system.relay import End, Relays
from hallhitch.lab.system.world import reserve
from hallhitch.node.clock import now

GUARD = 20.0  # s after which a wait was in vain
HOST, ZONE = "127.1.1.200", ("zone-1a", "region-1")
Message = tuple[str, dict[str, str], bytes]


@contextlib.asynccontextmanager
async def backend(kind: Kind, cold: bool = False) -> AsyncIterator[Backend]:
    """One backend of a fleet of its own."""
    base, held = reserve()
    fleet = Fleet(Records(), Paths(0, 0, {}), base)
    try:
        yield await fleet.start("b1", kind, HOST, ZONE, cold)
    finally:
        fleet.end()
        held.close()


def request(id: str, deadline: int = 5000, path: str = "/look/1", **more: str) -> bytes:
    """A request's bytes."""
    lines = [f"GET {path} HTTP/1.1", "Host: x", f"Hallhitch-Deadline-Remaining: {deadline}"]
    lines += [f"Hallhitch-Request-Id: {id}"] if id else []
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def ask(b: Backend, text: bytes) -> Message | None:
    """The answer on a connection of its own; None where it broke without one."""
    reader, writer = await asyncio.open_connection(*b.address)
    try:
        writer.write(text)
        return await asyncio.wait_for(read_message(reader), GUARD)
    except (OSError, EOFError):
        return None
    finally:
        writer.close()


def run(what: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine within the guard."""
    asyncio.run(asyncio.wait_for(what(), GUARD))


def status(message: Message | None) -> int:
    """An answer's status; 0 = none."""
    return int(message[0].split()[1]) if message is not None else 0


def test_backend_answers_and_notes() -> None:
    async def body() -> None:
        async with backend(Kind("shelf", work=0)) as b:
            got = await ask(b, request("a1", Hallhitch_Tenant_Name="red"))
            assert got is not None and status(got) == 200
            [noted] = b.fleet.records.arrivals
            assert got[1]["hallhitch-request-id"] == "a1" and got[1]["hallhitch-response-seal"] == noted.seal
            assert (noted.id, noted.method, noted.path, noted.tenant) == ("a1", "GET", "/look/1", "red")
            assert noted.begun is not None and int(got[1]["keep-alive"].removeprefix("timeout=")) > 0
            for text, expected in ((request("a2", Hallhitch_Expected_Instance="b9"), 421), (request(""), 400)):
                got = await ask(b, text)
                assert got is not None and status(got) == expected and "hallhitch-not-executed" in got[1]
            assert [a.begun for a in b.fleet.records.arrivals[1:]] == [None, None]
            assert status(await ask(b, request("a3", Hallhitch_Expected_Instance="b1"))) == 200
            got = await ask(b, b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
            assert got is not None and status(got) == 200 and got[1]["hallhitch-instance-id"] == "b1"
            b.fleet.drain(b)
            got = await ask(b, request("a4"))  # it serves on, and says that it leaves
            assert got is not None and (status(got), got[1]["connection"]) == (200, "close")
            assert status(await ask(b, b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")) == 503
            assert len(b.fleet.records.arrivals) == 5  # probes are no requests

    run(body)


@pytest.mark.parametrize("resets", [False, True])
def test_full_backend_declines_or_resets(resets: bool) -> None:
    async def body() -> None:
        async with backend(Kind("shelf", slots=1, queue=1, work=0, full_resets=resets)) as b:
            b.tricks.append("silent")  # the first run holds its slot until its client leaves
            first = asyncio.ensure_future(ask(b, request("a1")))
            await arrived(b, 1)
            second = asyncio.ensure_future(ask(b, request("a2")))
            await arrived(b, 2)
            assert status(await ask(b, request("a3"))) == (0 if resets else 503)
            assert [a.begun is not None for a in b.fleet.records.arrivals] == [True, False, False]
            first.cancel()
            assert status(await second) == 200  # the slot is free once the first connection closes

    run(body)


async def arrived(b: Backend, count: int) -> None:
    """Wait until so many requests have come."""
    while len(b.fleet.records.arrivals) < count:
        await asyncio.sleep(0)


def test_deadline_that_passed_in_the_queue_is_declined_and_one_that_passes_at_work_is_run() -> None:
    async def body() -> None:
        async with backend(Kind("shelf", slots=1, queue=1, work=60_000)) as b:
            assert status(await ask(b, request("a1", deadline=60))) == 504
            first = asyncio.ensure_future(ask(b, request("a2", deadline=60_000)))
            await arrived(b, 2)
            second = asyncio.ensure_future(ask(b, request("a3", deadline=1)))
            await arrived(b, 3)
            while now() < b.fleet.records.arrivals[2].at + 1:
                await asyncio.sleep(0)
            first.cancel()  # its slot is free
            assert status(await second) == 503
            assert [a.begun is not None for a in b.fleet.records.arrivals] == [True, True, False]

    run(body)


@pytest.mark.parametrize("trick", ["broken", "lost", "garbled", "doubled", "late"])
def test_tricks(trick: str) -> None:
    async def body() -> None:
        async with backend(Kind("shelf", work=0)) as b:
            b.tricks.append(trick)
            reader, writer = await asyncio.open_connection(*b.address)
            writer.write(request("a1"))
            if trick in ("doubled", "late"):
                for _ in range(2):
                    assert (await read_message(reader))[1]["hallhitch-request-id"] == "a1"
            else:
                with pytest.raises((EOFError, OSError, asyncio.LimitOverrunError, ValueError)):
                    first, _, _ = await read_message(reader)
                    raise ValueError(first)  # what is no answer
            assert b.fleet.records.arrivals[0].broke == (trick not in ("doubled", "late"))
            writer.close()

    run(body)


def test_cold_backend_falls_over_and_the_list_says_so_later() -> None:
    async def body() -> None:
        async with backend(Kind("shelf", slots=1, work=0, cold_rate=1.0, cold_time=60_000), cold=True) as b:
            answers = [status(await ask(b, request(f"a{n}"))) for n in range(5)]
            assert answers[0] == 200 and answers[-1] == 0 and b.ended
            assert b.fleet.records.colds[0].rate == 1.0
            gone = b.fleet.records.shown[0].at
            assert [row[0] for row in b.fleet.listed(gone - b.fleet.lag - 1)] == ["b1"]
            assert b.fleet.listed(gone - b.fleet.lag) == []

    run(body)


def test_platform_pages_lags_and_counts() -> None:
    async def body() -> None:
        async with backend(Kind("shelf", work=0)) as b:
            fleet = b.fleet
            for number in range(2, 6):
                await fleet.start(f"b{number}", b.kind, f"127.2.1.{200 + number}", ("zone-2a", "region-2"))
            platform = Platform(fleet, ("127.0.0.1", b.address[1] + 1), rate=4, page=2)
            await platform.start()
            latest = max(each.born for each in fleet.backends.values()) + fleet.lag

            def call(at: float, target: str) -> tuple[int, Any]:
                head, _, text = platform.reply(at, target).partition(b"\r\n\r\n")
                return int(head.split()[1]), json.loads(text or b"{}")

            assert call(latest - 1000, "/instances")[1]["instances"]["rowValues"] == []  # nobody was known yet
            names, target = list[str](), "/instances"
            while target:
                code, page = call(latest + 10, target)
                assert code == 200 and "instanceId" in page["instances"]["columnNames"]
                names += [row[0] for row in page["instances"]["rowValues"]]
                target = f"/instances?pageToken={page['nextPageToken']}" if page["nextPageToken"] else ""
                fleet.drain(b)  # a page that follows shows the same moment as the first
            assert names == ["b1", "b2", "b3", "b4", "b5"]
            assert call(latest + 20, "/instances")[0] == 200
            assert call(latest + 30, "/instances")[0] == 429 and platform.refused == 1
            assert len(call(latest + 2000, "/instances?zone=zone-1a")[1]["instances"]["rowValues"]) == 1
            reader, writer = await asyncio.open_connection(*platform.address)
            platform.state = "down"
            writer.write(b"GET /instances HTTP/1.1\r\nHost: x\r\n\r\n")
            with pytest.raises((EOFError, OSError)):
                await read_message(reader)
            platform.close()

    run(body)


def test_owner_of_a_connection_is_found() -> None:
    with socket.socket() as here, socket.socket() as caller:
        here.bind(("127.0.0.1", 0))
        here.listen()
        caller.connect(here.getsockname())
        taken, peer = here.accept()
        with taken:
            assert Owners(lambda: {os.getpid(): "edge-1"}).of(peer, taken.getsockname()) == "edge-1"
            assert Owners(dict).of(peer, taken.getsockname()) == ""


def test_cut_holds_up_and_healing_lets_pass() -> None:
    async def body() -> None:
        paths = Paths(0, 0, {"edge-1": 4, "edge-2": 5})
        number = paths.begin("cut", ["edge-1"], ["nodes"])
        assert paths.stands("edge-1", "nodes") and paths.stands("nodes", "edge-1")
        assert not paths.stands("edge-2", "nodes")
        held = asyncio.ensure_future(paths.pass_on("nodes", "edge-1"))
        await asyncio.sleep(0)
        assert not held.done()
        paths.over(number)
        await held

    run(body)


GET, POST = Want("look", "GET", "x", "/"), Want("stamp", "POST", "x", "/", repeatable=False)


@pytest.mark.parametrize(
    ("want", "code", "unread", "asked", "left", "expected"),
    [
        (GET, 200, False, 0, 900, None),
        (GET, 404, False, 0, 900, None),
        (GET, 502, False, 0, 900, 20),
        (GET, 0, False, 0, 900, 20),
        (GET, 503, False, 600, 900, 300),
        (GET, 503, False, 100, 900, 100),
        (GET, 502, False, 0, 10, None),
        (POST, 502, False, 0, 900, None),
        (POST, 0, False, 0, 900, None),
        (POST, 0, True, 0, 900, 20),
        (POST, 429, False, 0, 900, 20),
        (POST, 408, False, 0, 900, 20),
    ],
)
def test_when_clients_try_again(
    want: Want, code: int, unread: bool, asked: float, left: float, expected: float | None
) -> None:
    assert after(want, code, unread, asked, left, 20.0) == expected


async def scripted(port: int, reply: Callable[[str, dict[str, str], bytes], bytes]) -> asyncio.Server:
    """A server of the test's own at 127.1.1.PORT's loopback host."""

    async def serve(reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                writer.write(reply(*await read_message(reader)))
        writer.close()

    return await asyncio.start_server(serve, "127.1.1.1", port)


def test_client_resolves_and_honours_a_refusal() -> None:
    async def body() -> None:
        base, held = reserve()
        records, asked = Records(), list[dict[str, str]]()

        def directory(first: str, headers: dict[str, str], body: bytes) -> bytes:
            assert first == "GET /hallhitch/resolve?name=x&region=region-1&zone=zone-1a HTTP/1.1"
            return answer(200, json.dumps({"addresses": [f"127.1.1.1:{base + 1}"], "ttl": "2s"}).encode())

        def gateway(first: str, headers: dict[str, str], body: bytes) -> bytes:
            asked.append(headers)
            if len(asked) == 1:
                return answer(503, extra="Retry-After: 0.01\r\n")
            return (
                b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nHallhitch-Response-Seal: s\r\n"
                b"Hallhitch-Request-Id: " + headers["hallhitch-request-id"].encode() + b"\r\n\r\n"
                b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )

        servers = [await scripted(base, directory), await scripted(base + 1, gateway)]
        place = Place(
            records,
            Paths(0, 0, {}),
            {"region-1": [("127.1.1.9", base), ("127.1.1.1", base)]},
            {f"127.1.1.1:{base + 1}": "edge-1"},
            5000,
        )
        client = Client(place, "region-1", "zone-1a", 1, Streams(1).of("client"))
        outcome = await client.ask(Want("stamp", "POST", "x", "/stamp/1", "k1", b"body", False))
        assert outcome.served and (outcome.tries, outcome.refused) == (2, 1)
        assert [(t.status, t.gateway, t.key) for t in records.tries] == [(503, "edge-1", "k1"), (200, "edge-1", "k1")]
        assert records.tries[0].id != records.tries[1].id == records.tries[1].echo
        assert asked[1]["authorization"] == "Token k1" and 0 < int(asked[1]["hallhitch-deadline-remaining"]) < 2001
        client.close()
        for server in servers:
            server.close()
        held.close()

    run(body)


def test_operator_goes_on_until_taken() -> None:
    async def body() -> None:
        base, held = reserve()
        records, calls = Records(), list[str]()

        def core(first: str, headers: dict[str, str], body: bytes) -> bytes:
            calls.append(first)
            if first.startswith("POST /moved"):
                return answer(200, b'{"configVersion":3}')
            return [answer(503), answer(307, extra=f"Location: http://127.1.1.1:{base}/moved?call=x\r\n"), answer(400)][
                min(2, len(calls) - 1)
            ]

        server = await scripted(base, core)
        operator = Operator(records, lambda: [("127.1.1.1", base)], Streams(1).of("operator"))
        assert (await operator.replace({"configVersion": 3})).acked is not None
        assert (await operator.replace({"configVersion": 4})).status == 400
        assert [(o.version, o.acked is None) for o in records.orders] == [(3, False), (4, True)]
        assert calls[0] == "POST /hallhitch/rpc?call=config.replace HTTP/1.1" and len(calls) == 4
        assert (await operator.read_if_answered(1000.0)).config is None and records.reads == []
        assert (await operator.read_back()).config is None and len(records.reads) == 1
        server.close()
        held.close()

    run(body)


def test_relay_refuses_delays_and_cuts_as_a_link_does() -> None:
    """Opening goes on only once the link does; a dead port refuses; what a cut holds up comes after it."""

    async def body() -> None:
        base, held = reserve()
        loop = asyncio.get_running_loop()
        paths = Paths(0, 0, {"edge-1": 1, "edge-2": 2})
        relays = Relays(paths, [End(1, "edge-1", "127.1.1.2"), End(2, "edge-2", "127.1.1.1")], base)
        await relays.start()
        with pytest.raises(ConnectionRefusedError):
            await connected(loop, "127.1.1.1", base, 1)
        server = await scripted(base, lambda first, headers, body: answer(200, first.encode()))
        cut = paths.begin("cut", ["edge-1"])
        opening = asyncio.ensure_future(connected(loop, "127.1.1.1", base, 1))
        while not relays.open:
            await asyncio.sleep(0)
        assert not opening.done()
        paths.over(cut)
        reader, writer = await asyncio.open_connection(sock=await opening)
        writer.write(request("a1"))
        assert (await read_message(reader))[2] == b"GET /look/1 HTTP/1.1"
        relays.close()
        server.close()
        held.close()

    run(body)
