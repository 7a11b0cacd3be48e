"""Accepts and returns configurations by version, at any control member."""

import dataclasses
import enum
import hashlib
from collections.abc import Callable

import msgspec

from cassiapitch import admission, bundle, commands, events, group, metrics
from cassiapitch.exceptions import SettingsError
from cassiapitch.group import Applied, ControlGroup, NoLeader
from cassiapitch.replicated import ReplicatedState

# A caller gives up after a second; what is proposed then may still be committed, and
# the caller sends it again.
PROPOSE_TIMEOUT_MS = 900
READ_TIMEOUT_MS = 800

# A configuration that is acknowledged by a group of full size survives the loss of
# as many members as are tolerated. A group that can't grow for this long goes on.
GROWTH_LIMIT_MS = 8_000

Decode = Callable[[bytes], bundle.Bundle]


class PutResult(enum.Enum):
    """How an attempt to bring a configuration into force ended."""

    ACCEPTED = "accepted"
    OVERTAKEN = "overtaken"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNCERTAIN = "uncertain"


@dataclasses.dataclass(frozen=True, slots=True)
class PutOutcome:
    """Result, and the reason where it is no acceptance."""

    result: PutResult
    reason: str = ""


class Configurations:
    """The configurations of one control member."""

    def __init__(
        self,
        member: ControlGroup,
        state: ReplicatedState,
        decode: Decode,
        tolerated_faults_count: int,
        now_ms: Callable[[], int],
    ) -> None:
        """Makes the desk.

        Args:
            member: This control member.
            state: Its replicated state.
            decode: Decodes a configuration; raises `SettingsError` for faults.
            tolerated_faults_count: Members that may be lost at once.
            now_ms: The clock.
        """
        self._member = member
        self._state = state
        self._decode = decode
        self._wanted_count = admission.required_voters_count(tolerated_faults_count)
        self._now_ms = now_ms
        self._formed_ms: int | None = None

    async def put(self, content: bytes) -> PutOutcome:
        """Brings a configuration into force unless a higher version is."""
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
            new = self._decode(content)
            faults = bundle.find_faults(new)
        except SettingsError as error:
            return PutOutcome(PutResult.INVALID, "; ".join(error.faults))
        if faults:
            return PutOutcome(PutResult.INVALID, "; ".join(faults))
        if not self._is_grown():
            return PutOutcome(PutResult.UNCERTAIN, "the control group is still growing")
        command = commands.PutBundle(new, content.decode(), "", "", "configuration")
        applied = await group.propose(self._member, command, PROPOSE_TIMEOUT_MS)
        if isinstance(applied, Applied):
            return _outcome_of(applied.result)
        reason = "no leader" if isinstance(applied, NoLeader) else "no answer in time"
        return PutOutcome(PutResult.UNCERTAIN, reason)

    def _is_grown(self) -> bool:
        voters = [one for one in self._member.status().members if one.voter]
        if not voters:
            return False
        if self._formed_ms is None:
            self._formed_ms = self._now_ms()
        is_late = self._now_ms() - self._formed_ms >= GROWTH_LIMIT_MS
        return len(voters) >= self._wanted_count or is_late

    async def read(self) -> bytes | None:
        """Returns the configuration in force, or None if that isn't certain."""
        if await group.read_index(self._member, READ_TIMEOUT_MS) is None:
            return None
        if self._state.bundle is None:
            return None
        return self._state.content.encode()


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
        SettingsError: It can't be read in full.
    """
    try:
        document = msgspec.json.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError([f"$: can't be read: {error}"]) from None
    if not isinstance(document, dict):
        raise SettingsError(["$: expected an object"])
    return document
