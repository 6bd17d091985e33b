"""Configurations that nodes fetch from each other: changes, or the whole compressed."""

import random
import typing as t

import httpx
import orjson
import trio
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from tarragonrudder.core.membership.document_history import (
    MAX_CHANGES,
    MAX_DOCUMENT_BYTES,
    ChangeError,
    DocumentChange,
    apply_change,
)
from tarragonrudder.platform.compression import (
    CompressionError,
    compress,
    decompress,
)
from tarragonrudder.platform.decoding import Count
from tarragonrudder.platform.http_client import WholeResponse
from tarragonrudder.platform.registry import Registry

# Parameter with the digest of the text that the asking node has. Without it, as asked
# by nodes of an older build, the answer is the plain text.
KNOWN_PARAMETER = "known"
CHANGES_TYPE = "application/x-router-configuration-changes"
WHOLE_TYPE = "application/x-router-configuration"
MAX_KEPT_ANSWERS = 16
MAX_KNOWN_PEERS = 4096
# Seconds after which a node that waits for its own fetch asks a second peer. Peers of
# a region answer within milliseconds.
FETCH_PATIENCE = 0.1

CallFunction: t.TypeAlias = t.Callable[..., t.Awaitable[WholeResponse]]


class ConfigurationError(Exception):
    """A peer's answer is no configuration; nothing of it is used."""


class _Part(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class _Change(_Part):
    before: str
    after: str
    pieces: list[tuple[Count, Count] | str]


class _Changes(_Part):
    changes: list[_Change] = Field(max_length=MAX_CHANGES)


class ConfigurationAnswers:
    """Answers to peers that ask for the configuration in force.

    Load pattern: all nodes of a fleet ask within a second for the same version, and
    most have the same one before it. Each answer is encoded once.
    """

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._digest = ""
        self._kept: dict[str, tuple[bytes, str]] = {}

    def answer(self, known: str) -> tuple[bytes, str]:
        """Return the body and its content type for a node that has a text."""
        registry = self._registry
        if registry.configuration_digest != self._digest:
            self._digest = registry.configuration_digest
            self._kept.clear()
        changes = registry.configuration_history.list_since(known)
        key = known if changes is not None else ""
        found = self._kept.get(key)
        if found is not None:
            return found
        if changes is not None:
            found = encode_changes(changes), CHANGES_TYPE
        else:
            found = encode_whole(registry.configuration_text), WHOLE_TYPE
        if len(self._kept) < MAX_KEPT_ANSWERS:
            self._kept[key] = found
        return found


class ConfigurationFetcher:
    """Fetches newer configurations, one at a time, near by where that is possible.

    Load pattern: a version spreads over the fleet, and several peers tell a node of it
    at nearly the same time, often with another version right behind it.

    Parameters
    ----------
    data_center : str
        Where this node runs.
    call : callable
        Sends a request to a peer; see `PeerGossip`.
    log : callable
        Logs an event.
    """

    def __init__(
        self,
        registry: Registry,
        data_center: str,
        call: CallFunction,
        log: t.Callable[..., None],
        source: random.Random,
    ) -> None:
        self._registry = registry
        self._data_center = data_center
        self._call = call
        self._log = log
        self._random = source
        self._near: dict[str, int] = {}
        self._running: trio.Event | None = None

    def note_version(self, address: str, data_center: str, version: int) -> None:
        """Record the version that a peer has told."""
        if data_center != self._data_center:
            return
        if address in self._near or len(self._near) < MAX_KNOWN_PEERS:
            self._near[address] = version

    async def fetch(self, address: str, version: int) -> None:
        """Fetch a version that a peer has, unless it is in force when it is our turn.

        Raises
        ------
        httpx.HTTPError
            If the peer doesn't answer.
        """
        if self._running is not None:
            with trio.move_on_after(FETCH_PATIENCE):
                await self._running.wait()
        if version <= self._registry.version:
            return
        running = self._running = trio.Event()
        try:
            near = self._choose_near(address, version)
            if near is None or not await self._try_near(near, version):
                await self._fetch_from(address)
        finally:
            running.set()
            if self._running is running:
                self._running = None

    def _choose_near(self, address: str, version: int) -> str | None:
        """Return a peer of this data centre that has a version; None for the teller."""
        if address in self._near:
            return None
        found = [each for each, known in self._near.items() if known >= version]
        return self._random.choice(found) if found else None

    async def _try_near(self, address: str, version: int) -> bool:
        try:
            await self._fetch_from(address)
        except httpx.HTTPError:
            self._near.pop(address, None)
        return version <= self._registry.version

    async def _fetch_from(self, address: str) -> None:
        known = self._registry.configuration_text
        if await self._ask(address, known, self._registry.configuration_digest):
            return
        # It knows this node's text by another digest, or not how to get on from it.
        await self._ask(address, b"", "")

    async def _ask(self, address: str, known: bytes, digest: str) -> bool:
        """Ask a peer; return whether its answer could be read."""
        response = await self._call(
            "GET", address, "configuration", params={KNOWN_PARAMETER: digest}
        )
        if response.status_code != 200 or not response.content:
            return True
        try:
            text, changes = decode_answer(response, known)
        except ConfigurationError as error:
            self._log("configuration_unreadable", None, peer=address, reason=str(error))
            return False
        self._registry.adopt(text, "peer", changes)
        return True


def encode_whole(text: bytes) -> bytes:
    """Encode a whole configuration; empty if there is none."""
    return compress(text) if text else b""


def encode_changes(changes: t.Iterable[DocumentChange]) -> bytes:
    """Encode a chain of changes."""
    rows = []
    for change in changes:
        # Latin-1 maps each byte to one character, also within another encoding.
        pieces = [
            piece.decode("latin-1") if isinstance(piece, bytes) else piece
            for piece in change.pieces
        ]
        rows.append({"before": change.before, "after": change.after, "pieces": pieces})
    return compress(orjson.dumps({"changes": rows}))


def decode_answer(
    response: WholeResponse, known: bytes
) -> tuple[bytes, tuple[DocumentChange, ...]]:
    """Return the configuration that a peer has sent, and the changes that led to it.

    Parameters
    ----------
    known : bytes
        Text to which changes apply.

    Raises
    ------
    ConfigurationError
        If it can't be read. The message quotes nothing, as there are API keys.
    """
    content_type = _find_content_type(response)
    if content_type == WHOLE_TYPE:
        return _decompress(response.content), ()
    if content_type != CHANGES_TYPE:  # of an older build
        return response.content, ()
    changes = _decode_changes(_decompress(response.content))
    text = known
    try:
        for change in changes:
            text = apply_change(text, change)
    except ChangeError as error:
        raise ConfigurationError(str(error)) from None
    return text, changes


def _find_content_type(response: WholeResponse) -> str:
    for name, value in response.headers:
        if name.lower() == b"content-type":
            return value.decode("latin-1")
    return ""


def _decompress(content: bytes) -> bytes:
    try:
        return decompress(content, MAX_DOCUMENT_BYTES)
    except CompressionError as error:
        raise ConfigurationError(f"the answer: {error}") from None


def _decode_changes(content: bytes) -> tuple[DocumentChange, ...]:
    try:
        found = _Changes.model_validate_json(content)
        changes = []
        for change in found.changes:
            pieces = tuple(
                piece.encode("latin-1") if isinstance(piece, str) else piece
                for piece in change.pieces
            )
            changes.append(DocumentChange(change.before, change.after, pieces))
    except (ValidationError, UnicodeEncodeError):
        raise ConfigurationError("the changes are malformed") from None
    return tuple(changes)
