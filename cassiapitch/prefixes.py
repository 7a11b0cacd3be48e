"""Digests of prompt prefixes, used both in engines' cache events and in routing."""

import hashlib

BLOCK_CHARACTERS = 256
MAX_BLOCKS_COUNT = 16
# What follows has no digest.
DIGESTED_CHARACTERS = BLOCK_CHARACTERS * MAX_BLOCKS_COUNT


def prefix_digests(model: str, prompt: str) -> list[str]:
    """Returns one digest for each of the prompt's leading whole blocks.

    Digest i covers the first i + 1 blocks, so the number of leading digests that are
    found in a cache is the number of blocks that are cached.
    """
    digest = hashlib.sha256(model.encode())
    digests = []
    block_count = min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS_COUNT)
    for block in range(block_count):
        start = block * BLOCK_CHARACTERS
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        digests.append(digest.hexdigest()[:16])
    return digests
