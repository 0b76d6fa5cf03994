"""The first operator of an empty store: without one nobody could call the API."""

from __future__ import annotations

import time

from hallhitch.administration.opening import initialise, open_store
from hallhitch.administration.secrets import ARGON, new_secret
from hallhitch.administration.settings import ControlSettings
from hallhitch.administration.store import Audited, StoreError
from hallhitch.catalog.access import Token
from hallhitch.catalog.changes import Change, Edit, apply
from hallhitch.catalog.model import Catalogue, Credential, Kind, Scope, Verifier
from hallhitch.catalog.names import OPERATORS

ROOT = "root"


def first_operator(settings: ControlSettings, file: str) -> str:
    """Make the store and its first operator; the token, which is told this once."""
    initialise(settings, file)
    store, _ = open_store(settings, file)
    try:
        found = store.load().catalogue
        if found.operators:
            raise StoreError(f"{store.path}: has operators already; nothing was changed")
        secret, now = new_secret(), int(time.time() * 1000)
        root = Credential(Scope.OPERATOR, (Verifier(ARGON.hash(secret)),))
        # The epoch begins at the clock's seconds: a store made anew must not repeat versions of an older one.
        empty = found if found.epoch else Catalogue(epoch=max(1, now // 1000))
        store.keep_snapshot(1, empty, 0, 0)
        made = apply(empty, Change(OPERATORS, (Edit(Kind.CREDENTIAL, ROOT, root),)))
        with store.batch() as batch:
            batch.keep_change(made.catalogue, made.diff, now, OPERATORS, "init")
            batch.audit(Audited(0, now, OPERATORS, "init", "control init", 201, made.catalogue.epoch, 1))
        return str(Token(OPERATORS, ROOT, secret))
    finally:
        store.close()
