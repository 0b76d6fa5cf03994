"""A certificate with its private key, which are checked before they are used."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Final

import structlog
from cryptography import x509
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.types import PrivateKeyTypes

from hallhitch.tls.certificate_files import FileVersion, file_version, read_certificate, subject_names
from hallhitch.tls.errors import CertificateError

EXPIRY_WARNING_S: Final = 14 * 86_400  # two weeks, to leave time for replacing the certificate
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class CertificatePair:
    """A valid certificate and key, with the SSL context that presents the certificate."""

    certificate_path: Path
    names: tuple[str, ...]
    expires_at: datetime
    context: ssl.SSLContext
    versions: tuple[FileVersion, FileVersion]  # of the certificate file and the key file


def key_path(certificate_path: Path) -> Path:
    """Return the path of the private key that belongs to a certificate file."""
    return certificate_path.with_suffix(".key")


def pair_versions(certificate_path: Path) -> tuple[FileVersion, FileVersion]:
    """Return the versions of a certificate file and of its key file."""
    return file_version(certificate_path), file_version(key_path(certificate_path))


def load_certificate_pair(
    certificate_path: Path, client_ca: Path | None, now: datetime | None = None
) -> CertificatePair:
    """Check a certificate and its key, and create the SSL context that presents the certificate.

    If `client_ca` is given, clients may authenticate with certificates that it has issued.

    Raises:
        CertificateError: A file is unreadable, the key belongs to another certificate, or the certificate is not
            valid now or has no subject alternative name.
    """
    versions = pair_versions(certificate_path)
    certificate = read_certificate(certificate_path)
    _check_key(certificate_path, certificate, _read_key(key_path(certificate_path)))
    now = now or datetime.now(UTC)
    _check_validity(certificate_path, certificate, now)
    names = subject_names(certificate)
    if not names:
        raise CertificateError(certificate_path, "is valid for no host name or IP address")
    expires_at = certificate.not_valid_after_utc
    if (expires_at - now).total_seconds() < EXPIRY_WARNING_S:
        log.warning("certificate expires soon", file=certificate_path.name, expires=f"{expires_at:%Y-%m-%d}")
    context = _server_context(certificate_path, client_ca)
    return CertificatePair(certificate_path, names, expires_at, context, versions)


def _read_key(path: Path) -> PrivateKeyTypes:
    try:
        return serialization.load_pem_private_key(path.read_bytes(), password=None)
    except (OSError, ValueError, TypeError) as error:
        raise CertificateError(path, f"cannot read the private key: {error}") from error


def _check_key(certificate_path: Path, certificate: x509.Certificate, key: PrivateKeyTypes) -> None:
    public_format = (serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo)
    if key.public_key().public_bytes(*public_format) != certificate.public_key().public_bytes(*public_format):
        raise CertificateError(key_path(certificate_path), f"not the private key of {certificate_path.name}")


def _check_validity(path: Path, certificate: x509.Certificate, now: datetime) -> None:
    expires_at, valid_from = certificate.not_valid_after_utc, certificate.not_valid_before_utc
    if now >= expires_at:
        raise CertificateError(path, f"expired at {expires_at:%Y-%m-%d %H:%M} UTC")
    if now < valid_from:
        raise CertificateError(path, f"not valid before {valid_from:%Y-%m-%d %H:%M} UTC")


def _server_context(certificate_path: Path, client_ca: Path | None) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["http/1.1"])
    try:
        context.load_cert_chain(certificate_path, key_path(certificate_path))
        if client_ca is not None:  # in every context: a handshake verifies with the context that SNI selects
            context.load_verify_locations(client_ca)
            context.verify_mode = ssl.CERT_OPTIONAL
    except (OSError, ssl.SSLError) as error:
        raise CertificateError(certificate_path, str(error)) from error
    return context
