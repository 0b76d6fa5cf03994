"""Reads through a ballot are linearizable: what was acknowledged before a read was requested is in its answer."""

from __future__ import annotations

import asyncio

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, run_scenario
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.planes.control import state_transitions
from tests.system.control.operator_calls import replace_config


def test_read_does_not_join_a_ballot_whose_promises_may_be_older() -> None:
    """A read's ballot has one promise; a change is acknowledged elsewhere; then another read is requested beside it."""

    async def scenario(cluster: CoordinatorCluster) -> None:
        reader, promiser, writer = await cluster.bootstrap()
        assert await replace_config(writer, 1, "old") == 200
        await asyncio.sleep(1)
        assert reader.plane is not None and promiser.plane is not None
        handle, has_promised, may_answer = promiser.plane.handle, asyncio.Event(), asyncio.Event()

        async def answer_late(envelope: Envelope) -> Envelope:
            answer = handle(envelope)
            assert answer is not None
            promise = answer if isinstance(answer, Envelope) else await answer
            has_promised.set()
            await may_answer.wait()
            return promise

        def delay_promise(envelope: Envelope) -> object:
            """Keep the promise to the reader on its way."""
            return answer_late(envelope) if envelope.HasField("prepare") else handle(envelope)

        promiser.plane.handle = delay_promise  # type: ignore[assignment, method-assign]
        cluster.partitions.add(frozenset((reader.address, writer.address)))
        first_read = asyncio.ensure_future(reader.plane.propose(state_transitions.identity, 800))
        await has_promised.wait()
        promiser.plane.handle = handle  # type: ignore[method-assign]
        assert await replace_config(writer, 2, "new") == 200
        second_read = asyncio.ensure_future(reader.plane.propose(state_transitions.identity, 800))
        await asyncio.sleep(0)
        may_answer.set()
        assert (await first_read).config_version in (1, 2)  # it was requested before the change was acknowledged
        assert (await second_read).config_version == 2

    run_scenario(scenario)
