"""Creation of the first operator of an empty store; without an operator nobody could call the API."""

from __future__ import annotations

import time
from typing import Final

from hallhitch.administration.errors import StoreError
from hallhitch.administration.secrets import PASSWORD_HASHER, new_secret
from hallhitch.administration.settings import AdministrationSettings
from hallhitch.administration.store_folder import create_store, open_store
from hallhitch.administration.store_records import AuditEntry
from hallhitch.catalog.access import Token
from hallhitch.catalog.changes import Change, Edit, apply_change
from hallhitch.catalog.model import Catalog, Credential, Kind, Scope, Verifier
from hallhitch.catalog.names import OPERATORS

FIRST_OPERATOR_ID: Final = "root"


def create_first_operator(settings: AdministrationSettings, settings_file: str) -> str:
    """Create the store and its first operator, and return the operator's token.

    The store holds only a hash of the token's secret, so the token cannot be read again.

    Raises:
        StoreError: The store cannot be created, or already has operators.
    """
    create_store(settings, settings_file)
    store = open_store(settings, settings_file).store
    try:
        loaded = store.load().catalog
        if loaded.operators:
            raise StoreError(store.path, "the store already has operators; nothing was changed")
        secret = new_secret()
        now_ms = int(time.time() * 1000)
        operator = Credential(Scope.OPERATOR, (Verifier(PASSWORD_HASHER.hash(secret)),))
        # The first epoch is the Unix time: a store created again must not reuse versions of an earlier store.
        empty = loaded if loaded.epoch else Catalog(epoch=max(1, now_ms // 1000))
        store.commit_snapshot(1, empty, 0, 0)
        applied = apply_change(empty, Change(OPERATORS, (Edit(Kind.CREDENTIAL, FIRST_OPERATOR_ID, operator),)))
        with store.batch() as batch:
            batch.append_change(applied.catalog, applied.diff, now_ms, OPERATORS, "init")
            batch.audit(AuditEntry(0, now_ms, OPERATORS, "init", "control init", 201, applied.catalog.epoch, 1))
        return str(Token(OPERATORS, FIRST_OPERATOR_ID, secret))
    finally:
        store.close()
