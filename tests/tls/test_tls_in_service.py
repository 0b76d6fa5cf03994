"""Certificates of a running control plane: replacement in service, and clients that are turned away."""

from __future__ import annotations

import asyncio
import contextlib
import ssl

from hallhitch.tls.authority import issue_certificate
from tests.administration_process import AdministrationCase
from tests.stand_ins import soon


class TlsInService(AdministrationCase):
    """A control plane with certificates of a local authority."""

    def address(self) -> tuple[str, int]:
        host, port = self.plane.url.removeprefix("https://").split(":")
        return host, int(port)

    def client_context(self) -> ssl.SSLContext:
        return ssl.create_default_context(cafile=str(self.plane.folder / "tls" / "ca.crt"))

    async def presented_certificate(self, server_name: str | None = None) -> dict[str, object]:
        """Return the certificate that a new connection is presented with."""
        host, port = self.address()
        _, writer = await asyncio.open_connection(
            host, port, ssl=self.client_context(), server_hostname=server_name or host
        )
        connection: ssl.SSLObject = writer.get_extra_info("ssl_object")
        writer.close()
        certificate = connection.getpeercert()
        assert certificate is not None
        return dict(certificate)

    async def logged(self, text: str) -> None:
        """Wait for a log line, one that was written before included."""
        while not any(text in line for line in self.plane.log_lines):
            await asyncio.sleep(0.01)

    async def test_certificates_are_replaced_without_dropping_connections(self) -> None:
        directory = self.plane.folder / "tls"
        self.assertEqual((await self.root.get("/v1/status")).status_code, 200)  # a connection that stays open
        before = await self.presented_certificate()
        issue_certificate(directory, "default", ["127.0.0.1", "localhost"])
        issue_certificate(directory, "late", ["late.example.org"])
        for file in ("default.crt", "late.crt"):  # each may be loaded before the other is written
            await soon(self.logged(f'"file": "{file}", "replaced": {str(file == "default.crt").lower()}'))
        replaced = await self.presented_certificate()
        self.assertNotEqual(replaced, before)
        self.assertEqual((await self.root.get("/v1/status")).status_code, 200)
        late = await self.presented_certificate("late.example.org")
        self.assertEqual(late["subjectAltName"], (("DNS", "late.example.org"),))
        (directory / "default.crt").write_text("spoilt")
        self.plane.process.send_signal(1)  # SIGHUP
        await soon(self.logged("certificate rejected"))
        self.assertEqual(await self.presented_certificate(), replaced, "the previous certificate serves on")

    async def test_tls_before_1_2_is_refused(self) -> None:
        context = self.client_context()
        context.set_ciphers("ALL:@SECLEVEL=0")
        context.minimum_version = ssl.TLSVersion.TLSv1
        context.maximum_version = ssl.TLSVersion.TLSv1_1
        with self.assertRaises((ssl.SSLError, ConnectionError)):
            await asyncio.open_connection(*self.address(), ssl=context)

    async def test_plain_text_is_not_answered(self) -> None:
        reader, writer = await asyncio.open_connection(*self.address())
        writer.write(b"GET /openapi.json HTTP/1.1\r\nHost: x\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            self.assertNotIn(b"200", await reader.read())
        writer.close()
