"""Requests of a proposer to the replicas, including its own; answers are queued in the order of their arrival.

Owns the task of each call until the task has ended or is cancelled.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.errors import PeerCallError
from hallhitch.planes.control.acceptor import DurableAcceptor

PeerCall = Callable[[str, Envelope, float], Awaitable[Envelope]]  # address, request, timeout in ms


@dataclass(frozen=True, slots=True)
class MemberAnswer:
    """The answer of one replica; the envelope has no body if the call failed."""

    member: str
    envelope: Envelope

    @property
    def is_refusal(self) -> bool:
        """Whether the replica refused because it knows a higher ballot."""
        if self.envelope.HasField("promise"):
            promise = self.envelope.promise
            return not promise.ok and not promise.is_recovering
        if self.envelope.HasField("accepted"):
            accepted = self.envelope.accepted
            return not accepted.ok and not accepted.is_recovering
        return False


class MemberCalls:
    """Calls to replicas by address."""

    def __init__(self, acceptor: DurableAcceptor, call_peer: PeerCall) -> None:
        self._acceptor, self._call_peer = acceptor, call_peer
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, member: str, request: Envelope, timeout_ms: float, answers: asyncio.Queue[MemberAnswer]) -> None:
        """Call a replica in the background and put its answer into the queue."""
        task = asyncio.ensure_future(self._call(member, request, timeout_ms, answers))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all calls in progress."""
        for task in list(self._tasks):
            task.cancel()

    async def _call(
        self, member: str, request: Envelope, timeout_ms: float, answers: asyncio.Queue[MemberAnswer]
    ) -> None:
        try:
            if member == self._acceptor.state.address:
                answer = await self._acceptor.handle(request)
            else:
                answer = await self._call_peer(member, request, timeout_ms)
        except PeerCallError:
            answer = Envelope()
        answers.put_nowait(MemberAnswer(member, answer))
