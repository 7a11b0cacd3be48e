import anyio
import pytest

from cassiapitch import codec
from cassiapitch.bundle import Bundle, Role
from cassiapitch.configurations import GROWTH_TIMEOUT_MS, Configurations, PutResult
from cassiapitch.exceptions import SettingsError
from cassiapitch.fleet import FLEET_COMMANDS, Fleet
from cassiapitch.membertypes import MemberStatus
from cassiapitch.proposals import (
    Committed,
    NotAccepted,
    ReadConfirmed,
    ReadUnavailable,
)
from cassiapitch.raftmessages import GroupMember
from cassiapitch.replicated import ReplicatedState
from cassiapitch.types import RoleKind


class OneMember:
    """A group that commits at once, or not at all."""

    def __init__(self, state, voters_count=5):
        self.state, self.voters_count = state, voters_count
        self.is_available = True
        self.index = 0

    async def propose(self, command, timeout_ms):
        if not self.is_available:
            return NotAccepted(None)
        self.index += 1
        return Committed(self.index, self.state.apply(self.index, 0, command))

    async def read_index(self, timeout_ms):
        if not self.is_available:
            return ReadUnavailable()
        return ReadConfirmed(self.index)

    def status(self):
        members = tuple(
            GroupMember(f"m{n}", f"d{n}", "z", "10.0.0.1", n, True)
            for n in range(self.voters_count)
        )
        return MemberStatus("m0", "leader", 1, "m0", 0, 0, members)


def decode(content):
    version, _, role = content.partition(b":")
    if not version.isdigit():
        raise SettingsError(["$: can't be read"])
    return Bundle(int(version), roles=(Role(role.decode(), RoleKind.SERVICE),))


class Desk:
    def __init__(self, voters_count=5):
        self.now_ms = 0
        self.state = ReplicatedState(Fleet(), FLEET_COMMANDS)
        self.member = OneMember(self.state, voters_count)
        self.desk = Configurations(
            self.member, self.state, decode, 2, lambda: self.now_ms
        )

    def put(self, content):
        return anyio.run(self.desk.put, content).result

    def read(self):
        return anyio.run(self.desk.read)


def test_highest_version_is_in_force_and_lower_ones_change_nothing():
    desk = Desk()
    assert desk.put(b"5:a") is PutResult.ACCEPTED
    assert desk.put(b"3:b") is PutResult.OVERTAKEN
    assert desk.read() == b"5:a"
    assert desk.put(b"9:c") is PutResult.ACCEPTED
    assert desk.read() == b"9:c"


def test_repeat_is_acknowledged_again_and_other_content_never_obeyed():
    desk = Desk()
    assert desk.put(b"5:a") is PutResult.ACCEPTED
    assert desk.put(b"5:a") is PutResult.ACCEPTED
    assert desk.put(b"5:b") is PutResult.CONFLICT
    assert desk.put(b"6:c") is PutResult.ACCEPTED
    assert desk.put(b"5:a") is PutResult.ACCEPTED
    assert desk.read() == b"6:c"


def test_unreadable_content_is_refused():
    desk = Desk()
    assert desk.put(b"x") is PutResult.INVALID
    assert desk.read() is None


def test_member_without_a_quorum_is_not_sure_of_anything():
    desk = Desk()
    desk.put(b"5:a")
    desk.member.is_available = False
    assert desk.put(b"6:b") is PutResult.UNCERTAIN
    assert desk.read() is None


@pytest.mark.parametrize("voters_count", [0, 1, 3])
def test_group_that_is_too_small_acknowledges_nothing_at_first(voters_count):
    desk = Desk(voters_count)
    assert desk.put(b"5:a") is PutResult.UNCERTAIN
    desk.now_ms = GROWTH_TIMEOUT_MS
    expected = PutResult.ACCEPTED if voters_count else PutResult.UNCERTAIN
    assert desk.put(b"5:a") is expected


def test_state_survives_a_snapshot_with_forwarding_routes():
    desk = Desk()
    desk.put(b"5:a")
    other = ReplicatedState(Fleet(), FLEET_COMMANDS)
    other.restore(desk.state.snapshot())
    assert other.content == "5:a"
    assert codec.decode(other.view.items["bundle"]).version == 5
