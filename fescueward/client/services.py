"""Services that replace, in a routing client, those that only an agent can provide."""

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

# Period of the requests for newer entries; a change has to take effect everywhere within 5 s.
_ENTRY_POLL_PERIOD_S = 2.0
_FETCH_TIMEOUT_S = 2.0
# Wait for the response of a seed before the next seed is tried.
_SEED_TIMEOUT_S = 0.2


def seed_member(host: str, port: int) -> Member:
    """Returns a placeholder member for an address; incarnation 0 matches any agent at it."""
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
    """The `platform` service of a client, which reads groups and entries from agents.

    Args:
        seeds: Placeholder members for the addresses of some agents.
    """

    name = "platform"
    requires: tuple[str, ...] = ("peers",)

    def __init__(self, seeds: tuple[Member, ...]) -> None:
        self._seeds = itertools.cycle(seeds)

    @property
    def era(self) -> int:
        """Always 0: agents give their groups without the era of the store."""
        return 0

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._peers = registry.find("peers", Peers)
        self._groups = registry.find("groups", Groups)
        self._catalogue = registry.find("catalogue", Catalogue)

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    async def get(self, key: str) -> StoredObject:
        """Reads a group from the agents; other objects cannot be read. See `Platform.get`."""
        object_kind, _, name = key.partition("/")
        service, _, group_number = name.rpartition("/")
        if object_kind != "groups" or not group_number.isdecimal():
            raise ObjectNotFoundError(f"a routing client cannot read the object {key!r}")
        group = GroupId(service, int(group_number))
        cached = self._groups.view(group)
        cached_version = cached.version if cached is not None else 0
        fetch = Fetch(service, group.number, cached_version)
        give_up_at_s = self._clock.now() + _FETCH_TIMEOUT_S
        while self._clock.now() < give_up_at_s:
            self._peers.send(next(self._seeds), fetch)
            if await self._groups.wait_until_newer(group, cached_version, _SEED_TIMEOUT_S):
                break
        cached = self._groups.view(group)
        if cached is None:
            raise PlatformUnavailableError(f"no agent returned the group {group}")
        return StoredObject(key, cached.version, encode_json(cached.group))

    async def watch(self, prefixes: tuple[str, ...], since: int, wait_s: float) -> Changes:
        """Requests newer entries from an agent; they arrive as a message, not as a result."""
        fetch = Fetch(entries=self._catalogue.versions())
        for _ in range(2):
            if self._peers.send(next(self._seeds), fetch):
                break
        has_entries = any(self._catalogue.entries())
        await self._clock.sleep(_ENTRY_POLL_PERIOD_S if has_entries else _SEED_TIMEOUT_S)
        return Changes(since + 1, ())

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Raises `PlatformUnavailableError`: a client cannot write."""
        self._refuse_write()

    async def delete(self, key: str, expected_version: int) -> int:
        """Raises `PlatformUnavailableError`: a client cannot write."""
        self._refuse_write()

    def _refuse_write(self) -> NoReturn:
        raise PlatformUnavailableError("a routing client cannot write to the platform")


class ClientCatalogue(EntryCatalogue):
    """The `catalogue` service of a client, which can wait for an entry."""

    def __init__(self) -> None:
        super().__init__()
        self._entry_applied = asyncio.Event()

    def observe(self, entry: VersionedEntry) -> bool:
        """Applies an entry if it is newer than the cached one; returns whether it was applied."""
        applied = super().observe(entry)
        if applied:
            self._entry_applied.set()
            self._entry_applied = asyncio.Event()
        return applied

    async def wait_for(self, service: str, timeout_s: float) -> VersionedEntry:
        """Returns the entry of a service, and waits for it if it is not cached yet.

        Args:
            service: Name of the service.
            timeout_s: Longest wait in seconds.

        Raises:
            UnknownServiceError: No agent sent the entry in time, or the entry is deleted.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while service not in self.versions():
                    entry_applied = self._entry_applied
                    await entry_applied.wait()
        except TimeoutError:
            pass
        return self.entry(service)


class NoMembership:
    """The `membership` service of a client, which is not a member of any group."""

    name = "membership"
    requires: tuple[str, ...] = ()
    member_id = ""
    own_group_id: GroupId | None = None
    announcement: Announcement | None = None
    leaving = False
    stopped_acknowledging = False

    def bind(self, registry: Registry) -> None:
        """Looks up nothing: this service uses no other."""

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def own_member(self) -> Member | None:
        """Returns None: a client is not a member."""
        return None

    def fill_monitors(self, group: Group) -> Group:
        """Returns the group unchanged: a client assigns no monitors."""
        return group

    def announce(self, announcement: Announcement) -> None:
        """Ignores the announcement: a client has no upstream."""

    async def leave(self, reason: str) -> None:
        """Returns at once: a client has no group to leave."""


class NoExecution:
    """The `execution` service of a client, which has no upstream."""

    name = "execution"
    requires: tuple[str, ...] = ()

    def bind(self, registry: Registry) -> None:
        """Looks up nothing: this service uses no other."""

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    async def execute(self, request: Request) -> Response:
        """Raises `NotOwnerError`: a client runs no requests."""
        raise NotOwnerError("a routing client owns no keys")
