"""Reads through the register: what was acknowledged before a read was asked is in its answer."""

from __future__ import annotations

import asyncio

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, run_scenario
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.planes.control import state_transitions
from tests.system.control.control_fleet import replace_config


def test_a_read_does_not_join_a_ballot_whose_promises_may_be_older() -> None:
    """A read's ballot has one promise; a change is acknowledged elsewhere; then another read is asked beside it."""

    async def scene(fleet: CoordinatorCluster) -> None:
        reader, helper, writer = await fleet.bootstrap()
        assert await replace_config(writer, 1, "old") == 200
        await asyncio.sleep(1)
        assert reader.plane is not None and helper.plane is not None
        handle, arrived, held = helper.plane.handle, asyncio.Event(), asyncio.Event()

        async def answer_late(envelope: Envelope) -> Envelope:
            answer = handle(envelope)
            assert answer is not None
            promised = answer if isinstance(answer, Envelope) else await answer
            arrived.set()
            await held.wait()
            return promised

        def hold(envelope: Envelope) -> object:
            """The promise to the reader was given, and is on its way."""
            return answer_late(envelope) if envelope.HasField("prepare") else handle(envelope)

        helper.plane.handle = hold  # type: ignore[assignment, method-assign]
        fleet.partitions.add(frozenset((reader.address, writer.address)))
        first = asyncio.ensure_future(reader.plane.propose(state_transitions.identity, 800))
        await arrived.wait()
        helper.plane.handle = handle  # type: ignore[method-assign]
        assert await replace_config(writer, 2, "new") == 200
        second = asyncio.ensure_future(reader.plane.propose(state_transitions.identity, 800))
        await asyncio.sleep(0)
        held.set()
        assert (await first).config_version in (1, 2)  # it was asked before the change was acknowledged
        assert (await second).config_version == 2

    run_scenario(scene)
