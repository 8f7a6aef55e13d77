"""The membership lease: what renews and ends it, and that no request is sent without it."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import math
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from time import monotonic

import pytest
from sockets import (
    Backend,
    Client,
    Rig,
    backend,
    config,
    echo,
    host,
    message,
    run,
    until,
    unused_address,
)

from basaltpoint.config.address import parse_address
from basaltpoint.fronts.platform.clients import ClientConnections
from basaltpoint.fronts.platform.config import Config
from basaltpoint.fronts.platform.limiter import Limiter
from basaltpoint.membership import discovery, lease
from basaltpoint.membership.backoff import Backoff
from basaltpoint.membership.discovery import Watch
from basaltpoint.membership.lease import MembershipLease
from basaltpoint.policy.send_rules import Denial, write_denial
from basaltpoint.standins.discovery import Agent, Registry
from basaltpoint.upstream.send_guard import SendGuard
from basaltpoint.upstream.servers import Attempt
from basaltpoint.upstream.streams import StreamConnection

GRACE_S = 0.25
ALLOWANCE_S = GRACE_S - lease.MAX_STALL_S


# --- The state machine ----------------------------------------------------------------------------
def test_the_lease_is_expired_until_the_first_list() -> None:
    membership_lease = MembershipLease(10.0, GRACE_S)
    assert membership_lease.expires_at(10.0) <= 10.0
    membership_lease.call_started(10.1)
    assert membership_lease.expires_at(10.2) <= 10.2
    membership_lease.renew(10.3)
    assert membership_lease.expires_at(10.3) > 10.3


def test_a_lost_watch_leaves_the_grace_less_a_stall() -> None:
    membership_lease = MembershipLease(0.0, GRACE_S)
    membership_lease.renew(1.0)
    membership_lease.watch_lost(2.0)
    assert membership_lease.expires_at(2.0) == pytest.approx(2.0 + ALLOWANCE_S)
    membership_lease.watch_lost(5.0)  # a later interruption does not extend it
    assert membership_lease.expires_at(5.0) == pytest.approx(2.0 + ALLOWANCE_S)


def test_a_grace_shorter_than_a_stall_leaves_nothing() -> None:
    membership_lease = MembershipLease(0.0, 0.1)
    membership_lease.renew(1.0)
    membership_lease.watch_lost(2.0)
    assert membership_lease.expires_at(2.0) == 2.0


def test_a_silent_watch_keeps_the_lease_until_missed_changes_count() -> None:
    membership_lease = MembershipLease(0.0, GRACE_S)
    membership_lease.renew(1.0)
    assert membership_lease.expires_at(6.9) == pytest.approx(
        1.0 + lease.WATCH_SILENCE_TIMEOUT_S + ALLOWANCE_S
    )


def test_a_new_agent_must_respond_in_time() -> None:
    membership_lease = MembershipLease(0.0, GRACE_S)
    membership_lease.renew(1.0)
    membership_lease.agent_changed(1.5)
    membership_lease.agent_changed(3.0)  # two changes in succession: the time of the first one counts
    assert membership_lease.expires_at(3.0) == pytest.approx(1.5 + lease.AGENT_CHANGE_TIMEOUT_S + ALLOWANCE_S)


def test_discovery_is_unreachable_after_several_calls_without_response() -> None:
    """Fail static: no limiter can receive changes, so the known list stays in use."""
    membership_lease = MembershipLease(0.0, GRACE_S)
    membership_lease.call_started(0.0)
    assert membership_lease.expires_at(60.0) <= 60.0  # a single call may have been lost on the network
    membership_lease.call_started(0.6)
    assert membership_lease.expires_at(lease.UNREACHABLE_TIMEOUT_S - 0.01) < lease.UNREACHABLE_TIMEOUT_S
    assert membership_lease.expires_at(lease.UNREACHABLE_TIMEOUT_S) == math.inf
    membership_lease.renew(20.0)
    assert membership_lease.expires_at(20.0) == pytest.approx(
        20.0 + lease.WATCH_SILENCE_TIMEOUT_S + ALLOWANCE_S
    )


def test_a_refusal_shows_that_discovery_runs() -> None:
    membership_lease = MembershipLease(0.0, GRACE_S)
    for at in (0.0, 0.2, 0.6, 1.2):
        membership_lease.call_started(at)
        membership_lease.call_refused()
    assert membership_lease.expires_at(lease.UNREACHABLE_TIMEOUT_S) < lease.UNREACHABLE_TIMEOUT_S
    assert membership_lease.expires_at(lease.REFUSED_TIMEOUT_S) == math.inf


def test_a_partial_list_shows_that_discovery_runs_again() -> None:
    """Discovery is back and has changes, although the calls after that list fail (seen in a soak)."""
    membership_lease = MembershipLease(0.0, GRACE_S)
    for at in (0.0, 0.5, 1.5):
        membership_lease.call_started(at)
    assert membership_lease.expires_at(2.0) == math.inf
    membership_lease.partial_list_received(5.0)
    assert membership_lease.expires_at(5.0) <= 5.0
    membership_lease.call_started(6.0)
    membership_lease.call_started(6.1)
    assert membership_lease.expires_at(6.0 + lease.UNREACHABLE_TIMEOUT_S) <= 6.0
    assert membership_lease.expires_at(6.0 + lease.REFUSED_TIMEOUT_S) == math.inf
    membership_lease.renew(10.0)
    assert membership_lease.expires_at(10.0) == pytest.approx(
        10.0 + lease.WATCH_SILENCE_TIMEOUT_S + ALLOWANCE_S
    )


def test_polling_tolerates_an_overloaded_discovery() -> None:
    """A change counts as delivered when it was written, so a limiter that keeps polling uses its list."""
    membership_lease = MembershipLease(10.0, GRACE_S, 0.5)
    assert membership_lease.expires_at(10.0) == pytest.approx(12.0)
    membership_lease.renew(11.0)
    membership_lease.watch_lost(12.0)
    assert membership_lease.expires_at(12.0) == pytest.approx(
        12.0 + 5.0 + ALLOWANCE_S
    )  # if the silence began here
    membership_lease.renew(20.0)
    membership_lease.watch_lost(20.0)
    assert membership_lease.expires_at(20.0) == pytest.approx(
        20.0 + lease.WATCH_SILENCE_TIMEOUT_S + ALLOWANCE_S
    )
    assert MembershipLease(10.0, GRACE_S, 60.0).expires_at(10.0) == pytest.approx(
        10.0 + lease.WATCH_SILENCE_TIMEOUT_S
    )


def test_no_sequence_of_events_extends_the_lease_beyond_its_bound() -> None:
    """Random sequences of events: unless discovery is unreachable, the lease ends within its bounds."""
    for seed in range(300):
        rng, now = random.Random(seed), 0.0
        membership_lease, bound = MembershipLease(0.0, GRACE_S), 0.0
        for _ in range(60):
            now += rng.choice([0.01, 0.1, 0.5, 2.0])
            what = rng.randrange(5)
            if what == 0:
                membership_lease.renew(now)
                bound = now + lease.WATCH_SILENCE_TIMEOUT_S + ALLOWANCE_S
            elif what == 1:
                membership_lease.watch_lost(now)
                bound = min(bound, now + ALLOWANCE_S)
            elif what == 2:
                membership_lease.agent_changed(now)
                bound = min(bound, now + lease.AGENT_CHANGE_TIMEOUT_S + ALLOWANCE_S)
            elif what == 3:
                membership_lease.call_started(now)
            else:
                membership_lease.call_refused()
            until_s = membership_lease.expires_at(now)
            assert until_s == math.inf or until_s <= bound + 1e-9, f"seed {seed}"


# --- The check before each write ------------------------------------------------------------------
def test_the_guard_counts_withheld_attempts_and_violations() -> None:
    guard = SendGuard()
    now = monotonic()
    assert write_denial(now, True, math.inf, math.inf, math.inf) is None
    assert write_denial(now, False, math.inf, math.inf, math.inf) is Denial.SERVER
    assert write_denial(now, True, math.inf, now - 1.0, math.inf) is Denial.DEADLINE
    assert write_denial(now, True, math.inf, math.inf, now - 1.0) is Denial.WINDOW
    assert write_denial(now, True, now - 1.0, math.inf, math.inf) is Denial.MEMBERSHIP
    guard.lease_expires_at = now - 1.0
    guard.withhold(Denial.MEMBERSHIP)
    guard.record_stall(math.inf, math.inf)
    assert (guard.withheld[Denial.MEMBERSHIP], guard.violations[Denial.MEMBERSHIP]) == (1, 1)
    assert 'gw_violations{rule="membership"} 1' in list(guard.metric_lines())


# --- The limiter over sockets ---------------------------------------------------------------------
class LeasedLimiter(Rig):
    """A limiter whose list needs a lease, set up as in the program."""

    def __init__(self, configuration: Config) -> None:
        grace_s = configuration.settings.drain_grace_ms / 1000
        self.lease = MembershipLease(monotonic(), grace_s)
        self.limiter = Limiter(configuration, None, self.lease)
        self.clients = ClientConnections(
            self.limiter, configuration.settings, configuration.listen, 100, configuration.body_bytes
        )
        backoff = Backoff(random.Random(1), grace_s)
        self.watch = Watch(
            configuration.discovery,
            self.limiter.update_servers,
            backoff,
            self.lease,
            self.limiter.lease_changed,
        )
        self.watch.seq = self.limiter.known_seq


class DrainScenario:
    """Two servers, of which the first starts to drain, discovery's agent and the limiter between them."""

    def __init__(self, rig: LeasedLimiter, agent: Agent, one: Backend, two: Backend, client: Client) -> None:
        self.rig, self.agent, self.client = rig, agent, client
        self.one, self.two = one, two
        self._asked = 0

    async def response_code(self) -> int:
        """Sends a request and returns the status code."""
        self._asked += 1
        return (await self.client.ask(message("read", f"{self._asked:016x}"))).code

    async def drain(self) -> None:
        """Starts the first server's drain and waits until the agent knows it."""
        version = self.agent.registry.apply_change(host("a", self.one.address, "leaving"))
        await until(lambda: self.agent.version == version)

    async def drain_while_down(self) -> None:
        """Starts the drain while the agent is down, which learns of it when it returns."""
        self.agent.registry.apply_change(host("a", self.one.address, "leaving"))

    async def assert_withholds(self) -> None:
        """Asserts that no server gets a request and that clients are told to retry."""
        sent = len(self.one.requests) + len(self.two.requests)
        for _ in range(5):
            assert await self.response_code() == 429
        assert len(self.one.requests) + len(self.two.requests) == sent
        # Refused by the decision, not only withheld at the write.
        assert not self.rig.limiter.guard.withheld

    async def assert_serves(self) -> None:
        """Asserts that requests are served, by the second server only."""
        await until(lambda: self.rig.lease.expires_at(monotonic()) > monotonic())
        sent = len(self.one.requests)
        for _ in range(5):
            assert await self.response_code() == 200
        assert len(self.one.requests) == sent


@contextlib.asynccontextmanager
async def drain_scenario(**faults: object) -> AsyncIterator[DrainScenario]:
    async with backend(echo) as one, backend(echo) as two:
        registry = Registry([host("a", one.address), host("b", two.address)])
        agent = Agent(registry, random.Random(1))
        for name, value in faults.items():
            setattr(agent.faults, name, value)
        await agent.start()
        rig = LeasedLimiter(config(*registry.entries.values(), discovery=agent.address))
        rig.clients.listen()
        task = asyncio.create_task(rig.watch.run())

        async def sweep() -> None:
            while True:
                await asyncio.sleep(0.02)
                rig.limiter.sweep()

        sweeping = asyncio.create_task(sweep())
        client = await rig.connect()
        try:
            yield DrainScenario(rig, agent, one, two, client)
        finally:
            task.cancel()
            sweeping.cancel()
            rig.clients.stop_listening()
            rig.limiter.close()
            await agent.close()


Steps = Callable[[DrainScenario], Awaitable[None]]


def run_scenario(steps: Steps, **faults: object) -> None:
    async def test() -> None:
        async with drain_scenario(**faults) as scenario:
            await steps(scenario)

    run(test())


def test_nothing_is_sent_before_the_first_list() -> None:
    async def steps(scenario: DrainScenario) -> None:
        await scenario.drain()
        assert (await scenario.client.ask(b"GET /up HTTP/1.1\r\n\r\n")).code == 503
        await scenario.assert_withholds()
        await scenario.assert_serves()
        assert (await scenario.client.ask(b"GET /up HTTP/1.1\r\n\r\n")).code == 200

    run_scenario(steps, response_delay_s=(0.3, 0.3))


async def wait_until_expired(scenario: DrainScenario) -> None:
    """Waits until the lease has expired."""
    await until(lambda: scenario.rig.lease.expires_at(monotonic()) <= monotonic())


async def wait_until_renewed(scenario: DrainScenario) -> None:
    await until(lambda: scenario.rig.lease.expires_at(monotonic()) > monotonic())


def test_an_empty_line_before_the_first_list_does_not_renew_the_lease() -> None:
    """The response arrives in pieces, the first one empty: the list is sent, but not received yet."""

    async def steps(scenario: DrainScenario) -> None:
        await wait_until_renewed(scenario)
        stream = discovery._WatchConnection(scenario.rig.watch)
        scenario.rig.lease.watch_lost(0.0)
        scenario.rig.limiter.lease_changed()
        stream.last_received_at = stream.requested_at
        scenario.rig.watch.data_received(stream, True)
        await scenario.assert_withholds()
        stream.last_received_at = stream.requested_at + 2.0  # a heartbeat, as while nothing changes
        scenario.rig.watch.data_received(stream, True)
        assert await scenario.response_code() == 200

    run_scenario(steps)


def test_a_watch_that_is_reset() -> None:
    async def steps(scenario: DrainScenario) -> None:
        await wait_until_renewed(scenario)
        scenario.agent.faults.response_delay_s = (0.5, 0.5)
        scenario.agent.reset_watches()
        await scenario.drain()
        await wait_until_expired(scenario)
        await scenario.assert_withholds()
        assert (
            await scenario.client.ask(b"GET /up HTTP/1.1\r\n\r\n")
        ).code == 200  # a short gap keeps it ready
        await scenario.assert_serves()

    run_scenario(steps)


def test_a_partial_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """The missing part may announce a drain, which counts as delivered."""
    monkeypatch.setattr(discovery, "LIST_TIMEOUT_S", 0.5)

    async def steps(scenario: DrainScenario) -> None:
        await wait_until_renewed(scenario)
        scenario.agent.faults.truncate_next_list = True
        await scenario.drain()
        await wait_until_expired(scenario)
        await scenario.assert_withholds()
        await scenario.assert_serves()

    run_scenario(steps)


def test_a_list_in_quick_pieces_does_not_end_the_lease() -> None:
    async def steps(scenario: DrainScenario) -> None:
        await wait_until_renewed(scenario)
        scenario.agent.faults.chunk_bytes = 120
        await scenario.drain()
        await until(lambda: scenario.rig.watch.seq == 2)
        await scenario.assert_serves()

    run_scenario(steps)


def test_calls_that_discovery_refuses() -> None:
    async def steps(scenario: DrainScenario) -> None:
        await wait_until_renewed(scenario)
        scenario.agent.faults.status = 503
        scenario.agent.reset_watches()
        await scenario.drain()
        await wait_until_expired(scenario)
        await scenario.assert_withholds()
        # A refusal shows that discovery runs; after silence it would be unreachable by now.
        await asyncio.sleep(lease.UNREACHABLE_TIMEOUT_S)
        await scenario.assert_withholds()
        scenario.agent.faults.status = 200
        await scenario.assert_serves()

    run_scenario(steps)


def test_calls_that_fail_locally() -> None:
    """Without free descriptors for a call nothing is known of discovery, which announces a drain."""

    async def steps(scenario: DrainScenario) -> None:
        await wait_until_renewed(scenario)
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def failing(*args: object, **named: object) -> object:
            if args[2:] == (scenario.agent.address[1],):
                raise OSError(errno.EMFILE, "Too many open files")
            return await connect(*args, **named)  # type: ignore[call-overload]

        loop.create_connection = failing  # type: ignore[method-assign,assignment]
        scenario.agent.reset_watches()
        await scenario.drain()
        await wait_until_expired(scenario)
        await asyncio.sleep(lease.UNREACHABLE_TIMEOUT_S + 0.3)
        await scenario.assert_withholds()
        loop.create_connection = connect  # type: ignore[method-assign]
        await scenario.assert_serves()

    run_scenario(steps)


def test_a_silent_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Missed changes count as delivered 6 s after the silence began, here 0.5 s; a second call is refused."""
    monkeypatch.setattr(lease, "WATCH_SILENCE_TIMEOUT_S", 0.5)
    monkeypatch.setattr(discovery, "WATCH_TIMEOUT_S", 0.2)

    async def steps(scenario: DrainScenario) -> None:
        await wait_until_renewed(scenario)
        scenario.agent.silence_watches()
        scenario.agent.faults.status = 503
        await scenario.drain()
        await wait_until_expired(scenario)
        await scenario.assert_withholds()
        scenario.agent.faults.status = 200
        await scenario.assert_serves()

    run_scenario(steps)


def test_a_new_agent_that_does_not_respond(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a change of configuration the new agent's changes count as delivered 4 s later, here 0.3 s."""
    monkeypatch.setattr(lease, "AGENT_CHANGE_TIMEOUT_S", 0.3)

    async def steps(scenario: DrainScenario) -> None:
        await wait_until_renewed(scenario)
        other = Agent(scenario.agent.registry, random.Random(2))
        other.faults.status = 503
        await other.start()
        scenario.rig.watch.set_address(other.address)
        await scenario.drain()
        await wait_until_expired(scenario)
        await scenario.assert_withholds()
        other.faults.status = 200
        await scenario.assert_serves()
        await other.close()

    run_scenario(steps)


def test_the_known_list_is_used_without_discovery() -> None:
    """Discovery is down: at first no request is sent, then the limiter uses the known list."""

    async def steps(scenario: DrainScenario) -> None:
        await scenario.agent.stop()
        scenario.rig.watch.set_address(parse_address(unused_address()))
        await until(lambda: scenario.rig.limiter.ready)
        for _ in range(3):
            assert await scenario.response_code() == 200

    run_scenario(steps, response_delay_s=(60.0, 60.0))


def test_a_write_delayed_beyond_a_stall_is_counted_and_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The process stalled between the check and the write, which cannot be prevented, only reported."""

    async def steps(scenario: DrainScenario) -> None:
        await wait_until_renewed(scenario)
        guard = scenario.rig.limiter.guard
        plain = StreamConnection.start

        def held_up(self: StreamConnection, attempt: Attempt) -> None:
            guard.lease_expires_at = monotonic() + 0.01
            time.sleep(0.05 + lease.MAX_STALL_S)
            plain(self, attempt)

        monkeypatch.setattr(StreamConnection, "start", held_up)
        assert await scenario.response_code() == 200
        assert guard.violations == {Denial.MEMBERSHIP: 1}
        assert "violation: an attempt was written though" in caplog.text

    run_scenario(steps)


def test_an_attempt_connected_after_the_lease_expired_is_not_written() -> None:
    """The attempt was decided in time, but when it can be written the server's state is unknown."""

    async def steps(scenario: DrainScenario) -> None:
        await wait_until_renewed(scenario)
        servers = scenario.rig.limiter._servers
        servers.guard.lease_expires_at = monotonic() - 1.0  # the decision module's lease is still valid
        assert await scenario.response_code() == 429
        assert not scenario.one.requests and not scenario.two.requests
        assert servers.guard.withheld[Denial.MEMBERSHIP] == 1
        assert not servers.guard.violations

    run_scenario(steps)


def test_reset_calls_show_that_discovery_is_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """A host that is back resets its open connections (protocol page): its changes count at once."""
    monkeypatch.setattr(discovery, "WATCH_TIMEOUT_S", 0.4)

    async def steps(scenario: DrainScenario) -> None:
        await wait_until_renewed(scenario)
        scenario.agent.faults.down = True
        scenario.agent.silence_watches()
        await until(lambda: scenario.rig.limiter.guard.lease_expires_at == math.inf)
        assert await scenario.response_code() == 200  # with the known list
        await scenario.drain_while_down()
        scenario.agent.faults.response_delay_s = (0.8, 0.8)  # delays the response to the next calls
        scenario.agent.reset_watches()
        scenario.agent.restore_discovery()
        async with asyncio.timeout(0.5):
            await wait_until_expired(scenario)
        await scenario.assert_withholds()
        await scenario.assert_serves()

    run_scenario(steps)


def test_a_reset_call_beside_a_working_watch_changes_nothing() -> None:
    membership_lease = MembershipLease(0.0, GRACE_S)
    membership_lease.renew(1.0)
    membership_lease.closed_by_peer()
    assert membership_lease.expires_at(1.5) == pytest.approx(
        1.0 + lease.WATCH_SILENCE_TIMEOUT_S + ALLOWANCE_S
    )


def test_unreachability_after_a_reset_needs_new_calls() -> None:
    membership_lease = MembershipLease(0.0, GRACE_S)
    for at in (0.0, 0.6, 1.2):
        membership_lease.call_started(at)
    assert membership_lease.expires_at(2.0) == math.inf
    membership_lease.closed_by_peer()
    assert membership_lease.expires_at(2.0) <= 2.0
    membership_lease.call_started(3.0)
    membership_lease.call_started(3.5)
    assert membership_lease.expires_at(3.0 + lease.UNREACHABLE_TIMEOUT_S) == math.inf
