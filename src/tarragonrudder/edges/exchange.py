"""Queries for status and pieces, between nodes and from the operators' tool.

Queries and replies are signed with the nodes' shared secret. A reply's signature
also covers the query's signature, so that an old reply can't be replayed.
"""

import base64
import binascii
import ssl
import time
import typing as t
import uuid

import httpx
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from quart import Response, request
from quart_trio import QuartTrio

from tarragonrudder.edges.peer import MAX_MESSAGE_AGE, SIGNATURE_HEADER, PeerSecrets
from tarragonrudder.edges.pieces import compress_piece, decompress_piece
from tarragonrudder.edges.statsd_metrics import StatsdMetrics
from tarragonrudder.edges.whole_response import fetch
from tarragonrudder.errors import PeerError, PieceError

EXCHANGE_PATH = "/peer/exchange"
EXCHANGE_TIMEOUT = 2.0  # seconds
MAX_DIGESTS = 32  # pieces requested in one query
MAX_QUERY_BYTES = 16 * 1024
MAX_REPLY_BYTES = 16 << 20  # `MAX_DIGESTS` pieces in base64


class ExchangeModel(BaseModel):
    """Base of queries and replies; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class ExchangeQuery(ExchangeModel):
    """Query for a node's status and for pieces that it holds."""

    sent_at: float
    nonce: str = Field(min_length=16, max_length=64)
    digests: list[str] = Field(default_factory=list, max_length=MAX_DIGESTS)


class NodeStatus(ExchangeModel):
    """Status that a node reports about itself.

    Attributes
    ----------
    stopping : bool
        Whether it is shutting down gracefully.
    in_flight : int
        Number of unfinished requests.
    platform_error : str or None
        Error of its last call to the platform; None if that call succeeded.
    """

    node: str
    generation: int = Field(ge=0)
    digest: str
    ready: bool
    stopping: bool
    in_flight: int
    platform_error: str | None


class ExchangeReply(ExchangeModel):
    """A node's reply; pieces are zlib-compressed and base64-encoded."""

    status: NodeStatus
    pieces: dict[str, str] = Field(default_factory=dict)


ReadStatus: t.TypeAlias = t.Callable[[], NodeStatus]
FindPiece: t.TypeAlias = t.Callable[[str], str | None]


class ExchangeClient:
    """Sends queries to nodes."""

    def __init__(
        self,
        secrets: PeerSecrets,
        context: ssl.SSLContext | bool,
        metrics: StatsdMetrics,
    ) -> None:
        self._secrets = secrets
        self._metrics = metrics
        self._client = httpx.AsyncClient(timeout=EXCHANGE_TIMEOUT, verify=context)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def query(self, address: str, digests: t.Sequence[str] = ()) -> ExchangeReply:
        """Return a node's status and those of the requested pieces that it holds.

        Raises
        ------
        PeerError
            If it does not answer, or its reply is not authentic or not valid.
        """
        query = ExchangeQuery(
            sent_at=time.time(), nonce=uuid.uuid4().hex, digests=list(digests)
        )
        body = query.model_dump_json().encode()
        signature = self._secrets.sign(body)
        headers = {"content-type": "application/json", SIGNATURE_HEADER: signature}
        self._metrics.count("peer.bytes_sent", len(body))
        try:
            response = await fetch(
                self._client,
                "POST",
                address + EXCHANGE_PATH,
                EXCHANGE_TIMEOUT,
                MAX_REPLY_BYTES,
                headers=headers,
                content=body,
            )
            response.raise_for_status()
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            raise PeerError(f"{address} does not answer: {error!r}; retry") from error
        self._metrics.count("peer.bytes_received", len(response.content))
        reply_signature = response.headers.get(SIGNATURE_HEADER, "")
        if not self._secrets.verify(
            signature.encode() + response.content, reply_signature
        ):
            raise PeerError(f"{address}: invalid signature; give nodes the same secret")
        try:
            return ExchangeReply.model_validate_json(response.content)
        except ValidationError as error:
            raise PeerError(f"{address}: invalid reply; upgrade it") from error


def decode_pieces(reply: ExchangeReply) -> dict[str, str]:
    """Return a reply's pieces by digest; those that don't match it are left out."""
    texts = {}
    for digest, compressed in reply.pieces.items():
        try:
            texts[digest] = decompress_piece(base64.b64decode(compressed), digest)
        except (binascii.Error, PieceError):
            continue
    return texts


def add_exchange_route(
    app: QuartTrio,
    secrets: PeerSecrets,
    metrics: StatsdMetrics,
    read_status: ReadStatus,
    find_piece: FindPiece,
) -> None:
    """Add the route for queries to the application of the node-to-node port."""

    @app.post(EXCHANGE_PATH)
    async def handle_query() -> Response:
        body = await request.get_data()
        metrics.count("peer.bytes_received", len(body))
        signature = request.headers.get(SIGNATURE_HEADER, "")
        try:
            query = _decode_query(secrets, body, signature, time.time())
        except PeerError as error:
            metrics.count("peer.refused")
            return Response(str(error), status=403)
        pieces = {}
        for digest in query.digests:
            text = find_piece(digest)
            if text is not None:
                pieces[digest] = base64.b64encode(compress_piece(text)).decode()
        reply = (
            ExchangeReply(status=read_status(), pieces=pieces)
            .model_dump_json()
            .encode()
        )
        metrics.count("peer.bytes_sent", len(reply))
        headers = {SIGNATURE_HEADER: secrets.sign(signature.encode() + reply)}
        return Response(reply, headers=headers, content_type="application/json")


def _decode_query(
    secrets: PeerSecrets, body: bytes, signature: str, now: float
) -> ExchangeQuery:
    if len(body) > MAX_QUERY_BYTES:
        raise PeerError("the question is too long; ask for fewer pieces")
    if not secrets.verify(body, signature):
        raise PeerError("the signature is wrong; give all nodes the same secret")
    try:
        query = ExchangeQuery.model_validate_json(body)
    except ValidationError as error:
        raise PeerError("not understood; upgrade the older node") from error
    if not abs(now - query.sent_at) <= MAX_MESSAGE_AGE:
        raise PeerError("the question is stale; set the VMs' clocks")
    return query
