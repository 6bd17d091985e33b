"""Lengths of answers as a node learns them."""

import math
import random

import pytest

from tarragonrudder.core.forwarding.answer_lengths import (
    HALF_LIFE,
    MAX_KEYS,
    MAX_PEERS,
    MAX_SHARED,
    MIN_WEIGHT,
    PEER_LENGTHS_PERIOD,
    REFIT_PERIOD,
    SHARE_PERIOD,
    AnswerLengths,
    Declared,
    Learned,
    LengthKey,
    LengthSums,
    compute_mean,
    compute_remaining,
    compute_reserve,
)

EVENT_TOKENS = 5
USUAL = 216.0
HINTED = LengthKey("engines", "draft", True)
PLAIN = LengthKey("engines", "draft", False)


def draw_answer(source, spread=1.5, error=0.7, median=120.0):
    """Return the tokens of an answer, and the length that its request declares."""
    tokens = median * math.exp(spread * source.gauss(0.0, 1.0))
    declared = tokens * math.exp(error * source.gauss(0.0, 1.0))
    return max(1, round(tokens)), max(1, round(declared))


def teach(lengths, key, count, seed=1, now=0.0, **options):
    source = random.Random(seed)
    for _ in range(count):
        tokens, declared = draw_answer(source, **options)
        told = declared if key.is_declared else 4000
        events = math.ceil(min(tokens, 4000) / EVENT_TOKENS)
        lengths.observe(key, told, events, now)


@pytest.mark.parametrize("count", [0, int(MIN_WEIGHT) - 1])
@pytest.mark.parametrize(
    ("key", "declared", "bound", "tokens"),
    [(HINTED, 300, 400, 300), (HINTED, 300, 200, 200), (PLAIN, 400, 400, 216)],
)
def test_prior_is_what_is_declared(key, declared, bound, tokens, count):
    lengths = AnswerLengths()
    teach(lengths, key, count)
    found = lengths.estimate(key, declared, bound, USUAL, 0.0)
    assert found == Declared(tokens)
    assert compute_mean(found) == compute_reserve(found) == tokens
    assert compute_remaining(found, tokens + 1) == 0


@pytest.mark.parametrize("seed", range(3))
def test_declared_lengths_are_corrected(seed):
    # Load pattern: what one request declares is far off; long from short it tells.
    lengths = AnswerLengths()
    teach(lengths, HINTED, 2000, seed)
    source = random.Random(seed + 100)
    as_declared = as_learned = 0.0
    for _ in range(1000):
        tokens, declared = draw_answer(source)
        found = lengths.estimate(HINTED, declared, 10**6, USUAL, 0.0)
        assert isinstance(found, Learned)
        assert found.tokens_per_event == pytest.approx(EVENT_TOKENS, rel=0.2)
        median = math.exp(found.center) * found.tokens_per_event
        as_declared += math.log(declared / tokens) ** 2
        as_learned += math.log(median / tokens) ** 2
    # The best possible ratio is 1 / (1 + (0.7 / 1.5) ** 2).
    assert as_learned / as_declared < 1.05 / (1.0 + (0.7 / 1.5) ** 2)


def test_undeclared_lengths_keep_the_usual_mean():
    lengths = AnswerLengths()
    teach(lengths, PLAIN, 4000, spread=0.7, median=170.0)
    found = lengths.estimate(PLAIN, 4000, 4000, USUAL, 0.0)
    assert compute_mean(found) == pytest.approx(USUAL, rel=0.05)
    assert compute_reserve(found) > 1.5 * USUAL


@pytest.mark.parametrize("events", [0, 10, 40, 120, 400])
def test_remaining_is_the_mean_of_longer_answers(events):
    length = Learned(math.log(40.0), 1.2, 800.0, 5.0)
    source = random.Random(7)
    longer = []
    for _ in range(60_000):
        total = min(800.0, math.exp(length.center + 1.2 * source.gauss(0.0, 1.0)))
        if total > events:
            longer.append(5.0 * (total - events))
    expected = sum(longer) / len(longer)
    assert compute_remaining(length, events) == pytest.approx(expected, rel=0.06)


@pytest.mark.parametrize("events", [800, 801, 10**9])
def test_nothing_remains_at_the_bound(events):
    assert compute_remaining(Learned(3.0, 0.8, 800.0, 5.0), events) == 0


def test_far_outliers_have_a_bounded_rest():
    length = Learned(1.0, 0.1, 1000.0, 5.0)
    assert 0 <= compute_remaining(length, 900) <= 500


def test_broken_answers_do_not_shorten_the_estimate():
    # Load pattern: engines die in the middle of many answers at once.
    whole, cut, broken = AnswerLengths(), AnswerLengths(), AnswerLengths()
    for lengths in (whole, cut, broken):
        teach(lengths, HINTED, 500)
        lengths.estimate(HINTED, 120, 10**6, USUAL, 0.0)
    source = random.Random(9)
    for _ in range(500):
        tokens, declared = draw_answer(source)
        events = math.ceil(tokens / EVENT_TOKENS)
        half = max(1, events // 2)
        expected = broken.estimate(HINTED, declared, 10**6, USUAL, 0.0)
        whole.observe(HINTED, declared, events, 0.0)
        cut.observe(HINTED, declared, half, 0.0)
        broken.observe(HINTED, declared, half, 0.0, expected)
    centers = [
        lengths.estimate(HINTED, 120, 10**6, USUAL, 2.0 * REFIT_PERIOD).center
        for lengths in (whole, cut, broken)
    ]
    assert abs(centers[2] - centers[0]) < abs(centers[1] - centers[0])


def test_broken_answer_teaches_nothing_at_first():
    lengths = AnswerLengths()
    lengths.observe(HINTED, 100, 5, 0.0, Declared(100))
    assert lengths.snapshot(0.0) == {}


def test_old_answers_fade():
    lengths = AnswerLengths()
    teach(lengths, HINTED, 400, median=120.0)
    now = 5.0 * HALF_LIFE
    teach(lengths, HINTED, 400, seed=2, now=now, median=960.0, error=0.0)
    found = lengths.estimate(HINTED, 960, 10**6, USUAL, now)
    assert math.exp(found.center) * found.tokens_per_event == pytest.approx(
        960, rel=0.2
    )
    assert isinstance(
        lengths.estimate(HINTED, 960, 10**6, USUAL, now + 10.0 * HALF_LIFE), Declared
    )


def test_peers_add_up_once_each():
    # Load pattern: a node that has just started has seen no answer.
    teacher, learner = AnswerLengths(), AnswerLengths()
    teach(teacher, HINTED, 30)
    rows = teacher.snapshot(0.0)
    assert teacher.snapshot(SHARE_PERIOD / 2.0) == {}
    for _ in range(3):
        learner.merge("n2", rows, 1.0)
    learner.merge("n2", {}, 1.0)
    assert isinstance(learner.estimate(HINTED, 99, 400, USUAL, 1.0), Learned)
    assert learner._totals[HINTED].weight == pytest.approx(30.0, rel=0.01)
    assert learner.count_learned() == 1
    assert learner.snapshot(1.0) == {}
    later = 4.0 + PEER_LENGTHS_PERIOD
    assert isinstance(learner.estimate(HINTED, 99, 400, USUAL, later), Declared)


def test_memory_and_messages_are_bounded():
    lengths = AnswerLengths()
    for number in range(MAX_KEYS + 50):
        lengths.observe(LengthKey("s", f"r{number}", True), 100, 20, float(number))
    for number in range(MAX_PEERS + 50):
        lengths.merge(f"n{number}", {HINTED: LengthSums(1, 4, 4, 16, 16, 16, 55)}, 0.0)
    assert len(lengths._own) == MAX_KEYS
    assert len(lengths._peers) == MAX_PEERS
    assert len(lengths.snapshot(0.0)) == MAX_SHARED


@pytest.mark.parametrize(
    ("declared", "events"), [(0, 5), (-3, 5), (9, 0), (9, 1 << 40)]
)
def test_odd_answers_teach_nothing(declared, events):
    lengths = AnswerLengths()
    lengths.observe(HINTED, declared, events, 0.0)
    assert lengths.snapshot(0.0) == {}


@pytest.mark.parametrize(
    ("sums", "is_valid"),
    [
        (LengthSums(2.0, 8.0, 6.0, 32.5, 24.0, 18.5, 44.0), True),
        (LengthSums(), False),
        (LengthSums(-1.0, 8.0, 6.0, 32.0, 24.0, 18.0, 44.0), False),
        (LengthSums(2.0, -8.0, 6.0, 32.5, 24.0, 18.5, 44.0), False),
        (LengthSums(2.0, 8.0, 60.0, 32.5, 24.0, 1800.0, 44.0), False),
        (LengthSums(2.0, 8.0, 6.0, 20.0, 24.0, 18.5, 44.0), False),
        (LengthSums(2.0, 8.0, 6.0, 32.5, 24.0, 10.0, 44.0), False),
        (LengthSums(2.0, 8.0, 6.0, 32.5, math.nan, 18.5, 44.0), False),
        (LengthSums(math.inf, 8.0, 6.0, 32.5, 24.0, 18.5, 44.0), False),
        (LengthSums(2.0, 8.0, 6.0, 32.5, 24.0, 18.5, -1.0), False),
        (LengthSums(1e6, 4e6, 3e6, 17e6, 12e6, 10e6, 2e7), False),
    ],
)
def test_sums_that_no_answers_give(sums, is_valid):
    assert sums.is_valid is is_valid
