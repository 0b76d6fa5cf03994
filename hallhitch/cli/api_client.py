"""The commands' client of the administration API: calls are retried under one idempotency key."""

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

from hallhitch.cli.output import Failure

MAX_ATTEMPTS: Final = 5
FIRST_BACKOFF_S: Final = 0.3
MAX_BACKOFF_S: Final = 5.0
RESPONSE_TIMEOUT_S: Final = 10.0
PAGE_SIZE: Final = 500
RETRYABLE_CODES: Final = {429, 502, 503, 504}
F = TypeVar("F", bound=Callable[..., Any])


class NotFound(Failure):
    """There is no such thing, or the credential may not see it."""


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """A call of the API."""

    method: str
    path: tuple[str, ...]
    headers: dict[str, str] = field(default_factory=dict)
    body: Any = None
    query: dict[str, str] = field(default_factory=dict)

    @property
    def target(self) -> str:
        """The path, quoted."""
        return "/v1/" + "/".join(quote(part, safe="") for part in self.path)

    def __str__(self) -> str:
        return f"{self.method} {self.target}"


class ApiClient:
    """A client of the administration API."""

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
            NotFound: there is none.
            Failure: the call failed.
        """
        return self._call(ApiRequest("GET", path, query=query)).json()

    def find(self, *path: str) -> Any:
        """Read a resource, or None if there is none."""
        try:
            return self.get(*path)
        except NotFound:
            return None

    def pages(self, *path: str, **query: str) -> Iterator[Any]:
        """Read all items of a list, page by page."""
        after = ""
        while True:
            page = self.get(*path, limit=str(PAGE_SIZE), after=after, **query)
            yield from page["items"]
            if page["next"] is None:
                return
            after = page["next"]

    def change(self, method: str, *path: str, body: Any = None, match: str | None = None) -> Any:
        """Change a resource, once: all attempts carry one idempotency key.

        Raises:
            NotFound: there is none.
            Failure: the call failed.
        """
        headers = {"Idempotency-Key": str(uuid.uuid4())}
        if match is not None:
            headers["If-Match"] = match
        response = self._call(ApiRequest(method, path, headers, body))
        return response.json() if response.content else None

    def _call(self, request: ApiRequest) -> httpx.Response:
        """Make a call, with retries after transport errors and retryable statuses."""
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
                return _checked(request, response)
            reason = _describe_error(response)
            backoff_s = max(backoff_s, float(response.headers.get("retry-after", 0)))
        raise Failure(f"{request}: {reason}")


def _checked(request: ApiRequest, response: httpx.Response) -> httpx.Response:
    """Return a response that is no error."""
    if response.status_code == 404:
        raise NotFound(f"{request}: {_describe_error(response)}")
    if response.status_code >= 400:
        raise Failure(f"{request}: {_describe_error(response)}")
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


def api_options(command: F) -> F:
    """Add the options of a command that calls the API; `connect` takes them."""
    for option in reversed(
        (
            click.option(
                "--url",
                envvar="HALLHITCH_URL",
                default="https://127.0.0.1:8443",
                show_default=True,
                help="The administration API [HALLHITCH_URL].",
            ),
            click.option("--token-file", type=click.Path(), help="A file with the token; otherwise HALLHITCH_TOKEN."),
            click.option("--ca", envvar="HALLHITCH_CA", type=click.Path(), help="Whom to trust [HALLHITCH_CA]."),
            click.option(
                "--cert",
                envvar="HALLHITCH_CERT",
                type=click.Path(),
                help="A client certificate in place of a token; its key lies beside it [HALLHITCH_CERT].",
            ),
        )
    ):
        command = option(command)
    return command


def connect(url: str, token_file: str | None, ca: str | None, cert: str | None) -> ApiClient:
    """Make the client that the options describe.

    Raises:
        Failure: there is no credential, or a file cannot be read.
    """
    try:
        token = Path(token_file).read_text().strip() if token_file else os.environ.get("HALLHITCH_TOKEN")
        if not token and not cert:
            raise Failure("no credential: give --token-file, --cert or HALLHITCH_TOKEN")
        return ApiClient(url, token, ca, cert)
    except OSError as error:
        raise Failure(f"{error.filename or ca or cert}: {error.strerror}") from error
