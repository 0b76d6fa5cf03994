"""Certificates: what is taken, what is kept, and that nobody is dropped for it."""

from __future__ import annotations

import asyncio
import contextlib
import os
import ssl
import tempfile
import unittest
from datetime import UTC, datetime, timedelta
from pathlib import Path

import trustme

from hallhitch.tls import authority
from hallhitch.tls.certificates import CertificateError, Certificates, describe, load_pair
from tests.control_plane import ControlCase
from tests.stand_ins import soon


class Folder(unittest.TestCase):
    """A folder of pairs."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        authority.make_authority(self.folder)
        for name, hosts in {"acme": ["acme.example.org"], "wild": ["*.example.org"], "default": ["x.org"]}.items():
            authority.issue(self.folder, name, hosts)

    def serial(self, certificates: Certificates, name: str | None) -> str:
        """Which pair is shown for a name."""
        return certificates.pair_for(name).file.stem

    def test_names(self) -> None:
        """Guards against one host name shown another's certificate."""
        found = Certificates(self.folder)
        for name, pair in [
            ("acme.example.org", "acme"),
            ("ACME.example.org", "acme"),
            ("bolt.example.org", "wild"),
            ("a.b.example.org", "default"),
            ("y.org", "default"),
            (None, "default"),
        ]:
            self.assertEqual(self.serial(found, name), pair, name)

    def test_what_cannot_serve_is_named_and_what_served_goes_on(self) -> None:
        """Guards against a reload that takes a working certificate away."""
        found = Certificates(self.folder)
        good = found.pair_for("acme.example.org")
        key, certificate = self.folder / "acme.key", self.folder / "acme.crt"
        held = key.read_bytes(), certificate.read_bytes()

        def spoil(what: str) -> None:
            if what == "key of another":
                key.write_bytes((self.folder / "wild.key").read_bytes())
            elif what == "expired":
                authority.issue(self.folder, "acme", ["acme.example.org"], days=-1)
            elif what == "garbage":
                certificate.write_bytes(b"nothing")
            elif what == "no key":
                key.unlink()
            elif what == "no names":
                ca = trustme.CA()
                leaf = ca.issue_cert(common_name="acme.example.org")
                certificate.write_bytes(leaf.cert_chain_pems[0].bytes())
                key.write_bytes(leaf.private_key_pem.bytes())

        for what, says in [
            ("key of another", "not the key of"),
            ("expired", "expired"),
            ("garbage", "no certificate"),
            ("no key", "no private key"),
            ("no names", "no host name"),
        ]:
            with self.subTest(what=what):
                spoil(what)
                faults = found.reload()
                self.assertEqual(len(faults), 1)
                self.assertIn("acme", faults[0])
                self.assertIn(says, faults[0])
                self.assertIs(found.pair_for("acme.example.org"), good)
                key.write_bytes(held[0])
                certificate.write_bytes(held[1])
                os.utime(certificate, ns=(1, 1))
                self.assertEqual(found.reload(), [])
                good = found.pair_for("acme.example.org")

    def test_a_certificate_that_is_not_valid_yet(self) -> None:
        """Guards against one shown before its time."""
        before = datetime.now(UTC) - timedelta(days=1)
        with self.assertRaisesRegex(CertificateError, "not valid before"):
            load_pair(self.folder / "acme.crt", self.folder / "acme.key", None, before)

    def test_an_empty_folder_and_one_with_nothing_good(self) -> None:
        """Guards against a start without any certificate."""
        with tempfile.TemporaryDirectory() as empty, self.assertRaisesRegex(CertificateError, "holds no pair"):
            Certificates(Path(empty))

    def test_inspect(self) -> None:
        """Guards against an inspection that says good of a pair that cannot serve."""
        self.assertEqual(describe(self.folder / "acme.crt")["pair"], "good")
        (self.folder / "acme.key").write_bytes((self.folder / "wild.key").read_bytes())
        self.assertIn("not the key", str(describe(self.folder / "acme.crt")["pair"]))


class Service(ControlCase):
    """The same in service."""

    async def shown(self, name: str | None = None) -> ssl.SSLObject:
        """The TLS of a new connection."""
        host, port = self.plane.url.removeprefix("https://").split(":")
        context = ssl.create_default_context(cafile=str(self.plane.folder / "tls" / "ca.crt"))
        reader, writer = await asyncio.open_connection(host, int(port), ssl=context, server_hostname=name or host)
        found: ssl.SSLObject = writer.get_extra_info("ssl_object")
        writer.close()
        return found

    async def said(self, text: str) -> None:
        """Wait for a line of the log, one that has come already included."""
        while not any(text in line for line in self.plane.said):
            await asyncio.sleep(0.01)

    async def test_replaced_in_service(self) -> None:
        """Guards against connections dropped for a new certificate, and a new one that is never shown."""
        folder = self.plane.folder / "tls"
        self.assertEqual((await self.root.get("/v1/status")).status_code, 200)  # a connection that stays open
        before = (await self.shown()).getpeercert()
        assert before is not None
        authority.issue(folder, "default", ["127.0.0.1", "localhost"])
        authority.issue(folder, "late", ["late.example.org"])
        for file in ("default.crt", "late.crt"):  # each may be looked at before the other is written
            await soon(self.said(f'"file": "{file}", "replaced": {str(file == "default.crt").lower()}'))
        now = (await self.shown()).getpeercert()
        self.assertNotEqual(now, before)
        self.assertEqual((await self.root.get("/v1/status")).status_code, 200)
        late = (await self.shown("late.example.org")).getpeercert()
        assert late is not None
        self.assertEqual(late["subjectAltName"], (("DNS", "late.example.org"),))
        (folder / "default.crt").write_text("spoilt")
        self.plane.process.send_signal(1)  # SIGHUP
        await soon(self.said("certificate not taken"))
        self.assertEqual((await self.shown()).getpeercert(), now, "the one that served goes on")

    async def test_old_tls_and_plain_text(self) -> None:
        """Guards against what is older than TLS 1.2, and against callers without TLS."""
        host, port = self.plane.url.removeprefix("https://").split(":")
        context = ssl.create_default_context(cafile=str(self.plane.folder / "tls" / "ca.crt"))
        context.set_ciphers("ALL:@SECLEVEL=0")
        context.minimum_version = ssl.TLSVersion.TLSv1
        context.maximum_version = ssl.TLSVersion.TLSv1_1
        with self.assertRaises((ssl.SSLError, ConnectionError)):
            await asyncio.open_connection(host, int(port), ssl=context)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /openapi.json HTTP/1.1\r\nHost: x\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            self.assertNotIn(b"200", await reader.read())
        writer.close()
