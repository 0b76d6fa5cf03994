"""How a replica without a usable data directory gets a state: from other replicas, or by bootstrapping a new cluster.

Invariants.
- *Durable before voting*: a recovered state or a bootstrap state is on the disk before the replica votes.
- *Sufficient reports*: a replica continues only from reports that `recovery_quorum` finds sufficient.
- *Never in use*: a cluster is bootstrapped again only if all its members report that they have never voted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from hallhitch.messages.system_pb2 import AcceptorQuery, AcceptorReport
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.planes.control.acceptor import DurableAcceptor
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.membership import Membership, initial_state
from hallhitch.planes.control.recovery_quorum import RecoveryQuorum

EXTRA_REPORTS_WAIT_MS: Final = 50.0  # for further reports once they are sufficient: these may have a newer state

QueryPeer = Callable[[str, AcceptorQuery], Awaitable[AcceptorReport | None]]


class StateRecovery:
    """Bootstraps or recovers the state of one replica.

    `other_replicas` returns the addresses to query. `query_peer` returns the report of a replica, or None if it does
    not answer.
    """

    def __init__(
        self,
        acceptor: DurableAcceptor,
        other_replicas: Callable[[], frozenset[str]],
        query_peer: QueryPeer,
        clock: Callable[[], float],
    ) -> None:
        self._acceptor, self._other_replicas, self._query_peer = acceptor, other_replicas, query_peer
        self._clock = clock
        self._address = acceptor.state.address
        self._log = ComponentLogger("recovery")
        self._failure_log = RateLimitedLog(self._log)

    async def bootstrap_cluster(self, members: tuple[str, ...]) -> bool:
        """Bootstrap a cluster with these members; return whether its state was written to the disk."""
        return await self._install(AcceptorState(self._address, state=initial_state(members)))

    async def bootstrap_single_member(self) -> None:
        """Bootstrap a cluster with this machine as its only member."""
        self._log.warning("bootstrapping a cluster with this machine as the only member, no other coordinator is known")
        await self.bootstrap_cluster((self._address,))

    async def recover(self, seeds: tuple[str, ...], *, may_bootstrap: bool) -> None:
        """Query the other replicas in two passes and continue from their reports, if these suffice.

        If they prove that the cluster of these `seeds` was never in use, bootstrap it again, if that is allowed.
        """
        first_pass = RecoveryQuorum(self._address)
        await self._collect_reports(first_pass)
        if not first_pass.is_sufficient():
            if may_bootstrap and self._acceptor.state.has_never_voted:
                await self._bootstrap_again(first_pass.unused_members(seeds))
            return
        second_pass = RecoveryQuorum(self._address, first_pass.next_incarnation())
        await self._collect_reports(second_pass)
        if not second_pass.is_sufficient() or not self._acceptor.state.is_recovering:
            return
        if await self._install(second_pass.recovered_state()):
            self._log.info("state recovered from other replicas", incarnation=second_pass.incarnation)

    async def _bootstrap_again(self, members: tuple[str, ...]) -> None:
        """Bootstrap a cluster that was never in use; no members if that is not certain."""
        if members and await self.bootstrap_cluster(members):
            self._log.warning("bootstrapped again, no member has ever voted", members=members)

    async def _install(self, state: AcceptorState) -> bool:
        try:
            await self._acceptor.install(state)
        except OSError as error:
            self._failure_log.warning(self._clock(), "state cannot be written", error=error)
            return False
        return True

    async def _collect_reports(self, quorum: RecoveryQuorum) -> None:
        """Query all replicas, and the members of newer states as these are reported, until the reports suffice."""
        queried = frozenset[str]()
        calls: dict[asyncio.Task[AcceptorReport | None], str] = {}
        query = AcceptorQuery(address=self._address, incarnation=quorum.incarnation)
        try:
            while True:
                known = self._other_replicas() | Membership.from_state(quorum.newest_state()).all_members
                for replica in sorted(known - queried - {self._address}):
                    calls[asyncio.ensure_future(self._query_peer(replica, query))] = replica
                queried |= known
                if not calls:
                    return
                timeout_s = EXTRA_REPORTS_WAIT_MS / 1000 if quorum.is_sufficient() else None
                done, _ = await asyncio.wait(calls, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
                if not done:
                    return
                for call in done:
                    report, replica = call.result(), calls.pop(call)
                    if report is not None:
                        quorum.add_report(replica, report)
        finally:
            for call in calls:
                call.cancel()
