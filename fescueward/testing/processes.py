"""Child processes, each with a log file."""

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
# A start blocks its thread until the program runs, which takes seconds on a busy machine. The
# kernel sends PR_SET_PDEATHSIG when the thread that started the child ends, so the thread is kept
# for the lifetime of this process.
_LAUNCH_EXECUTOR = ThreadPoolExecutor(1, "launcher")


def _kill_when_parent_dies() -> None:
    # A test run that is killed cannot stop its children, so the kernel kills them.
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


async def _wait_for_exit(pid: int) -> None:
    """Waits until a child process has exited; `Popen.wait` can still read its exit status."""
    loop = asyncio.get_running_loop()
    exited: asyncio.Future[None] = loop.create_future()
    pidfd = os.pidfd_open(pid)
    loop.add_reader(pidfd, lambda: exited.done() or exited.set_result(None))
    try:
        await exited
    finally:
        loop.remove_reader(pidfd)
        os.close(pidfd)


class ManagedProcess:
    """A program that can be started again after it has exited.

    Args:
        name: Name of the process in errors.
        arguments: Program and its arguments.
        log: File to which standard output and standard error are appended.
        environment: Environment variables of the process.
        on_exit: Called after each exit with the process id and the time of the exit in
            CLOCK_BOOTTIME nanoseconds; after `kill`, that of the signal.
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
        """Name of the process in errors."""
        return self._name

    @property
    def log(self) -> Path:
        """File with standard output and standard error."""
        return self._log

    @property
    def pid(self) -> int:
        """Id of the process that was started last.

        Raises:
            ProcessStateError: The process was never started.
        """
        if self._process is None:
            raise ProcessStateError(f"{self._name} was never started")
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process runs or is paused."""
        return self._reaper is not None and not self._reaper.done()

    async def start(self) -> None:
        """Starts the process.

        Raises:
            ProcessStateError: The process is running.
            OSError: The program cannot be started.
        """
        if self.running:
            raise ProcessStateError(f"{self._name} is already running")
        self._killed_ns = 0
        with self._log.open("ab") as log:
            launch = partial(
                subprocess.Popen,
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self._environment,
                preexec_fn=_kill_when_parent_dies,
            )
            launch_future = asyncio.get_running_loop().run_in_executor(_LAUNCH_EXECUTOR, launch)
            try:
                await asyncio.shield(launch_future)
            finally:
                # Also after a cancelled start, so that `stop` can kill the process.
                self._process = await launch_future
                self._reaper = asyncio.create_task(self._reap(self._process))

    async def pause(self) -> None:
        """Pauses the process with SIGSTOP and waits until it is stopped.

        Raises:
            ProcessStateError: The process does not run.
            ConditionTimeoutError: The process was not stopped within 10 s.
        """
        self._signal(signal.SIGSTOP)
        try:
            process = psutil.Process(self.pid)
            await wait_until(
                lambda: process.status() == psutil.STATUS_STOPPED,
                _STOP_TIMEOUT_S,
                f"{self._name} is stopped",
            )
        except psutil.NoSuchProcess:
            raise ProcessStateError(f"{self._name} exited while it was paused") from None

    def resume(self) -> None:
        """Resumes the paused process with SIGCONT.

        Raises:
            ProcessStateError: The process does not run.
        """
        self._signal(signal.SIGCONT)

    def request_reload(self) -> None:
        """Sends SIGHUP, on which the process reloads its settings.

        Raises:
            ProcessStateError: The process does not run.
        """
        self._signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Sends SIGTERM, on which the process shuts down.

        Raises:
            ProcessStateError: The process does not run.
        """
        self._signal(signal.SIGTERM)

    async def kill(self) -> None:
        """Kills the process with SIGKILL and waits for its exit.

        Raises:
            ProcessStateError: The process does not run.
            ConditionTimeoutError: The process did not exit within 10 s.
        """
        self._signal(signal.SIGKILL)
        self._killed_ns = boot_time_ns()
        await self.wait(_STOP_TIMEOUT_S)

    async def wait(self, timeout_s: float) -> int:
        """Waits for the exit of the process.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            The exit status; -N if signal N ended the process.

        Raises:
            ProcessStateError: The process was never started.
            ConditionTimeoutError: The process did not exit in time.
        """
        if self._reaper is None:
            raise ProcessStateError(f"{self._name} was never started")
        try:
            return await asyncio.wait_for(asyncio.shield(self._reaper), timeout_s)
        except TimeoutError:
            raise ConditionTimeoutError(
                f"{self._name} did not exit within {timeout_s} s"
            ) from None

    async def stop(self) -> None:
        """Kills the process if it runs."""
        if self.running:
            await self.kill()

    def log_tail(self, lines: int = 20) -> str:
        """Returns the last lines of the log, empty if there is no log file."""
        if not self._log.exists():
            return ""
        text = self._log.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def _signal(self, number: signal.Signals) -> None:
        if not self.running:
            raise ProcessStateError(f"{self._name} is not running; {number.name} was not sent")
        os.kill(self.pid, number)

    async def _reap(self, process: subprocess.Popen[bytes]) -> int:
        await _wait_for_exit(process.pid)
        status = process.wait()
        if self._on_exit is not None:
            self._on_exit(process.pid, self._killed_ns or boot_time_ns())
        return status
