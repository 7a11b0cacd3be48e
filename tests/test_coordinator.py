"""Tests of the coordinator's decisions during one controller term."""

import pytest

from cassiapitch import codec, speed_records
from cassiapitch.admission_gate import AdmissionGate, Asked
from cassiapitch.brittle_backends import BrittleReport
from cassiapitch.load_messages import AnswerSample
from cassiapitch.load_report_queue import FULL_BATCH_LIMIT_BYTES, life_tag
from cassiapitch.messages import DemandReport, InFlight
from tests import fleet_world
from tests.fleet_world import ANNOUNCE_MS, TICK_MS, World

MODELS_OF_EQUAL_SIZE = {"a": 30, "b": 30, "c": 30}


def make_world(sizes=(100,), models=MODELS_OF_EQUAL_SIZE, fencing=True):
    world = World(fencing=fencing, seed=1, sizes=sizes)
    world.roll_out_bundle(models, {})
    world.run(2_000)
    return world


def server_state(world):
    return world.fleet.view_items()["backend/e0"].state


def report_refused(world, entry):
    report = DemandReport(entry, (), ("e0-1",))
    world.coordinator.on_demand(report, world.now_ms)


def test_silent_server_is_suspected_after_two_seconds_and_down_after_ten():
    """Guards against requests to a dead server, and against a hasty suspicion."""
    world = make_world()
    world.engines[0].is_silent = True
    world.run(1_800)
    assert server_state(world) == "serving"
    world.run(400)
    assert server_state(world) == "suspected"
    world.run(8_000)
    assert server_state(world) == "down"
    world.engines[0].is_silent = False
    world.run(700)
    assert server_state(world) == "serving"


def test_refused_connections_count_from_two_entries():
    """Guards against suspecting a server because one entry's network is broken."""
    world = make_world()
    report_refused(world, "n1")
    report_refused(world, "n1")
    world.run(200)
    assert server_state(world) == "serving"
    report_refused(world, "n2")
    world.run(100)
    assert server_state(world) == "suspected"
    world.run(2_000)
    assert server_state(world) == "serving"


@pytest.mark.parametrize("entries_count", [13, 650])
def test_reports_of_a_few_entries_of_many_take_no_running_server_from_all(
    entries_count,
):
    world = make_world()
    for number in range(entries_count):
        report = DemandReport(f"n{number}", (), ())
        world.coordinator.on_demand(report, world.now_ms)
    for number in range(entries_count // 4):
        report_refused(world, f"n{number}")
    world.run(200)
    assert server_state(world) == "serving"
    for number in range(entries_count // 2):
        report_refused(world, f"n{number}")
    world.run(100)
    assert server_state(world) == "suspected"


def make_world_of_many_entries():
    world = make_world()
    for number in range(99):
        world.coordinator.on_demand(DemandReport(f"n{number}", (), ()), world.now_ms)
    # Just after a heartbeat.
    world.run(-world.now_ms % ANNOUNCE_MS + TICK_MS)
    return world


@pytest.mark.parametrize(
    ("reporters_count", "state"), [(2, "suspected"), (1, "serving")]
)
def test_crashed_server_that_few_of_many_entries_send_to_is_suspected_soon(
    reporters_count, state
):
    """Guards against requests that go to a crashed server until its silence is long
    enough by itself, since too few entries send to it for a third to be refused."""
    world = make_world_of_many_entries()
    world.engines[0].is_silent = True
    for number in range(reporters_count):
        report_refused(world, f"n{number}")
    world.run(800)
    assert server_state(world) == "serving"
    world.run(300)
    assert server_state(world) == state


def test_few_entries_that_are_refused_take_no_server_that_was_heard_since_from_all():
    """Guards against a server that is suspected for one late heartbeat, since some
    entries were cut off from it before."""
    world = make_world_of_many_entries()
    for number in range(5):
        report_refused(world, f"n{number}")
    world.run(ANNOUNCE_MS)
    world.engines[0].is_silent = True
    world.run(1_500)
    assert server_state(world) == "serving"


def test_server_that_says_in_an_answer_that_it_leaves_leaves_for_all_entries():
    """Guards against requests of other entries to a server that told only one of them
    that it leaves, while its heartbeats still say that it stays."""
    world = make_world()
    assert server_state(world) == "serving"
    report = DemandReport("n1", (), (), leaving_backends=("e0-1",))
    world.coordinator.on_demand(report, world.now_ms)
    world.run(1_500)
    assert server_state(world) == "leaving"
    world.run(3_000)
    assert server_state(world) == "leaving"


def test_next_incarnation_follows_after_silence_and_late_announcements_do_nothing():
    """Guards against a late announcement that replaces the current incarnation."""
    world = make_world()
    engine = world.engines[0]
    late = engine.announcement()
    engine.start()
    world.run(1_500)
    assert world.fleet.lives["e0"].life_id == "e0-1"
    world.run(1_500)
    assert world.fleet.lives["e0"].life_id == "e0-2"
    world.coordinator.on_announcement(late, world.now_ms)
    world.run(1_000)
    assert world.fleet.lives["e0"].life_id == "e0-2"


def test_fencing_engine_gets_its_orders_one_after_the_other():
    """Guards against an order that is rejected as stale, since it arrives after a
    later order with a higher fence."""
    world = make_world()
    world.order_faults = ["lost"]
    for name in ("a", "b"):
        world.report_demand(name, 1)
    world.run(1_500)
    assert len(world.fleet.open_orders) == 2
    assert world.engines[0].memory.fence == (0, 0)
    world.run(8_000)
    assert world.fleet.view_items()["backend/e0"].models == ("a", "b")
    assert list(world.engines[0].memory.settled) == ["o1", "o2"]


@pytest.mark.parametrize("fencing", [True, False])
def test_unload_is_sent_after_the_entries_view(fencing):
    """Guards against requests to a model that has just been unloaded."""
    world = make_world((40,), fencing=fencing)
    world.report_demand("a", 1)
    world.run(35_000)
    assert world.fleet.view_items()["backend/e0"].models == ("a",)
    world.run(30_000)
    world.report_demand("b", 1)
    while world.fleet.view_items()["backend/e0"].models:
        world.run(100)
    removed_ms = world.now_ms
    while world.engines[0].memory.residents:
        world.run(100)
    assert world.now_ms - removed_ms >= 2_000


def test_order_without_an_answer_is_sent_again_soon(monkeypatch):
    """Guards against models that load seconds late because engines don't answer the
    first attempts of their orders and run them late."""
    monkeypatch.setattr(fleet_world, "RESPONSE_TIMEOUT_MS", 400)
    world = make_world()
    world.order_faults = ["late"] * 2
    world.report_demand("a", 1)
    start_ms = world.now_ms
    while "a" not in world.served:
        world.run(100)
        assert world.now_ms - start_ms < 10_000
    # Two response timeouts and the retry delays after them.
    retries_ms = 2 * 400 + 400 + 800
    assert world.now_ms - start_ms < retries_ms + 2_500


def test_expected_time_counts_down_and_covers_the_waiting_list():
    """Guards against entries that can't tell whether a request should wait."""
    world = make_world()
    world.coordinator.placement.store_tokens = -10.0
    world.report_demand("a", 1)
    world.run(100)
    world.report_demand("b", 1)
    expected = world.coordinator.load_reports(world.now_ms).expected_ms
    assert 0 < expected["a"] < expected["b"]
    assert "c" not in expected
    world.run(10_000)
    assert world.coordinator.load_reports(world.now_ms).expected_ms == {}


def test_new_leader_tells_no_count_of_entries_before_all_have_reported():
    """Guards against a restarted entry that takes too much of a limit, because a new
    leader counts only the entries that have reported to it so far."""
    world = make_world()
    world.change_leader()
    report_refused(world, "entry-1")
    assert world.coordinator.load_reports(world.now_ms).entries_count == 0
    for number in range(40):
        report_refused(world, f"entry-{number}")
    world.run(2_000)
    assert world.coordinator.load_reports(world.now_ms).entries_count >= 40


def test_load_reports_are_given_once():
    """Guards against entries that treat an old report as a new one."""
    world = make_world()
    reports = world.coordinator.load_reports(world.now_ms).reports
    assert [report.name for report in reports] == ["e0"]
    assert world.coordinator.load_reports(world.now_ms).reports == ()


def test_lost_proposals_are_decided_anew():
    """Guards against a change that the coordinator wrongly takes for recorded."""
    world = make_world()
    world.engines[0].memory.leaving = True
    world.lost_proposals = 1
    world.run(1_500)
    assert server_state(world) == "leaving"


def test_round_comes_early_for_what_is_new_and_not_served():
    """Guards against adapters whose delay is mostly the wait for the next placement
    round, and against rounds without need."""
    world = make_world()
    world.run(100 + -world.now_ms % 1_000)
    world.report_demand("a", 1)
    world.run(300)
    assert [order.model for order in world.fleet.open_orders.values()] == ["a"]
    world.run(5_000)
    demand = world.coordinator.placement.demand
    world.report_demand("a", 1)
    while demand.waiting():
        world.tick()
    # The last round was a regular one, so the next one is a second away.
    world.report_demand("a", 1)
    world.run(500)
    assert demand.waiting()


def test_samples_of_entries_become_speeds_for_all_and_weights_for_placement():
    """Guards against a measured speed that is dropped between report and use."""
    world = make_world(sizes=(100, 100, 100))
    servers = {}
    for step in range(40):
        samples = tuple(
            AnswerSample(life_id, gaps_count=20, gaps_ms=gaps_ms, in_flight_sum=80)
            for life_id, gaps_ms in (("e0-1", 400), ("e1-1", 400), ("e2-1", 1_000))
        )
        report = DemandReport(f"n{step % 4}", (), (), answer_samples=samples)
        world.coordinator.on_demand(report, world.now_ms)
        speeds = world.coordinator.load_reports(world.now_ms).speeds
        servers.update(speed_records.unpack(speeds).servers)
        world.run(500)
    assert servers[life_tag("e2-1")].pace_ratio < 0.6
    survey = world.coordinator.placement.begin_round(world.now_ms)
    weights = {
        life_id: survey.copy_weight(engine.incarnation)
        for life_id, engine in survey.engines.items()
    }
    assert weights["e2-1"] < 0.6 < weights["e0-1"]
    assert world.coordinator.speeds.capacity("e2-1").concurrency >= 1
    unknown = AnswerSample("gone-1", gaps_count=20, gaps_ms=400, in_flight_sum=80)
    report = DemandReport("n1", (), (), answer_samples=(unknown,))
    world.coordinator.on_demand(report, world.now_ms)
    assert world.coordinator.speeds.capacity("gone-1") is None


@pytest.mark.parametrize(
    ("sizes", "model_mib"),
    [((100, 100, 100), 30), ((100, 100, 100), 60), ((100, 100, 200), 100)],
    ids=["spare", "short", "exact"],
)
def test_copies_count_by_speed_only_where_memory_holds_more_than_all_models(
    sizes, model_mib
):
    """Guards against models that are moved to and fro after the measured speed of
    their engines, while others wait for the memory."""
    world = make_world(sizes, dict.fromkeys("abcd", model_mib))
    for _ in range(40):
        for number, gaps_ms in enumerate((400, 400, 1_000)):
            sample = AnswerSample(
                f"e{number}-1", gaps_count=20, gaps_ms=gaps_ms, in_flight_sum=80
            )
            world.coordinator.speeds.add(sample, "r", 8, world.now_ms)
        world.coordinator.speeds.update(world.now_ms)
        world.run(500)
    survey = world.coordinator.placement.begin_round(world.now_ms)
    slow = survey.engines["e2-1"]
    assert world.coordinator.speeds.relative_capacity("e2-1") < 0.6
    is_spare = sum(size // model_mib for size in sizes) > 4
    assert (slow.relative_capacity < 0.6) == is_spare
    assert (survey.copy_weight(slow.incarnation) < 0.6) == is_spare
    survey.copies["x"] = [slow.incarnation, survey.engines["e0-1"].incarnation]
    assert (survey.effective_copies("x") == 2) != is_spare


def report_backlog(world, gate, requests_count, pending_tokens):
    """Reports an entry's load of model `a` at the engine, as the entry does it."""
    for number in range(requests_count):
        key, rank = f"{world.now_ms}-{number}", number % 2 * 6
        asked = Asked(key, "a", rank, "acme", 1, 1_500)
        gate.decide(asked, (), (), (), world.now_ms)
    in_flight = (InFlight("e0-1", 8, pending_tokens, 2_500),)
    report = DemandReport(
        "n", (), (), in_flight, rank_loads=gate.report((), world.now_ms)
    )
    return world.coordinator.on_demand(report, world.now_ms)


def report_in_flight(world, entry, count):
    in_flight = (InFlight("e0-1", count, 0),)
    return world.coordinator.on_demand(
        DemandReport(entry, (), (), in_flight), world.now_ms
    )


def reported_counts(reports):
    counts = {item.life_id: item.running_count for item in reports.reports}
    return counts.get("e0-1")


def test_demand_reports_without_news_hold_no_periodic_load_report_back(monkeypatch):
    """Guards against entries that see loads of a second ago, whatever the period."""
    world = make_world()
    coordinator = world.coordinator
    monkeypatch.setattr(coordinator, "_reports_load", lambda role: False)
    coordinator.load_reports(world.now_ms)
    for count in (3, 5, 2):
        world.run(300)
        assert not report_in_flight(world, "n1", count)
        assert not report_in_flight(world, "n2", 1)
        reports = coordinator.load_reports(world.now_ms)
        assert reported_counts(reports) == count + 1


def test_news_of_one_entry_come_with_loads_though_others_have_none(monkeypatch):
    """Guards against a hold that reaches entries without the load that caused it."""
    world = make_world()
    coordinator = world.coordinator
    monkeypatch.setattr(coordinator, "_reports_load", lambda role: False)
    coordinator.load_reports(world.now_ms)
    brittle = (BrittleReport("e0-1", 3.0, 700, 5),)
    in_flight = (InFlight("e0-1", 6, 0),)
    report = DemandReport("n1", (), (), in_flight, brittle=brittle)
    assert coordinator.on_demand(report, world.now_ms)
    assert not report_in_flight(world, "n2", 1)
    reports = coordinator.load_reports(world.now_ms + 20)
    assert reported_counts(reports) == 7
    assert reports.brittle


def test_short_load_period_takes_no_more_bytes_a_second_than_a_long_one(monkeypatch):
    """Guards against a fleet whose load reports exceed what entries may receive."""
    engines_count, period_ms, seconds_count = 60, 300, 10
    world = make_world(sizes=(100,) * engines_count)
    coordinator = world.coordinator
    monkeypatch.setattr(coordinator, "_reports_load", lambda role: False)
    lives = [item.life_id for item in world.fleet.lives.values()]
    coordinator.load_reports(world.now_ms)
    sent_bytes = 0
    for _ in range(seconds_count * 1_000 // period_ms):
        world.run(period_ms)
        in_flight = tuple(InFlight(life_id, 3, 0) for life_id in lives)
        coordinator.on_demand(DemandReport("n1", (), (), in_flight), world.now_ms)
        reports = coordinator.load_reports(world.now_ms)
        sent_bytes += sum(len(codec.encode(item)) for item in reports.reports)
        sent_bytes += len(reports.counts)
    assert 0 < sent_bytes <= FULL_BATCH_LIMIT_BYTES * seconds_count / 0.9


def test_levels_reach_an_entry_while_an_engine_is_short(monkeypatch):
    """Guards against a shortage that the leader sees and entries don't, and against
    messages before it."""
    world = make_world()
    world.report_demand("a", 1)
    world.run(3_000)
    coordinator = world.coordinator
    monkeypatch.setattr(coordinator, "_reports_load", lambda role: False)
    gate, server = AdmissionGate(), world.fleet.view_items()["backend/e0"]
    assert not report_backlog(world, gate, 1, 0)
    assert coordinator.load_reports(world.now_ms).admission == b""
    gate.note_busy(world.now_ms)
    were_due = []
    for _ in range(8):
        world.run(500)
        were_due.append(report_backlog(world, gate, 30, 40_000))
        gate.receive(coordinator.load_reports(world.now_ms).admission, world.now_ms)
    assert any(were_due)
    urgent, batch = (
        gate.share(server, Asked("k", "a", rank, "acme")) for rank in (0, 6)
    )
    assert batch < min(urgent, 0.3)
    assert coordinator.admission.describe().keys() == {"e0-1"}
    assert coordinator.take_admission_changes().begun == {"e0-1": "r"}
