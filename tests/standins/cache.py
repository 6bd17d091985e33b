"""KV caches of the stand-in engines: how many positions each stage holds."""

import typing as t
from dataclasses import dataclass, field

import httpx


@dataclass(slots=True)
class CacheEntry:
    """The cache of one request's stage."""

    attempt: int
    first: int
    last: int
    length: int


@dataclass(slots=True)
class KvCaches:
    """All caches that one engine holds, the newest attempt of each request."""

    entries: dict[str, CacheEntry] = field(default_factory=dict)

    def find(
        self, request: str, attempt: int, first: int, last: int
    ) -> CacheEntry | None:
        """Return a cache that covers the layers, or None."""
        entry = self.entries.get(request)
        if entry is None or entry.attempt != attempt:
            return None
        return entry if entry.first <= first and last <= entry.last else None

    def extend(self, request: str, position: int) -> None:
        """Note that one more position was run."""
        self.entries[request].length = position + 1


async def prepare_cache(
    caches: KvCaches,
    client: httpx.AsyncClient,
    work: dict[str, t.Any],
    index: int,
    position: int,
) -> str:
    """Get the cache that a hop asks for, or rebuild it; return what was done."""
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
