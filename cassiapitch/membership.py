"""Membership changes, one member at a time, and leadership transfer."""

from collections.abc import Collection

from cassiapitch import quorum, replication
from cassiapitch.node import ELECTION_MAX_MS, STEP_DOWN_MS, Leadership, Node
from cassiapitch.quorum import ChangeRefused
from cassiapitch.raftmessages import ChangeKind, Group, GroupMember, TimeoutNow


def propose_change(
    node: Node,
    kind: ChangeKind,
    name: str,
    learner: GroupMember | None,
    now_ms: int,
) -> int | ChangeRefused:
    """Proposes a changed group; returns the index of its entry, or why it is refused.

    Args:
        node: The leader's state.
        kind: What to change; not `TRANSFER`.
        name: The member that it concerns.
        learner: The new member if `kind` is `ADD_LEARNER`, else None.
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
        changed = _with_caught_up_learner(node, leadership, name)
    else:
        changed = quorum.without_member(node.group, name)
    if isinstance(changed, ChangeRefused):
        return changed
    if not _has_quorum_in_contact(node, leadership, changed, now_ms):
        # A new leader hasn't heard from all voters yet, and one that stood still for
        # a moment hears from them again.
        reason = "no quorum of the changed group is in contact"
        return ChangeRefused(reason, True, STEP_DOWN_MS)
    item = replication.encode_group_entry(changed)
    return replication.append_own(node, [item], now_ms)


def _with_caught_up_learner(
    node: Node, leadership: Leadership, name: str
) -> Group | ChangeRefused:
    changed = quorum.with_promoted(node.group, name)
    member = quorum.member_by_name(node.group, name)
    if isinstance(changed, ChangeRefused) or member is None:
        return changed
    progress = leadership.progress.get(member.disk_id)
    if progress is None or progress.match_index < node.commit_index:
        return ChangeRefused(f"{name} has not caught up with the log yet", True)
    return changed


def _has_quorum_in_contact(
    node: Node, leadership: Leadership, group: Group, now_ms: int
) -> bool:
    """Returns whether a quorum of the changed group is in contact with the leader.

    Without one, the group could never commit the change.
    """
    in_contact = [node.own_id]
    for disk_id, progress in leadership.progress.items():
        acked_sent_ms = progress.acked_sent_ms
        if acked_sent_ms is not None and now_ms - acked_sent_ms < STEP_DOWN_MS:
            in_contact.append(disk_id)
    return quorum.is_quorum(group, in_contact)


def start_transfer(
    node: Node, name: str | None, now_ms: int, leaving_ids: Collection[str] = ()
) -> ChangeRefused | None:
    """Starts a leadership transfer; returns why it is refused, else None.

    New proposals are rejected until the transfer is done or aborted.

    Args:
        node: The leader's state.
        name: The voter that takes over. If None, the one with the most current log.
        now_ms: The current time.
        leaving_ids: Disk ids of the members that are about to stop. They don't take
            over unless they are named.
    """
    leadership = node.leadership
    if leadership is None:
        return ChangeRefused("this member does not lead")
    candidates = [
        (progress.match_index, progress.acked_sent_ms or 0, disk_id)
        for disk_id, progress in leadership.progress.items()
        if disk_id in quorum.voter_ids(node.group)
    ]
    if name is not None:
        member = quorum.member_by_name(node.group, name)
        target_id = "" if member is None else member.disk_id
        candidates = [voter for voter in candidates if voter[2] == target_id]
    else:
        candidates = [voter for voter in candidates if voter[2] not in leaving_ids]
    if not candidates:
        return ChangeRefused("there is no such voter to take over")
    leadership.transfer_to = max(candidates)[2]
    leadership.transfer_deadline_ms = now_ms + ELECTION_MAX_MS
    finish_transfer(node, now_ms)
    return None


def finish_transfer(node: Node, now_ms: int) -> None:
    """Once the target has caught up, tells it to take over and steps down at once.

    Voters grant the target's election despite recent heartbeats. So this leader must
    hold no lease in this term from here on, even if the message is lost or late.
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
