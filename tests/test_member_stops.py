"""Control members as processes that are stopped in series while they are written to."""

import asyncio
import json
import os
import random
import signal

import pytest

from review.stand import manifests
from review.stand.operator import Operator
from tests import process_signals, soak
from tests.platform_stand import deployment

MEMBERS_COUNT = 5
# Rounds by hand: 50 rounds are a hundred stops and more.
ROUNDS_COUNT = int(os.environ.get("CASSIAPITCH_MEMBER_STOP_ROUNDS", "4"))
STOP_LIMIT_S = deployment.BOUNDS["graceS"]
ANSWER_LIMIT_S = 15
PAUSES_S = (0.0, 1.5)


class MemberWorld:
    """Control members under write load."""

    def __init__(self, seed, record_path):
        self.rng = random.Random(seed)
        self.record = deployment.Record(record_path)
        self.deployment = deployment.Deployment(self.record)
        self.exit_codes = []
        self.cores = []
        self.operator = Operator(
            lambda: [self.deployment.control_address(core) for core in self.cores],
            self.record,
        )

    async def _write(self):
        """Changes the configuration again and again; each change is acknowledged."""
        version = 1
        while True:
            version += 1
            manifest = manifests.plain_manifest(version)
            assert await self.operator.put(manifest, ANSWER_LIMIT_S + STOP_LIMIT_S)

    async def _stop(self, core):
        """Stops a member with signals in series, and starts it again."""
        for _ in range(self.rng.choice((0, 0, 1, 2))):
            self.deployment.signal(core, signal.SIGHUP)
        self.deployment.signal(core, signal.SIGTERM)
        ended = asyncio.Event()

        async def signal_again():
            while not ended.is_set():
                await asyncio.sleep(self.rng.uniform(0, 0.4))
                names = (signal.SIGHUP, signal.SIGTERM)
                self.deployment.signal(core, self.rng.choice(names))

        async with asyncio.TaskGroup() as group:
            if self.rng.random() < 0.5:
                group.create_task(signal_again())
            code = await self.deployment.wait_for_end(core, STOP_LIMIT_S)
            ended.set()
        self.exit_codes.append(code)
        self.deployment.start(core)
        # Nothing can be done about signals that come before.
        while process_signals.ends_by(core.process.pid, signal.SIGTERM):  # noqa: ASYNC110
            await asyncio.sleep(0.001)

    async def play(self):
        """Returns exit codes, logs, and the change that is read back at the end."""
        try:
            zones = deployment.ZONES
            self.cores = [
                self.deployment.add_core(zones[number // 2], bootstrap=True)
                for number in range(MEMBERS_COUNT)
            ]
            self.deployment.set_seeds(self.cores[:3])
            for core in self.cores:
                self.deployment.start(core)
            manifest = manifests.plain_manifest(1)
            assert await self.operator.put(manifest, ANSWER_LIMIT_S)
            writing = asyncio.create_task(self._write())
            for _ in range(ROUNDS_COUNT):
                await asyncio.sleep(self.rng.uniform(*PAUSES_S))
                count = self.rng.choice((1, 1, 2, MEMBERS_COUNT))
                async with asyncio.TaskGroup() as group:
                    for core in self.rng.sample(self.cores, count):
                        group.create_task(self._stop(core))
            await asyncio.sleep(1)
            assert not writing.done(), writing
            writing.cancel()
            self.deployment.check_running()
            content = await self.operator.read_back(ANSWER_LIMIT_S)
            logs = [self.deployment.log_text(core) for core in self.cores]
        finally:
            self.deployment.close()
        return content, logs


@pytest.mark.parametrize("seed", soak.seeds("CASSIAPITCH_MEMBER_STOP_SEEDS", "1"))
def test_members_that_stop_under_write_load_end_as_planned(seed, tmp_path):
    """Guards against links that are opened and tasks that are started in a stop."""
    world = MemberWorld(seed, tmp_path / "record.txt")
    content, logs = asyncio.run(world.play())
    print(f"seed {seed}: {len(world.exit_codes)} stops")
    assert set(world.exit_codes) == {0}
    for text in logs:
        assert "Traceback" not in text, text[text.index("Traceback") :][:3_000]
    version, _ = world.operator.acknowledged
    assert json.loads(content)["version"] >= version
