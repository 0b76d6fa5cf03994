"""The feed by itself: whatever changes, a follower ends with what the control plane has, and never with less."""

from __future__ import annotations

import contextlib
import random
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from hallhitch.catalog.changes import Change, Edit, Refused, apply
from hallhitch.catalog.feed import (
    AGAIN,
    AGAIN_MOST,
    FeedError,
    Follower,
    diff_line,
    lines_for,
    read_whole,
    told,
    whole_lines,
)
from hallhitch.catalog.history import History
from hallhitch.catalog.model import Catalogue, Client, Credential, Head, Kind, Plan, Scope, Verifier
from hallhitch.catalog.rows import rows_of
from tests.catalog.test_catalogue import changes, peopled


def seen(catalogue: Catalogue) -> tuple[Any, ...]:
    """All that a gateway can tell of a catalogue."""
    rows = sorted(
        (row.tenant, row.kind, row.name, row.version, repr(row.value)) for row in rows_of(catalogue) if told(row)
    )
    parts = {
        name: (part.born, part.version, dict(part.members), dict(part.active))
        for name, part in catalogue.tenants.items()
    }
    return catalogue.epoch, catalogue.version, rows, parts, dict(catalogue.hosts)


def catch_up(follower: Follower, newest: Catalogue, history: History) -> int:
    """Ask once; how many lines came."""
    lines = lines_for(newest, history, *follower.holds)
    return sum(1 for _ in map(follower.take, lines)) if lines is not None else 0


class Followed(unittest.TestCase):
    """Whole paths."""

    @given(st.lists(st.tuples(changes(), st.booleans(), st.booleans()), max_size=25), st.integers(1, 60))
    @settings(max_examples=150)
    def test_every_follower_ends_where_the_control_plane_is(
        self, steps: list[tuple[Change, bool, bool]], kept: int
    ) -> None:
        """Guards against a diff that leaves a follower with something else than the whole would have given it."""
        newest, history = peopled(), History(kept)
        history.start(newest.epoch, newest.version)
        often, seldom = Follower(Catalogue(), random.Random(1)), Follower(Catalogue(), random.Random(2))
        for change, often_asks, seldom_asks in steps:
            try:
                made = apply(newest, change)
            except Refused:
                continue
            history.add(made.diff)
            newest = made.catalogue
            if often_asks:
                catch_up(often, newest, history)
                self.assertEqual(seen(often.held), seen(newest))
            if seldom_asks and seldom.held.version == 0:
                catch_up(seldom, newest, history)
        for follower in (often, seldom):
            catch_up(follower, newest, history)
            self.assertEqual(seen(follower.held), seen(newest))
            self.assertEqual(catch_up(follower, newest, history), 0, "there is nothing more")
            self.assertFalse(follower.held.operators)
            whole = read_whole(whole_lines(newest))
            self.assertEqual(follower.held.sum, whole.sum, "diffs and whole have the same checksum")

    def test_only_what_a_gateway_needs(self) -> None:
        """Guards against verifiers of administrators on every gateway's disk."""
        newest = apply(
            peopled(), Change("a", (Edit(Kind.CREDENTIAL, "boss", Credential(Scope.ADMIN, (Verifier("bosshash"),))),))
        ).catalogue
        newest = apply(
            newest, Change("", (Edit(Kind.CREDENTIAL, "root", Credential(Scope.OPERATOR, (Verifier("roothash"),))),))
        ).catalogue
        text = b"".join(whole_lines(newest))
        self.assertNotIn(b"bosshash", text)
        self.assertNotIn(b"root", text)
        history = History()
        history.start(newest.epoch, newest.version)
        made = apply(
            newest,
            Change(
                "a",
                (
                    Edit(Kind.CREDENTIAL, "x", Credential(Scope.ADMIN, (Verifier("nowboss"),))),
                    Edit(Kind.CREDENTIAL, "boss2", Credential(Scope.READ, (Verifier("reader"),))),
                ),
            ),
        )
        line = diff_line(made.diff)
        self.assertNotIn(b"nowboss", line)
        self.assertNotIn(b"reader", line)
        follower = Follower(read_whole(whole_lines(newest)), random.Random(1))
        follower.take(line)
        self.assertIsNone(follower.held.get("a", Kind.CREDENTIAL, "x"), "it names no client any more")

    def test_a_restored_backup_begins_an_epoch(self) -> None:
        """Guards against gateways that stay on what was undone, or follow a control plane that went back unsaid."""
        old = peopled()
        new = apply(old, Change("a", (Edit(Kind.PLAN, "y", Plan(9.0, 9.0)),))).catalogue
        history = History()
        history.start(old.epoch, old.version)
        follower = Follower(read_whole(whole_lines(new)), random.Random(1))
        with self.assertRaises(FeedError):
            lines_for(old, history, *follower.holds)
        with self.assertRaises(FeedError):
            follower.take(next(whole_lines(old)))
        self.assertEqual(follower.holds, (new.epoch, new.version))
        again = Catalogue(old.epoch + 1, old.version, old.tenants, old.operators, old.hosts, old.sum)
        history.start(again.epoch, again.version)
        catch_up(follower, again, history)
        self.assertEqual(seen(follower.held), seen(again))
        with self.assertRaises(FeedError):
            follower.take(next(whole_lines(new)))

    def test_half_of_a_whole_is_nothing(self) -> None:
        """Guards against a cut or damaged transfer that is taken for a catalogue."""
        newest = peopled()
        lines = list(whole_lines(newest, 2))
        self.assertGreater(len(lines), 5)
        for end in range(len(lines)):
            follower = Follower(Catalogue(), random.Random(1))
            for line in lines[:end]:
                self.assertIsNone(follower.take(line))
            follower.cut()
            self.assertEqual(follower.holds, (0, 0))
            with self.assertRaises(FeedError):
                follower.take(lines[-1])
        for place in range(1, len(lines) - 1):
            for damaged in (
                [*lines[:place], *lines[place + 1 :]],
                [*lines[:place], lines[place], *lines[place:]],
                [*lines[:place], lines[place].replace(b"h", b"i"), *lines[place + 1 :]],
            ):
                if damaged == lines:
                    continue
                with self.subTest(place=place), self.assertRaises(FeedError):
                    read_whole(iter(damaged))

    @given(
        st.binary(max_size=40)
        | st.sampled_from(
            [
                b"{}",
                b'{"rows":[]}',
                b'{"end":{"rows":0,"parts":{},"seal":"0"}}',
                b'{"diff":{}}',
                b'{"whole":{"epoch":1}}',
                b'{"diff":{"epoch":3,"since":99,"version":100,"reset":[],"rows":[],"parts":{}}}',
                b'{"whole":{"epoch":9,"version":-1}}',
                b"[" * 2000,
                b'{"x":1}',
            ]
        )
    )
    def test_what_is_no_feed_changes_nothing(self, line: bytes) -> None:
        """Guards against bytes of somebody else's that end a gateway's catalogue or its process."""
        held = read_whole(whole_lines(peopled()))
        follower = Follower(held, random.Random(1))
        with contextlib.suppress(FeedError):
            follower.take(line)
        self.assertIs(follower.held, held)

    def test_five_hundred_come_back_apart(self) -> None:
        """Guards against a fleet that comes back at one moment, again and again."""
        followers = [Follower(Catalogue(), random.Random(n)) for n in range(500)]
        for attempt in range(12):
            waits = sorted(follower.failed() for follower in followers)
            most = min(AGAIN_MOST, AGAIN * 2**attempt)
            self.assertLessEqual(waits[-1], most)
            self.assertGreater(waits[0], 0.2 * most)
            busiest = max(
                sum(start <= wait < start + most / 20 for wait in waits) for start in (n * most / 20 for n in range(20))
            )
            self.assertLess(busiest, 60, "of 500, in a twentieth of the time")
        newest, history = peopled(), History()
        history.start(newest.epoch, newest.version)
        catch_up(followers[0], newest, history)
        self.assertLessEqual(followers[0].failed(), AGAIN, "what worked begins anew")

    def test_a_large_whole_is_taken_in_small_steps(self) -> None:
        """Guards against pieces that grow with the catalogue."""
        newest = Catalogue(epoch=1)
        edits = [Edit(Kind.TENANT, "big", Head()), Edit(Kind.PLAN, "p", Plan(1.0, 1.0))]
        newest = apply(newest, Change("big", tuple(edits))).catalogue
        newest = apply(
            newest, Change("big", tuple(Edit(Kind.CLIENT, f"c{n}", Client("p")) for n in range(900)))
        ).catalogue
        lines = list(whole_lines(newest))
        self.assertEqual(len(lines), 2 + -(-902 // 200))
        self.assertLess(max(map(len, lines)), 20_000)
        self.assertEqual(seen(read_whole(iter(lines))), seen(newest))
