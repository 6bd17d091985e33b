"""Orders the tokens of one answer by position and drops duplicates."""

from dataclasses import dataclass, field

from tarragonrudder.core.domain.event import AttemptEnded, Token

FINISH_REASONS = ("stop", "length")


class TokenProtocolError(Exception):
    """An attempt sent tokens or a terminator that violate the protocol."""


@dataclass(slots=True)
class ReorderBuffer:
    """Tokens of one answer over all of its attempts.

    Attributes
    ----------
    max_tokens : int
        Upper bound of the answer's length.
    emitted : list of str
        Tokens sent to the caller, by position from 0.
    """

    max_tokens: int
    emitted: list[str] = field(default_factory=list)
    _pending: dict[int, str] = field(default_factory=dict)
    _end: AttemptEnded | None = None

    @property
    def end(self) -> AttemptEnded | None:
        """The current attempt's terminator, if it arrived."""
        return self._end

    @property
    def is_complete(self) -> bool:
        """Whether the terminator and every token before it arrived."""
        return self._end is not None and self._end.length == len(self.emitted)

    def restart(self) -> None:
        """Discard tokens of an earlier attempt that were not emitted."""
        self._pending.clear()
        self._end = None

    def add(self, tokens: tuple[Token, ...]) -> tuple[Token, ...]:
        """Add tokens of the current attempt; return those to emit, in order.

        Raises
        ------
        TokenProtocolError
            If a position is out of bounds or carries two different texts.
        """
        for token in tokens:
            self._check(token)
            if token.position >= len(self.emitted):
                self._pending[token.position] = token.text
        ready = []
        while len(self.emitted) in self._pending:
            position = len(self.emitted)
            text = self._pending.pop(position)
            self.emitted.append(text)
            ready.append(Token(position, text))
        return tuple(ready)

    def finish(self, end: AttemptEnded) -> None:
        """Record the terminator of the current attempt.

        Raises
        ------
        TokenProtocolError
            If its length or reason contradicts the tokens.
        """
        if self._end is not None and self._end != end:
            raise TokenProtocolError("received two different terminators")
        if end.finish_reason not in FINISH_REASONS:
            raise TokenProtocolError(f"finish reason {end.finish_reason!r} is unknown")
        known = max(self._pending, default=len(self.emitted) - 1) + 1
        if not known <= end.length <= self.max_tokens:
            raise TokenProtocolError(f"length {end.length} after {known} tokens")
        self._end = end

    def _check(self, token: Token) -> None:
        limit = self.max_tokens if self._end is None else self._end.length
        if not 0 <= token.position < limit:
            raise TokenProtocolError(f"position {token.position} is not below {limit}")
        if token.position < len(self.emitted):
            known = self.emitted[token.position]
        else:
            known = self._pending.get(token.position, token.text)
        if known != token.text:
            raise TokenProtocolError(
                f"position {token.position} received twice with different text"
            )
