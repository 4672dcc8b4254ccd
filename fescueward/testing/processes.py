"""Child processes with a log file each."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import subprocess
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import psutil

from .errors import ConditionTimeoutError, ProcessStateError
from .program import boot_time_ns
from .waiting import wait_until

ExitHandler = Callable[[int, int], None]

_PR_SET_PDEATHSIG = 1
_STOP_TIMEOUT_S = 10.0
_LIBC = ctypes.CDLL(None)
# A start blocks its thread until the program runs, seconds on a busy machine. The death signal
# comes with the end of the thread that started the child, so the thread lives as long as the
# process.
_LAUNCHER = ThreadPoolExecutor(1, "launcher")


def _die_with_parent() -> None:
    # A test run that is killed cannot clean up, so the system kills its children.
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


async def _ended(pid: int) -> None:
    """Waits until a child process has ended; its status stays for `Popen.wait`."""
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[None] = loop.create_future()
    descriptor = os.pidfd_open(pid)
    loop.add_reader(descriptor, lambda: ended.done() or ended.set_result(None))
    try:
        await ended
    finally:
        loop.remove_reader(descriptor)
        os.close(descriptor)


class ManagedProcess:
    """A program that can be started again after its end.

    Args:
        name: Name for errors.
        arguments: Program and arguments.
        log: File that standard output and error are appended to.
        environment: Environment variables.
        on_exit: Called after each end with the process id and the CLOCK_BOOTTIME nanoseconds of
            the end; for a kill, those of the signal.
    """

    def __init__(
        self,
        name: str,
        arguments: tuple[str, ...],
        log: Path,
        environment: Mapping[str, str],
        on_exit: ExitHandler | None = None,
    ) -> None:
        self._name = name
        self._arguments = arguments
        self._log = log
        self._environment = dict(environment)
        self._on_exit = on_exit
        self._process: subprocess.Popen[bytes] | None = None
        self._reaper: asyncio.Task[int] | None = None
        self._killed_ns = 0

    @property
    def name(self) -> str:
        """Name for errors."""
        return self._name

    @property
    def log(self) -> Path:
        """File with standard output and error."""
        return self._log

    @property
    def pid(self) -> int:
        """Id of the process.

        Raises:
            ProcessStateError: It was never started.
        """
        if self._process is None:
            raise ProcessStateError(f"{self._name} was never started")
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether it runs or is paused."""
        return self._reaper is not None and not self._reaper.done()

    async def start(self) -> None:
        """Starts it.

        Raises:
            ProcessStateError: It runs.
            OSError: It cannot be started.
        """
        if self.running:
            raise ProcessStateError(f"{self._name} runs already")
        self._killed_ns = 0
        with self._log.open("ab") as log:
            launch = partial(
                subprocess.Popen,
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self._environment,
                preexec_fn=_die_with_parent,
            )
            launching = asyncio.get_running_loop().run_in_executor(_LAUNCHER, launch)
            try:
                await asyncio.shield(launching)
            finally:
                # After a cancelled start, too, so that `stop` finds the process.
                self._process = await launching
                self._reaper = asyncio.create_task(self._reap(self._process))

    async def pause(self) -> None:
        """Stops it with SIGSTOP and waits until it stands still.

        Raises:
            ProcessStateError: It does not run.
        """
        self._signal(signal.SIGSTOP)
        try:
            found = psutil.Process(self.pid)
            await wait_until(
                lambda: found.status() == psutil.STATUS_STOPPED,
                _STOP_TIMEOUT_S,
                f"{self._name} stops",
            )
        except psutil.NoSuchProcess:
            raise ProcessStateError(f"{self._name} ended while it was paused") from None

    def resume(self) -> None:
        """Continues it with SIGCONT.

        Raises:
            ProcessStateError: It does not run.
        """
        self._signal(signal.SIGCONT)

    def request_reload(self) -> None:
        """Tells it with SIGHUP that its settings have changed.

        Raises:
            ProcessStateError: It does not run.
        """
        self._signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Asks it to end with SIGTERM.

        Raises:
            ProcessStateError: It does not run.
        """
        self._signal(signal.SIGTERM)

    async def kill(self) -> None:
        """Ends it with SIGKILL and waits for its end.

        Raises:
            ProcessStateError: It does not run.
        """
        self._signal(signal.SIGKILL)
        self._killed_ns = boot_time_ns()
        await self.wait(_STOP_TIMEOUT_S)

    async def wait(self, timeout_s: float) -> int:
        """Waits for its end.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            Its exit status; -N after signal N.

        Raises:
            ProcessStateError: It was never started.
            ConditionTimeoutError: It did not end in time.
        """
        if self._reaper is None:
            raise ProcessStateError(f"{self._name} was never started")
        try:
            return await asyncio.wait_for(asyncio.shield(self._reaper), timeout_s)
        except TimeoutError:
            raise ConditionTimeoutError(f"{self._name} did not end within {timeout_s} s") from None

    async def stop(self) -> None:
        """Kills it if it runs."""
        if self.running:
            await self.kill()

    def log_tail(self, lines: int = 20) -> str:
        """Returns the last lines of the log."""
        if not self._log.exists():
            return ""
        text = self._log.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def _signal(self, number: signal.Signals) -> None:
        if not self.running:
            raise ProcessStateError(f"{self._name} does not run; {number.name} was not sent")
        os.kill(self.pid, number)

    async def _reap(self, process: subprocess.Popen[bytes]) -> int:
        await _ended(process.pid)
        status = process.wait()
        if self._on_exit is not None:
            self._on_exit(process.pid, self._killed_ns or boot_time_ns())
        return status
