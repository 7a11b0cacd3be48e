"""Decides membership changes of a control group that has no operators to make them.

A group that has to survive the loss of f members at once has 2f + 1 voters. Further
members stay learners, which hold the whole log, so that one of them can take the place
of a voter at once. A voter is removed only after a learner has been promoted in its
place; the exception is a voter whose disk is known to be lost.
"""

import dataclasses
from collections.abc import Collection, Iterable, Mapping

from cassiapitch.node import Node, Progress
from cassiapitch.raftmessages import ChangeKind, Group, GroupMember

# A member that wants to join asks several times a second. One that has not asked for
# this long is considered gone.
JOIN_REQUEST_VALID_MS = 2_000
# Requests that are remembered, the latest ones. Whoever reaches the port can send one,
# of up to 16 KiB, and a group has a few members.
JOIN_REQUESTS_LIMIT_COUNT = 64

# A member that has been silent for this long is replaced if another one is ready. It
# keeps its place otherwise, since it may only stand still.
REPLACE_AFTER_MS = 2_000

# A learner that hasn't answered for this long isn't promoted.
READY_CONTACT_MS = 500

# Entries that a learner may lack when its promotion is proposed.
READY_LAG_COUNT = 64

# A member that has heard no leader for this long may have been removed.
OUT_OF_CONTACT_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """A member that asks to be admitted, and when it last asked."""

    member: GroupMember
    asked_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """What the leader knows of another member.

    Attributes:
        answered_ms: When the newest message that the member answered was sent. Without
            an answer, when this leader first sent to it.
        is_caught_up: Whether the member lacks at most a few committed entries.
    """

    answered_ms: int
    is_caught_up: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GroupChange:
    """A membership change to make now; `member` is set for an admission only."""

    kind: ChangeKind
    name: str
    member: GroupMember | None = None


def record_join_request(
    requests: dict[str, JoinRequest], member: GroupMember, now_ms: int
) -> None:
    """Records that a member asks to be admitted; drops what is old or too much.

    Args:
        requests: The requests by the member's name; changed.
        member: The member that asks.
        now_ms: The current time.
    """
    requests[member.name] = JoinRequest(member, now_ms)
    for name, request in list(requests.items()):
        if now_ms - request.asked_ms > JOIN_REQUEST_VALID_MS:
            del requests[name]
    if len(requests) > JOIN_REQUESTS_LIMIT_COUNT:
        del requests[min(requests, key=lambda name: requests[name].asked_ms)]


def required_voters_count(tolerated_faults_count: int) -> int:
    """Returns how many voters tolerate the loss of that many members at once."""
    return 2 * tolerated_faults_count + 1


def next_change(
    group: Group,
    tolerated_faults_count: int,
    join_requests: Iterable[JoinRequest],
    contacts: Mapping[str, Contact],
    leaving_ids: Collection[str],
    now_ms: int,
) -> GroupChange | None:
    """Returns the next change towards the target group, or None if there is none.

    Args:
        group: The group in force.
        tolerated_faults_count: Members that may be lost at once.
        join_requests: Members that ask to be admitted.
        contacts: What the leader knows of the other members, by disk id.
        leaving_ids: Disk ids of the members that are about to stop.
        now_ms: The current time.
    """
    target_voters_count = required_voters_count(tolerated_faults_count)
    joining = [
        request
        for request in join_requests
        if now_ms - request.asked_ms <= JOIN_REQUEST_VALID_MS
    ]
    lost = _find_lost_disk(group, joining, contacts)
    if lost is not None:
        return GroupChange(ChangeKind.REMOVE, lost.name)
    voters = [member for member in group.members if member.voter]
    learners = [member for member in group.members if not member.voter]
    silent = _find_silent(group, contacts, now_ms)
    for learner in learners:
        if learner in silent or learner.disk_id in leaving_ids:
            return GroupChange(ChangeKind.REMOVE, learner.name)
    to_replace = [member for member in voters if member.disk_id in leaving_ids]
    to_replace += [member for member in silent if member not in to_replace]
    if to_replace and len(voters) > target_voters_count:
        return GroupChange(ChangeKind.REMOVE, to_replace[0].name)
    if to_replace or len(voters) < target_voters_count:
        for learner in learners:
            if _is_ready(contacts.get(learner.disk_id), now_ms):
                return GroupChange(ChangeKind.PROMOTE, learner.name)
    known_names = {member.name for member in group.members}
    newcomers = [
        request.member for request in joining if request.member.name not in known_names
    ]
    missing_count = max(0, target_voters_count - len(voters))
    if newcomers and len(learners) < missing_count + tolerated_faults_count:
        return GroupChange(ChangeKind.ADD_LEARNER, newcomers[0].name, newcomers[0])
    return None


def _find_lost_disk(
    group: Group, joining: list[JoinRequest], contacts: Mapping[str, Contact]
) -> GroupMember | None:
    """Returns a member whose name asks to join with another disk, if there is one.

    A request that is older than the member's last answer comes from an earlier disk.
    """
    by_name = {member.name: member for member in group.members}
    for request in joining:
        member = by_name.get(request.member.name)
        if member is None or member.disk_id == request.member.disk_id:
            continue
        contact = contacts.get(member.disk_id)
        if contact is not None and request.asked_ms > contact.answered_ms:
            return member
    return None


def _find_silent(
    group: Group, contacts: Mapping[str, Contact], now_ms: int
) -> list[GroupMember]:
    """Returns the members that don't answer the leader, the longest silent first."""
    silent = [
        (contacts[member.disk_id].answered_ms, position, member)
        for position, member in enumerate(group.members)
        if member.disk_id in contacts
        and now_ms - contacts[member.disk_id].answered_ms > REPLACE_AFTER_MS
    ]
    return [member for _, _, member in sorted(silent)]


def _is_ready(contact: Contact | None, now_ms: int) -> bool:
    """Returns whether a learner can be promoted."""
    return (
        contact is not None
        and contact.is_caught_up
        and now_ms - contact.answered_ms <= READY_CONTACT_MS
    )


def contacts_of(node: Node) -> dict[str, Contact]:
    """Returns what a leader knows of the other members; empty if it doesn't lead."""
    leadership = node.leadership
    if leadership is None:
        return {}
    return {
        disk_id: Contact(
            progress.acked_sent_ms or progress.tracked_since_ms,
            _is_caught_up(node, progress),
        )
        for disk_id, progress in leadership.progress.items()
    }


def _is_caught_up(node: Node, progress: Progress) -> bool:
    has_accepted = progress.match_index > 0
    return has_accepted and progress.match_index + READY_LAG_COUNT >= node.commit_index


def should_ask_to_join(node: Node, now_ms: int) -> bool:
    """Returns whether a member asks to be admitted.

    One that has heard no leader for a while may have been removed without a message.
    If it wasn't, the leader ignores the request.
    """
    if all(member.disk_id != node.own_id for member in node.group.members):
        return True
    return (
        node.leadership is None and now_ms - node.leader_contact_ms > OUT_OF_CONTACT_MS
    )
