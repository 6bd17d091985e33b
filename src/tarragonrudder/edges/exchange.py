"""Questions between nodes, and of the operators' tool: status and pieces.

Both ways are signed with the nodes' shared secret. An answer's signature also
covers the question's, so that an old answer can't be given again.
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

from tarragonrudder.edges.peer import MAX_AGE, SIGNATURE_HEADER, PeerSecrets
from tarragonrudder.edges.pieces import compress_piece, expand_piece
from tarragonrudder.edges.statsd_metrics import StatsdMetrics
from tarragonrudder.errors import PeerError, PieceError

EXCHANGE_PATH = "/peer/exchange"
EXCHANGE_TIMEOUT = 2.0  # seconds
MAX_DIGESTS = 32  # pieces in one answer
MAX_QUESTION_BYTES = 16 * 1024


class Border(BaseModel):
    """Base of all questions and answers."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class Question(Border):
    """Asks for a node's status and for pieces that it holds."""

    sent_at: float
    nonce: str = Field(min_length=16, max_length=64)
    digests: list[str] = Field(default_factory=list, max_length=MAX_DIGESTS)


class Status(Border):
    """What a node tells about itself.

    Attributes
    ----------
    stopping : bool
        Whether it is shutting down gracefully.
    in_flight : int
        Requests that have not ended.
    platform_error : str or None
        How its last call to the platform failed; None if it succeeded.
    """

    node: str
    generation: int = Field(ge=0)
    digest: str
    ready: bool
    stopping: bool
    in_flight: int
    platform_error: str | None


class Reply(Border):
    """A node's answer; pieces are compressed and in base64."""

    status: Status
    pieces: dict[str, str] = Field(default_factory=dict)


DescribeNode: t.TypeAlias = t.Callable[[], Status]
FindPiece: t.TypeAlias = t.Callable[[str], str | None]


class ExchangeClient:
    """Asks nodes by their address."""

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

    async def ask(self, address: str, digests: t.Sequence[str] = ()) -> Reply:
        """Return a node's status and those of the pieces that it holds.

        Raises
        ------
        PeerError
            If it does not answer, or not authentically.
        """
        question = Question(
            sent_at=time.time(), nonce=uuid.uuid4().hex, digests=list(digests)
        )
        body = question.model_dump_json().encode()
        signature = self._secrets.sign(body)
        headers = {"content-type": "application/json", SIGNATURE_HEADER: signature}
        self._metrics.count("peer.bytes_sent", len(body))
        try:
            response = await self._client.post(
                address + EXCHANGE_PATH, content=body, headers=headers
            )
            response.raise_for_status()
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            raise PeerError(f"{address} does not answer: {error!r}; retry") from error
        self._metrics.count("peer.bytes_received", len(response.content))
        given = response.headers.get(SIGNATURE_HEADER, "")
        if not self._secrets.verify(signature.encode() + response.content, given):
            raise PeerError(f"{address} signs wrongly; give nodes the same secret")
        try:
            return Reply.model_validate_json(response.content)
        except ValidationError as error:
            raise PeerError(f"{address} is not understood; upgrade it") from error


def expand_pieces(reply: Reply) -> dict[str, str]:
    """Return the texts of those pieces of a reply that fit their digest."""
    texts = {}
    for digest, packed in reply.pieces.items():
        try:
            texts[digest] = expand_piece(base64.b64decode(packed), digest)
        except (binascii.Error, PieceError):
            continue
    return texts


def add_exchange_route(
    app: QuartTrio,
    secrets: PeerSecrets,
    metrics: StatsdMetrics,
    describe: DescribeNode,
    find_piece: FindPiece,
) -> None:
    """Add the route that answers questions to the node-to-node port."""

    @app.post(EXCHANGE_PATH)
    async def answer_question() -> Response:
        body = await request.get_data()
        metrics.count("peer.bytes_received", len(body))
        signature = request.headers.get(SIGNATURE_HEADER, "")
        try:
            question = _decode_question(secrets, body, signature, time.time())
        except PeerError as error:
            metrics.count("peer.refused")
            return Response(str(error), status=403)
        pieces = {}
        for digest in question.digests:
            text = find_piece(digest)
            if text is not None:
                pieces[digest] = base64.b64encode(compress_piece(text)).decode()
        reply = Reply(status=describe(), pieces=pieces).model_dump_json().encode()
        metrics.count("peer.bytes_sent", len(reply))
        headers = {SIGNATURE_HEADER: secrets.sign(signature.encode() + reply)}
        return Response(reply, headers=headers, content_type="application/json")


def _decode_question(
    secrets: PeerSecrets, body: bytes, signature: str, now: float
) -> Question:
    if len(body) > MAX_QUESTION_BYTES:
        raise PeerError("the question is too long; ask for fewer pieces")
    if not secrets.verify(body, signature):
        raise PeerError("the signature is wrong; give all nodes the same secret")
    try:
        question = Question.model_validate_json(body)
    except ValidationError as error:
        raise PeerError("not understood; upgrade the older node") from error
    if not abs(now - question.sent_at) <= MAX_AGE:
        raise PeerError("the question is stale; set the VMs' clocks")
    return question
