import anyio

from cassiapitch import codec
from cassiapitch.announcements import Announcement
from cassiapitch.bundle import Bundle, Role
from cassiapitch.fleet import FLEET_COMMANDS, Fleet
from cassiapitch.fleet_commands import BeginTerm
from cassiapitch.registrations import Registrations
from cassiapitch.replicated import ReplicatedState
from cassiapitch.types import RoleKind
from tests.test_configurations import OneMember


def beat(name="i-1", started_ms=100, sequence=1, port=8, **changes):
    fields = {
        "role": "shop",
        "zone": "z",
        "ip": "10.0.0.9",
        "port": port,
        "memory_mib": 1,
        "max_running_count": 8,
        **changes,
    }
    return Announcement(
        name=name,
        life_id=f"{name}@{started_ms}",
        started_ms=started_ms,
        sequence=sequence,
        **fields,
    )


class Desk:
    """Registrations whose leader records every announcement at once."""

    def __init__(self):
        self.fleet = Fleet()
        self.state = ReplicatedState(self.fleet, FLEET_COMMANDS)
        self.member = OneMember(self.state)
        self.desk = Registrations(self.member, self.fleet, self._deliver)
        self.fleet.set_bundle(Bundle(1, roles=(Role("shop", RoleKind.SERVICE),)))
        anyio.run(self.member.propose, codec.encode(BeginTerm("t")), 1)

    async def _deliver(self, announcement):
        return await self.desk._commit(_report(self.fleet, announcement))

    def beat(self, **changes):
        return anyio.run(self.desk.heartbeat, beat(**changes))

    def depart(self, name="i-1"):
        return anyio.run(self.desk.depart, name)

    def states(self):
        return {name: life.state for name, life in self.fleet.lives.items()}


def _report(fleet, announcement):
    from cassiapitch.fleet_commands import ReportBackends

    return ReportBackends(fleet.term, (announcement,))


def test_leaving_is_in_force_when_it_is_acknowledged():
    desk = Desk()
    assert desk.beat()
    assert desk.beat(sequence=2, leaving=True)
    assert desk.states() == {"i-1": "leaving"}


def test_leaving_is_not_acknowledged_without_a_quorum():
    desk = Desk()
    desk.beat()
    desk.member.is_available = False
    assert not desk.beat(sequence=2, leaving=True)
    assert not desk.depart()


def test_late_heartbeat_brings_no_departed_backend_server_back():
    desk = Desk()
    desk.beat()
    assert desk.depart()
    desk.beat(sequence=9)
    assert desk.states() == {}


def test_late_heartbeat_does_not_undo_leaving():
    desk = Desk()
    desk.beat(sequence=5, leaving=True)
    desk.beat(sequence=4)
    assert desk.states() == {"i-1": "leaving"}


def test_second_start_under_one_id_replaces_the_first_and_not_the_reverse():
    desk = Desk()
    desk.beat(started_ms=100, sequence=50)
    desk.beat(started_ms=200, sequence=1)
    assert desk.fleet.lives["i-1"].life_id == "i-1@200"
    desk.beat(started_ms=100, sequence=51)
    assert desk.fleet.lives["i-1"].life_id == "i-1@200"


def test_address_belongs_to_the_life_that_started_last():
    desk = Desk()
    desk.beat(name="i-1", started_ms=100)
    desk.beat(name="i-2", started_ms=200)
    assert list(desk.states()) == ["i-2"]
    desk.beat(name="i-1", started_ms=100, sequence=9)
    assert list(desk.states()) == ["i-2"]


def test_departure_of_an_unknown_backend_server_is_acknowledged():
    assert Desk().depart("i-9")
