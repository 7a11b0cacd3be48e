"""Ed25519 signatures of bundles.

The signed message begins with a domain tag, so that a signature made with an
operator's key for another purpose is never accepted for a bundle.
"""

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric import ed25519

DOMAIN_TAG = b"cassiapitch bundle v1\x00"


def generate_private_key() -> bytes:
    """Returns a new private key, 32 bytes."""
    return ed25519.Ed25519PrivateKey.generate().private_bytes_raw()


def public_key_hex(private_key: bytes) -> str:
    """Returns the public key of a private key, in hex."""
    key = ed25519.Ed25519PrivateKey.from_private_bytes(private_key)
    return key.public_key().public_bytes_raw().hex()


def sign(private_key: bytes, content: bytes) -> str:
    """Returns the signature of a bundle file's bytes, in hex."""
    key = ed25519.Ed25519PrivateKey.from_private_bytes(private_key)
    return key.sign(DOMAIN_TAG + content).hex()


def is_signed(public_key: str, content: bytes, signature_hex: str) -> bool:
    """Returns whether a signature of a bundle file's bytes is valid."""
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(public_key))
        key.verify(bytes.fromhex(signature_hex), DOMAIN_TAG + content)
    except (InvalidSignature, ValueError):
        return False
    return True
