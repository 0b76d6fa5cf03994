"""Generation, hashing and verification of credentials' secrets, and encryption of responses that contain a secret.

The database holds secrets only as hashes and in encrypted responses. The key of both is in a separate file of the
store's directory, which backups do not contain.
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
# Marks a hash by `ServiceKeys.hash_client_key`; all other hashes are encoded argon2id hashes.
KEYED_HASH_PREFIX: Final = "keyed:"
MASTER_KEY_BYTES: Final = 32
NONCE_BYTES: Final = 12  # the standard nonce length of AES-GCM
MAX_CACHED_SECRETS: Final = 4_096  # with the cache, argon2 runs once per credential and process, not once per request
MAX_QUEUED_CHECKS: Final = 64  # argon2 computations that may run or wait at the same time
# RFC 9106 recommends 64 MiB for passwords that people choose. These secrets are 256 random bits and cannot be guessed;
# the cost only has to make a stolen store useless, while each check takes CPU time of this service. Hence the minimum
# that OWASP recommends: 19 MiB and 2 passes.
PASSWORD_HASHER: Final = PasswordHasher(time_cost=2, memory_cost=19_456, parallelism=1)

T = TypeVar("T")


def new_secret() -> str:
    """Generate a secret of 256 random bits, encoded as 43 characters of URL-safe base64."""
    return secrets.token_urlsafe(32)


class ServiceKeys:
    """Keys derived from the key file: one for the hashes of client keys, one for the encryption of stored responses."""

    def __init__(self, master_key: bytes) -> None:
        self._pepper = blake2b(master_key, person=b"hh-client-key").digest()
        self._cipher = AESGCM(blake2b(master_key, person=b"hh-seal-answer", digest_size=32).digest())
        # Identifies the key and is not secret.
        self.key_id = blake2b(master_key, person=b"hh-which-key", digest_size=8).hexdigest()

    @classmethod
    def create(cls, folder: Path) -> ServiceKeys:
        """Create the key file, or read it if it exists already.

        Raises:
            StoreError: The existing file cannot be read, or holds no key.
        """
        path = folder / KEY_FILE
        if path.exists():
            return cls.read(folder)
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with os.fdopen(descriptor, "w") as file:
            file.write(secrets.token_hex(MASTER_KEY_BYTES) + "\n")
            file.flush()
            os.fsync(file.fileno())
        return cls.read(folder)

    @classmethod
    def read(cls, folder: Path) -> ServiceKeys:
        """Read the key file.

        Raises:
            StoreError: The file is missing, cannot be read, or holds no key.
        """
        path = folder / KEY_FILE
        try:
            master_key = bytes.fromhex(path.read_text().strip())
        except (OSError, ValueError) as error:
            raise StoreError(path, error) from error
        if len(master_key) != MASTER_KEY_BYTES:
            raise StoreError(path, "the file does not hold a key of 64 hexadecimal digits")
        return cls(master_key)

    def hash_client_key(self, secret: str) -> str:
        """Hash a client key with a fast keyed hash.

        Random keys cannot be guessed, so a slow hash would add nothing, and gateways verify the key of every request.
        """
        return KEYED_HASH_PREFIX + blake2b(secret.encode(), key=self._pepper, digest_size=32).hexdigest()

    def seal(self, body: bytes, context: str) -> bytes:
        """Encrypt a response; `context` names its caller and call, and decryption requires the same text."""
        nonce = os.urandom(NONCE_BYTES)
        return nonce + self._cipher.encrypt(nonce, body, context.encode())

    def unseal(self, sealed: bytes, context: str) -> bytes:
        """Decrypt a response that `seal` encrypted.

        Raises:
            StoreError: The response was encrypted with a different key or for a different context.
        """
        try:
            return self._cipher.decrypt(sealed[:NONCE_BYTES], sealed[NONCE_BYTES:], context.encode())
        except InvalidTag as error:
            raise StoreError(f"stored response for {context}", "cannot be decrypted with this key") from error


class SecretChecker:
    """Hashes and verifies secrets in separate threads.

    Verified secrets are cached as hashes, under a key that exists only in this process.
    """

    def __init__(self, keys: ServiceKeys, threads: int = 2) -> None:
        self._keys = keys
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="argon2")
        self._cache_key = os.urandom(32)
        self._verified: OrderedDict[str, bytes] = OrderedDict()  # argon2 hash -> hash of the secret under `_cache_key`
        self._queued = 0
        self._dummy_hash = PASSWORD_HASHER.hash(new_secret())

    async def hash(self, scope: Scope, secret: str) -> str:
        """Return the hash of a new secret for its verifier.

        Raises:
            CheckQueueFull: Too many hashes and checks are waiting already.
        """
        if scope is Scope.CLIENT:
            return self._keys.hash_client_key(secret)
        return await self._run_in_pool(PASSWORD_HASHER.hash, secret)

    def is_cached(self, verifiers: list[Verifier], secret: str) -> bool:
        """Return whether the secret matches one of the verifiers, as far as this can be decided without argon2.

        Keyed hashes are computed and compared; argon2 hashes match only if the cache holds the secret.
        """
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
        """Return whether the secret matches one of the verifiers.

        Without a verifier, a dummy hash is checked, so that the time does not reveal whether a credential exists.

        Raises:
            CheckQueueFull: Too many hashes and checks are waiting already.
        """
        if self.is_cached(verifiers, secret):
            return True
        hashes = [verifier.hash for verifier in verifiers if not verifier.hash.startswith(KEYED_HASH_PREFIX)]
        for argon2_hash in hashes or [self._dummy_hash]:
            if await self._run_in_pool(_matches, argon2_hash, secret) and hashes:
                self._cache(argon2_hash, secret)
                return True
        return False

    def close(self) -> None:
        """Stop the threads."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _cache(self, argon2_hash: str, secret: str) -> None:
        self._verified[argon2_hash] = self._cache_entry(secret)
        while len(self._verified) > MAX_CACHED_SECRETS:
            self._verified.popitem(last=False)

    def _cache_entry(self, secret: str) -> bytes:
        return blake2b(secret.encode(), key=self._cache_key, digest_size=32).digest()

    async def _run_in_pool(self, function: Callable[..., T], *arguments: str) -> T:
        if self._queued >= MAX_QUEUED_CHECKS:
            raise CheckQueueFull(MAX_QUEUED_CHECKS)
        self._queued += 1
        try:
            return await asyncio.get_running_loop().run_in_executor(self._pool, function, *arguments)
        finally:
            self._queued -= 1


def _matches(argon2_hash: str, secret: str) -> bool:
    try:
        return PASSWORD_HASHER.verify(argon2_hash, secret)
    except (Argon2Error, InvalidHashError):
        return False
