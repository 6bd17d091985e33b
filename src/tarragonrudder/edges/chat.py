"""OpenAI-compatible chat completions: request body, response body, SSE chunks."""

import hashlib
import re
import time
import typing as t
import uuid

import orjson
from pydantic import BaseModel, ConfigDict, Field, field_validator

from tarragonrudder.core.domain.action import EndAnswer
from tarragonrudder.core.domain.event import ChatRequested, Token
from tarragonrudder.core.domain.fleet import ClientAccount
from tarragonrudder.edges.problem import describe_problem
from tarragonrudder.errors import Problem

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 32768
MAX_MESSAGES = 4096
# Lists and objects in a body, beside its text; empty ones take far more memory than
# their text while they are read.
MAX_CONTAINERS = 1 << 16
# Text without its end matches, too, so that none is looked at twice.
JSON_TEXT = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*(?:"|\\?\Z)', re.DOTALL)
DONE_LINE = b"data: [DONE]\n\n"


class ChatMessage(BaseModel):
    """One message of a conversation."""

    model_config = ConfigDict(extra="allow")

    role: t.Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[t.Any] | None = None

    @field_validator("content")
    @classmethod
    def _check_parts(cls, content: t.Any) -> t.Any:
        """Stop at the first fault: a list of very many takes far more memory."""
        if isinstance(content, list):
            for number, part in enumerate(content):
                if not isinstance(part, dict):
                    raise ValueError(f"part {number} must be an object")
        return content


class StreamOptions(BaseModel):
    """Options of a streamed answer."""

    model_config = ConfigDict(extra="allow")

    include_usage: bool = False


class ChatBody(BaseModel):
    """Body of ``POST /v1/chat/completions``; unknown options are passed through."""

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1, max_length=256)
    messages: list[ChatMessage] = Field(min_length=1, max_length=MAX_MESSAGES)
    max_tokens: int | None = Field(None, ge=1, le=MAX_TOKENS)
    max_completion_tokens: int | None = Field(None, ge=1, le=MAX_TOKENS)
    n: t.Literal[1] | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None


def has_many_containers(content: bytes) -> bool:
    """Tell whether a body has more lists and objects than it may."""
    count = content.count(b"[") + content.count(b"{")
    if count <= MAX_CONTAINERS:
        return False
    rest = JSON_TEXT.sub(b"", content)
    return rest.count(b"[") + rest.count(b"{") > MAX_CONTAINERS


def make_chat_event(account: ClientAccount, body: ChatBody) -> ChatRequested:
    """Return the core's event for a validated body."""
    max_tokens = body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS
    messages = []
    for message in body.messages:
        messages.append(message.model_dump(exclude_unset=True))
    prompt = orjson.dumps(messages, option=orjson.OPT_SORT_KEYS)
    options = orjson.dumps(body.model_extra or {}, option=orjson.OPT_SORT_KEYS)
    digest = hashlib.sha256(f"{account.name}\0{body.model}\0".encode())
    digest.update(prompt)
    return ChatRequested(
        f"chatcmpl-{uuid.uuid4().hex}",
        account.name,
        body.model,
        prompt,
        max_tokens,
        digest.hexdigest(),
        options,
    )


def describe_answer(
    chat: ChatRequested, parts: list[str], end: EndAnswer
) -> dict[str, t.Any]:
    """Return the body of a response that is not streamed."""
    message = {"role": "assistant", "content": "".join(parts), "refusal": None}
    choice = {
        "index": 0,
        "message": message,
        "logprobs": None,
        "finish_reason": end.finish_reason,
    }
    return {
        "id": chat.request,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": chat.model_name,
        "choices": [choice],
        "usage": _describe_usage(end),
    }


class ChunkEncoder:
    """Encodes the SSE chunks of one answer.

    Everything in a chunk except the text is the same for each token, so it is
    encoded once per answer.
    """

    def __init__(self, chat: ChatRequested, include_usage: bool) -> None:
        self._common_fields: dict[str, t.Any] = {
            "id": chat.request,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": chat.model_name,
        }
        self._include_usage = include_usage
        usage = b',"usage":null' if include_usage else b""
        opening = orjson.dumps(self._common_fields)[:-1] + usage
        self._token_prefix = (
            b"data: " + opening + b',"choices":[{"index":0,"delta":{"content":'
        )
        self._token_suffix = b'},"logprobs":null,"finish_reason":null}]}\n\n'
        self._role_sent = False

    def encode_tokens(self, tokens: t.Sequence[Token]) -> bytes:
        """Return the chunks of tokens that arrived together."""
        parts = []
        if not self._role_sent:
            self._role_sent = True
            parts.append(
                self._encode_choice({"role": "assistant", "content": ""}, None)
            )
        for token in tokens:
            parts.append(self._token_prefix)
            parts.append(orjson.dumps(token.text))
            parts.append(self._token_suffix)
        return b"".join(parts)

    def encode_end(self, end: EndAnswer) -> bytes:
        """Return the last chunks and the terminator."""
        parts = [self._encode_choice({}, end.finish_reason)]
        if self._include_usage:
            body = {**self._common_fields, "choices": [], "usage": _describe_usage(end)}
            parts.append(_encode_event(body))
        parts.append(DONE_LINE)
        return b"".join(parts)

    def encode_problem(self, problem: Problem) -> bytes:
        """Return the error event that ends a stream which can't be completed."""
        return _encode_event(describe_problem(problem))

    def _encode_choice(self, delta: dict[str, str], finish_reason: str | None) -> bytes:
        choice = {
            "index": 0,
            "delta": delta,
            "logprobs": None,
            "finish_reason": finish_reason,
        }
        body: dict[str, t.Any] = {**self._common_fields, "choices": [choice]}
        if self._include_usage:
            body["usage"] = None
        return _encode_event(body)


def _encode_event(body: dict[str, t.Any]) -> bytes:
    return b"data: " + orjson.dumps(body) + b"\n\n"


def _describe_usage(end: EndAnswer) -> dict[str, int]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": end.prompt_tokens + end.completion_tokens,
    }
