"""The lease of the list of servers: what renews it, what ends it, and that nothing is sent without it."""

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
ALLOWED_S = GRACE_S - lease.MAX_STALL_S


# --- The machine ----------------------------------------------------------------------------------
def test_a_start_holds_no_lease_until_the_first_word() -> None:
    made = MembershipLease(10.0, GRACE_S)
    assert made.expires_at(10.0) <= 10.0
    made.call_started(10.1)
    assert made.expires_at(10.2) <= 10.2
    made.renew(10.3)
    assert made.expires_at(10.3) > 10.3


def test_a_watch_that_ends_leaves_the_grace_less_a_stall() -> None:
    made = MembershipLease(0.0, GRACE_S)
    made.renew(1.0)
    made.watch_lost(2.0)
    assert made.expires_at(2.0) == pytest.approx(2.0 + ALLOWED_S)
    made.watch_lost(5.0)  # a later break makes nothing good
    assert made.expires_at(5.0) == pytest.approx(2.0 + ALLOWED_S)


def test_a_grace_shorter_than_a_stall_leaves_nothing() -> None:
    made = MembershipLease(0.0, 0.1)
    made.renew(1.0)
    made.watch_lost(2.0)
    assert made.expires_at(2.0) == 2.0


def test_silence_is_borne_until_what_it_hides_counts_as_told() -> None:
    made = MembershipLease(0.0, GRACE_S)
    made.renew(1.0)
    assert made.expires_at(6.9) == pytest.approx(1.0 + lease.WATCH_SILENCE_TIMEOUT_S + ALLOWED_S)


def test_another_agent_must_speak_within_the_time_of_a_new_configuration() -> None:
    made = MembershipLease(0.0, GRACE_S)
    made.renew(1.0)
    made.agent_changed(1.5)
    made.agent_changed(3.0)  # in quick succession: the first one's time stands
    assert made.expires_at(3.0) == pytest.approx(1.5 + lease.AGENT_CHANGE_TIMEOUT_S + ALLOWED_S)


def test_without_a_word_on_several_calls_discovery_counts_as_away() -> None:
    """Fail static: nobody is told anything, so what is known is served on."""
    made = MembershipLease(0.0, GRACE_S)
    made.call_started(0.0)
    assert made.expires_at(60.0) <= 60.0  # a single call may have been lost
    made.call_started(0.6)
    assert made.expires_at(lease.UNREACHABLE_TIMEOUT_S - 0.01) < lease.UNREACHABLE_TIMEOUT_S
    assert made.expires_at(lease.UNREACHABLE_TIMEOUT_S) == math.inf
    made.renew(20.0)
    assert made.expires_at(20.0) == pytest.approx(20.0 + lease.WATCH_SILENCE_TIMEOUT_S + ALLOWED_S)


def test_a_refusal_is_a_sign_of_life() -> None:
    made = MembershipLease(0.0, GRACE_S)
    for at in (0.0, 0.2, 0.6, 1.2):
        made.call_started(at)
        made.call_refused()
    assert made.expires_at(lease.UNREACHABLE_TIMEOUT_S) < lease.UNREACHABLE_TIMEOUT_S
    assert made.expires_at(lease.REFUSED_TIMEOUT_S) == math.inf


def test_half_a_list_ends_an_absence_and_is_a_sign_of_life() -> None:
    """Discovery is back and has news, though the calls behind that list fail (soak with failing calls)."""
    made = MembershipLease(0.0, GRACE_S)
    for at in (0.0, 0.5, 1.5):
        made.call_started(at)
    assert made.expires_at(2.0) == math.inf
    made.partial_list_received(5.0)
    assert made.expires_at(5.0) <= 5.0
    made.call_started(6.0)
    made.call_started(6.1)
    assert made.expires_at(6.0 + lease.UNREACHABLE_TIMEOUT_S) <= 6.0
    assert made.expires_at(6.0 + lease.REFUSED_TIMEOUT_S) == math.inf
    made.renew(10.0)
    assert made.expires_at(10.0) == pytest.approx(10.0 + lease.WATCH_SILENCE_TIMEOUT_S + ALLOWED_S)


def test_where_lists_are_asked_for_a_crowded_discovery_is_borne() -> None:
    """A change counts as told when it was written: one that keeps asking acts on what it knows."""
    made = MembershipLease(10.0, GRACE_S, 0.5)
    assert made.expires_at(10.0) == pytest.approx(12.0)
    made.renew(11.0)
    made.watch_lost(12.0)
    assert made.expires_at(12.0) == pytest.approx(
        12.0 + 5.0 + ALLOWED_S
    )  # of the silence that may have begun
    made.renew(20.0)
    made.watch_lost(20.0)
    assert made.expires_at(20.0) == pytest.approx(20.0 + lease.WATCH_SILENCE_TIMEOUT_S + ALLOWED_S)
    assert MembershipLease(10.0, GRACE_S, 60.0).expires_at(10.0) == pytest.approx(
        10.0 + lease.WATCH_SILENCE_TIMEOUT_S
    )


def test_whatever_happens_no_lease_outlives_what_may_have_been_missed() -> None:
    """Random histories: while discovery is not taken to be away, the lease ends within its bounds."""
    for seed in range(300):
        rng, now = random.Random(seed), 0.0
        made, bound = MembershipLease(0.0, GRACE_S), 0.0
        for _ in range(60):
            now += rng.choice([0.01, 0.1, 0.5, 2.0])
            what = rng.randrange(5)
            if what == 0:
                made.renew(now)
                bound = now + lease.WATCH_SILENCE_TIMEOUT_S + ALLOWED_S
            elif what == 1:
                made.watch_lost(now)
                bound = min(bound, now + ALLOWED_S)
            elif what == 2:
                made.agent_changed(now)
                bound = min(bound, now + lease.AGENT_CHANGE_TIMEOUT_S + ALLOWED_S)
            elif what == 3:
                made.call_started(now)
            else:
                made.call_refused()
            until_s = made.expires_at(now)
            assert until_s == math.inf or until_s <= bound + 1e-9, f"seed {seed}"


# --- The check before each write ------------------------------------------------------------------
def test_the_guard_counts_what_it_withholds_and_what_went_out_all_the_same() -> None:
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
class Leased(Rig):
    """A limiter whose list needs confirmation, as the program runs it."""

    def __init__(self, made: Config) -> None:
        grace_s = made.settings.drain_grace_ms / 1000
        self.lease = MembershipLease(monotonic(), grace_s)
        self.limiter = Limiter(made, None, self.lease)
        self.clients = ClientConnections(self.limiter, made.settings, made.listen, 100, made.body_bytes)
        backoff = Backoff(random.Random(1), grace_s)
        self.watch = Watch(
            made.discovery, self.limiter.update_servers, backoff, self.lease, self.limiter.lease_changed
        )
        self.watch.seq = self.limiter.known_seq


class Scene:
    """Two servers of which the first begins to drain, discovery's agent, and the limiter between them."""

    def __init__(self, rig: Leased, agent: Agent, one: Backend, two: Backend, client: Client) -> None:
        self.rig, self.agent, self.client = rig, agent, client
        self.one, self.two = one, two
        self._asked = 0

    async def code(self) -> int:
        """What a request is answered."""
        self._asked += 1
        return (await self.client.ask(message("read", f"{self._asked:016x}"))).code

    async def drain(self) -> None:
        """The first server begins to drain, and the agent has it."""
        version = self.agent.registry.apply_change(host("a", self.one.address, "leaving"))
        await until(lambda: self.agent.version == version)

    async def drain_while_down(self) -> None:
        """The same, which the agent learns only when it comes back."""
        self.agent.registry.apply_change(host("a", self.one.address, "leaving"))

    async def holds_back(self) -> None:
        """Nothing is sent to any server, and clients are told that a retry is harmless."""
        sent = len(self.one.requests) + len(self.two.requests)
        for _ in range(5):
            assert await self.code() == 429
        assert len(self.one.requests) + len(self.two.requests) == sent
        # Decided so, not only stopped at the last moment.
        assert not self.rig.limiter.guard.withheld

    async def serves(self) -> None:
        """Requests are answered, by the second server alone."""
        await until(lambda: self.rig.lease.expires_at(monotonic()) > monotonic())
        sent = len(self.one.requests)
        for _ in range(5):
            assert await self.code() == 200
        assert len(self.one.requests) == sent


@contextlib.asynccontextmanager
async def scene(**faults: object) -> AsyncIterator[Scene]:
    async with backend(echo) as one, backend(echo) as two:
        registry = Registry([host("a", one.address), host("b", two.address)])
        agent = Agent(registry, random.Random(1))
        for name, value in faults.items():
            setattr(agent.faults, name, value)
        await agent.start()
        rig = Leased(config(*registry.entries.values(), discovery=agent.address))
        rig.clients.listen()
        task = asyncio.create_task(rig.watch.run())

        async def sweep() -> None:
            while True:
                await asyncio.sleep(0.02)
                rig.limiter.sweep()

        sweeping = asyncio.create_task(sweep())
        client = await rig.connect()
        try:
            yield Scene(rig, agent, one, two, client)
        finally:
            task.cancel()
            sweeping.cancel()
            rig.clients.stop_listening()
            rig.limiter.close()
            await agent.close()


Story = Callable[[Scene], Awaitable[None]]


def play(story: Story, **faults: object) -> None:
    async def test() -> None:
        async with scene(**faults) as made:
            await story(made)

    run(test())


def test_before_the_first_word_nothing_is_sent_and_nobody_is_invited() -> None:
    async def story(made: Scene) -> None:
        await made.drain()
        assert (await made.client.ask(b"GET /up HTTP/1.1\r\n\r\n")).code == 503
        await made.holds_back()
        await made.serves()
        assert (await made.client.ask(b"GET /up HTTP/1.1\r\n\r\n")).code == 200

    play(story, response_delay_s=(0.3, 0.3))


async def lapsed(made: Scene) -> None:
    """Wait until the lease is over."""
    await until(lambda: made.rig.lease.expires_at(monotonic()) <= monotonic())


async def confirmed(made: Scene) -> None:
    await until(lambda: made.rig.lease.expires_at(monotonic()) > monotonic())


def test_an_empty_line_ahead_of_the_first_list_confirms_nothing() -> None:
    """The answer comes in pieces, the first one empty: what the list says is told, and not known yet."""

    async def story(made: Scene) -> None:
        await confirmed(made)
        stream = discovery._WatchConnection(made.rig.watch)
        made.rig.lease.watch_lost(0.0)
        made.rig.limiter.lease_changed()
        stream.last_received_at = stream.requested_at
        made.rig.watch.data_received(stream, True)
        await made.holds_back()
        stream.last_received_at = stream.requested_at + 2.0  # as the agent writes while nothing changes
        made.rig.watch.data_received(stream, True)
        assert await made.code() == 200

    play(story)


def test_a_watch_that_is_reset() -> None:
    async def story(made: Scene) -> None:
        await confirmed(made)
        made.agent.faults.response_delay_s = (0.5, 0.5)
        made.agent.reset_watches()
        await made.drain()
        await lapsed(made)
        await made.holds_back()
        assert (await made.client.ask(b"GET /up HTTP/1.1\r\n\r\n")).code == 200  # it serves, but for a moment
        await made.serves()

    play(story)


def test_a_list_that_has_come_in_part(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its other half may tell of a drain: it counts as told."""
    monkeypatch.setattr(discovery, "LIST_TIMEOUT_S", 0.5)

    async def story(made: Scene) -> None:
        await confirmed(made)
        made.agent.faults.truncate_next_list = True
        await made.drain()
        await lapsed(made)
        await made.holds_back()
        await made.serves()

    play(story)


def test_a_list_in_pieces_is_no_loss_where_they_come_quickly() -> None:
    async def story(made: Scene) -> None:
        await confirmed(made)
        made.agent.faults.chunk_bytes = 120
        await made.drain()
        await until(lambda: made.rig.watch.seq == 2)
        await made.serves()

    play(story)


def test_calls_that_discovery_refuses() -> None:
    async def story(made: Scene) -> None:
        await confirmed(made)
        made.agent.faults.status = 503
        made.agent.reset_watches()
        await made.drain()
        await lapsed(made)
        await made.holds_back()
        # Discovery lives: with silence alone it would count as away by now.
        await asyncio.sleep(lease.UNREACHABLE_TIMEOUT_S)
        await made.holds_back()
        made.agent.faults.status = 200
        await made.serves()

    play(story)


def test_calls_that_this_machine_can_not_make() -> None:
    """No descriptor is left for one: that says nothing of discovery, which tells a drain meanwhile."""

    async def story(made: Scene) -> None:
        await confirmed(made)
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def failing(*args: object, **named: object) -> object:
            if args[2:] == (made.agent.address[1],):
                raise OSError(errno.EMFILE, "Too many open files")
            return await connect(*args, **named)  # type: ignore[call-overload]

        loop.create_connection = failing  # type: ignore[method-assign,assignment]
        made.agent.reset_watches()
        await made.drain()
        await lapsed(made)
        await asyncio.sleep(lease.UNREACHABLE_TIMEOUT_S + 0.3)
        await made.holds_back()
        loop.create_connection = connect  # type: ignore[method-assign]
        await made.serves()

    play(story)


def test_a_silent_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """What it misses counts as told 6 s after the silence began, here 0.5 s; a second call is refused."""
    monkeypatch.setattr(lease, "WATCH_SILENCE_TIMEOUT_S", 0.5)
    monkeypatch.setattr(discovery, "WATCH_TIMEOUT_S", 0.2)

    async def story(made: Scene) -> None:
        await confirmed(made)
        made.agent.silence_watches()
        made.agent.faults.status = 503
        await made.drain()
        await lapsed(made)
        await made.holds_back()
        made.agent.faults.status = 200
        await made.serves()

    play(story)


def test_another_agent_that_does_not_speak(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a new configuration the news of its agent counts 4 s later, here 0.3 s."""
    monkeypatch.setattr(lease, "AGENT_CHANGE_TIMEOUT_S", 0.3)

    async def story(made: Scene) -> None:
        await confirmed(made)
        other = Agent(made.agent.registry, random.Random(2))
        other.faults.status = 503
        await other.start()
        made.rig.watch.set_address(other.address)
        await made.drain()
        await lapsed(made)
        await made.holds_back()
        other.faults.status = 200
        await made.serves()
        await other.close()

    play(story)


def test_without_discovery_the_list_that_is_known_serves_on() -> None:
    """Nobody is there at all: first nothing is sent, then the limiter goes on alone."""

    async def story(made: Scene) -> None:
        await made.agent.stop()
        made.rig.watch.set_address(parse_address(unused_address()))
        await until(lambda: made.rig.limiter.ready)
        for _ in range(3):
            assert await made.code() == 200

    play(story, response_delay_s=(60.0, 60.0))


def test_a_write_that_was_held_up_beyond_a_stall_is_counted_and_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The process stood still between the check and the write: nothing could stop it, and it is told."""

    async def story(made: Scene) -> None:
        await confirmed(made)
        guard = made.rig.limiter.guard
        plain = StreamConnection.start

        def held_up(self: StreamConnection, attempt: Attempt) -> None:
            guard.lease_expires_at = monotonic() + 0.01
            time.sleep(0.05 + lease.MAX_STALL_S)
            plain(self, attempt)

        monkeypatch.setattr(StreamConnection, "start", held_up)
        assert await made.code() == 200
        assert guard.violations == {Denial.MEMBERSHIP: 1}
        assert "violation: an attempt was written though" in caplog.text

    play(story)


def test_an_attempt_whose_connection_comes_up_without_a_lease_is_not_written() -> None:
    """It was decided in time; by the time it can be written nobody knows what the server does."""

    async def story(made: Scene) -> None:
        await confirmed(made)
        servers = made.rig.limiter._servers
        servers.guard.lease_expires_at = monotonic() - 1.0  # the module still holds it
        assert await made.code() == 429
        assert not made.one.requests and not made.two.requests
        assert servers.guard.withheld[Denial.MEMBERSHIP] == 1
        assert not servers.guard.violations

    play(story)


def test_calls_that_are_reset_end_an_absence(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that is back resets what stood open (protocol page): its news counts at once."""
    monkeypatch.setattr(discovery, "WATCH_TIMEOUT_S", 0.4)

    async def story(made: Scene) -> None:
        await confirmed(made)
        made.agent.faults.down = True
        made.agent.silence_watches()
        await until(lambda: made.rig.limiter.guard.lease_expires_at == math.inf)
        assert await made.code() == 200  # it serves on alone
        await made.drain_while_down()
        made.agent.faults.response_delay_s = (0.8, 0.8)  # that the next calls must wait for
        made.agent.reset_watches()
        made.agent.restore_discovery()
        async with asyncio.timeout(0.5):
            await lapsed(made)
        await made.holds_back()
        await made.serves()

    play(story)


def test_a_call_that_is_reset_beside_a_watch_that_speaks_changes_nothing() -> None:
    made = MembershipLease(0.0, GRACE_S)
    made.renew(1.0)
    made.closed_by_peer()
    assert made.expires_at(1.5) == pytest.approx(1.0 + lease.WATCH_SILENCE_TIMEOUT_S + ALLOWED_S)


def test_an_absence_after_a_reset_takes_a_new_row_of_calls() -> None:
    made = MembershipLease(0.0, GRACE_S)
    for at in (0.0, 0.6, 1.2):
        made.call_started(at)
    assert made.expires_at(2.0) == math.inf
    made.closed_by_peer()
    assert made.expires_at(2.0) <= 2.0
    made.call_started(3.0)
    made.call_started(3.5)
    assert made.expires_at(3.0 + lease.UNREACHABLE_TIMEOUT_S) == math.inf
