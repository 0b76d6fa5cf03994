"""Checks of texts that come from outside: which ones messages, header fields and paths can contain."""

from __future__ import annotations

import re
from typing import Final, TypeGuard

_FIELD_VALUE_PATTERN: Final = re.compile(r"[\t -~\x80-\xff]*")
_PATH_PATTERN: Final = re.compile(r"[!->@-~]*")


def is_text(value: object) -> TypeGuard[str]:
    """Return whether a value is a non-empty string that UTF-8 can encode: one without surrogates."""
    if not isinstance(value, str) or not value:
        return False
    return value.isascii() or not any("\ud800" <= character <= "\udfff" for character in value)


def is_visible_ascii(value: object) -> TypeGuard[str]:
    """Return whether a value is a non-empty string of visible ASCII characters, without spaces."""
    return isinstance(value, str) and value.isascii() and value.isprintable() and value != "" and " " not in value


def is_field_value(text: str) -> bool:
    """Return whether a header field can carry this text: Latin-1 without control characters or spaces around it."""
    return bool(_FIELD_VALUE_PATTERN.fullmatch(text)) and text == text.strip(" \t")


def is_path(text: str) -> bool:
    """Return whether the path of a request can contain this text: visible ASCII without a question mark."""
    return bool(_PATH_PATTERN.fullmatch(text))
