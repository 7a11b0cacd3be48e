"""Writes and reads versioned configurations through any member of the control group.

A configuration is a document of the platform that decodes to a bundle. The replicated
state keeps the bundle and, as its text, the document.
"""

import dataclasses
import enum
import functools
import hashlib
from collections.abc import Callable

import msgspec

from cassiapitch import bundle, commands, events, group, metrics
from cassiapitch.exceptions import SettingsError
from cassiapitch.group import Applied, ControlGroup, NoLeader
from cassiapitch.group_size import GroupSize
from cassiapitch.replicated import ReplicatedState

# Below the caller's timeout of one second. A proposal that times out may still be
# committed; the caller then repeats its request.
PROPOSE_TIMEOUT_MS = 900
READ_TIMEOUT_MS = 800

DecodeBundle = Callable[[bytes], bundle.Bundle]


class PutResult(enum.Enum):
    """Result of a request to bring a configuration into force."""

    ACCEPTED = "accepted"
    OVERTAKEN = "overtaken"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNCERTAIN = "uncertain"


@dataclasses.dataclass(frozen=True, slots=True)
class PutOutcome:
    """Result, and the reason unless it is `ACCEPTED`."""

    result: PutResult
    reason: str = ""


class Configurations:
    """Interface to the replicated configuration at one control member."""

    def __init__(
        self,
        member: ControlGroup,
        state: ReplicatedState,
        decode: DecodeBundle,
        tolerated_faults_count: int,
        now_ms: Callable[[], int],
    ) -> None:
        """Initializes the interface.

        Args:
            member: This control member.
            state: The member's replicated state.
            decode: Decodes a configuration; raises `SettingsError` for faults.
            tolerated_faults_count: Members that may be lost at once.
            now_ms: The clock.
        """
        self._member = member
        self._state = state
        self._decode = decode
        self._group_size = GroupSize(member, tolerated_faults_count, now_ms)

    async def put(self, content: bytes) -> PutOutcome:
        """Brings a configuration into force unless a higher version is in force."""
        outcome = await self._put(content)
        metrics.CONFIGURATIONS.inc(outcome.result.value)
        events.log(
            events.Event.CONFIGURATION_ANSWERED,
            result=outcome.result.value,
            reason=outcome.reason,
            digest=hashlib.sha256(content).hexdigest()[:16],
            index=self._state.index,
        )
        return outcome

    async def _put(self, content: bytes) -> PutOutcome:
        try:
            configuration = self._decode(content)
            faults = bundle.find_faults(configuration)
        except SettingsError as error:
            return PutOutcome(PutResult.INVALID, "; ".join(error.faults))
        if faults:
            return PutOutcome(PutResult.INVALID, "; ".join(faults))
        if not self._group_size.is_complete():
            return PutOutcome(PutResult.UNCERTAIN, "the control group is still growing")
        command = commands.PutBundle(
            configuration, content.decode(), "", "", "configuration"
        )
        applied = await group.propose(self._member, command, PROPOSE_TIMEOUT_MS)
        if isinstance(applied, Applied):
            return _outcome_of(applied.result)
        reason = "no leader" if isinstance(applied, NoLeader) else "no answer in time"
        return PutOutcome(PutResult.UNCERTAIN, reason)

    async def read(self) -> bytes | None:
        """Returns the configuration in force.

        None if there is none, or if no quorum confirms that it is the current one.
        """
        if await group.read_index(self._member, READ_TIMEOUT_MS) is None:
            return None
        if self._state.bundle is None:
            return None
        return _encoded(self._state.content)


@functools.lru_cache(maxsize=1)
def _encoded(content: str) -> bytes:
    """Returns a configuration's bytes; all responses share them."""
    return content.encode()


def _outcome_of(result: object) -> PutOutcome:
    match result:
        case commands.BundleAccepted():
            return PutOutcome(PutResult.ACCEPTED)
        case commands.VersionSuperseded():
            reason = f"version {result.version} is in force"
            return PutOutcome(PutResult.OVERTAKEN, reason)
        case commands.VersionConflict():
            reason = f"version {result.version} was accepted with other content"
            return PutOutcome(PutResult.CONFLICT, reason)
        case commands.BundleRefused():
            return PutOutcome(PutResult.INVALID, "; ".join(result.faults))
    return PutOutcome(PutResult.UNCERTAIN, f"unexpected {type(result).__name__}")


def parse_document(content: bytes) -> dict[str, object]:
    """Returns the JSON object of a configuration.

    Raises:
        SettingsError: The content can't be parsed or isn't a JSON object.
    """
    try:
        document = msgspec.json.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError([f"$: can't be read: {error}"]) from None
    if not isinstance(document, dict):
        raise SettingsError(["$: expected an object"])
    return document
