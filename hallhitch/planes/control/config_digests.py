"""Which content each configuration version has, by the digests of the newest committed configurations.

Owns the comparison of contents and the outcome of a change that an operator sent. Invariants.
- *One content a version*: a content is confirmed under a version only if the committed state recorded its digest there.
- *Ordered*: `ClusterState.config_digests` ascends by version, as each configuration that comes into force has a higher
  one than the configuration before; the last entry is the one in force. The newest `MAX_CONFIG_DIGESTS` are kept.
"""

from __future__ import annotations

import enum
import hashlib
import json
from collections.abc import Sequence
from typing import Final

from hallhitch.messages.system_pb2 import ClusterState, ConfigDigest

MAX_CONFIG_DIGESTS: Final = 256  # more changes than an operator resends within `ackTimeout`; some 6 kB of state
DIGEST_BYTES: Final = 16  # two contents collide by chance among some 2**64 configurations
MAX_EXACT_INTEGER: Final = 2.0**53  # below this a float represents each integer exactly


class ConfigOutcome(enum.Enum):
    """What became of a configuration that an operator sent, by the committed state; the values are the API's."""

    RECORDED = "recorded"  # this content was taken under its version; a newer one may be in force since
    SUPERSEDED = "superseded"  # its version is not above the one in force, and not among those kept
    CONFLICT = "conflict"  # its version was taken with another content
    ABSENT = "absent"  # its version is above the one in force: this change has not been applied


def canonical_digest(body: bytes) -> bytes:
    """Return the digest of a JSON configuration by its meaning.

    White space, the order of names and 1 or 1.0 make no difference.
    """
    text = json.dumps(json.loads(body, parse_float=_parse_number), sort_keys=True, separators=(",", ":"))
    return content_digest(text.encode())


def content_digest(content: bytes) -> bytes:
    """Return the digest of some bytes."""
    return hashlib.sha256(content).digest()[:DIGEST_BYTES]


def config_outcome(state: ClusterState, version: int, digest: bytes) -> ConfigOutcome:
    """Return what became of the content with this digest under this version, by a committed state."""
    if version > state.config_version:
        return ConfigOutcome.ABSENT
    for entry in reversed(state.config_digests):
        if entry.config_version == version:
            return ConfigOutcome.RECORDED if entry.digest == digest else ConfigOutcome.CONFLICT
    return ConfigOutcome.SUPERSEDED


def append_digests(entries: Sequence[ConfigDigest], newer: Sequence[ConfigDigest]) -> list[ConfigDigest]:
    """Return the entries and newer ones, without the oldest beyond the bound."""
    return [*entries, *newer][-MAX_CONFIG_DIGESTS:]


def newer_digests(base: Sequence[ConfigDigest], entries: Sequence[ConfigDigest]) -> list[ConfigDigest] | None:
    """Return what `append_digests` needs to make the entries out of the base; None where nothing would."""
    base_version = base[-1].config_version if base else -1
    newer = [entry for entry in entries if entry.config_version > base_version]
    return newer if append_digests(base, newer) == list(entries) else None


def _parse_number(text: str) -> int | float:
    """Return a JSON number; an integer for a float that is exactly one, so that both have one canonical form."""
    number = float(text)
    return int(number) if abs(number) < MAX_EXACT_INTEGER and number.is_integer() else number
