"""Maps API keys to client accounts."""

import hashlib
import hmac

from tarragonrudder.core.domain.fleet import ClientAccount, Configuration


class ApiKeyIndex:
    """Index of the key hashes of one configuration generation.

    It is rebuilt when the generation changes.
    """

    def __init__(self) -> None:
        self._generation = 0
        self._accounts: dict[str, ClientAccount] = {}

    def find(
        self, authorization: str, configuration: Configuration
    ) -> ClientAccount | None:
        """Return the account of an ``Authorization`` header, or None."""
        scheme, _, key = authorization.partition(" ")
        key = key.strip()
        if scheme.lower() != "bearer" or not key:
            return None
        if configuration.generation != self._generation:
            self._rebuild(configuration)
        # Only digests are looked up and compared, so that neither leaks the key
        # through its timing.
        digest = hashlib.sha256(key.encode()).hexdigest()
        account = self._accounts.get(digest)
        if account is None:
            return None
        for known in account.key_hashes:
            if hmac.compare_digest(known, digest):
                return account
        return None

    def _rebuild(self, configuration: Configuration) -> None:
        self._accounts = {}
        for account in configuration.accounts:
            for digest in account.key_hashes:
                self._accounts[digest] = account
        self._generation = configuration.generation
