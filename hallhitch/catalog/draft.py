"""Mutable draft of a catalog: each put and delete updates the indexes and the checksum, without validation.

`changes.apply_change` validates the resulting catalog; `history.apply_diff` uses a draft for rows that were
validated before.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from immutables import Map, MapMutation

from hallhitch.catalog.model import Catalog, Client, Credential, Kind, Tenant, Versioned
from hallhitch.catalog.names import OPERATORS
from hallhitch.catalog.rows import CHECKSUM_MODULUS, Row, entry_hash, tenant_rows


class _TenantDraft:
    """Mutable entries and indexes of one tenant."""

    def __init__(self, tenant: Tenant) -> None:
        self.base = tenant
        self.head = tenant.head
        self.entries = {kind: tenant.entries(kind).mutate() for kind in Tenant.KINDS}
        self.client_counts = tenant.client_counts.mutate()
        self.active_client_counts = tenant.active_client_counts.mutate()
        self.credential_ids_by_client = tenant.credential_ids_by_client.mutate()

    def update_indexes(self, name: str, entry: Versioned, delta: int) -> None:
        """Add an entry to the indexes (`delta` 1) or remove it (-1)."""
        value = entry.value
        if isinstance(value, Client):
            _add_count(self.client_counts, value.plan, delta)
            if value.on:
                _add_count(self.active_client_counts, value.plan, delta)
        elif isinstance(value, Credential) and value.client is not None:
            ids = self.credential_ids_by_client.get(value.client, frozenset())
            ids = ids | {name} if delta > 0 else ids - {name}
            if ids:
                self.credential_ids_by_client[value.client] = ids
            else:
                del self.credential_ids_by_client[value.client]

    def finish(self, version: int) -> Tenant:
        """Return the tenant with the present entries of the draft."""
        entries = {Tenant.KINDS[kind]: mutation.finish() for kind, mutation in self.entries.items()}
        return Tenant(
            self.base.created_in_version,
            version,
            self.head,
            client_counts=self.client_counts.finish(),
            active_client_counts=self.active_client_counts.finish(),
            credential_ids_by_client=self.credential_ids_by_client.finish(),
            **entries,
        )


def _add_count(counts: MapMutation[str, int], name: str, delta: int) -> None:
    total = counts.get(name, 0) + delta
    if total:
        counts[name] = total
    else:
        del counts[name]


class CatalogDraft:
    """Collects puts and deletes on a catalog; `finish` returns the next catalog and does not modify the base."""

    def __init__(self, catalog: Catalog) -> None:
        self.base = catalog
        self.touched: dict[tuple[str, Kind, str], None] = {}  # keys of changed entries, in the order of changes
        self._tenant_drafts: dict[str, _TenantDraft] = {}
        self._tenants = catalog.tenants.mutate()
        self._operators = catalog.operators.mutate()
        self._hosts = catalog.hosts.mutate()
        self._checksum = catalog.checksum

    def get(self, tenant: str, kind: Kind, name: str) -> Versioned | None:
        """Return an entry of the draft, or None if it does not exist."""
        if tenant == OPERATORS:
            return self._operators.get(name) if kind is Kind.CREDENTIAL else None
        tenant_draft = self._tenant_draft(tenant)
        if tenant_draft is None:
            return None
        return tenant_draft.head if kind is Kind.TENANT else tenant_draft.entries[kind].get(name)

    def tenant_of_host(self, name: str) -> str | None:
        """Return the tenant that a host name belongs to in the draft."""
        return self._hosts.get(name)

    def put(self, row: Row) -> None:
        """Create or replace one entry.

        Raises:
            KeyError: The entry's tenant does not exist.
        """
        before = self.get(row.tenant, row.kind, row.name)
        entry = Versioned(row.value, row.version)
        self._update_checksum(row.tenant, row.kind, row.name, before, entry)
        if row.tenant == OPERATORS:
            self._operators[row.name] = entry
            return
        tenant_draft = self._tenant_draft(row.tenant)
        if row.kind is Kind.TENANT:
            if tenant_draft is None:
                self._tenant_drafts[row.tenant] = _TenantDraft(Tenant(row.version, row.version, entry))
            else:
                tenant_draft.head = entry
            return
        if tenant_draft is None:
            raise KeyError(row.tenant)
        tenant_draft.entries[row.kind][row.name] = entry
        if row.kind is Kind.HOST:
            self._hosts[row.name] = row.tenant
        if before is not None:
            tenant_draft.update_indexes(row.name, before, -1)
        tenant_draft.update_indexes(row.name, entry, 1)

    def delete(self, tenant: str, kind: Kind, name: str) -> None:
        """Delete one entry and its dependents: the credentials of a client, all entries of a tenant."""
        before = self.get(tenant, kind, name)
        if before is None:
            return
        if kind is Kind.TENANT:
            self._delete_tenant(tenant)
            return
        self._update_checksum(tenant, kind, name, before, None)
        if tenant == OPERATORS:
            del self._operators[name]
            return
        tenant_draft = self._tenant_draft(tenant)
        if tenant_draft is None:
            raise KeyError(tenant)
        del tenant_draft.entries[kind][name]
        if kind is Kind.HOST:
            del self._hosts[name]
        if kind is Kind.CLIENT:
            for id in sorted(tenant_draft.credential_ids_by_client.get(name, ())):
                self.delete(tenant, Kind.CREDENTIAL, id)
        tenant_draft.update_indexes(name, before, -1)

    def finish_tenants(self, except_tenant: str, version: int) -> None:
        """Finish the open drafts of all tenants but one, so that `finish` has less to do; a later edit reopens it."""
        for name in [name for name in self._tenant_drafts if name != except_tenant]:
            self._tenants[name] = self._tenant_drafts.pop(name).finish(version)

    def finish(self, epoch: int, version: int) -> Catalog:
        """Return the catalog with all changes of the draft."""
        changed = {tenant for tenant, _, _ in self.touched}
        for name, tenant_draft in self._tenant_drafts.items():
            if name in changed:  # the other drafts were opened only for reading
                self._tenants[name] = tenant_draft.finish(version)
        return Catalog(
            epoch, version, self._tenants.finish(), self._operators.finish(), self._hosts.finish(), self._checksum
        )

    def _tenant_draft(self, name: str) -> _TenantDraft | None:
        tenant_draft = self._tenant_drafts.get(name)
        if tenant_draft is None:
            tenant = self._tenants.get(name)
            if tenant is None:
                return None
            tenant_draft = self._tenant_drafts[name] = _TenantDraft(tenant)
        return tenant_draft

    def _update_checksum(
        self, tenant: str, kind: Kind, name: str, before: Versioned | None, after: Versioned | None
    ) -> None:
        self.touched[tenant, kind, name] = None
        if before is not None:
            self._checksum -= entry_hash(tenant, kind, name, before)
        if after is not None:
            self._checksum += entry_hash(tenant, kind, name, after)
        self._checksum %= CHECKSUM_MODULUS

    def _delete_tenant(self, name: str) -> None:
        tenant_draft = self._tenant_draft(name)
        if tenant_draft is None:
            return
        tenant = tenant_draft.finish(0)
        for row in tenant_rows(Catalog(tenants=Map({name: tenant})), name):
            self._checksum -= entry_hash(name, row.kind, row.name, Versioned(row.value, row.version))
        self._checksum %= CHECKSUM_MODULUS
        for host in tenant.hosts:
            del self._hosts[host]
        self.touched = {key: None for key in self.touched if key[0] != name}
        self.touched[name, Kind.TENANT, name] = None
        self._tenant_drafts.pop(name, None)
        if name in self._tenants:
            del self._tenants[name]


@dataclass(slots=True)
class _TenantEntries:
    """Entries of one tenant by kind, collected by `build_catalog`."""

    by_kind: dict[Kind, dict[str, Versioned]] = field(default_factory=lambda: {kind: {} for kind in Kind})

    def build(self, name: str, created_in_version: int, version: int) -> Tenant:
        """Return the tenant with its indexes."""
        client_counts = Counter[str]()
        active_client_counts = Counter[str]()
        for entry in self.by_kind[Kind.CLIENT].values():
            client_counts[entry.value.plan] += 1
            active_client_counts[entry.value.plan] += entry.value.on
        ids_by_client: dict[str, set[str]] = {}
        for id, entry in self.by_kind[Kind.CREDENTIAL].items():
            if entry.value.client is not None:
                ids_by_client.setdefault(entry.value.client, set()).add(id)
        entries = {field_name: Map(self.by_kind[kind]) for kind, field_name in Tenant.KINDS.items()}
        return Tenant(
            created_in_version,
            version,
            self.by_kind[Kind.TENANT][name],
            client_counts=Map(client_counts),
            active_client_counts=Map(+active_client_counts),
            credential_ids_by_client=Map({client: frozenset(ids) for client, ids in ids_by_client.items()}),
            **entries,
        )


def build_catalog(
    epoch: int, version: int, rows: Iterable[Row], tenant_versions: dict[str, tuple[int, int]]
) -> Catalog:
    """Build a catalog from all its rows.

    `tenant_versions` holds the versions that created and last changed each tenant. The result equals that of a draft
    with a put for each row. This is faster, which shortens a start, since it fills plain dicts and converts them to
    persistent maps at the end.
    """
    checksum = 0
    entries: dict[str, _TenantEntries] = {}
    for row in rows:
        entry = Versioned(row.value, row.version)
        checksum += entry_hash(row.tenant, row.kind, row.name, entry)
        tenant_entries = entries.get(row.tenant)
        if tenant_entries is None:
            tenant_entries = entries[row.tenant] = _TenantEntries()
        tenant_entries.by_kind[row.kind][row.name] = entry
    operators = entries.pop(OPERATORS, _TenantEntries()).by_kind[Kind.CREDENTIAL]
    tenants = {name: tenant_entries.build(name, *tenant_versions[name]) for name, tenant_entries in entries.items()}
    hosts: dict[str, str] = {}
    for name, tenant in tenants.items():
        hosts.update(dict.fromkeys(tenant.hosts, name))
    return Catalog(epoch, version, Map(tenants), Map(operators), Map(hosts), checksum % CHECKSUM_MODULUS)


def with_tenant_versions(catalog: Catalog, tenant_versions: dict[str, tuple[int, int]]) -> Catalog:
    """Return the catalog with the given versions as those that created and last changed its tenants."""
    tenants = catalog.tenants.mutate()
    for name, (created_in_version, version) in tenant_versions.items():
        tenant = tenants[name]
        tenants[name] = Tenant(
            created_in_version,
            version,
            tenant.head,
            tenant.plans,
            tenant.clients,
            tenant.hosts,
            tenant.credentials,
            tenant.client_counts,
            tenant.active_client_counts,
            tenant.credential_ids_by_client,
        )
    return Catalog(catalog.epoch, catalog.version, tenants.finish(), catalog.operators, catalog.hosts, catalog.checksum)
