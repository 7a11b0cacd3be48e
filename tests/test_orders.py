from cassiapitch.orders import Ledger, Order
from cassiapitch.types import OrderKind, OrderOutcome


def adapter_load(name):
    key = f"adapter/{name}"
    return Order(name, 1, 1, OrderKind.LOAD_ADAPTER, "e", "e@1", key, "m", 1, name, 5)


def load(ledger, name):
    ledger.orders[name] = adapter_load(name)
    ledger.record_response(name, 1, accepted=True)
    ledger.settle_answered(name, OrderOutcome.DONE)


def take(ledger, *names):
    ledger.apply_report(
        {f"adapter/{name}": 0 for name in names}, {}, (0, 0), fencing=True
    )


def test_report_from_before_a_load_frees_no_place():
    """Guards against one adapter too many at an engine, which would crash."""
    ledger = Ledger()
    for name in ("a", "b"):
        load(ledger, name)
    take(ledger, "a")
    assert ledger.charged_keys() == {"adapter/a", "adapter/b"}
    take(ledger, "a", "b")
    take(ledger, "a")
    assert ledger.charged_keys() == {"adapter/a"}


def test_load_that_never_shows_is_forgotten():
    ledger = Ledger()
    load(ledger, "a")
    for _ in range(3):
        take(ledger, "x")
    assert ledger.charged_keys() == {"adapter/x"}
