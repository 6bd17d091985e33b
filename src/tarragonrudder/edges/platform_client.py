"""Client of the platform's key-value service, through the etcd v3 JSON gateway."""

import base64
import contextlib
import json
import typing as t
from dataclasses import dataclass

import httpx
import trio

from tarragonrudder.core.domain.action import Guard
from tarragonrudder.edges.whole_response import (
    PLAIN_HEADERS,
    TIMEOUTS_PER_CALL,
    fetch,
    read_lines,
    require_plain_encoding,
)
from tarragonrudder.errors import RouterError

# A listing holds a whole configuration, in pieces of up to 1 MB each.
MAX_ANSWER_BYTES = 64 << 20
WATCH_TIMEOUT = 60.0  # seconds without a change after which a watch is reopened


class PlatformError(RouterError):
    """A call to the platform failed; if it was a write, it did not take effect."""


class PlatformOutcomeUnknown(RouterError):
    """A write was sent without a valid response: it may have taken effect."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value and modification revision."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys with a prefix, as of one revision."""

    items: tuple[KeyValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A granted lease and its time to live, in seconds."""

    id: int
    ttl: float


class PlatformClient:
    """Reads, compare-and-swap transactions, leases and watches over HTTP with JSON."""

    def __init__(
        self,
        address: str,
        timeout: float,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._timeout = timeout
        self._client = httpx.AsyncClient(
            base_url=address, timeout=timeout, transport=transport
        )
        self.last_error: str | None = None  # None after a call that succeeded

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def get(self, key: str) -> KeyValue | None:
        """Return a key's value, or None if it does not exist."""
        found = await self._range({"key": _encode(key)})
        return found.items[0] if found.items else None

    async def range(self, prefix: str) -> list[KeyValue]:
        """Return all keys with a prefix, in order."""
        return list((await self.read_prefix(prefix)).items)

    async def read_prefix(self, prefix: str, keys_only: bool = False) -> Listing:
        """Return all keys with a prefix, and the current revision."""
        body: dict[str, t.Any] = {
            "key": _encode(prefix),
            "range_end": _encode(_end_of_prefix(prefix)),
        }
        if keys_only:
            body["keys_only"] = True
        return await self._range(body)

    async def swap(
        self,
        key: str,
        expected: int,
        value: bytes,
        lease: int = 0,
        guards: t.Sequence[Guard] = (),
    ) -> int | None:
        """Write a key if its modification revision is still `expected`.

        The keys of `guards` must also still have the given revisions.

        Returns
        -------
        int or None
            The new revision; None if the key was changed by another writer.

        Raises
        ------
        PlatformError
            If nothing was written.
        PlatformOutcomeUnknown
            If it may have been written.
        """
        put = {"key": _encode(key), "value": base64.b64encode(value).decode()}
        if lease:
            put["lease"] = str(lease)
        compares = [_compare_revision(key, expected)]
        compares += [_compare_revision(guard.key, guard.revision) for guard in guards]
        return await self._transact(compares, [{"request_put": put}])

    async def remove(
        self, keys: t.Sequence[str], marker: str, guards: t.Sequence[Guard]
    ) -> int | None:
        """Delete keys and write `marker` if all guards still hold.

        Returns the same values and raises the same errors as ``swap``.
        """
        operations: list[dict[str, t.Any]] = []
        for key in keys:
            operations.append({"request_delete_range": {"key": _encode(key)}})
        operations.append({"request_put": {"key": _encode(marker), "value": ""}})
        compares = [_compare_revision(guard.key, guard.revision) for guard in guards]
        return await self._transact(compares, operations)

    async def grant(self, ttl: float) -> Lease:
        """Request a lease with a time to live of `ttl` seconds."""
        reply = await self._call("/v3/lease/grant", {"TTL": str(int(ttl))}, writes=True)
        try:
            return Lease(int(reply["ID"]), float(reply["TTL"]))
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformOutcomeUnknown(
                f"invalid lease response: {error!r}; retry"
            ) from error

    async def renew(self, lease: int) -> Lease | None:
        """Renew a lease; return None if it has expired."""
        reply = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        try:
            ttl = float(reply.get("result", {}).get("TTL", 0))
        except (ValueError, AttributeError, TypeError) as error:
            raise PlatformError(
                f"invalid renewal response: {error!r}; retry"
            ) from error
        return Lease(lease, ttl) if ttl > 0 else None

    async def watch(self, prefix: str, revision: int) -> t.AsyncIterator[KeyValue]:
        """Yield changes of keys with a prefix, starting at a revision.

        A deleted key is yielded with an empty value. A watch ends after
        ``WATCH_TIMEOUT`` without a change, so that a silently broken connection
        is detected.
        """
        create = {
            "key": _encode(prefix),
            "range_end": _encode(_end_of_prefix(prefix)),
            "start_revision": str(revision),
        }
        try:
            response = await self._open_watch({"create_request": create})
            async with contextlib.aclosing(response):
                response.raise_for_status()
                require_plain_encoding(response)
                async for line in read_lines(response.aiter_bytes(), MAX_ANSWER_BYTES):
                    if not line:
                        continue
                    result = json.loads(line)["result"]
                    if result.get("canceled"):
                        raise PlatformError("the watch was cancelled; list again")
                    for change in result.get("events", []):
                        yield _decode(change["kv"])
        except httpx.ReadTimeout:
            return  # idle for too long; the caller reopens the watch
        except _RESPONSE_ERRORS as error:
            raise PlatformError(f"the watch failed: {error}; reopen it") from error

    async def _open_watch(self, body: dict[str, t.Any]) -> httpx.Response:
        """Return a watch's response once its head is read, which is due at once."""
        timeout = httpx.Timeout(self._timeout, read=WATCH_TIMEOUT)
        request = self._client.build_request(
            "POST", "/v3/watch", json=body, timeout=timeout, headers=PLAIN_HEADERS
        )
        period = TIMEOUTS_PER_CALL * self._timeout
        with trio.move_on_after(period):
            return await self._client.send(request, stream=True)
        raise PlatformError(f"no watch was opened in {period} s; reopen it")

    async def _range(self, body: dict[str, t.Any]) -> Listing:
        reply = await self._call("/v3/kv/range", body)
        try:
            items = tuple(_decode(item) for item in reply.get("kvs", []))
            return Listing(items, int(reply["header"]["revision"]))
        except _RESPONSE_ERRORS as error:
            raise PlatformError(f"invalid range response: {error!r}; retry") from error

    async def _transact(
        self, compares: list[dict[str, t.Any]], operations: list[dict[str, t.Any]]
    ) -> int | None:
        body = {"compare": compares, "success": operations}
        reply = await self._call("/v3/kv/txn", body, writes=True)
        try:
            if not reply.get("succeeded", False):
                return None
            return int(reply["header"]["revision"])
        except _RESPONSE_ERRORS as error:
            message = f"invalid response to a write: {error!r}; read it back"
            raise PlatformOutcomeUnknown(message) from error

    async def _call(
        self, path: str, body: dict[str, t.Any], writes: bool = False
    ) -> dict[str, t.Any]:
        """Send a request and return the JSON object of its response.

        A write is known to have had no effect only if no connection was made. Any
        other failure, even an error status, may come after the write was applied.
        """
        try:
            response = await fetch(
                self._client, "POST", path, self._timeout, MAX_ANSWER_BYTES, json=body
            )
            response.raise_for_status()
            reply = response.json()
            if not isinstance(reply, dict):
                raise ValueError("not a JSON object")
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            self.last_error = repr(error)
            raise PlatformError(
                f"the platform is unreachable: {error!r}; retry"
            ) from error
        except (httpx.HTTPError, ValueError) as error:
            self.last_error = repr(error)
            if writes:
                message = f"no valid response to a write: {error!r}; read it back"
                raise PlatformOutcomeUnknown(message) from error
            raise PlatformError(
                f"the call to the platform failed: {error!r}; retry"
            ) from error
        self.last_error = None
        return reply


def _compare_revision(key: str, revision: int) -> dict[str, t.Any]:
    return {
        "key": _encode(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(revision),
    }


_RESPONSE_ERRORS = (
    httpx.HTTPError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
)


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _decode(item: dict[str, t.Any]) -> KeyValue:
    key = base64.b64decode(item["key"]).decode()
    value = base64.b64decode(item.get("value", ""))
    return KeyValue(key, value, int(item.get("mod_revision", 0)))


def _end_of_prefix(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
