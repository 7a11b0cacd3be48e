"""Tests of the record of which software version began a stream."""

import pytest

from cassiapitch import stream_origins
from cassiapitch.commands import FindOrigin, OriginResult, RecordOrigins
from cassiapitch.origin_messages import StreamOrigin
from cassiapitch.stream_origins import ORIGIN_MS, VERSION_MS, StreamOrigins
from cassiapitch.viewitems import BackendItem, VersionsItem

UNPROVED = OriginResult(None, None)


def backend(name, version, state="serving"):
    item = BackendItem(name, f"{name}@1", "kit", "z0", "127.0.0.1", 1, state, (), (), 8)
    fields = {field: getattr(item, field) for field in item.__struct_fields__}
    return {f"backend/{name}": BackendItem(**{**fields, "software_version": version})}


class Record:
    """The replicated record with commands that name one role."""

    def __init__(self):
        self.state = StreamOrigins()

    def change(self, *changes, time_ms=0):
        merged = {key: item for change in changes for key, item in change.items()}
        return stream_origins.update_versions(self.state, merged, time_ms)

    def began(self, stream, version, attempt_count=1, time_ms=0):
        origin = StreamOrigin(stream, "kit", version, attempt_count)
        stream_origins.record(self.state, RecordOrigins((origin,)), time_ms)

    def find(self, stream, time_ms=0):
        command = FindOrigin(stream, ("kit",))
        return stream_origins.find(self.state, command, time_ms)[0]


@pytest.fixture
def record():
    return Record()


def test_only_version_in_service_began_every_stream(record):
    record.change(backend("b0", "v1"), backend("b1", "v1"))
    assert record.find("unknown") == OriginResult("kit", "v1")


def test_stream_that_is_not_recorded_is_not_guessed_between_two_versions(record):
    changes = record.change(backend("b0", "v1"), backend("b1", "v2"))
    assert changes == {"versions/kit": VersionsItem(("v1", "v2"))}
    assert record.find("unknown") == UNPROVED
    record.began("s", "v2")
    assert record.find("s") == OriginResult("kit", "v2")


def test_third_version_and_a_release_back_keep_each_stream_at_its_own(record):
    record.change(backend("b0", "v1"), backend("b1", "v2"), backend("b2", "v3"))
    for version in ("v1", "v2", "v3"):
        record.began(f"s-{version}", version)
    record.change(backend("b1", "v1"), backend("b2", "v1"), time_ms=1_000)
    for version in ("v1", "v2", "v3"):
        assert record.find(f"s-{version}", 1_000) == OriginResult("kit", version)
    assert record.find("unknown", 1_000) == UNPROVED
    stream_origins.expire(record.state, 1_000 + VERSION_MS)
    assert record.find("unknown", 1_000 + VERSION_MS) == OriginResult("kit", "v1")


def test_version_that_has_just_left_still_counts(record):
    record.change(backend("b0", "v1"), backend("b1", "v2"))
    record.change({"backend/b0": None}, time_ms=1_000)
    assert record.find("unknown", 1_000) == UNPROVED
    changes = stream_origins.expire(record.state, 1_000 + VERSION_MS)
    assert changes == {"versions/kit": VersionsItem(("v2",))}
    assert record.find("unknown") == OriginResult("kit", "v2")


def test_version_whose_backend_servers_are_down_still_counts_for_a_while(record):
    record.change(backend("b0", "v1"), backend("b1", "v2"))
    record.change(backend("b0", "v1", state="down"))
    assert record.find("unknown") == UNPROVED
    stream_origins.expire(record.state, VERSION_MS)
    assert record.find("unknown") == OriginResult("kit", "v2")


def test_later_attempt_counts_also_if_its_report_comes_first(record):
    record.change(backend("b0", "v1"), backend("b1", "v2"))
    record.began("s", "v2", attempt_count=2)
    record.began("s", "v1", attempt_count=1)
    assert record.find("s") == OriginResult("kit", "v2")


def test_stream_that_is_taken_up_may_be_taken_up_again(record):
    record.change(backend("b0", "v1"), backend("b1", "v2"))
    record.began("s", "v1")
    record.find("s", time_ms=ORIGIN_MS - 1)
    stream_origins.expire(record.state, ORIGIN_MS)
    assert record.find("s") == OriginResult("kit", "v1")
    stream_origins.expire(record.state, 3 * ORIGIN_MS)
    assert record.find("s") == UNPROVED


def test_record_is_bounded(record, monkeypatch):
    monkeypatch.setattr(stream_origins, "ORIGINS_LIMIT_COUNT", 3)
    for number in range(5):
        record.began(f"s{number}", "v1")
    assert list(record.state.table) == ["s2", "s3", "s4"]


def test_snapshot_keeps_streams_and_versions(record):
    items = {**backend("b0", "v1"), **backend("b1", "v2")}
    record.change(items)
    record.began("s", "v2")
    record.change({"backend/b1": None})
    del items["backend/b1"]
    state = record.state
    retired = [(*key, until_ms) for key, until_ms in state.retired.items()]
    assert stream_origins.load(state.table, retired, items) == state
