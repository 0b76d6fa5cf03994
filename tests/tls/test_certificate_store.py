"""The certificate store: which pair it selects for a host name, which pairs it rejects, and what a reload keeps."""

from __future__ import annotations

import os
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
import trustme

from hallhitch.tls.authority import create_authority, issue_certificate
from hallhitch.tls.certificate_pair import load_certificate_pair
from hallhitch.tls.certificate_store import CertificateStore
from hallhitch.tls.errors import CertificateError
from hallhitch.tls.inspection import describe_certificate


@pytest.mark.parametrize(
    ("host", "pair"),
    [
        ("acme.example.org", "acme"),
        ("ACME.example.org", "acme"),
        ("bolt.example.org", "wild"),
        ("a.b.example.org", "default"),
        ("y.org", "default"),
        (None, "default"),
    ],
)
def test_pair_is_selected_by_host_name(certificate_directory: Path, host: str | None, pair: str) -> None:
    assert CertificateStore(certificate_directory).pair_for(host).certificate_path.stem == pair


def use_key_of_another(directory: Path) -> None:
    (directory / "acme.key").write_bytes((directory / "wild.key").read_bytes())


def use_expired_certificate(directory: Path) -> None:
    issue_certificate(directory, "acme", ["acme.example.org"], days=-1)


def use_unreadable_certificate(directory: Path) -> None:
    (directory / "acme.crt").write_bytes(b"nothing")


def remove_key(directory: Path) -> None:
    (directory / "acme.key").unlink()


def use_certificate_without_names(directory: Path) -> None:
    leaf = trustme.CA().issue_cert(common_name="acme.example.org")
    (directory / "acme.crt").write_bytes(leaf.cert_chain_pems[0].bytes())
    (directory / "acme.key").write_bytes(leaf.private_key_pem.bytes())


@pytest.mark.parametrize(
    ("corrupt", "problem"),
    [
        (use_key_of_another, "not the private key of"),
        (use_expired_certificate, "expired"),
        (use_unreadable_certificate, "cannot read a certificate"),
        (remove_key, "cannot read the private key"),
        (use_certificate_without_names, "no host name"),
    ],
)
def test_unusable_pair_is_reported_and_the_previous_one_stays_in_use(
    certificate_directory: Path, corrupt: Callable[[Path], None], problem: str
) -> None:
    store = CertificateStore(certificate_directory)
    previous_pair = store.pair_for("acme.example.org")
    key, certificate = certificate_directory / "acme.key", certificate_directory / "acme.crt"
    key_bytes, certificate_bytes = key.read_bytes(), certificate.read_bytes()

    corrupt(certificate_directory)
    errors = store.reload()
    assert len(errors) == 1
    assert "acme" in str(errors[0])
    assert problem in str(errors[0])
    assert store.pair_for("acme.example.org") is previous_pair

    key.write_bytes(key_bytes)
    certificate.write_bytes(certificate_bytes)
    os.utime(certificate, ns=(1, 1))
    assert store.reload() == []
    assert store.pair_for("acme.example.org") is not previous_pair


def test_certificate_that_is_not_valid_yet_is_rejected(certificate_directory: Path) -> None:
    yesterday = datetime.now(UTC) - timedelta(days=1)
    with pytest.raises(CertificateError, match="not valid before"):
        load_certificate_pair(certificate_directory / "acme.crt", None, yesterday)


def test_directory_without_pairs_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(CertificateError, match="contains no pair"):
        CertificateStore(tmp_path)


def test_directory_without_usable_pair_reports_the_first_error(tmp_path: Path) -> None:
    create_authority(tmp_path)
    issue_certificate(tmp_path, "acme", ["acme.example.org"], days=-1)
    with pytest.raises(CertificateError, match="acme.crt: expired at"):
        CertificateStore(tmp_path)


def test_inspection_reports_whether_the_key_belongs_to_the_certificate(certificate_directory: Path) -> None:
    assert describe_certificate(certificate_directory / "acme.crt")["pair"] == "good"
    use_key_of_another(certificate_directory)
    assert "not the private key" in str(describe_certificate(certificate_directory / "acme.crt")["pair"])


def test_second_authority_in_a_directory_is_refused(certificate_directory: Path) -> None:
    with pytest.raises(CertificateError, match="a certificate authority exists already"):
        create_authority(certificate_directory)
