"""Checks of roll-outs: which version requests reach, and how they end."""

import dataclasses
from collections.abc import Iterator, Mapping

from platform_soak.breaches import Breach, breach_of
from platform_soak.configurations import LOOKUP_SERVICE
from platform_soak.disruptions import RESTARTS, STORE
from platform_soak.history import Arrival, History
from platform_soak.rollouts import COMPLETED, DURATION_S, ROLLED_BACK

#: Requests that a bad version may get (``canaryShare``, ``canarySlack``).
CANARY_SHARE = 0.1
CANARY_SLACK = 50
#: Bad response after which a version gets nothing, and how long after it
#: (``rollbackMs``), in seconds.
LAST_BAD = 50
ROLLBACK_S = 5.0
#: Time before the deadline in which the store has to be in touch, in seconds.
DECISION_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    at: float
    version: str
    #: Whether the version is good.
    is_good: bool
    #: Targets of the version, and the time at which the first one started.
    targets: frozenset[str]
    started_at: float


def check_exposure(history: History) -> Iterator[Breach]:
    """EXPOSED: a bad version gets few requests, and none once it is known."""
    for order in _orders(history):
        if order.is_good:
            continue
        arrivals = _arrivals(history)
        within = [
            arrival
            for arrival in arrivals
            if order.at <= arrival.at <= order.at + DURATION_S
        ]
        exposed = sum(arrival.server in order.targets for arrival in within)
        allowed = CANARY_SHARE * len(within) + CANARY_SLACK
        if exposed > allowed:
            text = f'{order.version} got {exposed} of {len(within)}'
            yield Breach('EXPOSED', order.at, text)
        until = _last_bad_at(history, order) + ROLLBACK_S
        for arrival in arrivals:
            if arrival.server in order.targets:
                if arrival.call.last_sent_at > until:
                    text = f'reached {order.version} after its last bad answer'
                    yield breach_of('EXPOSED', arrival.call, text)


def check_decisions(history: History) -> Iterator[Breach]:
    """ROLLOUT: good versions are completed in time, bad ones rolled back."""
    decided = {
        event['version']: event['state'] for event in history.of('decided')
    }
    entered = {
        (event['version'], event['state']): event['at']
        for event in history.of('rollout_state')
    }
    for order in _orders(history):
        if order.version not in decided:
            continue
        state = decided[order.version]
        wanted = COMPLETED if order.is_good else ROLLED_BACK
        if state != wanted:
            text = f'{order.version} ended as {state!r}, not {wanted}'
            yield Breach('ROLLOUT', order.at, text)
            continue
        deadline = order.at + DURATION_S
        late_s = entered[order.version, state] - deadline
        store_was_away = history.disruptions.touches(
            STORE, deadline - DECISION_S, deadline
        )
        if order.is_good and late_s > 0 and not store_was_away:
            text = f'{order.version} completed {late_s:.2f} s late'
            yield Breach('ROLLOUT', order.at, text)


def check_unordered(history: History) -> Iterator[Breach]:
    """VERSION: no request reaches a version that no order has named.

    A host that starts beside such targets takes their version for a usual one.
    """
    for order in _orders(history):
        for arrival in _arrivals(history):
            if arrival.server not in order.targets or arrival.at >= order.at:
                continue
            host = arrival.call.host.name
            if not history.disruptions.touches(
                host, order.started_at, order.at, RESTARTS
            ):
                text = f'reached {order.version} before its order'
                yield breach_of('VERSION', arrival.call, text)


def _orders(history: History) -> Iterator[_Order]:
    for event in history.of('ordered'):
        ups = [
            up
            for up in history.of('server_up')
            if up.get('version') == event['version']
        ]
        yield _Order(
            event['at'],
            event['version'],
            event['rollout'] == 'good',
            frozenset(up['server'] for up in ups),
            min(up['at'] for up in ups),
        )


def _arrivals(history: History) -> list[Arrival]:
    """Return the arrivals at all targets of the service of roll-outs."""
    services: Mapping[str, str] = {
        up['server']: up['service'] for up in history.of('server_up')
    }
    return [
        arrival
        for arrival in history.arrivals()
        if services.get(arrival.server) == LOOKUP_SERVICE
    ]


def _last_bad_at(history: History, order: _Order) -> float:
    """Return when a version gave its last bad response that counts.

    All responses of a slow version are bad.
    """
    broken = [
        event['at']
        for event in history.of('broken')
        if event['server'] in order.targets
    ]
    ran = [
        event['at']
        for event in history.of('ran')
        if event['server'] in order.targets
    ]
    bad = broken or ran
    return bad[LAST_BAD - 1] if len(bad) >= LAST_BAD else float('inf')
