"""Certificates for mutual TLS between the system's own processes."""

import dataclasses
import datetime
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from cassiapitch.exceptions import SettingsError
from cassiapitch.keygen import write_secret

# Certificates are valid from a day earlier, because the clocks of instances may be
# behind the clock of the operator's machine.
BACKDATE = datetime.timedelta(days=1)


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessCertificate:
    """The files for one process's `tls` settings."""

    name: str
    ca_path: pathlib.Path
    certificate_path: pathlib.Path
    key_path: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True)
class _Authority:
    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey


def certify(
    folder: pathlib.Path, names: list[str], days: int
) -> list[ProcessCertificate]:
    """Writes one certificate and key for each name, signed by the folder's CA.

    The first call creates the CA (`ca.pem`, `ca.key.pem`), later calls reuse it. Its
    key stays with the operator; processes get only `ca.pem`.

    Raises:
        SettingsError: A file already exists or the CA is incomplete.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for name in names:
        for suffix in ("pem", "key.pem"):
            if (folder / f"{name}.{suffix}").exists():
                raise SettingsError([f"{folder / name}.{suffix}: exists already"])
    authority = _load_authority(folder) or _make_authority(folder, days)
    return [_certify_process(folder, name, authority, days) for name in names]


def _load_authority(folder: pathlib.Path) -> _Authority | None:
    paths = (folder / "ca.pem", folder / "ca.key.pem")
    existing_paths = [path for path in paths if path.exists()]
    if not existing_paths:
        return None
    if len(existing_paths) == 1:
        raise SettingsError(
            [f"{folder}: only {existing_paths[0].name} of the CA exists"]
        )
    certificate = x509.load_pem_x509_certificate(paths[0].read_bytes())
    key = serialization.load_pem_private_key(paths[1].read_bytes(), password=None)
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        raise SettingsError([f"{paths[1]}: not an elliptic-curve key"])
    return _Authority(certificate, key)


def _make_authority(folder: pathlib.Path, days: int) -> _Authority:
    key = ec.generate_private_key(ec.SECP256R1())
    name = _common_name("cassiapitch CA")
    builder = _certificate_builder(name, name, key.public_key(), days).add_extension(
        x509.BasicConstraints(ca=True, path_length=0), critical=True
    )
    builder = builder.add_extension(
        x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False
    )
    certificate = builder.sign(key, hashes.SHA256())
    write_secret(folder / "ca.key.pem", _key_pem(key))
    (folder / "ca.pem").write_bytes(_certificate_pem(certificate))
    return _Authority(certificate, key)


def _certify_process(
    folder: pathlib.Path, name: str, authority: _Authority, days: int
) -> ProcessCertificate:
    key = ec.generate_private_key(ec.SECP256R1())
    issuer = authority.certificate.subject
    builder = _certificate_builder(_common_name(name), issuer, key.public_key(), days)
    builder = builder.add_extension(
        x509.BasicConstraints(ca=False, path_length=None), critical=True
    )
    # Each process both accepts and opens connections.
    key_usages = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
    builder = builder.add_extension(x509.ExtendedKeyUsage(key_usages), critical=False)
    certificate = builder.sign(authority.key, hashes.SHA256())
    certificate_path = folder / f"{name}.pem"
    key_path = folder / f"{name}.key.pem"
    write_secret(key_path, _key_pem(key))
    certificate_path.write_bytes(_certificate_pem(certificate))
    return ProcessCertificate(name, folder / "ca.pem", certificate_path, key_path)


def _common_name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def _certificate_builder(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePublicKey, days: int
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - BACKDATE)
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def _key_pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def _certificate_pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
