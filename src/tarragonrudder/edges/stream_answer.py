"""What the caller of one stream gets: events in order, or an upstream's failure."""

import trio

from tarragonrudder.core.domain.forwarded_request import Accepted
from tarragonrudder.core.forwarding.event_gaps import EventGaps
from tarragonrudder.core.forwarding.event_sequence import EventSequence, SequenceError
from tarragonrudder.core.forwarding.state import SOUND_EVENTS
from tarragonrudder.edges.job import MAX_ANSWER_BYTES, AnswerTooLarge, Job, Sender
from tarragonrudder.edges.relay_interfaces import Reply
from tarragonrudder.edges.stream_attempt import StreamAttempt

EVENTS_PER_OBSERVATION = 4  # events averaged to one observed gap


class StreamAnswer:
    """Forwards what the attempts of one stream yield, whichever they are."""

    def __init__(self, job: Job, reply: Reply, sender: Sender) -> None:
        self._job = job
        self._reply = reply
        self._sender = sender
        self._state = sender.state
        self._events = EventSequence(job.request.last_event)
        self._event_gaps = EventGaps(
            job.route.first_byte_target, job.route.event_gap_target, job.deadline
        )
        self._gap_sample: tuple[int, float] = (0, 0.0)
        self._failure: tuple[Accepted, bytes] | None = None  # an upstream's own
        self._has_ended = False
        self._is_relayed = False  # another node learns from it

    @property
    def last_event(self) -> int | None:
        """Number of the last event that the caller has."""
        return self._events.last

    @property
    def has_begun(self) -> bool:
        """Whether anything was sent to the caller."""
        return self._reply.begun

    def compute_stall_timeout(self, attempt: StreamAttempt) -> float:
        """Return the seconds of silence after which an attempt is stalled."""
        since = attempt.stall_handler.last_progress_at
        return self._event_gaps.compute_stall_timeout(attempt.events > 0, since)

    def accept_events(
        self, attempt: StreamAttempt, data: bytes
    ) -> tuple[list[bytes], SequenceError | None]:
        """Return the events to forward, and the fault of the one behind them."""
        accepted = []
        try:
            for event in attempt.buffer.split(data):
                if self._events.accept(event, attempt.buffer):
                    accepted.append(event)
        except SequenceError as error:
            return accepted, error
        return accepted, None

    async def send_events(
        self, attempt: StreamAttempt, response: Accepted, events: list[bytes]
    ) -> None:
        """Forward events and record the progress of their attempt."""
        self._note_progress(attempt, len(events))
        if not self._reply.begun:
            await self._reply.start(response.status, response.headers)
        await self._reply.send(b"".join(events))

    async def end(self, attempt: StreamAttempt, response: Accepted) -> None:
        """End the answer with the end of an attempt."""
        if not self._reply.begun:
            await self._reply.start(response.status, response.headers)
        await self._reply.end()
        if attempt.events > 0:
            self._state.note_sound_run(self._job.request, attempt.begun_at)
        self._has_ended = True
        ratio = self._note_answer()
        first = max(0.0, self._event_gaps.first_at - self._job.request.arrived)
        self._sender.log_end(
            self._job,
            response.status,
            events=self._events.forwarded,
            first=round(first, 3),
            worst_gap=round(self._event_gaps.max_gap, 3),
            ratio=None if ratio is None else round(ratio, 2),
        )

    def close(self) -> None:
        """Learn from an answer that broke off, or that its caller left."""
        if not self._has_ended:
            self._note_answer()

    def collect_failure(
        self, attempt: StreamAttempt, response: Accepted, data: bytes
    ) -> bool:
        """Add a part of an upstream's own failure; return whether it is whole.

        Raises
        ------
        AnswerTooLarge
            If it is longer than `MAX_ANSWER_BYTES`.
        """
        attempt.failure += data
        if len(attempt.failure) > MAX_ANSWER_BYTES:
            raise AnswerTooLarge(f"over {MAX_ANSWER_BYTES} bytes")
        if data:
            return False
        self._failure = (response, bytes(attempt.failure))
        return True

    async def forward_failure(self) -> bool:
        """Forward an upstream's own failure, if there is one and nothing was sent."""
        if self._failure is None or self._reply.begun:
            return False
        response, body = self._failure
        await self._reply.send_whole(response.status, response.headers, body)
        self._sender.log_end(self._job, response.status)
        return True

    def restart_gaps(self) -> None:
        """Observe no gap across two attempts."""
        self._gap_sample = (0, 0.0)

    def _note_answer(self) -> float | None:
        if self._is_relayed or self._events.forwarded == 0:
            return None
        job = self._job
        return self._state.note_answer(
            job.request, job.service, self._events.forwarded, self._has_ended
        )

    def _note_progress(self, attempt: StreamAttempt, count: int) -> None:
        now = trio.current_time()
        if attempt.events == 0:
            attempt.begun_at = now
            self._is_relayed = attempt.upstream.is_peer
        was_sound = attempt.events >= SOUND_EVENTS
        attempt.events += count
        if attempt.events >= SOUND_EVENTS and not was_sound:
            self._state.note_sound_run(self._job.request, attempt.begun_at)
        attempt.stall_handler.last_progress_at = now
        attempt.path_load.note_events(self._events.forwarded)
        self._event_gaps.add(now)
        self._state.upstream_table.note_progress(attempt.path_load.names, now)
        self._observe_gap(attempt, now)

    def _observe_gap(self, attempt: StreamAttempt, now: float) -> None:
        count, since = self._gap_sample
        if since == 0.0:
            self._gap_sample = (0, now)
        elif count + 1 < EVENTS_PER_OBSERVATION:
            self._gap_sample = (count + 1, since)
        else:
            self._gap_sample = (0, now)
            self._state.observe_gap(attempt.path, (now - since) / (count + 1))
