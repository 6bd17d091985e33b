import io
import json

from tarragonrudder.edges.log_setup import configure_logger


def test_each_record_is_one_json_line() -> None:
    stream = io.StringIO()
    logger = configure_logger("node-0", "INFO", stream)
    logger.info("chain_chosen", extra={"chain": "a[0-3]", "text": "two\nlines"})
    logger.debug("hidden")
    (line,) = stream.getvalue().splitlines()
    item = json.loads(line)
    assert item["event"] == "chain_chosen"
    assert (item["level"], item["node"], item["chain"]) == ("INFO", "node-0", "a[0-3]")
    assert "time" in item
