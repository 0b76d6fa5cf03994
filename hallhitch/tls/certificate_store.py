"""Certificates by host name (SNI) from a directory of `NAME.crt` and `NAME.key`, reloaded without dropping connections.

A pair that cannot be used is reported by name, and the pair that served before goes on serving: a reload removes no
working certificate, and a connection keeps the one that it was opened with.
"""

from __future__ import annotations

import ssl
from pathlib import Path
from typing import Final

import structlog

from hallhitch.tls.certificate_files import FileVersion, is_authority
from hallhitch.tls.certificate_pair import CertificatePair, key_path, load_certificate_pair, pair_versions
from hallhitch.tls.errors import CertificateError

DEFAULT_PAIR: Final = "default"  # for clients that name no host, or one that no certificate is valid for
log = structlog.get_logger()


class CertificateStore:
    """The pairs of a directory, and the context that listeners use."""

    def __init__(self, directory: Path, client_ca: Path | None = None) -> None:
        """Load all pairs.

        Raises:
            CertificateError: No pair can serve.
        """
        self._directory = directory
        self._client_ca = client_ca
        self._pairs: dict[str, CertificatePair] = {}  # by file name without suffix
        self._pairs_by_host: dict[str, CertificatePair] = {}
        self._rejected: dict[str, tuple[FileVersion, FileVersion]] = {}  # versions that were logged as rejected
        errors = self.reload()
        if not self._pairs:
            raise errors[0] if errors else CertificateError(directory, "holds no pair NAME.crt and NAME.key")
        self.context = load_certificate_pair(self._default.certificate_path, client_ca).context
        self.context.sni_callback = self._select_context

    @property
    def names(self) -> list[str]:
        """All host names and addresses served."""
        return sorted(self._pairs_by_host)

    def pair_for(self, host: str | None) -> CertificatePair:
        """Return the pair for a host name: its own, a wildcard's, or the default."""
        if host:
            host = host.lower()
            pair = self._pairs_by_host.get(host) or self._pairs_by_host.get("*." + host.partition(".")[2])
            if pair is not None:
                return pair
        return self._default

    def reload(self) -> list[CertificateError]:
        """Load pairs that are new or replaced, for handshakes from now on; return the errors of unusable ones."""
        errors = []
        for path in sorted(self._directory.glob("*.crt")):
            if path.stem not in self._pairs and (not key_path(path).exists() or is_authority(path)):
                continue  # its key is still to come, or it signs others and serves nobody
            error = self._reload_pair(path)
            if error is not None:
                errors.append(error)
        self._pairs_by_host = {name: pair for _, pair in sorted(self._pairs.items()) for name in pair.names}
        if self._pairs:
            self._default = self._pairs.get(DEFAULT_PAIR) or self._pairs[min(self._pairs)]
        return errors

    def _reload_pair(self, path: Path) -> CertificateError | None:
        """Load a pair if its files have changed; return why it cannot be used, if so."""
        versions = pair_versions(path)
        current = self._pairs.get(path.stem)
        if current is not None and current.versions == versions:
            return None
        try:
            self._pairs[path.stem] = load_certificate_pair(path, self._client_ca)
        except CertificateError as error:
            if self._rejected.get(path.stem) != versions:  # log once for each state of the files
                self._rejected[path.stem] = versions
                log.error("certificate rejected", error=str(error), previous_serves=current is not None)  # noqa: TRY400
            return error
        self._rejected.pop(path.stem, None)
        log.info("certificate loaded", file=path.name, replaced=current is not None)
        return None

    def _select_context(self, connection: ssl.SSLObject, host: str | None, _: ssl.SSLContext) -> None:
        connection.context = self.pair_for(host).context
