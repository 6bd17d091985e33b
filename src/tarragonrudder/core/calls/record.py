"""Records of non-idempotent calls, and how each command changes one."""

import base64
import hashlib
import json
import typing as t
from dataclasses import dataclass

DIGEST_BYTES = 16  # 128 bits of SHA-256 name a record and its request


@dataclass(frozen=True, slots=True)
class Pending:
    """The call may be sent, by its writer alone; its outcome is not known.

    Attributes
    ----------
    writer : str
        The one request that may send the call.
    """

    writer: str


@dataclass(frozen=True, slots=True)
class Finished:
    """The upstream answered.

    Attributes
    ----------
    body : bytes or None
        None if it was too large to keep.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The call may have run, and this can't be found out."""


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The writer sent nothing and never will: another may claim the key."""

    writer: str


State: t.TypeAlias = Pending | Finished | Unknown | Withdrawn


@dataclass(frozen=True, slots=True)
class Record:
    """What the platform holds about one idempotency key.

    Attributes
    ----------
    identity : str
        Digest of client account, service and key.
    digest : str
        Digest of the request, to tell another request under the same key.
    written_at : float
        When this state was written, in seconds.
    """

    identity: str
    digest: str
    written_at: float
    state: State


@dataclass(frozen=True, slots=True)
class Claim:
    """Ask for the right to send a call."""

    identity: str
    digest: str
    writer: str


@dataclass(frozen=True, slots=True)
class Finish:
    """Record the answer of the call that `writer` sent."""

    identity: str
    digest: str
    writer: str
    outcome: Finished


@dataclass(frozen=True, slots=True)
class Doubt:
    """Record that the outcome of the call of `writer` can't be found out."""

    identity: str
    digest: str
    writer: str


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Give up a claim; only for a writer that sent nothing and never will."""

    identity: str
    digest: str
    writer: str


Command: t.TypeAlias = Claim | Finish | Doubt | Withdraw


def identify_record(account: str, service: str, key: str) -> str:
    """Return the identity of a key: apart by client account and service."""
    return compute_digest(json.dumps([account, service, key]))


def compute_digest(text: str) -> str:
    """Return 128 bits of a text's SHA-256 in URL-safe base64, 22 characters."""
    raw = hashlib.sha256(text.encode()).digest()[:DIGEST_BYTES]
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")


def apply_command(
    current: Record | None, command: Command, now: float, retention: float
) -> Record:
    """Return the record that stands after a command.

    Nothing is to be written if that is `current` itself. ``Finished`` and
    ``Unknown`` are final; a claim succeeds only where no record stands, where
    one was withdrawn by another writer, or where one is past its retention.
    """
    if isinstance(command, Claim):
        return _apply_claim(current, command, now, retention)
    if current is not None and current.state != Pending(command.writer):
        return current
    return Record(command.identity, command.digest, now, get_target_state(command))


def get_target_state(command: Command) -> State:
    """Return the state that a command asks for."""
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
    """Return a record as one line of JSON."""
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
    """Return the record of a line.

    Raises
    ------
    ValueError
        If the line is not a record.
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
                raise ValueError(f"unknown state {kind!r}")
        return Record(str(identity), str(digest), float(written_at), state)
    except TypeError as error:
        raise ValueError(f"not a record: {error}") from error


def encode_command(command: Command) -> str:
    """Return a command as one line of JSON."""
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
    """Return the command of a line.

    Raises
    ------
    ValueError
        If the line is not a command.
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
        raise ValueError(f"not a command: {error}") from error
    raise ValueError(f"unknown command {kind!r}")


def _encode_outcome(outcome: Finished) -> list[t.Any]:
    body = outcome.body
    encoded = None if body is None else base64.b64encode(body).decode()
    return [outcome.status, outcome.content_type, encoded]


def _decode_outcome(items: list[t.Any]) -> Finished:
    status, content_type, encoded = items
    body = None if encoded is None else base64.b64decode(encoded)
    return Finished(int(status), str(content_type), body)
