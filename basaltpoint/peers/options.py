"""Timing and limits of the membership state machine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Defaults chosen in simulations of 3, 12, 40 and 200 members (docs/measurements/peers.md)."""

    # Interval between the probes of this member; shorter detects failures sooner, but costs messages.
    probe_ms: float = 500.0
    # Before indirect probes are sent; longer than a round trip on a loaded host.
    ack_timeout_ms: float = 250.0
    # Helpers for one indirect probe; with 20% of messages lost each way, all fail in one of eight cases.
    indirect_probes: int = 3
    gossip_interval_ms: float = 100.0  # between rounds of gossip; nothing is sent without changed records
    max_piggybacked_records: int = 8  # gossiped records added to one message
    # Between push-pull exchanges; when the views agree, an exchange costs two short messages.
    push_pull_interval_ms: float = 5000.0
    reconnect_interval_ms: float = 3000.0  # between attempts to reach a dead member or a missing seed
    refused_suspicion_ms: float = 400.0  # suspicion after a refused connection; leaves time to refute it
    silent_ms: float = 7000.0  # suspicion of a silent member, times log10 of the number of members
    max_suspicion_factor: float = 2.0  # multiplies `silent_ms` while no other member suspects it
    confirmations: int = 3  # other suspecting members that reduce the suspicion to `silent_ms`
    swim_suspicion_ms: float = 2000.0  # suspicion without Lifeguard: 4 protocol periods, as in SWIM
    max_health_score: int = 8  # of the local health; probe timeouts are 1 + score times as long
    min_pause_ms: float = 500.0  # a timer that is later than this means that the process was paused
    # Records of dead members are kept this long; a member that was paused for longer joins anew.
    dead_retention_ms: float = 3_600_000.0
    join_retry_ms: float = 1000.0  # between a joining member's attempts to reach its seeds
    join_timeout_ms: float = 2000.0  # a joining member that reaches no seed starts a fleet of its own
    name_check_timeout_ms: float = 500.0  # for a response of a process with the same name; up to 3 times
    max_members: int = 256  # live members kept; four times as many records in all
    lifeguard: bool = True  # local health, confirmations and nacks; False: SWIM as published, for comparison
    probe_on_ring: bool = True  # probe the neighbours on a ring; False: all in random order, as in SWIM
