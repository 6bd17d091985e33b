"""Times at which a node announces news to its peers outside its regular rounds."""

# Announcements that may follow each other at once, as one fault causes several, and
# those a second after that. The regular rounds carry what waits for its turn.
BURST = 4.0
RATE = 1.0
BATCH_DELAY = 0.03  # seconds; batches the news that one fault causes


class AnnouncementPacer:
    """Bounds the announcements of a node, whatever there is to announce.

    Load pattern: many upstreams reset connections while configurations come several
    times a second. Each node has news each moment and passes on the others', so that
    announcements without a bound cost small VMs more than their requests.
    """

    def __init__(self) -> None:
        self._allowance = BURST
        self._updated_at = 0.0

    def schedule(self, now: float) -> float:
        """Take the next announcement; return its time.

        News that comes before that time is part of the same announcement.
        """
        elapsed = max(0.0, now - self._updated_at)
        allowance = min(BURST, self._allowance + RATE * elapsed)
        self._updated_at = now
        self._allowance = allowance - 1.0
        wait = max(0.0, -self._allowance / RATE)
        return now + max(BATCH_DELAY, wait)
