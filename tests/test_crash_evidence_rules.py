"""Tests of the rules by which parts of prompts are convicted and cleared."""

import pytest

from cassiapitch import commands, crash_evidence
from cassiapitch.crash_evidence import CrashEvidence
from cassiapitch.types import LifeId, PartDigest

SECOND_MS = 1_000


class Evidence:
    """Applies reports with a growing index and the given times."""

    def __init__(self):
        self.state, self.index = CrashEvidence(), 0

    def crash(self, life, *requests, time_ms=0, trusted=()):
        self.index += 1
        command = commands.ReportPartCrash(LifeId(life), requests, trusted)
        return crash_evidence.record_crash(self.state, command, self.index, time_ms)

    def answered(self, *parts, known_index=None, time_ms=0):
        self.index += 1
        known_index = self.index - 1 if known_index is None else known_index
        command = commands.ClearParts(parts, known_index)
        return crash_evidence.clear(self.state, command, time_ms)

    def refused(self):
        return set(self.state.refused)


@pytest.fixture
def evidence():
    return Evidence()


def test_third_crash_convicts_a_part_that_was_never_answered(evidence):
    for number in range(2):
        evidence.crash(f"l{number}", ("f", "p"))
        assert not evidence.refused()
    result, changes = evidence.crash("l2", ("f", "p"))
    assert result.refused == ("p",)
    assert changes["part/p"].is_refused


def test_reports_of_one_crash_by_many_entries_count_once(evidence):
    for _ in range(5):
        evidence.crash("l0", ("p",))
    assert not evidence.refused()


def test_sound_parts_of_the_same_requests_are_not_convicted(evidence):
    for number in range(4):
        evidence.crash(f"l{number}", ("f", "g", "p"), ("f", "g"))
    assert evidence.refused() == {"p"}


def test_two_harmful_parts_are_convicted_at_once(evidence):
    for number in range(3):
        evidence.crash(f"p{number}", ("f", "p"))
        evidence.crash(f"q{number}", ("f", "q"))
    assert evidence.refused() == {"p", "q"}


def test_outer_part_whose_requests_differ_below_is_convicted_at_the_fifth_crash(
    evidence,
):
    for number in range(4):
        evidence.crash(f"l{number}", ("f", f"below{number}"))
    assert not evidence.refused()
    evidence.crash("l4", ("f", "below4"))
    assert evidence.refused() == {"f"}


def test_harmful_part_beside_a_convicted_one_is_convicted_by_its_own_crashes(evidence):
    for number in range(3):
        evidence.crash(f"both{number}", ("f", "q", "p"))
    assert evidence.refused() == {"p"}
    for number in range(3):
        evidence.crash(f"q{number}", ("f", "q"))
    assert evidence.refused() == {"p", "q"}


def test_answer_between_crashes_clears_a_part(evidence):
    for number in range(6):
        evidence.crash(f"l{number}", ("s",), time_ms=number * 2 * SECOND_MS)
        evidence.answered("s", time_ms=number * 2 * SECOND_MS)
    assert not evidence.refused()


def test_backend_servers_that_fail_together_convict_no_part_that_was_answered(evidence):
    for number in range(14):
        evidence.crash(f"l{number}", ("s",), time_ms=number * 10, trusted=("s",))
    assert not evidence.refused()


def test_part_that_becomes_harmful_is_convicted_by_crashes_apart(evidence):
    for number in range(3):
        time_ms = number * SECOND_MS
        evidence.crash(f"l{number}", ("s",), time_ms=time_ms, trusted=("s",))
    assert evidence.refused() == {"s"}


def test_answer_that_an_entry_remembers_acquits_a_convicted_part_once(evidence):
    for number in range(3):
        evidence.crash(f"l{number}", ("s",))
    evidence.answered("s", known_index=0)
    assert not evidence.refused()
    for number in range(3, 6):
        evidence.crash(f"l{number}", ("s",), time_ms=number * SECOND_MS)
    evidence.answered("s", known_index=0)
    assert evidence.refused() == {"s"}


def test_answer_to_a_request_sent_before_the_last_crash_keeps_the_evidence(evidence):
    evidence.crash("l0", ("s",), trusted=("s",))
    sent_index = evidence.index
    evidence.crash("l1", ("s",), time_ms=SECOND_MS)
    evidence.answered("s", known_index=sent_index)
    evidence.crash("l2", ("s",), time_ms=2 * SECOND_MS)
    assert evidence.refused() == {"s"}


def test_late_report_of_an_explained_crash_blames_no_other_part(evidence):
    for number in range(3):
        evidence.crash(f"l{number}", ("p",))
    for number in range(3):
        evidence.crash(f"l{number}", ("s",))
    assert evidence.refused() == {"p"}


def test_refusal_and_evidence_end_by_time(evidence):
    for number in range(3):
        evidence.crash(f"l{number}", ("p",))
    changes = crash_evidence.expire(evidence.state, crash_evidence.REFUSED_MS)
    assert changes == {"part/p": None}
    assert not evidence.state.crashes


def test_evidence_is_bounded(evidence):
    parts = tuple(PartDigest(f"p{number}") for number in range(100))
    for crash in range(crash_evidence.CRASHES_LIMIT_COUNT + 10):
        requests = [(*parts, f"c{crash}r{number}") for number in range(100)]
        evidence.crash(f"l{crash}", *requests, trusted=(f"t{crash}",))
    assert len(evidence.state.crashes) <= crash_evidence.CRASHES_LIMIT_COUNT
    for crash in evidence.state.crashes.values():
        assert len(crash.requests) <= crash_evidence.REQUESTS_LIMIT_COUNT
        for request in crash.requests:
            assert len(request) <= crash_evidence.PARTS_LIMIT_COUNT


def test_snapshot_keeps_verdicts_and_evidence(evidence):
    for number in range(3):
        evidence.crash(f"l{number}", ("f", "p"), ("f",), trusted=("f",))
    evidence.crash("l3", ("f", "q"))
    state = evidence.state
    loaded = crash_evidence.load(state.crashes.values(), state.trusted, state.refused)
    assert loaded == state
