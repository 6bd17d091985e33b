"""Node-to-node messages: authenticated JSON over HTTP."""

import hashlib
import hmac
import ssl
import time
import typing as t
from dataclasses import asdict, dataclass

import httpx
import orjson
from pydantic import TypeAdapter
from quart import Response, request
from quart_trio import QuartTrio

from tarragonrudder.core.domain.event import NodeAddress, PeerMessageReceived
from tarragonrudder.core.domain.message import MESSAGES, Message
from tarragonrudder.edges.statsd_metrics import StatsdMetrics
from tarragonrudder.edges.whole_response import fetch
from tarragonrudder.errors import PeerError, SettingsError

PEER_TIMEOUT = 2.0  # seconds
MAX_MESSAGE_BYTES = 256 * 1024
MAX_MESSAGE_AGE = 30.0  # seconds between sending and arrival
SIGNATURE_HEADER = "x-tarragonrudder-signature"
MESSAGE_PATH = "/peer/message"
MIN_SECRET_BYTES = 16
_ADAPTERS = {kind.__name__: TypeAdapter(kind) for kind in MESSAGES}


@dataclass(frozen=True, slots=True)
class PeerSecrets:
    """Shared secrets of the nodes: the first one signs, all are accepted.

    To rotate a secret without downtime, add the new one as second on all nodes,
    then make it the first on all nodes, then remove the old one.
    """

    secrets: tuple[bytes, ...]

    def sign(self, body: bytes) -> str:
        """Return the hexadecimal HMAC-SHA-256 of a body."""
        return hmac.new(self.secrets[0], body, hashlib.sha256).hexdigest()

    def verify(self, body: bytes, signature: str) -> bool:
        """Return whether the signature was made with one of the secrets."""
        found = False
        for secret in self.secrets:
            expected = hmac.new(secret, body, hashlib.sha256).hexdigest()
            if hmac.compare_digest(expected.encode(), signature.encode()):
                found = True
        return found


def parse_secrets(content: bytes) -> PeerSecrets:
    """Return the secrets from a file with one secret per line.

    Raises
    ------
    SettingsError
        If there is no secret or one is too short.
    """
    secrets = []
    for line in content.split():
        if len(line) < MIN_SECRET_BYTES:
            raise SettingsError(
                f"a node-to-node secret is under {MIN_SECRET_BYTES} bytes; "
                "make a longer one"
            )
        secrets.append(line)
    if not secrets:
        raise SettingsError("the node-to-node secret file is empty; put a secret in")
    return PeerSecrets(tuple(secrets))


def encode_message(
    sender: str, receiver: str, message: Message, sent_at: float
) -> bytes:
    """Return a message as JSON.

    The receiver is part of the signed body, so that a captured message can't be
    replayed to another node.
    """
    body = {
        "sender": sender,
        "receiver": receiver,
        "sent_at": sent_at,
        "kind": type(message).__name__,
        "fields": asdict(message),
    }
    return orjson.dumps(body)


def decode_message(
    secrets: PeerSecrets, receiver: str, body: bytes, signature: str, now: float
) -> PeerMessageReceived:
    """Verify and decode a message.

    Raises
    ------
    PeerError
        If it is forged, too old, for another node, or not valid.
    """
    if not secrets.verify(body, signature):
        raise PeerError("the signature is wrong; give all nodes the same secret")
    try:
        item = orjson.loads(body)
        if item["receiver"] != receiver:
            raise PeerError("the message is for another node; check the addresses")
        if abs(now - float(item["sent_at"])) > MAX_MESSAGE_AGE:
            raise PeerError("the message is stale; set the VMs' clocks")
        message = _ADAPTERS[item["kind"]].validate_python(item["fields"])
        return PeerMessageReceived(str(item["sender"]), message)
    except (ValueError, KeyError, TypeError) as error:
        raise PeerError("it is not understood; upgrade the older node") from error


class PeerClient:
    """Sends messages to other nodes."""

    def __init__(
        self,
        name: str,
        secrets: PeerSecrets,
        context: ssl.SSLContext | bool,
        metrics: StatsdMetrics,
    ) -> None:
        self._name = name
        self._secrets = secrets
        self._metrics = metrics
        self._addresses: dict[str, str] = {}
        self._client = httpx.AsyncClient(timeout=PEER_TIMEOUT, verify=context)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    def set_nodes(self, nodes: tuple[NodeAddress, ...]) -> None:
        """Replace the addresses of the listed nodes."""
        self._addresses = {node.name: node.address for node in nodes}

    async def send(self, node: str, message: Message) -> bool:
        """Send one message; return whether the node accepted it."""
        address = self._addresses.get(node)
        if address is None:
            return False
        body = encode_message(self._name, node, message, time.time())
        headers = {
            "content-type": "application/json",
            SIGNATURE_HEADER: self._secrets.sign(body),
        }
        try:
            response = await fetch(
                self._client,
                "POST",
                address + MESSAGE_PATH,
                PEER_TIMEOUT,
                MAX_MESSAGE_BYTES,
                headers=headers,
                content=body,
            )
            self._metrics.count("peer.bytes_sent", measure_request(response.request))
            response.raise_for_status()
        except httpx.HTTPError:
            self._metrics.count("peer.lost")
            return False
        return True


def measure_request(sent: httpx.Request) -> int:
    """Return a request's size in bytes: request line, headers and body."""
    size = len(sent.method) + len(sent.url.raw_path) + len(" HTTP/1.1\r\n\r\n") + 1
    for name, value in sent.headers.raw:
        size += len(name) + len(value) + 4
    return size + len(sent.content)


def make_peer_app(
    name: str,
    secrets: PeerSecrets,
    metrics: StatsdMetrics,
    post: t.Callable[[t.Any], None],
) -> QuartTrio:
    """Return the application of the node-to-node port."""
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = MAX_MESSAGE_BYTES

    @app.post(MESSAGE_PATH)
    async def receive_message() -> Response:
        body = await request.get_data()
        metrics.count("peer.bytes_received", len(body))
        signature = request.headers.get(SIGNATURE_HEADER, "")
        try:
            event = decode_message(secrets, name, body, signature, time.time())
        except PeerError as error:
            metrics.count("peer.refused")
            return Response(str(error), status=403)
        post(event)
        return Response(b"", status=204)

    return app
