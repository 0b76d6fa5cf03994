"""Replacement of a process under load, with and without a shared folder, during drains and uploads."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from hallhitch.net.descriptor_budget import divide_descriptors
from hallhitch.ops.hot_restart.sibling_locks import SiblingLocks
from hallhitch.ops.hot_restart.state_transfer import FILE_NAME, VERSION
from tests.ops.hot_restart.replacement_case import ReplacementCase
from tests.stand_ins import GUARD, ROOT, http, read_http, soon

MAX_LATE_CLIENTS = 2  # clients that a process may accept beyond its half before it detects its sibling


class Replacement(ReplacementCase):
    """Replacement of the process."""

    async def test_every_request_is_answered_once_under_load(self) -> None:
        """Guards against requests that are lost or forwarded twice, and a listener that closes with the old process."""
        self.assertEqual(set(await self.replace_under_load(8, keep_alive=True)) - {"200", "429"}, set())

    async def test_every_request_is_answered_once_under_overload(self) -> None:
        """Guards against new clients that are lost while both processes are at their connection limit."""
        self.program.config["limits"] = {"sockets": 128}
        await self.program.stop()
        await self.program.start()
        await self.program.logged('"serving"')
        client_count = divide_descriptors(128, True).clients
        statuses = await self.replace_under_load(client_count, keep_alive=False)
        self.assertEqual(set(statuses) - {"200", "429", "503", "retried"}, set())

    async def test_a_successor_serves_without_transferred_state_if_the_folder_is_full_or_unwritable(self) -> None:
        """Guards against a replacement that fails because the state cannot be written."""
        resource.prlimit(self.program.process.pid, resource.RLIMIT_FSIZE, (0, 0))  # as on a full disk
        await self.program.logged("state not written")
        self.assertEqual(
            [path.name for path in Path(self.shared_folder).glob("hallhitch.*[0-9]")],
            [],
            "a partial file was left behind",
        )
        (Path(self.shared_folder) / FILE_NAME).unlink(missing_ok=True)
        for folder in (self.shared_folder, __file__):  # a folder without a state file, and a path that is not a folder
            self.shared_folder = folder
            successor, predecessor = await self.start_successor(), self.program
            predecessor.process.terminate()
            self.assertEqual(await soon(predecessor.process.wait()), 0)
            self.program = successor
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])

    async def test_learned_state_is_restored_and_a_damaged_file_is_ignored(self) -> None:
        """Guards against a successor that loses the learned state, or that fails to start because of a damaged file."""
        path = Path(self.shared_folder) / "hallhitch.learned"
        successor = await self.start_successor("state restored")
        self.assertEqual(json.loads(path.read_text())["version"], VERSION)
        await successor.stop()
        self.shared_folder = f"{self.shared_folder}/missing"
        for text in (None, "{", "[]", json.dumps({"version": VERSION}), '{"version": 1}', "x" * 100_000):
            if text is not None:
                path.write_text(text)
            successor = await self.start_successor()
            successor.process.kill()
            await successor.process.wait()

    async def test_a_process_beyond_half_the_limit_leaves_clients_to_its_sibling(self) -> None:
        """Guards against rejected clients, and against two processes that exceed the descriptor limit together."""
        self.program.config["limits"] = {"sockets": 128}
        await self.program.stop()
        await self.program.start()
        await self.program.logged('"serving"')
        successor = await self.start_successor()
        await self.program.logged('"is_serving": true')
        connections = []
        for n in range(30):  # as many as both processes together may accept
            reader, writer = await self.program.connect()
            self.addCleanup(writer.close)
            writer.write(self.request(customer=f"{n:016x}"))
            self.assertIn(" 200 ", (await soon(read_http(reader)))[0])
            connections.append((reader, writer))
        for n, (reader, writer) in enumerate(connections):
            writer.write(self.request(customer=f"{n:016x}"))
            self.assertIn(" 200 ", (await soon(read_http(reader)))[0])
        served = [
            metrics['svc_requests{class="inspect",outcome="served"}']
            for metrics in (await self.program.figures(), await successor.figures())
        ]
        self.assertEqual(sum(served), 60)
        self.assertLessEqual(max(served), 2 * divide_descriptors(128, True).clients // 2 + 2 * MAX_LATE_CLIENTS)
        predecessor, self.program = self.program, successor
        self.assertEqual((await predecessor.stop())[0], 0)

    async def test_no_idle_client_is_closed_for_one_that_the_sibling_can_accept(self) -> None:
        """Guards against idle clients that are closed just when the sibling has begun to accept clients."""
        self.program.config["limits"] = {"sockets": 128}
        await self.program.stop()
        await self.program.start()
        await self.program.logged('"serving"')
        sibling = SiblingLocks(self.shared_folder)  # looks like another process of this gateway
        self.addCleanup(sibling.close)
        await self.program.logged('"is_serving": false')
        connections = []
        for n in range(divide_descriptors(128, True).clients // 2):
            connections.append(await self.program.connect())
            self.addCleanup(connections[n][1].close)
            connections[n][1].write(self.request(customer=f"{n:016x}"))
            self.assertIn(" 200 ", (await soon(read_http(connections[n][0])))[0])
        sibling.announce_serving()
        for _ in range(3):
            self.addCleanup((await self.program.connect())[1].close)
        for n, (reader, writer) in enumerate(connections):
            writer.write(self.request(customer=f"{n:016x}"))
            self.assertIn(" 200 ", (await soon(read_http(reader)))[0])
        sibling.close()

    async def test_a_successor_killed_before_it_is_ready_fails_no_request(self) -> None:
        """Guards against an old process that stops serving before its successor is ready."""
        successor = await self.start_successor()
        successor.process.kill()
        await soon(successor.process.wait())
        for _ in range(3):
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])

    async def test_open_requests_are_finished_by_the_predecessor(self) -> None:
        """Guards against a response that is lost because its process was replaced in the meantime."""
        self.nodes[0].reply = lambda n: None
        reader, writer = await self.program.connect()
        writer.write(self.request())
        await soon(self.nodes[0].came.get())
        successor, predecessor = await self.start_successor(), self.program
        predecessor.process.terminate()
        await predecessor.logged('"ending"')
        self.nodes[0].reply = lambda n: http(200, b"by the second")
        self.assertEqual((await self.ask(self.request(customer="0000000000000002")))[2], b"by the second")
        next(iter(self.nodes[0].writers)).write(http(200, b"by the first"))
        self.assertEqual((await soon(read_http(reader)))[2], b"by the first")
        writer.close()
        self.assertEqual(await soon(predecessor.process.wait()), 0)
        self.program = successor

    async def test_processes_replace_each_other_also_after_a_kill(self) -> None:
        """Guards against a lock, state file or listener that outlives its process and blocks the next one."""
        for method in ("terminate", "kill", "terminate"):
            successor, predecessor = await self.start_successor(), self.program
            getattr(predecessor.process, method)()
            await soon(predecessor.process.wait())
            self.program = successor
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])
            self.assertEqual((await successor.call("/api/ready"))[0], 200)

    async def test_a_replacement_during_a_drain_and_a_reload(self) -> None:
        """Guards against a drain that the successor inherits, or that keeps the old process from exiting."""
        await self.program.call("/api/evacuate", "PUT")
        successor, predecessor = await self.start_successor(), self.program
        predecessor.process.send_signal(signal.SIGHUP)
        await predecessor.logged("configuration reloaded")
        predecessor.process.terminate()
        self.assertEqual(await soon(predecessor.process.wait()), 0)
        self.program = successor
        self.assertIn(" 200 ", (await self.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0])

    async def test_an_upload_in_progress_is_finished_by_the_predecessor(self) -> None:
        """Guards against an upload that is lost because its process is terminated in the middle of it."""
        body = bytes(300_000)
        head, _, _ = self.request("reject", 1500).partition(b"\r\n\r\n")
        reader, writer = await self.program.connect()
        self.addCleanup(writer.close)
        writer.write(head.replace(b"Content-Length: 4", b"Content-Length: 300000") + b"\r\n\r\n" + body[:200_000])
        self.assertIn(" 200 ", (await self.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0])
        successor, predecessor = await self.start_successor(), self.program
        predecessor.process.terminate()
        await predecessor.logged('"ending"')
        writer.write(body[200_000:])
        line, headers, _ = await soon(read_http(reader))
        self.assertEqual((line.split()[1], headers["connection"]), ("200", "close"))
        self.assertEqual(await soon(predecessor.process.wait()), 0)
        self.program = successor

    async def test_a_descriptor_that_is_not_a_listener_is_reported_in_one_line(self) -> None:
        """Guards against a gateway that starts although it cannot accept clients."""
        with tempfile.TemporaryDirectory() as folder, socket.socket() as other:
            path = f"{folder}/config.json"
            with open(path, "w") as file:  # noqa: ASYNC230  a small local file; no requests are in progress
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
