"""Routes whose requests are forwarded byte for byte, by host and path prefix."""

import dataclasses
import enum
import random
from collections.abc import Iterable, Sequence
from typing import Annotated

from msgspec import Meta

Natural = Annotated[int, Meta(ge=0)]


class Repeat(enum.StrEnum):
    """How a forwarded request may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedRole:
    """A role that gets a share of a route's requests."""

    role: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRoute:
    """Route for the requests of one host below one path prefix.

    Attributes:
        name: Its name in the configuration.
        host: The host that callers name.
        path_prefix: Begins and ends with a slash.
        repeat: How requests may be repeated.
        targets: Roles and their shares of the requests.
        timeout_ms: Time limit of a request.
        objective_ms: Latency objective of a response or of a stream's first event.
        gap_objective_ms: Objective for the longest pause between events; 0 if unset.
        priority: Rank, 0 first.
        attempts_limit_count: Most attempts to send one request to a backend server.
        open: Whether callers need no key.
        first_token_limit_ms: Time after which callers abandon a stream that has not
            begun; None if they wait for the deadline.
        home_regions: Regions whose backend servers may get its requests; empty for
            all.
    """

    name: str
    host: str
    path_prefix: str
    repeat: Repeat
    targets: tuple[WeightedRole, ...]
    timeout_ms: int
    objective_ms: int = 0
    gap_objective_ms: int = 0
    priority: int = 0
    attempts_limit_count: int = 1
    open: bool = False
    first_token_limit_ms: int | None = None
    home_regions: tuple[str, ...] = ()

    @property
    def is_stream(self) -> bool:
        """Whether responses are event streams."""
        return self.repeat in (Repeat.STREAM, Repeat.RESUMABLE_STREAM)

    @property
    def may_be_resumed(self) -> bool:
        """Whether streams may go on at another backend server."""
        return self.repeat is Repeat.RESUMABLE_STREAM

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have run can be sent again from its start."""
        return self.repeat in (Repeat.IDEMPOTENT, Repeat.RESUMABLE_STREAM)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the connections of callers of forwarded requests.

    Attributes:
        head_bytes: Largest request head.
        body_bytes: Largest request body.
        head_timeout_ms: Time limit from a head's first byte to its last.
        idle_timeout_ms: How long a connection may stay open without a request.
    """

    head_bytes: int
    body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


class ForwardTable:
    """Looks up the route of a request by host and path."""

    def __init__(self, routes: Iterable[ForwardRoute]) -> None:
        self._by_host: dict[str, dict[str, ForwardRoute]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> ForwardRoute | None:
        """Returns the route with the longest matching path prefix, or None.

        Args:
            host: The host that the request names.
            path: The request's path without its query.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_role(targets: Sequence[WeightedRole], rng: random.Random) -> str:
    """Picks a random role in proportion to the weights."""
    if len(targets) == 1:
        return targets[0].role
    weights = [target.weight for target in targets]
    return rng.choices([target.role for target in targets], weights)[0]


def find_forward_faults(routes: Iterable[ForwardRoute], roles: set[str]) -> list[str]:
    """Returns all errors in forwarding routes, each with the JSON path of its field."""
    faults = []
    number_by_location: dict[tuple[str, str], int] = {}
    for number, route in enumerate(routes):
        path = f"$.forwards[{number}]"
        first_number = number_by_location.setdefault(
            (route.host, route.path_prefix), number
        )
        if first_number != number:
            faults.append(f"{path}: host and prefix of $.forwards[{first_number}]")
        faults.extend(
            f"{path}.targets: no role {target.role!r}"
            for target in route.targets
            if target.role not in roles
        )
        if any(target.weight < 0 for target in route.targets):
            faults.append(f"{path}.targets: a weight is negative")
        if sum(target.weight for target in route.targets) <= 0:
            faults.append(f"{path}.targets: the weights add up to 0")
        if route.timeout_ms <= 0:
            faults.append(f"{path}.timeout_ms: must be above 0")
    return faults
