"""A local certificate authority for trials and tests. It is no authority for service: its key lies in a file."""

from __future__ import annotations

import ipaddress
import os
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from hallhitch.tls.certificates import CertificateError, read_certificate

AUTHORITY = "ca"  # `ca.crt` is what clients trust
YEARS, DAYS = 10, 90
SLACK = timedelta(minutes=5)  # clocks differ


def make_authority(folder: Path) -> Path:
    """Make `ca.crt` and `ca.key`; an authority that is there already stays."""
    certificate, key = folder / f"{AUTHORITY}.crt", folder / f"{AUTHORITY}.key"
    if certificate.exists():
        raise CertificateError(f"{certificate}: there is an authority already")
    private = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "hallhitch local authority")])
    now = datetime.now(UTC)
    shown = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(private.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - SLACK)
        .not_valid_after(now + timedelta(days=365 * YEARS))
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(x509.KeyUsage(False, False, False, False, False, True, True, False, False), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(private.public_key()), critical=False)
        .sign(private, hashes.SHA256())
    )
    folder.mkdir(parents=True, exist_ok=True)
    _write(key, _pem(private), 0o600)
    _write(certificate, shown.public_bytes(serialization.Encoding.PEM), 0o644)
    return certificate


def issue(folder: Path, file: str, names: list[str], client: bool = False, days: float = DAYS) -> Path:
    """Issue `FILE.crt` and `FILE.key` for host names and addresses; `client` makes one that names a caller.

    Both files are replaced by renaming, the key first: whoever looks in between finds a mismatch and waits.
    """
    authority = read_certificate(folder / f"{AUTHORITY}.crt")
    try:
        signer = serialization.load_pem_private_key((folder / f"{AUTHORITY}.key").read_bytes(), None)
    except (OSError, ValueError) as error:
        raise CertificateError(f"{folder / AUTHORITY}.key: {error}") from error
    assert isinstance(signer, ec.EllipticCurvePrivateKey)
    private = ec.generate_private_key(ec.SECP256R1())
    now = datetime.now(UTC)
    usage = ExtendedKeyUsageOID.CLIENT_AUTH if client else ExtendedKeyUsageOID.SERVER_AUTH
    shown = (
        x509.CertificateBuilder()
        .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, names[0][:64])]))
        .issuer_name(authority.subject)
        .public_key(private.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(min(now, now + timedelta(days=days)) - SLACK)
        .not_valid_after(now + timedelta(days=days))
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(x509.ExtendedKeyUsage([usage]), critical=False)
        .add_extension(x509.SubjectAlternativeName([_general(name) for name in names]), critical=False)
        .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key()), critical=False)
        .sign(signer, hashes.SHA256())
    )
    _write(folder / f"{file}.key", _pem(private), 0o600)
    certificate = folder / f"{file}.crt"
    _write(certificate, shown.public_bytes(serialization.Encoding.PEM), 0o644)
    return certificate


def _general(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)


def _pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def _write(path: Path, data: bytes, mode: int) -> None:
    half = path.with_name(f".{path.name}.{os.getpid()}")
    handle = os.open(half, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
    with os.fdopen(handle, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.rename(half, path)
