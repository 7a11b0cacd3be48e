"""Leader election: pre-votes, votes, and how a candidate becomes the leader."""

from cassiapitch import quorum, replication
from cassiapitch.node import (
    ELECTION_MIN_MS,
    HEARTBEAT_MS,
    Leadership,
    Node,
    Progress,
    Role,
)
from cassiapitch.raftmessages import (
    EntryKind,
    TimeoutNow,
    VoteAnswer,
    VoteAsk,
)


def start_pre_vote(node: Node, now_ms: int) -> None:
    """Starts a pre-vote: asks whether an election could be won.

    It raises no term, so that it doesn't disturb a leader.
    """
    node.elections_count += 1
    _campaign(node, now_ms, pre_vote=True, transfer=False)


def _campaign(node: Node, now_ms: int, *, pre_vote: bool, transfer: bool) -> None:
    node.role = Role.CANDIDATE
    node.leader_id = None
    node.pre_voting = pre_vote
    node.pre_votes = {node.own_id} if pre_vote else set()
    node.set_retry_timer(now_ms)
    if not pre_vote:
        node.votes = {node.own_id}
        node.term += 1
        node.vote = node.own_id
        node.save_vote()
    asked_term = node.term + 1 if pre_vote else node.term
    ask = VoteAsk(
        asked_term, pre_vote, transfer, node.log.last_index, node.log.last_term
    )
    for disk_id in quorum.voter_ids(node.group):
        if disk_id != node.own_id:
            node.send_synced(disk_id, ask)
    _count_votes(node, now_ms)


def _count_votes(node: Node, now_ms: int) -> None:
    if quorum.is_quorum(node.group, node.votes):
        _become_leader(node, now_ms)
    elif node.pre_voting and quorum.is_quorum(node.group, node.pre_votes):
        _campaign(node, now_ms, pre_vote=False, transfer=False)


def _become_leader(node: Node, now_ms: int) -> None:
    node.role = Role.LEADER
    node.leader_id = node.own_id
    node.elections_count = 0
    next_index = node.log.last_index + 1
    node.leadership = Leadership(
        elected_ms=now_ms,
        base_time_ms=node.last_time_ms,
        first_index=next_index,
        progress={
            member.disk_id: Progress(next_index, now_ms)
            for member in node.group.members
            if member.disk_id != node.own_id
        },
        next_heartbeat_ms=now_ms + HEARTBEAT_MS,
    )
    replication.append_own(node, [(EntryKind.NOTHING, b"")], now_ms)


def on_vote_ask(node: Node, sender: str, ask: VoteAsk, now_ms: int) -> None:
    """Grants or rejects a vote or pre-vote."""
    if not ask.transfer and _has_active_leader(node, now_ms):
        _send_vote(node, sender, ask, granted=False)
        return
    if ask.term > node.term and not ask.pre_vote:
        node.become_follower(ask.term, None, now_ms)
    own_position = (node.log.last_term, node.log.last_index)
    is_up_to_date = (ask.last_term, ask.last_index) >= own_position
    if ask.pre_vote:
        _send_vote(node, sender, ask, granted=is_up_to_date and ask.term > node.term)
        return
    granted = is_up_to_date and ask.term == node.term and node.vote in (None, sender)
    if granted:
        if node.vote is None:
            node.vote = sender
            node.save_vote()
        node.reset_election_timer(now_ms)
    _send_vote(node, sender, ask, granted=granted)


def _has_active_leader(node: Node, now_ms: int) -> bool:
    if node.leadership is not None:
        contact_ms = replication.quorum_contact_ms(node, now_ms)
        return contact_ms is not None and now_ms - contact_ms < ELECTION_MIN_MS
    return now_ms - node.leader_contact_ms < ELECTION_MIN_MS


def _send_vote(node: Node, sender: str, ask: VoteAsk, *, granted: bool) -> None:
    answer = VoteAnswer(node.term, ask.term, ask.pre_vote, granted)
    node.send_synced(sender, answer)


def on_vote_answer(node: Node, sender: str, answer: VoteAnswer, now_ms: int) -> None:
    """Counts a granted vote; only votes of the group's voters, by disk id, count.

    Votes in the own term count although a pre-vote for the next one has begun: where
    disks are slow, syncing them takes longer than the election timeout.
    """
    if answer.term > node.term:
        # A granted pre-vote carries the voter's own term, which isn't higher.
        node.become_follower(answer.term, None, now_ms)
        return
    if node.role is not Role.CANDIDATE or not answer.granted:
        return
    if answer.pre_vote:
        is_asked = node.pre_voting and answer.asked_term == node.term + 1
        votes = node.pre_votes
    else:
        # A pre-vote that this member began as a follower follows no votes.
        is_asked = node.own_id in node.votes and answer.asked_term == node.term
        votes = node.votes
    if is_asked:
        votes.add(sender)
        _count_votes(node, now_ms)


def on_timeout_now(node: Node, message: TimeoutNow, now_ms: int) -> None:
    """Starts an election at once, to take over from a leader that stepped down."""
    is_current = message.term == node.term and node.leadership is None
    if is_current and _may_campaign(node):
        _campaign(node, now_ms, pre_vote=False, transfer=True)


def tick(node: Node, now_ms: int) -> None:
    """Starts a pre-vote once the election timer has expired."""
    if node.leadership is not None or now_ms < node.election_due_ms:
        return
    if _may_campaign(node):
        start_pre_vote(node, now_ms)
    else:
        node.reset_election_timer(now_ms)


def _may_campaign(node: Node) -> bool:
    """Returns whether this member may stand for election.

    A removed voter may until its removal is committed. Its log may be the only one
    that is up to date, for instance if the leader of a group of two removed itself
    and restarted before the other member received the removal.
    """
    groups = [group for _, group in node.groups[-1:]]
    if node.group_index > node.commit_index:
        # At most one change is uncommitted, so older groups don't matter.
        groups += [group for _, group in node.groups[-2:-1]]
    return any(node.own_id in quorum.voter_ids(group) for group in groups)
