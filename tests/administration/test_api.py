"""Tests of the administration API from a caller's side, against the real program over TLS."""

from __future__ import annotations

import asyncio
import json
import ssl
import unittest
import uuid

from hallhitch.tls import authority
from hallhitch.tls.certificate_files import certificate_fingerprint
from tests.administration_process import PLAN, AdministrationCase, create_tenants, issue_credential, send_change
from tests.stand_ins import soon

ACME = "/v1/tenants/acme"


class ResourceCalls(AdministrationCase):
    """Changes of entries: preconditions, repeated calls, atomicity, pagination."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await create_tenants(self.root, "acme")

    async def test_create_replace_patch_delete(self) -> None:
        """Guards against responses that do not show the stored entry, and against wrong status codes."""
        path = f"{ACME}/plans/full-plant"
        created = await send_change(self.root, "PUT", path, {"rate": 10, "burst": 20})
        self.assertEqual((created.status_code, created.json()["rate"]), (201, 10.0))
        self.assertEqual(created.headers["etag"], f'"{created.json()["version"]}"')
        read = await self.root.get(path)
        self.assertEqual(
            (read.status_code, read.json(), read.headers["etag"]), (200, created.json(), created.headers["etag"])
        )
        patched = await send_change(self.root, "PATCH", path, {"price": 1.8, "burst": None})
        self.assertEqual(patched.status_code, 422, "removing the burst is invalid while there is a rate")
        patched = await send_change(self.root, "PATCH", path, {"price": 1.8, "rate": None})
        self.assertEqual((patched.json()["price"], patched.json()["rate"]), (1.8, 0.0))
        deleted = await send_change(self.root, "DELETE", path)
        self.assertEqual((deleted.status_code, deleted.content), (204, b""))
        self.assertEqual((await self.root.get(path)).status_code, 404)
        deleted_again = await send_change(self.root, "DELETE", path)
        self.assertEqual(deleted_again.status_code, 404)

    async def test_preconditions(self) -> None:
        """Guards against lost updates: a replacement must name the version that it replaces."""
        path = f"{ACME}/plans/small-shop"
        tag = (await self.root.get(path)).headers["etag"]
        self.assertEqual((await send_change(self.root, "PUT", path, PLAN)).status_code, 428)
        self.assertEqual((await send_change(self.root, "PUT", path, PLAN, If_None_Match="*")).status_code, 412)
        self.assertEqual((await send_change(self.root, "PUT", path, PLAN, If_Match='"1.1"')).status_code, 412)
        self.assertEqual((await send_change(self.root, "PUT", path, PLAN, If_Match=f"W/{tag}")).status_code, 412)
        self.assertEqual((await send_change(self.root, "PUT", path, PLAN, If_Match="1.1")).status_code, 400)
        replaced = await send_change(self.root, "PUT", path, PLAN | {"price": 2.0}, If_Match=f'"x", {tag}')
        self.assertEqual(replaced.status_code, 200)
        self.assertEqual((await send_change(self.root, "DELETE", path, If_Match=tag)).status_code, 412)
        missing = await send_change(self.root, "PUT", f"{ACME}/plans/new", PLAN, If_Match="*")
        self.assertEqual(missing.status_code, 412)

    async def test_concurrent_replacements_conflict_by_entity_tag(self) -> None:
        """Guards against silently losing one of two concurrent replacements of the same version."""
        path = f"{ACME}/plans/small-shop"
        for _ in range(8):
            tag = (await self.root.get(path)).headers["etag"]
            responses = await asyncio.gather(
                *(send_change(self.root, "PUT", path, PLAN | {"price": price}, If_Match=tag) for price in (3.0, 4.0))
            )
            self.assertEqual(sorted(response.status_code for response in responses), [200, 412])
            accepted = next(response for response in responses if response.status_code == 200)
            self.assertEqual((await self.root.get(path)).json(), accepted.json())
        patched = await asyncio.gather(
            send_change(self.root, "PATCH", path, {"price": 5.0}),
            send_change(self.root, "PATCH", path, {"beyond_cost": 0.8}),
        )
        self.assertEqual([response.status_code for response in patched], [200, 200])
        read = (await self.root.get(path)).json()
        self.assertEqual(
            (read["price"], read["beyond_cost"]), (5.0, 0.8), "neither patch overwrites the field of the other"
        )

    async def test_a_repeated_call_gets_the_first_response(self) -> None:
        """Guards against a repeated call that is applied twice, or gets another response than the first call."""
        cases = [
            ("PUT", f"{ACME}/clients/press-2", {"plan": "small-shop"}, 201),
            ("PUT", f"{ACME}/credentials/boss", {"scope": "admin"}, 201),
            ("PUT", f"{ACME}/clients/press-3", {"plan": "no-such"}, 409),
            ("DELETE", f"{ACME}/clients/press-2", None, 204),
            ("DELETE", f"{ACME}/clients/press-9", None, 404),
        ]
        for method, path, body, status in cases:
            key = str(uuid.uuid4())
            first = await send_change(self.root, method, path, body, key)
            version = await self.status()
            for _ in range(2):
                repeat = await send_change(self.root, method, path, body, key)
                self.assertEqual(
                    (repeat.status_code, repeat.content, repeat.headers), (status, first.content, first.headers)
                )
            self.assertEqual(await self.status(), version)
            other = await send_change(self.root, method, path + "x", body, key)
            self.assertEqual((other.status_code, other.json()["code"]), (422, "key-reused"))
        await self.service.stop()
        await self.service.start()
        repeat = await send_change(self.root, method, path, body, key)
        self.assertEqual((repeat.content, repeat.headers), (first.content, first.headers), "after a restart too")

    async def test_repeats_of_a_running_call_wait_for_its_response(self) -> None:
        """Guards against a repeat that arrives while its first call is still running and makes the change again."""
        for number in range(10):
            key, path = str(uuid.uuid4()), f"{ACME}/credentials/c{number}"
            responses = await asyncio.gather(
                *(send_change(self.root, "PUT", path, {"scope": "read"}, key) for _ in range(6))
            )
            self.assertEqual(
                {(response.status_code, response.content) for response in responses}, {(201, responses[0].content)}
            )

    async def test_idempotency_keys_are_scoped_to_the_caller(self) -> None:
        """Guards against one tenant reading another's response by guessing its idempotency key."""
        await create_tenants(self.root, "bolt")
        boss = self.service.client(await issue_credential(self.root, "acme", "boss"))
        other = self.service.client(await issue_credential(self.root, "bolt", "boss"))
        path, key = f"{ACME}/plans/p", "the-same-key"
        self.assertEqual((await send_change(boss, "PUT", path, PLAN, key)).status_code, 201)
        self.assertEqual((await send_change(other, "PUT", path, PLAN, key)).status_code, 404)
        own = await send_change(other, "PUT", "/v1/tenants/bolt/plans/p", PLAN, key)
        self.assertEqual(own.status_code, 201)
        await boss.aclose()
        await other.aclose()

    async def test_edits_of_one_change_are_atomic(self) -> None:
        """Guards against a change of which only some edits are applied."""
        path, version = f"{ACME}/changes", await self.status()
        valid_edit = {"kind": "client", "name": "press-5", "value": {"plan": "small-shop"}}
        for invalid_edit, status, field in [
            ({"kind": "client", "name": "press-6", "value": {"plan": "no-such"}}, 409, "plan"),
            ({"kind": "client", "name": "press-6", "value": {"plan": 7}}, 422, "edits[1].value.plan"),
            ({"kind": "plan", "name": "small-shop", "value": None}, 409, "plan"),
            ({"kind": "client", "name": "press-1", "value": None, "expect": "1.1"}, 412, "edits[1]"),
            ({"kind": "client", "name": "press-1", "value": {"plan": "small-shop"}, "expect": "none"}, 412, "edits[1]"),
            ({"kind": "credential", "name": "k", "value": {"scope": "admin"}}, 422, "edits[1]"),
        ]:
            refused = await send_change(self.root, "POST", path, {"edits": [valid_edit, invalid_edit]})
            self.assertEqual((refused.status_code, refused.json()["field"]), (status, field), refused.text)
        self.assertEqual(await self.status(), version)
        applied = await send_change(self.root, "POST", path, {"edits": [valid_edit]})
        self.assertEqual(applied.status_code, 200)
        version_view = (await self.root.get(f"/v1/versions/{applied.json()['version'].split('.')[1]}")).json()
        self.assertEqual([(row["kind"], row["name"]) for row in version_view["rows"]], [("client", "press-5")])

    async def test_pages_contain_each_entry_once(self) -> None:
        """Guards against entries missing or repeated between pages, and filters that let other entries through."""
        edits = [
            {"kind": "client", "name": f"c{n:03}", "value": {"plan": "small-shop", "on": n % 2 == 0}} for n in range(40)
        ]
        await send_change(self.root, "PATCH", ACME, {"limits": {"rate": 500.0}})
        self.assertEqual((await send_change(self.root, "POST", f"{ACME}/changes", {"edits": edits})).status_code, 200)
        queries: list[tuple[dict[str, str], int]] = [
            ({}, 41),
            ({"on": "true"}, 21),
            ({"on": "false"}, 20),
            ({"prefix": "c00"}, 10),
            ({"plan": "none"}, 0),
        ]
        for query, expected_count in queries:
            names: list[str] = []
            after: str | None = ""
            while after is not None:
                page = (await self.root.get(f"{ACME}/clients", params={"limit": "7", "after": after} | query)).json()
                names += [item["name"] for item in page["items"]]
                after = page["next"]
            self.assertEqual((len(names), names), (expected_count, sorted(set(names))))
        newest = (await self.root.get(f"{ACME}/audit", params={"limit": 2})).json()
        older = (await self.root.get(f"{ACME}/audit", params={"limit": 2, "after": newest["next"]})).json()
        ids = [item["id"] for item in newest["items"] + older["items"]]
        self.assertEqual(ids, sorted(ids, reverse=True))
        self.assertEqual(newest["items"][0]["action"], f"POST {ACME}/changes")

    async def test_the_openapi_description_is_public_and_complete(self) -> None:
        """Guards against an OpenAPI document from which no complete client can be generated."""
        async with self.service.client(None) as anonymous:
            document = (await anonymous.get("/openapi.json")).json()
        self.assertEqual(document["openapi"], "3.1.0")
        self.assertGreaterEqual(len(document["paths"]), 19)
        for path, methods in document["paths"].items():
            for method, operation in methods.items():
                parameter_names = {parameter["name"] for parameter in operation.get("parameters", [])}
                if method != "get":
                    self.assertIn("Idempotency-Key", parameter_names, path)
                    statuses = {"400", "401", "403", "404", "409", "412", "413", "415", "422", "428", "429", "503"}
                    self.assertLessEqual(statuses, set(operation["responses"]), path)
                self.assertIn("401", operation["responses"], path)


class CredentialLifecycle(AdministrationCase):
    """Issue, rotation, expiry and revocation of credentials, and what their scopes allow."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await create_tenants(self.root, "acme")

    async def _is_valid(self, token: str) -> bool:
        async with self.service.client(token) as caller:
            return (await caller.get(ACME)).status_code == 200

    async def test_rotation_overlaps_and_revocation_is_immediate(self) -> None:
        """Guards against a rotation that locks its holder out, and a revoked secret that is still accepted."""
        first = await issue_credential(self.root, "acme", "boss")
        path = f"{ACME}/credentials/boss"
        second = (await send_change(self.root, "POST", f"{path}/rotate", {"overlap_seconds": 600})).json()
        self.assertIsNotNone(second["overlap_until"])
        self.assertTrue(await self._is_valid(first) and await self._is_valid(second["token"]))
        third = (await send_change(self.root, "POST", f"{path}/rotate", {"overlap_seconds": 0})).json()["token"]
        self.assertEqual(
            [await self._is_valid(token) for token in (first, second["token"], third)], [False, False, True]
        )
        self.assertEqual((await send_change(self.root, "DELETE", path)).status_code, 204)
        self.assertFalse(await self._is_valid(third))
        reissued = await issue_credential(self.root, "acme", "boss")
        self.assertTrue(await self._is_valid(reissued) and not await self._is_valid(third))

    async def test_a_secret_is_returned_only_when_issued(self) -> None:
        """Guards against secrets in the store, in lists, in versions and in the audit log."""
        token = await issue_credential(self.root, "acme", "boss")
        key = await issue_credential(self.root, "acme", "press", "client", client="press-1")
        number = (await self.status()).split(".")[1]
        for path in (f"{ACME}/credentials", f"{ACME}/credentials/boss", f"/v1/versions/{number}", "/v1/audit"):
            text = (await self.root.get(path)).text
            for secret in (token, key):
                self.assertNotIn(secret.rpartition(".")[2], text)
            self.assertNotIn("argon2", text)
        await self.service.stop()
        stored = b"".join(file.read_bytes() for file in (self.service.folder / "store").iterdir())
        self.assertNotIn(token.rpartition(".")[2].encode(), stored)
        self.assertNotIn(key.rpartition(".")[2].encode(), stored)
        self.assertNotIn(self.service.token.rpartition(".")[2].encode(), stored)

    async def test_scopes(self) -> None:
        """Guards against a reader changing entries, an admin raising its own limits, a client key administering."""
        admin, reader = (
            await issue_credential(self.root, "acme", "boss"),
            await issue_credential(self.root, "acme", "eye", "read"),
        )
        client_key = await issue_credential(self.root, "acme", "press", "client", client="press-1")
        expected_statuses = {
            admin: (201, 403, 403, 403, 404, 404),
            reader: (403, 403, 403, 403, 404, 404),
            client_key: (401,) * 6,
        }
        for number, (token, expected) in enumerate(expected_statuses.items()):
            async with self.service.client(token) as caller:
                statuses = [
                    (await send_change(caller, "PUT", f"{ACME}/plans/p{number}", PLAN)).status_code,
                    (await send_change(caller, "PATCH", ACME, {"limits": {"rate": 1e6}})).status_code,
                    (await send_change(caller, "PUT", f"{ACME}/hosts/new.example.org", {})).status_code,
                    (
                        await send_change(
                            caller,
                            "POST",
                            f"{ACME}/changes",
                            {"edits": [{"kind": "host", "name": "new.example.org", "value": {}}]},
                        )
                    ).status_code,
                    (await caller.get("/v1/operators")).status_code,
                    (await caller.get("/v1/audit")).status_code,
                ]
            self.assertEqual(tuple(statuses), expected)

    async def test_credentials_of_a_disabled_tenant_are_invalid(self) -> None:
        """Guards against credentials that stay valid while their tenant is disabled."""
        token = await issue_credential(self.root, "acme", "boss")
        await send_change(self.root, "PATCH", ACME, {"on": False})
        self.assertFalse(await self._is_valid(token))
        await send_change(self.root, "PATCH", ACME, {"on": True})
        self.assertTrue(await self._is_valid(token))

    async def test_operators_authenticate_by_client_certificate(self) -> None:
        """Guards against a certificate of the trusted authority that is no operator's being accepted as one."""
        folder = self.service.folder / "tls"
        known, unknown = (authority.issue_certificate(folder, name, [name], client=True) for name in ("ann", "bob"))
        fingerprint = certificate_fingerprint(ssl.PEM_cert_to_DER_cert(known.read_text()))
        issued = await send_change(
            self.root, "PUT", "/v1/operators/ann", {"scope": "operator", "certificate": fingerprint}
        )
        self.assertEqual(issued.status_code, 201)
        for certificate, status in ((known, 200), (unknown, 401)):
            context = ssl.create_default_context(cafile=str(folder / "ca.crt"))
            context.load_cert_chain(certificate, certificate.with_suffix(".key"))
            async with self.service.client(None, context) as caller:
                self.assertEqual((await caller.get("/v1/status")).status_code, status)

    async def _send_head(self, token: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, bytes]:
        """Send the head of a call and wait until it is admitted; return the connection and the body to send."""
        host, port = self.service.url.removeprefix("https://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port), ssl=self.service.tls_context)
        body = json.dumps(PLAN).encode()
        writer.write(
            f"PUT {ACME}/plans/late HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n"
            f"Idempotency-Key: k\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            "Expect: 100-continue\r\n\r\n".encode()
        )
        # The server asks for the body after it has authenticated the call, so the credential was valid then.
        self.assertIn(b"100", await soon(reader.readuntil(b"\r\n\r\n")))
        return reader, writer, body

    async def test_a_credential_revoked_during_a_call_is_rejected(self) -> None:
        """Guards against a change made with a credential whose revocation was already acknowledged."""
        token = await issue_credential(self.root, "acme", "boss")
        reader, writer, body = await self._send_head(token)
        self.assertEqual((await send_change(self.root, "DELETE", f"{ACME}/credentials/boss")).status_code, 204)
        writer.write(body)
        self.assertIn(b" 401 ", await soon(reader.readline()))
        writer.close()
        self.assertEqual((await self.root.get(f"{ACME}/plans/late")).status_code, 404)

    async def test_a_credential_expired_during_a_call_is_rejected(self) -> None:
        """Guards against a change made with a credential that expired after the call was admitted."""
        token = await issue_credential(self.root, "acme", "boss")
        reader, writer, body = await self._send_head(token)
        patched = await send_change(self.root, "PATCH", f"{ACME}/credentials/boss", {"expires": 1})
        self.assertEqual(patched.status_code, 200)
        writer.write(body)
        self.assertIn(b" 401 ", await soon(reader.readline()))
        writer.close()


class RequestLimits(AdministrationCase):
    """Limits that protect callers from each other."""

    api = {  # noqa: RUF012  read by the framework, never changed
        "calls_per_second": 0.001,
        "burst": 12.0,
        "connections": 6,
        "body_kib": 4,
        "head_kib": 2,
        "failures_per_minute": 6.0,
        "request_seconds": 0.5,
    }

    async def test_calls_per_second_are_limited(self) -> None:
        """Guards against one credential using up the service so that others get no response."""
        await create_tenants(self.root, "acme")
        token = await issue_credential(self.root, "acme", "boss")
        responses = [await self.root.get("/v1/status") for _ in range(12)]
        self.assertEqual({response.status_code for response in responses}, {200, 429})
        self.assertGreater(int(responses[-1].headers["retry-after"]), 0)
        async with self.service.client(token) as other:
            self.assertEqual((await other.get(ACME)).status_code, 200)

    async def test_failed_authentications_limit_only_their_caller(self) -> None:
        """Guards against unlimited guesses of a secret, and against one caller's failures locking another out."""
        wrong_token = f"hh_.root.{'x' * 43}"
        async with self.service.client(wrong_token) as guesser:
            statuses = [(await guesser.get("/v1/status")).status_code for _ in range(6)]
        self.assertEqual((statuses[0], statuses[-1]), (401, 429))
        async with self.service.client() as operator:
            rejected = await operator.get("/v1/status")
        self.assertEqual(rejected.status_code, 429, "same token id and address, and the right secret is not cached yet")
        await self.service.stop()
        await self.service.start()
        self.assertEqual((await self.root.get("/v1/status")).status_code, 200)
        async with self.service.client(wrong_token) as guesser:
            statuses = [(await guesser.get("/v1/status")).status_code for _ in range(6)]
        self.assertEqual(statuses[-1], 429)
        self.assertEqual((await self.root.get("/v1/status")).status_code, 200, "a cached secret is still accepted")

    async def test_bodies_heads_and_request_time_are_bounded(self) -> None:
        """Guards against a caller that takes up memory or a connection with a large or unfinished request."""
        large_body = await send_change(self.root, "PUT", ACME, {"on": True, "x": "y" * 5000})
        self.assertEqual((large_body.status_code, large_body.json()["code"]), (413, "too-large"))
        large_head = await self.root.get("/v1/status", headers={"X-Long": "y" * 3000})
        self.assertEqual(large_head.status_code, 431)
        host, port = self.service.url.removeprefix("https://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port), ssl=self.service.tls_context)
        writer.write(b"GET /v1/status HTTP/1.1\r\nHost: x\r\n")
        self.assertEqual(await soon(_read_to_end(reader)), b"", "the connection is closed while the head is incomplete")
        writer.close()

    async def test_the_number_of_connections_is_bounded(self) -> None:
        """Guards against an unlimited number of idle connections."""
        host, port = self.service.url.removeprefix("https://").split(":")
        connections = []
        for _ in range(6):
            connections.append(await asyncio.open_connection(host, int(port), ssl=self.service.tls_context))
        reader, writer = await asyncio.open_connection(host, int(port), ssl=self.service.tls_context)
        self.assertEqual(await soon(_read_to_end(reader)), b"")
        for _, open_writer in (*connections, (reader, writer)):
            open_writer.close()


async def _read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Read until the connection ends; empty if it ends with an error."""
    try:
        return await reader.read()
    except (ConnectionError, ssl.SSLError):
        return b""


class InvalidInput(AdministrationCase):
    """Bodies, headers and names that are invalid, or that two parsers may read differently."""

    async def test_invalid_input_is_rejected_and_changes_nothing(self) -> None:
        """Guards against input that is accepted with another meaning than its sender intended."""
        await create_tenants(self.root, "acme")
        version = await self.status()
        deep_body = b'{"a":' * 5000 + b"1" + b"}" * 5000
        cases: list[tuple[bytes, int]] = [
            (b'{"rate":1,"burst":2,"rate":5}', 400),
            (b'{"rate":NaN}', 400),
            (b'{"rate":1e999,"burst":1}', 400),
            (b'{"rate":Infinity}', 400),
            (b'{"rate":-1,"burst":1}', 422),
            (b'{"rate":"1"}', 422),
            (b"[1]", 422),
            (b'{"rte":1}', 422),
            (b'{"rate":\xff}', 400),
            (b"", 422),
            (b"{", 400),
            (deep_body, 400),
            (b"9" * 5000, 400),
            (b'{"open_limit":1.5}', 422),
            (b'{"rate":true}', 422),
            (b"null", 422),
            (b'{"price":1e10}', 422),
            (b'\xef\xbb\xbf{"rate":1,"burst":1}', 400),
        ]
        for body, status in cases:
            for method in ("PUT", "PATCH"):
                if method == "PATCH" and (status == 422 or body == b""):
                    continue
                with self.subTest(body=body[:40], method=method):
                    rejected = await self.root.request(
                        method,
                        f"{ACME}/plans/p",
                        content=body,
                        headers={"Idempotency-Key": str(uuid.uuid4()), "Content-Type": "application/json"},
                    )
                    self.assertEqual(
                        (rejected.status_code, rejected.headers["content-type"]),
                        (status, "application/problem+json"),
                        rejected.text,
                    )
        for headers, status in [
            ({"Content-Type": "text/plain", "Idempotency-Key": "k"}, 415),
            ({"Content-Type": "application/json"}, 400),
            ({"Content-Type": "application/json", "Idempotency-Key": "with space"}, 400),
        ]:
            rejected = await self.root.request("PUT", f"{ACME}/plans/p", content=b"{}", headers=headers)
            self.assertEqual(rejected.status_code, status)
        for name in ("A", "a b", "%00", "x" * 65, "..", "%F0%9F%92%A5"):
            rejected = await send_change(self.root, "PUT", f"{ACME}/plans/{name}", PLAN)
            self.assertIn(rejected.status_code, (404, 422), name)
        self.assertEqual(await self.status(), version)


class ClientIdSpelling(AdministrationCase):
    """Client ids that are hexadecimal customer ids, in upper and in lower case."""

    async def test_client_ids_are_canonical(self) -> None:
        """Guards against a customer getting a second quota by writing its id in the other case."""
        await create_tenants(self.root, "acme")
        created = await send_change(self.root, "PUT", f"{ACME}/clients/00000000B4D65521", {"plan": "small-shop"})
        self.assertEqual((created.status_code, created.json()["name"]), (201, "00000000b4d65521"))
        repeat = await send_change(self.root, "PUT", f"{ACME}/clients/00000000b4d65521", {"plan": "small-shop"})
        self.assertEqual(repeat.status_code, 428)


if __name__ == "__main__":
    unittest.main()
