"""Program `cassiapitch-standin`: a simulated engine or plain service for tests."""

from cassiapitch import signals

if __name__ == "__main__":
    # The imports below take most of the start.
    signals.hold()

import os
import secrets
import sys

import anyio
import httpcore

from cassiapitch import (
    announce_route,
    bytestream,
    events,
    httpserver,
    process,
    timers,
)
from cassiapitch.settings import Address
from cassiapitch.socket_retries import Listeners
from cassiapitch.standin_engine import Engine
from cassiapitch.standin_service import Service
from cassiapitch.standin_settings import StandinSettings
from cassiapitch.types import LifeId, RoleKind

CRASH_EXIT_CODE = 70
ANNOUNCE_TIMEOUT_MS = 1_000
IDLE_CHECK_MS = 50

Backend = Engine | Service


def main() -> int:
    """Runs the program."""
    return process.run("cassiapitch-standin", StandinSettings, serve)


async def serve(settings: StandinSettings, stop: anyio.Event) -> None:
    """Serves until `stop` is set, announces its leaving and finishes all requests."""
    life_id = LifeId(secrets.token_hex(8))
    backend: Backend
    if settings.kind == RoleKind.ENGINE:
        backend = Engine(settings, life_id, crash=lambda: os._exit(CRASH_EXIT_CODE))
    else:
        backend = Service(settings, life_id)
    listeners = Listeners(settings.listen_timeout_s)
    server = httpserver.HttpServer(backend, settings.address, listeners=listeners)
    address = Address(settings.address.ip, server.port)
    events.log(
        events.Event.STANDIN_LISTENING,
        name=settings.name,
        life_id=life_id,
        address=str(address),
    )
    leaving = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        group.start_soon(backend.run)
        group.start_soon(announce_forever, backend, address, leaving)
        await stop.wait()
        backend.leaving = True
        leaving.set()
        await _wait_until_drained(backend, settings.leave_ms)
        server.close()
        group.cancel_scope.cancel()


async def _wait_until_drained(backend: Backend, leave_ms: int) -> None:
    """Waits until no request runs, and at least `leave_ms`.

    Within that time every entry learns that the backend server leaves.
    """
    earliest_exit_ms = timers.now_ms() + leave_ms
    # Polled because requests end in many places; the exit may be slightly late.
    while timers.now_ms() < earliest_exit_ms or not backend.is_idle():  # noqa: ASYNC110
        await anyio.sleep(IDLE_CHECK_MS / 1000)


async def announce_forever(
    backend: Backend, address: Address, leaving: anyio.Event
) -> None:
    """Announces every `announce_ms`, and immediately when `leaving` is set."""
    settings = backend.settings
    sequence = 0
    first_member = 0
    while True:
        if settings.announce_addresses and not backend.faults.pause_announcements:
            sequence += 1
            announcement = backend.announcement(address.ip, address.port, sequence)
            body = announce_route.encode(announcement)
            first_member = await _announce(settings, body, first_member)
        was_leaving = leaving.is_set()
        with anyio.move_on_after(settings.announce_ms / 1000):
            if was_leaving:
                await anyio.sleep_forever()
            await leaving.wait()


async def _announce(settings: StandinSettings, body: bytes, first_member: int) -> int:
    """Posts an announcement to the members in turn until one accepts it.

    Returns the index of that member, or `first_member` if none accepts.
    """
    members = settings.announce_addresses
    for offset in range(len(members)):
        index = (first_member + offset) % len(members)
        if await _post(members[index], settings.credential, body):
            return index
    return first_member


async def _post(member: Address, credential: str, body: bytes) -> bool:
    with anyio.move_on_after(ANNOUNCE_TIMEOUT_MS / 1000):
        try:
            async with httpcore.AsyncConnectionPool(
                http2=False, socket_options=bytestream.OUTGOING_OPTIONS
            ) as pool:
                response = await pool.request(
                    "POST",
                    f"http://{_host(member.ip)}:{member.port}{announce_route.ANNOUNCE_PATH}",
                    headers={
                        "Authorization": f"Bearer {credential}",
                        "Content-Type": "application/json",
                    },
                    content=body,
                )
                return response.status == 202
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return False
    return False


def _host(ip: str) -> str:
    return f"[{ip}]" if ":" in ip else ip


if __name__ == "__main__":
    sys.exit(main())
