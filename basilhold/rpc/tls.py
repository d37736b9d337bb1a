"""TLS contexts for mutual authentication of peers, reloadable from files."""

import ipaddress
import ssl
from enum import Enum
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

__all__ = [
    "TlsContexts",
    "TlsFiles",
    "TlsProblem",
    "TlsProblemKind",
    "check_tls_files",
    "is_loopback",
]


class TlsFiles(msgspec.Struct, frozen=True):
    """Paths of the PEM files that a process uses for TLS.

    Parameters
    ----------
    certificate, key : str
        Certificate chain and private key of this process.
    authority : str
        Certificates of the authorities that sign the certificates of peers.
    """

    certificate: str
    key: str
    authority: str


class TlsProblemKind(Enum):
    """Reason why a set of TLS files cannot be used.

    ``EXPIRED`` includes a certificate that is not yet valid. ``MISMATCH`` means that
    the key does not belong to the certificate, and ``UNTRUSTED`` that the handshake
    failed for another reason, such as a certificate signed by another authority.
    """

    MISSING = "missing"
    UNREADABLE = "unreadable"
    MISMATCH = "mismatch"
    EXPIRED = "expired"
    UNTRUSTED = "untrusted"


class TlsProblem(msgspec.Struct, frozen=True):
    """Problem with a set of TLS files: its kind, the file concerned and a reason."""

    kind: TlsProblemKind
    path: str
    reason: str


def is_loopback(host: str) -> bool:
    """Return whether a host is a loopback IP address; names are not resolved.

    Examples
    --------
    >>> is_loopback("127.0.0.1"), is_loopback("10.0.0.1"), is_loopback("localhost")
    (True, False, False)
    """
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def check_tls_files(files: TlsFiles) -> Result[None, TlsProblem]:
    """Check TLS files by loading them and running an in-memory handshake.

    The process is both client and server of the handshake. It therefore detects the
    problems that peers with the same authority would detect: a certificate that has
    expired, is not yet valid or was signed by another authority.

    Returns
    -------
    Result
        None, or the `TlsProblem` that was found.
    """
    for path in (files.certificate, files.key, files.authority):
        if not Path(path).is_file():
            return Error(TlsProblem(TlsProblemKind.MISSING, path, "file not found"))
    try:
        server, client = _server_context(files), _client_context(files)
    except ssl.SSLError as error:
        return Error(_load_problem(files, error))
    except OSError as error:
        return Error(TlsProblem(TlsProblemKind.UNREADABLE, files.key, str(error)))
    try:
        _run_handshake(server, client)
    except ssl.SSLCertVerificationError as error:
        reason = error.verify_message
        expired = "expired" in reason or "not yet valid" in reason
        kind = TlsProblemKind.EXPIRED if expired else TlsProblemKind.UNTRUSTED
        return Error(TlsProblem(kind, files.certificate, reason))
    except ssl.SSLError as error:
        return Error(
            TlsProblem(TlsProblemKind.UNTRUSTED, files.certificate, str(error))
        )
    return Ok(None)


class TlsContexts:
    """TLS contexts of a process for accepting and making connections.

    After a reload, new handshakes use the new certificate and open connections keep
    the old one. A reload can add authorities. Removing one requires a restart,
    because the ``ssl`` module cannot remove an authority from a context.

    Parameters
    ----------
    files : TlsFiles
        Files that pass `check_tls_files`.

    Attributes
    ----------
    server, client : ssl.SSLContext
        Contexts for accepted connections and for outgoing ones.
    """

    def __init__(self, files: TlsFiles):
        self.files = files
        self.server = _server_context(files)
        self.client = _client_context(files)
        self._file_versions = _file_versions(files)

    def reload_if_changed(self) -> Result[bool, TlsProblem]:
        """Reload the files if the size or modification time of one has changed.

        Returns
        -------
        Result
            Whether the files were reloaded, or the `TlsProblem` of the new files, in
            which case the old certificate remains in use.
        """
        versions = _file_versions(self.files)
        if versions == self._file_versions:
            return Ok(False)
        checked = check_tls_files(self.files)
        if checked.is_error():
            return Error(checked.error)
        for context in (self.server, self.client):
            context.load_cert_chain(self.files.certificate, self.files.key)
            context.load_verify_locations(cafile=self.files.authority)
        self._file_versions = versions
        return Ok(True)


def _server_context(files: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _configure(context, files)
    return context


def _client_context(files: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Peers are authenticated by the authority that signed their certificates. Entry
    # VMs can be replaced at any time, so certificates do not contain IP addresses.
    context.check_hostname = False
    _configure(context, files)
    return context


def _configure(context: ssl.SSLContext, files: TlsFiles) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(files.certificate, files.key)
    context.load_verify_locations(cafile=files.authority)
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(["h2"])


def _load_problem(files: TlsFiles, error: ssl.SSLError) -> TlsProblem:
    if error.reason == "KEY_VALUES_MISMATCH":
        return TlsProblem(
            TlsProblemKind.MISMATCH, files.key, "key does not match the certificate"
        )
    return TlsProblem(TlsProblemKind.UNREADABLE, files.certificate, str(error))


def _run_handshake(server: ssl.SSLContext, client: ssl.SSLContext) -> None:
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    endpoints = [
        client.wrap_bio(to_client, to_server),
        server.wrap_bio(to_server, to_client, server_side=True),
    ]
    # A TLS handshake takes at most three flights from each side.
    for _ in range(4):
        for endpoint in endpoints:
            try:
                endpoint.do_handshake()
            except ssl.SSLWantReadError:
                continue


def _file_versions(files: TlsFiles) -> tuple[tuple[int, int], ...]:
    versions = []
    for path in (files.certificate, files.key, files.authority):
        try:
            status = Path(path).stat()
        except OSError:
            versions.append((0, 0))
        else:
            versions.append((status.st_mtime_ns, status.st_size))
    return tuple(versions)
