"""A local certificate authority for trials and tests. Its private key is stored unencrypted: not for production."""

from __future__ import annotations

import ipaddress
import os
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Final

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from hallhitch.tls.certificate_files import read_certificate
from hallhitch.tls.errors import CertificateError

AUTHORITY_NAME: Final = "ca"  # file name without suffix; clients trust `ca.crt`
AUTHORITY_VALIDITY: Final = timedelta(days=365 * 10)  # outlasts any trial
DEFAULT_VALIDITY_DAYS: Final = 90  # as usual for public certificate authorities
CLOCK_SKEW: Final = timedelta(minutes=5)  # the clock of a client may be behind by this much
MAX_COMMON_NAME_LENGTH: Final = 64  # upper bound of X.520 (ub-common-name)


def create_authority(directory: Path) -> Path:
    """Create `ca.crt` and `ca.key`; return the path of the certificate.

    Raises:
        CertificateError: The directory already holds an authority.
    """
    certificate_path, key_path = _authority_paths(directory)
    if certificate_path.exists():
        raise CertificateError(certificate_path, "a certificate authority exists already")
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "hallhitch local authority")])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - CLOCK_SKEW)
        .not_valid_after(now + AUTHORITY_VALIDITY)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(_authority_key_usage(), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .sign(key, hashes.SHA256())
    )
    directory.mkdir(parents=True, exist_ok=True)
    _write_key(key_path, key)
    _write_certificate(certificate_path, certificate)
    return certificate_path


def issue_certificate(
    directory: Path,
    file_name: str,
    names: list[str],
    client: bool = False,
    days: float = DEFAULT_VALIDITY_DAYS,
) -> Path:
    """Issue `FILE_NAME.crt` and `FILE_NAME.key` for host names and IP addresses; return the path of the certificate.

    With `client`, the certificate is for client authentication instead of a server. Both files are replaced by
    renaming, the key first: a reader that loads them in between finds that they do not match and retries.

    Raises:
        CertificateError: The directory holds no usable authority.
    """
    authority_path, authority_key_path = _authority_paths(directory)
    authority = read_certificate(authority_path)
    signing_key = _read_signing_key(authority_key_path)
    key = ec.generate_private_key(ec.SECP256R1())
    now = datetime.now(UTC)
    expires_at = now + timedelta(days=days)
    usage = ExtendedKeyUsageOID.CLIENT_AUTH if client else ExtendedKeyUsageOID.SERVER_AUTH
    common_name = names[0][:MAX_COMMON_NAME_LENGTH]
    certificate = (
        x509.CertificateBuilder()
        .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)]))
        .issuer_name(authority.subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(min(now, expires_at) - CLOCK_SKEW)
        .not_valid_after(expires_at)
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(x509.ExtendedKeyUsage([usage]), critical=False)
        .add_extension(x509.SubjectAlternativeName([_general_name(name) for name in names]), critical=False)
        .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(signing_key.public_key()), critical=False)
        .sign(signing_key, hashes.SHA256())
    )
    certificate_path = directory / f"{file_name}.crt"
    _write_key(directory / f"{file_name}.key", key)
    _write_certificate(certificate_path, certificate)
    return certificate_path


def _authority_paths(directory: Path) -> tuple[Path, Path]:
    return directory / f"{AUTHORITY_NAME}.crt", directory / f"{AUTHORITY_NAME}.key"


def _read_signing_key(path: Path) -> ec.EllipticCurvePrivateKey:
    try:
        key = serialization.load_pem_private_key(path.read_bytes(), None)
    except (OSError, ValueError) as error:
        raise CertificateError(path, str(error)) from error
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        raise CertificateError(path, "the private key is not an elliptic-curve key")
    return key


def _authority_key_usage() -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=False,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=True,
        crl_sign=True,
        encipher_only=False,
        decipher_only=False,
    )


def _general_name(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)


def _write_key(path: Path, key: ec.EllipticCurvePrivateKey) -> None:
    pem = key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
    _replace_file(path, pem, 0o600)


def _write_certificate(path: Path, certificate: x509.Certificate) -> None:
    _replace_file(path, certificate.public_bytes(serialization.Encoding.PEM), 0o644)


def _replace_file(path: Path, data: bytes, mode: int) -> None:
    """Replace a file atomically, after its content has been synced to disk."""
    temporary_path = path.with_name(f".{path.name}.{os.getpid()}")
    descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
    with os.fdopen(descriptor, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary_path, path)
