"""Tests of pauses as the leader passes them on."""

from cassiapitch.backend_pauses import BackendPauses


def test_longest_pause_of_all_reports_is_passed_on_until_it_ends():
    pauses = BackendPauses()
    pauses.add({"b1@1": 3_000}, 1_000)
    pauses.add({"b1@1": 500, "b2@1": 100}, 2_000)
    assert pauses.remaining_ms(2_050) == {"b1@1": 1_950, "b2@1": 50}
    assert pauses.remaining_ms(2_100) == {"b1@1": 1_900}
    assert pauses.remaining_ms(4_000) == {}
