"""Calls between our processes: whose answer is whose, what is never done twice, what a caller is told."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine

import pytest
import uvloop

from hallhitch.messages.calls import CALLS, Repetition, repeatable
from hallhitch.messages.frames import HEADER, PIECE_MOST, FrameQueue, FrameReader, Outgoing, Rejection
from hallhitch.messages.link import DEAF, Links, cluster_number
from hallhitch.messages.system_pb2 import (
    Accept,
    ClusterState,
    CountRequest,
    CountResponse,
    Envelope,
    StateRequest,
    StateUpdate,
)
from hallhitch.node.errors import PeerCallError, RequestNotSent, RequestRejected, RequestTimeout
from hallhitch.node.logs import ComponentLogger, format_fields

HERE, THERE = 11, 22  # incarnations of a caller and of a server
LONG = bytes(20 * PIECE_MOST)


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def run(request: pytest.FixtureRequest) -> Callable[[Coroutine[None, None, None]], None]:
    def whole(test: Coroutine[None, None, None]) -> None:
        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(asyncio.wait_for(test, 20))

    return whole


Run = Callable[[Coroutine[None, None, None]], None]


async def serving(links: Links) -> str:
    await links.serve("127.0.0.1:0")
    assert links._server is not None
    return f"127.0.0.1:{links._server.sockets[0].getsockname()[1]}"


class Recorder:
    """A handler that counts each tenant and answers with what it was told."""

    def __init__(self) -> None:
        self.served: Counter[str] = Counter()

    def __call__(self, envelope: Envelope) -> Envelope:
        self.served[envelope.count_request.tenant] += 1
        return Envelope(count_response=CountResponse(is_lease_holder=True))


def frame(**fields: object) -> bytes:
    """One frame of the cluster "x" with a call of the caller."""
    envelope = Envelope(cluster=cluster_number("x"), sender_incarnation=HERE, count_request=CountRequest(tenant="t"))
    for name, value in fields.items():
        setattr(envelope, name, value)
    data = envelope.SerializeToString()
    return len(data).to_bytes(HEADER, "big") + data


async def read_frame(reader: asyncio.StreamReader) -> Envelope:
    size = int.from_bytes(await reader.readexactly(HEADER), "big")
    return Envelope.FromString(await reader.readexactly(size))


async def until(true: Callable[[], bool]) -> None:
    while not true():
        await asyncio.sleep(0)


def test_answers_come_in_any_order_to_those_who_asked(run: Run) -> None:
    async def test() -> None:
        held: list[asyncio.Future[Envelope]] = []

        def handle(envelope: Envelope) -> asyncio.Future[Envelope]:
            future: asyncio.Future[Envelope] = asyncio.get_running_loop().create_future()
            held.append(future)
            if len(held) == 3:  # the last comes first
                for n, waiting in reversed(list(enumerate(held))):
                    waiting.set_result(Envelope(count_response=CountResponse(is_lease_holder=True, total=n)))
            return future

        server, caller = Links("x", handle), Links("x")
        address = await serving(server)
        answers = await asyncio.gather(
            *(caller.call(address, Envelope(count_request=CountRequest(tenant=str(n))), 10_000) for n in range(3))
        )
        assert [a.count_response.total for a in answers] == [0, 1, 2]
        assert len(server.incoming) == 1
        ours, theirs = caller.traffic, server.traffic
        assert (ours.sent, ours.received) == (theirs.received, theirs.sent) and ours.sent > 0 < ours.received
        assert ours.frames_sent == ours.frames_received == 3 == theirs.frames_received
        caller.close()
        server.close()

    run(test())


def test_failures_say_what_is_known(run: Run) -> None:
    async def test() -> None:
        def handle(envelope: Envelope) -> Envelope:
            if envelope.HasField("state_request"):
                raise ValueError("no")
            return Envelope(error="would not")

        server, caller = Links("x", handle), Links("x")
        address = await serving(server)
        for ask in (Envelope(state_request=StateRequest()), Envelope(count_request=CountRequest())):
            with pytest.raises(RequestRejected):
                await caller.call(address, ask, 10_000)
        server.close()
        with pytest.raises(RequestTimeout):  # written before the end of the connection is seen
            await caller.call(address, Envelope(count_request=CountRequest()), 10_000)
        with pytest.raises(RequestNotSent):  # nobody listens any more
            await caller.call(address, Envelope(count_request=CountRequest()), 10_000)
        caller.close()

    run(test())


def test_bytes_of_others_are_dropped_and_counted(run: Run) -> None:
    async def test() -> None:
        server, other = Links("x", lambda e: Envelope()), Links("y")
        address = await serving(server)
        host, port = address.rsplit(":", 1)
        for junk in (b"GET / HTTP/1.1\r\n\r\n", b"\xff\xff\xff\xff", b"\0\0\0\x03abc"):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(junk)
            with pytest.raises(ConnectionError):
                if not await reader.read(1):
                    raise ConnectionError
            writer.close()
        with pytest.raises(RequestTimeout):
            await other.call(address, Envelope(count_request=CountRequest()), 10_000)
        assert server.traffic.rejected.total() == 4
        other.close()
        server.close()

    run(test())


# Invariant Addressee, invariant Once.
FRAMES = [
    ([{}], 1, None, False),
    ([{"recipient_incarnation": THERE}], 1, None, False),
    ([{"recipient": "10.0.0.9:7000"}], 0, Rejection.OTHER_ADDRESS, True),
    ([{"recipient_incarnation": THERE - 1}], 0, Rejection.OTHER_INCARNATION, True),
    ([{"cluster": 5}], 0, Rejection.OTHER_CLUSTER, True),
    ([{"is_reply": True}], 0, Rejection.NOT_A_CALL, True),
    ([{}, {"call_id": 2, "sender_incarnation": HERE + 1}], 1, Rejection.OTHER_SENDER, True),
    ([{}, {}], 1, Rejection.REPEATED_CALL, False),  # doubled
    ([{"call_id": 2}, {"call_id": 1}], 1, Rejection.REPEATED_CALL, False),  # late
]


@pytest.mark.parametrize(("frames", "served", "reason", "ends"), FRAMES)
def test_a_call_is_served_once_and_only_by_whom_it_is_for(
    run: Run, frames: list[dict[str, object]], served: int, reason: Rejection | None, ends: bool
) -> None:
    async def test() -> None:
        recorder = Recorder()
        server = Links("x", recorder, "10.0.0.2:7000", THERE)
        address = await serving(server)
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"".join(frame(**{"call_id": 1} | fields) for fields in frames))
        await until(lambda: server.traffic.frames_received == len(frames))
        assert recorder.served.total() == served
        assert server.traffic.rejected == (Counter({reason: 1}) if reason else Counter())
        if ends:
            await until(lambda: not server.incoming)
        else:
            writer.write(frame(call_id=9))
            await until(lambda: recorder.served.total() == served + 1)
        writer.close()
        server.close()

    run(test())


def test_a_replay_on_another_connection_and_a_cut_frame_are_not_served(run: Run) -> None:
    async def test() -> None:
        recorder = Recorder()
        server = Links("x", recorder, "10.0.0.2:7000", THERE)
        host, port = (await serving(server)).rsplit(":", 1)
        for data, frames in ((frame(call_id=1), 1), (frame(call_id=1), 2), (frame(call_id=2)[:-1], 2)):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await until(lambda frames=frames: server.traffic.frames_received == frames)  # type: ignore[misc]
            writer.close()
            await until(lambda: not server.incoming)
        assert recorder.served.total() == 1
        assert server.traffic.rejected == {Rejection.REPEATED_CALL: 1}
        server.close()

    run(test())


def test_a_flood_of_rejected_frames_is_one_line_a_second(run: Run, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        at = [0.0]
        server = Links("x", Recorder(), "10.0.0.2:7000", THERE, lambda: at[0])
        lines: list[str] = []
        monkeypatch.setattr(
            ComponentLogger, "warning", lambda logger, event, **fields: lines.append(event + format_fields(fields))
        )
        host, port = (await serving(server)).rsplit(":", 1)
        _, writer = await asyncio.open_connection(host, int(port))
        for moment, count in ((0.0, 101), (1000.0, 201)):
            at[0] = moment
            writer.write(frame(call_id=1) * (101 if not moment else 100))
            await until(lambda count=count: server.traffic.frames_received == count)  # type: ignore[misc]
        assert server.traffic.rejected == {Rejection.REPEATED_CALL: 200} and len(lines) == 2
        writer.close()
        server.close()

    run(test())


# Invariant Answerer: what a caller makes of an answer to its call 1.
ANSWERS = [
    ({}, None),
    ({"recipient_incarnation": HERE, "sender_incarnation": THERE}, None),
    ({"recipient_incarnation": HERE + 1}, Rejection.OTHER_INCARNATION),
    ({"sender": "10.0.0.9:7000"}, Rejection.OTHER_SENDER),
    ({"cluster": 5}, Rejection.OTHER_CLUSTER),
    ({"is_reply": False}, Rejection.NOT_AN_ANSWER),
]


@pytest.mark.parametrize(("fields", "reason"), ANSWERS)
def test_a_caller_takes_only_the_answer_of_whom_it_called(
    run: Run, fields: dict[str, object], reason: Rejection | None
) -> None:
    async def test() -> None:
        calls: list[Envelope] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            calls.append(await read_frame(reader))
            writer.write(frame(**{"call_id": 1, "is_reply": True, "sender_incarnation": THERE} | fields))
            calls.append(await read_frame(reader))
            writer.write(frame(call_id=2, is_reply=True, sender_incarnation=THERE + 1))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        caller = Links("x", None, "10.0.0.1:7000", HERE)
        if reason is None:
            await caller.call(address, Envelope(count_request=CountRequest()), 10_000)
        with pytest.raises(RequestTimeout):
            await caller.call(address, Envelope(count_request=CountRequest()), 10_000)
        # Where the first answer is good, the second comes from another incarnation on the same connection.
        assert caller.traffic.rejected == {reason or Rejection.OTHER_SENDER: 1} and not caller._callers
        assert (calls[0].recipient, calls[0].recipient_incarnation, calls[0].sender_incarnation) == (address, 0, HERE)
        assert all((one.recipient, one.recipient_incarnation) == ("", THERE) for one in calls[1:])
        caller.close()
        server.close()

    run(test())


def test_a_late_or_doubled_answer_is_nobodys(run: Run) -> None:
    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_frame(reader)
            writer.write(frame(call_id=1, is_reply=True))
            await read_frame(reader)
            await read_frame(reader)
            writer.write(frame(call_id=2, is_reply=True) + frame(call_id=3, is_reply=True) * 2)
            await read_frame(reader)
            writer.write(frame(call_id=4, is_reply=True, error="fourth"))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        caller = Links("x")
        await caller.call(address, Envelope(count_request=CountRequest()), 10_000)
        with pytest.raises(RequestTimeout):
            await caller.call(address, Envelope(count_request=CountRequest()), 5)
        assert not (await caller.call(address, Envelope(count_request=CountRequest()), 10_000)).error
        with pytest.raises(RequestRejected, match="fourth"):
            await caller.call(address, Envelope(count_request=CountRequest()), 10_000)
        assert caller.traffic.rejected == {Rejection.NOBODY_WAITS: 2}
        caller.close()
        server.close()

    run(test())


@pytest.mark.parametrize("deaf", [False, True])
def test_a_connection_ends_only_if_nothing_at_all_came_on_it_for_long(run: Run, deaf: bool) -> None:
    """A call given up early takes no other call with it."""

    async def test() -> None:
        at = [0.0]
        held: asyncio.Future[Envelope] = asyncio.get_running_loop().create_future()
        server = Links("x", lambda e: held)
        address = await serving(server)
        caller = Links("x", clock=lambda: at[0])
        other = asyncio.ensure_future(caller.call(address, Envelope(state_request=StateRequest()), 10_000))
        await until(lambda: server.traffic.frames_received == 1)
        at[0] += DEAF if deaf else DEAF - 1
        with pytest.raises(RequestTimeout):
            await caller.call(address, Envelope(count_request=CountRequest()), 5)
        if deaf:
            with pytest.raises(RequestTimeout, match="the connection ended"):
                await other
        else:
            held.set_result(Envelope(state_update=StateUpdate(endpoint_list_age_ms=1.0)))
            assert (await other).state_update.endpoint_list_age_ms == 1.0
        caller.close()
        server.close()

    run(test())


@pytest.mark.parametrize("ends", [False, True])
def test_what_was_not_handed_over_is_not_sent_and_what_was_in_part_is_silent(run: Run, ends: bool) -> None:
    """Behind a peer that reads nothing: the first call is partly written, the next waits for room and is never sent."""

    async def test() -> None:
        connected: asyncio.Future[asyncio.StreamWriter] = asyncio.get_running_loop().create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_frame(reader)
            writer.write(frame(call_id=1, is_reply=True))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            connected.set_result(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        caller = Links("x")
        await caller.call(address, Envelope(count_request=CountRequest()), 10_000)
        writer = await connected
        content = ClusterState(config=bytes(32 * 1024 * 1024))
        wait = 10_000 if ends else 5
        calls = [
            asyncio.ensure_future(caller.call(address, Envelope(accept=Accept(state=content)), wait)),
            asyncio.ensure_future(caller.call(address, Envelope(accept=Accept(state=content)), wait)),
        ]
        if ends:
            await until(lambda: caller._callers[address]._paused)
            writer.transport.abort()
        errors = await asyncio.gather(*calls, return_exceptions=True)
        assert [type(error) for error in errors] == [RequestTimeout, RequestNotSent]
        caller.close()
        writer.transport.abort()
        server.close()

    run(test())


def test_a_short_call_passes_a_long_one_that_is_under_way(run: Run) -> None:
    async def test() -> None:
        order: list[str] = []

        def handle(envelope: Envelope) -> Envelope:
            order.append(envelope.WhichOneof("body") or "")
            return Envelope(count_response=CountResponse(is_lease_holder=True))

        server, caller = Links("x", handle), Links("x")
        address = await serving(server)
        long = Envelope(accept=Accept(state=ClusterState(config=bytes(16 * 1024 * 1024))))
        await asyncio.gather(
            caller.call(address, long, 10_000),
            caller.call(address, Envelope(count_request=CountRequest(tenant="t")), 10_000),
        )
        assert order == ["count_request", "accept"]
        caller.close()
        server.close()

    run(test())


def test_frames_come_out_as_they_went_in_however_the_stream_is_cut() -> None:
    queue, reader, stream, taken = FrameQueue(), FrameReader(), b"", []
    for data in (LONG, b"a", b"b", LONG + b"end"):
        queue.put(Outgoing(data))
    while (piece := queue.next()) is not None:
        assert len(piece.data) <= HEADER + PIECE_MOST
        stream += piece.data
    for at in range(0, len(stream), 1009):
        taken += reader.feed(stream[at : at + 1009])
    assert [(one.data, one.in_pieces) for one in taken] == [
        (b"a", False),
        (b"b", False),
        (LONG, True),
        (LONG + b"end", True),
    ]


def test_short_frames_and_pieces_take_turns_by_bytes() -> None:
    queue = FrameQueue()
    queue.put(Outgoing(LONG))
    for _ in range(40):
        queue.put(Outgoing(bytes(PIECE_MOST // 8)))
    frames = [queue.next() for _ in range(20)]
    pieces = [at for at, one in enumerate(frames) if one is not None and one.data[0] & 0x80]
    assert pieces == [8, 17]


def test_each_message_of_the_schema_is_a_call_with_its_rule_or_an_answer() -> None:
    body = {field.name for field in Envelope.DESCRIPTOR.oneofs_by_name["body"].fields}
    answers = {kind.answer for kind in CALLS.values()}
    assert body == set(CALLS) | answers and not set(CALLS) & answers
    assert all(kind.reason for kind in CALLS.values())
    assert {name for name, kind in CALLS.items() if kind.repetition is Repetition.ONCE} == {
        "accept",
        "lease_request",
        "count_request",
    }
    assert repeatable("state_request") and not repeatable("count_request")


@pytest.mark.parametrize("kind", list(CALLS))
def test_the_link_sends_no_call_twice(run: Run, kind: str) -> None:
    """A reset after a call was read: the caller is told, and nothing comes again, on this connection or another."""

    async def test() -> None:
        come: list[str | None] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            come.append((await read_frame(reader)).WhichOneof("body"))
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        caller = Links("x")
        call = Envelope()
        getattr(call, kind).SetInParent()
        with pytest.raises(PeerCallError) as told:
            await caller.call(address, call, 10_000)
        for _ in range(20):
            await asyncio.sleep(0)
        assert come == [kind] and isinstance(told.value, RequestTimeout)
        caller.close()
        server.close()

    run(test())
