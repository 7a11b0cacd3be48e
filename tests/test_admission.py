"""Tests of the membership changes of a control group without operators."""

import dataclasses

from cassiapitch import admission
from cassiapitch.admission import JoinRequest
from cassiapitch.raftmessages import ChangeKind, Group, GroupMember

NOW_MS = 100_000


def member(number, *, voter=True, disk="a"):
    name = f"10.0.0.{number}"
    return GroupMember(name, f"{name}-{disk}", "z", name, 1, voter)


def next_change(members, join_requests=(), lost=()):
    contact_times_ms = {
        group_member.disk_id: NOW_MS - (60_000 if group_member.name in lost else 0)
        for group_member in members
    }
    requests = [JoinRequest(group_member, NOW_MS) for group_member in join_requests]
    return admission.next_change(
        Group(tuple(members)), 5, requests, contact_times_ms, NOW_MS
    )


def test_group_grows_to_its_size_one_member_at_a_time():
    members = [member(1), member(2), member(3)]
    new = [member(4, voter=False), member(5, voter=False)]
    steps = []
    while (change := next_change(members, new)) is not None:
        steps.append((change.kind, change.name))
        assert len(steps) < 10
        if change.kind is ChangeKind.ADD_LEARNER:
            members.append(change.member)
        else:
            members = [
                dataclasses.replace(group_member, voter=True)
                if group_member.name == change.name
                else group_member
                for group_member in members
            ]
    assert [kind for kind, _ in steps] == [
        ChangeKind.ADD_LEARNER,
        ChangeKind.PROMOTE,
    ] * 2
    assert all(group_member.voter for group_member in members)


def test_member_with_an_empty_disk_never_inherits_the_vote_of_its_name():
    members = [member(number) for number in range(1, 6)]
    empty = member(2, voter=False, disk="b")
    change = next_change(members, [empty])
    assert (change.kind, change.name) == (ChangeKind.REMOVE, "10.0.0.2")
    rest = [group_member for group_member in members if group_member.name != "10.0.0.2"]
    assert next_change(rest, [empty]).kind is ChangeKind.ADD_LEARNER


def test_spare_member_replaces_a_lost_voter_only():
    members = [member(number) for number in range(1, 6)]
    spare = member(6, voter=False)
    assert next_change(members, [spare]) is None
    assert next_change(members, [spare], lost=["10.0.0.4"]).member == spare
    with_spare = [*members, spare]
    change = next_change(with_spare, lost=["10.0.0.4"])
    assert (change.kind, change.name) == (ChangeKind.REMOVE, "10.0.0.4")


def test_lost_voters_stay_while_no_other_member_can_replace_them():
    members = [member(number) for number in range(1, 6)]
    assert next_change(members, lost=["10.0.0.4", "10.0.0.5"]) is None


def test_member_that_stopped_asking_is_not_admitted():
    stale = [JoinRequest(member(4, voter=False), NOW_MS - 60_000)]
    group = Group((member(1), member(2), member(3)))
    contact_times_ms = {group_member.disk_id: NOW_MS for group_member in group.members}
    assert admission.next_change(group, 5, stale, contact_times_ms, NOW_MS) is None
