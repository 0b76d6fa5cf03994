"""Certificates as files: reading them, the names they are valid for, fingerprints, and detection of replacement."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes

from hallhitch.tls.errors import CertificateError


class FileVersion(NamedTuple):
    """What changes when a file is replaced; zeros for a file that cannot be read."""

    modified_ns: int
    size_bytes: int


def file_version(path: Path) -> FileVersion:
    """Return a file's version."""
    try:
        stat = path.stat()
    except OSError:
        return FileVersion(0, 0)
    return FileVersion(stat.st_mtime_ns, stat.st_size)


def read_certificate(path: Path) -> x509.Certificate:
    """Read the first certificate of a PEM file.

    Raises:
        CertificateError: The file cannot be read or holds no certificate.
    """
    try:
        return x509.load_pem_x509_certificates(path.read_bytes())[0]
    except (OSError, ValueError, IndexError) as error:
        raise CertificateError(path, f"no certificate: {error}") from error


def subject_names(certificate: x509.Certificate) -> tuple[str, ...]:
    """Return the host names and addresses that a certificate is valid for."""
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return ()
    return (
        *(name.lower() for name in names.get_values_for_type(x509.DNSName)),
        *(str(address) for address in names.get_values_for_type(x509.IPAddress)),
    )


def is_authority(path: Path) -> bool:
    """Return whether a file holds an authority's certificate."""
    try:
        return read_certificate(path).extensions.get_extension_for_class(x509.BasicConstraints).value.ca
    except (CertificateError, x509.ExtensionNotFound):
        return False


def certificate_fingerprint(der: bytes) -> str:
    """Return the SHA-256 of a DER certificate in hexadecimal digits, by which credentials name a certificate."""
    digest = hashes.Hash(hashes.SHA256())
    digest.update(der)
    return digest.finalize().hex()
