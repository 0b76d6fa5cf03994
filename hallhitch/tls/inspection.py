"""Description of a certificate file for operators (`hallhitch tls inspect`)."""

from __future__ import annotations

from pathlib import Path

from cryptography.hazmat.primitives import serialization

from hallhitch.tls.certificate_files import certificate_fingerprint, read_certificate, subject_names
from hallhitch.tls.certificate_pair import key_path, load_certificate_pair
from hallhitch.tls.errors import CertificateError


def describe_certificate(path: Path) -> dict[str, object]:
    """Return the contents of a certificate, and whether its key matches, as the JSON object that is printed.

    Raises:
        CertificateError: The file contains no readable certificate.
    """
    certificate = read_certificate(path)
    description: dict[str, object] = {
        "file": str(path),
        "subject": certificate.subject.rfc4514_string(),
        "issuer": certificate.issuer.rfc4514_string(),
        "names": list(subject_names(certificate)),
        "from": certificate.not_valid_before_utc.isoformat(),
        "until": certificate.not_valid_after_utc.isoformat(),
        "sha256": certificate_fingerprint(certificate.public_bytes(serialization.Encoding.DER)),
    }
    if key_path(path).exists():
        description["pair"] = _pair_status(path)
    return description


def _pair_status(path: Path) -> str:
    try:
        load_certificate_pair(path, None)
    except CertificateError as error:
        return str(error)
    return "good"
