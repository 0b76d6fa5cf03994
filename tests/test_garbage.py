"""What a connection leaves when it has ended: nothing that waits for the collector, whose pauses stop everybody."""

from __future__ import annotations

import signal

from tests.stand_ins import GatewayCase, http, read_http, soon

# The collector finds only what cannot be freed without it, and tells how much that was.
TELLS = """
import gc, signal, sys
gc.disable()
signal.signal(signal.SIGUSR1, lambda *_: print("collected", gc.collect(), file=sys.stderr, flush=True))
"""
MANY = 40


class Garbage(GatewayCase):
    """A gateway that collects when it is told to."""

    fault = TELLS
    ops = True

    async def collected(self) -> int:
        """What the collector found; it stands still until what ended before has been cleaned up."""
        await self.ask(b"GET /_health HTTP/1.1\r\n\r\n")
        self.program.process.send_signal(signal.SIGUSR1)
        await self.ask(b"GET /_health HTTP/1.1\r\n\r\n")
        return int((await self.program.logged("collected")).split()[1])

    async def test_connections_of_every_end_leave_nothing(self) -> None:
        """Guards against cycles that hold what was read until a collection, of 0.7 s after a flood of bad requests."""
        rude = self.request("unknown") * 20
        good = self.request(customer="0000000000000002")
        cases = {
            "good": good,
            "rude": rude,
            "unreadable": b"NONSENSE\r\n\r\n",
            "half": good[:40],
            "none": b"",
            "left": good,
            "reset by its server": good,
            "called": b"",
        }
        for name, data in cases.items():
            with self.subTest(name):
                self.nodes[0].reply = {"left": lambda n: None, "reset by its server": lambda n: b""}.get(
                    name, lambda n: http(200, b"scored", Connection="close")
                )
                await self.collected()
                for _ in range(MANY):
                    if name == "called":
                        await self.program.call("/api/ready")
                        continue
                    reader, writer = await self.program.connect()
                    writer.write(data)
                    if name not in ("half", "none", "left"):
                        await soon(read_http(reader))
                    writer.close()
                self.assertLess(await self.collected(), MANY)
