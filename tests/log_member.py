"""A member of a control group as a process, controlled by JSON lines on stdin.

Each line is a list: a number, an operation and its arguments. Each answer is a line
on stdout, a list of the same number and the result. Started by tests and by
bench/log_cost.py.
"""

import dataclasses
import json
import sys
import time

import anyio
import anyio.to_thread

from cassiapitch import events, rpc
from cassiapitch.member import Committed, Member
from cassiapitch.settings import Address, ControlPeer, ControlSettings


class CommandListMachine:
    """State machine that keeps all commands in order."""

    def __init__(self):
        self.commands = []
        self.index = 0

    def apply(self, index, time_ms, command):
        assert index > self.index, "an index was applied twice"
        self.index = index
        self.commands.append(command.decode())
        return str(len(self.commands)).encode()

    def snapshot(self):
        return json.dumps([self.index, self.commands]).encode()

    def restore(self, data):
        self.index, self.commands = json.loads(data)


def make_settings(name, ports, folder, **changes):
    """Returns the settings of one of several members on loopback."""
    peers = tuple(
        ControlPeer(other, f"zone-{other}", Address("127.0.0.1", port))
        for other, port in ports.items()
        if other in changes.get("initial", ports)
    )
    own = Address("127.0.0.1", ports[name])
    return ControlSettings(
        name,
        "zone",
        "test",
        str(folder),
        own,
        own,
        peers,
        (),
        changes.get("form", True),
    )


def describe_outcome(outcome):
    name = type(outcome).__name__
    fields = dataclasses.asdict(outcome)
    if isinstance(fields.get("result"), bytes):
        fields["result"] = fields["result"].decode()
    return {"outcome": name, **fields}


class Server:
    """A member with its RPC server; `do` runs one operation."""

    def __init__(self, settings, **options):
        self.state_machine = CommandListMachine()
        self.member = Member(
            settings, self.state_machine, lambda index: None, **options
        )
        self.settings = settings

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        server = await rpc.serve(
            self.member.serve_handlers(), self.settings.rpc_address, None
        )
        try:
            await self.member.run(task_status=task_status)
        finally:
            with anyio.CancelScope(shield=True):
                await server.close()

    async def do(self, operation, *arguments):
        member = self.member
        if operation == "propose":
            outcome = await member.propose(arguments[0].encode(), arguments[1])
        elif operation == "read":
            outcome = await member.read_index(arguments[0])
        elif operation == "status":
            return dataclasses.asdict(member.status())
        elif operation == "commands":
            return self.state_machine.commands
        elif operation == "cpu":
            return time.process_time_ns()
        elif operation == "load":
            return await self.load(*arguments)
        elif operation == "add":
            outcome = await member.add_learner(
                arguments[0], Address("127.0.0.1", arguments[1])
            )
        else:
            outcome = await getattr(member, operation)(*arguments)
        return describe_outcome(outcome)

    async def load(self, proposers_count, each_count, size_bytes):
        """Proposes from several tasks at once; returns how many were committed."""
        command = b"x" * size_bytes
        outcomes = []

        async def propose_some():
            for _ in range(each_count):
                outcomes.append(await self.member.propose(command, 10_000))

        async with anyio.create_task_group() as tasks:
            for _ in range(proposers_count):
                tasks.start_soon(propose_some)
        return sum(isinstance(outcome, Committed) for outcome in outcomes)


async def serve_lines(server, tasks):
    async def handle(number, operation, arguments):
        answer = await server.do(operation, *arguments)
        sys.stdout.write(json.dumps([number, answer]) + "\n")
        sys.stdout.flush()

    while line := await anyio.to_thread.run_sync(sys.stdin.readline):
        number, operation, *arguments = json.loads(line)
        tasks.start_soon(handle, number, operation, arguments)
    tasks.cancel_scope.cancel()


async def main(arguments):
    options = json.loads(arguments)
    settings = make_settings(options["name"], options["ports"], options["folder"])
    server = Server(settings)
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.run)
        sys.stdout.write('"ready"\n')
        sys.stdout.flush()
        await serve_lines(server, tasks)


if __name__ == "__main__":
    events.write_to("/dev/null")
    anyio.run(main, sys.argv[1])
