"""Failure domains whose upstreams are sent no requests, on the operator's request."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

# Platform keys of the requests to evacuate a failure domain: the prefix and the domain's name.
EVACUATIONS_PREFIX = "evacuations/"


@dataclass(frozen=True, slots=True)
class Evacuations:
    """All evacuations at one version of the store.

    Attributes:
        version: Version of the store up to which `domains` is complete, 0 before the first.
        domains: Version at which the evacuation was last written, by failure domain. One of an
            earlier era than `version` is lost to the store, which was restored from an older
            copy, and stays in force: its end was not requested.
        removed: Version at which a domain was last known not to be evacuated any more, for those
            that ended last. Without it, a member that missed the end would bring them back.
    """

    version: Annotated[int, Meta(ge=0)] = 0
    domains: dict[str, Annotated[int, Meta(ge=0)]] = field(default_factory=dict)
    removed: dict[str, Annotated[int, Meta(ge=0)]] = field(default_factory=dict)
