"""The callers' port: chat completions, models and plain services."""

import hashlib
import json
import typing as t
import uuid

import orjson
import trio
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from quart import Response, request
from quart_trio import QuartTrio

from tarragonrudder.core.action import (
    AnswerService,
    EmitTokens,
    EndAnswer,
    FailAnswer,
)
from tarragonrudder.core.event import CallerGone, ChatRequested, ServiceRequested
from tarragonrudder.core.fleet import ClientAccount
from tarragonrudder.edges.driver import Driver, Output
from tarragonrudder.edges.service import ServiceInput
from tarragonrudder.errors import InvalidRequest, Problem, RunState, Unauthorized

MAX_BODY_BYTES = 4 << 20
DEFAULT_MAX_TOKENS = 256
SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


class ChatMessage(BaseModel):
    """One message of a conversation."""

    model_config = ConfigDict(extra="allow")

    role: str
    content: t.Any = None


class ChatBody(BaseModel):
    """Body of ``POST /v1/chat/completions``; other options pass through."""

    model_config = ConfigDict(extra="allow")

    model: str
    messages: list[ChatMessage] = Field(min_length=1)
    max_tokens: int | None = Field(None, ge=1)
    max_completion_tokens: int | None = Field(None, ge=1)
    stream: bool = False


def make_caller_app(driver: Driver) -> QuartTrio:
    """Return the application of the callers' port."""
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES

    @app.get("/livez")
    async def report_alive() -> Response:
        return Response("ok")

    @app.get("/readyz")
    async def report_ready() -> Response:
        ready = driver.node.ready
        return Response("ok" if ready else "not ready", status=200 if ready else 503)

    @app.get("/v1/models")
    async def list_models() -> Response:
        account = _authenticate(driver)
        if isinstance(account, Problem):
            return _respond_problem(account)
        items = []
        for route in driver.node.configuration.model_routes:
            items.append({"id": route.name, "object": "model", "owned_by": "operator"})
        return _respond_json({"object": "list", "data": items})

    @app.post("/v1/chat/completions")
    async def complete_chat() -> Response:
        account = _authenticate(driver)
        if isinstance(account, Problem):
            return _respond_problem(account)
        try:
            body = ChatBody.model_validate_json(await request.get_data())
        except ValidationError as error:
            first = error.errors()[0]
            place = ".".join(str(part) for part in first["loc"])
            return _respond_problem(InvalidRequest(f"{place}: {first['msg']}; mend it"))
        chat = _make_chat(account, body)
        receiver = driver.open_request(chat.request)
        driver.post(chat)
        if body.stream:
            return await _stream_chat(driver, chat, receiver)
        return await _collect_chat(driver, chat, receiver)

    @app.route("/services/<service>/<path:path>", methods=SERVICE_METHODS)
    async def call_service(service: str, path: str) -> Response:
        account = _authenticate(driver)
        if isinstance(account, Problem):
            return _respond_problem(account)
        body = await request.get_data()
        query = request.query_string.decode()
        target = f"/{path}?{query}" if query else f"/{path}"
        given = ServiceInput(
            request.method, target, request.headers.get("content-type"), body
        )
        digest = hashlib.sha256(f"{request.method} {target}\0".encode() + body)
        event = ServiceRequested(
            f"call-{uuid.uuid4().hex}",
            account.name,
            service,
            request.method,
            target,
            digest.hexdigest(),
            request.headers.get("idempotency-key"),
        )
        receiver = driver.open_request(event.request, given)
        driver.post(event)
        try:
            output = await receiver.receive()
        except trio.Cancelled:
            driver.post(CallerGone(event.request))
            raise
        finally:
            driver.close_request(event.request)
        return _respond_service(output)

    return app


def _authenticate(driver: Driver) -> ClientAccount | Problem:
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    if scheme.lower() == "bearer":
        # The digest of a high-entropy key is looked up, never the key itself.
        for account in driver.node.configuration.accounts:
            if digest in account.key_hashes:
                return account
    return Unauthorized("the API key is unknown; send a valid one as bearer token")


def _make_chat(account: ClientAccount, body: ChatBody) -> ChatRequested:
    max_tokens = body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS
    messages = [message.model_dump() for message in body.messages]
    prompt = orjson.dumps(messages, option=orjson.OPT_SORT_KEYS)
    options = json.dumps(body.model_extra or {}, sort_keys=True).encode()
    state = hashlib.sha256(f"{account.name}\0{body.model}\0".encode())
    state.update(prompt)
    return ChatRequested(
        f"chatcmpl-{uuid.uuid4().hex}",
        account.name,
        body.model,
        prompt,
        max_tokens,
        state.hexdigest(),
        options,
    )


async def _collect_chat(
    driver: Driver, chat: ChatRequested, receiver: trio.MemoryReceiveChannel[Output]
) -> Response:
    parts: list[str] = []
    ended = False
    try:
        async for output in receiver:
            match output:
                case EmitTokens():
                    parts.extend(token.text for token in output.tokens)
                case EndAnswer():
                    ended = True
                    return _respond_json(_describe_answer(chat, parts, output))
                case FailAnswer():
                    ended = True
                    return _respond_problem(output.problem)
    finally:
        if not ended:
            driver.post(CallerGone(chat.request))
        driver.close_request(chat.request)
    raise RuntimeError("the driver closed a request without an answer")


async def _stream_chat(
    driver: Driver, chat: ChatRequested, receiver: trio.MemoryReceiveChannel[Output]
) -> Response:
    first = await receiver.receive()
    if isinstance(first, FailAnswer):
        driver.close_request(chat.request)
        return _respond_problem(first.problem)

    async def send_chunks() -> t.AsyncIterator[bytes]:
        output: Output = first
        ended = False
        try:
            while True:
                match output:
                    case EmitTokens():
                        for token in output.tokens:
                            yield _encode_chunk(chat, {"content": token.text}, None)
                    case EndAnswer():
                        ended = True
                        yield _encode_chunk(chat, {}, output.finish_reason)
                        yield b"data: [DONE]\n\n"
                        return
                    case FailAnswer():
                        ended = True
                        yield (
                            b"data: "
                            + orjson.dumps(_describe(output.problem))
                            + b"\n\n"
                        )
                        return
                output = await receiver.receive()
        finally:
            if not ended:
                driver.post(CallerGone(chat.request))
            driver.close_request(chat.request)

    return Response(send_chunks(), content_type="text/event-stream")


def _encode_chunk(
    chat: ChatRequested, delta: dict[str, str], finish_reason: str | None
) -> bytes:
    chunk = {
        "id": chat.request,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": chat.route,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }
    return b"data: " + orjson.dumps(chunk) + b"\n\n"


def _describe_answer(
    chat: ChatRequested, parts: list[str], end: EndAnswer
) -> dict[str, t.Any]:
    message = {"role": "assistant", "content": "".join(parts)}
    return {
        "id": chat.request,
        "object": "chat.completion",
        "created": 0,
        "model": chat.route,
        "choices": [
            {"index": 0, "message": message, "finish_reason": end.finish_reason}
        ],
        "usage": {
            "prompt_tokens": 0,
            "completion_tokens": end.completion_tokens,
            "total_tokens": end.completion_tokens,
        },
    }


def _describe(problem: Problem) -> dict[str, t.Any]:
    return {
        "error": {
            "message": problem.message,
            "type": problem.kind,
            "code": problem.kind,
            "param": None,
            "run_state": problem.run_state.value,
        }
    }


def _respond_json(body: dict[str, t.Any], status: int = 200) -> Response:
    return Response(orjson.dumps(body), status=status, content_type="application/json")


def _respond_problem(problem: Problem) -> Response:
    response = _respond_json(_describe(problem), problem.status)
    if problem.retry_after is not None:
        response.headers["retry-after"] = str(max(1, round(problem.retry_after)))
    return response


def _respond_service(output: Output) -> Response:
    match output:
        case AnswerService():
            response = Response(
                output.body, status=output.status, content_type=output.content_type
            )
            if output.replayed:
                response.headers["idempotent-replayed"] = "true"
            return response
        case FailAnswer():
            return _respond_problem(output.problem)
    return _respond_problem(Problem("the node erred; report it", RunState.UNKNOWN))
