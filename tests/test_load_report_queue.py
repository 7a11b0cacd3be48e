"""Tests of the size limit of load reports to entries."""

import random

from cassiapitch import codec, load_report_queue, timers
from cassiapitch.entrystate import EntryState
from cassiapitch.messages import (
    LoadReport,
    LoadReports,
)
from cassiapitch.settings import Address, EntrySettings
from cassiapitch.viewitems import (
    BackendItem,
)

TARGET_BACKENDS_COUNT = 3_600
# Share of an entry's 7 kB/s that load reports may take at the target fleet size.
LIMIT_BYTES = 4_500


def report(number, load=0, prefixes=()):
    return LoadReport(f"engine-{number}", f"life-{number:012x}", load, 0, prefixes)


def test_small_fleet_gets_full_reports_at_once():
    """Guards against delayed reports in a fleet that doesn't need the limit."""
    queue = load_report_queue.LoadReportQueue()
    reports = tuple(report(number, number, ("p" * 16,)) for number in range(8))
    for item in reports:
        queue.put(item)
    assert queue.next_batch() == (reports, b"")
    assert queue.next_batch() == ((), b"")


def test_target_fleet_stays_within_the_limit_and_reports_everyone():
    """Guards against batches over the limit, and servers that are never reported."""
    queue, rng, counts_by_tag, fully_reported = (
        load_report_queue.LoadReportQueue(),
        random.Random(1),
        {},
        set(),
    )
    loads = {n: rng.randrange(60) for n in range(TARGET_BACKENDS_COUNT)}
    for _ in range(TARGET_BACKENDS_COUNT):
        for number, load in loads.items():
            prefixes = ("p" * 16,) * 8 if number % 10 == 0 else ()
            queue.put(report(number, load, prefixes))
        reports, counts = queue.next_batch()
        assert len(codec.encode(LoadReports(reports, {}, counts))) <= LIMIT_BYTES
        counts_by_tag.update(load_report_queue.unpack_counts(counts))
        counts_by_tag.update(
            {
                load_report_queue.life_tag(item.life_id): item.running_count
                for item in reports
            }
        )
        fully_reported.update(item.name for item in reports)
        if (
            len(counts_by_tag) == TARGET_BACKENDS_COUNT
            and len(fully_reported) == len(loads) // 10
        ):
            break
    expected = {
        load_report_queue.life_tag(report(n).life_id): load for n, load in loads.items()
    }
    assert counts_by_tag == expected
    assert len(fully_reported) == TARGET_BACKENDS_COUNT // 10


def test_large_count_and_incomplete_end_are_accepted():
    """Guards against an overflow of the packed count, and a truncated message."""
    counts = load_report_queue.pack_counts([report(1, 70_000), report(2, 3)])
    first, second = (
        load_report_queue.life_tag(report(1).life_id),
        load_report_queue.life_tag(report(2).life_id),
    )
    assert load_report_queue.unpack_counts(counts) == {first: 65_535, second: 3}
    assert load_report_queue.unpack_counts(counts[:-1]) == {first: 65_535}


def test_entry_routes_by_packed_counts_and_keeps_prefixes(monkeypatch):
    """Guards against packed counts that are lost or that erase cached prefixes."""
    monkeypatch.setattr(timers, "now_ms", lambda: 5_000)
    address = Address("127.0.0.1", 0)
    state = EntryState(EntrySettings("e1", "z", "c", address, address, (), ()))
    items = [
        BackendItem(
            *(f"engine-{number}", report(number).life_id, "r", "z", "127.0.0.1", 1),
            *("serving", (), (), 60),
        )
        for number in range(2)
    ]
    state.catalog.backends.update({item.name: item for item in items})
    state.handle_load_reports(LoadReports((report(0, 1, ("p",)),), {}))
    counts = load_report_queue.pack_counts([report(0, 30), report(1, 2), report(9, 50)])
    state.handle_load_reports(LoadReports((), {}, counts))
    scores = [state.router.score(item, (), 5_000) for item in items]
    assert scores == [30, 2]
    assert state.router.score(items[0], ("p",), 5_000) < 30
