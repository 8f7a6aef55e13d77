"""Connects a running limiter with the store: applies the shared state, and provides what is to be saved."""

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
    """A limiter whose configuration can be replaced while it runs."""

    setup: Setup
    relay: Relay

    def setup_from_store(self) -> Setup:
        """Builds the setup from the store's tables and this limiter's own file; FileError."""

    def apply_setup(self, setup: Setup) -> None:
        """Replaces the configuration of the running limiter."""


class StoreAdapter(StateToSave):
    """The adapter of one limiter."""

    def __init__(self, limiter: ConfiguredLimiter) -> None:
        self._limiter = limiter
        self.balances = BalanceWriteQueue()
        self._balances_checked_ms = -math.inf  # of the decision module's clock
        self._account_names: dict[int, str] = {}  # by number
        self._problem = ""  # of the document; empty if it is in use

    def start(self, store_follower: StoreFollower, restores: bool = True) -> None:
        """Restores the saved state of the previous process, and follows the store from now on.

        `restores`: False if the predecessor has handed its state over, which is more recent than the saved.
        """
        self._store_follower = store_follower
        self._index_account_names()
        setup, relay = self._limiter.setup, self._limiter.relay
        accounts = {account.name: account for account in setup.accounts.all()}
        now = timestamps.now()
        for name, balance in store_follower.balances.items() if restores else ():
            if account := accounts.get(name):
                plan = setup.settings.plans[account.plan]
                event = restore_balance(account.number, plan, balance, now, store_follower.downtime_s)
                relay.apply_effects(relay.table.handle_event(relay.now(), event))
        for name, (light_ms, mean_ms) in store_follower.learned_latencies.items() if restores else ():
            if name in setup.pools:
                latencies = api.RestoredLatencies(setup.pools[name], light_ms, mean_ms)
                relay.apply_effects(relay.table.handle_event(relay.now(), latencies))
        if store_follower.balances and restores:
            log.info(
                "store: restored %d accounts, %.1f s after the previous process ended",
                len(store_follower.balances),
                store_follower.downtime_s,
            )
        store_follower.follow(self._changed, self)

    def _index_account_names(self) -> None:
        self._account_names = {account.number: account.name for account in self._limiter.setup.accounts.all()}

    def _changed(self, change: Change) -> str:
        """Applies a change of the shared state; returns the document's problem, or "".

        An invalid document changes nothing; drains are applied in any case.
        """
        limiter, shared_state = self._limiter, self._store_follower.shared_state
        if not change.build:
            limiter.apply_setup(limiter.setup.with_drains(shared_state.drains))
            log.info("store: draining: %s", ", ".join(sorted(shared_state.drains)) or "none")
            return self._problem
        try:
            limiter.apply_setup(limiter.setup_from_store())
        except FileError as error:
            for problem in error.problems:
                log.error("%s", problem)
            log.error("store: the configuration stays as it was")
            limiter.apply_setup(limiter.setup.with_drains(shared_state.drains))
            self._problem = str(error.problems[0])
            return self._problem
        self._problem = ""
        self._index_account_names()
        log.info("store: applied the configuration of revision %d", self._store_follower.revision)
        return ""

    # --- State to save -----------------------------------------------------------------------------------
    def due_balances(self, final: bool) -> dict[str, Balance]:
        relay = self._limiter.relay
        decision_module, now, timestamp = relay.decision_module, relay.now(), timestamps.now()
        if final:
            due = {
                n: status
                for n in decision_module.customers
                if (status := decision_module.quota_status(now, n))
            }
        else:
            due = self.balances.take_due(
                decision_module.customers_since(self._balances_checked_ms),
                lambda number: decision_module.quota_status(now, number),
            )
            self._balances_checked_ms = now
        return {
            self._account_names[number]: Balance(
                status.units_left,
                status.ceiling_units_left,
                timestamp.unix_ms,
                final,
                timestamp.boot_id,
                timestamp.boot_s,
            )
            for number, status in due.items()
            if number in self._account_names
        }

    def learned_latencies(self) -> dict[str, tuple[tuple[float, ...], float]]:
        """Returns the light-load latencies and the mean latency (ms) of each pool, by its name.

        A process that starts under overload can't measure them.
        """
        names = {number: name for name, number in self._limiter.setup.pools.items()}
        return {
            names[number]: (tuple(pool.light_latencies_ms), pool.servers.mean_latency_ms)
            for number, pool in self._limiter.relay.decision_module.pools.items()
            if number in names and min(pool.light_latencies_ms) < math.inf
        }
