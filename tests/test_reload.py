"""Configuration reload by SIGHUP while the gateway process serves requests, none of which may be lost."""

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


class AddressReloadTest(GatewayCase):
    """A reload with other addresses of discovery and the counter."""

    resp = "connections = 8"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.new_discovery, self.new_counter, self.new_backend = Discovery(), Counter(), Backend("b9")
        for stand_in in (self.new_discovery, self.new_counter, self.new_backend):
            await stand_in.start()
            self.addAsyncCleanup(stand_in.stop)

    async def reload_addresses(self) -> None:
        """Reload with the addresses of the new discovery and counter."""
        addresses = {"discovery": self.new_discovery.address, "counter": self.new_counter.address}
        await self.program.reload(json.dumps(self.program.config | addresses), "configuration reloaded")

    async def test_watch_moves_at_once_and_requests_the_full_list(self) -> None:
        """Guards against a SIGHUP that ends the process or leaves the environment's discovery address in use.

        Sequence numbers are local to a discovery, so the new one must not be asked for changes since an old number.
        """
        self.discovery.tell(50, True, *self.nodes)
        self.assertIn("from=1&", await soon(self.discovery.came.get()))
        self.assertIn("from=50&", await soon(self.discovery.came.get()))
        await self.reload_addresses()
        self.assertEqual(await soon(self.new_discovery.came.get()), "GET /catalog/members HTTP/1.1")
        self.assertTrue(self.discovery.came.empty(), "the old discovery got another watch")
        self.new_discovery.tell(7, True, self.new_backend)
        self.assertIn("from=7&", await soon(self.new_discovery.came.get()))
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertEqual((self.nodes[0].taken, self.new_backend.taken), (0, 1))

    async def test_counter_calls_end_before_calls_to_the_new_counter_start(self) -> None:
        """Guards against calls that a change of the counter loses or repeats, and against replies out of order."""
        self.counter.open.clear()
        first, writer = await self.program.connect()
        writer.write(self.request())
        await soon(self.counter.came.get())
        await self.reload_addresses()
        second, other = await self.program.connect()
        other.write(self.request())
        self.assertIn(" 200 ", (await self.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0])
        self.assertTrue(self.new_counter.came.empty(), "the new counter was called before the old one had replied")
        self.counter.open.set()
        for reader in (first, second):
            self.assertIn(" 200 ", (await soon(read_http(reader)))[0])
        writer.close()
        other.close()
        self.assertEqual([sum(counter.totals.values()) for counter in (self.counter, self.new_counter)], [1.0, 1.0])

    async def test_invalid_file_changes_nothing(self) -> None:
        """Guards against an exit or a partial change because the file is only partly written yet."""
        for text in ("{", json.dumps({"discovery": self.new_discovery.address}), "[]"):
            await self.program.reload(text, "configuration reload failed")
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertEqual((self.counter.connections, self.new_discovery.connections), (1, 0))

    async def test_limit_server_uses_the_new_counter(self) -> None:
        """Guards against a RESP frontend that keeps counting at the old counter."""
        await self.reload_addresses()
        reader, writer = await self.program.connect(self.resp_address)
        writer.write(command("TAKE", "camera-7", "inspect", "full-plant", "1", "1500"))
        self.assertEqual(await soon(read_reply(reader)), [1, 0])
        writer.close()
        self.assertEqual((len(self.counter.totals), len(self.new_counter.totals)), (0, 1))


class SettingsReloadTest(GatewayCase):
    """A reload with other settings while requests are open."""

    ops = True
    backends = 2

    def settings(self, **limits: float) -> dict[str, Any]:
        """Return a copy of the current settings, with the given limits changed."""
        settings: dict[str, Any] = copy.deepcopy(self.program.config["settings"])
        settings["limits"] |= {name.replace("_", "-"): value for name, value in limits.items()}
        return settings

    async def reload_settings(self, settings: dict[str, Any]) -> None:
        """Reload with other settings."""
        await self.program.reload(json.dumps(self.program.config | {"settings": settings}), "configuration reloaded")

    async def test_open_requests_keep_a_class_that_the_reload_removes(self) -> None:
        """Guards against a request that changes or loses its class, and a class that becomes known too late."""
        for node in self.nodes:
            node.reply = lambda n: None
        reader, writer = await self.program.connect()
        writer.write(self.request() + self.request(customer="0000000000000002"))  # the second is pipelined
        while not any(node.taken for node in self.nodes):
            await asyncio.wait(
                [asyncio.ensure_future(backend.came.get()) for backend in self.nodes],
                return_when=asyncio.FIRST_COMPLETED,
            )
        settings = self.settings()
        settings["classes"][0] |= {"name": "inspect-ii", "repeat": "token", "window": 1500.0, "group": "cell"}
        await self.reload_settings(settings)
        for node in self.nodes:
            node.reply = lambda n: http(200, b"new")
            for backend_writer in node.writers:
                backend_writer.write(http(200, b"old"))
        self.assertEqual((await soon(read_http(reader)))[2], b"old")
        self.assertEqual((await soon(read_http(reader)))[2], b"new", "read before the reload, sent after it")
        writer.close()
        self.assertIn(" 404 ", (await self.ask(self.request()))[0])
        keyed_request = self.request("reject", 1500).replace(b"/reject/", b"/inspect-ii/")
        self.assertEqual((await self.ask(keyed_request))[2], b"new")
        metrics = await self.program.figures()
        self.assertEqual(
            [metrics[f'svc_requests{{class="{name}",outcome="served"}}'] for name in ("inspect", "inspect-ii")], [2, 1]
        )

    async def test_lower_attempt_limit_applies_to_new_requests(self) -> None:
        """Guards against retries beyond the limit in the new settings."""
        await self.reload_settings(self.settings(send_cap=1))
        for node in self.nodes:
            node.reply = lambda n: b""
        self.assertRegex((await self.ask(self.request()))[0], " (429|502|503) ")
        self.assertEqual(sum(node.taken for node in self.nodes), 1)

    async def test_repeated_signals_apply_the_last_file(self) -> None:
        """Guards against losing a second SIGHUP that arrives while the file is read for the first."""
        for names in (("a", "b"), ("c", "d")):
            for name in names:
                settings = self.settings()
                settings["classes"][0]["name"] = name
                self.program.replace(json.dumps(self.program.config | {"settings": settings}))
            while f'"{names[-1]}"' not in await self.program.logged("configuration reloaded"):
                pass
            self.assertIn(" 200 ", (await self.ask(self.request().replace(b"/inspect/", f"/{names[-1]}/".encode())))[0])

    async def test_metrics_count_successful_and_failed_reloads(self) -> None:
        """Guards against operators who cannot see that a reload failed."""
        await self.reload_settings(self.settings(send_cap=2))
        for invalid in ("", json.dumps(self.program.config | {"settings": self.settings(send_cap=0)})):
            await self.program.reload(invalid, "configuration reload failed")
        await self.reload_settings(self.settings(send_cap=3))
        metrics = await self.program.figures()
        self.assertEqual((metrics["svc_reloads_ok"], metrics["svc_reloads_failed"]), (2, 2))
