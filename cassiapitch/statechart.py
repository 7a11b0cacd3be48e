"""Interprets the state charts in `charts/`.

A chart is a JSON object: `name`, `initial`, `final` (list of states) and `states`,
which maps each state to its `on` table from event to next state. A library such as
sismic takes 100 to 150 microseconds for a transition, too much for each request. A
table look-up takes less than one microsecond.
"""

import dataclasses
import functools
import json
import pathlib

from cassiapitch import start_files
from cassiapitch.exceptions import ChartError


@dataclasses.dataclass(frozen=True, slots=True)
class Chart:
    """A validated state chart.

    Attributes:
        name: The chart's name, as in its file.
        initial: The state that a new instance of the chart starts in.
        final: States that end the instance.
        transitions: Maps (state, event) to the next state.
    """

    name: str
    initial: str
    final: frozenset[str]
    transitions: dict[tuple[str, str], str]

    def allows(self, state: str, event: str) -> bool:
        """Returns whether there is a transition for `event` in `state`."""
        return (state, event) in self.transitions

    def next_state(self, state: str, event: str) -> str:
        """Returns the state after `event`.

        Raises:
            ChartError: The chart has no such transition.
        """
        try:
            return self.transitions[(state, event)]
        except KeyError:
            raise ChartError(
                f"chart {self.name}: no transition for {event!r} in state {state!r}"
            ) from None


def parse_chart(text: str) -> Chart:
    """Parses and validates a chart.

    Raises:
        ChartError: A state is referenced but not defined, or is unreachable.
    """
    document = json.loads(text)
    states = document["states"]
    transitions = {
        (state, event): target
        for state, definition in states.items()
        for event, target in definition.get("on", {}).items()
    }
    final = frozenset(document.get("final", []))
    referenced = {document["initial"], *final, *transitions.values()}
    if undefined := referenced - states.keys():
        raise ChartError(
            f"chart {document['name']}: undefined states {sorted(undefined)}"
        )
    if unreachable := states.keys() - _reachable(document["initial"], transitions):
        raise ChartError(
            f"chart {document['name']}: unreachable states {sorted(unreachable)}"
        )
    return Chart(document["name"], document["initial"], final, transitions)


def _reachable(initial: str, transitions: dict[tuple[str, str], str]) -> set[str]:
    reached = {initial}
    pending = [initial]
    while pending:
        state = pending.pop()
        for (source, _), target in transitions.items():
            if source == state and target not in reached:
                reached.add(target)
                pending.append(target)
    return reached


@functools.cache
def load_chart(name: str) -> Chart:
    """Loads `charts/<name>.json` of this package."""
    path = pathlib.Path(__file__).parent / "charts" / f"{name}.json"
    return parse_chart(start_files.read_text(path))
