"""Calls between two processes: replies in any order, errors, and short calls that overtake long calls."""

import asyncio

import pytest

from hallhitch.messages.peer_links import PeerLinks
from hallhitch.messages.system_pb2 import Accept, ClusterState, CountRequest, CountResponse, Envelope, StateRequest
from hallhitch.node.errors import RequestNotSent, RequestRejected, RequestTimeout
from hallhitch.node.logs import ComponentLogger, format_fields
from tests.system.event_loops import RunTest
from tests.system.messages.loopback import CLUSTER, LONG_TIMEOUT_MS, count_call, start


def test_replies_in_any_order_reach_their_callers(run_test: RunTest) -> None:
    async def test() -> None:
        pending: list[asyncio.Future[Envelope]] = []

        def handle(envelope: Envelope) -> asyncio.Future[Envelope]:
            future: asyncio.Future[Envelope] = asyncio.get_running_loop().create_future()
            pending.append(future)
            if len(pending) == 3:  # reply in reverse order
                for number, reply in reversed(list(enumerate(pending))):
                    reply.set_result(Envelope(count_response=CountResponse(is_lease_holder=True, total=number)))
            return future

        server, caller = PeerLinks(CLUSTER, handle), PeerLinks(CLUSTER)
        address = await start(server)
        replies = await asyncio.gather(
            *(
                caller.call(address, Envelope(count_request=CountRequest(tenant=str(number))), LONG_TIMEOUT_MS)
                for number in range(3)
            )
        )
        assert [reply.count_response.total for reply in replies] == [0, 1, 2]
        assert len(server.inbound) == 1
        caller_traffic, server_traffic = caller.traffic, server.traffic
        assert (caller_traffic.bytes_sent, caller_traffic.bytes_received) == (
            server_traffic.bytes_received,
            server_traffic.bytes_sent,
        )
        assert caller_traffic.bytes_sent > 0 < caller_traffic.bytes_received
        assert caller_traffic.frames_sent == caller_traffic.frames_received == 3 == server_traffic.frames_received
        caller.close()
        server.close()

    run_test(test())


def test_the_error_of_a_failed_call_tells_whether_it_was_sent(run_test: RunTest) -> None:
    async def test() -> None:
        def handle(envelope: Envelope) -> Envelope:
            if envelope.HasField("state_request"):
                raise ValueError("no")
            return Envelope(error="would not")

        server, caller = PeerLinks(CLUSTER, handle), PeerLinks(CLUSTER)
        address = await start(server)
        for call in (Envelope(state_request=StateRequest()), count_call()):
            with pytest.raises(RequestRejected):
                await caller.call(address, call, LONG_TIMEOUT_MS)
        server.close()
        with pytest.raises(RequestTimeout):  # written before the caller notices that the connection is closed
            await caller.call(address, count_call(), LONG_TIMEOUT_MS)
        with pytest.raises(RequestNotSent):  # no process listens at the address any more
            await caller.call(address, count_call(), LONG_TIMEOUT_MS)
        caller.close()

    run_test(test())


def test_a_handler_exception_is_logged_with_the_error_that_the_caller_receives(
    run_test: RunTest, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        lines: list[str] = []
        monkeypatch.setattr(
            ComponentLogger,
            "exception",
            lambda logger, event, exception, /, **fields: lines.append(event + format_fields(fields)),
        )

        async def fail_later() -> Envelope:
            raise ValueError("later")

        def handle(envelope: Envelope) -> Envelope:
            raise ValueError("no")

        for handler, text in ((handle, "ValueError: no"), (lambda envelope: fail_later(), "ValueError: later")):
            server, caller = PeerLinks(CLUSTER, handler), PeerLinks(CLUSTER)
            address = await start(server)
            with pytest.raises(RequestRejected, match=text) as raised:
                await caller.call(address, count_call(), LONG_TIMEOUT_MS)
            assert (raised.value.step, raised.value.peer, raised.value.reason) == ("call", address, text)
            assert lines.pop() == f'call handler raised error="{text}" count=1'
            caller.close()
            server.close()

    run_test(test())


def test_a_short_call_overtakes_a_long_one_in_transit(run_test: RunTest) -> None:
    async def test() -> None:
        handled: list[str] = []

        def handle(envelope: Envelope) -> Envelope:
            handled.append(envelope.WhichOneof("body") or "")
            return Envelope(count_response=CountResponse(is_lease_holder=True))

        server, caller = PeerLinks(CLUSTER, handle), PeerLinks(CLUSTER)
        address = await start(server)
        long_call = Envelope(accept=Accept(state=ClusterState(config=bytes(16 * 1024 * 1024))))
        await asyncio.gather(
            caller.call(address, long_call, LONG_TIMEOUT_MS),
            caller.call(address, Envelope(count_request=CountRequest(tenant="t")), LONG_TIMEOUT_MS),
        )
        assert handled == ["count_request", "accept"]
        caller.close()
        server.close()

    run_test(test())
