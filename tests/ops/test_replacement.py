"""A second process beside the first, on one listener that neither owns: the real program, twice."""

from __future__ import annotations

import asyncio
import itertools
import json
import resource
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from hallhitch.net.budget import budget
from hallhitch.ops.handover import NAME, VERSION
from hallhitch.ops.neighbour import Neighbour
from tests.stand_ins import GUARD, ROOT, GatewayCase, Program, free_port, http, read_http, soon

LATE = 2  # clients that one may take before it hears of the other


class Replacement(GatewayCase):
    """The platform holds the listener; each process inherits it."""

    ops = True

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.shared = folder.name
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.addCleanup(self.listener.close)
        await super().asyncSetUp()

    def started(self, program: Program) -> None:
        """Have a program take its clients from the inherited listener."""
        program.listen = f"127.0.0.1:{self.listener.getsockname()[1]}"
        program.inherits = (self.listener.fileno(),)
        program.environ |= {"EDGE_FD": str(self.listener.fileno()), "TMPDIR": self.shared}

    async def second(self, says: str = "") -> Program:
        """The replacement, ready; it says this first."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        program = Program(folder.name, self.discovery.address, self.counter.address, self.nodes, self.give_up)
        program.config["ops"] = f"127.0.0.1:{free_port()}"
        self.started(program)
        await program.start()
        if says:
            await program.logged(says)
        await program.logged('"serving"')
        self.assertEqual((await program.call("/api/ready"))[0], 200)
        return program

    async def load(self, clients: int, kept: bool, asked: list[str]) -> Callable[[], Awaitable[object]]:
        """Clients that ask without a pause, on kept connections or a new one each time; call to end them."""
        going, customers = True, itertools.count()

        async def one() -> None:
            streams = None
            while going:
                request, answer = self.request(customer=f"{next(customers):016x}"), None
                while answer is None:
                    if streams is None:
                        streams = await self.program.connect()
                    streams[1].write(request)
                    try:
                        answer = await soon(read_http(streams[0]))
                    except (ConnectionError, asyncio.IncompleteReadError):
                        # Closed before it was read: clients ask again then, and are to be served once.
                        asked.append("again")
                        streams = None
                asked.append(answer[0].split()[1])
                if streams is not None and (not kept or answer[1].get("connection") == "close"):
                    streams[1].close()
                    streams = None

        tasks = [asyncio.create_task(one()) for _ in range(clients)]

        def end() -> Awaitable[object]:
            nonlocal going
            going = False
            return asyncio.gather(*tasks)

        return end

    async def replaced(self, clients: int, kept: bool) -> list[str]:
        """Replace the process under load; what the clients were answered. Every request served was sent on once."""
        asked: list[str] = []
        end = await self.load(clients, kept, asked)
        new, old = await self.second(), self.program
        old.process.terminate()
        self.assertEqual(await soon(old.process.wait()), 0)
        taken, before = self.nodes[0].taken, len(asked)
        while len(asked) < before + 20:
            await soon(self.nodes[0].came.get())
        await end()
        self.assertGreater(self.nodes[0].taken, taken)
        self.assertEqual(asked.count("200"), self.nodes[0].taken)
        self.program = new
        return asked

    async def test_under_load_every_request_is_answered_once(self) -> None:
        """Guards against requests lost or sent on twice, and against a listener that ends with the first process."""
        self.assertEqual(set(await self.replaced(8, kept=True)) - {"200", "429"}, set())

    async def test_in_a_flood_every_request_is_answered_once(self) -> None:
        """Guards against newcomers lost between two processes that both are at the bound of their clients."""
        self.program.config["limits"] = {"sockets": 128}
        await self.program.stop()
        await self.program.start()
        await self.program.logged('"serving"')
        crowd = budget(128, True).clients
        asked = await self.replaced(crowd, kept=False)
        self.assertEqual(set(asked) - {"200", "429", "503", "again"}, set())

    async def test_with_a_full_or_unwritable_folder_it_starts_alone_and_serves(self) -> None:
        """Guards against a replacement that fails for want of a place to leave notes."""
        resource.prlimit(self.program.process.pid, resource.RLIMIT_FSIZE, (0, 0))  # as on a full disk
        await self.program.logged("nothing is left for a next process")
        self.assertEqual([path.name for path in Path(self.shared).glob("hallhitch.*[0-9]")], [], "half a note stays")
        (Path(self.shared) / NAME).unlink(missing_ok=True)
        for folder in (self.shared, __file__):  # one where nothing was left, and one that is no folder
            self.shared = folder
            new, old = await self.second(), self.program
            old.process.terminate()
            self.assertEqual(await soon(old.process.wait()), 0)
            self.program = new
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])

    async def test_what_was_learned_goes_on_and_damage_is_ignored(self) -> None:
        """Guards against a replacement that starts from nothing, and against one that cannot start for a bad file."""
        path = Path(self.shared) / "hallhitch.learned"
        new = await self.second("goes on from what another process learned")
        self.assertEqual(json.loads(path.read_text())["version"], VERSION)
        await new.stop()
        self.shared = f"{self.shared}/missing"
        for text in (None, "{", "[]", json.dumps({"version": VERSION}), '{"version": 1}', "x" * 100_000):
            if text is not None:
                path.write_text(text)
            new = await self.second()
            new.process.kill()
            await new.process.wait()

    async def test_past_its_half_a_process_leaves_clients_to_the_other(self) -> None:
        """Guards against clients turned away, or descriptors of two processes past the limit of one."""
        self.program.config["limits"] = {"sockets": 128}
        await self.program.stop()
        await self.program.start()
        await self.program.logged('"serving"')
        new = await self.second()
        await self.program.logged('"other_takes_clients": true')
        held = []
        for n in range(30):  # as many as both together may hold
            reader, writer = await self.program.connect()
            self.addCleanup(writer.close)
            writer.write(self.request(customer=f"{n:016x}"))
            self.assertIn(" 200 ", (await soon(read_http(reader)))[0])
            held.append((reader, writer))
        for n, (reader, writer) in enumerate(held):
            writer.write(self.request(customer=f"{n:016x}"))
            self.assertIn(" 200 ", (await soon(read_http(reader)))[0])
        served = [
            f['svc_requests{class="inspect",outcome="served"}']
            for f in (await self.program.figures(), await new.figures())
        ]
        self.assertEqual(sum(served), 60)
        self.assertLessEqual(max(served), 2 * budget(128, True).clients // 2 + 2 * LATE)
        old, self.program = self.program, new
        self.assertEqual((await old.stop())[0], 0)

    async def test_nobody_gives_way_to_who_the_other_can_take(self) -> None:
        """Guards against idle clients let go in the moment in which the other has just begun to take clients."""
        self.program.config["limits"] = {"sockets": 128}
        await self.program.stop()
        await self.program.start()
        await self.program.logged('"serving"')
        other = Neighbour(self.shared)  # a process of this gateway, as far as the first can see
        self.addCleanup(other.close)
        await self.program.logged('"other_takes_clients": false')
        held = []
        for n in range(budget(128, True).clients // 2):
            held.append(await self.program.connect())
            self.addCleanup(held[n][1].close)
            held[n][1].write(self.request(customer=f"{n:016x}"))
            self.assertIn(" 200 ", (await soon(read_http(held[n][0])))[0])
        other.serves()
        for _ in range(3):
            self.addCleanup((await self.program.connect())[1].close)
        for n, (reader, writer) in enumerate(held):
            writer.write(self.request(customer=f"{n:016x}"))
            self.assertIn(" 200 ", (await soon(read_http(reader)))[0])
        other.close()

    async def test_one_that_dies_before_its_yes_costs_nothing(self) -> None:
        """Guards against a first process that stops serving before the second one can."""
        new = await self.second()
        new.process.kill()
        await soon(new.process.wait())
        for _ in range(3):
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])

    async def test_what_is_open_at_the_end_of_the_first_is_finished_there(self) -> None:
        """Guards against an answer lost because its process was replaced meanwhile."""
        self.nodes[0].reply = lambda n: None
        reader, writer = await self.program.connect()
        writer.write(self.request())
        await soon(self.nodes[0].came.get())
        new, old = await self.second(), self.program
        old.process.terminate()
        await old.logged('"ending"')
        self.nodes[0].reply = lambda n: http(200, b"by the second")
        self.assertEqual((await self.ask(self.request(customer="0000000000000002")))[2], b"by the second")
        next(iter(self.nodes[0].writers)).write(http(200, b"by the first"))
        self.assertEqual((await soon(read_http(reader)))[2], b"by the first")
        writer.close()
        self.assertEqual(await soon(old.process.wait()), 0)
        self.program = new

    async def test_one_after_the_other_and_after_one_that_was_killed(self) -> None:
        """Guards against a lock, a note or a listener that outlives its process and stops the next."""
        for end in ("terminate", "kill", "terminate"):
            new, old = await self.second(), self.program
            getattr(old.process, end)()
            await soon(old.process.wait())
            self.program = new
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])
            self.assertEqual((await new.call("/api/ready"))[0], 200)

    async def test_in_the_middle_of_a_drain_and_a_reload(self) -> None:
        """Guards against a state of the old process that the new one inherits, or that keeps the old from ending."""
        await self.program.call("/api/evacuate", "PUT")
        new, old = await self.second(), self.program
        old.process.send_signal(signal.SIGHUP)
        await old.logged("configuration taken")
        old.process.terminate()
        self.assertEqual(await soon(old.process.wait()), 0)
        self.program = new
        self.assertIn(" 200 ", (await self.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0])

    async def test_a_long_body_that_comes_to_the_old_one_is_served_there(self) -> None:
        """Guards against an upload lost because its process was told to end in the middle of it."""
        body = bytes(300_000)
        head, _, _ = self.request("reject", 1500).partition(b"\r\n\r\n")
        reader, writer = await self.program.connect()
        self.addCleanup(writer.close)
        writer.write(head.replace(b"Content-Length: 4", b"Content-Length: 300000") + b"\r\n\r\n" + body[:200_000])
        self.assertIn(" 200 ", (await self.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0])
        new, old = await self.second(), self.program
        old.process.terminate()
        await old.logged('"ending"')
        writer.write(body[200_000:])
        line, headers, _ = await soon(read_http(reader))
        self.assertEqual((line.split()[1], headers["connection"]), ("200", "close"))
        self.assertEqual(await soon(old.process.wait()), 0)
        self.program = new

    async def test_a_descriptor_that_is_no_listener_is_one_line(self) -> None:
        """Guards against a gateway that starts and serves nobody."""
        with tempfile.TemporaryDirectory() as folder, socket.socket() as other:
            path = f"{folder}/config.json"
            with open(path, "w") as file:
                json.dump(self.program.config | {"ops": None}, file)
            for value in ("x", "77", str(other.fileno())):
                run = await asyncio.to_thread(
                    subprocess.run,
                    [sys.executable, "-m", "hallhitch"],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    timeout=GUARD,
                    env={"EDGE_CONFIG": path, "EDGE_FD": value},
                    pass_fds=(other.fileno(),),
                )
                self.assertEqual((run.returncode, len(run.stderr.splitlines())), (2, 1), run.stderr)
                self.assertIn("EDGE_FD", run.stderr)
