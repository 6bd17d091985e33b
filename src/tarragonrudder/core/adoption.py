"""Which configuration is in force: only ever a greater generation."""

from tarragonrudder.core.action import Action, LogDecision
from tarragonrudder.core.fleet import Configuration


class Adoption:
    """Holds the configuration in force on this node."""

    def __init__(self) -> None:
        self._configuration = Configuration()

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; generation 0 before the first."""
        return self._configuration

    def offer(self, configuration: Configuration) -> list[Action]:
        """Adopt a configuration if its generation is greater."""
        if configuration.generation <= self._configuration.generation:
            return []
        self._configuration = configuration
        fields = {
            "generation": configuration.generation,
            "digest": configuration.digest,
        }
        return [LogDecision("configuration_adopted", fields)]
