"""The parts of the policy's state that several kinds of decisions share."""

from __future__ import annotations

from typing import NamedTuple

from onyxhead.policy.channel_budget import ChannelBudget
from onyxhead.policy.endpoints import EndpointRegistry
from onyxhead.policy.proxies import ProxyRegistry
from onyxhead.policy.subsetting import Subsetting


class PolicyState(NamedTuple):
    """The channel to the proxies, the known backends, the joined proxies, and the subsets of both with their tables."""

    channel: ChannelBudget
    endpoints: EndpointRegistry
    proxies: ProxyRegistry
    subsets: Subsetting
