"""Builds small histories for the tests of the checks."""

import dataclasses
import types
from collections.abc import Mapping
from pathlib import Path

from platform_soak.accounts import STEADY_KEY, Account
from platform_soak.answers import SEARCH_PREFIX, answer_body, part_records
from platform_soak.clients import Call
from platform_soak.configurations import (
    BOOKING_SERVICE,
    LOOKUP_SERVICE,
    SHARDS,
    TOP_RECORDS,
    Evacuation,
    Version,
)
from platform_soak.disruptions import Disruptions
from platform_soak.history import History, HostStops
from platform_soak.hosts import EntryHost
from platform_soak.messages import Message

#: Host of the calls, and another one.
HOST = 'edge-1'
OTHER_HOST = 'edge-2'
#: Time of the record at which calls are sent unless told otherwise.
SENT_AT = 100.0
LENGTH_S = 200.0
#: Account of served calls in versions with accounts.
STEADY = Account('steady', (STEADY_KEY,))
CALM_FROM = 190.0
BOOKING = '/book/1'
LOOKUP = '/lookup/1'
SEARCH = f'{SEARCH_PREFIX}1'
#: Targets, with their service and zone.
DESK = 'i-desk'
OTHER_DESK = 'i-desk-2'
LOG = 'i-log'
TARGETS: Mapping[str, tuple[str, str]] = types.MappingProxyType(
    {
        DESK: (BOOKING_SERVICE, 'ege-a'),
        OTHER_DESK: (BOOKING_SERVICE, 'marmara-a'),
        LOG: (LOOKUP_SERVICE, 'ege-a'),
        **{f'i-{shard}': (shard, 'marmara-a') for shard in SHARDS},
    }
)


def answer_of(call: Call) -> Message:
    """Return the answer of a call that has one."""
    assert call.answer is not None
    return call.answer


@dataclasses.dataclass
class HistoryBuilder:
    """Collects what callers, targets and the operator have seen."""

    calls: list[Call] = dataclasses.field(default_factory=list)
    events: list[dict] = dataclasses.field(default_factory=list)
    versions: list[Version] = dataclasses.field(default_factory=list)
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    disruptions: Disruptions = dataclasses.field(default_factory=Disruptions)
    hosts: dict[str, HostStops] = dataclasses.field(
        default_factory=lambda: {HOST: HostStops(), OTHER_HOST: HostStops()}
    )

    def add_version(self, number: int, at: float, *accounts: Account) -> None:
        """Add a version as `Configurations` builds it.

        If it has accounts, `STEADY` is one of them.
        """
        services = {
            '/lookup/': LOOKUP_SERVICE,
            '/book/': BOOKING_SERVICE,
            '/moved/': (LOOKUP_SERVICE, BOOKING_SERVICE)[number % 2],
            f'/added-{number}/': LOOKUP_SERVICE,
            f'/added-{number - 1}/': LOOKUP_SERVICE,
        }
        known = (STEADY, *accounts) if accounts else ()
        self.versions.append(Version(number, at, services, known))

    def add_event(self, kind: str, at: float, **fields: object) -> None:
        """Add an event."""
        self.events.append({'at': at, 'kind': kind, **fields})

    def add_call(
        self,
        path: str = BOOKING,
        *,
        sent_at: float = SENT_AT,
        lasts_s: float = 0.5,
        status: int = 0,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
        host: str = HOST,
        kept: bool = False,
        problem: str = '',
        key: str = '',
    ) -> Call:
        """Add a call; it has no answer if the status is 0."""
        call = Call(
            f'attempt-{len(self.calls)}',
            EntryHost(host, 'ege-a', '127.0.0.1', '', Path()),
            path,
            sent_at=sent_at,
            ended_at=sent_at + lasts_s,
            problem=problem,
            repeatable=path != BOOKING,
            kept=kept,
            started_at=sent_at,
            key=key,
        )
        if status:
            start = ['HTTP/1.1', str(status), '']
            call.answer = Message(start, headers or {}, body)
        self.calls.append(call)
        return call

    def reach(
        self,
        call: Call,
        server: str = DESK,
        *,
        after_s: float = 0.01,
        account: str = '',
        has_key: bool = False,
    ) -> None:
        """Let a call reach a target."""
        self.add_event(
            'reached',
            call.last_sent_at + after_s,
            attempt=call.attempt,
            server=server,
            account=account,
            has_key=has_key,
        )

    def run(
        self,
        call: Call,
        server: str = DESK,
        *,
        after_s: float = 0.01,
        path: str = '',
        account: str = '',
    ) -> None:
        """Let a target begin to work on a call."""
        self.reach(call, server, after_s=after_s, account=account)
        self.add_event(
            'run',
            call.last_sent_at + after_s,
            attempt=call.attempt,
            server=server,
            service=TARGETS[server][0],
            path=path or call.path,
        )

    def finish(
        self, call: Call, server: str = DESK, *, after_s: float = 0.4
    ) -> str:
        """Let a target finish a call; return the signature."""
        stamp = f'{server}.{call.attempt}'
        self.add_event(
            'ran',
            call.last_sent_at + after_s,
            attempt=call.attempt,
            server=server,
            stamp=stamp,
        )
        return stamp

    def serve(
        self,
        path: str = BOOKING,
        server: str = DESK,
        *,
        sent_at: float = SENT_AT,
        host: str = HOST,
    ) -> Call:
        """Add a call that a target runs and answers as it should."""
        has_accounts = any(version.accounts for version in self.versions)
        call = self.add_call(
            path,
            sent_at=sent_at,
            host=host,
            key=STEADY_KEY if has_accounts else '',
        )
        self.run(call, server, account=STEADY.name if has_accounts else '')
        self.answer(
            call,
            {'server-stamp': self.finish(call, server)},
            answer_body(path, call.attempt, TARGETS[server][0]),
        )
        return call

    def gather(self, count: int = len(SHARDS)) -> Call:
        """Add a query that ``count`` shards answer as they should."""
        call = self.add_call(SEARCH)
        stamps: list[str] = []
        records: list[bytes] = []
        for shard in SHARDS[:count]:
            server = f'i-{shard}'
            self.run(call, server)
            stamps.append(self.finish(call, server))
            records.extend(part_records(call.attempt, shard))
        headers = {
            'part-stamps': ', '.join(stamps),
            'missing-shards': str(len(SHARDS) - count),
        }
        body = b''.join(sorted(records, reverse=True)[:TOP_RECORDS])
        self.answer(call, headers, body)
        return call

    def answer(
        self,
        call: Call,
        headers: dict[str, str],
        body: bytes = b'',
        status: int = 200,
    ) -> None:
        """Let the caller get an answer."""
        call.answer = Message(['HTTP/1.1', str(status), ''], headers, body)

    def build(self) -> History:
        """Return the history, with a first version and a calm end."""
        if not self.versions:
            self.add_version(1, 0)
        self.serve(LOOKUP, LOG, sent_at=CALM_FROM + 1, host=OTHER_HOST)
        ups = [
            {
                'at': 0.0,
                'kind': 'server_up',
                'server': server,
                'service': service,
                'zone': zone,
            }
            for server, (service, zone) in TARGETS.items()
        ]
        return History(
            calls=self.calls,
            events=[*ups, *self.events],
            versions=self.versions,
            evacuations=self.evacuations,
            disruptions=self.disruptions,
            hosts=self.hosts,
            zones={server: zone for server, (_, zone) in TARGETS.items()},
            calm_from=CALM_FROM,
            length_s=LENGTH_S,
        )
