"""Reads through a ballot are linearizable: a read returns whatever was acknowledged before it was requested."""

from __future__ import annotations

import asyncio

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, run_scenario
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.planes.control import state_transitions
from tests.system.control.operator_calls import replace_config


def test_read_does_not_join_a_ballot_whose_promises_may_be_older() -> None:
    """A change is acknowledged elsewhere while the ballot of a first read is open, then a second read is requested.

    The promise to the ballot of the first read is older than the change, so the second read needs a ballot of its own.
    """

    async def scenario(cluster: CoordinatorCluster) -> None:
        reader, promiser, writer = await cluster.bootstrap()
        assert await replace_config(writer, 1, "old") == 200
        await asyncio.sleep(1)
        assert reader.plane is not None and promiser.plane is not None
        handle, has_promised, may_reply = promiser.plane.handle, asyncio.Event(), asyncio.Event()

        async def reply_late(envelope: Envelope) -> Envelope:
            reply = handle(envelope)
            assert reply is not None
            promise = reply if isinstance(reply, Envelope) else await reply
            has_promised.set()
            await may_reply.wait()
            return promise

        def delay_promise(envelope: Envelope) -> object:
            """Hold back the promise to the reader until `may_reply` is set."""
            return reply_late(envelope) if envelope.HasField("prepare") else handle(envelope)

        promiser.plane.handle = delay_promise  # type: ignore[assignment, method-assign]
        cluster.partitions.add(frozenset((reader.address, writer.address)))
        first_read = asyncio.ensure_future(reader.plane.propose(state_transitions.identity, 800))
        await has_promised.wait()
        promiser.plane.handle = handle  # type: ignore[method-assign]
        assert await replace_config(writer, 2, "new") == 200
        second_read = asyncio.ensure_future(reader.plane.propose(state_transitions.identity, 800))
        await asyncio.sleep(0)
        may_reply.set()
        assert (await first_read).config_version in (1, 2)  # it was requested before the change was acknowledged
        assert (await second_read).config_version == 2

    run_scenario(scenario)
