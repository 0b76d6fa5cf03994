"""Tests of the checker: journals that violate one rule each, and faulty gateways (mutants) that it must detect."""

from __future__ import annotations

import unittest
from typing import Any

from hallhitch.core.ports import Attempt
from hallhitch.decision import api
from hallhitch.lab.checker import RULES, Violation, check
from hallhitch.lab.journal import Event, Journal, read_journal
from hallhitch.lab.model_gateway import ModelGateway
from hallhitch.lab.virtual_run import play
from tests.lab.short_scenarios import short_scenario
from tests.stand_ins import ROOT

CLASSES = {
    "look": [100.0, 1000.0, 1.0, "safe", 0.0],
    "mark": [100.0, 1000.0, 5.0, "keyed", 300.0],
    "pay": [100.0, 1000.0, 5.0, "unsafe", 0.0],
}
WORLD: Event = (0.0, "world", CLASSES, {"p": [1.0, 2.0, 1.0, 0.0, 0.0]}, [0.25, 1000.0, 3.0], 10.0)
NODES: list[Event] = [
    (0.0, "node", "a", "up", 0, 2.0, 0.0),
    (0.0, "node", "b", "up", 0, 2.0, 0.0),
    (0.0, "node", "c", "up", 1, 2.0, 0.0),
]


def asked(id: int, request_class: str = "look", at: float = 1.0, gateway: int = 0) -> Event:
    """Return the event of a client's request, with a deadline of one second."""
    return (at, "ask", id, gateway, "cust", "p", request_class, f"k{id}", at + 1000, True)


def served(id: int, at: float, echo: int = 0) -> Event:
    """Return the event of a served answer; `echo` is the request that the answer belongs to."""
    return (at, "answer", id, "served", echo or id)


def sent(id: int, number: int, node: str, at: float) -> list[Event]:
    """Return the events of an attempt that is sent and arrives at the node."""
    return [(at, "send", id, number, 0, node), (at + 0.1, "arrive", id, number, node, 50.0)]


def violated_rules(*events: Any, max_beyond_ratio: float | None = None) -> list[str]:
    """Return the rules that a journal violates, and check that each excerpt is a part of the journal."""
    journal = [WORLD, *NODES, *events]
    violations = check(journal, max_beyond_ratio)
    for violation in violations:
        assert violation.rule in RULES, violation
        assert violation.excerpt and all(event in journal for event in violation.excerpt), violation
    return [violation.rule for violation in violations]


class SuspendedGateways(unittest.TestCase):
    """Rules for gateways that are suspended and resumed."""

    def test_suspended_gateway_is_excused_only_while_suspended(self) -> None:
        """Requests in a suspended gateway may be late or unanswered; requests after its resumption may not."""
        stop, on = (500.0, "gateway", 0, "stopped"), (1600.0, "gateway", 0, "resumed")
        late = served(1, 1650.0)
        self.assertEqual(violated_rules(asked(1), stop, on, late), [])
        self.assertEqual(violated_rules(asked(1), on, late), ["in time"])
        self.assertEqual(violated_rules(stop, asked(1, at=600.0), on), [], "its client has given up by then")
        self.assertEqual(violated_rules(stop, on, asked(1, at=1700.0)), ["one final answer"])
        self.assertEqual(
            violated_rules(asked(1), stop, on, late, (1700.0, "answer", 1, "failed", 0)), ["one final answer"]
        )
        self.assertEqual(
            violated_rules(stop, asked(1, gateway=1, at=600.0), on), ["one final answer"], "sent to another gateway"
        )

    def test_drain_during_suspension_counts_from_the_resumption(self) -> None:
        """The grace period of a drain that reaches a suspended gateway starts when that gateway is resumed."""
        stop, on = (500.0, "gateway", 0, "stopped"), (3000.0, "gateway", 0, "resumed")
        told = (600.0, "told", 0, "a", "drain")
        begin = asked(1, at=2900.0)
        self.assertEqual(violated_rules(stop, told, begin, on, *sent(1, 0, "a", 3100.0), served(1, 3200.0)), [])
        self.assertEqual(violated_rules(stop, told, begin, on, *sent(1, 0, "a", 3600.0), served(1, 3700.0)), ["drains"])


class RuleBoundaries(unittest.TestCase):
    """Each rule separately: a journal at its limit, and one beyond it."""

    def test_journal_without_violations(self) -> None:
        """A journal without violations yields none."""
        events = [
            asked(1),
            *sent(1, 0, "a", 2.0),
            (50.0, "done", 1, 0, "ok"),
            served(1, 50.0),
            asked(2),
            (9.0, "answer", 2, "refused", 0),
            asked(3),
            (9.0, "leave", 3),
        ]
        self.assertEqual(violated_rules(*events), [])

    def test_one_final_answer(self) -> None:
        """Missing, second and unsolicited answers are violations."""
        self.assertEqual(violated_rules(asked(1)), ["one final answer"])
        self.assertEqual(
            violated_rules(asked(1), served(1, 5.0), (6.0, "answer", 1, "refused", 0)), ["one final answer"]
        )
        self.assertEqual(violated_rules(served(1, 5.0)), ["one final answer"])
        killed = (5.0, "gateway", 0, "killed")
        self.assertEqual(violated_rules(asked(1), killed), [], "the gateway was killed with the request in it")
        self.assertEqual(violated_rules(asked(1, gateway=1), killed), ["one final answer"])
        self.assertEqual(violated_rules(killed, (6.0, "gateway", 0, "up"), asked(1, at=7.0)), ["one final answer"])

    def test_answer_in_time_and_to_the_right_request(self) -> None:
        """Late answers, and answers to another request, are violations."""
        self.assertEqual(violated_rules(asked(1), served(1, 1050.9)), [])
        self.assertEqual(violated_rules(asked(1), served(1, 1051.1)), ["in time"])
        self.assertEqual(violated_rules(asked(1), asked(2), served(1, 5.0, echo=2), served(2, 5.0)), ["own answer"])

    def test_one_attempt_at_a_time(self) -> None:
        """A second attempt in flight is a violation."""
        overlapping = [
            asked(1),
            *sent(1, 0, "a", 2.0),
            *sent(1, 1, "b", 3.0),
            (4.0, "done", 1, 0, "timeout"),
            served(1, 5.0),
        ]
        self.assertEqual(violated_rules(*overlapping), ["one attempt at a time"])
        sequential = [
            asked(1),
            *sent(1, 0, "a", 2.0),
            (3.0, "done", 1, 0, "timeout"),
            *sent(1, 1, "b", 3.0),
            served(1, 5.0),
        ]
        self.assertEqual(violated_rules(*sequential), [])

    def test_retries(self) -> None:
        """A retry that the request's class forbids, by its effect, pod or window, is a violation."""

        def retry(request_class: str, outcome: str, node: str, at: float) -> list[str]:
            return violated_rules(
                asked(1, request_class),
                *sent(1, 0, "a", 2.0),
                (3.0, "done", 1, 0, outcome),
                *sent(1, 1, node, at),
                served(1, 900.0),
            )

        for outcome in ("error", "reset", "timeout", "cancelled"):
            self.assertEqual(retry("look", outcome, "c", 900.0), [])
            self.assertEqual(retry("pay", outcome, "a", 4.0), ["resends"])
            self.assertEqual(retry("mark", outcome, "b", 300.0), [])
            self.assertEqual(retry("mark", outcome, "c", 4.0), ["resends"])
            self.assertEqual(retry("mark", outcome, "b", 353.0), ["resends"])
        self.assertEqual(retry("pay", "full", "c", 900.0), [], "a request that never ran may be retried on any node")

    def test_drains(self) -> None:
        """A send to a draining node after the grace period is a violation."""
        told = (2.0, "told", 0, "a", "drain")

        def at(when: float, *between: Event) -> list[str]:
            return violated_rules(told, *between, asked(1, at=when), (when, "send", 1, 0, 0, "a"), served(1, when + 1))

        self.assertEqual(at(551.0), [])
        self.assertEqual(at(553.0), ["drains"])
        self.assertEqual(at(553.0, (3.0, "told", 0, "a", "up")), [])
        self.assertEqual(
            at(553.0, (3.0, "told", 0, "a", "gone")), ["drains"], "a second notice does not restart the grace period"
        )

    def test_warming_nodes(self) -> None:
        """Too much work for a warming node is a violation, whether or not the node goes down."""
        cold = (10.0, "node", "d", "up", 0, 0.5, 10_000.0)
        load = [(100.0 + n, "arrive", n, 0, "d", 100.0) for n in range(17)]
        self.assertEqual(violated_rules(cold, *load[:15]), [])
        self.assertEqual(violated_rules(cold, *load), ["cold nodes"])
        spread = [(100.0 + 200 * n, "arrive", n, 0, "d", 100.0) for n in range(40)]
        self.assertEqual(violated_rules(cold, *spread), [])
        self.assertEqual(violated_rules(cold, (50.0, "node", "d", "fell", 0, 0.0, 0.0)), ["cold nodes"])

    def test_quotas(self) -> None:
        """Tries beyond a quota are counted over all gateways."""
        tries = [
            e
            for n in range(1, 6)
            for e in (
                asked(n, gateway=n % 2),
                *sent(n, 0, "a", 2.0 + n),
                (9.0 + n, "done", n, 0, "ok"),
                served(n, 9.0 + n),
            )
        ]
        self.assertEqual(violated_rules(*tries, max_beyond_ratio=0.6), [])
        self.assertEqual(violated_rules(*tries, max_beyond_ratio=0.5), ["quotas"])

    def test_journal_survives_encoding(self) -> None:
        """Encoding and decoding preserve a journal; an error names the invalid line."""
        journal = Journal()
        for event in (WORLD, *NODES, asked(1)):
            journal.add(event[0], *event[1:])
        self.assertEqual(read_journal(journal.encoded_lines()), journal.events)
        for bad in (b"[]", b"{}", b'[1,"ask",1]', b'["x","leave",1]', b'[1,"what",1]', b"nonsense"):
            with self.subTest(line=bad), self.assertRaisesRegex(ValueError, "line 1"):
                read_journal([bad])


def send_two_attempts(gateway: ModelGateway) -> None:
    """Send a copy of some attempts to another node."""
    original = gateway.upstream.start

    def start(attempt: Attempt) -> None:
        original(attempt)
        others = [name for name, up in gateway.upstream.is_up.items() if up and name != attempt.server]
        if attempt.number == 0 and others and attempt.exchange_id % 40 == 0:
            copy = Attempt(attempt.exchange_id, 50, others[0], attempt.sent_at, attempt.ends_at, attempt.payload)
            gateway.core.deadlines.call_after(5.0, lambda: original(copy))

    gateway.upstream.start = start  # type: ignore[method-assign]


def answer_twice(gateway: ModelGateway) -> None:
    """Give each final answer twice."""
    original = gateway.core._finish

    def final(exchange_id: int, answer: Any) -> None:
        def twice(exchange: Any) -> None:
            answer(exchange)
            answer(exchange)

        original(exchange_id, twice)

    gateway.core._finish = final  # type: ignore[method-assign]


def withhold_drains(gateway: ModelGateway) -> None:
    """Hide drains from the decision module and the upstream side."""
    original = gateway.upstream.on_server_list, gateway.core.post

    def on_server_list(update: api.ServerList) -> None:
        up = tuple(entry for entry in update.entries if entry.state == "up")
        original[0](api.ServerList(update.mode, up))

    def post(message: api.Event) -> bool:
        if isinstance(message, api.ServerList):
            message = api.ServerList(message.mode, tuple(e for e in message.entries if e.state == "up"))
        return original[1](message)

    gateway.upstream.on_server_list = on_server_list  # type: ignore[method-assign]
    gateway.core.post = post  # type: ignore[method-assign]


def overgrant_quota(gateway: ModelGateway) -> None:
    """Report 40 % of the counter's totals, so that each gateway admits too many requests."""
    original = gateway.core.on_counter_reply

    def counted(name: int, outcome: str, total: float, latency_ms: float) -> None:
        original(name, outcome, total * 0.4, latency_ms)

    gateway.core.on_counter_reply = counted  # type: ignore[method-assign]


def retry_on_any_pod(gateway: ModelGateway) -> None:
    """Let all classes be retried on any node."""
    settings = gateway.core.gateway.config
    for kind in settings.classes:
        object.__setattr__(kind, "effect", api.SAFE)
        object.__setattr__(kind, "group", "all")


def leave_unanswered(gateway: ModelGateway) -> None:
    """Give no answer to some requests."""
    original = gateway.core._close

    def close(exchange_id: int) -> Any:
        exchange = original(exchange_id)
        if exchange is not None and exchange_id % 50 == 0:
            answer_methods = ("on_served", "on_rejected", "on_failed")
            exchange.answer = type("Nobody", (), {name: lambda *_: None for name in answer_methods})()
        return exchange

    gateway.core._close = close  # type: ignore[method-assign]


class Mutants(unittest.TestCase):
    """Faulty gateways, each of which violates a rule."""

    def rules_violated_by(self, scenario: str, mutant: Any, max_beyond_ratio: float | None = None) -> set[str]:
        """Run a scenario with a mutant, or with the normal gateway if None, and return the violated rules."""
        result = play(short_scenario(ROOT / "scenarios" / f"{scenario}.toml"), 3, mutant)
        violations: list[Violation] = check(result.journal.events, max_beyond_ratio)
        return {violation.rule for violation in violations}

    def test_each_mutant_is_detected_and_the_normal_gateway_is_not(self) -> None:
        """Each mutant violates its rule; the normal gateway violates none."""
        max_beyond_ratio = 0.16  # of forwarded tries: 0.141 with the normal gateway, 0.182 if no quota is enforced
        self.assertEqual(self.rules_violated_by("calm", None, max_beyond_ratio), set())
        self.assertEqual(self.rules_violated_by("rolling", None), set())
        self.assertEqual(self.rules_violated_by("calm", send_two_attempts), {"one attempt at a time"})
        self.assertIn("one final answer", self.rules_violated_by("calm", answer_twice))
        self.assertIn("drains", self.rules_violated_by("rolling", withhold_drains))
        self.assertIn("quotas", self.rules_violated_by("calm", overgrant_quota, max_beyond_ratio))
        self.assertIn("resends", self.rules_violated_by("resets", retry_on_any_pod))
        self.assertEqual(self.rules_violated_by("calm", leave_unanswered), {"one final answer"})
