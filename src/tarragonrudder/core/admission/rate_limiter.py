"""Distributed rate limits of client accounts.

Each account has one owner among the live nodes, which holds the account's
token bucket. A node requests grants from the owner ahead of its measured
demand, and admits requests from a grant until it expires. In addition, each
node admits an equal share of the rate locally and reports it afterwards, so
that a first request waits for no other node and an unreachable owner blocks
nobody.
"""

import math
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.admission.token_buckets import Demand, Grant, TokenBuckets
from tarragonrudder.core.domain.action import Action, SendPeerMessage
from tarragonrudder.core.domain.event import NodeAddress
from tarragonrudder.core.domain.fleet import ClientAccount
from tarragonrudder.core.domain.known_nodes import KnownNodes
from tarragonrudder.core.domain.message import LimitDemand, LimitGrant, LimitProbe
from tarragonrudder.core.domain.rendezvous import ShardOwners, rank_nodes

SHARD_COUNT = 1024  # shards of accounts that are assigned to owners
HORIZON = 4.0  # seconds of measured demand that a node requests
GRANT_TTL = 5.0  # seconds after which an unused grant expires
DEMAND_WINDOW = 2.0  # seconds, time constant of the measured demand
TICK_PERIOD = 1.0  # seconds
REPORT_PERIOD = 2.0  # seconds between reports of locally admitted requests
NODES_PER_SECOND = 20  # the report period is at least 1 s per so many nodes
MIN_OWNER_COUNT = 7  # owning nodes, or the square root of all nodes if larger
LOCAL_BURST_PERIOD = 0.05  # seconds of the rate, to cover a round trip
MIN_DEMAND_COUNT = 3  # requests from which new demand is corrected for its age
MIN_DEMAND_AGE = 0.1  # seconds, minimum age in that correction
MIN_DEMAND_PERIOD = 0.1  # seconds until the next demand after a full grant
MIN_WANTED = 4.0  # requests, minimum that a node aims to hold as a grant
MIN_LOCAL_BURST = 3.0  # requests that a node may always admit locally at once
IDLE_PERIOD = 60.0  # seconds for which an unused account's state is kept at least
SWEEP_PERIOD = 10.0  # seconds between removals of idle state
SURPLUS_RATIO = 0.25  # unneeded fraction of a grant above which it is returned
MAX_UNDELIVERED = 8  # messages kept for resending to an unreachable owner
# Seconds for which a node counts after it left the list. Where leases lapse in an
# outage of the store, nodes register anew within less.
DEPARTURE_PERIOD = 6.0
CONTACT_PERIOD = 2.5  # seconds for which a message or its loss shows reachability
CONTACT_COUNT = 6  # recently reachable nodes, at which probing stops
LOSS_GRACE_PERIOD = 1.0  # seconds after a message in which losses are ignored
MAX_PROBES_PER_TICK = 2
SEQUENCE_WINDOW = 256  # messages of a node that may arrive out of order


@dataclass(slots=True)
class _AccountState:
    """The node's part of one account's limit.

    Attributes
    ----------
    local : float
        Requests that may be admitted without a grant.
    granted : float
        Requests left of the grants, which expire at `granted_until`.
    used : float
        Requests admitted without a grant, less granted ones to be returned; not
        reported to the owner yet.
    demand : float
        Requests per second, as an average that decays over ``DEMAND_WINDOW``.
    count, recent : int
        Requests since `demand_started_at`, and since the last report.
    reported_rate, last_wanted : float
        Rate and wanted requests in the last demand.
    horizon : float
        Seconds of demand that the next demand covers.
    share : float
        Requests per second that the owner's last grant promised.
    """

    account: ClientAccount
    local: float
    refilled_at: float
    granted: float = 0.0
    granted_until: float = 0.0
    used: float = 0.0
    demand: float = 0.0
    demand_started_at: float = 0.0
    count: int = 0
    recent: int = 0
    reported_rate: float = 0.0
    last_wanted: float = 0.0
    horizon: float = HORIZON
    share: float = 0.0
    next_demand_at: float = 0.0


class RateLimiter:
    """Decides whether an account may send one more request to this node."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._owners = ShardOwners(SHARD_COUNT)
        self._owners.set_nodes([name])
        self._nodes = frozenset([name])
        self._listed: frozenset[str] = frozenset()
        self._known = KnownNodes(name, DEPARTURE_PERIOD)
        self._period = REPORT_PERIOD
        self._accounts: t.Mapping[str, ClientAccount] = {}
        self._states: dict[str, _AccountState] = {}
        self._token_buckets = TokenBuckets()
        self._outbox: dict[str, dict[str, Demand]] = {}
        self._undelivered: dict[str, list[LimitDemand]] = {}
        self._seen_sequences: dict[str, set[int]] = {}
        self._sequence = 0
        self._swept_at = 0.0
        self._reported_at = 0.0
        self._probe_count = 0
        self._reachable: dict[str, float] = {}
        self._unreachable: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of accounts with state here, local and owned."""
        return len(self._states) + len(self._token_buckets)

    def configure(self, accounts: t.Mapping[str, ClientAccount]) -> None:
        """Replace the client accounts, by name."""
        self._accounts = accounts
        for name, state in list(self._states.items()):
            account = accounts.get(name)
            if account is None:
                del self._states[name]
                continue
            state.account = account

    def set_nodes(self, nodes: tuple[NodeAddress, ...], now: float = 0.0) -> None:
        """Replace the list of live nodes."""
        self._known.note_listed(self._listed, now)
        self._listed = frozenset(node.name for node in nodes)
        self._update_nodes(now)

    def _update_nodes(self, now: float) -> None:
        names = self._listed | set(self._known.list_names(now))
        if names != self._nodes:
            self._nodes = frozenset(names)
            # With few owners, messages are fewer and larger, but each owner
            # holds more accounts.
            count = max(MIN_OWNER_COUNT, math.isqrt(len(names)))
            self._owners.set_nodes(rank_nodes("limits", names)[:count])
            self._period = max(REPORT_PERIOD, len(names) / NODES_PER_SECOND)
            self._token_buckets.note_owner_change(now)
            for mapping in (
                self._undelivered,
                self._seen_sequences,
                self._reachable,
                self._unreachable,
            ):
                for removed in mapping.keys() - names:
                    del mapping[removed]

    def take(self, account: ClientAccount, now: float) -> float:
        """Take one request from an account's limit.

        Returns
        -------
        float
            0 if the request is admitted, else seconds after which to retry.
        """
        state = self._refill(account, now)
        state.demand += 1.0 / DEMAND_WINDOW
        state.count += 1
        state.recent += 1
        self._request_grant(state, now)
        if state.granted >= 1.0:
            state.granted -= 1.0
            return 0.0
        if state.local >= 1.0:
            state.local -= 1.0
            state.used += 1.0
            return 0.0
        return self._estimate_wait(state, now)

    def flush(self, now: float) -> list[Action]:
        """Return the pending demands, one message per owner."""
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
        self._reachable[node] = now
        self._unreachable.pop(node, None)
        match message:
            case LimitProbe(reply=False):
                return [SendPeerMessage(node, LimitProbe(reply=True))]
            case LimitDemand():
                return self._answer_demand(node, message, now)
            case LimitGrant():
                columns = (message.accounts, message.granted, message.shares)
                for name, granted, share, retry in zip(
                    *columns, message.retries, strict=False
                ):
                    self._apply_grant(Grant(name, granted, share, retry), now)
        return []

    def handle_undelivered(self, node: str, message: object, now: float) -> None:
        """Handle a message to a node that was not delivered."""
        if now - self._reachable.get(node, -math.inf) > LOSS_GRACE_PERIOD:
            self._reachable.pop(node, None)
            self._unreachable[node] = now
        if isinstance(message, LimitDemand) and node in self._nodes:
            pending = self._undelivered.setdefault(node, [])
            pending.append(message)
            del pending[:-MAX_UNDELIVERED]

    def tick(self, now: float) -> list[Action]:
        """Run the periodic tasks; called once a second."""
        self._update_nodes(now)
        if now - self._reported_at >= self._period - TICK_PERIOD / 2:
            self._reported_at = now
            self._report(now)
        if now - self._swept_at >= SWEEP_PERIOD:
            self._swept_at = now
            self._drop_idle(now)
        actions = self._probe_nodes(now)
        for owner, messages in self._undelivered.items():
            # The owner detects duplicates by their sequence number.
            actions.extend(SendPeerMessage(owner, message) for message in messages)
        self._undelivered.clear()
        actions.extend(self.flush(now))
        return actions

    def _refill(self, account: ClientAccount, now: float) -> _AccountState:
        state = self._states.get(account.name)
        if state is None:
            state = _AccountState(account, self._local_burst(account), now)
            self._states[account.name] = state
        elapsed = now - state.refilled_at
        refill = elapsed * self._local_rate(account)
        state.local = min(self._local_burst(account), state.local + refill)
        state.demand *= math.exp(-elapsed / DEMAND_WINDOW)
        if elapsed > 2 * DEMAND_WINDOW or not state.count:
            state.demand_started_at = now
            state.count = 0
        state.refilled_at = now
        if state.granted > 0.0 and now >= state.granted_until:
            # Returned to the owner's bucket with the next demand.
            state.used -= state.granted
            state.granted = 0.0
        return state

    def _local_rate(self, account: ClientAccount) -> float:
        return account.requests_per_second / len(self._nodes)

    def _local_burst(self, account: ClientAccount) -> float:
        equal_part = account.burst / len(self._nodes)
        round_trip = account.requests_per_second * LOCAL_BURST_PERIOD
        return max(MIN_LOCAL_BURST, equal_part, round_trip)

    def _request_grant(self, state: _AccountState, now: float) -> None:
        held = state.granted + state.local
        measured = _measure_demand(state, now)
        target = measured * state.horizon
        if now < state.next_demand_at or held >= max(MIN_LOCAL_BURST, target / 2):
            return
        state.next_demand_at = now + 1.0
        wanted = max(MIN_WANTED, target) - state.granted
        self._send_demand(state, wanted, now)

    def _send_demand(self, state: _AccountState, wanted: float, now: float) -> None:
        name = state.account.name
        owner = self._owners.find_owner(self._owners.find_shard(name))
        demand = Demand(name, state.used, wanted, _measure_demand(state, now))
        state.used = 0.0
        state.reported_rate = demand.rate
        state.last_wanted = round(wanted, 3)
        if owner in (None, self._name):
            grant = self._token_buckets.grant(self._name, demand, state.account, now)
            self._apply_grant(grant, now)
            return
        pending = self._outbox.setdefault(owner, {})
        earlier = pending.get(name)
        if earlier is not None:
            used = earlier.used + demand.used
            demand = Demand(name, used, max(wanted, earlier.wanted), demand.rate)
        pending[name] = demand

    def _apply_grant(self, grant: Grant, now: float) -> None:
        state = self._states.get(grant.account)
        if state is None:
            return
        if grant.granted > 0.0:
            state.granted += grant.granted
            state.granted_until = now + max(GRANT_TTL, 3 * grant.retry)
        state.share = grant.share
        served = grant.granted >= state.last_wanted
        state.next_demand_at = now + (
            min(grant.retry, MIN_DEMAND_PERIOD) if served else grant.retry
        )
        state.horizon = 2 * grant.retry if grant.retry > 0.0 else HORIZON

    def _estimate_wait(self, state: _AccountState, now: float) -> float:
        local = (1.0 - state.local) / self._local_rate(state.account)
        if state.share <= 0.0:
            return local
        lacking = max(0.0, 1.0 - state.granted) / state.share
        return min(local, max(state.next_demand_at - now, lacking))

    def _answer_demand(
        self, node: str, message: LimitDemand, now: float
    ) -> list[Action]:
        seen = self._seen_sequences.setdefault(node, set())
        repeated = message.sequence in seen
        seen.add(message.sequence)
        if len(seen) > 2 * SEQUENCE_WINDOW:
            newest = max(seen)
            self._seen_sequences[node] = {
                n for n in seen if n > newest - SEQUENCE_WINDOW
            }
        grants = []
        columns = (message.accounts, message.used, message.wanted, message.rates)
        for name, used, wanted, rate in zip(*columns, strict=False):
            account = self._accounts.get(name)
            if account is None or repeated:
                continue
            demand = Demand(name, used, wanted, rate)
            grant = self._token_buckets.grant(node, demand, account, now)
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
        for state in self._states.values():
            recent, state.recent = state.recent, 0
            measured = recent / self._period
            demand_fell = (
                state.reported_rate > 1.0 and measured < state.reported_rate / 2
            )
            if state.used == 0.0 and state.granted == 0.0 and not demand_fell:
                continue
            self._refill(state.account, now)
            surplus = state.granted - max(1.0, recent * state.horizon / self._period)
            if surplus > max(1.0, state.granted * SURPLUS_RATIO):
                # The traffic has moved to other nodes: return the unneeded grant.
                state.granted -= surplus
                state.used -= surplus
                demand_fell = True
            if demand_fell and measured < state.demand:
                state.demand = measured
                state.count = 0
            if state.used != 0.0 or demand_fell:
                self._send_demand(state, 0.0, now)

    def _drop_idle(self, now: float) -> None:
        for name, state in list(self._states.items()):
            missing = self._local_burst(state.account) - state.local
            refilled = missing / self._local_rate(state.account)
            idle = now - state.refilled_at > max(IDLE_PERIOD, refilled)
            if idle and state.used == 0.0 and state.granted == 0.0:
                del self._states[name]
        self._token_buckets.drop_idle(now)

    def _probe_nodes(self, now: float) -> list[Action]:
        """Probe nodes to estimate which part of them can't reach this owner."""
        for mapping in (self._reachable, self._unreachable):
            for name, at in list(mapping.items()):
                if now - at > CONTACT_PERIOD:
                    del mapping[name]
        lost = len(self._unreachable)
        self._token_buckets.set_factor(1.0 - lost / (lost + len(self._reachable) + 1))
        peers = sorted(self._nodes - {self._name} - self._reachable.keys())
        if len(self._reachable) >= CONTACT_COUNT or not self._token_buckets.active:
            return []
        actions: list[Action] = []
        for _ in range(min(MAX_PROBES_PER_TICK, len(peers))):
            self._probe_count += 1
            probed = peers[self._probe_count % len(peers)]
            actions.append(SendPeerMessage(probed, LimitProbe(reply=False)))
        return actions


def _measure_demand(state: _AccountState, now: float) -> float:
    """Return the demand in requests per second, also if it started just now."""
    if state.count < MIN_DEMAND_COUNT:
        return state.demand
    age = max(MIN_DEMAND_AGE, now - state.demand_started_at)
    return state.demand / (1.0 - math.exp(-age / DEMAND_WINDOW))
