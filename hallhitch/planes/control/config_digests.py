"""Which content each configuration number stands for: the digests of the newest configurations that were taken.

Owns the comparison of contents and the outcome of an order. Must never confirm a content under a number that a majority
recorded with another one, and never refuse the content that was recorded. Values in, values out.

Every configuration that comes into force has a higher number than the one before, so `ClusterState.accepted` is ordered
by number, and its last entry is the one in force. Only the newest `REMEMBERED` are kept.
"""

from __future__ import annotations

import enum
import hashlib
import json
from collections.abc import Sequence

from hallhitch.messages.system_pb2 import ClusterState, ConfigDigest

MAX_CONFIG_DIGESTS = 256  # entries: more changes than an operator resends within `ackTimeout`; some 6 kB of state
DIGEST_BYTES = 16  # bytes of one digest: contents meet by chance once in 2**64 configurations
MAX_EXACT_INTEGER = 2.0**53  # up to here each whole number is a float of its own


class ConfigOutcome(enum.Enum):
    """What the committed state says of a configuration that an operator sent."""

    RECORDED = "recorded"  # this content was taken under its number; it may have been overtaken since
    SUPERSEDED = "superseded"  # its number is not above the one in force, and not among those remembered
    CONFLICT = "conflict"  # its number was taken with another content
    ABSENT = "absent"  # its number is above the one in force: this order has not been applied


def canonical_digest(body: bytes) -> bytes:
    """The digest of a configuration by what it means: spaces, order of names and 1 or 1.0 make no difference."""
    text = json.dumps(json.loads(body, parse_float=_number), sort_keys=True, separators=(",", ":"))
    return content_digest(text.encode())


def content_digest(content: bytes) -> bytes:
    """The digest of some bytes."""
    return hashlib.sha256(content).digest()[:DIGEST_BYTES]


def config_outcome(state: ClusterState, version: int, digest: bytes) -> ConfigOutcome:
    """What became of the content with this digest under this number, by a committed state."""
    if version > state.config_version:
        return ConfigOutcome.ABSENT
    for entry in reversed(state.config_digests):
        if entry.config_version == version:
            return ConfigOutcome.RECORDED if entry.digest == digest else ConfigOutcome.CONFLICT
    return ConfigOutcome.SUPERSEDED


def append_digests(entries: Sequence[ConfigDigest], newer: Sequence[ConfigDigest]) -> list[ConfigDigest]:
    """The entries and newer ones, without the oldest that are too many."""
    return [*entries, *newer][-MAX_CONFIG_DIGESTS:]


def newer_digests(entries: Sequence[ConfigDigest], whole: Sequence[ConfigDigest]) -> list[ConfigDigest] | None:
    """What makes `whole` out of `entries` by `extended`; None where nothing does."""
    newest = entries[-1].config_version if entries else -1
    newer = [entry for entry in whole if entry.config_version > newest]
    return newer if append_digests(entries, newer) == list(whole) else None


def _number(text: str) -> int | float:
    number = float(text)
    return int(number) if abs(number) < MAX_EXACT_INTEGER and number.is_integer() else number
