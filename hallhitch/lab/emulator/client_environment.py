"""What all emulated clients share."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from hallhitch.lab.emulator.connection_owners import Address
from hallhitch.lab.emulator.network_paths import NetworkPaths
from hallhitch.lab.emulator.records import Records


@dataclass(slots=True)
class ClientEnvironment:
    """What all clients of an emulator share. `gateway_names` are those of machines by frontend address."""

    records: Records
    network: NetworkPaths
    directories: Mapping[str, Sequence[Address]]  # by region: nearest first
    gateway_names: Mapping[str, str]
    max_ttl_ms: float
    is_reading: Callable[[str], bool] = lambda address: True  # whether the process at an address reads what comes
    request_ids: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    counters: Counter[str] = field(default_factory=Counter)
