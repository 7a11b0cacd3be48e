"""Tasks of a control group without operators: join, admit and replace members."""

import anyio

from cassiapitch import admission, events
from cassiapitch.member import Member
from cassiapitch.proposals import Committed
from cassiapitch.seeds import SeedList
from cassiapitch.settings import Address, ControlPeer
from cassiapitch.timers import now_ms

PROBE_PERIOD_MS = 300
CHANGE_PERIOD_MS = 200
CHANGE_TIMEOUT_MS = 3_000


async def ask_for_admission(member: Member, seeds: SeedList) -> None:
    """Contacts the group's members while this member isn't in the group.

    Each contact tells the other side who asks, which counts as a join request, and
    returns the leader's address.
    """
    while True:
        if member.node is not None and member.status().role == "waiting":
            await _probe_members(member, seeds.peers)
        await anyio.sleep(PROBE_PERIOD_MS / 1000)


async def _probe_members(member: Member, seeds: tuple[ControlPeer, ...]) -> None:
    """Contacts the seeds, and the leaders that they name."""
    own_address = member.settings.rpc_address
    probed = {own_address}
    pending = [peer.address for peer in seeds]
    while pending:
        address = pending.pop(0)
        if address in probed:
            continue
        probed.add(address)
        hello = await member.peers.probe(address)
        if hello is not None and hello.leader_ip:
            pending.append(Address(hello.leader_ip, hello.leader_port))


async def keep_group_size(member: Member, tolerated_faults_count: int) -> None:
    """Admits, promotes and removes members while this one leads, until cancelled."""
    target_voters_count = admission.required_voters_count(tolerated_faults_count)
    while True:
        await anyio.sleep(CHANGE_PERIOD_MS / 1000)
        node = member.node
        if node is None or not member.has_lease(now_ms()):
            continue
        change = admission.next_change(
            node.group,
            target_voters_count,
            tuple(member.join_requests.values()),
            member.contact_times_ms(),
            now_ms(),
        )
        if change is not None:
            await _apply_change(member, change)


async def _apply_change(member: Member, change: admission.GroupChange) -> None:
    if change.kind is admission.ChangeKind.ADD_LEARNER:
        new_member = change.member
        assert new_member is not None
        outcome = await member.add_learner(
            new_member.name,
            Address(new_member.ip, new_member.port),
            new_member.zone,
            CHANGE_TIMEOUT_MS,
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
