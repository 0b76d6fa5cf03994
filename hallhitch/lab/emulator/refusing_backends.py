"""A service whose backends refuse many requests, and send refusals twice, late or without the id of a request.

It has one backend in each region, so that a request that was refused often goes to the same backend again.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from hallhitch.lab.emulator.backend import BackendSpec
from hallhitch.lab.emulator.spec import EmulatorSpec, RequestKind

REFUSING_BACKENDS: Final = (
    BackendSpec(
        "turnstile",
        slots=8,
        work_ms=30.0,
        refusal_ratio=0.3,
        refusal_copy_ratio=0.5,
        unsolicited_refusal_ratio=0.2,
    ),
    3,
)
REFUSED_KIND: Final = RequestKind("claim", "non_idempotent", (("turnstile", 1),), 30.0, 600, 2500, 0, max_attempts=4)


def with_refusing_backends(spec: EmulatorSpec) -> EmulatorSpec:
    """Return the spec with the service, and requests to it that must not run twice."""
    return replace(
        spec, backends=(*spec.backends, REFUSING_BACKENDS), request_kinds=(*spec.request_kinds, REFUSED_KIND)
    )
