"""Load reports that wait for the entries, and how many go out at once.

A full report takes about 90 bytes without cached prefixes. Sent for each of 3,600
backend servers once a second it would cost every entry over 300 kB/s of its 7 kB/s.
While everything fits `FULL_LIMIT_BYTES`, all reports are full. Beyond that, counts
travel in six bytes each, oldest first, and full reports with prefixes take turns.
"""

import heapq
import struct
import zlib
from collections.abc import Iterable

from cassiapitch.messages import (
    LoadReport,
)
from cassiapitch.types import LifeId

FULL_LIMIT_BYTES = 4_000
# 3,000 bytes of counts and 1,000 of full reports a second leave about 2 kB/s of a
# daemon's limit for rate asks and changes of the view, next to confirmations.
COUNTS_LIMIT_COUNT = 500
TURNS_LIMIT_BYTES = 1_000
# Field names and numbers of one encoded report, without names and prefixes.
REPORT_OVERHEAD_BYTES = 64
LARGEST_COUNT = 0xFFFF

_COUNT = struct.Struct("<IH")


def life_tag(life_id: str) -> int:
    """Returns the four bytes that stand for a life in packed counts.

    Two of 3,600 lives share a tag in about one fleet of 650; one of them then gets
    the other's load, which is a hint only.
    """
    return zlib.crc32(life_id.encode())


def pack_counts(reports: Iterable[LoadReport]) -> bytes:
    """Returns tags and sums of running and waiting requests."""
    return b"".join(
        _COUNT.pack(
            life_tag(report.life_id),
            min(LARGEST_COUNT, report.running_count + report.waiting_count),
        )
        for report in reports
    )


def unpack_counts(counts: bytes) -> dict[int, int]:
    """Returns the packed counts by tag; an incomplete end is ignored."""
    whole = len(counts) - len(counts) % _COUNT.size
    return dict(_COUNT.iter_unpack(counts[:whole]))


class LoadReportQueue:
    """The last report of each backend server that was not passed on yet."""

    def __init__(self) -> None:
        self._pending: dict[str, LoadReport] = {}
        self._turn = 0
        # Turn of each life's last full report.
        self.last_full_batch: dict[LifeId, int] = {}

    def put(self, report: LoadReport) -> None:
        """Takes a report; a waiting one of the same name keeps its place."""
        self._pending[report.name] = report

    def next_batch(self) -> tuple[tuple[LoadReport, ...], bytes]:
        """Returns full reports and packed counts to be sent now."""
        self._turn += 1
        if sum(map(_size_bytes, self._pending.values())) <= FULL_LIMIT_BYTES:
            full, self._pending = tuple(self._pending.values()), {}
            return full, b""
        full = self._take_full()
        names = list(self._pending)[:COUNTS_LIMIT_COUNT]
        return full, pack_counts([self._pending.pop(name) for name in names])

    def _take_full(self) -> tuple[LoadReport, ...]:
        with_prefixes = [
            item for item in self._pending.values() if item.cached_prefixes
        ]
        # A report takes at least the overhead, so more than these never fit.
        most_count = TURNS_LIMIT_BYTES // REPORT_OVERHEAD_BYTES
        found: list[LoadReport] = []
        left_bytes = TURNS_LIMIT_BYTES
        for report in heapq.nsmallest(
            most_count,
            with_prefixes,
            key=lambda item: self.last_full_batch.get(item.life_id, 0),
        ):
            left_bytes -= _size_bytes(report)
            # The first one goes even if it is larger, or it would never go.
            if found and left_bytes < 0:
                break
            found.append(self._pending.pop(report.name))
            self.last_full_batch[report.life_id] = self._turn
        return tuple(found)


def _size_bytes(report: LoadReport) -> int:
    prefixes_bytes = sum(len(prefix) + 2 for prefix in report.cached_prefixes)
    names_bytes = len(report.name) + len(report.life_id)
    return REPORT_OVERHEAD_BYTES + names_bytes + prefixes_bytes
