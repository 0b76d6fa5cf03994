"""What stands before every handler: bounds on bodies, who calls, how often. Plain ASGI, outside the framework.

A call that fails here has cost its caller, and nothing was decided or kept for it.
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
from hallhitch.catalog.model import Scope
from hallhitch.core.invariants import COUNTS

AsgiScope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]
App = Callable[[Any, Any, Any], Awaitable[None]]
PUBLIC_PATHS = {"/openapi.json"}
READ_METHODS = {"GET", "HEAD", "OPTIONS"}
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
JSON_TYPES = {"application/json", "application/merge-patch+json"}


class Guard:
    """Bounds, authentication and rates; what it learns lies in the scope's state for the handlers."""

    def __init__(
        self, app: App, writer: Writer, checker: SecretChecker, clock: WallClock, settings: ApiSettings
    ) -> None:
        self._app = app
        self._writer = writer
        self._checker = checker
        self._clock = clock
        self._settings = settings
        self._calls = TokenBuckets(settings.calls_per_second, settings.burst)
        failures_per_s = settings.failures_per_minute / 60
        # By address and the token's name.
        self._failures_by_token = TokenBuckets(failures_per_s, max(3.0, settings.failures_per_minute / 2))
        self._failures_by_address = TokenBuckets(failures_per_s * 10, settings.failures_per_minute * 5)

    async def __call__(self, scope: AsgiScope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return await self._app(scope, receive, send)
        try:
            replay = await self._admit(scope, receive)
        except ProblemError as problem:
            COUNTS[f"api_{problem.code}"] += 1
            await send_problem(send, problem, scope["method"])
            return
        await self._app(scope, replay, send)

    async def _admit(self, scope: AsgiScope, receive: Receive) -> Receive:
        headers = Headers(scope["headers"])
        if headers.size_bytes > self._settings.head_kib * 1024:
            raise ProblemError(431, "too-large", f"A head holds {self._settings.head_kib} KiB at most.")
        state = scope["state"]
        if scope["path"] in PUBLIC_PATHS and scope["method"] in READ_METHODS:
            state["caller"] = None
            return receive
        state["caller"] = caller = await self._authenticate(scope, headers)
        # Gateways of one credential are many, and each is bounded by what the feed gives out.
        wait = 0.0 if caller.scope is Scope.GATEWAY else self._calls.take(caller.name, time.monotonic())
        if wait:
            raise ProblemError(429, "too-many-calls", "This credential calls too often.", wait=wait)
        if scope["method"] in READ_METHODS:
            state["raw"] = b""
            return receive
        key = headers.single("idempotency-key")
        if key is None or not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
            raise ProblemError(
                400,
                "no-idempotency-key",
                "A change needs a key of 1 to 200 visible ASCII characters.",
                "Idempotency-Key",
            )
        body = await self._read_body(headers, receive)
        if body:
            kind = (headers.single("content-type") or "").partition(";")[0].strip().lower()
            if kind not in JSON_TYPES:
                raise ProblemError(415, "media-type", "A body is application/json.", "Content-Type")
            parse_strict(body)
        state["raw"], state["key"] = body, key
        conditions = "\n".join(headers.single(name) or "" for name in ("if-match", "if-none-match"))
        asked = blake2b(digest_size=16)
        for piece in (
            scope["method"].encode(),
            scope.get("raw_path") or scope["path"].encode(),
            scope["query_string"],
            conditions.encode(),
            body,
        ):
            asked.update(b"%d:" % len(piece))
            asked.update(piece)
        state["asked"] = asked.digest()
        return _replay_body(body, receive)

    async def _authenticate(self, scope: AsgiScope, headers: Headers) -> Principal:
        """Who calls; 401, and the cost is the caller's."""
        now = self._clock.now_ms()
        catalog = self._writer.catalog
        told = headers.single("authorization")
        if told is None:
            shown = scope["state"].get("certificate")
            holder = operator_by_certificate(catalog, shown, now) if shown else None
            if holder is not None:
                return holder
            raise unauthenticated()
        scheme, _, text = told.partition(" ")
        token = parse_token(text.strip()) if scheme.lower() == "bearer" else None
        if token is None:
            raise unauthenticated()
        address = (scope.get("client") or ("", 0))[0]
        credential = valid_credential(catalog, token.tenant, token.id, now)
        verifiers = valid_verifiers(credential, now) if credential is not None else []
        if not self._checker.is_cached(verifiers, token.secret):
            await self._check_secret(token, address, verifiers)
        if credential is None or credential.scope is Scope.CLIENT:
            raise unauthenticated()
        return Principal(token.tenant, token.id, credential.scope)

    async def _check_secret(self, token: Token, address: str, verifiers: list[Any]) -> None:
        """Check a secret that is not remembered, if its caller has not failed too often."""
        moment = time.monotonic()
        names = (address, token.tenant, token.id), address
        wait = max(self._failures_by_token.wait(names[0], moment), self._failures_by_address.wait(names[1], moment))
        if wait:
            raise ProblemError(429, "too-many-failures", "Too many failed authentications.", wait=wait)
        try:
            good = await self._checker.check(verifiers, token.secret)
        except CheckQueueFull as error:
            raise ProblemError(503, "busy", "Too many checks of credentials wait.", wait=1.0) from error
        if not good:
            self._failures_by_token.take(names[0], moment)
            self._failures_by_address.take(names[1], moment)
            raise unauthenticated()

    async def _read_body(self, headers: Headers, receive: Receive) -> bytes:
        most = self._settings.body_kib * 1024
        length = headers.single("content-length")
        if length is not None and length.isdigit() and int(length) > most:
            raise ProblemError(413, "too-large", f"A body holds {self._settings.body_kib} KiB at most.")
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise ProblemError(400, "malformed", "The body ended early.")
            body += message.get("body", b"")
            if len(body) > most:
                raise ProblemError(413, "too-large", f"A body holds {self._settings.body_kib} KiB at most.")
            if not message.get("more_body", False):
                return bytes(body)


class Headers:
    """The headers of a request; one that must be single and is not is an error."""

    def __init__(self, raw: list[tuple[bytes, bytes]]) -> None:
        self._raw = raw

    @property
    def size_bytes(self) -> int:
        """Bytes of names and values."""
        return sum(len(name) + len(value) for name, value in self._raw)

    def single(self, name: str) -> str | None:
        """A header's value; 400 where it stands twice."""
        found = [value for key, value in self._raw if key == name.encode()]
        if len(found) > 1:
            raise ProblemError(400, "malformed", "This header stands twice.", name.title())
        return found[0].decode("latin-1").strip() if found else None


def unauthenticated() -> ProblemError:
    """One text for all that can be wrong with a credential."""
    return ProblemError(401, "unauthenticated", "This needs a credential that counts.")


def _replay_body(body: bytes, receive: Receive) -> Receive:
    """The body again, for the framework; then whatever comes."""
    told = False

    async def replay() -> Any:
        nonlocal told
        if told:
            return await receive()
        told = True
        return {"type": "http.request", "body": body, "more_body": False}

    return replay


async def send_problem(send: Send, problem: ProblemError, method: str) -> None:
    """Send an error."""
    body = problem.body()
    headers = problem.headers() | {"content-length": str(len(body))}
    if problem.status in (400, 413, 431):  # what follows on the connection may be the rest of it
        headers["connection"] = "close"
    await send(
        {
            "type": "http.response.start",
            "status": problem.status,
            "headers": [(name.encode(), value.encode()) for name, value in headers.items()],
        }
    )
    await send({"type": "http.response.body", "body": b"" if method == "HEAD" else body})
