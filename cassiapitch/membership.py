"""Changes of the group, one member at a time, and transfer of the leadership."""

from cassiapitch import quorum, replication
from cassiapitch.node import ELECTION_MAX_MS, STEP_DOWN_MS, Leadership, Node
from cassiapitch.quorum import ChangeRefused
from cassiapitch.raftmessages import ChangeKind, Group, GroupMember, TimeoutNow


def change(
    node: Node,
    kind: ChangeKind,
    name: str,
    learner: GroupMember | None,
    now_ms: int,
) -> int | ChangeRefused:
    """Proposes a changed group; returns the index of its entry.

    Args:
        node: The leader's state.
        kind: What to change; not `TRANSFER`.
        name: The member that it concerns.
        learner: The new member where `kind` is `ADD_LEARNER`.
        now_ms: The current time.
    """
    leadership = node.leadership
    if leadership is None:
        return ChangeRefused("this member does not lead")
    if leadership.transfer_to is not None:
        return ChangeRefused("the leadership is being transferred")
    if node.commit_index < max(leadership.first_index, node.group_index):
        return ChangeRefused("an earlier change is not committed yet", True)
    if learner is not None:
        changed = quorum.with_learner(node.group, learner)
    elif kind is ChangeKind.PROMOTE:
        changed = _promoted(node, leadership, name)
    else:
        changed = quorum.without(node.group, name)
    if isinstance(changed, ChangeRefused):
        return changed
    if not _is_reachable(node, leadership, changed, now_ms):
        return ChangeRefused("no quorum of the changed group is in contact")
    item = replication.encode_group_entry(changed)
    return replication.append_own(node, [item], now_ms)


def _promoted(node: Node, leadership: Leadership, name: str) -> Group | ChangeRefused:
    changed = quorum.with_promoted(node.group, name)
    member = quorum.member_by_name(node.group, name)
    if isinstance(changed, ChangeRefused) or member is None:
        return changed
    progress = leadership.progress.get(member.disk_id)
    if progress is None or progress.match_index < node.commit_index:
        return ChangeRefused(f"{name} has not caught up with the log yet", True)
    return changed


def _is_reachable(
    node: Node, leadership: Leadership, group: Group, now_ms: int
) -> bool:
    """A group whose quorum is not in contact could never commit its own change."""
    in_contact = [node.own_id]
    for disk_id, progress in leadership.progress.items():
        acked_ms = progress.acked_ms
        if acked_ms is not None and now_ms - acked_ms < STEP_DOWN_MS:
            in_contact.append(disk_id)
    return quorum.is_quorum(group, in_contact)


def start_transfer(node: Node, name: str | None, now_ms: int) -> ChangeRefused | None:
    """Begins to hand the leadership over; None for `name` picks the best voter.

    New proposals are rejected until it is done or abandoned.
    """
    leadership = node.leadership
    if leadership is None:
        return ChangeRefused("this member does not lead")
    candidates = [
        (progress.match_index, progress.acked_ms or 0, disk_id)
        for disk_id, progress in leadership.progress.items()
        if disk_id in quorum.voter_ids(node.group)
    ]
    if name is not None:
        member = quorum.member_by_name(node.group, name)
        wanted = "" if member is None else member.disk_id
        candidates = [one for one in candidates if one[2] == wanted]
    if not candidates:
        return ChangeRefused("there is no such voter to take over")
    leadership.transfer_to = max(candidates)[2]
    leadership.transfer_until_ms = now_ms + ELECTION_MAX_MS
    finish_transfer(node, now_ms)
    return None


def finish_transfer(node: Node, now_ms: int) -> None:
    """Tells a caught-up member to take over and steps down at once.

    The member's election ignores recent heartbeats, so that this leader may hold no
    lease in this term from here on, even if the message is lost or late.
    """
    leadership = node.leadership
    if leadership is None or leadership.transfer_to is None:
        return
    progress = leadership.progress.get(leadership.transfer_to)
    if progress is None:
        leadership.transfer_to = None
    elif progress.match_index == node.log.last_index:
        node.send(leadership.transfer_to, TimeoutNow(node.term))
        node.become_follower(node.term, None, now_ms)
