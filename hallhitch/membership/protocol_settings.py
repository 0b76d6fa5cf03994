"""Settings and counters of the SWIM state machine."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct


class ProtocolSettings(Struct, frozen=True):
    """Intervals and limits of the protocol; the defaults equal those of `[periods]` in the settings file."""

    probe_interval_ms: float = 500.0
    reply_timeout_ms: float = 200.0  # for a direct probe, before indirect probes are requested
    indirect_probes: int = 3  # members that are asked to ping a member that did not reply
    suspicion_multiplier: float = 4.0  # minimum suspicion time-out, in probe intervals times log10 of the member count
    max_suspicion_multiplier: float = 6.0  # maximum suspicion time-out, as a multiple of the minimum
    max_health_score: int = 8  # local health multiplies probe intervals by at most this plus 1
    reconnect_interval_ms: float = 2_000.0  # between attempts to reach a failed member or a seed
    exchange_interval_ms: float = 2_000.0  # minimum time between view exchanges with members whose view differs
    forget_after_ms: float = 3_600_000.0  # how long a member that failed or left is kept
    max_members: int = 4_096  # records of other members


@dataclass(slots=True)
class ProtocolCounters:
    """Number of events since the start."""

    accusations: int = 0  # members that this process suspected itself
    failures: int = 0  # members that this process declared failed
    refutations: int = 0  # accusations of this process that it refuted
    conflicts: int = 0  # names found to be used by several gateways
    stalls: int = 0  # times that this process was stalled for longer than a probe interval
    records_dropped: int = 0  # for lack of room, or because their address is in none of the allowed networks
    exchanges: int = 0  # view exchanges that this process started
    changes: int = 0  # changes of members' states
