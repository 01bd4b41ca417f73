"""Failures for the replay of quotas; each is over some seconds before the end."""

from collections.abc import Callable

from oriolestage.admission._quota_hosts import QuotaHosts
from oriolestage.admission.tests.quota_replay import (
    LARGEST_LAG_S,
    QuotaReplay,
)

#: Account that sends 8 times its usual load through many hosts, and one that
#: sends 0.9 of its limit through one host.
CROWD = 'crowd'
STEADY = 'steady'
#: Time of the failure, and of its end if it has one, in seconds.
FAILED_AT = 20.0
MENDED_AT = 26.0
#: Part of the messages that are lost on bad links.
LOSS = 0.15
#: Longest pause of a host, in seconds, and time between pauses.
LONGEST_PAUSE_S = 3.0
PAUSE_INTERVAL_S = 2.0
OWNER_PAUSE_S = 4.0
#: Time within which hosts register after a loss of power, in seconds.
REGISTRATION_S = 0.5
#: Time between two changes of a host that comes and goes, in seconds.
FLAP_S = 2.0
CUT_REGION = 'region-a'


def kill_owners(replay: QuotaReplay) -> None:
    """End the process that owns the steady account, for good."""
    owner = _owner(replay, STEADY)
    replay.at(FAILED_AT, lambda: replay.kill(owner))


def cut_all_links(replay: QuotaReplay) -> None:
    """Let no message between hosts arrive."""
    _link_while_failed(replay, lambda sender, receiver: False)


def cut_region(replay: QuotaReplay) -> None:
    """Let no message leave or enter one region."""
    regions = dict(replay.regions)
    _link_while_failed(
        replay,
        lambda sender, receiver: (
            (regions[sender] == CUT_REGION) == (regions[receiver] == CUT_REGION)
        ),
    )


def cut_one_way(replay: QuotaReplay) -> None:
    """Let no message enter one region, whose own messages arrive."""
    regions = dict(replay.regions)
    _link_while_failed(
        replay,
        lambda sender, receiver: (
            regions[sender] == CUT_REGION or regions[receiver] != CUT_REGION
        ),
    )


def lose_messages(replay: QuotaReplay) -> None:
    """Lose some messages on all links."""
    _link_while_failed(
        replay, lambda sender, receiver: replay.random.random() >= LOSS
    )


def pause_owner(replay: QuotaReplay) -> None:
    """Pause the owner of the account that is over its limit."""
    host = replay.hosts[_owner(replay, CROWD)]

    def pause() -> None:
        host.paused_until = replay.now + OWNER_PAUSE_S

    replay.at(FAILED_AT, pause)


def pause_hosts(replay: QuotaReplay) -> None:
    """Pause a third of the hosts again and again."""

    def pause() -> None:
        count = max(1, len(replay.hosts) // 3)
        for name in replay.random.sample(sorted(replay.hosts), count):
            pause_s = replay.random.uniform(0, LONGEST_PAUSE_S)
            replay.hosts[name].paused_until = replay.now + pause_s
        if replay.now < MENDED_AT:
            replay.at(replay.now + PAUSE_INTERVAL_S, pause)

    replay.at(FAILED_AT, pause)


def flap_owner(replay: QuotaReplay) -> None:
    """Let the owner leave the registered hosts and come back repeatedly."""
    owner = _owner(replay, CROWD)
    everyone = dict(replay.regions)
    others = {
        name: region for name, region in everyone.items() if name != owner
    }

    def leave() -> None:
        replay.change_hosts(others or everyone, replay.now)
        replay.at(replay.now + FLAP_S, come_back)

    def come_back() -> None:
        replay.change_hosts(everyone, replay.now)
        if replay.now < MENDED_AT:
            replay.at(replay.now + FLAP_S, leave)

    replay.at(FAILED_AT, leave)


def restart_owner(replay: QuotaReplay) -> None:
    """Replace the process of the owner, which is not noticed by the store."""
    owner = _owner(replay, CROWD)

    def restart() -> None:
        replay.hosts[owner].alive = False
        replay.start_host(owner)
        replay.learn(replay.hosts[owner], replay.regions)

    replay.at(FAILED_AT, restart)
    replay.at(MENDED_AT, restart)


def lose_power(replay: QuotaReplay) -> None:
    """End all processes; new ones register and learn of one another."""
    everyone = dict(replay.regions)

    def restart_all() -> None:
        for name in everyone:
            replay.hosts[name].alive = False
            replay.start_host(name)
        registered = {
            name: replay.now + replay.random.uniform(0, REGISTRATION_S)
            for name in everyone
        }
        for name, registered_at in registered.items():
            _learn_repeatedly(replay, name, registered, registered_at)

    replay.at(FAILED_AT, restart_all)


FAILURES: tuple[Callable[[QuotaReplay], None], ...] = (
    kill_owners,
    cut_all_links,
    cut_region,
    cut_one_way,
    lose_messages,
    pause_owner,
    pause_hosts,
    flap_owner,
    restart_owner,
    lose_power,
)


def _learn_repeatedly(
    replay: QuotaReplay,
    name: str,
    registered: dict[str, float],
    start: float,
) -> None:
    """Let a host read those that are registered, at intervals."""
    regions = dict(replay.regions)

    def read() -> None:
        known = {
            other: regions[other]
            for other, since in registered.items()
            if since <= replay.now
        }
        replay.learn(replay.hosts[name], known)
        if len(known) < len(registered):
            pause_s = replay.random.uniform(0, LARGEST_LAG_S)
            replay.at(replay.now + pause_s, read)

    replay.at(start, read)


def _owner(replay: QuotaReplay, account: str) -> str:
    return QuotaHosts(replay.regions).grantors(account)[0]


def _link_while_failed(
    replay: QuotaReplay, is_linked: Callable[[str, str], bool]
) -> None:
    """Change which messages arrive until the failure is over."""
    before = replay.is_linked

    def fail() -> None:
        replay.is_linked = is_linked

    def mend() -> None:
        replay.is_linked = before

    replay.at(FAILED_AT, fail)
    replay.at(MENDED_AT, mend)
