"""The directory as clients of one zone use it: an answer is kept for its time, addresses that failed are avoided."""

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

QUERY_TIMEOUT_MS: Final = 1000.0  # of one directory
MAX_DIRECTORIES: Final = 3  # that are tried for one answer
MAX_ADDRESSES: Final = 64  # of an answer that are used


@dataclass(frozen=True, slots=True)
class ClientLocation:
    """Where clients are."""

    region: str
    zone: str
    region_number: int  # in the network paths


class DirectoryAnswer(NamedTuple):
    """Addresses of gateways and how long they are valid."""

    addresses: list[str]
    ttl_ms: float


class DirectoryClient:
    """The newest answer of the directory, and which of its addresses failed since."""

    def __init__(self, environment: ClientEnvironment, location: ClientLocation, ttl_factor: float) -> None:
        """`ttl_factor` multiplies how long an answer is used."""
        self.addresses: list[str] = []
        self.failed_addresses: set[str] = set()
        self._environment = environment
        self._location = location
        self._ttl_factor = ttl_factor
        self._valid_until_ms = 0.0
        self._resolving = asyncio.Lock()

    async def resolve(self, host: str) -> list[str]:
        """Return the addresses to choose from: those that have not failed, or all where each has."""
        async with self._resolving:
            if now() >= self._valid_until_ms:
                await self._renew(host)
        return [address for address in self.addresses if address not in self.failed_addresses] or self.addresses

    def is_outdated(self, address: str) -> bool:
        """Return whether the newest answer leaves out an address."""
        return bool(self.addresses) and address not in self.addresses

    async def _renew(self, host: str) -> None:
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
