"""Certificates by host name (SNI) from a folder of `NAME.crt` and `NAME.key`, reloaded without dropping connections.

A pair that cannot be used (unreadable, expired, mismatched, no names) is said so by name. What served before it goes
on serving: a reload never takes a working certificate away, and a connection keeps the one it began with.
"""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

import structlog
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization

DEFAULT = "default"  # the pair for callers that name no host, or one that no certificate has
SOON = 14 * 86_400  # seconds before the end of a certificate from which on each reload warns
log = structlog.get_logger()


class CertificateError(Exception):
    """A certificate or its key cannot be used; the text names the file."""


@dataclass(frozen=True, slots=True)
class Pair:
    """A certificate that serves: its names, its end, and the context that shows it."""

    file: Path
    names: tuple[str, ...]
    ends: datetime
    context: ssl.SSLContext
    marks: tuple[tuple[int, int], ...]  # modification time and size of both files


def read_certificate(path: Path) -> x509.Certificate:
    """The first certificate of a PEM file."""
    try:
        return x509.load_pem_x509_certificates(path.read_bytes())[0]
    except (OSError, ValueError, IndexError) as error:
        raise CertificateError(f"{path}: no certificate: {error}") from error


def names_of(certificate: x509.Certificate) -> tuple[str, ...]:
    """The host names and addresses a certificate speaks for."""
    try:
        told = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return ()
    return (
        *(name.lower() for name in told.get_values_for_type(x509.DNSName)),
        *(str(address) for address in told.get_values_for_type(x509.IPAddress)),
    )


def fingerprint(der: bytes) -> str:
    """The SHA-256 of a certificate in DER form, in hexadecimal digits: how credentials name one."""
    digest = hashes.Hash(hashes.SHA256())
    digest.update(der)
    return digest.finalize().hex()


def marks_of(*paths: Path) -> tuple[tuple[int, int], ...]:
    """What tells that a file was replaced."""
    found = []
    for path in paths:
        try:
            stat = path.stat()
            found.append((stat.st_mtime_ns, stat.st_size))
        except OSError:
            found.append((0, 0))
    return tuple(found)


def load_pair(certificate: Path, key: Path, client_ca: Path | None, now: datetime | None = None) -> Pair:
    """Check a pair and make its context; CertificateError says what is wrong with it."""
    marks = marks_of(certificate, key)
    shown = read_certificate(certificate)
    try:
        private = serialization.load_pem_private_key(key.read_bytes(), password=None)
    except (OSError, ValueError, TypeError) as error:
        raise CertificateError(f"{key}: no private key: {error}") from error
    form = (serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo)
    if private.public_key().public_bytes(*form) != shown.public_key().public_bytes(*form):
        raise CertificateError(f"{key}: not the key of {certificate.name}")
    now = now or datetime.now(UTC)
    if now >= shown.not_valid_after_utc:
        raise CertificateError(f"{certificate}: expired at {shown.not_valid_after_utc:%Y-%m-%d %H:%M} UTC")
    if now < shown.not_valid_before_utc:
        raise CertificateError(f"{certificate}: not valid before {shown.not_valid_before_utc:%Y-%m-%d %H:%M} UTC")
    names = names_of(shown)
    if not names:
        raise CertificateError(f"{certificate}: speaks for no host name")
    if (shown.not_valid_after_utc - now).total_seconds() < SOON:
        log.warning("certificate ends soon", file=certificate.name, ends=f"{shown.not_valid_after_utc:%Y-%m-%d}")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["http/1.1"])
    try:
        context.load_cert_chain(certificate, key)
        if client_ca is not None:  # in every context: a handshake checks by the one that SNI led to
            context.load_verify_locations(client_ca)
            context.verify_mode = ssl.CERT_OPTIONAL
    except (OSError, ssl.SSLError) as error:
        raise CertificateError(f"{certificate}: {error}") from error
    return Pair(certificate, names, shown.not_valid_after_utc, context, marks)


class Certificates:
    """The pairs of a folder, and the one context that listeners are given."""

    def __init__(self, folder: Path, client_ca: Path | None = None) -> None:
        self._folder, self._client_ca = folder, client_ca
        self._pairs: dict[str, Pair] = {}
        self._by_name: dict[str, Pair] = {}
        self._failed: dict[str, tuple[tuple[int, int], ...]] = {}
        self._marks: tuple[tuple[int, int], ...] = ()
        faults = self.reload()
        if not self._pairs:
            raise CertificateError(faults[0] if faults else f"{folder}: holds no pair NAME.crt and NAME.key")
        self._default = self._choose()
        self.context = load_pair(self._default.file, self._default.file.with_suffix(".key"), client_ca).context
        self.context.sni_callback = self._answer

    @property
    def names(self) -> list[str]:
        """All names served."""
        return sorted(self._by_name)

    def pair_for(self, name: str | None) -> Pair:
        """The pair for a host name: its own, a wildcard's, or the default."""
        if name:
            name = name.lower()
            pair = self._by_name.get(name) or self._by_name.get("*." + name.partition(".")[2])
            if pair is not None:
                return pair
        return self._default

    def reload(self) -> list[str]:
        """Look at the folder again; what is new and good serves from the next handshake on. Faults, in words."""
        faults = []
        for certificate in sorted(self._folder.glob("*.crt")):
            key = certificate.with_suffix(".key")
            if certificate.stem not in self._pairs and (not key.exists() or _is_authority(certificate)):
                continue  # one whose key is still to come, or that signs others and serves nobody
            marks = marks_of(certificate, key)
            old = self._pairs.get(certificate.stem)
            if old is not None and old.marks == marks:
                continue
            try:
                self._pairs[certificate.stem] = load_pair(certificate, key, self._client_ca)
                self._failed.pop(certificate.stem, None)
                log.info("certificate taken", file=certificate.name, replaced=old is not None)
            except CertificateError as error:
                faults.append(str(error))
                if self._failed.get(certificate.stem) != marks:  # once for each state of the files
                    self._failed[certificate.stem] = marks
                    log.error("certificate not taken", error=str(error), kept=old is not None)
        self._by_name = {name: pair for _, pair in sorted(self._pairs.items()) for name in pair.names}
        if self._pairs:
            self._default = self._choose()
        return faults

    def _choose(self) -> Pair:
        return self._pairs.get(DEFAULT) or self._pairs[min(self._pairs)]

    def _answer(self, shown: ssl.SSLObject, name: str | None, _: ssl.SSLContext) -> None:
        shown.context = self.pair_for(name).context


def _is_authority(path: Path) -> bool:
    """Whether a file holds an authority's certificate."""
    try:
        return read_certificate(path).extensions.get_extension_for_class(x509.BasicConstraints).value.ca
    except (CertificateError, x509.ExtensionNotFound):
        return False


def describe(path: Path) -> dict[str, object]:
    """What `tls inspect` says of a certificate."""
    shown = read_certificate(path)
    key = path.with_suffix(".key")
    told: dict[str, object] = {
        "file": str(path),
        "subject": shown.subject.rfc4514_string(),
        "issuer": shown.issuer.rfc4514_string(),
        "names": list(names_of(shown)),
        "from": shown.not_valid_before_utc.isoformat(),
        "until": shown.not_valid_after_utc.isoformat(),
        "sha256": fingerprint(shown.public_bytes(serialization.Encoding.DER)),
    }
    if key.exists():
        try:
            load_pair(path, key, None)
            told["pair"] = "good"
        except CertificateError as error:
            told["pair"] = str(error)
    return told
