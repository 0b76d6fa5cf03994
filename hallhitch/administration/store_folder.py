"""Opening and creation of a store's directory, with the key file that belongs to it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Final

from hallhitch.administration.errors import StoreError
from hallhitch.administration.secrets import ServiceKeys
from hallhitch.administration.settings import AdministrationSettings
from hallhitch.administration.store import SqliteStore

KEY_ID_ENTRY: Final = "key"  # the store's entry that holds the id of its key file


@dataclass(frozen=True, slots=True)
class OpenedStore:
    """Store with the keys that belong to it."""

    store: SqliteStore
    keys: ServiceKeys


def open_store(settings: AdministrationSettings, file: str) -> OpenedStore:
    """Open the store and read its key file.

    Raises:
        StoreError: The store or the key file is missing or cannot be read, or they do not belong together.
    """
    folder = settings.path(settings.store.folder, file)
    store = SqliteStore(folder)
    try:
        keys = ServiceKeys.read(folder)
        if store.meta(KEY_ID_ENTRY) != keys.key_id:
            raise _foreign_key(folder)
    except BaseException:
        store.close()
        raise
    return OpenedStore(store, keys)


def initialise(settings: AdministrationSettings, file: str) -> Path:
    """Create the directory, the key file and an empty store, and return the directory; what exists is kept.

    Raises:
        StoreError: The directory cannot be written, or holds a store of another key.
    """
    folder = settings.path(settings.store.folder, file)
    try:
        folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        keys = ServiceKeys.create(folder)
    except OSError as error:
        raise StoreError(folder, error.strerror) from error
    store = SqliteStore(folder, create=True)
    try:
        key_id = store.meta(KEY_ID_ENTRY)
        if key_id is None:
            store.set_meta(KEY_ID_ENTRY, keys.key_id)
        elif key_id != keys.key_id:
            raise _foreign_key(folder)
    finally:
        store.close()
    return folder


def _foreign_key(folder: Path) -> StoreError:
    return StoreError(folder, "the key file is not the one that this store was made with")
