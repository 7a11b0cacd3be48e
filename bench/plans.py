"""The experiments of the bench and the variants that they compare."""

import dataclasses
from typing import Any

from cassiapitch.experiment import Experiment, Fault, FaultAction, Shift
from cassiapitch.settings import Address
from demo import plan
from testbed.catalogue import Catalogue
from testbed.deployment import Options

DRAIN_MS = 20_000
# Factor on the demo's load; the engines are then busy but not overloaded.
LOAD_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """The product, or the product with one part replaced by its baseline."""

    name: str
    options: Options


# Two models an engine: on the three engines of the second role not all of its seven
# models fit at once, as at both users.
_STANDIN = {"memory_mib": 16_384}


def _options(**changes: dict[str, Any]) -> Options:
    return Options(standin=_STANDIN, **changes)


VARIANTS = (
    Variant("product", _options()),
    Variant("fixed-placement", _options(control={"placement_policy": "fixed"})),
    Variant("equal-split", _options(control={"rate_policy": "equal_split"})),
    Variant("round-robin", _options(entry={"routing_policy": "round_robin"})),
    Variant("first-come", _options(entry={"queue_policy": "first_come"})),
)
SHORT_VARIANTS = ("product", "fixed-placement")


def _faults(duration_ms: int, engine: str, entry: str) -> tuple[Fault, ...]:
    def at(share: float, action: FaultAction, target: str, **extra: Any) -> Fault:
        return Fault(int(share * duration_ms), action, target, **extra)

    return (
        at(0.30, FaultAction.KILL, "leader"),
        at(0.45, FaultAction.KILL, engine),
        at(0.55, FaultAction.START, engine),
        at(0.60, FaultAction.ROLL_BUNDLE, "bundle"),
        at(0.70, FaultAction.STOP, entry),
        at(0.80, FaultAction.FREEZE, "entry-1", duration_ms=3_000),
    )


def experiment(
    catalogue: Catalogue,
    entries: tuple[Address, ...],
    standins: tuple[Address, ...],
    *,
    duration_ms: int,
    with_faults: bool,
) -> Experiment:
    """Returns the bench's load: the demo's, more of it, with a shift of demand."""
    base = plan.experiment(catalogue, entries)
    accounts = tuple(
        dataclasses.replace(account, rate_share=account.rate_share * LOAD_FACTOR)
        if account.name != plan.LIMITED_ACCOUNT
        else account
        for account in base.accounts
    )
    shift = Shift(duration_ms // 4, list(catalogue.models)[-1], 10.0)
    faults = _faults(duration_ms, "engine-1", f"entry-{len(entries)}")
    return dataclasses.replace(
        base,
        name="bench-faults" if with_faults else "bench",
        duration_ms=duration_ms,
        accounts=accounts,
        standins=standins,
        shifts=(shift,),
        faults=faults if with_faults else (),
        drain_ms=DRAIN_MS,
    )
