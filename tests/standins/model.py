"""A deterministic model in which every layer affects the token.

A skipped, repeated or reordered layer yields another token.
"""

import hashlib
import json
import typing as t


def start_token(messages: t.Any, emitted: t.Sequence[str]) -> bytes:
    """Return the input of the first layer for the next token."""
    text = json.dumps([messages, list(emitted)], sort_keys=True)
    return hashlib.sha256(text.encode()).digest()


def apply_layers(state: bytes, version: str, first: int, last: int) -> bytes:
    """Run layers `first` to `last` on a state."""
    for layer in range(first, last + 1):
        state = hashlib.sha256(f"{version}:{layer}:".encode() + state).digest()
    return state


def read_token(state: bytes) -> str:
    """Return the token's text from the output of the last layer."""
    return state[:3].hex() + " "


def expect_answer(
    messages: t.Any, version: str, layer_count: int, length: int
) -> list[str]:
    """Return the tokens of the correct answer."""
    emitted: list[str] = []
    for _ in range(length):
        state = start_token(messages, emitted)
        emitted.append(read_token(apply_layers(state, version, 0, layer_count - 1)))
    return emitted
