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
    Question,
    Status,
    _decode_question,
    add_exchange_route,
    expand_pieces,
)
from tarragonrudder.edges.peer import SIGNATURE_HEADER, parse_secrets
from tarragonrudder.edges.pieces import digest_text
from tarragonrudder.edges.statsd_metrics import StatsdMetrics
from tarragonrudder.errors import PeerError

SECRETS = parse_secrets(b"0123456789abcdef")
OTHERS = parse_secrets(b"fedcba9876543210")
TEXT = "[route:m]\n"
NONCE = "n" * 32


def describe() -> Status:
    return Status(
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
    add_exchange_route(app, SECRETS, StatsdMetrics(None, 0), describe, texts.get)
    return app


async def test_status_and_pieces_are_told() -> None:
    client = ExchangeClient(SECRETS, True, StatsdMetrics(None, 0))
    client._client = httpx.AsyncClient(transport=httpx.ASGITransport(make_app()))
    reply = await client.ask("http://node", [digest_text(TEXT), "unknown"])
    assert reply.status == describe()
    assert expand_pieces(reply) == {digest_text(TEXT): TEXT}


@pytest.mark.parametrize(
    ("answer", "message"),
    [
        (httpx.Response(503), "does not answer"),
        (httpx.Response(200, text="{}"), "signs wrongly"),
        (
            httpx.Response(200, text="{}", headers={SIGNATURE_HEADER: "0" * 64}),
            "signs wrongly",
        ),
    ],
)
async def test_a_forged_answer_is_refused(answer: httpx.Response, message: str) -> None:
    client = ExchangeClient(SECRETS, True, StatsdMetrics(None, 0))
    transport = httpx.MockTransport(lambda request: answer)
    client._client = httpx.AsyncClient(transport=transport)
    with pytest.raises(PeerError, match=message):
        await client.ask("http://node")


async def test_an_old_answer_cannot_be_given_again() -> None:
    app = httpx.AsyncClient(transport=httpx.ASGITransport(make_app()))
    question = Question(sent_at=time.time(), nonce=NONCE).model_dump_json().encode()
    headers = {SIGNATURE_HEADER: SECRETS.sign(question)}
    old = await app.post(
        "http://node" + EXCHANGE_PATH, content=question, headers=headers
    )
    assert old.status_code == 200
    client = ExchangeClient(SECRETS, True, StatsdMetrics(None, 0))
    again = httpx.Response(200, content=old.content, headers=old.headers)
    transport = httpx.MockTransport(lambda request: again)
    client._client = httpx.AsyncClient(transport=transport)
    with pytest.raises(PeerError, match="signs wrongly"):
        await client.ask("http://node")


@pytest.mark.parametrize(
    ("question", "signer"),
    [
        (Question(sent_at=1000.0, nonce=NONCE), OTHERS),
        (Question(sent_at=960.0, nonce=NONCE), SECRETS),
        (Question(sent_at=float("nan"), nonce=NONCE), SECRETS),
        (
            Question.model_construct(
                sent_at=1000.0, nonce=NONCE, digests=["d"] * (MAX_DIGESTS + 1)
            ),
            SECRETS,
        ),
        (
            Question.model_construct(
                sent_at=1000.0, nonce=NONCE, digests=["d" * 20000]
            ),
            SECRETS,
        ),
    ],
)
def test_a_bad_question_is_refused(question: Question, signer: object) -> None:
    body = question.model_dump_json().encode()
    with pytest.raises(PeerError):
        _decode_question(SECRETS, body, signer.sign(body), 1000.0)  # type: ignore


@given(body=st.binary(max_size=200))
def test_any_question_is_refused(body: bytes) -> None:
    with pytest.raises(PeerError):
        _decode_question(SECRETS, body, SECRETS.sign(body), 1000.0)
    with pytest.raises(PeerError):
        _decode_question(SECRETS, body, "é", 1000.0)
