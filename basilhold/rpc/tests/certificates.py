"""Certificate authority for tests, with keys generated in each run."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from basilhold.rpc import TlsFiles

DAY = datetime.timedelta(days=1)
NOW = datetime.datetime.now(datetime.UTC)


class Authority:
    """Certificate authority that writes its PEM files to a directory."""

    def __init__(self, directory, name):
        self.directory = Path(directory)
        self.name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._sign(self._name, self._key.public_key(), NOW + DAY, True)
        self.path = self.write(f"{name}.ca", _pem(certificate))

    def issue(self, name, expires_at=NOW + DAY):
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._sign(subject, key.public_key(), expires_at, False)
        key_pem = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        return TlsFiles(
            self.write(f"{name}.crt", _pem(certificate)),
            self.write(f"{name}.key", key_pem),
            self.path,
        )

    def _sign(self, subject, public_key, expires_at, is_authority):
        names = x509.SubjectAlternativeName(
            [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
        )
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(NOW - 3 * DAY)
            .not_valid_after(expires_at)
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
            .add_extension(names, critical=False)
            .sign(self._key, hashes.SHA256())
        )

    def write(self, name, content):
        path = self.directory / name
        path.write_bytes(content)
        return str(path)


def _pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
