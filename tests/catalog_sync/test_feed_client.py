"""Feed clients with a real control plane: updates, crashes, authorization and load."""

from __future__ import annotations

import asyncio
import signal
import ssl
from pathlib import Path
from typing import Any

import httpx

from hallhitch.catalog.model import Catalog, Kind
from hallhitch.catalog_sync.catalog_cache import CatalogCache
from hallhitch.catalog_sync.feed_client import FeedClient, client_tls_context
from hallhitch.tls import authority
from hallhitch.tls.certificate_files import certificate_fingerprint
from tests.administration_process import AdministrationCase, AdministrationProcess, create_tenants, send_change
from tests.cli.command_runner import run_command
from tests.stand_ins import soon


def gateway_tls_context(service: AdministrationProcess, certificate: Path) -> ssl.SSLContext:
    """Return the TLS context of a gateway with a client certificate."""
    return client_tls_context(
        str(service.folder / "tls" / "ca.crt"), str(certificate), str(certificate.with_suffix(".key"))
    )


class RunningFeedClient:
    """A feed client in this process, and the catalogs that it applied."""

    def __init__(self, service: Any, name: str, certificate: Path) -> None:
        self.name, self.service = name, service
        self.applied: list[Catalog] = []
        self._catalog_applied = asyncio.Event()
        context = gateway_tls_context(service, certificate)
        self.path = service.folder / f"{name}.catalog"
        self.client = FeedClient(service.url, context, name, CatalogCache(self.path), self._on_catalog)
        self.task = asyncio.create_task(self.client.run())

    def _on_catalog(self, catalog: Catalog) -> None:
        self.applied.append(catalog)
        self._catalog_applied.set()
        self._catalog_applied = asyncio.Event()

    async def wait_for_version(self, version: str) -> Catalog:
        """Wait until a version, a later version of its epoch or a later epoch is applied."""
        epoch, _, number = version.partition(".")
        while self.client._follower.version < (int(epoch), int(number)):
            catalog_applied = self._catalog_applied
            await soon(catalog_applied.wait())
        return self.client.catalog

    async def stop(self) -> None:
        """Cancel the client, as a gateway does on shutdown."""
        self.task.cancel()
        await soon(asyncio.gather(self.task, return_exceptions=True))


class FeedClients(AdministrationCase):
    """Feed clients of several gateways and one control plane."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.certificate = authority.issue_certificate(
            self.service.folder / "tls", "gateways", ["gateways"], client=True
        )
        fingerprint = certificate_fingerprint(ssl.PEM_cert_to_DER_cert(self.certificate.read_text()))
        response = await send_change(
            self.root, "PUT", "/v1/operators/gateways", {"scope": "gateway", "certificate": fingerprint}
        )
        self.assertEqual(response.status_code, 201, response.text)
        await create_tenants(self.root, "acme")

    def gateway(self, name: str) -> RunningFeedClient:
        """Start a feed client that is stopped at the end of the test."""
        gateway = RunningFeedClient(self.service, name, self.certificate)
        self.addAsyncCleanup(gateway.stop)
        return gateway

    async def set_plan_rate(self, rate: float) -> str:
        """Change the rate of a plan and return the new version."""
        response = await send_change(
            self.root, "PUT", "/v1/tenants/acme/plans/small-shop", {"rate": rate, "burst": 9.0}, If_Match="*"
        )
        self.assertEqual(response.status_code, 200, response.text)
        return await self.status()

    def plan_rate(self, catalog: Catalog) -> float:
        """Return the rate of the same plan in a gateway's catalog."""
        entry = catalog.get("acme", Kind.PLAN, "small-shop")
        assert entry is not None
        return float(entry.value.rate)

    async def progress(self, version: str) -> Any:
        """Return the progress of a version as operators see it."""
        response = await self.root.get("/v1/gateways", params={"version": version})
        self.assertEqual(response.status_code, 200, response.text)
        return response.json()

    async def test_changes_reach_all_gateways_and_progress_is_reported(self) -> None:
        """Guards against wrong progress of a change, and against gateways that receive entries of the operators."""
        first, second = self.gateway("one"), self.gateway("two")
        for rate in (3.0, 4.0, 5.0):
            version = await self.set_plan_rate(rate)
            for gateway in (first, second):
                self.assertEqual(self.plan_rate(await gateway.wait_for_version(version)), rate)
        while (progress := await self.progress(version))["state"] != "complete":
            await asyncio.sleep(0)
        self.assertEqual((progress["applied"], progress["counted"]), (2, 2))
        self.assertEqual([g["name"] for g in progress["gateways"]], ["one", "two"])
        self.assertEqual((await self.progress(f"{2**40}.1"))["state"], "pending")
        self.assertFalse(first.client.catalog.operators)
        await second.stop()
        while len((await self.progress(version))["gateways"]) > 1:
            await asyncio.sleep(0)
        self.assertEqual((await self.progress(version))["lost"], [], "a stopped gateway releases its lease")
        self.assertTrue(second.path.exists())

    async def test_tenants_apply_waits_until_all_gateways_applied_it(self) -> None:
        """Guards against a command that returns before all gateways applied the change, or waits forever."""
        tenant_file = self.service.folder / "acme.toml"
        tenant_file.write_text(
            'tenant = "acme"\n[plans.small-shop]\nrate = 8.0\nburst = 9.0\n'
            '[clients.press-1]\nplan = "small-shop"\n[hosts."acme.tenants.example.org"]\n'
        )
        token = self.service.folder / "token"
        token.write_text(self.service.token)
        arguments = (
            "tenants",
            "apply",
            str(tenant_file),
            "--yes",
            "--wait",
            "0",
            "--url",
            self.service.url,
            "--token-file",
            str(token),
            "--ca",
            str(self.service.folder / "tls" / "ca.crt"),
        )
        process = await asyncio.to_thread(run_command, *arguments)
        self.assertEqual(process.returncode, 1, process.stderr)
        self.assertIn("no gateways", process.stderr)
        first = self.gateway("one")
        await first.wait_for_version(await self.status())
        tenant_file.write_text(tenant_file.read_text().replace("8.0", "7.0"))
        process = await asyncio.to_thread(run_command, *arguments[:5], "20", *arguments[6:])
        self.assertEqual(process.returncode, 0, process.stderr)
        self.assertIn("complete: applied by 1 of 1 gateways", process.stdout)
        self.assertEqual(self.plan_rate(first.client.catalog), 7.0)

    async def test_gateways_survive_and_resync_after_a_service_crash(self) -> None:
        """Guards against gateways that stop with the control plane, or stay behind after its restart."""
        first = self.gateway("one")
        version = await self.set_plan_rate(3.0)
        await first.wait_for_version(version)
        await self.service.stop(signal.SIGKILL)
        uncached = self.gateway("one-more")  # starts without a cache while the service is down
        await first.stop()
        restarted = self.gateway("one")  # starts from its cache
        await asyncio.sleep(0)
        self.assertEqual(self.plan_rate(await restarted.wait_for_version(version)), 3.0)
        self.assertEqual(uncached.applied, [])
        await self.service.start()
        version = await self.set_plan_rate(6.0)
        for gateway in (restarted, uncached):
            self.assertEqual(self.plan_rate(await gateway.wait_for_version(version)), 6.0)
        versions = [catalog.version for catalog in restarted.applied]
        self.assertEqual(versions, sorted(set(versions)), "no version is repeated or goes back")

    async def test_only_gateway_credentials_read_the_feed_and_nothing_else(self) -> None:
        """Guards against other callers that read the feed, and a gateway certificate that permits other calls."""
        query: dict[str, Any] = {"gateway": "x", "instance": "0" * 16, "epoch": 0, "version": 0}
        self.assertEqual((await self.root.get("/v1/feed", params=query)).status_code, 404)
        context = gateway_tls_context(self.service, self.certificate)
        async with self.service.client(None, context) as gateway:
            self.assertEqual((await gateway.get("/v1/feed", params=query)).status_code, 200)
            for path in (
                "/v1/tenants",
                "/v1/tenants/acme",
                "/v1/tenants/acme/clients",
                "/v1/operators",
                "/v1/status",
                "/v1/gateways",
                "/v1/audit",
                "/v1/versions/1",
            ):
                self.assertEqual((await gateway.get(path)).status_code, 404, path)
            response = await send_change(gateway, "PUT", "/v1/tenants/evil", {"on": True})
            self.assertEqual(response.status_code, 404)
            other = await gateway.get("/v1/feed", params=query | {"instance": "1" * 16})
            self.assertEqual((other.status_code, other.json()["code"]), (409, "name-taken"))
            ahead = await gateway.get("/v1/feed", params=query | {"epoch": 2**50, "gateway": "y"})
            self.assertEqual((ahead.status_code, ahead.json()["code"]), (409, "behind"))
            for bad in ({"epoch": -1}, {"epoch": "x"}, {"gateway": "A B"}, {"instance": "z"}, {"hold_ms": 10**9}):
                self.assertEqual((await gateway.get("/v1/feed", params=query | bad)).status_code, 422, bad)
        deletion = await send_change(self.root, "DELETE", "/v1/operators/gateways", If_Match="*")
        self.assertEqual(deletion.status_code, 204)
        async with self.service.client(None, context) as gateway:
            self.assertEqual((await gateway.get("/v1/feed", params=query)).status_code, 401, "revoked")
        self.assertEqual(
            (await send_change(self.root, "PUT", "/v1/tenants/acme/credentials/g", {"scope": "gateway"})).status_code,
            422,
            "a tenant has no gateway credentials",
        )

    async def test_snapshot_transfers_are_limited_under_a_thundering_herd(self) -> None:
        """Guards against a control service that sends all snapshots at once, or none, to reconnecting gateways."""
        context = gateway_tls_context(self.service, self.certificate)
        limits = httpx.Limits(max_connections=60)
        async with httpx.AsyncClient(
            base_url=self.service.url, verify=context, trust_env=False, limits=limits, timeout=30.0
        ) as gateway:

            async def request_feed(n: int) -> httpx.Response:
                return await gateway.get("/v1/feed", params={"gateway": f"g{n}", "instance": "0" * 16})

            responses = await asyncio.gather(*(request_feed(n) for n in range(120)))
            rejected = [response for response in responses if response.status_code != 200]
            self.assertTrue(
                all(response.status_code == 503 and float(response.headers["retry-after"]) > 0 for response in rejected)
            )
            self.assertGreater(len(responses) - len(rejected), 3)
            self.assertTrue(all(response.text.endswith("}\n") for response in responses if response.status_code == 200))
            self.assertEqual((await request_feed(0)).status_code, 200, "slots for transfers are free again")
        self.assertEqual((await self.root.get("/v1/status")).status_code, 200)
