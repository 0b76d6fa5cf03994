"""ASGI middleware that authenticates requests and limits their rate and size before they reach the framework.

A request that is rejected here still counts against its caller's limits, but nothing is decided or stored for it.
"""

from __future__ import annotations

import re
import time
from collections.abc import Awaitable, Callable, MutableMapping
from hashlib import blake2b
from typing import Any

from hallhitch.administration.api.json_bodies import parse_strict
from hallhitch.administration.api.problems import ProblemError
from hallhitch.administration.clock import WallClock
from hallhitch.administration.errors import CheckQueueFull
from hallhitch.administration.rate_limits import TokenBuckets
from hallhitch.administration.secrets import SecretChecker
from hallhitch.administration.settings import ApiSettings
from hallhitch.administration.writer import Writer
from hallhitch.catalog.access import (
    Principal,
    Token,
    operator_by_certificate,
    parse_token,
    valid_credential,
    valid_verifiers,
)
from hallhitch.catalog.model import Scope, Verifier
from hallhitch.core.invariants import COUNTS

AsgiScope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]
AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]
PUBLIC_PATHS = {"/openapi.json"}
READ_METHODS = {"GET", "HEAD", "OPTIONS"}
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
JSON_TYPES = {"application/json", "application/merge-patch+json"}


class Guard:
    """ASGI middleware that admits requests.

    It stores the caller, the body, the idempotency key and the request's fingerprint in the scope's state, where the
    handlers read them.
    """

    def __init__(
        self, app: AsgiApp, writer: Writer, checker: SecretChecker, clock: WallClock, settings: ApiSettings
    ) -> None:
        self._app = app
        self._writer = writer
        self._checker = checker
        self._clock = clock
        self._settings = settings
        self._calls = TokenBuckets(settings.calls_per_second, settings.burst)
        failures_per_s = settings.failures_per_minute / 60
        # Keyed by the client's address together with the tenant and id in the token.
        self._failures_by_token = TokenBuckets(failures_per_s, max(3.0, settings.failures_per_minute / 2))
        self._failures_by_address = TokenBuckets(failures_per_s * 10, settings.failures_per_minute * 5)

    async def __call__(self, scope: AsgiScope, receive: Receive, send: Send) -> None:
        """Pass an admitted request to the framework; respond to a rejected one with a problem document."""
        if scope["type"] != "http":
            return await self._app(scope, receive, send)
        try:
            replay = await self._admit(scope, receive)
        except ProblemError as problem:
            COUNTS[f"api_{problem.code}"] += 1
            await send_problem(send, problem, scope["method"])
            return None
        await self._app(scope, replay, send)
        return None

    async def _admit(self, scope: AsgiScope, receive: Receive) -> Receive:
        """Check a request and return the ASGI receive channel from which the framework reads its body.

        Raises:
            ProblemError: The request is rejected.
        """
        headers = Headers(scope["headers"])
        if headers.size_bytes > self._settings.head_kib * 1024:
            raise ProblemError(431, "too-large", f"A head holds {self._settings.head_kib} KiB at most.")
        state = scope["state"]
        is_read = scope["method"] in READ_METHODS
        if scope["path"] in PUBLIC_PATHS and is_read:
            state["caller"] = None
            return receive
        caller = await self._authenticate(scope, headers)
        state["caller"] = caller
        self._limit_rate(caller)
        if is_read:
            state["raw"] = b""
            return receive
        key = _idempotency_key(headers)
        body = await self._read_body(headers, receive)
        if body:
            _check_media_type(headers)
            parse_strict(body)
        state["raw"] = body
        state["key"] = key
        state["fingerprint"] = _fingerprint(scope, headers, body)
        return _replay_body(body, receive)

    def _limit_rate(self, caller: Principal) -> None:
        # Many gateways share one credential, and the feed itself limits how much it sends to each.
        if caller.scope is Scope.GATEWAY:
            return
        wait_s = self._calls.take(caller.name, time.monotonic())
        if wait_s:
            raise ProblemError(429, "too-many-calls", "This credential calls too often.", retry_after_s=wait_s)

    async def _authenticate(self, scope: AsgiScope, headers: Headers) -> Principal:
        """Return the caller, authenticated by bearer token or client certificate.

        Raises:
            ProblemError: 401 without a valid credential, 429 after too many failures, 503 if too many checks wait.
        """
        now_ms = self._clock.now_ms()
        catalog = self._writer.catalog
        authorization = headers.single("authorization")
        if authorization is None:
            fingerprint = scope["state"].get("certificate")
            operator = operator_by_certificate(catalog, fingerprint, now_ms) if fingerprint else None
            if operator is not None:
                return operator
            raise unauthenticated()
        scheme, _, token_text = authorization.partition(" ")
        token = parse_token(token_text.strip()) if scheme.lower() == "bearer" else None
        if token is None:
            raise unauthenticated()
        address = (scope.get("client") or ("", 0))[0]
        credential = valid_credential(catalog, token.tenant, token.id, now_ms)
        verifiers = valid_verifiers(credential, now_ms) if credential is not None else []
        if not self._checker.is_cached(verifiers, token.secret):
            await self._check_secret(token, address, verifiers)
        if credential is None or credential.scope is Scope.CLIENT:
            raise unauthenticated()
        return Principal(token.tenant, token.id, credential.scope)

    async def _check_secret(self, token: Token, address: str, verifiers: list[Verifier]) -> None:
        """Verify a secret that is not cached, and count a failure against the token and the client's address.

        Raises:
            ProblemError: 401 for a wrong secret, 429 after too many failures, 503 if too many checks wait.
        """
        now_s = time.monotonic()
        token_key = (address, token.tenant, token.id)
        wait_s = max(
            self._failures_by_token.seconds_until_token(token_key, now_s),
            self._failures_by_address.seconds_until_token(address, now_s),
        )
        if wait_s:
            detail = "Too many failed authentications."
            raise ProblemError(429, "too-many-failures", detail, retry_after_s=wait_s)
        try:
            is_valid = await self._checker.check(verifiers, token.secret)
        except CheckQueueFull as error:
            detail = "Too many checks of credentials wait."
            raise ProblemError(503, "busy", detail, retry_after_s=1.0) from error
        if not is_valid:
            self._failures_by_token.take(token_key, now_s)
            self._failures_by_address.take(address, now_s)
            raise unauthenticated()

    async def _read_body(self, headers: Headers, receive: Receive) -> bytes:
        """Read the whole body; raise ProblemError 413 as soon as it is known to be too large."""
        limit_bytes = self._settings.body_kib * 1024
        length = headers.single("content-length")
        if length is not None and length.isdigit() and int(length) > limit_bytes:
            raise ProblemError(413, "too-large", f"A body holds {self._settings.body_kib} KiB at most.")
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise ProblemError(400, "malformed", "The body ended early.")
            body += message.get("body", b"")
            if len(body) > limit_bytes:
                raise ProblemError(413, "too-large", f"A body holds {self._settings.body_kib} KiB at most.")
            if not message.get("more_body", False):
                return bytes(body)


class Headers:
    """Raw headers of a request, as ASGI passes them: names in lower case, values as bytes."""

    def __init__(self, raw: list[tuple[bytes, bytes]]) -> None:
        self._raw = raw

    @property
    def size_bytes(self) -> int:
        """Return the total size of all names and values."""
        return sum(len(name) + len(value) for name, value in self._raw)

    def single(self, name: str) -> str | None:
        """Return a header's value, None if it is absent; raise ProblemError 400 if it occurs more than once."""
        values = [value for key, value in self._raw if key == name.encode()]
        if len(values) > 1:
            raise ProblemError(400, "malformed", "This header stands twice.", name.title())
        return values[0].decode("latin-1").strip() if values else None


def unauthenticated() -> ProblemError:
    """Return the 401 error, the same for every reason, so that it does not tell which part of a credential is wrong."""
    return ProblemError(401, "unauthenticated", "This needs a credential that counts.")


def _idempotency_key(headers: Headers) -> str:
    key = headers.single("idempotency-key")
    if key is None or not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        detail = "A change needs a key of 1 to 200 visible ASCII characters."
        raise ProblemError(400, "no-idempotency-key", detail, "Idempotency-Key")
    return key


def _check_media_type(headers: Headers) -> None:
    media_type = (headers.single("content-type") or "").partition(";")[0].strip().lower()
    if media_type not in JSON_TYPES:
        raise ProblemError(415, "media-type", "A body is application/json.", "Content-Type")


def _fingerprint(scope: AsgiScope, headers: Headers, body: bytes) -> bytes:
    """Hash the method, path, query, conditions and body; a repeat of a call has the same hash."""
    conditions = "\n".join(headers.single(name) or "" for name in ("if-match", "if-none-match"))
    fingerprint = blake2b(digest_size=16)
    for part in (
        scope["method"].encode(),
        scope.get("raw_path") or scope["path"].encode(),
        scope["query_string"],
        conditions.encode(),
        body,
    ):
        fingerprint.update(b"%d:" % len(part))
        fingerprint.update(part)
    return fingerprint.digest()


def _replay_body(body: bytes, receive: Receive) -> Receive:
    """Return a receive channel that yields the body already read first, and then the messages of `receive`."""
    is_replayed = False

    async def replay() -> Any:
        nonlocal is_replayed
        if is_replayed:
            return await receive()
        is_replayed = True
        return {"type": "http.request", "body": body, "more_body": False}

    return replay


async def send_problem(send: Send, problem: ProblemError, method: str) -> None:
    """Send an error response; to a HEAD request, without its body."""
    body = problem.body()
    headers = problem.headers() | {"content-length": str(len(body))}
    if problem.status in (400, 413, 431):  # the rest of the request may still follow on the connection
        headers["connection"] = "close"
    await send(
        {
            "type": "http.response.start",
            "status": problem.status,
            "headers": [(name.encode(), value.encode()) for name, value in headers.items()],
        }
    )
    await send({"type": "http.response.body", "body": b"" if method == "HEAD" else body})
