"""Long and slow messages, by the real program: they pass in pieces, both ways, and break so that it shows."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib

from tests.stand_ins import Backend, GatewayCase, Reader, Writer, http, read_body, read_head, read_http, soon

LONG = hashlib.shake_256(b"part").digest(3_000_000)


class Scripted(Backend):
    """A check node that reads a request's head, and leaves the rest to the test."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.met: asyncio.Queue[tuple[dict[str, str], Reader, Writer]] = asyncio.Queue()
        self.done = asyncio.Event()

    async def serve(self, number: int, reader: Reader, writer: Writer) -> None:
        """Hand over what follows a head."""
        _, headers = await read_head(reader)
        self.taken += 1
        self.met.put_nowait((headers, reader, writer))
        await self.done.wait()


class Long(GatewayCase):
    """One node that takes any message."""

    ops = True

    async def asyncSetUp(self) -> None:
        self.node = Scripted("long")
        await super().asyncSetUp()
        self.addCleanup(self.node.done.set)

    def nodes_of(self) -> list[Backend]:
        """The one."""
        return [self.node]

    async def sent(self, data: bytes) -> tuple[Reader, Writer]:
        """A request on a connection of its own."""
        reader, writer = await self.program.connect()
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    def post(self, body: bytes, chunked: bool = False, **headers: str) -> bytes:
        """A keyed request with a body."""
        head, _, _ = self.request("reject", 1500, **headers).partition(b"\r\n\r\n")
        framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % len(body)
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if chunked else body
        return head.replace(b"Content-Length: 4", framing) + b"\r\n\r\n" + body

    async def served(self) -> tuple[int, ...]:
        """What the figures say was served and failed, and what is in flight."""
        figures = await self.program.figures()
        both = [sum(v for n, v in figures.items() if f'"{o}"' in n) for o in ("served", "failed")]
        return (*both, figures["svc_in_flight"])

    async def test_long_answers_of_every_framing_pass_unaltered(self) -> None:
        """Guards against answers taken for spoilt because of their length or their framing."""
        framed = [
            b"Content-Length: %d\r\n\r\n%s" % (len(LONG), LONG),
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX: y\r\n\r\n" % (len(LONG), LONG),
            b"\r\n" + LONG,
        ]
        for answer in framed:
            reader, _ = await self.sent(self.request())
            _, _, writer = await soon(self.node.met.get())
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + answer)
            writer.write_eof()
            self.assertEqual((await soon(read_http(reader)))[2], LONG)
        self.assertEqual(await self.served(), (3, 0, 0))

    async def test_a_long_answer_is_passed_on_as_it_comes_and_a_drain_does_not_cut_it(self) -> None:
        """Guards against the first bytes kept back for the last, and against an answer cut off by its deadline."""
        reader, _ = await self.sent(self.request(deadline=400))
        _, _, writer = await soon(self.node.met.get())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG[:1000])
        await soon(reader.readuntil(b"\r\n\r\n"))
        self.assertEqual(await soon(reader.readexactly(1000)), LONG[:1000])
        self.assertEqual(await self.served(), (0, 0, 1), "it is still in flight")
        await self.program.call("/api/evacuate", "PUT")
        other, _ = await self.sent(self.request(deadline=500))  # whose deadline passes meanwhile
        self.assertRegex((await soon(read_http(other)))[0], " (429|502) ")
        writer.write(LONG[1000:])
        self.assertEqual(await soon(reader.readexactly(len(LONG) - 1000)), LONG[1000:])

    async def test_a_long_answer_that_breaks_off_shows(self) -> None:
        """Guards against half an answer that a client takes for a whole one, or that is made again."""
        for framing in (b"Content-Length: 900000", b"Transfer-Encoding: chunked"):
            reader, _ = await self.sent(self.request())
            _, _, writer = await soon(self.node.met.get())
            piece = b"20000\r\n" + LONG[:0x20000] + b"\r\n" if b"chunked" in framing else LONG[:0x20000]
            writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + piece)
            await soon(reader.readexactly(1000))
            writer.transport.abort()
            with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                await soon(reader.readexactly(len(LONG)))
        self.assertEqual((await self.served(), self.node.taken), ((0, 2, 0), 2))

    async def test_a_client_that_leaves_ends_its_long_answer(self) -> None:
        """Guards against connections to servers that nobody reads from."""
        reader, client = await self.sent(self.request())
        _, upstream, writer = await soon(self.node.met.get())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + LONG)
        await soon(reader.readexactly(1000))
        client.transport.abort()
        with contextlib.suppress(ConnectionError):
            self.assertEqual(await soon(upstream.read()), b"")

    async def test_long_bodies_pass_whole_where_there_is_room_and_in_pieces_where_not(self) -> None:
        """Guards against bodies refused for their length, or altered on their way."""
        for chunked in (False, True):
            for body in (LONG[:200_000], LONG):
                reader, client = await self.sent(self.post(body, chunked))
                headers, upstream, writer = await soon(self.node.met.get())
                self.assertEqual("transfer-encoding" in headers, chunked and len(body) > 1 << 20)
                got = await soon(read_body(upstream, headers))
                self.assertEqual(hashlib.sha256(got).digest(), hashlib.sha256(body).digest())
                writer.write(http(200, b"scored", Connection="close"))
                self.assertEqual((await soon(read_http(reader)))[2], b"scored")
                client.close()

    async def test_a_long_body_is_begun_once_and_its_time_begins_at_its_end(self) -> None:
        """Guards against a half sent body made again elsewhere, and against a deadline that runs during it."""
        reader, client = await self.sent(self.post(LONG, Req_Deadline_Ms="300")[:-1_000_000])
        _, upstream, writer = await soon(self.node.met.get())
        await soon(upstream.readexactly(1_500_000))
        writer.transport.abort()
        line, headers, _ = await soon(read_http(reader))
        self.assertRegex(line, " (429|502|503) ")
        self.assertEqual((headers["connection"], self.node.taken), ("close", 1))

    async def test_a_long_body_that_stops_coming_is_ended(self) -> None:
        """Guards against a server's connection held by a client that says half of it."""
        reader, client = await self.sent(self.post(LONG)[:-1_000_000])
        _, upstream, _ = await soon(self.node.met.get())
        self.assertIn(" 408 ", (await soon(read_http(reader)))[0])
        with contextlib.suppress(ConnectionError):
            self.assertLess(len(await soon(upstream.read())), len(LONG))

    async def test_a_long_body_and_newcomers_without_end_outlast_a_drain(self) -> None:
        """Guards against an upload cut by a drain, one that holds others up, and newcomers that are kept."""
        idle, _ = await self.sent(b"GET /_health HTTP/1.1\r\n\r\n")
        await soon(read_http(idle))
        data, going = self.post(LONG), True
        reader, client = await self.sent(data[:100_000])
        self.assertIn(" 200 ", (await self.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0])

        async def newcomers() -> int:
            count = 0
            while going:
                line, headers, _ = await self.ask(b"GET /_health HTTP/1.1\r\n\r\n")
                self.assertEqual((line.split()[1], headers["connection"]), ("503", "close"))
                silent, _ = await self.sent(b"")
                count += 1
                if count % 10 == 1:
                    self.assertEqual(await soon(silent.read()), b"", "who connects and says nothing is let go")
            return count

        await self.program.call("/api/evacuate", "PUT")
        coming = asyncio.create_task(newcomers())
        self.assertEqual(await soon(idle.read()), b"")  # the drain has come to the idle
        client.write(data[100_000:])
        headers, upstream, writer = await soon(self.node.met.get())
        self.assertEqual(await soon(read_body(upstream, headers)), LONG)
        writer.write(http(200, b"scored"))
        line, headers, _ = await soon(read_http(reader))
        self.assertEqual((line.split()[1], headers["connection"]), ("200", "close"))
        going = False
        self.assertGreater(await soon(coming), 0)
        self.assertEqual(await soon(reader.read()), b"")

    async def test_a_client_that_waits_to_be_told_is_told(self) -> None:
        """Guards against a client and a gateway that wait for each other."""
        head, _, body = self.post(LONG[:5000], Expect="100-continue").partition(b"\r\n\r\n")
        reader, client = await self.sent(head + b"\r\n\r\n")
        self.assertEqual(await soon(reader.readuntil(b"\r\n\r\n")), b"HTTP/1.1 100 Continue\r\n\r\n")
        client.write(body)
        _, upstream, writer = await soon(self.node.met.get())
        self.assertEqual(await soon(upstream.readexactly(5000)), body)
        writer.write(http(200, b"scored"))
        self.assertEqual((await soon(read_http(reader)))[2], b"scored")

    async def test_a_client_of_http_1_0(self) -> None:
        """Guards against chunks sent to who knows none, and a connection kept that it thinks closed."""
        old = self.request().replace(b"HTTP/1.1", b"HTTP/1.0")
        reader, _ = await self.sent(old)
        _, _, writer = await soon(self.node.met.get())
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(LONG), LONG))
        head, _, body = (await soon(reader.read())).partition(b"\r\n\r\n")
        self.assertEqual((b"chunked" in head, b"Connection: close" in head, body), (False, True, LONG))
