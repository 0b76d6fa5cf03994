"""The RESP2 codecs and the parsing of commands, without a connection."""

from __future__ import annotations

import pytest

from hallhitch.decision import api
from hallhitch.resp.codec import MAX_ARGUMENTS, CommandReader, encode_array, encode_bulk_string, encode_error
from hallhitch.resp.commands import CommandError, TakeCommand, encode_hello, parse_take
from hallhitch.resp.counter_codec import RespCounterCodec

SETTINGS = api.Settings(1, (api.RequestClass("read", 800.0, 2000.0),), (api.Plan("basic"),))
PING = b"*1\r\n$4\r\nPING\r\n"


def feed(reader: CommandReader, data: bytes) -> list[object]:
    return reader.feed(memoryview(data))


def test_command_is_parsed_when_it_arrives_byte_by_byte() -> None:
    reader = CommandReader()
    commands = []
    for index in range(len(PING)):
        commands += feed(reader, PING[index : index + 1])
        assert reader.has_partial_command is (index < len(PING) - 1)
    assert commands == [[b"PING"]]
    assert reader.framing_error == ""


@pytest.mark.parametrize("split", range(1, 6))
def test_oversized_header_is_found_across_reads(split: int) -> None:
    reader = CommandReader()
    data = PING + b"*9999\r\n"
    boundary = len(PING) + split
    assert feed(reader, data[:boundary]) == [[b"PING"]]
    assert feed(reader, data[boundary:]) == []
    assert reader.framing_error == "too many arguments"


def test_maximum_number_of_arguments_is_accepted() -> None:
    reader = CommandReader()
    command = b"*%d\r\n" % MAX_ARGUMENTS + b"$1\r\nx\r\n" * MAX_ARGUMENTS
    assert feed(reader, command) == [[b"x"] * MAX_ARGUMENTS]
    assert reader.framing_error == ""


def test_replies_are_encoded_as_resp2() -> None:
    assert encode_array([encode_bulk_string(b"a"), encode_bulk_string(None)]) == b"*2\r\n$1\r\na\r\n$-1\r\n"
    assert encode_error("ERR two\r\nlines") == b"-ERR two lines\r\n"
    assert encode_hello(5).startswith(b"*14\r\n$6\r\nserver\r\n$9\r\nhallhitch\r\n$7\r\nversion\r\n")
    assert encode_hello(5).endswith(
        b"$5\r\nproto\r\n:2\r\n$2\r\nid\r\n:5\r\n$4\r\nmode\r\n$10\r\nstandalone\r\n"
        b"$4\r\nrole\r\n$6\r\nmaster\r\n$7\r\nmodules\r\n*0\r\n"
    )


def test_take_is_parsed() -> None:
    assert parse_take([b"shop-1", b"read", b"basic", b"2.5", b"1500"], SETTINGS) == TakeCommand(
        "shop-1", 0, 0, 2.5, 1500.0
    )


@pytest.mark.parametrize(
    ("arguments", "problem"),
    [
        ([b"a"], "wrong number of arguments for 'take' command"),
        ([b"no space", b"read", b"basic", b"1", b"1"], "customer is not"),
        ([b"a", b"write", b"basic", b"1", b"1"], "unknown class"),
        ([b"a", b"read", b"gold", b"1", b"1"], "unknown plan"),
        ([b"a", b"read", b"basic", b"x", b"1"], "units is not a number"),
        ([b"a", b"read", b"basic", b"2e9", b"1"], "units is out of range"),
        ([b"a", b"read", b"basic", b"1", b"1.5"], "deadline is not a whole number"),
        ([b"a", b"read", b"basic", b"1", b"600001"], "deadline is out of range"),
    ],
)
def test_invalid_take_is_rejected(arguments: list[bytes], problem: str) -> None:
    with pytest.raises(CommandError, match=problem):
        parse_take(arguments, SETTINGS)


def test_counter_call_is_one_transaction() -> None:
    assert RespCounterCodec().call(7, 2.5, 1_000.4) == (
        b"*1\r\n$5\r\nMULTI\r\n"
        b"*6\r\n$3\r\nSET\r\n$1\r\n7\r\n$1\r\n0\r\n$2\r\nPX\r\n$4\r\n1000\r\n$2\r\nNX\r\n"
        b"*3\r\n$11\r\nINCRBYFLOAT\r\n$1\r\n7\r\n$3\r\n2.5\r\n"
        b"*1\r\n$4\r\nEXEC\r\n"
    )


@pytest.mark.parametrize(
    ("exec_reply", "outcome"),
    [
        (b"*2\r\n+OK\r\n$3\r\n2.5\r\n", ("ok", 2.5)),
        (b"*-1\r\n", ("full", 0.0)),
        (b"-EXECABORT discarded\r\n", ("full", 0.0)),
    ],
)
def test_counter_total_is_read_from_the_reply_to_exec(exec_reply: bytes, outcome: tuple[str, float]) -> None:
    codec = RespCounterCodec()
    assert list(codec.feed(memoryview(b"+OK\r\n+QUEUED\r\n+QUEUED\r\n"))) == []
    assert codec.partial
    assert list(codec.feed(memoryview(exec_reply))) == [outcome]
    assert not codec.partial
