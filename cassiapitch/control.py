"""Program `cassiapitch-control`: runs one member of the control group."""

from cassiapitch import signals

if __name__ == "__main__":
    # The imports below take most of the start.
    signals.hold()

import dataclasses
import functools
import math
import random
import sys
from collections.abc import Awaitable, Callable

import anyio

from cassiapitch import asgi, codec, joining, order_sender, process, timers
from cassiapitch.announce_route import AnnounceRoute
from cassiapitch.controller import Controller, SendOrderFunction
from cassiapitch.controlnode import ControlNode, ControlNodeParts
from cassiapitch.fleet import Fleet
from cassiapitch.fleet_commands import FLEET_COMMANDS
from cassiapitch.member import Member
from cassiapitch.seeds import SeedList
from cassiapitch.settings import ControlSettings

MakeApp = Callable[[Fleet, ControlNode], asgi.App]


def make_parts(
    settings: ControlSettings,
    *,
    send_order: SendOrderFunction = order_sender.send_order,
    make_app: MakeApp | None = None,
    seed_list: SeedList | None = None,
) -> ControlNodeParts:
    """Returns the parts of a control member that consensus and placement provide.

    Args:
        settings: The process's settings.
        send_order: Attempts to send an order to an engine.
        make_app: Creates the HTTP application of the administration address.
        seed_list: Seeds that may change; those of the settings by default.
    """
    fleet = Fleet()
    seeds = seed_list or SeedList(settings.seeds, settings.seed_rpc_port)
    if seeds.peers:
        settings = dataclasses.replace(settings, initial_members=seeds.peers)

    def tasks(member: Member) -> dict[str, Callable[[], Awaitable[None]]]:
        if settings.tolerated_faults_count is None:
            return {}
        return {
            "admission": functools.partial(joining.ask_for_admission, member, seeds),
            "group size": functools.partial(
                joining.keep_group_size, member, settings.tolerated_faults_count
            ),
        }

    async def leave(member: Member) -> None:
        if settings.tolerated_faults_count is not None:
            await joining.leave_if_replaced(member, settings.tolerated_faults_count)

    return ControlNodeParts(
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
            send_order,
            math.ceil(settings.order_lease_ms),
            has_admission=settings.admission_policy == "shared",
            paces_prompts=settings.prompt_pacing == "shared",
            relieves_backlogs=settings.replica_policy == "backlog",
            loads_by_demand=settings.first_loads == "by_demand",
            further_loads_by_demand=settings.further_loads == "by_demand",
            spares_engines=settings.adapter_engines == "spared",
        ),
        make_announce_route=lambda deliver: AnnounceRoute(fleet.credentials, deliver),
        tasks=tasks,
        leave=leave,
        make_app=None if make_app is None else functools.partial(make_app, fleet),
    )


async def run(settings: ControlSettings, stop: anyio.Event) -> None:
    """Runs the member until `stop` is set."""
    await ControlNode(settings, make_parts(settings), stop).run()


def main(arguments: list[str] | None = None) -> int:
    """Entry point of the program."""
    return process.run(
        "cassiapitch-control", ControlSettings, run, arguments, limits_stop=True
    )


if __name__ == "__main__":
    sys.exit(main())
