"""Messages in which nodes tell each other what they know."""

import base64
import binascii
import typing as t
from dataclasses import dataclass, field

import orjson
from pydantic import (
    BaseModel,
    ConfigDict,
    FailFast,
    Field,
    FiniteFloat,
    TypeAdapter,
    ValidationError,
)

from tarragonrudder.core.domain.forwarded_request import Trait
from tarragonrudder.core.forwarding.answer_lengths import LengthKey, LengthSums
from tarragonrudder.core.forwarding.crash_tracker import (
    MAX_SHARED_RECORDS,
    CrashReport,
)
from tarragonrudder.core.forwarding.peer_table import PeerReport
from tarragonrudder.core.forwarding.upstream_limits import MAX_REPORTS, LimitReport
from tarragonrudder.core.forwarding.usage_tracker import Usage
from tarragonrudder.platform.compression import MARK, CompressionError, decompress
from tarragonrudder.platform.decoding import Address, Count
from tarragonrudder.platform.metadata_store import Position
from tarragonrudder.platform.peer_lengths import decode_lengths, encode_lengths
from tarragonrudder.platform.store_view import (
    StoreView,
    decode_position,
    decode_view,
    encode_position,
    encode_view,
)

MAX_STATE_BYTES = 4 << 20  # plain, or once it is decompressed
# Lists and objects in a state; empty ones take far more memory than text. The rows of
# a state are longer than this.
MAX_STATE_CONTAINERS = MAX_STATE_BYTES // 16
MAX_ANNOUNCED_ENDS = 256  # sent to a peer; bounds the message

Seconds: t.TypeAlias = t.Annotated[FiniteFloat, Field(ge=0.0)]
Name: t.TypeAlias = t.Annotated[str, Field(min_length=1, max_length=200)]


# A list of very many faults takes far more memory than the message, so they end at
# the first one.
_Ages: t.TypeAlias = t.Annotated[dict[str, FiniteFloat], FailFast()]
_CrashRow: t.TypeAlias = tuple[str, str, FiniteFloat, _Ages]
_LimitRow: t.TypeAlias = tuple[str, Seconds | None, Seconds, Seconds]


class PeerMessageError(Exception):
    """A peer's message can't be read; nothing of it is used."""


@dataclass(frozen=True, slots=True)
class PeerState:
    """What a node tells of itself and of what it knows.

    Attributes
    ----------
    node, address : str
        Its name, and the ``HOST:PORT`` at which peers reach it.
    version : int
        Version of its configuration, 0 without one.
    is_store_away : bool
        Whether the store doesn't answer it.
    culprits : mapping of str to float
        Upstreams found at fault, with the seconds left of each.
    report : PeerReport or None
        What it tells of itself as a target of requests; None of an older build.
    announced_ends : sequence of str
        Incarnations of the upstreams that have announced their end.
    position : Position or None
        Position in the store up to which it knows all changes.
    view : StoreView or None
        The changes that the receiver lacks, if it told its position.
    reads_compressed : bool
        Whether it reads compressed states; False of an older build.
    lengths : mapping of LengthKey to LengthSums
        What it has learned of answers' lengths; mostly empty.
    lengths_dropped : int
        Rows of them that were left out, as they can't be right.
    nodes : int
        How many nodes it has listed or heard itself; 0 of an older build.
    """

    node: str
    address: str
    version: int
    is_store_away: bool
    usage: t.Mapping[str, Usage]
    crash_reports: t.Mapping[Trait, CrashReport]
    culprits: t.Mapping[str, float]
    report: PeerReport | None = None
    limits: t.Mapping[str, LimitReport] = field(default_factory=dict)
    announced_ends: t.Sequence[str] = ()
    position: Position | None = None
    view: StoreView | None = None
    reads_compressed: bool = False
    lengths: t.Mapping[LengthKey, LengthSums] = field(default_factory=dict)
    lengths_dropped: int = 0
    nodes: int = 0


class _Part(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class _Relay(_Part):
    address: Address | t.Literal[""]
    data_center: str
    active: Count
    available: bool


class _State(_Part):
    node: Name
    address: Address
    version: Count
    away: bool
    usage: t.Annotated[dict[str, tuple[Count, Count]], FailFast()]
    crash_reports: t.Annotated[list[_CrashRow], FailFast()] = []
    culprits: _Ages
    relay: _Relay | None = None
    limits: t.Annotated[list[_LimitRow], FailFast()] = []
    announced_ends: t.Annotated[list[str], FailFast()] = []
    position: t.Any = None
    view: t.Any = None
    compressed: bool = False
    lengths: t.Any = None
    nodes: Count = 0


_ENTRIES = TypeAdapter(dict[Name, str])


def encode_state(state: PeerState) -> bytes:
    """Encode a node's state."""
    usage = {name: (each.requests, each.tokens) for name, each in state.usage.items()}
    relay = None
    if state.report is not None:
        relay = {
            "address": state.report.address,
            "data_center": state.report.data_center,
            "active": state.report.active,
            "available": state.report.is_available,
        }
    return orjson.dumps(
        {
            "node": state.node,
            "address": state.address,
            "version": state.version,
            "away": state.is_store_away,
            "usage": usage,
            "crashes": {},  # required by nodes that don't know crash_reports
            "crash_reports": _encode_crash_reports(state.crash_reports),
            "culprits": state.culprits,
            "relay": relay,
            "limits": _encode_limits(state.limits),
            "announced_ends": state.announced_ends[:MAX_ANNOUNCED_ENDS],
            "position": encode_position(state.position),
            "view": encode_view(state.view),
            "compressed": state.reads_compressed,
            "lengths": encode_lengths(state.lengths),
            "nodes": state.nodes,
        }
    )


def decode_state(content: bytes) -> PeerState:
    """Decode a node's state, which may be compressed.

    Raises
    ------
    PeerMessageError
        If a field is missing, of another type or out of bounds.
    """
    try:
        if content.startswith(MARK):
            content = decompress(content, MAX_STATE_BYTES)
        if content.count(b"[") + content.count(b"{") > MAX_STATE_CONTAINERS:
            raise PeerMessageError(f"over {MAX_STATE_CONTAINERS} lists and objects")
        found = _State.model_validate_json(content)
        position = decode_position(found.position)
        view = decode_view(found.view)
    except ValidationError as error:
        raise PeerMessageError(f"invalid state: {_describe(error)}") from None
    except (ValueError, CompressionError) as error:
        raise PeerMessageError(f"invalid message from a peer: {error}") from error
    lengths, lengths_dropped = decode_lengths(found.lengths)
    report = None
    if found.relay is not None:
        report = PeerReport(
            found.relay.address,
            found.relay.data_center,
            found.relay.active,
            found.relay.available,
        )
    return PeerState(
        node=found.node,
        address=found.address,
        version=found.version,
        is_store_away=found.away,
        usage={name: Usage(*counts) for name, counts in found.usage.items()},
        crash_reports=_make_crash_reports(found),
        culprits=found.culprits,
        report=report,
        limits=_make_limits(found),
        announced_ends=found.announced_ends[:MAX_ANNOUNCED_ENDS],
        position=position,
        view=view,
        reads_compressed=found.compressed,
        lengths=lengths,
        lengths_dropped=lengths_dropped,
        nodes=found.nodes,
    )


def encode_entries(entries: t.Mapping[str, bytes]) -> bytes:
    """Encode upstreams' undecoded entries by their names."""
    encoded = {}
    for name, value in entries.items():
        encoded[name] = base64.b64encode(value).decode()
    return orjson.dumps(encoded)


def decode_entries(content: bytes) -> dict[str, bytes]:
    """Decode upstreams' entries by their names; raises PeerMessageError."""
    entries = {}
    try:
        for name, text in _ENTRIES.validate_json(content, strict=True).items():
            entries[name] = base64.b64decode(text, validate=True)
    except (ValidationError, binascii.Error) as error:
        raise PeerMessageError(f"invalid entries from a peer: {error}") from error
    return entries


def _describe(error: ValidationError) -> str:
    faults = []
    for item in error.errors(
        include_url=False, include_input=False, include_context=False
    ):
        location = ".".join(str(part) for part in item["loc"])
        faults.append(f"{location}: {item['type']}")
    return "; ".join(faults)


def _encode_crash_reports(reports: t.Mapping[Trait, CrashReport]) -> list[t.Any]:
    rows = []
    for trait, report in reports.items():
        ages = {name: round(age, 3) for name, age in report.crash_ages.items()}
        rows.append([trait.kind, trait.key, round(report.sound_age, 3), ages])
    return rows


def _make_crash_reports(state: _State) -> dict[Trait, CrashReport]:
    reports = {}
    for kind, key, sound_age, ages in state.crash_reports[:MAX_SHARED_RECORDS]:
        match kind:
            case "request" | "part":
                reports[Trait(kind, key)] = CrashReport(sound_age, ages)
            case _:
                continue  # of a newer build
    return reports


def _encode_limits(reports: t.Mapping[str, LimitReport]) -> list[t.Any]:
    rows = []
    for upstream, report in reports.items():
        age, rate = round(report.age, 3), round(report.rate, 2)
        rows.append([upstream, report.limit, max(0.0, age), max(0.0, rate)])
    return rows


def _make_limits(state: _State) -> dict[str, LimitReport]:
    reports = {}
    for upstream, limit, age, rate in state.limits[:MAX_REPORTS]:
        reports[upstream] = LimitReport(limit, age, rate)
    return reports
