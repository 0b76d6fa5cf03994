"""Datagrams: what fits, what is read, and what a hostile stream of them can do to a view."""

from __future__ import annotations

import random
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from hallhitch.membership.messages import (
    FORM,
    SIZE_MOST,
    Ack,
    Datagram,
    Nack,
    Ping,
    PingFor,
    Sync,
    Unreadable,
    decode,
    encode,
)
from hallhitch.membership.model import Record, State
from hallhitch.membership.swim import Swim, Tuning

CLUSTER = "c" * 40
NOW = 1_000.0


def long(number: int, state: State = State.ALIVE) -> Record:
    """A record as long as one may be."""
    return Record(
        f"{number:040d}",
        (1 << 63) - 1 - number,
        1 << 47,
        state,
        "[" + "f:" * 18 + "f]:65535",
        (1 << 63) - 1,
        "z" * 24,
        "v" * 24,
        (1 << 63) - 1,
    )


def machine(members: int = 64) -> Swim:
    made = Swim(long(0), CLUSTER, Tuning(members=members), random.Random(1))
    made.know([long(n) for n in range(1, 40)], NOW)
    made.start(NOW)
    return made


def view(swim: Swim) -> dict[object, tuple[int, int]]:
    return {record.key: record.order for record in swim.records()}


class Sizes(unittest.TestCase):
    """One datagram each."""

    def test_all_that_is_sent_fits_even_with_the_longest_names(self) -> None:
        """Guards against messages that are dropped for their length just where much is told."""
        swim, kinds = machine(), set[type[Datagram]]()
        for n in range(1, 20):
            swim._take(long(n, State.SUSPECT), NOW)
        swim._seeds = ("127.0.0.1:1",)
        for at in range(0, 30_000, 50):
            swim.tick(NOW + at)
            for n in (1, 2):
                swim.hear(PingFor(FORM, CLUSTER, long(n), 1, (), at, long(n + 5)), NOW + at)
                swim.hear(Sync(FORM, CLUSTER, long(n), 1, (), "", "", 0), NOW + at)
                swim.hear(Ping(FORM, CLUSTER, long(n), 1, (), at, 1), NOW + at)
            for _, message in swim.out:
                kinds.add(type(message))
                self.assertLessEqual(len(encode(message)), SIZE_MOST)
                self.assertEqual(decode(encode(message), CLUSTER), message)
            swim.out.clear()
        self.assertEqual(kinds, {Ping, Ack, Nack, PingFor, Sync})


class Hostile(unittest.TestCase):
    """What somebody else may send."""

    @given(st.binary(max_size=1_500))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_noise_is_unreadable(self, data: bytes) -> None:
        """Guards against bytes that stop the reader in any other way than by being none of ours."""
        with self.assertRaises(Unreadable):
            decode(data, CLUSTER)

    @given(st.integers(0, 400), st.integers(0, 255), st.integers(0, 60))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_a_damaged_datagram_is_dropped_or_changes_one_member_at_most(self, at: int, value: int, cut: int) -> None:
        """Guards against a flipped byte that reaches members which the datagram does not name."""
        data = bytearray(encode(Ping(FORM, CLUSTER, long(3), 9, (long(4),), 1, 1)))
        data[at % len(data)] = value
        swim = machine()
        before = view(swim)
        try:
            message = decode(bytes(data[: len(data) - cut if cut > 30 else None]), CLUSTER)
        except Unreadable:
            return
        swim.hear(message, NOW)
        changed = {key for key, order in view(swim).items() if before.get(key) != order}
        self.assertLessEqual(len(changed), 2)

    @given(st.lists(st.tuples(st.integers(1, 500), st.sampled_from(State), st.integers(0, 3)), max_size=60))
    @settings(max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
    def test_lies_grow_nothing_past_its_bounds_and_never_end_this_process(
        self, lies: list[tuple[int, State, int]]
    ) -> None:
        """Guards against memory that datagrams fill, and an accusation that is not answered."""
        swim = machine(members=50)
        for number, state, incarnation in lies:
            record = Record(f"x{number % 40}", number, incarnation, state, "127.0.0.1:9", number)
            about = Record(swim.me.name, swim.me.instance, swim.me.incarnation, state, swim.me.address, swim.me.kin)
            swim.hear(Ping(FORM, CLUSTER, long(3), 9, (record, about), 1, 1), NOW)
            swim.hear(PingFor(FORM, CLUSTER, long(3), 9, (), number, record), NOW)
        self.assertLessEqual(len(swim.members), 50)
        self.assertLessEqual(swim.news, 51)
        self.assertLessEqual(len(swim._for), 256)
        self.assertLessEqual(max((len(keys) for keys in swim._names.values()), default=0), 8)
        self.assertIs(swim.me.state, State.ALIVE)

    def test_addresses_outside_the_networks_are_not_taken_nor_sent_to(self) -> None:
        """Guards against a gateway made to send to somebody else."""
        swim = Swim(long(0), CLUSTER, Tuning(), random.Random(1), allowed=lambda address: address.startswith("["))
        swim.start(NOW)
        swim.out.clear()
        for sender, told in (
            (Record("a", 1, 0, State.ALIVE, "10.0.0.1:1", 1), long(2)),
            (long(1), Record("b", 2, 0, State.ALIVE, "10.0.0.1:1", 2)),
        ):
            swim.hear(PingFor(FORM, CLUSTER, sender, 9, (told,), 1, told), NOW)
        self.assertEqual({to for to, _ in swim.out} - {long(1).address}, set())
        self.assertNotIn(("a", 1), swim.members)
        self.assertNotIn(("b", 2), swim.members)
