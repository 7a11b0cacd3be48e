import random

from cassiapitch import affinity, timers
from cassiapitch.affinity import SharedPrompt
from cassiapitch.header_codec import PromptPart
from cassiapitch.routing import Router
from cassiapitch.types import Priority
from cassiapitch.viewitems import BackendItem

PARTS = (PromptPart("aa", 6_000), PromptPart("bb", 300), PromptPart("own", 900))


def engine(name):
    return BackendItem(
        name, f"{name}@1", "r", "z", "10.0.0.1", 80, "serving", ("m",), (), 64
    )


ENGINES = [engine(f"e{number}") for number in range(4)]


def test_last_part_of_a_prompt_is_its_own():
    shared = affinity.shared_prefix("m", PARTS)
    assert shared.tokens == 6_300
    assert shared == affinity.shared_prefix("m", (*PARTS[:2], PromptPart("other", 5)))
    assert shared.key != affinity.shared_prefix("m/a1", PARTS).key
    assert affinity.shared_prefix("m", PARTS[:1]) == affinity.NOTHING_SHARED


def test_only_the_parts_of_a_lost_engine_move():
    """Guards against caches that are all worth nothing after one engine is lost."""
    lives = [one.life_id for one in ENGINES]
    keys = [f"m|{number}" for number in range(400)]
    before = {key: affinity.preferred_engine(key, lives) for key in keys}
    after = {key: affinity.preferred_engine(key, lives[1:]) for key in keys}
    assert all(after[key] == before[key] for key in keys if before[key] != lives[0])
    shares = [list(before.values()).count(life) for life in lives]
    assert min(shares) > 50


def route(entries, requests, subjects, *, use_shared):
    """Sends prompts of some subjects through some entries to four engines that keep
    what they read; returns the shared tokens that were read again."""
    source = random.Random(5)
    routers = [Router("least_cost", "z", random.Random(n)) for n in range(entries)]
    kept, read = {one.name: set() for one in ENGINES}, 0
    now_ms = timers.now_ms()
    for number in range(requests):
        now_ms += 300
        subject = f"s{source.randrange(subjects)}"
        shared = SharedPrompt(f"m|{subject}", 6_000) if use_shared else SharedPrompt()
        router = source.choice(routers)
        backend = router.choose(ENGINES, Priority.URGENT, (), now_ms, 7_000, shared)
        tokens = 7_000
        if subject in kept[backend.name]:
            tokens = 1_000
        else:
            read += 6_000
            kept[backend.name].add(subject)
        router.prefill.prompt_sent(backend.life_id, str(number), tokens, now_ms)
        router.prefill.first_byte_received(
            backend.life_id, str(number), now_ms + 20 + tokens // 38
        )
    return read


def test_shared_parts_are_read_once_and_not_at_every_engine():
    """Guards against each engine reading the same long parts, at a fleet of entries
    of which each sees a few requests only."""
    subjects = 30
    assert route(40, 1_500, subjects, use_shared=False) > 3 * subjects * 6_000
    assert route(40, 1_500, subjects, use_shared=True) < 1.5 * subjects * 6_000


def test_busy_keeper_is_passed_over():
    """Guards against prompts that queue at one engine since it keeps their parts."""
    router = Router("least_cost", "z", random.Random(1))
    now_ms = timers.now_ms()
    shared = SharedPrompt("m|s", 6_000)
    for one in ENGINES:
        router.prefill.prompt_sent(one.life_id, "learn", 3_800, now_ms)
        router.prefill.first_byte_received(one.life_id, "learn", now_ms + 120)
    kept_at = router.preferred_engine(ENGINES, shared)
    for number in range(5):
        router.prefill.prompt_sent(kept_at.life_id, f"q{number}", 7_000, now_ms)
    chosen = router.choose(ENGINES, Priority.URGENT, (), now_ms, 7_000, shared)
    assert chosen is not kept_at
