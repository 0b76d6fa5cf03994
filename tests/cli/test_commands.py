"""Commands, run as processes, and validation of the settings files that they read."""

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

TENANT_FILE = """
tenant = "acme"
[plans.small-shop]
rate = 1.5
burst = 4
[clients.00000000B4D65521]
plan = "small-shop"
[hosts."acme.tenants.example.org"]
"""


class CheckCommand(unittest.TestCase):
    """`hallhitch check`."""

    def test_error_names_file_field_value_and_allowed_values(self) -> None:
        """An invalid file is reported in one line that names what is wrong, with exit code 2."""
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
            (TENANT_FILE + '[clients.b]\nplan = "none"', "field 'clients.b.plan': found"),
            (TENANT_FILE.replace("burst = 4", ""), "field 'plans.small-shop.burst'"),
            (TENANT_FILE.replace("rate = 1.5", "rate = -1"), "field 'plans[...].rate'"),
            (TENANT_FILE.replace('"acme"', '"Acme"'), "field 'tenant': found 'Acme'; a tenant is named"),
            (TENANT_FILE.replace("tenants.example.org", "example..org"), "cannot name a host"),
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "file.toml"
            for text, expected in cases:
                with self.subTest(expected=expected):
                    path.write_text(text)
                    result = run_command("check", str(path))
                    self.assertEqual((result.returncode, len(result.stderr.splitlines())), (2, 1), result.stderr)
                    self.assertIn(f"{path}: ", result.stderr)
                    self.assertIn(expected, result.stderr)
        self.assertEqual(run_command("check", "nowhere.toml").returncode, 2)

    def test_files_under_deploy_are_valid(self) -> None:
        """The example files under deploy pass the check."""
        for name in ("control", "resp"):
            result = run_command("check", str(ROOT / "deploy" / f"{name}.toml"))
            self.assertEqual(
                (result.returncode, result.stdout.strip().endswith(f": valid ({name})")), (0, True), result.stderr
            )


class AdministrationCommands(AdministrationCase):
    """Commands against a running control plane."""

    async def run_api_command(self, *arguments: str, token: str = "") -> subprocess.CompletedProcess[str]:
        """Run a command that calls the API, with the operator's token by default."""
        return await asyncio.to_thread(
            run_command,
            *arguments,
            HALLHITCH_URL=self.service.url,
            HALLHITCH_TOKEN=token or self.service.token,
            HALLHITCH_CA=str(self.service.folder / "tls" / "ca.crt"),
        )

    async def test_declared_tenant_is_applied_once(self) -> None:
        """`apply` makes the changes that `diff` shows, and a second `apply` makes none."""
        path = self.service.folder / "acme.toml"
        path.write_text(TENANT_FILE)
        diff = await self.run_api_command("tenants", "diff", str(path))
        self.assertEqual((diff.returncode, diff.stdout.count("+ ")), (1, 4), diff.stderr)
        unconfirmed = await self.run_api_command("tenants", "apply", str(path))
        self.assertEqual(unconfirmed.returncode, 1, "changes were not confirmed")
        self.assertEqual((await self.run_api_command("tenants", "list")).stdout.count("acme"), 0)
        result = json.loads((await self.run_api_command("tenants", "apply", "--yes", "--json", str(path))).stdout)
        self.assertEqual((len(result["changes"]), len(result["versions"])), (4, 1))
        version = await self.status()
        self.assertIn("nothing to change", (await self.run_api_command("tenants", "apply", "--yes", str(path))).stdout)
        self.assertEqual((await self.run_api_command("tenants", "diff", str(path))).returncode, 0)
        self.assertEqual(await self.status(), version)
        path.write_text(
            TENANT_FILE.replace("rate = 1.5", "rate = 2.5")
            .replace("[hosts", '[clients.press]\nplan = "small-shop"\n[hosts')
            .replace("acme.tenants", "shop.tenants")
        )
        diff = await self.run_api_command("tenants", "diff", str(path))
        self.assertEqual(sorted(line[0] for line in diff.stdout.splitlines()), ["+", "+", "-", "~"], diff.stdout)
        self.assertIn("rate: 1.5 -> 2.5", diff.stdout)
        self.assertEqual((await self.run_api_command("tenants", "apply", "--yes", str(path))).returncode, 0)
        shown = json.loads((await self.run_api_command("tenants", "show", "acme", "--json")).stdout)
        self.assertEqual([h["name"] for h in shown["hosts"]], ["shop.tenants.example.org"])
        self.assertEqual([c["name"] for c in shown["clients"]], ["00000000b4d65521", "press"])

    async def test_interrupted_apply_is_completed_by_the_next_apply(self) -> None:
        """An `apply` after an interrupted one makes only the missing changes."""
        path = self.service.folder / "acme.toml"
        clients = "".join(f'[clients.c{n}]\nplan = "small-shop"\n' for n in range(1500))
        path.write_text(TENANT_FILE.replace("[plans", "[limits]\nclients = 5000\nrate = 9000\n[plans") + clients)
        applied_edits = [
            {"kind": "tenant", "name": "acme", "value": {"limits": {"clients": 5000, "rate": 9000.0}}},
            {"kind": "plan", "name": "small-shop", "value": {"rate": 1.5, "burst": 4.0}},
            *({"kind": "client", "name": f"c{n}", "value": {"plan": "small-shop"}} for n in range(400)),
        ]
        response = await send_change(self.root, "POST", "/v1/tenants/acme/changes", {"edits": applied_edits})
        self.assertEqual(response.status_code, 200, response.text)
        result = await self.run_api_command("tenants", "apply", "--yes", "--json", str(path))
        summary = json.loads(result.stdout)
        self.assertEqual(
            (len(summary["changes"]), len(summary["versions"])), (1102, 2), "the missing changes, in two requests"
        )
        self.assertEqual((await self.run_api_command("tenants", "diff", str(path))).returncode, 0)

    async def test_credentials_are_issued_rotated_and_revoked(self) -> None:
        """Issued and rotated tokens authenticate, replaced and revoked ones do not, and lists contain no secret."""
        path = self.service.folder / "acme.toml"
        path.write_text(TENANT_FILE)
        await self.run_api_command("tenants", "apply", "--yes", str(path))
        token = (await self.run_api_command("credentials", "issue", "acme", "boss", "--scope", "admin")).stdout.strip()
        self.assertEqual((await self.run_api_command("tenants", "show", "acme", token=token)).returncode, 0)
        listed = (await self.run_api_command("credentials", "list", "acme")).stdout
        self.assertIn("boss", listed)
        self.assertNotIn(token.rpartition(".")[2], listed)
        rotated_token = (
            await self.run_api_command("credentials", "rotate", "acme", "boss", "--overlap", "0")
        ).stdout.strip()
        rejected = await self.run_api_command("tenants", "show", "acme", token=token)
        self.assertEqual((rejected.returncode, len(rejected.stderr.splitlines())), (1, 1))
        self.assertEqual((await self.run_api_command("tenants", "show", "acme", token=rotated_token)).returncode, 0)
        revoked = await self.run_api_command("credentials", "revoke", "acme", "boss", "--json")
        self.assertEqual((revoked.returncode, json.loads(revoked.stdout)["revoked"]), (0, True), revoked.stderr)
        self.assertEqual((await self.run_api_command("tenants", "show", "acme", token=rotated_token)).returncode, 1)
        missing = await self.run_api_command("tenants", "show", "nobody")
        self.assertIn("404 not-found", missing.stderr)

    async def test_backup_while_serving(self) -> None:
        """A backup is made and verified while the control plane serves; a restore is refused meanwhile."""
        path = self.service.folder / "acme.toml"
        path.write_text(TENANT_FILE)
        await self.run_api_command("tenants", "apply", "--yes", str(path))
        target, file = str(self.service.folder / "b.db"), str(self.service.settings_file)
        backup = json.loads((await self.run_api_command("control", "backup", file, target)).stdout)
        for verified in (target, file):
            verification = json.loads((await self.run_api_command("control", "verify", verified)).stdout)
            self.assertEqual(
                (verification["checksum"], verification["version"]), (backup["checksum"], backup["version"])
            )
        refused_restore = await self.run_api_command("control", "restore", file, target)
        self.assertEqual(refused_restore.returncode, 2)
        self.assertIn("in use by process", refused_restore.stderr)
