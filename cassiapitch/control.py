"""`cassiapitch-control`: a member of the control group."""

import random
import sys

import anyio

from cassiapitch import codec, process, timers
from cassiapitch.announce import AnnounceRoute
from cassiapitch.controller import Controller
from cassiapitch.controlnode import ControlNode, Parts
from cassiapitch.fleet import FLEET_COMMANDS, Fleet
from cassiapitch.member import Member
from cassiapitch.settings import ControlSettings


def make_parts(settings: ControlSettings) -> Parts:
    """Returns the parts of a member that the log and placement provide."""
    fleet = Fleet()
    return Parts(
        make_member=lambda machine, on_applied: Member(settings, machine, on_applied),
        fleet=fleet,
        fleet_commands=FLEET_COMMANDS,
        make_placement=lambda member: Controller(
            lambda command, timeout_ms: member.propose(
                codec.encode(command), timeout_ms
            ),
            fleet,
            lambda: member.has_lease(timers.now_ms()),
            timers.now_ms,
            settings.placement_policy,
            random.Random(),
        ),
        make_announce_route=lambda deliver: AnnounceRoute(fleet.credentials, deliver),
    )


async def run(settings: ControlSettings, stop: anyio.Event) -> None:
    """Runs the member until `stop` is set."""
    await ControlNode(settings, make_parts(settings), stop).run()


def main(arguments: list[str] | None = None) -> int:
    """Entry point of the program."""
    return process.run("cassiapitch-control", ControlSettings, run, arguments)


if __name__ == "__main__":
    sys.exit(main())
