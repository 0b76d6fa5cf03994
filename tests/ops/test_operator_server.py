"""The operators' address of the real program: its calls, its metrics, and draining."""

from __future__ import annotations

import asyncio
import json
import unittest

from hallhitch.net.descriptor_budget import OPERATOR_DESCRIPTORS
from hallhitch.ops.metrics import GatewayMetrics
from tests.stand_ins import GatewayCase, Reader, Writer, http, read_http, soon

HEALTH = b"GET /_health HTTP/1.1\r\n\r\n"


def request_counts(figures: dict[str, int], klass: str) -> tuple[int, ...]:
    """Served, refused and failed of a class."""
    return tuple(figures[f'svc_requests{{class="{klass}",outcome="{o}"}}'] for o in ("served", "refused", "failed"))


class OperatorAddress(GatewayCase):
    """A gateway with an operators' address."""

    ops = True

    async def client(self) -> tuple[Reader, Writer]:
        """A client with one request answered and its connection kept."""
        reader, writer = await self.program.connect()
        self.addCleanup(writer.close)
        writer.write(self.request())
        line, headers, _ = await soon(read_http(reader))
        self.assertEqual((line.split()[1], headers.get("connection")), ("200", None))
        return reader, writer

    async def test_only_known_calls_are_answered(self) -> None:
        """Guards against a call by another method or name that acts, and against one that hangs unanswered."""
        cases = [
            ("GET", "/api/ready", 200),
            ("PUT", "/api/ready", 405),
            ("GET", "/api/evacuate", 405),
            ("GET", "/", 404),
            ("PUT", "/api/rejoin?x=1", 200),
            ("GET", "/inspect/1", 404),
        ]
        for method, path, status in cases:
            self.assertEqual((await self.program.call(path, method))[0], status, path)
        reader, writer = await self.program.connect(self.program.config["ops"])
        writer.write(b"NONSENSE\r\n\r\n")
        self.assertIn(" 400 ", (await soon(read_http(reader)))[0])
        writer.close()
        self.assertIn(" 200 ", (await self.ask(HEALTH))[0])

    async def test_silent_callers_make_room_for_others(self) -> None:
        """Guards against descriptors, or the second address itself, taken by callers who only connect."""
        silent = [await self.program.connect(self.program.config["ops"]) for _ in range(2 * OPERATOR_DESCRIPTORS)]
        silent[-1][1].write(b"PUT /api/evac")
        self.assertEqual((await self.program.call("/api/ready"))[0], 200)
        self.assertEqual(await soon(silent[0][0].read()), b"", "the oldest made room")
        for _, writer in silent:
            writer.close()

    async def test_metrics_match_what_clients_and_servers_saw(self) -> None:
        """Guards against requests counted twice, never, or for a class that nobody has."""
        answers = [http(500), http(200), http(200, b"spoilt", Content_Length="x"), http(503, Srv_Declined="1")]
        self.nodes[0].reply = lambda n: answers[n] if n < len(answers) else http(200)
        seen = []
        for n in range(8):
            seen.append((await self.ask(self.request("reject" if n % 2 else "inspect", 1500)))[0].split()[1])
        await self.ask(self.request("unknown"))
        seen.append((await self.ask(self.request(Req_Deadline_Ms="soon")))[0].split()[1])
        self.nodes[0].reply = lambda n: None
        while not self.nodes[0].came.empty():
            self.nodes[0].came.get_nowait()
        reached = asyncio.create_task(self.nodes[0].came.get())
        while not reached.done():  # the server is set aside for a while, for what it did
            reader, writer = await self.program.connect()
            writer.write(self.request())
            answered = asyncio.create_task(read_http(reader))
            await soon(asyncio.wait([reached, answered], return_when=asyncio.FIRST_COMPLETED))
            if answered.done():
                seen.append(answered.result()[0].split()[1])
                writer.close()
        answered.cancel()
        figures = await self.program.figures()
        pairs = zip(request_counts(figures, "inspect"), request_counts(figures, "reject"), strict=True)
        answers_told = [sum(pair) for pair in pairs]
        self.assertEqual(answers_told, [seen.count("200"), seen.count("429"), seen.count("502") + seen.count("400")])
        self.assertEqual((figures["svc_in_flight"], figures["svc_attempts"]), (1, self.nodes[0].taken))
        self.assertEqual((figures["svc_backends_known"], figures["svc_reloads_ok"]), (1, 0))
        self.assertNotIn("unknown", str(figures))
        writer.close()
        await soon(self.nodes[0].ended.get())
        self.assertEqual((await self.program.figures())["svc_in_flight"], 0, "a client that left is nobody's")

    async def test_draining_closes_connections_until_a_rejoin(self) -> None:
        """Guards against clients that stay: idle, in the middle of a request, new, or asking without end."""
        idle, busy = await self.client(), await self.client()
        self.nodes[0].reply = lambda n: None
        busy[1].write(self.request())
        await soon(self.nodes[0].came.get())
        half = await self.partial_client()
        for _ in range(2):
            self.assertEqual(await self.program.call("/api/evacuate", "PUT"), (200, "draining\n"))
        self.assertIn(" 503 ", (await self.ask(HEALTH))[0])
        self.assertEqual(await soon(idle[0].read()), b"", "an idle connection ends")
        self.nodes[0].reply = lambda n: http(200, b"still served")
        self.assertIn(" 200 ", (await self.ask(self.request(customer="0000000000000002")))[0])
        half[1].write(self.request()[10:])
        next(iter(self.nodes[0].writers)).write(http(200))
        for reader in (busy[0], half[0]):
            line, headers, _ = await soon(read_http(reader))
            self.assertEqual((line.split()[1], headers["connection"]), ("200", "close"))
            self.assertEqual(await soon(reader.read()), b"")
        self.assertEqual(await self.program.call("/api/rejoin", "PUT"), (200, "serving\n"))
        self.assertIn(" 200 ", (await self.ask(HEALTH))[0])
        await self.client()

    async def test_a_rejoin_during_a_drain_keeps_the_open_connections(self) -> None:
        """Guards against a drain that goes on ending connections after it was taken back."""
        kept = [await self.client() for _ in range(10)]
        await self.program.call("/api/evacuate", "PUT")
        self.assertEqual((await self.program.call("/api/rejoin", "PUT"))[1], "serving\n")
        for reader, writer in kept:
            writer.write(self.request(customer="0000000000000002"))
            line, headers, _ = await soon(read_http(reader))
            self.assertEqual(headers.get("connection"), None, line)

    async def test_a_drain_ends_connections_that_pipeline_without_end(self) -> None:
        """Guards against a drain that one pipelining client, or one that comes again at once, holds up for ever."""
        reader, writer = await self.program.connect()
        self.addCleanup(writer.close)
        await self.program.call("/api/evacuate", "PUT")
        for n in range(400):
            writer.write(self.request(customer=f"{n:016x}"))
        statuses = []
        while True:
            line, headers, _ = await soon(read_http(reader))
            statuses.append(line.split()[1])
            if headers.get("connection") == "close":
                break
        self.assertLess(len(statuses), 400, "what was not read yet is left")
        for _ in range(5):
            _, headers, _ = await self.ask(self.request(customer="0000000000000003"))
            self.assertEqual(headers["connection"], "close")

    async def partial_client(self) -> tuple[Reader, Writer]:
        """A client in the middle of sending a request."""
        reader, writer = await self.program.connect()
        self.addCleanup(writer.close)
        writer.write(self.request()[:10])
        return reader, writer

    async def test_a_drain_survives_a_reload_and_ends_with_the_process(self) -> None:
        """Guards against a signal that brings clients back, and against a drained process that never ends."""
        await self.program.call("/api/evacuate", "PUT")
        text = json.dumps(self.program.config)
        await self.program.reload(text, "configuration reloaded")
        self.assertIn(" 503 ", (await self.ask(HEALTH))[0])
        self.program.process.terminate()
        self.assertEqual(await soon(self.program.process.wait()), 0)

    async def test_calls_are_answered_under_overload(self) -> None:
        """Guards against a second address that waits for the traffic's end."""
        self.nodes[0].reply = lambda n: None
        flood = [await self.program.connect() for _ in range(100)]
        for n, (_, writer) in enumerate(flood):
            writer.write(self.request(Req_Id=f"{n:016x}", X_Contract="small-shop", customer=f"{n:016x}"))
        statuses = await asyncio.gather(*(self.program.call("/api/ready") for _ in range(10)))
        self.assertEqual({status for status, _ in statuses}, {200})
        for _, writer in flood:
            writer.close()


class NoOperatorAddress(GatewayCase):
    """A gateway without an operators' address."""

    async def test_clients_cannot_order_a_drain(self) -> None:
        """Guards against operators' calls at the clients' address."""
        self.assertIn(" 404 ", (await self.ask(b"PUT /api/evacuate HTTP/1.1\r\nContent-Length: 0\r\n\r\n"))[0])
        self.assertIn(" 200 ", (await self.ask(HEALTH))[0])


class MetricsText(unittest.TestCase):
    """The text format."""

    def test_labels_are_escaped_and_classes_that_vanish_keep_their_counts(self) -> None:
        """Guards against a class name that breaks every line behind it."""
        metrics = GatewayMetrics(['a"b\\c\nd'])
        metrics.record_request('a"b\\c\nd', "served")
        metrics.add_classes(["new"])
        lines = metrics.render().splitlines()
        self.assertIn('svc_requests{class="a\\"b\\\\c\\nd",outcome="served"} 1', lines)
        self.assertIn('svc_requests{class="new",outcome="failed"} 0', lines)
