"""Classification of a backend's response by its head: which request it answers, and whether that request ran.

The functions are pure. The backend contract: every response repeats the id of its request (`Hallhitch-Request-Id`);
a 2xx response has exactly one seal (`Hallhitch-Response-Seal`) and no content coding; `Hallhitch-Not-Executed` on an
error response states that the backend did not run the request.
"""

from __future__ import annotations

from hallhitch.net.http import Message
from hallhitch.planes.data.http_messages import NOT_EXECUTED, REQUEST_ID, RESPONSE_SEAL
from hallhitch.planes.data.interfaces import Outcome


def response_id_of(response: Message) -> bytes | None:
    """Return the request id in a response; None if it has none."""
    return response.headers.get(REQUEST_ID) or None


def is_refusal(response: Message) -> bool:
    """Return whether a response states that the backend did not run its request."""
    return response.status == 421 or (NOT_EXECUTED in response.headers and response.status >= 400)


def classify_response(
    response: Message, response_id: bytes | None, request_id: bytes | None, is_first_on_connection: bool
) -> Outcome:
    """Return the outcome of an attempt according to the head of its response.

    `response_id` is `request_id` or None: the caller drops a response to another request. `is_first_on_connection` says
    that no other request was sent on the connection, so that a response without an id can only belong to this one.
    """
    headers, status = response.headers, response.status
    lacks_id = response_id is None and request_id is not None
    if (
        REQUEST_ID in response.repeated_names
        or (lacks_id and not is_first_on_connection)
        or headers.get(b"transfer-encoding", b"chunked").lower() != b"chunked"
    ):
        return Outcome.INVALID_RESPONSE
    if is_refusal(response):
        return Outcome.MISDIRECTED if status == 421 else Outcome.DECLINED
    if status >= 500 or status in (408, 429):  # without the field, 408 and 429 do not say that the request never ran
        return Outcome.SERVER_ERROR
    if 200 <= status < 300 and (lacks_id or not _is_valid_success(response)):
        return Outcome.INVALID_RESPONSE
    return Outcome.OK


def _is_valid_success(response: Message) -> bool:
    """Return whether a 2xx response has exactly one seal, no content coding and a delimited body."""
    headers = response.headers
    is_framed = response.length is not None or b"transfer-encoding" in headers or response.status == 204
    is_sealed_once = RESPONSE_SEAL in headers and RESPONSE_SEAL not in response.repeated_names
    return is_framed and is_sealed_once and b"content-encoding" not in headers and NOT_EXECUTED not in headers
