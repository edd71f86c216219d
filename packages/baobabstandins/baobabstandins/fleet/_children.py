"""Start programs as child processes and stop them."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

OUTPUT_LINE_TIMEOUT_S = 20.0
TERMINATION_TIMEOUT_S = 10.0


class ChildError(Exception):
    """Report that a child process exited, wrote no output or did not become ready."""


class ChildProcess:
    """Control one child process.

    Parameters
    ----------
    process : asyncio.subprocess.Process
        The running process.
    log_path : Path
        File that receives its standard error.
    """

    def __init__(self, process: asyncio.subprocess.Process, log_path: Path) -> None:
        self.process = process
        self.log_path = log_path

    @property
    def is_running(self) -> bool:
        """Return whether the process is still running."""
        return self.process.returncode is None

    async def read_line(self) -> str:
        """Return the next line of its standard output."""
        try:
            line = await asyncio.wait_for(
                self.process.stdout.readline(), OUTPUT_LINE_TIMEOUT_S
            )
        except TimeoutError:
            line = b""
        if not line:
            raise ChildError(f"no line on standard output; log: {self.read_log()}")
        return line.decode().rstrip("\n")

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.is_running:
            self.process.send_signal(signal_number)

    async def wait_for_exit(self) -> int:
        """Wait until the process exits and return its exit code."""
        return await self.process.wait()

    async def stop(self) -> None:
        """Terminate the process; kill it after `TERMINATION_TIMEOUT_S`."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), TERMINATION_TIMEOUT_S)
        await self.kill()

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    def read_log(self) -> str:
        """Return what the process wrote to its standard error."""
        return self.log_path.read_text(errors="replace")


async def start_python(
    module: str, arguments: list[str], log_path: Path
) -> ChildProcess:
    """Start `python -m module` with its standard error appended to a file."""
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
