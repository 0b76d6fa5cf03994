"""Parameters and error responses that several handlers share.

Their names, descriptions and bounds are published in the OpenAPI document.
"""

from __future__ import annotations

from typing import Annotated

from litestar.openapi.datastructures import ResponseSpec
from litestar.params import HeaderParameter, QueryParameter

from hallhitch.administration.api import calls
from hallhitch.administration.api.problems import PROBLEM_MEDIA_TYPE, Problem

IdempotencyKey = Annotated[
    str,
    HeaderParameter(
        name="Idempotency-Key",
        min_length=1,
        max_length=200,
        description="The same key and call give the first answer again, for 24 h.",
    ),
]
IfMatch = Annotated[str | None, HeaderParameter(name="If-Match", description="Entity tags of the thing, or *.")]
IfNoneMatch = Annotated[str | None, HeaderParameter(name="If-None-Match", description="* if there must be none.")]
After = Annotated[str, QueryParameter(name="after", max_length=253, description="The `next` of the page before.")]
Limit = Annotated[int, QueryParameter(name="limit", ge=1, le=calls.MAX_PAGE_ITEMS)]
Prefix = Annotated[str, QueryParameter(name="prefix", max_length=253, description="Only names that begin so.")]


def _problem_response(text: str) -> ResponseSpec:
    return ResponseSpec(Problem, generate_examples=False, description=text, media_type=PROBLEM_MEDIA_TYPE)


READ_ERRORS = {
    400: _problem_response("What cannot be read."),
    401: _problem_response("No credential that counts."),
    404: _problem_response("Nothing there that the caller may see."),
    429: _problem_response("Too many calls."),
    503: _problem_response("Nothing can be looked up now."),
}
CHANGE_ERRORS = READ_ERRORS | {
    403: _problem_response("Beyond the credential's scope."),
    409: _problem_response("Contradicts what stands."),
    412: _problem_response("The thing is not as If-Match or If-None-Match says."),
    413: _problem_response("Too large a body."),
    415: _problem_response("Another media type."),
    422: _problem_response("A value that cannot be, or a key used for another call."),
    428: _problem_response("A replace without If-Match."),
}
AuditCursor = Annotated[
    str, QueryParameter(name="after", pattern="^[0-9]{0,18}$", description="The `next` of the page before.")
]
