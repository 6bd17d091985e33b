import time

import httpx
import pytest
from hypothesis import given
from hypothesis import strategies as st
from quart_trio import QuartTrio

from tarragonrudder.edges.exchange import (
    EXCHANGE_PATH,
    MAX_DIGESTS,
    ExchangeClient,
    ExchangeQuery,
    NodeStatus,
    _decode_query,
    add_exchange_route,
    decode_pieces,
)
from tarragonrudder.edges.peer import SIGNATURE_HEADER, parse_secrets
from tarragonrudder.edges.pieces import digest_text
from tarragonrudder.edges.statsd_metrics import StatsdMetrics
from tarragonrudder.errors import PeerError

SECRETS = parse_secrets(b"0123456789abcdef")
OTHER_SECRETS = parse_secrets(b"fedcba9876543210")
TEXT = "[route:m]\n"
NONCE = "n" * 32


def make_status() -> NodeStatus:
    return NodeStatus(
        node="node-0",
        generation=3,
        digest="d",
        ready=True,
        stopping=False,
        in_flight=0,
        platform_error=None,
    )


def make_app() -> QuartTrio:
    app = QuartTrio(__name__)
    texts = {digest_text(TEXT): TEXT}
    add_exchange_route(app, SECRETS, StatsdMetrics(None, 0), make_status, texts.get)
    return app


async def test_reply_holds_status_and_pieces() -> None:
    client = ExchangeClient(SECRETS, True, StatsdMetrics(None, 0))
    client._client = httpx.AsyncClient(transport=httpx.ASGITransport(make_app()))
    reply = await client.query("http://node", [digest_text(TEXT), "unknown"])
    assert reply.status == make_status()
    assert decode_pieces(reply) == {digest_text(TEXT): TEXT}


@pytest.mark.parametrize(
    ("answer", "message"),
    [
        (httpx.Response(503), "does not answer"),
        (httpx.Response(200, text="{}"), "invalid signature"),
        (
            httpx.Response(200, text="{}", headers={SIGNATURE_HEADER: "0" * 64}),
            "invalid signature",
        ),
    ],
)
async def test_forged_reply_is_refused(answer: httpx.Response, message: str) -> None:
    client = ExchangeClient(SECRETS, True, StatsdMetrics(None, 0))
    transport = httpx.MockTransport(lambda request: answer)
    client._client = httpx.AsyncClient(transport=transport)
    with pytest.raises(PeerError, match=message):
        await client.query("http://node")


async def test_replayed_reply_is_refused() -> None:
    app = httpx.AsyncClient(transport=httpx.ASGITransport(make_app()))
    query = ExchangeQuery(sent_at=time.time(), nonce=NONCE).model_dump_json().encode()
    headers = {SIGNATURE_HEADER: SECRETS.sign(query)}
    old = await app.post("http://node" + EXCHANGE_PATH, content=query, headers=headers)
    assert old.status_code == 200
    client = ExchangeClient(SECRETS, True, StatsdMetrics(None, 0))
    again = httpx.Response(200, content=old.content, headers=old.headers)
    transport = httpx.MockTransport(lambda request: again)
    client._client = httpx.AsyncClient(transport=transport)
    with pytest.raises(PeerError, match="invalid signature"):
        await client.query("http://node")


@pytest.mark.parametrize(
    ("query", "signer"),
    [
        (ExchangeQuery(sent_at=1000.0, nonce=NONCE), OTHER_SECRETS),
        (ExchangeQuery(sent_at=960.0, nonce=NONCE), SECRETS),
        (ExchangeQuery(sent_at=float("nan"), nonce=NONCE), SECRETS),
        (
            ExchangeQuery.model_construct(
                sent_at=1000.0, nonce=NONCE, digests=["d"] * (MAX_DIGESTS + 1)
            ),
            SECRETS,
        ),
        (
            ExchangeQuery.model_construct(
                sent_at=1000.0, nonce=NONCE, digests=["d" * 20000]
            ),
            SECRETS,
        ),
    ],
)
def test_a_bad_query_is_refused(query: ExchangeQuery, signer: object) -> None:
    body = query.model_dump_json().encode()
    with pytest.raises(PeerError):
        _decode_query(SECRETS, body, signer.sign(body), 1000.0)  # type: ignore


@given(body=st.binary(max_size=200))
def test_any_query_is_refused(body: bytes) -> None:
    with pytest.raises(PeerError):
        _decode_query(SECRETS, body, SECRETS.sign(body), 1000.0)
    with pytest.raises(PeerError):
        _decode_query(SECRETS, body, "é", 1000.0)
