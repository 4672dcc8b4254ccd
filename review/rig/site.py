"""A small deployment on loopback: real agents, and stand-ins for everything around them."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
import uuid
from collections.abc import Callable
from pathlib import Path

import aiohttp

from .backend import Backend
from .store import Store
from .wire import BOUNDS, HEARTBEAT_S, HOST, ID, KEY, SIG, TIMEOUT, Ports, Record

ROOT = Path(__file__).resolve().parents[2]
# Time from the end of an agent process to its next start.
RESTART_S = 0.4
# A script has 120 s; the rest is for ending the processes.
_SCRIPT_S = 110


def trouble() -> bool:
    """Returns whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Machine:
    """A machine: one agent process and one backend."""

    def __init__(self, site: Site, name: str, zone: str, service: str, sharded: bool) -> None:
        self.site, self.name, self.zone, self.service = site, name, zone, service
        take = site.ports.take
        self.app_port, self.outbound_port, self.ready_port = take(), take(), take()
        self.admin_port, self.peer_port, self.last_port, inbound = take(), take(), take(), take()
        self.backend = Backend(site, self, sharded)
        self.inbound_port = inbound
        self.process: asyncio.subprocess.Process | None = None
        self._supervisor: asyncio.Task | None = None
        self.starts = 0

    def start(self) -> None:
        """Starts the agent, which is started again after each end."""
        self._supervisor = asyncio.create_task(self._supervise())

    async def _supervise(self) -> None:
        settings = self.site.folder / f"{self.name}.conf"
        settings.write_text(self._settings(), encoding="utf-8")
        # The `run` and `env` of deploy/system.toml, with the variables that the platform sets.
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": f"target/deps{os.pathsep}.",
            "FESCUEWARD_CONFIG": str(settings),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        while True:
            with (self.site.folder / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    *("-S", "-m", "fescueward.daemons"),
                    cwd=ROOT,
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
            self.starts += 1
            self.site.record.write(f"{self.name} agent starts")
            code = await self.process.wait()
            self.site.record.write(f"{self.name} agent ended with {code}")
            await asyncio.sleep(RESTART_S)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the agent."""
        assert self.process is not None
        if self.process.returncode is None:
            self.site.record.write(f"{self.name} agent gets {number.name}")
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kills the agent and ends its supervision."""
        if self._supervisor is not None:
            self._supervisor.cancel()
            await asyncio.gather(self._supervisor, return_exceptions=True)
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def ready(self) -> bool:
        """Returns whether the agent says that it is ready."""
        try:
            async with (
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session,
                session.get(f"http://{HOST}:{self.ready_port}/fescueward/ready") as answer,
            ):
                return answer.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    def _settings(self) -> str:
        zones = {machine.zone for machine in self.site.machines.values()}
        lines = {
            "nodeName": self.name,
            "role": "agent",
            "machineClass": "sidecar",
            "serves": "sidecar",
            "ip": HOST,
            "zone": self.zone,
            "region": "gujarat",
            **{f"zones.{zone}": "gujarat" for zone in sorted(zones)},
            "listen.inbound": f"{HOST}:{self.inbound_port}",
            "listen.outbound": f"{HOST}:{self.outbound_port}",
            "listen.ready": f"{HOST}:{self.ready_port}",
            "listen.admin": f"{HOST}:{self.admin_port}",
            "internalPorts": f"{self.peer_port},{self.last_port}",
            "seeds": "",
            "bootstrap": "true",
            "lossCounts": "false",
            "limits.cores": "1",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "discovery": "local",
            "entry": "local",
            "heartbeatS": str(HEARTBEAT_S),
            "contracts": "base,drain,config,cost,retry,recover,own,platform",
            "bounds": BOUNDS,
            "grants": "call",
            "appAddr": f"{HOST}:{self.app_port}",
            "service": self.service,
            "infra.address": f"{HOST}:{self.site.store.port}",
            "infra.form": "objects",
            "infra.writesPerS": "400",
            "infra.readsPerS": "2000",
            "infra.historyS": "20",
            "infra.valueBytes": "1048576",
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())


class Site:
    """Store, machines and clients; an async context manager that ends all processes."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.ports = Ports()
        self.store = Store()
        self.machines: dict[str, Machine] = {}
        self.answers: list[dict] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)

    async def __aenter__(self) -> Site:
        await self.store.start(self.ports.take())
        return self

    async def __aexit__(self, *_: object) -> None:
        for machine in self.machines.values():
            await machine.stop()
            await machine.backend.crash()
        await self.store.runner.cleanup()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.folder.iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()

    def add(self, name: str, zone: str, service: str, sharded: bool = False) -> Machine:
        """Adds a machine that is started with `start`."""
        machine = self.machines[name] = Machine(self, name, zone, service, sharded)
        return machine

    def configure(self, version: int, routes: dict, services: dict[str, bool]) -> None:
        """Writes a config: routes by name, and whether each service is sharded."""
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864}
        limits |= {"headerTimeoutS": 3, "idleTimeoutS": 15}
        self.store.put(
            "config",
            "main",
            {
                "version": version,
                "routes": {
                    name: {"host": f"{name}.example", "prefix": f"/{name}/", **route}
                    for name, route in routes.items()
                },
                "services": {
                    name: {"healthPath": "/health", "maxConns": 130, "protocol": "h1"}
                    | {"tls": False, **({"sharded": True, "warmupS": 3.0} if sharded else {})}
                    for name, sharded in services.items()
                },
                "limits": limits,
            },
        )
        self.record.write(f"config {version} is acknowledged")

    async def start(self, within_s: float = 30.0) -> None:
        """Starts all machines and waits until the agents are ready."""
        for machine in self.machines.values():
            machine.start()
            await machine.backend.boot()
        end = time.monotonic() + within_s
        while not all([await machine.ready() for machine in self.machines.values()]):
            if time.monotonic() > end:
                raise TimeoutError("the agents did not become ready")
            await asyncio.sleep(0.2)
        self.record.write("all agents are ready")

    async def send(
        self,
        machine: Machine,
        route: str,
        method: str = "POST",
        ms: int = 50,
        timeout_s: float = 2.0,
        key: int | None = None,
        body: bytes = b"",
        query: str = "",
        more: dict[str, str] | None = None,
    ) -> dict:
        """Sends one request as a client of a machine, and records its answer."""
        request_id = uuid.uuid4().hex[:16]
        headers = {ID: request_id, TIMEOUT: str(int(timeout_s * 1000)), "Host": f"{route}.example"}
        headers |= more or {}
        if key is not None:
            headers[KEY] = str(key)
        sent = self.record.now()
        self.record.write(f"{machine.name} client sends {method} {route} {request_id} key {key}")
        if body:
            self.record.write(f"{request_id} has a body of {len(body)} bytes {more or ''}")
        answer = {"id": request_id, "machine": machine.name, "route": route, "sent": sent}
        answer |= {"status": 0, "error": "", "key": key, "request_body": body}
        url = f"http://{HOST}:{machine.outbound_port}/{route}/x?ms={ms}{query}"
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=1.0)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                session._retry_connection = False
                async with session.request(method, url, headers=headers, data=body) as response:
                    content = await response.read()
                    answer |= {
                        "status": response.status,
                        "sig": response.headers.get(SIG, ""),
                        "body": content,
                    }
        except (aiohttp.ClientError, OSError) as error:
            answer["error"] = type(error).__name__
        answer["ended"] = self.record.now()
        self.answers.append(answer)
        self.record.write(f"client gets {answer['status']} {answer['error']} for {request_id}")
        return answer

    async def load(self, requests: Callable[[], object], per_s: float, until: float) -> None:
        """Begins requests at a rate until a time of the record, and waits for the last."""
        tasks = []
        while self.record.now() < until:
            tasks.append(asyncio.create_task(requests()))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    def runs(self) -> list[dict]:
        """Returns all runs."""
        return [run for machine in self.machines.values() for run in machine.backend.runs]


def play(script: Callable[[Site], object], file: str) -> None:
    """Runs a script; exits with 1 if a rule was broken, 0 if it held, 2 if it couldn't run."""
    folder = Path(file).resolve().parent

    async def run() -> list[str]:
        # Whoever ends the script early leaves no agent behind.
        current = asyncio.current_task()
        assert current is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
        async with Site(folder) as site:
            breaches = await asyncio.wait_for(script(site), _SCRIPT_S)
            for breach in breaches:
                site.record.write(f"BROKEN {breach}")
            site.record.write(f"{len(breaches)} breaches, TROUBLE={int(trouble())}")
            return breaches

    try:
        breaches = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"couldn't run: {type(error).__name__}: {error}")
        sys.exit(2)
    for breach in breaches[:20]:
        print("BROKEN", breach)
    print(f"{len(breaches)} breaches")
    sys.exit(1 if breaches else 0)
