"""Opening of a control plane's folder: the store, and the key file that goes with it."""

from __future__ import annotations

from pathlib import Path

from hallhitch.administration.secrets import ServiceKeys
from hallhitch.administration.settings import ControlSettings
from hallhitch.administration.store import SqliteStore, StoreError

KEY_ID_ENTRY = "key"  # where the store keeps which key file it goes with


def open_store(settings: ControlSettings, file: str) -> tuple[SqliteStore, ServiceKeys]:
    """The store and the key that goes with it."""
    folder = settings.path(settings.store.folder, file)
    store = SqliteStore(folder)
    try:
        keys = ServiceKeys.read(folder)
        if store.meta(KEY_ID_ENTRY) != keys.key_id:
            raise StoreError(f"{folder}: the key file is not the one that this store was made with")
    except BaseException:
        store.close()
        raise
    return store, keys


def initialise(settings: ControlSettings, file: str) -> Path:
    """Make the folder, the key and an empty store; what is there already stays."""
    folder = settings.path(settings.store.folder, file)
    try:
        folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        keys = ServiceKeys.create(folder)
    except OSError as error:
        raise StoreError(f"{folder}: {error.strerror}") from error
    store = SqliteStore(folder, create=True)
    try:
        word = store.meta(KEY_ID_ENTRY)
        if word is None:
            store.meta(KEY_ID_ENTRY, keys.key_id)
        elif word != keys.key_id:
            raise StoreError(f"{folder}: the key file is not the one that this store was made with")
    finally:
        store.close()
    return folder
