"""Outbound calls: which replies are accepted, and which errors a failed call raises."""

import asyncio

import pytest

from hallhitch.messages.calls import CALL_KINDS
from hallhitch.messages.errors import Rejection
from hallhitch.messages.outbound_link import UNRESPONSIVE_AFTER_MS
from hallhitch.messages.peer_links import PeerLinks
from hallhitch.messages.system_pb2 import Accept, ClusterState, Envelope, StateRequest, StateUpdate
from hallhitch.node.errors import PeerCallError, RequestNotSent, RequestRejected, RequestTimeout
from tests.system.event_loops import RunTest
from tests.system.messages.loopback import (
    CALLER_ADDRESS,
    CALLER_INCARNATION,
    CLUSTER,
    LONG_TIMEOUT_MS,
    SERVER_INCARNATION,
    SHORT_TIMEOUT_MS,
    count_call,
    encode_frame,
    read_frame,
    start,
    start_scripted,
    wait_until,
)

# Invariant REPLIER: fields of the reply to call 1, and why the caller rejects it (None: accepted).
REPLIES = [
    ({}, None),
    ({"recipient_incarnation": CALLER_INCARNATION, "sender_incarnation": SERVER_INCARNATION}, None),
    ({"recipient_incarnation": CALLER_INCARNATION + 1}, Rejection.WRONG_RECIPIENT_INCARNATION),
    ({"sender": "10.0.0.9:7000"}, Rejection.WRONG_SENDER),
    ({"cluster": 5}, Rejection.WRONG_CLUSTER),
    ({"is_reply": False}, Rejection.UNEXPECTED_CALL),
]


@pytest.mark.parametrize(("fields", "reason"), REPLIES)
def test_a_caller_accepts_only_the_reply_of_the_process_that_it_called(
    run_test: RunTest, fields: dict[str, object], reason: Rejection | None
) -> None:
    async def test() -> None:
        calls: list[Envelope] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            calls.append(await read_frame(reader))
            reply = {"call_id": 1, "is_reply": True, "sender_incarnation": SERVER_INCARNATION} | fields
            writer.write(encode_frame(**reply))
            calls.append(await read_frame(reader))
            writer.write(encode_frame(call_id=2, is_reply=True, sender_incarnation=SERVER_INCARNATION + 1))
            await reader.read()
            writer.close()

        server, address = await start_scripted(serve)
        caller = PeerLinks(CLUSTER, None, CALLER_ADDRESS, CALLER_INCARNATION)
        if reason is None:
            await caller.call(address, count_call(), LONG_TIMEOUT_MS)
        with pytest.raises(RequestTimeout):
            await caller.call(address, count_call(), LONG_TIMEOUT_MS)
        # If the first reply is accepted, the second reply comes from another incarnation on the same connection.
        assert caller.traffic.rejected == {reason or Rejection.WRONG_SENDER: 1} and not caller._outbound
        first = calls[0]
        assert (first.recipient, first.recipient_incarnation, first.sender_incarnation) == (
            address,
            0,
            CALLER_INCARNATION,
        )
        assert all((call.recipient, call.recipient_incarnation) == ("", SERVER_INCARNATION) for call in calls[1:])
        caller.close()
        server.close()

    run_test(test())


def test_a_late_or_duplicate_reply_completes_no_call(run_test: RunTest) -> None:
    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_frame(reader)
            writer.write(encode_frame(call_id=1, is_reply=True))
            await read_frame(reader)
            await read_frame(reader)
            writer.write(encode_frame(call_id=2, is_reply=True) + encode_frame(call_id=3, is_reply=True) * 2)
            await read_frame(reader)
            writer.write(encode_frame(call_id=4, is_reply=True, error="fourth"))

        server, address = await start_scripted(serve)
        caller = PeerLinks(CLUSTER)
        await caller.call(address, count_call(), LONG_TIMEOUT_MS)
        with pytest.raises(RequestTimeout):
            await caller.call(address, count_call(), SHORT_TIMEOUT_MS)
        assert not (await caller.call(address, count_call(), LONG_TIMEOUT_MS)).error
        with pytest.raises(RequestRejected, match="fourth"):
            await caller.call(address, count_call(), LONG_TIMEOUT_MS)
        assert caller.traffic.rejected == {Rejection.UNMATCHED_REPLY: 2}
        caller.close()
        server.close()

    run_test(test())


@pytest.mark.parametrize("is_unresponsive", [False, True])
def test_a_timed_out_call_closes_the_connection_only_if_it_is_unresponsive(
    run_test: RunTest, is_unresponsive: bool
) -> None:
    """A short timeout of one call must not fail the other calls on the connection."""

    async def test() -> None:
        clock_ms = [0.0]
        reply: asyncio.Future[Envelope] = asyncio.get_running_loop().create_future()
        server = PeerLinks(CLUSTER, lambda envelope: reply)
        address = await start(server)
        caller = PeerLinks(CLUSTER, clock=lambda: clock_ms[0])
        pending_call = asyncio.ensure_future(
            caller.call(address, Envelope(state_request=StateRequest()), LONG_TIMEOUT_MS)
        )
        await wait_until(lambda: server.traffic.frames_received == 1)
        clock_ms[0] += UNRESPONSIVE_AFTER_MS if is_unresponsive else UNRESPONSIVE_AFTER_MS - 1
        with pytest.raises(RequestTimeout):
            await caller.call(address, count_call(), SHORT_TIMEOUT_MS)
        if is_unresponsive:
            with pytest.raises(RequestTimeout, match="the connection was closed"):
                await pending_call
        else:
            reply.set_result(Envelope(state_update=StateUpdate(endpoint_list_age_ms=1.0)))
            assert (await pending_call).state_update.endpoint_list_age_ms == 1.0
        caller.close()
        server.close()

    run_test(test())


@pytest.mark.parametrize("is_closed", [False, True])
def test_a_partly_written_call_times_out_and_a_queued_call_is_not_sent(run_test: RunTest, is_closed: bool) -> None:
    """The peer does not read: the first call is partly written, and the second is queued and never sent."""

    async def test() -> None:
        connected: asyncio.Future[asyncio.StreamWriter] = asyncio.get_running_loop().create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_frame(reader)
            writer.write(encode_frame(call_id=1, is_reply=True))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            connected.set_result(writer)

        server, address = await start_scripted(serve, limit=1024)
        caller = PeerLinks(CLUSTER)
        await caller.call(address, count_call(), LONG_TIMEOUT_MS)
        writer = await connected
        content = ClusterState(config=bytes(32 * 1024 * 1024))
        timeout_ms = LONG_TIMEOUT_MS if is_closed else SHORT_TIMEOUT_MS
        calls = [
            asyncio.ensure_future(caller.call(address, Envelope(accept=Accept(state=content)), timeout_ms)),
            asyncio.ensure_future(caller.call(address, Envelope(accept=Accept(state=content)), timeout_ms)),
        ]
        if is_closed:
            await wait_until(lambda: caller._outbound[address]._is_paused)
            writer.transport.abort()
        errors = await asyncio.gather(*calls, return_exceptions=True)
        assert [type(error) for error in errors] == [RequestTimeout, RequestNotSent]
        caller.close()
        writer.transport.abort()
        server.close()

    run_test(test())


@pytest.mark.parametrize("kind", list(CALL_KINDS))
def test_a_link_never_retries_a_call(run_test: RunTest, kind: str) -> None:
    """After a connection reset, the call raises an error and is not sent again on any connection."""

    async def test() -> None:
        received: list[str | None] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            received.append((await read_frame(reader)).WhichOneof("body"))
            writer.transport.abort()

        server, address = await start_scripted(serve)
        caller = PeerLinks(CLUSTER)
        call = Envelope()
        getattr(call, kind).SetInParent()
        with pytest.raises(PeerCallError) as raised:
            await caller.call(address, call, LONG_TIMEOUT_MS)
        for _ in range(20):
            await asyncio.sleep(0)
        assert received == [kind] and isinstance(raised.value, RequestTimeout)
        caller.close()
        server.close()

    run_test(test())
