import json
import pathlib
import ssl
import time
import typing as t

import httpx
import pytest
import trustme

from tarragonrudder.core.domain.event import PeerMessageReceived
from tarragonrudder.core.domain.message import (
    Facts,
    GenerationAnnounced,
    UpstreamLeaving,
)
from tarragonrudder.edges.peer import (
    MESSAGE_PATH,
    SIGNATURE_HEADER,
    PeerSecrets,
    decode_message,
    encode_message,
    make_peer_app,
    parse_secrets,
)
from tarragonrudder.edges.statsd_metrics import StatsdMetrics
from tarragonrudder.errors import PeerError, SettingsError
from tests.standins.cluster import Cluster

SECRETS = PeerSecrets((b"first-secret-of-nodes", b"second-secret-of-nodes"))
OTHER_SECRETS = PeerSecrets((b"a-secret-of-strangers",))
MESSAGE = Facts((UpstreamLeaving("fast-a", 0.5),))
NOW = 1000.0


def test_message_arrives_as_it_was_sent() -> None:
    body = encode_message("a", "b", MESSAGE, NOW)
    event = decode_message(SECRETS, "b", body, SECRETS.sign(body), NOW + 1)
    assert event == PeerMessageReceived("a", MESSAGE)


def test_second_secret_is_accepted() -> None:
    body = encode_message("a", "b", MESSAGE, NOW)
    signature = PeerSecrets(SECRETS.secrets[1:]).sign(body)
    assert decode_message(SECRETS, "b", body, signature, NOW).node == "a"


def _change(**fields: t.Any) -> bytes:
    item = json.loads(encode_message("a", "b", MESSAGE, NOW))
    item.update(fields)
    return json.dumps(item).encode()


@pytest.mark.parametrize(
    ("body", "signer", "now"),
    [
        (_change(), OTHER_SECRETS, NOW),
        (_change(), SECRETS, NOW + 31),
        (_change(), SECRETS, NOW - 31),
        (_change(receiver="c"), SECRETS, NOW),
        (_change(kind="Absent"), SECRETS, NOW),
        (_change(fields={"upstream": 7, "age": "x"}), SECRETS, NOW),
        (_change(fields={}), SECRETS, NOW),
        (_change(fields=None), SECRETS, NOW),
        (_change(sent_at="soon"), SECRETS, NOW),
        (b"", SECRETS, NOW),
        (b"[1]", SECRETS, NOW),
        (b"\xff\xfe", SECRETS, NOW),
    ],
)
def test_forged_message_is_refused(
    body: bytes, signer: PeerSecrets, now: float
) -> None:
    with pytest.raises(PeerError, match=";"):
        decode_message(SECRETS, "b", body, signer.sign(body), now)


def test_changed_body_is_refused() -> None:
    body = encode_message("a", "b", MESSAGE, NOW)
    signature = SECRETS.sign(body)
    changed = body.replace(b"fast-a", b"slow-a")
    with pytest.raises(PeerError):
        decode_message(SECRETS, "b", changed, signature, NOW)


@pytest.mark.parametrize("content", [b"", b"short", b"long-enough-as-a-secret\nx"])
def test_bad_secret_file_is_refused(content: bytes) -> None:
    with pytest.raises(SettingsError, match=";"):
        parse_secrets(content)


@pytest.fixture(scope="module")
def secured(tmp_path_factory: pytest.TempPathFactory) -> t.Iterator[Cluster]:
    folder = tmp_path_factory.mktemp("secured")
    running = Cluster(folder, node_count=1, engines=())
    try:
        running.start_platform()
        running.prepare_node("node-0")
        _write_certificates(folder)
        settings = folder / "node-0.ini"
        text = settings.read_text()
        text += (
            "[tls]\n"
            f"peer_certificate = {folder / 'node.pem'}\n"
            f"peer_key = {folder / 'node.key'}\n"
            f"peer_authority = {folder / 'authority.pem'}\n"
        )
        settings.write_text(
            text.replace("peer_address = http:", "peer_address = https:")
        )
        running.start_process("node-0")
        running.wait_alive("node-0", "/livez")
        yield running
    finally:
        running.close()


def _write_certificates(folder: pathlib.Path) -> None:
    authority = trustme.CA()
    authority.cert_pem.write_to_path(folder / "authority.pem")
    node = authority.issue_cert("127.0.0.1")
    node.private_key_pem.write_to_path(folder / "node.key")
    node.cert_chain_pems[0].write_to_path(folder / "node.pem")


def _send(cluster: Cluster, body: bytes, signature: str, certificate: bool) -> int:
    folder = cluster.folder
    context = ssl.create_default_context(cafile=folder / "authority.pem")
    if certificate:
        context.load_cert_chain(folder / "node.pem", folder / "node.key")
    url = cluster.peer_addresses["node-0"].replace("http:", "https:") + MESSAGE_PATH
    headers = {SIGNATURE_HEADER: signature}
    with httpx.Client(verify=context, timeout=5.0) as client:
        return client.post(url, content=body, headers=headers).status_code


def test_node_accepts_only_authentic_messages(secured: Cluster) -> None:

    secrets = parse_secrets((secured.folder / "peer-secret").read_bytes())
    body = encode_message("x", "node-0", GenerationAnnounced(1), time.time())
    assert _send(secured, body, secrets.sign(body), certificate=True) == 204
    assert _send(secured, body, OTHER_SECRETS.sign(body), certificate=True) == 403
    with pytest.raises(httpx.TransportError):
        _send(secured, body, secrets.sign(body), certificate=False)


def test_port_with_tls_refuses_plain_http(secured: Cluster) -> None:
    with pytest.raises(httpx.TransportError):
        httpx.post(secured.peer_addresses["node-0"] + MESSAGE_PATH, timeout=5.0)


class RecordingMetrics(StatsdMetrics):
    """Stand-in for the metrics; records counts in memory."""

    def __init__(self) -> None:
        super().__init__(None, 0)
        self.counted: dict[str, int] = {}

    def count(self, name: str, amount: int = 1) -> None:
        self.counted[name] = self.counted.get(name, 0) + amount


@pytest.mark.parametrize(
    ("signer", "status", "refused", "posted"),
    [(SECRETS, 204, 0, 1), (OTHER_SECRETS, 403, 1, 0)],
)
async def test_refused_message_is_counted_and_changes_nothing(
    signer: PeerSecrets, status: int, refused: int, posted: int
) -> None:
    counts = RecordingMetrics()
    events: list[t.Any] = []
    app = make_peer_app("b", SECRETS, counts, events.append)
    body = encode_message("a", "b", MESSAGE, time.time())
    response = await app.test_client().post(
        MESSAGE_PATH, data=body, headers={SIGNATURE_HEADER: signer.sign(body)}
    )
    assert response.status_code == status
    assert counts.counted.get("peer.refused", 0) == refused
    assert counts.counted["peer.bytes_received"] == len(body)
    assert len(events) == posted
