"""HTTP handlers of the callers' port: chat completions, models, services."""

import hashlib
import logging
import re
import typing as t
import uuid

import trio
from pydantic import ValidationError
from quart import Response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException

from tarragonrudder.core.domain.action import (
    AnswerServiceCall,
    EmitTokens,
    EndAnswer,
    FailAnswer,
)
from tarragonrudder.core.domain.event import (
    CallerDisconnected,
    ChatRequested,
    ServiceRequested,
)
from tarragonrudder.core.domain.fleet import ClientAccount
from tarragonrudder.edges.api_keys import ApiKeyIndex
from tarragonrudder.edges.chat import (
    MAX_CONTAINERS,
    ChatBody,
    ChunkEncoder,
    describe_answer,
    has_many_containers,
    make_chat_event,
)
from tarragonrudder.edges.driver import Driver, Output
from tarragonrudder.edges.problem import respond_json, respond_problem
from tarragonrudder.edges.service import ServiceInput
from tarragonrudder.errors import (
    InvalidRequest,
    NotFound,
    Problem,
    RequestTooLarge,
    RunState,
    Unauthorized,
)

MAX_BODY_BYTES = 4 << 20
BODY_TIMEOUT = 30  # seconds for a request body to arrive
MANY_CONTAINERS_MESSAGE = (
    f"the body has over {MAX_CONTAINERS} lists and objects; send fewer"
)
SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
_IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e][\x20-\x7e]{0,254}")


class CallerPort:
    """Request handlers of the callers' port."""

    def __init__(self, driver: Driver, logger: logging.Logger) -> None:
        self._driver = driver
        self._logger = logger
        self._api_keys = ApiKeyIndex()

    async def get_liveness(self) -> Response:
        """Answer ``GET /livez``."""
        return Response("ok")

    async def get_readiness(self) -> Response:
        """Answer ``GET /readyz``: 200 if the load balancer may send requests."""
        if self._driver.node.ready:
            return Response("ok")
        return Response("not ready", status=503)

    async def list_models(self) -> Response:
        """Answer ``GET /v1/models``."""
        account = self._authenticate()
        if account is None:
            return _respond_unauthorized()
        items = []
        for route in self._driver.node.configuration.model_routes:
            items.append(
                {
                    "id": route.name,
                    "object": "model",
                    "created": 0,
                    "owned_by": "operator",
                }
            )
        return respond_json({"object": "list", "data": items})

    async def complete_chat(self) -> Response:
        """Answer ``POST /v1/chat/completions``."""
        account = self._authenticate()
        if account is None:
            return _respond_unauthorized()
        content = await request.get_data()
        if has_many_containers(content):
            return respond_problem(InvalidRequest(MANY_CONTAINERS_MESSAGE))
        try:
            body = ChatBody.model_validate_json(content)
        except ValidationError as error:
            return respond_problem(InvalidRequest(_describe_validation_error(error)))
        chat = make_chat_event(account, body)
        receiver = self._driver.open_request(chat.request)
        self._driver.post(chat)
        if not body.stream:
            return await self._collect_chat(chat, receiver)
        options = body.stream_options
        include_usage = options is not None and options.include_usage
        return await self._stream_chat(chat, receiver, include_usage)

    async def call_service(self, service: str, path: str) -> Response:
        """Answer a call below ``/services/``."""
        account = self._authenticate()
        if account is None:
            return _respond_unauthorized()
        header = request.headers.get("idempotency-key")
        key = None
        if header is not None:
            key = parse_idempotency_key(header)
            if key is None:
                return respond_problem(
                    InvalidRequest(
                        "Idempotency-Key must be 1 to 255 printable ASCII characters; "
                        "send one such as a UUID"
                    )
                )
        event, call_input = await _read_call(account, service, path, key)
        receiver = self._driver.open_request(event.request, call_input)
        answered = False
        try:
            self._driver.post(event)
            output = await receiver.receive()
            answered = True
        finally:
            if not answered:
                self._driver.post(CallerDisconnected(event.request))
            self._driver.close_request(event.request)
        return _respond_service_output(output)

    async def report_http_error(self, error: HTTPException) -> Response:
        """Convert an error of the HTTP library to a response in the common format."""
        status = error.code or 500
        if status == 413:
            limit = f"the body is over {MAX_BODY_BYTES} bytes; send a smaller one"
            return respond_problem(RequestTooLarge(limit))
        if status in (404, 405):
            missing = f"no {request.method} {request.path} here; check path and method"
            return respond_problem(NotFound(missing))
        return respond_problem(
            InvalidRequest(f"{error.description or error.name}; mend the request")
        )

    async def report_internal_error(self, error: Exception) -> Response:
        """Log an unexpected exception and answer without its details."""
        self._logger.error("request_fault", exc_info=error)
        fault = Problem("the node erred; look up the outcome", RunState.UNKNOWN)
        return respond_problem(fault)

    def _authenticate(self) -> ClientAccount | None:
        header = request.headers.get("authorization", "")
        return self._api_keys.find(header, self._driver.node.configuration)

    async def _collect_chat(
        self, chat: ChatRequested, receiver: trio.MemoryReceiveChannel[Output]
    ) -> Response:
        parts: list[str] = []
        ended = False
        try:
            while True:
                output = await receiver.receive()
                match output:
                    case EmitTokens():
                        parts.extend(token.text for token in output.tokens)
                    case EndAnswer():
                        ended = True
                        return respond_json(describe_answer(chat, parts, output))
                    case FailAnswer():
                        ended = True
                        return respond_problem(output.problem)
        finally:
            self._end_chat(chat, ended)

    async def _stream_chat(
        self,
        chat: ChatRequested,
        receiver: trio.MemoryReceiveChannel[Output],
        include_usage: bool,
    ) -> Response:
        # The status line is sent after the first output, so that a refusal can
        # still have its own status.
        first: Output | None = None
        try:
            first = await receiver.receive()
        finally:
            if first is None:
                self._end_chat(chat, ended=False)
        if isinstance(first, FailAnswer):
            self._end_chat(chat, ended=True)
            return respond_problem(first.problem)
        encoder = ChunkEncoder(chat, include_usage)
        chunks = self._send_chunks(chat, first, receiver, encoder)
        response = Response(chunks, content_type="text/event-stream")
        response.headers["cache-control"] = "no-cache"
        return response

    async def _send_chunks(
        self,
        chat: ChatRequested,
        first: Output,
        receiver: trio.MemoryReceiveChannel[Output],
        encoder: ChunkEncoder,
    ) -> t.AsyncIterator[bytes]:
        output = first
        ended = False
        try:
            while True:
                match output:
                    case EmitTokens():
                        yield encoder.encode_tokens(output.tokens)
                    case EndAnswer():
                        ended = True
                        yield encoder.encode_end(output)
                        return
                    case FailAnswer():
                        ended = True
                        yield encoder.encode_problem(output.problem)
                        return
                output = await receiver.receive()
        finally:
            self._end_chat(chat, ended)

    def _end_chat(self, chat: ChatRequested, ended: bool) -> None:
        if not ended:
            self._driver.post(CallerDisconnected(chat.request))
        self._driver.close_request(chat.request)


def make_caller_app(driver: Driver, logger: logging.Logger) -> QuartTrio:
    """Return the application of the callers' port."""
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    app.config["BODY_TIMEOUT"] = BODY_TIMEOUT
    # Requests have their own deadlines; the library's timeout would cut off long
    # answers.
    app.config["RESPONSE_TIMEOUT"] = None
    port = CallerPort(driver, logger)
    app.add_url_rule("/livez", view_func=port.get_liveness)
    app.add_url_rule("/readyz", view_func=port.get_readiness)
    app.add_url_rule("/v1/models", view_func=port.list_models)
    app.add_url_rule(
        "/v1/chat/completions", view_func=port.complete_chat, methods=["POST"]
    )
    app.add_url_rule(
        "/services/<service>/<path:path>",
        view_func=port.call_service,
        methods=SERVICE_METHODS,
        provide_automatic_options=False,
    )
    app.register_error_handler(HTTPException, port.report_http_error)
    app.register_error_handler(Exception, port.report_internal_error)
    return app


def parse_idempotency_key(header: str) -> str | None:
    """Return the key of an ``Idempotency-Key`` header, or None if it is invalid.

    The IETF draft defines the value as a quoted string. Unquoted values are common
    and are accepted as they are.
    """
    text = header.strip()
    if len(text) >= 2 and text[0] == text[-1] == '"':
        text = text[1:-1]
    return text if _IDEMPOTENCY_KEY_PATTERN.fullmatch(text) else None


async def _read_call(
    account: ClientAccount, service: str, path: str, key: str | None
) -> tuple[ServiceRequested, ServiceInput]:
    body = await request.get_data()
    query = request.query_string.decode("ascii", "replace")
    target = f"/{path}?{query}" if query else f"/{path}"
    call_input = ServiceInput(
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
        key,
    )
    return event, call_input


def _respond_unauthorized() -> Response:
    problem = Unauthorized("the API key is unknown; send a valid one as bearer token")
    return respond_problem(problem)


def _describe_validation_error(error: ValidationError) -> str:
    first = error.errors()[0]
    place = ".".join(str(part) for part in first["loc"]) or "body"
    return f"{place}: {first['msg']}; mend the request"


def _respond_service_output(output: Output) -> Response:
    match output:
        case AnswerServiceCall():
            response = Response(
                output.body, status=output.status, content_type=output.content_type
            )
            if output.replayed:
                response.headers["idempotent-replayed"] = "true"
            return response
        case FailAnswer():
            return respond_problem(output.problem)
    return respond_problem(Problem("the node erred; report it", RunState.UNKNOWN))
