"""Hypothesis strategies for catalogs and their changes."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st

from hallhitch.catalog.changes import Change, Edit, apply_change
from hallhitch.catalog.model import (
    Catalog,
    Client,
    Credential,
    Head,
    Host,
    Kind,
    Limits,
    Plan,
    Scope,
    Verifier,
)

NAMES = st.sampled_from(["x", "y", "z"])
HOSTS = st.sampled_from(["a.example.org", "b.example.org", "x.example.org"])
VALUES: dict[Kind, st.SearchStrategy[Any]] = {
    Kind.TENANT: st.builds(
        Head,
        st.booleans(),
        st.builds(Limits, clients=st.integers(1, 3), plans=st.integers(1, 3), rate=st.sampled_from([2, 5.0, 100.0])),
    ),
    Kind.PLAN: st.builds(Plan, rate=st.sampled_from([0, 1, 2.5]), burst=st.sampled_from([0.0, 3.0])),
    Kind.CLIENT: st.builds(Client, NAMES, st.booleans()),
    Kind.HOST: st.builds(Host, st.booleans()),
    Kind.CREDENTIAL: st.builds(
        Credential, st.sampled_from(list(Scope)), st.just((Verifier("h"),)), st.none() | NAMES, st.none() | st.just(5)
    ),
}


@st.composite
def edits(draw: st.DrawFn, tenant: str) -> Edit:
    """Generate an edit, valid or not."""
    kind = draw(st.sampled_from(list(Kind)))
    name = tenant if kind is Kind.TENANT else draw(HOSTS if kind is Kind.HOST else NAMES)
    is_deletion = draw(st.integers(0, 9)) < (1 if kind is Kind.TENANT else 3)
    return Edit(
        kind, name, None if is_deletion else draw(VALUES[kind]), draw(st.none() | st.none() | st.integers(0, 6))
    )


@st.composite
def changes(draw: st.DrawFn) -> Change:
    """Generate a change of one of three tenants, or of the operators."""
    tenant = draw(st.sampled_from(["a", "b", "c", ""]))
    return Change(tenant, tuple(draw(st.lists(edits(tenant), min_size=1, max_size=5))))


def populated_catalog() -> Catalog:
    """Return a catalog with entries that most generated changes apply to."""
    catalog = Catalog(epoch=3)
    for tenant in "ab":
        initial_edits = (
            Edit(Kind.TENANT, tenant, Head(limits=Limits(3, 3))),
            Edit(Kind.PLAN, "x", Plan(1.0, 3.0)),
            Edit(Kind.CLIENT, "x", Client("x")),
            Edit(Kind.HOST, f"{tenant}.example.org", Host()),
            Edit(Kind.CREDENTIAL, "x", Credential(Scope.CLIENT, (Verifier("h"),), "x")),
        )
        catalog = apply_change(catalog, Change(tenant, initial_edits)).catalog
    return catalog
