"""Stand-in of the platform's metadata store."""

import asyncio
import base64
import json
import time
import typing as t
import urllib.parse

from review.standins.http import Request, Response, start_server

BASE = "/tarragonrudder/kv-"
PAGE = 500  # items of a page
EXPIRY_PERIOD = 0.05  # seconds between looks for ended leases


class Store:
    """Keeps its items in memory; each change has a revision.

    Attributes
    ----------
    is_down : bool
        Whether all calls are answered 503.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.address = ""
        self._revision = 1
        self._items: dict[str, dict[str, t.Any]] = {}
        self._history: list[dict[str, t.Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}  # end and length
        self._last_lease = 0
        self._changed = asyncio.Event()

    async def start(self, host: str) -> None:
        """Serve until the loop ends."""
        self._server, self.address = await start_server(self._handle, host)
        self._expiry = asyncio.create_task(self._expire())

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write a key, as JSON unless it is bytes; return the new revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        known = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self._revision,
            "create-revision": known["create-revision"] if known else self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._note(item)
        return self._revision

    def remove(self, key: str) -> None:
        """Remove a key, if it is there."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note({"key": key, "revision": self._revision, "tombstone": True})

    def _note(self, event: dict[str, t.Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD)
            now = time.monotonic()
            for lease in [n for n, (end, _) in self._leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, item in self._items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _handle(self, request: Request) -> Response:
        if self.is_down:
            return Response(503)
        call = request.path.removeprefix(BASE)
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        body = json.loads(request.body) if request.body else {}
        match request.method, call.partition("/")[0]:
            case "GET", "key":
                item = self._items.get(query["key"])
                if item is None:
                    return _reply(404)
                return _reply(200, {**item, "store-revision": self._revision})
            case "GET", "range":
                return self._list(query)
            case "GET", "watch":
                return await self._watch(query)
            case "POST", "txn":
                return self._change(body)
            case "POST", "lease":
                return self._grant(body)
            case "POST", "keep":
                return self._renew(int(call.partition("/")[2]))
            case "DELETE", "lease-end":
                self._end_lease(int(call.partition("/")[2]))
                return _reply(200, {})
        return _reply(400)

    def _list(self, query: t.Mapping[str, str]) -> Response:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        content = {
            "items": [self._items[key] for key in keys[:PAGE]],
            "truncated": len(keys) > PAGE,
            "store-revision": self._revision,
        }
        return _reply(200, content)

    async def _watch(self, query: t.Mapping[str, str]) -> Response:
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000.0
        while True:
            events = []
            for event in self._history:
                if event["revision"] > after and event["key"].startswith(prefix):
                    events.append(event)
            left = end - time.monotonic()
            if events or left <= 0.0:
                content = {"events": events, "store-revision": self._revision}
                return _reply(200, content)
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
            if self.is_down:
                return Response(503)

    def _change(self, body: dict[str, t.Any]) -> Response:
        for row in body.get("expected", ()):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [each for each in (item,) if each]
                return _reply(412, {"items": found})
        puts = body.get("puts", ())
        for put in puts:
            if put["key"].startswith(("op/", "servers/")):
                return _reply(403)
            if put.get("lease", 0) and put["lease"] not in self._leases:
                return _reply(404)
        for put in puts:
            data = base64.b64decode(put["value"])
            self.put(put["key"], data, put.get("lease", 0))
        for key in body.get("remove", ()):
            self.remove(key)
        return _reply(200, {"revision": self._revision})

    def _grant(self, body: dict[str, t.Any]) -> Response:
        length = max(1000, int(body["ttl-ms"]))
        self._last_lease += 1
        end = time.monotonic() + length / 1000.0
        self._leases[self._last_lease] = (end, length)
        return _reply(200, {"lease": self._last_lease, "ttl-ms": length})

    def _renew(self, lease: int) -> Response:
        if lease not in self._leases:
            return _reply(404)
        length = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + length / 1000.0, length)
        return _reply(200, {"ttl-ms": length})


def _reply(status: int, content: object = None) -> Response:
    body = json.dumps(content).encode() if content is not None else b""
    return Response(status, (("Content-Type", "application/json"),), body)
