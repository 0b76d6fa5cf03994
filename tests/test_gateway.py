"""The gateway process with a client and fake backends, counter and discovery on loopback."""

from __future__ import annotations

import asyncio
import json
import tempfile
import unittest

from tests.stand_ins import (
    GUARD,
    GatewayCase,
    Program,
    assert_one_customer,
    assert_refused,
    http,
    read_http,
    soon,
)


class SingleBackendTest(GatewayCase):
    """Requests and responses as a client sees them."""

    async def test_request_is_counted_and_its_response_forwarded_unchanged(self) -> None:
        """Guards against a head or body that is altered while it is forwarded, in either direction."""
        self.nodes[0].reply = lambda n: http(200, bytes(range(256)) * 200, Content_Type="image/x-score")
        line, headers, body = await self.ask(self.request("reject", 1500, Req_Id="9b1f03aa5c7e2d41"))
        self.assertIn(" 200 ", line)
        self.assertEqual((headers["content-type"], body), ("image/x-score", bytes(range(256)) * 200))
        _, request_line, request_headers, request_body = self.nodes[0].came.get_nowait()
        self.assertEqual((request_line, request_body), (f"POST /reject/{'00000000b4d65521'}?part=7 HTTP/1.1", b"part"))
        self.assertEqual(
            (request_headers["req-id"], request_headers["idempotency-key"]), ("9b1f03aa5c7e2d41", "5c0f6e1a")
        )
        self.assertTrue(0 < int(request_headers["req-deadline-ms"]) <= 1480, "a margin is subtracted for the response")
        self.assertEqual(list(self.counter.totals.values()), [1.0])

    async def test_rejection_over_quota_has_a_retry_after(self) -> None:
        """Guards against quotas that are not enforced, and against rejections without Retry-After."""
        lines = [await self.ask(self.request(X_Contract="small-shop")) for _ in range(24)]
        refused = [headers for line, headers, _ in lines if " 429 " in line]
        self.assertTrue(8 <= len(refused) <= 23, len(refused))  # a quota window may end during the test
        self.assertTrue(all(0 < float(h["retry-after"]) <= 1 for h in refused))

    async def test_customer_id_is_case_insensitive(self) -> None:
        """Guards against a customer that doubles its quota by writing its id in the other case."""
        for customer in ("00000000b4d65521", "00000000B4D65521") * 3:
            self.assertIn(" 200 ", (await self.ask(self.request(customer=customer)))[0])
        calls = [self.counter.came.get_nowait() for _ in range(self.counter.came.qsize())]
        assert_one_customer(self, [call.partition("?")[0] for call in calls])

    async def test_malformed_request_gets_an_error_response(self) -> None:
        """Guards against closing the connection without a response to a malformed, oversized or unknown request."""
        cases = [
            (b"NONSENSE\r\n\r\n", 400),
            (self.request(Content_Length="60000000"), 413),
            (self.request(X_Long="x" * 20_000), 431),
            (self.request("unknown"), 404),
            (self.request(customer="me"), 404),
            (self.request(X_Contract="gold"), 400),
            (self.request(Req_Deadline_Ms="soon"), 400),
            (self.request(X_Metering="units=x"), 400),
            (b"GET /_health HTTP/1.1\r\n\r\n", 200),
        ]
        for data, status in cases:
            with self.subTest(status=status, data=data[:40]):
                self.assertIn(f" {status} ", (await self.ask(data))[0])
        self.assertEqual(self.nodes[0].taken, 0)

    async def test_requests_before_a_malformed_one_are_answered(self) -> None:
        """Guards against a request lost because a malformed one follows it on the connection."""
        reader, writer = await self.program.connect()
        writer.write(self.request() + self.request(customer="0000000000000002") + b"NONSENSE\r\n\r\n")
        statuses = [(await soon(read_http(reader)))[0].split()[1] for _ in range(3)]
        self.assertEqual((statuses, await soon(reader.read())), (["200", "200", "400"], b""))
        writer.close()

    async def test_client_disconnect_cancels_its_attempt(self) -> None:
        """Guards against backends that keep working for disconnected clients."""
        self.nodes[0].reply = lambda n: None
        _, writer = await self.program.connect()
        writer.write(self.request())
        number, *_ = await soon(self.nodes[0].came.get())
        writer.close()
        self.assertEqual(await soon(self.nodes[0].ended.get()), number)

    async def test_silent_backend_delays_a_request_no_longer_than_its_deadline(self) -> None:
        """Guards against requests that never get a final answer."""
        self.nodes[0].reply = lambda n: None
        self.assertRegex((await self.ask(self.request(deadline=300)))[0], " (429|502) ")

    async def test_connections_are_reused_on_both_sides(self) -> None:
        """Guards against opening a connection for each request."""
        reader, writer = await self.program.connect()
        for _ in range(5):
            writer.write(self.request())
            self.assertIn(" 200 ", (await soon(read_http(reader)))[0])
        writer.close()
        self.assertEqual((self.nodes[0].connections, self.nodes[0].taken), (1, 5))

    async def test_sigterm_finishes_open_requests(self) -> None:
        """Guards against requests lost in a planned restart, including those sent at the time of the SIGTERM."""
        self.nodes[0].reply = lambda n: None
        reader, writer = await self.program.connect()
        writer.write(self.request())
        await soon(self.nodes[0].came.get())
        self.program.process.terminate()
        self.nodes[0].reply = lambda n: http(200, b"late")
        line, headers, _ = await self.ask(self.request(customer="0000000000000002"))
        self.assertEqual((line.split()[1], headers["connection"]), ("200", "close"))
        next(iter(self.nodes[0].writers)).write(http(200, b"first"))
        line, headers, body = await soon(read_http(reader))
        self.assertEqual((headers["connection"], body), ("close", b"first"))
        writer.close()
        self.assertEqual(await soon(self.program.process.wait()), 0)


class NoBackendTest(GatewayCase):
    """A server list without backends."""

    backends = 0

    async def test_rejection_without_backends_has_a_retry_after(self) -> None:
        """Guards against `Retry-After: 0`, which tells clients to retry at once."""
        line, headers, _ = await self.ask(self.request())
        self.assertIn(" 429 ", line)
        self.assertEqual(float(headers["retry-after"]), 0.1)


class TwoBackendsTest(GatewayCase):
    """Retries, and changes of the server list."""

    backends = 2

    async def test_retry_starts_after_the_end_of_the_first_attempt(self) -> None:
        """Guards against two attempts in flight: the first connection closes before the retry starts."""
        for node in self.nodes:
            node.reply = lambda n: b"" if sum(other.taken for other in self.nodes) == 1 else http(200, b"again")
        self.assertEqual((await self.ask(self.request()))[2], b"again")
        self.assertEqual(sum(node.taken for node in self.nodes), 2)

    async def test_request_is_retried_after_a_refused_connection(self) -> None:
        """Guards against requests that fail because a backend is down."""
        await self.nodes[0].stop()
        for _ in range(6):
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertEqual(self.nodes[1].taken, 6)

    async def test_only_a_declined_keyed_request_is_retried_in_another_cell(self) -> None:
        """Guards against taking any 503 as proof that a request did not run: a keyed retry must stay in its cell."""
        self.nodes[1].block = 1
        self.discovery.tell(2, True, *self.nodes)
        await soon(self.discovery.came.get())
        await soon(self.discovery.came.get())
        for node in self.nodes:
            node.reply = lambda n: http(503, Srv_Declined="1") if self.is_first_request() else http(200, b"again")
        self.assertEqual((await self.ask(self.request("reject", 1500)))[2], b"again")
        before = [node.taken for node in self.nodes]
        for node in self.nodes:
            node.reply = lambda n: http(503)
        self.assertRegex((await self.ask(self.request("reject", 1500)))[0], " 502 ")
        grown = [node.taken - earlier for node, earlier in zip(self.nodes, before, strict=True)]
        self.assertIn(0, grown, "the request was sent to both cells")

    def is_first_request(self) -> bool:
        """Return whether the backends have received exactly one request in total."""
        return sum(node.taken for node in self.nodes) == 1

    async def test_draining_backend_gets_no_new_requests(self) -> None:
        """Guards against requests to a backend that discovery reports as draining; the next watch starts at once."""
        self.assertIn("from=1&", await soon(self.discovery.came.get()))
        self.nodes[0].health = "leaving"
        self.discovery.tell(2, False, self.nodes[0])
        self.assertIn("from=2&", await soon(self.discovery.came.get()))
        for _ in range(6):
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertEqual(self.nodes[0].taken, 0)


class SilentDiscoveryTest(GatewayCase):
    """A watch that is never answered."""

    async def test_unanswered_watch_is_restarted(self) -> None:
        """Guards against a server list that stays outdated because the watch's connection is dead."""
        self.assertIn("from=1&", await soon(self.discovery.came.get()))
        self.assertIn("from=1&", await soon(self.discovery.came.get()))
        self.assertEqual(self.discovery.connections, 2)


class CounterFaultsTest(GatewayCase):
    """Requests pass while the counter does not respond."""

    counter_timeout_ms = 50.0

    async def test_stalled_counter_does_not_block_requests_and_late_replies_stay_in_order(self) -> None:
        """Guards against waiting for the counter, and against late totals attributed to later calls."""
        self.counter.open.clear()
        self.assertIn(" 200 ", (await self.ask(self.request("reject", 1500)))[0])
        self.counter.open.set()
        for _ in range(4):
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        total = sum(self.counter.totals.values())
        self.assertTrue(
            2.0 <= total < 9.0, total
        )  # each request counts once; a call also reports requests that made no call

    async def test_silent_counter_connection_is_replaced(self) -> None:
        """Guards against never reaching the counter again after its connections died without a reset."""
        self.counter.open.clear()
        async with asyncio.timeout(GUARD):
            while self.counter.connections < 3:  # a third connection replaces one of the two
                self.assertRegex((await self.ask(self.request()))[0], " (200|429) ")

    async def test_counter_outages_and_lost_totals_are_tolerated(self) -> None:
        """Guards against outages of the counter that reject requests or crash the gateway."""
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        await self.counter.stop()
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.counter.totals.clear()
        self.counter.refusing = True
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])


class FewDescriptorsTest(GatewayCase):
    """The lowest number of descriptors that is allowed."""

    sockets = 256

    async def test_idle_connections_are_closed_for_new_ones(self) -> None:
        """Guards against running out of descriptors while connections are idle."""
        held = []
        for _ in range(200):
            reader, writer = await self.program.connect()
            held.append(writer)
            writer.write(self.request("unknown"))
            self.assertIn(" 404 ", (await soon(read_http(reader)))[0])
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        for writer in held:
            writer.close()


class FailingModuleTest(GatewayCase):
    """A decision module that raises for one customer, and ignores the requests of another."""

    fault = (
        "from hallhitch.decision.policy import Gateway as G; was = G.on_request; "
        "G.on_request = lambda g, r: 1 / 0 if r.customer[-1] == 'a' else r.customer[-1] == 'b' or was(g, r)"
    )

    async def test_exception_fails_only_its_own_exchange(self) -> None:
        """Guards against an exception in the module that ends the process or leaves a client unanswered."""
        self.assertIn(" 502 ", (await self.ask(self.request(customer="000000000000000a")))[0])
        self.assertIn(" 200 ", (await self.ask(self.request(customer="0000000000000001")))[0])

    async def test_core_answers_if_the_module_does_not(self) -> None:
        """Guards against a request that the module forgets: it must still be answered once, by its deadline."""
        self.assertIn(" 502 ", (await self.ask(self.request(customer="000000000000000a")))[0])
        self.assertIn(" 502 ", (await self.ask(self.request(deadline=100, customer="000000000000000b")))[0])


class ConfigurationTest(unittest.TestCase):
    """An invalid configuration causes one line that names the field, and exit code 2."""

    def test_error_names_the_field(self) -> None:
        """Guards against starting with an invalid configuration, and against tracebacks in place of a message."""
        with tempfile.TemporaryDirectory() as folder:
            valid = Program(folder, "127.0.0.1:1", "127.0.0.1:2", []).config
            cases: list[tuple[object, str]] = [
                (None, "EDGE_CONFIG"),
                (valid | {"listen": "here"}, "listen"),
                (valid | {"seed": "x"}, "seed"),
                (valid | {"settings": {}}, "classes"),
                (valid | {"counter": 5}, "counter"),
                ([], "settings"),
                (valid | {"known": {"seq": 1, "hosts": [{"host": "a"}]}}, "dial"),
                (valid | {"limits": {"sockets": 10}}, "sockets"),
            ]
            for config, field in cases:
                assert_refused(self, "{" if config is None else json.dumps(config), field)
