"""Defines the deployments, cases and variants that the bench compares."""

import dataclasses
from collections.abc import Callable
from typing import Any

from cassiapitch.experiment import Experiment, Fault, FaultAction, Shift
from demo import plan
from testbed.deployment import Deployment, Options, Size
from testbed.testbed_bundle import TestbedBundle, make_testbed_bundle

DRAIN_MS = 10_000
# Multiplies the demo's load, so that the engines are busy but not overloaded.
LOAD_FACTOR = 2.0
# Each account's load as a share of its rate; the target for refusals within the rate
# applies at this share.
RATE_SHARE = 0.9
# The account that exceeds its rate; it is one of the two large ones.
EXCEEDING_ACCOUNT = "team-portal"
EXCEEDING_FACTOR = 5.0
LOST_ZONE = "zone-3"
# Time for restarting one entry: the balancer's delay, the drain and a start on a busy
# machine.
RESTART_PERIOD_MS = 4_000
# Room for two models per engine, so that the engines of the second role can't hold all
# of its seven models at once, as in both users' deployments.
_STANDIN = {"memory_mib": 16_384}


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """One user's deployment, as described in the design page."""

    name: str
    roles: tuple[str, str]
    engine_counts: tuple[int, int]
    adapter_count: int
    store: dict[str, Any]
    model_count: int = 15
    entry_count: int = 13

    def testbed_bundle(self) -> TestbedBundle:
        """Returns the bundle's content, with rates scaled to the offered load."""
        base = make_testbed_bundle(self.model_count, self.adapter_count, self.roles)
        accounts = {
            name: _scale_account(name, *values)
            for name, values in base.accounts.items()
        }
        return dataclasses.replace(base, accounts=accounts, store=self.store)

    def size(self) -> Size:
        """Returns the number of processes of each kind."""
        return Size(
            entry_count=self.entry_count,
            engine_count=sum(self.engine_counts),
            first_role_count=self.engine_counts[0],
        )


def _scale_account(
    name: str, rate: int, burst: int, weight: int
) -> tuple[int, int, int]:
    """Scales an account's rate and burst so that its load is `RATE_SHARE` of the rate.

    The stand-ins on one machine can't serve the demo's full rates.
    """
    if name == plan.LIMITED_ACCOUNT:
        return rate, burst, weight
    scale = plan.load_share(name) * LOAD_FACTOR / RATE_SHARE
    return int(rate * scale), int(burst * scale), weight


DEPLOYMENTS = (
    DeploymentPlan(
        "spoke-and-saddle",
        ("kit-assistant", "shopfront"),
        (5, 3),
        40,
        {
            "loads_per_s": 1.0,
            "loads_in_flight_count": 2,
            "adapters_in_flight_count": 16,
        },
    ),
    DeploymentPlan(
        "waqa-and-sons",
        ("tray-writer", "tray-desk"),
        (6, 3),
        75,
        {
            "loads_per_s": 1.5,
            "loads_in_flight_count": 8,
            "adapters_in_flight_count": 64,
        },
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """The product, or the product with one policy replaced by a baseline."""

    name: str
    options: Options


def _options(**changes: dict[str, Any]) -> Options:
    return Options(standin=_STANDIN, **changes)


VARIANTS = (
    Variant("product", _options()),
    Variant("fixed-placement", _options(control={"placement_policy": "fixed"})),
    Variant("equal-split", _options(control={"rate_policy": "equal_split"})),
    Variant("round-robin", _options(entry={"routing_policy": "round_robin"})),
    Variant("first-come", _options(entry={"queue_policy": "first_come"})),
)
MakeFaults = Callable[[Deployment, int], tuple[Fault, ...]]


def _fault(at_ms: float, action: FaultAction, target: str) -> Fault:
    return Fault(int(at_ms), action, target)


def _no_faults(_deployment: Deployment, _duration_ms: int) -> tuple[Fault, ...]:
    return ()


def _leader_kill_faults(_: Deployment, duration_ms: int) -> tuple[Fault, ...]:
    return (_fault(0.3 * duration_ms, FaultAction.KILL, "leader"),)


def _zone_loss_faults(deployment: Deployment, duration_ms: int) -> tuple[Fault, ...]:
    names = (*deployment.control, *deployment.entries, *deployment.engines)
    return tuple(
        _fault(0.3 * duration_ms, FaultAction.KILL, name)
        for name in names
        if deployment.zone(name) == LOST_ZONE
    )


def _bundle_roll_faults(_: Deployment, duration_ms: int) -> tuple[Fault, ...]:
    return (_fault(0.4 * duration_ms, FaultAction.ROLL_BUNDLE, "bundle"),)


def _rolling_restart_faults(deployment: Deployment, _: int) -> tuple[Fault, ...]:
    faults = []
    for number, name in enumerate(deployment.entries):
        at_ms = 1_000 + number * RESTART_PERIOD_MS
        faults.append(_fault(at_ms, FaultAction.STOP, name))
        faults.append(_fault(at_ms + 100, FaultAction.START, name))
    return tuple(faults)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A load and the faults that are injected during it.

    Attributes:
        name: Name in results.
        variants: Baseline variants that run the case; the product always runs it.
        faults: Returns the faults for a deployment and a duration in ms.
        factors: Maps accounts to a factor on their load.
        has_shift: Whether the demand for two models changes tenfold.
        minimum_s: Shortest duration of the load that has room for all faults.
    """

    name: str
    variants: tuple[str, ...] = ()
    faults: MakeFaults = _no_faults
    factors: dict[str, float] = dataclasses.field(default_factory=dict)
    has_shift: bool = False
    minimum_s: int = 0


CASES = (
    # Each variant starts with the steady load, so that all variants have the same
    # history when their other cases start.
    Case("steady", tuple(item.name for item in VARIANTS)),
    Case(
        "five-times-rate",
        ("equal-split", "first-come"),
        factors={EXCEEDING_ACCOUNT: EXCEEDING_FACTOR},
    ),
    Case("leader-killed", ("equal-split",), _leader_kill_faults),
    Case("demand-shift", ("fixed-placement", "round-robin"), has_shift=True),
    Case("bundle-rolled", faults=_bundle_roll_faults),
    Case("rolling-restart", faults=_rolling_restart_faults, minimum_s=60),
    Case("zone-lost", faults=_zone_loss_faults),
)
DEFAULT_CASES = ("steady", "five-times-rate", "leader-killed")
# Cases of each variant that run within five minutes for both deployments.
SHORT_RUNS = {
    "product": DEFAULT_CASES,
    "fixed-placement": ("steady",),
    "equal-split": ("steady", "five-times-rate"),
}


def cases_of(
    variant: str, case_names: list[str] | None, *, is_short: bool
) -> list[Case]:
    """Returns the cases that a variant runs."""
    if case_names:
        names = tuple(case_names)
    elif is_short:
        names = SHORT_RUNS.get(variant, ())
    else:
        names = DEFAULT_CASES
    return [
        case
        for case in CASES
        if case.name in names and (variant == "product" or variant in case.variants)
    ]


def make_experiment(
    deployment: Deployment, case: Case, *, duration_ms: int, seed: int
) -> Experiment:
    """Returns a case's experiment; the same seed gives all variants the same calls."""
    testbed_bundle = deployment.testbed_bundle
    base = plan.make_experiment(
        testbed_bundle,
        tuple(deployment.caller_address(name) for name in deployment.entries),
    )
    accounts = tuple(
        dataclasses.replace(
            account, rate_share=RATE_SHARE * case.factors.get(account.name, 1.0)
        )
        for account in base.accounts
    )
    # The first and the last of the 15 models have the same role, so this role's engines
    # must replace one with the other.
    models = list(testbed_bundle.models)
    shifts = (
        Shift(duration_ms // 4, models[-1], 10.0),
        Shift(duration_ms // 4, models[0], 0.1),
    )
    standins = (*deployment.engines, *deployment.services)
    return dataclasses.replace(
        base,
        name=case.name,
        seed=seed,
        duration_ms=duration_ms,
        accounts=accounts,
        accelerators_count=len(deployment.engines),
        standins=tuple(deployment.standin_address(name) for name in standins),
        shifts=shifts if case.has_shift else (),
        faults=case.faults(deployment, duration_ms),
        drain_ms=DRAIN_MS,
    )
