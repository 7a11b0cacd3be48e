"""Tests of the fleet's replicated state: life cycle and memory ledger."""

import dataclasses

import pytest

from cassiapitch import codec
from cassiapitch.announcements import (
    Announcement,
    LoadedModel,
    SettledOrder,
)
from cassiapitch.bundle import Bundle, Model, Role, Store
from cassiapitch.fleet import Fleet
from cassiapitch.fleet_commands import (
    BackendMark,
    BeginTerm,
    MarkBackends,
    NewOrder,
    OrderAnswer,
    OrderAttempt,
    RecordAnswers,
    RecordAttempts,
    RecordOrders,
    ReportBackends,
)

ENGINE = Announcement("e", "life", "r", "z", "127.0.0.1", 1, 100, 8, sequence=1)


class FleetLog:
    """Applies commands to a fleet like the replicated log does."""

    def __init__(self, *, fencing):
        self.fleet = Fleet()
        roles = (
            Role("r", "engine", "0" * 64, fencing=fencing),
            Role("s", "engine", "1" * 64),
        )
        models = (Model("a", "r", 60), Model("b", "r", 50))
        self.fleet.set_bundle(Bundle(1, roles, models, store=Store(1.0, 1, 1)))
        self.apply(BeginTerm("t"))
        self.report(ENGINE)

    def apply(self, command):
        # Commands are encoded and decoded, as in the log.
        return self.fleet.apply(codec.decode(codec.encode(command)), 1, 1)

    def report(self, announcement, **fields):
        self.last = dataclasses.replace(announcement, **fields)
        return self.apply(ReportBackends(self.fleet.term, (self.last,)))

    def order(self, kind, model, ordered_life_id="life"):
        new = NewOrder(kind, "e", ordered_life_id, f"model/{model}")
        return self.apply(RecordOrders(self.fleet.term, (new,))).refused

    def settle(self, order_id, loaded, fence):
        self.report(
            self.last,
            sequence=self.last.sequence + 1,
            loaded=tuple(LoadedModel(name, 1, 60) for name in loaded),
            settled=(*self.last.settled, SettledOrder(order_id, "done")),
            fence_term=1,
            fence_number=fence,
        )

    def incarnation(self):
        return self.fleet.lives["e"]

    def backend_item(self):
        return self.fleet.view_items()["backend/e"]


def load_twice_and_unload(log):
    """Leaves one attempt of a load without a response."""
    assert not log.order("load", "a")
    log.apply(RecordAttempts(1, (OrderAttempt("o1", 2),)))
    log.apply(RecordAnswers((OrderAnswer("e", "o1", 2, "accepted"),)))
    log.settle("o1", ("a",), 1)
    assert not log.order("unload", "a")


def test_open_unload_frees_nothing_until_it_is_reported():
    """Guards against memory overcommit when an unload is lost or late."""
    log = FleetLog(fencing=True)
    assert not log.order("load", "a")
    log.apply(RecordAnswers((OrderAnswer("e", "o1", 1, "accepted"),)))
    log.settle("o1", ("a",), 1)
    assert log.backend_item().models == ("a",)
    assert not log.order("unload", "a")
    assert log.backend_item().models == ()
    assert log.incarnation().charged_mib == 60
    assert log.order("load", "b") == ("e: model/b: the memory doesn't suffice",)
    assert log.order("load", "a") == ("e: model/a: another order is open",)
    log.settle("o2", (), 2)
    assert log.incarnation().charged_mib == 0


def test_late_load_is_void_after_a_higher_fence():
    """Guards against memory of a fencing engine that stays reserved forever."""
    log = FleetLog(fencing=True)
    load_twice_and_unload(log)
    assert log.incarnation().ledger.late_mib("model/a") == 60
    log.settle("o2", (), 2)
    assert log.incarnation().charged_mib == 0


def test_late_load_stays_charged_without_fencing_until_the_incarnation_ends():
    """Guards against memory overcommit when an engine without fencing executes a late
    duplicate of a load."""
    log = FleetLog(fencing=False)
    load_twice_and_unload(log)
    log.settle("o2", (), 2)
    assert log.incarnation().charged_mib == 60
    assert log.order("load", "b")
    assert not log.order("load", "a")
    assert log.incarnation().charged_mib == 60
    log.report(ENGINE, life_id="next", sequence=1)
    assert log.incarnation().charged_mib == 0
    assert not log.fleet.open_orders
    assert not log.order("load", "b", ordered_life_id="next")


def test_late_response_ends_the_reservation():
    """Guards against memory that stays reserved for an attempt that was answered."""
    log = FleetLog(fencing=False)
    load_twice_and_unload(log)
    log.settle("o2", (), 2)
    log.apply(RecordAnswers((OrderAnswer("e", "o1", 1, "accepted"),)))
    assert log.incarnation().charged_mib == 0


def test_stale_fence_ends_an_order_that_never_ran():
    """Guards against retrying an order that a fencing engine always rejects."""
    log = FleetLog(fencing=True)
    assert not log.order("load", "a")
    log.apply(RecordAnswers((OrderAnswer("e", "o1", 1, "stale_fence"),)))
    assert not log.fleet.open_orders
    assert log.incarnation().charged_mib == 0


def test_store_limit_counts_open_loads_but_not_of_servers_that_are_down():
    """Guards against a dead engine whose loads use up the weight store's limit."""
    log = FleetLog(fencing=True)
    log.apply(ReportBackends(1, (dataclasses.replace(ENGINE, name="f", life_id="f"),)))
    assert not log.order("load", "a")
    load = RecordOrders(1, (NewOrder("load", "f", "f", "model/b"),))
    assert log.apply(load).refused == (
        "f: model/b: the weight store's limit is reached",
    )
    for event in ("silent", "expired"):
        log.apply(MarkBackends(1, (BackendMark("e", "life", event),)))
    assert log.incarnation().charged_mib == 60
    assert not log.apply(load).refused


def test_leaving_shows_at_once_and_gets_no_order():
    """Guards against new work for a backend server that is about to stop."""
    log = FleetLog(fencing=True)
    log.fleet.pop_view_changes()
    log.report(ENGINE, sequence=2, leaving=True)
    assert log.fleet.pop_view_changes()["backend/e"].state == "leaving"
    assert log.order("load", "a") == ("e: model/a: the backend server is leaving",)
    log.report(ENGINE, sequence=3)
    assert log.backend_item().state == "serving"


def test_old_announcements_change_nothing():
    """Guards against announcements that arrive out of order, of one or two incarnations."""
    log = FleetLog(fencing=True)
    log.report(ENGINE, sequence=5, leaving=True)
    log.report(ENGINE, sequence=4)
    assert log.backend_item().state == "leaving"
    log.report(ENGINE, life_id="next", sequence=1)
    log.report(ENGINE, sequence=6)
    assert log.backend_item().life_id == "next"


def test_credential_of_one_role_displaces_no_server_of_another():
    """Guards against a backend server that replaces one of another role by its name."""
    log = FleetLog(fencing=True)
    log.report(ENGINE, life_id="x", role="s")
    assert log.backend_item().life_id == "life"


@pytest.mark.parametrize("fencing", [True, False])
def test_snapshot_holds_everything(fencing):
    """Guards against a member that restores less than it had."""
    log = FleetLog(fencing=fencing)
    load_twice_and_unload(log)
    copy = Fleet()
    copy.restore(log.fleet.snapshot())
    assert copy.view_items() == log.fleet.view_items()
    assert copy.open_orders == log.fleet.open_orders
    assert copy.lives == log.fleet.lives
    assert copy.snapshot() == log.fleet.snapshot()
