"""Start programs as child processes and end them by their process id."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

LINE_TIMEOUT_S = 20.0
END_TIMEOUT_S = 10.0


class ChildError(Exception):
    """Tell that a child process ended or stayed mute when it should not have."""


class ChildProcess:
    """Own one child process.

    Parameters
    ----------
    process : asyncio.subprocess.Process
        The running process.
    log_path : Path
        Where its standard error goes.
    """

    def __init__(self, process: asyncio.subprocess.Process, log_path: Path) -> None:
        self.process = process
        self.log_path = log_path

    @property
    def running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.process.returncode is None

    async def read_line(self) -> str:
        """Return the next line of its standard output."""
        try:
            line = await asyncio.wait_for(
                self.process.stdout.readline(), LINE_TIMEOUT_S
            )
        except TimeoutError:
            line = b""
        if not line:
            raise ChildError(f"no line of output; log: {self.log_text()}")
        return line.decode().rstrip("\n")

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.running:
            self.process.send_signal(number)

    async def wait_end(self) -> int:
        """Wait for the end of the process and return its exit code."""
        return await self.process.wait()

    async def stop(self) -> None:
        """End the process, by force if it does not obey."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), END_TIMEOUT_S)
        await self.kill()

    async def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        await self.process.wait()

    def log_text(self) -> str:
        """Return what the process wrote to its standard error."""
        return self.log_path.read_text(errors="replace")


async def start_python(
    module: str, arguments: list[str], log_path: Path
) -> ChildProcess:
    """Start `python -m module` with its standard error in a file."""
    with log_path.open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
        )
    return ChildProcess(process, log_path)
