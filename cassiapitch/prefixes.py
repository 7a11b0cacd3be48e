"""Digests of prompt prefixes, shared by engines' cache events and routing."""

import hashlib

BLOCK_CHARACTERS = 256
LONGEST_BLOCKS = 16


def prefix_digests(model: str, prompt: str) -> list[str]:
    """Returns one digest for each whole block that the prompt begins with.

    Digest i covers the first i + 1 blocks, so that the number of leading digests
    found in a cache tells how much of the prompt is cached.
    """
    digest = hashlib.sha256(model.encode())
    digests = []
    block_count = min(len(prompt) // BLOCK_CHARACTERS, LONGEST_BLOCKS)
    for number in range(block_count):
        start = number * BLOCK_CHARACTERS
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        digests.append(digest.hexdigest()[:16])
    return digests
