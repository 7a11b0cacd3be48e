"""Generates callers' keys, operators' keys and tokens, and writes secret files."""

import dataclasses
import hashlib
import os
import pathlib
import secrets

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from cassiapitch import signing

KEY_BYTES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorKey:
    """Generated key and token of an operator.

    Attributes:
        key_path: File with the private key.
        token_path: File with the bearer token.
        public_key_hex: Value of the setting of this name in the control settings.
        token_sha256: Value of the setting of this name in the control settings.
    """

    key_path: pathlib.Path
    token_path: pathlib.Path
    public_key_hex: str
    token_sha256: str


def new_key() -> str:
    """Returns a random 256-bit key in URL-safe base64."""
    return secrets.token_urlsafe(KEY_BYTES)


def digest(key: str) -> str:
    """Returns the SHA-256 of a key or token; only this is stored or sent."""
    return hashlib.sha256(key.encode()).hexdigest()


def write_secret(path: pathlib.Path, data: bytes) -> None:
    """Writes a new file that only its owner can read.

    Raises:
        FileExistsError: The file exists; a secret is never overwritten.
    """
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(data)


def make_operator_key(folder: pathlib.Path, name: str) -> OperatorKey:
    """Generates an operator's key and token.

    Writes them to `<name>.key.pem` and `<name>.token` in `folder`.
    """
    folder.mkdir(parents=True, exist_ok=True)
    private_key = signing.generate_private_key()
    pem = ed25519.Ed25519PrivateKey.from_private_bytes(private_key).private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    token = secrets.token_urlsafe(KEY_BYTES)
    key_path = folder / f"{name}.key.pem"
    token_path = folder / f"{name}.token"
    write_secret(key_path, pem)
    write_secret(token_path, token.encode() + b"\n")
    return OperatorKey(
        key_path, token_path, signing.public_key_hex(private_key), digest(token)
    )
