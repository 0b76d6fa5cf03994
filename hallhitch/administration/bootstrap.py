"""The first operator of an empty store: without one nobody could call the API."""

from __future__ import annotations

import time

from hallhitch.administration.secrets import PASSWORD_HASHER, new_secret
from hallhitch.administration.settings import ControlSettings
from hallhitch.administration.store import AuditEntry, StoreError
from hallhitch.administration.store_folder import initialise, open_store
from hallhitch.catalog.access import Token
from hallhitch.catalog.changes import Change, Edit, apply_change
from hallhitch.catalog.model import Catalog, Credential, Kind, Scope, Verifier
from hallhitch.catalog.names import OPERATORS

FIRST_OPERATOR_ID = "root"


def create_first_operator(settings: ControlSettings, file: str) -> str:
    """Make the store and its first operator; the token, which is told this once."""
    initialise(settings, file)
    store, _ = open_store(settings, file)
    try:
        found = store.load().catalog
        if found.operators:
            raise StoreError(f"{store.path}: has operators already; nothing was changed")
        secret, now = new_secret(), int(time.time() * 1000)
        root = Credential(Scope.OPERATOR, (Verifier(PASSWORD_HASHER.hash(secret)),))
        # The epoch begins at the clock's seconds: a store made anew must not repeat versions of an older one.
        empty = found if found.epoch else Catalog(epoch=max(1, now // 1000))
        store.commit_snapshot(1, empty, 0, 0)
        made = apply_change(empty, Change(OPERATORS, (Edit(Kind.CREDENTIAL, FIRST_OPERATOR_ID, root),)))
        with store.batch() as batch:
            batch.append_change(made.catalog, made.diff, now, OPERATORS, "init")
            batch.audit(AuditEntry(0, now, OPERATORS, "init", "control init", 201, made.catalog.epoch, 1))
        return str(Token(OPERATORS, FIRST_OPERATOR_ID, secret))
    finally:
        store.close()
