"""Index of one configuration, built once for look-ups by name."""

from tarragonrudder.core.domain.fleet import ClientAccount, Configuration, ModelRoute


class ConfigurationIndex:
    """Finds accounts and routes of one configuration in constant time."""

    def __init__(self, configuration: Configuration) -> None:
        self.accounts: dict[str, ClientAccount] = {}
        self._model_routes: dict[str, ModelRoute] = {}
        for account in configuration.accounts:
            self.accounts[account.name] = account
        for route in configuration.model_routes:
            self._model_routes[route.name] = route

    def find_account(self, name: str) -> ClientAccount | None:
        """Return the named client account, or None."""
        return self.accounts.get(name)

    def find_model_route(self, name: str) -> ModelRoute | None:
        """Return the route of a model name that callers use, or None."""
        return self._model_routes.get(name)
