"""A catalogue being changed: the indexes and the checksum follow each put and drop. It refuses nothing.

`changes.apply` checks what comes out of it; `build` and `history.patch` use it on rows that were checked before.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from immutables import Map, MapMutation

from hallhitch.catalog.model import Catalog, Client, Credential, Kind, Tenant, Versioned
from hallhitch.catalog.rows import CHECKSUM_MODULUS, Row, entry_hash, tenant_rows


class _TenantDraft:
    """One tenant's part, open for changes."""

    def __init__(self, tenant: Tenant) -> None:
        self.base = tenant
        self.head = tenant.head
        self.things = {kind: tenant.entries(kind).mutate() for kind in Tenant.KINDS}
        self.members = tenant.client_counts.mutate()
        self.active = tenant.active_client_counts.mutate()
        self.keys = tenant.credential_ids_by_client.mutate()

    def count_client(self, client: Client, by: int) -> None:
        """Keep the numbers of clients by plan."""
        _add_count(self.members, client.plan, by)
        if client.on:
            _add_count(self.active, client.plan, by)

    def finish(self, version: int) -> Tenant:
        """The part as it stands now."""
        done = {Tenant.KINDS[kind]: things.finish() for kind, things in self.things.items()}
        return Tenant(
            self.base.created_in_version,
            version,
            self.head,
            client_counts=self.members.finish(),
            active_client_counts=self.active.finish(),
            credential_ids_by_client=self.keys.finish(),
            **done,
        )


def _add_count(counts: MapMutation[str, int], name: str, by: int) -> None:
    total = counts.get(name, 0) + by
    if total:
        counts[name] = total
    else:
        del counts[name]


class CatalogDraft:
    """Puts and drops on a catalogue; `done` gives the next one and leaves the first as it was."""

    def __init__(self, catalog: Catalog) -> None:
        self.base = catalog
        self.touched: dict[tuple[str, Kind, str], None] = {}  # in order
        self._parts: dict[str, _TenantDraft] = {}
        self._tenants = catalog.tenants.mutate()
        self._operators = catalog.operators.mutate()
        self._hosts = catalog.hosts.mutate()
        self._checksum = catalog.checksum

    def get(self, tenant: str, kind: Kind, name: str) -> Versioned | None:
        """What stands in the draft now."""
        if tenant == "":
            return self._operators.get(name) if kind is Kind.CREDENTIAL else None
        part = self._open_part(tenant)
        if part is None:
            return None
        return part.head if kind is Kind.TENANT else part.things[kind].get(name)

    def tenant_of_host(self, name: str) -> str | None:
        """Which tenant a host name leads to now."""
        return self._hosts.get(name)

    def put(self, row: Row) -> None:
        """Put one thing; its tenant is there already, or is what is put."""
        was = self.get(row.tenant, row.kind, row.name)
        kept = Versioned(row.value, row.version)
        self._update_checksum(row.tenant, row.kind, row.name, was, kept)
        if row.tenant == "":
            self._operators[row.name] = kept
            return
        part = self._open_part(row.tenant)
        if row.kind is Kind.TENANT:
            if part is None:
                self._parts[row.tenant] = _TenantDraft(Tenant(row.version, row.version, kept))
            else:
                part.head = kept
            return
        if part is None:
            raise KeyError(row.tenant)
        part.things[row.kind][row.name] = kept
        if row.kind is Kind.HOST:
            self._hosts[row.name] = row.tenant
        self._index(part, row.name, was, kept)

    def drop(self, tenant: str, kind: Kind, name: str) -> None:
        """Take one thing out, and what hangs on it: a client's credentials, all that a tenant has."""
        was = self.get(tenant, kind, name)
        if was is None:
            return
        if kind is Kind.TENANT:
            return self._drop_tenant(tenant)
        self._update_checksum(tenant, kind, name, was, None)
        if tenant == "":
            del self._operators[name]
            return
        part = self._open_part(tenant)
        if part is None:
            raise KeyError(tenant)
        del part.things[kind][name]
        if kind is Kind.HOST:
            del self._hosts[name]
        if kind is Kind.CLIENT:
            for id in sorted(part.keys.get(name, ())):
                self.drop(tenant, Kind.CREDENTIAL, id)
        self._index(part, name, was, None)

    def close_parts(self, but: str, version: int) -> None:
        """Close all open parts but one, so that `done` has less to do; they open again if need be."""
        for name in [name for name in self._parts if name != but]:
            self._tenants[name] = self._parts.pop(name).finish(version)

    def finish(self, epoch: int, version: int) -> Catalog:
        """The catalogue that has come of it."""
        changed = {tenant for tenant, _, _ in self.touched}
        for name, part in self._parts.items():
            if name in changed:  # others were opened only to be read
                self._tenants[name] = part.finish(version)
        return Catalog(
            epoch, version, self._tenants.finish(), self._operators.finish(), self._hosts.finish(), self._checksum
        )

    def _open_part(self, tenant: str) -> _TenantDraft | None:
        part = self._parts.get(tenant)
        if part is None:
            whole = self._tenants.get(tenant)
            if whole is None:
                return None
            part = self._parts[tenant] = _TenantDraft(whole)
        return part

    def _update_checksum(
        self, tenant: str, kind: Kind, name: str, was: Versioned | None, now: Versioned | None
    ) -> None:
        self.touched[tenant, kind, name] = None
        if was is not None:
            self._checksum -= entry_hash(tenant, kind, name, was)
        if now is not None:
            self._checksum += entry_hash(tenant, kind, name, now)
        self._checksum %= CHECKSUM_MODULUS

    def _index(self, part: _TenantDraft, name: str, was: Versioned | None, now: Versioned | None) -> None:
        for kept, by in ((was, -1), (now, 1)):
            if kept is None:
                continue
            value = kept.value
            if isinstance(value, Client):
                part.count_client(value, by)
            elif isinstance(value, Credential) and value.client is not None:
                ids = part.keys.get(value.client, frozenset())
                ids = ids | {name} if by > 0 else ids - {name}
                if ids:
                    part.keys[value.client] = ids
                else:
                    del part.keys[value.client]

    def _drop_tenant(self, tenant: str) -> None:
        open_part = self._open_part(tenant)
        if open_part is None:
            return
        part = open_part.finish(0)
        whole = Catalog(tenants=Map({tenant: part}))
        for row in tenant_rows(whole, tenant):
            self._checksum -= entry_hash(tenant, row.kind, row.name, Versioned(row.value, row.version))
        self._checksum %= CHECKSUM_MODULUS
        for host in part.hosts:
            del self._hosts[host]
        self.touched = {key: None for key in self.touched if key[0] != tenant}
        self.touched[tenant, Kind.TENANT, tenant] = None
        self._parts.pop(tenant, None)
        if tenant in self._tenants:
            del self._tenants[tenant]


def build_catalog(epoch: int, version: int, rows: Iterable[Row], parts: dict[str, tuple[int, int]]) -> Catalog:
    """A catalogue from all its rows, each tenant's own among them; `parts` has each tenant's `born` and `version`.

    The same as a draft with a put for each row, for starts: plain dicts, made into persistent maps at the end.
    """
    total = 0
    things: dict[str, dict[Kind, dict[str, Versioned]]] = {}
    for row in rows:
        kept = Versioned(row.value, row.version)
        total += entry_hash(row.tenant, row.kind, row.name, kept)
        part = things.get(row.tenant)
        if part is None:
            part = things[row.tenant] = {kind: {} for kind in Kind}
        part[row.kind][row.name] = kept
    operators = things.pop("", {}).get(Kind.CREDENTIAL, {})
    hosts: dict[str, str] = {}
    tenants = {name: _build_tenant(name, part, *parts[name]) for name, part in things.items()}
    for name, tenant in tenants.items():
        hosts.update(dict.fromkeys(tenant.hosts, name))
    return Catalog(epoch, version, Map(tenants), Map(operators), Map(hosts), total % CHECKSUM_MODULUS)


def _build_tenant(name: str, things: dict[Kind, dict[str, Versioned]], born: int, version: int) -> Tenant:
    """One tenant's part with its indexes, from all its things."""
    members, active = Counter[str](), Counter[str]()
    for kept in things[Kind.CLIENT].values():
        members[kept.value.plan] += 1
        active[kept.value.plan] += kept.value.on
    keys: dict[str, set[str]] = {}
    for id, kept in things[Kind.CREDENTIAL].items():
        if kept.value.client is not None:
            keys.setdefault(kept.value.client, set()).add(id)
    made = {field: Map(things[kind]) for kind, field in Tenant.KINDS.items()}
    return Tenant(
        born,
        version,
        things[Kind.TENANT][name],
        client_counts=Map(members),
        active_client_counts=Map(+active),
        credential_ids_by_client=Map({client: frozenset(ids) for client, ids in keys.items()}),
        **made,
    )


def with_part_versions(catalog: Catalog, parts: dict[str, tuple[int, int]]) -> Catalog:
    """The same catalogue with the `born` and `version` of tenants as told."""
    tenants = catalog.tenants.mutate()
    for name, (born, version) in parts.items():
        was = tenants[name]
        tenants[name] = Tenant(
            born,
            version,
            was.head,
            was.plans,
            was.clients,
            was.hosts,
            was.credentials,
            was.client_counts,
            was.active_client_counts,
            was.credential_ids_by_client,
        )
    return Catalog(catalog.epoch, catalog.version, tenants.finish(), catalog.operators, catalog.hosts, catalog.checksum)
