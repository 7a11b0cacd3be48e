"""Tasks of a control group without operators: join, admit, replace and leave."""

import anyio

from cassiapitch import admission, events, quorum
from cassiapitch.member import Member
from cassiapitch.node import Node
from cassiapitch.proposals import Committed
from cassiapitch.seeds import SeedList
from cassiapitch.settings import Address
from cassiapitch.timers import now_ms

PROBE_PERIOD_MS = 300
CHANGE_PERIOD_MS = 100
CHANGE_TIMEOUT_MS = 3_000
# A member that stops waits this long for another one to take its place.
LEAVE_TIMEOUT_MS = 3_000
LEAVE_ATTEMPT_MS = 1_000
LEAVE_RETRY_MS = 50


async def ask_for_admission(member: Member, seeds: SeedList) -> None:
    """Contacts the group's members while this member may be outside the group.

    Each contact tells the other side who asks, which counts as a join request, and
    returns the leader's address.
    """
    while True:
        if member.asks_to_join():
            addresses = [peer.address for peer in seeds.peers]
            addresses += [
                Address(known.ip, known.port) for known in member.status().members
            ]
            await _probe_members(member, addresses)
        await anyio.sleep(PROBE_PERIOD_MS / 1000)


async def _probe_members(member: Member, addresses: list[Address]) -> None:
    """Contacts members at the same time, and then the leaders that they name."""
    probed = {member.settings.rpc_address}

    async def probe(address: Address) -> None:
        if address in probed:
            return
        probed.add(address)
        hello = await member.peers.probe(address)
        if hello is not None and hello.leader_ip:
            tasks.start_soon(probe, Address(hello.leader_ip, hello.leader_port))

    async with anyio.create_task_group() as tasks:
        for address in addresses:
            tasks.start_soon(probe, address)


async def keep_group_size(member: Member, tolerated_faults_count: int) -> None:
    """Admits, promotes and removes members while this one leads, until cancelled."""
    member.changes.waits_for_replacement = True
    while True:
        await anyio.sleep(CHANGE_PERIOD_MS / 1000)
        node = member.node
        if node is None or not member.has_lease(now_ms()):
            continue
        change = admission.next_change(
            node.group,
            tolerated_faults_count,
            tuple(member.join_requests.values()),
            admission.contacts_of(node),
            frozenset(member.leaving_ids),
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


async def leave_if_replaced(member: Member, tolerated_faults_count: int) -> None:
    """Gives this member's place to another one before the process stops.

    Nothing happens without a member to take the place: a process that only restarts
    keeps it.
    """
    target_count = admission.required_voters_count(tolerated_faults_count)
    with anyio.move_on_after(LEAVE_TIMEOUT_MS / 1000):
        while member.node is not None and _can_leave(member.node, target_count):
            if member.node.leadership is not None:
                # A leader can't wait for its own removal. Another member that stops
                # may just have passed the leadership on.
                await member.transfer_leadership(None, LEAVE_ATTEMPT_MS)
            else:
                outcome = await member.leave(LEAVE_ATTEMPT_MS)
                events.log(
                    events.Event.MEMBERSHIP_CHANGED,
                    change="leave",
                    member=member.settings.name,
                    is_made=isinstance(outcome, Committed),
                    outcome=str(outcome),
                )
                if isinstance(outcome, Committed):
                    return
            await anyio.sleep(LEAVE_RETRY_MS / 1000)


def _can_leave(node: Node, target_voters_count: int) -> bool:
    """Returns whether this member is a voter that another one could replace."""
    voters = quorum.voter_ids(node.group)
    has_learners = len(voters) < len(node.group.members)
    return node.own_id in voters and (has_learners or len(voters) > target_voters_count)
