"""A gateway's process and its successor on one listener that neither owns: the real program, twice."""

from __future__ import annotations

import asyncio
import itertools
import socket
import tempfile
from collections.abc import Awaitable, Callable

from tests.stand_ins import GatewayCase, Program, free_port, read_http, soon


class ReplacementCase(GatewayCase):
    """The platform holds the listener; each process inherits it and shares a folder with the others."""

    ops = True

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.shared_folder = folder.name
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.addCleanup(self.listener.close)
        await super().asyncSetUp()

    def prepare_program(self, program: Program) -> None:
        """Let a program accept clients from the inherited listener."""
        program.listen = f"127.0.0.1:{self.listener.getsockname()[1]}"
        program.inherits = (self.listener.fileno(),)
        program.environ |= {"EDGE_FD": str(self.listener.fileno()), "TMPDIR": self.shared_folder}

    async def start_successor(self, log_event: str = "") -> Program:
        """Start the successor and wait until it is ready; it logs `log_event` first."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        program = Program(
            folder.name, self.discovery.address, self.counter.address, self.nodes, self.counter_timeout_ms
        )
        program.config["ops"] = f"127.0.0.1:{free_port()}"
        self.prepare_program(program)
        await program.start()
        if log_event:
            await program.logged(log_event)
        await program.logged('"serving"')
        self.assertEqual((await program.call("/api/ready"))[0], 200)
        return program

    async def start_load(self, clients: int, keep_alive: bool, statuses: list[str]) -> Callable[[], Awaitable[object]]:
        """Start clients that send requests without a pause; return what stops them.

        They keep their connections or open one for each request, and append each status to `statuses`, "retried" for a
        connection that was closed before the request was read.
        """
        is_running, customers = True, itertools.count()

        async def run_client() -> None:
            streams = None
            while is_running:
                request, answer = self.request(customer=f"{next(customers):016x}"), None
                while answer is None:
                    if streams is None:
                        streams = await self.program.connect()
                    streams[1].write(request)
                    try:
                        answer = await soon(read_http(streams[0]))
                    except (ConnectionError, asyncio.IncompleteReadError):
                        # Closed before the request was read: clients retry then, and are to be served once.
                        statuses.append("retried")
                        streams = None
                statuses.append(answer[0].split()[1])
                if streams is not None and (not keep_alive or answer[1].get("connection") == "close"):
                    streams[1].close()
                    streams = None

        tasks = [asyncio.create_task(run_client()) for _ in range(clients)]

        def stop() -> Awaitable[object]:
            nonlocal is_running
            is_running = False
            return asyncio.gather(*tasks)

        return stop

    async def replace_under_load(self, clients: int, keep_alive: bool) -> list[str]:
        """Replace the process under load; return the statuses. Every request that was served was forwarded once."""
        statuses: list[str] = []
        stop = await self.start_load(clients, keep_alive, statuses)
        successor, predecessor = await self.start_successor(), self.program
        predecessor.process.terminate()
        self.assertEqual(await soon(predecessor.process.wait()), 0)
        forwarded, completed = self.nodes[0].taken, len(statuses)
        while len(statuses) < completed + 20:
            await soon(self.nodes[0].came.get())
        await stop()
        self.assertGreater(self.nodes[0].taken, forwarded)
        self.assertEqual(statuses.count("200"), self.nodes[0].taken)
        self.program = successor
        return statuses
