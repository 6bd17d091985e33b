"""Records of keyed calls and the state transitions that commands cause."""

import base64
import hashlib
import json
import typing as t
from dataclasses import dataclass

DIGEST_BYTES = 16  # 128 bits of SHA-256 identify a record and its request


@dataclass(frozen=True, slots=True)
class Pending:
    """The key is claimed: only the writer may send the call; no outcome yet.

    Attributes
    ----------
    writer : str
        The one request that may send the call.
    """

    writer: str


@dataclass(frozen=True, slots=True)
class Finished:
    """The upstream responded.

    Attributes
    ----------
    body : bytes or None
        None if the body was too large to store.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The call may have run, and its outcome can't be determined."""


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The writer did not and will not send: another writer may claim the key."""

    writer: str


State: t.TypeAlias = Pending | Finished | Unknown | Withdrawn


@dataclass(frozen=True, slots=True)
class Record:
    """Stored state of one idempotency key.

    Attributes
    ----------
    identity : str
        Digest of client account, service and key.
    digest : str
        Digest of the request, to detect a different request with the same key.
    written_at : float
        Time at which this state was written, in seconds.
    """

    identity: str
    digest: str
    written_at: float
    state: State


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim a key, to be allowed to send the call."""

    identity: str
    digest: str
    writer: str


@dataclass(frozen=True, slots=True)
class Finish:
    """Record the response to the call that `writer` sent."""

    identity: str
    digest: str
    writer: str
    outcome: Finished


@dataclass(frozen=True, slots=True)
class Doubt:
    """Record that the outcome of the call sent by `writer` is unknown."""

    identity: str
    digest: str
    writer: str


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Release a claim; valid only if the writer did not and will not send."""

    identity: str
    digest: str
    writer: str


Command: t.TypeAlias = Claim | Finish | Doubt | Withdraw


def identify_record(account: str, service: str, key: str) -> str:
    """Return the record identity of a key, scoped to client account and service."""
    return compute_digest(json.dumps([account, service, key]))


def compute_digest(text: str) -> str:
    """Return 128 bits of a text's SHA-256 as URL-safe base64, 22 characters."""
    raw = hashlib.sha256(text.encode()).digest()[:DIGEST_BYTES]
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")


def apply_command(
    current: Record | None, command: Command, now: float, retention: float
) -> Record:
    """Return the record that results from applying a command.

    If the result is `current` itself, nothing has to be written. ``Finished``
    and ``Unknown`` are final. A claim succeeds only if there is no record, if
    another writer withdrew it, or if it is past its retention.
    """
    if isinstance(command, Claim):
        return _apply_claim(current, command, now, retention)
    if current is not None and current.state != Pending(command.writer):
        return current
    return Record(command.identity, command.digest, now, get_target_state(command))


def get_target_state(command: Command) -> State:
    """Return the state that a command leads to if it succeeds."""
    match command:
        case Claim(writer=writer):
            return Pending(writer)
        case Finish(outcome=outcome):
            return outcome
        case Doubt():
            return Unknown()
        case Withdraw(writer=writer):
            return Withdrawn(writer)


def _apply_claim(
    current: Record | None, command: Claim, now: float, retention: float
) -> Record:
    claimed = Record(command.identity, command.digest, now, get_target_state(command))
    if current is None:
        return claimed
    match current.state:
        case Withdrawn(writer=writer) if writer != command.writer:
            return claimed
        case Finished() | Unknown() | Pending() if current.written_at + retention < now:
            return claimed
    return current


def encode_record(record: Record) -> str:
    """Encode a record as one line of JSON."""
    fields: list[t.Any] = [record.identity, record.digest, round(record.written_at, 3)]
    match record.state:
        case Pending(writer=writer):
            fields += ["pending", writer]
        case Withdrawn(writer=writer):
            fields += ["withdrawn", writer]
        case Unknown():
            fields += ["unknown"]
        case Finished() as outcome:
            fields += ["finished", *_encode_outcome(outcome)]
    return json.dumps(fields, separators=(",", ":"))


def decode_record(line: str) -> Record:
    """Decode a record from a line of JSON.

    Raises
    ------
    ValueError
        If the line is not a valid record.
    """
    try:
        identity, digest, written_at, kind, *rest = json.loads(line)
        match kind:
            case "pending":
                state: State = Pending(*rest)
            case "withdrawn":
                state = Withdrawn(*rest)
            case "unknown":
                state = Unknown()
            case "finished":
                state = _decode_outcome(rest)
            case _:
                raise ValueError(f"unknown record state {kind!r}")
        return Record(str(identity), str(digest), float(written_at), state)
    except TypeError as error:
        raise ValueError(f"malformed record: {error}") from error


def encode_command(command: Command) -> str:
    """Encode a command as one line of JSON."""
    fields: list[t.Any] = [
        type(command).__name__,
        command.identity,
        command.digest,
        command.writer,
    ]
    if isinstance(command, Finish):
        fields += _encode_outcome(command.outcome)
    return json.dumps(fields, separators=(",", ":"))


def decode_command(line: str) -> Command:
    """Decode a command from a line of JSON.

    Raises
    ------
    ValueError
        If the line is not a valid command.
    """
    try:
        kind, identity, digest, writer, *rest = json.loads(line)
        match kind:
            case "Claim":
                return Claim(identity, digest, writer)
            case "Doubt":
                return Doubt(identity, digest, writer)
            case "Withdraw":
                return Withdraw(identity, digest, writer)
            case "Finish":
                return Finish(identity, digest, writer, _decode_outcome(rest))
    except TypeError as error:
        raise ValueError(f"malformed command: {error}") from error
    raise ValueError(f"unknown command {kind!r}")


def _encode_outcome(outcome: Finished) -> list[t.Any]:
    body = outcome.body
    encoded = None if body is None else base64.b64encode(body).decode()
    return [outcome.status, outcome.content_type, encoded]


def _decode_outcome(items: list[t.Any]) -> Finished:
    status, content_type, encoded = items
    body = None if encoded is None else base64.b64decode(encoded)
    return Finished(int(status), str(content_type), body)
