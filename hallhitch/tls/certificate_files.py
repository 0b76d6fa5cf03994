"""Certificate files: reading, subject names, fingerprints, and the detection of replaced files."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes

from hallhitch.tls.errors import CertificateError


class FileVersion(NamedTuple):
    """Identifies the content of a file: changes when the file is replaced; zeros if the file cannot be read."""

    modified_ns: int
    size_bytes: int


def file_version(path: Path) -> FileVersion:
    """Return the current version of a file."""
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
        raise CertificateError(path, f"cannot read a certificate: {error}") from error


def subject_names(certificate: x509.Certificate) -> tuple[str, ...]:
    """Return the host names and IP addresses in a certificate's subject alternative names."""
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return ()
    return (
        *(name.lower() for name in names.get_values_for_type(x509.DNSName)),
        *(str(address) for address in names.get_values_for_type(x509.IPAddress)),
    )


def is_authority(path: Path) -> bool:
    """Return whether a file holds the certificate of a certificate authority."""
    try:
        return read_certificate(path).extensions.get_extension_for_class(x509.BasicConstraints).value.ca
    except (CertificateError, x509.ExtensionNotFound):
        return False


def certificate_fingerprint(der: bytes) -> str:
    """Return the SHA-256 digest of a DER certificate in hexadecimal; credentials refer to certificates by it."""
    digest = hashes.Hash(hashes.SHA256())
    digest.update(der)
    return digest.finalize().hex()
