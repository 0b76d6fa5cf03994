"""Secrets of credentials: generation, hashing, verification, and encryption of responses that hold one.

The store holds only hashes and encrypted responses. The key of both is a file of its own in the store's directory,
which backups do not contain.
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
from typing import Final, TypeVar

from argon2 import PasswordHasher
from argon2.exceptions import Argon2Error, InvalidHashError
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from hallhitch.administration.errors import CheckQueueFull, StoreError
from hallhitch.catalog.model import Scope, Verifier

KEY_FILE: Final = "key"
KEYED_HASH_PREFIX: Final = "keyed:"  # of a hash by `ServiceKeys.hash_client_key`; other hashes are argon2id's own form
MASTER_KEY_BYTES: Final = 32
NONCE_BYTES: Final = 12  # as AES-GCM takes them
MAX_CACHED_SECRETS: Final = 4_096  # verified secrets cached, so that argon2 is paid once a process and credential
MAX_QUEUED_CHECKS: Final = 64  # checks by argon2 that may wait at once
# RFC 9106 names 64 MiB for people's passwords. These secrets are 256 random bits, which nobody guesses; the cost only
# has to keep a stolen store useless, and each check costs this service its time: OWASP's least (19 MiB, 2 passes).
PASSWORD_HASHER: Final = PasswordHasher(time_cost=2, memory_cost=19_456, parallelism=1)

T = TypeVar("T")


def new_secret() -> str:
    """Generate 256 random bits, as 43 characters."""
    return secrets.token_urlsafe(32)


class ServiceKeys:
    """Keys derived from the key file: one hashes client keys, one encrypts stored responses."""

    def __init__(self, master: bytes) -> None:
        self._pepper = blake2b(master, person=b"hh-client-key").digest()
        self._seal = AESGCM(blake2b(master, person=b"hh-seal-answer", digest_size=32).digest())
        self.key_id = blake2b(master, person=b"hh-which-key", digest_size=8).hexdigest()  # not secret: names the key

    @classmethod
    def create(cls, folder: Path) -> ServiceKeys:
        """Create the key file, or read the one that exists.

        Raises:
            StoreError: The file that exists cannot be read.
        """
        path = folder / KEY_FILE
        if path.exists():
            return cls.read(folder)
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with os.fdopen(handle, "w") as file:
            file.write(secrets.token_hex(MASTER_KEY_BYTES) + "\n")
            file.flush()
            os.fsync(file.fileno())
        return cls.read(folder)

    @classmethod
    def read(cls, folder: Path) -> ServiceKeys:
        """Read the key file.

        Raises:
            StoreError: The file is missing, cannot be read or holds no key.
        """
        path = folder / KEY_FILE
        try:
            master = bytes.fromhex(path.read_text().strip())
        except (OSError, ValueError) as error:
            raise StoreError(path, error) from error
        if len(master) != MASTER_KEY_BYTES:
            raise StoreError(path, "64 hexadecimal digits make a key")
        return cls(master)

    def hash_client_key(self, secret: str) -> str:
        """Hash a client key. One pass suffices as nothing can be guessed, and gateways check it for each request."""
        return KEYED_HASH_PREFIX + blake2b(secret.encode(), key=self._pepper, digest_size=32).hexdigest()

    def seal(self, body: bytes, context: str) -> bytes:
        """Encrypt a response, bound to its context (whose, and for which call)."""
        nonce = os.urandom(NONCE_BYTES)
        return nonce + self._seal.encrypt(nonce, body, context.encode())

    def unseal(self, sealed: bytes, context: str) -> bytes:
        """Decrypt a response.

        Raises:
            StoreError: It was encrypted by another key or for another context.
        """
        try:
            return self._seal.decrypt(sealed[:NONCE_BYTES], sealed[NONCE_BYTES:], context.encode())
        except InvalidTag as error:
            raise StoreError(f"the answer kept for {context}", "does not open with this key") from error


class SecretChecker:
    """Verifies secrets in threads of its own; a verified one is cached by a hash keyed by this process."""

    def __init__(self, keys: ServiceKeys, threads: int = 2) -> None:
        self._keys = keys
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="argon2")
        self._salt = os.urandom(32)
        self._verified: OrderedDict[str, bytes] = OrderedDict()  # by argon2 hash: the secret's hash keyed by `_salt`
        self._queued = 0
        self._dummy_hash = PASSWORD_HASHER.hash(new_secret())

    async def hash(self, scope: Scope, secret: str) -> str:
        """Hash a new secret for its verifier.

        Raises:
            CheckQueueFull: Too many hashes wait already.
        """
        if scope is Scope.CLIENT:
            return self._keys.hash_client_key(secret)
        return await self._run(PASSWORD_HASHER.hash, secret)

    def is_cached(self, verifiers: list[Verifier], secret: str) -> bool:
        """Return whether the secret fits one of the verifiers, as far as can be decided without argon2."""
        cache_entry = self._cache_entry(secret)
        for verifier in verifiers:
            if verifier.hash.startswith(KEYED_HASH_PREFIX):
                if hmac.compare_digest(verifier.hash, self._keys.hash_client_key(secret)):
                    return True
                continue
            verified = self._verified.get(verifier.hash)
            if verified is not None and hmac.compare_digest(verified, cache_entry):
                self._verified.move_to_end(verifier.hash)
                return True
        return False

    async def check(self, verifiers: list[Verifier], secret: str) -> bool:
        """Return whether the secret fits one of the verifiers; without any it takes as long as with a wrong one.

        Raises:
            CheckQueueFull: Too many checks wait already.
        """
        if self.is_cached(verifiers, secret):
            return True
        hashes = [verifier.hash for verifier in verifiers if not verifier.hash.startswith(KEYED_HASH_PREFIX)]
        for hash in hashes or [self._dummy_hash]:
            if await self._run(_matches, hash, secret) and hashes:
                self._cache(hash, secret)
                return True
        return False

    def close(self) -> None:
        """Stop the threads."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _cache(self, hash: str, secret: str) -> None:
        self._verified[hash] = self._cache_entry(secret)
        while len(self._verified) > MAX_CACHED_SECRETS:
            self._verified.popitem(last=False)

    def _cache_entry(self, secret: str) -> bytes:
        return blake2b(secret.encode(), key=self._salt, digest_size=32).digest()

    async def _run(self, call: Callable[..., T], *values: str) -> T:
        if self._queued >= MAX_QUEUED_CHECKS:
            raise CheckQueueFull(MAX_QUEUED_CHECKS)
        self._queued += 1
        try:
            return await asyncio.get_running_loop().run_in_executor(self._pool, call, *values)
        finally:
            self._queued -= 1


def _matches(hash: str, secret: str) -> bool:
    try:
        return PASSWORD_HASHER.verify(hash, secret)
    except (Argon2Error, InvalidHashError):
        return False
