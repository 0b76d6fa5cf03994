"""Gateways' links against the real control plane: followed, cut, restored, refused."""

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
    """TLS to a control plane with a client certificate."""
    return client_tls_context(
        str(service.folder / "tls" / "ca.crt"), str(certificate), str(certificate.with_suffix(".key"))
    )


class RunningFeedClient:
    """A link in this process, and what it applied."""

    def __init__(self, service: Any, name: str, certificate: Path) -> None:
        self.name, self.service = name, service
        self.applied: list[Catalog] = []
        self._catalog_applied = asyncio.Event()
        context = gateway_tls_context(service, certificate)
        self.path = service.folder / f"{name}.catalogue"
        self.client = FeedClient(service.url, context, name, CatalogCache(self.path), self._on_catalog)
        self.task = asyncio.create_task(self.client.run())

    def _on_catalog(self, made: Catalog) -> None:
        self.applied.append(made)
        self._catalog_applied.set()
        self._catalog_applied = asyncio.Event()

    async def wait_for_version(self, version: str) -> Catalog:
        """Wait until a version (or a later one of its epoch, or a later epoch) is applied."""
        epoch, _, number = version.partition(".")
        while self.client._follower.version < (int(epoch), int(number)):
            news = self._catalog_applied
            await soon(news.wait())
        return self.client.catalog

    async def stop(self) -> None:
        """End as a gateway does."""
        self.task.cancel()
        await soon(asyncio.gather(self.task, return_exceptions=True))


class FeedClients(AdministrationCase):
    """Two gateways and a control plane."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.certificate = authority.issue_certificate(
            self.service.folder / "tls", "gateways", ["gateways"], client=True
        )
        shown = certificate_fingerprint(ssl.PEM_cert_to_DER_cert(self.certificate.read_text()))
        made = await send_change(self.root, "PUT", "/v1/operators/gateways", {"scope": "gateway", "certificate": shown})
        self.assertEqual(made.status_code, 201, made.text)
        await create_tenants(self.root, "acme")

    def gateway(self, name: str) -> RunningFeedClient:
        """A gateway that follows, and ends with the test."""
        made = RunningFeedClient(self.service, name, self.certificate)
        self.addAsyncCleanup(made.stop)
        return made

    async def set_plan_rate(self, rate: float) -> str:
        """Change a plan; the version that has it."""
        made = await send_change(
            self.root, "PUT", "/v1/tenants/acme/plans/small-shop", {"rate": rate, "burst": 9.0}, If_Match="*"
        )
        self.assertEqual(made.status_code, 200, made.text)
        return await self.status()

    def plan_rate(self, catalog: Catalog) -> float:
        """The same at a gateway."""
        kept = catalog.get("acme", Kind.PLAN, "small-shop")
        assert kept is not None
        return float(kept.value.rate)

    async def progress(self, version: str) -> Any:
        """What operators are told."""
        found = await self.root.get("/v1/gateways", params={"version": version})
        self.assertEqual(found.status_code, 200, found.text)
        return found.json()

    async def test_changes_reach_all_gateways_and_progress_is_reported(self) -> None:
        """Guards against a change called applied that is not, and a gateway that is sent another's part or secrets."""
        one, two = self.gateway("one"), self.gateway("two")
        for rate in (3.0, 4.0, 5.0):
            version = await self.set_plan_rate(rate)
            for gateway in (one, two):
                self.assertEqual(self.plan_rate(await gateway.wait_for_version(version)), rate)
        while (told := await self.progress(version))["state"] != "complete":
            await asyncio.sleep(0)
        self.assertEqual((told["applied"], told["counted"]), (2, 2))
        self.assertEqual([g["name"] for g in told["gateways"]], ["one", "two"])
        self.assertEqual((await self.progress(f"{2**40}.1"))["state"], "pending")
        self.assertFalse(one.client.catalog.operators)
        await two.stop()
        while len((await self.progress(version))["gateways"]) > 1:
            await asyncio.sleep(0)
        self.assertEqual((await self.progress(version))["lost"], [], "it said that it ends")
        self.assertTrue(two.path.exists())

    async def test_tenants_apply_waits_until_all_gateways_applied_it(self) -> None:
        """Guards against a command that ends before the change is everywhere, or that waits for ever."""
        file = self.service.folder / "acme.toml"
        file.write_text(
            'tenant = "acme"\n[plans.small-shop]\nrate = 8.0\nburst = 9.0\n'
            '[clients.press-1]\nplan = "small-shop"\n[hosts."acme.tenants.example.org"]\n'
        )
        token = self.service.folder / "token"
        token.write_text(self.service.token)
        arguments = (
            "tenants",
            "apply",
            str(file),
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
        done = await asyncio.to_thread(run_command, *arguments)
        self.assertEqual(done.returncode, 1, done.stderr)
        self.assertIn("no gateways", done.stderr)
        one = self.gateway("one")
        await one.wait_for_version(await self.status())
        file.write_text(file.read_text().replace("8.0", "7.0"))
        done = await asyncio.to_thread(run_command, *arguments[:5], "20", *arguments[6:])
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("complete: applied by 1 of 1 gateways", done.stdout)
        self.assertEqual(self.plan_rate(one.client.catalog), 7.0)

    async def test_gateways_survive_and_resync_after_a_service_crash(self) -> None:
        """Guards against gateways that end with their control plane, or stay behind once it is back."""
        one = self.gateway("one")
        version = await self.set_plan_rate(3.0)
        await one.wait_for_version(version)
        await self.service.stop(signal.SIGKILL)
        late = self.gateway("one-more")  # starts with nothing on disk and nobody to ask
        await one.stop()
        again = self.gateway("one")  # starts from its disk
        await asyncio.sleep(0)
        self.assertEqual(self.plan_rate(await again.wait_for_version(version)), 3.0)
        self.assertEqual(late.applied, [])
        await self.service.start()
        version = await self.set_plan_rate(6.0)
        for gateway in (again, late):
            self.assertEqual(self.plan_rate(await gateway.wait_for_version(version)), 6.0)
        versions = [made.version for made in again.applied]
        self.assertEqual(versions, sorted(set(versions)), "none twice, none back")

    async def test_only_gateway_credentials_read_the_feed_and_nothing_else(self) -> None:
        """Guards against a tenant that reads the feed, and a gateway's certificate that opens the API."""
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
            made = await send_change(gateway, "PUT", "/v1/tenants/evil", {"on": True})
            self.assertEqual(made.status_code, 404)
            other = await gateway.get("/v1/feed", params=query | {"instance": "1" * 16})
            self.assertEqual((other.status_code, other.json()["code"]), (409, "name-taken"))
            ahead = await gateway.get("/v1/feed", params=query | {"epoch": 2**50, "gateway": "y"})
            self.assertEqual((ahead.status_code, ahead.json()["code"]), (409, "behind"))
            for bad in ({"epoch": -1}, {"epoch": "x"}, {"gateway": "A B"}, {"instance": "z"}, {"hold_ms": 10**9}):
                self.assertEqual((await gateway.get("/v1/feed", params=query | bad)).status_code, 422, bad)
        drop = await send_change(self.root, "DELETE", "/v1/operators/gateways", If_Match="*")
        self.assertEqual(drop.status_code, 204)
        async with self.service.client(None, context) as gateway:
            self.assertEqual((await gateway.get("/v1/feed", params=query)).status_code, 401, "revoked")
        self.assertEqual(
            (await send_change(self.root, "PUT", "/v1/tenants/acme/credentials/g", {"scope": "gateway"})).status_code,
            422,
            "no tenant has gateways",
        )

    async def test_snapshot_transfers_are_limited_under_a_thundering_herd(self) -> None:
        """Guards against a fleet's return that the control plane answers all at once, or not at all."""
        context = gateway_tls_context(self.service, self.certificate)
        limits = httpx.Limits(max_connections=60)
        async with httpx.AsyncClient(
            base_url=self.service.url, verify=context, trust_env=False, limits=limits, timeout=30.0
        ) as gateway:

            async def ask(n: int) -> httpx.Response:
                return await gateway.get("/v1/feed", params={"gateway": f"g{n}", "instance": "0" * 16})

            answers = await asyncio.gather(*(ask(n) for n in range(120)))
            late = [one for one in answers if one.status_code != 200]
            self.assertTrue(all(one.status_code == 503 and float(one.headers["retry-after"]) > 0 for one in late))
            self.assertGreater(len(answers) - len(late), 3)
            self.assertTrue(all(one.text.endswith("}\n") for one in answers if one.status_code == 200))
            self.assertEqual((await ask(0)).status_code, 200, "places come free again")
        self.assertEqual((await self.root.get("/v1/status")).status_code, 200)
