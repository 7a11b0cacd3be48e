"""Decides which engine keeps a prompt's shared parts, without any message.

Answers prompts that begin with long parts which many requests share: an engine that
has read such a part for a model need not read it again, but it keeps only some, and an
entry sees few of the requests. All entries therefore prefer the same engine for the
same parts, by a hash of both, as long as it isn't busier than the reading is worth.
"""

import dataclasses
import zlib
from collections.abc import Iterable, Sequence

from cassiapitch.header_codec import PromptPart
from cassiapitch.types import LifeId


@dataclasses.dataclass(frozen=True, slots=True)
class SharedPrompt:
    """The parts of a prompt that other requests may have brought before.

    Attributes:
        key: Identity of the parts and of what reads them; empty for none.
        tokens: Tokens of these parts.
    """

    key: str = ""
    tokens: int = 0


NOTHING_SHARED = SharedPrompt()


def shared_prefix(target: str, parts: Sequence[PromptPart]) -> SharedPrompt:
    """Returns what a prompt shares; its last part is its own or its session's.

    Args:
        target: Model or adapter; what one has read is of no use to another.
        parts: The prompt's parts in order.
    """
    if len(parts) < 2:
        return NOTHING_SHARED
    shared = parts[:-1]
    names = ",".join(part.part_id for part in shared)
    return SharedPrompt(f"{target}|{names}", sum(part.tokens for part in shared))


def preferred_engine(key: str, lives: Iterable[LifeId]) -> LifeId | None:
    """Returns the engine that is preferred for shared parts, or None for no engine.

    When engines come or go, only the parts of the engine that is concerned move.
    """

    def rank(life: LifeId) -> tuple[int, LifeId]:
        return zlib.crc32(f"{key}|{life}".encode()), life

    return max(lives, key=rank, default=None)
