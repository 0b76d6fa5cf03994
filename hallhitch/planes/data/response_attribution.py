"""Attribution of a backend's response: which request it answers.

A connection carries one attempt at a time, and at most one attempt of each request (`connection_pool`). Every backend
repeats the id of the request that it answers. Bytes that a backend sends unasked, and copies of earlier responses,
belong to no attempt. So the id proves to which attempt a response belongs, and nothing else does:

    response                                  attempt in flight        no attempt in flight
    ----------------------------------------  -----------------------  ---------------------------------------
    1xx                                       ignored                  the connection is closed
    id of the attempt in flight, first final  ATTEMPT                  -
    id of the attempt in flight, a copy       after its response: the connection is closed
    id of an earlier request (late, a copy)   OTHER_REQUEST: dropped,  the connection is closed
                                              no reuse afterwards
    without an id, to a request with one:
      a refusal                               UNKNOWN: dropped,        the connection is closed
                                              no reuse afterwards
      any other                               UNKNOWN: the attempt     the connection is closed
                                              may have run
    two ids                                   as without an id         the connection is closed
    without an id, to a request without one   ATTEMPT                  the connection is closed

A refusal that names no request is no promise, and no reason to end an attempt that the backend may be running: its
response, or the end of the connection, still follows. Backends run no request without an id, so a copy of a refusal
does no harm in the last case.

The status matters only once a response is attributed (`response_classification`).
"""

from __future__ import annotations

from enum import Enum

from hallhitch.net.http import Message
from hallhitch.planes.data.http_messages import REQUEST_ID


class Attribution(Enum):
    """To which request a response belongs."""

    ATTEMPT = "the attempt in flight"
    OTHER_REQUEST = "another request"
    UNKNOWN = "unknown"


def response_id_of(response: Message) -> bytes | None:
    """Return the request id in a response; None if it has none."""
    return response.headers.get(REQUEST_ID) or None


def attribute_response(response: Message, request_id: bytes | None) -> Attribution:
    """Attribute a response; `request_id` is that of the attempt in flight on its connection, None if it has none."""
    if REQUEST_ID in response.repeated_names:
        return Attribution.UNKNOWN
    response_id = response_id_of(response)
    if response_id == request_id:
        return Attribution.ATTEMPT
    return Attribution.UNKNOWN if response_id is None else Attribution.OTHER_REQUEST
