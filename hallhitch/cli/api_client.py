"""The commands' way to the administration API: one call, tried again under the same key until it is answered."""

from __future__ import annotations

import os
import ssl
import time
import uuid
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import quote

import click
import httpx

from hallhitch.cli.output import Failure

TRIES, FIRST_WAIT, LONGEST_WAIT = 5, 0.3, 5.0  # s
F = TypeVar("F", bound=Callable[..., Any])
AGAIN = {429, 502, 503, 504}


class Api:
    """Calls of the administration API."""

    def __init__(self, url: str, token: str | None, ca: str | None, cert: str | None) -> None:
        context = ssl.create_default_context(cafile=ca)
        if cert is not None:
            context.load_cert_chain(cert, Path(cert).with_suffix(".key"))
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._client = httpx.Client(base_url=url, verify=context, headers=headers, timeout=10.0, trust_env=False)

    def get(self, *path: str, **query: str) -> Any:
        """Read one thing."""
        return self._call("GET", path, {}, None, query).json()

    def find(self, *path: str) -> Any:
        """Read one thing, or None where there is none."""
        try:
            return self.get(*path)
        except NotFound:
            return None

    def pages(self, *path: str, **query: str) -> Iterator[Any]:
        """Everything of a list."""
        after = ""
        while True:
            page = self.get(*path, limit="500", after=after, **query)
            yield from page["items"]
            if page["next"] is None:
                return
            after = page["next"]

    def change(self, method: str, *path: str, body: Any = None, match: str | None = None) -> Any:
        """Change something, once: every try goes under one key."""
        headers = {"Idempotency-Key": str(uuid.uuid4())}
        if match is not None:
            headers["If-Match"] = match
        answer = self._call(method, path, headers, body, {})
        return answer.json() if answer.content else None

    def _call(
        self, method: str, path: tuple[str, ...], headers: dict[str, str], body: Any, query: dict[str, str]
    ) -> httpx.Response:
        place = "/v1/" + "/".join(quote(part, safe="") for part in path)
        wait, why = FIRST_WAIT, ""
        for number in range(TRIES):
            if number:
                time.sleep(wait)
                wait = min(LONGEST_WAIT, wait * 2)
            try:
                answer = self._client.request(method, place, headers=headers, json=body, params=query)
            except httpx.TransportError as error:
                why = f"{self._client.base_url}: {error}"
                if isinstance(error.__cause__, ssl.SSLCertVerificationError) or "CERTIFICATE" in str(error):
                    break
                continue
            if answer.status_code in AGAIN:
                why = _said(answer)
                wait = max(wait, float(answer.headers.get("retry-after", 0)))
                continue
            if answer.status_code == 404:
                raise NotFound(f"{method} {place}: {_said(answer)}")
            if answer.status_code >= 400:
                raise Failure(f"{method} {place}: {_said(answer)}")
            return answer
        raise Failure(f"{method} {place}: {why}")


class NotFound(Failure):
    """There is no such thing, or it may not be seen."""


def _said(answer: httpx.Response) -> str:
    """An error in one line."""
    try:
        told = answer.json()
        field = f" ({told['field']})" if told.get("field") else ""
        return f"{answer.status_code} {told['code']}: {told.get('detail', '')}{field}"
    except (ValueError, KeyError):
        return str(answer.status_code)


def connected(command: F) -> F:
    """The options of a command that calls the API; it gets an `Api` as `api`."""
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


def api_of(url: str, token_file: str | None, ca: str | None, cert: str | None) -> Api:
    """The API as the options say."""
    try:
        token = Path(token_file).read_text().strip() if token_file else os.environ.get("HALLHITCH_TOKEN")
        if not token and not cert:
            raise Failure("no credential: give --token-file, --cert or HALLHITCH_TOKEN")
        return Api(url, token, ca, cert)
    except OSError as error:
        raise Failure(f"{error.filename or ca or cert}: {error.strerror}") from error
