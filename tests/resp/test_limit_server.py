"""The limit server of the real program, with a RESP counter and with the HTTP counter of the platform."""

from __future__ import annotations

from tests.stand_ins import (
    GatewayCase,
    RespCounter,
    assert_one_customer,
    command,
    read_reply,
    soon,
)

PLATFORM_CUSTOMER = "00000000b4d65521"  # the customer in the HTTP requests of the test case


def take_command(
    customer: str = "shop-1",
    class_name: str = "reject",
    plan: str = "full-plant",
    units: str = "1",
    deadline_ms: str = "1500",
) -> bytes:
    """Return the bytes of one TAKE."""
    return command("TAKE", customer, class_name, plan, units, deadline_ms)


class RespCase(GatewayCase):
    """The program with its limit server and a RESP counter."""

    counter_kind = RespCounter
    resp = 'counter = "{counter}"\n'

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.reader, self.writer = await self.program.connect(self.resp_address)
        self.addCleanup(self.writer.close)

    async def call(self, data: bytes, replies: int = 1) -> list[object]:
        """Send commands in one write and read the replies."""
        self.writer.write(data)
        return [await soon(read_reply(self.reader)) for _ in range(replies)]


class CommandsTest(RespCase):
    """Commands and their replies."""

    async def test_units_are_granted_up_to_the_quota_then_rejected_with_a_retry_time(self) -> None:
        """Guards against pipelined commands that are rejected as overload although grants take no time."""
        replies = await self.call(take_command("s", plan="small-shop") * 30 + take_command("p") * 18, 48)
        rejected = [reply for reply in replies[:30] if isinstance(reply, list) and reply[0] == 0]
        self.assertTrue(15 <= len(rejected) <= 29, replies)  # a quota window may end in the meantime
        self.assertTrue(all(0 < retry_after_ms <= 1000 for _, retry_after_ms in rejected), rejected)
        self.assertGreaterEqual(replies[30:].count([1, 0]), 10)

    async def test_http_and_resp_share_one_quota(self) -> None:
        for _ in range(3):
            self.assertIn(" 200 ", (await self.ask(self.request(customer=PLATFORM_CUSTOMER)))[0])
            self.assertEqual(await self.call(take_command("00000000B4D65521")), [[1, 0]])
        calls = [self.counter.came.get_nowait() for _ in range(self.counter.came.qsize())]
        assert_one_customer(self, [call[1] for call in calls if call[0] == b"SET"])

    async def test_client_libraries_can_connect(self) -> None:
        hello, set_name, set_info, name, unsupported = await self.call(
            command("HELLO", "2")
            + command("CLIENT", "SETNAME", "line-4")
            + command("CLIENT", "SETINFO", "LIB-NAME", "x")
            + command("CLIENT", "GETNAME")
            + command("HELLO", "3"),
            5,
        )
        assert isinstance(hello, list)
        self.assertEqual(hello[:2] + hello[4:6], [b"server", b"hallhitch", b"proto", 2])
        self.assertEqual((set_name, set_info, name), ("+OK", "+OK", b"line-4"))
        self.assertTrue(str(unsupported).startswith("-NOPROTO"))
        self.assertEqual(
            await self.call(command("ping") + command("PING", "a") + command("QUIT"), 3), ["+PONG", b"a", "+OK"]
        )
        self.assertEqual(await soon(self.reader.read()), b"")

    async def test_invalid_command_is_an_error_and_the_connection_stays_open(self) -> None:
        invalid_commands = [
            command("TAKE", "x"),
            take_command(class_name="x"),
            take_command(plan="x"),
            take_command(units="x"),
            take_command(units="nan"),
            take_command(units="-1"),
            take_command(deadline_ms="0"),
            take_command(deadline_ms="1.5"),
            take_command("no space"),
            command("NO"),
            b"*2\r\n$4\r\nPING\r\n:5\r\n",
        ]
        replies = await self.call(b"".join(invalid_commands) + command("PING"), len(invalid_commands) + 1)
        self.assertTrue(all(str(reply).startswith("-ERR") for reply in replies[:-1]), replies)
        self.assertEqual((replies[-1], self.counter.totals), ("+PONG", {}))

    async def test_broken_framing_ends_the_connection(self) -> None:
        for broken in (
            b"PING\r\n",
            b":5\r\n",
            b"*999999999\r\n",
            b"*1\r\n*88888888\r\n",
            b"*2\r\n$4\r\nPING\r\n$70000\r\n" + b"x" * 70_000,
        ):
            reader, writer = await self.program.connect(self.resp_address)
            writer.write(command("PING") + broken)
            with self.subTest(broken=broken[:20]):
                self.assertEqual(await soon(read_reply(reader)), "+PONG")
                self.assertTrue(str(await soon(read_reply(reader))).startswith("-ERR Protocol error"))
                self.assertEqual(await soon(reader.read()), b"")
            writer.close()

    async def test_pipelined_commands_run_concurrently_and_replies_keep_their_order(self) -> None:
        self.counter.open.clear()
        pairs = (take_command(f"c{n}", deadline_ms="9000") + command("PING", str(n)) for n in range(6))
        self.writer.write(b"".join(pairs))
        for _ in range(4 * 6):
            await soon(self.counter.came.get())  # all counter calls are sent before the first reply
        self.counter.open.set()
        replies = [await soon(read_reply(self.reader)) for _ in range(12)]
        self.assertEqual(replies[1::2], [str(n).encode() for n in range(6)])
        self.assertTrue(all(reply == [1, 0] for reply in replies[::2]), replies)

    async def test_commands_beyond_the_pipeline_depth_are_executed_later(self) -> None:
        self.assertEqual(await self.call(command("PING", "x") * 2000, 2000), [b"x"] * 2000)


class CounterFaultsTest(RespCase):
    """Each command gets exactly one reply, also if the counter fails."""

    counter_timeout_ms = 50.0

    async def test_stalled_counter_delays_no_command_beyond_its_timeout(self) -> None:
        self.counter.open.clear()
        for protocol in ("http", "resp"):
            if protocol == "http":
                self.assertIn(" 200 ", (await self.ask(self.request("reject", 1500)))[0])
            else:
                self.assertEqual(await self.call(take_command(PLATFORM_CUSTOMER)), [[1, 0]])
        self.counter.open.set()
        self.assertEqual(await self.call(command("PING")), ["+PONG"])  # no second reply was sent in between
        self.assertEqual(await self.call(take_command(PLATFORM_CUSTOMER)), [[1, 0]])
        self.assertEqual(self.nodes[0].taken, 1)

    async def test_deadline_shorter_than_the_stall_is_a_failure(self) -> None:
        self.counter.open.clear()
        failed, pong = await self.call(take_command(deadline_ms="20") + command("PING"), 2)
        self.assertTrue(str(failed).startswith("-FAILED"), failed)
        self.counter.open.set()
        self.assertEqual((pong, await self.call(take_command(units="2"))), ("+PONG", [[1, 0]]))

    async def test_reply_for_a_disconnected_client_is_dropped(self) -> None:
        self.counter.open.clear()
        _, writer = await self.program.connect(self.resp_address)
        writer.write(take_command("gone"))
        while await soon(self.counter.came.get()) != [b"EXEC"]:
            pass
        writer.close()
        self.counter.open.set()
        self.assertEqual(await self.call(take_command("stays") + command("PING"), 2), [[1, 0], "+PONG"])

    async def test_commands_are_granted_while_the_counter_rejects_calls_is_emptied_or_is_stopped(self) -> None:
        self.assertEqual(await self.call(take_command()), [[1, 0]])
        self.counter.refusing = True
        self.assertEqual(await self.call(take_command()), [[1, 0]])
        self.counter.refusing = False
        self.counter.totals.clear()
        self.assertEqual(await self.call(take_command()), [[1, 0]])
        await self.counter.stop()
        self.assertEqual(await self.call(take_command("new") + command("PING"), 2), [[1, 0], "+PONG"])

    async def test_lifetime_is_set_only_when_a_counter_is_created(self) -> None:
        await self.call(take_command())
        calls = [self.counter.came.get_nowait() for _ in range(4)]
        self.assertEqual(calls[1][0::2][:3] + calls[1][5:], [b"SET", b"0", calls[1][4], b"NX"])
        self.assertEqual((calls[0], calls[3]), ([b"MULTI"], [b"EXEC"]))


class SingleConnectionTest(RespCase):
    """A limit of one connection."""

    resp = 'counter = "{counter}"\nconnections = 1\n'

    async def test_longest_idle_connection_is_closed_for_a_new_one(self) -> None:
        self.assertEqual(await self.call(command("PING")), ["+PONG"])
        reader, writer = await self.program.connect(self.resp_address)
        writer.write(command("PING"))
        self.assertEqual(await soon(read_reply(reader)), "+PONG")
        self.assertEqual(await soon(self.reader.read()), b"")
        writer.close()


class GracefulShutdownTest(RespCase):
    """SIGTERM while the counter stalls."""

    counter_timeout_ms = 50.0

    async def test_commands_in_flight_are_answered_before_the_process_ends(self) -> None:
        self.counter.open.clear()
        self.writer.write(take_command("a") + take_command("b"))
        await soon(self.counter.came.get())
        self.program.process.terminate()
        self.assertEqual([await soon(read_reply(self.reader)) for _ in range(2)], [[1, 0], [1, 0]])
        self.assertEqual(await soon(self.reader.read()), b"")
        self.assertEqual(await soon(self.program.process.wait()), 0)


class PlatformCounterTest(GatewayCase):
    """Settings without a RESP counter."""

    resp = "connections = 4\n"

    async def test_limits_are_counted_by_the_http_counter(self) -> None:
        reader, writer = await self.program.connect(self.resp_address)
        writer.write(take_command())
        self.assertEqual(await soon(read_reply(reader)), [1, 0])
        writer.close()
        self.assertEqual(list(self.counter.totals.values()), [1.0])
