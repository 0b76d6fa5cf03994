"""The client that commands call the administration API with; retries of a change reuse its idempotency key."""

from __future__ import annotations

import os
import ssl
import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final, TypeVar
from urllib.parse import quote

import click
import httpx

from hallhitch.cli.output import CommandError

MAX_ATTEMPTS: Final = 5
FIRST_BACKOFF_S: Final = 0.3
MAX_BACKOFF_S: Final = 5.0
RESPONSE_TIMEOUT_S: Final = 10.0
PAGE_SIZE: Final = 500
RETRYABLE_CODES: Final = {429, 502, 503, 504}
CommandT = TypeVar("CommandT", bound=Callable[..., Any])


class NotFoundError(CommandError):
    """The resource does not exist, or the credential does not give access to it."""


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """One call of the API; it is sent again unchanged when it is retried."""

    method: str
    path: tuple[str, ...]
    headers: dict[str, str] = field(default_factory=dict)
    body: Any = None
    query: dict[str, str] = field(default_factory=dict)

    @property
    def target(self) -> str:
        """The path of the request, percent-encoded."""
        return "/v1/" + "/".join(quote(part, safe="") for part in self.path)

    def __str__(self) -> str:
        return f"{self.method} {self.target}"


class ApiClient:
    """Calls the administration API over TLS, with a bearer token or a client certificate."""

    def __init__(self, url: str, token: str | None, ca: str | None, cert: str | None) -> None:
        context = ssl.create_default_context(cafile=ca)
        if cert is not None:
            context.load_cert_chain(cert, Path(cert).with_suffix(".key"))
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._client = httpx.Client(
            base_url=url, verify=context, headers=headers, timeout=RESPONSE_TIMEOUT_S, trust_env=False
        )

    def get(self, *path: str, **query: str) -> Any:
        """Read a resource.

        Raises:
            NotFoundError: The resource does not exist.
            CommandError: The call failed.
        """
        return self._call(ApiRequest("GET", path, query=query)).json()

    def find(self, *path: str) -> Any:
        """Read a resource, or return None if it does not exist."""
        try:
            return self.get(*path)
        except NotFoundError:
            return None

    def pages(self, *path: str, **query: str) -> Iterator[Any]:
        """Yield all items of a list, which is read page by page."""
        after = ""
        while True:
            page = self.get(*path, limit=str(PAGE_SIZE), after=after, **query)
            yield from page["items"]
            if page["next"] is None:
                return
            after = page["next"]

    def change(self, method: str, *path: str, body: Any = None, if_match: str | None = None) -> Any:
        """Change a resource; all attempts carry the same idempotency key, so that the change is made at most once.

        Raises:
            NotFoundError: The resource does not exist.
            CommandError: The call failed.
        """
        headers = {"Idempotency-Key": str(uuid.uuid4())}
        if if_match is not None:
            headers["If-Match"] = if_match
        response = self._call(ApiRequest(method, path, headers, body))
        return response.json() if response.content else None

    def _call(self, request: ApiRequest) -> httpx.Response:
        """Send a request, and retry it after transport errors and retryable statuses.

        A certificate error is not retried: it would occur again.
        """
        backoff_s, reason = FIRST_BACKOFF_S, ""
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                time.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            try:
                response = self._client.request(
                    request.method, request.target, headers=request.headers, json=request.body, params=request.query
                )
            except httpx.TransportError as error:
                reason = f"{self._client.base_url}: {error}"
                if _is_certificate_error(error):
                    break
                continue
            if response.status_code not in RETRYABLE_CODES:
                return _check_status(request, response)
            reason = _describe_error(response)
            backoff_s = max(backoff_s, float(response.headers.get("retry-after", 0)))
        raise CommandError(f"{request}: {reason}")


def _check_status(request: ApiRequest, response: httpx.Response) -> httpx.Response:
    """Return the response, or raise an error for a status of 400 or more."""
    if response.status_code == 404:
        raise NotFoundError(f"{request}: {_describe_error(response)}")
    if response.status_code >= 400:
        raise CommandError(f"{request}: {_describe_error(response)}")
    return response


def _is_certificate_error(error: httpx.TransportError) -> bool:
    return isinstance(error.__cause__, ssl.SSLCertVerificationError) or "CERTIFICATE" in str(error)


def _describe_error(response: httpx.Response) -> str:
    """Describe an error response in one line."""
    try:
        problem = response.json()
        field_name = f" ({problem['field']})" if problem.get("field") else ""
        return f"{response.status_code} {problem['code']}: {problem.get('detail', '')}{field_name}"
    except (ValueError, KeyError):
        return str(response.status_code)


def api_options(command: CommandT) -> CommandT:
    """Add the options of a command that calls the API; the command passes them to `connect`."""
    for option in reversed(
        (
            click.option(
                "--url",
                envvar="HALLHITCH_URL",
                default="https://127.0.0.1:8443",
                show_default=True,
                help="URL of the administration API [HALLHITCH_URL].",
            ),
            click.option(
                "--token-file", type=click.Path(), help="File with the token; without it, HALLHITCH_TOKEN is used."
            ),
            click.option(
                "--ca",
                envvar="HALLHITCH_CA",
                type=click.Path(),
                help="CA certificate that the server's certificate is verified with [HALLHITCH_CA].",
            ),
            click.option(
                "--cert",
                envvar="HALLHITCH_CERT",
                type=click.Path(),
                help="Client certificate instead of a token; its key is in the .key file beside it [HALLHITCH_CERT].",
            ),
        )
    ):
        command = option(command)
    return command


def connect(url: str, token_file: str | None, ca: str | None, cert: str | None) -> ApiClient:
    """Make an API client from the options.

    Raises:
        CommandError: No credential is given, or a file cannot be read.
    """
    try:
        token = Path(token_file).read_text().strip() if token_file else os.environ.get("HALLHITCH_TOKEN")
        if not token and not cert:
            raise CommandError("no credential: set --token-file, --cert or HALLHITCH_TOKEN")
        return ApiClient(url, token, ca, cert)
    except OSError as error:
        raise CommandError(f"{error.filename or ca or cert}: {error.strerror}") from error
