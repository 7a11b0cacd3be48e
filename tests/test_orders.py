"""Tests of the ledger of orders and of the memory they charge at an engine."""

from cassiapitch.orders import Ledger, Order
from cassiapitch.types import OrderKind, OrderOutcome


def adapter_load(name):
    key = f"adapter/{name}"
    return Order(name, 1, 1, OrderKind.LOAD_ADAPTER, "e", "e@1", key, "m", 1, name, 5)


def settle_load(ledger, name):
    ledger.orders[name] = adapter_load(name)
    ledger.record_response(name, 1, accepted=True)
    ledger.settle_answered(name, OrderOutcome.DONE)


def report_names(ledger, *names):
    ledger.apply_report(
        {f"adapter/{name}": 0 for name in names}, {}, (0, 0), fencing=True
    )


def test_report_from_before_a_load_frees_no_slot():
    """Guards against one adapter too many at an engine, which would crash it.

    A report that was made before the load lacks the adapter, so its slot looks free.
    """
    ledger = Ledger()
    for name in ("a", "b"):
        settle_load(ledger, name)
    report_names(ledger, "a")
    assert ledger.charged_keys() == {"adapter/a", "adapter/b"}
    report_names(ledger, "a", "b")
    report_names(ledger, "a")
    assert ledger.charged_keys() == {"adapter/a"}


def test_load_missing_from_reports_is_dropped():
    ledger = Ledger()
    settle_load(ledger, "a")
    for _ in range(3):
        report_names(ledger, "x")
    assert ledger.charged_keys() == {"adapter/x"}
