"""Catalog changes: properties over random changes, and the code and field of each refusal."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hallhitch.catalog import names
from hallhitch.catalog.access import Principal as Caller
from hallhitch.catalog.access import Verdict, authorize, parse_token
from hallhitch.catalog.changes import Change, Edit, apply_change
from hallhitch.catalog.draft import build_catalog
from hallhitch.catalog.errors import ChangeRefused
from hallhitch.catalog.history import (
    History,
    apply_diff,
    decode_diff,
    decode_rows,
    encode_diff,
    encode_rows,
    snapshot_diff,
)
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
from hallhitch.catalog.rows import CHECKSUM_MODULUS, catalog_rows, entry_hash
from hallhitch.catalog.tenant_file import TenantFile, plan_edits
from hallhitch.decision.policy import digest
from tests.catalog.catalog_strategies import NAMES, changes, populated_catalog


def assert_consistent(case: unittest.TestCase, catalog: Catalog) -> None:
    """Check the invariants of every catalog against values recomputed from its entries."""
    total = 0
    hosts: dict[str, str] = {}
    for row in catalog_rows(catalog):
        entry = catalog.get(row.tenant, row.kind, row.name)
        assert entry is not None
        total += entry_hash(row.tenant, row.kind, row.name, entry)
    case.assertEqual(total % CHECKSUM_MODULUS, catalog.checksum)
    for name, part in catalog.tenants.items():
        clients = [entry.value for entry in part.clients.values()]
        for plan in {client.plan for client in clients} | set(part.client_counts):
            case.assertIn(plan, part.plans)
            case.assertEqual(part.client_counts.get(plan, 0), sum(c.plan == plan for c in clients))
            case.assertEqual(part.active_client_counts.get(plan, 0), sum(c.plan == plan and c.on for c in clients))
        rate_sum = sum(part.plans[c.plan].value.rate for c in clients if c.on)
        case.assertAlmostEqual(part.rate, rate_sum)
        limits = part.head.value.limits
        case.assertLessEqual(rate_sum, limits.rate + 1e-6)
        case.assertLessEqual(len(part.clients), limits.clients)
        hosts |= dict.fromkeys(part.hosts, name)
        credential_ids: dict[str, set[str]] = {}
        for id, entry in part.credentials.items():
            if entry.value.client is not None:
                case.assertIn(entry.value.client, part.clients)
                credential_ids.setdefault(entry.value.client, set()).add(id)
        case.assertEqual({client: set(ids) for client, ids in part.credential_ids_by_client.items()}, credential_ids)
    case.assertEqual(dict(catalog.hosts), hosts)


class CatalogProperties(unittest.TestCase):
    """Properties over random sequences of changes."""

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.lists(changes(), max_size=25))
    def test_random_changes_keep_indexes_checksum_and_diffs_consistent(self, sequence: list[Change]) -> None:
        """Guards against indexes, checksums and diffs that differ from the entries, and against gaps in versions."""
        catalog = populated_catalog()
        catalogs, history = [catalog], History()
        history.start(3, catalog.version)
        for change in sequence:
            before = catalog
            try:
                applied = apply_change(catalog, change)
            except ChangeRefused as refusal:
                self.assertIn(refusal.code, ChangeRefused.CODES)
                continue
            self.assertEqual(applied.catalog.version, before.version + 1)
            self.assertEqual(apply_diff(before, decode_diff(encode_diff(applied.diff))), applied.catalog)
            others = {name: part for name, part in before.tenants.items() if name != change.tenant}
            self.assertEqual(others, {n: p for n, p in applied.catalog.tenants.items() if n != change.tenant})
            catalog = applied.catalog
            assert_consistent(self, catalog)
            history.add(applied.diff)
            catalogs.append(catalog)
        for old in catalogs:
            diff = history.diff(catalog, 3, old.version)
            assert diff is not None
            self.assertEqual(apply_diff(old, decode_diff(encode_diff(diff))), catalog)
        whole_diff = snapshot_diff(catalog)
        rows = decode_rows(encode_rows(whole_diff.rows))
        self.assertEqual(build_catalog(3, catalog.version, rows, whole_diff.parts), catalog)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.data())
    def test_planned_edits_reach_a_declared_tenant_in_one_change_or_several(self, data: st.DataObject) -> None:
        """Guards against edits that fail from the tenant's current state, sent as one change or in several."""

        def declared() -> TenantFile:
            plans = {n: Plan(1.0, 3.0) for n in data.draw(st.sets(NAMES, min_size=1))}
            clients = {n: Client(data.draw(st.sampled_from(sorted(plans)))) for n in data.draw(st.sets(NAMES))}
            hosts = {f"{n}.example.org": Host() for n in data.draw(st.sets(NAMES))}
            return TenantFile("a", True, Limits(), plans, clients, hosts)

        catalog = Catalog(epoch=1)
        for wanted in (declared(), declared()):
            present = {}
            if "a" in catalog.tenants:
                for row in catalog_rows(catalog):
                    present[row.kind, row.name] = (row.value, str(row.version))
            planned = plan_edits(present, wanted.entries())
            chunk = data.draw(st.integers(1, 4))
            for start in range(0, len(planned), chunk):
                part = [Edit(s.kind, s.name, s.wanted, int(s.version or 0)) for s in planned[start : start + chunk]]
                catalog = apply_change(catalog, Change("a", tuple(part))).catalog
            self.assertEqual({(r.kind, r.name): r.value for r in catalog_rows(catalog)}, wanted.entries())

    @given(
        st.text("abc/.:@", max_size=6),
        st.text("abc/.:@", max_size=6),
        st.text("abc/.:@", max_size=6),
        st.text("abc/.:@", max_size=6),
    )
    def test_customer_ids_are_unique_over_tenants(self, a: str, b: str, c: str, d: str) -> None:
        """Guards against clients of two tenants that share a quota because their ids collide."""
        if all(map(names.is_tenant, (a, c))) and all(map(names.is_client, (b, d))) and (a, b) != (c, d):
            self.assertNotEqual(names.decision_customer_id(a, b), names.decision_customer_id(c, d))


class ChangeRefusals(unittest.TestCase):
    """Invalid changes, with the code and field of their refusals."""

    def setUp(self) -> None:
        first = Change(
            "a",
            (
                Edit(Kind.TENANT, "a", Head(limits=Limits(clients=2, rate=5.0))),
                Edit(Kind.PLAN, "p", Plan(2.0, 4.0)),
                Edit(Kind.CLIENT, "one", Client("p")),
                Edit(Kind.HOST, "a.example.org", Host()),
            ),
        )
        other_change = Change("b", (Edit(Kind.TENANT, "b", Head()),))
        operator = Change("", (Edit(Kind.CREDENTIAL, "root", Credential(Scope.OPERATOR, (Verifier("h"),))),))
        self.initial_catalog = Catalog(epoch=1)
        for change in (first, other_change, operator):
            self.initial_catalog = apply_change(self.initial_catalog, change).catalog

    def test_each_refusal_has_its_code_and_field(self) -> None:
        """Guards against an invalid change that is applied, or refused without the field at fault."""
        key = (Verifier("h"),)
        cases: list[tuple[str, Edit | tuple[Edit, ...], str, str]] = [
            ("c", Edit(Kind.PLAN, "p", Plan()), "not-found", "edits[0]"),
            ("a", Edit(Kind.PLAN, "q"), "not-found", "edits[0]"),
            ("a", Edit(Kind.PLAN, "p", Plan(1.0, 1.0), expect=0), "stale", "edits[0]"),
            ("a", Edit(Kind.PLAN, "p", Plan(1.0, 1.0), expect=99), "stale", "edits[0]"),
            ("a", Edit(Kind.PLAN, "q", Plan(1.0, 1.0), expect=1), "stale", "edits[0]"),
            ("a", Edit(Kind.PLAN, "q", Plan(1.0, 0.0)), "invalid", "edits[0].value.burst"),
            ("a", Edit(Kind.PLAN, "q", Plan(ceiling_rate=1.0)), "invalid", "edits[0].value.ceiling_burst"),
            ("a", Edit(Kind.PLAN, "q", Plan(float("nan"), 1.0)), "invalid", "edits[0].value"),
            ("a", Edit(Kind.PLAN, "q", Plan(-1.0, 1.0)), "invalid", "edits[0].value"),
            ("a", Edit(Kind.PLAN, "q", Client("p")), "invalid", "edits[0].value"),
            ("a", Edit(Kind.PLAN, "Q", Plan()), "invalid", "edits[0].name"),
            ("a", Edit(Kind.CLIENT, "a/b", Client("p")), "invalid", "edits[0].name"),
            ("a", Edit(Kind.CLIENT, "00000000B4D65521", Client("p")), "invalid", "edits[0].name"),
            ("a", Edit(Kind.TENANT, "b", Head()), "invalid", "edits[0].name"),
            ("a", Edit(Kind.HOST, "localhost", Host()), "invalid", "edits[0].name"),
            ("a", Edit(Kind.CLIENT, "two", Client("q")), "in-use", "plan"),
            ("a", Edit(Kind.PLAN, "p"), "in-use", "plan"),
            ("a", Edit(Kind.CREDENTIAL, "k", Credential(Scope.CLIENT, key, "two")), "not-found", "client"),
            ("a", Edit(Kind.CREDENTIAL, "k", Credential(Scope.CLIENT, key)), "invalid", "edits[0].value.client"),
            ("a", Edit(Kind.CREDENTIAL, "k", Credential(Scope.OPERATOR, key)), "invalid", "edits[0].value.scope"),
            ("a", Edit(Kind.CREDENTIAL, "k", Credential(Scope.ADMIN)), "invalid", "edits[0].value.verifiers"),
            (
                "a",
                (Edit(Kind.CLIENT, "two", Client("p")), Edit(Kind.CLIENT, "six", Client("p"))),
                "over-limit",
                "limits.clients",
            ),
            ("a", Edit(Kind.PLAN, "p", Plan(6.0, 9.0)), "over-limit", "limits.rate"),
            ("a", Edit(Kind.TENANT, "a", Head(limits=Limits(rate=1.0))), "over-limit", "limits.rate"),
            ("b", Edit(Kind.HOST, "a.example.org", Host()), "taken", "edits[0].name"),
            ("", Edit(Kind.CREDENTIAL, "root"), "in-use", "edits"),
            ("", Edit(Kind.PLAN, "p", Plan()), "invalid", "edits[0].name"),
            ("a", (), "invalid", "edits"),
        ]
        for tenant, edit, code, field in cases:
            with self.subTest(tenant=tenant, edit=edit), self.assertRaises(ChangeRefused) as refusal:
                apply_change(self.initial_catalog, Change(tenant, edit if isinstance(edit, tuple) else (edit,)))
            self.assertEqual((refusal.exception.code, refusal.exception.field), (code, field))

    def test_limits_are_checked_on_the_result_of_all_edits(self) -> None:
        """Guards against a refusal of an atomic change because of the order of its edits."""
        applied = apply_change(
            self.initial_catalog,
            Change(
                "a", (Edit(Kind.PLAN, "p"), Edit(Kind.CLIENT, "one", Client("q")), Edit(Kind.PLAN, "q", Plan(1.0, 1.0)))
            ),
        )
        self.assertEqual(list(applied.catalog.tenants["a"].plans), ["q"])

    def test_a_recreated_tenant_is_reset_in_the_diff(self) -> None:
        """Guards against followers that keep entries of a tenant from before it was deleted and recreated."""
        history = History()
        history.start(1, self.initial_catalog.version)
        now = self.initial_catalog
        for change in (Change("a", (Edit(Kind.TENANT, "a"),)), Change("a", (Edit(Kind.TENANT, "a", Head()),))):
            applied = apply_change(now, change)
            history.add(applied.diff)
            now = applied.catalog
        diff = history.diff(now, 1, self.initial_catalog.version)
        assert diff is not None
        self.assertEqual((diff.reset, apply_diff(self.initial_catalog, diff)), (("a",), now))

    def test_versions_evicted_from_history_give_no_diff(self) -> None:
        """Guards against a diff that omits versions, and a diff across epochs."""
        history, now = History(max_names=3), self.initial_catalog
        history.start(1, now.version)
        for number in range(5):
            applied = apply_change(now, Change("b", (Edit(Kind.PLAN, f"p{number}", Plan()),)))
            history.add(applied.diff)
            now = applied.catalog
        self.assertIsNone(history.diff(now, 1, self.initial_catalog.version))
        self.assertIsNone(history.diff(now, 2, now.version))
        self.assertIsNone(history.diff(now, 1, now.version + 1))
        oldest_diff = history.diff(now, 1, now.version - 3)
        assert oldest_diff is not None
        self.assertEqual(len(oldest_diff.rows), 3)
        with self.assertRaises(ValueError):
            apply_diff(self.initial_catalog, oldest_diff)


class AccessDecisions(unittest.TestCase):
    """Authorization and tokens."""

    def test_other_tenants_are_hidden_and_own_entries_follow_the_scope(self) -> None:
        """Guards against a 403 that reveals another tenant, and against scopes that permit too much."""
        admin, reader = Caller("a", "x", Scope.ADMIN), Caller("a", "y", Scope.READ)
        client, operator = Caller("a", "z", Scope.CLIENT), Caller("", "o", Scope.OPERATOR)
        for kind in Kind:
            for write in (True, False):
                self.assertEqual(authorize(operator, "a", kind, write), Verdict.ALLOWED)
                self.assertEqual(authorize(client, "a", kind, write), Verdict.HIDDEN)
                for caller in (admin, reader):
                    for other_tenant in ("b", "", "nobody"):
                        self.assertEqual(authorize(caller, other_tenant, kind, write), Verdict.HIDDEN)
            self.assertEqual(authorize(reader, "a", kind, True), Verdict.BEYOND_SCOPE)
            own = kind in (Kind.PLAN, Kind.CLIENT, Kind.CREDENTIAL)
            self.assertEqual(authorize(admin, "a", kind, True), Verdict.ALLOWED if own else Verdict.BEYOND_SCOPE)

    def test_tokens_parse_to_one_form(self) -> None:
        """Guards against a token that could be read as another tenant's."""
        token = parse_token("hh_acme.boss." + "x" * 43)
        assert token is not None
        self.assertEqual(
            (token.tenant, token.id, str(token)),
            ("acme", "boss", "hh_acme.boss." + "x" * 43),
        )
        for text in (
            "",
            "hh_acme.boss.short",
            "hh_acme.b.oss." + "x" * 43,
            "xx_acme.boss." + "x" * 43,
            "hh_acme.boss." + "x" * 44,
            "hh_ACME.boss." + "x" * 43,
        ):
            self.assertIsNone(parse_token(text), text)

    def test_customer_ids_of_two_tenants_hash_differently(self) -> None:
        """Guards against equal client ids of two tenants that share a key of the counter."""
        first_id, second_id = (
            names.decision_customer_id("a", "00000000b4d65521"),
            names.decision_customer_id("b", "00000000b4d65521"),
        )
        self.assertNotEqual(digest(first_id), digest(second_id))
