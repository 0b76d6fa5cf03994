"""State that all emulated clients share."""

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
    """State that all clients of an emulator share. `gateway_names` maps frontend addresses to names of machines."""

    records: Records
    network: NetworkPaths
    directories: Mapping[str, Sequence[Address]]  # by region, nearest first
    gateway_names: Mapping[str, str]
    max_ttl_ms: float
    is_reading: Callable[[str], bool] = lambda address: True  # whether the gateway at an address reads requests
    request_ids: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    counters: Counter[str] = field(default_factory=Counter)
