"""Between the store and a running limiter: what is held is taken up, what is to be kept is told."""

from __future__ import annotations

import logging
import math
from typing import Protocol

from basaltpoint import interface as api
from basaltpoint.config.build import Setup
from basaltpoint.config.decode import FileError
from basaltpoint.daemon.balances import Balance, BalanceWriteQueue, restore_balance
from basaltpoint.daemon.shared_state import Change
from basaltpoint.daemon.store_follower import StateToSave, StoreFollower
from basaltpoint.fronts.http.relay import Relay
from basaltpoint.system import timestamps

log = logging.getLogger("basaltpoint")


class ConfiguredLimiter(Protocol):
    """What follows the store: its configuration, and how to go over to another."""

    setup: Setup
    relay: Relay

    def setup_from_store(self) -> Setup:
        """What the store holds, with this limiter's own file; FileError."""

    def apply_setup(self, setup: Setup) -> None: ...


class StoreAdapter(StateToSave):
    """One limiter's."""

    def __init__(self, limiter: ConfiguredLimiter) -> None:
        self._limiter = limiter
        self.balances = BalanceWriteQueue()
        self._looked = -math.inf  # when accounts were looked through last, of the module's clock
        self._numbers: dict[int, str] = {}
        self._problem = ""  # of the document that could not be used

    def start(self, keeper: StoreFollower, recalls: bool = True) -> None:
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
                event = restore_balance(account.number, plan, balance, moment, keeper.downtime_s)
                relay.apply_effects(relay.table.handle_event(relay.now(), event))
        for name, (light, mean_ms) in keeper.learned_latencies.items() if recalls else ():
            if name in setup.pools:
                learned = api.RestoredLatencies(setup.pools[name], light, mean_ms)
                relay.apply_effects(relay.table.handle_event(relay.now(), learned))
        if keeper.balances and recalls:
            log.info(
                "store: %d accounts go on, %.1f s after the last life",
                len(keeper.balances),
                keeper.downtime_s,
            )
        keeper.follow(self._changed, self)

    def _name_accounts(self) -> None:
        self._numbers = {account.number: account.name for account in self._limiter.setup.accounts.all()}

    def _changed(self, change: Change) -> str:
        """Take up what came. A document that can't be used changes nothing, but its drains hold."""
        limiter, held = self._limiter, self._keeper.shared_state
        if not change.build:
            limiter.apply_setup(limiter.setup.with_drains(held.drains))
            log.info("store: draining: %s", ", ".join(sorted(held.drains)) or "none")
            return self._problem
        try:
            limiter.apply_setup(limiter.setup_from_store())
        except FileError as error:
            for problem in error.problems:
                log.error("%s", problem)
            log.error("store: the configuration stays as it was")
            limiter.apply_setup(limiter.setup.with_drains(held.drains))
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
            told = self.balances.take_due(
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

    def learned_latencies(self) -> dict[str, tuple[tuple[float, ...], float]]:
        """Light-load latencies of each pool: in a jam at the start they can't be measured."""
        names = {number: name for name, number in self._limiter.setup.pools.items()}
        return {
            names[number]: (tuple(pool.light_latencies_ms), pool.servers.mean_latency_ms)
            for number, pool in self._limiter.relay.decision_module.pools.items()
            if number in names and min(pool.light_latencies_ms) < math.inf
        }
