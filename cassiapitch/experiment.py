"""Experiment files of the load tool: schema and validation."""

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
    """Which interface the calls of a class use."""

    CHAT = "chat"
    COMPLETION = "completion"
    ROUTE = "route"


class FaultAction(enum.StrEnum):
    """Faults that the script which runs the processes can inject."""

    KILL = "kill"
    STOP = "stop"
    FREEZE = "freeze"
    START = "start"
    WITHDRAW_KEY = "withdraw_key"
    ROLL_BUNDLE = "roll_bundle"


@dataclasses.dataclass(frozen=True, slots=True)
class Lengths:
    """A log-normal distribution of token counts, limited at both ends.

    Attributes:
        median_tokens: Median length.
        sigma: Standard deviation of the logarithm; with 0 every length is the median.
        minimum_tokens: Shorter lengths are raised to it.
        maximum_tokens: Longer lengths are lowered to it.
    """

    median_tokens: PositiveInt
    sigma: NotNegative = 0.0
    minimum_tokens: PositiveInt = 1
    maximum_tokens: PositiveInt = 32_768


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixSharing:
    """Groups of calls whose prompts share a prefix.

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
        name: Name of the class in results.
        kind: Chat, completion or a route of a plain service.
        deadline_ms: Deadline of the whole answer, from the intended send time.
        first_token_deadline_ms: Longest time to the first token of a streamed answer.
        token_gap_deadline_ms: Longest mean time between tokens of a streamed answer.
        stream: Whether the answer is streamed.
        priority: `batch` calls may wait.
        prompt: Lengths of prompts.
        answer: Requested lengths of answers.
        prefix_sharing: Which prompts share a prefix.
        method: HTTP method of a route.
        path: Path of a route.
        open: Whether the route is called without a key.
        cost_tokens: Tokens of the account's rate that a call of a route costs, as in
            the bundle.
        idempotency_key: Whether each call has an `Idempotency-Key` of its own.
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
        name: Name of the account in the bundle.
        rate_tokens_per_s: Rate of the account in the bundle.
        burst_tokens: Burst of the account in the bundle.
        rate_share: Mean load as a share of the rate; the part above 1 must be refused.
        class_weights: Relative frequency of each class among the account's calls.
        key_path: File with the key, relative to the experiment file.
        key_environment: Environment variable with the key, instead of a file.
        burstiness: Ratio of peak load to mean load; 1 means no peaks.
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
    """Models and adapters that calls request, with a Zipf popularity.

    Attributes:
        names: Models and adapters; the seed ranks them, not their order.
        adapters: Maps each adapter in `names` to its model.
        zipf_exponent: Exponent of the popularity; 0 makes all equally popular.
        seed: Seed of the popularity ranking.
    """

    names: tuple[str, ...]
    adapters: dict[str, str] = dataclasses.field(default_factory=dict)
    zipf_exponent: NotNegative = 1.0
    seed: NaturalInt = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Shift:
    """From `at_ms` on, a model is requested `factor` times as often."""

    at_ms: NaturalInt
    model: str
    factor: Factor = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault that the script which runs the processes injects.

    Attributes:
        at_ms: Time of the fault, from the start of the load.
        action: Kind of fault.
        target: Name of a process, an account or a file, or `leader`.
        duration_ms: Duration of a freeze.
    """

    at_ms: NaturalInt
    action: FaultAction
    target: str
    duration_ms: NaturalInt = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Experiment:
    """One experiment; the same file and seed produce the same calls.

    Attributes:
        name: Name in results.
        seed: Seed of all calls.
        duration_ms: Duration of the load.
        entries: Caller addresses of the entries, used in turn as by a load balancer.
        accounts: Client accounts with their load.
        classes: Classes of calls.
        models: Models that calls request.
        accelerators_count: Accelerators in the system, for the measures.
        standins: Addresses of stand-in backend servers, whose dumps show repeated
            runs and model loads.
        shifts: Changes of popularity during the load.
        check_text: Whether answers are compared with the stand-in engine's text.
        faults: Faults marked in the plots; the load tool itself injects none.
        health_period_ms: Time between health checks of the entries; calls go only to
            healthy ones, as with a load balancer. 0 sends to all of them.
        drain_ms: Longest wait for open calls after the end of the load.
        open_calls_limit_count: Calls beyond this number of open calls are not sent and
            counted as unsent.
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
        """Returns the class of calls with a name."""
        return next(item for item in self.classes if item.name == name)


def load(path: pathlib.Path) -> Experiment:
    """Reads and validates an experiment file.

    Raises:
        SettingsError: The file is invalid; lists each fault with its path.
    """
    experiment: Experiment = config.load(path, Experiment)
    if faults := find_faults(experiment):
        raise SettingsError(faults)
    return experiment


def file_digest(path: pathlib.Path) -> str:
    """Returns the SHA-256 that identifies an experiment file in results."""
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
    """Returns all faults that the types of the fields don't exclude."""
    faults = []
    if not experiment.entries:
        faults.append("$.entries: expected at least one address")
    if not experiment.models.names:
        faults.append("$.models.names: expected at least one name")
    class_names = {item.name for item in experiment.classes}
    if len(class_names) < len(experiment.classes):
        faults.append("$.classes: a name occurs twice")
    for number, call_class in enumerate(experiment.classes):
        faults += _find_class_faults(f"$.classes[{number}]", call_class)
    for number, account in enumerate(experiment.accounts):
        faults += _find_account_faults(f"$.accounts[{number}]", account, class_names)
    for number, shift in enumerate(experiment.shifts):
        if shift.model not in experiment.models.names:
            faults.append(f"$.shifts[{number}].model: not in $.models.names")
    for name in experiment.models.adapters.keys() - set(experiment.models.names):
        faults.append(f"$.models.adapters.{name}: not in $.models.names")
    return faults


def _find_class_faults(path: str, call_class: CallClass) -> list[str]:
    faults = []
    if call_class.kind is CallKind.ROUTE:
        if not call_class.path:
            faults.append(f"{path}.path: missing for a route")
        if call_class.stream:
            faults.append(f"{path}.stream: routes are not streamed")
    else:
        for name in ("prompt", "answer"):
            if getattr(call_class, name) is None:
                faults.append(f"{path}.{name}: missing for kind {call_class.kind}")
        if call_class.open:
            faults.append(f"{path}.open: only routes are open")
    return faults


def _find_account_faults(
    path: str, account: LoadAccount, class_names: set[str]
) -> list[str]:
    faults = [
        f"{path}.class_weights.{name}: no such class"
        for name in account.class_weights.keys() - class_names
    ]
    if not account.class_weights:
        faults.append(f"{path}.class_weights: expected at least one class")
    if (account.key_path is None) == (account.key_environment is None):
        faults.append(f"{path}: give either key_path or key_environment")
    return faults
