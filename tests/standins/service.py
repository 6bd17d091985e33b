"""Stand-in of a plain service that runs every call it receives.

Run it with ``python -m tests.standins.service --name N --port P``. A POST
appends an entry and is not idempotent; ``GET /outcomes/KEY`` returns the outcome
of the call named by the header ``tarragonrudder-record``. ``POST /faults`` sets
faults.
"""

import argparse
import base64
import os
import typing as t
from dataclasses import dataclass, field

import orjson
import trio
from quart import Response, request
from quart_trio import QuartTrio

from tests.standins.journal import Journal
from tests.standins.serving import serve_app


@dataclass(slots=True)
class Faults:
    """Active faults.

    Attributes
    ----------
    delay : float
        Seconds between running a call and its response.
    crash : str
        Crash ``before`` or ``after`` running the next POST; empty for never.
    refuse : bool
        Refuse each POST before running it.
    """

    delay: float = 0.0
    crash: str = ""
    refuse: bool = False


@dataclass(slots=True)
class State:
    """State of a service; `outcomes` maps call records to response bodies."""

    name: str
    journal: Journal
    faults: Faults = field(default_factory=Faults)
    outcomes: dict[str, bytes] = field(default_factory=dict)
    count: int = 0


def make_app(state: State) -> QuartTrio:
    """Return the stand-in's application."""
    app = QuartTrio(__name__)

    def respond(body: t.Any, status: int = 200) -> Response:
        return Response(
            orjson.dumps(body), status=status, content_type="application/json"
        )

    @app.get("/livez")
    async def report_alive() -> Response:
        return Response("ok")

    @app.post("/faults")
    async def set_faults() -> Response:
        state.faults = Faults(**orjson.loads(await request.get_data()))
        return respond({})

    @app.get("/outcomes/<key>")
    async def report_outcome(key: str) -> Response:
        record = request.headers.get("tarragonrudder-record", "")
        body = state.outcomes.get(record)
        if body is None:
            return respond({"record": record, "state": "not_known"})
        return respond(
            {
                "record": record,
                "state": "run",
                "status": 201,
                "content_type": "application/json",
                "body": base64.b64encode(body).decode(),
            }
        )

    @app.post("/<path:path>")
    async def run_action(path: str) -> Response:
        body = await request.get_data()
        key = request.headers.get("idempotency-key", "")
        if state.faults.refuse:
            refused = respond({"error": "busy"}, 503)
            refused.headers["tarragonrudder-run-state"] = "not_run"
            return refused
        if state.faults.crash == "before":
            os._exit(70)
        state.count += 1
        answer = {"number": state.count, "by": state.name}
        record = request.headers.get("tarragonrudder-record", "")
        state.outcomes[record] = orjson.dumps(answer)
        state.journal.write(
            "ran", upstream=state.name, key=key, path=path, body=body.decode()
        )
        if state.faults.crash == "after":
            os._exit(70)
        if state.faults.delay:
            await trio.sleep(state.faults.delay)
        return respond(answer, 201)

    @app.get("/<path:path>")
    async def look_up(path: str) -> Response:
        state.journal.write("read", upstream=state.name, path=path)
        return respond({"path": path, "count": state.count})

    return app


def main() -> None:
    """Read the command line and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--journal")
    given = parser.parse_args()
    state = State(given.name, Journal(given.journal))
    trio.run(serve_app, make_app(state), given.port)


if __name__ == "__main__":
    main()
