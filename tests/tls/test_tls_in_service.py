"""TLS of a running control plane: replacement of certificates, and clients that are rejected."""

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
        host, port = self.service.url.removeprefix("https://").split(":")
        return host, int(port)

    def client_context(self) -> ssl.SSLContext:
        return ssl.create_default_context(cafile=str(self.service.folder / "tls" / "ca.crt"))

    async def presented_certificate(self, server_name: str | None = None) -> dict[str, object]:
        """Return the certificate that the server presents to a new connection."""
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
        """Wait for a log line that contains the text; lines that were logged earlier count."""
        while not any(text in line for line in self.service.log_lines):
            await asyncio.sleep(0.01)

    async def test_certificates_are_replaced_without_dropping_connections(self) -> None:
        directory = self.service.folder / "tls"
        self.assertEqual((await self.root.get("/v1/status")).status_code, 200)  # a connection that stays open
        previous = await self.presented_certificate()
        issue_certificate(directory, "default", ["127.0.0.1", "localhost"])
        issue_certificate(directory, "late", ["late.example.org"])
        for file in ("default.crt", "late.crt"):  # a reload may load one before the other is written
            await soon(self.logged(f'"file": "{file}", "replaced": {str(file == "default.crt").lower()}'))
        replaced = await self.presented_certificate()
        self.assertNotEqual(replaced, previous)
        self.assertEqual((await self.root.get("/v1/status")).status_code, 200)
        late = await self.presented_certificate("late.example.org")
        self.assertEqual(late["subjectAltName"], (("DNS", "late.example.org"),))
        (directory / "default.crt").write_text("invalid")
        self.service.process.send_signal(1)  # SIGHUP
        await soon(self.logged("certificate rejected"))
        self.assertEqual(await self.presented_certificate(), replaced, "the previous certificate must stay in use")

    async def test_tls_before_1_2_is_refused(self) -> None:
        context = self.client_context()
        context.set_ciphers("ALL:@SECLEVEL=0")
        context.minimum_version = ssl.TLSVersion.TLSv1
        context.maximum_version = ssl.TLSVersion.TLSv1_1
        with self.assertRaises((ssl.SSLError, ConnectionError)):
            await asyncio.open_connection(*self.address(), ssl=context)

    async def test_unencrypted_request_is_not_answered(self) -> None:
        reader, writer = await asyncio.open_connection(*self.address())
        writer.write(b"GET /openapi.json HTTP/1.1\r\nHost: x\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            self.assertNotIn(b"200", await reader.read())
        writer.close()
