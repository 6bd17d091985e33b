import random
from collections import Counter

import pytest

from tarragonrudder.core.domain.chain import Chain, check_chain
from tarragonrudder.core.domain.event import CacheChanged, LoadReported
from tarragonrudder.core.domain.fleet import (
    Configuration,
    Engine,
    LayerRange,
    Link,
    Model,
)
from tarragonrudder.core.selection.plan_cache import PlanCache
from tarragonrudder.core.selection.selector import ChainRequirements, Selector
from tarragonrudder.core.selection.slowness import SlownessTracker

MODEL = Model("m", "1", 8, activation_bytes=1000)
NONE: frozenset[str] = frozenset()


def make_engine(
    name: str, first: int, last: int, speed: float = 800.0, center: str = "x"
) -> Engine:
    layers = LayerRange(first, last)
    return Engine(name, f"http://{name}", center, "k", "m", "1", layers, speed, 64)


def make_selector(
    engines: list[Engine], seed: int = 1, links: tuple[Link, ...] = ()
) -> Selector:
    selector = Selector("x", random.Random(seed))
    selector.configure(
        Configuration(1, "", models=(MODEL,), engines=tuple(engines), links=links)
    )
    return selector


def choose(selector: Selector, now: float = 0.0, **needs: object) -> Chain | None:
    return selector.choose(
        ChainRequirements(MODEL, "p", **{"excluded": NONE, **needs}), now
    )


FOUR = [
    make_engine("a1", 0, 3, 800),
    make_engine("a2", 0, 3, 2400),
    make_engine("b1", 4, 7, 800),
    make_engine("b2", 4, 7, 2400),
]


def test_all_chains_of_random_fleets_run_each_layer_once_in_order() -> None:
    source = random.Random(9)
    for _ in range(40):
        engines = []
        for index in range(12):
            first = source.randrange(8)
            last = source.randrange(first, 8)
            center = source.choice("xyz")
            engines.append(make_engine(f"e{index}", first, last, 500, center))
        links = (Link("x", "y", 0.001, 1e5), Link("y", "z", 0.001, 1e7))
        selector = make_selector(engines, links=links)
        by_name = {engine.name: engine for engine in engines}
        chain: Chain | None = None
        for step in range(10):
            excluded = frozenset(source.sample(sorted(by_name), 3))
            chain = choose(selector, float(step), excluded=excluded, broken_chain=chain)
            if chain is None:
                continue
            check_chain(chain, MODEL, by_name)
            assert not excluded & set(chain.upstreams)
            selector.start(chain)


def test_work_in_flight_follows_the_speeds() -> None:
    selector = make_selector(FOUR)
    count = Counter()
    for _ in range(200):
        chain = choose(selector)
        assert chain is not None
        selector.start(chain)
        count.update(chain.upstreams)
    assert count["a2"] / count["a1"] == pytest.approx(3.0, rel=0.15)
    assert count["b2"] / count["b1"] == pytest.approx(3.0, rel=0.15)


def spread(selector: Selector) -> float:
    """Return the largest in-flight count over the mean, on equal engines."""
    count = Counter()
    for _ in range(60):
        chain = choose(selector)
        assert chain is not None
        selector.start(chain)
        count.update(chain.upstreams)
    return max(count.values()) / (sum(count.values()) / 20)


EQUAL = [make_engine(f"a{index}", 0, 3) for index in range(10)]
EQUAL += [make_engine(f"b{index}", 4, 7) for index in range(10)]


def test_own_work_in_flight_keeps_equal_engines_equally_busy() -> None:
    assert spread(make_selector(EQUAL)) <= 1.5


def test_without_own_work_in_flight_the_spread_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Selector, "start", lambda self, chain: None)
    assert spread(make_selector(EQUAL)) > 1.5


def test_many_nodes_do_not_all_choose_the_one_idle_engine() -> None:
    chosen = Counter()
    for seed in range(100):
        selector = make_selector(EQUAL, seed)
        for engine in EQUAL:
            running = 0 if engine.name in ("a3", "b3") else 20
            selector.handle_load_report(LoadReported(engine.name, running, 0, 1.0), 1.0)
        chain = choose(selector, 1.0)
        assert chain is not None
        chosen.update(chain.upstreams)
    # Four draws of ten engines hit the idle one in 34 of 100 cases.
    assert 10 < chosen["a3"] < 60


def test_reported_load_of_other_nodes_counts_and_fades_with_its_age() -> None:
    def count_a1(age: float) -> int:
        selector = make_selector(EQUAL)
        selector.handle_load_report(LoadReported("a1", 50, 0, 0.0), 0.0)
        found = 0
        for _ in range(400):
            chain = choose(selector, age)
            found += chain is not None and "a1" in chain.upstreams
        return found

    assert count_a1(0.0) == 0
    assert count_a1(60.0) >= count_a1(0.0)


def test_own_work_is_not_counted_again_from_a_report() -> None:
    selector = make_selector(FOUR)
    chain = choose(selector, 1.0)
    assert chain is not None
    for _ in range(10):
        selector.start(chain)
    name = chain.upstreams[0]
    selector.handle_load_report(LoadReported(name, 10, 0, 0.5), 2.0)
    assert selector.describe(chain)["others_in_flight"][0] == 0.0


def test_excluded_is_hard_and_avoided_is_soft() -> None:
    selector = make_selector(FOUR)
    both = frozenset({"a1", "a2"})
    assert choose(selector, excluded=both) is None
    avoided = choose(selector, avoided=both)
    assert avoided is not None
    for _ in range(20):
        chain = choose(selector, 5.0, avoided=frozenset({"a2"}))
        assert chain is not None and "a2" not in chain.upstreams


def test_healthy_stages_of_a_broken_chain_are_kept() -> None:
    selector = make_selector(FOUR)
    broken = choose(selector)
    assert broken is not None
    lost, kept = broken.hops
    chain = choose(selector, excluded=frozenset({lost.upstream}), broken_chain=broken)
    assert chain is not None
    assert chain.hops[1] == kept
    assert chain.hops[0].upstream != lost.upstream


def test_slow_links_are_avoided() -> None:
    engines = [make_engine("a", 0, 3, 800, "x")]
    engines += [make_engine("near", 4, 7, 800, "x"), make_engine("far", 4, 7, 800, "y")]
    links = (Link("x", "y", 0.001, 20_000),)  # 20 tokens/s
    selector = make_selector(engines, links=links)
    count = Counter()
    for _ in range(100):
        chain = choose(selector)
        assert chain is not None
        count.update(chain.upstreams)
    assert count["far"] <= 10


@pytest.mark.parametrize(
    ("events", "cached"),
    [
        ([CacheChanged("a1", 1, "p", True)], ["a1"]),
        ([CacheChanged("a1", 1, "p", True), CacheChanged("a1", 2, "p", False)], []),
        ([CacheChanged("a1", 1, "p", True), CacheChanged("a1", 3, "q", True)], []),
        ([CacheChanged("a1", 5, "q", True), CacheChanged("a1", 4, "p", True)], []),
        (
            [
                CacheChanged("a1", 1, "q", True),
                CacheChanged("a1", 9, "p", True),
                CacheChanged("a1", 10, "r", True),
            ],
            ["a1"],
        ),
    ],
)
def test_cache_events_come_late_and_with_gaps(
    events: list[CacheChanged], cached: list[str]
) -> None:
    selector = make_selector(FOUR)
    chain = choose(selector, excluded=frozenset({"a2"}))
    assert chain is not None
    for event in events:
        selector.handle_cache_change(event, 0.0)
    assert selector.describe(chain, "p")["cached_on"] == cached


def test_a_part_that_is_slow_in_all_of_its_chains_is_found() -> None:
    slowness = SlownessTracker()
    source = random.Random(2)
    for _ in range(600):
        parts = [f"a{source.randrange(5)}", f"b{source.randrange(5)}"]
        gap = 0.2 if "b3" in parts else 0.03
        slowness.observe(Chain("m", "1", ()), parts, gap)
    assert slowness.penalty("b3") > 2.0
    for part in ("a0", "a1", "a2", "a3", "a4", "b0", "b1", "b2", "b4"):
        assert slowness.penalty(part) == 1.0


def test_a_changed_account_does_not_compute_plans_again() -> None:
    plans = PlanCache()
    configuration = Configuration(1, "", models=(MODEL,), engines=tuple(FOUR))
    plans.configure(configuration)
    plan = plans.find(MODEL, NONE, 0.0)
    plans.configure(Configuration(2, "b", models=(MODEL,), engines=tuple(FOUR)))
    assert plans.find(MODEL, NONE, 1.0) is plan
    other = plans.find(MODEL, frozenset({"a1"}), 1.0)
    assert other.bound == pytest.approx(600.0, rel=0.01)
    assert plans.find(MODEL, frozenset({"a2"}), 1.1) is other
