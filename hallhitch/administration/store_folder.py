"""Creation and opening of a store's directory with its database and key file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Final

from hallhitch.administration.errors import StoreError
from hallhitch.administration.secrets import ServiceKeys
from hallhitch.administration.settings import AdministrationSettings
from hallhitch.administration.store import SqliteStore

KEY_ID_ENTRY: Final = "key"  # entry of the table `meta` that holds the id of the store's key


@dataclass(frozen=True, slots=True)
class OpenedStore:
    """An open store and its keys."""

    store: SqliteStore
    keys: ServiceKeys


def open_store(settings: AdministrationSettings, settings_file: str) -> OpenedStore:
    """Open the store, and read its key file.

    Raises:
        StoreError: The store or its key file is missing or unreadable, or the key belongs to another store.
    """
    folder = settings.path(settings.store.folder, settings_file)
    store = SqliteStore(folder)
    try:
        keys = ServiceKeys.read(folder)
        if store.meta(KEY_ID_ENTRY) != keys.key_id:
            raise _key_mismatch_error(folder)
    except BaseException:
        store.close()
        raise
    return OpenedStore(store, keys)


def create_store(settings: AdministrationSettings, settings_file: str) -> Path:
    """Create the directory, the key file and an empty store where they do not exist, and return the directory.

    Raises:
        StoreError: The directory cannot be written, or holds a store that was created with another key.
    """
    folder = settings.path(settings.store.folder, settings_file)
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
            raise _key_mismatch_error(folder)
    finally:
        store.close()
    return folder


def _key_mismatch_error(folder: Path) -> StoreError:
    return StoreError(folder, "the key file is not the one that this store was created with")
