"""Start and shutdown of all long-running programs."""

import argparse
import asyncio
import atexit
import contextlib
import dataclasses
import functools
import os
import pathlib
import resource
import sys
from collections.abc import Awaitable, Callable
from typing import Any, NoReturn

import anyio

from cassiapitch import (
    __version__,
    config,
    events,
    process_limits,
    signals,
    socket_retries,
    standard_streams,
    stop_limit,
    task_failures,
)
from cassiapitch.exceptions import CassiapitchError, SettingsError, UnusableFolderError
from cassiapitch.settingswatch import LoadedSettings, SettingsWatch, load_at_start
from cassiapitch.task_failures import Restart, run_task, start

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def run(
    program: str,
    settings_class: type,
    main_function: Callable[..., Awaitable[None]],
    arguments: list[str] | None = None,
    *,
    reloads_settings: bool = False,
    limits_stop: bool = False,
    stop_overrun_ms: int = 0,
) -> int:
    """Reads the settings, runs `main_function` and returns an exit code.

    Args:
        program: Program name for messages and log events.
        settings_class: Data class that the settings file is decoded into.
        main_function: Called with the settings and an event. After SIGTERM or SIGINT
            has set the event, it shuts down gracefully and returns.
        arguments: Command line without the program name.
        reloads_settings: Whether changes of the settings file are applied while the
            process runs; `main_function` then gets a `SettingsWatch` as third argument.
        limits_stop: Whether the process ends within the settings' `grace_s` after
            SIGTERM whatever `main_function` does; it must keep its addresses as long
            as it may write to a data folder.
        stop_overrun_ms: How much longer the stop may take; the process then ends
            with code 1, unless `stop_limit.mark_done` was called.
    """
    signals.hold()
    # Not when this returns: processes that the caller starts would inherit it.
    atexit.register(signals.ignore)
    standard_streams.open_missing()
    with task_failures.logged():
        try:
            return _run_program(
                program,
                settings_class,
                main_function,
                arguments,
                reloads_settings,
                limits_stop,
                stop_overrun_ms,
            )
        finally:
            events.flush()


def end(code: int) -> NoReturn:
    """Ends a process that keeps nothing on disk, without taking its objects apart.

    At the end of a planned stop, that took 0.1 s on an idle machine and 0.3 to 2.2 s
    on a busy one, and the stop exceeded its grace time.
    """
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError):
            stream.flush()
    os._exit(code)


def _run_program(
    program: str,
    settings_class: type,
    main_function: Callable[..., Awaitable[None]],
    arguments: list[str] | None,
    reloads_settings: bool,
    limits_stop: bool,
    stop_overrun_ms: int,
) -> int:
    options = _parse_arguments(program, arguments)
    path = pathlib.Path(options.settings)
    try:
        if options.check_settings:
            process_limits.check(config.load(path, settings_class))
            print(f"{options.settings}: no faults")
            return EXIT_OK
        loaded = _load_settings(path, settings_class)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{program}: {options.settings}: {fault}", file=sys.stderr)
        return EXIT_USAGE
    if loaded is None:
        return EXIT_OK
    settings = loaded.settings
    limit = None
    if limits_stop:
        limit = stop_limit.StopLimit(
            program, settings.name, settings.grace_s, stop_overrun_ms
        )
        signals.call_on_stop(functools.partial(_try_to_begin, limit))
    try:
        events.write_to(settings.log_path)
    except OSError as error:
        print(f"{program}: the log can't be written: {error}", file=sys.stderr)
        return EXIT_USAGE
    _log_start(program, settings)
    if signals.is_stop_requested():
        events.log(events.Event.PROCESS_STOPPED, program=program, name=settings.name)
        return EXIT_OK
    watch = None
    if reloads_settings:
        watch = SettingsWatch(path, settings_class, loaded)
    try:
        _run_event_loop(main_function, settings, watch, limit)
    except Exception as failure:
        return _report_failure(program, failure)
    events.log(
        events.Event.PROCESS_STOPPED,
        program=program,
        name=settings.name,
        peak_memory_bytes=_peak_memory_bytes(),
    )
    return EXIT_OK


def _load_settings(path: pathlib.Path, settings_class: type) -> LoadedSettings | None:
    """Returns the settings, or None if a stop was requested before they could be read.

    Raises:
        SettingsError: They can't be read, have faults, or state too little memory.
    """
    # The read may hang; nothing has been begun that a stop would have to end.
    signals.call_on_stop(functools.partial(os._exit, EXIT_OK))
    try:
        loaded = load_at_start(path, settings_class, signals.is_stop_requested)
    finally:
        signals.call_on_stop(None)
    if loaded is not None:
        process_limits.check(loaded.settings)
    return loaded


def _run_event_loop(
    main_function: Callable[..., Awaitable[None]],
    settings: Any,
    watch: SettingsWatch | None,
    limit: stop_limit.StopLimit | None,
) -> None:
    """Runs the program's tasks, unless a stop is requested before there is a loop."""
    loop = socket_retries.new_event_loop(
        settings.listen_timeout_s, signals.is_stop_requested
    )
    if loop is not None:
        anyio.run(
            _run_until_stopped,
            main_function,
            settings,
            watch,
            limit,
            backend="asyncio",
            backend_options={"loop_factory": lambda: loop},
        )


def _log_start(program: str, settings: Any) -> None:
    """Logs the start and the limits, which are in force from now on."""
    events.log(
        events.Event.PROCESS_STARTED,
        program=program,
        name=settings.name,
        pid=os.getpid(),
        descriptors_limit_count=resource.getrlimit(resource.RLIMIT_NOFILE)[0],
    )
    limits = process_limits.decide(settings)
    process_limits.enforce(limits)
    events.log(events.Event.LIMITS_IN_FORCE, **dataclasses.asdict(limits))


def _report_failure(program: str, failure: Exception) -> int:
    """Logs and prints each error that ended the program; returns its exit code."""
    errors = task_failures.flatten(failure)
    for error in errors:
        events.log(
            events.Event.PROCESS_FAILED,
            program=program,
            reason=str(error),
            task=task_failures.task_name(error),
            **task_failures.describe(error),
            peak_memory_bytes=_peak_memory_bytes(),
        )
        events.flush()
        text = str(error) if isinstance(error, CassiapitchError) else repr(error)
        print(f"{program}: {text}", file=sys.stderr)
    is_final = (SettingsError, UnusableFolderError)
    has_fault = any(isinstance(error, is_final) for error in errors)
    return EXIT_USAGE if has_fault else EXIT_FAILED


def _peak_memory_bytes() -> int:
    """Returns the largest resident memory that this process has had."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def _parse_arguments(program: str, arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument(
        "--settings", required=True, help="settings file, JSON with comments"
    )
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="only check the settings file; exit code 2 if it has faults",
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args(arguments)


async def _run_until_stopped(
    main_function: Callable[..., Awaitable[None]],
    settings: Any,
    watch: SettingsWatch | None,
    limit: stop_limit.StopLimit | None,
) -> None:
    asyncio.get_running_loop().set_exception_handler(task_failures.log_loop_failure)
    stop = anyio.Event()

    async with anyio.create_task_group() as group:
        start(
            group,
            "signals",
            _watch_signals,
            stop,
            watch,
            restart=Restart.AFTER_SYSTEM_ERRORS,
        )
        if limit is not None:
            start(
                group,
                "stop limit",
                _limit_stop,
                stop,
                limit,
                restart=Restart.AFTER_SYSTEM_ERRORS,
            )
        if watch is None:
            await run_task("main", main_function, settings, stop)
        else:
            start(group, "settings", watch.run, restart=Restart.AFTER_SYSTEM_ERRORS)
            await run_task("main", main_function, settings, stop, watch)
        group.cancel_scope.cancel()


def _try_to_begin(limit: stop_limit.StopLimit) -> None:
    # Without a thread now, `_limit_stop` tries again, and logs that.
    with contextlib.suppress(OSError):
        limit.begin()


async def _limit_stop(stop: anyio.Event, limit: stop_limit.StopLimit) -> None:
    limit.watch(asyncio.get_running_loop())
    await stop.wait()
    limit.begin()


async def _watch_signals(stop: anyio.Event, watch: SettingsWatch | None) -> None:
    async with contextlib.aclosing(signals.receive()) as received:
        async for number in received:
            if number in signals.STOP_SIGNALS:
                events.log(events.Event.PROCESS_STOPPING, signal=int(number))
                stop.set()
            elif watch is not None:
                events.log(events.Event.SIGNAL_RECEIVED, signal=int(number))
                watch.request_reload()
