"""The feed by itself: whatever changes, a follower ends with what the control plane has, and never with less."""

from __future__ import annotations

import contextlib
import random
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from hallhitch.catalog.changes import Change, Edit, apply_change
from hallhitch.catalog.errors import ChangeRefused, FeedError
from hallhitch.catalog.feed import diff_line, is_for_gateways, snapshot_lines, update_lines
from hallhitch.catalog.feed_follower import BASE_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, FeedFollower, read_snapshot
from hallhitch.catalog.history import History
from hallhitch.catalog.model import Catalog, Client, Credential, Head, Kind, Plan, Scope, Verifier
from hallhitch.catalog.rows import catalog_rows
from tests.catalog.catalog_strategies import changes, populated_catalog


def seen(catalog: Catalog) -> tuple[Any, ...]:
    """All that a gateway can tell of a catalogue."""
    rows = sorted(
        (row.tenant, row.kind, row.name, row.version, repr(row.value))
        for row in catalog_rows(catalog)
        if is_for_gateways(row)
    )
    parts = {
        name: (part.created_in_version, part.version, dict(part.client_counts), dict(part.active_client_counts))
        for name, part in catalog.tenants.items()
    }
    return catalog.epoch, catalog.version, rows, parts, dict(catalog.hosts)


def catch_up(follower: FeedFollower, newest: Catalog, history: History) -> int:
    """Ask once; how many lines came."""
    lines = update_lines(newest, history, *follower.version)
    return sum(1 for _ in map(follower.receive_line, lines)) if lines is not None else 0


class FeedFollowing(unittest.TestCase):
    """Whole paths."""

    @given(st.lists(st.tuples(changes(), st.booleans(), st.booleans()), max_size=25), st.integers(1, 60))
    @settings(max_examples=150)
    def test_followers_converge_on_the_newest_catalog(self, steps: list[tuple[Change, bool, bool]], kept: int) -> None:
        """Guards against a diff that leaves a follower with something else than the whole would have given it."""
        newest, history = populated_catalog(), History(kept)
        history.start(newest.epoch, newest.version)
        often, seldom = FeedFollower(Catalog(), random.Random(1)), FeedFollower(Catalog(), random.Random(2))
        for change, often_asks, seldom_asks in steps:
            try:
                made = apply_change(newest, change)
            except ChangeRefused:
                continue
            history.add(made.diff)
            newest = made.catalog
            if often_asks:
                catch_up(often, newest, history)
                self.assertEqual(seen(often.catalog), seen(newest))
            if seldom_asks and seldom.catalog.version == 0:
                catch_up(seldom, newest, history)
        for follower in (often, seldom):
            catch_up(follower, newest, history)
            self.assertEqual(seen(follower.catalog), seen(newest))
            self.assertEqual(catch_up(follower, newest, history), 0, "there is nothing more")
            self.assertFalse(follower.catalog.operators)
            whole = read_snapshot(snapshot_lines(newest))
            self.assertEqual(follower.catalog.checksum, whole.checksum, "diffs and whole have the same checksum")

    def test_gateways_get_only_client_credentials(self) -> None:
        """Guards against verifiers of administrators on every gateway's disk."""
        newest = apply_change(
            populated_catalog(),
            Change("a", (Edit(Kind.CREDENTIAL, "boss", Credential(Scope.ADMIN, (Verifier("bosshash"),))),)),
        ).catalog
        newest = apply_change(
            newest, Change("", (Edit(Kind.CREDENTIAL, "root", Credential(Scope.OPERATOR, (Verifier("roothash"),))),))
        ).catalog
        text = b"".join(snapshot_lines(newest))
        self.assertNotIn(b"bosshash", text)
        self.assertNotIn(b"root", text)
        history = History()
        history.start(newest.epoch, newest.version)
        made = apply_change(
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
        follower = FeedFollower(read_snapshot(snapshot_lines(newest)), random.Random(1))
        follower.receive_line(line)
        self.assertIsNone(follower.catalog.get("a", Kind.CREDENTIAL, "x"), "it names no client any more")

    def test_a_later_epoch_replaces_the_catalog(self) -> None:
        """Guards against gateways that stay on what was undone, or follow a control plane that went back unsaid."""
        old = populated_catalog()
        new = apply_change(old, Change("a", (Edit(Kind.PLAN, "y", Plan(9.0, 9.0)),))).catalog
        history = History()
        history.start(old.epoch, old.version)
        follower = FeedFollower(read_snapshot(snapshot_lines(new)), random.Random(1))
        with self.assertRaises(FeedError):
            update_lines(old, history, *follower.version)
        with self.assertRaises(FeedError):
            follower.receive_line(next(snapshot_lines(old)))
        self.assertEqual(follower.version, (new.epoch, new.version))
        again = Catalog(old.epoch + 1, old.version, old.tenants, old.operators, old.hosts, old.checksum)
        history.start(again.epoch, again.version)
        catch_up(follower, again, history)
        self.assertEqual(seen(follower.catalog), seen(again))
        with self.assertRaises(FeedError):
            follower.receive_line(next(snapshot_lines(new)))

    def test_an_incomplete_snapshot_is_discarded(self) -> None:
        """Guards against a cut or damaged transfer that is taken for a catalogue."""
        newest = populated_catalog()
        lines = list(snapshot_lines(newest, 2))
        self.assertGreater(len(lines), 5)
        for end in range(len(lines)):
            follower = FeedFollower(Catalog(), random.Random(1))
            for line in lines[:end]:
                self.assertIsNone(follower.receive_line(line))
            follower.discard_partial()
            self.assertEqual(follower.version, (0, 0))
            with self.assertRaises(FeedError):
                follower.receive_line(lines[-1])
        for place in range(1, len(lines) - 1):
            for damaged in (
                [*lines[:place], *lines[place + 1 :]],
                [*lines[:place], lines[place], *lines[place:]],
                [*lines[:place], lines[place].replace(b"h", b"i"), *lines[place + 1 :]],
            ):
                if damaged == lines:
                    continue
                with self.subTest(place=place), self.assertRaises(FeedError):
                    read_snapshot(iter(damaged))

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
    def test_invalid_lines_leave_the_catalog_unchanged(self, line: bytes) -> None:
        """Guards against bytes of somebody else's that end a gateway's catalogue or its process."""
        held = read_snapshot(snapshot_lines(populated_catalog()))
        follower = FeedFollower(held, random.Random(1))
        with contextlib.suppress(FeedError):
            follower.receive_line(line)
        self.assertIs(follower.catalog, held)

    def test_retry_delays_of_many_followers_spread(self) -> None:
        """Guards against a fleet that comes back at one moment, again and again."""
        followers = [FeedFollower(Catalog(), random.Random(n)) for n in range(500)]
        for attempt in range(12):
            waits = sorted(follower.record_failure() for follower in followers)
            most = min(MAX_RETRY_DELAY_MS, BASE_RETRY_DELAY_MS * 2**attempt)
            self.assertLessEqual(waits[-1], most)
            self.assertGreater(waits[0], 0.2 * most)
            busiest = max(
                sum(start <= wait < start + most / 20 for wait in waits) for start in (n * most / 20 for n in range(20))
            )
            self.assertLess(busiest, 60, "of 500, in a twentieth of the time")
        newest, history = populated_catalog(), History()
        history.start(newest.epoch, newest.version)
        catch_up(followers[0], newest, history)
        self.assertLessEqual(followers[0].record_failure(), BASE_RETRY_DELAY_MS, "what worked begins anew")

    def test_a_large_snapshot_is_processed_in_short_steps(self) -> None:
        """Guards against pieces that grow with the catalogue."""
        newest = Catalog(epoch=1)
        edits = [Edit(Kind.TENANT, "big", Head()), Edit(Kind.PLAN, "p", Plan(1.0, 1.0))]
        newest = apply_change(newest, Change("big", tuple(edits))).catalog
        newest = apply_change(
            newest, Change("big", tuple(Edit(Kind.CLIENT, f"c{n}", Client("p")) for n in range(900)))
        ).catalog
        lines = list(snapshot_lines(newest))
        self.assertEqual(len(lines), 2 + -(-902 // 200))
        self.assertLess(max(map(len, lines)), 20_000)
        self.assertEqual(seen(read_snapshot(iter(lines))), seen(newest))
