"""Bad clients, bad servers and a bad counter, by the real program: each costs itself alone."""

from __future__ import annotations

import asyncio
import signal

from hallhitch.net.counter_codec import HttpCounterCodec
from hallhitch.net.descriptor_budget import divide_descriptors
from hallhitch.net.http import Malformed
from tests.stand_ins import GUARD, GatewayCase, Writer, command, http, read_head, read_http, read_reply, soon


class BadClients(GatewayCase):
    """What is not acceptable ends at the ingress; who says nothing, or half of it, is not waited for."""

    resp = "connections = 8"

    async def test_what_is_not_acceptable_is_neither_counted_nor_sent(self) -> None:
        """Guards against bad requests that take quota, teach the module or reach a server."""
        get, post = self.request(), self.request("reject", 1500)
        wrong = [
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
                (self.request(X_Metering=m), 400)
                for m in (
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
        for data, status in wrong:
            with self.subTest(data=data, status=status):
                self.assertIn(f" {status} ", (await self.ask(data))[0])
        self.assertEqual((self.nodes[0].taken, self.counter.totals), (0, {}))
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])

    async def test_a_head_request_is_answered_by_a_head(self) -> None:
        """Guards against a body that stands for the next answer, and against a class asked by another method."""
        reader, writer = await self.program.connect()
        self.addCleanup(writer.close)
        for data, status, length in (
            (b"HEAD /_health HTTP/1.1\r\n\r\n", "200", 2),
            (self.request().replace(b"GET", b"HEAD"), "405", 28),
        ):
            writer.write(data)
            first, headers = await soon(read_head(reader))
            self.assertEqual((first.split()[1], int(headers["content-length"])), (status, length))
        writer.write(self.request())
        self.assertEqual((await soon(read_http(reader)))[2], b"scored")
        self.assertEqual(self.nodes[0].taken, 1)

    async def test_a_request_hidden_in_a_body_is_not_passed_on(self) -> None:
        """Guards against smuggling: both lengths given, and a second request where they disagree."""
        hidden = self.request(Req_Id="9b1f03aa5c7e2d41")
        head = self.request("reject", 1500, Transfer_Encoding="chunked")
        reader, writer = await self.program.connect()
        writer.write(head.removesuffix(b"part") + b"0\r\n\r\n" + hidden)
        self.assertIn(" 400 ", (await soon(read_http(reader)))[0])
        self.assertEqual((await soon(reader.read()), self.nodes[0].taken), (b"", 0))
        writer.close()

    async def test_the_id_of_an_open_request_is_free_again_after_it(self) -> None:
        """Guards against one client's request answered for another's, and against ids kept for ever."""
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

    async def test_silence_and_half_a_request_are_ended(self) -> None:
        """Guards against descriptors held by who says nothing, at both fronts and on used connections too."""
        used = await self.program.connect()
        used[1].write(self.request())
        self.assertIn(" 200 ", (await soon(read_http(used[0])))[0])
        silent, half, endless = [await self.program.connect() for _ in range(3)]
        limits = [await self.program.connect(self.resp_address) for _ in range(2)]
        for _, writer in (half, used):
            writer.write(b"GET /inspect/")
        limits[1][1].write(b"*6\r\n$4\r\nTAKE\r\n")
        endless[1].write(b"GET / HTTP/1.1\r\nX: " + b"x" * 20_000)
        for (reader, _), said in (
            (silent, b""),
            (half, b"HTTP/1.1 408"),
            (used, b"HTTP/1.1 408"),
            (endless, b"HTTP/1.1 431"),
            (limits[0], b""),
            (limits[1], b"-ERR"),
        ):
            self.assertEqual((await soon(reader.read()))[: max(1, len(said))], said)
        for _, writer in (used, silent, half, endless, *limits):
            writer.close()

    async def test_errors_slow_a_client_down_and_nobody_else(self) -> None:
        """Guards against a flood of errors taking the processor: they are answered in pauses."""
        reader, writer = await self.program.connect()
        writer.write(self.request("unknown") * 40)
        self.assertIn(" 404 ", (await soon(read_http(reader)))[0])
        for _ in range(5):
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertIn(" 404 ", (await soon(read_http(reader)))[0])
        writer.close()

    async def test_a_body_without_end_is_not_read(self) -> None:
        """Guards against 60 MB read to be dropped, and against chunk extensions, which are in no body."""
        chunked = self.request("reject", 1500, Transfer_Encoding="chunked", Content_Length="")
        chunked = chunked.replace(b"Content-Length: \r\n", b"").removesuffix(b"part")
        long = self.request("reject", 1500, Content_Length="60000000")
        for data, fill in ((long, b"x"), (chunked, b"1;x")):
            reader, writer = await self.program.connect()
            writer.write(data + fill * 1_000_000)
            self.assertRegex(await soon(reader.readline()), rb"HTTP/1.1 4\d\d ")
            writer.close()


class Crowd(GatewayCase):
    """The least number of descriptors, and more connections than that."""

    sockets = 256

    async def test_who_never_asked_goes_first(self) -> None:
        """Guards against a crowd of silent connections pushing usual clients out."""
        usual = [await self.program.connect() for _ in range(20)]
        for reader, writer in usual:
            writer.write(self.request())
            self.assertRegex((await soon(read_http(reader)))[0], " (200|429) ")
        crowd = await asyncio.gather(*(self.program.connect() for _ in range(200)))  # before anybody is idle for long
        self.assertEqual(await soon(crowd[0][0].read()), b"")
        for reader, writer in usual:
            writer.write(self.request())
            self.assertRegex((await soon(read_http(reader)))[0], " (200|429) ")
        for _, writer in [*usual, *crowd]:
            writer.close()

    async def test_who_has_asked_is_read_before_anybody_gives_way(self) -> None:
        """Guards against a burst in which newcomers push each other out, with their requests unread."""
        self.program.process.send_signal(signal.SIGSTOP)
        burst = [await self.program.connect() for _ in range(divide_descriptors(self.sockets, False).clients + 20)]
        for n, (_, writer) in enumerate(burst):
            writer.write(self.request(customer=f"{n:016x}"))
            await writer.drain()
        self.program.process.send_signal(signal.SIGCONT)
        for reader, writer in burst:
            self.assertRegex((await soon(read_http(reader)))[0], " (200|429|503) ")
            writer.close()

    async def test_who_goes_on_slowly_is_spared_for_who_says_nothing_more(self) -> None:
        """Guards against clients that are slow over a head losing it to a crowd that never ends one."""
        slow = [await self.program.connect() for _ in range(10)]
        for part in (self.request()[:20], self.request()[20:40]):
            for _, writer in slow:
                writer.write(part)
            self.assertIn(" 200 ", (await self.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0])  # read by now
        crowd = [await self.program.connect() for _ in range(200)]
        for _, writer in crowd:
            writer.write(b"GET /insp")
        for reader, writer in slow:
            writer.write(self.request()[40:])
            self.assertRegex((await soon(read_http(reader)))[0], " (200|429) ")
        for _, writer in slow + crowd:
            writer.close()


class BadServers(GatewayCase):
    """Answers that are spoilt, or bring more than belongs to them."""

    async def test_a_good_answer_is_taken_whatever_stands_round_it(self) -> None:
        """Guards against a 1xx taken for the answer, good ones lost to noise, copies that answer twice."""
        good = http(200, b"good")
        early = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        cases = [good, good + good, good + b"\x00noise", early + good, good + b"HTTP/1.1 200 OK\r\n"]
        self.nodes[0].reply = lambda n: cases[n - 1]
        for case in cases:
            with self.subTest(case=case):
                self.assertEqual((await self.ask(self.request()))[2], b"good")
        # What came too much, or unasked, retired its connection.
        self.assertEqual([self.nodes[0].came.get_nowait()[0] for _ in cases], [1, 1, 2, 3, 3])

    async def test_what_comes_unasked_answers_nobody(self) -> None:
        """Guards against bytes on an idle connection taken for the answer to the next request."""
        self.assertEqual((await self.ask(self.request()))[2], b"scored")
        writer = next(iter(self.nodes[0].writers))
        writer.write(http(200, b"unasked"))
        await writer.drain()
        self.assertEqual((await self.ask(self.request()))[2], b"scored")
        self.assertEqual(self.nodes[0].connections, 2)

    async def test_a_spoilt_answer_is_repeated_as_its_class_allows_and_sets_nobody_aside(self) -> None:
        """Guards against spoilt answers passed on, waited for, or told as resets."""
        spoilt = [
            b"\x00\x01\x02\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20_000,
            http(200, b"x" * 9)[:-4],
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70_000,
        ]
        for data in spoilt:
            answers = iter((data, http(200, b"again")))
            self.nodes[0].taken, self.nodes[0].reply = 0, lambda n, a=answers: next(a)  # type: ignore[misc]
            with self.subTest(data=data[:40]):
                self.assertEqual((await self.ask(self.request()))[2], b"again")
                self.assertEqual(self.nodes[0].taken, 2)

    async def test_an_answer_without_a_body_is_an_error_and_its_connection_goes_on(self) -> None:
        """Guards against a wait for the body that the head tells of, and against 204 or 304 served as an answer."""
        for n, status in enumerate((204, 304)):
            bare = b"HTTP/1.1 %d X\r\nContent-Length: 5\r\n\r\n" % status
            self.nodes[0].reply = lambda n, bare=bare: bare if n % 2 else http(200, b"good")  # type: ignore[misc]
            taken, connections = self.nodes[0].taken, self.nodes[0].connections
            answer = await self.ask(self.request(customer=f"{n:016x}"))
            self.assertEqual((answer[0].split()[1], answer[2]), ("200", b"good"))
            self.assertEqual((self.nodes[0].taken, self.nodes[0].connections - connections), (taken + 2, n == 0))

    async def test_a_server_at_another_address_gets_new_connections(self) -> None:
        """Guards against requests on connections to what a server was before it moved or started anew."""
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.nodes[0].born = 1_700_000_000_000
        self.discovery.tell(2, True, *self.nodes)
        for _ in range(2):
            await soon(self.discovery.came.get())
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertEqual(self.nodes[0].connections, 2)


class BadCounter(GatewayCase):
    """Totals that cannot be read."""

    async def test_a_spoilt_total_ends_its_connection_and_nobodys_wait(self) -> None:
        """Guards against waiting for a call whose answer is spoilt, and calls on its connection."""
        self.counter.say = lambda writer, data: writer.write(http(200, b"nan"))  # type: ignore[method-assign]
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertEqual(await soon(self.counter.ended.get()), 1)

    async def test_an_answer_that_begins_and_never_ends_is_spoilt(self) -> None:
        """Guards against later answers swallowed as the rest of one that claims too great a length."""
        half = b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n1"
        self.counter.say = lambda writer, data: writer.write(half)  # type: ignore[method-assign]
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])  # long before the 5 s of a slow counter
        self.assertEqual(await soon(self.counter.ended.get()), 1)

    def test_only_numbers_are_totals(self) -> None:
        """Guards against what only Python reads as a number, and good answers dropped with a bad one."""
        for text in (b"nan", b"inf", b"1_0", b"", b"0x1", b"\xd9\xa1", b"1e999"):
            answers = HttpCounterCodec("c").feed(memoryview(http(200, b" 2.5e1\n") + http(200, text)))
            with self.subTest(text=text):
                self.assertEqual(next(answers), ("ok", 25.0))
                self.assertRaises(Malformed, next, answers)
        noise = HttpCounterCodec("c").feed(memoryview(http(200, b"-1") + b"\x00"))
        self.assertEqual(next(noise), ("ok", -1.0))
        self.assertRaises(Malformed, next, noise)


class DeafConnection(GatewayCase):
    """One connection to the counter of two that says nothing more."""

    give_up = 50.0
    fault = "import hallhitch.net.counter as c; c.UNRESPONSIVE_TIMEOUT_MS = 1e9"

    async def test_a_deaf_connection_is_replaced_while_the_other_hears(self) -> None:
        """Guards against a counter taken for silent, and every quota open, for one dead connection."""
        first: list[Writer] = []
        say = self.counter.say

        def deaf(writer: Writer, data: bytes) -> None:
            first.append(writer)
            if writer is not first[0]:
                say(writer, data)

        self.counter.say = deaf  # type: ignore[method-assign]
        async with asyncio.timeout(GUARD):
            while self.counter.connections < 3:
                asked = [self.ask(self.request(customer=f"{n:016x}")) for n in range(8)]
                self.assertTrue(all(" 502 " not in line for line, _, _ in await asyncio.gather(*asked)))


class BadRespCounter(GatewayCase):
    """The RESP front's own commands stay unharmed by what others send."""

    resp = "connections = 8"

    async def test_a_broken_command_ends_its_connection_alone(self) -> None:
        """Guards against a client's broken framing reaching the connections of others."""
        good, bad = [await self.program.connect(self.resp_address) for _ in range(2)]
        bad[1].write(b"*1\r\n$-5\r\n")
        good[1].write(command("PING"))
        self.assertEqual(await soon(read_reply(good[0])), "+PONG")
        self.assertIn(b"-ERR", await soon(bad[0].read()))
        for _, writer in (good, bad):
            writer.close()
