"""A test case with two processes of one gateway, the real program, on a listener that both inherit."""

from __future__ import annotations

import asyncio
import itertools
import socket
import tempfile
from collections.abc import Awaitable, Callable

from tests.stand_ins import GatewayCase, Program, free_port, read_http, soon


class ReplacementCase(GatewayCase):
    """The test owns the listener, as the platform does; the processes inherit it and share a folder."""

    ops = True

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.shared_folder = folder.name
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.addCleanup(self.listener.close)
        await super().asyncSetUp()

    def prepare_program(self, program: Program) -> None:
        """Make a program accept clients from the inherited listener."""
        program.listen = f"127.0.0.1:{self.listener.getsockname()[1]}"
        program.inherits = (self.listener.fileno(),)
        program.environ |= {"EDGE_FD": str(self.listener.fileno()), "TMPDIR": self.shared_folder}

    async def start_successor(self, log_event: str = "") -> Program:
        """Start the successor, wait until it has logged `log_event`, if one is given, and until it is ready."""
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
        """Start clients that send requests without pause; return a function that stops them.

        The clients keep their connections or open one for each request. They append the status of each response to
        `statuses`, and "retried" for each connection that was closed before the request was read.
        """
        is_running, customers = True, itertools.count()

        async def run_client() -> None:
            streams = None
            while is_running:
                request, response = self.request(customer=f"{next(customers):016x}"), None
                while response is None:
                    if streams is None:
                        streams = await self.program.connect()
                    streams[1].write(request)
                    try:
                        response = await soon(read_http(streams[0]))
                    except (ConnectionError, asyncio.IncompleteReadError):
                        # Closed before the request was read: the client retries, and the request must be served once.
                        statuses.append("retried")
                        streams = None
                statuses.append(response[0].split()[1])
                if streams is not None and (not keep_alive or response[1].get("connection") == "close"):
                    streams[1].close()
                    streams = None

        tasks = [asyncio.create_task(run_client()) for _ in range(clients)]

        def stop_clients() -> Awaitable[object]:
            nonlocal is_running
            is_running = False
            return asyncio.gather(*tasks)

        return stop_clients

    async def replace_under_load(self, clients: int, keep_alive: bool) -> list[str]:
        """Replace the process under load and return the statuses; check that each served request was forwarded once."""
        statuses: list[str] = []
        stop_clients = await self.start_load(clients, keep_alive, statuses)
        successor, predecessor = await self.start_successor(), self.program
        predecessor.process.terminate()
        self.assertEqual(await soon(predecessor.process.wait()), 0)
        forwarded, completed = self.nodes[0].taken, len(statuses)
        while len(statuses) < completed + 20:
            await soon(self.nodes[0].came.get())
        await stop_clients()
        self.assertGreater(self.nodes[0].taken, forwarded)
        self.assertEqual(statuses.count("200"), self.nodes[0].taken)
        self.program = successor
        return statuses
