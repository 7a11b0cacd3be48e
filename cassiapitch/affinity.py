"""Prefix affinity: sends prompts that share a long prefix to the same engine.

An engine that has processed a prefix for a model has it cached and need not process it
again, but its cache holds only some prefixes, and each entry sees only a few of the
requests. All entries therefore prefer the same engine for the same prefix, by
rendezvous hashing of prefix and engine and thus without exchanging messages. The router
chooses another engine when the preferred one has so much more load that the cached
prefix doesn't make up for it.
"""

import dataclasses
import zlib
from collections.abc import Iterable, Sequence

from cassiapitch.header_codec import PromptPart
from cassiapitch.types import LifeId


@dataclasses.dataclass(frozen=True, slots=True)
class SharedPrefix:
    """The leading parts of a prompt that other requests may share.

    Attributes:
        key: Identifies the model or adapter and the parts; empty for no parts.
        tokens: Total tokens of the parts.
    """

    key: str = ""
    tokens: int = 0


NO_SHARED_PREFIX = SharedPrefix()


def shared_prefix(target: str, parts: Sequence[PromptPart]) -> SharedPrefix:
    """Returns a prompt's shared prefix: all parts but the last.

    The last part belongs to the request itself or to its session.

    Args:
        target: Model or adapter; a cached prefix is of no use to another one.
        parts: The prompt's parts in order.
    """
    if len(parts) < 2:
        return NO_SHARED_PREFIX
    shared = parts[:-1]
    part_ids = ",".join(part.part_id for part in shared)
    return SharedPrefix(f"{target}|{part_ids}", sum(part.tokens for part in shared))


def preferred_engine(key: str, lives: Iterable[LifeId]) -> LifeId | None:
    """Returns the preferred engine for a shared prefix, or None if there is none.

    Rendezvous hashing: when an engine joins or leaves, only prefixes that it is
    preferred for change their engine.
    """

    def rank(life_id: LifeId) -> tuple[int, LifeId]:
        return zlib.crc32(f"{key}|{life_id}".encode()), life_id

    return max(lives, key=rank, default=None)
