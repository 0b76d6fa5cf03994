"""A closed connection leaves no reference cycles: collecting them would pause the whole process."""

from __future__ import annotations

import signal

from tests.stand_ins import GatewayCase, http, read_http, soon

# With automatic collection off, SIGUSR1 collects and prints the number of unreachable objects found, which are only
# those in reference cycles.
COLLECT_ON_SIGNAL = """
import gc, signal, sys
gc.disable()
signal.signal(signal.SIGUSR1, lambda *_: print("collected", gc.collect(), file=sys.stderr, flush=True))
"""
CONNECTIONS = 40


class GarbageCollection(GatewayCase):
    """A gateway that collects garbage on SIGUSR1 only."""

    fault = COLLECT_ON_SIGNAL
    ops = True

    async def collect_garbage(self) -> int:
        """Collect garbage and return the number of objects found.

        A health check before it waits until the connections that ended earlier are cleaned up, and one after it until
        the collection is done.
        """
        await self.ask(b"GET /_health HTTP/1.1\r\n\r\n")
        self.program.process.send_signal(signal.SIGUSR1)
        await self.ask(b"GET /_health HTTP/1.1\r\n\r\n")
        return int((await self.program.logged("collected")).split()[1])

    async def test_connections_leave_no_cycles_however_they_end(self) -> None:
        """Guards against cycles that hold received data: after a flood of bad requests a collection took 0.7 s."""
        bad = self.request("unknown") * 20
        good = self.request(customer="0000000000000002")
        cases = {
            "good": good,
            "unacceptable requests": bad,
            "unreadable": b"NONSENSE\r\n\r\n",
            "half a request": good[:40],
            "no request": b"",
            "client leaves": good,
            "reset by its server": good,
            "operator call": b"",
        }
        for name, data in cases.items():
            with self.subTest(name):
                self.nodes[0].reply = {"client leaves": lambda n: None, "reset by its server": lambda n: b""}.get(
                    name, lambda n: http(200, b"scored", Connection="close")
                )
                await self.collect_garbage()
                for _ in range(CONNECTIONS):
                    if name == "operator call":
                        await self.program.call("/api/ready")
                        continue
                    reader, writer = await self.program.connect()
                    writer.write(data)
                    if name not in ("half a request", "no request", "client leaves"):
                        await soon(read_http(reader))
                    writer.close()
                self.assertLess(await self.collect_garbage(), CONNECTIONS)
