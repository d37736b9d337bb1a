"""TLS contexts between peers, with reload of the files."""

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
    """Paths of the PEM files of a process.

    Parameters
    ----------
    certificate, key : str
        Certificate chain and private key of this process.
    authority : str
        Certificates of the authorities that sign peers.
    """

    certificate: str
    key: str
    authority: str


class TlsProblemKind(Enum):
    """What is wrong with a set of TLS files."""

    MISSING = "missing"
    UNREADABLE = "unreadable"
    MISMATCH = "mismatch"
    EXPIRED = "expired"
    UNTRUSTED = "untrusted"


class TlsProblem(msgspec.Struct, frozen=True):
    """A set of TLS files that cannot be used."""

    kind: TlsProblemKind
    path: str
    reason: str


def is_loopback(host: str) -> bool:
    """Whether a host is a loopback IP number.

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
    """Load the files and run a handshake of the process with itself.

    The handshake finds what peers with the same authority would find: an expired
    certificate, one that is not yet valid, or one of another authority.
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
        _handshake(server, client)
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
    """Server and client contexts of a process.

    New handshakes use the reloaded certificate; connections that are open keep the
    one they were made with. A reload can add authorities; removing one needs a
    restart, because the ``ssl`` module cannot drop it from a context.

    Parameters
    ----------
    files : TlsFiles
        Must pass `check_tls_files`.

    Attributes
    ----------
    server, client : ssl.SSLContext
    """

    def __init__(self, files: TlsFiles):
        self.files = files
        self.server = _server_context(files)
        self.client = _client_context(files)
        self._stamp = _stamp(files)

    def reload_if_changed(self) -> Result[bool, TlsProblem]:
        """Load the files again if they changed.

        Returns
        -------
        Result
            Whether anything was loaded. If the new files cannot be used, the old
            certificate stays in use.
        """
        stamp = _stamp(self.files)
        if stamp == self._stamp:
            return Ok(False)
        checked = check_tls_files(self.files)
        if checked.is_error():
            return Error(checked.error)
        for context in (self.server, self.client):
            context.load_cert_chain(self.files.certificate, self.files.key)
            context.load_verify_locations(cafile=self.files.authority)
        self._stamp = stamp
        return Ok(True)


def _server_context(files: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _configure(context, files)
    return context


def _client_context(files: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Peers are known by the authority that signed them: entry VMs are replaced at
    # any time, so certificates do not carry their IP numbers.
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


def _handshake(server: ssl.SSLContext, client: ssl.SSLContext) -> None:
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    ends = [
        client.wrap_bio(to_client, to_server),
        server.wrap_bio(to_server, to_client, server_side=True),
    ]
    # A TLS handshake needs at most three flights of each side.
    for _ in range(4):
        for end in ends:
            try:
                end.do_handshake()
            except ssl.SSLWantReadError:
                continue


def _stamp(files: TlsFiles) -> tuple[tuple[int, int], ...]:
    stamps = []
    for path in (files.certificate, files.key, files.authority):
        try:
            status = Path(path).stat()
        except OSError:
            stamps.append((0, 0))
        else:
            stamps.append((status.st_mtime_ns, status.st_size))
    return tuple(stamps)
