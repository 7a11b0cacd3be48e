"""Tasks by which a control group without a list of its members forms and heals."""

import anyio

from cassiapitch import admission, events
from cassiapitch.member import Member
from cassiapitch.proposals import Committed
from cassiapitch.seeds import SeedList
from cassiapitch.settings import Address, ControlPeer
from cassiapitch.timers import now_ms

ASK_PERIOD_MS = 300
CHANGE_PERIOD_MS = 200
CHANGE_TIMEOUT_MS = 3_000


async def ask_for_admission(member: Member, seeds: SeedList) -> None:
    """Makes this member known to the group while it is outside of it.

    Every contact shows the other side who is asking, and returns where the leader is.
    """
    while True:
        if member.node is not None and member.status().role == "waiting":
            await _introduce(member, seeds.peers)
        await anyio.sleep(ASK_PERIOD_MS / 1000)


async def _introduce(member: Member, seeds: tuple[ControlPeer, ...]) -> None:
    own = member.settings.rpc_address
    asked = {own}
    pending = [peer.address for peer in seeds]
    while pending:
        address = pending.pop(0)
        if address in asked:
            continue
        asked.add(address)
        hello = await member.peers.probe(address)
        if hello is not None and hello.leader_ip:
            pending.append(Address(hello.leader_ip, hello.leader_port))


async def keep_group_size(member: Member, tolerated_faults_count: int) -> None:
    """Admits and replaces members while this member leads, until cancelled."""
    wanted_count = admission.required_voters_count(tolerated_faults_count)
    while True:
        await anyio.sleep(CHANGE_PERIOD_MS / 1000)
        node = member.node
        if node is None or not member.has_lease(now_ms()):
            continue
        change = admission.next_change(
            node.group,
            wanted_count,
            tuple(member.join_requests.values()),
            member.contact_times_ms(),
            now_ms(),
        )
        if change is not None:
            await _make(member, change)


async def _make(member: Member, change: admission.Change) -> None:
    if change.kind is admission.ChangeKind.ADD_LEARNER:
        new = change.member
        assert new is not None
        outcome = await member.add_learner(
            new.name, Address(new.ip, new.port), new.zone, CHANGE_TIMEOUT_MS
        )
    elif change.kind is admission.ChangeKind.PROMOTE:
        outcome = await member.promote(change.name, CHANGE_TIMEOUT_MS)
    else:
        outcome = await member.remove(change.name, CHANGE_TIMEOUT_MS)
    events.log(
        events.Event.MEMBERSHIP_CHANGED,
        change=str(change.kind),
        member=change.name,
        is_made=isinstance(outcome, Committed),
        outcome=str(outcome),
    )
