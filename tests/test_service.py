"""Misbehaving clients, backends and counters against the gateway process: each must affect only itself."""

from __future__ import annotations

import asyncio
import signal

from hallhitch.net.counter_codec import HttpCounterCodec
from hallhitch.net.descriptor_budget import divide_descriptors
from hallhitch.net.http import Malformed
from tests.stand_ins import GUARD, GatewayCase, Writer, command, http, read_head, read_http, read_reply, soon


class MisbehavingClientsTest(GatewayCase):
    """Unacceptable requests are rejected at the ingress; silent and slow clients are disconnected."""

    resp = "connections = 8"

    async def test_unacceptable_request_is_neither_counted_nor_forwarded(self) -> None:
        """Guards against invalid requests that consume quota, affect the module's estimates or reach a backend."""
        get, post = self.request(), self.request("reject", 1500)
        invalid = [
            (get.replace(b"GET", b"POST"), 405),
            (post.replace(b"POST", b"GET"), 405),
            (get[:-2] + b"Content-Length: 1\r\n\r\nx", 400),
            (self.request("reject", 1500, Idempotency_Key=""), 400),
            (self.request(Req_Id="me"), 400),
            (self.request(Req_Id=""), 400),
            (get[:-2] + b"Req-Id: 9b1f03aa5c7e2d41\r\n\r\n", 400),
            (get[:-2] + b"X-Metering: units=1,spread=2,first=0\r\n\r\n", 400),
            (get[:-2] + b"Expect: the-moon\r\n\r\n", 417),
            (self.request(Req_Deadline_Ms="0"), 400),
            (self.request(Req_Deadline_Ms="999999999"), 400),
            (self.request(Req_Deadline_Ms="-5"), 400),
            (self.request(customer="f" * 16), 404),
            *(
                (self.request(X_Metering=metering), 400)
                for metering in (
                    "units=2,spread=2,first=0",
                    "units=0",
                    "units=nan",
                    "units=-1",
                    "units=1_0",
                    "units=1,units=1",
                    "units=1,spread=3,first=0",
                    "units=1,spread=0,first=0",
                    "units=1,spread=2,first=2",
                )
            ),
            (get[:-2] + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400),
            (get[:-2] + b"Content-Length: 0\r\nContent-Length: 0\r\n\r\n", 400),
            (post.replace(b"Content-Length: 4", b"Content-Length: -4"), 400),
        ]
        for data, status in invalid:
            with self.subTest(data=data, status=status):
                self.assertIn(f" {status} ", (await self.ask(data))[0])
        self.assertEqual((self.nodes[0].taken, self.counter.totals), (0, {}))
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])

    async def test_response_to_a_head_request_has_no_body(self) -> None:
        """Guards against a body that is read as the next response, and against HEAD accepted in place of GET."""
        reader, writer = await self.program.connect()
        self.addCleanup(writer.close)
        for data, status, length in (
            (b"HEAD /_health HTTP/1.1\r\n\r\n", "200", 2),
            (self.request().replace(b"GET", b"HEAD"), "405", 28),
        ):
            writer.write(data)
            status_line, headers = await soon(read_head(reader))
            self.assertEqual((status_line.split()[1], int(headers["content-length"])), (status, length))
        writer.write(self.request())
        self.assertEqual((await soon(read_http(reader)))[2], b"scored")
        self.assertEqual(self.nodes[0].taken, 1)

    async def test_smuggled_request_is_not_forwarded(self) -> None:
        """Guards against request smuggling by a chunked body that ends before its Content-Length."""
        smuggled = self.request(Req_Id="9b1f03aa5c7e2d41")
        head = self.request("reject", 1500, Transfer_Encoding="chunked")
        reader, writer = await self.program.connect()
        writer.write(head.removesuffix(b"part") + b"0\r\n\r\n" + smuggled)
        self.assertIn(" 400 ", (await soon(read_http(reader)))[0])
        self.assertEqual((await soon(reader.read()), self.nodes[0].taken), (b"", 0))
        writer.close()

    async def test_request_id_is_rejected_only_while_it_is_in_use(self) -> None:
        """Guards against a request answered with the response of another, and against ids that are never released."""
        self.nodes[0].reply = lambda n: None
        reader, writer = await self.program.connect()
        data = self.request(Req_Id="9b1f03aa5c7e2d41")
        writer.write(data)
        await soon(self.nodes[0].came.get())
        self.assertIn(" 409 ", (await self.ask(data))[0])
        next(iter(self.nodes[0].writers)).write(http(200, b"first"))
        self.assertEqual((await soon(read_http(reader)))[2], b"first")
        self.nodes[0].reply = lambda n: http(200)
        self.assertIn(" 200 ", (await self.ask(data))[0])
        writer.close()

    async def test_silent_and_incomplete_connections_are_closed(self) -> None:
        """Guards against descriptors held by silent clients, at both frontends and also on used connections."""
        used = await self.program.connect()
        used[1].write(self.request())
        self.assertIn(" 200 ", (await soon(read_http(used[0])))[0])
        silent, incomplete, endless = [await self.program.connect() for _ in range(3)]
        limit_clients = [await self.program.connect(self.resp_address) for _ in range(2)]
        for _, writer in (incomplete, used):
            writer.write(b"GET /inspect/")
        limit_clients[1][1].write(b"*6\r\n$4\r\nTAKE\r\n")
        endless[1].write(b"GET / HTTP/1.1\r\nX: " + b"x" * 20_000)
        for (reader, _), response in (
            (silent, b""),
            (incomplete, b"HTTP/1.1 408"),
            (used, b"HTTP/1.1 408"),
            (endless, b"HTTP/1.1 431"),
            (limit_clients[0], b""),
            (limit_clients[1], b"-ERR"),
        ):
            self.assertEqual((await soon(reader.read()))[: max(1, len(response))], response)
        for _, writer in (used, silent, incomplete, endless, *limit_clients):
            writer.close()

    async def test_only_the_client_that_causes_errors_is_slowed_down(self) -> None:
        """Guards against a flood of invalid requests that uses up the CPU: pauses separate its error responses."""
        reader, writer = await self.program.connect()
        writer.write(self.request("unknown") * 40)
        self.assertIn(" 404 ", (await soon(read_http(reader)))[0])
        for _ in range(5):
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertIn(" 404 ", (await soon(read_http(reader)))[0])
        writer.close()

    async def test_oversized_body_is_not_read(self) -> None:
        """Guards against reading 60 MB only to discard it, and against endless chunk extensions."""
        chunked_request = self.request("reject", 1500, Transfer_Encoding="chunked", Content_Length="")
        chunked_request = chunked_request.replace(b"Content-Length: \r\n", b"").removesuffix(b"part")
        long_request = self.request("reject", 1500, Content_Length="60000000")
        for data, fill in ((long_request, b"x"), (chunked_request, b"1;x")):
            reader, writer = await self.program.connect()
            writer.write(data + fill * 1_000_000)
            self.assertRegex(await soon(reader.readline()), rb"HTTP/1.1 4\d\d ")
            writer.close()


class ConnectionLimitTest(GatewayCase):
    """More connections than the lowest allowed number of descriptors."""

    sockets = 256

    async def test_connections_without_a_request_are_closed_first(self) -> None:
        """Guards against active clients that are disconnected because of many silent connections."""
        active = [await self.program.connect() for _ in range(20)]
        for reader, writer in active:
            writer.write(self.request())
            self.assertRegex((await soon(read_http(reader)))[0], " (200|429) ")
        # All connect at once, before any connection counts as idle.
        silent_clients = await asyncio.gather(*(self.program.connect() for _ in range(200)))
        self.assertEqual(await soon(silent_clients[0][0].read()), b"")
        for reader, writer in active:
            writer.write(self.request())
            self.assertRegex((await soon(read_http(reader)))[0], " (200|429) ")
        for _, writer in [*active, *silent_clients]:
            writer.close()

    async def test_sent_requests_are_read_before_connections_are_closed(self) -> None:
        """Guards against a burst in which new connections are closed for newer ones with their requests unread."""
        self.program.process.send_signal(signal.SIGSTOP)
        burst = [await self.program.connect() for _ in range(divide_descriptors(self.sockets, False).clients + 20)]
        for n, (_, writer) in enumerate(burst):
            writer.write(self.request(customer=f"{n:016x}"))
            await writer.drain()
        self.program.process.send_signal(signal.SIGCONT)
        for reader, writer in burst:
            self.assertRegex((await soon(read_http(reader)))[0], " (200|429|503) ")
            writer.close()

    async def test_slow_connection_is_kept_before_a_stalled_one(self) -> None:
        """Guards against slow request heads lost because of many connections that never complete theirs."""
        slow = [await self.program.connect() for _ in range(10)]
        for part in (self.request()[:20], self.request()[20:40]):
            for _, writer in slow:
                writer.write(part)
            # Once the gateway has answered this, it has read the parts.
            self.assertIn(" 200 ", (await self.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0])
        stalled_clients = [await self.program.connect() for _ in range(200)]
        for _, writer in stalled_clients:
            writer.write(b"GET /insp")
        for reader, writer in slow:
            writer.write(self.request()[40:])
            self.assertRegex((await soon(read_http(reader)))[0], " (200|429) ")
        for _, writer in slow + stalled_clients:
            writer.close()


class MisbehavingBackendsTest(GatewayCase):
    """Malformed responses, and bytes that belong to no response."""

    async def test_valid_response_is_accepted_despite_extra_bytes(self) -> None:
        """Guards against 1xx taken for the final response, lost valid responses, and duplicates that answer twice."""
        valid = http(200, b"good")
        early = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        cases = [valid, valid + valid, valid + b"\x00noise", early + valid, valid + b"HTTP/1.1 200 OK\r\n"]
        self.nodes[0].reply = lambda n: cases[n - 1]
        for case in cases:
            with self.subTest(case=case):
                self.assertEqual((await self.ask(self.request()))[2], b"good")
        # A connection with extra bytes after the response is not reused.
        self.assertEqual([self.nodes[0].came.get_nowait()[0] for _ in cases], [1, 1, 2, 3, 3])

    async def test_unsolicited_response_is_discarded(self) -> None:
        """Guards against bytes on an idle connection taken for the response to the next request."""
        self.assertEqual((await self.ask(self.request()))[2], b"scored")
        writer = next(iter(self.nodes[0].writers))
        writer.write(http(200, b"unasked"))
        await writer.drain()
        self.assertEqual((await self.ask(self.request()))[2], b"scored")
        self.assertEqual(self.nodes[0].connections, 2)

    async def test_request_is_retried_after_a_malformed_response(self) -> None:
        """Guards against malformed responses that are forwarded, waited for, or reported as connection resets.

        They must not exclude their backend either: the retry goes to the only backend there is.
        """
        malformed = [
            b"\x00\x01\x02\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20_000,
            http(200, b"x" * 9)[:-4],
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70_000,
        ]
        for data in malformed:
            answers = iter((data, http(200, b"again")))
            self.nodes[0].taken, self.nodes[0].reply = 0, lambda n, a=answers: next(a)  # type: ignore[misc]
            with self.subTest(data=data[:40]):
                self.assertEqual((await self.ask(self.request()))[2], b"again")
                self.assertEqual(self.nodes[0].taken, 2)

    async def test_status_without_body_is_an_error_and_keeps_the_connection(self) -> None:
        """Guards against waiting for the announced body of a 204 or 304, and against forwarding these statuses."""
        for n, status in enumerate((204, 304)):
            bare = b"HTTP/1.1 %d X\r\nContent-Length: 5\r\n\r\n" % status
            self.nodes[0].reply = lambda n, bare=bare: bare if n % 2 else http(200, b"good")  # type: ignore[misc]
            taken, connections = self.nodes[0].taken, self.nodes[0].connections
            answer = await self.ask(self.request(customer=f"{n:016x}"))
            self.assertEqual((answer[0].split()[1], answer[2]), ("200", b"good"))
            self.assertEqual((self.nodes[0].taken, self.nodes[0].connections - connections), (taken + 2, n == 0))

    async def test_restarted_backend_gets_new_connections(self) -> None:
        """Guards against requests on connections that were opened before a backend moved or restarted."""
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.nodes[0].born = 1_700_000_000_000
        self.discovery.tell(2, True, *self.nodes)
        for _ in range(2):
            await soon(self.discovery.came.get())
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertEqual(self.nodes[0].connections, 2)


class MalformedCounterReplyTest(GatewayCase):
    """Counter replies whose totals cannot be parsed."""

    async def test_malformed_total_closes_its_connection(self) -> None:
        """Guards against waiting for a call with a malformed reply, and against more calls on its connection."""
        self.counter.say = lambda writer, data: writer.write(http(200, b"nan"))  # type: ignore[method-assign]
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertEqual(await soon(self.counter.ended.get()), 1)

    async def test_incomplete_reply_closes_its_connection(self) -> None:
        """Guards against later replies read as the body of one whose Content-Length is too large."""
        half = b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n1"
        self.counter.say = lambda writer, data: writer.write(half)  # type: ignore[method-assign]
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])  # long before the counter's timeout of 5 s
        self.assertEqual(await soon(self.counter.ended.get()), 1)

    def test_only_plain_numbers_are_totals(self) -> None:
        """Guards against texts that only Python parses as numbers, and valid replies lost with a malformed one."""
        for text in (b"nan", b"inf", b"1_0", b"", b"0x1", b"\xd9\xa1", b"1e999"):
            answers = HttpCounterCodec("c").feed(memoryview(http(200, b" 2.5e1\n") + http(200, text)))
            with self.subTest(text=text):
                self.assertEqual(next(answers), ("ok", 25.0))
                self.assertRaises(Malformed, next, answers)
        noise = HttpCounterCodec("c").feed(memoryview(http(200, b"-1") + b"\x00"))
        self.assertEqual(next(noise), ("ok", -1.0))
        self.assertRaises(Malformed, next, noise)


class SilentCounterConnectionTest(GatewayCase):
    """One of the two connections to the counter gets no more replies."""

    counter_timeout_ms = 50.0
    fault = "import hallhitch.net.counter as c; c.UNRESPONSIVE_TIMEOUT_MS = 1e9"

    async def test_silent_connection_is_replaced_while_the_other_works(self) -> None:
        """Guards against quotas that are not enforced because one dead connection makes the counter seem down."""
        writers: list[Writer] = []
        say = self.counter.say

        def drop_replies_on_first_connection(writer: Writer, data: bytes) -> None:
            writers.append(writer)
            if writer is not writers[0]:
                say(writer, data)

        self.counter.say = drop_replies_on_first_connection  # type: ignore[method-assign]
        async with asyncio.timeout(GUARD):
            while self.counter.connections < 3:
                requests = [self.ask(self.request(customer=f"{n:016x}")) for n in range(8)]
                self.assertTrue(all(" 502 " not in line for line, _, _ in await asyncio.gather(*requests)))


class MalformedRespCommandTest(GatewayCase):
    """Malformed commands at the RESP frontend."""

    resp = "connections = 8"

    async def test_malformed_command_closes_only_its_connection(self) -> None:
        """Guards against a client's malformed framing that affects the connections of others."""
        valid, malformed = [await self.program.connect(self.resp_address) for _ in range(2)]
        malformed[1].write(b"*1\r\n$-5\r\n")
        valid[1].write(command("PING"))
        self.assertEqual(await soon(read_reply(valid[0])), "+PONG")
        self.assertIn(b"-ERR", await soon(malformed[0].read()))
        for _, writer in (valid, malformed):
            writer.close()
