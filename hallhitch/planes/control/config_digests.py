"""Digests of the newest committed configurations, which identify the content of each configuration version.

Defines when two contents are equal, and determines the outcome of a configuration that an operator sent. Invariants:

- *One content per version*: a content is confirmed under a version only if the committed state recorded its digest for
  that version.
- *Ascending*: the entries of `ClusterState.config_digests` ascend by version, because a configuration comes into force
  only with a higher version than the one before it. The last entry is the one in force. The newest
  `MAX_CONFIG_DIGESTS` entries are kept.
"""

from __future__ import annotations

import enum
import hashlib
import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from hallhitch.messages.system_pb2 import ClusterState, ConfigDigest

MAX_CONFIG_DIGESTS: Final = 256  # more changes than an operator resends within `ackTimeout`; about 6 kB of state
DIGEST_BYTES: Final = 16  # an accidental collision is to be expected only among about 2**64 configurations
MAX_EXACT_INTEGER: Final = 2.0**53  # a float represents every integer below this exactly


class ConfigOutcome(enum.Enum):
    """Outcome of a configuration that an operator sent, according to the committed state; the API reports the value."""

    RECORDED = "recorded"  # this content was committed under its version; a newer version may be in force by now
    SUPERSEDED = "superseded"  # its version is not above the one in force, and the digest of that version is not kept
    CONFLICT = "conflict"  # another content was committed under its version
    ABSENT = "absent"  # its version is above the one in force: this change has not been applied


@dataclass(frozen=True, slots=True)
class ConfigIdentity:
    """The version of a configuration and the canonical digest of its content."""

    version: int
    digest: bytes


def identify_config(body: bytes) -> ConfigIdentity | None:
    """Return the identity of a configuration, valid or not; None if no release can have acknowledged it.

    A release may have acknowledged any JSON object with a version.
    """
    try:
        config = json.loads(body)
        version = config.get("configVersion") if isinstance(config, dict) else None
        return ConfigIdentity(version, canonical_digest(body)) if type(version) is int else None
    except (ValueError, RecursionError):
        return None


def canonical_digest(body: bytes) -> bytes:
    """Return a digest that is equal for all JSON texts with the same meaning.

    White space, the order of names and the notation of a number (1 or 1.0) make no difference.
    """
    text = json.dumps(json.loads(body, parse_float=_parse_number), sort_keys=True, separators=(",", ":"))
    return content_digest(text.encode())


def content_digest(content: bytes) -> bytes:
    """Return the digest of these bytes as they are."""
    return hashlib.sha256(content).digest()[:DIGEST_BYTES]


def config_outcome(state: ClusterState, version: int, digest: bytes) -> ConfigOutcome:
    """Return the outcome of the content with this digest under this version, according to a committed state."""
    if version > state.config_version:
        return ConfigOutcome.ABSENT
    for entry in reversed(state.config_digests):
        if entry.config_version == version:
            return ConfigOutcome.RECORDED if entry.digest == digest else ConfigOutcome.CONFLICT
    return ConfigOutcome.SUPERSEDED


def append_digests(entries: Sequence[ConfigDigest], newer: Sequence[ConfigDigest]) -> list[ConfigDigest]:
    """Return the entries followed by the newer ones, without the oldest beyond `MAX_CONFIG_DIGESTS`."""
    return [*entries, *newer][-MAX_CONFIG_DIGESTS:]


def newer_digests(base: Sequence[ConfigDigest], entries: Sequence[ConfigDigest]) -> list[ConfigDigest] | None:
    """Return what `append_digests` must append to the base to yield the entries; None if nothing yields them."""
    base_version = base[-1].config_version if base else -1
    newer = [entry for entry in entries if entry.config_version > base_version]
    return newer if append_digests(base, newer) == list(entries) else None


def _parse_number(text: str) -> int | float:
    """Return a JSON number; a float equal to an integer becomes that integer, so both have one canonical form."""
    number = float(text)
    return int(number) if abs(number) < MAX_EXACT_INTEGER and number.is_integer() else number
