"""A tenant's credential tried on everything of another's, generated from the API's own description.

A path that is new in the description is tried without a line here being changed.
"""

from __future__ import annotations

from typing import Any

import httpx

from tests.administration_process import AdministrationCase, change, issue, seed

OTHER, NOBODY = "bolt", "nobody"
SECRET_WORDS = ("bolt", "spy-plan", "spy-client", "spy.example.org")


def sample(schema: dict[str, Any], schemas: dict[str, Any]) -> Any:
    """A value that fits a schema of the description."""
    if "$ref" in schema:
        return sample(schemas[schema["$ref"].rpartition("/")[2]], schemas)
    for several in ("oneOf", "anyOf"):
        if several in schema:
            return sample(next(s for s in schema[several] if s.get("type") != "null"), schemas)
    if "enum" in schema:
        return schema["enum"][0]
    kind = schema.get("type", "object")
    if isinstance(kind, list):
        kind = next(k for k in kind if k != "null")
    if kind == "object":
        needed = schema.get("required", [])
        return {name: sample(what, schemas) for name, what in schema.get("properties", {}).items() if name in needed}
    if kind == "array":
        return [sample(schema["items"], schemas)] if schema.get("minItems") else []
    return {
        "string": "a" * max(1, schema.get("minLength", 1)),
        "integer": int(schema.get("minimum", 1)),
        "number": 1.0,
        "boolean": True,
        "null": None,
    }[kind]


class TenantIsolation(AdministrationCase):
    """Two tenants with the same names for their things."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await seed(self.root, "acme", OTHER)
        await change(
            self.root,
            "POST",
            f"/v1/tenants/{OTHER}/changes",
            {
                "edits": [
                    {"kind": "plan", "name": "spy-plan", "value": {}},
                    {"kind": "client", "name": "spy-client", "value": {"plan": "spy-plan"}},
                    {"kind": "host", "name": "spy.example.org", "value": {}},
                ]
            },
        )
        self.boss = await issue(self.root, "acme", "boss")
        await issue(self.root, OTHER, "spy-credential")
        self.described = (await self.root.get("/openapi.json")).json()

    def calls(self, tenant: str, present: bool) -> list[tuple[str, str, Any]]:
        """Every method of every path, aimed at a tenant's things, there or not."""
        made = []
        schemas = self.described["components"]["schemas"]
        for path, methods in self.described["paths"].items():
            names = {
                "plans": "spy-plan",
                "clients": "spy-client",
                "hosts": "spy.example.org",
                "credentials": "spy-credential",
                "operators": "root",
                "versions": self.version,
            }
            last = next((names[part] for part in path.split("/") if part in names), "")
            for method, operation in methods.items():
                body = operation.get("requestBody", {}).get("content", {}).get("application/json", {}).get("schema")
                place = path.replace("{tenant}", tenant).replace("{name}", last if present else "none-such")
                place = place.replace("{number}", self.version if present else "999999")
                made.append((method.upper(), place, sample(body, schemas) if body else None))
        return made

    async def _try(self, client: httpx.AsyncClient, call: tuple[str, str, Any], **headers: str) -> httpx.Response:
        method, path, body = call
        if method == "GET":
            return await client.get(path, headers=headers)
        return await change(client, method, path, body, **headers)

    async def _state(self) -> list[Any]:
        """All that the operators see of the other tenant, but for what the audit says of the calls made here."""
        base = f"/v1/tenants/{OTHER}"
        return [
            (await self.root.get(place)).json()
            for place in (
                base,
                f"{base}/plans",
                f"{base}/clients",
                f"{base}/hosts",
                f"{base}/credentials",
                "/v1/operators",
            )
        ]

    async def test_other_tenants_entries_are_neither_read_nor_changed(self) -> None:
        """Guards against a path where a tenant reaches another's things, or learns that they are there."""
        self.version = (await self.root.get(f"/v1/tenants/{OTHER}")).json()["part_version"].split(".")[1]
        before, tried = await self._state(), 0
        tokens = {"admin": self.boss, "reader": await issue(self.root, "acme", "eye", "read")}
        for scope, token in tokens.items():
            async with self.plane.client(token) as caller:
                there, absent = self.calls(OTHER, True), self.calls(NOBODY, False)
                for mine, void in zip(there, absent, strict=True):
                    with self.subTest(scope=scope, call=mine[:2]):
                        found, nothing = await self._try(caller, mine), await self._try(caller, void)
                        tried += 1
                        if mine[1] == "/v1/tenants":
                            self.assertEqual([t["name"] for t in found.json()["items"]], ["acme"])
                            continue
                        self.assertEqual(found.status_code, 404, found.text)
                        self.assertEqual((found.content, found.headers), (nothing.content, nothing.headers))
                        for word in SECRET_WORDS:
                            self.assertNotIn(word, found.text)
                        self.assertNotIn("etag", found.headers)
                        conditional = await self._try(caller, mine, If_Match="*")
                        self.assertEqual(conditional.content, found.content)
        self.assertGreaterEqual(tried, 60)
        self.assertEqual(await self._state(), before)

    async def test_invalid_credentials_are_rejected(self) -> None:
        """Guards against a path that forgets to ask who calls."""
        self.version = "2"
        ended = await issue(self.root, "acme", "ended", expires=1)
        revoked = await issue(self.root, "acme", "gone")
        await change(self.root, "DELETE", "/v1/tenants/acme/credentials/gone")
        press = await issue(self.root, "acme", "press", "client", client="press-1")
        before, texts = await self._state(), set()
        for token in (ended, revoked, press, None, "hh_acme.boss." + "y" * 43, "garbage"):
            async with self.plane.client(token) as caller:
                for call in (
                    self.calls("acme", True) if token != "hh_acme.boss." + "y" * 43 else self.calls("acme", True)[:3]
                ):
                    with self.subTest(token=token and token[:12], call=call[:2]):
                        answer = await self._try(caller, call)
                        self.assertIn(answer.status_code, (401, 429), answer.text)
                        if answer.status_code == 401:
                            texts.add(answer.content)
        self.assertEqual((len(texts), await self._state()), (1, before))

    async def test_bodies_cannot_address_another_tenant(self) -> None:
        """Guards against edits that slip through a call on the caller's own part."""
        async with self.plane.client(self.boss) as caller:
            for edit, status in [
                ({"kind": "tenant", "name": OTHER, "value": {}}, 403),
                ({"kind": "tenant", "name": "acme"}, 403),
                ({"kind": "host", "name": "spy.example.org", "value": {}}, 403),
                ({"kind": "client", "name": f"{OTHER}/press-1", "value": {"plan": "small-shop"}}, 422),
                ({"kind": "client", "name": "press-1", "value": {"plan": "spy-plan"}}, 409),
            ]:
                made = await change(caller, "POST", "/v1/tenants/acme/changes", {"edits": [edit]})
                self.assertEqual(made.status_code, status, made.text)
                for word in SECRET_WORDS[2:]:
                    self.assertNotIn(word, made.json()["detail"])
