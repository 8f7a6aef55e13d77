"""Between the store and a running limiter: what is held is taken up, what is to be kept is told."""

from __future__ import annotations

import logging
import math
from typing import Protocol

from basaltpoint import interface as api
from basaltpoint.config.build import Setup
from basaltpoint.config.decode import FileError
from basaltpoint.daemon.balances import Balance, Balances, recall
from basaltpoint.daemon.shared_state import Change
from basaltpoint.daemon.store_follower import RelayView, StoreFollower
from basaltpoint.fronts.http.relay import Relay
from basaltpoint.system import timestamps

log = logging.getLogger("basaltpoint")


class Limiter(Protocol):
    """What follows the store: its configuration, and how to go over to another."""

    setup: Setup
    relay: Relay

    def from_store(self) -> Setup:
        """What the store holds, with this limiter's own file; FileError."""

    def take_up(self, setup: Setup) -> None: ...


class StoreSide(RelayView):
    """One limiter's."""

    def __init__(self, limiter: Limiter) -> None:
        self._limiter = limiter
        self.balances = Balances()
        self._looked = -math.inf  # when accounts were looked through last, of the module's clock
        self._numbers: dict[int, str] = {}
        self._problem = ""  # of the document that could not be used

    def begin(self, keeper: StoreFollower, recalls: bool = True) -> None:
        """Give back what an earlier life left, and follow the store from now on.

        `recalls`: False where more is known than that life could write, as its process told it directly.
        """
        self._keeper = keeper
        self._name_accounts()
        setup, relay = self._limiter.setup, self._limiter.relay
        accounts = {account.name: account for account in setup.accounts.all()}
        moment = timestamps.now()
        for name, balance in keeper.balances.items() if recalls else ():
            if account := accounts.get(name):
                plan = setup.settings.plans[account.plan]
                event = recall(account.number, plan, balance, moment, keeper.down_s)
                relay.do(relay.table.handle_event(relay.now(), event))
        for name, (light, mean_ms) in keeper.learned.items() if recalls else ():
            if name in setup.pools:
                learned = api.RestoredLatencies(setup.pools[name], light, mean_ms)
                relay.do(relay.table.handle_event(relay.now(), learned))
        if keeper.balances and recalls:
            log.info(
                "store: %d accounts go on, %.1f s after the last life", len(keeper.balances), keeper.down_s
            )
        keeper.follow(self._changed, self)

    def _name_accounts(self) -> None:
        self._numbers = {account.number: account.name for account in self._limiter.setup.accounts.all()}

    def _changed(self, change: Change) -> str:
        """Take up what came. A document that can't be used changes nothing, but its drains hold."""
        limiter, held = self._limiter, self._keeper.held
        if not change.build:
            limiter.take_up(limiter.setup.with_drains(held.drains))
            log.info("store: draining: %s", ", ".join(sorted(held.drains)) or "none")
            return self._problem
        try:
            limiter.take_up(limiter.from_store())
        except FileError as error:
            for problem in error.problems:
                log.error("%s", problem)
            log.error("store: the configuration stays as it was")
            limiter.take_up(limiter.setup.with_drains(held.drains))
            self._problem = str(error.problems[0])
            return self._problem
        self._problem = ""
        self._name_accounts()
        log.info("store: the configuration was taken up, revision %d", self._keeper.revision)
        return ""

    # --- What the next life needs ------------------------------------------------------------------------
    def due_balances(self, final: bool) -> dict[str, Balance]:
        relay = self._limiter.relay
        gateway, now, at = relay.decision_module, relay.now(), timestamps.now()
        if final:
            told = {n: standing for n in gateway.customers if (standing := gateway.quota_status(now, n))}
        else:
            told = self.balances.due(
                gateway.customers_since(self._looked), lambda number: gateway.quota_status(now, number)
            )
            self._looked = now
        return {
            self._numbers[number]: Balance(
                standing.units_left, standing.ceiling_units_left, at.unix_ms, final, at.boot_id, at.boot_s
            )
            for number, standing in told.items()
            if number in self._numbers
        }

    def learned(self) -> dict[str, tuple[tuple[float, ...], float]]:
        """Light-load latencies of each pool: in a jam at the start they can't be measured."""
        names = {number: name for name, number in self._limiter.setup.pools.items()}
        return {
            names[number]: (tuple(pool.light_latencies_ms), pool.servers.mean_latency_ms)
            for number, pool in self._limiter.relay.decision_module.pools.items()
            if number in names and min(pool.light_latencies_ms) < math.inf
        }
