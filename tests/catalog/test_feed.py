"""The feed: after any changes a follower converges on the catalog of the control plane."""

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


def gateway_view(catalog: Catalog) -> tuple[Any, ...]:
    """Return the parts of a catalog that gateways receive, in comparable form."""
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
    """Apply one update and return its number of lines."""
    lines = update_lines(newest, history, *follower.version)
    return sum(1 for _ in map(follower.receive_line, lines)) if lines is not None else 0


class FeedFollowing(unittest.TestCase):
    """Snapshots and diffs from the control plane to a follower."""

    @given(st.lists(st.tuples(changes(), st.booleans(), st.booleans()), max_size=25), st.integers(1, 60))
    @settings(max_examples=150)
    def test_followers_converge_on_the_newest_catalog(
        self, steps: list[tuple[Change, bool, bool]], max_names: int
    ) -> None:
        """Guards against a diff whose result differs from that of a snapshot."""
        newest, history = populated_catalog(), History(max_names)
        history.start(newest.epoch, newest.version)
        frequent, rare = FeedFollower(Catalog(), random.Random(1)), FeedFollower(Catalog(), random.Random(2))
        for change, frequent_updates, rare_updates in steps:
            try:
                applied = apply_change(newest, change)
            except ChangeRefused:
                continue
            history.add(applied.diff)
            newest = applied.catalog
            if frequent_updates:
                catch_up(frequent, newest, history)
                self.assertEqual(gateway_view(frequent.catalog), gateway_view(newest))
            if rare_updates and rare.catalog.version == 0:
                catch_up(rare, newest, history)
        for follower in (frequent, rare):
            catch_up(follower, newest, history)
            self.assertEqual(gateway_view(follower.catalog), gateway_view(newest))
            self.assertEqual(catch_up(follower, newest, history), 0, "the follower is up to date")
            self.assertFalse(follower.catalog.operators)
            snapshot = read_snapshot(snapshot_lines(newest))
            self.assertEqual(follower.catalog.checksum, snapshot.checksum, "diffs and snapshot give the same checksum")

    def test_gateways_get_only_client_credentials(self) -> None:
        """Guards against verifiers of administrators that are sent to gateways."""
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
        applied = apply_change(
            newest,
            Change(
                "a",
                (
                    Edit(Kind.CREDENTIAL, "x", Credential(Scope.ADMIN, (Verifier("nowboss"),))),
                    Edit(Kind.CREDENTIAL, "boss2", Credential(Scope.READ, (Verifier("reader"),))),
                ),
            ),
        )
        line = diff_line(applied.diff)
        self.assertNotIn(b"nowboss", line)
        self.assertNotIn(b"reader", line)
        follower = FeedFollower(read_snapshot(snapshot_lines(newest)), random.Random(1))
        follower.receive_line(line)
        self.assertIsNone(follower.catalog.get("a", Kind.CREDENTIAL, "x"), "the credential no longer names a client")

    def test_a_later_epoch_replaces_the_catalog(self) -> None:
        """Guards against gateways that keep undone changes, or follow an older state without a new epoch."""
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
        restored = Catalog(old.epoch + 1, old.version, old.tenants, old.operators, old.hosts, old.checksum)
        history.start(restored.epoch, restored.version)
        catch_up(follower, restored, history)
        self.assertEqual(gateway_view(follower.catalog), gateway_view(restored))
        with self.assertRaises(FeedError):
            follower.receive_line(next(snapshot_lines(new)))

    def test_an_incomplete_snapshot_is_discarded(self) -> None:
        """Guards against a truncated or damaged transfer that is accepted as a catalog."""
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
        for position in range(1, len(lines) - 1):
            for damaged in (
                [*lines[:position], *lines[position + 1 :]],
                [*lines[:position], lines[position], *lines[position:]],
                [*lines[:position], lines[position].replace(b"h", b"i"), *lines[position + 1 :]],
            ):
                if damaged == lines:
                    continue
                with self.subTest(position=position), self.assertRaises(FeedError):
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
        """Guards against invalid bytes that replace a gateway's catalog or crash its process."""
        held = read_snapshot(snapshot_lines(populated_catalog()))
        follower = FeedFollower(held, random.Random(1))
        with contextlib.suppress(FeedError):
            follower.receive_line(line)
        self.assertIs(follower.catalog, held)

    def test_retry_delays_of_many_followers_spread(self) -> None:
        """Guards against gateways that failed together and retry at the same time."""
        followers = [FeedFollower(Catalog(), random.Random(n)) for n in range(500)]
        for attempt in range(12):
            delays = sorted(follower.record_failure() for follower in followers)
            max_delay_ms = min(MAX_RETRY_DELAY_MS, BASE_RETRY_DELAY_MS * 2**attempt)
            self.assertLessEqual(delays[-1], max_delay_ms)
            self.assertGreater(delays[0], 0.2 * max_delay_ms)
            busiest = max(
                sum(start <= delay < start + max_delay_ms / 20 for delay in delays)
                for start in (n * max_delay_ms / 20 for n in range(20))
            )
            self.assertLess(busiest, 60, "of 500 retries, in a twentieth of the time")
        newest, history = populated_catalog(), History()
        history.start(newest.epoch, newest.version)
        catch_up(followers[0], newest, history)
        self.assertLessEqual(followers[0].record_failure(), BASE_RETRY_DELAY_MS, "a success resets the delay")

    def test_a_large_snapshot_is_processed_in_short_steps(self) -> None:
        """Guards against chunks that grow with the size of the catalog."""
        newest = Catalog(epoch=1)
        edits = [Edit(Kind.TENANT, "big", Head()), Edit(Kind.PLAN, "p", Plan(1.0, 1.0))]
        newest = apply_change(newest, Change("big", tuple(edits))).catalog
        newest = apply_change(
            newest, Change("big", tuple(Edit(Kind.CLIENT, f"c{n}", Client("p")) for n in range(900)))
        ).catalog
        lines = list(snapshot_lines(newest))
        self.assertEqual(len(lines), 2 + -(-902 // 200))
        self.assertLess(max(map(len, lines)), 20_000)
        self.assertEqual(gateway_view(read_snapshot(iter(lines))), gateway_view(newest))
