"""Stand-in of the platform's metadata store."""

import base64
import copy
import typing as t

import orjson
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response, request
from quart_trio import QuartTrio

BASE = "/tarragonrudder"


class StoreStandIn:
    """Metadata store that keeps its items in memory.

    Attributes
    ----------
    refuse : bool
        Whether each call fails with status 503.
    silent : bool
        Whether calls get no answer, not even once it is over.
    on_silenced : callable
        Called with the name of each call that gets none.
    refused : set of str
        Addresses of `run_view` at which each call fails with status 503.
    era : int
        Restorations so far, which all answers name.
    on_page : callable
        Called after each page of a listing has been read.
    """

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int, int, int]] = {}
        self.history: list[tuple[int, str, bytes | None]] = []
        self.revision = 1
        self.oldest = 0
        self.refuse = False
        self.silent = False
        self.on_silenced: t.Callable[[str], None] = lambda call: None
        self.refused: set[str] = set()
        self.era = 1
        self.on_page: t.Callable[[], None] = lambda: None
        self.calls: list[str] = []
        self.address = ""
        # Address of each upstream as a node sees it, by the store's address it uses.
        self.views: dict[str, dict[str, str]] = {}
        self._leases: dict[int, float] = {}
        self._last_lease = 0
        self._changed = trio.Event()

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write a key without permission checks; return the new revision."""
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (data, self.revision, created, lease)
        self._note(key, data)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self._note(key, None)

    def forget(self) -> None:
        """Discard the history, as a compaction does."""
        self.oldest = self.revision
        self.history.clear()
        self._wake()

    def grant(self, ttl: float) -> int:
        """Create a lease of `ttl` seconds and return its id."""
        self._last_lease += 1
        self._leases[self._last_lease] = trio.current_time() + ttl
        return self._last_lease

    def copy(self) -> dict[str, object]:
        """Return a copy of everything, from which the store can be restored."""
        kept = ("items", "history", "revision", "oldest", "_leases", "_last_lease")
        return {name: copy.copy(getattr(self, name)) for name in kept}

    def restore(self, older: dict[str, object]) -> None:
        """Lose what was written since a copy; its numbers are given out again."""
        for name, value in older.items():
            setattr(self, name, copy.copy(value))
        self.era += 1

    async def run(self, port: int, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        self.address = f"127.0.0.1:{port}"
        await self._serve(self.address, task_status)

    async def run_view(
        self, port: int, view: dict[str, str], task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve one node, for which upstreams have the addresses that `view` gives."""
        address = f"127.0.0.1:{port}"
        self.views[address] = view
        await self._serve(address, task_status)

    async def _serve(self, address: str, task_status) -> None:
        config = Config()
        config.bind = [address]
        config.accesslog = None
        config.errorlog = None
        task_status.started()
        await serve(self._make_app(), config, shutdown_trigger=trio.sleep_forever)

    def _note(self, key: str, data: bytes | None) -> None:
        self.history.append((self.revision, key, data))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _expire(self) -> None:
        now = trio.current_time()
        for lease, until in list(self._leases.items()):
            if until <= now:
                self._end(lease)

    def _end(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item[3] == lease:
                self.remove(key)

    def _translate(self, key: str, data: bytes) -> bytes:
        """Return a value as the node that asks sees it."""
        view = self.views.get(request.host)
        if view is None or not key.startswith("servers/"):
            return data
        try:
            entry = orjson.loads(data)
            entry["address"] = view[entry["address"]]
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return data
        return orjson.dumps(entry)

    def _describe(self, key: str) -> dict[str, object]:
        data, revision, created, lease = self.items[key]
        data = self._translate(key, data)
        return {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": revision,
            "create-revision": created,
            "lease": lease,
        }

    def _make_app(self) -> QuartTrio:
        app = QuartTrio("store")

        def reply(status: int, body: object = None) -> Response:
            data = orjson.dumps(body) if body is not None else b""
            return Response(data, status, content_type="application/json")

        @app.before_request
        async def check() -> Response | None:
            call = request.path.removeprefix(BASE + "/kv-")
            self.calls.append(call)
            if self.silent:
                self.on_silenced(call.partition("/")[0])
                await trio.sleep_forever()
            self._expire()
            is_refused = self.refuse or request.host in self.refused
            return reply(503) if is_refused else None

        @app.after_request
        async def name_era(response: Response) -> Response:
            response.headers.setdefault("Store-Era", str(self.era))
            return response

        @app.get(f"{BASE}/kv-key")
        async def get() -> Response:
            key = request.args["key"]
            if key not in self.items:
                return reply(404)
            return reply(200, self._describe(key))

        @app.get(f"{BASE}/kv-range")
        async def list_items() -> Response:
            prefix = request.args["prefix"]
            after = request.args.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            body = {
                "items": [self._describe(key) for key in keys[:20]],
                "truncated": len(keys) > 20,
                "store-revision": self.revision,
            }
            answer = reply(200, body)
            answer.headers["Store-Era"] = str(self.era)
            self.on_page()
            return answer

        @app.get(f"{BASE}/kv-watch")
        async def watch() -> Response:
            prefix = request.args["prefix"]
            after = int(request.args["after"])
            if after > self.revision:
                return reply(410)
            with trio.move_on_after(int(request.args["wait-ms"]) / 1000.0):
                while True:
                    if self.refuse:
                        return reply(503)
                    if after < self.oldest:
                        return reply(410)
                    found = [each for each in self.history if each[0] > after]
                    if any(key.startswith(prefix) for _, key, _ in found):
                        break
                    await self._changed.wait()
            events: list[dict[str, object]] = []
            for revision, key, data in self.history:
                if revision <= after or not key.startswith(prefix):
                    continue
                if data is None:
                    tombstone = {"key": key, "revision": revision, "tombstone": True}
                    events.append(tombstone)
                    continue
                value = base64.b64encode(self._translate(key, data)).decode()
                events.append({"key": key, "value": value, "revision": revision})
            return reply(200, {"events": events, "store-revision": self.revision})

        @app.post(f"{BASE}/kv-txn")
        async def change() -> Response:
            body = orjson.loads(await request.get_data())
            for row in body["expected"]:
                item = self.items.get(row["key"])
                if (item[1] if item else 0) != row["revision"]:
                    return reply(412, {"items": []})
            for put in body["puts"]:
                if put["key"].startswith(("op/", "servers/")):
                    return reply(403)
                lease = put.get("lease", 0)
                if lease and lease not in self._leases:
                    return reply(404)
                self.put(put["key"], base64.b64decode(put["value"]), lease)
            for key in body["remove"]:
                self.remove(key)
            return reply(200, {"revision": self.revision})

        @app.post(f"{BASE}/kv-lease")
        async def grant() -> Response:
            ttl = orjson.loads(await request.get_data())["ttl-ms"]
            lease = self.grant(ttl / 1000.0)
            return reply(200, {"lease": lease, "ttl-ms": ttl})

        @app.post(f"{BASE}/kv-keep/<int:lease>")
        async def keep(lease: int) -> Response:
            if lease not in self._leases:
                return reply(404)
            self._leases[lease] = trio.current_time() + 3.0
            return reply(200, {"ttl-ms": 3000})

        @app.delete(f"{BASE}/kv-lease-end/<int:lease>")
        async def end(lease: int) -> Response:
            self._end(lease)
            return reply(200, {})

        return app
