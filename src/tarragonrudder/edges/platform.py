"""Client of the platform's key-value service: etcd v3's JSON gateway."""

import base64
import json
import typing as t
from dataclasses import dataclass

import httpx

from tarragonrudder.errors import RouterError


class PlatformError(RouterError):
    """A call to the platform failed before it could take effect."""


class PlatformAnswerLost(RouterError):
    """A write was sent and its answer did not come: it may stand."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key's value and its modification revision."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A granted lease and its time to live, in seconds."""

    lease: int
    ttl: float


class PlatformClient:
    """Get, range, compare-and-swap, leases and watches over HTTP with JSON."""

    def __init__(self, address: str, timeout: float) -> None:
        self._timeout = timeout
        self._client = httpx.AsyncClient(base_url=address, timeout=timeout)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def get(self, key: str) -> KeyValue | None:
        """Return a key's value, or None if it does not exist."""
        found = await self._range({"key": _encode(key)})
        return found[0] if found else None

    async def range(self, prefix: str) -> list[KeyValue]:
        """Return all keys that begin with a prefix, in order."""
        body = {"key": _encode(prefix), "range_end": _encode(_end_prefix(prefix))}
        return await self._range(body)

    async def swap(
        self, key: str, expected: int, value: bytes, lease: int = 0
    ) -> int | None:
        """Write a key if its modification revision is still `expected`.

        Returns
        -------
        int or None
            The new revision; None if the key was changed by another writer.

        Raises
        ------
        PlatformError
            If nothing was written.
        PlatformAnswerLost
            If it may have been written.
        """
        put = {"key": _encode(key), "value": base64.b64encode(value).decode()}
        if lease:
            put["lease"] = str(lease)
        compare = {
            "key": _encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected),
        }
        body = {"compare": [compare], "success": [{"request_put": put}]}
        answer = await self._post("/v3/kv/txn", body, writes=True)
        if not answer.get("succeeded", False):
            return None
        return int(answer["header"]["revision"])

    async def grant(self, ttl: float) -> Lease:
        """Ask for a lease that runs `ttl` seconds."""
        answer = await self._post(
            "/v3/lease/grant", {"TTL": str(int(ttl))}, writes=True
        )
        return Lease(int(answer["ID"]), float(answer["TTL"]))

    async def renew(self, lease: int) -> Lease | None:
        """Renew a lease; None if it has lapsed."""
        answer = await self._post("/v3/lease/keepalive", {"ID": str(lease)})
        ttl = float(answer.get("result", {}).get("TTL", 0))
        return Lease(lease, ttl) if ttl > 0 else None

    async def watch(self, prefix: str, revision: int) -> t.AsyncIterator[KeyValue]:
        """Yield changes of keys below a prefix, from a revision on.

        A deleted key is yielded with an empty value.
        """
        create = {
            "key": _encode(prefix),
            "range_end": _encode(_end_prefix(prefix)),
            "start_revision": str(revision),
        }
        body = {"create_request": create}
        timeout = httpx.Timeout(self._timeout, read=None)
        try:
            async with self._client.stream(
                "POST", "/v3/watch", json=body, timeout=timeout
            ) as response:
                async for line in response.aiter_lines():
                    if not line:
                        continue
                    for change in json.loads(line)["result"].get("events", []):
                        yield _decode(change["kv"])
        except (httpx.HTTPError, ValueError, KeyError) as error:
            raise PlatformError(f"the watch broke: {error}; open it again") from error

    async def _range(self, body: dict[str, t.Any]) -> list[KeyValue]:
        answer = await self._post("/v3/kv/range", body)
        return [_decode(item) for item in answer.get("kvs", [])]

    async def _post(
        self, path: str, body: dict[str, t.Any], writes: bool = False
    ) -> dict[str, t.Any]:
        try:
            response = await self._client.post(path, json=body)
            response.raise_for_status()
            return response.json()
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PlatformError(f"the platform is away: {error}; retry") from error
        except (httpx.HTTPError, ValueError) as error:
            if writes:
                message = f"the answer of a write was lost: {error}; read it back"
                raise PlatformAnswerLost(message) from error
            raise PlatformError(f"the platform failed: {error}; retry") from error


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _decode(item: dict[str, t.Any]) -> KeyValue:
    key = base64.b64decode(item["key"]).decode()
    value = base64.b64decode(item.get("value", ""))
    return KeyValue(key, value, int(item.get("mod_revision", 0)))


def _end_prefix(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
