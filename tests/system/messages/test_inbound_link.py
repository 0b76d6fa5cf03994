"""Calls from peers: which are rejected, which close the connection, and that each is handled at most once."""

from collections import Counter

import pytest

from hallhitch.messages.errors import Rejection
from hallhitch.messages.peer_links import PeerLinks
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.errors import RequestTimeout
from hallhitch.node.logs import ComponentLogger, format_fields
from tests.system.event_loops import RunTest
from tests.system.messages.loopback import (
    CALLER_INCARNATION,
    CLUSTER,
    LONG_TIMEOUT_MS,
    SERVER_ADDRESS,
    SERVER_INCARNATION,
    CountingHandler,
    connect,
    count_call,
    encode_frame,
    start,
    wait_until,
)


def test_invalid_bytes_and_other_clusters_are_dropped_and_counted(run_test: RunTest) -> None:
    async def test() -> None:
        server, foreign_caller = PeerLinks(CLUSTER, lambda envelope: Envelope()), PeerLinks("y")
        address = await start(server)
        for invalid in (b"GET / HTTP/1.1\r\n\r\n", b"\xff\xff\xff\xff", b"\0\0\0\x03abc"):
            reader, writer = await connect(address)
            writer.write(invalid)
            with pytest.raises(ConnectionError):  # noqa: PT012  the context manager is part of what is tested
                if not await reader.read(1):
                    raise ConnectionError
            writer.close()
        with pytest.raises(RequestTimeout):
            await foreign_caller.call(address, count_call(), LONG_TIMEOUT_MS)
        assert server.traffic.rejected.total() == 4
        foreign_caller.close()
        server.close()

    run_test(test())


# Invariants RECIPIENT and AT MOST ONCE: fields of the frames, handled calls, rejection, whether the connection closes.
FRAMES = [
    ([{}], 1, None, False),
    ([{"recipient_incarnation": SERVER_INCARNATION}], 1, None, False),
    ([{"recipient": "10.0.0.9:7000"}], 0, Rejection.WRONG_RECIPIENT_ADDRESS, True),
    ([{"recipient_incarnation": SERVER_INCARNATION - 1}], 0, Rejection.WRONG_RECIPIENT_INCARNATION, True),
    ([{"cluster": 5}], 0, Rejection.WRONG_CLUSTER, True),
    ([{"is_reply": True}], 0, Rejection.UNEXPECTED_REPLY, True),
    ([{}, {"call_id": 2, "sender_incarnation": CALLER_INCARNATION + 1}], 1, Rejection.WRONG_SENDER, True),
    ([{}, {}], 1, Rejection.DUPLICATE_CALL, False),  # the same call twice
    ([{"call_id": 2}, {"call_id": 1}], 1, Rejection.DUPLICATE_CALL, False),  # calls in the wrong order
]


@pytest.mark.parametrize(("frames", "handled", "reason", "is_closed"), FRAMES)
def test_a_call_is_handled_once_and_only_by_its_recipient(
    run_test: RunTest, frames: list[dict[str, object]], handled: int, reason: Rejection | None, is_closed: bool
) -> None:
    async def test() -> None:
        handler = CountingHandler()
        server = PeerLinks(CLUSTER, handler, SERVER_ADDRESS, SERVER_INCARNATION)
        _, writer = await connect(await start(server))
        writer.write(b"".join(encode_frame(**{"call_id": 1} | fields) for fields in frames))
        await wait_until(lambda: server.traffic.frames_received == len(frames))
        assert handler.handled.total() == handled
        assert server.traffic.rejected == (Counter({reason: 1}) if reason else Counter())
        if is_closed:
            await wait_until(lambda: not server.inbound)
        else:
            writer.write(encode_frame(call_id=9))
            await wait_until(lambda: handler.handled.total() == handled + 1)
        writer.close()
        server.close()

    run_test(test())


def test_a_replay_on_another_connection_and_a_truncated_frame_are_not_handled(run_test: RunTest) -> None:
    async def test() -> None:
        handler = CountingHandler()
        server = PeerLinks(CLUSTER, handler, SERVER_ADDRESS, SERVER_INCARNATION)
        address = await start(server)
        first, replay, truncated = encode_frame(call_id=1), encode_frame(call_id=1), encode_frame(call_id=2)[:-1]
        for data, frames in ((first, 1), (replay, 2), (truncated, 2)):
            _, writer = await connect(address)
            writer.write(data)
            await wait_until(lambda frames=frames: server.traffic.frames_received == frames)  # type: ignore[misc]
            writer.close()
            await wait_until(lambda: not server.inbound)
        assert handler.handled.total() == 1
        assert server.traffic.rejected == {Rejection.DUPLICATE_CALL: 1}
        server.close()

    run_test(test())


def test_a_flood_of_rejected_frames_is_logged_once_a_second(run_test: RunTest, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        clock_ms = [0.0]
        server = PeerLinks(CLUSTER, CountingHandler(), SERVER_ADDRESS, SERVER_INCARNATION, lambda: clock_ms[0])
        lines: list[str] = []
        monkeypatch.setattr(
            ComponentLogger, "warning", lambda logger, event, **fields: lines.append(event + format_fields(fields))
        )
        _, writer = await connect(await start(server))
        for moment_ms, frames in ((0.0, 101), (1000.0, 201)):
            clock_ms[0] = moment_ms
            writer.write(encode_frame(call_id=1) * (101 if not moment_ms else 100))
            await wait_until(lambda frames=frames: server.traffic.frames_received == frames)  # type: ignore[misc]
        assert server.traffic.rejected == {Rejection.DUPLICATE_CALL: 200} and len(lines) == 2
        assert all(line.startswith('message dropped reason="duplicate call" peer=') for line in lines)
        writer.close()
        server.close()

    run_test(test())
