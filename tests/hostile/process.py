"""One process under test, and what it holds."""

import os
import pathlib
import subprocess
import sys

import trio

MEMORY_BYTES = 200 << 20  # the smallest VM's memory
MAX_FDS = 600  # descriptors that the test's own settings allow
START_TIME = 30.0  # seconds
ANSWER_TIME = 45.0  # seconds in which one ordinary request is answered
SAMPLE_PERIOD = 0.02  # seconds
STOP_TIME = 20.0  # seconds from SIGTERM to the end


class Process:
    """A child process whose memory and descriptors are watched.

    Attributes
    ----------
    peak_fds : int
        Most descriptors seen so far.
    """

    def __init__(self, command: list[str], log: pathlib.Path, **variables: str) -> None:
        self.log = log
        self.peak_fds = 0
        with log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, *command],
                env={**os.environ, **variables},
                stdout=output,
                stderr=output,
            )

    @property
    def code(self) -> int | None:
        """Exit code, None while it runs."""
        return self._process.poll()

    @property
    def peak_memory(self) -> int:
        """Most bytes of memory held so far; 0 once it has ended."""
        path = pathlib.Path(f"/proc/{self._process.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0

    async def watch(self) -> None:
        """Sample the descriptors until cancelled or the process ends."""
        folder = f"/proc/{self._process.pid}/fd"
        while self.code is None:
            try:
                self.peak_fds = max(self.peak_fds, len(os.listdir(folder)))
            except OSError:
                return
            await trio.sleep(SAMPLE_PERIOD)

    def find_faults(self) -> list[str]:
        """Return what the process did that it must not."""
        if self.code is not None:
            return [f"it ended with {self.code}: {self.log.read_text()[-2000:]}"]
        found = []
        if self.peak_memory > MEMORY_BYTES:
            found.append(f"memory {self.peak_memory >> 20} MiB")
        if self.peak_fds > MAX_FDS:
            found.append(f"{self.peak_fds} descriptors")
        return found

    async def stop(self) -> bool:
        """Ask it to end; return whether it did, and kill it otherwise."""
        self._process.terminate()
        with trio.move_on_after(STOP_TIME):
            while self.code is None:
                await trio.sleep(0.02)
            return True
        self.kill()
        return False

    def kill(self) -> None:
        """End it at once."""
        self._process.kill()
        self._process.wait()
