"""The RESP front, by the real program: limits taken by commands, and a counter that speaks RESP."""

from __future__ import annotations

import json
import socket
import tempfile
import unittest
from pathlib import Path

from hallhitch.resp import config
from tests.stand_ins import (
    ROOT,
    GatewayCase,
    Program,
    RespCounter,
    assert_one_customer,
    assert_refused,
    command,
    read_reply,
    soon,
)


def take(
    customer: str = "shop-1", kind: str = "reject", plan: str = "full-plant", units: str = "1", deadline: str = "1500"
) -> bytes:
    """One TAKE."""
    return command("TAKE", customer, kind, plan, units, deadline)


class RespCase(GatewayCase):
    """The program with its RESP front, and a counter that speaks RESP."""

    counter_kind = RespCounter
    resp = 'counter = "{counter}"\n'

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.reader, self.writer = await self.program.connect(self.resp_address)
        self.addCleanup(self.writer.close)

    async def say(self, data: bytes, replies: int = 1) -> list[object]:
        """Write at once, read so many replies."""
        self.writer.write(data)
        return [await soon(read_reply(self.reader)) for _ in range(replies)]


class LimitServer(RespCase):
    """Commands and their replies."""

    async def test_units_are_granted_up_to_the_quota_then_refused_with_a_time(self) -> None:
        """Guards against grants past the quota, and against a pipeline shed as if grants took time."""
        answers = await self.say(take("s", plan="small-shop") * 30 + take("p") * 18, 48)
        refused = [a for a in answers[:30] if isinstance(a, list) and a[0] == 0]
        self.assertTrue(15 <= len(refused) <= 29, answers)  # a window may end meanwhile
        self.assertTrue(all(0 < a[1] <= 1000 for a in refused), refused)
        self.assertGreaterEqual(answers[30:].count([1, 0]), 10)

    async def test_both_fronts_share_one_quota(self) -> None:
        """Guards against a customer with one quota by HTTP and another by RESP."""
        for _ in range(3):
            self.assertIn(" 200 ", (await self.ask(self.request(customer="00000000b4d65521")))[0])
            self.assertEqual(await self.say(take("00000000B4D65521")), [[1, 0]])
        calls = [self.counter.came.get_nowait() for _ in range(self.counter.came.qsize())]
        assert_one_customer(self, [call[1] for call in calls if call[0] == b"SET"])

    async def test_the_usual_commands(self) -> None:
        """Guards against client libraries that cannot connect."""
        hello, name, none, same, proto = await self.say(
            command("HELLO", "2")
            + command("CLIENT", "SETNAME", "line-4")
            + command("CLIENT", "SETINFO", "LIB-NAME", "x")
            + command("CLIENT", "GETNAME")
            + command("HELLO", "3"),
            5,
        )
        assert isinstance(hello, list)
        self.assertEqual(hello[:2] + hello[4:6], [b"server", b"hallhitch", b"proto", 2])
        self.assertEqual((name, none, same), ("+OK", "+OK", b"line-4"))
        self.assertTrue(str(proto).startswith("-NOPROTO"))
        self.assertEqual(
            await self.say(command("ping") + command("PING", "a") + command("QUIT"), 3), ["+PONG", b"a", "+OK"]
        )
        self.assertEqual(await soon(self.reader.read()), b"")

    async def test_a_wrong_command_keeps_the_connection(self) -> None:
        """Guards against one bad command taking its neighbours down."""
        wrong = [
            command("TAKE", "x"),
            take(kind="x"),
            take(plan="x"),
            take(units="x"),
            take(units="nan"),
            take(units="-1"),
            take(deadline="0"),
            take(deadline="1.5"),
            take("no space"),
            command("NO"),
            b"*2\r\n$4\r\nPING\r\n:5\r\n",
        ]
        answers = await self.say(b"".join(wrong) + command("PING"), len(wrong) + 1)
        self.assertTrue(all(str(a).startswith("-ERR") for a in answers[:-1]), answers)
        self.assertEqual((answers[-1], self.counter.totals), ("+PONG", {}))

    async def test_broken_framing_ends_the_connection(self) -> None:
        """Guards against reading on after framing is lost, and heads that promise a billion elements."""
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

    async def test_pipelined_commands_run_at_once_and_replies_keep_their_order(self) -> None:
        """Guards against a slow counter holding replies out of order, or commands one behind another."""
        self.counter.open.clear()
        pairs = (take(f"c{n}", deadline="9000") + command("PING", str(n)) for n in range(6))
        self.writer.write(b"".join(pairs))
        for _ in range(4 * 6):
            await soon(self.counter.came.get())  # all calls are out though none was answered
        self.counter.open.set()
        answers = [await soon(read_reply(self.reader)) for _ in range(12)]
        self.assertEqual(answers[1::2], [str(n).encode() for n in range(6)])
        self.assertTrue(all(a == [1, 0] for a in answers[::2]), answers)

    async def test_depth_is_bounded_and_nothing_is_lost(self) -> None:
        """Guards against a pipeline that fills memory, and against commands dropped at the bound."""
        self.assertEqual(await self.say(command("PING", "x") * 2000, 2000), [b"x"] * 2000)


class CounterTrouble(RespCase):
    """Each request gets exactly one final answer whatever the counter does."""

    give_up = 50.0

    async def test_a_counter_that_stalls_while_a_reject_waits(self) -> None:
        """Guards against a `reject` held past the 50 ms, or answered again when the total comes late."""
        self.counter.open.clear()
        for front in ("http", "resp"):
            if front == "http":
                self.assertIn(" 200 ", (await self.ask(self.request("reject", 1500)))[0])
            else:
                self.assertEqual(await self.say(take("00000000b4d65521")), [[1, 0]])
        self.counter.open.set()
        self.assertEqual(await self.say(command("PING")), ["+PONG"])  # no second reply came between
        self.assertEqual(await self.say(take("00000000b4d65521")), [[1, 0]])
        self.assertEqual(self.nodes[0].taken, 1)

    async def test_a_deadline_shorter_than_the_stall(self) -> None:
        """Guards against a reply that comes after the client has given up."""
        self.counter.open.clear()
        failed, pong = await self.say(take(deadline="20") + command("PING"), 2)
        self.assertTrue(str(failed).startswith("-FAILED"), failed)
        self.counter.open.set()
        self.assertEqual((pong, await self.say(take(units="2"))), ("+PONG", [[1, 0]]))

    async def test_a_client_that_gives_up_first(self) -> None:
        """Guards against the reply of a client that left going to another, or stopping the program."""
        self.counter.open.clear()
        _, writer = await self.program.connect(self.resp_address)
        writer.write(take("gone"))
        while await soon(self.counter.came.get()) != [b"EXEC"]:
            pass
        writer.close()
        self.counter.open.set()
        self.assertEqual(await self.say(take("stays") + command("PING"), 2), [[1, 0], "+PONG"])

    async def test_refusing_empty_and_gone(self) -> None:
        """Guards against EXECABORT, an empty counter and refused connections ending in no answer or two."""
        self.assertEqual(await self.say(take()), [[1, 0]])
        self.counter.refusing = True
        self.assertEqual(await self.say(take()), [[1, 0]])
        self.counter.refusing = False
        self.counter.totals.clear()
        self.assertEqual(await self.say(take()), [[1, 0]])
        await self.counter.stop()
        self.assertEqual(await self.say(take("new") + command("PING"), 2), [[1, 0], "+PONG"])

    async def test_the_life_is_set_once(self) -> None:
        """Guards against a window that never ends because each call renews it."""
        await self.say(take())
        calls = [self.counter.came.get_nowait() for _ in range(4)]
        self.assertEqual(calls[1][0::2][:3] + calls[1][5:], [b"SET", b"0", calls[1][4], b"NX"])
        self.assertEqual((calls[0], calls[3]), ([b"MULTI"], [b"EXEC"]))


class OneConnection(RespCase):
    """A budget of one connection."""

    resp = 'counter = "{counter}"\nconnections = 1\n'

    async def test_the_longest_idle_connection_makes_room(self) -> None:
        """Guards against idle connections that keep newcomers out."""
        self.assertEqual(await self.say(command("PING")), ["+PONG"])
        reader, writer = await self.program.connect(self.resp_address)
        writer.write(command("PING"))
        self.assertEqual(await soon(read_reply(reader)), "+PONG")
        self.assertEqual(await soon(self.reader.read()), b"")
        writer.close()


class Restart(RespCase):
    """A planned restart."""

    give_up = 50.0

    async def test_term_answers_what_is_open_then_ends(self) -> None:
        """Guards against commands lost to a planned restart while the counter stalls."""
        self.counter.open.clear()
        self.writer.write(take("a") + take("b"))
        await soon(self.counter.came.get())
        self.program.process.terminate()
        self.assertEqual([await soon(read_reply(self.reader)) for _ in range(2)], [[1, 0], [1, 0]])
        self.assertEqual(await soon(self.reader.read()), b"")
        self.assertEqual(await soon(self.program.process.wait()), 0)


class Configuration(unittest.TestCase):
    """The file that turns the front on."""

    def test_the_file_under_deploy_is_read(self) -> None:
        """Guards against a file that nobody can start with."""
        told = config.read(str(ROOT / "deploy" / "resp.toml"))
        self.assertEqual((told.listen, told.counter), ("127.0.0.1:6380", None))

    def test_the_field_is_named(self) -> None:
        """Guards against a wrong file that is passed over in silence."""
        with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as taken:
            path, busy = Path(folder) / "resp.toml", f'listen = "127.0.0.1:{taken.getsockname()[1]}"'
            good = Program(folder, "127.0.0.1:1", "127.0.0.1:2", []).config
            cases = [
                ("", "listen"),
                ('listen = "x"', "listen"),
                (busy, "listen (RESP)"),
                ("listen", "resp.toml"),
                (busy + "\ncounter = 1", "counter"),
                (busy + "\nport = 1", "port"),
                (busy + "\nconnections = 0", "connections"),
            ]
            for text, field in cases:
                path.write_text(text)
                assert_refused(self, json.dumps(good), field, "--resp", str(path))


class PlatformCounter(GatewayCase):
    """With no RESP counter named, the limit server counts where HTTP traffic does."""

    resp = "connections = 4\n"

    async def test_the_http_counter_serves_both(self) -> None:
        """Guards against a limit server that counts nowhere."""
        reader, writer = await self.program.connect(self.resp_address)
        writer.write(take())
        self.assertEqual(await soon(read_reply(reader)), [1, 0])
        writer.close()
        self.assertEqual(list(self.counter.totals.values()), [1.0])
