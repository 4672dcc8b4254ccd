"""Services of a routing client in the places of those that only an agent has."""

from __future__ import annotations

import asyncio
import itertools
from typing import NoReturn

from ..interfaces import Catalogue, Changes, Groups, Peers, StoredObject
from ..kernel import Clock, Registry
from ..kernel.errors import NotOwnerError, ObjectNotFoundError, PlatformUnavailableError
from ..messages import (
    Announcement,
    Group,
    GroupId,
    Member,
    Request,
    Response,
    VersionedEntry,
)
from ..messages.codec import encode_json
from ..messages.peer import Fetch
from ..services.catalogue import EntryCatalogue

# Agents are asked for newer entries this often; a change takes effect within 5 s everywhere.
_ENTRIES_PERIOD_S = 2.0
_FETCH_TIMEOUT_S = 2.0
# Time that a seed gets to answer before the next one is asked.
_SEED_TIMEOUT_S = 0.2


def seed_member(host: str, port: int) -> Member:
    """Returns a member that stands for an address; incarnation 0 accepts whoever answers."""
    return Member(
        id=f"seed:{host}:{port}",
        name="seed",
        incarnation=0,
        boot_id="",
        peer_host=host,
        peer_port=port,
        caller_host=host,
        caller_port=1,
        failure_domain="",
        slots=1,
        connections=1,
    )


class SeedPlatform:
    """The `platform` service of a client: it reads groups and entries from agents.

    Args:
        seeds: Members that stand for the addresses of some agents.
    """

    name = "platform"
    requires: tuple[str, ...] = ("peers",)

    def __init__(self, seeds: tuple[Member, ...]) -> None:
        self._seeds = itertools.cycle(seeds)

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._peers = registry.find("peers", Peers)
        self._groups = registry.find("groups", Groups)
        self._catalogue = registry.find("catalogue", Catalogue)

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    async def get(self, key: str) -> StoredObject:
        """Reads a group from the agents; see `Platform.get`."""
        kind, _, name = key.partition("/")
        service, _, number = name.rpartition("/")
        if kind != "groups" or not number.isdecimal():
            raise ObjectNotFoundError(f"a routing client cannot read {key!r}")
        group = GroupId(service, int(number))
        held = self._groups.view(group)
        version = held.version if held is not None else 0
        fetch = Fetch(service, group.number, version)
        give_up_at = self._clock.now() + _FETCH_TIMEOUT_S
        while self._clock.now() < give_up_at:
            self._peers.send(next(self._seeds), fetch)
            if await self._groups.changed(group, version, _SEED_TIMEOUT_S):
                break
        held = self._groups.view(group)
        if held is None:
            raise PlatformUnavailableError(f"no agent answered for group {group}")
        return StoredObject(key, held.version, encode_json(held.group))

    async def watch(self, prefixes: tuple[str, ...], since: int, wait_s: float) -> Changes:
        """Asks an agent for newer entries; they arrive as a message."""
        fetch = Fetch(entries=self._catalogue.versions())
        for _ in range(2):
            if self._peers.send(next(self._seeds), fetch):
                break
        known = any(self._catalogue.entries())
        await self._clock.sleep(_ENTRIES_PERIOD_S if known else _SEED_TIMEOUT_S)
        return Changes(since + 1, ())

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Refuses: a client writes nothing."""
        self._refuse()

    async def delete(self, key: str, expected_version: int) -> int:
        """Refuses: a client writes nothing."""
        self._refuse()

    def _refuse(self) -> NoReturn:
        raise PlatformUnavailableError("a routing client writes nothing to the platform")


class ClientCatalogue(EntryCatalogue):
    """The `catalogue` service of a client, which can wait for an entry."""

    def __init__(self) -> None:
        super().__init__()
        self._applied = asyncio.Event()

    def observe(self, entry: VersionedEntry) -> bool:
        """Applies an entry if its version is higher than the one held."""
        applied = super().observe(entry)
        if applied:
            self._applied.set()
            self._applied = asyncio.Event()
        return applied

    async def wait_for(self, service: str, timeout_s: float) -> VersionedEntry:
        """Returns the entry of a service once it is known.

        Args:
            service: Name of the service.
            timeout_s: Longest wait in seconds.

        Raises:
            UnknownServiceError: It did not become known in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while service not in self.versions():
                    applied = self._applied
                    await applied.wait()
        except TimeoutError:
            pass
        return self.entry(service)


class NoMembership:
    """The `membership` service of a client, which belongs to no group."""

    name = "membership"
    requires: tuple[str, ...] = ()
    member_id = ""
    home: GroupId | None = None
    announcement: Announcement | None = None
    leaving = False
    resigned = False

    def bind(self, registry: Registry) -> None:
        """Finds nothing."""

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def own_member(self) -> Member | None:
        """Returns None."""
        return None

    def fill_monitors(self, group: Group) -> Group:
        """Returns the group unchanged."""
        return group

    def announce(self, announcement: Announcement) -> None:
        """Does nothing."""

    async def leave(self, reason: str) -> None:
        """Does nothing."""


class NoExecution:
    """The `execution` service of a client, which has no upstream."""

    name = "execution"
    requires: tuple[str, ...] = ()

    def bind(self, registry: Registry) -> None:
        """Finds nothing."""

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    async def execute(self, request: Request) -> Response:
        """Refuses the request."""
        raise NotOwnerError("a routing client owns no keys")
