"""Node-to-node port: authenticated JSON over HTTP."""

import hashlib
import hmac
import time
import typing as t
from dataclasses import asdict

import httpx
import orjson
from pydantic import TypeAdapter
from quart import Response, request
from quart_trio import QuartTrio

from tarragonrudder.core.event import NodeAddress, PeerLost, PeerReached
from tarragonrudder.core.message import MESSAGES, Message
from tarragonrudder.edges.metrics import Metrics
from tarragonrudder.errors import PeerRefused

PEER_TIMEOUT = 2.0  # seconds
MAX_MESSAGE_BYTES = 256 * 1024
MAX_AGE = 30.0  # seconds between sending and arrival
SIGNATURE_HEADER = "x-tarragonrudder-signature"
_TYPES = {kind.__name__: TypeAdapter(kind) for kind in MESSAGES}


def encode_message(node: str, message: Message, sent_at: float) -> bytes:
    """Return a message as JSON."""
    body = {
        "node": node,
        "sent_at": sent_at,
        "kind": type(message).__name__,
        "fields": asdict(message),
    }
    return orjson.dumps(body)


def sign_message(secret: bytes, body: bytes) -> str:
    """Return the hexadecimal HMAC-SHA-256 of a body."""
    return hmac.new(secret, body, hashlib.sha256).hexdigest()


def decode_message(
    secret: bytes, body: bytes, signature: str, now: float
) -> PeerReached:
    """Check and decode a message.

    Raises
    ------
    PeerRefused
        If it is forged, stale or not understood.
    """
    expected = sign_message(secret, body)
    if not hmac.compare_digest(expected.encode(), signature.encode()):
        raise PeerRefused("the signature is wrong; give all nodes the same secret")
    try:
        item = orjson.loads(body)
        if abs(now - float(item["sent_at"])) > MAX_AGE:
            raise PeerRefused("the message is stale; set the VMs' clocks")
        kind = _TYPES[item["kind"]]
        return PeerReached(str(item["node"]), kind.validate_python(item["fields"]))
    except (ValueError, KeyError, TypeError) as error:
        raise PeerRefused(f"not understood: {error}; upgrade the older node") from error


class PeerClient:
    """Sends messages to other nodes."""

    def __init__(
        self,
        name: str,
        secret: bytes,
        metrics: Metrics,
        post: t.Callable[[t.Any], None],
    ) -> None:
        self._name = name
        self._secret = secret
        self._metrics = metrics
        self._post = post
        self._addresses: dict[str, str] = {}
        self._client = httpx.AsyncClient(timeout=PEER_TIMEOUT)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    def set_nodes(self, nodes: tuple[NodeAddress, ...]) -> None:
        """Replace the addresses of the nodes."""
        self._addresses = {node.name: node.address for node in nodes}

    async def send(self, node: str, message: Message) -> None:
        """Send one message; post ``PeerLost`` if it does not arrive."""
        address = self._addresses.get(node)
        if address is None:
            self._post(PeerLost(node, message))
            return
        body = encode_message(self._name, message, time.time())
        headers = {
            "content-type": "application/json",
            SIGNATURE_HEADER: sign_message(self._secret, body),
        }
        self._metrics.count("peer.bytes_sent", len(body))
        try:
            response = await self._client.post(
                address + "/peer/message", content=body, headers=headers
            )
            response.raise_for_status()
        except httpx.HTTPError:
            self._post(PeerLost(node, message))


def make_peer_app(
    secret: bytes, metrics: Metrics, post: t.Callable[[t.Any], None]
) -> QuartTrio:
    """Return the application of the node-to-node port."""
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = MAX_MESSAGE_BYTES

    @app.post("/peer/message")
    async def receive_message() -> Response:
        body = await request.get_data()
        metrics.count("peer.bytes_received", len(body))
        signature = request.headers.get(SIGNATURE_HEADER, "")
        try:
            event = decode_message(secret, body, signature, time.time())
        except PeerRefused as error:
            metrics.count("peer.refused")
            return Response(str(error), status=403)
        post(event)
        return Response(status=204)

    return app
