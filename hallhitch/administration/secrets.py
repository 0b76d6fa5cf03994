"""Secrets: made, hashed, checked, and sealed where an answer that holds one must be repeated.

Nothing here is in the store but hashes and sealed answers. The key of both is a file of its own beside the store,
which backups do not hold.
"""

from __future__ import annotations

import asyncio
import hmac
import os
import secrets
from collections import OrderedDict
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from hashlib import blake2b
from pathlib import Path
from typing import TypeVar

from argon2 import PasswordHasher
from argon2.exceptions import Argon2Error, InvalidHashError
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from hallhitch.administration.store import StoreError
from hallhitch.catalog.model import Scope, Verifier

KEY_FILE, KEYED_HASH_PREFIX = "key", "keyed:"
T = TypeVar("T")
MAX_CACHED_SECRETS = 4_096  # checked secrets remembered, so that argon2 is paid once a process and credential
MAX_QUEUED_CHECKS = 64  # checks by argon2 that may wait at once
# RFC 9106 names 64 MiB for people's passwords. These secrets are 256 random bits, which nobody guesses; the cost only
# has to keep a stolen store useless, and each check costs this service its time: OWASP's least (19 MiB, 2 passes).
PASSWORD_HASHER = PasswordHasher(time_cost=2, memory_cost=19_456, parallelism=1)


class CheckQueueFull(Exception):
    """Too many checks wait already."""


def new_secret() -> str:
    """256 random bits, as 43 characters."""
    return secrets.token_urlsafe(32)


class ServiceKeys:
    """The file with the key: what client keys are hashed with and answers are sealed by."""

    def __init__(self, master: bytes) -> None:
        self._pepper = blake2b(master, person=b"hh-client-key").digest()
        self._seal = AESGCM(blake2b(master, person=b"hh-seal-answer", digest_size=32).digest())
        self.key_id = blake2b(master, person=b"hh-which-key", digest_size=8).hexdigest()  # tells which key a store has

    @classmethod
    def create(cls, folder: Path) -> ServiceKeys:
        """Make the file; one that is there stays."""
        path = folder / KEY_FILE
        if path.exists():
            return cls.read(folder)
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with os.fdopen(handle, "w") as file:
            file.write(secrets.token_hex(32) + "\n")
            file.flush()
            os.fsync(file.fileno())
        return cls.read(folder)

    @classmethod
    def read(cls, folder: Path) -> ServiceKeys:
        """Read the file."""
        path = folder / KEY_FILE
        try:
            master = bytes.fromhex(path.read_text().strip())
        except (OSError, ValueError) as error:
            raise StoreError(f"{path}: {error}") from error
        if len(master) != 32:
            raise StoreError(f"{path}: 64 hexadecimal digits make a key")
        return cls(master)

    def hash_client_key(self, secret: str) -> str:
        """A client key's hash. One pass is enough where nothing can be guessed, and gateways check it each time."""
        return KEYED_HASH_PREFIX + blake2b(secret.encode(), key=self._pepper, digest_size=32).hexdigest()

    def seal(self, body: bytes, place: str) -> bytes:
        """Encrypt an answer, bound to its place."""
        nonce = os.urandom(12)
        return nonce + self._seal.encrypt(nonce, body, place.encode())

    def unseal(self, sealed: bytes, place: str) -> bytes:
        """Decrypt an answer; StoreError where it was sealed by another key or for another place."""
        try:
            return self._seal.decrypt(sealed[:12], sealed[12:], place.encode())
        except InvalidTag as error:
            raise StoreError(f"the answer kept for {place} does not open with this key") from error


class SecretChecker:
    """Checks secrets against verifiers, in threads of its own; a checked one is remembered by a keyed hash."""

    def __init__(self, keys: ServiceKeys, threads: int = 2) -> None:
        self._keys = keys
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="argon2")
        self._salt = os.urandom(32)
        # By a verifier's hash: the hash of the secret that fitted it, keyed by this process.
        self._verified: OrderedDict[str, bytes] = OrderedDict()
        self._queued = 0
        self._dummy_hash = PASSWORD_HASHER.hash(new_secret())

    async def hash(self, scope: Scope, secret: str) -> str:
        """What to keep of a secret."""
        if scope is Scope.CLIENT:
            return self._keys.hash_client_key(secret)
        return await self._run(PASSWORD_HASHER.hash, secret)

    def is_cached(self, verifiers: list[Verifier], secret: str) -> bool:
        """Whether the secret is one of these verifiers', as far as can be told without argon2."""
        told = self._cache_entry(secret)
        for verifier in verifiers:
            if verifier.hash.startswith(KEYED_HASH_PREFIX):
                if hmac.compare_digest(verifier.hash, self._keys.hash_client_key(secret)):
                    return True
            elif (known := self._verified.get(verifier.hash)) is not None and hmac.compare_digest(known, told):
                self._verified.move_to_end(verifier.hash)
                return True
        return False

    async def check(self, verifiers: list[Verifier], secret: str) -> bool:
        """Whether the secret is one of these verifiers'. With none it takes as long as with one that does not fit."""
        if self.is_cached(verifiers, secret):
            return True
        slow = [v.hash for v in verifiers if not v.hash.startswith(KEYED_HASH_PREFIX)]
        for kept in slow or [self._dummy_hash]:
            if await self._run(_matches, kept, secret) and slow:
                self._verified[kept] = self._cache_entry(secret)
                while len(self._verified) > MAX_CACHED_SECRETS:
                    self._verified.popitem(last=False)
                return True
        return False

    def _cache_entry(self, secret: str) -> bytes:
        return blake2b(secret.encode(), key=self._salt, digest_size=32).digest()

    async def _run(self, call: Callable[..., T], *values: str) -> T:
        if self._queued >= MAX_QUEUED_CHECKS:
            raise CheckQueueFull
        self._queued += 1
        try:
            return await asyncio.get_running_loop().run_in_executor(self._pool, call, *values)
        finally:
            self._queued -= 1

    def close(self) -> None:
        """End the threads."""
        self._pool.shutdown(wait=False, cancel_futures=True)


def _matches(kept: str, secret: str) -> bool:
    try:
        return PASSWORD_HASHER.verify(kept, secret)
    except (Argon2Error, InvalidHashError):
        return False
