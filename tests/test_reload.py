"""SIGHUP under load, by the real program: the watch and the counter move, and nothing is lost by it."""

from __future__ import annotations

import asyncio
import copy
import json
from typing import Any

from tests.stand_ins import (
    Backend,
    Counter,
    Discovery,
    GatewayCase,
    command,
    http,
    read_http,
    read_reply,
    soon,
)


class Reload(GatewayCase):
    """A replaced configuration file."""

    resp = "connections = 8"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.new_discovery, self.new_counter, self.new_node = Discovery(), Counter(), Backend("b9")
        for stand_in in (self.new_discovery, self.new_counter, self.new_node):
            await stand_in.start()
            self.addAsyncCleanup(stand_in.stop)

    async def move(self) -> None:
        """Name the new addresses and have them taken."""
        fresh = {"discovery": self.new_discovery.address, "counter": self.new_counter.address}
        await self.program.reload(json.dumps(self.program.config | fresh), "configuration taken")

    async def test_the_watch_moves_at_once_and_asks_for_the_whole_list(self) -> None:
        """Guards against an end by SIGHUP, the environment's address kept, and versions of another agent."""
        self.discovery.tell(50, True, *self.nodes)
        self.assertIn("from=1&", await soon(self.discovery.came.get()))
        self.assertIn("from=50&", await soon(self.discovery.came.get()))
        await self.move()
        self.assertEqual(await soon(self.new_discovery.came.get()), "GET /catalog/members HTTP/1.1")
        self.assertTrue(self.discovery.came.empty(), "the old watch goes on")
        self.new_discovery.tell(7, True, self.new_node)
        self.assertIn("from=7&", await soon(self.new_discovery.came.get()))
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertEqual((self.nodes[0].taken, self.new_node.taken), (0, 1))

    async def test_old_calls_end_before_new_ones_are_made(self) -> None:
        """Guards against calls lost or told twice by a move, and against answers out of call order."""
        self.counter.open.clear()
        first, writer = await self.program.connect()
        writer.write(self.request())
        await soon(self.counter.came.get())
        await self.move()
        second, other = await self.program.connect()
        other.write(self.request())
        self.assertIn(" 200 ", (await self.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0])
        self.assertTrue(self.new_counter.came.empty(), "a new call went before an old one had its answer")
        self.counter.open.set()
        for reader in (first, second):
            self.assertIn(" 200 ", (await soon(read_http(reader)))[0])
        writer.close()
        other.close()
        self.assertEqual([sum(c.totals.values()) for c in (self.counter, self.new_counter)], [1.0, 1.0])

    async def test_a_file_that_cannot_be_used_changes_nothing(self) -> None:
        """Guards against an end, or half a change, by a file that is not written whole yet."""
        for text in ("{", json.dumps({"discovery": self.new_discovery.address}), "[]"):
            await self.program.reload(text, "configuration not taken")
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertEqual((self.counter.connections, self.new_discovery.connections), (1, 0))

    async def test_the_limit_server_follows(self) -> None:
        """Guards against a RESP front that goes on counting where nobody else does."""
        await self.move()
        reader, writer = await self.program.connect(self.resp_address)
        writer.write(command("TAKE", "camera-7", "inspect", "full-plant", "1", "1500"))
        self.assertEqual(await soon(read_reply(reader)), [1, 0])
        writer.close()
        self.assertEqual((len(self.counter.totals), len(self.new_counter.totals)), (0, 1))


class Retune(GatewayCase):
    """New settings under load."""

    ops = True
    backends = 2

    def settings(self, **limits: float) -> dict[str, Any]:
        """The settings it has, to be changed."""
        settings: dict[str, Any] = copy.deepcopy(self.program.config["settings"])
        settings["limits"] |= {name.replace("_", "-"): value for name, value in limits.items()}
        return settings

    async def retune(self, settings: dict[str, Any]) -> None:
        """Have other settings taken."""
        await self.program.reload(json.dumps(self.program.config | {"settings": settings}), "configuration taken")

    async def test_classes_come_and_go_and_what_is_open_keeps_its_own(self) -> None:
        """Guards against a request that changes its class, or is lost with it, and against a class told too late."""
        for node in self.nodes:
            node.reply = lambda n: None
        reader, writer = await self.program.connect()
        writer.write(self.request() + self.request(customer="0000000000000002"))  # one behind the other
        while not any(node.taken for node in self.nodes):
            await asyncio.wait(
                [asyncio.ensure_future(n.came.get()) for n in self.nodes], return_when=asyncio.FIRST_COMPLETED
            )
        settings = self.settings()
        settings["classes"][0] |= {"name": "inspect-ii", "repeat": "token", "window": 1500.0, "group": "cell"}
        await self.retune(settings)
        for node in self.nodes:
            node.reply = lambda n: http(200, b"new")
            for one in node.writers:
                one.write(http(200, b"old"))
        self.assertEqual((await soon(read_http(reader)))[2], b"old")
        self.assertEqual((await soon(read_http(reader)))[2], b"new", "read before, answered after")
        writer.close()
        self.assertIn(" 404 ", (await self.ask(self.request()))[0])
        keyed = self.request("reject", 1500).replace(b"/reject/", b"/inspect-ii/")
        self.assertEqual((await self.ask(keyed))[2], b"new")
        figures = await self.program.figures()
        self.assertEqual(
            [figures[f'svc_requests{{class="{c}",outcome="served"}}'] for c in ("inspect", "inspect-ii")], [2, 1]
        )

    async def test_fewer_attempts_bind_from_the_next_on(self) -> None:
        """Guards against resends beyond what the settings allow now."""
        await self.retune(self.settings(send_cap=1))
        for node in self.nodes:
            node.reply = lambda n: b""
        self.assertRegex((await self.ask(self.request()))[0], " (429|502|503) ")
        self.assertEqual(sum(node.taken for node in self.nodes), 1)

    async def test_signals_in_a_row_end_with_the_last_file(self) -> None:
        """Guards against a file read for one signal while the next is lost."""
        for names in (("a", "b"), ("c", "d")):
            for name in names:
                settings = self.settings()
                settings["classes"][0]["name"] = name
                self.program.replace(json.dumps(self.program.config | {"settings": settings}))
            while f'"{names[-1]}"' not in await self.program.logged("configuration taken"):
                pass
            self.assertIn(" 200 ", (await self.ask(self.request().replace(b"/inspect/", f"/{names[-1]}/".encode())))[0])

    async def test_files_taken_and_turned_down_are_counted(self) -> None:
        """Guards against staff who cannot see that a file was not taken."""
        await self.retune(self.settings(send_cap=2))
        for wrong in ("", json.dumps(self.program.config | {"settings": self.settings(send_cap=0)})):
            await self.program.reload(wrong, "configuration not taken")
        await self.retune(self.settings(send_cap=3))
        figures = await self.program.figures()
        self.assertEqual((figures["svc_reloads_ok"], figures["svc_reloads_failed"]), (2, 2))
