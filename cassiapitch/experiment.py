"""Experiment files of the load tool: their schema and checks."""

import dataclasses
import enum
import hashlib
import os
import pathlib
from typing import Annotated

from msgspec import Meta

from cassiapitch import config
from cassiapitch.exceptions import SettingsError
from cassiapitch.settings import Address, Name, NaturalInt, PositiveInt
from cassiapitch.types import Priority

Share = Annotated[float, Meta(ge=0, le=1)]
NotNegative = Annotated[float, Meta(ge=0)]
Factor = Annotated[float, Meta(gt=0)]
AtLeastOne = Annotated[float, Meta(ge=1)]

LONGEST_RUN_MS = 6 * 3_600_000


class CallKind(enum.StrEnum):
    """What a class of calls asks for."""

    CHAT = "chat"
    COMPLETION = "completion"
    ROUTE = "route"


class FaultAction(enum.StrEnum):
    """What a script that owns the processes does at a set time."""

    KILL = "kill"
    STOP = "stop"
    FREEZE = "freeze"
    START = "start"
    WITHDRAW_KEY = "withdraw_key"
    ROLL_BUNDLE = "roll_bundle"


@dataclasses.dataclass(frozen=True, slots=True)
class Lengths:
    """A log-normal distribution of token counts, cut at both ends.

    Attributes:
        median_tokens: Half of all lengths are below it.
        sigma: Standard deviation of the logarithm; 0 gives the median each time.
        minimum_tokens: Shorter lengths are raised to it.
        maximum_tokens: Longer lengths are lowered to it.
    """

    median_tokens: PositiveInt
    sigma: NotNegative = 0.0
    minimum_tokens: PositiveInt = 1
    maximum_tokens: PositiveInt = 32_768


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixSharing:
    """Groups of calls whose prompts begin alike.

    Attributes:
        group_count: Number of different prefixes.
        prefix_tokens: Length of each prefix.
        share: Share of calls that belong to a group.
    """

    group_count: PositiveInt
    prefix_tokens: PositiveInt
    share: Share = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallClass:
    """Calls of one kind with the same deadlines.

    Attributes:
        name: The class's name in results.
        kind: Chat, completion or a plain service's route.
        deadline_ms: Time for the whole answer, from the intended send time.
        first_token_deadline_ms: Time to the first token of a streamed answer.
        token_gap_deadline_ms: Mean time between tokens of a streamed answer.
        stream: Whether the answer is streamed.
        priority: `batch` calls may wait.
        prompt: Lengths of prompts.
        answer: Lengths of answers asked for.
        prefix_sharing: Which prompts begin alike.
        method: HTTP method of a route.
        path: Path of a route.
        open: Whether the route is called without a key.
        cost_tokens: What the route's call takes of the rate, as in the bundle.
        idempotency_key: Whether each call carries its own `Idempotency-Key`.
    """

    name: Name
    kind: CallKind
    deadline_ms: PositiveInt
    first_token_deadline_ms: PositiveInt | None = None
    token_gap_deadline_ms: PositiveInt | None = None
    stream: bool = False
    priority: Priority = Priority.URGENT
    prompt: Lengths | None = None
    answer: Lengths | None = None
    prefix_sharing: PrefixSharing | None = None
    method: Annotated[str, Meta(pattern=r"^(GET|POST|PUT|PATCH|DELETE)$")] = "POST"
    path: Annotated[str, Meta(pattern=r"^(/\S*)?$")] = ""
    open: bool = False
    cost_tokens: NaturalInt = 0
    idempotency_key: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAccount:
    """A client account and the load that it sends.

    Attributes:
        name: The account's name in the bundle.
        rate_tokens_per_s: Its rate in the bundle.
        burst_tokens: Its burst in the bundle.
        rate_share: Mean load as a share of the rate; above 1 it must be refused.
        class_weights: Share of each class among its calls.
        key_path: File with the key, relative to the experiment file.
        key_environment: Environment variable with the key, instead of a file.
        burstiness: Peak load over mean load; 1 sends evenly.
        burst_ms: Mean length of a peak.
    """

    name: Name
    rate_tokens_per_s: PositiveInt
    burst_tokens: PositiveInt
    rate_share: Factor
    class_weights: dict[str, Factor]
    key_path: str | None = None
    key_environment: str | None = None
    burstiness: AtLeastOne = 1.0
    burst_ms: PositiveInt = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Models:
    """Models and adapters that calls name, by popularity.

    Attributes:
        names: In no order; the seed decides which one is popular.
        adapters: Maps each adapter among the names to its model.
        zipf_exponent: 0 makes all equally popular.
        seed: Seed of the ranking.
    """

    names: tuple[str, ...]
    adapters: dict[str, str] = dataclasses.field(default_factory=dict)
    zipf_exponent: NotNegative = 1.0
    seed: NaturalInt = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Shift:
    """From `at_ms` on a model is asked for `factor` times as often."""

    at_ms: NaturalInt
    model: str
    factor: Factor = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault that the script which owns the processes carries out.

    Attributes:
        at_ms: When, from the start of the load.
        action: What is done.
        target: Name of a process, an account or a file, or `leader`.
        duration_ms: Length of a freeze.
    """

    at_ms: NaturalInt
    action: FaultAction
    target: str
    duration_ms: NaturalInt = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Experiment:
    """One experiment; the same file and seed give the same calls.

    Attributes:
        name: Name in results.
        seed: Seed of all calls.
        duration_ms: Length of the load.
        entries: Caller addresses; calls go to them in turn, as by a balancer.
        accounts: Client accounts with their load.
        classes: Classes of calls.
        models: Models that calls name.
        accelerators_count: Accelerators that serve, for the measures.
        standins: Addresses of stand-in backend servers, whose dumps show doubled
            runs and model moves.
        shifts: Changes of popularity.
        check_text: Whether answers are compared with the stand-in engine's text.
        faults: Marked in the plots; the load tool starts and stops nothing.
        health_period_ms: Time between health checks of the entries; calls go only to
            healthy ones, as by a balancer. 0 sends to all of them.
        drain_ms: Time for open calls after the load's end.
        open_calls_limit_count: More open calls than this are counted as unsent.
        calls_limit_count: The run ends after this many calls.
    """

    name: Name
    seed: NaturalInt
    duration_ms: Annotated[int, Meta(ge=1, le=LONGEST_RUN_MS)]
    entries: tuple[Address, ...]
    accounts: tuple[LoadAccount, ...]
    classes: tuple[CallClass, ...]
    models: Models
    accelerators_count: PositiveInt
    standins: tuple[Address, ...] = ()
    shifts: tuple[Shift, ...] = ()
    check_text: bool = False
    faults: tuple[Fault, ...] = ()
    health_period_ms: NaturalInt = 0
    drain_ms: NaturalInt = 30_000
    open_calls_limit_count: PositiveInt = 1_000
    calls_limit_count: PositiveInt = 1_000_000

    def class_named(self, name: str) -> CallClass:
        """Returns one class."""
        return next(item for item in self.classes if item.name == name)


def load(path: pathlib.Path) -> Experiment:
    """Reads and checks an experiment file.

    Raises:
        SettingsError: Lists each fault with its path.
    """
    experiment: Experiment = config.load(path, Experiment)
    if faults := find_faults(experiment):
        raise SettingsError(faults)
    return experiment


def file_digest(path: pathlib.Path) -> str:
    """Returns the digest by which a result names its experiment file."""
    return hashlib.sha256(path.read_bytes()).hexdigest()


def read_keys(experiment: Experiment, folder: pathlib.Path) -> dict[str, str]:
    """Returns each account's key, from its file or environment variable.

    Raises:
        SettingsError: A key can't be read or is empty.
    """
    keys = {}
    faults = []
    for number, account in enumerate(experiment.accounts):
        path = f"$.accounts[{number}]"
        key = ""
        if account.key_path is not None:
            try:
                key = (folder / account.key_path).read_text("ascii").strip()
            except (OSError, UnicodeDecodeError) as error:
                faults.append(f"{path}.key_path: {error}")
                continue
        elif account.key_environment is not None:
            key = os.environ.get(account.key_environment, "").strip()
        if not key:
            faults.append(f"{path}: the account's key is empty or not set")
        keys[account.name] = key
    if faults:
        raise SettingsError(faults)
    return keys


def find_faults(experiment: Experiment) -> list[str]:
    """Returns every fault that the fields' own types can't express."""
    faults = []
    if not experiment.entries:
        faults.append("$.entries: expected at least one address")
    if not experiment.models.names:
        faults.append("$.models.names: expected at least one name")
    names = {item.name for item in experiment.classes}
    if len(names) < len(experiment.classes):
        faults.append("$.classes: a name occurs twice")
    for number, item in enumerate(experiment.classes):
        faults += _class_faults(f"$.classes[{number}]", item)
    for number, account in enumerate(experiment.accounts):
        faults += _account_faults(f"$.accounts[{number}]", account, names)
    for number, shift in enumerate(experiment.shifts):
        if shift.model not in experiment.models.names:
            faults.append(f"$.shifts[{number}].model: not in $.models.names")
    for name in experiment.models.adapters.keys() - set(experiment.models.names):
        faults.append(f"$.models.adapters.{name}: not in $.models.names")
    return faults


def _class_faults(path: str, item: CallClass) -> list[str]:
    faults = []
    if item.kind is CallKind.ROUTE:
        if not item.path:
            faults.append(f"{path}.path: missing for a route")
        if item.stream:
            faults.append(f"{path}.stream: routes are not streamed")
    else:
        for name in ("prompt", "answer"):
            if getattr(item, name) is None:
                faults.append(f"{path}.{name}: missing for kind {item.kind}")
        if item.open:
            faults.append(f"{path}.open: only routes are open")
    return faults


def _account_faults(path: str, account: LoadAccount, classes: set[str]) -> list[str]:
    faults = [
        f"{path}.class_weights.{name}: no such class"
        for name in account.class_weights.keys() - classes
    ]
    if not account.class_weights:
        faults.append(f"{path}.class_weights: expected at least one class")
    if (account.key_path is None) == (account.key_environment is None):
        faults.append(f"{path}: give either key_path or key_environment")
    return faults
