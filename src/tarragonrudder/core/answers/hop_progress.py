"""Records when tokens last passed each stage and link at a normal rate."""

from tarragonrudder.core.domain.chain import Chain

MAX_AGE = 30.0  # seconds for which progress is remembered


class HopProgress:
    """Progress of this node's answers, to locate what slows one of them."""

    def __init__(self) -> None:
        self._stages: dict[str, float] = {}
        self._links: dict[tuple[str, str], float] = {}

    def record(self, chain: Chain, now: float) -> None:
        """Record that a token passed a whole chain at a normal rate."""
        stages = chain.upstreams
        for stage in stages:
            self._stages[stage] = now
        for link in zip(stages, stages[1:], strict=False):
            self._links[link] = now

    def find_slow_stages(self, chain: Chain, since: float) -> frozenset[str]:
        """Return the stages to replace in a chain that has been slow since a time.

        A stage or link that other answers passed after `since` is not at
        fault. A slow link is avoided by replacing its downstream stage.
        """
        stages = chain.upstreams
        culprits = []
        for stage in stages:
            if self._stages.get(stage, since) <= since:
                culprits.append(stage)
        for source, target in zip(stages, stages[1:], strict=False):
            if self._links.get((source, target), since) <= since:
                culprits.append(target)
        return frozenset(culprits)

    def tick(self, now: float) -> None:
        """Drop expired records."""
        for stage, at in list(self._stages.items()):
            if now - at > MAX_AGE:
                del self._stages[stage]
        for link, at in list(self._links.items()):
            if now - at > MAX_AGE:
                del self._links[link]
