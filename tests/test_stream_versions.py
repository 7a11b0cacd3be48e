"""Tests that no stream holds events of two software versions of backend servers."""

from types import SimpleNamespace

import anyio
import pytest

from cassiapitch import codec, timers
from cassiapitch.entrystate import EntryState
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.forwardtypes import RefusedError, StreamSource
from cassiapitch.header_codec import CallerHead
from cassiapitch.messages import Confirmed
from cassiapitch.origin_messages import OriginAnswer
from cassiapitch.platform.requests import HEADER_CODEC
from cassiapitch.settings import Address, EntrySettings
from cassiapitch.stream_versions import StreamVersions
from cassiapitch.viewitems import BackendItem, BundleItem
from tests.crash_world import StreamWorld, is_whole, last_event_id, play, versions
from tests.forward_world import entry_settings
from tests.limit_world import LOOPBACK

STREAMS_COUNT = 60
STREAMS_PER_S = 40
# The users' rules: this many joined streams are allowed, and at least this share of the
# streams that are taken up goes on.
ALLOWED_COUNT = 2
SHARE_THAT_GOES_ON = 0.5


async def break_streams(world, break_off):
    """Starts streams, breaks them off and returns those that have begun."""
    start_count = len(world.replies)
    async with anyio.create_task_group() as calls:
        for _ in range(STREAMS_COUNT):
            name = world.rng.choice(world.entry_names)
            calls.start_soon(world.call_with_parts, name, ["f1"], 8_000)
            await anyio.sleep(1 / STREAMS_PER_S)
        await break_off()
    return [
        reply
        for reply in world.replies[start_count:]
        if last_event_id(reply) and not is_whole(reply)
    ]


async def take_up_all(world, broken):
    """Takes the streams up again at any entry; returns pairs of both replies."""
    pairs = []

    async def take_up(reply):
        name = world.rng.choice(world.entry_names)
        pairs.append((reply, await world.take_up(name, reply)))

    async with anyio.create_task_group() as calls:
        for reply in broken:
            calls.start_soon(take_up, reply)
            await anyio.sleep(1 / STREAMS_PER_S)
    return pairs


async def set_versions(world, new_count):
    """Restarts some backend servers with the new version."""
    for backend in world.backends[:new_count]:
        backend.version = "v2"
        backend.crash()
    await anyio.sleep(2)


async def restart_all_entries(world):
    for name in world.entry_names:
        await world.kill(name)
    for name in world.entry_names:
        world.start_entry(name)
    await world.wait_until(world.are_entries_ready)


def joined_count(pairs):
    return sum(len(versions(*pair)) > 1 for pair in pairs)


def assert_taken_up(pairs):
    assert len(pairs) >= 12
    assert joined_count(pairs) <= ALLOWED_COUNT
    going_on = [reply for _, reply in pairs if reply.status == 200 and is_whole(reply)]
    assert len(going_on) >= SHARE_THAT_GOES_ON * len(pairs)


def test_streams_taken_up_after_all_entries_were_killed_keep_to_their_version(tmp_path):
    async def scenario(world):
        await set_versions(world, new_count=3)
        broken = await break_streams(world, lambda: restart_all_entries(world))
        return await take_up_all(world, broken)

    pairs = play(scenario, tmp_path, world_type=StreamWorld)
    assert_taken_up(pairs)


def test_streams_are_taken_up_after_all_processes_lost_power(tmp_path):
    async def scenario(world):
        await set_versions(world, new_count=3)

        async def restart_all():
            for peer in world.peers:
                await world.kill(peer.name)
            for peer in world.peers:
                await world.ended[peer.name].wait()
            for name in world.entry_names:
                await world.kill(name)
            for peer in world.peers:
                world.start_member(peer)
            for name in world.entry_names:
                world.start_entry(name)
            await world.wait_until(world.are_entries_ready)

        broken = await break_streams(world, restart_all)
        return await take_up_all(world, broken)

    pairs = play(scenario, tmp_path, world_type=StreamWorld)
    assert_taken_up(pairs)


def test_streams_of_a_version_that_has_left_are_refused_at_once(tmp_path):
    async def scenario(world):
        async def replace_all():
            for backend in world.backends:
                backend.version = "v2"
                backend.crash()
            await restart_all_entries(world)

        broken = await break_streams(world, replace_all)
        await world.wait_until(world.are_entries_ready)
        return await take_up_all(world, broken)

    pairs = play(scenario, tmp_path, world_type=StreamWorld)
    assert len(pairs) >= 12
    assert joined_count(pairs) <= ALLOWED_COUNT
    refused = [reply for _, reply in pairs if reply.status == 503]
    assert len(refused) == len(pairs)
    assert all(reply.retry_after_s is None for reply in refused)


def test_stream_whose_backend_server_crashes_is_continued_by_its_version(tmp_path):
    async def scenario(world):
        await set_versions(world, new_count=3)

        async def crash_all_in_turn():
            start_ms = timers.now_ms()
            while timers.now_ms() < start_ms + 1_500:
                world.rng.choice([b for b in world.backends if b.is_running]).crash()
                await anyio.sleep(0.3)

        start_count = len(world.replies)
        await break_streams(world, crash_all_in_turn)
        return world.replies[start_count:]

    replies = play(scenario, tmp_path, world_type=StreamWorld)
    assert sum(len(versions(reply)) > 1 for reply in replies) <= ALLOWED_COUNT
    assert sum(map(is_whole, replies)) >= SHARE_THAT_GOES_ON * len(replies)


@pytest.mark.anyio
async def test_stream_without_a_request_id_is_not_taken_for_another():
    settings = EntrySettings("e0", "z0", "test", *[Address("127.0.0.1", 0)] * 2)
    state = EntryState(settings)
    stream_versions = StreamVersions(HEADER_CODEC, state)
    route = SimpleNamespace(may_be_resumed=True, targets=())

    def make_call(last_event_id):
        head = CallerHead(last_event_id=last_event_id)
        return SimpleNamespace(
            route=route,
            head=head,
            account=None,
            source=None,
            sent_count=1,
            left_ms=lambda: 50,
        )

    backend = SimpleNamespace(role="shop", software_version="v1")
    assert await stream_versions.answer_begun(make_call(None), backend)
    with pytest.raises(RefusedError):
        await stream_versions.find_source(make_call(3))


def view_item(name, version, state="serving"):
    fields = (name, f"{name}@1", "shop", "a", LOOPBACK, 1, state, (), (), 8, None)
    return BackendItem(*fields, version)


def apply_view(state, *items):
    """Replaces the view; it counts as confirmed only when `confirm` is called."""
    index = state.catalog.index + 1
    encoded = {f"backend/{item.name}": codec.encode(item) for item in items}
    encoded["bundle"] = codec.encode(BundleItem(1, "", ""))
    state.handle_view_change(state.catalog.apply_snapshot(index, encoded))


def confirm(state):
    ask = state.freshness.make_ask(timers.now_ms())
    state.handle_confirmation(Confirmed(ask.sequence, state.catalog.index))


def take_up_of(state, version, left_ms=2_000):
    """Returns a call that takes up a stream, and what serves it."""
    state.control_requests.link_opened(
        lambda message: state.control_requests.answered(
            OriginAnswer(message.sequence, True, "shop", version)
        )
    )
    call = SimpleNamespace(
        route=SimpleNamespace(may_be_resumed=True, targets=()),
        head=CallerHead(last_event_id=3, resumed_request_id="q1"),
        account=None,
        source=None,
        left_ms=lambda: left_ms,
    )
    return StreamVersions(HEADER_CODEC, state), call


@pytest.mark.anyio
async def test_take_up_waits_for_a_view_that_is_out_of_step():
    state = EntryState(entry_settings())
    apply_view(state, view_item("b1", "v1"))
    stream_versions, call = take_up_of(state, "v2")
    async with anyio.create_task_group() as group:

        async def catch_up():
            await anyio.sleep(0.1)
            apply_view(state, view_item("b1", "v1"), view_item("b2", "v2"))

        group.start_soon(catch_up)
        await stream_versions.find_source(call)
    stream_versions.refuse_unservable(call)
    assert call.source.version == "v2"


@pytest.mark.anyio
async def test_take_up_at_an_entry_that_stays_out_of_step_may_come_back():
    state = EntryState(entry_settings())
    apply_view(state, view_item("b1", "v1"))
    stream_versions, call = take_up_of(state, "v2", left_ms=300)
    with pytest.raises(RefusedError) as error:
        await stream_versions.find_source(call)
    assert error.value.kind is ErrorKind.NOT_READY


@pytest.mark.anyio
async def test_take_up_is_refused_for_good_once_a_current_view_lacks_its_version():
    state = EntryState(entry_settings())
    apply_view(state, view_item("b1", "v1"))
    stream_versions, call = take_up_of(state, "v2")
    async with anyio.create_task_group() as group:

        async def confirm_later():
            await anyio.sleep(0.1)
            confirm(state)

        group.start_soon(confirm_later)
        await stream_versions.find_source(call)
    with pytest.raises(RefusedError) as error:
        stream_versions.refuse_unservable(call)
    assert error.value.kind is ErrorKind.STREAM_VERSION_UNKNOWN


@pytest.mark.anyio
async def test_take_up_is_not_refused_for_good_while_its_version_is_only_suspected():
    state = EntryState(entry_settings())
    apply_view(state, view_item("b1", "v1"), view_item("b2", "v2", "suspected"))
    stream_versions, call = take_up_of(state, "v2")
    call.source = StreamSource("shop", "v2")
    stream_versions.refuse_unservable(call)
    apply_view(state, view_item("b1", "v1"), view_item("b2", "v2", "leaving"))
    with pytest.raises(RefusedError):
        stream_versions.refuse_unservable(call)
