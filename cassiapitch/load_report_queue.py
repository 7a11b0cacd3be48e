"""Queue of load reports to the entries, with a size limit for each batch.

A full report takes about 90 bytes without cached prefixes. Full reports of 3,600
backend servers once a second would take over 300 kB/s for every entry, which has a
limit of 7 kB/s. While all pending reports fit `FULL_BATCH_LIMIT_BYTES`, they are sent
in full. Beyond that, request counts are packed into six bytes each, oldest first, and
full reports with prefixes are sent in rotation.
"""

import heapq
import struct
import zlib
from collections.abc import Iterable

from cassiapitch.messages import (
    LoadReport,
)
from cassiapitch.types import LifeId

FULL_BATCH_LIMIT_BYTES = 4_000
# 3,000 bytes of counts and 1,000 bytes of full reports a second leave about 2 kB/s of
# an entry's limit for rate asks and changes of the view, next to confirmations.
PACKED_COUNTS_LIMIT_COUNT = 500
ROTATION_LIMIT_BYTES = 1_000
# Size of the field names and numbers of an encoded report, without its name, life id
# and prefixes.
REPORT_OVERHEAD_BYTES = 64
LARGEST_COUNT = 0xFFFF

_COUNT = struct.Struct("<IH")
_TAG = struct.Struct("<I")


def life_tag(life_id: str) -> int:
    """Returns the four-byte number that stands for a life id in packed counts.

    Among 3,600 life ids, two share a tag in about one fleet of 650. Then one gets the
    other's load; loads are only hints for routing.
    """
    return zlib.crc32(life_id.encode())


def pack_tags(life_ids: Iterable[str]) -> bytes:
    """Returns packed tags."""
    return b"".join(_TAG.pack(life_tag(life_id)) for life_id in life_ids)


def unpack_tags(data: bytes) -> set[int]:
    """Returns the packed tags; an incomplete last one is ignored."""
    complete_bytes = len(data) - len(data) % _TAG.size
    return {tag for (tag,) in _TAG.iter_unpack(data[:complete_bytes])}


def pack_counts(reports: Iterable[LoadReport]) -> bytes:
    """Returns packed tags and sums of running and waiting requests."""
    return b"".join(
        _COUNT.pack(
            life_tag(report.life_id),
            min(LARGEST_COUNT, report.running_count + report.waiting_count),
        )
        for report in reports
    )


def unpack_counts(counts: bytes) -> dict[int, int]:
    """Returns the packed counts by tag; an incomplete last record is ignored."""
    complete_bytes = len(counts) - len(counts) % _COUNT.size
    return dict(_COUNT.iter_unpack(counts[:complete_bytes]))


class LoadReportQueue:
    """The latest unsent load report of each backend server."""

    def __init__(self) -> None:
        self._pending: dict[str, LoadReport] = {}
        self._batch_number = 0
        # Number of the batch that held the last full report, by life id.
        self.last_full_batch: dict[LifeId, int] = {}

    def put(self, report: LoadReport) -> None:
        """Adds a report; replaces a pending one of the same name at its place."""
        self._pending[report.name] = report

    def pending_bytes(self) -> int:
        """Returns the size of all pending reports in full."""
        return sum(map(_size_bytes, self._pending.values()))

    def next_batch(self) -> tuple[tuple[LoadReport, ...], bytes]:
        """Removes and returns the next batch: full reports and packed counts."""
        self._batch_number += 1
        if self.pending_bytes() <= FULL_BATCH_LIMIT_BYTES:
            full, self._pending = tuple(self._pending.values()), {}
            return full, b""
        full = self._next_full_reports()
        names = list(self._pending)[:PACKED_COUNTS_LIMIT_COUNT]
        return full, pack_counts([self._pending.pop(name) for name in names])

    def _next_full_reports(self) -> tuple[LoadReport, ...]:
        with_prefixes = [
            item for item in self._pending.values() if item.cached_prefixes
        ]
        # A report takes at least the overhead, so no more than this number can fit.
        max_count = ROTATION_LIMIT_BYTES // REPORT_OVERHEAD_BYTES
        selected: list[LoadReport] = []
        remaining_bytes = ROTATION_LIMIT_BYTES
        for report in heapq.nsmallest(
            max_count,
            with_prefixes,
            key=lambda item: self.last_full_batch.get(item.life_id, 0),
        ):
            remaining_bytes -= _size_bytes(report)
            # A first report beyond the limit is sent as well; it would never be sent
            # otherwise.
            if selected and remaining_bytes < 0:
                break
            selected.append(self._pending.pop(report.name))
            self.last_full_batch[report.life_id] = self._batch_number
        return tuple(selected)


def _size_bytes(report: LoadReport) -> int:
    prefixes_bytes = sum(len(prefix) + 2 for prefix in report.cached_prefixes)
    names_bytes = len(report.name) + len(report.life_id)
    return REPORT_OVERHEAD_BYTES + names_bytes + prefixes_bytes
