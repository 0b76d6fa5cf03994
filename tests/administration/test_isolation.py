"""Isolation of tenants: calls with one tenant's credential on the entries of another, for every operation of the API.

The calls are generated from the OpenAPI document, so the tests cover a new path without a change here.
"""

from __future__ import annotations

from typing import Any

import httpx

from tests.administration_process import AdministrationCase, create_tenants, issue_credential, send_change

OTHER_TENANT, MISSING_TENANT = "bolt", "nobody"
OTHER_TENANT_NAMES = ("bolt", "spy-plan", "spy-client", "spy.example.org")


def example_value(schema: dict[str, Any], schemas: dict[str, Any]) -> Any:
    """Return a value that is valid under a schema of the OpenAPI document."""
    if "$ref" in schema:
        return example_value(schemas[schema["$ref"].rpartition("/")[2]], schemas)
    for union in ("oneOf", "anyOf"):
        if union in schema:
            return example_value(next(member for member in schema[union] if member.get("type") != "null"), schemas)
    if "enum" in schema:
        return schema["enum"][0]
    schema_type = schema.get("type", "object")
    if isinstance(schema_type, list):
        schema_type = next(type_name for type_name in schema_type if type_name != "null")
    if schema_type == "object":
        required = schema.get("required", [])
        return {
            name: example_value(property_schema, schemas)
            for name, property_schema in schema.get("properties", {}).items()
            if name in required
        }
    if schema_type == "array":
        return [example_value(schema["items"], schemas)] if schema.get("minItems") else []
    return {
        "string": "a" * max(1, schema.get("minLength", 1)),
        "integer": int(schema.get("minimum", 1)),
        "number": 1.0,
        "boolean": True,
        "null": None,
    }[schema_type]


class TenantIsolation(AdministrationCase):
    """Two tenants with entries of the same names; the other tenant also has entries whose names must not leak."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await create_tenants(self.root, "acme", OTHER_TENANT)
        await send_change(
            self.root,
            "POST",
            f"/v1/tenants/{OTHER_TENANT}/changes",
            {
                "edits": [
                    {"kind": "plan", "name": "spy-plan", "value": {}},
                    {"kind": "client", "name": "spy-client", "value": {"plan": "spy-plan"}},
                    {"kind": "host", "name": "spy.example.org", "value": {}},
                ]
            },
        )
        self.admin_token = await issue_credential(self.root, "acme", "boss")
        await issue_credential(self.root, OTHER_TENANT, "spy-credential")
        self.openapi = (await self.root.get("/openapi.json")).json()

    def calls(self, tenant: str, present: bool) -> list[tuple[str, str, Any]]:
        """Return a call of every method of every path, on existing or on missing entries of a tenant."""
        calls = []
        schemas = self.openapi["components"]["schemas"]
        for path, methods in self.openapi["paths"].items():
            names = {
                "plans": "spy-plan",
                "clients": "spy-client",
                "hosts": "spy.example.org",
                "credentials": "spy-credential",
                "operators": "root",
                "versions": self.version,
            }
            existing_name = next((names[part] for part in path.split("/") if part in names), "")
            for method, operation in methods.items():
                body = operation.get("requestBody", {}).get("content", {}).get("application/json", {}).get("schema")
                target = path.replace("{tenant}", tenant).replace("{name}", existing_name if present else "none-such")
                target = target.replace("{number}", self.version if present else "999999")
                calls.append((method.upper(), target, example_value(body, schemas) if body else None))
        return calls

    async def _send(self, client: httpx.AsyncClient, call: tuple[str, str, Any], **headers: str) -> httpx.Response:
        method, path, body = call
        if method == "GET":
            return await client.get(path, headers=headers)
        return await send_change(client, method, path, body, **headers)

    async def _state(self) -> list[Any]:
        """Return what operators see of the other tenant, except the audit log, which records the tests' calls."""
        base = f"/v1/tenants/{OTHER_TENANT}"
        return [
            (await self.root.get(path)).json()
            for path in (
                base,
                f"{base}/plans",
                f"{base}/clients",
                f"{base}/hosts",
                f"{base}/credentials",
                "/v1/operators",
            )
        ]

    async def test_other_tenants_entries_are_neither_read_nor_changed(self) -> None:
        """Guards against a path on which a tenant can use another's entries, or can find out that they exist."""
        self.version = (await self.root.get(f"/v1/tenants/{OTHER_TENANT}")).json()["part_version"].split(".")[1]
        state_before, attempts = await self._state(), 0
        tokens = {"admin": self.admin_token, "reader": await issue_credential(self.root, "acme", "eye", "read")}
        for scope, token in tokens.items():
            async with self.service.client(token) as caller:
                existing, missing = self.calls(OTHER_TENANT, True), self.calls(MISSING_TENANT, False)
                for call, missing_call in zip(existing, missing, strict=True):
                    with self.subTest(scope=scope, call=call[:2]):
                        response, missing_response = (
                            await self._send(caller, call),
                            await self._send(caller, missing_call),
                        )
                        attempts += 1
                        if call[1] == "/v1/tenants":
                            self.assertEqual([tenant["name"] for tenant in response.json()["items"]], ["acme"])
                            continue
                        self.assertEqual(response.status_code, 404, response.text)
                        self.assertEqual(
                            (response.content, response.headers), (missing_response.content, missing_response.headers)
                        )
                        for name in OTHER_TENANT_NAMES:
                            self.assertNotIn(name, response.text)
                        self.assertNotIn("etag", response.headers)
                        conditional = await self._send(caller, call, If_Match="*")
                        self.assertEqual(conditional.content, response.content)
        self.assertGreaterEqual(attempts, 60)
        self.assertEqual(await self._state(), state_before)

    async def test_invalid_credentials_are_rejected(self) -> None:
        """Guards against a path that does not authenticate its callers."""
        self.version = "2"
        expired = await issue_credential(self.root, "acme", "ended", expires=1)
        revoked = await issue_credential(self.root, "acme", "gone")
        await send_change(self.root, "DELETE", "/v1/tenants/acme/credentials/gone")
        client_token = await issue_credential(self.root, "acme", "press", "client", client="press-1")
        state_before, bodies = await self._state(), set()
        for token in (expired, revoked, client_token, None, "hh_acme.boss." + "y" * 43, "garbage"):
            async with self.service.client(token) as caller:
                for call in (
                    self.calls("acme", True) if token != "hh_acme.boss." + "y" * 43 else self.calls("acme", True)[:3]
                ):
                    with self.subTest(token=token and token[:12], call=call[:2]):
                        response = await self._send(caller, call)
                        self.assertIn(response.status_code, (401, 429), response.text)
                        if response.status_code == 401:
                            bodies.add(response.content)
        self.assertEqual((len(bodies), await self._state()), (1, state_before))

    async def test_bodies_cannot_address_another_tenant(self) -> None:
        """Guards against edits of another tenant's entries in a call on the caller's own tenant."""
        async with self.service.client(self.admin_token) as caller:
            for edit, status in [
                ({"kind": "tenant", "name": OTHER_TENANT, "value": {}}, 403),
                ({"kind": "tenant", "name": "acme"}, 403),
                ({"kind": "host", "name": "spy.example.org", "value": {}}, 403),
                ({"kind": "client", "name": f"{OTHER_TENANT}/press-1", "value": {"plan": "small-shop"}}, 422),
                ({"kind": "client", "name": "press-1", "value": {"plan": "spy-plan"}}, 409),
            ]:
                response = await send_change(caller, "POST", "/v1/tenants/acme/changes", {"edits": [edit]})
                self.assertEqual(response.status_code, status, response.text)
                for name in OTHER_TENANT_NAMES[2:]:
                    self.assertNotIn(name, response.json()["detail"])
