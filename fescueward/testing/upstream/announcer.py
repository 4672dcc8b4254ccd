"""Announcements of the upstream stand-in to its agent."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp

from ...messages import AnnouncedState, Announcement
from ...messages.codec import encode_json
from .switches import UpstreamOptions

# Timeout of an announcement, and delay before the next one if the agent did not accept it.
ANNOUNCEMENT_RETRY_S = 1.0
ANNOUNCEMENT_PERIOD_S = 2.0


class Announcer:
    """Sends periodic announcements of an upstream to its agent.

    Args:
        options: Options of the upstream.
        port: Port on which the upstream listens.
        leaving: Set when the upstream begins to leave.
    """

    def __init__(self, options: UpstreamOptions, port: int, leaving: asyncio.Event) -> None:
        self._options, self._port, self._leaving = options, port, leaving

    async def run(self) -> None:
        """Announces at once, then periodically and when the upstream begins to leave.

        Runs until it is cancelled.
        """
        timeout = aiohttp.ClientTimeout(total=ANNOUNCEMENT_RETRY_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                state = AnnouncedState.LEAVING if self._leaving.is_set() else AnnouncedState.READY
                accepted = await self._announce(session, state)
                period_s = ANNOUNCEMENT_PERIOD_S if accepted else ANNOUNCEMENT_RETRY_S
                if state is AnnouncedState.LEAVING:
                    await asyncio.sleep(period_s)
                    continue
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._leaving.wait(), period_s)

    async def _announce(self, session: aiohttp.ClientSession, state: AnnouncedState) -> bool:
        """Sends one announcement; returns whether the agent accepted it."""
        options = self._options
        announcement = Announcement(
            service=options.service,
            host=options.host,
            port=self._port,
            slots=options.slots,
            connections=options.connections,
            checks_grants=options.checks_grants,
            state=state,
            group=options.group,
        )
        headers = {"Content-Type": "application/json"}
        body = encode_json(announcement)
        try:
            async with session.post(options.announce, data=body, headers=headers) as response:
                return response.ok
        except (aiohttp.ClientError, TimeoutError):
            return False
