"""The operators' endpoint of the real program: its requests, its metrics, and draining."""

from __future__ import annotations

import asyncio
import json
import unittest

from hallhitch.net.descriptor_budget import OPERATOR_DESCRIPTORS
from hallhitch.ops.metrics import GatewayMetrics
from tests.stand_ins import GatewayCase, Reader, Writer, http, read_http, soon

HEALTH = b"GET /_health HTTP/1.1\r\n\r\n"


def request_counts(metrics: dict[str, int], class_name: str) -> tuple[int, ...]:
    """Return the numbers of served, refused and failed requests of a class."""
    return tuple(
        metrics[f'svc_requests{{class="{class_name}",outcome="{outcome}"}}']
        for outcome in ("served", "refused", "failed")
    )


class OperatorEndpoint(GatewayCase):
    """A gateway with an operators' endpoint."""

    ops = True

    async def client(self) -> tuple[Reader, Writer]:
        """Return the connection of a client that has received one response and may send further requests."""
        reader, writer = await self.program.connect()
        self.addCleanup(writer.close)
        writer.write(self.request())
        line, headers, _ = await soon(read_http(reader))
        self.assertEqual((line.split()[1], headers.get("connection")), ("200", None))
        return reader, writer

    async def test_only_known_calls_are_answered(self) -> None:
        """Guards against requests that act despite a wrong method or path, and requests that are not answered."""
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
        """Guards against callers that connect without sending a request and so block the endpoint."""
        silent = [await self.program.connect(self.program.config["ops"]) for _ in range(2 * OPERATOR_DESCRIPTORS)]
        silent[-1][1].write(b"PUT /api/evac")
        self.assertEqual((await self.program.call("/api/ready"))[0], 200)
        self.assertEqual(await soon(silent[0][0].read()), b"", "the oldest connection must be closed")
        for _, writer in silent:
            writer.close()

    async def test_metrics_match_what_clients_and_servers_saw(self) -> None:
        """Guards against requests that are counted twice, not at all, or for a class that is not configured."""
        answers = [http(500), http(200), http(200, b"spoilt", Content_Length="x"), http(503, Srv_Declined="1")]
        self.nodes[0].reply = lambda n: answers[n] if n < len(answers) else http(200)
        statuses = []
        for n in range(8):
            statuses.append((await self.ask(self.request("reject" if n % 2 else "inspect", 1500)))[0].split()[1])
        await self.ask(self.request("unknown"))
        statuses.append((await self.ask(self.request(Req_Deadline_Ms="soon")))[0].split()[1])
        self.nodes[0].reply = lambda n: None
        while not self.nodes[0].came.empty():
            self.nodes[0].came.get_nowait()
        forwarded = asyncio.create_task(self.nodes[0].came.get())
        while not forwarded.done():  # after its failures the server is excluded for a while
            reader, writer = await self.program.connect()
            writer.write(self.request())
            response_task = asyncio.create_task(read_http(reader))
            await soon(asyncio.wait([forwarded, response_task], return_when=asyncio.FIRST_COMPLETED))
            if response_task.done():
                statuses.append(response_task.result()[0].split()[1])
                writer.close()
        response_task.cancel()
        metrics = await self.program.figures()
        pairs = zip(request_counts(metrics, "inspect"), request_counts(metrics, "reject"), strict=True)
        reported_counts = [sum(pair) for pair in pairs]
        self.assertEqual(
            reported_counts,
            [statuses.count("200"), statuses.count("429"), statuses.count("502") + statuses.count("400")],
        )
        self.assertEqual((metrics["svc_in_flight"], metrics["svc_attempts"]), (1, self.nodes[0].taken))
        self.assertEqual((metrics["svc_backends_known"], metrics["svc_reloads_ok"]), (1, 0))
        self.assertNotIn("unknown", str(metrics))
        writer.close()
        await soon(self.nodes[0].ended.get())
        self.assertEqual(
            (await self.program.figures())["svc_in_flight"],
            0,
            "a request whose client has disconnected must not be counted",
        )

    async def test_draining_closes_connections_until_a_rejoin(self) -> None:
        """Guards against connections that survive a drain: idle, busy, with a partial request, or new."""
        idle, busy = await self.client(), await self.client()
        self.nodes[0].reply = lambda n: None
        busy[1].write(self.request())
        await soon(self.nodes[0].came.get())
        partial = await self.partial_client()
        for _ in range(2):
            self.assertEqual(await self.program.call("/api/evacuate", "PUT"), (200, "draining\n"))
        self.assertIn(" 503 ", (await self.ask(HEALTH))[0])
        self.assertEqual(await soon(idle[0].read()), b"", "an idle connection must be closed")
        self.nodes[0].reply = lambda n: http(200, b"still served")
        self.assertIn(" 200 ", (await self.ask(self.request(customer="0000000000000002")))[0])
        partial[1].write(self.request()[10:])
        next(iter(self.nodes[0].writers)).write(http(200))
        for reader in (busy[0], partial[0]):
            line, headers, _ = await soon(read_http(reader))
            self.assertEqual((line.split()[1], headers["connection"]), ("200", "close"))
            self.assertEqual(await soon(reader.read()), b"")
        self.assertEqual(await self.program.call("/api/rejoin", "PUT"), (200, "serving\n"))
        self.assertIn(" 200 ", (await self.ask(HEALTH))[0])
        await self.client()

    async def test_a_rejoin_during_a_drain_keeps_the_open_connections(self) -> None:
        """Guards against a drain that keeps closing connections after a rejoin has canceled it."""
        connections = [await self.client() for _ in range(10)]
        await self.program.call("/api/evacuate", "PUT")
        self.assertEqual((await self.program.call("/api/rejoin", "PUT"))[1], "serving\n")
        for reader, writer in connections:
            writer.write(self.request(customer="0000000000000002"))
            line, headers, _ = await soon(read_http(reader))
            self.assertEqual(headers.get("connection"), None, line)

    async def test_a_drain_ends_connections_that_pipeline_without_end(self) -> None:
        """Guards against a drain that never ends because a client pipelines requests or reconnects at once."""
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
        self.assertLess(len(statuses), 400, "requests that were not read yet must stay unanswered")
        for _ in range(5):
            _, headers, _ = await self.ask(self.request(customer="0000000000000003"))
            self.assertEqual(headers["connection"], "close")

    async def partial_client(self) -> tuple[Reader, Writer]:
        """Return the connection of a client that has sent a part of a request."""
        reader, writer = await self.program.connect()
        self.addCleanup(writer.close)
        writer.write(self.request()[:10])
        return reader, writer

    async def test_a_drain_survives_a_reload_and_ends_with_the_process(self) -> None:
        """Guards against a reload that cancels a drain, and against a drained process that does not exit."""
        await self.program.call("/api/evacuate", "PUT")
        text = json.dumps(self.program.config)
        await self.program.reload(text, "configuration reloaded")
        self.assertIn(" 503 ", (await self.ask(HEALTH))[0])
        self.program.process.terminate()
        self.assertEqual(await soon(self.program.process.wait()), 0)

    async def test_calls_are_answered_under_overload(self) -> None:
        """Guards against an operators' endpoint that is not served until client traffic has ended."""
        self.nodes[0].reply = lambda n: None
        connections = [await self.program.connect() for _ in range(100)]
        for n, (_, writer) in enumerate(connections):
            writer.write(self.request(Req_Id=f"{n:016x}", X_Contract="small-shop", customer=f"{n:016x}"))
        statuses = await asyncio.gather(*(self.program.call("/api/ready") for _ in range(10)))
        self.assertEqual({status for status, _ in statuses}, {200})
        for _, writer in connections:
            writer.close()


class NoOperatorEndpoint(GatewayCase):
    """A gateway without an operators' endpoint."""

    async def test_clients_cannot_order_a_drain(self) -> None:
        """Guards against operators' requests that are accepted at the clients' address."""
        self.assertIn(" 404 ", (await self.ask(b"PUT /api/evacuate HTTP/1.1\r\nContent-Length: 0\r\n\r\n"))[0])
        self.assertIn(" 200 ", (await self.ask(HEALTH))[0])


class MetricsText(unittest.TestCase):
    """The Prometheus text format."""

    def test_labels_are_escaped_and_removed_classes_keep_their_counts(self) -> None:
        """Guards against a class name that makes the following lines unreadable."""
        metrics = GatewayMetrics(['a"b\\c\nd'])
        metrics.record_request('a"b\\c\nd', "served")
        metrics.add_classes(["new"])
        lines = metrics.render().splitlines()
        self.assertIn('svc_requests{class="a\\"b\\\\c\\nd",outcome="served"} 1', lines)
        self.assertIn('svc_requests{class="new",outcome="failed"} 0', lines)
