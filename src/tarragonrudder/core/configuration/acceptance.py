"""Acceptance of the operators' folder as the next configuration generation."""

import hashlib
import typing as t

from tarragonrudder.core.configuration.configuration_record import (
    ACCEPTED_KEY,
    FOLDER_KEY,
    REJECTED_KEY,
    AcceptedRecord,
    FolderRecord,
    RejectedRecord,
    encode_accepted,
    encode_rejected,
)
from tarragonrudder.core.domain.action import (
    Action,
    CheckFolder,
    CountMetric,
    Guard,
    LogDecision,
    ReadKey,
    SetTimer,
    SwapKey,
)
from tarragonrudder.core.domain.configuration_event import (
    FolderChecked,
    FolderReadFailed,
)

ACCEPT_TAG = "configuration-accept"
ACCEPT_TIMER = "configuration-accept"
RANK_DELAY = 0.5  # seconds between the starts of successive ranks
MAX_RANK = 4  # nodes of this rank or higher start after the same delay
RETRY_PERIOD = 1.0  # seconds before the first retry; doubles with each retry
MAX_RETRY_PERIOD = 8.0  # seconds; below the recovery target after an outage
MAX_FAILURES = 10  # failures after which the backoff no longer grows

Record: t.TypeAlias = FolderRecord | AcceptedRecord | RejectedRecord


class Acceptance:
    """Checks each new revision of the folder and accepts or rejects it as a whole.

    Any node may do so. Ranks by a digest of node name and revision let a few
    nodes go first, and compare-and-swap lets only one of them succeed.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._nodes: tuple[str, ...] = ()
        self._folder = FolderRecord()
        self._accepted = AcceptedRecord()
        self._rejected = RejectedRecord()
        self._scheduled = 0
        self._unread: set[str] = set()
        self._checking: FolderRecord | None = None
        self._failures = 0

    @property
    def rejected(self) -> RejectedRecord | None:
        """Why the newest folder was rejected; None if it was not."""
        if self._rejected.folder_revision < self._folder.revision:
            return None
        if self._accepted.folder_revision >= self._rejected.folder_revision:
            return None
        return self._rejected

    def set_nodes(self, nodes: tuple[str, ...]) -> None:
        """Replace the names of all live nodes."""
        self._nodes = nodes

    def merge(self, record: Record, now: float) -> list[Action]:
        """Apply a record received by watch, poll or read."""
        match record:
            case FolderRecord():
                if record.revision > self._folder.revision:
                    self._folder = record
            case AcceptedRecord():
                if record.revision > self._accepted.revision:
                    self._accepted = record
            case RejectedRecord():
                if record.revision > self._rejected.revision:
                    self._rejected = record
        return self._schedule(now)

    def begin(self, now: float) -> list[Action]:
        """Read all records again before the folder is checked."""
        self._scheduled = 0
        if not self._is_due():
            return []
        self._unread = {FOLDER_KEY, ACCEPTED_KEY, REJECTED_KEY}
        # A fixed order keeps runs with the same seed reproducible.
        keys = (ACCEPTED_KEY, REJECTED_KEY, FOLDER_KEY)
        return [ReadKey(ACCEPT_TAG, key) for key in keys]

    def handle_read(self, key: str, now: float) -> list[Action]:
        """Handle a record that was read again; check the folder after the last one."""
        if key not in self._unread:
            return []
        self._unread.discard(key)
        if self._unread or not self._is_due():
            return []
        self._checking = self._folder
        return [CheckFolder(self._folder.digest)]

    def handle_checked(
        self, event: FolderChecked, in_force: int, now: float
    ) -> list[Action]:
        """Accept or reject the folder that was checked.

        Parameters
        ----------
        event : FolderChecked
            Result of the check.
        in_force : int
            Generation in force on this node; the accepted one is greater.
        now : float
            Current time in seconds.
        """
        checked = self._checking
        self._checking = None
        if checked is None or checked.digest != event.digest or not self._is_due():
            return self._schedule(now)
        if checked.revision != self._folder.revision:
            return self._schedule(now)
        if event.findings:
            return self._reject(checked, event.findings)
        generation = max(self._accepted.generation, in_force) + 1
        value = encode_accepted(generation, checked.digest, checked.revision)
        # The guard fails the swap if a newer folder was written, and keeps this
        # folder's pieces from being collected before the record names them.
        guard = Guard(FOLDER_KEY, checked.revision)
        swap = SwapKey(
            ACCEPT_TAG, ACCEPTED_KEY, self._accepted.revision, value, guards=(guard,)
        )
        fields = {"generation": generation, "folder_revision": checked.revision}
        return [LogDecision("configuration_accepting", fields), swap]

    def handle_read_failure(self, event: FolderReadFailed, now: float) -> list[Action]:
        """Schedule a retry after the folder could not be read."""
        self._checking = None
        fields = {"digest": event.digest, "reason": event.reason}
        return [LogDecision("folder_unread", fields), *self.retry(now)]

    def retry(self, now: float) -> list[Action]:
        """Schedule a retry after a failure, a conflict or a lost response."""
        self._unread = set()
        self._checking = None
        self._scheduled = self._folder.revision
        delay = min(MAX_RETRY_PERIOD, RETRY_PERIOD * 2.0**self._failures)
        self._failures = min(self._failures + 1, MAX_FAILURES)
        return [SetTimer(ACCEPT_TIMER, now + delay)]

    def _reject(self, folder: FolderRecord, findings: tuple[str, ...]) -> list[Action]:
        fields = {
            "folder_revision": folder.revision,
            "findings": list(findings[:10]),
            "count": len(findings),
        }
        value = encode_rejected(folder.revision, findings)
        guard = Guard(FOLDER_KEY, folder.revision)
        return [
            LogDecision("configuration_rejected", fields),
            CountMetric("configuration.rejected"),
            SwapKey(
                ACCEPT_TAG,
                REJECTED_KEY,
                self._rejected.revision,
                value,
                guards=(guard,),
            ),
        ]

    def _is_due(self) -> bool:
        seen = max(self._accepted.folder_revision, self._rejected.folder_revision)
        return self._folder.revision > seen

    def _schedule(self, now: float) -> list[Action]:
        if not self._is_due():
            self._failures = 0
            return []
        if self._scheduled == self._folder.revision:
            return []
        if self._unread or self._checking is not None:
            return []
        self._scheduled = self._folder.revision
        delay = RANK_DELAY * min(self._count_preceding_nodes(), MAX_RANK)
        return [SetTimer(ACCEPT_TIMER, now + delay)]

    def _count_preceding_nodes(self) -> int:
        """Return the number of nodes that rank before this one."""

        def hash_name(name: str) -> bytes:
            text = f"{name} {self._folder.revision}"
            return hashlib.sha256(text.encode()).digest()

        own = hash_name(self._name)
        return sum(1 for name in self._nodes if hash_name(name) < own)
