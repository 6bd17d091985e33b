"""Rate limits of client accounts that hold over all nodes.

Each account has one owner among the live nodes, which keeps the account's
token bucket. A node asks the owner ahead for as many requests as it measures,
and admits from what it was granted until the grant expires. Beside that each
node admits an equal share of the rate on its own and reports it afterwards, so
that a first request waits for no other node and an absent owner stops nobody.
"""

import math
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.admission.allotment import Allotments, Demand, Grant
from tarragonrudder.core.domain.action import Action, SendPeerMessage
from tarragonrudder.core.domain.event import NodeAddress
from tarragonrudder.core.domain.fleet import ClientAccount
from tarragonrudder.core.domain.message import LimitDemand, LimitGrant, LimitProbe
from tarragonrudder.core.domain.rendezvous import ShardOwners, rank_nodes

SHARD_COUNT = 1024
HORIZON = 4.0  # seconds of measured demand that a node asks for
GRANT_TTL = 5.0  # seconds after which a grant that was not used expires
DEMAND_WINDOW = 2.0  # seconds, time constant of the measured demand
TICK_PERIOD = 1.0  # seconds
REPORT_PERIOD = 2.0  # seconds between reports of what a node admitted itself
NODES_PER_SECOND = 20  # one more second between reports for each so many nodes
MIN_OWNER_COUNT = 7
LOCAL_BURST_PERIOD = 0.05  # seconds of the rate that cover a round trip
MIN_DEMAND_COUNT = 3  # requests from which a new stream's rate is measured
MIN_DEMAND_AGE = 0.1  # seconds
MIN_ASK_PERIOD = 0.1  # seconds
MIN_WISH = 4.0  # requests
MIN_LOCAL_BURST = 3.0  # requests
IDLE_PERIOD = 60.0  # seconds until an unused account is forgotten at the earliest
SWEEP_PERIOD = 10.0  # seconds
SURPLUS_RATIO = 0.25  # part of a grant that must be unneeded to be given back
MAX_RESENT = 8  # messages kept for one owner that can't be reached
CONTACT_PERIOD = 2.5  # seconds that a message, or its loss, tells of a node
CONTACT_COUNT = 6  # nodes heard of lately, from which none is probed
LOST_PERIOD = 1.0  # seconds after a message in which a loss says nothing
PROBES_PER_TICK = 2
SEQUENCE_WINDOW = 256  # messages of one node that may arrive out of order


@dataclass(slots=True)
class _Entry:
    """What this node holds of one account."""

    account: ClientAccount
    local: float
    since: float
    granted: float = 0.0
    granted_until: float = 0.0
    used: float = 0.0
    demand: float = 0.0
    begun: float = 0.0
    count: int = 0
    recent: int = 0
    told: float = 0.0
    wished: float = 0.0
    horizon: float = HORIZON
    share: float = 0.0
    ask_at: float = 0.0


class Limits:
    """Decides whether an account may have one more request on this node."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._owners = ShardOwners(SHARD_COUNT)
        self._owners.set_nodes([name])
        self._nodes = frozenset([name])
        self._period = REPORT_PERIOD
        self._accounts: t.Mapping[str, ClientAccount] = {}
        self._entries: dict[str, _Entry] = {}
        self._allotments = Allotments()
        self._outbox: dict[str, dict[str, Demand]] = {}
        self._lost: dict[str, list[LimitDemand]] = {}
        self._seen: dict[str, set[int]] = {}
        self._sequence = 0
        self._swept_at = 0.0
        self._reported_at = 0.0
        self._probed = 0
        self._heard: dict[str, float] = {}
        self._unreachable: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of accounts held, own and owned."""
        return len(self._entries) + len(self._allotments)

    def configure(self, accounts: t.Mapping[str, ClientAccount]) -> None:
        """Take new accounts into use, by name."""
        self._accounts = accounts
        for name, entry in list(self._entries.items()):
            account = accounts.get(name)
            if account is None:
                del self._entries[name]
                continue
            entry.account = account

    def set_nodes(self, nodes: tuple[NodeAddress, ...], now: float = 0.0) -> None:
        """Replace the list of live nodes."""
        names = {node.name for node in nodes} | {self._name}
        if names != self._nodes:
            self._nodes = frozenset(names)
            # Few owners get few, larger messages; each holds more accounts.
            count = max(MIN_OWNER_COUNT, math.isqrt(len(names)))
            self._owners.set_nodes(rank_nodes("limits", names)[:count])
            self._period = max(REPORT_PERIOD, len(names) / NODES_PER_SECOND)
            self._allotments.note_change(now)
            for record in (self._lost, self._seen, self._heard, self._unreachable):
                for gone in record.keys() - names:
                    del record[gone]

    def take(self, account: ClientAccount, now: float) -> float:
        """Take one request from an account's limit.

        Returns
        -------
        float
            0 if it was there, else the seconds after which to come back.
        """
        entry = self._refill(account, now)
        entry.demand += 1.0 / DEMAND_WINDOW
        entry.count += 1
        entry.recent += 1
        self._ask_ahead(entry, now)
        if entry.granted >= 1.0:
            entry.granted -= 1.0
            return 0.0
        if entry.local >= 1.0:
            entry.local -= 1.0
            entry.used += 1.0
            return 0.0
        return self._estimate_wait(entry, now)

    def flush(self, now: float) -> list[Action]:
        """Return the demands that wait to be sent, one message per owner."""
        actions: list[Action] = []
        for owner, demands in self._outbox.items():
            self._sequence += 1
            items = tuple(demands.values())
            message = LimitDemand(
                self._sequence,
                tuple(item.account for item in items),
                tuple(round(item.used, 3) for item in items),
                tuple(round(item.wanted, 3) for item in items),
                tuple(round(item.rate, 3) for item in items),
            )
            actions.append(SendPeerMessage(owner, message))
        self._outbox.clear()
        return actions

    def handle_peer(self, node: str, message: object, now: float) -> list[Action]:
        """Handle a peer's message about limits."""
        self._heard[node] = now
        self._unreachable.pop(node, None)
        match message:
            case LimitProbe(reply=False):
                return [SendPeerMessage(node, LimitProbe(reply=True))]
            case LimitDemand():
                return self._answer(node, message, now)
            case LimitGrant():
                columns = (message.accounts, message.granted, message.shares)
                for name, granted, share, retry in zip(
                    *columns, message.retries, strict=False
                ):
                    self._merge(Grant(name, granted, share, retry), now)
        return []

    def handle_lost(self, node: str, message: object, now: float) -> None:
        """Note that a message to a node was not delivered."""
        if now - self._heard.get(node, -math.inf) > LOST_PERIOD:
            self._heard.pop(node, None)
            self._unreachable[node] = now
        if isinstance(message, LimitDemand) and node in self._nodes:
            waiting = self._lost.setdefault(node, [])
            waiting.append(message)
            del waiting[:-MAX_RESENT]

    def tick(self, now: float) -> list[Action]:
        """Do the periodic work, once a second."""
        if now - self._reported_at >= self._period - TICK_PERIOD / 2:
            self._reported_at = now
            self._report(now)
        if now - self._swept_at >= SWEEP_PERIOD:
            self._swept_at = now
            self._drop_idle(now)
        actions = self._probe_nodes(now)
        for owner, messages in self._lost.items():
            # The owner tells by the number whether it has counted them.
            actions.extend(SendPeerMessage(owner, message) for message in messages)
        self._lost.clear()
        actions.extend(self.flush(now))
        return actions

    def _refill(self, account: ClientAccount, now: float) -> _Entry:
        entry = self._entries.get(account.name)
        if entry is None:
            entry = _Entry(account, self._local_burst(account), now)
            self._entries[account.name] = entry
        elapsed = now - entry.since
        gained = elapsed * self._local_rate(account)
        entry.local = min(self._local_burst(account), entry.local + gained)
        entry.demand *= math.exp(-elapsed / DEMAND_WINDOW)
        if elapsed > 2 * DEMAND_WINDOW or not entry.count:
            entry.begun = now
            entry.count = 0
        entry.since = now
        if entry.granted > 0.0 and now >= entry.granted_until:
            # The owner puts it back into the bucket.
            entry.used -= entry.granted
            entry.granted = 0.0
        return entry

    def _local_rate(self, account: ClientAccount) -> float:
        return account.requests_per_second / len(self._nodes)

    def _local_burst(self, account: ClientAccount) -> float:
        equal_part = account.burst / len(self._nodes)
        round_trip = account.requests_per_second * LOCAL_BURST_PERIOD
        return max(MIN_LOCAL_BURST, equal_part, round_trip)

    def _ask_ahead(self, entry: _Entry, now: float) -> None:
        held = entry.granted + entry.local
        measured = _measure_demand(entry, now)
        wish = measured * entry.horizon
        if now < entry.ask_at or held >= max(MIN_LOCAL_BURST, wish / 2):
            return
        entry.ask_at = now + 1.0
        wanted = max(MIN_WISH, wish) - entry.granted
        self._tell_owner(entry, wanted, now)

    def _tell_owner(self, entry: _Entry, wanted: float, now: float) -> None:
        name = entry.account.name
        owner = self._owners.find_owner(self._owners.find_shard(name))
        demand = Demand(name, entry.used, wanted, _measure_demand(entry, now))
        entry.used = 0.0
        entry.told = demand.rate
        entry.wished = round(wanted, 3)
        if owner in (None, self._name):
            grant = self._allotments.grant(self._name, demand, entry.account, now)
            self._merge(grant, now)
            return
        waiting = self._outbox.setdefault(owner, {})
        earlier = waiting.get(name)
        if earlier is not None:
            used = earlier.used + demand.used
            demand = Demand(name, used, max(wanted, earlier.wanted), demand.rate)
        waiting[name] = demand

    def _merge(self, grant: Grant, now: float) -> None:
        entry = self._entries.get(grant.account)
        if entry is None:
            return
        if grant.granted > 0.0:
            entry.granted += grant.granted
            entry.granted_until = now + max(GRANT_TTL, 3 * grant.retry)
        entry.share = grant.share
        served = grant.granted >= entry.wished
        entry.ask_at = now + (
            min(grant.retry, MIN_ASK_PERIOD) if served else grant.retry
        )
        entry.horizon = 2 * grant.retry if grant.retry > 0.0 else HORIZON

    def _estimate_wait(self, entry: _Entry, now: float) -> float:
        local = (1.0 - entry.local) / self._local_rate(entry.account)
        if entry.share <= 0.0:
            return local
        lacking = max(0.0, 1.0 - entry.granted) / entry.share
        return min(local, max(entry.ask_at - now, lacking))

    def _answer(self, node: str, message: LimitDemand, now: float) -> list[Action]:
        seen = self._seen.setdefault(node, set())
        repeated = message.sequence in seen
        seen.add(message.sequence)
        if len(seen) > 2 * SEQUENCE_WINDOW:
            newest = max(seen)
            self._seen[node] = {n for n in seen if n > newest - SEQUENCE_WINDOW}
        grants = []
        columns = (message.accounts, message.used, message.wanted, message.rates)
        for name, used, wanted, rate in zip(*columns, strict=False):
            account = self._accounts.get(name)
            if account is None or repeated:
                continue
            demand = Demand(name, used, wanted, rate)
            grant = self._allotments.grant(node, demand, account, now)
            if wanted > 0.0:
                grants.append(grant)
        if not grants:
            return []
        answer = LimitGrant(
            tuple(grant.account for grant in grants),
            tuple(round(grant.granted, 3) for grant in grants),
            tuple(round(grant.share, 3) for grant in grants),
            tuple(round(grant.retry, 3) for grant in grants),
        )
        return [SendPeerMessage(node, answer)]

    def _report(self, now: float) -> None:
        for entry in self._entries.values():
            recent, entry.recent = entry.recent, 0
            measured = recent / self._period
            faded = entry.told > 1.0 and measured < entry.told / 2
            if entry.used == 0.0 and entry.granted == 0.0 and not faded:
                continue
            self._refill(entry.account, now)
            surplus = entry.granted - max(1.0, recent * entry.horizon / self._period)
            if surplus > max(1.0, entry.granted * SURPLUS_RATIO):
                # The traffic went to other nodes: its grant follows it.
                entry.granted -= surplus
                entry.used -= surplus
                faded = True
            if faded and measured < entry.demand:
                entry.demand = measured
                entry.count = 0
            if entry.used != 0.0 or faded:
                self._tell_owner(entry, 0.0, now)

    def _drop_idle(self, now: float) -> None:
        for name, entry in list(self._entries.items()):
            missing = self._local_burst(entry.account) - entry.local
            refilled = missing / self._local_rate(entry.account)
            idle = now - entry.since > max(IDLE_PERIOD, refilled)
            if idle and entry.used == 0.0 and entry.granted == 0.0:
                del self._entries[name]
        self._allotments.drop_idle(now)

    def _probe_nodes(self, now: float) -> list[Action]:
        """Find out which part of the nodes is cut off from this owner."""
        for record in (self._heard, self._unreachable):
            for name, at in list(record.items()):
                if now - at > CONTACT_PERIOD:
                    del record[name]
        lost = len(self._unreachable)
        self._allotments.set_factor(1.0 - lost / (lost + len(self._heard) + 1))
        peers = sorted(self._nodes - {self._name} - self._heard.keys())
        if len(self._heard) >= CONTACT_COUNT or not self._allotments.active:
            return []
        actions: list[Action] = []
        for _ in range(min(PROBES_PER_TICK, len(peers))):
            self._probed += 1
            probed = peers[self._probed % len(peers)]
            actions.append(SendPeerMessage(probed, LimitProbe(reply=False)))
        return actions


def _measure_demand(entry: _Entry, now: float) -> float:
    """Return requests a second, also for a stream that has just begun."""
    if entry.count < MIN_DEMAND_COUNT:
        return entry.demand
    age = max(MIN_DEMAND_AGE, now - entry.begun)
    return entry.demand / (1.0 - math.exp(-age / DEMAND_WINDOW))
