"""KV caches of the stand-in engines: how many positions each stage holds."""

import typing as t
from dataclasses import dataclass, field

import httpx


@dataclass(slots=True)
class CacheEntry:
    """The KV cache of one request on one stage; `length` is in positions."""

    attempt: int
    first: int
    last: int
    length: int


@dataclass(slots=True)
class KvCaches:
    """The KV caches of one engine, for the latest attempt of each request."""

    entries: dict[str, CacheEntry] = field(default_factory=dict)

    def find(
        self, request: str, attempt: int, first: int, last: int
    ) -> CacheEntry | None:
        """Return the attempt's cache if it covers the layers, or None."""
        entry = self.entries.get(request)
        if entry is None or entry.attempt != attempt:
            return None
        return entry if entry.first <= first and last <= entry.last else None

    def extend(self, request: str, position: int) -> None:
        """Extend the cache of a request by a position that was run."""
        self.entries[request].length = position + 1


async def prepare_cache(
    caches: KvCaches,
    client: httpx.AsyncClient,
    work: dict[str, t.Any],
    index: int,
    position: int,
) -> str:
    """Provide the cache that a hop requires.

    Returns
    -------
    str
        ``held``, ``kept`` or ``imported`` if a cache could be used; ``fresh`` at
        position 0 and ``rebuilt`` later if not.
    """
    hop = work["chain"][index]
    request, attempt = work["request"], work["attempt"]
    first, last = hop["first"], hop["last"]
    entry = caches.find(request, attempt, first, last)
    if entry is not None and entry.length == position:
        return "held"
    done = "rebuilt" if position else "fresh"
    cache = hop["cache"]
    match cache["source"]:
        case "kept":
            entry = caches.find(request, cache["attempt"], first, last)
            if entry is not None and entry.length >= position:
                done = "kept"
        case "imported":
            body = {
                "request": request,
                "attempt": cache["attempt"],
                "first": first,
                "last": last,
            }
            if await _import_cache(client, cache["address"], body, position):
                done = "imported"
    caches.entries[request] = CacheEntry(attempt, first, last, position)
    return done


async def _import_cache(
    client: httpx.AsyncClient, address: str, body: dict[str, t.Any], position: int
) -> bool:
    try:
        response = await client.post(address + "/v1/kv/export", json=body, timeout=1.0)
    except httpx.HTTPError:
        return False
    return response.status_code == 200 and response.json()["length"] >= position
