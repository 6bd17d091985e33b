"""Troubles drawn from a seed: what happens, where, and for how long."""

import contextlib
import random
import signal
import typing as t

import trio

from tests.site.test_odd_entries import ODD_ENTRIES
from tests.site.test_repeated_refusal import make_refusal
from tests.site.upstream import Behavior, UpstreamStandIn
from tests.soak.proxy import Cut, Mode
from tests.soak.world import NodeProcess, World

LONGEST_GAP = 0.6  # seconds between two troubles
SHORTEST, LONGEST = 0.3, 2.5  # seconds that one lasts
SILENCES = (0.8, 1.3)  # seconds, shortest and longest of a sound upstream

OUTAGES = (0.0, 0.2, 1.0)  # seconds of a store that is restored
LONGEST_REWRITE = 1.0  # seconds until operator and upstreams have written again
CUT_FACTOR = 2.0  # a cut lasts longer than others
LIMIT_FACTOR = 3.0  # a limit holds from some seconds after it was first named
RESTS = ((b"0.7",), (b"2",), (b"1", b"3"), (b"0",), (b"soon",), (b"-1",))
LIMITS = (b"0", b"0.5", b"2", b"8", b"40", b"-3", b"nan", b"1e9", b"many")

BEHAVIORS = (
    {"cut_after": 2},
    {"silent_after": 1},
    {"extra": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore"},
    {"reject": 503},
    {"reset": True},
    {"hang": True},
    {"foreign": True},
    {"repeat": make_refusal(503, True)},
    {"repeat": make_refusal(421, False)},
    {"unsigned": True},
    {"status": 500},
)

Trouble: t.TypeAlias = t.Callable[[World, random.Random, float], t.Awaitable[None]]


async def make_trouble(world: World, source: random.Random, length: float) -> None:
    """Begin troubles for `length` seconds; they overlap, and end by themselves."""
    end = trio.current_time() + length
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            trouble = source.choice(TROUBLES)
            lasts = source.uniform(SHORTEST, LONGEST)
            nursery.start_soon(trouble, world, random.Random(source.random()), lasts)
            await trio.sleep(LONGEST_GAP * source.random())


async def kill_node(world: World, source: random.Random, lasts: float) -> None:
    """Kill a node, and start it again at once."""
    with _take_node(world, source) as node:
        if node is None:
            return
        node.disturbed.append(trio.current_time())
        node.signal(signal.SIGKILL)
        while node.code is None:
            await trio.sleep(0.01)
        node.start()
        await _wait_ready(node)
        node.disturbed.append(trio.current_time())


async def pause_node(world: World, source: random.Random, lasts: float) -> None:
    """Stop a node's process for a while."""
    with _take_node(world, source) as node:
        if node is None:
            return
        node.disturbed.append(trio.current_time())
        node.signal(signal.SIGSTOP)
        await trio.sleep(lasts)
        node.signal(signal.SIGCONT)
        node.disturbed.append(trio.current_time())


async def stop_node(world: World, source: random.Random, lasts: float) -> None:
    """Stop a node as planned, and start it again."""
    with _take_node(world, source) as node:
        if node is None:
            return
        await world.stop(node)
        await _wait_ready(node)
        node.disturbed.append(trio.current_time())


async def reload_node(world: World, source: random.Random, lasts: float) -> None:
    """Have a node read its settings again."""
    node = source.choice(world.nodes)
    # A process that has just begun has no handler yet, as on the platform.
    if not node.busy:
        node.signal(signal.SIGHUP)


async def trouble_link(world: World, source: random.Random, lasts: float) -> None:
    """Delay, silence, refuse or reset the way to an upstream."""
    link = world.links[source.choice(world.upstreams).name]
    begun = trio.current_time()
    link.mode = source.choice(list(Mode))
    link.delay = source.choice((0.0, 0.05, 0.3))
    if source.random() < 0.3:
        link.reset()
    await trio.sleep(lasts)
    link.restore()
    link.troubled.append((begun, trio.current_time()))


async def trouble_store(world: World, source: random.Random, lasts: float) -> None:
    """Have the store refuse, fall silent, slow down or drop its history."""
    world.store_troubled.append(trio.current_time())
    how = source.randrange(4)
    if how == 0:
        world.store.refuse = True
    elif how == 1:
        mode = source.choice([Mode.SILENT, Mode.SILENT_ANSWERS])
        for node in world.nodes:
            node.store_link.mode = mode
    elif how == 2:
        for node in world.nodes:
            node.store_link.delay = 0.4
    else:
        world.store.forget()
        _reset_store_links(world)
    await trio.sleep(lasts)
    world.store.refuse = False
    for node in world.nodes:
        node.store_link.restore()
    _reset_store_links(world)
    world.store_troubled.append(trio.current_time())


async def restore_store(world: World, source: random.Random, lasts: float) -> None:
    """Restore the store from a copy some seconds old, at times amid a listing."""
    older = world.store.copy()
    await trio.sleep(lasts)
    world.store_troubled.append(trio.current_time())
    for _ in range(source.randint(1, 2)):
        away = source.choice(OUTAGES)
        world.store.refuse = away > 0.0
        if source.random() < 0.3:
            await _restore_amid_listing(world, older)
        else:
            world.store.restore(older)
        await trio.sleep(away)
        world.store.refuse = False
        await trio.sleep(source.uniform(0.0, LONGEST_REWRITE))
        world.write_again()
    world.store_troubled.append(trio.current_time())


async def _restore_amid_listing(world: World, older: dict[str, object]) -> None:
    restored = trio.Event()

    def restore_once() -> None:
        if not restored.is_set():
            restored.set()
            world.store.restore(older)

    world.store.on_page = restore_once
    world.store.refuse = False
    world.store.forget()
    _reset_store_links(world)
    with trio.move_on_after(LONGEST_REWRITE):
        await restored.wait()
    world.store.on_page = lambda: None


def _reset_store_links(world: World) -> None:
    for node in world.nodes:
        node.store_link.reset()


async def cut_nodes(world: World, source: random.Random, lasts: float) -> None:
    """Cut some nodes, or all but one, from all upstreams."""
    how = source.choice(list(Cut))
    count = source.randint(1, len(world.nodes) - 1)
    nodes = source.sample(world.nodes, count)
    begun = trio.current_time()
    links = [link for node in nodes for link in node.links.values()]
    for link in links:
        link.cut(how)
    await trio.sleep(CUT_FACTOR * lasts)
    for link in links:
        link.restore()
    for link in world.links.values():
        link.troubled.append((begun, trio.current_time()))


async def limit_upstreams(world: World, source: random.Random, lasts: float) -> None:
    """Have some upstreams name limits that change, end, or make no sense."""
    service = source.choice(("engines", "plain"))
    found = [each for each in world.upstreams if each.service == service]
    chosen = source.sample(found, source.randint(1, len(found)))
    for _ in range(source.randint(1, 2)):
        for upstream in chosen:
            world.set_limit(upstream, source.choice(LIMITS))
        await trio.sleep(LIMIT_FACTOR * lasts)
    for upstream in chosen:
        world.set_limit(upstream, None)


async def rest_upstreams(world: World, source: random.Random, lasts: float) -> None:
    """Have some or all upstreams of a service reject requests and ask for a rest."""
    service = source.choice(("engines", "plain"))
    found = [each for each in world.upstreams if each.service == service]
    chosen = source.sample(found, source.randint(1, len(found)))
    for upstream in chosen:
        upstream.behavior = Behavior(reject=503)
        upstream.rests = source.choice(RESTS)
    await trio.sleep(lasts)
    for upstream in chosen:
        upstream.behavior, upstream.rests = Behavior(), ()


async def announce_end(world: World, source: random.Random, lasts: float) -> None:
    """Have an upstream say in its answers that it leaves, and start anew."""
    upstream = source.choice(world.upstreams)
    upstream.leaving = b"1"
    await trio.sleep(CUT_FACTOR * lasts)
    upstream.leaving = None
    upstream.restarts.append(trio.current_time())
    upstream.born += 1
    world.register(upstream)


async def trouble_upstream(world: World, source: random.Random, lasts: float) -> None:
    """Have an upstream misbehave in one way."""
    upstream = source.choice(world.upstreams)
    upstream.behavior = Behavior(**source.choice(BEHAVIORS))
    await trio.sleep(lasts)
    upstream.behavior = Behavior()


async def silence_upstreams(world: World, source: random.Random, lasts: float) -> None:
    """Have one or all sound upstreams of a service fall silent, and go on.

    Engines do so before their first event or amid the stream, others before the
    answer. Where one is silent, the others may be full.
    """
    service = source.choice(("engines", "plain"))
    found = [each for each in world.upstreams if each.service == service]
    all_silent, others_full = source.choice(
        ((True, False), (False, False), (False, True))
    )
    silent = source.choice(found)
    for upstream in found:
        if all_silent or upstream is silent:
            upstream.behavior = Behavior(
                silent_after=source.choice((0, 1, 3)), pause=source.uniform(*SILENCES)
            )
        elif others_full:
            upstream.behavior = Behavior(reject=503)
    await trio.sleep(lasts)
    for upstream in found:
        upstream.behavior = Behavior()


async def drain_upstream(world: World, source: random.Random, lasts: float) -> None:
    """Have an upstream say that it leaves, and come back."""
    upstream = source.choice(world.upstreams)
    world.register(upstream, state="draining")
    await trio.sleep(lasts)
    world.register(upstream)


async def remove_upstream(world: World, source: random.Random, lasts: float) -> None:
    """Remove an upstream's entry for a while, or write nonsense into it."""
    upstream = source.choice(world.upstreams)
    key = f"servers/{upstream.name}"
    if source.random() < 0.5:
        world.store.remove(key)
    else:
        world.store.put(key, source.choice(list(ODD_ENTRIES.values())))
    await trio.sleep(lasts)
    world.register(upstream)


async def write_odd_entry(world: World, source: random.Random, lasts: float) -> None:
    """Have another writer keep an entry of nobody among those of upstreams or nodes."""
    prefix = source.choice(("servers/", "tarragonrudder/nodes/"))
    key = f"{prefix}odd-{next(world.numbers)}"
    world.store.put(key, source.choice(list(ODD_ENTRIES.values())))
    await trio.sleep(lasts)
    world.store.remove(key)


async def add_upstream(world: World, source: random.Random, lasts: float) -> None:
    """Add an upstream of one of the two services."""
    if len(world.upstreams) > 10:
        return
    name = f"x-{next(world.numbers)}"
    if source.random() < 0.5:
        await world.add_upstream(UpstreamStandIn(name, layers=(0, 79)))
    else:
        await world.add_upstream(UpstreamStandIn(name, service="plain"))


async def change_configuration(
    world: World, source: random.Random, lasts: float
) -> None:
    """Write a newer configuration; it may take a key away, or be invalid."""
    how = source.random()
    if how < 0.2:
        world.store.put("op/config", source.choice([b"{", b'{"version": "x"}']))
        await trio.sleep(lasts)
    elif how < 0.5 and "key-2" in world.keys:
        world.keys.remove("key-2")
        world.revoked_at = trio.current_time()
    world.configure()


@contextlib.contextmanager
def _take_node(world: World, source: random.Random) -> t.Iterator[NodeProcess | None]:
    """Keep other troubles from a node; None if too few are free."""
    free = [node for node in world.nodes if not node.busy]
    if len(free) < 2:
        yield None
        return
    node = source.choice(free)
    node.busy = True
    try:
        yield node
    finally:
        node.busy = False


async def _wait_ready(node: NodeProcess) -> None:
    while not await node.is_ready():
        if node.code is not None:
            return
        await trio.sleep(0.05)


TROUBLES: tuple[Trouble, ...] = (
    kill_node,
    pause_node,
    stop_node,
    reload_node,
    trouble_link,
    trouble_link,
    cut_nodes,
    cut_nodes,
    limit_upstreams,
    limit_upstreams,
    trouble_store,
    restore_store,
    restore_store,
    rest_upstreams,
    rest_upstreams,
    trouble_upstream,
    trouble_upstream,
    silence_upstreams,
    silence_upstreams,
    drain_upstream,
    announce_end,
    remove_upstream,
    write_odd_entry,
    add_upstream,
    change_configuration,
)
