"""Measures the CPU time of the replicated log with three members on loopback.

Run from the repository's folder: `python -m bench.log_cost`. It prints each process's
CPU time (user and system) per proposal, with many concurrent proposers at the leader
and then at a follower, and per second while the group is idle.
"""

import argparse
import pathlib
import tempfile

import anyio

from cassiapitch.timers import now_ms
from tests.member_group import ProcessMember, named_ports

Members = dict[str, ProcessMember]


async def read_cpu_ns(members: Members) -> dict[str, int]:
    return {name: await member.do("cpu") for name, member in members.items()}


async def find_leader(members: Members) -> str:
    while True:
        for name, member in members.items():
            if (await member.do("status"))["role"] == "leader":
                return name
        await anyio.sleep(0.1)


async def measure_load(
    members: Members, proposer: str, options: argparse.Namespace
) -> None:
    count_per_task = options.proposals // options.concurrent
    count = count_per_task * options.concurrent
    before = await read_cpu_ns(members)
    started_ms = now_ms()
    committed_count = await members[proposer].do(
        "load", options.concurrent, count_per_task, options.bytes
    )
    elapsed_ms = now_ms() - started_ms
    after = await read_cpu_ns(members)
    print(f"{committed_count} of {count} proposals committed in {elapsed_ms} ms:")
    for name in members:
        used_us = (after[name] - before[name]) / 1_000
        print(f"  {name}: {used_us / count:.1f} us of processor time a proposal")


async def measure_idle(members: Members, idle_s: int) -> None:
    before = await read_cpu_ns(members)
    await anyio.sleep(idle_s)
    after = await read_cpu_ns(members)
    for name in members:
        used_ms = (after[name] - before[name]) / 1_000_000
        print(f"  {name}: {used_ms / idle_s:.2f} ms of processor time a second")


async def main(options: argparse.Namespace, folder: pathlib.Path) -> None:
    ports = named_ports("abc")
    members = {name: ProcessMember(name, ports, folder) for name in ports}
    async with anyio.create_task_group() as tasks:
        for member in members.values():
            await tasks.start(member.run)
        leader = await find_leader(members)
        follower = next(name for name in members if name != leader)
        # The first run warms up the connections.
        await members[leader].do("load", options.concurrent, 5, options.bytes)
        print(f"leader is {leader}; {options.concurrent} proposers at the leader:")
        await measure_load(members, leader, options)
        print(f"{options.concurrent} proposers at follower {follower}:")
        await measure_load(members, follower, options)
        print(f"idle for {options.idle_s} s:")
        await measure_idle(members, options.idle_s)
        for member in members.values():
            await member.process.stdin.aclose()


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--proposals", type=int, default=20_000)
    parser.add_argument("--concurrent", type=int, default=100)
    parser.add_argument("--bytes", type=int, default=200)
    parser.add_argument("--idle-s", type=int, default=10)
    return parser.parse_args()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        anyio.run(main, parse(), pathlib.Path(temporary))
