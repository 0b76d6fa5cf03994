"""Long and slow messages through the real program: streaming in both directions, and visible truncation."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib

from tests.stand_ins import Backend, GatewayCase, Reader, Writer, http, read_body, read_head, read_http, soon

LONG = hashlib.shake_256(b"part").digest(3_000_000)


class ScriptedBackend(Backend):
    """A backend that reads the head of a request and leaves the rest of the connection to the test."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.received_heads: asyncio.Queue[tuple[dict[str, str], Reader, Writer]] = asyncio.Queue()
        self.done = asyncio.Event()

    async def serve(self, number: int, reader: Reader, writer: Writer) -> None:
        """Pass the headers and the streams to the test, and keep the connection open until the test ends."""
        _, headers = await read_head(reader)
        self.taken += 1
        self.received_heads.put_nowait((headers, reader, writer))
        await self.done.wait()


class LongMessages(GatewayCase):
    """A gateway with one backend whose connections the test drives itself."""

    ops = True

    async def asyncSetUp(self) -> None:
        self.node = ScriptedBackend("long")
        await super().asyncSetUp()
        self.addCleanup(self.node.done.set)

    def nodes_of(self) -> list[Backend]:
        """Return the scripted backend."""
        return [self.node]

    async def send(self, data: bytes) -> tuple[Reader, Writer]:
        """Send a request on a new connection and return its streams."""
        reader, writer = await self.program.connect()
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    def encode_post(self, body: bytes, chunked: bool = False, **headers: str) -> bytes:
        """Encode a keyed request with a body."""
        head, _, _ = self.request("reject", 1500, **headers).partition(b"\r\n\r\n")
        framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % len(body)
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if chunked else body
        return head.replace(b"Content-Length: 4", framing) + b"\r\n\r\n" + body

    async def request_counts(self) -> tuple[int, ...]:
        """Return the numbers of requests served, failed and in flight, as the metrics report them."""
        figures = await self.program.figures()
        counts = [sum(v for n, v in figures.items() if f'"{o}"' in n) for o in ("served", "failed")]
        return (*counts, figures["svc_in_flight"])

    async def test_long_responses_of_every_framing_pass_unaltered(self) -> None:
        """Guards against responses that are rejected as malformed because of their length or framing."""
        framed = [
            b"Content-Length: %d\r\n\r\n%s" % (len(LONG), LONG),
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX: y\r\n\r\n" % (len(LONG), LONG),
            b"\r\n" + LONG,
        ]
        for answer in framed:
            reader, _ = await self.send(self.request())
            _, _, writer = await soon(self.node.received_heads.get())
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + answer)
            writer.write_eof()
            self.assertEqual((await soon(read_http(reader)))[2], LONG)
        self.assertEqual(await self.request_counts(), (3, 0, 0))

    async def test_a_long_response_is_streamed_and_a_drain_does_not_truncate_it(self) -> None:
        """Guards against a response held back until it is complete, and one truncated at its deadline or by a drain."""
        reader, _ = await self.send(self.request(deadline=400))
        _, _, writer = await soon(self.node.received_heads.get())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG[:1000])
        await soon(reader.readuntil(b"\r\n\r\n"))
        self.assertEqual(await soon(reader.readexactly(1000)), LONG[:1000])
        self.assertEqual(await self.request_counts(), (0, 0, 1), "the request is still in flight")
        await self.program.call("/api/evacuate", "PUT")
        other, _ = await self.send(self.request(deadline=500))  # the deadline of this request passes meanwhile
        self.assertRegex((await soon(read_http(other)))[0], " (429|502) ")
        writer.write(LONG[1000:])
        self.assertEqual(await soon(reader.readexactly(len(LONG) - 1000)), LONG[1000:])

    async def test_a_truncated_long_response_is_visible_to_the_client(self) -> None:
        """Guards against a truncated response that looks complete to the client, or whose request is retried."""
        for framing in (b"Content-Length: 900000", b"Transfer-Encoding: chunked"):
            reader, _ = await self.send(self.request())
            _, _, writer = await soon(self.node.received_heads.get())
            piece = b"20000\r\n" + LONG[:0x20000] + b"\r\n" if b"chunked" in framing else LONG[:0x20000]
            writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + piece)
            await soon(reader.readexactly(1000))
            writer.transport.abort()
            with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                await soon(reader.readexactly(len(LONG)))
        self.assertEqual((await self.request_counts(), self.node.taken), ((0, 2, 0), 2))

    async def test_a_client_that_disconnects_ends_its_long_response(self) -> None:
        """Guards against backend connections that stay open although nobody reads the response."""
        reader, client = await self.send(self.request())
        _, upstream, writer = await soon(self.node.received_heads.get())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + LONG)
        await soon(reader.readexactly(1000))
        client.transport.abort()
        with contextlib.suppress(ConnectionError):
            self.assertEqual(await soon(upstream.read()), b"")

    async def test_long_request_bodies_are_buffered_up_to_a_limit_and_streamed_above_it(self) -> None:
        """Guards against bodies rejected for their length, or altered in transit."""
        for chunked in (False, True):
            for body in (LONG[:200_000], LONG):
                reader, client = await self.send(self.encode_post(body, chunked))
                headers, upstream, writer = await soon(self.node.received_heads.get())
                self.assertEqual("transfer-encoding" in headers, chunked and len(body) > 1 << 20)
                got = await soon(read_body(upstream, headers))
                self.assertEqual(hashlib.sha256(got).digest(), hashlib.sha256(body).digest())
                writer.write(http(200, b"scored", Connection="close"))
                self.assertEqual((await soon(read_http(reader)))[2], b"scored")
                client.close()

    async def test_a_streamed_body_is_sent_once_and_its_deadline_starts_at_its_end(self) -> None:
        """Guards against a partly sent body that is retried elsewhere, and a deadline that runs during the upload."""
        reader, client = await self.send(self.encode_post(LONG, Req_Deadline_Ms="300")[:-1_000_000])
        _, upstream, writer = await soon(self.node.received_heads.get())
        await soon(upstream.readexactly(1_500_000))
        writer.transport.abort()
        line, headers, _ = await soon(read_http(reader))
        self.assertRegex(line, " (429|502|503) ")
        self.assertEqual((headers["connection"], self.node.taken), ("close", 1))

    async def test_an_upload_that_stalls_times_out(self) -> None:
        """Guards against a client that occupies a backend connection with an upload that it never completes."""
        reader, client = await self.send(self.encode_post(LONG)[:-1_000_000])
        _, upstream, _ = await soon(self.node.received_heads.get())
        self.assertIn(" 408 ", (await soon(read_http(reader)))[0])
        with contextlib.suppress(ConnectionError):
            self.assertLess(len(await soon(upstream.read())), len(LONG))

    async def test_an_upload_and_new_connections_during_a_drain(self) -> None:
        """Guards against a drain that truncates an upload, delays others for it, or keeps new connections open."""
        idle, _ = await self.send(b"GET /_health HTTP/1.1\r\n\r\n")
        await soon(read_http(idle))
        data, keeps_connecting = self.encode_post(LONG), True
        reader, client = await self.send(data[:100_000])
        self.assertIn(" 200 ", (await self.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0])

        async def open_new_connections() -> int:
            count = 0
            while keeps_connecting:
                line, headers, _ = await self.ask(b"GET /_health HTTP/1.1\r\n\r\n")
                self.assertEqual((line.split()[1], headers["connection"]), ("503", "close"))
                silent, _ = await self.send(b"")
                count += 1
                if count % 10 == 1:
                    self.assertEqual(await soon(silent.read()), b"", "a drain closes new connections that stay silent")
            return count

        await self.program.call("/api/evacuate", "PUT")
        connecting_task = asyncio.create_task(open_new_connections())
        self.assertEqual(await soon(idle.read()), b"")  # the drain has begun to close idle connections
        client.write(data[100_000:])
        headers, upstream, writer = await soon(self.node.received_heads.get())
        self.assertEqual(await soon(read_body(upstream, headers)), LONG)
        writer.write(http(200, b"scored"))
        line, headers, _ = await soon(read_http(reader))
        self.assertEqual((line.split()[1], headers["connection"]), ("200", "close"))
        keeps_connecting = False
        self.assertGreater(await soon(connecting_task), 0)
        self.assertEqual(await soon(reader.read()), b"")

    async def test_a_client_that_expects_100_continue_gets_it(self) -> None:
        """Guards against a deadlock in which the client waits for 100 Continue and the gateway for the body."""
        head, _, body = self.encode_post(LONG[:5000], Expect="100-continue").partition(b"\r\n\r\n")
        reader, client = await self.send(head + b"\r\n\r\n")
        self.assertEqual(await soon(reader.readuntil(b"\r\n\r\n")), b"HTTP/1.1 100 Continue\r\n\r\n")
        client.write(body)
        _, upstream, writer = await soon(self.node.received_heads.get())
        self.assertEqual(await soon(upstream.readexactly(5000)), body)
        writer.write(http(200, b"scored"))
        self.assertEqual((await soon(read_http(reader)))[2], b"scored")

    async def test_a_long_response_to_an_http_1_0_client(self) -> None:
        """Guards against chunks sent to an HTTP/1.0 client, and a connection that is kept open after its response."""
        old = self.request().replace(b"HTTP/1.1", b"HTTP/1.0")
        reader, _ = await self.send(old)
        _, _, writer = await soon(self.node.received_heads.get())
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(LONG), LONG))
        head, _, body = (await soon(reader.read())).partition(b"\r\n\r\n")
        self.assertEqual((b"chunked" in head, b"Connection: close" in head, body), (False, True, LONG))
