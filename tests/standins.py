"""In-memory stand-ins for the control group, for tests of what is built on it."""

import anyio

from cassiapitch import asgi, rpc
from cassiapitch.controlnode import ControlNode, Parts
from cassiapitch.membertypes import MemberStatus
from cassiapitch.messages import LoadReports
from cassiapitch.proposals import (
    Committed,
    NotAccepted,
    ReadConfirmed,
    ReadUnavailable,
)
from cassiapitch.raftmessages import GroupMember
from cassiapitch.settings import Address, ControlPeer, ControlSettings, Operator


class Log:
    """A log that all members apply at once; `time_ms` is its log time."""

    def __init__(self):
        self.members = []
        self.index = 1
        self.time_ms = 0
        self.leader = None
        self.term = 1
        self.available = True


class StandinMember:
    """One member on a shared `Log`."""

    def __init__(self, name, log, machine, on_applied, address):
        self.name, self.log, self.machine = name, log, machine
        self.on_applied, self.address = on_applied, address
        self.fail_next = None
        log.members.append(self)
        log.leader = log.leader or name

    async def run(self):
        await anyio.sleep_forever()

    async def propose(self, command, timeout_ms):
        await anyio.lowlevel.checkpoint()
        if not self.log.available:
            return NotAccepted(None)
        self.log.index += 1
        self.log.time_ms += 1
        results = {}
        for member in self.log.members:
            results[member.name] = member.machine.apply(
                self.log.index, self.log.time_ms, command
            )
            member.on_applied(self.log.index)
        if self.fail_next is not None:
            failure, self.fail_next = self.fail_next, None
            return failure
        return Committed(self.log.index, results[self.name])

    async def read_index(self, timeout_ms):
        await anyio.lowlevel.checkpoint()
        if not self.log.available:
            return ReadUnavailable()
        return ReadConfirmed(self.log.index)

    def status(self):
        role = "leader" if self.log.leader == self.name else "follower"
        members = tuple(
            GroupMember(m.name, m.name, "z1", m.address.ip, m.address.port, True)
            for m in self.log.members
        )
        index = self.log.index
        return MemberStatus(
            self.name, role, self.log.term, self.log.leader, index, index, members
        )

    def has_lease(self, now_ms):
        return self.log.leader == self.name and self.log.available

    async def transfer_leadership(self, to):
        return Committed(self.log.index, b"")

    async def remove(self, name):
        return NotAccepted("other")

    def serve_handlers(self):
        return []


class StandinFleet:
    """Fleet without backend servers."""

    def __init__(self):
        self.bundle = None

    def apply(self, command, index, time_ms):
        raise AssertionError(command)

    def snapshot(self):
        return b""

    def restore(self, data):
        pass

    def view_items(self):
        return {}

    def take_view_changes(self):
        return {}

    def set_bundle(self, bundle):
        self.bundle = bundle


class StandinPlacement:
    def __init__(self):
        self.demands, self.announcements = [], []

    def on_announcement(self, announcement):
        self.announcements.append(announcement)

    def on_demand(self, report):
        self.demands.append(report)

    def load_reports(self):
        return LoadReports((), {})

    async def run(self):
        await anyio.sleep_forever()


async def refuse_announcement(scope, receive, send):
    await asgi.send_json(send, 401, {})


def make_node(name, log, rpc_port, operators, stop, rate_policy="demand"):
    """Returns a control node whose administration port is free."""
    address = Address("127.0.0.1", rpc_port)
    settings = ControlSettings(
        name=name,
        zone="z1",
        cluster="test",
        data_path="unused",
        rpc_address=address,
        admin_address=Address("127.0.0.1", 0),
        initial_members=(ControlPeer(name, "z1", address),),
        operators=operators,
        rate_policy=rate_policy,
    )
    placement = StandinPlacement()
    parts = Parts(
        make_member=lambda machine, on_applied: StandinMember(
            name, log, machine, on_applied, address
        ),
        fleet=StandinFleet(),
        fleet_commands=(),
        make_placement=lambda member: placement,
        make_announce_route=lambda deliver: refuse_announcement,
    )
    return ControlNode(settings, parts, stop), placement


def operator(name, token_sha256, public_key):
    return Operator(name, token_sha256, public_key)


def open_link(port):
    """Returns a channel to a member's rpc server."""
    return rpc.open_channel(Address("127.0.0.1", port), None)
