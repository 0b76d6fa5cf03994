"""Reading back what a replica may have promised, from the others; and founding, where there never was anything.

Owns how a replica without a usable folder comes to a state. Must never found a register that others may have, and never
let a replica vote before the state read back is on its disk.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from hallhitch.messages.system_pb2 import AcceptorQuery, AcceptorReport
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.planes.control.acceptor import DurableAcceptor
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.membership import Membership, initial_state
from hallhitch.planes.control.recovery_quorum import RecoveryQuorum

GRACE_PERIOD_MS = 50.0  # ms given to more answers once they are enough: they may hold something newer

QueryPeer = Callable[[str, AcceptorQuery], Awaitable[AcceptorReport | None]]


class StateRecovery:
    """`others` tells whom to ask, `ask` asks one of them and gives None where there is no answer."""

    def __init__(
        self,
        acceptor: DurableAcceptor,
        others: Callable[[], frozenset[str]],
        ask: QueryPeer,
        clock: Callable[[], float],
    ) -> None:
        self._acceptor, self._others, self._ask, self._clock = acceptor, others, ask, clock
        self._address = acceptor.state.address
        self._log = ComponentLogger("recovery")
        self._failing = RateLimitedLog(self._log)

    async def found_cluster(self, members: tuple[str, ...]) -> bool:
        """Begin a new register with these members; whether it is on the disk."""
        return await self._become(AcceptorState(self._address, state=initial_state(members)))

    async def found_single_member(self) -> None:
        """Begin a new register with this machine as its only member."""
        self._log.warning("no other machine is known: beginning anew, alone")
        await self.found_cluster((self._address,))

    async def recover(self) -> None:
        """Read from so many others that nothing this replica voted can be missed."""
        first = RecoveryQuorum(self._address)
        await self._consult(first)
        if not first.is_sufficient():
            return
        second = RecoveryQuorum(self._address, first.next_incarnation())
        await self._consult(second)
        if not second.is_sufficient() or not self._acceptor.state.is_recovering:
            return
        if await self._become(second.recovered_state()):
            self._log.info(f"state read back from the others, incarnation {second.incarnation}")

    async def _become(self, state: AcceptorState) -> bool:
        try:
            await self._acceptor.install(state)
        except OSError as error:
            self._failing.warning(self._clock(), f"the state cannot be kept: {error}")
            return False
        return True

    async def _consult(self, recovery: RecoveryQuorum) -> None:
        """Ask all at once, by the newest members met, until the answers are enough and those met stay the same."""
        asked = frozenset[str]()
        calls: dict[asyncio.Task[AcceptorReport | None], str] = {}
        message = AcceptorQuery(address=self._address, incarnation=recovery.incarnation)
        try:
            while True:
                known = self._others() | Membership.from_state(recovery.newest_state()).all_members
                for one in sorted(known - asked - {self._address}):
                    calls[asyncio.ensure_future(self._ask(one, message))] = one
                asked |= known
                if not calls:
                    return
                wait = GRACE_PERIOD_MS / 1000 if recovery.is_sufficient() else None
                done, _ = await asyncio.wait(calls, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
                if not done:
                    return
                for call in done:
                    answer, member = call.result(), calls.pop(call)
                    if answer is not None:
                        recovery.add_report(member, answer)
        finally:
            for call in calls:
                call.cancel()
