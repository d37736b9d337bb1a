import datetime
import ipaddress
import ssl
import tempfile
import unittest
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from basilhold.adapters import HttpAddress, HttpPool, HttpTable
from basilhold.adapters.tests.contracts import put
from basilhold.ports import StoreErrorKind
from basilhold.standins import MemoryTable
from basilhold.standins.http import PlatformServer, PlatformServices


def write_certificate(folder):
    """Write a self-signed certificate for 127.0.0.1 and its key to one file."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "test")])
    now = datetime.datetime.now(datetime.UTC)
    day = datetime.timedelta(days=1)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - day)
        .not_valid_after(now + day)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    path = Path(folder) / "pair.pem"
    encoding = serialization.Encoding.PEM
    private = key.private_bytes(
        encoding,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    path.write_bytes(certificate.public_bytes(encoding) + private)
    return path


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against sending rows to a server that cannot prove its identity."""

    async def asyncSetUp(self):
        self.path = write_certificate(self.enterContext(tempfile.TemporaryDirectory()))
        server_tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        server_tls.load_cert_chain(self.path)
        self.table = MemoryTable()
        services = PlatformServices(self.table)
        server = await self.enterAsyncContext(PlatformServer(services, tls=server_tls))
        self.address = HttpAddress("127.0.0.1", server.port, tls=True)

    async def transact(self, context):
        async with HttpPool(tls=context) as pool:
            return await HttpTable(pool, self.address).transact(put("a", 0))

    async def test_known_certificate(self):
        context = ssl.create_default_context(cafile=self.path)
        self.assertEqual((await self.transact(context)).ok, {"a": 1})

    async def test_unknown_certificate_is_not_applied(self):
        result = await self.transact(ssl.create_default_context())
        self.assertIs(result.error.kind, StoreErrorKind.NOT_APPLIED)
        self.assertIn("certificate", result.error.reason.lower())
        self.assertEqual(self.table.write_count, 0)
