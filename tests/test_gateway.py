"""The platform's front, by the real program: a client, nodes, a counter and discovery round it."""

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


class OneNode(GatewayCase):
    """What a client sees."""

    async def test_a_request_is_counted_sent_on_and_its_answer_passed_unchanged(self) -> None:
        """Guards against a head or body altered on its way, in either direction."""
        self.nodes[0].reply = lambda n: http(200, bytes(range(256)) * 200, Content_Type="image/x-score")
        line, headers, body = await self.ask(self.request("reject", 1500, Req_Id="9b1f03aa5c7e2d41"))
        self.assertIn(" 200 ", line)
        self.assertEqual((headers["content-type"], body), ("image/x-score", bytes(range(256)) * 200))
        _, first, sent, part = self.nodes[0].came.get_nowait()
        self.assertEqual((first, part), (f"POST /reject/{'00000000b4d65521'}?part=7 HTTP/1.1", b"part"))
        self.assertEqual((sent["req-id"], sent["idempotency-key"]), ("9b1f03aa5c7e2d41", "5c0f6e1a"))
        self.assertTrue(0 < int(sent["req-deadline-ms"]) <= 1480, "a little is kept back for the answer")
        self.assertEqual(list(self.counter.totals.values()), [1.0])

    async def test_past_the_quota_a_refusal_says_when_to_come_back(self) -> None:
        """Guards against quotas that do not bind, and against refusals without advice."""
        lines = [await self.ask(self.request(X_Contract="small-shop")) for _ in range(24)]
        refused = [headers for line, headers, _ in lines if " 429 " in line]
        self.assertTrue(8 <= len(refused) <= 23, len(refused))  # a window may end meanwhile
        self.assertTrue(all(0 < float(h["retry-after"]) <= 1 for h in refused))

    async def test_one_spelling_of_a_customer(self) -> None:
        """Guards against a quota doubled by the case of its customer's hexadecimal digits."""
        for customer in ("00000000b4d65521", "00000000B4D65521") * 3:
            self.assertIn(" 200 ", (await self.ask(self.request(customer=customer)))[0])
        calls = [self.counter.came.get_nowait() for _ in range(self.counter.came.qsize())]
        assert_one_customer(self, [call.partition("?")[0] for call in calls])

    async def test_what_cannot_be_read_is_told_so(self) -> None:
        """Guards against malformed, oversized or unknown requests taking the connection down unanswered."""
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

    async def test_what_came_whole_before_an_error_is_answered_first(self) -> None:
        """Guards against a request lost because what follows it on the connection cannot be read."""
        reader, writer = await self.program.connect()
        writer.write(self.request() + self.request(customer="0000000000000002") + b"NONSENSE\r\n\r\n")
        statuses = [(await soon(read_http(reader)))[0].split()[1] for _ in range(3)]
        self.assertEqual((statuses, await soon(reader.read())), (["200", "200", "400"], b""))
        writer.close()

    async def test_a_client_that_leaves_ends_its_attempt(self) -> None:
        """Guards against work going on for clients that are gone."""
        self.nodes[0].reply = lambda n: None
        _, writer = await self.program.connect()
        writer.write(self.request())
        number, *_ = await soon(self.nodes[0].came.get())
        writer.close()
        self.assertEqual(await soon(self.nodes[0].ended.get()), number)

    async def test_a_mute_node_costs_no_more_than_the_deadline(self) -> None:
        """Guards against requests that are held without a final answer."""
        self.nodes[0].reply = lambda n: None
        self.assertRegex((await self.ask(self.request(deadline=300)))[0], " (429|502) ")

    async def test_connections_are_kept_on_both_sides(self) -> None:
        """Guards against a connection for each request."""
        reader, writer = await self.program.connect()
        for _ in range(5):
            writer.write(self.request())
            self.assertIn(" 200 ", (await soon(read_http(reader)))[0])
        writer.close()
        self.assertEqual((self.nodes[0].connections, self.nodes[0].taken), (1, 5))

    async def test_term_finishes_what_is_open(self) -> None:
        """Guards against requests lost to a planned restart, those in the last moment before it included."""
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


class NoNode(GatewayCase):
    """Nothing to send to."""

    backends = 0

    async def test_a_refusal_for_want_of_room_says_when_to_come_back(self) -> None:
        """Guards against `Retry-After: 0`, which asks a client that honours it to come back at once."""
        line, headers, _ = await self.ask(self.request())
        self.assertIn(" 429 ", line)
        self.assertEqual(float(headers["retry-after"]), 0.1)


class TwoNodes(GatewayCase):
    """Repeats, and the list."""

    backends = 2

    async def test_a_repeat_waits_for_the_end_of_the_first(self) -> None:
        """Guards against two attempts out at once: the first connection ends before the second begins."""
        for node in self.nodes:
            node.reply = lambda n: b"" if sum(o.taken for o in self.nodes) == 1 else http(200, b"again")
        self.assertEqual((await self.ask(self.request()))[2], b"again")
        self.assertEqual(sum(node.taken for node in self.nodes), 2)

    async def test_a_refused_connection_goes_elsewhere(self) -> None:
        """Guards against a dead node costing its requests."""
        await self.nodes[0].stop()
        for _ in range(6):
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertEqual(self.nodes[1].taken, 6)

    async def test_a_declined_request_goes_elsewhere_and_only_then(self) -> None:
        """Guards against taking any 503 for proof that nothing ran: a keyed repeat must stay in its cell."""
        self.nodes[1].block = 1
        self.discovery.tell(2, True, *self.nodes)
        await soon(self.discovery.came.get())
        await soon(self.discovery.came.get())
        for node in self.nodes:
            node.reply = lambda n: http(503, Srv_Declined="1") if self.first() else http(200, b"again")
        self.assertEqual((await self.ask(self.request("reject", 1500)))[2], b"again")
        before = [node.taken for node in self.nodes]
        for node in self.nodes:
            node.reply = lambda n: http(503)
        self.assertRegex((await self.ask(self.request("reject", 1500)))[0], " 502 ")
        grown = [node.taken - b for node, b in zip(self.nodes, before, strict=True)]
        self.assertIn(0, grown, "both cells were tried")

    def first(self) -> bool:
        """Whether this is the first request that any node has taken."""
        return sum(node.taken for node in self.nodes) == 1

    async def test_a_draining_node_gets_nothing_new(self) -> None:
        """Guards against sends after discovery has told of a drain; the next watch follows at once."""
        self.assertIn("from=1&", await soon(self.discovery.came.get()))
        self.nodes[0].health = "leaving"
        self.discovery.tell(2, False, self.nodes[0])
        self.assertIn("from=2&", await soon(self.discovery.came.get()))
        for _ in range(6):
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.assertEqual(self.nodes[0].taken, 0)


class DeafDiscovery(GatewayCase):
    """A watch that is never answered."""

    async def test_a_watch_without_answer_is_begun_anew(self) -> None:
        """Guards against a list that stays old for as long as a dead connection keeps silent."""
        self.assertIn("from=1&", await soon(self.discovery.came.get()))
        self.assertIn("from=1&", await soon(self.discovery.came.get()))
        self.assertEqual(self.discovery.connections, 2)


class CounterTrouble(GatewayCase):
    """Passage is open while the counter is silent."""

    give_up = 50.0

    async def test_a_stalled_counter_holds_nobody_for_long_and_late_answers_stay_in_order(self) -> None:
        """Guards against waiting for the counter, and late totals taken for those of later calls."""
        self.counter.open.clear()
        self.assertIn(" 200 ", (await self.ask(self.request("reject", 1500)))[0])
        self.counter.open.set()
        for _ in range(4):
            self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        total = sum(self.counter.totals.values())
        self.assertTrue(2.0 <= total < 9.0, total)  # once each; those that ask speak for some that do not

    async def test_a_silent_connection_to_the_counter_is_replaced(self) -> None:
        """Guards against a counter that was cut off without a word staying lost for ever."""
        self.counter.open.clear()
        async with asyncio.timeout(GUARD):
            while self.counter.connections < 3:  # two are held; a silent one is given up for a third
                self.assertRegex((await self.ask(self.request()))[0], " (200|429) ")

    async def test_a_counter_that_refuses_and_returns_empty(self) -> None:
        """Guards against outages of the counter that refuse or crash anything."""
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        await self.counter.stop()
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        self.counter.totals.clear()
        self.counter.refusing = True
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])


class FewSockets(GatewayCase):
    """The least number of descriptors."""

    sockets = 256

    async def test_idle_clients_make_room_for_newcomers(self) -> None:
        """Guards against running out of descriptors while connections stand idle."""
        held = []
        for _ in range(200):
            reader, writer = await self.program.connect()
            held.append(writer)
            writer.write(self.request("unknown"))
            self.assertIn(" 404 ", (await soon(read_http(reader)))[0])
        self.assertIn(" 200 ", (await self.ask(self.request()))[0])
        for writer in held:
            writer.close()


class FailingModule(GatewayCase):
    """A module that fails on one customer, and says nothing of another."""

    fault = (
        "from hallhitch.decision.policy import Gateway as G; was = G.on_request; "
        "G.on_request = lambda g, r: 1 / 0 if r.customer[-1] == 'a' else r.customer[-1] == 'b' or was(g, r)"
    )

    async def test_a_failure_costs_its_own_exchange(self) -> None:
        """Guards against an exception in the module ending the program, or leaving a client unanswered."""
        self.assertIn(" 502 ", (await self.ask(self.request(customer="000000000000000a")))[0])
        self.assertIn(" 200 ", (await self.ask(self.request(customer="0000000000000001")))[0])

    async def test_the_sweep_answers_for_a_silent_module(self) -> None:
        """Guards against a request that the module forgets: one final answer by its deadline all the same."""
        self.assertIn(" 502 ", (await self.ask(self.request(customer="000000000000000a")))[0])
        self.assertIn(" 502 ", (await self.ask(self.request(deadline=100, customer="000000000000000b")))[0])


class Configuration(unittest.TestCase):
    """Bad configuration is one line that names the field, and exit code 2."""

    def test_the_field_is_named(self) -> None:
        """Guards against a start that half works, and against tracebacks where a word would do."""
        with tempfile.TemporaryDirectory() as folder:
            good = Program(folder, "127.0.0.1:1", "127.0.0.1:2", []).config
            cases: list[tuple[object, str]] = [
                (None, "EDGE_CONFIG"),
                (good | {"listen": "here"}, "listen"),
                (good | {"seed": "x"}, "seed"),
                (good | {"settings": {}}, "classes"),
                (good | {"counter": 5}, "counter"),
                ([], "settings"),
                (good | {"known": {"seq": 1, "hosts": [{"host": "a"}]}}, "dial"),
                (good | {"limits": {"sockets": 10}}, "sockets"),
            ]
            for config, field in cases:
                assert_refused(self, "{" if config is None else json.dumps(config), field)
