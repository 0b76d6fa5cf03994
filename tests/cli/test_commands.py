"""The commands, run as a person or a script runs them, and the settings files that they read."""

from __future__ import annotations

import asyncio
import json
import subprocess
import tempfile
import unittest
from pathlib import Path

from tests.administration_process import AdministrationCase, send_change
from tests.cli.command_runner import run_command
from tests.stand_ins import ROOT

TENANT = """
tenant = "acme"
[plans.small-shop]
rate = 1.5
burst = 4
[clients.00000000B4D65521]
plan = "small-shop"
[hosts."acme.tenants.example.org"]
"""


class CheckCommand(unittest.TestCase):
    """`check` of settings files."""

    def test_error_names_file_field_value_and_allowed_values(self) -> None:
        """A wrong file is reported in one line, with exit code 2."""
        control = (ROOT / "deploy" / "control.toml").read_text()
        listen = 'listen = "127.0.0.1:8443"'
        cases = [
            (control.replace("[store]", "[store]\nfolders = 1"), "field 'store.folders': unknown field"),
            (control.replace('folder = "../found/control"', ""), "field 'store.folder': missing"),
            (
                control.replace(listen, 'listen = "here"'),
                "field 'api.listen': found 'here'; 'here' is not a host:port address",
            ),
            (control.replace(listen, listen + "\nconnections = 0"), "field 'api.connections': found 0; Expected `int`"),
            (control.replace(listen, listen + '\nburst = "x"'), "field 'api.burst': found 'x'; Expected `float`"),
            (control + "[tls]\n", "not TOML"),
            (TENANT + '[clients.b]\nplan = "none"', "field 'clients.b.plan': found"),
            (TENANT.replace("burst = 4", ""), "field 'plans.small-shop.burst'"),
            (TENANT.replace("rate = 1.5", "rate = -1"), "field 'plans[...].rate'"),
            (TENANT.replace('"acme"', '"Acme"'), "field 'tenant': found 'Acme'; a tenant is named"),
            (TENANT.replace("tenants.example.org", "example..org"), "cannot name a host"),
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "file.toml"
            for text, says in cases:
                with self.subTest(says=says):
                    path.write_text(text)
                    done = run_command("check", str(path))
                    self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 1), done.stderr)
                    self.assertIn(f"{path}: ", done.stderr)
                    self.assertIn(says, done.stderr)
        self.assertEqual(run_command("check", "nowhere.toml").returncode, 2)

    def test_files_under_deploy_are_valid(self) -> None:
        """All example files pass the check."""
        for name in ("control", "resp"):
            done = run_command("check", str(ROOT / "deploy" / f"{name}.toml"))
            self.assertEqual((done.returncode, done.stdout.strip().endswith(f"good ({name})")), (0, True), done.stderr)


class AdministrationCommands(AdministrationCase):
    """The commands against a running control plane."""

    async def hallhitch(self, *words: str, token: str = "") -> subprocess.CompletedProcess[str]:
        """Run a command that calls the API."""
        return await asyncio.to_thread(
            run_command,
            *words,
            HALLHITCH_URL=self.service.url,
            HALLHITCH_TOKEN=token or self.service.token,
            HALLHITCH_CA=str(self.service.folder / "tls" / "ca.crt"),
        )

    async def test_declared_tenant_is_applied_once(self) -> None:
        """`apply` makes the changes that `diff` shows, and none the second time."""
        path = self.service.folder / "acme.toml"
        path.write_text(TENANT)
        told = await self.hallhitch("tenants", "diff", str(path))
        self.assertEqual((told.returncode, told.stdout.count("+ ")), (1, 4), told.stderr)
        asked = await self.hallhitch("tenants", "apply", str(path))
        self.assertEqual(asked.returncode, 1, "nobody said yes")
        self.assertEqual((await self.hallhitch("tenants", "list")).stdout.count("acme"), 0)
        done = json.loads((await self.hallhitch("tenants", "apply", "--yes", "--json", str(path))).stdout)
        self.assertEqual((len(done["changes"]), len(done["versions"])), (4, 1))
        version = await self.status()
        self.assertIn("nothing to change", (await self.hallhitch("tenants", "apply", "--yes", str(path))).stdout)
        self.assertEqual((await self.hallhitch("tenants", "diff", str(path))).returncode, 0)
        self.assertEqual(await self.status(), version)
        path.write_text(
            TENANT.replace("rate = 1.5", "rate = 2.5")
            .replace("[hosts", '[clients.press]\nplan = "small-shop"\n[hosts')
            .replace("acme.tenants", "shop.tenants")
        )
        told = await self.hallhitch("tenants", "diff", str(path))
        self.assertEqual(sorted(line[0] for line in told.stdout.splitlines()), ["+", "+", "-", "~"], told.stdout)
        self.assertIn("rate: 1.5 -> 2.5", told.stdout)
        self.assertEqual((await self.hallhitch("tenants", "apply", "--yes", str(path))).returncode, 0)
        shown = json.loads((await self.hallhitch("tenants", "show", "acme", "--json")).stdout)
        self.assertEqual([h["name"] for h in shown["hosts"]], ["shop.tenants.example.org"])
        self.assertEqual([c["name"] for c in shown["clients"]], ["00000000b4d65521", "press"])

    async def test_interrupted_apply_is_completed_by_the_next_one(self) -> None:
        """A second `apply` makes the changes that are missing."""
        path = self.service.folder / "acme.toml"
        clients = "".join(f'[clients.c{n}]\nplan = "small-shop"\n' for n in range(1500))
        path.write_text(TENANT.replace("[plans", "[limits]\nclients = 5000\nrate = 9000\n[plans") + clients)
        first = [
            {"kind": "tenant", "name": "acme", "value": {"limits": {"clients": 5000, "rate": 9000.0}}},
            {"kind": "plan", "name": "small-shop", "value": {"rate": 1.5, "burst": 4.0}},
            *({"kind": "client", "name": f"c{n}", "value": {"plan": "small-shop"}} for n in range(400)),
        ]
        made = await send_change(self.root, "POST", "/v1/tenants/acme/changes", {"edits": first})
        self.assertEqual(made.status_code, 200, made.text)
        done = await self.hallhitch("tenants", "apply", "--yes", "--json", str(path))
        told = json.loads(done.stdout)
        self.assertEqual((len(told["changes"]), len(told["versions"])), (1102, 2), "what was left, in two pieces")
        self.assertEqual((await self.hallhitch("tenants", "diff", str(path))).returncode, 0)

    async def test_credentials(self) -> None:
        """Issued and rotated tokens authenticate, revoked ones do not, and lists show none."""
        path = self.service.folder / "acme.toml"
        path.write_text(TENANT)
        await self.hallhitch("tenants", "apply", "--yes", str(path))
        token = (await self.hallhitch("credentials", "issue", "acme", "boss", "--scope", "admin")).stdout.strip()
        self.assertEqual((await self.hallhitch("tenants", "show", "acme", token=token)).returncode, 0)
        listed = (await self.hallhitch("credentials", "list", "acme")).stdout
        self.assertIn("boss", listed)
        self.assertNotIn(token.rpartition(".")[2], listed)
        fresh = (await self.hallhitch("credentials", "rotate", "acme", "boss", "--overlap", "0")).stdout.strip()
        refused = await self.hallhitch("tenants", "show", "acme", token=token)
        self.assertEqual((refused.returncode, len(refused.stderr.splitlines())), (1, 1))
        self.assertEqual((await self.hallhitch("tenants", "show", "acme", token=fresh)).returncode, 0)
        revoked = await self.hallhitch("credentials", "revoke", "acme", "boss", "--json")
        self.assertEqual((revoked.returncode, json.loads(revoked.stdout)["revoked"]), (0, True), revoked.stderr)
        self.assertEqual((await self.hallhitch("tenants", "show", "acme", token=fresh)).returncode, 1)
        other = await self.hallhitch("tenants", "show", "nobody")
        self.assertIn("404 not-found", other.stderr)

    async def test_backup_during_service(self) -> None:
        """A backup is made and verified while the control plane serves."""
        path = self.service.folder / "acme.toml"
        path.write_text(TENANT)
        await self.hallhitch("tenants", "apply", "--yes", str(path))
        target, file = str(self.service.folder / "b.db"), str(self.service.settings_file)
        saved = json.loads((await self.hallhitch("control", "backup", file, target)).stdout)
        for verified in (target, file):
            told = json.loads((await self.hallhitch("control", "verify", verified)).stdout)
            self.assertEqual((told["checksum"], told["version"]), (saved["checksum"], saved["version"]))
        busy = await self.hallhitch("control", "restore", file, target)
        self.assertEqual(busy.returncode, 2)
        self.assertIn("in use by process", busy.stderr)
