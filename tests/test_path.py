import pathlib
import typing as t

import httpx
import pytest

from tests.standins.cluster import API_KEY, LAYER_COUNT, Cluster
from tests.standins.model import expect_answer

MESSAGES = [{"role": "user", "content": "May I be excused?"}]
HEADERS = {"authorization": f"Bearer {API_KEY}"}


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> t.Iterator[Cluster]:
    folder: pathlib.Path = tmp_path_factory.mktemp("cluster")
    running = Cluster(folder)
    try:
        running.start()
        yield running
    finally:
        running.close()


def test_whole_answer_is_correct(cluster: Cluster) -> None:
    for name in cluster.nodes:
        response = httpx.post(
            cluster.addresses[name] + "/v1/chat/completions",
            json={"model": "jury", "messages": MESSAGES, "max_tokens": 8},
            headers=HEADERS,
            timeout=10.0,
        )
        assert response.status_code == 200, response.text
        content = response.json()["choices"][0]["message"]["content"]
        assert content == "".join(expect_answer(MESSAGES, "1", LAYER_COUNT, 8))
