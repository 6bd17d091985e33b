"""Answers of the store that are whole, and can't be used."""

import pytest

from tarragonrudder.platform import metadata_store
from tarragonrudder.platform.http_client import WholeResponse
from tarragonrudder.platform.metadata_store import (
    Lease,
    MetadataStore,
    Position,
    StoreError,
)

CALLS = {
    "list": lambda store: store.list(""),
    "watch": lambda store: store.watch("", Position(1, 0), 0.1),
    "write": lambda store: store.write("k", b"v"),
    "grant": lambda store: store.grant_lease(3.0),
}
ANSWERS = [
    b"",
    b"[]",
    b"null",
    b"{}",
    b"[" * 100_000,
    b'{"revision": null, "lease": null, "store-revision": null}',
    b'{"revision": "x", "lease": [], "store-revision": {}, "items": 5, "events": 5}',
    b'{"items": [[]], "events": [5], "truncated": false, "store-revision": 4}',
    b'{"items": [{"key": "k"}], "events": [{}], "truncated": 0, "store-revision": 4}',
]


@pytest.mark.parametrize("answer", ANSWERS)
@pytest.mark.parametrize("call", CALLS)
async def test_unusable_answer_of_the_store_is_a_failed_call(call, answer, monkeypatch):
    # A write or lease without its number raised what no caller expects.
    async def fetch(*args, **options):
        return WholeResponse(200, answer)

    monkeypatch.setattr(metadata_store, "fetch_whole", fetch)
    store = MetadataStore("127.0.0.1:9", lambda *fields: None)
    with pytest.raises(StoreError):
        await CALLS[call](store)
    await store.close()


async def test_call_to_an_unusable_address_is_a_failed_call():
    store = MetadataStore("127.0.0.1", lambda *fields: None)
    with pytest.raises(StoreError):
        await store.renew_lease(Lease(1, 0))
    await store.close()
