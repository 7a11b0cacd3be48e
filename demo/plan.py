"""Defines the load that runs during the demo."""

from cassiapitch.experiment import (
    CallClass,
    CallKind,
    Experiment,
    Lengths,
    LoadAccount,
    Models,
    PrefixSharing,
)
from cassiapitch.settings import Address
from cassiapitch.types import Priority
from testbed.testbed_bundle import TestbedBundle

DURATION_MS = 40_000
LIMITED_ACCOUNT = "store-kiosk"

# Maps each account to the offered load, as a share of its rate, and the weights of its
# call classes. The limited account sends more than its rate.
_ACCOUNT_LOADS: dict[str, tuple[float, dict[str, float]]] = {
    "jersey-shop": (0.12, {"fit-advice": 3, "size-chart": 3, "catalogue": 2}),
    "team-portal": (0.10, {"fit-advice": 2, "shop-answer": 2, "team-order": 3}),
    "club-orders": (0.30, {"shop-answer": 2, "team-order": 2, "catalogue": 1}),
    "mockup-batch": (0.30, {"mockup-batch": 1}),
    LIMITED_ACCOUNT: (4.0, {"shop-answer": 1}),
}

_CLASSES = (
    CallClass(
        "size-chart",
        CallKind.ROUTE,
        deadline_ms=1_000,
        method="GET",
        path="/size-chart",
        open=True,
    ),
    CallClass(
        "catalogue",
        CallKind.ROUTE,
        deadline_ms=1_000,
        method="GET",
        path="/catalogue",
        cost_tokens=5,
    ),
    CallClass(
        "team-order",
        CallKind.ROUTE,
        deadline_ms=5_000,
        path="/orders/team",
        cost_tokens=50,
        idempotency_key=True,
    ),
    CallClass(
        "fit-advice",
        CallKind.CHAT,
        deadline_ms=30_000,
        stream=True,
        prompt=Lengths(200, 0.5, maximum_tokens=2_000),
        answer=Lengths(60, 0.4, maximum_tokens=200),
        prefix_sharing=PrefixSharing(10, 100, 0.7),
    ),
    CallClass(
        "shop-answer",
        CallKind.COMPLETION,
        deadline_ms=30_000,
        prompt=Lengths(100, 0.3, maximum_tokens=300),
        answer=Lengths(40, 0.3, maximum_tokens=100),
    ),
    CallClass(
        "mockup-batch",
        CallKind.COMPLETION,
        deadline_ms=60_000,
        priority=Priority.BATCH,
        prompt=Lengths(300, 0.3, maximum_tokens=1_000),
        answer=Lengths(100, 0.2, maximum_tokens=200),
    ),
)


def make_experiment(
    testbed_bundle: TestbedBundle, entries: tuple[Address, ...]
) -> Experiment:
    """Returns the demo's experiment; the accounts' keys are passed to the run."""
    accounts = tuple(
        LoadAccount(
            name=name,
            rate_tokens_per_s=testbed_bundle.accounts[name][0],
            burst_tokens=testbed_bundle.accounts[name][1],
            rate_share=share,
            class_weights=weights,
        )
        for name, (share, weights) in _ACCOUNT_LOADS.items()
    )
    return Experiment(
        name="demo",
        seed=1,
        duration_ms=DURATION_MS,
        entries=entries,
        accounts=accounts,
        classes=_CLASSES,
        models=Models(
            names=(*testbed_bundle.models, *testbed_bundle.adapters),
            adapters=testbed_bundle.adapters,
        ),
        accelerators_count=8,
        check_text=True,
        health_period_ms=100,
    )


def load_share(account: str) -> float:
    """Returns the demo's load for an account, as a share of the account's rate."""
    return _ACCOUNT_LOADS[account][0]
