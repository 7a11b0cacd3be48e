"""Tests of the choice of a line, and of refusals of requests that come too late."""

from cassiapitch import permit_lines
from cassiapitch.permit_lines import LineMember

NOW_MS = 10_000


class Waits:
    """Waits of lines whose next places are known, with one interval between places."""

    def __init__(self, **next_waits_ms):
        self.next_waits_ms = next_waits_ms

    def expected_wait_ms(self, life_id, position, now_ms):
        next_wait_ms = self.next_waits_ms[life_id]
        return None if next_wait_ms is None else next_wait_ms + 500 * position

    def spacing_ms(self, life_id):
        return 500


def member(wait_ms, **fields):
    return LineMember(NOW_MS + wait_ms, NOW_MS + 2 * wait_ms, **fields)


def play(members, waits, lives):
    def usable_lives(_):
        return lives

    lines = permit_lines.assign(members, usable_lives, waits, NOW_MS)
    late = permit_lines.late_members(lines, usable_lives, waits, NOW_MS)
    return lines, [(members.index(item), wait_ms) for item, wait_ms in late]


def test_requests_spread_over_the_lines_by_their_waits():
    members = [member(5_000) for _ in range(4)]
    lines, late = play(members, Waits(a=0, b=600), ["a", "b"])
    assert [members.index(item) for item in lines["a"]] == [0, 1, 3]
    assert [members.index(item) for item in lines["b"]] == [2]
    assert late == []


def test_request_keeps_its_line_while_it_is_in_time_there():
    waiting = member(2_000, life_id="b", has_joined=True)
    lines, _ = play([waiting], Waits(a=0, b=1_500), ["a", "b"])
    assert lines["b"] == [waiting]


def test_unservable_request_is_refused_at_once_with_a_time_of_its_own():
    members = [member(600) for _ in range(4)]
    _, late = play(members, Waits(a=0), ["a"])
    assert late == [(2, 1_000), (3, 1_500)]


def test_request_that_joined_is_not_refused_for_a_slightly_longer_wait():
    joined, new = member(600, has_joined=True), member(600)
    _, late = play([joined, new], Waits(a=700), ["a"])
    assert late == [(1, 1_200)]


def test_late_request_moves_to_a_line_in_which_it_is_in_time():
    waiting = member(600, life_id="a")
    lines, late = play([waiting], Waits(a=2_000, b=100), ["a", "b"])
    assert late == []
    assert lines["b"] == [waiting]


def test_request_is_not_refused_while_the_leader_has_not_answered():
    _, late = play([member(0)], Waits(a=None), ["a"])
    assert late == []
