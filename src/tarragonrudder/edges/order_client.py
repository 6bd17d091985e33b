"""Client that orders engines to load layers and reads back their state."""

import typing as t

import httpx
import trio

from tarragonrudder.core.domain.action import ReadEngineState, SendOrder
from tarragonrudder.core.domain.event import EngineStateRead, Event, OrderAnswered
from tarragonrudder.edges.whole_response import fetch

MAX_ANSWER_BYTES = 64 * 1024
_OUTCOMES = {200: "done", 409: "fenced"}


class OrderClient:
    """Sends the planner's orders, each with a timeout, and posts the outcomes."""

    def __init__(self, post: t.Callable[[Event], None]) -> None:
        self._post = post
        self._client = httpx.AsyncClient()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def send(self, action: SendOrder) -> None:
        """Send an order and post its outcome.

        The outcome is ``done``, ``fenced``, ``refused``, or ``lost`` if the engine may
        have accepted the order.
        """
        body = {
            "fencing": action.fencing,
            "model": action.model,
            "version": action.version,
            "first": action.first,
            "last": action.last,
        }
        outcome = "lost"
        # Bounds the whole call, so that it ends before the lease does.
        with trio.move_on_after(action.timeout):
            try:
                response = await fetch(
                    self._client,
                    "POST",
                    action.address + "/v1/orders",
                    action.timeout,
                    MAX_ANSWER_BYTES,
                    json=body,
                )
                outcome = _OUTCOMES.get(response.status_code, "refused")
            except (httpx.ConnectError, httpx.ConnectTimeout):
                outcome = "refused"
            except httpx.HTTPError:
                outcome = "lost"
        self._post(OrderAnswered(action.tag, action.upstream, outcome))

    async def read(self, action: ReadEngineState) -> None:
        """Post an engine's state; nothing if the state can't be read."""
        try:
            response = await fetch(
                self._client,
                "GET",
                action.address + "/v1/state",
                action.timeout,
                MAX_ANSWER_BYTES,
            )
            response.raise_for_status()
            item = response.json()
            engine_state = EngineStateRead(
                action.upstream,
                str(item["model"]),
                str(item["version"]),
                int(item["first"]),
                int(item["last"]),
                int(item["running"]),
            )
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            return
        self._post(engine_state)
