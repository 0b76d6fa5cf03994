"""Client of the directory for one zone: it caches an answer for its TTL and avoids addresses that have failed."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass
from typing import Final, NamedTuple

from hallhitch.lab.emulator.client_environment import ClientEnvironment
from hallhitch.lab.emulator.connection_owners import Address
from hallhitch.lab.emulator.network_paths import region_of
from hallhitch.lab.http_messages import read_message
from hallhitch.node.clock import now
from hallhitch.node.durations import parse_duration_ms

QUERY_TIMEOUT_MS: Final = 1000.0  # for one query
MAX_DIRECTORIES: Final = 3  # tried in turn for one answer
MAX_ADDRESSES: Final = 64  # used of one answer


@dataclass(frozen=True, slots=True)
class ClientLocation:
    """The region and zone of clients."""

    region: str
    zone: str
    region_number: int  # as in `NetworkPaths`


class DirectoryAnswer(NamedTuple):
    """Addresses of gateways with their TTL."""

    addresses: list[str]
    ttl_ms: float


class DirectoryClient:
    """Caches the newest answer of the directory and tracks which of its addresses have failed since."""

    def __init__(self, environment: ClientEnvironment, location: ClientLocation, ttl_factor: float) -> None:
        """`ttl_factor` multiplies the time for which an answer is used."""
        self.addresses: list[str] = []
        self.failed_addresses: set[str] = set()
        self._environment = environment
        self._location = location
        self._ttl_factor = ttl_factor
        self._valid_until_ms = 0.0
        self._resolve_lock = asyncio.Lock()

    async def resolve(self, host: str) -> list[str]:
        """Return the addresses that have not failed, or all of them if every one has."""
        async with self._resolve_lock:
            if now() >= self._valid_until_ms:
                await self._refresh(host)
        return [address for address in self.addresses if address not in self.failed_addresses] or self.addresses

    def is_outdated(self, address: str) -> bool:
        """Return whether the newest answer no longer contains an address."""
        return bool(self.addresses) and address not in self.addresses

    async def _refresh(self, host: str) -> None:
        environment = self._environment
        for directory in list(environment.directories[self._location.region])[:MAX_DIRECTORIES]:
            with contextlib.suppress(OSError, EOFError, ValueError, TimeoutError, KeyError):
                async with asyncio.timeout(QUERY_TIMEOUT_MS / 1000):
                    answer = await self._query(directory, host)
                self.addresses, self.failed_addresses = answer.addresses, set()
                self._valid_until_ms = now() + answer.ttl_ms * self._ttl_factor
                return
        environment.counters["directory failed"] += 1

    async def _query(self, address: Address, host: str) -> DirectoryAnswer:
        environment, location = self._environment, self._location
        reader, writer = await asyncio.open_connection(*address)
        try:
            delay_ms = environment.network.delay_ms(location.region_number, region_of(address[0]))
            await asyncio.sleep(2 * (delay_ms / 1000))
            writer.write(
                f"GET /hallhitch/resolve?name={host}&region={location.region}&zone={location.zone} HTTP/1.1\r\n"
                f"Host: {address[0]}:{address[1]}\r\n\r\n".encode()
            )
            status_line, _, body = await read_message(reader)
            if status_line.split()[1] != "200":
                raise ValueError(status_line)
            document = json.loads(body)
            ttl_ms = min(environment.max_ttl_ms, parse_duration_ms(document["ttl"]))
            return DirectoryAnswer(list(document["addresses"])[:MAX_ADDRESSES], ttl_ms)
        finally:
            writer.close()
