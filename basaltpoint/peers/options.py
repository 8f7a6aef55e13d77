"""Times and numbers of the peers' machine, with unit and reason."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Chosen by the simulator at 3, 12, 40 and 200 members (docs/measurements/peers.md)."""

    probe_ms: float = 500.0  # between two probes of a member: smaller finds sooner, costs messages
    ack_timeout_ms: float = (
        250.0  # for an answer, before others are asked; above a round trip on a loaded host
    )
    indirect_probes: int = (
        3  # asked to probe for us: at a fifth of messages lost each way all fail one time in eight
    )
    gossip_interval_ms: float = 100.0  # between two rounds of telling news; nothing is sent without news
    max_piggybacked_records: int = 8  # rows that ride along with one message
    push_pull_interval_ms: float = (
        5000.0  # between two full exchanges; a view that is alike costs two short messages
    )
    reconnect_interval_ms: float = 3000.0  # between two tries to reach one that is held dead, or a seed
    refused_suspicion_ms: float = 400.0  # doubt of one whose host refuses: time to say that it lives
    silent_ms: float = 7000.0  # doubt of one that keeps silent, times log10 of the members
    max_suspicion_factor: float = 2.0  # of that, while nobody else doubts it
    confirmations: int = 3  # others whose doubt brings it down to the least
    swim_suspicion_ms: float = 2000.0  # the same without Lifeguard, as SWIM has it (4 periods)
    max_health_score: int = 8  # of oneself: times are 1 + doubt as long
    min_pause_ms: float = 500.0  # a loop that is so late stood still
    dead_retention_ms: float = (
        3_600_000.0  # rows of the dead are kept so long; who stood still longer starts anew
    )
    join_retry_ms: float = 1000.0  # between two tries of a joining member to reach its seeds
    join_timeout_ms: float = 2000.0  # a joining member that reaches no seed begins by itself
    name_check_timeout_ms: float = 500.0  # for another process of one's name to answer, three times
    max_members: int = 256  # rows kept of the living, and four times as many of all
    lifeguard: bool = True  # self-doubt, confirmations, nacks; False is SWIM as published, for comparison
    probe_on_ring: bool = True  # the watched stand on a ring; False: all in a random order, as SWIM has it
