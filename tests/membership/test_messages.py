"""Datagrams: their maximum size, which are accepted, and the effect of forged ones on a view."""

from __future__ import annotations

import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from hallhitch.membership.errors import DatagramError
from hallhitch.membership.messages import (
    MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
    Ack,
    Datagram,
    Nack,
    Ping,
    PingRequest,
    Sync,
    decode,
    encode,
)
from hallhitch.membership.protocol_settings import ProtocolSettings
from hallhitch.membership.records import MemberKey, MemberRecord, MemberState
from hallhitch.membership.swim import Swim

CLUSTER = "c" * 40
NOW = 1_000.0


def longest_record(number: int, state: MemberState = MemberState.ALIVE) -> MemberRecord:
    """Return a record whose fields have their maximum lengths."""
    return MemberRecord(
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


def started_swim(max_members: int = 64, seeds: tuple[str, ...] = ()) -> Swim:
    swim = Swim(longest_record(0), CLUSTER, ProtocolSettings(max_members=max_members), random.Random(1), seeds)
    swim.restore([longest_record(number) for number in range(1, 40)], NOW)
    swim.start(NOW)
    return swim


def precedences(swim: Swim) -> dict[MemberKey, tuple[int, int]]:
    return {record.key: record.precedence for record in swim.records()}


def test_all_messages_fit_one_datagram_with_the_longest_names() -> None:
    swim, kinds = started_swim(seeds=("127.0.0.1:1",)), set[type[Datagram]]()
    for number in range(1, 20):
        swim.view.merge(longest_record(number, MemberState.SUSPECT), NOW)
    for elapsed_ms in range(0, 30_000, 50):
        now = NOW + elapsed_ms
        swim.tick(now)
        for number in (1, 2):
            sender, target = longest_record(number), longest_record(number + 5)
            swim.handle_message(PingRequest(PROTOCOL_VERSION, CLUSTER, sender, 1, (), elapsed_ms, target), now)
            swim.handle_message(Sync(PROTOCOL_VERSION, CLUSTER, sender, 1, (), "", "", 0), now)
            swim.handle_message(Ping(PROTOCOL_VERSION, CLUSTER, sender, 1, (), elapsed_ms, 1), now)
        for _, message in swim.take_outgoing():
            kinds.add(type(message))
            assert len(encode(message)) <= MAX_DATAGRAM_BYTES
            assert decode(encode(message), CLUSTER) == message
    assert kinds == {Ping, Ack, Nack, PingRequest, Sync}


def test_encoding_of_a_ping_is_fixed_by_the_protocol_version() -> None:
    sender = MemberRecord("g0", 5, 2, MemberState.SUSPECT, "127.0.0.1:1", 6, "z", "v", 7)
    ping = Ping(PROTOCOL_VERSION, "c", sender, 9, (), 3, 4)
    encoded_sender = b"\x99\xa2g0\x05\x02\x01\xab127.0.0.1:1\x06\xa1z\xa1v\x07"
    assert encode(ping) == b"\x98\xa4ping\x01\xa1c" + encoded_sender + b"\x09\x90\x03\x04"


@given(st.binary(max_size=1_500))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_random_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(DatagramError):
        decode(data, CLUSTER)


@given(st.integers(0, 400), st.integers(0, 255), st.integers(0, 60))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_damaged_datagram_is_rejected_or_changes_only_the_members_it_names(
    index: int, value: int, cut_bytes: int
) -> None:
    data = bytearray(encode(Ping(PROTOCOL_VERSION, CLUSTER, longest_record(3), 9, (longest_record(4),), 1, 1)))
    data[index % len(data)] = value
    swim = started_swim()
    before = precedences(swim)
    try:
        message = decode(bytes(data[: len(data) - cut_bytes if cut_bytes > 30 else None]), CLUSTER)
    except DatagramError:
        return
    swim.handle_message(message, NOW)
    changed = {key for key, precedence in precedences(swim).items() if before.get(key) != precedence}
    assert len(changed) <= 2


@given(st.lists(st.tuples(st.integers(1, 500), st.sampled_from(MemberState), st.integers(0, 3)), max_size=60))
@settings(max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
def test_forged_records_exceed_no_bound_and_are_refuted(forged: list[tuple[int, MemberState, int]]) -> None:
    swim = started_swim(max_members=50)
    for number, state, incarnation in forged:
        record = MemberRecord(f"x{number % 40}", number, incarnation, state, "127.0.0.1:9", number)
        local = swim.local
        about_local = MemberRecord(
            local.name, local.instance, local.incarnation, state, local.address, local.gateway_id
        )
        sender, updates = longest_record(3), (record, about_local)
        swim.handle_message(Ping(PROTOCOL_VERSION, CLUSTER, sender, 9, updates, 1, 1), NOW)
        swim.handle_message(PingRequest(PROTOCOL_VERSION, CLUSTER, sender, 9, (), number, record), NOW)
    assert len(swim.members) <= 50
    assert swim.pending_updates <= 51
    assert len(swim._relay) <= 256
    names = {record.name for record in swim.records()}
    assert max(len(swim.view.table.keys_of(name)) for name in names) <= 8
    assert swim.local.state is MemberState.ALIVE


def test_addresses_outside_the_networks_are_neither_held_nor_sent_to() -> None:
    swim = Swim(
        longest_record(0),
        CLUSTER,
        ProtocolSettings(),
        random.Random(1),
        is_allowed=lambda address: address.startswith("["),
    )
    swim.start(NOW)
    swim.take_outgoing()
    outside_sender = MemberRecord("a", 1, 0, MemberState.ALIVE, "10.0.0.1:1", 1)
    outside_target = MemberRecord("b", 2, 0, MemberState.ALIVE, "10.0.0.1:1", 2)
    for sender, record in ((outside_sender, longest_record(2)), (longest_record(1), outside_target)):
        swim.handle_message(PingRequest(PROTOCOL_VERSION, CLUSTER, sender, 9, (record,), 1, record), NOW)
    assert {address for address, _ in swim.take_outgoing()} <= {longest_record(1).address}
    assert MemberKey("a", 1) not in swim.members
    assert MemberKey("b", 2) not in swim.members
