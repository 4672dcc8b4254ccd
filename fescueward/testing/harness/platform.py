"""Client of the platform stand-in of a deployment."""

from __future__ import annotations

import aiohttp

from ...messages.codec import decode_json, encode_json
from ..errors import ControlError
from ..platform import Counters, Faults, ObjectEnvelope, WrittenVersion
from ..processes import ManagedProcess


class PlatformHandle:
    """Reads and controls the platform stand-in of a deployment.

    Args:
        process: Process of the stand-in.
        url: Base URL of the object API.
        session: HTTP session for all calls.
    """

    def __init__(self, process: ManagedProcess, url: str, session: aiohttp.ClientSession) -> None:
        self.process = process
        self.url = url
        self._session = session

    async def get(self, key: str) -> ObjectEnvelope | None:
        """Returns an object, None if it does not exist. Fails in the modes `down` and `hang`.

        Raises:
            aiohttp.ClientError: The platform does not respond, or responds with an error.
        """
        async with self._session.get(f"{self.url}/objects/{key}") as response:
            if response.status == 404:
                return None
            response.raise_for_status()
            return decode_json(await response.read(), ObjectEnvelope)

    async def put(self, key: str, value: object, if_version: int = 0) -> int:
        """Writes an object.

        Args:
            key: Key of the object.
            value: Data class or other value that can be encoded as JSON.
            if_version: Version that the object must have; 0 if it must not exist.

        Returns:
            The new version.

        Raises:
            aiohttp.ClientError: The platform does not respond, or the object has another version.
        """
        headers = {"If-Match": str(if_version), "Content-Type": "application/json"}
        async with self._session.put(
            f"{self.url}/objects/{key}", data=encode_json(value), headers=headers
        ) as response:
            response.raise_for_status()
            return decode_json(await response.read(), WrittenVersion).version

    async def set_faults(self, faults: Faults) -> None:
        """Replaces the platform's faults.

        Raises:
            ControlError: The platform rejects them.
        """
        await post_json(self._session, f"{self.url}/control", faults)

    async def counters(self) -> Counters:
        """Returns the numbers of calls since the platform started."""
        async with self._session.get(f"{self.url}/counters") as response:
            return decode_json(await response.read(), Counters)


async def post_json(session: aiohttp.ClientSession, url: str, value: object) -> None:
    """Posts a value as JSON.

    Raises:
        ControlError: The server responds with an error status.
    """
    headers = {"Content-Type": "application/json"}
    async with session.post(url, data=encode_json(value), headers=headers) as response:
        if not response.ok:
            raise ControlError(f"{url}: {response.status} {await response.text()}")
