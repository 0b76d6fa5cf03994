"""Settings and counters of the SWIM state machine."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct


class ProtocolSettings(Struct, frozen=True):
    """Intervals and bounds of the protocol; the defaults are those of `[periods]` in the settings file."""

    probe_interval_ms: float = 500.0
    reply_timeout_ms: float = 200.0  # for a direct probe, before indirect probes are requested
    indirect_probes: int = 3  # members that are asked to ping a silent one
    suspicion_multiplier: float = 4.0  # least suspicion, in probe intervals times log10 of the members
    max_suspicion_multiplier: float = 6.0  # longest suspicion, as a multiple of the least
    max_health_score: int = 8  # local health stretches probe intervals by up to this, plus one
    reconnect_interval_ms: float = 2_000.0  # between attempts to reach a failed member or a seed
    exchange_interval_ms: float = 2_000.0  # between exchanges with members whose view differs
    forget_after_ms: float = 3_600_000.0  # until a member that failed or left is removed
    max_members: int = 4_096


@dataclass(slots=True)
class ProtocolCounters:
    """Events since the start."""

    accusations: int = 0  # members that this process suspected itself
    failures: int = 0  # members that this process declared failed
    refutations: int = 0  # accusations of this process that it refuted
    conflicts: int = 0
    stalls: int = 0
    records_dropped: int = 0  # for lack of room, or from outside the allowed networks
    exchanges: int = 0
    changes: int = 0
