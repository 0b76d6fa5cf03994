"""Classification of a backend's response by its head: whether the request ran, and whether the response is valid.

The functions are pure. The backend contract: a 2xx response has exactly one seal (`Hallhitch-Response-Seal`) and no
content coding; `Hallhitch-Not-Executed` on an error response states that the backend did not run the request.
"""

from __future__ import annotations

from hallhitch.net.http import Message
from hallhitch.planes.data.http_messages import NOT_EXECUTED, RESPONSE_SEAL
from hallhitch.planes.data.interfaces import Outcome


def is_refusal(response: Message) -> bool:
    """Return whether a response states that the backend did not run its request."""
    return response.status == 421 or (NOT_EXECUTED in response.headers and response.status >= 400)


def classify_response(response: Message) -> Outcome:
    """Return the outcome of an attempt according to the head of the response that belongs to it."""
    status = response.status
    if response.headers.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
        return Outcome.INVALID_RESPONSE
    if is_refusal(response):
        return Outcome.MISDIRECTED if status == 421 else Outcome.DECLINED
    if status >= 500 or status in (408, 429):  # without the field, 408 and 429 do not say that the request never ran
        return Outcome.SERVER_ERROR
    if 200 <= status < 300 and not _is_valid_success(response):
        return Outcome.INVALID_RESPONSE
    return Outcome.OK


def _is_valid_success(response: Message) -> bool:
    """Return whether a 2xx response has exactly one seal, no content coding and a delimited body."""
    headers = response.headers
    is_framed = response.length is not None or b"transfer-encoding" in headers or response.status == 204
    is_sealed_once = RESPONSE_SEAL in headers and RESPONSE_SEAL not in response.repeated_names
    return is_framed and is_sealed_once and b"content-encoding" not in headers and NOT_EXECUTED not in headers
