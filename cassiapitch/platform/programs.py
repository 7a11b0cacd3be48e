"""The programs on the platform: `python3 -m cassiapitch.platform.programs NAME`."""

from cassiapitch import signals

if __name__ == "__main__":
    # The imports below take most of the start.
    signals.hold()

import dataclasses
import functools
import sys
from collections.abc import Callable
from typing import NoReturn

import anyio

from cassiapitch import process
from cassiapitch.settingswatch import SettingsWatch

ENTRY = "entry"
CONTROL = "control"


def _run_entry(arguments: list[str]) -> int:
    # Each program imports only what it uses: memory and processor time are scarce.
    from cassiapitch import entry, forwarding, seeds, stop_limit
    from cassiapitch.platform.requests import HEADER_CODEC
    from cassiapitch.settings import EntrySettings

    async def run(
        settings: EntrySettings, stop: anyio.Event, watch: SettingsWatch
    ) -> None:
        if settings.caller_listen:
            settings = dataclasses.replace(
                settings, caller_address=seeds.parse_address(settings.caller_listen)
            )
        if settings.readiness_listen:
            settings = dataclasses.replace(
                settings,
                readiness_address=seeds.parse_address(settings.readiness_listen),
            )
        make_caller_server = functools.partial(
            forwarding.make_caller_server,
            HEADER_CODEC,
            stop_requested_ms=signals.stop_requested_ms,
        )
        program = entry.EntryProcess(
            settings, stop, make_caller_server, signals.stop_requested_ms
        )
        watch.subscribe(program.reload)
        await program.run()

    name = "cassiapitch-entry"
    return process.run(
        name,
        EntrySettings,
        run,
        arguments,
        reloads_settings=True,
        limits_stop=True,
        stop_overrun_ms=stop_limit.ENTRY_OVERRUN_MS,
    )


def _run_control(arguments: list[str]) -> int:
    from cassiapitch import asgi, control, seeds, timers
    from cassiapitch.configurations import Configurations
    from cassiapitch.controlnode import ControlNode
    from cassiapitch.fleet import Fleet
    from cassiapitch.order_attempts import OutgoingAttempt
    from cassiapitch.order_sequences import OrderSequences
    from cassiapitch.platform import configuration, controlapi, orders
    from cassiapitch.registrations import Registrations
    from cassiapitch.settings import ControlSettings

    async def run(
        settings: ControlSettings, stop: anyio.Event, watch: SettingsWatch
    ) -> None:
        if settings.admin_listen:
            settings = dataclasses.replace(
                settings, admin_address=seeds.parse_address(settings.admin_listen)
            )

        sequences = OrderSequences()

        async def send_order(
            attempt: OutgoingAttempt, *, fencing: bool, may_send: Callable[[], bool]
        ) -> str | None:
            return await orders.send_order(attempt, settings.name, may_send, sequences)

        def make_app(fleet: Fleet, node: ControlNode) -> asgi.App:
            decode = configuration.make_decoder(settings)
            configurations = Configurations(
                node.member,
                node.state,
                decode,
                settings.tolerated_faults_count or 0,
                timers.now_ms,
            )
            return controlapi.make_app(
                configurations,
                Registrations(node.member, fleet, node.deliver),
                node.zone_drains,
            )

        seed_list = seeds.SeedList(settings.seeds, settings.seed_rpc_port)
        watch.subscribe(lambda changed: seed_list.change(changed.seeds))
        parts = control.make_parts(
            settings, send_order=send_order, make_app=make_app, seed_list=seed_list
        )
        await ControlNode(settings, parts, stop).run()

    name = "cassiapitch-control"
    return process.run(
        name,
        ControlSettings,
        run,
        arguments,
        reloads_settings=True,
        limits_stop=True,
    )


def main(arguments: list[str] | None = None) -> int:
    """Runs the program that the first argument names."""
    program_arguments = sys.argv[1:] if arguments is None else arguments
    programs = {ENTRY: _run_entry, CONTROL: _run_control}
    if not program_arguments or program_arguments[0] not in programs:
        print(f"usage: programs {{{','.join(programs)}}} ...", file=sys.stderr)
        return process.EXIT_USAGE
    try:
        return programs[program_arguments[0]](program_arguments[1:])
    except (ImportError, OSError) as error:
        # Only the imports raise these; after them, `process.run` logs what fails.
        print(f"cassiapitch {program_arguments[0]}: {error!r}", file=sys.stderr)
        is_final = isinstance(error, PermissionError)
        return process.EXIT_USAGE if is_final else process.EXIT_FAILED


def start() -> NoReturn:
    """Runs the program that the command line names, and ends the process."""
    exit_code = main()
    if sys.argv[1:2] == [ENTRY]:
        process.end(exit_code)
    sys.exit(exit_code)


if __name__ == "__main__":
    start()
