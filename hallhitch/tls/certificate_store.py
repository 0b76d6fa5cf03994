"""Selects certificates by host name (SNI) from a directory of `NAME.crt` and `NAME.key` files; reloads them in service.

If a new or replaced pair is invalid, the store logs an error that names the file. The previous pair, if there is one,
stays in use: a reload never removes a working certificate. Open connections keep the certificate of their handshake.
"""

from __future__ import annotations

import ssl
from pathlib import Path
from typing import Final

import structlog

from hallhitch.tls.certificate_files import FileVersion, is_authority
from hallhitch.tls.certificate_pair import CertificatePair, key_path, load_certificate_pair, pair_versions
from hallhitch.tls.errors import CertificateError

DEFAULT_PAIR: Final = "default"  # for clients that send no host name, or one that no certificate covers
log = structlog.get_logger()


class CertificateStore:
    """The certificate pairs of a directory, and the SSL context that listeners use."""

    def __init__(self, directory: Path, client_ca: Path | None = None) -> None:
        """Load all pairs.

        Raises:
            CertificateError: The directory contains no usable pair.
        """
        self._directory = directory
        self._client_ca = client_ca
        self._pairs: dict[str, CertificatePair] = {}  # by certificate file name without suffix
        self._pairs_by_host: dict[str, CertificatePair] = {}
        self._rejected: dict[str, tuple[FileVersion, FileVersion]] = {}  # file versions already logged as rejected
        errors = self.reload()
        if not self._pairs:
            raise errors[0] if errors else CertificateError(directory, "contains no pair NAME.crt and NAME.key")
        self.context = load_certificate_pair(self._default.certificate_path, client_ca).context
        self.context.sni_callback = self._select_context

    @property
    def names(self) -> list[str]:
        """All host names and IP addresses with a certificate, sorted."""
        return sorted(self._pairs_by_host)

    def pair_for(self, host: str | None) -> CertificatePair:
        """Return the pair for a host name: an exact match, a wildcard match, or the default pair."""
        if host:
            host = host.lower()
            pair = self._pairs_by_host.get(host) or self._pairs_by_host.get("*." + host.partition(".")[2])
            if pair is not None:
                return pair
        return self._default

    def reload(self) -> list[CertificateError]:
        """Load new and replaced pairs for future handshakes; return an error for each pair that cannot be used."""
        errors = []
        for path in sorted(self._directory.glob("*.crt")):
            if path.stem not in self._pairs and (not key_path(path).exists() or is_authority(path)):
                continue  # the key file is not written yet, or the certificate is an authority's
            error = self._reload_pair(path)
            if error is not None:
                errors.append(error)
        self._pairs_by_host = {name: pair for _, pair in sorted(self._pairs.items()) for name in pair.names}
        if self._pairs:
            self._default = self._pairs.get(DEFAULT_PAIR) or self._pairs[min(self._pairs)]
        return errors

    def _reload_pair(self, path: Path) -> CertificateError | None:
        """Load a pair if its files have changed; return the error if it cannot be used."""
        versions = pair_versions(path)
        current = self._pairs.get(path.stem)
        if current is not None and current.versions == versions:
            return None
        try:
            self._pairs[path.stem] = load_certificate_pair(path, self._client_ca)
        except CertificateError as error:
            if self._rejected.get(path.stem) != versions:  # log each version of the files once
                self._rejected[path.stem] = versions
                log.error("certificate rejected", error=str(error), previous_serves=current is not None)  # noqa: TRY400
            return error
        self._rejected.pop(path.stem, None)
        log.info("certificate loaded", file=path.name, replaced=current is not None)
        return None

    def _select_context(self, connection: ssl.SSLObject, host: str | None, _: ssl.SSLContext) -> None:
        connection.context = self.pair_for(host).context
